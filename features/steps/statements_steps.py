"""Steps for what upstreams say of themselves in their answers to a serving node."""

import json
import threading
from datetime import timedelta

import msgspec
from answers_steps import exchange, start_scripted
from behave import given, then, when
from serving_steps import get_management, send_request_of_kind, wait_for
from support.scripted_upstream import ScriptedUpstreams

from chervilrack._internal.batching.state import (
    FreeResults,
    Order,
    Piece,
    StartCall,
    StartConditions,
)
from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.ids import NodeId, RequestId, ServiceId, UpstreamId
from chervilrack._internal.common.results import ResultCode
from chervilrack._internal.forwarding.dialect import ResponseMetadata
from chervilrack._internal.serving.messages import serving_codec
from chervilrack._internal.serving.stage_calls import MAX_CONCURRENT_CALLS, CallFailed, StageCaller
from chervilrack.platform.emulated.standins import UpstreamStandIn
from chervilrack.platform.headers import PlatformDialect

PATHS = {"plain": "/order/1", "look-up": "/read/1"}
BEHAVIOURS = {"answers": "good", "fails": "fails", "breaks": "breaks"}


@given('one scripted plain upstream that sends "{script}"')
def start_one_plain(context, script):
    start_scripted(context, "plain", script.split('" and then "'), 1)


@when("a caller sends {count:d} {kind} requests with a deadline of {deadline:d} ms")
def send_several(context, count, kind, deadline):
    context.answers = [
        exchange(context, PATHS[kind], f"caller-{number}", deadline) for number in range(count)
    ]


@when(
    "a caller sends a plain request, and another one as soon as the node has read "
    "the interim response"
)
def send_beside_interim_response(context):
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(exchange(context, PATHS["plain"], "caller-0", 20_000))
    )
    thread.start()
    state = context.node._state
    with state.lock:
        incarnation = state.catalogue.upstreams[UpstreamId("scripted-0")].incarnation
    wait_for(lambda: not state.may_send(incarnation), "the node has read the interim response")
    second = exchange(context, PATHS["plain"], "caller-1", 20_000)
    context.scripted.release()
    thread.join()
    context.answers = [*answers, second]


@then("the callers get the statuses {first:d} and {second:d}")
def check_two_statuses(context, first, second):
    statuses = [int(raw.split()[1]) for raw in context.answers]
    assert statuses == [first, second], context.answers


@when("a caller sends plain requests until one is answered")
def send_until_answered(context):
    numbers = iter(range(100_000))

    def is_answered():
        return exchange(context, "/order/1", f"caller-{next(numbers)}", 1500).startswith(
            "HTTP/1.1 200"
        )

    wait_for(is_answered, "a request is answered")


@given("the second of them refuses connections")
def close_second(context):
    context.scripted.close_listener(1)


@then("they have reached them at least {seconds:g} s apart")
def check_apart(context, seconds):
    first, second = context.scripted.arrivals
    assert second - first >= seconds, context.scripted.arrivals


@then("the last request ends with {code}")
def check_last_code(context, code):
    head, _, body = context.answers[-1].partition("\r\n\r\n")
    if code == "answered":
        assert "Chervilrack-Response-Signature" in head, head
        return
    expected = ResultCode[code]
    assert head.split()[1] == str(expected.http_status), context.answers
    assert json.loads(body)["code"] == expected.number, body


@then("each answer asks the caller to come back after {low:d} to {high:d} s")
def check_retry_after(context, low, high):
    for raw in context.answers:
        head = raw.partition("\r\n\r\n")[0]
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
        # Whole minutes have passed by when the pause is rounded to two decimals.
        assert low - 5 <= float(fields["Retry-After"]) <= high, fields


@given('{count:d} scripted plain upstreams that send "{script}" and are tried in their order')
def start_plain_in_order(context, count, script):
    start_scripted(context, "plain", [script], count)
    names = [UpstreamId(f"scripted-{number}") for number in range(count)]
    choose = context.node._state.choose

    def choose_in_order(service, load, excluded):
        following = [name for name in names if name not in excluded]
        return choose(service, load, [*excluded, *following[1:]])

    context.node._state.choose = choose_in_order


def count_retries(context):
    budget, now = context.node._state.budget, context.node._clock.monotonic()
    return sum(window.count(now) for window in budget._retries.values())


@then("the retry budget is unused")
def check_budget(context):
    assert count_retries(context) == 0


@then("the retry budget counts {count:d} retry")
def check_counted(context, count):
    assert count_retries(context) == count, count_retries(context)


@given("upstream {name} {behaviour} and says that it leaves")
def set_leaving(context, name, behaviour):
    add_second_upstreams(context)
    upstream = context.upstreams[name]
    upstream.behaviour = BEHAVIOURS[behaviour]
    upstream.leaving = True


@given("upstream {name} asks for a pause of {seconds:d} s")
def set_pause(context, name, seconds):
    context.upstreams[name].retry_after = str(seconds)


def add_second_upstreams(context):
    """Start a second upstream of each stage, and wait until the node knows it."""
    for name in ("first-2", "second-2"):
        if name not in context.upstreams:
            upstream = UpstreamStandIn(name, name.partition("-")[0])
            upstream.__enter__()
            context.add_cleanup(upstream.__exit__)
            context.upstreams[name] = upstream
            context.store.put(f"servers/{name}", upstream.entry())
    catalogue = context.node._state.catalogue
    wait_for(
        lambda: set(context.upstreams) <= set(catalogue.upstreams), "the node knows the upstreams"
    )


def runs(context, name):
    upstream = context.upstreams[name]
    return len(upstream.seen) + len(upstream.pieces)


@when("callers send {kind} requests until {name} has run one")
def send_until_run(context, kind, name):
    def has_run():
        send_request_of_kind(context, kind)
        return runs(context, name) > 0

    wait_for(has_run, f"{name} has run a request")
    context.runs_before = runs(context, name)


@when("callers send {count:d} further {kind} requests")
def send_further(context, count, kind):
    for _ in range(count):
        send_request_of_kind(context, kind)


@when("callers send plain requests until {name} has said so")
def send_until_turned_away(context, name):
    upstream = context.upstreams[name]

    def has_said():
        send_request_of_kind(context, "plain")
        return upstream.seen or upstream.turned_away

    wait_for(has_said, f"{name} has said so")
    context.runs_before = runs(context, name)


@when("streams reach its successor")
def send_to_successor(context):
    def has_run():
        send_request_of_kind(context, "stream")
        return runs(context, "plain-1") > context.runs_before

    wait_for(has_run, "the upstream that reuses the address has run a request")


@then("the node says nothing of the successor")
def check_successor(context):
    state, upstream = context.node._state, context.upstreams["plain-1"]
    incarnation = UpstreamIncarnation(UpstreamId(upstream.id), upstream.born)
    assert state.may_send(incarnation)


@then("{name} has run nothing more")
def check_no_more_runs(context, name):
    assert runs(context, name) == context.runs_before, (runs(context, name), context.runs_before)
    assert context.response.status in (200, 500), context.response.status


@then("{name} has run {share} more")
def check_share(context, name, share):
    more = runs(context, name) - context.runs_before
    assert (more > 0) == (share == "some"), more
    assert context.response.status == 200, context.response.status


@given("upstream {name} says that it leaves only when results are freed")
def leave_when_freeing(context, name):
    add_second_upstreams(context)
    upstream = context.upstreams[name]
    serve = upstream.serve

    def serve_and_say(request, body):
        upstream.leaving = request.path == "/api/stage-free"
        serve(request, body)

    upstream.serve = serve_and_say


@when("the node has read that {name} leaves")
def wait_for_statement(context, name):
    incarnation = UpstreamIncarnation(UpstreamId(name), context.upstreams[name].born)
    standing = context.node.balancer.standing
    wait_for(lambda: standing.is_leaving(incarnation), "the node has read the statement")
    context.runs_before = runs(context, name)


@given("the only upstream of stage {stage} {statement}")
def set_stage_statement(context, stage, statement):
    context.stage = context.upstreams[f"{stage}-1"]
    if statement == "leaves":
        context.stage.leaving = True
    else:
        context.stage.retry_after = "600"


@when("a caller sends a staged stream request until stage {stage} has said so")
def send_until_said(context, stage):
    upstream = context.stage

    def has_said():
        send_request_of_kind(context, "staged stream")
        return upstream.pieces or upstream.turned_away

    wait_for(has_said, "the upstream has said so")
    context.engine_runs = engine_runs(context)
    context.stage_runs = stage_runs(context)


def engine_runs(context):
    return sum(runs(context, name) for name in ("engine-1", "engine-2"))


def stage_runs(context):
    return sum(runs(context, name) for name in ("first-1", "second-1"))


@then("no stage ran anything more")
def check_stages(context):
    assert stage_runs(context) == context.stage_runs


@then("the code is {code}")
def check_code(context, code):
    assert json.loads(context.body)["code"] == ResultCode[code].number, context.body


@then("the engines ran nothing more")
def check_engines(context):
    assert engine_runs(context) == context.engine_runs


@when("{event} happens to {name}")
def change_directory(context, event, name):
    store, upstream = context.store, context.upstreams[name]
    catalogue = context.node._state.catalogue
    directory = context.node.directory
    key = f"servers/{name}"
    match event:
        case "an outage of the store":
            # The registration lapses during the outage and comes back as it was.
            directory.on_unavailable("test")
            store.remove(key)
            directory.on_available()
            store.put(key, {**upstream.entry(), "version": "v2"})
            wait_for(lambda: catalogue.upstreams[UpstreamId(name)].version == "v2", "it is back")
        case "a new registration, same start":
            store.put(key, {**upstream.entry(), "version": "v2"})
            wait_for(lambda: catalogue.upstreams[UpstreamId(name)].version == "v2", "it is known")
        case "a new registration, later start":
            upstream.leaving = False
            upstream.born += 1
            store.put(key, upstream.entry())
            wait_for(
                lambda: catalogue.upstreams[UpstreamId(name)].started_at_ms == upstream.born,
                "it is known",
            )
        case "a removal":
            store.remove(key)
            wait_for(lambda: UpstreamId(name) not in catalogue.upstreams, "it is gone")
        case "a reuse of its address":
            store.remove(key)
            upstream.id = "engine-9"
            upstream.leaving, upstream.retry_after = False, None
            store.put("servers/engine-9", {**upstream.entry(), "service": "engine"})
            wait_for(lambda: UpstreamId("engine-9") in catalogue.upstreams, "it is known")


class Refusing:
    """Observer of stage calls whose upstream has begun to leave."""

    def __init__(self):
        self.leaving = False
        self.asked = False

    def may_send(self, upstream):
        self.asked = True
        return not self.leaving

    def answer_received(self, upstream, metadata, requests=None):
        pass


@given("a stage caller")
def create_stage_caller(context):
    context.observer = Refusing()
    context.caller = StageCaller(PlatformDialect(), context.observer, SystemClock())
    context.caller.__enter__()
    context.add_cleanup(context.caller.__exit__, None, None, None)


@given("a stage caller whose threads are all taken")
def take_all_threads(context):
    create_stage_caller(context)
    context.released = threading.Event()
    context.add_cleanup(context.released.set)
    for _ in range(MAX_CONCURRENT_CALLS):
        context.caller._pool.submit(context.released.wait)


def start_call(context, address):
    """Start a call to an upstream, and return the list that its outcome is added to."""
    second = timedelta(seconds=1)
    now = SystemClock().monotonic()
    order = Order(
        (NodeId("a"), 1), ServiceId("first"), RequestId("r"), 0, "k", (), now + second,
        now + 20 * second, 100, now,
    )  # fmt: skip
    upstream = context.upstreams["first-1"]
    call = StartCall(
        1, UpstreamIncarnation(UpstreamId("first-1"), upstream.born), address,
        (Piece(order, 0),), now, second, 10 * second, StartConditions(0, second, 4, 0),
    )  # fmt: skip
    outcomes = []
    context.caller.start(call, lambda _: None, lambda _, outcome: outcomes.append(outcome))
    return outcomes


@when("a call to an upstream waits for a thread and the upstream says that it leaves")
def queue_call(context):
    outcomes = start_call(context, context.upstreams["first-1"].address)
    context.observer.leaving = True
    context.released.set()
    wait_for(lambda: outcomes, "the call has ended")
    context.outcome = outcomes[0]


@when("a call waits for a connection to an upstream that says meanwhile that it leaves")
def connect_call(context):
    context.scripted = ScriptedUpstreams(["answer"], 1, is_deaf=True)
    context.scripted.__enter__()
    context.add_cleanup(context.scripted.__exit__)
    outcomes = start_call(context, context.scripted.addresses[0])
    wait_for(lambda: context.observer.asked, "the call is about to connect")
    context.observer.leaving = True
    context.scripted.hear()
    wait_for(lambda: outcomes, "the call has ended")
    context.outcome = outcomes[0]


@when("results are to be freed at an upstream that begins to pause before the call is connected")
def free_while_connecting(context):
    context.scripted = ScriptedUpstreams(["answer"], 1)
    context.scripted.__enter__()
    context.add_cleanup(context.scripted.__exit__)
    asked = threading.Event()

    def may_free():
        asked.set()
        return False

    address = context.scripted.addresses[0]
    context.caller.free(FreeResults(address, (f"{address}/h",)), may_free=may_free)
    wait_for(asked.is_set, "the call is connected")
    # Ends the thread that would send the call.
    context.caller._pool.shutdown(wait=True)


@then("the call has not arrived")
def check_no_call(context):
    assert not context.scripted.requests


@when("a plain request waits for a connection and the node reads that the upstream {statement}")
def state_while_connecting(context, statement):
    context.path = PATHS["plain"]
    state, name = context.node._state, UpstreamId("scripted-0")
    with state.lock:
        incarnation = state.catalogue.upstreams[name].incarnation
    metadata = ResponseMetadata(
        None,
        signed=True,
        not_executed=True,
        leaving=statement == "leaves",
        retry_after=timedelta(seconds=600) if statement == "wants a pause" else None,
    )

    def state_it():
        wait_for(lambda: state.balancer.status(name).in_flight, "the request connects")
        if statement == "is evacuated":
            context.store.put("op/evacuate/z1", {})
            wait_for(lambda: state.catalogue.evacuated_zones, "the node knows of the evacuation")
        else:
            state.answer_received(incarnation, metadata)

    thread = threading.Thread(target=state_it)
    thread.start()
    context.answers = [exchange(context, context.path, "caller-1", 4000)]
    thread.join()


def check_not_executed(outcome):
    assert isinstance(outcome, CallFailed), outcome
    assert outcome.not_executed


@then("the call is not sent and its pieces count as not executed")
def check_not_sent(context):
    check_not_executed(context.outcome)
    assert not context.upstreams["first-1"].pieces


@then("the call has not arrived and its pieces count as not executed")
def check_not_arrived(context):
    check_not_executed(context.outcome)
    assert not context.scripted.requests


@then('the log says that {name} is "{event}" by its "{source}"')
def check_log(context, name, event, source):
    def lines():
        text = context.log.getvalue().splitlines()
        return [line for line in map(json.loads, text) if line.get("upstream") == name]

    def is_logged():
        return any(line["event"] == event and line["said_by"] == source for line in lines())

    wait_for(is_logged, f"{name} is logged as {event}")
    if event == "held off":
        line = next(line for line in lines() if line["event"] == event)
        assert 0 < line["seconds"] <= 30, line
        assert line["until"].endswith("+00:00"), line


@then("the metrics count one upstream as leaving and one as paused")
def check_barred_metrics(context):
    text = get_management(context, "/metrics")[1].decode()
    assert 'upstreams_barred{reason="leaving"} 1.0' in text, text
    assert 'upstreams_barred{reason="paused"} 1.0' in text, text
    assert 'statements_total{event="leaving",source="own answer"} 1.0' in text, text
    assert 'statements_total{event="held off",source="own answer"} 1.0' in text, text


@given("the second stage upstreams are known")
def know_second_upstreams(context):
    add_second_upstreams(context)


def peer_heartbeat(*fields):
    address = "127.0.0.1:9"
    return (address, address, "z1", False, False, 0, 0, True, (), (), 0, 300, 1.0, *fields)


def deliver_heartbeat(context, fields):
    """Deliver a heartbeat with these fields as the transport does."""
    codec = serving_codec()
    frame = [1, "n9", "02", "fleet.heartbeat", msgspec.msgpack.encode(fields), ""]
    context.node._on_message(codec.decode(msgspec.msgpack.encode(frame)))


@when("a peer's heartbeat says that {name} leaves")
def hear_of_leaving(context, name):
    report = (name, context.upstreams[name].born)
    deliver_heartbeat(context, peer_heartbeat((report,)))
    context.runs_before = runs(context, name)


@when("a peer sends a heartbeat {change}")
def hear_other_version(context, change):
    fields = {
        "without leaving upstreams": peer_heartbeat(),
        "without suspects": peer_heartbeat(()),
        "without a position in an era of the store": peer_heartbeat((), ()),
        "without unheard peers": peer_heartbeat((), (), None),
        "with a field of a later version": peer_heartbeat((), (), None, (), "later"),
    }[change]
    deliver_heartbeat(context, fields)


@then("the node knows the peer")
def check_peer(context):
    assert context.node._fleet.address_of(NodeId("n9")) is not None


@when("{name} is removed from the store")
def remove_from_store(context, name):
    context.store.remove(f"servers/{name}")
    catalogue = context.node._state.catalogue
    wait_for(lambda: UpstreamId(name) not in catalogue.upstreams, f"{name} is gone")


@then("the node's heartbeats name {names}")
def check_heartbeat(context, names):
    with context.node._state.lock:
        reports = context.node._state.leaving_reports()
    named = [report.upstream for report in reports]
    assert named == ([] if names == "no upstream" else names.split(", ")), named
