"""Steps for the scheduler and the division of deadlines."""

from datetime import timedelta

from behave import given, then, when
from features.support.execution_fakes import (
    ZERO,
    FakePermits,
    FakeRouter,
    seconds,
    service_upstream,
)
from features.support.scheduler_machine import GROUP, SchedulerMachine
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from chervilrack._internal.common.ids import StageId
from chervilrack._internal.common.results import Executed
from chervilrack._internal.execution.backlog import QueueBounds
from chervilrack._internal.execution.scheduler import Scheduler
from chervilrack._internal.execution.tasks import (
    AttemptFinished,
    CancelAttempt,
    Complete,
    Dispatch,
    Reject,
    Submit,
    Task,
    Tick,
)
from chervilrack._internal.routing.port import Estimate, RouteContext
from chervilrack._internal.upstreams.port import FailureKind

UPSTREAMS = tuple(service_upstream(name) for name in ("a", "b", "c", "d"))
MS = timedelta(milliseconds=1)


class SchedulerHarness:
    """A scheduler with fakes, and all effects that it has returned."""

    def __init__(self, permits):
        self.now = seconds(100)
        self.router = FakeRouter()
        self.permits = FakePermits({"team/forge/concurrency": permits})
        self.scheduler = Scheduler(self.router, self.permits, lambda group: UPSTREAMS)
        self.effects = []
        self.submitted = 0

    def handle(self, event):
        effects = self.scheduler.handle(event, self.now)
        self.effects += effects
        return effects

    def submit(
        self, time, organisation="o", stage="s", weight=1.0, idempotent=True, cost=1.0, tokens=0
    ):
        self.submitted += 1
        deadline = self.now + seconds(time)
        task = Task(
            id=f"t{self.submitted}",
            request_id=f"r{self.submitted}",
            organisation=organisation,
            group=GROUP,
            context=RouteContext(StageId(stage), organisation),
            due=deadline,
            deadline=deadline,
            weight=weight,
            cost=cost,
            tokens=tokens,
            idempotent=idempotent,
        )
        self.handle(Submit(task))
        return task

    def finish(self, attempt, time=0.1, failure=None, executed=Executed.YES):
        return self.handle(AttemptFinished(attempt, seconds(time), failure, executed))

    def effects_of(self, kind, task=None):
        """Return the effects of one type, of all tasks or of one."""
        matching = [effect for effect in self.effects if isinstance(effect, kind)]
        if task is None:
            return matching
        return [effect for effect in matching if getattr(effect.task, "id", effect.task) == task.id]

    def serve_until_dispatched(self, count):
        """Answer attempts one after the other until ``count`` attempts have been dispatched."""
        served = 0
        while len(self.effects_of(Dispatch)) < count:
            self.now += 10 * MS
            self.finish(self.effects_of(Dispatch)[served].attempt)
            served += 1


@then("execution the scheduler state machine finds no difference")
def run_state_machine(context):
    run_state_machine_as_test(SchedulerMachine)


@then("execution generated backlogs are served within the fairness bound")
def check_fairness_bound(context):
    organisations = st.lists(
        st.tuples(st.floats(0.1, 10), st.lists(st.floats(0.01, 2), min_size=1, max_size=15)),
        min_size=2,
        max_size=5,
    )

    @settings(max_examples=2 * settings.default.max_examples)
    @for_all(organisations)
    def check(backlogs):
        harness = SchedulerHarness(1)
        blocker = harness.submit(10_000, organisation="blocker")
        # Deadlines and the delay bound are far away, so that no task is rejected.
        harness.scheduler._bounds = QueueBounds(max_delay=seconds(10**6))
        for number, (weight, costs) in enumerate(backlogs):
            for cost in costs:
                harness.submit(10_000, organisation=number, weight=weight, cost=cost)
        harness.finish(harness.effects_of(Dispatch, blocker)[0].attempt)
        waiting = [len(costs) for _weight, costs in backlogs]
        served = [0.0] * len(backlogs)
        for position in range(sum(waiting)):
            dispatch = harness.effects_of(Dispatch)[position + 1]
            number = dispatch.task.organisation
            waiting[number] -= 1
            served[number] += dispatch.task.cost / backlogs[number][0]
            backlogged = [one for one in range(len(backlogs)) if waiting[one]]
            for one in backlogged:
                for other in backlogged:
                    # Goyal, Vin and Cheng, theorem 1: at most the largest task of each.
                    bound = sum(
                        max(backlogs[index][1]) / backlogs[index][0] for index in (one, other)
                    )
                    assert served[one] - served[other] <= bound + 1e-9
            harness.finish(dispatch.attempt)

    check()


@given("execution a scheduler with a concurrency limit of {permits:d}")
def create_scheduler(context, permits):
    context.harness = SchedulerHarness(permits)


@given("execution a service time of {time:d} s")
def set_service_time(context, time):
    context.harness.router.expected = Estimate(seconds(time), ZERO)


@when("execution organisations with the weights {weights} have {count:d} tasks each")
def submit_backlogs(context, weights, count):
    harness = context.harness
    harness.router.expected = Estimate(MS, ZERO)
    for _number in range(count):
        for number, weight in enumerate(weights.split(",")):
            harness.submit(1000, organisation=str(number), weight=float(weight))


@then("execution of the first {count:d} dispatches the first organisation gets {first:d}")
def assert_first_share(context, count, first):
    harness = context.harness
    harness.serve_until_dispatched(count + 1)
    # The first task of all was dispatched before the others had arrived.
    organisations = [
        dispatch.task.organisation for dispatch in harness.effects_of(Dispatch)[1 : count + 1]
    ]
    assert abs(organisations.count("0") - first) <= 1, organisations


@when("execution a second organisation submits tasks after {alone:d} tasks of the first")
def submit_second_organisation(context, alone):
    harness = context.harness
    harness.router.expected = Estimate(MS, ZERO)
    for _number in range(alone + 40):
        harness.submit(1000, organisation="first")
    harness.serve_until_dispatched(alone)
    for _number in range(40):
        harness.submit(1000, organisation="second")
    context.alone = alone


@then("execution of the next {count:d} dispatches each organisation gets half")
def assert_equal_shares(context, count):
    harness = context.harness
    harness.serve_until_dispatched(context.alone + count)
    organisations = [
        dispatch.task.organisation for dispatch in harness.effects_of(Dispatch)[context.alone :]
    ]
    assert abs(organisations.count("second") - count / 2) <= 1, organisations


@when("execution an attempt fails when {left:d} ms are left of work that takes 100 ms")
def fail_late(context, left):
    harness = context.harness
    context.task = harness.submit(1)
    harness.now = context.task.deadline - left * MS
    attempt = harness.effects_of(Dispatch)[0].attempt
    harness.finish(attempt, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)


@when("execution only the upstream at which a task has failed has permits")
def block_other_upstreams(context):
    harness = context.harness
    context.task = harness.submit(10)
    [first] = harness.effects_of(Dispatch)
    context.only = first.upstream
    for upstream in UPSTREAMS:
        if upstream is not first.upstream:
            harness.permits.capacities[f"upstream/{upstream.id}/concurrency"] = 0
    harness.finish(first.attempt, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)
    context.next = harness.submit(10)


@then("execution the retry and the next task are dispatched to this upstream")
def assert_dispatched_to_upstream(context):
    dispatched = context.harness.effects_of(Dispatch)[1:]
    assert {dispatch.task.id for dispatch in dispatched} == {context.task.id, context.next.id}, (
        dispatched
    )
    assert all(dispatch.upstream is context.only for dispatch in dispatched)


@when("execution the permit becomes free after the deadline of a waiting task")
def free_permit_after_deadline(context):
    free_permit(context, -500)


@when("execution the permit becomes free when a waiting task has {left:d} ms left")
def free_permit(context, left):
    harness = context.harness
    first = harness.submit(10)
    context.last = harness.submit(0.5)
    harness.now = context.last.deadline - left * MS
    harness.finish(harness.effects_of(Dispatch, first)[0].attempt)
    assert len(harness.effects_of(Dispatch, context.last)) == (left > 120), "dispatched too late"


@then("execution the task has {attempts:d} attempts")
def assert_attempts(context, attempts):
    assert len(context.harness.effects_of(Dispatch, context.task)) == attempts


@when("execution the first attempt fails while its hedge runs")
def fail_hedged_attempt(context):
    harness = context.harness
    first, context.hedge = harness.effects_of(Dispatch, context.task)
    harness.finish(first.attempt, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)


@then("execution the task waits for the hedge and completes with its answer")
def assert_completed_by_hedge(context):
    harness = context.harness
    assert len(harness.effects_of(Dispatch, context.task)) == 2
    assert not harness.effects_of(Reject, context.task)
    harness.finish(context.hedge.attempt)
    completed = harness.effects_of(Complete, context.task)
    assert [effect.attempt for effect in completed] == [context.hedge.attempt]


@then("execution all {count:d} tasks are dispatched at once")
def assert_dispatched(context, count):
    assert len(context.harness.effects_of(Dispatch)) == count


@when("execution tasks due in 5, 3, 4 and 2 s wait")
def submit_due_tasks(context):
    context.harness.submit(9)
    for time in (5, 3, 4, 2):
        context.harness.submit(time)


@then("execution they are dispatched in the order 2, 3, 4, 5")
def assert_due_order(context):
    harness = context.harness
    start = harness.now
    harness.serve_until_dispatched(5)
    order = [
        (dispatch.task.due - start) / seconds(1) for dispatch in harness.effects_of(Dispatch)[1:]
    ]
    assert order == [2, 3, 4, 5], order


@when("execution {waiting:d} tasks wait and a task with {remaining:g} s left arrives")
def submit_behind_waiting(context, waiting, remaining):
    if waiting:
        for number in range(waiting + 1):
            context.harness.submit(1000, organisation=str(number))
    else:
        context.harness.submit(1000, stage="other")
    context.last = context.harness.submit(remaining)


@when("execution 8 tasks end every second and a task with {time:d} s left arrives in between")
def submit_between_batches(context, time):
    harness = context.harness
    for number in range(18):
        harness.submit(1000, organisation=str(number))
    for first in (0, 8):
        harness.now += seconds(1)
        for dispatch in harness.effects_of(Dispatch)[first : first + 8]:
            harness.finish(dispatch.attempt, 1.0)
        for number in range(8):
            harness.submit(1000, organisation=f"{first}-{number}")
    harness.now += 900 * MS
    context.last = harness.submit(time)


@then("execution the last task is {outcome}")
def assert_admission(context, outcome):
    rejections = context.harness.effects_of(Reject, context.last)
    if outcome == "queued":
        assert not rejections, rejections
        return
    assert [effect.problem.code.name for effect in rejections] == [outcome], rejections
    assert rejections[0].problem.executed is Executed.NO


@when("execution {count:d} tasks with a deadline of {time:d} s arrive one after the other")
def submit_unreachable(context, count, time):
    for _number in range(count):
        context.harness.submit(time)
        for dispatch in context.harness.effects_of(Dispatch):
            context.harness.finish(dispatch.attempt)


@then("execution exactly 1 of the tasks is dispatched and the others are rejected")
def assert_one_probe(context):
    harness = context.harness
    assert len(harness.effects_of(Dispatch)) == 1
    assert len(harness.effects_of(Reject)) == harness.submitted - 1


@when("execution the first attempt of a task, idempotent {idempotent}, ends with {failure}")
def fail_first_attempt(context, idempotent, failure):
    harness = context.harness
    context.task = harness.submit(10, idempotent=idempotent == "yes")
    kind = FailureKind(failure)
    not_run = kind in (FailureKind.REFUSED, FailureKind.NOT_SENT)
    executed = Executed.NO if not_run else Executed.UNKNOWN
    context.executed = executed
    harness.finish(harness.effects_of(Dispatch)[0].attempt, failure=kind, executed=executed)


@then("execution the task has {attempts:d} attempts and the first permit was returned by {method}")
def assert_attempts_and_permit(context, attempts, method):
    harness = context.harness
    assert len(harness.effects_of(Dispatch, context.task)) == attempts
    assert [returned_by for returned_by, _at in harness.permits.returned] == [method]
    rejections = harness.effects_of(Reject, context.task)
    if attempts == 1:
        assert rejections[0].problem.executed is context.executed
    else:
        assert not rejections


@then("execution the permit is returned 1 s after the deadline of the task")
def assert_permit_returned(context):
    assert context.harness.permits.returned == [("release_at", context.task.deadline + seconds(1))]


@then("execution the attempts of the task went to different upstreams")
def assert_different_upstreams(context):
    used = [dispatch.upstream.id for dispatch in context.harness.effects_of(Dispatch, context.task)]
    assert len(set(used)) == 2, used


@when("execution {requests:d} tasks arrive and the first attempt of every fourth fails")
def submit_failing_tasks(context, requests):
    harness = context.harness
    for number in range(requests):
        task = harness.submit(10)
        harness.now += MS
        if number % 4 == 0:
            first = harness.effects_of(Dispatch, task)[0].attempt
            harness.finish(first, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)
        for dispatch in harness.effects_of(Dispatch, task):
            harness.finish(dispatch.attempt)


@then("execution at most {most:d} additional attempts are made, and at least 3")
def assert_additional_attempts(context, most):
    harness = context.harness
    extra = len(harness.effects_of(Dispatch)) - harness.submitted
    assert 3 <= extra <= most, extra


@given("execution {count:d} tasks that took {time:d} ms each")
def run_earlier_tasks(context, count, time):
    harness = context.harness
    for _number in range(count):
        task = harness.submit(10)
        harness.now += time * MS
        harness.finish(harness.effects_of(Dispatch, task)[0].attempt, time / 1000)


@when("execution a task runs for {age:d} ms {case}")
def run_task(context, age, case):
    harness = context.harness
    if case.startswith("after"):
        for _number in range(20):
            _run_until_age(harness, harness.submit(10), 150)
    if case == "in a brown-out":
        for _number in range(40):
            task = harness.submit(10, idempotent=False)
            attempt = harness.effects_of(Dispatch, task)[0].attempt
            harness.finish(attempt, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)
    time = 0.2 if case == "with 200 ms until deadline" else 10
    context.task = harness.submit(time, idempotent=case != "and is not idempotent")
    if case == "while others wait":
        # The waiting task needs tokens that are never granted; the hedge would have a permit.
        harness.permits.capacities["team/forge/tokens_per_s"] = 10
        harness.submit(10, tokens=11)
    context.hedges_before = sum(dispatch.hedge for dispatch in harness.effects_of(Dispatch))
    harness.now += age * MS
    harness.handle(Tick())


def _run_until_age(harness, task, age):
    harness.now += age * MS
    harness.handle(Tick())
    for dispatch in harness.effects_of(Dispatch, task):
        harness.finish(dispatch.attempt)


@then("execution {count:d} hedges are sent")
def assert_hedges(context, count):
    hedges = [
        dispatch
        for dispatch in context.harness.effects_of(Dispatch, context.task)
        if dispatch.hedge
    ]
    assert len(hedges) == count, hedges


@when("execution the hedge is answered before the first attempt")
def answer_hedge_first(context):
    harness = context.harness
    first, hedge = harness.effects_of(Dispatch, context.task)
    harness.finish(hedge.attempt)
    context.cancelled = harness.effects_of(CancelAttempt, context.task)
    harness.finish(first.attempt)
    context.hedge, context.first = hedge, first


@then("execution the task completes once, with the hedge's answer")
def assert_completed_once_by_hedge(context):
    completed = context.harness.effects_of(Complete, context.task)
    assert [effect.attempt for effect in completed] == [context.hedge.attempt]
    assert [effect.attempt for effect in context.cancelled] == [context.first.attempt]


@then("execution the demand is {each:d} for each upstream and {team:d} for the team")
def assert_demand(context, each, team):
    context.harness.now += seconds(1)
    context.harness.handle(Tick())
    reported = context.harness.permits.demand
    assert reported["team/forge/concurrency"] == team, reported
    assert all(reported[f"upstream/{upstream.id}/concurrency"] == each for upstream in UPSTREAMS), (
        reported
    )
