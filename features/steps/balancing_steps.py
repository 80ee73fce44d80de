"""Steps for the choice of upstreams: failures, pace, sessions and reports of peers."""

import dataclasses
import random
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.state import RequestLoad, UpstreamReport
from chervilrack._internal.catalogue.state import UpstreamEntry, UpstreamState
from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.common.ids import NodeId, ServiceId, UpstreamId, ZoneId

U1 = UpstreamId("u1")
EMPTY_LOAD = RequestLoad()
PROMPT = RequestLoad(9000, (("common", 2500), ("s", 3800)))


def ms(value):
    return timedelta(milliseconds=value)


@given("a balancer over {count:d} upstreams with {slots:d} slots each")
@given("a balancer over {count:d} engines with {slots:d} slots each")
def create_balancer(context, count, slots):
    context.balancer = Balancer(ZoneId("z"), random.Random(3))
    context.entries = [
        UpstreamEntry(
            UpstreamId(f"u{n}"),
            ServiceId("s"),
            f"10.0.0.{n}:80",
            ZoneId("z"),
            UpstreamState.READY,
            slots=slots,
        )
        for n in range(1, count + 1)
    ]
    context.now = timedelta(seconds=10)
    context.condition = "is like the others"


@given("the balancer's upstream u1 {condition}")
def set_condition(context, condition):
    context.condition = condition


@when("the balancer places {count:d} requests of {time:d} ms, one every {step:d} ms")
def place_requests(context, count, time, step):
    rng = random.Random(5)
    context.sent = dict.fromkeys((e.id for e in context.entries), 0)
    in_flight = []
    for _ in range(count):
        context.now += ms(step)
        for item in [item for item in in_flight if item[0] <= context.now]:
            in_flight.remove(item)
            record_response(context, *item)
        chosen = context.balancer.choose(context.entries, EMPTY_LOAD, context.now).upstream
        context.sent[chosen] += 1
        context.balancer.record_start(chosen, EMPTY_LOAD, context.now)
        took, outcome = simulate_response(context, chosen, ms(time), rng)
        in_flight.append((context.now + took, chosen, took, outcome, ms(time)))


def simulate_response(context, upstream, time, rng):
    words = context.condition.split()
    if upstream != U1 or words[0] == "is":
        return time, "good"
    match words:
        case ["refuses", "connections"]:
            return ms(5), "refused"
        case ["answers", factor, "times", "slower"]:
            return time * int(factor), "good"
        case ["fails", share, *_]:
            return time, "own failure" if rng.randrange(100) < int(share) else "good"
    raise AssertionError(context.condition)


def record_response(context, _ended_at, upstream, took, outcome, expected):
    balancer, now = context.balancer, context.now
    if outcome == "refused":
        balancer.record_failure(upstream, now, outcome, certain=True)
    elif outcome == "own failure":
        balancer.record_error_response(upstream, now)
    else:
        balancer.observe_pace(upstream, expected, took, now)
        balancer.record_success(upstream, now)
    balancer.record_end(upstream)


@when("the balancer sees {count:d} upstreams refuse a connection")
def refuse_connections(context, count):
    for entry in context.entries[:count]:
        context.balancer.record_failure(entry.id, context.now, "refused", certain=True)


@when("the balancer's clock advances by {seconds:f} s")
def advance(context, seconds):
    context.now += timedelta(seconds=seconds)


@when("the balancer records the start of a request at u1")
def start_request(context):
    context.balancer.record_start(U1, EMPTY_LOAD, context.now)


@when("the balancer records that the probe ends without an outcome")
def end_probe(context):
    context.balancer.record_end(U1)
    context.balancer.end_probe(U1)


@when("the balancer records a success of u1")
def succeed_at_u1(context):
    context.balancer.record_success(U1, context.now)


@when("the balancer receives reports of {count:d} peers that u1 fails")
def receive_failure_reports(context, count):
    for number in range(count):
        report = UpstreamReport("u1", 1, 0, True, 1.0, 0.0)
        context.balancer.set_peer_reports(NodeId(f"n{number}"), [report])


@when("the balancer receives reports of {count:d} peers with {tokens:d} tokens waiting at u1")
def receive_token_reports(context, count, tokens):
    for number in range(count):
        report = UpstreamReport("u1", 4, tokens, False, 1.0, 0.0)
        context.balancer.set_peer_reports(NodeId(f"n{number}"), [report])


@when("the balancer counts {tokens:d} prompt tokens waiting at the home of session s")
def add_waiting_tokens(context, tokens):
    context.home = UpstreamId(rendezvous_owner("s", [e.id for e in context.entries]))
    context.balancer.record_start(context.home, RequestLoad(tokens), context.now)


@then("the balancer sent {low:d} to {high:d} requests to u1")
def check_sent(context, low, high):
    assert low <= context.sent[U1] <= high, context.sent


@then("the balancer uses at least {least:d} upstreams")
def check_in_use(context, least):
    chosen = set()
    for _ in range(200):
        upstream = context.balancer.choose(context.entries, EMPTY_LOAD, context.now).upstream
        context.balancer.record_start(upstream, EMPTY_LOAD, context.now)
        chosen.add(upstream)
    assert len(chosen) >= least, chosen


@then("the balancer suspects u1")
def check_suspected(context):
    assert context.balancer.is_suspected(U1, context.now)


@then("the balancer does not suspect u1")
def check_not_suspected(context):
    assert not context.balancer.is_suspected(U1, context.now)


@then("the balancer sends a prompt of session s {where}")
def check_session(context, where):
    actual = context.balancer.choose(context.entries, PROMPT, context.now).upstream
    assert (actual == context.home) == (where == "home"), (actual, context.home)


@then("the balancer sends none of {count:d} new sessions to u1")
def check_avoided(context, count):
    for number in range(count):
        load = RequestLoad(3000, ((f"new{number}", 1000),))
        assert context.balancer.choose(context.entries, load, context.now).upstream != U1


@given("every second engine is in z2")
def spread_over_zones(context):
    context.entries = [
        dataclasses.replace(entry, zone=ZoneId("z2" if number % 2 else "z"))
        for number, entry in enumerate(context.entries)
    ]


@when("the balancer places a request with {shared:d} shared tokens and {size:g} MB of inputs in z2")
def place_with_inputs(context, shared, size):
    in_z = [entry.id for entry in context.entries if entry.zone == "z"]
    ids = [entry.id for entry in context.entries]
    # The first session whose home is not in the zone of its inputs.
    session = next(f"s{n}" for n in range(100) if rendezvous_owner(f"s{n}", ids) in in_z)
    size_bytes = int(size * 1_000_000)
    load = RequestLoad(9000, ((session, shared),), ((ZoneId("z2"), size_bytes),))
    context.home = rendezvous_owner(session, ids)
    context.placed = context.balancer.choose(context.entries, load, context.now).upstream
    context.prefers_home = context.balancer.prefers_home(load, size_bytes)


@then("the balancer sends it {where}, and prefers its home to the inputs' zone: {home}")
def check_zone(context, where, home):
    zone = next(entry.zone for entry in context.entries if entry.id == context.placed)
    assert zone == "z2" if where == "into z2" else context.placed == context.home, context.placed
    assert context.prefers_home == (home == "yes")
