"""Plans the stages of one request: which to start when, by when each should be done, and where."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.batching.progress import StageProgress
from chervilrack._internal.catalogue.state import Route, ServiceSpec
from chervilrack._internal.common.ids import ServiceId

# Messages, connections and waiting between two stages; an estimate, not measured.
HOP_TIME = timedelta(milliseconds=40)
# Part of a full call that a piece waits for an upstream: half of one if all are always busy, and
# more when calls are full.
WAIT_SHARE = 0.8
# Prompt tokens that an idle engine reads in a second, from the engines' sheet.
PROMPT_TOKENS_PER_S = 38_400.0
# Tokens of one stream that an engine makes in a second: a step takes 5.23 ms and more.
OUTPUT_TOKENS_PER_S = 160.0


@dataclass(frozen=True, slots=True)
class RequestTimes:
    """Times of a request, all monotonic: its target, the caller's patience and the deadline.

    ``begin_by`` is when the caller has to have the first byte of a stream.
    """

    arrived: timedelta
    due: timedelta
    begin_by: timedelta
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class PlannedStage:
    """One stage as it is to be ordered."""

    stage: int
    service: ServiceId
    segments: tuple[int, ...]
    inputs: tuple[str, ...]
    due: timedelta
    deadline: timedelta
    result_size: int
    zone: str
    move_bytes: int


class StagePlan:
    """Decides about the stages of one request from its progress."""

    def __init__(
        self,
        route: Route,
        progress: StageProgress,
        services: Mapping[ServiceId, ServiceSpec],
        times: RequestTimes,
        tokens: tuple[int, int],
        zone_hint: str,
        zone_of: Callable[[str], str],
    ) -> None:
        self._route = route
        self._progress = progress
        self._services = services
        self._times = times
        self._prompt_tokens, self._output_tokens = tokens
        self._zone_hint = zone_hint
        self._zone_of = zone_of

    def take_ready(self) -> list[PlannedStage]:
        """Return the stages to order now, and note them as started.

        Every stage starts as soon as its inputs are there. Starting stages late that feed only
        the request itself saved room for results and cost more in late answers.
        """
        chosen = self._progress.ready()
        for stage in chosen:
            self._progress.start(stage)
        return [self._planned(stage) for stage in chosen]

    def _planned(self, stage: int) -> PlannedStage:
        progress = self._progress
        spec = progress.spec(stage)
        later = self._time_after(stage)
        inputs = progress.inputs(stage) if spec.after else ()
        zone, move_bytes = self._cheapest_zone(stage, inputs)
        times = self._times
        return PlannedStage(
            stage=stage,
            service=spec.service,
            segments=progress.missing(stage),
            inputs=inputs,
            due=times.due - later,
            deadline=min(times.deadline - self._stream_time(), times.begin_by) - later,
            result_size=spec.result_size,
            zone=zone,
            move_bytes=move_bytes,
        )

    def _cheapest_zone(self, stage: int, inputs: Sequence[str]) -> tuple[str, int]:
        """Return where a piece moves the fewest bytes, and the bytes it moves elsewhere."""
        spec = self._progress.spec(stage)
        if inputs:
            size = sum(
                self._progress.pieces(before) * self._progress.spec(before).result_size
                for before in spec.after
            )
            zones = Counter(self._zone_of(handle) for handle in inputs)
            return zones.most_common(1)[0][0], size
        if stage in self._route.final_stages:
            return self._zone_hint, spec.result_size
        return "", 0

    def _time_to_end(self, stage: int) -> timedelta:
        return self._stage_time(stage) + self._time_after(stage)

    def _time_after(self, stage: int) -> timedelta:
        """Return the usual time of the later stages and of the request's first byte."""
        readers = [
            index
            for index, spec in enumerate(self._route.stages)
            if stage in spec.after and self._progress.pieces(index)
        ]
        if not readers:
            return HOP_TIME + timedelta(seconds=self._prompt_tokens / PROMPT_TOKENS_PER_S)
        return max(self._time_to_end(index) for index in readers)

    def _stage_time(self, stage: int) -> timedelta:
        service = self._services.get(self._progress.spec(stage).service)
        if service is None or service.batching is None:
            return timedelta(0)
        spec = service.batching
        pieces = min(self._progress.pieces(stage), spec.batch)
        full_call = spec.call_time + spec.batch * spec.item_time
        own_call = spec.call_time + pieces * spec.item_time
        return own_call + WAIT_SHARE * full_call + HOP_TIME

    def _stream_time(self) -> timedelta:
        """Return the time of a whole stream after its first byte, at most half of all time.

        Callers name the most tokens they take; most streams are shorter.
        """
        allowed = self._times.deadline - self._times.arrived
        return min(timedelta(seconds=self._output_tokens / OUTPUT_TOKENS_PER_S), allowed / 2)
