"""Runs the stages of one request by orders to the owners of the stage queues."""

import queue
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from result import Err, Ok, Result

from chervilrack._internal.batching.progress import StageProgress
from chervilrack._internal.catalogue.state import ServiceSpec
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import PieceFailure

# Times the stages of one request are started again after results have vanished.
MAX_RESTARTS = 2
# Messages, connections and waiting between two stages, as measured on calm days.
HOP_TIME = timedelta(milliseconds=40)
# Part of a full call that a piece waits for an upstream: half of one if all are always busy.
WAIT_SHARE = 0.4
# Prompt tokens that an idle engine reads in a second, from the engines' sheet.
PROMPT_TOKENS_PER_S = 38_400.0
# Tokens of one stream that an engine makes in a second: a step takes 5.23 ms and more.
OUTPUT_TOKENS_PER_S = 160.0


def request_time(prompt_tokens: int) -> timedelta:
    """Return the time until the first byte of a request at an idle engine."""
    return HOP_TIME + timedelta(seconds=prompt_tokens / PROMPT_TOKENS_PER_S)


def stream_time(output_tokens: int, allowed: timedelta) -> timedelta:
    """Return the time of a whole stream after its first byte, at most half of ``allowed``.

    Callers name the most tokens they take; most streams are shorter.
    """
    return min(timedelta(seconds=output_tokens / OUTPUT_TOKENS_PER_S), allowed / 2)


@dataclass(frozen=True, slots=True)
class StageOrder:
    """Pieces wanted of one stage."""

    context: RequestContext
    service: ServiceId
    stage: int
    segments: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    due: timedelta
    deadline: timedelta
    result_size: int
    zone: str
    move_cost: int


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Result of one segment of a stage: a handle or why there is none."""

    stage: int
    segment: int
    result: str | PieceFailure


class StageClient(Protocol):
    """Sends orders to the owners of the queues."""

    def order(self, order: StageOrder, deliver: Callable[[PieceResult], None]) -> int:
        """Ask for pieces; ``deliver`` gets each result. Return the order's number."""

    def zone_of(self, handle: str) -> str:
        """Return the zone of the upstream that keeps a result, "" if it is not known."""

    def drop(self, number: int) -> None:
        """Withdraw an order."""

    def release(self, service: ServiceId, handles: Sequence[str]) -> None:
        """Give up results."""


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
        self._services = services
        self._context = context
        self._client = client
        self._clock = clock
        self._zone_hint = zone_hint
        self._progress = StageProgress(context.route, context.facts.piece_counts)
        self._results: queue.SimpleQueue[tuple[int, PieceResult] | None] = queue.SimpleQueue()
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

    def run(self) -> Result[None, Problem]:
        """Run all stages that are not done. The problem of a failure states a request not run."""
        wake: Callable[[], None] = lambda: self._results.put(None)  # noqa: E731
        self._context.on_gone(wake)
        try:
            return self._run()
        finally:
            self._context.off_gone(wake)

    def restart(self) -> bool:
        """Forget the results that the request reads; return False if it was done too often."""
        if self._restarts >= MAX_RESTARTS:
            return False
        self._restarts += 1
        self._spent = False
        self._progress.restart_inputs(None)
        return True

    def spend(self) -> None:
        """Note that the results have vanished before the request read them."""
        self._spent = True

    def answered(self) -> None:
        """Free the results that the request has read."""
        self._release(answered=True)
        self._spent = bool(self._progress.final_handles())

    def close(self) -> None:
        """Withdraw open orders and free everything."""
        for number in self._orders:
            self._client.drop(number)
        self._orders.clear()
        for stage in range(len(self._context.route.stages)):
            handles = self._progress.take_handles(stage)
            if handles:
                self._client.release(self._progress.spec(stage).service, handles)

    def _run(self) -> Result[None, Problem]:
        while not self._progress.done:
            for stage in self._progress.take_ready():
                self._order(stage)
            left = self._context.left(self._clock.monotonic()) - HOP_TIME
            try:
                found = self._results.get(timeout=max(0.0, left.total_seconds()))
            except queue.Empty:
                return Err(_late("the stages did not end in time"))
            if self._context.gone:
                return Err(Problem(ResultCode.CALLER_GONE, "the caller left during the stages"))
            if found is None:
                continue
            failure = self._take(*found)
            if failure is not None:
                return Err(failure)
        return Ok(None)

    def _take(self, generation: int, result: PieceResult) -> Problem | None:
        if isinstance(result.result, str):
            if not self._progress.completed(result.stage, result.segment, result.result):
                self._client.release(self._progress.spec(result.stage).service, [result.result])
            self._release(answered=False)
            return None
        if generation != self._generations.get(result.stage):
            return None
        self._context.step(f"stage {result.stage}/{result.segment} {result.result.value}")
        if result.result is PieceFailure.INPUT_GONE and self._restarts < MAX_RESTARTS:
            self._restarts += 1
            self._generations.pop(result.stage)
            self._progress.restart_inputs(result.stage)
            return None
        if result.result is PieceFailure.LATE:
            return _late(f"stage {result.stage} cannot end in time")
        return Problem(ResultCode.NO_UPSTREAM, f"stage {result.stage} failed")

    def _order(self, stage: int) -> None:
        progress = self._progress
        spec = progress.spec(stage)
        context = self._context
        later = self._time_after(stage)
        inputs = progress.inputs(stage) if spec.after else ()
        zone, move_cost = self._cheapest_zone(stage, inputs)
        order = StageOrder(
            context=context,
            service=spec.service,
            stage=stage,
            segments=tuple(range(progress.pieces(stage))),
            key=context.facts.piece_key if not spec.after else "",
            inputs=inputs,
            due=context.due - later,
            deadline=context.deadline - later - self._stream_time(),
            result_size=spec.result_size,
            zone=zone,
            move_cost=move_cost,
        )
        generation = len(self._orders) + 1
        self._generations[stage] = generation
        number = self._client.order(order, lambda found: self._results.put((generation, found)))
        self._orders.append(number)

    def _cheapest_zone(self, stage: int, inputs: Sequence[str]) -> tuple[str, int]:
        """Return where a piece moves the fewest bytes, and the bytes it moves elsewhere."""
        spec = self._progress.spec(stage)
        if inputs:
            size = sum(
                self._progress.pieces(before) * self._progress.spec(before).result_size
                for before in spec.after
            )
            zones = Counter(self._client.zone_of(handle) for handle in inputs)
            return zones.most_common(1)[0][0], size
        if stage in self._context.route.final_stages:
            return self._zone_hint, spec.result_size
        return "", 0

    def _stream_time(self) -> timedelta:
        context = self._context
        allowed = context.deadline - context.request.arrived
        return stream_time(context.facts.output_tokens, allowed)

    def _time_after(self, stage: int) -> timedelta:
        """Return the time that the later stages and the request itself take at least."""
        readers = [
            index
            for index, spec in enumerate(self._context.route.stages)
            if stage in spec.after and self._progress.pieces(index)
        ]
        if not readers:
            return request_time(self._context.work.tokens)
        return max(self._stage_time(index) + self._time_after(index) for index in readers)

    def _stage_time(self, stage: int) -> timedelta:
        service = self._services.get(self._progress.spec(stage).service)
        if service is None or service.batching is None:
            return timedelta(0)
        spec = service.batching
        pieces = min(self._progress.pieces(stage), spec.batch)
        full_call = spec.call_time + spec.batch * spec.item_time
        own_call = spec.call_time + pieces * spec.item_time
        return own_call + WAIT_SHARE * full_call + HOP_TIME

    def _release(self, *, answered: bool) -> None:
        for stage, handles in self._progress.take_releasable(answered=answered):
            self._client.release(self._progress.spec(stage).service, handles)


def _late(detail: str) -> Problem:
    return Problem(ResultCode.DEADLINE_UNREACHABLE, detail)
