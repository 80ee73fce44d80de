"""Steps for the bounds that end requests, and for changes of them while requests run."""

import http.client
import json
import threading
import time

from behave import given, then, when
from support.scripted_upstream import start_scripted

from chervilrack.platform.emulated.emulation import configuration

LIMIT_S = 30.0
KEY = "k1"
PATHS = {"stream": "/stream/1", "look-up": "/read/1", "plain": "/order/1"}
SERVICES = {"stream": "engine", "look-up": "plain", "plain": "plain"}
CALLER_ID = "bounded"


def wait_for(condition, description):
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end, f"timed out: {description}"
        time.sleep(0.01)


def configure(context, version, timeout_ms):
    document = configuration(version, [KEY])
    for route in document["routes"]:
        route["timeoutMs"] = timeout_ms
    context.store.put("op/config", document)

    def is_in_force():
        return context.node._state.catalogue.configuration.version == version

    wait_for(is_in_force, f"version {version} is in force")


def log_line(context):
    """Return the log line of the end of the request, once it is written."""

    def lines():
        entries = [json.loads(line) for line in context.log.getvalue().splitlines()]
        return [line for line in entries if line.get("request") == CALLER_ID]

    wait_for(lines, "the request's log line")
    return lines()[-1]


@given("routes with a timeout of {timeout:d} ms")
def set_timeouts(context, timeout):
    configure(context, 2, timeout)


@given('scripted upstreams for a {kind} request that send "{script}"')
def start_upstreams(context, kind, script):
    start_scripted(context, SERVICES[kind], [script], 2)


@when("a caller begins a {kind} request with a deadline of {deadline:d} ms")
def send_with_deadline(context, kind, deadline):
    context.received = []

    def send():
        connection = http.client.HTTPConnection(str(context.settings.callers), timeout=LIMIT_S)
        headers = {
            "Host": "app.example",
            "Authorization": f"Token {KEY}",
            "Chervilrack-Request-Id": CALLER_ID,
            "Chervilrack-Deadline-Ms": str(deadline),
        }
        connection.request("POST", PATHS[kind], b"body", headers)
        try:
            response = connection.getresponse()
            while part := response.read1():
                context.received.append(part)
        except http.client.HTTPException:
            pass  # the answer is incomplete
        connection.close()

    context.caller = threading.Thread(target=send)
    context.caller.start()


@when("the timeouts of all routes change to {timeout:d} ms once the stream has begun")
def change_timeouts(context, timeout):
    wait_for(lambda: b"piece 2" in b"".join(context.received), "the stream has begun")
    configure(context, 3, timeout)


@then('the log line of the request names bound "{bound}" and configuration {version:d}')
def check_bound(context, bound, version):
    context.caller.join(LIMIT_S)
    line = log_line(context)
    named = [line["bound"], *(step.partition("; bound ")[2] for step in line["steps"])]
    assert bound in named, line
    assert line["configuration"] == version, line


@then("the log line of the request names no bound")
def check_no_bound(context):
    context.caller.join(LIMIT_S)
    line = log_line(context)
    assert line["bound"] is None, line
    assert not any("; bound " in step for step in line["steps"]), line


@then("the log line of the request has a deadline of {deadline:d} ms")
def check_deadline(context, deadline):
    assert log_line(context)["deadline_ms"] == deadline, log_line(context)


@then("the caller ends with the events {events}")
def check_events(context, events):
    context.caller.join(LIMIT_S)
    text = b"".join(context.received).decode()
    got = [line.partition(":")[2].strip() for line in text.split("\n") if line.startswith("id:")]
    assert got == events.split(), got
