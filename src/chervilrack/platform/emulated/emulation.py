"""Emulated platform of a soak: stand-ins, settings files and requests in the platform's formats."""

import contextlib
import http.client
import json
import threading
import zlib
from collections.abc import Iterator, Mapping, Sequence
from datetime import timedelta
from email.message import Message
from pathlib import Path
from typing import Any, Final

import yaml

from chervilrack._internal.soak.records import (
    Arrival,
    Configuration,
    Kind,
    Notice,
    Run,
    UpstreamCrash,
)
from chervilrack.platform.configuration import CONFIGURATION_KEY, UPSTREAM_PREFIX
from chervilrack.platform.emulated.crashes import RETURN_S, CrashCycle
from chervilrack.platform.emulated.standins import (
    SIGNATURE_PREFIX,
    StoreStandIn,
    UpstreamStandIn,
)
from chervilrack.platform.headers import PREFIX_HASH, TOKEN_USAGE
from chervilrack.platform.settings import SETTINGS_VARIABLE

HOST: Final = "app.example"
PART_TOKENS: Final = 100
_PORTS: Final = {"frontend": 8625, "readiness": 8621, "directory": 8620}
_PEER_PORTS: Final = [7740, 7755]
# Names of the upstreams by service.
_UPSTREAM_NAMES: Final = {
    "plain": ("plain-1", "plain-2", "plain-3"),
    "engine": ("engine-1", "engine-2", "engine-3"),
    "first": ("first-1", "first-2"),
    "second": ("second-1", "second-2"),
    "other": ("other-1", "other-2"),
}
_STAGE_SERVICE: Final = {
    "slots": 1,
    "queue": 2,
    "batch": 4,
    "callMs": 10.0,
    "itemMs": 1.0,
    "headroomMb": 9.0,
    "handleS": 4.0,
}
_ITEMS_PER_PAGE: Final = 500
_COPY_INTERVAL_S: Final = 0.5
# The number of pieces of each stage, and the key under which upstreams may cache the results.
_STAGED_HEADERS: Final = {"Chervilrack-Chunk-Count": "2,3", "Chervilrack-Chunk-Key": "piece-key"}

# Largest body that callers may send, and the memory of the smallest VMs.
MAX_BODY_BYTES = 4_194_304
MEMORY_MB = 200


class PlatformEmulation:
    """Store and upstreams on loopback; implements ``soak.emulation.Emulation``."""

    settings_variable = SETTINGS_VARIABLE
    node_command: Sequence[str] = ("-c", "from chervilrack.platform.start import main; main()")
    callers_port = _PORTS["frontend"]
    memory_bytes = MEMORY_MB * 1_000_000

    def __init__(self) -> None:
        self._store = StoreStandIn(_ITEMS_PER_PAGE)
        self._store.era = "1"
        self._upstreams = {
            name: UpstreamStandIn(name, service)
            for service, names in _UPSTREAM_NAMES.items()
            for name in names
        }
        self._version = 0
        self._crash_cycle = CrashCycle(self._store, renames=False)

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Run the store and the upstreams."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._crash_cycle)
            for server in (self._store, *self._upstreams.values()):
                stack.enter_context(server)
            stack.enter_context(self._keeping_copies())
            yield

    @contextlib.contextmanager
    def _keeping_copies(self) -> Iterator[None]:
        """Keep a copy of the store every _COPY_INTERVAL_S."""
        stopping = threading.Event()

        def run() -> None:
            while not stopping.wait(_COPY_INTERVAL_S):
                self._store.keep_copy()

        thread = threading.Thread(target=run, name="store-copies", daemon=True)
        self._store.keep_copy()
        thread.start()
        try:
            yield
        finally:
            stopping.set()
            thread.join()

    @property
    def store_address(self) -> tuple[str, int]:
        """Host and port of the store."""
        return _endpoint(self._store.address)

    @property
    def upstreams(self) -> Mapping[str, tuple[str, int]]:
        """Host and port of each upstream, by name."""
        return {name: _endpoint(upstream.address) for name, upstream in self._upstreams.items()}

    def write_settings(
        self, file: Path, node: str, host: str, store: str, revision: int = 0
    ) -> None:
        """Write the settings file of a node on ``host`` that calls the store at ``store``."""
        settings = {
            # Unknown fields and seeds may change while a node runs.
            "revision": revision,
            "seeds": [f"{host}:{_PEER_PORTS[0] + revision}"],
            "nodeName": node,
            "ip": host,
            "zone": "z1",
            "listen": {name: f"{host}:{port}" for name, port in _PORTS.items()},
            "internalPorts": _PEER_PORTS,
            "platform": {"address": store},
            "limits": {"memoryMb": MEMORY_MB},
        }
        file.write_text(yaml.safe_dump(settings), encoding="utf-8")

    def register(self, upstream: str, address: str, *, drains: bool = False) -> None:
        """Write the registration of an upstream to the store."""
        self._crash_cycle.watch(self._upstreams[upstream], address)
        state = "draining" if drains else "ready"
        entry = self._upstreams[upstream].entry(state, address)
        self._store.put(f"{UPSTREAM_PREFIX}{upstream}", entry)

    def restart(self, upstream: str) -> None:
        """Make the next registration of an upstream that of a new start."""
        self._upstreams[upstream].restart()

    def configure(self, configuration: Configuration) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        self._store.put(CONFIGURATION_KEY, changed_configuration(self._version, configuration))

    def take_store_away(self) -> None:
        """Have the store answer no calls until it returns."""
        self._store.go_away()

    def return_store(self, age: float) -> None:
        """Have the store come back from a copy that is some seconds old."""
        self._store.return_from_copy(age)

    def write_again(self) -> None:
        """Have the operator and the upstreams write again what the store has lost."""
        self._store.write_again()

    def behave(self, upstream: str, behaviour: str) -> None:
        """Set the behaviour of an upstream, see ``UpstreamStandIn``."""
        self._upstreams[upstream].behaviour = behaviour

    def fall_silent(self, upstream: str, seconds: float) -> None:
        """Make an upstream accept connections, but do and send nothing, for some seconds."""
        self._upstreams[upstream].fall_silent(timedelta(seconds=seconds))

    def look_up(self, host: str, timeout: float) -> list[str]:
        """Return the addresses for callers from the look-up of the node on ``host``."""
        connection = http.client.HTTPConnection(host, _PORTS["directory"], timeout=timeout)
        with contextlib.closing(connection):
            connection.request("GET", f"/api/resolve?name={HOST}&region=r&zone=z1")
            response = connection.getresponse()
            body = response.read()
        if response.status != 200:
            raise ValueError(f"the look-up returned status {response.status}")
        return [str(address) for address in json.loads(body)["addresses"]]

    def crash_on(self, part: str) -> None:
        """Make all engines crash on requests with a part of the prompt; they start again."""
        for upstream in self._upstreams.values():
            if upstream.service == "engine":
                upstream.crashes_on = f"part {part}"

    def request_headers(
        self, request: str, kind: Kind, key: str, deadline: float, parts: Sequence[str] = ()
    ) -> dict[str, str]:
        """Return the header fields of a caller's request; ``deadline`` is in seconds.

        ``parts`` are the parts of the prompt that other requests have, too.
        """
        headers = {
            "Host": HOST,
            "Chervilrack-Request-Id": request,
            "Chervilrack-Deadline-Ms": str(round(deadline * 1000)),
            "Authorization": f"Token {key}",
        }
        if kind is Kind.STAGED:
            headers |= _STAGED_HEADERS
        if parts:
            own_part = f"{zlib.crc32(request.encode()):08x}"
            headers[PREFIX_HASH] = ",".join(f"{part}:{PART_TOKENS}" for part in (*parts, own_part))
            headers[TOKEN_USAGE] = f"{PART_TOKENS * (len(parts) + 1)},15"
        return headers

    def signer(self, headers: Message) -> str:
        """Return the upstream that signed a response with these header fields, "" if none did."""
        return str(headers.get("Chervilrack-Response-Signature", "")).removeprefix(SIGNATURE_PREFIX)

    def runs(self) -> list[Run]:
        """Return all requests that the upstreams have executed."""
        return [
            Run(run.headers["Chervilrack-Request-Id"], name, run.at, _kind(run.path))
            for name, upstream in self._upstreams.items()
            for run in list(upstream.seen)
        ]

    def arrivals(self) -> list[Arrival]:
        """Return all requests, and requests of pieces, that reached the upstreams."""
        return [a for upstream in self._upstreams.values() for a in list(upstream.arrivals)]

    def crashes(self) -> list[UpstreamCrash]:
        """Return all crashes of upstreams because of requests."""
        return [
            UpstreamCrash(name, request, at, at + RETURN_S)
            for name, upstream in self._upstreams.items()
            for request, at in list(upstream.crashes)
        ]

    def notices(self) -> list[Notice]:
        """Return all that upstreams have said about themselves in responses."""
        return [notice for upstream in self._upstreams.values() for notice in upstream.notices]


def changed_configuration(version: int, state: Configuration) -> dict[str, Any]:
    """Return the configuration document for the fields that a soak changes."""
    document = configuration(version, state.keys)
    document["limits"]["idleTimeoutMs"] = round(state.idle_timeout * 1000)
    document["services"].append({"name": "other"})
    for route in document["routes"]:
        route["timeoutMs"] = round(state.route_timeout * 1000)
        if route.get("service") == "plain" and state.is_moved:
            route["service"] = "other"
        elif route.get("service") == "plain" and state.moved_share:
            weights = (("plain", 1.0 - state.moved_share), ("other", state.moved_share))
            route["trafficSplit"] = [{"service": s, "weight": weight} for s, weight in weights]
            del route["service"]
    document["routes"] += [
        {**document["routes"][1], "name": f"extra-{number}", "pathPrefix": f"/extra/{number}/"}
        for number in range(state.extra_routes)
    ]
    document["tenants"] = [
        {"name": f"bozi-{number}", "apiKeys": list(state.keys[number :: state.organisations])}
        for number in range(state.organisations)
    ]
    return document


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
            {"name": "first", "segments": _STAGE_SERVICE},
            {"name": "second", "segments": _STAGE_SERVICE},
        ],
        "limits": {"maxBodyBytes": MAX_BODY_BYTES},
        "tenants": [{"name": "bozi", "apiKeys": list(keys)}],
    }


def _route(name: str, kind: Kind, route_kind: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": kind.value,
        "kind": route_kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 2000,
        "maxAttempts": 2,
        **fields,
    }


def _kind(path: str) -> Kind:
    """Return the kind with the longest matching path prefix."""
    return max(
        (kind for kind in Kind if path.startswith(kind.value)), key=lambda kind: len(kind.value)
    )


def _endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
