"""Steps for the plan of the stages of one request, without I/O."""

from datetime import timedelta

from behave import given, then

from chervilrack._internal.batching.plan import RequestTimes, StagePlan
from chervilrack._internal.batching.progress import StageProgress
from chervilrack._internal.catalogue.state import (
    BatchSpec,
    RequestKind,
    Route,
    ServiceSpec,
    StageSpec,
)
from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.forecast.state import PartForecast, Rest

NOW = timedelta(seconds=100)
SERVICE = ServiceId("first")


def milliseconds(value):
    return timedelta(milliseconds=value)


@given(
    "a request with one stage, {left:g} s until its deadline and {prompt:g} prompt and {output:g} "
    "output tokens"
)
def describe_request(context, left, prompt, output):
    context.tokens = (int(prompt), int(output))
    context.deadline = NOW + timedelta(seconds=left)
    context.rest = Rest()
    context.usual_first_byte = milliseconds(0)
    context.stages = 1
    context.target = milliseconds(2000)


@given("{count:d} stages, each of which reads the one before, and a target latency of {target:g} s")
def set_stages(context, count, target):
    context.stages = count
    context.target = timedelta(seconds=target)


@given("a usual time of {usual:g} s to the first byte")
def set_usual_first_byte(context, usual):
    context.usual_first_byte = timedelta(seconds=usual)


@given("a forecast of {first_event:g} s to the first event and {stream:g} s for the stream")
def set_forecast(context, first_event, stream):
    context.rest = Rest(
        first_event=PartForecast(timedelta(seconds=first_event)),
        stream=PartForecast(timedelta(seconds=stream)),
    )


def plan_stage(context):
    batching = BatchSpec(1, 2, 4, milliseconds(200), milliseconds(20), 10**6, milliseconds(4000))
    route = Route(
        name="route",
        host="",
        path_prefix="/",
        kind=RequestKind.STREAM,
        timeout=milliseconds(6000),
        target_latency=context.target,
        split=((ServiceId("engine"), 1.0),),
        stages=tuple(
            StageSpec(SERVICE, (number - 1,) if number else (), 1000)
            for number in range(context.stages)
        ),
    )
    plan = StagePlan(
        route,
        StageProgress(route, (1,) * context.stages),
        {SERVICE: ServiceSpec(SERVICE, batching=batching)},
        RequestTimes(NOW, NOW + context.target, context.deadline, context.deadline),
        context.tokens,
        lambda: context.rest,
        "",
        lambda _: "",
        lambda: context.usual_first_byte,
    )
    (stage,) = plan.take_ready(NOW)
    return stage


@then("its stage is ordered with a deadline between now and {left:g} s")
def check_range(context, left):
    deadline = plan_stage(context).deadline
    # The time of a very long prompt is beyond any deadline.
    assert deadline <= NOW + timedelta(seconds=left), deadline
    assert context.tokens[0] > 10**6 or deadline > NOW, deadline


@then("its stage is ordered with a deadline {before:g} s before its own")
def check_deadline(context, before):
    deadline = plan_stage(context).deadline
    assert context.deadline - deadline == timedelta(seconds=before), deadline


@then("its stage is due {before:g} s before the end of its target latency of {target:g} s")
def check_due(context, before, target):
    due = plan_stage(context).due
    assert NOW + timedelta(seconds=target) - due == timedelta(seconds=before), due


@then("its first stage is due {after:g} s after its arrival")
def check_due_after_arrival(context, after):
    due = plan_stage(context).due
    assert abs(due - NOW - timedelta(seconds=after)) < milliseconds(1), due - NOW
