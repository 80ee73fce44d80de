"""Steps for a serving node that stops, in the test process and as a process."""

import http.client
import io
import json
import os
import re
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from unittest import mock

from answers_steps import LIMIT_S, exchange, record_response, split_chunks, start_scripted
from behave import given, then, when

from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.ids import NodeId, ZoneId
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.node import STOP_POLL_INTERVAL, ServingNode
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack._internal.soak.records import Kind
from chervilrack.platform.emulated.standins import free_ports
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.run import SCHEMA

PATHS = {"plain": "/order/1", "look-up": "/read/1", "stream": "/stream/1"}
STREAM_DEADLINE_MS = 8000


def wait_for(condition, description):
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end, f"timed out: {description}"
        time.sleep(0.005)


def stop_node(context):
    """Stop the node as its process does."""
    context.node.leave()
    context.node.__exit__(None, None, None)


def try_exchange(context, path, request_id, deadline_ms):
    """Like ``exchange``; a reset counts as the end of the connection."""
    try:
        return exchange(context, path, request_id, deadline_ms)
    except ConnectionError:
        return ""


@given('two scripted plain upstreams, the first sends "{first}" and the second "{second}"')
def start_two_plain(context, first, second):
    start_scripted(context, "plain", [first, second], 2)


@given("the node has {count:d} threads for callers")
def limit_threads(context, count):
    context.node._caller_server._server.requests.max = count


@when("the node stops while an upstream has a {kind} request with a deadline of {deadline:d} ms")
def stop_during_request(context, kind, deadline):
    with ThreadPoolExecutor(1) as pool:
        request = pool.submit(try_exchange, context, PATHS[kind], "caller-1", deadline)
        wait_for(lambda: context.scripted.requests, "the upstream has the request")
        stop_node(context)
        context.raw = request.result(LIMIT_S)
    assert context.raw, "the connection was closed without an answer"
    record_response(context)


@then('the log names "{bound}" as the bound that ended the request')
def check_logged_bound(context, bound):
    def ends():
        lines = [json.loads(line) for line in context.log.getvalue().splitlines()]
        return [line for line in lines if line.get("request") == "caller-1" and "took_ms" in line]

    # The log is written a quarter of a second late; the stop may have ended before.
    wait_for(ends, "the log names the end of the request")
    assert [line["bound"] for line in ends()] == [bound], ends()


@when("the node stops while an engine has a stream")
def stop_during_stream(context):
    with ThreadPoolExecutor(1) as pool:
        request = pool.submit(
            try_exchange, context, PATHS["stream"], "caller-1", STREAM_DEADLINE_MS
        )
        wait_for(lambda: context.scripted.requests, "the engine has the request")
        if "events" in context.scripted._scripts[0]:
            state = context.node._state
            wait_for(
                lambda: any(item.stream_begun for item in list(state._open_requests.values())),
                "the stream has begun",
            )
        stop_node(context)
        context.raw = request.result(LIMIT_S)


@then("the caller's stream ends as {end}")
def check_stream_end(context, end):
    assert context.raw, "the connection was closed without an answer"
    head, _, body = context.raw.partition("\r\n\r\n")
    if end.startswith("error"):
        assert head.split()[1] == end.split()[1], context.raw
        assert json.loads(body)["executed"] == "unknown", context.raw
        return
    content, is_complete = split_chunks(body)
    count = {"cut off": 2, "complete": 3}[end]
    assert content == "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, count + 1)), content
    assert is_complete == (end == "complete"), context.raw


@then("the scripted upstreams do not count as failed")
def check_no_failures(context):
    balancer = context.node.balancer
    failures = {
        f"scripted-{number}": balancer.status(f"scripted-{number}").consecutive_failures
        for number in range(len(context.scripted.addresses))
    }
    assert not any(failures.values()), failures


@then("the caller gets the upstream's answer")
def check_answer(context):
    assert context.raw.startswith("HTTP/1.1 200"), context.raw
    assert context.raw.endswith("\r\n\r\nanswer to caller-1"), context.raw


@when("the node begins to stop")
def begin_to_stop(context):
    thread = threading.Thread(target=context.node.leave)
    thread.start()
    context.add_cleanup(thread.join)
    wait_for(lambda: not context.node.is_ready, "the node stops")


@when("a {kind} request with a deadline of {deadline:d} ms arrives")
def send_late(context, kind, deadline):
    context.raw = exchange(context, PATHS[kind], "caller-1", deadline)
    record_response(context)


@then("the caller gets status {status:d} and the connection is closed")
def check_closed(context, status):
    assert context.raw.split()[1] == str(status), context.raw
    assert "Connection: close" in context.raw, context.raw


@then('the answer says "{field}"')
def check_field(context, field):
    assert f"\r\n{field}\r\n" in context.raw, context.raw


@then('the log has a refusal whose detail matches "{pattern}"')
def check_logged_refusal(context, pattern):
    def is_logged():
        lines = [json.loads(line) for line in context.log.getvalue().splitlines()]
        return any(
            line["event"] == "refused" and re.fullmatch(pattern, line["detail"]) for line in lines
        )

    wait_for(is_logged, f"the refusal is logged: {context.raw}")


@when("{count:d} plain requests are answered")
def answer_requests(context, count):
    for number in range(count):
        assert exchange(context, PATHS["plain"], f"earlier-{number}", 4000).startswith(
            "HTTP/1.1 200"
        )


@when(
    "{running:d} requests are at the upstreams, {waiting:d} more wait for a thread, "
    "and the node stops"
)
def stop_with_waiting(context, running, waiting):
    with ThreadPoolExecutor(running + waiting) as pool:

        def send(number):
            return pool.submit(try_exchange, context, PATHS["plain"], f"caller-{number}", 12_000)

        requests = [send(number) for number in range(running)]
        wait_for(lambda: len(context.scripted.requests) == running, "the upstreams have them")
        requests += [send(running + number) for number in range(waiting)]
        server = context.node._caller_server._server
        wait_for(lambda: server.requests.qsize == waiting, "the others wait for a thread")
        stop_node(context)
        context.answers = [request.result(LIMIT_S) for request in requests]


@then("{failed:d} callers get status 504 and {refused:d} get status 503")
def check_waiting(context, failed, refused):
    statuses = [answer.split()[1] if answer else "none" for answer in context.answers]
    assert statuses.count("504") == failed, statuses
    assert statuses.count("503") == refused, statuses


def keep_alive_request(connection, request_id):
    connection.sendall(
        f"POST /order/1 HTTP/1.1\r\nHost: app.example\r\nChervilrack-Request-Id: {request_id}\r\n"
        "Authorization: Token k1\r\nChervilrack-Deadline-Ms: 500\r\nContent-Length: 0\r\n"
        "\r\n".encode()
    )


@when("a kept connection sends its next request {moment}")
def send_on_kept_connection(context, moment):
    address = (context.settings.callers.host, context.settings.callers.port)
    with socket.create_connection(address, timeout=LIMIT_S) as connection:
        keep_alive_request(connection, "caller-0")
        received = b""
        while not received.endswith(b"answer to caller-0"):
            received += connection.recv(4096)
        assert b"Connection: close" not in received, received
        stop = threading.Thread(target=context.node.leave)
        stop.start()
        wait_for(lambda: not context.node.is_ready, "the node stops")
        if moment != "while the node stops":
            stop.join()
        if moment == "when the node has stopped":
            context.node.__exit__(None, None, None)
        context.raw = ""
        try:
            keep_alive_request(connection, "caller-1")
            while part := connection.recv(4096):
                context.raw += part.decode()
        except ConnectionError:
            pass
        stop.join()


@then("the next request gets {end}, closed")
def check_next_request(context, end):
    requests = {"the answer": 2}.get(end, 1)
    assert len(context.scripted.requests) == requests, context.scripted.requests
    if end == "nothing":
        assert not context.raw, context.raw
        return
    assert context.raw.startswith(f"HTTP/1.1 {'200' if requests == 2 else '503'}"), context.raw
    assert "Connection: close" in context.raw, context.raw


def process_request(context, number, path, deadline_ms, request_id, body=b"body"):
    """Send a request to a node process, and return the status of the response."""
    bed = context.bed
    connection = http.client.HTTPConnection(
        bed.host(number), bed.emulation.callers_port, timeout=LIMIT_S
    )
    headers = bed.emulation.request_headers(
        request_id, Kind.ORDER, bed.keys.valid[0], deadline_ms / 1000
    )
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


def has_run(context, request_id):
    return any(run.request == request_id for run in context.bed.emulation.runs())


def log_events(context, name):
    lines = (context.folder / f"{name}.log").read_text().splitlines()
    return [json.loads(line)["event"] for line in lines]


def send_signals(context, number, signals):
    """Send signals to a node process while it serves a request; return the response's status."""
    name, request_id = f"n{number}", f"slow-{number}"
    with ThreadPoolExecutor(1) as pool:
        request = pool.submit(process_request, context, number, "/order/slow", 4000, request_id)
        wait_for(lambda: has_run(context, request_id), "the upstream has the request")
        has_stopped = False
        for signal_name in signals.split(", "):
            os.kill(context.bed.nodes[name].process_id, getattr(signal, signal_name))
            has_stopped = has_stopped or signal_name == "SIGTERM"
            event = "leaving" if has_stopped else "reloaded"
            wait_for(lambda event=event: event in log_events(context, name), event)
        return request.result(LIMIT_S)


@when("each node process gets its signals while it serves a request of 1 s")
def signal_processes(context):
    context.sequences = [row["signals"] for row in context.table]
    numbers = range(len(context.sequences))
    with ThreadPoolExecutor(len(context.sequences)) as pool:
        context.statuses = list(
            pool.map(lambda n: send_signals(context, n, context.sequences[n]), numbers)
        )


@then("each request is answered, and each process exits once, with status 0")
def check_exits(context):
    assert context.statuses == [200] * len(context.sequences), context.statuses
    for number, sequence in enumerate(context.sequences):
        node = context.bed.nodes[f"n{number}"]
        wait_for(lambda node=node: not node.is_running, f"the process exits after {sequence}")
        assert node.exit_status == 0, (sequence, node.exit_status)
        events = log_events(context, node.name)
        assert events.count("leaving") == events.count("left") == 1, (sequence, events)


@when("all node processes get SIGTERM")
def stop_all(context):
    for name, node in context.bed.nodes.items():
        os.kill(node.process_id, signal.SIGTERM)
        wait_for(lambda name=name: "leaving" in log_events(context, name), "the node stops")


@then("requests with a deadline of {deadline:d} ms are answered by each node")
def check_all_serve(context, deadline):
    for number in range(len(context.bed.nodes)):
        status = process_request(context, number, "/order/1", deadline, f"late-{number}")
        assert status == 200, status


class PollingClock(ManualClock):
    """Clock that moves when a stopping node pauses."""

    def pause_until(self, end):
        self.advance(
            max(timedelta(milliseconds=1), min(STOP_POLL_INTERVAL, end - self.monotonic()))
        )


@given("a node with {grace:g} s to stop and a request whose response the caller never reads")
def hold_response(context, grace):
    callers, management, peer = (Address("127.0.0.1", port) for port in free_ports(3))
    settings = ServingSettings(
        NodeId("n1"),
        ZoneId("z1"),
        callers,
        management,
        management,
        peer,
        stop_grace=timedelta(seconds=grace),
    )
    context.clock = PollingClock()
    log = DecisionLog("n1", io.StringIO())
    context.node = ServingNode(settings, PlatformDialect(), SCHEMA, None, context.clock, log)
    unread = context.node._state.answering()
    unread.__enter__()
    context.add_cleanup(unread.__exit__, None, None, None)


@when("the node leaves")
def leave(context):
    with mock.patch.object(context.node, "_pause_until", context.clock.pause_until):
        context.node.leave()


@then("it closes its listener at least {margin:d} ms before the process may be killed")
def check_close_margin(context, margin):
    kill_at = context.node._state.stop_plan.kill_at
    end = context.node._caller_server._server.close_by
    now = context.clock.monotonic()
    # The listener closes at the beginning of the close, and the connections until its end.
    assert kill_at - now >= timedelta(milliseconds=margin), kill_at - now
    assert now < end < kill_at, (now, end, kill_at)
