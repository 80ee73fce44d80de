"""Scheduler: decides which work is sent when and to which upstream, and which is rejected."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta

from chervilrack._internal.common.ids import AttemptId, StageId, UpstreamId
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.execution.backlog import Admission, Backlog, QueueBounds
from chervilrack._internal.execution.deadlines import optimistic_time, probable_time
from chervilrack._internal.execution.outcomes import failure_result, upstream_succeeded
from chervilrack._internal.execution.permits import DemandReporter, permit_amounts, return_permit
from chervilrack._internal.execution.retries import RetryBudget, RetryPolicy, StageHistory
from chervilrack._internal.execution.tasks import (
    AttemptFinished,
    CancelAttempt,
    CancelTask,
    CapacityGained,
    Complete,
    Dispatch,
    Effect,
    Event,
    Reject,
    Submit,
    Task,
    TaskId,
    Tick,
    UpstreamGroup,
)
from chervilrack._internal.limits.port import Permit, PermitSource
from chervilrack._internal.releases.state import Upstream
from chervilrack._internal.routing.port import Estimate, RouteContext, Router
from chervilrack._internal.upstreams.port import FailureKind

# Cancellations are repeated at this interval, because the first may come before the call has begun.
_CANCEL_INTERVAL = timedelta(milliseconds=50)


@dataclass(slots=True)
class _StageState:
    """Retry budget and history of a stage.

    ``unhedged`` holds the start of each running first attempt that may still be hedged.
    """

    budget: RetryBudget
    history: StageHistory
    unhedged: OrderedDict[AttemptId, timedelta] = field(default_factory=OrderedDict)


@dataclass(slots=True)
class _ActiveTask:
    """A task that has not ended; ``running_attempts`` are in progress."""

    task: Task
    queued_at: timedelta
    latest_start: timedelta
    running_attempts: set[AttemptId] = field(default_factory=set)
    attempts_made: int = 0
    used_upstreams: frozenset[UpstreamId] = frozenset()
    may_have_run: bool = False


@dataclass(slots=True)
class _Attempt:
    """An attempt in progress, whose task may have ended already."""

    task: Task
    upstream: Upstream
    permit: Permit
    started: timedelta
    cancelled: bool = False


class Scheduler:
    """Queues tasks, dispatches them when permits allow, and decides on retries and hedges.

    ``find_candidates`` returns the upstreams of a group under the configuration in force. It is
    called for every dispatch and must be cheap. Every submitted task ends with exactly one
    Complete or Reject.
    """

    def __init__(
        self,
        router: Router,
        permits: PermitSource,
        find_candidates: Callable[[UpstreamGroup], Sequence[Upstream]],
        policy: RetryPolicy | None = None,
        bounds: QueueBounds | None = None,
    ) -> None:
        self._router = router
        self._permits = permits
        self._find_candidates = find_candidates
        self._policy = policy or RetryPolicy()
        self._bounds = bounds or QueueBounds()
        self._backlogs: dict[UpstreamGroup, Backlog] = {}
        self._waiting_groups: OrderedDict[UpstreamGroup, None] = OrderedDict()
        self._stage_states: dict[StageId, _StageState] = {}
        self._active: dict[TaskId, _ActiveTask] = {}
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._queue_timers: list[tuple[timedelta, TaskId]] = []
        self._attempt_timers: list[tuple[timedelta, AttemptId]] = []
        self._demand = DemandReporter(permits)

    @property
    def waiting(self) -> int:
        """Number of tasks that wait in queues."""
        return sum(len(self._backlogs[group].queue) for group in self._waiting_groups)

    @property
    def running(self) -> int:
        """Number of attempts in progress, including those whose task has ended."""
        return len(self._attempts)

    @property
    def idle(self) -> bool:
        """Whether no task is waiting or running and no attempt is in progress."""
        return not self._active and not self._attempts

    def handle(self, event: Event, now: timedelta) -> list[Effect]:
        """Handle one event and return the effects, to be carried out in this order."""
        effects: list[Effect] = []
        if isinstance(event, Submit):
            self._submit(event.task, now, effects)
        elif isinstance(event, AttemptFinished):
            self._finish_attempt(event, now, effects)
        elif isinstance(event, CancelTask):
            self._cancel_task(event.task, effects)
            self._dispatch_waiting(now, effects)
        elif isinstance(event, Tick):
            self._expire(now, effects)
            self._dispatch_waiting(now, effects)
            self._hedge_slow_attempts(now, effects)
        else:
            assert isinstance(event, CapacityGained)
            self._dispatch_waiting(now, effects)
        self._demand.report(self._waiting_work(), now)
        return effects

    def reject_early(
        self, previews: Sequence[Task], estimates: Sequence[Estimate], now: timedelta
    ) -> Problem | None:
        """Return why a request should not begin, judged by the queues of all its stages.

        Returns None if the request may begin. A rejection at a later stage would waste the stages
        before it, and the request would no longer be ``executed: no``.
        """
        total = timedelta(0)
        for task, estimate in zip(previews, estimates, strict=True):
            backlog = self._backlogs.get(task.group)
            if backlog is not None:
                wait = backlog.expected_wait(task, estimate.mean, now, timedelta(0))
                if wait > self._bounds.max_delay:
                    detail = f"the expected wait for stage '{task.context.stage}' is too long"
                    return Problem(ResultCode.QUEUE_FULL, detail, Executed.NO, wait)
                total += wait
            total += optimistic_time(estimate)
        remaining = previews[0].deadline - now
        if total <= remaining:
            return None
        detail = "the expected waits and service times of all stages exceed the remaining time"
        return Problem(ResultCode.DEADLINE_UNREACHABLE, detail, Executed.NO, total - remaining)

    def _submit(self, task: Task, now: timedelta, effects: list[Effect]) -> None:
        if task.id in self._active:
            raise ValueError(f"task '{task.id}' was submitted twice")
        backlog = self._backlogs.get(task.group)
        if backlog is None:
            backlog = self._backlogs[task.group] = Backlog()
        self._stage_state(task).budget.add_request()
        candidates = self._find_candidates(task.group)
        if not candidates:
            detail = "no upstream can do this work"
            effects.append(Reject(task.id, Problem(ResultCode.NO_UPSTREAM, detail)))
            return
        estimate = self._router.stage_estimate(candidates, task.context)
        admission = backlog.admit(task, estimate, now, self._bounds)
        if isinstance(admission, Problem):
            effects.append(Reject(task.id, admission))
            return
        probe = admission is Admission.PROBE
        latest_start = task.deadline if probe else task.deadline - probable_time(estimate)
        active = self._active[task.id] = _ActiveTask(task, now, latest_start)
        queue_blocked = len(backlog.queue) > 0
        self._enqueue(active, backlog, now)
        # In a queue that had waiting tasks, the head is blocked by missing permits already.
        if not queue_blocked:
            self._dispatch_head(task.group, now, effects)

    def _enqueue(self, active: _ActiveTask, backlog: Backlog, now: timedelta) -> None:
        task = active.task
        backlog.push(task, now)
        self._waiting_groups[task.group] = None
        active.queued_at = now
        heapq.heappush(self._queue_timers, (active.latest_start, task.id))

    def _dispatch_waiting(self, now: timedelta, effects: list[Effect]) -> None:
        """Dispatch one task of each group in turn, until all queues are blocked or empty."""
        blocked: set[UpstreamGroup] = set()
        while len(blocked) < len(self._waiting_groups):
            for group in [group for group in self._waiting_groups if group not in blocked]:
                if not self._dispatch_head(group, now, effects):
                    blocked.add(group)
            blocked &= self._waiting_groups.keys()

    def _dispatch_head(self, group: UpstreamGroup, now: timedelta, effects: list[Effect]) -> bool:
        """Dispatch or reject the head of one queue; return False if the head lacks permits."""
        backlog = self._backlogs[group]
        task = backlog.queue.head()
        if task is None:
            del self._waiting_groups[group]
            return True
        active = self._active[task.id]
        candidates = self._find_candidates(group)
        if not candidates:
            backlog.queue.remove(task.id)
            self._reject(active, ResultCode.NO_UPSTREAM, "no upstream can do this work", effects)
        elif now >= task.deadline or now > active.latest_start:
            backlog.queue.remove(task.id)
            passed = now >= task.deadline
            code = ResultCode.DEADLINE_PASSED if passed else ResultCode.DEADLINE_UNREACHABLE
            self._reject(active, code, "the wait in the queue left too little time", effects)
        else:
            context = self._route_context(active, candidates)
            choice = self._choose_upstream(task, candidates, context, now)
            if choice is None and context.excluded:
                # A retry that waits for an upstream it has not used would block the whole queue.
                context = task.context
                choice = self._choose_upstream(task, candidates, context, now)
            if choice is None:
                return False
            backlog.pop(now)
            self._start_attempt(active, choice, context, now, effects, hedge=False)
        if not backlog.queue:
            self._waiting_groups.pop(group, None)
        else:
            self._waiting_groups.move_to_end(group)
        return True

    def _route_context(self, active: _ActiveTask, candidates: Sequence[Upstream]) -> RouteContext:
        """Return the task's context, excluding its used upstreams if there are others."""
        context = active.task.context
        if not active.used_upstreams or all(
            upstream.id in active.used_upstreams for upstream in candidates
        ):
            return context
        return replace(context, excluded=active.used_upstreams)

    def _choose_upstream(
        self, task: Task, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> tuple[Upstream, Permit, str] | None:
        """Choose an upstream and acquire its permit; also return the reason of the choice.

        The first choice is made among all candidates, because permits are usually available. Only
        if the chosen upstream lacks permits is a second choice made among those that have some.
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

    def _start_attempt(
        self,
        active: _ActiveTask,
        choice: tuple[Upstream, Permit, str],
        context: RouteContext,
        now: timedelta,
        effects: list[Effect],
        *,
        hedge: bool,
    ) -> None:
        task = active.task
        upstream, permit, reason = choice
        active.attempts_made += 1
        attempt = AttemptId(f"{task.id}.{active.attempts_made}")
        active.running_attempts.add(attempt)
        active.used_upstreams |= {upstream.id}
        self._attempts[attempt] = _Attempt(task, upstream, permit, now)
        self._backlogs[task.group].running += 1
        self._router.attempt_started(attempt, upstream.id, context, now)
        heapq.heappush(self._attempt_timers, (task.deadline, attempt))
        if task.idempotent and task.hedgeable and active.attempts_made == 1:
            self._stage_state(task).unhedged[attempt] = now
        queue_time = timedelta(0) if hedge else now - active.queued_at
        effects.append(Dispatch(task, upstream, attempt, task.deadline, queue_time, reason, hedge))

    def _finish_attempt(
        self, event: AttemptFinished, now: timedelta, effects: list[Effect]
    ) -> None:
        attempt = self._attempts.pop(event.attempt, None)
        if attempt is None:
            return  # its end was reported before
        task = attempt.task
        self._backlogs[task.group].running -= 1
        stage = self._stage_state(task)
        stage.unhedged.pop(event.attempt, None)
        return_permit(self._permits, attempt.permit, task.deadline, event, now)
        estimate = self._router.estimate(attempt.upstream.id, task.context)
        succeeded = upstream_succeeded(
            event,
            cancelled=attempt.cancelled,
            time_limit=task.deadline - attempt.started,
            expected=estimate.mean + estimate.spread,
        )
        self._router.attempt_finished(event.attempt, succeeded, event.service_time, now)
        if succeeded:
            stage.history.record_success(event.service_time)
        elif succeeded is False:
            stage.history.record_failure()
        active = self._active.get(task.id)
        if active is not None and event.attempt in active.running_attempts:
            active.running_attempts.discard(event.attempt)
            self._complete_or_retry(active, event, now, effects)
        self._dispatch_waiting(now, effects)

    def _complete_or_retry(
        self, active: _ActiveTask, event: AttemptFinished, now: timedelta, effects: list[Effect]
    ) -> None:
        """End the task, enqueue a retry, or wait for other attempts of the task."""
        task = active.task
        if event.failure is None:
            self._end_task(active, Complete(task.id, event.attempt), effects)
            return
        active.may_have_run |= event.executed is not Executed.NO
        if active.running_attempts:
            return
        if self._may_retry(active, event, now):
            self._enqueue(active, self._backlogs[task.group], now)
            return
        code, detail = failure_result(event, late=now >= task.deadline)
        self._reject(active, code, detail, effects)

    def _may_retry(self, active: _ActiveTask, event: AttemptFinished, now: timedelta) -> bool:
        """Return whether the task may be retried, and spend the retry budget if so."""
        task = active.task
        if not task.idempotent or active.attempts_made >= self._policy.max_attempts:
            return False
        if event.failure is FailureKind.CANCELLED:
            return False  # this node cancelled the attempt and would cancel a retry as well
        candidates = self._find_candidates(task.group)
        if not candidates or now >= active.latest_start:
            return False
        stage = self._stage_state(task)
        return not stage.history.brownout and stage.budget.try_spend()

    def _hedge_slow_attempts(self, now: timedelta, effects: list[Effect]) -> None:
        """Start a second attempt for each first one that takes longer than most of its stage."""
        for stage in self._stage_states.values():
            delay = stage.history.hedge_delay
            if delay is None or stage.history.brownout:
                continue
            while stage.unhedged:
                attempt_id, started = next(iter(stage.unhedged.items()))
                if now - started < delay:
                    break
                del stage.unhedged[attempt_id]
                self._hedge_attempt(self._attempts[attempt_id], stage, delay, now, effects)

    def _hedge_attempt(
        self,
        attempt: _Attempt,
        stage: _StageState,
        delay: timedelta,
        now: timedelta,
        effects: list[Effect],
    ) -> None:
        task = attempt.task
        active = self._active.get(task.id)
        backlog = self._backlogs[task.group]
        # Waiting tasks take precedence over hedges, and a hedge that cannot end in time is useless.
        if active is None or backlog.queue or now + delay > task.deadline:
            return
        candidates = self._find_candidates(task.group)
        context = self._route_context(active, candidates)
        if not context.excluded:
            return  # there is no other upstream
        choice = self._choose_upstream(task, candidates, context, now)
        if choice is None:
            return
        if not stage.budget.try_spend():
            self._permits.cancel(choice[1], now)
            return
        self._start_attempt(active, choice, context, now, effects, hedge=True)

    def _cancel_task(self, task_id: TaskId, effects: list[Effect]) -> None:
        active = self._active.get(task_id)
        if active is None:
            return
        self._backlogs[active.task.group].queue.remove(task_id)
        active.may_have_run |= bool(active.running_attempts)
        detail = "the caller cancelled the request"
        self._reject(active, ResultCode.DEADLINE_PASSED, detail, effects)

    def _end_task(
        self, active: _ActiveTask, effect: Complete | Reject, effects: list[Effect]
    ) -> None:
        """End the task with ``effect`` and cancel its attempts in progress."""
        del self._active[active.task.id]
        effects.append(effect)
        for attempt_id in sorted(active.running_attempts):
            self._attempts[attempt_id].cancelled = True
            self._stage_state(active.task).unhedged.pop(attempt_id, None)
            effects.append(CancelAttempt(active.task.id, attempt_id))
            heapq.heappush(self._attempt_timers, (timedelta(0), attempt_id))

    def _expire(self, now: timedelta, effects: list[Effect]) -> None:
        """Reject queued tasks that cannot end in time and cancel attempts past their deadline."""
        while self._queue_timers and self._queue_timers[0][0] <= now:
            _when, task_id = heapq.heappop(self._queue_timers)
            active = self._active.get(task_id)
            if active is None:
                continue
            if self._backlogs[active.task.group].queue.remove(task_id):
                detail = "no permit came in time for the request to end within its deadline"
                self._reject(active, ResultCode.DEADLINE_UNREACHABLE, detail, effects)
        repeat: list[AttemptId] = []
        while self._attempt_timers and self._attempt_timers[0][0] <= now:
            _when, attempt_id = heapq.heappop(self._attempt_timers)
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                effects.append(CancelAttempt(attempt.task.id, attempt_id))
                repeat.append(attempt_id)
        for attempt_id in repeat:
            heapq.heappush(self._attempt_timers, (now + _CANCEL_INTERVAL, attempt_id))

    def _reject(
        self, active: _ActiveTask, code: ResultCode, detail: str, effects: list[Effect]
    ) -> None:
        executed = Executed.UNKNOWN if active.may_have_run else Executed.NO
        self._end_task(active, Reject(active.task.id, Problem(code, detail, executed)), effects)

    def _stage_state(self, task: Task) -> _StageState:
        stage = self._stage_states.get(task.context.stage)
        if stage is None:
            stage = _StageState(RetryBudget(self._policy), StageHistory(self._policy))
            self._stage_states[task.context.stage] = stage
        return stage

    def _waiting_work(self) -> Iterator[tuple[Sequence[Upstream], int, int]]:
        """Yield the candidates, the number of waiting tasks and their tokens of each group."""
        for group in self._waiting_groups:
            queue = self._backlogs[group].queue
            if queue:
                yield self._find_candidates(group), len(queue), queue.tokens
