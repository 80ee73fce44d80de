"""Runs the stages of one request: orders their pieces from the owners of the stage queues."""

import queue
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from result import Err, Ok, Result

from chervilrack._internal.batching.plan import (
    HOP_TIME,
    PlannedStage,
    RequestTimes,
    StagePlan,
)
from chervilrack._internal.batching.progress import StageProgress
from chervilrack._internal.catalogue.state import ServiceSpec
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import ServiceId, ZoneId
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.forecast.state import Rest
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import PieceFailure

# Most restarts of stages of one request after the loss of results. A lost result may restart every
# stage before it, and pipelines have up to six stages.
MAX_RESTARTS = 6
_FAILURE_CODES = {
    PieceFailure.ALL_LEAVING: ResultCode.UPSTREAMS_LEAVING,
    PieceFailure.ALL_PAUSED: ResultCode.UPSTREAMS_PAUSED,
    PieceFailure.ALL_EVACUATED: ResultCode.ZONES_EVACUATED,
}


@dataclass(frozen=True, slots=True)
class StageOrder:
    """An order for pieces of one stage of a request; ``key`` is set for stages without inputs."""

    context: RequestContext
    planned: PlannedStage
    key: str


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Result of one piece of a stage: its handle, or the reason why there is none.

    ``segment`` is the number of the piece within its stage. ``retry_after`` is the time until the
    first upstream takes calls again if all of them want a pause, or until room is expected for a
    request that was refused for lack of it.
    """

    stage: int
    segment: int
    result: str | PieceFailure
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class StageInputsRead:
    """The upstreams that execute a stage have read its inputs."""

    stage: int


StageEvent = PieceResult | StageInputsRead


class StageClient(Protocol):
    """Sends orders to the owners of the stage queues; methods are thread-safe."""

    def place_order(self, order: StageOrder, deliver: Callable[[StageEvent], None]) -> int:
        """Order pieces, and return the number of the order.

        ``deliver`` is called with each event of the order; the call may come from another thread.
        """

    def zone_of(self, handle: str) -> str:
        """Return the zone of the upstream that stores a result, "" if the zone is not known."""

    def cancel_order(self, number: int) -> None:
        """Cancel an order."""

    def release(
        self, service: ServiceId, handles: Sequence[str], *, evictable: bool = False
    ) -> None:
        """Free stored results; ``evictable`` ones may stay stored until their space is needed."""


class StageRun:
    """Runs the stages of one request in the thread that serves the request.

    ``rest`` forecasts the attempt at an upstream that follows the stages. The stages are given up
    when that does not fit any more into the time left.
    """

    def __init__(
        self,
        context: RequestContext,
        client: StageClient,
        clock: Clock,
        zone_hint: str,
        services: Mapping[ServiceId, ServiceSpec],
        rest: Callable[[], Rest],
    ) -> None:
        self._context = context
        self._rest = rest
        self._client = client
        self._clock = clock
        self._progress = StageProgress(context.route, context.metadata.piece_counts)
        self._plan = StagePlan(
            context.route,
            self._progress,
            services,
            RequestTimes(
                context.request.arrived, context.due, context.next_event_deadline, context.deadline
            ),
            (context.metadata.prompt_tokens, context.metadata.output_tokens),
            rest,
            zone_hint,
            client.zone_of,
            lambda: context.usual_first_byte,
        )
        self._events: queue.SimpleQueue[tuple[int, StageEvent] | None] = queue.SimpleQueue()
        self._orders: list[int] = []
        # Number of the latest order of each stage; failures of earlier orders are ignored.
        self._generations: dict[int, int] = {}
        self._restarts = 0
        self._needs_restart = False

    @property
    def needs_restart(self) -> bool:
        """Whether the inputs of the request have been used up or lost."""
        return self._needs_restart

    @property
    def restart_time(self) -> timedelta:
        """Usual time until the first byte of the answer if all stages have to run again."""
        return self._plan.usual_time

    @property
    def inputs(self) -> tuple[str, ...]:
        """Handles of the stage results that are the inputs of the request itself."""
        return self._progress.final_handles()

    @property
    def pieces(self) -> tuple[int, ...]:
        """Number of pieces of each stage."""
        return tuple(self._progress.pieces(n) for n in range(len(self._context.route.stages)))

    def input_sizes(self) -> tuple[tuple[ZoneId, int], ...]:
        """Return the size in bytes of the inputs of the request that each zone stores."""
        sizes: Counter[ZoneId] = Counter()
        for stage in self._progress.final_stages:
            size = self._progress.spec(stage).result_size
            for handle in self._progress.handles(stage):
                sizes[ZoneId(self._client.zone_of(handle))] += size
        return tuple(sizes.items())

    def run(self) -> Result[None, Problem]:
        """Run all stages that are not done.

        An error is a problem whose code states that the request itself was not executed.
        """
        wake: Callable[[], None] = lambda: self._events.put(None)  # noqa: E731
        self._context.add_gone_action(wake)
        self._context.add_stop_action(wake)
        self._context.add_refusal_action(wake)
        try:
            return self._run()
        finally:
            self._context.remove_refusal_action(wake)
            self._context.remove_gone_action(wake)
            self._context.remove_stop_action(wake)

    def restart(self) -> bool:
        """Forget the inputs of the request, so that ``run`` produces them again.

        Returns False if the stages were restarted too often.
        """
        if self._restarts >= MAX_RESTARTS:
            return False
        self._restarts += 1
        self._needs_restart = False
        self._plan.begin_by = self._context.next_event_deadline
        self._restart_inputs(None)
        return True

    def mark_results_lost(self) -> None:
        """Record that inputs of the request were lost before the upstream read them."""
        self._needs_restart = True

    def mark_inputs_read(self) -> None:
        """Record that the upstream of the request has most likely read its inputs."""
        self._progress.record_final_results_read()
        self._release_read_results()

    def release_inputs(self) -> None:
        """Free the inputs of the request after the upstream has read them."""
        for stage in self._progress.final_stages:
            self._release(stage)
        self._needs_restart = bool(self._progress.final_handles())

    def close(self) -> None:
        """Cancel all orders and free all results."""
        for number in self._orders:
            self._client.cancel_order(number)
        self._orders.clear()
        for stage in range(len(self._context.route.stages)):
            self._release(stage)

    def _run(self) -> Result[None, Problem]:
        while not self._progress.done:
            for planned in self._plan.take_ready(self._clock.monotonic()):
                self._place_order(planned)
            left = self._context.time_left(self._clock.monotonic()) - HOP_TIME
            left -= self._rest().attempt
            try:
                numbered_event = self._events.get(timeout=max(0.0, left.total_seconds()))
            except queue.Empty:
                return Err(self._timeout_problem())
            if self._context.caller_gone:
                return Err(Problem(ResultCode.CALLER_GONE, "the caller left during the stages"))
            if self._context.node_stopping:
                return Err(_stop_problem())
            if self._context.refusal is not None:
                return Err(self._context.refusal)
            if numbered_event is None:
                continue
            failure = self._handle_event(*numbered_event)
            if failure is not None:
                return Err(failure)
        return Ok(None)

    def _timeout_problem(self) -> Problem:
        if self._context.is_ended_by_stop(self._clock.monotonic() + HOP_TIME):
            return _stop_problem()
        return self._deadline_problem("the stages did not end in time")

    def _handle_event(self, generation: int, event: StageEvent) -> Problem | None:
        if isinstance(event, PieceResult):
            return self._handle_result(generation, event)
        if generation == self._generations.get(event.stage):
            self._progress.record_inputs_read(event.stage)
            self._release_read_results()
        return None

    def _handle_result(self, generation: int, result: PieceResult) -> Problem | None:
        if isinstance(result.result, str):
            if not self._progress.record_result(result.stage, result.segment, result.result):
                self._client.release(self._progress.spec(result.stage).service, [result.result])
            self._release_read_results()
            return None
        if generation != self._generations.get(result.stage):
            return None
        self._context.step(f"stage {result.stage}/{result.segment} {result.result.value}")
        if result.result is PieceFailure.INPUT_GONE and self._restarts < MAX_RESTARTS:
            self._restarts += 1
            self._generations.pop(result.stage)
            self._restart_inputs(result.stage)
            return None
        if result.result is PieceFailure.LATE:
            detail = f"stage {result.stage} cannot end in time"
            return self._deadline_problem(detail, result.retry_after)
        code = _FAILURE_CODES.get(result.result, ResultCode.NO_UPSTREAM)
        return Problem(
            code,
            f"stage {result.stage} failed: {result.result.value}",
            Executed.NO,
            result.retry_after,
        )

    def _deadline_problem(self, detail: str, retry_after: timedelta | None = None) -> Problem:
        rest = self._rest()
        if rest.is_known:
            detail += f"; the rest takes {rest.attempt.total_seconds():.2f} s at least: {rest}"
        return Problem(ResultCode.DEADLINE_UNREACHABLE, detail, retry_after=retry_after)

    def _place_order(self, planned: PlannedStage) -> None:
        has_inputs = bool(self._progress.spec(planned.stage).after)
        key = "" if has_inputs else self._context.metadata.piece_key
        generation = len(self._orders) + 1
        self._generations[planned.stage] = generation
        number = self._client.place_order(
            StageOrder(self._context, planned, key),
            lambda event: self._events.put((generation, event)),
        )
        self._orders.append(number)

    def _restart_inputs(self, stage: int | None) -> None:
        """Forget and free the inputs of a stage, or of the request itself for None."""
        for index, handles in self._progress.restart_inputs(stage):
            # The results that are not lost still occupy space at their upstreams.
            if handles:
                self._client.release(self._progress.spec(index).service, handles)

    def _release_read_results(self) -> None:
        """Release the results that all their readers have read, as evictable ones."""
        for stage, handles in self._progress.take_evictable():
            self._client.release(self._progress.spec(stage).service, handles, evictable=True)

    def _release(self, stage: int) -> None:
        handles = self._progress.take_handles(stage)
        if handles:
            self._client.release(self._progress.spec(stage).service, handles)


def _stop_problem() -> Problem:
    detail = "this node stops before the stages end"
    return Problem(ResultCode.NOT_READY, detail, retry_after=timedelta(0))
