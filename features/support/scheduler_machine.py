"""State machine that sends random events to the scheduler and compares it with a simple model."""

from dataclasses import dataclass, field
from datetime import timedelta

from features.support.execution_fakes import ZERO, FakePermits, FakeRouter, service_upstream
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chervilrack._internal.common.ids import StageId
from chervilrack._internal.common.results import Executed
from chervilrack._internal.execution.permits import permit_amounts
from chervilrack._internal.execution.retries import RetryPolicy
from chervilrack._internal.execution.scheduler import Scheduler
from chervilrack._internal.execution.tasks import (
    AttemptFinished,
    CancelAttempt,
    CancelTask,
    CapacityGained,
    Complete,
    Dispatch,
    Reject,
    Submit,
    Task,
    Tick,
    UpstreamGroup,
)
from chervilrack._internal.releases.state import UpstreamKind
from chervilrack._internal.routing.port import RouteContext
from chervilrack._internal.upstreams.port import FailureKind

POLICY = RetryPolicy(min_hedge_samples=2, initial_budget=4.0)
GROUP = UpstreamGroup(UpstreamKind.SERVICE, service="stock")
UPSTREAMS = tuple(service_upstream(name) for name in ("a", "b", "c"))
# The ways an attempt can end: the failure, if any, and whether the upstream has run the attempt.
ENDINGS = (
    (None, Executed.YES),
    (None, Executed.YES),
    (None, Executed.YES),
    (FailureKind.REFUSED, Executed.NO),
    (FailureKind.NOT_SENT, Executed.NO),
    (FailureKind.FAILED, Executed.UNKNOWN),
    (FailureKind.BROKEN, Executed.UNKNOWN),
    (FailureKind.TIMED_OUT, Executed.UNKNOWN),
    (FailureKind.MISMATCHED, Executed.UNKNOWN),
    (FailureKind.CANCELLED, Executed.NO),
    (FailureKind.CANCELLED, Executed.UNKNOWN),
)


@dataclass
class TaskRecord:
    """What the model knows about one task; ``endings`` are the effects that ended the task."""

    task: Task
    attempts: list = field(default_factory=list)
    may_have_run: bool = False
    answered: set = field(default_factory=set)
    endings: list = field(default_factory=list)


class SchedulerMachine(RuleBasedStateMachine):
    """Sends events to one scheduler that serves two stages at three upstreams."""

    def __init__(self):
        super().__init__()
        self.now = ZERO
        self.router = FakeRouter()
        self.withdrawn = set()
        self.permits = FakePermits(
            {pool: 2 for one in UPSTREAMS for pool in permit_amounts(one, 0) if "upstream" in pool}
        )
        self.permits.capacities = {
            pool: amount
            for pool, amount in self.permits.capacities.items()
            if pool.endswith("concurrency")
        }
        self.scheduler = Scheduler(self.router, self.permits, self._find_candidates, POLICY)
        self.records = {}
        self.running_attempts = {}
        self.cancelled = set()
        self.requests = {}
        self.additional_attempts = {}

    def _find_candidates(self, group):
        return tuple(one for one in UPSTREAMS if one.id not in self.withdrawn)

    def _handle(self, event):
        for effect in self.scheduler.handle(event, self.now):
            if isinstance(effect, Dispatch):
                self._record_dispatch(effect)
            elif isinstance(effect, CancelAttempt):
                assert effect.attempt in self.running_attempts, (
                    "cancelled an attempt that had ended"
                )
                self.cancelled.add(effect.attempt)
            else:
                self._record_end(effect)

    def _record_dispatch(self, effect):
        record = self.records[effect.task.id]
        assert not record.endings, "dispatched after the task had ended"
        assert self.now < effect.task.deadline, "dispatched after the deadline"
        assert effect.upstream.id not in self.withdrawn, "dispatched to a withdrawn upstream"
        assert effect.attempt not in self.running_attempts
        running = [attempt for attempt in record.attempts if attempt in self.running_attempts]
        assert len(running) == int(effect.hedge), "a second attempt that is not a hedge"
        if record.attempts:
            assert effect.task.idempotent, "a second attempt of a non-idempotent task"
            assert not record.answered
            stage = effect.task.context.stage
            self.additional_attempts[stage] = self.additional_attempts.get(stage, 0) + 1
        record.attempts.append(effect.attempt)
        self.running_attempts[effect.attempt] = effect

    def _record_end(self, effect):
        record = self.records[effect.task]
        record.endings.append(effect)
        assert len(record.endings) == 1, "the task ended twice"
        if isinstance(effect, Complete):
            assert effect.attempt in record.answered, "completed without an answer"
        else:
            assert isinstance(effect, Reject)
            running = any(attempt in self.running_attempts for attempt in record.attempts)
            if effect.problem.executed is Executed.NO:
                assert not record.may_have_run, "rejected as not executed, but may have run"
                assert not running, "rejected as not executed while an attempt runs"

    @rule(
        organisation=st.sampled_from(["small", "large"]),
        stage=st.sampled_from(["s1", "s2"]),
        time=st.integers(1, 2000),
        idempotent=st.booleans(),
        count=st.integers(1, 4),
    )
    def submit(self, organisation, stage, time, idempotent, count):
        for _number in range(count):
            name = f"t{len(self.records)}"
            deadline = self.now + timedelta(milliseconds=time)
            task = Task(
                id=name,
                request_id=name,
                organisation=organisation,
                group=GROUP,
                context=RouteContext(StageId(stage), organisation),
                due=deadline,
                deadline=deadline,
                weight=3.0 if organisation == "large" else 1.0,
                cost=0.1,
                idempotent=idempotent,
            )
            self.records[name] = TaskRecord(task)
            self.requests[stage] = self.requests.get(stage, 0) + 1
            self._handle(Submit(task))

    @precondition(lambda self: self.running_attempts)
    @rule(choice=st.integers(0, 1000), ending=st.sampled_from(ENDINGS), time=st.integers(1, 300))
    def finish(self, choice, ending, time):
        self.now += timedelta(milliseconds=time)
        self._finish(
            sorted(self.running_attempts)[choice % len(self.running_attempts)], ending, time
        )

    def _finish(self, attempt, ending, time=1):
        failure, executed = ending
        record = self.records[self.running_attempts.pop(attempt).task.id]
        if failure is None:
            record.answered.add(attempt)
        if executed is not Executed.NO:
            record.may_have_run = True
        event = AttemptFinished(attempt, timedelta(milliseconds=time), failure, executed)
        self._handle(event)
        self._handle(event)  # a repeated report must have no effect

    @precondition(lambda self: self.records)
    @rule(choice=st.integers(0, 1000))
    def cancel(self, choice):
        self._handle(CancelTask(sorted(self.records)[choice % len(self.records)]))

    @rule(time=st.integers(1, 500))
    def tick(self, time):
        self.now += timedelta(milliseconds=time)
        self._handle(Tick())
        waiting = [
            record for record in self.records.values() if not record.endings and not record.attempts
        ]
        assert all(self.now < record.task.deadline for record in waiting), (
            "waits after the deadline"
        )
        self._assert_no_idle_capacity()

    @rule(pool=st.integers(0, 2), amount=st.integers(0, 3))
    def change_capacity(self, pool, amount):
        name = sorted(self.permits.capacities)[pool]
        self.permits.capacities[name] = amount
        self._handle(CapacityGained())
        self._assert_no_idle_capacity()

    def _assert_no_idle_capacity(self):
        for one in self._find_candidates(GROUP) if self.scheduler.waiting else ():
            shortage = self.permits.shortage(permit_amounts(one, 0), self.now)
            assert shortage, f"work waits although {one.id} has capacity"

    @rule(names=st.sets(st.sampled_from(["a", "b", "c"])))
    def change_configuration(self, names):
        self.withdrawn = names
        self._handle(CapacityGained())

    @invariant()
    def budgets_are_kept(self):
        for stage, count in self.additional_attempts.items():
            most = POLICY.initial_budget + POLICY.budget_per_request * self.requests[stage]
            assert count <= most + 1e-6, (stage, count, most)

    @invariant()
    def attempts_of_ended_tasks_are_cancelled(self):
        for attempt, dispatch in self.running_attempts.items():
            if self.records[dispatch.task.id].endings:
                assert attempt in self.cancelled, "an attempt of an ended task was not cancelled"

    @invariant()
    def permits_match_attempts(self):
        delayed_returns = len(self.permits.delayed_returns)
        assert len(self.permits.held) == len(self.running_attempts) + delayed_returns

    def teardown(self):
        """Finish all attempts; each task must have ended once and all permits must be returned."""
        while self.running_attempts:
            self._finish(min(self.running_attempts), (None, Executed.YES))
        self.now += timedelta(seconds=60)
        self._handle(Tick())
        while self.running_attempts:
            self._finish(min(self.running_attempts), (None, Executed.YES))
        assert all(len(record.endings) == 1 for record in self.records.values())
        assert self.scheduler.waiting == 0
        assert self.scheduler.running == 0
        self.permits.shortage({}, self.now + timedelta(seconds=60))
        assert not self.permits.held, "a permit was not returned"
        assert not self.permits.demand, "demand is reported although no task waits"
