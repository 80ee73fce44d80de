"""Runs requests in their callers' threads, as the scheduler decides."""

import threading
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from datetime import timedelta
from queue import Empty, SimpleQueue
from typing import Any, Self

from result import Err, Ok, Result

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import AttemptId, RequestId, UpstreamId
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.execution.outcomes import problem_after_stages, stream_problem
from chervilrack._internal.execution.port import PipelineRequest, ServiceRequest
from chervilrack._internal.execution.scheduler import Scheduler
from chervilrack._internal.execution.streams import TokenAssembler
from chervilrack._internal.execution.tasks import (
    AttemptFinished,
    CancelAttempt,
    CancelTask,
    CapacityGained,
    Complete,
    Dispatch,
    Event,
    Reject,
    Submit,
    Task,
    TaskId,
    Tick,
)
from chervilrack._internal.execution.ticker import Ticker
from chervilrack._internal.execution.work import PipelinePlan, StageWork, WorkPlanner
from chervilrack._internal.observability.port import Telemetry
from chervilrack._internal.upstreams.port import (
    CallFailure,
    FailureKind,
    TokenChunk,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamClient,
)

# The scheduler ends every task by its deadline. This time after the deadline bounds the wait of a
# thread in case the ticks have stopped.
_LOST_TASK_GRACE = timedelta(seconds=5)

_CANCELLED_BEFORE_SENDING = CallFailure(
    FailureKind.CANCELLED, Executed.NO, "the attempt was not sent"
)
_CALLER_LEFT = CallFailure(FailureKind.CANCELLED, Executed.UNKNOWN, "the caller left")
_INTERNAL_ERROR = CallFailure(FailureKind.BROKEN, Executed.UNKNOWN, "an internal error occurred")


@dataclass(slots=True)
class _TaskState:
    """State of one task, shared between its thread and the threads that handle events.

    ``inbox`` holds the effects that the thread of the task has to carry out.
    """

    work: StageWork
    inbox: "SimpleQueue[Dispatch | Complete | Reject]" = field(default_factory=SimpleQueue)
    answers: dict[AttemptId, UpstreamAnswer] = field(default_factory=dict)
    cancelled: set[AttemptId] = field(default_factory=set)


@dataclass(slots=True)
class _RequestState:
    """Whether a request was cancelled, and the task that runs for the request."""

    cancelled: bool = False
    task: TaskId | None = None


class PipelineRunner:
    """Executor of pipelines and services.

    Each request runs in its caller's thread; only hedges use threads of the runner. ``lock``
    protects the scheduler and the planner; it must be reentrant, because the node's other cores
    share it. ``may_act`` tells whether this node is confirmed. The runner calls it directly before
    each call to an upstream, and the clients check again on the open connection. Used as a context
    manager, the runner has its own ticker thread; otherwise ``tick`` must be called about every
    10 ms. ``on_load`` receives the load that an upstream reports with an answer; it is called
    without the lock.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        planner: WorkPlanner,
        clients: Mapping[str, UpstreamClient],
        lock: threading.RLock,
        clock: Clock,
        may_act: Callable[[], bool],
        telemetry: Telemetry,
        hedge_threads: int = 16,
        on_load: Callable[[UpstreamId, Mapping[str, float]], None] | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._planner = planner
        self._clients = clients
        self._lock = lock
        self._clock = clock
        self._may_act = may_act
        self._telemetry = telemetry
        self._on_load = on_load
        self._task_states: dict[TaskId, _TaskState] = {}
        self._requests: dict[RequestId, _RequestState] = {}
        self._hedge_executor = ThreadPoolExecutor(hedge_threads, thread_name_prefix="hedge")
        self._ticker = Ticker(self.tick, lambda: scheduler.idle)

    def __enter__(self) -> Self:
        self._ticker.__enter__()
        return self

    def __exit__(self, *_exception: object) -> None:
        self._ticker.__exit__()
        self._hedge_executor.shutdown(wait=False, cancel_futures=False)

    @property
    def in_flight(self) -> int:
        """Number of requests in progress; a graceful stop waits until there are none."""
        return len(self._requests)

    def tick(self) -> None:
        """Reject late work, start hedges, and dispatch the work that permits allow by now."""
        self._handle(Tick())

    def capacity_gained(self) -> None:
        """Dispatch waiting work; to be called after permits or upstreams have been added."""
        self._handle(CapacityGained())

    def run_pipeline(self, request: PipelineRequest) -> Result[Mapping[str, Any], Problem]:
        """Run all stages and return the answer of the last one."""
        request_state = self._register(request.request_id)
        try:
            plan = self._plan_pipeline(request)
            if isinstance(plan, Err):
                return plan
            answer = self._run_stages(
                plan.ok_value, len(plan.ok_value.pipeline.stages), request_state
            )
            return answer.map(lambda body: body or {})
        finally:
            self._unregister(request.request_id)

    def run_service(self, request: ServiceRequest) -> Result[Mapping[str, Any], Problem]:
        """Run one operation of a plain service, at most once if the operation is not idempotent."""
        request_state = self._register(request.request_id)
        try:
            with self._lock:
                planned = self._planner.plan_service(request)
            if isinstance(planned, Err):
                return planned
            return self._run_task(planned.ok_value, request_state)
        finally:
            self._unregister(request.request_id)

    def stream_pipeline(self, request: PipelineRequest) -> Iterator[Result[TokenChunk, Problem]]:
        """Run all stages and yield the last stage's tokens, each exactly once and in order.

        If the request fails, the last item is an ``Err``. Closing the iterator cancels the work
        upstream.
        """
        started = self._clock.monotonic()
        request_state = self._register(request.request_id)
        assembler = TokenAssembler(started)
        try:
            plan = self._plan_pipeline(request)
            if isinstance(plan, Err):
                yield plan
                return
            last = len(plan.ok_value.pipeline.stages) - 1
            previous = self._run_stages(plan.ok_value, last, request_state)
            if isinstance(previous, Err):
                yield previous
                return
            work = self._plan_stage(plan.ok_value, last, previous.ok_value)
            yield from self._stream_task(work, request_state, assembler, last)
        finally:
            self._unregister(request.request_id)
            if assembler.first_token_time is not None:
                self._telemetry.record_token_times(
                    request.priority_class, assembler.first_token_time, assembler.token_intervals
                )

    def cancel(self, request_id: RequestId) -> None:
        """Cancel a request whose caller has disconnected; unknown requests are ignored."""
        with self._lock:
            request_state = self._requests.get(request_id)
            if request_state is None:
                return
            request_state.cancelled = True
            if request_state.task is not None:
                self._handle(CancelTask(request_state.task))

    def _register(self, request_id: RequestId) -> _RequestState:
        request_state = _RequestState()
        with self._lock:
            if request_id in self._requests:
                raise ValueError(f"request '{request_id}' is already in progress")
            self._requests[request_id] = request_state
        return request_state

    def _unregister(self, request_id: RequestId) -> None:
        with self._lock:
            del self._requests[request_id]

    def _plan_pipeline(self, request: PipelineRequest) -> Result[PipelinePlan, Problem]:
        with self._lock:
            now = self._clock.monotonic()
            plan = self._planner.plan_pipeline(request)
            if isinstance(plan, Err):
                return plan
            problem = self._scheduler.reject_early(
                plan.ok_value.previews, plan.ok_value.estimates, now
            )
            return plan if problem is None else Err(problem)

    def _plan_stage(
        self, plan: PipelinePlan, number: int, previous: Mapping[str, Any] | None
    ) -> StageWork:
        with self._lock:
            return self._planner.plan_stage(plan, number, previous, self._clock.monotonic())

    def _run_stages(
        self, plan: PipelinePlan, count: int, request_state: _RequestState
    ) -> Result[Mapping[str, Any] | None, Problem]:
        """Run the first ``count`` stages one after the other; return the answer of the last one."""
        previous: Mapping[str, Any] | None = None
        for number in range(count):
            answer = self._run_task(self._plan_stage(plan, number, previous), request_state)
            if isinstance(answer, Err):
                return Err(problem_after_stages(answer.err_value, number))
            previous = answer.ok_value
        return Ok(previous)

    def _run_task(
        self, work: StageWork, request_state: _RequestState
    ) -> Result[Mapping[str, Any], Problem]:
        """Run one task until it ends, in this thread."""
        task = work.task
        task_state = self._submit(work, request_state)
        if isinstance(task_state, Problem):
            return Err(task_state)
        try:
            while True:
                effect = self._next_effect(task_state, task)
                if isinstance(effect, Dispatch):
                    self._run_attempt(effect, task_state)
                elif isinstance(effect, Complete):
                    return Ok(task_state.answers[effect.attempt].body)
                else:
                    return Err(effect.problem)
        finally:
            self._end_task(task, task_state, request_state)

    def _stream_task(
        self,
        planned: StageWork,
        request_state: _RequestState,
        assembler: TokenAssembler,
        stages: int,
    ) -> Iterator[Result[TokenChunk, Problem]]:
        """Run the task of the last stage, which follows ``stages`` others, and yield its tokens."""
        work = replace(planned, task=replace(planned.task, hedgeable=False))
        task = work.task
        task_state = self._submit(work, request_state)
        if isinstance(task_state, Problem):
            yield Err(problem_after_stages(task_state, stages))
            return
        try:
            while True:
                effect = self._next_effect(task_state, task)
                if isinstance(effect, Dispatch):
                    yield from self._run_stream_attempt(effect, task_state, assembler)
                elif isinstance(effect, Complete):
                    return
                else:
                    problem = stream_problem(effect.problem, assembler.offset)
                    yield Err(problem_after_stages(problem, stages))
                    return
        finally:
            self._end_task(task, task_state, request_state)

    def _submit(self, work: StageWork, request_state: _RequestState) -> _TaskState | Problem:
        task = work.task
        if work.problem is not None:
            return work.problem
        task_state = _TaskState(work)
        if not self._may_act():
            detail = "this node may not start work at the moment"
            return Problem(ResultCode.NOT_CONFIRMED, detail)
        with self._lock:
            if request_state.cancelled:
                return Problem(ResultCode.DEADLINE_PASSED, "the caller cancelled the request")
            request_state.task = task.id
            self._task_states[task.id] = task_state
            self._handle(Submit(task))
        self._ticker.wake()
        return task_state

    def _next_effect(self, task_state: _TaskState, task: Task) -> Dispatch | Complete | Reject:
        wait = task.deadline + _LOST_TASK_GRACE - self._clock.monotonic()
        try:
            return task_state.inbox.get(timeout=max(wait.total_seconds(), 0.0))
        except Empty:
            detail = "the request was not ended by its deadline"
            problem = Problem(ResultCode.INTERNAL_ERROR, detail, Executed.UNKNOWN)
            return Reject(task.id, problem)

    def _end_task(self, task: Task, task_state: _TaskState, request_state: _RequestState) -> None:
        """Cancel the task if it has not ended, and finish attempts that were never sent."""
        with self._lock:
            request_state.task = None
            self._handle(CancelTask(task.id))
            del self._task_states[task.id]
            while not task_state.inbox.empty():
                effect = task_state.inbox.get()
                if isinstance(effect, Dispatch):
                    self._finish_attempt(effect, timedelta(0), _CANCELLED_BEFORE_SENDING)

    def _run_attempt(self, dispatch: Dispatch, task_state: _TaskState) -> None:
        """Send one attempt, store its answer and report its end."""
        client = self._client_for(dispatch, task_state)
        if client is None:
            return
        started = self._clock.monotonic()
        try:
            outcome = client.call(self._upstream_call(dispatch, task_state, started, 0))
        except Exception:
            self._finish_attempt(dispatch, self._clock.monotonic() - started, _INTERNAL_ERROR)
            raise
        service_time = self._clock.monotonic() - started
        if isinstance(outcome, Err):
            self._finish_attempt(dispatch, service_time, outcome.err_value)
        else:
            answer = task_state.answers[dispatch.attempt] = outcome.ok_value
            if answer.load and self._on_load is not None:
                self._on_load(dispatch.upstream.id, answer.load)
            self._finish_attempt(dispatch, service_time, None)
        self._report_attempt(dispatch, task_state, service_time)

    def _run_stream_attempt(
        self, dispatch: Dispatch, task_state: _TaskState, assembler: TokenAssembler
    ) -> Iterator[Result[TokenChunk, Problem]]:
        client = self._client_for(dispatch, task_state)
        if client is None:
            return
        started = self._clock.monotonic()
        # Holds if the caller closes the iterator; every other outcome replaces the value.
        failure: CallFailure | None = _CALLER_LEFT
        try:
            call = self._upstream_call(dispatch, task_state, started, assembler.offset)
            with client.stream(call) as opened:
                if isinstance(opened, Err):
                    failure = opened.err_value
                    return
                for chunk in opened.ok_value:
                    accepted = assembler.accept(chunk, self._clock.monotonic())
                    if assembler.final:
                        failure = None
                    if accepted is not None:
                        yield Ok(accepted)
        except StreamBroken as error:
            late = self._clock.monotonic() >= dispatch.deadline
            kind = FailureKind.TIMED_OUT if late else FailureKind.BROKEN
            failure = CallFailure(kind, Executed.UNKNOWN, str(error))
        finally:
            service_time = self._clock.monotonic() - started
            self._finish_attempt(dispatch, service_time, failure)
            self._report_attempt(dispatch, task_state, service_time)

    def _client_for(self, dispatch: Dispatch, task_state: _TaskState) -> UpstreamClient | None:
        """Return the client for an attempt.

        If the attempt must not be sent, the attempt is finished and None is returned.
        """
        client = self._clients.get(dispatch.upstream.protocol)
        if client is None:
            detail = f"unknown protocol '{dispatch.upstream.protocol}'"
            unknown_protocol = CallFailure(FailureKind.NOT_SENT, Executed.NO, detail)
            self._finish_attempt(dispatch, timedelta(0), unknown_protocol)
            return None
        if dispatch.attempt in task_state.cancelled or not self._may_act():
            self._finish_attempt(dispatch, timedelta(0), _CANCELLED_BEFORE_SENDING)
            return None
        return client

    def _upstream_call(
        self, dispatch: Dispatch, task_state: _TaskState, now: timedelta, resume_offset: int
    ) -> UpstreamCall:
        task, work = dispatch.task, task_state.work
        return UpstreamCall(
            upstream=dispatch.upstream.id,
            base_url=dispatch.upstream.url,
            path=work.path,
            request_id=task.request_id,
            attempt_id=dispatch.attempt,
            organisation=task.organisation,
            body=work.body,
            deadline=dispatch.deadline - now,
            priority=work.priority,
            resume_offset=resume_offset,
            idempotency_key=work.idempotency_key,
        )

    def _finish_attempt(
        self, dispatch: Dispatch, service_time: timedelta, failure: CallFailure | None
    ) -> None:
        if failure is None:
            self._handle(AttemptFinished(dispatch.attempt, service_time))
        else:
            event = AttemptFinished(dispatch.attempt, service_time, failure.kind, failure.executed)
            self._handle(event)

    def _report_attempt(
        self, dispatch: Dispatch, task_state: _TaskState, service_time: timedelta
    ) -> None:
        task, upstream = dispatch.task, dispatch.upstream
        self._telemetry.stage_finished(
            task.context.stage,
            task_state.work.priority_class,
            upstream.team,
            upstream.id,
            dispatch.queue_time,
            service_time,
            task.tokens,
        )
        self._telemetry.record_decision(
            task.request_id,
            task.organisation,
            f"{task.context.stage}: attempt at {upstream.id} ({dispatch.reason})",
        )

    def _handle(self, event: Event) -> None:
        """Pass an event to the scheduler and carry out or hand over its effects, under the lock.

        Effects of one task must reach its thread in the order in which they were decided.
        """
        with self._lock:
            for effect in self._scheduler.handle(event, self._clock.monotonic()):
                if isinstance(effect, Dispatch):
                    task_state = self._task_states[effect.task.id]
                    if effect.hedge:
                        self._hedge_executor.submit(self._run_attempt, effect, task_state)
                    else:
                        task_state.inbox.put(effect)
                elif isinstance(effect, CancelAttempt):
                    self._cancel_attempt(effect)
                else:
                    recipient = self._task_states.get(effect.task)
                    if recipient is not None:
                        recipient.inbox.put(effect)

    def _cancel_attempt(self, effect: CancelAttempt) -> None:
        for client in self._clients.values():
            client.cancel(effect.attempt)
        task_state = self._task_states.get(effect.task)
        if task_state is not None:
            task_state.cancelled.add(effect.attempt)
