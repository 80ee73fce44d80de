"""Steps for faulty answers of upstreams, written by scripts to the sockets of a serving node."""

import json
import os
import socket
import threading
import time
from unittest import mock

from behave import given, then, when
from support.scripted_upstream import FOREIGN_ID, start_scripted

from chervilrack._internal.upstreams import exchange as exchange_module
from chervilrack.platform.emulated.emulation import configuration

LIMIT_S = 30.0


@given('scripted engines that first send "{first}" and then "{second}"')
def start_two_engines(context, first, second):
    start_scripted(context, "engine", [first, second], 2)


@given('one scripted engine that sends "{script}"')
def start_one_engine(context, script):
    start_scripted(context, "engine", [script], 1)


@given("the retry budget is {budget}")
def set_retry_budget(context, budget):
    state = context.node._state
    while budget == "used up" and state.take_retry("engine"):
        pass


@given('scripted plain upstreams that send "{script}"')
def start_plain(context, script):
    start_scripted(context, "plain", [script], 2)


@given('scripted plain upstreams that first send "{first}" and then "{second}"')
def start_two_plain(context, first, second):
    start_scripted(context, "plain", [first, second], 2)


def exchange(context, path, request_id, deadline_ms, fields=""):
    """Send a request on a new connection and return all bytes until the node closes it."""
    fields += "Connection: close\r\n"
    return exchange_raw(context, build_request(path, request_id, deadline_ms, fields))


def build_request(path, request_id, deadline_ms, fields=""):
    return (
        f"POST {path} HTTP/1.1\r\nHost: app.example\r\n"
        f"Chervilrack-Request-Id: {request_id}\r\nAuthorization: Token k1\r\n"
        f"Chervilrack-Deadline-Ms: {deadline_ms}\r\n{fields}Content-Length: 0\r\n\r\n"
    )


def exchange_raw(context, requests):
    """Send bytes on a new connection and return all bytes until the node closes it."""
    address = (context.settings.callers.host, context.settings.callers.port)
    with socket.create_connection(address, timeout=LIMIT_S) as connection:
        connection.sendall(requests.encode())
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts).decode()


@when("a caller reads a stream")
def read_stream(context):
    context.raw = exchange(context, "/stream/1", "caller-1", 20_000)


@when("a caller sends an {kind} with a body of {size:d} bytes")
@when("a caller sends a {kind} request with a body of {size:d} bytes")
def send_large_body(context, kind, size):
    assert kind == "order"
    head = build_request("/order/1", "caller-1", 8000, "Connection: close\r\n")
    head = head.replace("Content-Length: 0", f"Content-Length: {size}")
    context.raw = exchange_raw(context, head + "x" * size)
    record_response(context)


@given("the node takes bodies of {size:d} bytes")
def allow_bodies(context, size):
    document = configuration(2, ["k1"])
    document["limits"]["maxBodyBytes"] = size
    context.store.put("op/config", document)
    server = context.node._caller_server._server
    end = time.monotonic() + LIMIT_S
    while server.max_request_body_size != size:
        assert time.monotonic() < end, "the limit is not in force"
        time.sleep(0.01)


@given("writes to upstreams {succeed}")
def break_writes(context, succeed):
    if succeed == "succeed":
        return
    write = exchange_module._Connection.send

    def write_head(connection, data):
        if connection.has_written and succeed.startswith("pause"):
            time.sleep(float(succeed.split()[2]))
        elif connection.has_written:
            raise ConnectionResetError("reset")
        write(connection, data)

    patch = mock.patch.object(exchange_module._Connection, "send", write_head)
    patch.start()
    context.add_cleanup(patch.stop)


@given("the node has {count:d} open descriptors")
def open_descriptors(context, count):
    opened = [os.open(os.devnull, os.O_RDONLY) for _ in range(count)]
    for descriptor in opened:
        context.add_cleanup(os.close, descriptor)


@when("an HTTP/1.0 caller reads a stream")
def read_stream_without_chunks(context):
    request = build_request("/stream/1", "caller-1", 4000).replace("HTTP/1.1", "HTTP/1.0")
    context.raw = exchange_raw(context, request)


@when("an HTTP/1.0 caller leaves a stream once 3 events were sent")
def leave_stream(context):
    request = build_request("/stream/1", "caller-1", 8000).replace("HTTP/1.1", "HTTP/1.0")
    address = (context.settings.callers.host, context.settings.callers.port)
    with socket.create_connection(address, timeout=LIMIT_S) as connection:
        connection.sendall(request.encode())
        wait_until(lambda: context.node._body_memory.used > 0, "events are kept")


def wait_until(condition, description):
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end, f"timed out: {description}"
        time.sleep(0.01)


@then("the node has no memory reserved for requests")
def check_no_memory(context):
    wait_until(lambda: context.node._state.in_progress == 0, "the request ends")
    wait_until(lambda: context.node._body_memory.used == 0, "the memory is given back")


@then("it gets the events {events} with a length")
def check_events_with_length(context, events):
    expected = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in events.split())
    assert read_body_by_length(context, 200) == expected, context.raw


@then("it gets an error {status:d} with a length")
def check_error_with_length(context, status):
    assert json.loads(read_body_by_length(context, status))["executed"] == "unknown", context.raw


def read_body_by_length(context, status):
    """Return the body of a response with the given status, which has to have the stated length."""
    head, _, body = context.raw.partition("\r\n\r\n")
    assert head.split()[1] == str(status), context.raw
    assert "Transfer-Encoding" not in head, head
    assert f"Content-Length: {len(body)}" in head.split("\r\n"), context.raw
    return body


@when("a caller reads a stream with stages, which hang once an engine has the request")
def read_stream_with_hanging_stages(context):
    def hang_stages():
        end = time.monotonic() + LIMIT_S
        while not context.scripted.requests and time.monotonic() < end:
            time.sleep(0.01)
        for name in ("first-1", "second-1"):
            context.upstreams[name].behaviour = "stands still"

    thread = threading.Thread(target=hang_stages)
    thread.start()
    fields = "Chervilrack-Chunk-Count: 2,3\r\nChervilrack-Chunk-Key: piece-key\r\n"
    context.raw = exchange(context, "/stream/staged/1", "caller-1", 3000, fields)
    thread.join()
    record_response(context)


def record_response(context):
    lines = context.raw.split("\r\n")
    context.response = type("Response", (), {"status": int(lines[0].split()[1])})
    context.body = context.raw


def split_chunks(body):
    """Return the content of a chunked body, and whether its last chunk has arrived."""
    content = ""
    while body:
        size, _, body = body.partition("\r\n")
        if not size:
            break
        length = int(size, 16)
        if length == 0:
            return content, True
        content += body[:length]
        body = body[length + 2 :]
    return content, False


@then("the caller gets the events {events} and the stream is {end}")
def check_events(context, events, end):
    head, _, body = context.raw.partition("\r\n\r\n")
    content, is_complete = split_chunks(body)
    assert context.raw.count("HTTP/1.1") == 1, context.raw
    assert FOREIGN_ID not in context.raw, context.raw
    if events == "without ids":
        expected = "data: one\n\ndata: two\n\n"
    else:
        expected = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in events.split())
    assert content.replace(": hello\n\n", "").replace(":\n\n", "") == expected, context.raw
    assert is_complete == (end == "complete"), context.raw
    assert "Chervilrack-Response-Signature: s-caller-1" in head, head


@when("a caller sends {count:d} plain requests at once on one connection")
def send_at_once(context, count):
    requests = [build_request("/order/1", f"caller-{number}", 4000) for number in range(count - 1)]
    last = build_request("/order/1", f"caller-{count - 1}", 4000, "Connection: close\r\n")
    context.raw = exchange_raw(context, "".join(requests) + last)


@then("the caller gets the answers to its {count:d} requests in their order")
def check_answers_in_order(context, count):
    heads = context.raw.split("HTTP/1.1 200 OK\r\n")
    assert heads[0] == "", context.raw
    bodies = [head.partition("\r\n\r\n")[2] for head in heads[1:]]
    assert bodies == [f"answer to caller-{number}" for number in range(count)], context.raw
    for number, head in enumerate(heads[1:]):
        assert f"Signature: s-caller-{number}\r\n" in head, context.raw


@then("{count:d} request has reached the scripted upstreams")
@then("{count:d} requests have reached the scripted upstreams")
def check_request_count(context, count):
    # The upstream's thread may record a request after the caller has got the node's answer.
    end = time.monotonic() + LIMIT_S
    while len(context.scripted.requests) < count and time.monotonic() < end:
        time.sleep(0.005)
    assert len(context.scripted.requests) == count, context.scripted.requests


@when("a caller sends a {kind} request with a deadline of {deadline:d} ms")
def send_to_scripted(context, kind, deadline):
    path = {"plain": "/order/1", "look-up": "/read/1", "stream": "/stream/1"}[kind]
    context.raw = exchange(context, path, "caller-1", deadline)
    record_response(context)


@then("the caller gets status {status:d} and is told that it has {run} run")
def check_told(context, status, run):
    assert context.raw.split()[1] == str(status), context.raw
    told = {"not": "no", "maybe": "unknown"}[run]
    assert json.loads(context.raw.partition("\r\n\r\n")[2])["executed"] == told, context.raw


@then("the answer has no body")
def check_no_body(context):
    head, _, body = context.raw.partition("\r\n\r\n")
    assert not body, context.raw
    assert "Content-Length" not in head, context.raw
    assert "Transfer-Encoding" not in head, context.raw


@then("no later request gets a part of that answer")
def check_later_requests(context):
    assert FOREIGN_ID not in context.raw, context.raw
    assert context.raw.count("HTTP/1.1") == 1, context.raw
    if context.response.status == 200:
        assert context.raw.endswith("\r\n\r\nanswer to caller-1"), context.raw
    context.scripted._scripts = ["answer"]
    for number in range(4):
        raw = exchange(context, "/order/1", f"later-{number}", 4000)
        assert raw.startswith("HTTP/1.1 200"), raw
        assert raw.endswith(f"\r\n\r\nanswer to later-{number}"), raw


@then("the upstream's connection was closed before it had sent everything")
def check_closed_early(context):
    end = time.monotonic() + LIMIT_S
    while not context.scripted.unsent:
        assert time.monotonic() < end, "the upstream sent everything"
        time.sleep(0.01)
