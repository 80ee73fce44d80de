"""Steps for the choice of upstreams by reports that are a little old."""

import dataclasses
import random
from collections import Counter
from datetime import timedelta

from behave import given, then, when
from support.stale_load import simulate

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.state import RequestLoad, UpstreamReport
from chervilrack._internal.catalogue.state import UpstreamEntry, UpstreamState
from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.common.ids import NodeId, ServiceId, UpstreamId, ZoneId

SEEDS = (1, 2)
NO_SESSION = RequestLoad(3000)
SESSION = RequestLoad(9000, (("common", 2500), ("s", 3800)))


def ms(value):
    return timedelta(milliseconds=value)


@when("{nodes:d} nodes choose by reports that are {age:d} ms old")
def run_simulations(context, nodes, age):
    context.results = {
        policy: simulate(policy, nodes, ms(age), SEEDS)
        for policy in ("random", "expected-wait", "stale-aware")
    }


@then('the policy "{policy}" spreads the load no worse than "{other}"')
def check_spread(context, policy, other):
    assert context.results[policy].spread <= context.results[other].spread, context.results


@then('under "{policy}" fewer requests meet a full upstream than under "{other}"')
def check_full(context, policy, other):
    assert context.results[policy].full < context.results[other].full, context.results


@then('under "{policy}" requests wait less than under "{other}"')
def check_wait(context, policy, other):
    assert context.results[policy].wait < context.results[other].wait, context.results


@given('a balancer with policy "{policy}" over {count:d} engines')
def create_balancer(context, policy, count):
    context.balancer = Balancer(ZoneId("z"), random.Random(3), policy=policy)
    context.entries = [entry(number) for number in range(1, count + 1)]
    context.now = timedelta(seconds=10)
    context.excluded = ()


def entry(number):
    return UpstreamEntry(
        UpstreamId(f"u{number}"),
        ServiceId("s"),
        f"10.0.0.{number}:80",
        ZoneId("z"),
        UpstreamState.READY,
        slots=8,
    )


def report(context, reports, age):
    for number in range(30):
        context.balancer.set_peer_reports(NodeId(f"n{number}"), reports, context.now - age)


@given("30 peers have reported nothing {age:d} ms ago")
def report_nothing(context, age):
    report(context, [], ms(age))


@given("30 peers have reported one request at each engine {age:d} ms ago")
def report_one_each(context, age):
    reports = [UpstreamReport(e.id, 1, 3000, False, 1.0, 0.0) for e in context.entries]
    report(context, reports, ms(age))


@given("30 peers have reported engine u1 as {pace:g} times slower")
def report_slow(context, pace):
    report(context, [UpstreamReport("u1", 0, 0, False, pace, 0.0)], ms(500))


@given("engine u1 refuses connections")
def refuse(context):
    context.balancer.record_failure(UpstreamId("u1"), context.now, "refused", certain=True)


@given("engine u1 leaves")
def leave(context):
    context.balancer.standing.record_answer(
        context.entries[0].incarnation, leaving=True, pause=None, now=context.now
    )


@given("engine u1 is excluded")
def exclude(context):
    context.excluded = (UpstreamId("u1"),)


@when("u1 to u6 are no longer listed and u13 is new")
def change_entries(context):
    context.entries = [*context.entries[6:], entry(13)]


@when("all peers are lost")
def lose_peers(context):
    for number in range(30):
        context.balancer.forget_peer(NodeId(f"n{number}"))


def choose(context, load, count, *, keep):
    context.chosen = Counter()
    for _ in range(count):
        context.choice = context.balancer.choose(
            context.entries, load, context.now, context.excluded
        )
        upstream = context.choice.upstream
        context.chosen[upstream] += 1
        context.balancer.record_start(upstream, load, context.now)
        if not keep:
            context.balancer.record_prompt_read(upstream, load)
            context.balancer.record_end(upstream)


@when("{count:d} requests of one session end before the next one is chosen")
def choose_one_by_one(context, count):
    choose(context, SESSION, count, keep=False)


@when("{count:d} requests of one session are in flight at the same time")
def choose_at_once(context, count):
    choose(context, SESSION, count, keep=True)


@when("{count:d} requests without a session are chosen")
def choose_without_session(context, count):
    choose(context, dataclasses.replace(NO_SESSION), count, keep=False)


def home_share(context):
    home = rendezvous_owner(SESSION.session, [e.id for e in context.entries])
    return context.chosen[home] / context.chosen.total()


@then("their home gets at least {share:g} of them")
def check_home(context, share):
    assert home_share(context) >= share, context.chosen


@then("their home gets at most {share:g} of them")
def check_home_left(context, share):
    assert home_share(context) <= share, context.chosen


@then("{name} gets {count:d} of them")
def check_count(context, name, count):
    assert context.chosen[name] == count, context.chosen


@then("{name} gets {low:d} to {high:d} of them")
def check_count_range(context, name, low, high):
    assert low <= context.chosen[name] <= high, context.chosen


@then('the reason of the choice says "{words}"')
def check_reason(context, words):
    reason = context.choice.reason
    assert words in reason, reason
    assert ("too old" in words) == ("too old" in reason), reason


@given("requests of {loads} in flight, half of them of a peer")
def set_loads(context, loads):
    halves = [int(load) // 2 for load in loads.split()]
    reports = []
    for each, half in zip(context.entries, halves, strict=True):
        for _ in range(half):
            context.balancer.record_start(each.id, NO_SESSION, context.now)
        reports.append(UpstreamReport(each.id, half, 0, False, 1.0, 0.0))
    context.balancer.set_peer_reports(NodeId("n0"), reports, context.now)


@then("the spread of the load is {spread}")
def check_load_spread(context, spread):
    found = context.balancer.load_spread(context.entries)
    assert ("none" if found is None else f"{found:.2f}") == spread, found
