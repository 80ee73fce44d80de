"""Steps for the budget of repeats of a whole fleet."""

import random
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.limits.retry_budget import RetryBudget, RetryBudgetSettings

SERVICE = ServiceId("s")


@given("a fleet of {count:d} nodes with a retry budget of {ratio:f}, {slack:d} in {window:d} s")
def fleet(context, count, ratio, slack, window):
    context.bounds = RetryBudgetSettings(ratio, timedelta(seconds=window), float(slack))
    context.count = count
    context.budgets = [new_budget(context) for _ in range(count)]


def new_budget(context):
    return RetryBudget(context.bounds, lambda: context.count)


@when("the fleet serves {rate:d} requests a second for {seconds:d} s and repeats whenever it may")
def serve(context, rate, seconds):
    play(context, rate, seconds, killed_at=None)


@when(
    "the fleet serves {rate:d} requests a second for {seconds:d} s, "
    "and half of it is killed after {killed:d} s"
)
def serve_and_kill(context, rate, seconds, killed):
    play(context, rate, seconds, killed_at=killed)


def play(context, rate, seconds, killed_at):
    rng = random.Random(2)
    context.requests, context.repeats = [], []
    for number in range(rate * seconds):
        at = number / rate
        if killed_at is not None and at >= killed_at:
            half = range(0, context.count, 2)
            for index in half:
                context.budgets[index] = new_budget(context)
            killed_at = None
        now = timedelta(seconds=at)
        budget = rng.choice(context.budgets)
        budget.record_request(SERVICE, now)
        context.requests.append(at)
        while budget.take(SERVICE, now):
            context.repeats.append(at)


@then("the fleet's repeats in any {window:d} s are at most {ratio:f} of the requests and {slack:d}")
def bounded(context, window, ratio, slack):
    for start in context.repeats:
        repeats = sum(1 for at in context.repeats if start <= at < start + window)
        requests = sum(1 for at in context.requests if start <= at < start + window)
        before = sum(1 for at in context.requests if start - window <= at < start)
        assert repeats <= ratio * max(requests, before) + slack, (start, repeats, requests)


@then("the fleet repeated at least {least:d} times")
def repeated(context, least):
    assert len(context.repeats) >= least, len(context.repeats)
