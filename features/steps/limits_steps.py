"""Steps for the limits feature."""

import os

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from limits_cluster import Cluster
from limits_guards import guard_removals
from limits_machine import LimitMachine
from limits_schedules import SCHEDULES

from chervilrack._internal.limits.sharing import Claim, fair_shares

# 300 runs of 30 steps take about 12 s.
MACHINE_RUNS = 300


@when("a cluster with one limit runs under random faults")
def run_machine(context):
    chosen_settings = (
        settings() if os.environ.get("CHERVILRACK_FUZZ") else settings(max_examples=MACHINE_RUNS)
    )
    run_state_machine_as_test(
        LimitMachine, settings=settings(chosen_settings, stateful_step_count=30)
    )


@when('the schedule for the "{guard}" runs with and without this guard')
def run_schedule(context, guard):
    context.violations_with_guard = SCHEDULES[guard]().violations
    with guard_removals()[guard]:
        context.violations_without_guard = SCHEDULES[guard]().violations


@then("the limit is exceeded only without the guard")
def check_exceeded_only_without_guard(context):
    assert not context.violations_with_guard, context.violations_with_guard
    assert context.violations_without_guard


@given('a limit of {limit:d} {kind} shared by {nodes:d} nodes under policy "{policy}"')
def given_cluster(context, limit, kind, nodes, policy):
    context.cluster = Cluster(nodes, limit, kind, seed=11, policy=policy)
    context.limit = limit
    context.cluster.unknown_end_probability = 0.0
    context.cluster.advance(1.0)


@given("a second limit of {limit:d} concurrency that all requests need")
def add_second_limit(context, limit):
    context.cluster.second_capacity = limit
    context.cluster.publish_release(context.limit)
    for name in context.cluster.nodes:
        context.cluster.apply_releases(name)
    context.cluster.advance(1.0)


@when(
    "node n{number:d} receives {requests:d} requests of {amount:d} permits and {seconds:g} s pass"
)
def node_receives_requests(context, number, requests, amount, seconds):
    context.cluster.attempt_time = (30.0, 30.0)
    context.cluster.add_requests(f"n{number}", requests, amount)
    context.cluster.advance(seconds)


@when("all nodes receive {requests:d} requests of {amount:d} permits and {seconds:g} s pass")
def all_nodes_receive_requests(context, requests, amount, seconds):
    cluster = context.cluster
    context.backlog_before = {name: len(node.backlog) for name, node in cluster.nodes.items()}
    cluster.attempt_time = (0.02, 0.02)
    for name in cluster.nodes:
        cluster.add_requests(name, requests, amount)
    cluster.advance(seconds)
    context.dispatched = {n: requests - len(node.backlog) for n, node in cluster.nodes.items()}


@when("all nodes apply a release that sets the limit to {limit:d} and {seconds:g} s pass")
def release_limit(context, limit, seconds):
    context.limit = limit
    context.cluster.publish_release(limit)
    for name in context.cluster.nodes:
        context.cluster.apply_releases(name)
    context.cluster.advance(seconds)


@when("node n{number:d} crashes and is removed")
def crash_and_remove(context, number):
    cluster = context.cluster
    name = f"n{number}"
    cluster.nodes[name].crashed = True
    cluster.change_view(cluster.view.members - {name}, member_removed=True)
    for node in cluster.view.members:
        cluster.adopt_view(node)
    cluster.activate()
    for node in cluster.view.members:
        cluster.announce_active_epoch(node)


@then("node n{number:d} may use at least {permits:d} permits")
def check_allocation(context, number, permits):
    assert context.cluster.allocation(f"n{number}") >= permits, context.cluster.allocations()


@then("the limit was never exceeded and at most {permits:d} permits are allocated")
def check_not_exceeded(context, permits):
    assert not context.cluster.violations, context.cluster.violations[0]
    assert sum(context.cluster.allocations().values()) <= permits, context.cluster.allocations()


@then("every node dispatched at least {requests:d} requests")
def check_dispatched(context, requests):
    assert min(context.dispatched.values()) >= requests, context.dispatched


@then("the limit was exceeded")
def check_exceeded(context):
    assert context.cluster.violations


@then("no limit message is sent during {seconds:g} s")
def check_no_messages(context, seconds):
    sent_before = context.cluster.messages_sent
    context.cluster.advance(seconds)
    assert context.cluster.messages_sent == sent_before, context.cluster.messages_sent - sent_before


@then("a capacity of {capacity:d} shared among {claims} gives {shares}")
def check_shares(context, capacity, claims, shares):
    parsed_claims = [Claim(*map(int, claim.split("/"))) for claim in claims.split()]
    assert fair_shares(capacity, parsed_claims) == [int(share) for share in shares.split()]
