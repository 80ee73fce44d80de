"""Runs requests: connects the scheduler to callers' threads and to upstreams."""

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
from chervilrack._internal.execution.outcomes import after_stages, stream_problem
from chervilrack._internal.execution.port import PipelineRequest, ServiceRequest
from chervilrack._internal.execution.scheduler import Scheduler
from chervilrack._internal.execution.streams import TokenAssembler
from chervilrack._internal.execution.tasks import (
    AttemptFinished,
    Cancel,
    CancelAttempt,
    CapacityGained,
    Complete,
    Dispatch,
    Event,
    Refuse,
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

# The scheduler ends every task by its deadline; this only bounds the wait if ticks have stopped.
_LOST_TASK_GRACE = timedelta(seconds=5)


_GIVEN_UP = CallFailure(FailureKind.CANCELLED, Executed.NO, "the attempt was not sent")
_ABANDONED = CallFailure(FailureKind.CANCELLED, Executed.UNKNOWN, "the caller left")
_INTERNAL = CallFailure(FailureKind.BROKEN, Executed.UNKNOWN, "an internal error occurred")


@dataclass(slots=True)
class _Slot:
    """Where the thread of one task meets what others decide about it."""

    work: StageWork
    inbox: "SimpleQueue[Dispatch | Complete | Refuse]" = field(default_factory=SimpleQueue)
    answers: dict[AttemptId, UpstreamAnswer] = field(default_factory=dict)
    cancelled: set[AttemptId] = field(default_factory=set)


@dataclass(slots=True)
class _Request:
    cancelled: bool = False
    task: TaskId | None = None


class PipelineRunner:
    """Executor of pipelines and services.

    Each request runs in its caller's thread; only hedges use threads of the runner. ``lock``
    protects the cores and must be reentrant, as it is shared with the node's other cores.
    ``may_act`` tells whether this node is confirmed; it is asked directly before each call, and
    the clients ask it again on the open connection. As a context manager the runner ticks itself;
    otherwise ``tick`` has to be called about every 10 ms. ``load_reported`` gets the loads that
    answers carry; it is called without the lock.
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
        load_reported: Callable[[UpstreamId, Mapping[str, float]], None] | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._planner = planner
        self._clients = clients
        self._lock = lock
        self._clock = clock
        self._may_act = may_act
        self._telemetry = telemetry
        self._load_reported = load_reported
        self._slots: dict[TaskId, _Slot] = {}
        self._requests: dict[RequestId, _Request] = {}
        self._hedges = ThreadPoolExecutor(hedge_threads, thread_name_prefix="hedge")
        self._ticker = Ticker(self.tick, lambda: scheduler.idle)

    def __enter__(self) -> Self:
        self._ticker.__enter__()
        return self

    def __exit__(self, *_exception: object) -> None:
        self._ticker.__exit__()
        self._hedges.shutdown(wait=False, cancel_futures=False)

    @property
    def in_flight(self) -> int:
        """Requests in progress; a graceful stop waits until it is zero."""
        return len(self._requests)

    def tick(self) -> None:
        """Let time pass: rejects late work, starts hedges, dispatches when rates allow."""
        self._handle(Tick())

    def capacity_gained(self) -> None:
        """Dispatch waiting work after permits or upstreams have been added."""
        self._handle(CapacityGained())

    def run_pipeline(self, request: PipelineRequest) -> Result[Mapping[str, Any], Problem]:
        """Run all stages and return the whole answer."""
        state = self._open(request.request_id)
        try:
            plan = self._plan(request)
            if isinstance(plan, Err):
                return plan
            answer = self._run_stages(plan.ok_value, len(plan.ok_value.pipeline.stages), state)
            return answer.map(lambda last: last or {})
        finally:
            self._close(request.request_id)

    def run_service(self, request: ServiceRequest) -> Result[Mapping[str, Any], Problem]:
        """Run one operation of a plain service; one that is not idempotent is sent at most once."""
        state = self._open(request.request_id)
        try:
            with self._lock:
                planned = self._planner.service(request)
            if isinstance(planned, Err):
                return planned
            return self._run(planned.ok_value, state)
        finally:
            self._close(request.request_id)

    def stream_pipeline(self, request: PipelineRequest) -> Iterator[Result[TokenChunk, Problem]]:
        """Run all stages and yield the last stage's tokens, each exactly once and in order.

        An ``Err`` is the last item. Closing the iterator cancels the work upstream.
        """
        started = self._clock.monotonic()
        state = self._open(request.request_id)
        assembler = TokenAssembler(started)
        try:
            plan = self._plan(request)
            if isinstance(plan, Err):
                yield plan
                return
            last = len(plan.ok_value.pipeline.stages) - 1
            previous = self._run_stages(plan.ok_value, last, state)
            if isinstance(previous, Err):
                yield previous
                return
            work = self._stage(plan.ok_value, last, previous.ok_value)
            yield from self._stream(work, state, assembler, last)
        finally:
            self._close(request.request_id)
            if assembler.first is not None:
                self._telemetry.token_times(
                    request.priority_class, assembler.first, assembler.between
                )

    def cancel(self, request_id: RequestId) -> None:
        """Cancel a request whose caller has left."""
        with self._lock:
            state = self._requests.get(request_id)
            if state is None:
                return
            state.cancelled = True
            if state.task is not None:
                self._handle(Cancel(state.task))

    def _open(self, request_id: RequestId) -> _Request:
        state = _Request()
        with self._lock:
            if request_id in self._requests:
                raise ValueError(f"request '{request_id}' is already in progress")
            self._requests[request_id] = state
        return state

    def _close(self, request_id: RequestId) -> None:
        with self._lock:
            del self._requests[request_id]

    def _plan(self, request: PipelineRequest) -> Result[PipelinePlan, Problem]:
        with self._lock:
            now = self._clock.monotonic()
            plan = self._planner.pipeline(request)
            if isinstance(plan, Err):
                return plan
            problem = self._scheduler.refuse_early(
                plan.ok_value.previews, plan.ok_value.estimates, now
            )
            return plan if problem is None else Err(problem)

    def _stage(
        self, plan: PipelinePlan, number: int, previous: Mapping[str, Any] | None
    ) -> StageWork:
        with self._lock:
            return self._planner.stage(plan, number, previous, self._clock.monotonic())

    def _run_stages(
        self, plan: PipelinePlan, count: int, state: _Request
    ) -> Result[Mapping[str, Any] | None, Problem]:
        """Run the first ``count`` stages one after the other; return the last answer."""
        previous: Mapping[str, Any] | None = None
        for number in range(count):
            answer = self._run(self._stage(plan, number, previous), state)
            if isinstance(answer, Err):
                return Err(after_stages(answer.err_value, number))
            previous = answer.ok_value
        return Ok(previous)

    def _run(self, work: StageWork, state: _Request) -> Result[Mapping[str, Any], Problem]:
        """Run one task to its end in this thread."""
        task = work.task
        slot = self._submit(work, state)
        if isinstance(slot, Problem):
            return Err(slot)
        try:
            while True:
                message = self._next(slot, task)
                if isinstance(message, Dispatch):
                    self._attempt(message, slot)
                elif isinstance(message, Complete):
                    return Ok(slot.answers[message.attempt].body)
                else:
                    return Err(message.problem)
        finally:
            self._retire(task, slot, state)

    def _stream(
        self, planned: StageWork, state: _Request, assembler: TokenAssembler, stages: int
    ) -> Iterator[Result[TokenChunk, Problem]]:
        """Run the task of the last stage after ``stages`` others, passing on its tokens."""
        work = replace(planned, task=replace(planned.task, hedgeable=False))
        task = work.task
        slot = self._submit(work, state)
        if isinstance(slot, Problem):
            yield Err(after_stages(slot, stages))
            return
        try:
            while True:
                message = self._next(slot, task)
                if isinstance(message, Dispatch):
                    yield from self._stream_attempt(message, slot, assembler)
                elif isinstance(message, Complete):
                    return
                else:
                    problem = stream_problem(message.problem, assembler.offset)
                    yield Err(after_stages(problem, stages))
                    return
        finally:
            self._retire(task, slot, state)

    def _submit(self, work: StageWork, state: _Request) -> _Slot | Problem:
        task = work.task
        if work.problem is not None:
            return work.problem
        slot = _Slot(work)
        if not self._may_act():
            detail = "this node may not start work at the moment"
            return Problem(ResultCode.NOT_CONFIRMED, detail)
        with self._lock:
            if state.cancelled:
                return Problem(ResultCode.DEADLINE_PASSED, "the caller cancelled the request")
            state.task = task.id
            self._slots[task.id] = slot
            self._handle(Submit(task))
        self._ticker.wake()
        return slot

    def _next(self, slot: _Slot, task: Task) -> Dispatch | Complete | Refuse:
        wait = task.deadline + _LOST_TASK_GRACE - self._clock.monotonic()
        try:
            return slot.inbox.get(timeout=max(wait.total_seconds(), 0.0))
        except Empty:
            detail = "the request was not ended by its deadline"
            problem = Problem(ResultCode.INTERNAL_ERROR, detail, Executed.UNKNOWN)
            return Refuse(task.id, problem)

    def _retire(self, task: Task, slot: _Slot, state: _Request) -> None:
        """End the task if it has not ended, and account for attempts that were never begun."""
        with self._lock:
            state.task = None
            self._handle(Cancel(task.id))
            del self._slots[task.id]
            while not slot.inbox.empty():
                message = slot.inbox.get()
                if isinstance(message, Dispatch):
                    self._finish(message, timedelta(0), _GIVEN_UP)

    def _attempt(self, dispatch: Dispatch, slot: _Slot) -> None:
        """Send one attempt, hold its answer and report its end."""
        client = self._begin(dispatch, slot)
        if client is None:
            return
        started = self._clock.monotonic()
        try:
            outcome = client.call(self._call(dispatch, slot, started, 0))
        except Exception:
            self._finish(dispatch, self._clock.monotonic() - started, _INTERNAL)
            raise
        service_time = self._clock.monotonic() - started
        if isinstance(outcome, Err):
            self._finish(dispatch, service_time, outcome.err_value)
        else:
            answer = slot.answers[dispatch.attempt] = outcome.ok_value
            if answer.load and self._load_reported is not None:
                self._load_reported(dispatch.upstream.id, answer.load)
            self._finish(dispatch, service_time, None)
        self._report(dispatch, slot, service_time)

    def _stream_attempt(
        self, dispatch: Dispatch, slot: _Slot, assembler: TokenAssembler
    ) -> Iterator[Result[TokenChunk, Problem]]:
        client = self._begin(dispatch, slot)
        if client is None:
            return
        started = self._clock.monotonic()
        # Replaced below; this is what holds if the caller closes the iterator.
        failure: CallFailure | None = _ABANDONED
        try:
            call = self._call(dispatch, slot, started, assembler.offset)
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
        except StreamBroken as broken:
            late = self._clock.monotonic() >= dispatch.deadline
            kind = FailureKind.TIMED_OUT if late else FailureKind.BROKEN
            failure = CallFailure(kind, Executed.UNKNOWN, str(broken))
        finally:
            service_time = self._clock.monotonic() - started
            self._finish(dispatch, service_time, failure)
            self._report(dispatch, slot, service_time)

    def _begin(self, dispatch: Dispatch, slot: _Slot) -> UpstreamClient | None:
        """Make the last checks before sending; return None if the attempt is given up."""
        client = self._clients.get(dispatch.upstream.protocol)
        if client is None:
            detail = f"unknown protocol '{dispatch.upstream.protocol}'"
            unknown = CallFailure(FailureKind.NOT_SENT, Executed.NO, detail)
            self._finish(dispatch, timedelta(0), unknown)
            return None
        if dispatch.attempt in slot.cancelled or not self._may_act():
            self._finish(dispatch, timedelta(0), _GIVEN_UP)
            return None
        return client

    def _call(
        self, dispatch: Dispatch, slot: _Slot, now: timedelta, resume_offset: int
    ) -> UpstreamCall:
        task, work = dispatch.task, slot.work
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

    def _finish(
        self, dispatch: Dispatch, service_time: timedelta, failure: CallFailure | None
    ) -> None:
        if failure is None:
            self._handle(AttemptFinished(dispatch.attempt, service_time))
        else:
            event = AttemptFinished(dispatch.attempt, service_time, failure.kind, failure.executed)
            self._handle(event)

    def _report(self, dispatch: Dispatch, slot: _Slot, service_time: timedelta) -> None:
        task, upstream = dispatch.task, dispatch.upstream
        self._telemetry.stage_finished(
            task.context.stage,
            slot.work.priority_class,
            upstream.team,
            upstream.id,
            dispatch.queue_time,
            service_time,
            task.tokens,
        )
        self._telemetry.decided(
            task.request_id,
            task.organisation,
            f"{task.context.stage}: attempt at {upstream.id} ({dispatch.reason})",
        )

    def _handle(self, event: Event) -> None:
        """Let the scheduler decide and pass on its effects, all under the lock.

        Effects of one task must reach its thread in the order in which they were decided.
        """
        with self._lock:
            for effect in self._scheduler.handle(event, self._clock.monotonic()):
                if isinstance(effect, Dispatch):
                    slot = self._slots[effect.task.id]
                    if effect.hedge:
                        self._hedges.submit(self._attempt, effect, slot)
                    else:
                        slot.inbox.put(effect)
                elif isinstance(effect, CancelAttempt):
                    self._cancel_attempt(effect)
                else:
                    found = self._slots.get(effect.task)
                    if found is not None:
                        found.inbox.put(effect)

    def _cancel_attempt(self, effect: CancelAttempt) -> None:
        for client in self._clients.values():
            client.cancel(effect.attempt)
        slot = self._slots.get(effect.task)
        if slot is not None:
            slot.cancelled.add(effect.attempt)
