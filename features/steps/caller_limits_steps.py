"""Steps for limits of callers that are out of every range."""

import contextlib
import http.client
import logging
import socket
import time
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
from chervilrack.platform.emulated.standins import free_ports

LIMIT_S = 20.0
SECOND = timedelta(seconds=1)


class Errors(logging.Handler):
    def __init__(self):
        super().__init__(logging.ERROR)
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@given("a pass-through server that gets {limit} of {extreme}")
def start_server(context, limit, extreme):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.errors = Errors()
    logging.getLogger("chervilrack").addHandler(context.errors)
    stack.callback(logging.getLogger("chervilrack").removeHandler, context.errors)
    (context.port,) = free_ports(1)
    settings = ListenSettings("127.0.0.1", context.port, check_interval=timedelta(milliseconds=50))
    context.server = PassThroughServer(
        settings, lambda _, responder: responder.send_response(200, [], b"whole"), SystemClock()
    )
    stack.enter_context(context.server)
    context.stack = stack
    extremes = {"the longest": timedelta.max, "the shortest": timedelta.min}
    odd = extremes.get(extreme) or timedelta(days=int(extreme.removesuffix(" days")))
    header_time, idle_time = (SECOND, odd) if limit == "an idle limit" else (odd, 15 * SECOND)
    context.server.set_limits(16384, 100000, header_time, idle_time)


@when("{callers:d} callers send {requests:d} requests each on a connection")
def send_requests(context, callers, requests):
    context.statuses, context.connections = [], []
    for _ in range(callers):
        connection = http.client.HTTPConnection("127.0.0.1", context.port, timeout=LIMIT_S)
        context.stack.callback(connection.close)
        context.connections.append(connection)
        for _ in range(requests):
            connection.request("POST", "/a", b"ab")
            response = connection.getresponse()
            response.read()
            context.statuses.append(response.status)


@then("each of them is answered, and nothing is logged as an error")
def check_answers(context):
    assert set(context.statuses) == {200}, context.statuses
    # Longer than the interval at which idle connections are checked.
    context.connections[0].sock.settimeout(0.3)
    with contextlib.suppress(socket.timeout):
        context.connections[0].sock.recv(1)
    assert not context.errors.lines, context.errors.lines


@when("the server gets an idle limit of {seconds:g} s, and {pause:g} s later {callers}")
def change_limit(context, seconds, pause, callers):
    context.server.set_limits(16384, 100000, SECOND, seconds * SECOND)
    time.sleep(pause)
    context.execute_steps(f"When {callers}")


@then("the connections of these callers are closed")
def check_closed(context):
    for connection in context.connections:
        connection.sock.settimeout(LIMIT_S)
        assert connection.sock.recv(1) == b""
