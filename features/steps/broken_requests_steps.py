"""Steps for requests that end early, sent to the HTTP servers of nodes."""

import contextlib
import random
import socket
import struct
from types import SimpleNamespace

from behave import then
from features.steps.gateway_steps import FakeNode
from result import Ok

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.gateway.application import Application
from chervilrack._internal.gateway.authentication import OperatorKeys, key_digest
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
from chervilrack._internal.gateway.routes import Routes
from chervilrack._internal.gateway.server import HttpServer, HttpServerSettings

LIMIT_S = 20.0


class RecordingNode(FakeNode):
    """Node that records the requests that it runs."""

    def __init__(self):
        super().__init__()
        self.ran = []

    def run_service(self, request):
        self.ran.append(request)
        return Ok({})

    def accept_release(self, document):
        self.ran.append(document)
        return Ok({})

    def handle(self, request, responder):
        """Answer a request to a serving node."""
        self.ran.append(request)
        responder.send_response(200, [], b"answer")


def start_serving(stack, node):
    settings = ListenSettings("127.0.0.1", 0)
    return stack.enter_context(PassThroughServer(settings, node.handle, SystemClock()))


def start_native(stack, node):
    watch = SimpleNamespace(watching=lambda *_: contextlib.nullcontext())
    operators = OperatorKeys([key_digest("operator-key")])
    routes = Routes(node, operators, watch, SystemClock(), random.Random(1))
    settings = HttpServerSettings("127.0.0.1", 0, threads=4)
    return stack.enter_context(HttpServer(settings, Application(routes)))


# Server, the target of its requests, the key and the body.
SERVERS = {
    "a serving node": (start_serving, b"/order/1", b"Token k1", b"two items"),
    "a native node": (start_native, b"/v1/services/stock/count", b"Bearer acme-key", b'{"n":12} '),
    "an operator's node": (
        start_native,
        b"/operator/v1/releases/accept",
        b"Bearer operator-key",
        b"release: 12",
    ),
}


def build_request(server, framing):
    """Return the bytes of the requests before the one that breaks off, and the bytes of that."""
    _, target, key, body = SERVERS[server]
    head = b"POST %b HTTP/1.1\r\nHost: n\r\nAuthorization: %b\r\n" % (target, key)
    whole = head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    if framing == "in chunks":
        chunk = b"0%x;name=value\r\n%b\r\n" % (len(body), body)
        coding = b"Transfer-Encoding: chunked\r\n\r\n"
        return b"", head + coding + chunk + b"0;last\r\nX-T: 1\r\n\r\n"
    if framing == "without a body":
        return b"", head + b"\r\n"
    return (whole if framing == "after another request" else b""), whole


def send(port, content, *, resets):
    with socket.create_connection(("127.0.0.1", port), timeout=LIMIT_S) as connection:
        connection.sendall(content)
        if resets:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return
        connection.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionResetError):
            while connection.recv(65536):
                pass


@then(
    "{server} runs a request {framing} only if it is whole, and not if it ends early by a {ending}"
)
def check_requests(context, server, framing, ending):
    before, request = build_request(server, framing)
    node = RecordingNode()
    with contextlib.ExitStack() as stack:
        port = SERVERS[server][0](stack, node).port
        for size in range(len(request)):
            send(port, before + request[:size], resets=ending == "reset")
        send(port, before + request, resets=False)
    expected = 1 if not before else len(request) + 2
    assert len(node.ran) == expected, (len(node.ran), expected, node.ran[:3])
