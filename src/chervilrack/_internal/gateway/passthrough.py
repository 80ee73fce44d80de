"""HTTP server for pass-through requests: reads whole requests and streams the responses."""

import contextlib
import logging
import queue
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from types import TracebackType
from typing import Any, Self

from cheroot.server import Gateway, HTTPServer
from cheroot.workers.threadpool import (  # type: ignore[attr-defined]  # not in the stub
    _SHUTDOWNREQUEST,
    ThreadPool,
)

from chervilrack._internal.common.byte_budget import BudgetExceeded, ByteBudget, Reservation
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.common.supervision import FAILURES, SupervisedThread
from chervilrack._internal.forwarding.messages import CallerGone, InboundRequest
from chervilrack._internal.forwarding.responses import problem_response
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.closing import AtClose, ServerClose
from chervilrack._internal.gateway.connections import (
    STALL_LIMIT,
    CallerConnection,
    CallerConnections,
)
from chervilrack._internal.gateway.idle import IdleLimit
from chervilrack._internal.gateway.intake import (
    SMALL_BODY_BYTES,
    BodyTooLarge,
    ChunkedBody,
    RecordedHeaders,
)
from chervilrack._internal.gateway.strict import StrictRequest
from chervilrack._internal.gateway.unread import AnswerWriter

logger = logging.getLogger(__name__)

# Bounds of the thread pool. A thread serves one request at a time. A stream occupies its thread for
# up to 20 s, and the last node of a fleet may receive all streams.
MIN_THREADS = 8
MAX_THREADS = 240
# Threads that are added at once when each idle thread already has a waiting connection.
THREADS_PER_GROWTH = 4
# Connections that the kernel queues before they are accepted.
QUEUED_CONNECTIONS = 512
# Idle connections that are kept open; file descriptors allow about 3,900 sockets.
MAX_IDLE_CONNECTIONS = 2500
# Bounds of configured times. Beyond them, no request could be read or times would overflow.
SHORTEST_HEADER_TIME = timedelta(milliseconds=100)
LONGEST_TIME = timedelta(days=1)
# Longest time that a request waits for a thread. Callers leave after a third of their deadline if
# nobody reads their request, and the shortest deadlines are one second.
MAX_THREAD_WAIT = timedelta(milliseconds=250)
# Interval of checks whether a thread has become idle for a request that has waited that long.
OVERDUE_CHECK_INTERVAL = timedelta(milliseconds=10)
# Time in which the head, and then the body, of a request has to arrive that is refused because no
# thread is free.
REFUSED_READ_TIME = timedelta(milliseconds=100)
# Time after which a request may come back for whose body there was no memory.
REFUSED_RETRY_TIME = timedelta(milliseconds=500)
# Memory for the bodies of requests if nothing else is said, in bytes.
BODY_MEMORY = 64 * 1024 * 1024
# The same for streams that their callers have not read yet.
UNREAD_MEMORY = 16 * 1024 * 1024
_WRITE_BYTES = 64 * 1024
# Longest time that a server takes to close if nothing else is said.
CLOSE_TIME = timedelta(seconds=2)
# Time that a server takes to close at least, if its time is over.
MIN_CLOSE_TIME = timedelta(milliseconds=100)
# Seconds in which threads have to end whose connections were cut.
THREAD_END_TIME_S = 1
# Responses that end with their head and state no length (RFC 9110, 8.6).
_STATUSES_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
# Header fields that concern only the caller's connection and are not forwarded.
_CONNECTION_FIELDS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)

Handler = Callable[[InboundRequest, "ConnectionResponder"], None]


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Listen address, thread bounds and limits on requests. Sizes are in bytes.

    ``header_time`` is the time in which the head of a request has to arrive, ``idle_time`` the one
    that a connection may be open without a request. Expired limits are noticed within
    ``check_interval``.
    """

    host: str
    port: int
    max_headers: int = 16 * 1024
    max_body: int = 4 * 1024 * 1024
    header_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)
    min_threads: int = MIN_THREADS
    max_threads: int = MAX_THREADS
    check_interval: timedelta = timedelta(milliseconds=500)


class _Request(StrictRequest):
    """Request that keeps its header fields as they were sent."""

    # Default for responses to a malformed request line, from which cheroot sets no method.
    method = b""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.inheaders = RecordedHeaders()
        # The limit holds for the whole request, even if a configuration changes it meanwhile.
        self.max_body: int = self.server.max_request_body_size

    def respond(self) -> None:
        """Read the body and hand the request to the server's handler."""
        self.server.gateway(self).respond()

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Answer a request that cannot be parsed with a problem and close the connection."""
        code = self.server.result_code(self._result_code(int(str(status)[:3])))
        self.server.error_log(f"answered {code.http_status}: {msg or code.title}")
        status_number, headers, body = problem_response(Problem(code, msg or code.title), None)
        self.close_connection = True
        responder = ConnectionResponder(self, None)
        with contextlib.suppress(CallerGone):
            responder.send_response(status_number, headers, body)

    def _result_code(self, status: int) -> ResultCode:
        if status == 413:
            # cheroot also reports 413 for headers over their limit.
            declared = self.inheaders.get(b"Content-Length", b"0")
            is_body_too_large = declared.isdigit() and int(declared) > self.max_body
            return ResultCode.BODY_TOO_LARGE if is_body_too_large else ResultCode.HEADERS_TOO_LARGE
        if status == 414:
            return ResultCode.HEADERS_TOO_LARGE
        if status == 408:
            return ResultCode.REQUEST_TIMEOUT
        if status == 500:
            return ResultCode.INTERNAL_ERROR
        return ResultCode.MALFORMED_REQUEST


class _Connection(CallerConnection):
    RequestHandlerClass = _Request

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        is_refused = self.is_refused
        self.begin_head(REFUSED_READ_TIME if is_refused else self.server.header_time)
        return bool(super().communicate())  # type: ignore[no-untyped-call]


class ConnectionResponder:
    """Writes the response to one request to the caller's connection."""

    def __init__(
        self, request: _Request, watch: CallerWatch | None, buffer: Reservation | None = None
    ) -> None:
        self._request = request
        self._watch = watch
        self._is_ending = False
        # Head and body of an answer to a caller that knows no chunks. Without them, only a stated
        # length lets it tell an answer that was cut off from a whole one.
        self._collected: tuple[int, list[tuple[str, str]], bytearray] | None = None
        self._buffer = buffer
        # Set while a response in chunked coding is sent.
        self._writer: AnswerWriter | None = None

    def send_response(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes | bytearray
    ) -> None:
        """Send a complete response."""
        self._is_ending = True
        has_body = status not in _STATUSES_WITHOUT_BODY
        length = [("Content-Length", str(len(body)))] if has_body else []
        head = self._head(status, [*headers, *length])
        if self._request.method == b"HEAD" or not has_body:
            self._send(head)
        elif len(body) < _WRITE_BYTES:
            self._send(head + body)
        else:
            self._send(head)
            self._send(body)

    def begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the status line and headers of a response in chunked coding.

        To a caller of HTTP/1.0, the whole response is sent once it has ended.
        """
        if self._request.response_protocol != "HTTP/1.1":
            self._collected = (status, list(headers), bytearray())
            return
        head = self._head(status, [*headers, ("Transfer-Encoding", "chunked")])
        self._writer = AnswerWriter(self._request.conn.socket, self._request.server.unread_memory)
        self._send_part(head)

    def write(self, part: bytes) -> None:
        """Send one chunk."""
        if self._collected is not None:
            self._collect(part, self._collected[2])
        elif part:
            self._send_part(b"%x\r\n%b\r\n" % (len(part), part))

    def _collect(self, part: bytes, body: bytearray) -> None:
        try:
            if self._buffer is not None:
                self._buffer.add(len(part))
        except BudgetExceeded:
            self.abort()
            raise CallerGone from None
        body += part

    def end(self) -> None:
        """Send the last chunk."""
        self._is_ending = True
        if self._collected is not None:
            self.send_response(*self._collected)
            return
        self._send_part(b"0\r\n\r\n")
        self._flush()

    def abort(self) -> None:
        """Close the connection without sending the last chunk."""
        self._request.close_connection = True
        with contextlib.suppress(CallerGone):
            self._flush()
        if self._collected is not None:
            detail = "the answer broke off"
            problem = Problem(ResultCode.UPSTREAM_FAILED, detail, Executed.UNKNOWN)
            self.send_response(*problem_response(problem, None))

    def on_caller_gone(self, action: Callable[[], None]) -> AbstractContextManager[None]:
        """Run ``action`` once if the caller disconnects before the last part is sent."""
        if self._watch is None:
            return contextlib.nullcontext()

        def run_unless_ending() -> None:
            # A caller that has read the whole response may disconnect before the context ends.
            if not self._is_ending:
                action()

        return self._watch.watching(self._request.conn.socket, run_unless_ending)

    def _head(self, status: int, headers: Sequence[tuple[str, str]]) -> bytes:
        request = self._request
        request.sent_headers = True
        request.server.closing.count(AtClose.ANSWERED)
        request.conn.begin_answer()
        if not request.server.may_keep(request.conn):
            request.close_connection = True
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = "Status"
        lines = [f"HTTP/1.1 {status} {phrase}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if request.close_connection:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def close(self) -> None:
        """Give back the memory of the response."""
        if self._writer is not None:
            self._writer.close()

    def _send_part(self, data: bytes) -> None:
        """Write a part of a chunked response, which may be kept until the caller reads on."""
        assert self._writer is not None
        try:
            self._writer.write(data)
        except (OSError, ValueError):
            self._request.close_connection = True
            raise CallerGone from None

    def _flush(self) -> None:
        if self._writer is not None:
            try:
                self._writer.flush()
            except OSError:
                self._request.close_connection = True
                raise CallerGone from None

    def _send(self, data: bytes | bytearray) -> None:
        """Write bytes, in pieces, since the writer copies what it gets."""
        view = memoryview(data)
        try:
            for start in range(0, len(data), _WRITE_BYTES):
                self._request.conn.wfile.write(view[start : start + _WRITE_BYTES])
        except (OSError, ValueError):
            self._request.close_connection = True
            raise CallerGone from None


class _Gateway(Gateway):
    """Reads the body of a request and calls the server's handler."""

    def respond(self) -> None:
        """Answer one request."""
        request: _Request = self.req
        connection: _Connection = request.conn
        if connection.is_refused:
            connection.begin_body(REFUSED_READ_TIME, is_total=True)
        else:
            connection.begin_body(STALL_LIMIT)
        with request.server.body_memory.open() as buffer:
            self._serve(request, buffer)

    def _serve(self, request: _Request, buffer: Reservation) -> None:
        """Read the body and call the handler; ``buffer`` reserves memory until both are done."""
        server: _Server = request.server
        responder = ConnectionResponder(request, server.watch, buffer)
        connection: _Connection = request.conn
        try:
            body = _read_body(request, request.max_body, buffer)
        except BudgetExceeded as error:
            detail = f"no memory for the body of the request: {error}"
            self._refuse(responder, ResultCode.QUEUE_FULL, detail, REFUSED_RETRY_TIME)
            return
        except BodyTooLarge as error:
            self._refuse(responder, ResultCode.BODY_TOO_LARGE, str(error))
            return
        except ValueError as error:
            code = server.result_code(ResultCode.MALFORMED_REQUEST)
            self._refuse(responder, code, str(error))
            return
        except TimeoutError:
            if not connection.is_refused:
                raise
            request.close_connection = True
            body = b""
        else:
            connection.end_body()
        inbound = InboundRequest(
            method=request.method.decode("latin-1"),
            target=request.uri.decode("latin-1"),
            host=request.inheaders.get(b"Host", b"").decode("latin-1").partition(":")[0],
            headers=_fields_to_forward(request.inheaders.fields),
            body=body,
            arrived=server.clock.monotonic(),
        )
        try:
            handler = server.refuse if connection.is_refused else server.handler
            handler(inbound, responder)
        except CallerGone:
            request.close_connection = True
        except Exception:
            logger.exception("gateway: the handler of a request raised an exception")
            request.close_connection = True
            if not request.sent_headers:
                detail = "see the node's log"
                problem = Problem(ResultCode.INTERNAL_ERROR, detail, Executed.UNKNOWN)
                with contextlib.suppress(CallerGone):
                    responder.send_response(*problem_response(problem, None))
        finally:
            responder.close()
        if not request.sent_headers:
            # A caller that was taken for gone must not wait for an answer.
            request.close_connection = True

    def _refuse(
        self,
        responder: ConnectionResponder,
        code: ResultCode,
        detail: str,
        retry_time: timedelta | None = None,
    ) -> None:
        self.req.close_connection = True
        problem = Problem(code, detail, retry_after=retry_time)
        with contextlib.suppress(CallerGone):
            responder.send_response(*problem_response(problem, None))


def _read_body(request: _Request, limit: int, buffer: Reservation) -> bytes:
    """Return the body of a request; ``buffer`` reserves memory before any of it is read."""
    if request.chunked_read:
        # The chunks are joined at the end, when they are held twice for a moment.
        body = ChunkedBody(request.conn.rfile, limit, lambda size: buffer.resize(2 * size)).read()
        buffer.finish()
        return body
    length = int(request.inheaders.get(b"Content-Length", b"0"))
    if length > limit:
        raise BodyTooLarge(f"the body is larger than {limit} bytes")
    if length > SMALL_BODY_BYTES:
        buffer.resize(length)
        buffer.finish()
    body = request.conn.rfile.read(length) if length else b""
    if len(body) < length:
        raise ValueError("the body is shorter than Content-Length")
    return body


def _fields_to_forward(fields: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
    return [(name, value) for name, value in fields if name.lower() not in _CONNECTION_FIELDS]


class _Pool(ThreadPool):
    """Thread pool that grows without waiting; cheroot's own pool sleeps in the accepting thread."""

    _threads: list[Any]
    _queue: "queue.Queue[Any]"
    _spawn_worker: Callable[[], Any]

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._growth_lock = threading.Lock()
        self._has_stopped = False

    def grow(self, amount: int) -> None:
        """Start up to ``amount`` more threads, fewer if the system allows no more.

        Starts none after ``stop``, which counts the threads to end each of them.
        """
        with self._growth_lock:
            count = min(amount, max(0, int(self.max) - len(self._threads)))
            for _ in range(0 if self._has_stopped else count):
                try:
                    self._threads.append(self._spawn_worker())
                except RuntimeError as error:
                    logger.warning("gateway: a thread could not be started: %s", error)
                    return

    def stop(self, timeout: float = 5) -> None:
        """End all threads; those that have not ended after ``timeout`` seconds are left behind.

        cheroot's own pool waits for them without limit.
        """
        with self._growth_lock:
            self._has_stopped = True
        threads, self._threads[:] = self._threads[:], []
        for _ in threads:
            self._queue.put(_SHUTDOWNREQUEST)
        end = time.monotonic() + timeout
        for thread in threads:
            thread.join(max(0.0, end - time.monotonic()))

    @property
    def has_capacity(self) -> bool:
        """Whether a thread is idle, or may be started."""
        return self.idle > 0 or len(self._threads) < int(self.max)

    @property
    def oldest_queued_at(self) -> timedelta | None:
        """Time since which the oldest connection waits for a thread, None if none waits."""
        with self._queue.mutex:
            oldest = self._queue.queue[0] if self._queue.queue else None
        return oldest.queued_at if isinstance(oldest, _Connection) else None

    def take_queued_before(self, time: timedelta) -> _Connection | None:
        """Remove and return the oldest waiting connection if it was queued before ``time``."""
        with self._queue.mutex:
            waiting = self._queue.queue
            if not waiting or not isinstance(waiting[0], _Connection):
                return None
            oldest: _Connection = waiting[0]
            if oldest.queued_at >= time:
                return None
            waiting.popleft()
            return oldest


class _Server(HTTPServer):
    """cheroot server that adds threads while connections wait for one.

    Requests that wait for a thread for longer than MAX_THREAD_WAIT are passed to ``refuse`` in a
    thread of their own.
    """

    requests: _Pool
    watch: CallerWatch | None = None
    body_memory: ByteBudget
    unread_memory: ByteBudget
    handler: Handler
    refuse: Handler
    clock: Clock
    idle_limit: IdleLimit
    header_time: timedelta
    is_closing: Callable[[], bool]
    closing: ServerClose
    close_by: timedelta | None = None
    _connections: Any

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._overdue: queue.SimpleQueue[_Connection | None] = queue.SimpleQueue()
        self._refuser = SupervisedThread("refuser", self._refuse_all)

    def prepare(self) -> None:
        """Bind the address and start the threads."""
        super().prepare()
        self._connections._selector.close()
        self._connections = CallerConnections(self, self.idle_limit, self.clock, self.closing)
        self._refuser.start()

    def stop(self) -> None:
        """Close the listener, answer what has arrived, and close all connections."""
        if not self.ready:
            return
        now = self.clock.monotonic()
        end = now + CLOSE_TIME if self.close_by is None else self.close_by
        self.closing.begin(max(now + MIN_CLOSE_TIME, min(now + CLOSE_TIME, end)))
        self._connections.wait_until_finished()
        self._overdue.put(None)
        super().stop()
        self.closing.close()

    def process_conn(self, conn: Any) -> None:
        """Queue a connection that has a request to read."""
        pool = self.requests
        if pool.idle <= pool.qsize:
            pool.grow(THREADS_PER_GROWTH)
        conn.queued_at = self.clock.monotonic()
        super().process_conn(conn)

    def linger(self, conn: CallerConnection) -> None:
        """Close a connection that was shut down a little later."""
        self._connections.linger(conn)

    def forget(self, conn: CallerConnection) -> None:
        """Record that a connection is closed."""
        self._connections.forget(conn)

    def may_keep(self, conn: CallerConnection) -> bool:
        """Whether a connection stays open after the answer that is about to be sent.

        A server that is closing answers the requests that have already arrived.
        """
        is_closing = self.is_closing() or self.closing.has_begun
        if is_closing and not conn.has_next_request:
            return False
        return bool(self.can_add_keepalive_connection)

    def time_to_refusal(self, longest: timedelta) -> timedelta:
        """Return the time until a waiting request is refused, at most ``longest``."""
        queued_at = self.requests.oldest_queued_at
        if queued_at is None:
            return longest
        left = queued_at + MAX_THREAD_WAIT - self.clock.monotonic()
        return min(max(left, OVERDUE_CHECK_INTERVAL), longest)

    def refuse_overdue(self, now: timedelta) -> None:
        """Refuse the requests that have waited too long for a thread.

        None is refused while a thread is idle, which may start late on a busy machine.
        """
        if self.requests.oldest_queued_at is None:
            return
        if self.requests.has_capacity:
            self.requests.grow(THREADS_PER_GROWTH if not self.requests.idle else 0)
            return
        while (conn := self.requests.take_queued_before(now - MAX_THREAD_WAIT)) is not None:
            self._overdue.put(conn)

    def _refuse_all(self) -> None:
        while (conn := self._overdue.get()) is not None:
            keeps_open = False
            conn.is_refused = True
            try:
                keeps_open = conn.communicate()
            except Exception as error:
                FAILURES.record("refuser", error, "a connection that is refused")
            conn.is_refused = False
            if keeps_open:
                self.put_conn(conn)
            else:
                conn.close()

    def result_code(self, code: ResultCode) -> ResultCode:
        """Return the code of a refusal: a request may be malformed because the server stops.

        A stop ends the reading of requests that are not complete.
        """
        return (
            ResultCode.NOT_READY
            if self.closing.has_begun and code is ResultCode.MALFORMED_REQUEST
            else code
        )

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log through the module's logger."""
        logger.log(max(level, logging.INFO), "gateway: %s", msg, exc_info=traceback)


def _refuse_overload(_request: InboundRequest, responder: ConnectionResponder) -> None:
    problem = Problem(ResultCode.QUEUE_FULL, "all threads are busy")
    responder.send_response(*problem_response(problem, None))


class PassThroughServer:
    """Serves requests at one address until the context ends.

    ``handler`` is called with each request, and ``refuse`` with each one for which no thread was
    free in time; ``refuse`` must answer at once. Bodies of requests take their memory from
    ``body_memory`` until the request has ended, and streams that their callers have not read yet
    from ``unread_memory``.
    """

    def __init__(
        self,
        settings: ListenSettings,
        handler: Handler,
        clock: Clock,
        watch: CallerWatch | None = None,
        is_closing: Callable[[], bool] = lambda: False,
        refuse: Handler = _refuse_overload,
        body_memory: ByteBudget | None = None,
        unread_memory: ByteBudget | None = None,
    ) -> None:
        self._server = _Server(
            (settings.host, settings.port),
            _Gateway,
            server_name="chervilrack",
        )
        self._server.requests = _Pool(
            self._server, min=settings.min_threads, max=settings.max_threads
        )
        self._clock = clock
        self._server.ConnectionClass = _Connection
        self._server.request_queue_size = QUEUED_CONNECTIONS
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.expiration_interval = settings.check_interval.total_seconds()
        self._server.watch = watch
        self._server.body_memory = body_memory or ByteBudget(BODY_MEMORY)
        self._server.unread_memory = unread_memory or ByteBudget(UNREAD_MEMORY)
        self._server.handler = handler
        self._server.refuse = refuse
        self._server.clock = clock
        self._server.is_closing = is_closing
        self._server.closing = ServerClose(clock)
        self._server.shutdown_timeout = THREAD_END_TIME_S
        self._server.idle_limit = IdleLimit(settings.idle_time)
        self.set_limits(
            settings.max_headers, settings.max_body, settings.header_time, settings.idle_time
        )
        self._thread = threading.Thread(target=self._serve, name="http", daemon=True)

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self._server.bind_addr[1])

    def set_limits(
        self, max_headers: int, max_body: int, header_time: timedelta, idle_time: timedelta
    ) -> None:
        """Set the limits on the sizes of requests and on the times of callers.

        They hold for requests that are read from now on, and for idle connections as IdleLimit
        states. They do not bound the bodies of requests and the answers in progress. Times are kept
        between SHORTEST_HEADER_TIME, or zero for ``idle_time``, and LONGEST_TIME.
        """
        self._server.max_request_header_size = max_headers
        self._server.max_request_body_size = max_body
        self._server.header_time = min(max(header_time, SHORTEST_HEADER_TIME), LONGEST_TIME)
        idle_limit = min(max(idle_time, timedelta(0)), LONGEST_TIME)
        self._server.idle_limit.change(idle_limit, self._clock.monotonic())

    @property
    def closed(self) -> dict[str, int]:
        """Number of connections by what became of them when the server closed."""
        return self._server.closing.counts

    def close_by(self, end: timedelta) -> None:
        """Set the monotonic time at which the server has closed when its context has ended.

        Connections are accepted no more then. Requests that arrive soon are passed to the handler,
        and their answers close the connection.
        """
        self._server.close_by = end

    def __enter__(self) -> Self:
        self._server.prepare()
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._server.stop()
        self._thread.join(timeout=2)

    def _serve(self) -> None:
        try:
            self._server.serve()
        except OSError as error:
            logger.error("gateway: the server stopped: %s", error)
