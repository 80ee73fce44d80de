"""Runs the stages of one request by orders to the owners of the stage queues."""

import queue
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
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
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import PieceFailure

# Times the stages of one request are started again after results have vanished. One that has
# vanished may start each stage before it again, and pipelines have up to six.
MAX_RESTARTS = 6


@dataclass(frozen=True, slots=True)
class StageOrder:
    """Pieces wanted of one stage of a request; ``key`` is set for stages without inputs."""

    context: RequestContext
    planned: PlannedStage
    key: str


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Result of one segment of a stage: a handle or why there is none."""

    stage: int
    segment: int
    result: str | PieceFailure


@dataclass(frozen=True, slots=True)
class StageInputsRead:
    """The upstreams that run a stage have read its inputs."""

    stage: int


StageEvent = PieceResult | StageInputsRead


class StageClient(Protocol):
    """Sends orders to the owners of the queues."""

    def place_order(self, order: StageOrder, deliver: Callable[[StageEvent], None]) -> int:
        """Ask for pieces; ``deliver`` gets the news of them. Return the order's number."""

    def zone_of(self, handle: str) -> str:
        """Return the zone of the upstream that keeps a result, "" if it is not known."""

    def cancel_order(self, number: int) -> None:
        """Withdraw an order."""

    def release(
        self, service: ServiceId, handles: Sequence[str], *, evictable: bool = False
    ) -> None:
        """Give up results; ``evictable`` ones may be kept while nothing else needs their space."""


class StageRun:
    """Stages of one request, run by the thread that serves it."""

    def __init__(
        self,
        context: RequestContext,
        client: StageClient,
        clock: Clock,
        zone_hint: str,
        services: Mapping[ServiceId, ServiceSpec],
    ) -> None:
        self._context = context
        self._client = client
        self._clock = clock
        self._progress = StageProgress(context.route, context.metadata.piece_counts)
        self._plan = StagePlan(
            context.route,
            self._progress,
            services,
            RequestTimes(
                context.request.arrived, context.due, context.first_byte_deadline, context.deadline
            ),
            (context.metadata.prompt_tokens, context.metadata.output_tokens),
            zone_hint,
            client.zone_of,
        )
        self._results: queue.SimpleQueue[tuple[int, StageEvent] | None] = queue.SimpleQueue()
        self._orders: list[int] = []
        # Number of the current order of each stage; failures of earlier ones are of no interest.
        self._generations: dict[int, int] = {}
        self._restarts = 0
        self._spent = False

    @property
    def spent(self) -> bool:
        """Whether the results that the request reads were used up or have vanished."""
        return self._spent

    @property
    def inputs(self) -> tuple[str, ...]:
        """Handles that the request itself takes."""
        return self._progress.final_handles()

    def input_sizes(self) -> tuple[tuple[ZoneId, int], ...]:
        """Return the bytes that the request reads from each zone."""
        sizes: Counter[ZoneId] = Counter()
        for stage in self._progress.final_stages:
            size = self._progress.spec(stage).result_size
            for handle in self._progress.handles(stage):
                sizes[ZoneId(self._client.zone_of(handle))] += size
        return tuple(sizes.items())

    def run(self) -> Result[None, Problem]:
        """Run all stages that are not done. The problem of a failure states a request not run."""
        wake: Callable[[], None] = lambda: self._results.put(None)  # noqa: E731
        self._context.on_gone(wake)
        self._context.on_stop(wake)
        try:
            return self._run()
        finally:
            self._context.off_gone(wake)
            self._context.off_stop(wake)

    def restart(self) -> bool:
        """Forget the results that the request reads; return False if it was done too often."""
        if self._restarts >= MAX_RESTARTS:
            return False
        self._restarts += 1
        self._spent = False
        self._restart_inputs(None)
        return True

    def spend(self) -> None:
        """Note that the results have vanished before the request read them."""
        self._spent = True

    def inputs_read(self) -> None:
        """Note that the upstream of the request has most likely read the results."""
        self._progress.record_final_results_read()
        self._spare_inputs()

    def answered(self) -> None:
        """Free the results that the request has read."""
        for stage in self._progress.final_stages:
            self._release(stage)
        self._spent = bool(self._progress.final_handles())

    def close(self) -> None:
        """Withdraw open orders and free everything."""
        for number in self._orders:
            self._client.cancel_order(number)
        self._orders.clear()
        for stage in range(len(self._context.route.stages)):
            self._release(stage)

    def _run(self) -> Result[None, Problem]:
        while not self._progress.done:
            for planned in self._plan.take_ready():
                self._order(planned)
            left = self._context.time_left(self._clock.monotonic()) - HOP_TIME
            try:
                found = self._results.get(timeout=max(0.0, left.total_seconds()))
            except queue.Empty:
                return Err(_late("the stages did not end in time"))
            if self._context.gone:
                return Err(Problem(ResultCode.CALLER_GONE, "the caller left during the stages"))
            if self._context.node_stops:
                return Err(Problem(ResultCode.NOT_READY, "this node stops before the stages end"))
            if found is None:
                continue
            failure = self._take(*found)
            if failure is not None:
                return Err(failure)
        return Ok(None)

    def _take(self, generation: int, news: StageEvent) -> Problem | None:
        if isinstance(news, PieceResult):
            return self._take_result(generation, news)
        if generation == self._generations.get(news.stage):
            self._progress.record_inputs_read(news.stage)
            self._spare_inputs()
        return None

    def _take_result(self, generation: int, result: PieceResult) -> Problem | None:
        if isinstance(result.result, str):
            if not self._progress.record_result(result.stage, result.segment, result.result):
                self._client.release(self._progress.spec(result.stage).service, [result.result])
            self._spare_inputs()
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
            return _late(f"stage {result.stage} cannot end in time")
        return Problem(ResultCode.NO_UPSTREAM, f"stage {result.stage} failed")

    def _order(self, planned: PlannedStage) -> None:
        has_inputs = bool(self._progress.spec(planned.stage).after)
        key = "" if has_inputs else self._context.metadata.piece_key
        generation = len(self._orders) + 1
        self._generations[planned.stage] = generation
        number = self._client.place_order(
            StageOrder(self._context, planned, key),
            lambda found: self._results.put((generation, found)),
        )
        self._orders.append(number)

    def _restart_inputs(self, stage: int | None) -> None:
        for index, handles in self._progress.restart_inputs(stage):
            # Most of them are still there and take up space.
            if handles:
                self._client.release(self._progress.spec(index).service, handles)

    def _spare_inputs(self) -> None:
        for stage, handles in self._progress.take_evictable():
            self._client.release(self._progress.spec(stage).service, handles, evictable=True)

    def _release(self, stage: int) -> None:
        handles = self._progress.take_handles(stage)
        if handles:
            self._client.release(self._progress.spec(stage).service, handles)


def _late(detail: str) -> Problem:
    return Problem(ResultCode.DEADLINE_UNREACHABLE, detail)
