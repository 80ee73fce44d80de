"""Stand-ins for the platform's store and upstreams, as HTTP servers on loopback.

The stand-ins implement the platform's protocol as far as tests and soaks need it: without rate
limits, caches and a simulation of the engines' run times.
"""

import base64
import contextlib
import itertools
import json
import math
import socket
import threading
import time
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from email.utils import formatdate
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Self
from urllib.parse import parse_qs, urlsplit

from chervilrack._internal.soak.records import Arrival, Notice, NoticeKind
from chervilrack.platform.emulated.behaviours import Call, Header, behaviours

SLOTS = 8
SIGNATURE_PREFIX = "signed-by-"
# Longest time in ``Retry-After`` after which an upstream of a soak can be held to it.
MAX_HOLD_S = 10.0
# Copies of the store that are older than this are not kept.
COPIES_KEPT_S = 30.0


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    stand_in: "_StandIn"

    def log_message(self, *args: Any) -> None:
        pass

    def handle(self) -> None:
        server: _Server = self.server  # type: ignore[assignment]
        server.open_connections.add(self.connection)
        try:
            # The caller closed the connection.
            with contextlib.suppress(ConnectionError, TimeoutError):
                super().handle()
        finally:
            server.open_connections.discard(self.connection)

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        self.server.stand_in.serve(self, body)  # type: ignore[attr-defined]

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815 - names that http.server calls

    def end_headers(self) -> None:
        """End the header fields of an answer with those that the stand-in adds to each one."""
        for name, value in self.server.stand_in.added_headers:  # type: ignore[attr-defined]
            self.send_header(name, value)
        super().end_headers()

    def answer(
        self,
        status: int,
        document: Any = None,
        headers: Sequence[Header] = (),
        body: bytes | None = None,
    ) -> None:
        content = body if body is not None else json.dumps(document or {}).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    stand_in: "_StandIn"

    def __init__(self, address: tuple[str, int], stand_in: "_StandIn") -> None:
        self.stand_in = stand_in
        self.open_connections: set[socket.socket] = set()
        super().__init__(address, _Handler)

    def break_off(self) -> None:
        """Refuse new connections and end all others at once, as the end of a process does."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        for connection in list(self.open_connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of connections that the caller closed."""


class _StandIn(ABC):
    """HTTP server in its own thread; a context manager."""

    @property
    def added_headers(self) -> Sequence[Header]:
        """Header fields that each answer gets."""
        return ()

    def __init__(self) -> None:
        self._http = _Server(("127.0.0.1", 0), self)
        self.address = f"127.0.0.1:{self._http.server_address[1]}"

    def __enter__(self) -> Self:
        self._listen()
        return self

    def _listen(self) -> None:
        threading.Thread(target=self._http.serve_forever, args=(0.05,), daemon=True).start()

    def __exit__(self, *_: object) -> None:
        self._http.shutdown()
        self._http.server_close()

    @abstractmethod
    def serve(self, request: _Handler, body: bytes) -> None:
        """Answer one request."""


@dataclass(frozen=True, slots=True)
class StoreWrite:
    """A write of the operator or an upstream; ``document`` is None for a removed key."""

    key: str
    document: Any


@dataclass(frozen=True, slots=True)
class _StoreCopy:
    at: float
    revision: int
    last_lease: int
    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]


class StoreStandIn(_StandIn):
    """Stand-in for the platform's store, with one revision counter and leases that never expire.

    ``calls`` counts the calls by method and path. ``era`` is the text of the header for it in all
    answers, None for none. ``return_from_copy`` makes the store one of some seconds ago, and
    ``lost`` are then the writes of the operator and the upstreams that it has lost.
    """

    def __init__(self, page_items: int = 2) -> None:
        super().__init__()
        self.era: str | None = None
        self.lost: list[StoreWrite] = []
        self._is_away = False
        self._copies: list[_StoreCopy] = []
        self._writes: list[tuple[float, StoreWrite]] = []
        self._returned_at = 0.0
        # The default is small, so that a listing needs several pages.
        self._page_items = page_items
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = threading.Condition()
        self.calls: Counter[str] = Counter()
        self._last_lease = 0

    def put(self, key: str, document: Any) -> None:
        """Write a key without a lease, as the operator or an upstream does."""
        with self._changed:
            self._record(StoreWrite(key, document))
            self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        with self._changed:
            del self._items[key]
            self._record(StoreWrite(key, None))
            self._revision += 1
            self._append_event({"key": key, "revision": self._revision, "tombstone": True})

    def go_away(self) -> None:
        """Answer all calls with status 503 until the store returns from a copy."""
        with self._changed:
            self._is_away = True
            self._changed.notify_all()

    def keep_copy(self) -> None:
        """Keep a copy of the store, with its history and leases."""
        with self._changed:
            now = time.monotonic()
            copy = _StoreCopy(
                now, self._revision, self._last_lease, dict(self._items), list(self._history)
            )
            self._copies = [c for c in self._copies if now - c.at < COPIES_KEPT_S] + [copy]

    def return_from_copy(self, age_s: float = 0.0) -> None:
        """Come back from the newest copy of at least this age, in the next era.

        If all copies are newer, it is the oldest one. Later writes and leases are gone, and their
        revisions and numbers are given out again.
        """
        with self._changed:
            latest = time.monotonic() - age_s
            older = [copy for copy in self._copies if copy.at <= latest]
            copy = older[-1] if older else self._copies[0]
            self._copies = [kept for kept in self._copies if kept.at <= copy.at]
            self._revision, self._last_lease = copy.revision, copy.last_lease
            self._items, self._history = dict(copy.items), list(copy.history)
            self.lost = [write for at, write in self._writes if at > copy.at]
            self._writes = [(at, write) for at, write in self._writes if at <= copy.at]
            self._is_away = False
            self._returned_at = time.monotonic()
            self.era = str(int(self.era or 0) + 1)
            self._changed.notify_all()

    def write_again(self) -> None:
        """Repeat the last lost write of each key, unless the key was written since the return."""
        with self._changed:
            written = {write.key for at, write in self._writes if at >= self._returned_at}
            lost = {write.key: write for write in self.lost if write.key not in written}
            self.lost = []
        for write in lost.values():
            if write.document is not None:
                self.put(write.key, write.document)
            elif write.key in self._items:
                self.remove(write.key)

    def _record(self, write: "StoreWrite") -> None:
        self._writes.append((time.monotonic(), write))

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "createdAt": self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._append_event(item)

    def _append_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.notify_all()

    def serve(self, request: _Handler, body: bytes) -> None:
        """Answer one call to the store."""
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = f"{request.command} {url.path}"
        self.calls[call] += 1
        if self._is_away:
            request.answer(503, headers=self._headers())
        elif call == "GET /api/kv-range":
            self._range(request, query)
        elif call == "GET /api/kv-watch":
            self._watch(request, query)
        elif call == "POST /api/kv-txn":
            self._txn(request, json.loads(body))
        elif call == "POST /api/kv-lease":
            self._grant(request, json.loads(body))
        elif url.path.startswith("/api/kv-keep/"):
            self._renew(request, int(url.path.rpartition("/")[2]))
        else:
            request.answer(404, headers=self._headers())

    def _headers(self) -> list[Header]:
        """Header fields of an answer; the caller holds the lock if it depends on the contents."""
        return [("Store-Era", self.era)] if self.era is not None else []

    def _grant(self, request: _Handler, body: Any) -> None:
        with self._changed:
            self._last_lease += 1
            answer, headers = {"lease": self._last_lease, "ttlMs": body["ttlMs"]}, self._headers()
        request.answer(200, answer, headers)

    def _renew(self, request: _Handler, lease: int) -> None:
        with self._changed:
            is_known, headers = lease <= self._last_lease, self._headers()
        request.answer(200 if is_known else 404, {"ttlMs": 5000}, headers)

    def _range(self, request: _Handler, query: dict[str, str]) -> None:
        with self._changed:
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(query.get("pathPrefix", "")) and key > query.get("after", "")
            ]
            page = {
                "entries": items[: self._page_items],
                "hasMore": len(items) > self._page_items,
                "at": self._revision,
            }
            headers = self._headers()
        request.answer(200, page, headers)

    def _watch(self, request: _Handler, query: dict[str, str]) -> None:
        after, deadline = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        with self._changed:
            while True:
                events = [event for event in self._history if event["revision"] > after]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0 or after > self._revision or self._is_away:
                    break
                self._changed.wait(remaining_s)
            status = 410 if after > self._revision else 200
            status = 503 if self._is_away else status
            answer, headers = {"events": events, "at": self._revision}, self._headers()
        request.answer(status, answer, headers)

    def _txn(self, request: _Handler, body: Any) -> None:
        with self._changed:
            current = [
                {"key": row["key"], "revision": self._items.get(row["key"], {}).get("revision", 0)}
                for row in body["expectedRevision"]
            ]
            is_current = current == body["expectedRevision"]
            has_leases = all(put["lease"] <= self._last_lease for put in body["puts"])
            for put in body["puts"] if is_current and has_leases else ():
                self._put(put["key"], put["value"], put["lease"])
            revision, headers = self._revision, self._headers()
        if not has_leases:
            request.answer(404, {}, headers)
        elif is_current:
            request.answer(200, {"revision": revision}, headers)
        else:
            request.answer(412, {"entries": current}, headers)


@dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that an upstream executed; ``at`` is a monotonic time in seconds."""

    command: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float


class UpstreamStandIn(_StandIn):
    """Stand-in for one upstream of any kind.

    ``behaviour`` selects how requests are answered: a name in ``behaviours``, with its argument
    after a colon, or "full", "hold off" or "stands still". ``seen`` holds the executed requests,
    ``pieces`` the pieces of stage calls and ``freed`` the handles of results that were freed.
    ``received`` counts the requests and stage calls that have arrived, ``arrivals`` names them, and
    ``notices`` are what the upstream has said about itself. ``left`` is set when a caller closes
    its connection during a stream. With ``leaving``, each answer says that the upstream leaves,
    and with ``stated_load`` it states that load.
    With ``retry_after``, it turns requests and stage calls away with that value of ``Retry-After``;
    ``turned_away`` counts these and other refusals. ``born`` is its start time as it is registered.

    ``crashes_on`` is what ends the upstream: "part ID" among the shared parts of a prompt, when
    the head of the answer is written, "path PATH" of a request, or "key KEY" of a piece.
    ``on_crash`` is called then, and ``crashes`` holds the requests that did so, with monotonic
    times in seconds.
    """

    def __init__(self, id: str, service: str) -> None:
        super().__init__()
        self.id = id
        self.service = service
        self.behaviour = "good"
        self.leaving = False
        self.stated_load = ""
        self.retry_after: str | None = None
        self.born = 1
        self.turned_away = 0
        self.crashes_on = ""
        self.on_crash: Callable[[], None] = lambda: None
        self.crashes: list[tuple[str, float]] = []
        self._is_down = False
        self._lock = threading.Lock()
        self.seen: list[ExecutedRequest] = []
        self.pieces: list[Any] = []
        self.freed: list[str] = []
        self.arrivals: list[Arrival] = []
        self.left = threading.Event()
        self._notices: list[Notice] = []
        self._starts: list[float] = []
        self.received = 0
        self._silent_until = 0.0
        self._handles = itertools.count(1)
        self._calls = itertools.count(1)
        self._slots = threading.BoundedSemaphore(SLOTS)

    def fall_silent(self, duration: timedelta) -> None:
        """Accept connections, but neither execute nor answer anything, for ``duration``."""
        self._silent_until = time.monotonic() + duration.total_seconds()

    def _wait_out_silence(self) -> None:
        while (left := self._silent_until - time.monotonic()) > 0:
            time.sleep(left)

    @property
    def added_headers(self) -> Sequence[Header]:
        """Header fields that each answer gets."""
        fields = [("Server-Leaving", "1")] if self.leaving else []
        if self.stated_load:
            fields.append(("Chervilrack-Server-Load", self.stated_load))
        return fields

    @property
    def notices(self) -> list[Notice]:
        """What the upstream has said about itself; a later start ends it."""
        return [
            replace(notice, until=min([notice.until, *(s for s in self._starts if s > notice.at)]))
            for notice in list(self._notices)
        ]

    def entry(self, state: str = "ready", address: str | None = None) -> dict[str, Any]:
        """Return the upstream's registration for the store."""
        return {
            "service": self.service,
            "address": address or self.address,
            "zone": "z1",
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def restart(self) -> None:
        """Begin a new start in the registration and forget all results."""
        self.born = time.time_ns() // 1_000_000
        self._starts.append(time.monotonic())

    def crash(self, request: str = "") -> None:
        """End as a process that crashes: all connections at once, new ones are refused."""
        with self._lock:
            if self._is_down:
                return
            self._is_down = True
        self.crashes.append((request, time.monotonic()))
        self._http.break_off()
        self._http.shutdown()
        self._http.server_close()
        self.on_crash()

    def start_again(self, id: str) -> None:
        """Listen again after a crash, at the same address and under another id."""
        self.id = id
        self.freed.clear()
        self.restart()
        host, _, port = self.address.rpartition(":")
        self._http = _Server((host, int(port)), self)
        self._slots = threading.BoundedSemaphore(SLOTS)
        self._listen()
        self._is_down = False

    def serve(self, request: _Handler, body: bytes) -> None:
        """Execute one request, or reject it without execution."""
        if request.path != "/api/stage-free":
            self.received += 1
        self._wait_out_silence()
        target = request.headers.get("Chervilrack-Target-Instance")
        is_stage_call = request.path == "/api/stage-run"
        ids = self._request_ids(request, body, is_stage_call=is_stage_call)
        call, now = next(self._calls), time.monotonic()
        self.arrivals += [Arrival(id, self.id, now, call) for id in ids]
        behaviour, _, argument = self.behaviour.partition(":")
        if target not in (None, self.id):
            request.answer(421, headers=[("Chervilrack-Instance-Id", self.id)])
        elif request.path == "/api/stage-free":
            self.freed += json.loads(body)["handles"]
            request.answer(200)
        elif self.retry_after is not None:
            self._reject(request, [("Retry-After", self.retry_after)])
        elif behaviour == "hold off":
            self._hold_off(request, ids, argument.strip())
        elif is_stage_call:
            self._run_pieces(request, json.loads(body), self._own_headers(behaviour, ids))
        elif behaviour == "full" or not self._slots.acquire(blocking=False):
            self._reject(request, self._own_headers(behaviour, ids))
        else:
            with contextlib.ExitStack() as slot:
                slot.callback(self._slots.release)
                self._run(request, body, behaviour, argument.strip(), slot.close)

    def _request_ids(self, request: _Handler, body: bytes, *, is_stage_call: bool) -> list[str]:
        if is_stage_call:
            return sorted({str(piece["id"]) for piece in json.loads(body)["entries"]})
        id = request.headers.get("Chervilrack-Request-Id")
        return [id] if id is not None else []

    def _reject(self, request: _Handler, headers: Sequence[Header] = ()) -> None:
        self.turned_away += 1
        request.answer(503, headers=[("Chervilrack-Not-Executed", "1"), *headers])

    def _hold_off(self, request: _Handler, ids: Sequence[str], retry_time: str) -> None:
        """Reject a request, with ``Retry-After`` in one of several forms."""
        values = {
            "": [],
            "date": [formatdate(time.time() + 2, usegmt=True)],
            "twice": ["1", "2"],
        }.get(retry_time, [retry_time])
        with contextlib.suppress(ValueError):
            seconds = float(retry_time)
            # Other times are not a length of time that an upstream can mean.
            if 0 < seconds <= MAX_HOLD_S:
                now = time.monotonic()
                self._note(NoticeKind.HOLD_OFF, ids, now, now + seconds)
        self._reject(request, [("Retry-After", value) for value in values])

    def _own_headers(self, behaviour: str, ids: Sequence[str]) -> list[Header]:
        """Return the header fields in which the upstream speaks about itself."""
        if behaviour != "leaving":
            return []
        self._note(NoticeKind.LEAVING, ids, time.monotonic(), math.inf)
        return [("Server-Leaving", "1"), ("Connection", "close")]

    def _note(self, kind: NoticeKind, ids: Sequence[str], at: float, until: float) -> None:
        self._notices += [Notice(kind, id, self.id, at, until) for id in ids]

    def _run_pieces(self, request: _Handler, body: Any, headers: Sequence[Header]) -> None:
        entries = []
        for piece in body["entries"]:
            self.pieces.append(piece)
            if "key" in piece and self.crashes_on == f"key {piece['key']}":
                self.crash(piece["id"])
                return
            if self.behaviour == "stands still":
                time.sleep(5.0)
            entries.append({"handle": f"{self.address}/{self.id}-{next(self._handles)}"})
        request.answer(200, {"entries": entries}, headers)

    def _run(
        self,
        request: _Handler,
        body: bytes,
        behaviour: str,
        argument: str,
        free_slot: Callable[[], None],
    ) -> None:
        """Execute a request. Its slot is freed before the last bytes of the answer are sent.

        The caller may send its next request as soon as it has them.
        """
        # Uploads are filled up with zeros, which answers do not repeat.
        body = body.rstrip(b"\0")
        headers = dict(request.headers.items())
        executed = ExecutedRequest(request.command, request.path, headers, body, time.monotonic())
        self.seen.append(executed)
        id = headers.get("Chervilrack-Request-Id", "")
        response_headers = [
            ("Chervilrack-Request-Id", id),
            ("Chervilrack-Response-Signature", f"{SIGNATURE_PREFIX}{self.id}"),
            *self._own_headers(behaviour, [id]),
            *self.added_headers,
        ]
        url = urlsplit(request.path)
        work = int(parse_qs(url.query).get("workMs", ["0"])[0]) / 1000
        call = Call(
            request,
            body,
            tuple(response_headers),
            is_stream="/stream/" in request.path,
            last_event=int(request.headers.get("Last-Event-Id") or 0),
            work=1.0 if url.path.endswith("/slow") else work,
            argument=argument,
            free_slot=free_slot,
            wait_out_silence=self._wait_out_silence,
        )
        is_path = self.crashes_on == f"path {url.path}"
        if is_path or self.crashes_on in _shared_parts(headers):
            behaviour = "crashes"
            call = replace(call, crash=lambda: self.crash(id))
        try:
            behaviours.get(behaviour if behaviour in behaviours.names else "good")(call)
        except OSError:
            if call.is_stream:
                self.left.set()
            raise


def _shared_parts(headers: Mapping[str, str]) -> list[str]:
    """Return the parts of a prompt that other requests may have, which are all but the last."""
    parts = headers.get("Chervilrack-Prefix-Hash", "").split(",")[:-1]
    return [f"part {part.partition(':')[0]}" for part in parts]


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that are free, chosen by the kernel.

    Each port keeps a closed connection for a minute. Until then the kernel gives it to nobody who
    asks for any port, while servers, which reuse addresses, can listen on it.
    """
    with contextlib.ExitStack() as stack:
        listeners = [stack.enter_context(_listen()) for _ in range(count)]
        for listener in listeners:
            with socket.create_connection(listener.getsockname()):
                # The side that closes first keeps the closed connection.
                listener.accept()[0].close()
        return [int(listener.getsockname()[1]) for listener in listeners]


def _listen() -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    return listener
