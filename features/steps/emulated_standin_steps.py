"""Steps for the stand-ins for upstreams that soaks and tests of serving nodes use."""

import contextlib
import http.client
import threading

from behave import given, then, when

from chervilrack.platform.emulated.standins import UpstreamStandIn

LIMIT_S = 20.0


class PausingWriter:
    """Output of a request's thread, which pauses after it has written the last bytes."""

    def __init__(self, output, ending, resume):
        self._output = output
        self._ending = ending
        self._resume = resume

    def __getattr__(self, name):
        return getattr(self._output, name)

    def write(self, content):
        count = self._output.write(content)
        if content.endswith(self._ending):
            assert self._resume.wait(LIMIT_S)
        return count


class PausingStandIn(UpstreamStandIn):
    """Stand-in whose threads pause after ``ending`` until ``resume`` is set."""

    def __init__(self, ending):
        super().__init__("plain-1", "plain")
        self.ending = ending
        self.resume = threading.Event()

    def serve(self, request, body):
        request.wfile = PausingWriter(request.wfile, self.ending, self.resume)
        super().serve(request, body)


@given('an upstream stand-in that is "{behaviour}" and whose threads pause after "{ending}"')
def start_pausing_standin(context, behaviour, ending):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    last_bytes = ending.replace("\\r", "\r").replace("\\n", "\n").encode()
    context.standin = stack.enter_context(PausingStandIn(last_bytes))
    context.standin.behaviour = behaviour
    stack.callback(context.standin.resume.set)


@when("a caller sends it {count:d} {kind} requests one after the other")
def send_in_turn(context, count, kind):
    path = "/stream/1" if kind == "stream" else "/order/1"
    for _ in range(count):
        connection = http.client.HTTPConnection(context.standin.address, timeout=LIMIT_S)
        with contextlib.closing(connection):
            connection.request("POST", path, b"order")
            response = connection.getresponse()
            read_to_ending(response, context.standin.ending)


def read_to_ending(response, ending):
    """Read the body up to the last bytes that the stand-in writes before it pauses."""
    if response.headers["Transfer-Encoding"] is None:
        response.read()
        return
    received = b""
    while not received.endswith(ending):
        part = response.fp.read1(65536)
        assert part, received
        received += part


@then("the stand-in has executed all {count:d}")
def check_executed(context, count):
    assert len(context.standin.seen) == count, len(context.standin.seen)
