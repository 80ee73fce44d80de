"""State machine that drives the scheduler at random and compares it with a simple oracle."""

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
    Cancel,
    CancelAttempt,
    CapacityGained,
    Complete,
    Dispatch,
    Group,
    Refuse,
    Submit,
    Task,
    Tick,
)
from chervilrack._internal.releases.state import UpstreamKind
from chervilrack._internal.routing.port import RouteContext
from chervilrack._internal.upstreams.port import FailureKind

POLICY = RetryPolicy(hedge_samples=2, budget_floor=4.0)
GROUP = Group(UpstreamKind.SERVICE, service="stock")
UPSTREAMS = tuple(service_upstream(name) for name in ("a", "b", "c"))
# How an attempt can end, and whether the upstream has run it.
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
class Fate:
    """What the oracle knows about one task."""

    task: Task
    attempts: list = field(default_factory=list)
    may_have_run: bool = False
    answered: set = field(default_factory=set)
    ended: list = field(default_factory=list)


class SchedulerMachine(RuleBasedStateMachine):
    """Drives one scheduler over three upstreams and two stages."""

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
        self.scheduler = Scheduler(self.router, self.permits, self._candidates, POLICY)
        self.fates = {}
        self.open = {}
        self.cancelled = set()
        self.requests = {}
        self.additional = {}

    def _candidates(self, group):
        return tuple(one for one in UPSTREAMS if one.id not in self.withdrawn)

    def _handle(self, event):
        for effect in self.scheduler.handle(event, self.now):
            if isinstance(effect, Dispatch):
                self._dispatched(effect)
            elif isinstance(effect, CancelAttempt):
                assert effect.attempt in self.open, "cancels an attempt that is over"
                self.cancelled.add(effect.attempt)
            else:
                self._ended(effect)

    def _dispatched(self, effect):
        fate = self.fates[effect.task.id]
        assert not fate.ended, "dispatched after its end"
        assert self.now < effect.task.deadline, "dispatched past its deadline"
        assert effect.upstream.id not in self.withdrawn, "dispatched to a withdrawn upstream"
        assert effect.attempt not in self.open
        running = [attempt for attempt in fate.attempts if attempt in self.open]
        assert len(running) == int(effect.hedge), "a second attempt that is not a hedge"
        if fate.attempts:
            assert effect.task.idempotent, "a second attempt of a non-idempotent task"
            assert not fate.answered
            stage = effect.task.context.stage
            self.additional[stage] = self.additional.get(stage, 0) + 1
        fate.attempts.append(effect.attempt)
        self.open[effect.attempt] = effect

    def _ended(self, effect):
        fate = self.fates[effect.task]
        fate.ended.append(effect)
        assert len(fate.ended) == 1, "ended twice"
        if isinstance(effect, Complete):
            assert effect.attempt in fate.answered, "completed without an answer"
        else:
            assert isinstance(effect, Refuse)
            running = any(attempt in self.open for attempt in fate.attempts)
            if effect.problem.executed is Executed.NO:
                assert not fate.may_have_run, "said not to be executed, but may have been"
                assert not running, "said not to be executed while it runs"

    @rule(
        organisation=st.sampled_from(["small", "large"]),
        stage=st.sampled_from(["s1", "s2"]),
        time=st.integers(1, 2000),
        idempotent=st.booleans(),
        count=st.integers(1, 4),
    )
    def submit(self, organisation, stage, time, idempotent, count):
        for _each in range(count):
            name = f"t{len(self.fates)}"
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
            self.fates[name] = Fate(task)
            self.requests[stage] = self.requests.get(stage, 0) + 1
            self._handle(Submit(task))

    @precondition(lambda self: self.open)
    @rule(choice=st.integers(0, 1000), ending=st.sampled_from(ENDINGS), time=st.integers(1, 300))
    def finish(self, choice, ending, time):
        self.now += timedelta(milliseconds=time)
        self._finish(sorted(self.open)[choice % len(self.open)], ending, time)

    def _finish(self, attempt, ending, time=1):
        failure, executed = ending
        fate = self.fates[self.open.pop(attempt).task.id]
        if failure is None:
            fate.answered.add(attempt)
        if executed is not Executed.NO:
            fate.may_have_run = True
        event = AttemptFinished(attempt, timedelta(milliseconds=time), failure, executed)
        self._handle(event)
        self._handle(event)  # a repeated report has no effect

    @precondition(lambda self: self.fates)
    @rule(choice=st.integers(0, 1000))
    def cancel(self, choice):
        self._handle(Cancel(sorted(self.fates)[choice % len(self.fates)]))

    @rule(time=st.integers(1, 500))
    def tick(self, time):
        self.now += timedelta(milliseconds=time)
        self._handle(Tick())
        waiting = [fate for fate in self.fates.values() if not fate.ended and not fate.attempts]
        assert all(self.now < fate.task.deadline for fate in waiting), "waits past its deadline"
        self._no_idle_capacity()

    @rule(pool=st.integers(0, 2), amount=st.integers(0, 3))
    def change_capacity(self, pool, amount):
        name = sorted(self.permits.capacities)[pool]
        self.permits.capacities[name] = amount
        self._handle(CapacityGained())
        self._no_idle_capacity()

    def _no_idle_capacity(self):
        for one in self._candidates(GROUP) if self.scheduler.waiting else ():
            shortage = self.permits.shortage(permit_amounts(one, 0), self.now)
            assert shortage, f"work waits although {one.id} has capacity"

    @rule(names=st.sets(st.sampled_from(["a", "b", "c"])))
    def change_configuration(self, names):
        self.withdrawn = names
        self._handle(CapacityGained())

    @invariant()
    def budgets_are_kept(self):
        for stage, count in self.additional.items():
            most = POLICY.budget_floor + POLICY.budget_share * self.requests[stage]
            assert count <= most + 1e-6, (stage, count, most)

    @invariant()
    def unwanted_attempts_are_cancelled(self):
        for attempt, dispatch in self.open.items():
            if self.fates[dispatch.task.id].ended:
                assert attempt in self.cancelled, "an attempt of an ended task goes on"

    @invariant()
    def permits_fit_attempts(self):
        waiting_returns = len(self.permits.later)
        assert len(self.permits.held) == len(self.open) + waiting_returns

    def teardown(self):
        """Finish everything; each task must have ended exactly once, with no permit kept."""
        while self.open:
            self._finish(min(self.open), (None, Executed.YES))
        self.now += timedelta(seconds=60)
        self._handle(Tick())
        while self.open:
            self._finish(min(self.open), (None, Executed.YES))
        assert all(len(fate.ended) == 1 for fate in self.fates.values())
        assert self.scheduler.waiting == 0
        assert self.scheduler.running == 0
        self.permits.shortage({}, self.now + timedelta(seconds=60))
        assert not self.permits.held, "a permit was kept"
        assert not self.permits.demand, "demand is stated although nothing waits"
