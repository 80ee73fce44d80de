"""Steps for the connections that callers keep to a pass-through server."""

import contextlib
import errno
import re
import socket
import threading
import time
import types
from datetime import timedelta
from unittest import mock

from behave import given, then, when
from cheroot.server import HTTPConnection

from chervilrack._internal.common.clock import ManualClock, SystemClock
from chervilrack._internal.gateway import passthrough
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer

LIMIT_S = 15.0
CHECK_S = 0.01
LARGE_ANSWER = b"x" * 16_000_000
REQUEST = b"POST /a HTTP/1.1\r\nHost: app.example\r\nContent-Length: 2\r\n\r\nab"
LAST_REQUEST = REQUEST.replace(b"Host:", b"Connection: close\r\nHost:")


class Clocks(ManualClock):
    """Monotonic and wall clock of the server; ``step`` sets only the wall clock."""

    def __init__(self):
        super().__init__()
        self.step = timedelta(0)

    def time(self):
        return (self.monotonic() + self.step).total_seconds()


class Handler:
    """Answers each request; requests to ``/busy`` wait until ``free`` is set."""

    def __init__(self):
        self.free = threading.Event()
        self.busy = threading.Semaphore(0)
        self.paths = []
        self.lock = threading.Lock()

    def __call__(self, request, responder):
        with self.lock:
            self.paths.append(request.path)
        if request.path == "/busy":
            self.busy.release()
            assert self.free.wait(LIMIT_S)
        body = LARGE_ANSWER if request.path == "/large" else b"answer to " + request.body
        responder.send_response(200, [], body)


def start(context, clock, is_closing=False, **settings):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.handler = Handler()
    stack.callback(context.handler.free.set)
    listen = ListenSettings("127.0.0.1", 0, check_interval=timedelta(seconds=CHECK_S), **settings)
    context.server = stack.enter_context(
        PassThroughServer(listen, context.handler, clock, is_closing=lambda: is_closing)
    )
    context.clock = clock
    context.stack = stack


def connect(context):
    caller = socket.create_connection(("127.0.0.1", context.server.port), timeout=LIMIT_S)
    context.stack.enter_context(caller)
    return caller


def read_answer(caller):
    """Return the status, head and body of an answer; the status is None at the end.

    Reads nothing behind the answer.
    """
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = caller.recv(1)
        if not byte:
            assert not head, head
            return None, b"", b""
        head += byte
    length = int(re.search(rb"Content-Length: (\d+)", head)[1])
    body = bytearray()
    while len(body) < length:
        part = caller.recv(length - len(body))
        assert part, f"the answer ended after {len(body)} of {length} bytes"
        body += part
    return int(head.split()[1]), head, bytes(body)


def exchange(caller, request=REQUEST):
    caller.sendall(request)
    return read_answer(caller)


def run_checks(context):
    """Let the server check its connections at least twice."""
    for _ in range(2):
        time.sleep(CHECK_S * 2)
        with socket.create_connection(("127.0.0.1", context.server.port), timeout=LIMIT_S) as other:
            assert exchange(other)[0] == 200


@given("a pass-through server with an idle limit of {limit:d} s")
def start_with_limit(context, limit):
    clock = Clocks()
    # The wall clock that cheroot would measure idle time with.
    fake = types.SimpleNamespace(time=clock.time, sleep=time.sleep)
    patch = mock.patch("cheroot.connections.time", fake)
    patch.start()
    context.add_cleanup(patch.stop)
    start(context, clock, idle_time=timedelta(seconds=limit))


@given("a connection with an answered request")
def open_connection(context):
    context.caller = connect(context)
    assert exchange(context.caller)[0] == 200
    run_checks(context)


def advance(context, seconds):
    """Advance both clocks in steps, with checks of the connections in between."""
    context.clock.advance(timedelta(seconds=seconds))
    run_checks(context)


@when("the following happens to the connection")
def apply_events(context):
    context.idle_for = 0.0
    for event in filter(None, context.text.strip().split(", ")):
        match event.split():
            case [seconds, "s", "pass"]:
                advance(context, float(seconds))
                context.idle_for += float(seconds)
            case ["the", "limit", "becomes", seconds, "s"]:
                limits = (16384, 4_000_000, timedelta(seconds=3))
                context.server.set_limits(*limits, timedelta(seconds=float(seconds)))
                run_checks(context)
            case ["the", "wall", "clock", "is", "set", "by", seconds, "s"]:
                context.clock.step += timedelta(seconds=float(seconds))
                run_checks(context)
            case ["request"]:
                assert exchange(context.caller)[0] == 200
                run_checks(context)
                context.idle_for = 0.0
            case _:
                raise ValueError(event)


@when("the connection has been idle for {seconds:g} s")
def pass_idle_time(context, seconds):
    advance(context, seconds - context.idle_for)


@then("a further request on the connection is {end}")
def check_further_request(context, end):
    with contextlib.suppress(ConnectionError):
        status, _, _ = exchange(context.caller)
        assert status == (200 if end == "answered" else None), status
        return
    assert end == "closed", "the connection was reset"


@when("a request arrives while the server is about to close the idle connection")
def send_before_close(context):
    server = context.server._server
    entered, proceed = threading.Event(), threading.Event()
    process = server.process_conn

    def hold(conn):
        entered.set()
        assert proceed.wait(LIMIT_S)
        process(conn)

    with mock.patch.object(server, "process_conn", hold):
        other = connect(context)
        other.sendall(REQUEST)
        assert entered.wait(LIMIT_S)
        # The accepting thread has read its events and will check for expired connections next.
        context.caller.sendall(REQUEST)
        context.clock.advance(timedelta(seconds=60))
        proceed.set()
        assert read_answer(other)[0] == 200
        context.answer = read_answer(context.caller)


@then("that request is answered")
@then("the caller gets the whole answer")
def check_answer(context):
    status, _, body = context.answer
    assert status == 200, context.answer
    assert body in (b"answer to ab", LARGE_ANSWER), len(body)


@when("a caller pauses for {seconds:g} s within the body")
def pause_in_body(context, seconds):
    start_real(context)
    caller = connect(context)
    caller.sendall(REQUEST[:-1])
    time.sleep(seconds)
    context.answer = exchange(caller, REQUEST[-1:])


@when("a caller pauses for {seconds:g} s within a chunk")
def pause_in_chunk(context, seconds):
    start_real(context)
    caller = connect(context)
    head = REQUEST.replace(b"Content-Length: 2", b"Transfer-Encoding: chunked")
    caller.sendall(head[:-2] + b"2\r\na")
    time.sleep(seconds)
    context.answer = exchange(caller, b"b\r\n0\r\n\r\n")


@when("a caller reads nothing for {seconds:g} s of an answer of 16 MB")
def read_late(context, seconds):
    start_real(context)
    caller = connect(context)
    caller.sendall(REQUEST.replace(b"/a", b"/large"))
    time.sleep(seconds)
    context.answer = read_answer(caller)


def start_real(context):
    """Restart the server with the system's clock and the same idle limit."""
    limit = context.server._server.idle_limit.current
    start(context, SystemClock(), idle_time=limit)


MORE = b"y" * 300_000
REQUESTS = {
    "a malformed request": REQUEST.replace(b"Host:", b"Host :") + MORE,
    "a body that is too large": REQUEST.replace(b": 2", b": 900000000") + MORE,
    "a request that is the last": LAST_REQUEST + MORE,
}


@when("the server receives {request} and more bytes, and the caller reads late")
def send_more(context, request):
    caller = connect(context)
    sender = threading.Thread(target=send_quietly, args=(caller, REQUESTS[request]))
    sender.start()
    time.sleep(0.2)
    context.answer = read_answer(caller)
    context.rest = caller.recv(1)  # raises if the connection was reset
    caller.close()
    sender.join(LIMIT_S)


def send_quietly(caller, data):
    with contextlib.suppress(OSError):
        caller.sendall(data)


@then("the caller gets status {status:d} and the end of the connection")
def check_status_and_end(context, status):
    assert context.answer[0] == status, context.answer
    assert context.rest == b"", context.rest


@given("a pass-through server that is closing")
def start_closing(context):
    start(context, SystemClock(), is_closing=True)


@when("the server receives {count:d} requests at once")
def send_together(context, count):
    context.caller = connect(context)
    context.caller.sendall(REQUEST * count)
    context.count = count


@then("the caller gets {count:d} answers, of which only the last one announces the close")
def check_answers(context, count):
    answers = [read_answer(context.caller) for _ in range(count)]
    assert [status for status, _, _ in answers] == [200] * count, answers
    closes = [b"Connection: close" in head for _, head, _ in answers]
    assert closes == [False] * (count - 1) + [True], closes
    assert context.caller.recv(1) == b""


@given("a pass-through server with {count:d} threads")
def start_with_threads(context, count):
    start(context, SystemClock(), min_threads=count, max_threads=count)


@when("{count:d} callers connect and send nothing")
def connect_silently(context, count):
    for _ in range(count):
        connect(context)


@then("the request of another caller is answered")
def check_other_caller(context):
    with connect(context) as caller:
        assert exchange(caller)[0] == 200


@given("all threads are busy")
def occupy_threads(context):
    context.kept = connect(context)
    assert exchange(context.kept)[0] == 200
    for _ in range(context.server._server.requests.max):
        connect(context).sendall(REQUEST.replace(b"/a", b"/busy"))
        assert context.handler.busy.acquire(timeout=LIMIT_S)
    context.paths_before = list(context.handler.paths)


@when("the busy server receives {what}")
def send_while_busy(context, what):
    large = REQUEST.replace(b": 2", b": 1000000")
    caller = context.kept if what == "a request on a kept connection" else connect(context)
    context.caller = caller
    caller.sendall(
        {
            "a request on a new connection": REQUEST.replace(b"Content-Length: 2", b"X: y")[:-2],
            "a request with a body": REQUEST,
            "a request on a kept connection": REQUEST,
            "a part of a body that is large": large + b"x" * 100_000,
            "two requests at once": REQUEST * 2,
        }[what]
    )
    context.answers = 2 if what == "two requests at once" else 1


@then("the caller gets status 503 with Retry-After while the threads are busy")
def check_refused(context):
    for _ in range(context.answers):
        status, head, body = read_answer(context.caller)
        assert status == 503, (status, head)
        assert float(re.search(rb"Retry-After: ([0-9.]+)", head)[1]) > 0, head
        assert b'"executed":"no"' in body, body
    assert not context.handler.free.is_set()


@then("the handler gets nothing of it")
def check_not_handled(context):
    context.handler.free.set()
    assert exchange(connect(context))[0] == 200
    assert context.handler.paths == [*context.paths_before, "/a"], context.handler.paths


@when("{count:d} callers send half a {part} and a byte each {interval:d} ms")
def send_slowly(context, count, part, interval):
    begin = REQUEST[:20] if part == "head" else REQUEST.replace(b": 2", b": 1000000")
    callers = [connect(context) for _ in range(count)]
    stopping = threading.Event()
    context.stack.callback(stopping.set)

    def trickle():
        while not stopping.wait(interval / 1000):
            for caller in callers:
                with contextlib.suppress(OSError):
                    caller.sendall(b"x")

    for caller in callers:
        caller.sendall(begin)
    threading.Thread(target=trickle, daemon=True).start()


@when("the threads become free as a caller sends a request")
def send_and_free(context):
    caller = connect(context)
    caller.sendall(REQUEST)
    context.handler.free.set()
    context.answer = read_answer(caller)


@given("a pass-through server that keeps {count:d} connections")
def start_with_few_connections(context, count):
    patch = mock.patch.object(passthrough, "MAX_IDLE_CONNECTIONS", count)
    patch.start()
    context.add_cleanup(patch.stop)
    start(context, SystemClock())


@when("{count:d} callers send a request each on connections that stay open")
def send_on_kept_connections(context, count):
    context.callers, context.heads = [], []
    for _ in range(count):
        caller = connect(context)
        context.callers.append(caller)
        context.heads.append(exchange(caller)[1])
        # The connection is back among the idle ones only after its answer.
        time.sleep(CHECK_S * 5)


@then("{kept:d} connections stay open and {closed:d} answer announces the close")
def check_kept(context, kept, closed):
    announced = [b"Connection: close" in head for head in context.heads]
    assert sum(announced) == closed, announced
    for caller, closes in zip(context.callers, announced, strict=True):
        if closes:
            assert caller.recv(1) == b""
        else:
            assert exchange(caller)[0] == 200
    assert len(announced) - sum(announced) == kept


@when("no further connection can be accepted while one that was shut down is open")
def exhaust_descriptors(context):
    connections = context.server._server._connections
    accept = connections._from_server_socket
    context.has_lingered = threading.Event()

    def accept_or_fail(listener):
        if connections._lingering:
            context.has_lingered.set()
            raise OSError(errno.EMFILE, "Too many open files")
        return accept(listener)

    connections._from_server_socket = accept_or_fail


@when("a caller sends its last request and leaves")
def send_last_and_leave(context):
    with connect(context) as caller:
        assert exchange(caller, LAST_REQUEST)[0] == 200
        end = time.monotonic() + LIMIT_S
        while not context.has_lingered.wait(CHECK_S):
            assert time.monotonic() < end, "the connection did not linger"
            connect(context)


@given("a pass-through server with at least {least:d} and at most {most:d} threads")
def start_with_bounds(context, least, most):
    start(context, SystemClock(), min_threads=least, max_threads=most)


@given("{count:d} threads are busy and no further one can be started")
def occupy_and_refuse_threads(context, count):
    context.refused_threads = threading.Semaphore(0)

    def refuse():
        context.refused_threads.release()
        raise RuntimeError("can't start new thread")

    for _ in range(count):
        connect(context).sendall(REQUEST.replace(b"/a", b"/busy"))
        assert context.handler.busy.acquire(timeout=LIMIT_S)
    context.server._server.requests._spawn_worker = refuse


@when("a caller sends a request, and the threads become free once no further one could be started")
def send_and_free_later(context):
    caller = connect(context)
    caller.sendall(REQUEST)
    assert context.refused_threads.acquire(timeout=LIMIT_S)
    context.handler.free.set()
    context.answer = read_answer(caller)


@when("a connection cannot be {handled} by {thread}")
def fail_connection(context, handled, thread):
    is_accepting = thread == "the accepting thread"
    owner, name = {
        "kept": (context.server._server._connections._selector, "register"),
        "closed": (HTTPConnection, "close"),
    }[handled]
    work, context.has_failed = getattr(owner, name), threading.Event()

    def fail_once(*args, **kwargs):
        in_thread = (threading.current_thread() is context.server._thread) == is_accepting
        if in_thread and not context.has_failed.is_set():
            context.has_failed.set()
            raise OSError(errno.ENOSPC, "No space left on device")
        return work(*args, **kwargs)

    patch = mock.patch.object(owner, name, fail_once)
    patch.start()
    context.stack.callback(patch.stop)
    context.caller = connect(context)
    context.caller.sendall(REQUEST.replace(b"/a", b"/busy"))
    if handled == "closed":
        # The connection of a caller that has left is closed by its thread.
        assert context.handler.busy.acquire(timeout=LIMIT_S)
        context.caller.shutdown(socket.SHUT_WR)
    context.handler.free.set()
    assert context.has_failed.wait(LIMIT_S)


@then("its caller sees the end of the connection or an answer")
def check_failed_connection(context):
    with contextlib.suppress(ConnectionError):
        received = context.caller.recv(4096)
        assert not received or received.startswith(b"HTTP/1.1 200"), received


@then("no connection is left open")
def check_none_open(context):
    context.caller.close()
    connections = context.server._server._connections
    end = time.monotonic() + LIMIT_S
    while connections._open:
        assert time.monotonic() < end, connections._open
        time.sleep(CHECK_S)


@given("a pass-through server that checks its connections once a minute")
def start_with_late_checks(context):
    context.stack = contextlib.ExitStack()
    context.add_cleanup(context.stack.close)
    context.handler = Handler()
    listen = ListenSettings("127.0.0.1", 0, check_interval=timedelta(minutes=1))
    context.server = context.stack.enter_context(
        PassThroughServer(listen, context.handler, SystemClock())
    )


@given("{count:d} callers have connected and send nothing")
def connect_and_wait(context, count):
    connect_silently(context, count)
    connections = context.server._server._connections
    end = time.monotonic() + LIMIT_S
    while len(connections._callers()) < count:
        assert time.monotonic() < end
        time.sleep(CHECK_S)


@when("a caller sends {count:d} requests on a connection")
def send_on_connection(context, count):
    selector = type(context.server._server._connections._selector)
    with (
        mock.patch.object(selector, "connections", mock.PropertyMock()) as context.gone_through,
        connect(context) as caller,
    ):
        for _ in range(count):
            assert exchange(caller)[0] == 200


@then("the waiting connections were not gone through")
def check_not_gone_through(context):
    assert not context.gone_through.called, context.gone_through.call_count
