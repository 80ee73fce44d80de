"""Steps for learned service times."""

import random

from behave import given, then, when

from chervilrack._internal.routing.times import TokenRegression, WorkSize

SEEDS = range(40)


def true_time(prompt, output):
    """Return the seconds of an engine with 0.15 ms per prompt and 20 ms per output token."""
    return 0.00015 * prompt + 0.02 * output


@given("routing times of {count:d} requests with 200 to 600 prompt tokens")
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
    worst = max(context.predictions)
    assert worst <= factor * context.true_time, (worst, context.true_time)
