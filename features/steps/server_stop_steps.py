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
