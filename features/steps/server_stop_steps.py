"""Steps for requests that are not complete when a pass-through server stops."""

import contextlib
import socket
import threading
import time
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.forwarding.responses import problem_response
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
from chervilrack._internal.gateway.server import HttpServer, HttpServerSettings
from chervilrack.platform.emulated.standins import free_ports

LIMIT_S = 10.0
HEAD = b"POST /a HTTP/1.1\r\nHost: app.example\r\n"
PARTS = {
    "half a line": b"POST /a HT",
    "half a head": HEAD + b"Content-",
    "half a body": HEAD + b"Content-Length: 4\r\n\r\nab",
    "half a chunk's line": HEAD + b"Transfer-Encoding: chunked\r\n\r\n1",
    "half a chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nab",
}


class _Reading(PassThroughServer):
    """Server that tells whether a thread is reading a request."""

    def is_reading(self):
        return any(thread.conn is not None for thread in list(self._server.requests._threads))


@given("a server to which a caller has sent {part} of a request")
def send_part(context, part):
    (port,) = free_ports(1)
    context.stack = contextlib.ExitStack()
    context.add_cleanup(context.stack.close)
    settings = ListenSettings("127.0.0.1", port)
    server = _Reading(settings, lambda request, responder: None, SystemClock())
    context.stack.enter_context(server)
    context.caller = socket.create_connection(("127.0.0.1", port), timeout=LIMIT_S)
    context.add_cleanup(context.caller.close)
    context.caller.sendall(PARTS[part])
    end = time.monotonic() + LIMIT_S
    while not server.is_reading():
        assert time.monotonic() < end, "the server does not read the request"
        time.sleep(0.01)


@when("the server stops")
def stop_server(context):
    # A daemon, since a stop that hangs would keep the tests from ending.
    context.stop = threading.Thread(target=context.stack.close, daemon=True)
    context.stop.start()


@when("the caller ends its side of the connection")
def end_sending(context):
    context.caller.shutdown(socket.SHUT_WR)


def read_answer(caller):
    """Return all bytes until the server closes the connection."""
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while part := caller.recv(4096):
            received += part
    return received


@then("the caller gets a refusal of a request that was not executed, or no answer")
def refused_or_closed(context):
    answer = read_answer(context.caller)
    is_refusal = answer.startswith(b"HTTP/1.1 503 ") and b'"executed":"no"' in answer
    assert is_refusal or not answer, answer


@then("the caller is told that the request is malformed")
def malformed(context):
    answer = read_answer(context.caller)
    assert answer.startswith(b"HTTP/1.1 400 "), answer


@given("a server whose only thread is about to pass on a second request on its connection")
def hold_thread(context):
    def answer(request, responder):
        responder.send_response(200, [], b"")

    settings = ListenSettings("127.0.0.1", 0, min_threads=1, max_threads=8)
    context.server = PassThroughServer(settings, answer, SystemClock())
    context.server.__enter__()
    context.server_threads = context.server._server.requests._threads
    connections = context.server._server._connections
    put, held, context.pass_on = connections.put, threading.Event(), threading.Event()

    def put_late(connection):
        if connection.rfile.has_data():
            held.set()
            assert context.pass_on.wait(LIMIT_S)
        put(connection)

    connections.put = put_late
    request = b"POST /a HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"
    caller = socket.create_connection(("127.0.0.1", context.server.port), timeout=LIMIT_S)
    context.add_cleanup(caller.close)
    caller.sendall(request * 2)
    assert held.wait(LIMIT_S)
    context.worker = context.server_threads[0]


@when("the server stops before the thread does so")
def stop_before(context):
    # A daemon, since a stop that hangs would keep the tests from ending.
    context.stop = threading.Thread(
        target=context.server.__exit__, args=(None, None, None), daemon=True
    )
    context.stop.start()
    end = time.monotonic() + LIMIT_S
    while context.server_threads:  # the stop has taken the threads that it ends
        assert time.monotonic() < end
        time.sleep(0.01)
    context.pass_on.set()


@then("the stop ends and no thread of the server is left")
def check_stopped(context):
    context.stop.join(LIMIT_S)
    assert not context.stop.is_alive()
    assert not context.worker.is_alive()
    assert not context.server_threads


WHOLE = HEAD + b"Content-Length: 4\r\n\r\nabcd"
LARGE_LENGTH = 2_000_000
REST_DELAY_S = 0.05


class _Stopping:
    """Server that refuses all requests; ``hold`` keeps its accepting thread from going on."""

    def __init__(self, context, **settings):
        self.stack = context.stack = contextlib.ExitStack()
        context.add_cleanup(self.stack.close)
        self.free = threading.Event()
        context.add_cleanup(self.free.set)
        self.busy = threading.Semaphore(0)
        self.callers = []
        self.waits_for_s = 0.0
        self._go_on = threading.Event()
        self._go_on.set()
        self._is_held = threading.Semaphore(0)
        self._context = context
        listen = ListenSettings("127.0.0.1", 0, **settings)
        self.server = self.stack.enter_context(
            PassThroughServer(listen, self._handle, SystemClock(), is_closing=self._is_closing)
        )
        self.is_leaving = False
        self.connections = self.server._server._connections
        self.accepted = self.handled = 0
        self._accept = self.connections._from_server_socket
        self.connections._from_server_socket = self._count_accepted
        self._dispatch = self.connections._dispatch
        self.connections._dispatch = self._dispatch_if_free

    def _is_closing(self):
        return self.is_leaving

    def _count_accepted(self, listener):
        accepted = self._accept(listener)
        self.accepted += accepted is not None
        return accepted

    def _handle(self, request, responder):
        self.handled += 1
        if request.path == "/busy":
            self.busy.release()
            assert self.free.wait(LIMIT_S)
        if request.path == "/kept":
            responder.send_response(200, [], b"")
        elif request.path == "/large":
            responder.send_response(200, [], b"x" * 64_000_000)
        else:
            problem = Problem(ResultCode.NOT_READY, "this node has left")
            responder.send_response(*problem_response(problem, None))

    def _dispatch_if_free(self, timeout_s):
        if not self._go_on.is_set():
            self._is_held.release()
            assert self._go_on.wait(LIMIT_S)
        self.waits_for_s = timeout_s
        self._dispatch(timeout_s)

    def hold(self):
        """Hold the accepting thread before its next look at the connections."""
        self._go_on.clear()
        # Any connection wakes the thread.
        self.connect(is_checked=False)
        assert self._is_held.acquire(timeout=LIMIT_S)

    def go_on(self):
        self._go_on.set()

    def connect(self, *, is_checked=True):
        caller = socket.create_connection(("127.0.0.1", self.server.port), timeout=LIMIT_S)
        self._context.add_cleanup(caller.close)
        if is_checked:
            self.callers.append(caller)
        return caller

    def connect_kept(self):
        caller = self.connect()
        caller.sendall(b"GET /kept HTTP/1.1\r\nHost: n\r\n\r\n")
        assert caller.recv(4096).startswith(b"HTTP/1.1 200 ")
        pool = self.server._server.requests
        self.wait_until(lambda: all(thread.conn is None for thread in list(pool._threads)))
        return caller

    def occupy_threads(self, count):
        for _ in range(count):
            self.connect().sendall(b"GET /busy HTTP/1.1\r\nHost: n\r\n\r\n")
            assert self.busy.acquire(timeout=LIMIT_S)

    def wait_until(self, condition):
        end = time.monotonic() + LIMIT_S
        while not condition():
            assert time.monotonic() < end
            time.sleep(0.005)

    def stop(self):
        """Begin the stop, and return when the accepting thread may know of it."""
        self.is_leaving = True
        self._context.stop = threading.Thread(target=self.stack.close, daemon=True)
        self._context.stop.start()
        time.sleep(REST_DELAY_S)


@given("a server with 2 threads that refuses all requests, as a node does that has left")
def start_refusing(context):
    context.stopping = _Stopping(context, min_threads=2, max_threads=2)


def _stop_held(stopping, send):
    """Stop while what ``send`` sends has not been looked at."""
    stopping.hold()
    send()
    stopping.stop()
    stopping.go_on()


def _send_part(stopping, part, rest):
    caller = stopping.connect()
    caller.sendall(part)
    pool = stopping.server._server.requests
    stopping.wait_until(lambda: any(thread.conn is not None for thread in list(pool._threads)))
    stopping.stop()
    if rest:
        caller.sendall(rest)


def _send_queued(stopping, data, count=1):
    stopping.occupy_threads(2)
    for _ in range(count):
        stopping.connect().sendall(data)
    stopping.wait_until(lambda: stopping.server._server.requests.qsize >= count)
    stopping.stop()
    stopping.free.set()


def _stop_with_backlog(stopping, count):
    _stop_held(stopping, lambda: [stopping.connect().sendall(WHOLE) for _ in range(count)])


def _stop_before_connection(stopping):
    stopping.hold()
    stopping.stop()
    stopping.connect().sendall(WHOLE)
    stopping.go_on()


def _stop_with_accepted(stopping):
    caller = stopping.connect()
    stopping.wait_until(lambda: len(stopping.connections._selector) >= 2)
    _stop_held(stopping, lambda: caller.sendall(WHOLE))


def _stop_with_kept(stopping):
    caller = stopping.connect_kept()
    _stop_held(stopping, lambda: caller.sendall(WHOLE))


def _stop_before_new(stopping):
    caller = stopping.connect()
    stopping.wait_until(lambda: len(stopping.connections._selector) >= 2)
    stopping.stop()
    caller.sendall(WHOLE)


def _stop_at_kept(stopping):
    caller = stopping.connect_kept()
    stopping.hold()
    stopping.stop()
    caller.sendall(WHOLE)
    stopping.go_on()


def _stop_with_3_kept(stopping):
    callers = [stopping.connect_kept() for _ in range(3)]
    _stop_held(stopping, lambda: [caller.sendall(WHOLE) for caller in callers])


def _stop_refusing(stopping):
    stopping.occupy_threads(2)
    for _ in range(3):
        stopping.connect().sendall(HEAD + b"Content-Length: 4\r\n\r\nab")
    overdue = stopping.server._server._overdue
    stopping.wait_until(lambda: overdue.qsize() >= 1)
    stopping.stop()
    stopping.free.set()


LARGE_HEAD = HEAD + b"Content-Length: %d\r\n\r\n" % LARGE_LENGTH
STOPS = {
    "a request on a connection that waits to be accepted": lambda s: _stop_with_backlog(s, 1),
    "20 requests on connections that wait to be accepted": lambda s: _stop_with_backlog(s, 20),
    "a request on a connection made after the stop began": _stop_before_connection,
    "a request on a connection that was accepted and not read": _stop_with_accepted,
    "a request that arrived on a kept connection and is unread": _stop_with_kept,
    "a new connection whose request arrives 50 ms later": _stop_before_new,
    "a kept connection whose request arrives at once": _stop_at_kept,
    "requests that arrived on 3 kept connections, unread": _stop_with_3_kept,
    "half a head, the rest of which arrives 50 ms later": lambda s: _send_part(
        s, WHOLE[:30], WHOLE[30:]
    ),
    "half a body, the rest of which arrives 50 ms later": lambda s: _send_part(
        s, WHOLE[:-2], WHOLE[-2:]
    ),
    "half a head, the rest of which does not arrive": lambda s: _send_part(s, WHOLE[:30], b""),
    "half a body, the rest of which does not arrive": lambda s: _send_part(s, WHOLE[:-2], b""),
    "half a large body, more of which arrives 50 ms later": lambda s: _send_part(
        s, LARGE_HEAD + b"a" * 100_000, b"a" * 100_000
    ),
    "requests that wait for a thread": lambda s: _send_queued(s, WHOLE, 3),
    "half a head that waits for a thread": lambda s: _send_queued(s, WHOLE[:30]),
    "half a body that waits for a thread": lambda s: _send_queued(s, WHOLE[:-2]),
    "requests that are being refused": _stop_refusing,
}


@when("the server stops while callers connect and send a request, one each 10 ms")
def stop_while_connecting(context):
    stopping = context.stopping
    stopping.is_leaving = True
    context.stop = threading.Thread(target=stopping.stack.close, daemon=True)
    context.stop.start()
    with contextlib.suppress(ConnectionRefusedError):
        while context.stop.is_alive():
            with contextlib.suppress(ConnectionResetError):
                caller = stopping.connect()
                try:
                    caller.sendall(WHOLE)
                except (ConnectionResetError, BrokenPipeError):
                    # The reset has been reported; a read would show a plain end. If the server had
                    # accepted the connection, it would be missing among the refused ones.
                    stopping.callers.remove(caller)
            time.sleep(0.01)


@given("the server should have closed a second ago")
def overdue(context):
    context.stopping.server.close_by(SystemClock().monotonic() - timedelta(seconds=1))


@when("the server stops with {what}")
def stop_with(context, what):
    STOPS[what](context.stopping)


def read_to_end(caller):
    """Return all bytes until the end of the connection. Raises ConnectionResetError."""
    received = b""
    while part := caller.recv(4096):
        received += part
    return received


@then("as many callers get status 503 as connections were accepted, and no other request was read")
def check_accepted_refused(context):
    refused = 0
    for caller in context.stopping.callers:
        with contextlib.suppress(ConnectionResetError):
            answer = read_to_end(caller)
            assert answer.startswith(b"HTTP/1.1 503 "), answer
            refused += 1
    assert refused == context.stopping.accepted == context.stopping.handled


@then("each caller gets status 503, the announcement of the close and the end, without a reset")
def all_refused(context):
    for caller in context.stopping.callers:
        answer = read_to_end(caller)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 "), answer
        assert b"\r\nConnection: close" in head, head
        assert b'"executed":"no"' in body, body
        caller.close()


@then("the stop ends")
def stop_ends(context):
    context.stop.join(LIMIT_S)
    assert not context.stop.is_alive()


@then("the server has counted {count:d} answers and no connection that it cut")
def counted(context, count):
    closed = context.stopping.server.closed
    assert closed["answered"] == count, closed
    assert closed["accepted"] > 0, closed
    assert "cut" not in closed, closed


@given("a server that checks its connections each 60 s, and a kept connection")
def start_with_rare_checks(context):
    context.stopping = _Stopping(context, check_interval=timedelta(seconds=60))
    context.stopping.connect_kept()
    context.stopping.wait_until(lambda: context.stopping.waits_for_s >= 60.0)


@then("the caller gets the end of the connection, and the stop ends")
def closed_and_stopped(context):
    assert read_to_end(context.stopping.callers[0]) == b""
    stop_ends(context)


def _send_slowly(stopping):
    caller = stopping.connect()
    caller.sendall(WHOLE[:30])

    def send():
        with contextlib.suppress(OSError):
            while True:
                caller.sendall(b"a")
                time.sleep(0.02)

    threading.Thread(target=send, daemon=True).start()


def _read_nothing(stopping):
    stopping.connect().sendall(b"GET /large HTTP/1.1\r\nHost: n\r\n\r\n")
    pool = stopping.server._server.requests
    stopping.wait_until(lambda: any(thread.conn is not None for thread in list(pool._threads)))


BEHAVIOURS = {
    "connects and sends nothing": lambda s: s.connect(),
    "keeps its connection and sends nothing": lambda s: s.connect_kept(),
    "sends a byte of a head each 20 ms": _send_slowly,
    "reads nothing of a large answer": _read_nothing,
}


@given("a server whose caller {behaviour}")
def start_with_behaviour(context, behaviour):
    context.stopping = _Stopping(context, header_time=timedelta(seconds=60))
    BEHAVIOURS[behaviour](context.stopping)


NATIVE_REQUEST = b"GET / HTTP/1.1\r\nHost: n\r\n\r\n"


@given("a server of a native node")
def start_native(context):
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", "1")])
        return [b"x"]

    context.stack = contextlib.ExitStack()
    context.add_cleanup(context.stack.close)
    context.server = context.stack.enter_context(
        HttpServer(HttpServerSettings("127.0.0.1", 0, threads=4), answer)
    )


def wait_until(condition):
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def connect_native(context):
    caller = socket.create_connection(("127.0.0.1", context.server.port), timeout=LIMIT_S)
    context.add_cleanup(caller.close)
    return caller


@when("the native server stops with {what}")
def stop_native(context, what):
    connections = context.server._server._connections
    kept = connect_native(context)
    kept.sendall(NATIVE_REQUEST)
    received = b""
    while not received.endswith(b"\r\n\r\nx"):
        received += kept.recv(4096)
    selector = connections._selector
    wait_until(lambda: len(selector) == 2)  # the listener and the kept connection
    is_held, go_on = threading.Event(), threading.Event()
    select = selector.select

    def look_no_more(timeout=None):
        is_held.set()
        assert go_on.wait(LIMIT_S)
        return iter(())

    selector.select = look_no_more
    # Any connection wakes the accepting thread, which is then held.
    connect_native(context).close()
    assert is_held.wait(LIMIT_S)
    count = 20 if "20" in what else 0
    context.callers = [connect_native(context) for _ in range(count)] or [kept]
    for caller in context.callers:
        caller.sendall(NATIVE_REQUEST)
    context.server.stop_listening()
    wait_until(lambda: connections._stop_requested)
    selector.select = select
    go_on.set()


@then("each of these callers gets status 200 and the end, without a reset")
def check_native_answers(context):
    for caller in context.callers:
        received = b""
        while part := caller.recv(4096):
            received += part
        assert received.startswith(b"HTTP/1.1 200 "), received


@when("it stops late in accepting one of 10 requests that wait")
def stop_accepting_late(context):
    stopping = context.stopping
    accept = stopping.connections._from_server_socket
    context.answered_between = False
    accepted = 0

    def accept_late(listener):
        nonlocal accepted
        accepted += 1
        if accepted == 6:
            # Gives the requests that were accepted before the time to be answered.
            closing = stopping.server._server.closing
            end = time.monotonic() + 1.0
            while not context.answered_between and time.monotonic() < end:
                context.answered_between = closing.counts.get("answered", 0) > 0
                time.sleep(0.005)
        return accept(listener)

    def send():
        stopping.connections._from_server_socket = accept_late
        for _ in range(10):
            stopping.connect().sendall(WHOLE)

    _stop_held(stopping, send)


@then("a request was answered before the last one was accepted")
def check_answered_between(context):
    assert context.answered_between
