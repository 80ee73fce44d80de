"""Decision core of execution: what is sent where and when, and what is rejected."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta

from chervilrack._internal.common.ids import AttemptId, StageId, UpstreamId
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.execution.backlog import Admission, Backlog, QueueBounds
from chervilrack._internal.execution.deadlines import likely, optimistic
from chervilrack._internal.execution.outcomes import failure_code, verdict
from chervilrack._internal.execution.permits import DemandReporter, give_back, permit_amounts
from chervilrack._internal.execution.retries import RetryBudget, RetryPolicy, StageHistory
from chervilrack._internal.execution.tasks import (
    AttemptFinished,
    Cancel,
    CancelAttempt,
    CapacityGained,
    Complete,
    Dispatch,
    Effect,
    Event,
    Group,
    Refuse,
    Submit,
    Task,
    TaskId,
    Tick,
)
from chervilrack._internal.limits.port import Permit, PermitSource
from chervilrack._internal.releases.state import Upstream
from chervilrack._internal.routing.port import Estimate, RouteContext, Router
from chervilrack._internal.upstreams.port import FailureKind

# Cancellations are repeated at this interval, because one may come before the call is under way.
_CANCEL_INTERVAL = timedelta(milliseconds=50)


@dataclass(slots=True)
class _Stage:
    budget: RetryBudget
    history: StageHistory
    unhedged: OrderedDict[AttemptId, timedelta] = field(default_factory=OrderedDict)


@dataclass(slots=True)
class _Active:
    task: Task
    queued_at: timedelta
    latest_start: timedelta
    attempts: set[AttemptId] = field(default_factory=set)
    made: int = 0
    used: frozenset[UpstreamId] = frozenset()
    may_have_run: bool = False


@dataclass(slots=True)
class _Attempt:
    task: Task
    upstream: Upstream
    permit: Permit
    started: timedelta
    cancelled: bool = False


class Scheduler:
    """Queues tasks, dispatches them when permits allow, and decides on retries and hedges.

    ``candidates`` returns the upstreams of a group under the configuration in force; it must be
    cheap. Every submitted task ends with exactly one Complete or Refuse.
    """

    def __init__(
        self,
        router: Router,
        permits: PermitSource,
        candidates: Callable[[Group], Sequence[Upstream]],
        policy: RetryPolicy | None = None,
        bounds: QueueBounds | None = None,
    ) -> None:
        self._router = router
        self._permits = permits
        self._candidates = candidates
        self._policy = policy or RetryPolicy()
        self._bounds = bounds or QueueBounds()
        self._groups: dict[Group, Backlog] = {}
        self._backlogged: OrderedDict[Group, None] = OrderedDict()
        self._stages: dict[StageId, _Stage] = {}
        self._active: dict[TaskId, _Active] = {}
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._queue_timers: list[tuple[timedelta, TaskId]] = []
        self._attempt_timers: list[tuple[timedelta, AttemptId]] = []
        self._demand = DemandReporter(permits)

    @property
    def waiting(self) -> int:
        """Tasks that wait in queues."""
        return sum(len(self._groups[group].queue) for group in self._backlogged)

    @property
    def running(self) -> int:
        """Attempts in progress, superseded ones included."""
        return len(self._attempts)

    @property
    def idle(self) -> bool:
        """Whether no task is waiting or running and no attempt is in progress."""
        return not self._active and not self._attempts

    def handle(self, event: Event, now: timedelta) -> list[Effect]:
        """Take one event and return what is to be done, in this order."""
        effects: list[Effect] = []
        if isinstance(event, Submit):
            self._submit(event.task, now, effects)
        elif isinstance(event, AttemptFinished):
            self._finished(event, now, effects)
        elif isinstance(event, Cancel):
            self._cancel(event.task, effects)
            self._drain(now, effects)
        elif isinstance(event, Tick):
            self._expire(now, effects)
            self._drain(now, effects)
            self._hedge(now, effects)
        else:
            assert isinstance(event, CapacityGained)
            self._drain(now, effects)
        self._demand.state(self._waiting_work(), now)
        return effects

    def refuse_early(
        self, previews: Sequence[Task], estimates: Sequence[Estimate], now: timedelta
    ) -> Problem | None:
        """Return why a request should not begin, judged by the queues of all its stages.

        A rejection at a later stage wastes the stages before it and is not ``executed: no``.
        """
        total = timedelta(0)
        for task, estimate in zip(previews, estimates, strict=True):
            group = self._groups.get(task.group)
            if group is not None:
                wait = group.expected_wait(task, estimate.mean, now, timedelta(0))
                if wait > self._bounds.delay:
                    detail = f"the expected wait for stage '{task.context.stage}' is too long"
                    return Problem(ResultCode.QUEUE_FULL, detail, Executed.NO, wait)
                total += wait
            total += optimistic(estimate)
        remaining = previews[0].deadline - now
        if total <= remaining:
            return None
        detail = "the expected waits and service times of all stages exceed the remaining time"
        return Problem(ResultCode.DEADLINE_UNREACHABLE, detail, Executed.NO, total - remaining)

    def _submit(self, task: Task, now: timedelta, effects: list[Effect]) -> None:
        if task.id in self._active:
            raise ValueError(f"task '{task.id}' was submitted twice")
        group = self._groups.get(task.group)
        if group is None:
            group = self._groups[task.group] = Backlog()
        self._stage(task).budget.add_request()
        candidates = self._candidates(task.group)
        if not candidates:
            detail = "no upstream can do this work"
            effects.append(Refuse(task.id, Problem(ResultCode.NO_UPSTREAM, detail)))
            return
        estimate = self._router.stage_estimate(candidates, task.context)
        admission = group.admit(task, estimate, now, self._bounds)
        if isinstance(admission, Problem):
            effects.append(Refuse(task.id, admission))
            return
        probe = admission is Admission.PROBE
        latest_start = task.deadline if probe else task.deadline - likely(estimate)
        active = self._active[task.id] = _Active(task, now, latest_start)
        backlogged = len(group.queue) > 0
        self._enqueue(active, group, now)
        if not backlogged:  # otherwise the head already waits for what this task needs too
            self._dispatch_head(task.group, now, effects)

    def _enqueue(self, active: _Active, group: Backlog, now: timedelta) -> None:
        task = active.task
        group.push(task, now)
        self._backlogged[task.group] = None
        active.queued_at = now
        heapq.heappush(self._queue_timers, (active.latest_start, task.id))

    def _drain(self, now: timedelta, effects: list[Effect]) -> None:
        """Dispatch from all queues, one task of each group in turn, until all are blocked."""
        blocked: set[Group] = set()
        while len(blocked) < len(self._backlogged):
            for key in [key for key in self._backlogged if key not in blocked]:
                if not self._dispatch_head(key, now, effects):
                    blocked.add(key)
            blocked &= self._backlogged.keys()

    def _dispatch_head(self, key: Group, now: timedelta, effects: list[Effect]) -> bool:
        """Take the head of one queue; return False if it has to wait for permits."""
        group = self._groups[key]
        task = group.queue.head()
        if task is None:
            del self._backlogged[key]
            return True
        active = self._active[task.id]
        candidates = self._candidates(key)
        if not candidates:
            group.queue.remove(task.id)
            self._refuse(active, ResultCode.NO_UPSTREAM, "no upstream can do this work", effects)
        elif now >= task.deadline or now > active.latest_start:
            group.queue.remove(task.id)
            passed = now >= task.deadline
            code = ResultCode.DEADLINE_PASSED if passed else ResultCode.DEADLINE_UNREACHABLE
            self._refuse(active, code, "the wait in the queue left too little time", effects)
        else:
            context = self._context(active, candidates)
            chosen = self._choose(task, candidates, context, now)
            if chosen is None and context.excluded:
                # Waiting for another upstream would hold up the whole queue.
                context = task.context
                chosen = self._choose(task, candidates, context, now)
            if chosen is None:
                return False
            group.pop(now)
            self._start(active, chosen, context, now, effects, hedge=False)
        if not group.queue:
            self._backlogged.pop(key, None)
        else:
            self._backlogged.move_to_end(key)
        return True

    def _context(self, active: _Active, candidates: Sequence[Upstream]) -> RouteContext:
        """Return the task's context without upstreams it has used, while others are left."""
        context = active.task.context
        if not active.used or all(upstream.id in active.used for upstream in candidates):
            return context
        return replace(context, excluded=active.used)

    def _choose(
        self, task: Task, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> tuple[Upstream, Permit, str] | None:
        """Choose an upstream and take its permits.

        The choice is first made among all candidates, because permits are usually there; only if
        they are not, the candidates that have some are looked for.
        """
        usable = candidates
        if context.excluded:
            usable = [one for one in candidates if one.id not in context.excluded]
        for _round in range(2):
            decision = self._router.choose(usable, context, now)
            if decision is None:
                return None
            upstream = next(one for one in usable if one.id == decision.upstream)
            permit = self._permits.try_acquire(permit_amounts(upstream, task.tokens), now)
            if permit is not None:
                return upstream, permit, decision.reason
            usable = [
                one
                for one in usable
                if not self._permits.shortage(permit_amounts(one, task.tokens), now)
            ]
            if not usable:
                return None
        return None

    def _start(
        self,
        active: _Active,
        chosen: tuple[Upstream, Permit, str],
        context: RouteContext,
        now: timedelta,
        effects: list[Effect],
        *,
        hedge: bool,
    ) -> None:
        task = active.task
        upstream, permit, reason = chosen
        active.made += 1
        attempt = AttemptId(f"{task.id}.{active.made}")
        active.attempts.add(attempt)
        active.used |= {upstream.id}
        self._attempts[attempt] = _Attempt(task, upstream, permit, now)
        self._groups[task.group].running += 1
        self._router.attempt_started(attempt, upstream.id, context, now)
        heapq.heappush(self._attempt_timers, (task.deadline, attempt))
        if task.idempotent and task.hedgeable and active.made == 1:
            self._stage(task).unhedged[attempt] = now
        queue_time = timedelta(0) if hedge else now - active.queued_at
        effects.append(Dispatch(task, upstream, attempt, task.deadline, queue_time, reason, hedge))

    def _finished(self, event: AttemptFinished, now: timedelta, effects: list[Effect]) -> None:
        attempt = self._attempts.pop(event.attempt, None)
        if attempt is None:
            return  # reported before
        task = attempt.task
        self._groups[task.group].running -= 1
        stage = self._stage(task)
        stage.unhedged.pop(event.attempt, None)
        give_back(self._permits, attempt.permit, task.deadline, event, now)
        usual = self._router.estimate(attempt.upstream.id, task.context)
        succeeded = verdict(
            event,
            unwanted=attempt.cancelled,
            given=task.deadline - attempt.started,
            usual=usual.mean + usual.spread,
        )
        self._router.attempt_finished(event.attempt, succeeded, event.service_time, now)
        if succeeded:
            stage.history.succeeded(event.service_time)
        elif succeeded is False:
            stage.history.failed()
        active = self._active.get(task.id)
        if active is not None and event.attempt in active.attempts:
            active.attempts.discard(event.attempt)
            self._conclude(active, event, now, effects)
        self._drain(now, effects)

    def _conclude(
        self, active: _Active, event: AttemptFinished, now: timedelta, effects: list[Effect]
    ) -> None:
        """End the task, start it again, or wait for its other attempts."""
        task = active.task
        if event.failure is None:
            self._end(active, Complete(task.id, event.attempt), effects)
            return
        active.may_have_run |= event.executed is not Executed.NO
        if active.attempts:
            return
        if self._may_retry(active, event, now):
            self._enqueue(active, self._groups[task.group], now)
            return
        code, detail = failure_code(event, late=now >= task.deadline)
        self._refuse(active, code, detail, effects)

    def _may_retry(self, active: _Active, event: AttemptFinished, now: timedelta) -> bool:
        task = active.task
        if not task.idempotent or active.made >= self._policy.most_attempts:
            return False
        if event.failure is FailureKind.CANCELLED:
            return False  # given up by this node, which would do so again
        candidates = self._candidates(task.group)
        if not candidates or now >= active.latest_start:
            return False
        stage = self._stage(task)
        return not stage.history.brownout and stage.budget.take()

    def _hedge(self, now: timedelta, effects: list[Effect]) -> None:
        """Start a second attempt of work that takes longer than most of its stage."""
        for stage in self._stages.values():
            after = stage.history.hedge_after
            if after is None or stage.history.brownout:
                continue
            while stage.unhedged:
                attempt_id, started = next(iter(stage.unhedged.items()))
                if now - started < after:
                    break
                del stage.unhedged[attempt_id]
                self._hedge_attempt(self._attempts[attempt_id], stage, after, now, effects)

    def _hedge_attempt(
        self,
        attempt: _Attempt,
        stage: _Stage,
        after: timedelta,
        now: timedelta,
        effects: list[Effect],
    ) -> None:
        task = attempt.task
        active = self._active.get(task.id)
        group = self._groups[task.group]
        # Waiting work has the first right to permits; a hedge that cannot end in time is useless.
        if active is None or group.queue or now + after > task.deadline:
            return
        candidates = self._candidates(task.group)
        context = self._context(active, candidates)
        if not context.excluded:
            return  # no other upstream
        chosen = self._choose(task, candidates, context, now)
        if chosen is None:
            return
        if not stage.budget.take():
            self._permits.cancel(chosen[1], now)
            return
        self._start(active, chosen, context, now, effects, hedge=True)

    def _cancel(self, task_id: TaskId, effects: list[Effect]) -> None:
        active = self._active.get(task_id)
        if active is None:
            return
        self._groups[active.task.group].queue.remove(task_id)
        active.may_have_run |= bool(active.attempts)
        detail = "the caller cancelled the request"
        self._refuse(active, ResultCode.DEADLINE_PASSED, detail, effects)

    def _end(self, active: _Active, effect: Complete | Refuse, effects: list[Effect]) -> None:
        del self._active[active.task.id]
        effects.append(effect)
        for attempt_id in sorted(active.attempts):
            self._attempts[attempt_id].cancelled = True
            self._stage(active.task).unhedged.pop(attempt_id, None)
            effects.append(CancelAttempt(active.task.id, attempt_id))
            heapq.heappush(self._attempt_timers, (timedelta(0), attempt_id))

    def _expire(self, now: timedelta, effects: list[Effect]) -> None:
        """Reject queued tasks that cannot end in time and cut off attempts past their deadline."""
        while self._queue_timers and self._queue_timers[0][0] <= now:
            _when, task_id = heapq.heappop(self._queue_timers)
            active = self._active.get(task_id)
            if active is None:
                continue
            if self._groups[active.task.group].queue.remove(task_id):
                detail = "no permit came in time for the request to end within its deadline"
                self._refuse(active, ResultCode.DEADLINE_UNREACHABLE, detail, effects)
        repeat: list[AttemptId] = []
        while self._attempt_timers and self._attempt_timers[0][0] <= now:
            _when, attempt_id = heapq.heappop(self._attempt_timers)
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                effects.append(CancelAttempt(attempt.task.id, attempt_id))
                repeat.append(attempt_id)
        for attempt_id in repeat:
            heapq.heappush(self._attempt_timers, (now + _CANCEL_INTERVAL, attempt_id))

    def _refuse(
        self, active: _Active, code: ResultCode, detail: str, effects: list[Effect]
    ) -> None:
        executed = Executed.UNKNOWN if active.may_have_run else Executed.NO
        self._end(active, Refuse(active.task.id, Problem(code, detail, executed)), effects)

    def _stage(self, task: Task) -> _Stage:
        stage = self._stages.get(task.context.stage)
        if stage is None:
            stage = _Stage(RetryBudget(self._policy), StageHistory(self._policy))
            self._stages[task.context.stage] = stage
        return stage

    def _waiting_work(self) -> Iterator[tuple[Sequence[Upstream], int, int]]:
        for key in self._backlogged:
            queue = self._groups[key].queue
            if queue:
                yield self._candidates(key), len(queue), queue.tokens
