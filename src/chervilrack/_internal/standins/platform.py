"""Emulated platform service: etcd v3's JSON gateway and the VM list, with fault injection.

``GET /v1/vms`` and the fault and count endpoints are chervilrack's own additions.
"""

import json
import threading
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import asdict
from datetime import timedelta
from enum import Enum
from typing import Any, Self

import msgspec
from cheroot.server import Gateway, HTTPServer
from cheroot.ssl.builtin import BuiltinSSLAdapter

from chervilrack._internal.common.clock import Clock, SystemClock
from chervilrack._internal.exceptions import PlatformRefused
from chervilrack._internal.kvstore import gateway_json as wire
from chervilrack._internal.kvstore.port import VmList
from chervilrack._internal.kvstore.store import InMemoryKeyValueStore
from chervilrack._internal.standins.call_meter import CallCounts, CallMeter
from chervilrack._internal.standins.watch_pump import WatchPump

WRITES_PER_S = 500
READS_PER_S = 2000
_WORKERS = 16
_MAX_BODY_BYTES = 4_000_000  # one value of 1 MB in base64, and room for a transaction of several
_MILLISECOND = timedelta(milliseconds=1)


class VmState(Enum):
    """State of a VM in the list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /faults``; durations in milliseconds, absent fields change nothing."""

    unavailable_ms: int | None = None
    slow_by_ms: int | None = None
    slow_for_ms: int | None = None
    lose_responses: int | None = None
    break_watches: bool = False
    expire_leases: bool = False
    compact: bool = False
    vms: dict[str, VmState] = {}
    vm_lag_ms: int | None = None


class _Failure(Exception):
    """An error response: HTTP status, gRPC status code and message."""

    def __init__(self, status: str, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


_Handler = Callable[[Mapping[str, Any]], Mapping[str, Any]]


class PlatformStandIn:
    """Emulated platform server on a loopback port; a context manager.

    ``reads_per_s`` and ``writes_per_s`` are enforced over one second; calls beyond them get
    HTTP 429. If ``token`` is set, calls need it as a bearer token; ``users`` maps names to
    passwords for ``/v3/auth/authenticate``. ``tls`` names the files of a certificate and its key.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        reads_per_s: float = READS_PER_S,
        writes_per_s: float = WRITES_PER_S,
        token: str | None = None,
        users: Mapping[str, str] | None = None,
        tls: tuple[str, str] | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._store = InMemoryKeyValueStore()
        self._changed = threading.Condition()
        self._meter = CallMeter(reads_per_s, writes_per_s, self._clock.monotonic())
        self._watches = WatchPump(self._store, self._changed, self._clock, self._charge_watches)
        self._token = token
        self._users = dict(users or {})
        self._unavailable_until = timedelta(0)
        self._slow_until = timedelta(0)
        self._slow_by = timedelta(0)
        self._lost_responses = 0
        self._vm_states: dict[str, VmState] = {}
        self._vm_history: deque[tuple[timedelta, VmList]] = deque()
        self._vm_lag = timedelta(0)
        self._record_vms()
        self._writes: dict[str, _Handler] = {
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._lease_grant,
            "/v3/lease/keepalive": self._lease_keepalive,
            "/v3/lease/revoke": self._lease_revoke,
        }
        self._reads: dict[str, _Handler] = {"/v3/kv/range": self._range, "/v1/vms": self._vms}
        self._server = HTTPServer((host, port), _gateway_for(self), minthreads=_WORKERS)
        self._server.max_request_body_size = _MAX_BODY_BYTES
        # cheroot notices a stop only after this interval; tests start and stop many servers.
        self._server.expiration_interval = 0.05
        if tls is not None:
            self._server.ssl_adapter = BuiltinSSLAdapter(*tls)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def __enter__(self) -> Self:
        self._server.prepare()
        self._watches.start()
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._watches.stop()
        self._server.stop()
        self._thread.join()

    @property
    def address(self) -> str:
        """URL of the server."""
        host, port = self._server.bind_addr[:2]
        scheme = "http" if self._server.ssl_adapter is None else "https"
        return f"{scheme}://{host}:{port}"

    @property
    def counts(self) -> CallCounts:
        """Calls since the start, for reports."""
        with self._changed:
            return self._meter.counts(self._clock.monotonic())

    @property
    def open_watches(self) -> int:
        """Number of open watches."""
        return self._watches.open_watches

    def make_unavailable(self, duration: timedelta) -> None:
        """Reject all calls as not applied for a duration, and break all watches."""
        with self._changed:
            self._unavailable_until = self._clock.monotonic() + duration
        self.break_watches()

    def make_slow(self, by: timedelta, duration: timedelta) -> None:
        """Delay each call by ``by`` for a duration."""
        with self._changed:
            self._slow_by = by
            self._slow_until = self._clock.monotonic() + duration

    def lose_responses(self, writes: int) -> None:
        """Close the connection instead of answering the next writes that took effect."""
        with self._changed:
            self._lost_responses = writes

    def break_watches(self) -> None:
        """Close the connections of all open watches."""
        self._watches.break_all()

    def expire_leases(self) -> None:
        """End all leases at once, whatever time they have left."""
        with self._changed:
            self._store.expire_leases(None)
            self._changed.notify_all()

    def compact(self) -> None:
        """Drop the history of changes up to the latest revision."""
        with self._changed:
            self._store.compact()
            self._changed.notify_all()

    def set_vm(self, vm: str, state: VmState) -> None:
        """Set the state of one VM; lists show it after the lag."""
        with self._changed:
            self._vm_states[vm] = state
            self._record_vms()

    def set_vm_lag(self, lag: timedelta) -> None:
        """Set how old the returned list of VMs is."""
        with self._changed:
            self._vm_lag = lag

    def inject(self, faults: Faults) -> None:
        """Apply the faults of a ``POST /faults``."""
        if faults.unavailable_ms is not None:
            self.make_unavailable(faults.unavailable_ms * _MILLISECOND)
        if faults.slow_by_ms is not None:
            duration = (faults.slow_for_ms or faults.slow_by_ms) * _MILLISECOND
            self.make_slow(faults.slow_by_ms * _MILLISECOND, duration)
        if faults.lose_responses is not None:
            self.lose_responses(faults.lose_responses)
        if faults.vm_lag_ms is not None:
            self.set_vm_lag(faults.vm_lag_ms * _MILLISECOND)
        for vm, state in faults.vms.items():
            self.set_vm(vm, state)
        chosen = (
            (faults.break_watches, self.break_watches),
            (faults.expire_leases, self.expire_leases),
            (faults.compact, self.compact),
        )
        for wanted, action in chosen:
            if wanted:
                action()

    def respond(self, path: str, body: bytes, authorization: str) -> Mapping[str, Any] | None:
        """Return the body of a response, or None if it is to be lost. Raises _Failure."""
        if path == "/faults":
            self.inject(msgspec.json.decode(body, type=Faults))
            return {}
        if path == "/counts":
            return asdict(self.counts)
        self._admit(path, authorization)
        fields = json.loads(body) if body else {}
        if path == "/v3/auth/authenticate":
            return self._authenticate(fields)
        handler = self._writes.get(path) or self._reads.get(path)
        if handler is None:
            raise _Failure("404 Not Found", wire.GRPC_NOT_FOUND, "there is no such path")
        with self._changed:
            self._store.expire_leases(self._clock.monotonic())
            revision = self._store.revision
            answer = handler(fields)
            took_effect = path in self._writes and (
                self._store.revision != revision or not path.endswith("txn")
            )
            if took_effect:
                self._changed.notify_all()
                if self._lost_responses:
                    self._lost_responses -= 1
                    return None
            return answer

    def open_watch(self, body: bytes, authorization: str, connection: Any) -> None:
        """Take over the connection of a watch request. Raises _Failure."""
        self._admit("/v3/watch", authorization)
        request = json.loads(body)["create_request"]
        start, end = _range_of(request)
        self._watches.add(connection, start, end, int(request.get("start_revision", 0)))

    def _admit(self, path: str, authorization: str) -> None:
        with self._changed:
            now = self._clock.monotonic()
            if not self._meter.take(path in self._writes, now):
                raise _Failure(
                    "429 Too Many Requests",
                    wire.GRPC_RESOURCE_EXHAUSTED,
                    "etcdserver: too many requests",
                )
            delay = self._slow_by if now < self._slow_until else timedelta(0)
        if delay:
            time.sleep(delay.total_seconds())
        with self._changed:
            if self._clock.monotonic() < self._unavailable_until:
                raise _Failure("503 Service Unavailable", wire.GRPC_UNAVAILABLE, wire.NO_LEADER)
        if path == "/v3/auth/authenticate" or (self._token is None and not self._users):
            return
        accepted = {f"Bearer {self._token}"} if self._token is not None else set()
        accepted |= {_token_of(name) for name in self._users}
        if authorization not in accepted:
            raise _Failure(
                "401 Unauthorized", wire.GRPC_UNAUTHENTICATED, "etcdserver: invalid auth token"
            )

    def _authenticate(self, fields: Mapping[str, Any]) -> Mapping[str, Any]:
        name = fields.get("name", "")
        if name not in self._users or self._users[name] != fields.get("password"):
            raise _Failure(
                "400 Bad Request",
                wire.GRPC_INVALID_ARGUMENT,
                "etcdserver: authentication failed, invalid user ID or password",
            )
        return {"header": self._header(), "token": _token_of(name)}

    def _range(self, fields: Mapping[str, Any]) -> Mapping[str, Any]:
        found = self._store.range(*_range_of(fields))
        items = [wire.encode_item(item) for item in found.items]
        return {"header": self._header(), "kvs": items, "count": str(len(items))}

    def _txn(self, fields: Mapping[str, Any]) -> Mapping[str, Any]:
        outcome = self._store.txn(*wire.decode_txn(fields))
        answer: dict[str, Any] = {"header": self._header()}
        if outcome.succeeded:
            answer["succeeded"] = True  # the gateway leaves out false
        return answer

    def _lease_grant(self, fields: Mapping[str, Any]) -> Mapping[str, Any]:
        seconds = int(fields["TTL"])
        lease = self._store.lease_grant(timedelta(seconds=seconds), self._clock.monotonic())
        return {"header": self._header(), "ID": str(lease), "TTL": str(seconds)}

    def _lease_keepalive(self, fields: Mapping[str, Any]) -> Mapping[str, Any]:
        left = self._store.lease_keepalive(int(fields["ID"]), self._clock.monotonic())
        result: dict[str, Any] = {"header": self._header(), "ID": str(fields["ID"])}
        if left:
            result["TTL"] = str(int(left.total_seconds()))
        return {"result": result}

    def _lease_revoke(self, fields: Mapping[str, Any]) -> Mapping[str, Any]:
        if not self._store.lease_revoke(int(fields["ID"])):
            raise _Failure(
                "404 Not Found", wire.GRPC_NOT_FOUND, "etcdserver: requested lease not found"
            )
        return {"header": self._header()}

    def _vms(self, fields: Mapping[str, Any]) -> Mapping[str, Any]:
        shown_at = self._clock.monotonic() - self._vm_lag
        while len(self._vm_history) > 1 and self._vm_history[1][0] <= shown_at:
            self._vm_history.popleft()
        vms = self._vm_history[0][1]
        return {name.value: sorted(getattr(vms, name.value)) for name in VmState}

    def _record_vms(self) -> None:
        sets = (
            frozenset(vm for vm, held in self._vm_states.items() if held is state)
            for state in VmState
        )
        self._vm_history.append((self._clock.monotonic(), VmList(*sets)))

    def _charge_watches(self, count: int) -> None:
        self._meter.charge_watches(count, self._clock.monotonic())

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._store.revision)}


def _range_of(fields: Mapping[str, Any]) -> tuple[bytes, bytes | None]:
    end = wire.decode_bytes(fields.get("range_end", ""))
    return wire.decode_bytes(fields["key"]), end or None


def _token_of(name: str) -> str:
    return f"{name}.token"


def _gateway_for(standin: PlatformStandIn) -> type[Gateway]:
    """Return a cheroot gateway class that passes requests to ``standin``."""

    class PlatformGateway(Gateway):
        """Answers one HTTP request."""

        def respond(self) -> None:
            request = self.req
            path = request.path.decode()
            body = request.rfile.read()
            authorization = request.inheaders.get(b"Authorization", b"").decode()
            status = "200 OK"
            try:
                if path == "/v3/watch":
                    # The pump owns the connection from here on. ``linger`` keeps cheroot from
                    # closing it and ``sent_headers`` from writing a response of its own.
                    standin.open_watch(body, authorization, request.conn.socket)
                    request.conn.linger = True
                    self._leave_unanswered()
                    return
                answer = standin.respond(path, body, authorization)
            except _Failure as failure:
                status = failure.status
                answer = {"error": str(failure), "message": str(failure), "code": failure.code}
            except PlatformRefused as error:
                status, answer = "400 Bad Request", _invalid(f"etcdserver: {error}")
            except (KeyError, ValueError, TypeError, msgspec.ValidationError) as error:
                status, answer = "400 Bad Request", _invalid(repr(error))
            if answer is None:
                self._leave_unanswered()
                return
            data = json.dumps(answer).encode()
            request.status = status.encode()
            request.outheaders = [
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(data)).encode()),
            ]
            request.ensure_headers_sent()
            request.write(data)

        def _leave_unanswered(self) -> None:
            self.req.sent_headers = True
            self.req.close_connection = True

    return PlatformGateway


def _invalid(message: str) -> dict[str, Any]:
    return {"error": message, "message": message, "code": wire.GRPC_INVALID_ARGUMENT}
