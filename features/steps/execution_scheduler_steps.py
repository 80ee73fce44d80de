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
    Refuse,
    Submit,
    Task,
    Tick,
)
from chervilrack._internal.routing.port import Estimate, RouteContext
from chervilrack._internal.upstreams.port import FailureKind

UPSTREAMS = tuple(service_upstream(name) for name in ("a", "b", "c", "d"))
MS = timedelta(milliseconds=1)


class Bench:
    """A scheduler with fakes, and everything it has decided."""

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

    def of(self, kind, task=None):
        found = [effect for effect in self.effects if isinstance(effect, kind)]
        if task is None:
            return found
        return [one for one in found if getattr(one.task, "id", one.task) == task.id]

    def serve_all(self, count):
        """Answer attempts one after the other until ``count`` were dispatched."""
        served = 0
        while len(self.of(Dispatch)) < count:
            self.now += 10 * MS
            self.finish(self.of(Dispatch)[served].attempt)
            served += 1


@then("execution the scheduler machine finds no difference")
def run_machine(context):
    run_state_machine_as_test(SchedulerMachine)


@then("execution generated backlogs are served within the fairness bound")
def fairness_bound(context):
    organisations = st.lists(
        st.tuples(st.floats(0.1, 10), st.lists(st.floats(0.01, 2), min_size=1, max_size=15)),
        min_size=2,
        max_size=5,
    )

    @settings(max_examples=2 * settings.default.max_examples)
    @for_all(organisations)
    def check(backlogs):
        bench = Bench(1)
        blocker = bench.submit(10_000, organisation="blocker")
        # Waits are not the subject here, so all deadlines and the delay bound are out of reach.
        bench.scheduler._bounds = QueueBounds(delay=seconds(10**6))
        for number, (weight, costs) in enumerate(backlogs):
            for cost in costs:
                bench.submit(10_000, organisation=number, weight=weight, cost=cost)
        bench.finish(bench.of(Dispatch, blocker)[0].attempt)
        waiting = [len(costs) for _weight, costs in backlogs]
        served = [0.0] * len(backlogs)
        for position in range(sum(waiting)):
            dispatch = bench.of(Dispatch)[position + 1]
            number = dispatch.task.organisation
            waiting[number] -= 1
            served[number] += dispatch.task.cost / backlogs[number][0]
            backlogged = [one for one in range(len(backlogs)) if waiting[one]]
            for one in backlogged:
                for other in backlogged:
                    # Goyal, Vin and Cheng, theorem 1: one largest task of each.
                    bound = sum(
                        max(backlogs[index][1]) / backlogs[index][0] for index in (one, other)
                    )
                    assert served[one] - served[other] <= bound + 1e-9
            bench.finish(dispatch.attempt)

    check()


@given("execution a scheduler with {permits:d} permit")
def scheduler(context, permits):
    context.bench = Bench(permits)


@given("execution a service time of {time:d} s")
def service_time(context, time):
    context.bench.router.expected = Estimate(seconds(time), ZERO)


@when("execution organisations with the weights {weights} have {count:d} tasks each")
def backlogs(context, weights, count):
    bench = context.bench
    bench.router.expected = Estimate(MS, ZERO)
    for _each in range(count):
        for number, weight in enumerate(weights.split(",")):
            bench.submit(1000, organisation=str(number), weight=float(weight))


@then("execution of the first {count:d} dispatches the first organisation gets {first:d}")
def turns(context, count, first):
    bench = context.bench
    bench.serve_all(count + 1)
    # The very first was dispatched before the others had arrived.
    taken = [one.task.organisation for one in bench.of(Dispatch)[1 : count + 1]]
    assert abs(taken.count("0") - first) <= 1, taken


@when("execution a second organisation comes after {alone:d} tasks of the first")
def late_comer(context, alone):
    bench = context.bench
    bench.router.expected = Estimate(MS, ZERO)
    for _each in range(alone + 40):
        bench.submit(1000, organisation="first")
    bench.serve_all(alone)
    for _each in range(40):
        bench.submit(1000, organisation="second")
    context.alone = alone


@then("execution of the next {count:d} dispatches each gets half")
def halves(context, count):
    bench = context.bench
    bench.serve_all(context.alone + count)
    taken = [one.task.organisation for one in bench.of(Dispatch)[context.alone :]]
    assert abs(taken.count("second") - count / 2) <= 1, taken


@when("execution an attempt fails when {left:d} ms are left of work that takes 100 ms")
def late_failure(context, left):
    bench = context.bench
    context.task = bench.submit(1)
    bench.now = context.task.deadline - left * MS
    attempt = bench.of(Dispatch)[0].attempt
    bench.finish(attempt, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)


@when("execution only the upstream at which a task has failed has permits")
def only_failed(context):
    bench = context.bench
    context.task = bench.submit(10)
    [first] = bench.of(Dispatch)
    context.only = first.upstream
    for upstream in UPSTREAMS:
        if upstream is not first.upstream:
            bench.permits.capacities[f"upstream/{upstream.id}/concurrency"] = 0
    bench.finish(first.attempt, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)
    context.next = bench.submit(10)


@then("execution the retry and the next task are dispatched there")
def dispatched_there(context):
    dispatched = context.bench.of(Dispatch)[1:]
    assert {one.task.id for one in dispatched} == {context.task.id, context.next.id}, dispatched
    assert all(one.upstream is context.only for one in dispatched)


@when("execution the permit comes free when a waiting task is past its deadline")
def late_permit(context):
    free_permit(context, -500)


@when("execution the permit comes free when a waiting task has {left:d} ms left")
def free_permit(context, left):
    bench = context.bench
    first = bench.submit(10)
    context.last = bench.submit(0.5)
    bench.now = context.last.deadline - left * MS
    bench.finish(bench.of(Dispatch, first)[0].attempt)
    assert len(bench.of(Dispatch, context.last)) == (left > 120), "dispatched too late"


@then("execution the task has {attempts:d} attempts")
def count_attempts(context, attempts):
    assert len(context.bench.of(Dispatch, context.task)) == attempts


@when("execution the first attempt fails while its hedge runs")
def first_fails_hedged(context):
    bench = context.bench
    first, context.hedge = bench.of(Dispatch, context.task)
    bench.finish(first.attempt, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)


@then("execution the task waits for the hedge and completes with its answer")
def hedge_goes_on(context):
    bench = context.bench
    assert len(bench.of(Dispatch, context.task)) == 2
    assert not bench.of(Refuse, context.task)
    bench.finish(context.hedge.attempt)
    completed = bench.of(Complete, context.task)
    assert [one.attempt for one in completed] == [context.hedge.attempt]


@then("execution all {count:d} tasks are dispatched at once")
def all_at_once(context, count):
    assert len(context.bench.of(Dispatch)) == count


@when("execution tasks that are due after 5, 3, 4 and 2 s wait")
def due_tasks(context):
    context.bench.submit(9)
    for time in (5, 3, 4, 2):
        context.bench.submit(time)


@then("execution they are dispatched in the order 2, 3, 4, 5")
def due_order(context):
    bench = context.bench
    start = bench.now
    bench.serve_all(5)
    order = [(one.task.due - start) / seconds(1) for one in bench.of(Dispatch)[1:]]
    assert order == [2, 3, 4, 5], order


@when("execution {waiting:d} tasks wait and one with {remaining:g} s arrives")
def arrive(context, waiting, remaining):
    if waiting:
        for number in range(waiting + 1):
            context.bench.submit(1000, organisation=str(number))
    else:
        context.bench.submit(1000, stage="other")
    context.last = context.bench.submit(remaining)


@when("execution 8 tasks at a time end every second and one comes between with {time:d} s")
def batches(context, time):
    bench = context.bench
    for number in range(18):
        bench.submit(1000, organisation=str(number))
    for first in (0, 8):
        bench.now += seconds(1)
        for dispatch in bench.of(Dispatch)[first : first + 8]:
            bench.finish(dispatch.attempt, 1.0)
        for number in range(8):
            bench.submit(1000, organisation=f"{first}-{number}")
    bench.now += 900 * MS
    context.last = bench.submit(time)


@then("execution the last task is {outcome}")
def admitted(context, outcome):
    refusals = context.bench.of(Refuse, context.last)
    if outcome == "queued":
        assert not refusals, refusals
        return
    assert [one.problem.code.name for one in refusals] == [outcome], refusals
    assert refusals[0].problem.executed is Executed.NO


@when("execution {count:d} tasks with {time:d} s arrive one after the other")
def hopeless(context, count, time):
    for _each in range(count):
        context.bench.submit(time)
        for dispatch in context.bench.of(Dispatch):
            context.bench.finish(dispatch.attempt)


@then("execution exactly 1 of them is dispatched and the others are refused")
def one_probe(context):
    bench = context.bench
    assert len(bench.of(Dispatch)) == 1
    assert len(bench.of(Refuse)) == bench.submitted - 1


@when("execution the first attempt of a task, idempotent {idempotent}, ends with {failure}")
def first_fails(context, idempotent, failure):
    bench = context.bench
    context.task = bench.submit(10, idempotent=idempotent == "yes")
    kind = FailureKind(failure)
    never_ran = kind in (FailureKind.REFUSED, FailureKind.NOT_SENT)
    executed = Executed.NO if never_ran else Executed.UNKNOWN
    context.executed = executed
    bench.finish(bench.of(Dispatch)[0].attempt, failure=kind, executed=executed)


@then("execution the task has {attempts:d} attempts and its permit came back by {returned}")
def attempts_made(context, attempts, returned):
    bench = context.bench
    assert len(bench.of(Dispatch, context.task)) == attempts
    assert [how for how, _at in bench.permits.returned] == [returned]
    refusals = bench.of(Refuse, context.task)
    if attempts == 1:
        assert refusals[0].problem.executed is context.executed
    else:
        assert not refusals


@then("execution its permit comes back 1 s after its deadline")
def permit_at(context):
    assert context.bench.permits.returned == [("release_at", context.task.deadline + seconds(1))]


@then("execution its attempts went to different upstreams")
def different(context):
    used = [one.upstream.id for one in context.bench.of(Dispatch, context.task)]
    assert len(set(used)) == 2, used


@when("execution {requests:d} tasks come of which every fourth fails at first")
def failing_tasks(context, requests):
    bench = context.bench
    for number in range(requests):
        task = bench.submit(10)
        bench.now += MS
        if number % 4 == 0:
            first = bench.of(Dispatch, task)[0].attempt
            bench.finish(first, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)
        for dispatch in bench.of(Dispatch, task):
            bench.finish(dispatch.attempt)


@then("execution at most {most:d} additional attempts are made, and at least 3")
def additional(context, most):
    bench = context.bench
    extra = len(bench.of(Dispatch)) - bench.submitted
    assert 3 <= extra <= most, extra


@given("execution {count:d} tasks that took {time:d} ms each")
def history(context, count, time):
    bench = context.bench
    for _each in range(count):
        task = bench.submit(10)
        bench.now += time * MS
        bench.finish(bench.of(Dispatch, task)[0].attempt, time / 1000)


@when("execution a task runs for {age:d} ms {case}")
def task_runs(context, age, case):
    bench = context.bench
    if case.startswith("after"):
        for _each in range(20):
            _age(bench, bench.submit(10), 150)
    if case == "in a brown-out":
        for _each in range(40):
            task = bench.submit(10, idempotent=False)
            attempt = bench.of(Dispatch, task)[0].attempt
            bench.finish(attempt, failure=FailureKind.FAILED, executed=Executed.UNKNOWN)
    time = 0.2 if case == "with 200 ms until deadline" else 10
    context.task = bench.submit(time, idempotent=case != "and is not idempotent")
    if case == "while others wait":
        # The waiting task needs tokens that never come, so there are permits for a hedge.
        bench.permits.capacities["team/forge/tokens_per_s"] = 10
        bench.submit(10, tokens=11)
    context.before = sum(one.hedge for one in bench.of(Dispatch))
    bench.now += age * MS
    bench.handle(Tick())


def _age(bench, task, age):
    bench.now += age * MS
    bench.handle(Tick())
    for dispatch in bench.of(Dispatch, task):
        bench.finish(dispatch.attempt)


@then("execution {count:d} hedges are sent")
def hedges(context, count):
    made = [one for one in context.bench.of(Dispatch, context.task) if one.hedge]
    assert len(made) == count, made


@when("execution its hedge is answered, and the first attempt later")
def hedge_answers(context):
    bench = context.bench
    first, hedge = bench.of(Dispatch, context.task)
    bench.finish(hedge.attempt)
    context.cancelled = bench.of(CancelAttempt, context.task)
    bench.finish(first.attempt)
    context.hedge, context.first = hedge, first


@then("execution the task completes once, with the hedge's answer")
def hedge_wins(context):
    completed = context.bench.of(Complete, context.task)
    assert [one.attempt for one in completed] == [context.hedge.attempt]
    assert [one.attempt for one in context.cancelled] == [context.first.attempt]


@then("execution the demand is {each:d} for each upstream and {team:d} for the team")
def demand(context, each, team):
    context.bench.now += seconds(1)
    context.bench.handle(Tick())
    stated = context.bench.permits.demand
    assert stated["team/forge/concurrency"] == team, stated
    assert all(stated[f"upstream/{one.id}/concurrency"] == each for one in UPSTREAMS), stated
