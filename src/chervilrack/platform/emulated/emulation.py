"""The emulated platform of a soak: stand-ins, settings files and requests in its formats."""

import contextlib
import http.client
import json
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, Final

import yaml

from chervilrack._internal.soak.records import Kind, Run
from chervilrack.platform.configuration import CONFIGURATION_KEY, UPSTREAM_PREFIX
from chervilrack.platform.emulated.standins import StoreStandIn, UpstreamStandIn
from chervilrack.platform.settings import SETTINGS_VARIABLE

HOST: Final = "app.example"
_PORTS: Final = {"frontend": 8625, "readiness": 8621, "directory": 8620}
_PEER_PORTS: Final = [7740, 7755]
# Names of the stand-ins by service.
_UPSTREAMS: Final = {
    "plain": ("plain-1", "plain-2", "plain-3"),
    "engine": ("engine-1", "engine-2", "engine-3"),
    "first": ("first-1", "first-2"),
    "second": ("second-1", "second-2"),
}
_STAGE: Final = {
    "slots": 1,
    "queue": 2,
    "batch": 4,
    "callMs": 10.0,
    "itemMs": 1.0,
    "headroomMb": 9.0,
    "handleS": 4.0,
}
_PAGE_ITEMS: Final = 500
# Pieces of each stage, and the key under which upstreams may keep their results.
_STAGED_HEADERS: Final = {"Chervilrack-Chunk-Count": "2,3", "Chervilrack-Chunk-Key": "piece-key"}


class PlatformEmulation:
    """Store and upstreams on loopback, behind the port of the soak."""

    settings_variable = SETTINGS_VARIABLE
    node_command: Sequence[str] = ("-c", "from chervilrack.platform.start import main; main()")
    callers_port = _PORTS["frontend"]

    def __init__(self) -> None:
        self._store = StoreStandIn(_PAGE_ITEMS)
        self._upstreams = {
            name: UpstreamStandIn(name, service)
            for service, names in _UPSTREAMS.items()
            for name in names
        }
        self._version = 0

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Run the store and the upstreams."""
        with contextlib.ExitStack() as stack:
            for server in (self._store, *self._upstreams.values()):
                stack.enter_context(server)
            yield

    @property
    def store_address(self) -> tuple[str, int]:
        """Where the store listens."""
        return _endpoint(self._store.address)

    @property
    def upstreams(self) -> Mapping[str, tuple[str, int]]:
        """Where each upstream listens."""
        return {name: _endpoint(found.address) for name, found in self._upstreams.items()}

    def write_settings(self, file: Path, node: str, host: str, store: str) -> None:
        """Write the settings file of a node."""
        settings = {
            "nodeName": node,
            "ip": host,
            "zone": "z1",
            "listen": {name: f"{host}:{port}" for name, port in _PORTS.items()},
            "internalPorts": _PEER_PORTS,
            "platform": {"address": store},
        }
        file.write_text(yaml.safe_dump(settings), encoding="utf-8")

    def register(self, upstream: str, address: str, *, drains: bool = False) -> None:
        """Write the registration of an upstream to the store."""
        state = "draining" if drains else "ready"
        entry = self._upstreams[upstream].entry(state, address)
        self._store.put(f"{UPSTREAM_PREFIX}{upstream}", entry)

    def configure(self, keys: Sequence[str]) -> None:
        """Write the next configuration."""
        self._version += 1
        self._store.put(CONFIGURATION_KEY, configuration(self._version, keys))

    def behave(self, upstream: str, behaviour: str) -> None:
        """Make an upstream answer differently."""
        self._upstreams[upstream].behaviour = behaviour

    def look_up(self, host: str, timeout: float) -> list[str]:
        """Ask a node for callers' addresses."""
        connection = http.client.HTTPConnection(host, _PORTS["directory"], timeout=timeout)
        with contextlib.closing(connection):
            connection.request("GET", f"/api/resolve?name={HOST}&region=r&zone=z1")
            response = connection.getresponse()
            body = response.read()
        if response.status != 200:
            raise ValueError(f"the look-up answered {response.status}")
        return [str(address) for address in json.loads(body)["addresses"]]

    def request_headers(
        self, request: str, kind: Kind, key: str, deadline: float
    ) -> dict[str, str]:
        """Return the header fields of a caller's request."""
        headers = {
            "Host": HOST,
            "Chervilrack-Request-Id": request,
            "Chervilrack-Deadline-Ms": str(round(deadline * 1000)),
            "Authorization": f"Token {key}",
        }
        if kind is Kind.STAGED:
            headers |= _STAGED_HEADERS
        return headers

    def runs(self) -> list[Run]:
        """Return what the upstreams have run."""
        return [
            Run(seen.headers["Chervilrack-Request-Id"], name, seen.at, _kind(seen.path))
            for name, upstream in self._upstreams.items()
            for seen in list(upstream.seen)
        ]


def configuration(version: int, keys: Sequence[str]) -> dict[str, Any]:
    """Return a configuration document with one route of each kind."""
    stream = {"service": "engine", "streamResume": True, "targetGapMs": 500}
    stages = [
        {"service": "first", "after": [], "length": 100},
        {"service": "second", "after": [0], "length": 100},
    ]
    return {
        "version": version,
        "routes": [
            _route("order", Kind.ORDER, "non_idempotent", service="plain"),
            _route("read", Kind.READ, "idempotent", service="plain"),
            _route("chat", Kind.STREAM, "streaming", **stream),
            _route("long", Kind.STAGED, "streaming", stages=stages, **stream),
        ],
        "services": [
            {"name": "plain"},
            {"name": "engine", "engine": {"slots": 8, "kvCapacityTokens": 100000}},
            {"name": "first", "segments": _STAGE},
            {"name": "second", "segments": _STAGE},
        ],
        "limits": {"maxBodyBytes": 100000},
        "tenants": [{"name": "bozi", "apiKeys": list(keys)}],
    }


def _route(name: str, kind: Kind, semantics: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": kind.value,
        "kind": semantics,
        "timeoutMs": 5000,
        "targetLatencyMs": 2000,
        "maxAttempts": 2,
        **fields,
    }


def _kind(path: str) -> Kind:
    return max((kind for kind in Kind if path.startswith(kind.value)), key=lambda k: len(k.value))


def _endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
