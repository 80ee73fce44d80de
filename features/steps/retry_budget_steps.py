"""Steps for the retry budget of a whole fleet."""

import random
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.limits.retry_budget import RetryBudget, RetryBudgetSettings

SERVICE = ServiceId("s")


@given(
    "a fleet of {node_count:d} nodes with a retry budget of {ratio:f}, {slack:d} in {window:d} s"
)
def create_fleet(context, node_count, ratio, slack, window):
    context.bounds = RetryBudgetSettings(ratio, timedelta(seconds=window), float(slack))
    context.node_count = node_count
    context.budgets = [create_budget(context) for _ in range(node_count)]


def create_budget(context):
    return RetryBudget(context.bounds, lambda: context.node_count)


@when(
    "the fleet serves {rate:d} requests a second for {seconds:d} s and uses its whole retry budget"
)
def serve_requests(context, rate, seconds):
    simulate_fleet(context, rate, seconds, killed_at=None)


@when(
    "the fleet serves {rate:d} requests a second for {seconds:d} s, "
    "and half of it is killed after {killed:d} s"
)
def serve_requests_and_kill_half(context, rate, seconds, killed):
    simulate_fleet(context, rate, seconds, killed_at=killed)


def simulate_fleet(context, rate, seconds, killed_at):
    rng = random.Random(2)
    context.requests, context.retries = [], []
    for number in range(rate * seconds):
        at = number / rate
        if killed_at is not None and at >= killed_at:
            killed_nodes = range(0, context.node_count, 2)
            for index in killed_nodes:
                context.budgets[index] = create_budget(context)
            killed_at = None
        now = timedelta(seconds=at)
        budget = rng.choice(context.budgets)
        budget.record_request(SERVICE, now)
        context.requests.append(at)
        while budget.take(SERVICE, now):
            context.retries.append(at)


@then(
    "the retries of the fleet in any {window:d} s are at most "
    "{ratio:f} of the requests and {slack:d}"
)
def check_bound(context, window, ratio, slack):
    for start in context.retries:
        retries = sum(1 for at in context.retries if start <= at < start + window)
        requests = sum(1 for at in context.requests if start <= at < start + window)
        previous_requests = sum(1 for at in context.requests if start - window <= at < start)
        assert retries <= ratio * max(requests, previous_requests) + slack, (
            start,
            retries,
            requests,
        )


@then("the fleet made at least {least:d} retries")
def check_retries(context, least):
    assert len(context.retries) >= least, len(context.retries)
