"""Common behaviour of emulated upstreams: faults, draining, reports, record."""

import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, ClassVar, Self

import msgspec
import xxhash

from chervilrack._internal.releases.state import Limits
from chervilrack._internal.standins.upstreams.record import CallIds, Record
from chervilrack._internal.standins.upstreams.server import ClientLeft, Exchange, StandinServer

POLL_S = 0.01  # how often waiting work looks for a cut connection


class Faults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Faults in force. ``POST /faults`` takes the same fields; ``{}`` clears all.

    ``straggle`` multiplies service times; ``hang`` leaves requests unanswered; ``silent_s`` does so
    for this many seconds, after which the upstream goes on by itself; ``crash`` cuts connections;
    ``refuse`` answers ``X-Executed: no``; ``break_after`` cuts streams after this many tokens;
    ``answer_twice`` sends each whole answer twice; ``swap_answers`` sends the previous request's
    answer with its headers; ``fail`` answers status 500 after executing; ``added_headers`` are sent
    with each answer, such as what the upstream says of itself.
    """

    straggle: float = 1.0
    hang: bool = False
    silent_s: float = 0.0
    crash: bool = False
    refuse: bool = False
    break_after: int | None = None
    answer_twice: bool = False
    swap_answers: bool = False
    fail: bool = False
    added_headers: dict[str, str] = {}


class EmulatedUpstream(ABC):
    """Base class; a context manager whose ``address`` is the upstream's URL.

    With ``server`` the upstream is hosted there under ``/name``, otherwise by a server of its own.
    ``load_lag`` is the age of load reports in seconds.
    """

    work_paths: ClassVar[tuple[str, ...]] = ()

    def __init__(
        self,
        name: str,
        *,
        limits: Limits | None = None,
        server: StandinServer | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        checks_fencing: bool = False,
        load_lag: float = 0.0,
    ) -> None:
        self._name = name
        self._record = Record(limits)
        self._faults = Faults()
        self._silent_until = 0.0
        self._shared = server
        self._server = server or StandinServer(host, port)
        self._address = ""
        self._checks_fencing = checks_fencing
        self._highest_fencing = -1
        self._load_lag = load_lag
        self._load_history: list[tuple[float, dict[str, float]]] = []
        self._draining = False
        self._open: dict[int, Exchange] = {}
        self._busy = 0
        self._state_lock = threading.Lock()
        self._previous_answer: tuple[dict[str, Any], dict[str, str]] | None = None

    @property
    def name(self) -> str:
        """Name, which is also the path prefix on a shared server."""
        return self._name

    @property
    def address(self) -> str:
        """URL of the upstream while the context is entered."""
        return self._address

    @property
    def record(self) -> Record:
        """What the upstream saw."""
        return self._record

    @property
    def faults(self) -> Faults:
        """Faults in force."""
        return self._faults

    def __enter__(self) -> Self:
        if self._shared is None:
            self._server.__enter__()
        self._address = self._server.mount(self._name if self._shared else "", self)
        return self

    def __exit__(self, *_exception: object) -> None:
        if self._shared is None:
            self._server.__exit__()
        else:
            self._server.unmount(self._name)

    def set_faults(self, **faults: Any) -> None:
        """Replace the faults in force; see ``Faults`` for the names."""
        self._apply_faults(msgspec.convert(faults, Faults))

    def withdraw(self) -> None:
        """Keep working, but record each request that arrives from now on as too late."""
        self._record.withdraw()

    def stop_gracefully(self, timeout_s: float = 30.0) -> bool:
        """Refuse new work, let running work end, and return whether all of it ended in time."""
        self._draining = True
        end = time.monotonic() + timeout_s
        while self._busy and time.monotonic() < end:
            time.sleep(POLL_S)
        return self._busy == 0

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        path = exchange.path
        exchange.added_headers = self._faults.added_headers
        if path == "/faults" and exchange.method == "POST":
            self._apply_faults(msgspec.convert(exchange.body(), Faults))
            exchange.reply(200, msgspec.to_builtins(self._faults))
        elif path == "/record":
            exchange.reply(200, self._record.as_dict())
        elif path == "/load":
            exchange.reply(200, self._lagging_load())
        elif path == "/drain-status":
            exchange.reply(200, {"draining": self._draining, "running": self._busy})
        elif path == "/limits" and exchange.method == "POST":
            body = exchange.body()
            grace = float(body.pop("grace_s", 0.0))
            self._record.set_limits(msgspec.convert(body, Limits), grace)
            exchange.reply(200, {})
        elif path == "/withdraw" and exchange.method == "POST":
            self.withdraw()
            exchange.reply(200, {})
        elif path.startswith("/commands/") and exchange.method == "POST":
            self._handle_command(exchange, path.removeprefix("/commands/"))
        elif any(path.startswith(work) for work in self.work_paths):
            self._handle_work(exchange)
        else:
            self._handle_other(exchange)

    def _handle_other(self, exchange: Exchange) -> None:
        exchange.reply(404, {"error": "unknown path"}, CallIds.of(exchange.headers).echo)

    def _handle_command(self, exchange: Exchange, command: str) -> None:
        body = exchange.body()
        number = int(exchange.headers.get("x-fencing-number", "-1"))
        with self._state_lock:
            stale = number < self._highest_fencing
            self._highest_fencing = max(number, self._highest_fencing)
        if stale:
            self._record.stale_command()
            if self._checks_fencing:
                exchange.reply(409, {"error": "a higher fencing number was seen"})
                return
        if self._command(command, body):
            exchange.reply(200, {})
        else:
            exchange.reply(404, {"error": "unknown command"})

    def _command(self, command: str, body: Mapping[str, Any]) -> bool:
        """Carry out a command; return False if it is unknown."""
        del body
        if command not in ("drain", "resume"):
            return False
        self._draining = command == "drain"
        return True

    def _handle_work(self, exchange: Exchange) -> None:
        ids = CallIds.of(exchange.headers)
        if self._faults.crash:
            raise ClientLeft
        body = exchange.body()
        self._record.arrived(ids, self._tokens(body))
        with self._state_lock:
            self._open[id(exchange)] = exchange
            self._busy += 1
        cut_off = cancelled = False
        try:
            self._note_load()
            if self._faults.refuse or self._draining or not self._accepts(exchange, body):
                self._record.refused()
                self._end(exchange, ids)
                exchange.reply(503, {"error": "refused"}, {**ids.echo, "X-Executed": "no"})
                return
            self._work(exchange, ids, body)
        except ClientLeft:
            cut_off, cancelled = self._faults.crash, not self._faults.crash
            raise
        finally:
            self._end(exchange, ids, cut_off=cut_off, cancelled=cancelled)
            with self._state_lock:
                self._busy -= 1

    def _end(
        self,
        exchange: Exchange,
        ids: CallIds,
        *,
        cut_off: bool = False,
        cancelled: bool = False,
    ) -> None:
        """Count the end of a request, once.

        Called before the last bytes are sent: the client may use its permit again as soon as it
        has them, and the next request must not be counted together with this one.
        """
        with self._state_lock:
            counted = self._open.pop(id(exchange), None) is None
        if not counted:
            self._record.ended(ids, cut_off=cut_off, cancelled=cancelled)
            self._note_load()

    @abstractmethod
    def _work(self, exchange: Exchange, ids: CallIds, body: Mapping[str, Any]) -> None:
        """Execute one request and answer it; raises ClientLeft if the client closes."""

    def _tokens(self, body: Mapping[str, Any]) -> int:
        """Return the tokens that a request counts against a limit on tokens."""
        del body
        return 0

    def _accepts(self, exchange: Exchange, body: Mapping[str, Any]) -> bool:
        """Return whether the request can be executed at all."""
        del exchange, body
        return True

    def _load(self) -> dict[str, float]:
        """Return the load as it is now."""
        return {"running": float(self._record.running)}

    def _answer(self, exchange: Exchange, ids: CallIds, answer: dict[str, Any]) -> None:
        """Send a whole answer, subject to the faults in force."""
        headers = ids.echo
        load = msgspec.json.encode(self._lagging_load()).decode()
        previous, self._previous_answer = self._previous_answer, (answer, headers)
        self._end(exchange, ids)
        if self._faults.fail:
            exchange.reply(500, {"error": "failed"}, headers)
            return
        if self._faults.swap_answers and previous is not None:
            answer, headers = previous
        exchange.reply(200, answer, {**headers, "X-Load": load})
        if self._faults.answer_twice:
            content = msgspec.json.encode(answer)
            lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(content)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            exchange.write_raw("\r\n".join([*lines, "", ""]).encode() + content)

    def _spend(self, exchange: Exchange, seconds: float) -> None:
        """Wait for the service time; raises ClientLeft if the client closes meanwhile."""
        self._wait_while_hanging(exchange)
        end = time.monotonic() + seconds * self._faults.straggle
        while (rest := end - time.monotonic()) > 0:
            time.sleep(min(rest, POLL_S))
            if self._faults.crash or exchange.disconnected():
                raise ClientLeft

    def _wait_while_hanging(self, exchange: Exchange) -> None:
        while self._faults.hang or time.monotonic() < self._silent_until:
            time.sleep(POLL_S)
            if self._faults.crash or exchange.disconnected():
                raise ClientLeft

    def _apply_faults(self, faults: Faults) -> None:
        self._faults = faults
        self._silent_until = time.monotonic() + faults.silent_s
        if faults.crash:
            with self._state_lock:
                open_exchanges = list(self._open.values())
            for exchange in open_exchanges:
                exchange.cut()

    def _note_load(self) -> None:
        now = time.monotonic()
        with self._state_lock:
            self._load_history.append((now, self._load()))
            while len(self._load_history) > 1 and self._load_history[1][0] <= now - self._load_lag:
                del self._load_history[0]

    def _lagging_load(self) -> dict[str, float]:
        visible = time.monotonic() - self._load_lag
        with self._state_lock:
            known = [load for noted, load in self._load_history if noted <= visible]
        return known[-1] if known else {"running": 0.0}


def variation(request: str, spread: float) -> float:
    """Return a factor around 1, between ``1 - spread`` and ``1 + spread``, fixed per request."""
    share = xxhash.xxh3_64_intdigest(request.encode()) / 2**64
    return 1.0 + spread * (2.0 * share - 1.0)
