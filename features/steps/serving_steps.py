"""Steps for a serving node in the test process, with stand-ins for the platform."""

import contextlib
import dataclasses
import http.client
import io
import json
import socket
import threading
import time
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.ids import NodeId, ServiceId, UpstreamId, ZoneId
from chervilrack._internal.common.results import ResultCode
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.node import ServingNode
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack.platform.emulated.emulation import MAX_BODY_BYTES, configuration
from chervilrack.platform.emulated.standins import StoreStandIn, UpstreamStandIn, free_ports
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.run import SCHEMA
from chervilrack.platform.store import PlatformStore

LIMIT_S = 20.0
KEY = "k1"


def wait_for(condition, description):
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end, f"timed out: {description}"
        time.sleep(0.01)


@given("a serving node with stand-ins for the platform")
def start_node(context):
    start_stand_ins(context)
    start_serving_node(context)


def start_stand_ins(context):
    context.stack = stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.store = stack.enter_context(StoreStandIn())
    names = ("plain-1", "plain-2", "engine-1", "engine-2", "first-1", "second-1")
    context.upstreams = {
        name: stack.enter_context(UpstreamStandIn(name, name.partition("-")[0])) for name in names
    }
    for name, upstream in context.upstreams.items():
        context.store.put(f"servers/{name}", upstream.entry())
    context.store.put("servers/broken", {"service": 17})
    context.store.put("op/config", configuration(1, [KEY]))
    context.number = 0


def start_serving_node(context, name="n1", feed=None, *, is_ready=True, **settings):
    """Start a node; ``feed`` are the settings of its change feed, if not the usual ones.

    ``settings`` are added to those of the node.
    """
    callers, management, peer = (Address("127.0.0.1", port) for port in free_ports(3))
    context.settings = ServingSettings(
        node=NodeId(name),
        zone=ZoneId("z1"),
        callers=callers,
        readiness=management,
        lookup=management,
        peer=peer,
        metrics=management,
        lookup_lifetime=timedelta(milliseconds=300),
        **settings,
    )
    context.log = io.StringIO()
    log = context.stack.enter_context(DecisionLog(name, context.log))
    store = PlatformStore(context.store.address)
    node = ServingNode(context.settings, PlatformDialect(), SCHEMA, store, SystemClock(), log)
    if feed is not None:
        node._feed._settings = feed
    context.node = context.stack.enter_context(node)
    if is_ready:
        wait_for(lambda: node.is_ready, "the node is ready")


def send_request(context, path, body=b"order", chunked=False, key=KEY, request_id=True, **extra):
    context.number += 1
    headers = {"Host": "app.example", "Chervilrack-Deadline-Ms": "4000", **extra}
    if request_id:
        headers["Chervilrack-Request-Id"] = f"id-{context.number}"
    if key is not None:
        headers["Authorization"] = f"Token {key}"
    connection = http.client.HTTPConnection(str(context.settings.callers), timeout=LIMIT_S)
    content = iter([body[:2], body[2:]]) if chunked else body
    connection.request("POST", path, content, headers, encode_chunked=chunked)
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response, content


@when("a caller sends {count:d} look-ups that take {work:d} ms, with a deadline of {deadline:d} ms")
def send_lookups(context, count, work, deadline):
    extra = {"Chervilrack-Deadline-Ms": str(deadline)}
    responses = [send_request(context, f"/read/1?workMs={work}", **extra) for _ in range(count)]
    context.statuses = getattr(context, "statuses", [])
    context.statuses += [response.status for response, _ in responses]


def plain_upstreams(context):
    return [u for u in context.upstreams.values() if u.service == "plain"]


def handle_in_turn(context, *handlings):
    """Have the first, second ... request at any plain upstream handled in these ways."""
    left = list(handlings)
    for upstream in plain_upstreams(context):

        def serve(request, body, upstream=upstream, serve=upstream.serve):
            left.pop(0)(upstream, request)
            serve(request, body)

        upstream.serve = serve


def handling(text):
    """Return a function that makes an upstream handle a request as the text says."""

    def handle(upstream, request):
        match text.split():
            case [milliseconds, "ms"]:
                request.path = f"/read/1?workMs={milliseconds}"
            case ["a", "failure"]:
                upstream.behaviour = "fails"
            case ["a", "refusal"]:
                upstream.behaviour = "full"
            case ["no", "time,", "cut", "off"]:
                upstream.behaviour = "cut off"

    return handle


@when("from now on look-ups take {first} at their first upstream, and {following} at the next")
def set_handling(context, first, following):
    handle_in_turn(context, handling(first), handling(following))
    context.runs_before = count_runs(context)
    context.stay_before = usual_stay(context)


def usual_stay(context):
    return context.node.balancer.times.of(ServiceId("plain")).stay


@then("a look-up counts as staying longer than before at its upstream")
def check_stay(context):
    check_nothing_in_progress(context)
    assert usual_stay(context) > context.stay_before


def count_runs(context):
    return sum(len(upstream.seen) for upstream in plain_upstreams(context))


@when("a caller leaves after two upstreams have got its look-up")
def leave_lookup(context):
    headers = {
        "Host": "app.example",
        "Chervilrack-Deadline-Ms": "4000",
        "Chervilrack-Request-Id": "leaves",
        "Authorization": f"Token {KEY}",
    }
    connection = http.client.HTTPConnection(str(context.settings.callers), timeout=LIMIT_S)
    connection.request("GET", "/read/1", headers=headers)
    wait_for(lambda: count_runs(context) - context.runs_before == 2, "both attempts run")
    connection.close()


@then("the last look-up is answered with status {status:d}, and ran {runs:d} times")
def check_last_lookup(context, status, runs):
    assert context.statuses[-1] == status, context.statuses
    assert count_runs(context) - context.runs_before == runs


@then("nothing is in progress at any plain upstream")
def check_nothing_in_progress(context):
    statuses = [context.node.balancer.status(UpstreamId(u.id)) for u in plain_upstreams(context)]
    wait_for(lambda: not any(s.in_flight for s in statuses), "no attempt is in flight")


@then("all look-ups are answered with status {status:d}")
def check_lookups(context, status):
    assert set(context.statuses) == {status}, context.statuses


def event_ids(content):
    return [
        line.partition(":")[2].strip() for line in content.decode().split("\n") if "id:" in line
    ]


@when("a caller sends a {kind} request")
def send_request_of_kind(context, kind):
    staged = {"Chervilrack-Chunk-Count": "2,3", "Chervilrack-Chunk-Key": "piece-key"}
    match kind:
        case "plain":
            context.response, context.body = send_request(context, "/order/1?a=%2F")
        case "chunked":
            context.response, context.body = send_request(context, "/order/1?a=%2F", chunked=True)
        case "look-up":
            context.response, context.body = send_request(context, "/read/1")
        case "stream":
            context.response, context.body = send_request(context, "/stream/1")
        case "staged stream":
            context.response, context.body = send_request(context, "/stream/staged/1", **staged)


@when("a caller sends a request with {fault}")
def send_faulty_request(context, fault):
    arguments = {
        "an unknown key": {"path": "/order/1", "key": "other"},
        "no key": {"path": "/order/1", "key": None},
        "another path": {"path": "/other/1"},
        "no request id": {"path": "/order/1", "request_id": False},
    }[fault]
    context.response, context.body = send_request(context, **arguments)


@then('the caller gets status {status:d} with "{body}"')
def check_response(context, status, body):
    assert context.response.status == status, (context.response.status, context.body)
    assert context.response.headers["Chervilrack-Response-Signature"], context.response.headers
    received_body = " ".join(event_ids(context.body)) or context.body.decode()
    assert received_body == body, received_body


@then("the caller gets status {status:d}")
def check_status(context, status):
    assert context.response.status == status, (context.response.status, context.body)


@then('the upstream got the caller\'s request unchanged, organisation "{name}" and no key')
def check_forwarded_request(context, name):
    got = [item for upstream in context.upstreams.values() for item in upstream.seen]
    assert len(got) == 1, got
    method, path, headers, body = (got[0].command, got[0].path, got[0].headers, got[0].body)
    assert method == "POST", method
    assert path in ("/order/1?a=%2F", "/stream/1", "/stream/staged/1"), path
    assert body == b"order", body
    assert headers["Chervilrack-Tenant"] == name, headers
    assert headers["Host"] == "app.example", headers
    assert "Authorization" not in headers, headers
    assert 0 < int(headers["Chervilrack-Deadline-Ms"]) <= 4000, headers


@then(
    "the first stage ran {first:d} pieces by key and the second {second:d} pieces with {n:d} inputs"
)
def check_stages(context, first, second, n):
    stage_pieces = context.upstreams["first-1"].pieces
    assert [piece["key"] for piece in stage_pieces] == ["piece-key"] * first, stage_pieces
    stage_pieces = context.upstreams["second-1"].pieces
    assert [len(piece["inputs"]) for piece in stage_pieces] == [n] * second, stage_pieces


@then("the engine got {count:d} inputs")
def check_engine_inputs(context, count):
    got = [item for name in ("engine-1", "engine-2") for item in context.upstreams[name].seen]
    assert len(got[0].headers["Chervilrack-Inputs"].split(",")) == count, got


@then("all {count:d} results are freed")
def check_results_freed(context, count):
    def all_freed():
        return sum(len(upstream.freed) for upstream in context.upstreams.values()) == count

    wait_for(all_freed, "results are freed")


@given('all plain upstreams are "{behaviour}"')
def set_plain_behaviour(context, behaviour):
    for name in ("plain-1", "plain-2"):
        context.upstreams[name].behaviour = behaviour


@given('all engines are "{behaviour}"')
def set_engine_behaviour(context, behaviour):
    for name in ("engine-1", "engine-2"):
        context.upstreams[name].behaviour = behaviour


@given("of two engines the one in the node's zone breaks streams off after 2 events")
def break_near_engine(context):
    breaking, sound = context.upstreams["engine-1"], context.upstreams["engine-2"]
    breaking.behaviour = "breaks"
    context.store.put(f"servers/{sound.id}", sound.entry() | {"zone": "z2"})
    known = context.node._state.catalogue.upstreams
    wait_for(lambda: known[UpstreamId(sound.id)].zone == "z2", "the node knows the zone")


@then("the plain upstreams ran it {times:d} times")
def check_runs(context, times):
    runs = sum(len(context.upstreams[name].seen) for name in ("plain-1", "plain-2"))
    assert runs == times, runs


@when("callers send stream requests until the other engine has continued one")
def send_until_continued(context):
    context.bodies = []
    sound = context.upstreams["engine-2"]

    def continued():
        context.bodies.append(send_request(context, "/stream/1")[1])
        return any(run.headers.get("Last-Event-Id") == "2" for run in sound.seen)

    # An engine whose thread is late for more than a second is given up before its stream begins.
    wait_for(continued, "a stream was broken off and continued")


@then("each caller gets the events {events} once")
def check_all_events(context, events):
    for body in context.bodies:
        assert event_ids(body) == events.split(), body


@then("no upstream ran anything")
def check_no_run(context):
    assert not any(upstream.seen for upstream in context.upstreams.values())


HEAD = (
    b"POST /order/1 HTTP/1.1\r\nHost: app.example\r\nChervilrack-Request-Id: raw\r\n"
    b"Authorization: Token k1\r\n"
)
RAW = {
    "two lengths": HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    "a length and a chunked coding": HEAD
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a chunk size that is no number": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
    "a chunk size with a sign": HEAD + b"Transfer-Encoding: chunked\r\n\r\n+2\r\nab\r\n0\r\n\r\n",
    "a chunk that is longer than its size": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
    "a folded field": HEAD + b"X-A: 1\r\n 2\r\nContent-Length: 0\r\n\r\n",
    "a space before the colon": HEAD + b"Content-Length : 0\r\n\r\n",
    "a line that ends with LF alone": HEAD + b"X-A: 1\nContent-Length: 0\r\n\r\n",
    "a length with a sign": HEAD + b"Content-Length: +1\r\n\r\na",
    "two host fields": HEAD + b"Host: other\r\nContent-Length: 0\r\n\r\n",
    "no host field": b"GET /read/1 HTTP/1.1\r\nChervilrack-Request-Id: raw\r\n\r\n",
    "a coding beside chunked": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "an absolute target": HEAD.replace(b"/order/1", b"http://app.example/order/1") + b"\r\n",
    "a line that is no request": b"what is this\r\n\r\n",
    "a method in lower case": HEAD.replace(b"POST", b"post") + b"\r\n",
    "a body that is too large": HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
}


@when("raw bytes with {fault} are sent")
def send_raw_bytes(context, fault):
    address = (context.settings.callers.host, context.settings.callers.port)
    with socket.create_connection(address, timeout=LIMIT_S) as connection:
        connection.sendall(RAW[fault])
        parts = []
        # The node may reset the connection after its answer if it did not read the whole request.
        with contextlib.suppress(ConnectionResetError):
            while part := connection.recv(65536):
                parts.append(part)
    context.raw = b"".join(parts)


@then("the answer is status {status:d} and the connection is closed")
def check_raw_answer(context, status):
    lines = context.raw.split(b"\r\n")
    assert lines[0].split()[1] == str(status).encode(), context.raw
    assert context.raw.count(b"HTTP/1.1 ") == 1, context.raw


@when("a caller disconnects after the first event of a stream")
def disconnect_caller(context):
    address = (context.settings.callers.host, context.settings.callers.port)
    with socket.create_connection(address, timeout=LIMIT_S) as connection:
        head = HEAD.replace(b"/order/1", b"/stream/1") + b"Content-Length: 0\r\n\r\n"
        connection.sendall(head)
        received = b""
        while b"piece 1" not in received:
            received += connection.recv(4096)


@then("the engine detects that its connection is closed")
def check_engine_detects(context):
    engines = [context.upstreams[name] for name in ("engine-1", "engine-2")]
    wait_for(lambda: any(engine.left.is_set() for engine in engines), "the engine detects it")


@when('the operator removes the key of "bozi"')
def remove_key(context):
    context.store.put("op/config", configuration(5, []))


@then("a plain request is refused with {status:d} soon")
def check_refused_soon(context, status):
    wait_for(lambda: send_request(context, "/order/1")[0].status == status, "the key is refused")


@when("one of two plain upstreams drains")
def drain_upstream(context):
    draining = context.upstreams["plain-1"]
    context.store.put("servers/plain-1", draining.entry("draining"))


@then("soon {count:d} plain requests run only at the other one")
def check_drained(context, count):
    draining = context.upstreams["plain-1"]

    def is_idle():
        before = len(draining.seen)
        for _ in range(count):
            assert send_request(context, "/order/1")[0].status == 200
        return len(draining.seen) == before

    wait_for(is_idle, "the draining upstream gets nothing")


def get_management(context, path):
    connection = http.client.HTTPConnection(str(context.settings.readiness), timeout=LIMIT_S)
    connection.request("GET", path)
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response.status, body


@then("the look-up returns the node with a lifetime")
def check_lookup(context):
    status, body = get_management(context, "/api/resolve?name=app.example&region=r&zone=z1")
    assert status == 200, status
    assert json.loads(body) == {"addresses": [str(context.settings.callers)], "ttlS": 0.3}, body


@then("readiness answers {status:d}")
def check_readiness(context, status):
    assert get_management(context, "/api/ready")[0] == status


@then("the metrics count requests by route and outcome")
def check_metrics(context):
    send_request(context, "/order/1")

    def counted():
        text = get_management(context, "/metrics")[1].decode()
        return 'requests_total{outcome="answered",route="order"} 1.0' in text

    wait_for(counted, "the request is counted")


@when("a stream runs while the node leaves")
def leave_during_stream(context):
    responses = []
    thread = threading.Thread(target=lambda: responses.append(send_request(context, "/stream/1")))
    thread.start()
    engines = [context.upstreams[name] for name in ("engine-1", "engine-2")]
    wait_for(lambda: any(engine.seen for engine in engines), "the stream has begun")
    context.node.leave()
    thread.join(LIMIT_S)
    context.response, context.body = responses[0]


@then("the stream is complete")
def check_stream_complete(context):
    assert event_ids(context.body) == ["1", "2", "3", "4", "5"], context.body


@given("a node that has received the configuration but no upstreams")
def start_without_upstreams(context):
    callers, management_address, peer = (Address("127.0.0.1", port) for port in free_ports(3))
    settings = ServingSettings(
        NodeId("n2"), ZoneId("z1"), callers, management_address, management_address, peer
    )
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    log = stack.enter_context(DecisionLog("n2", io.StringIO()))
    node = ServingNode(settings, PlatformDialect(), SCHEMA, None, SystemClock(), log)
    context.second = stack.enter_context(node)
    context.settings = settings
    value = json.dumps(configuration(1, [KEY])).encode()
    item = KeyValue("op/config", value, 2)
    node.directory.on_changes((Change(ChangeKind.PUT, item),), 2)


@then("that node is not ready and refuses a plain request with {status:d}")
def check_not_ready(context, status):
    assert not context.second.is_ready
    context.response, context.body = send_request(context, "/order/1")
    assert context.response.status == status


@then('the reason is "{detail}"')
def check_reason(context, detail):
    assert json.loads(context.body)["detail"] == detail, context.body


@when("that node receives the upstreams")
def list_upstreams(context):
    entry = json.dumps(context.upstreams["plain-1"].entry()).encode()
    context.second.directory.on_listing((KeyValue("servers/plain-1", entry, 3),), 3)


@then("that node is ready")
def check_ready(context):
    assert context.second.is_ready
    assert send_request(context, "/order/1")[0].status == 200


@when("{count:d} callers send plain requests with a deadline of {time:d} ms")
def send_with_short_deadline(context, count, time):
    extra = {"Chervilrack-Deadline-Ms": str(time)}
    context.statuses = [send_request(context, "/order/1", **extra)[0].status for _ in range(count)]


@then("no upstream is ejected")
def check_none_ejected(context):
    assert set(context.statuses) == {504}, context.statuses
    balancer = context.node.balancer
    now = SystemClock().monotonic()
    suspected = [name for name in context.upstreams if balancer.is_suspected(name, now)]
    assert not suspected, suspected


@when("{count:d} callers send requests that exceed {time:d} ms while others are answered")
def send_slow_requests(context, count, time):
    extra = {"Chervilrack-Deadline-Ms": str(time)}
    context.statuses = []

    def send_slow(number):
        extra_id = {"Chervilrack-Request-Id": f"slow-{number}"}
        result = send_request(context, "/order/slow", request_id=False, **extra, **extra_id)
        context.statuses.append(result[0].status)

    threads = [threading.Thread(target=send_slow, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        assert send_request(context, "/order/1")[0].status == 200


@given("all upstreams of the first stage hang")
def hang_first_stage(context):
    context.upstreams["first-1"].behaviour = "stands still"


@given("the node has {seconds:g} s to stop")
def set_stop_grace(context, seconds):
    grace = timedelta(seconds=seconds)
    context.node._settings = dataclasses.replace(context.settings, stop_grace=grace)


class LateClock:
    """Clock of a thread that is late by ``delay`` after it has read the time twice."""

    def __init__(self, delay):
        self._clock = SystemClock()
        self._delay = delay
        self._readings = 0

    def monotonic(self):
        self._readings += 1
        return self._clock.monotonic() + (self._delay if self._readings > 2 else timedelta(0))


@given("the thread that stops the node is late by {seconds:g} s")
def delay_stop(context, seconds):
    context.node._clock = LateClock(timedelta(seconds=seconds))


@when("a staged stream request waits while the node leaves")
def leave_during_stage(context):
    thread = threading.Thread(target=lambda: send_request_of_kind(context, "staged stream"))
    thread.start()
    wait_for(lambda: context.upstreams["first-1"].pieces, "the stage has begun")
    context.node.leave()
    thread.join(LIMIT_S)


@then("the caller gets status {status:d} because the node stops")
def check_refused_by_stop(context, status):
    assert context.response.status == status, context.response.status
    assert json.loads(context.body)["code"] == ResultCode.NOT_READY.number, context.body


@when("the node has left")
def leave_node(context):
    context.node.leave()


@when("a second node starts at the callers' port of the first")
def start_at_taken_port(context):
    management, peer = (Address("127.0.0.1", port) for port in free_ports(2))
    settings = dataclasses.replace(
        context.settings,
        node=NodeId("n2"),
        readiness=management,
        lookup=management,
        metrics=management,
        peer=peer,
    )
    context.threads = set(threading.enumerate())
    node = ServingNode(settings, PlatformDialect(), SCHEMA, None, SystemClock(), context.node._log)
    context.start_error = None
    try:
        node.__enter__()
    except OSError as error:
        context.start_error = error


@then("its start fails and no further thread runs")
def check_start_failed(context):
    assert context.start_error is not None

    def names():
        return [
            thread.name
            for thread in threading.enumerate()
            if thread not in context.threads and not thread.daemon
        ]

    wait_for(lambda: not names(), f"the threads of the second node end: {names()}")
