"""Steps for limits."""

import os

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from limits_cluster import Cluster
from limits_guards import guards
from limits_machine import LimitMachine
from limits_schedules import SCHEDULES

from chervilrack._internal.limits.sharing import Claim, fair_shares

# 300 runs of 30 steps take about 12 s here.
RUNS = 300


@when("limits run under random faults")
def run_machine(context):
    chosen = settings() if os.environ.get("CHERVILRACK_FUZZ") else settings(max_examples=RUNS)
    run_state_machine_as_test(LimitMachine, settings=settings(chosen, stateful_step_count=30))


@when('limits run the schedule that needs the "{guard}"')
def run_schedule(context, guard):
    context.kept = SCHEDULES[guard]().violations
    with guards()[guard]:
        context.removed = SCHEDULES[guard]().violations


@then("limits are exceeded only when the guard is removed")
def exceeded_without_guard(context):
    assert not context.kept, context.kept
    assert context.removed


@given('limits of {limit:d} {kind} at {nodes:d} nodes with policy "{policy}"')
def given_cluster(context, limit, kind, nodes, policy):
    context.cluster = Cluster(nodes, limit, kind, seed=11, policy=policy)
    context.limit = limit
    context.cluster.unknown_ends = 0.0
    context.cluster.advance(1.0)


@given("limits of {limit:d} for a second pool that all work needs")
def second_pool(context, limit):
    context.cluster.second = limit
    context.cluster.release(context.limit)
    for name in context.cluster.nodes:
        context.cluster.apply_release(name)
    context.cluster.advance(1.0)


@when(
    "limits node {number:d} gets {requests:d} requests of {amount:d} permits and {seconds:g} s pass"
)
def node_gets_requests(context, number, requests, amount, seconds):
    context.cluster.attempt_time = (30.0, 30.0)
    context.cluster.demand(f"n{number}", requests, amount)
    context.cluster.advance(seconds)


@when("limits all nodes get {requests:d} requests of {amount:d} permits and {seconds:g} s pass")
def all_get_requests(context, requests, amount, seconds):
    cluster = context.cluster
    context.before = {name: len(node.backlog) for name, node in cluster.nodes.items()}
    cluster.attempt_time = (0.02, 0.02)
    for name in cluster.nodes:
        cluster.demand(name, requests, amount)
    cluster.advance(seconds)
    context.served = {n: requests - len(node.backlog) for n, node in cluster.nodes.items()}


@when("limits release {limit:d} is applied everywhere and {seconds:g} s pass")
def apply_release(context, limit, seconds):
    context.limit = limit
    context.cluster.release(limit)
    for name in context.cluster.nodes:
        context.cluster.apply_release(name)
    context.cluster.advance(seconds)


@when("limits node {number:d} crashes and is removed")
def crash_and_remove(context, number):
    cluster = context.cluster
    name = f"n{number}"
    cluster.nodes[name].crashed = True
    cluster.change_view(cluster.view.members - {name}, removed=True)
    for node in cluster.view.members:
        cluster.adopt(node)
    cluster.activate()
    for node in cluster.view.members:
        cluster.tell_active(node)


@then("limits node {number:d} may use at least {permits:d} permits")
def node_may_use(context, number, permits):
    assert context.cluster.cap(f"n{number}") >= permits, context.cluster.caps()


@then("limits are held and at most {permits:d} permits are out")
def held(context, permits):
    assert not context.cluster.violations, context.cluster.violations[0]
    assert sum(context.cluster.caps().values()) <= permits, context.cluster.caps()


@then("limits every node was served at least {requests:d} times")
def every_node_served(context, requests):
    assert min(context.served.values()) >= requests, context.served


@then("limits are exceeded")
def exceeded(context):
    assert context.cluster.violations


@then("limits no message is sent during {seconds:g} s")
def no_message(context, seconds):
    before = context.cluster.sent
    context.cluster.advance(seconds)
    assert context.cluster.sent == before, context.cluster.sent - before


@then("limits of {capacity:d} shared among {claims} give {shares}")
def shared(context, capacity, claims, shares):
    parsed = [Claim(*map(int, claim.split("/"))) for claim in claims.split()]
    assert fair_shares(capacity, parsed) == [int(share) for share in shares.split()]
