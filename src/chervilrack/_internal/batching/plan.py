"""Plans the stages of one request: which to order when, when each is due, and in which zone."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.batching.progress import StageProgress
from chervilrack._internal.catalogue.state import Route, ServiceSpec
from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.forecast.state import Rest

# Time between two stages: messages, connections and waiting.
HOP_TIME = timedelta(milliseconds=40)
# Share of a full call's time that a piece waits for an upstream: one half if all upstreams are
# always busy, and more if their calls are full.
WAIT_SHARE = 0.8
# Prompt tokens that an idle engine processes in a second.
PROMPT_TOKENS_PER_S = 38_400.0
# Tokens of one stream that an engine generates in a second: a step takes at least 5.23 ms.
OUTPUT_TOKENS_PER_S = 160.0
# Largest stated number of tokens that counts.
MAX_TOKENS = 10**7


@dataclass(frozen=True, slots=True)
class RequestTimes:
    """Monotonic times of one request.

    ``due`` is the end of the target latency. The caller must have the first byte of a stream, or
    the next event of a stream to be continued, at ``begin_by``, and the whole answer at
    ``deadline``.
    """

    arrived: timedelta
    due: timedelta
    begin_by: timedelta
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class PlannedStage:
    """A stage to be ordered; the fields are those of ``Order`` in ``state``."""

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
    """Decides when and how to order the stages of one request.

    ``tokens`` holds the numbers of prompt and output tokens. ``rest`` forecasts an attempt at the
    upstream of the request. ``zone_hint`` is the zone where the request is expected to run.
    ``zone_of`` returns the zone of the upstream that keeps a handle. ``usual_first_byte`` returns
    the usual time from the start of an attempt to the first byte; stages are due sooner if it is
    longer than at an idle engine. Their deadlines do not depend on it. ``begin_by`` may be
    changed when stages have to run again.
    """

    def __init__(
        self,
        route: Route,
        progress: StageProgress,
        services: Mapping[ServiceId, ServiceSpec],
        times: RequestTimes,
        tokens: tuple[int, int],
        rest: Callable[[], Rest],
        zone_hint: str,
        zone_of: Callable[[str], str],
        usual_first_byte: Callable[[], timedelta] = timedelta,
    ) -> None:
        self._route = route
        self._progress = progress
        self._services = services
        self._times = times
        self.begin_by = times.begin_by
        self._prompt_tokens, self._output_tokens = (min(count, MAX_TOKENS) for count in tokens)
        self._rest = rest
        self._zone_hint = zone_hint
        self._zone_of = zone_of
        self._usual_first_byte = usual_first_byte

    @property
    def usual_time(self) -> timedelta:
        """Usual time from the start of the first stages to the first byte of the answer."""
        stages = range(len(self._route.stages))
        times = [self._time_to_end(stage) for stage in stages if self._progress.pieces(stage)]
        return max(times, default=timedelta(0))

    @property
    def _idle_prompt_time(self) -> timedelta:
        """Time that an idle engine takes for the prompt."""
        return timedelta(seconds=self._prompt_tokens / PROMPT_TOKENS_PER_S)

    def take_ready(self, now: timedelta) -> list[PlannedStage]:
        """Return the stages to order at the monotonic time ``now``, and mark them as started.

        Every stage is ordered as soon as its inputs are available. Delaying the stages that only
        the request itself reads saved space for results, but cost more in late answers.
        """
        ready_stages = self._progress.ready()
        for stage in ready_stages:
            self._progress.mark_started(stage)
        return [self._plan_stage(stage, now) for stage in ready_stages]

    def _plan_stage(self, stage: int, now: timedelta) -> PlannedStage:
        progress = self._progress
        spec = progress.spec(stage)
        inputs = progress.inputs(stage) if spec.after else ()
        zone, move_bytes = self._cheapest_zone(stage, inputs)
        times = self._times
        engine_delay = max(timedelta(0), self._usual_first_byte() - self._idle_prompt_time)
        due = times.due - engine_delay
        wait_share = self._wait_share_until(due, stage, now)
        return PlannedStage(
            stage=stage,
            service=spec.service,
            segments=progress.missing(stage),
            inputs=inputs,
            due=due - self._time_after(stage, wait_share),
            deadline=self._latest_first_byte() - self._time_after(stage),
            result_size=spec.result_size,
            zone=zone,
            move_bytes=move_bytes,
        )

    def _cheapest_zone(self, stage: int, inputs: Sequence[str]) -> tuple[str, int]:
        """Return the zone where a piece moves the fewest bytes, and its bytes in other zones."""
        spec = self._progress.spec(stage)
        if inputs:
            size = sum(
                self._progress.pieces(source) * self._progress.spec(source).result_size
                for source in spec.after
            )
            zones = Counter(self._zone_of(handle) for handle in inputs)
            return zones.most_common(1)[0][0], size
        if stage in self._route.final_stages:
            return self._zone_hint, spec.result_size
        return "", 0

    def _wait_share_until(self, due: timedelta, stage: int, now: timedelta) -> float:
        """Return the share of a full call's time that each stage from ``stage`` on may wait.

        It is the usual share if all stages then end in time. Otherwise the waits are as long as the
        target has room for: with the usual ones, a request with a short target and many stages
        would be late on arrival.
        """
        shortest, usual = self._time_to_end(stage, 0.0), self._time_to_end(stage)
        if usual <= shortest:
            return WAIT_SHARE
        room = (due - now - shortest) / (usual - shortest)
        return WAIT_SHARE * min(1.0, max(0.0, room))

    def _time_to_end(self, stage: int, wait_share: float = WAIT_SHARE) -> timedelta:
        return self._stage_time(stage, wait_share) + self._time_after(stage, wait_share)

    def _time_after(self, stage: int, wait_share: float = WAIT_SHARE) -> timedelta:
        """Return the time from the end of a stage to the first byte of the answer.

        Each stage in between waits for an upstream for ``wait_share`` of a full call's time.
        """
        readers = [
            index
            for index, spec in enumerate(self._route.stages)
            if stage in spec.after and self._progress.pieces(index)
        ]
        if not readers:
            return HOP_TIME + self._idle_prompt_time
        return max(self._time_to_end(index, wait_share) for index in readers)

    def _stage_time(self, stage: int, wait_share: float) -> timedelta:
        service = self._services.get(self._progress.spec(stage).service)
        if service is None or service.batching is None:
            return timedelta(0)
        spec = service.batching
        pieces = min(self._progress.pieces(stage), spec.batch)
        full_call = spec.call_time + spec.batch * spec.item_time
        own_call = spec.call_time + pieces * spec.item_time
        return own_call + wait_share * full_call + HOP_TIME

    def _latest_first_byte(self) -> timedelta:
        """Return when an idle engine has to send the first byte, so that the answer ends in time.

        The stream takes as long as at an idle engine, but at most half of the time until the
        deadline, because callers state the maximum number of tokens and most streams are shorter.
        An engine that is not idle takes longer only if that has been observed.
        """
        times, rest = self._times, self._rest()
        stream = timedelta(seconds=self._output_tokens / OUTPUT_TOKENS_PER_S)
        stream = min(stream, (times.deadline - times.arrived) / 2)
        latest = min(times.deadline - max(stream, rest.stream.time), self.begin_by)
        return latest - max(timedelta(0), rest.first_event.time - self._idle_prompt_time)
