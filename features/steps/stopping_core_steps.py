"""Steps for the decision of a stopping node, without I/O."""

from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.forecast.core import Forecaster
from chervilrack._internal.forecast.state import Basis, Work
from chervilrack._internal.serving.stopping import StopPlan

ROUTE = "route"
BOUND = timedelta(seconds=30)
START = timedelta(seconds=50)


def record(context, count, took):
    for _ in range(count):
        duration = timedelta(seconds=took)
        for work in Work:
            context.forecaster.record(ROUTE, work, duration, context.now)


@given("a node with {cores:g} cores and {count:d} requests in progress")
def create_plan(context, cores, count):
    context.forecaster = Forecaster()
    context.plan = StopPlan(cores, context.forecaster)
    context.in_progress = count
    context.now = START


@given("{count:d} earlier requests of the route that took {took} s")
def record_earlier(context, count, took):
    if took != "unknown":
        record(context, count, float(took))


@when("the node has been stopping for {age:g} s of {grace:g} s")
def begin_stop(context, age, grace):
    context.plan.begin(context.now, timedelta(seconds=grace))
    context.now += timedelta(seconds=age)


@then("a new {kind} with {bound:g} s left is {decision}")
def check_decision(context, kind, bound, decision):
    shortfall = context.plan.shortfall(
        ROUTE,
        Work.REQUEST,
        timedelta(seconds=bound),
        context.now,
        is_stream=kind == "stream",
        in_progress=context.in_progress,
    )
    basis = {
        "taken": None,
        "refused for its deadline": Basis.OWN_BOUND,
        "refused for usual time": Basis.USUAL_TIME,
    }[decision]
    assert (shortfall.basis if shortfall else None) is basis, shortfall


@given("{count:d} requests that took 0.1 s, {age:g} s ago")
def record_aged(context, count, age):
    context.forecaster = Forecaster()
    context.now = START
    record(context, count, 0.1)
    context.now += timedelta(seconds=age)


@given(
    "{fast:d} requests that took 0.1 s and {slow:d} that took 2 s, "
    "{age:g} s before 40 more in 0.1 s"
)
def record_mixed(context, fast, slow, age):
    context.forecaster = Forecaster()
    context.now = START
    record(context, fast, 0.1)
    record(context, slow, 2.0)
    context.now += timedelta(seconds=age)
    record(context, 40, 0.1)


@then("a {kind} is expected to take {low:g} to {high:g} s")
def check_request_time(context, kind, low, high):
    check_expected_time(context, Work.REQUEST, kind, low, high)


@then("an attempt of a {kind} is expected to take {low:g} to {high:g} s")
def check_attempt_time(context, kind, low, high):
    check_expected_time(context, Work.ATTEMPT, kind, low, high)


def check_expected_time(context, work, kind, low, high):
    expected, _ = context.forecaster.cautious_time(
        ROUTE, work, BOUND, context.now, is_stream=kind == "stream"
    )
    assert timedelta(seconds=low) <= expected <= timedelta(seconds=high), expected
