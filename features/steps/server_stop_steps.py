"""Steps for requests that are not complete when a pass-through server stops."""

import contextlib
import socket
import threading
import time

from behave import given, then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
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
    threading.Thread(target=context.stack.close, daemon=True).start()


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
