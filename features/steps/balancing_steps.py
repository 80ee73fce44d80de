"""Steps for the choice of upstreams: failures, pace, sessions and reports of other nodes."""

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
NONE = RequestLoad()
PROMPT = RequestLoad(9000, (("common", 2500), ("s", 3800)))


def ms(value):
    return timedelta(milliseconds=value)


@given("a balancer over {count:d} upstreams with {slots:d} slots each")
@given("a balancer over {count:d} engines with {slots:d} slots each")
def balancer(context, count, slots):
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


@given("balancing upstream u1 {condition}")
def set_condition(context, condition):
    context.condition = condition


@when("balancing {count:d} requests of {time:d} ms, one every {step:d} ms")
def balance(context, count, time, step):
    rng = random.Random(5)
    context.sent = dict.fromkeys((e.id for e in context.entries), 0)
    running = []
    for _ in range(count):
        context.now += ms(step)
        for item in [item for item in running if item[0] <= context.now]:
            running.remove(item)
            finish(context, *item)
        chosen = context.balancer.choose(context.entries, NONE, context.now).upstream
        context.sent[chosen] += 1
        context.balancer.record_start(chosen, NONE, context.now)
        took, outcome = fate(context, chosen, ms(time), rng)
        running.append((context.now + took, chosen, took, outcome, ms(time)))


def fate(context, upstream, time, rng):
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


def finish(context, _at, upstream, took, outcome, usual):
    balancer, now = context.balancer, context.now
    if outcome == "refused":
        balancer.record_failure(upstream, now, outcome, certain=True)
    elif outcome == "own failure":
        balancer.record_error_response(upstream, now)
    else:
        balancer.observe_pace(upstream, usual, took, now)
        balancer.record_success(upstream, now)
    balancer.record_end(upstream)


@when("balancing fails for certain at {count:d} upstreams")
def fail(context, count):
    for entry in context.entries[:count]:
        context.balancer.record_failure(entry.id, context.now, "refused", certain=True)


@when("balancing waits {seconds:f} s")
def wait(context, seconds):
    context.now += timedelta(seconds=seconds)


@when("balancing starts one request at u1")
def start(context):
    context.balancer.record_start(U1, NONE, context.now)


@when("balancing succeeds at u1")
def succeed(context):
    context.balancer.record_success(U1, context.now)


@when("balancing hears from {count:d} nodes that u1 fails")
def hear_failures(context, count):
    for number in range(count):
        report = UpstreamReport("u1", 1, 0, True, 1.0, 0.0)
        context.balancer.set_peer_reports(NodeId(f"n{number}"), [report])


@when("balancing hears from {count:d} nodes of {tokens:d} tokens at u1")
def hear_tokens(context, count, tokens):
    for number in range(count):
        report = UpstreamReport("u1", 4, tokens, False, 1.0, 0.0)
        context.balancer.set_peer_reports(NodeId(f"n{number}"), [report])


@when("balancing sees {tokens:d} prompt tokens waiting at the home of session s")
def home_waits(context, tokens):
    context.home = UpstreamId(rendezvous_owner("s", [e.id for e in context.entries]))
    context.balancer.record_start(context.home, RequestLoad(tokens), context.now)


@then("balancing sent {low:d} to {high:d} requests to u1")
def sent(context, low, high):
    assert low <= context.sent[U1] <= high, context.sent


@then("balancing uses at least {least:d} upstreams")
def uses(context, least):
    chosen = set()
    for _ in range(200):
        upstream = context.balancer.choose(context.entries, NONE, context.now).upstream
        context.balancer.record_start(upstream, NONE, context.now)
        chosen.add(upstream)
    assert len(chosen) >= least, chosen


@then("balancing suspects u1")
def suspects(context):
    assert context.balancer.is_suspected(U1, context.now)


@then("balancing does not suspect u1")
def trusts(context):
    assert not context.balancer.is_suspected(U1, context.now)


@then("balancing a prompt of session s goes {where}")
def goes(context, where):
    found = context.balancer.choose(context.entries, PROMPT, context.now).upstream
    assert (found == context.home) == (where == "home"), (found, context.home)


@then("balancing {count:d} new sessions avoids u1")
def avoids(context, count):
    for number in range(count):
        work = RequestLoad(3000, ((f"new{number}", 1000),))
        assert context.balancer.choose(context.entries, work, context.now).upstream != U1


@given("every second engine is in z2")
def in_zones(context):
    context.entries = [
        dataclasses.replace(entry, zone=ZoneId("z2" if number % 2 else "z"))
        for number, entry in enumerate(context.entries)
    ]


@when("balancing work with {shared:d} shared tokens and {size:g} MB of inputs in z2")
def work_with_inputs(context, shared, size):
    in_z = [entry.id for entry in context.entries if entry.zone == "z"]
    names = [entry.id for entry in context.entries]
    # A session whose home is outside of the zone of its inputs.
    session = next(f"s{n}" for n in range(100) if rendezvous_owner(f"s{n}", names) in in_z)
    size_bytes = int(size * 1_000_000)
    work = RequestLoad(9000, ((session, shared),), ((ZoneId("z2"), size_bytes),))
    context.home = rendezvous_owner(session, names)
    context.placed = context.balancer.choose(context.entries, work, context.now).upstream
    context.keeps_home = context.balancer.prefers_home(work, size_bytes)


@then("balancing sends it {where}, and wants its inputs there: {home}")
def sends(context, where, home):
    zone = next(entry.zone for entry in context.entries if entry.id == context.placed)
    assert zone == "z2" if where == "into z2" else context.placed == context.home, context.placed
    assert context.keeps_home == (home == "yes")
