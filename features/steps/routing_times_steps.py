"""Steps for learned service times."""

import random
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.routing.settings import RouterSettings
from chervilrack._internal.routing.times import ServiceTimes, TokenRegression, WorkSize

SEEDS = range(40)


def true_time(prompt, output):
    """Return the seconds at 0.15 ms per prompt token and 20 ms per output token."""
    return 0.00015 * prompt + 0.02 * output


@given("routing has observed {count:d} requests with 200 to 600 prompt tokens")
def observe(context, count):
    context.regressions = []
    for seed in SEEDS:
        rng = random.Random(seed)
        regression = TokenRegression(0.2, 0.2)
        for _ in range(count):
            prompt, output = rng.randint(200, 600), rng.randint(24, 40)
            noise = rng.uniform(0.8, 1.2)
            regression.add(WorkSize(prompt, output), true_time(prompt, output) * noise)
        context.regressions.append(regression)


@when("routing predicts a prompt of {prompt:d} tokens and an output of {output:d}")
def predict(context, prompt, output):
    context.true_time = true_time(prompt, output)
    context.predictions = [
        regression.predict(WorkSize(prompt, output))[0] for regression in context.regressions
    ]


@then("routing prediction is at most {factor:f} times the true time")
def check_prediction(context, factor):
    longest = max(context.predictions)
    assert longest <= factor * context.true_time, (longest, context.true_time)


def _observe_requests(context, outputs, count):
    for _ in range(count):
        size = WorkSize(context.rng.randint(100, 600), outputs)
        seconds = true_time(size.prompt, size.output) * context.rng.uniform(0.8, 1.2)
        upstream = f"engine-{context.rng.randrange(6)}"
        context.times.observe("generate", upstream, size, timedelta(seconds=seconds))


@given("routing has observed {count:d} requests with {outputs:d} output tokens")
def observe_stage(context, outputs, count):
    context.rng = random.Random(5)
    context.times = ServiceTimes(RouterSettings())
    _observe_requests(context, outputs, count)


@when("routing observes {count:d} requests with {outputs:d} output tokens")
def observe_more(context, outputs, count):
    _observe_requests(context, outputs, count)


@then("routing estimate for {outputs:d} output tokens is at most {factor:f} times the true time")
def check_estimate(context, outputs, factor):
    size = WorkSize(400, outputs)
    limit = factor * true_time(400, outputs)
    for number in range(6):
        estimate = context.times.estimate("generate", f"engine-{number}", size)
        assert estimate.mean.total_seconds() <= limit, (estimate, limit)
