"""Simulates staged requests that are served by stage queues, without network or threads.

The upstreams run one call at a time and keep results in limited space. After its stages, a request
takes a fixed time at an engine. Either one owner holds all queues, or each of several nodes has its
own queues.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.admission.core import Admission
from chervilrack._internal.admission.rules import work_from
from chervilrack._internal.admission.state import Admit, Refuse
from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.batching.core import StageQueue
from chervilrack._internal.batching.plan import RequestTimes, StagePlan
from chervilrack._internal.batching.progress import StageProgress
from chervilrack._internal.batching.settings import BatchingSettings
from chervilrack._internal.batching.state import Deliver, FreeResults, InputsRead, Order, StartCall
from chervilrack._internal.catalogue.state import (
    BatchSpec,
    RequestKind,
    Route,
    ServiceSpec,
    StageSpec,
    UpstreamEntry,
    UpstreamState,
)
from chervilrack._internal.common.ids import NodeId, RequestId, ServiceId, UpstreamId, ZoneId
from chervilrack._internal.forecast.state import Rest
from chervilrack._internal.forwarding.attempts import INPUT_READ_TIME
from chervilrack._internal.forwarding.dialect import PieceFailure

LINK_LATENCY = timedelta(milliseconds=3)
ENGINE_TOKENS_PER_S = 38_400.0
# Log-scale deviation of the time to the first byte at engines with other requests.
ENGINE_TIME_SPREAD = 0.55


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


@dataclass(frozen=True)
class LoadStage:
    """A stage of a kind of request.

    A ``share`` of the requests has the stage. The number of its pieces is lognormal with mean
    ``pieces`` and log-scale deviation ``spread``, up to ``max_pieces``. ``size`` is the number of
    bytes of a result, and ``work`` multiplies the time of a piece.
    """

    service: str
    after: tuple[int, ...]
    size: int
    pieces: float = 1.0
    spread: float = 0.0
    share: float = 1.0
    work: float = 1.0
    max_pieces: int = 25


@dataclass(frozen=True)
class LoadKind:
    """A kind of request with its rate, target and value.

    A request earns ``value`` if it is done within its target, and ``late_value`` if it is late.
    """

    name: str
    requests_per_s: float
    priority: int
    target_ms: float
    deadline_ms: float
    value: float
    late_value: float
    tokens: int
    stages: tuple[LoadStage, ...]
    gap_ms: float = 500
    # Spread of the sizes of generations. The value of a request grows with the size.
    size_spread: float = 0.0


@dataclass(frozen=True)
class Burst:
    """``factor`` times the arrivals of a kind ("" for all) from second ``start`` to ``end``."""

    kind: str
    factor: float
    start: float
    end: float


@dataclass
class _Upstream:
    entry: UpstreamEntry
    spec: BatchSpec
    busy_until: timedelta = timedelta(0)
    kept: dict[str, tuple[int, timedelta]] = field(default_factory=dict)
    outage: tuple[float, float] = (0.0, 0.0)
    call_ends: list[timedelta] = field(default_factory=list)
    silence: tuple[timedelta, timedelta] | None = None

    def finish(self, begin: timedelta, work: timedelta) -> timedelta:
        """Return when the upstream has done ``work`` that it begins at ``begin``."""
        if self.silence is None:
            return begin + work
        start, end = self.silence
        if begin + work <= start or begin >= end:
            return begin + work
        return begin + work + (end - max(begin, start))


@dataclass
class _Request:
    kind: LoadKind
    arrived: timedelta
    id: str
    progress: StageProgress
    plan: StagePlan
    owner: int
    route: Route
    value_factor: float = 1.0
    organisation: str = ""
    orders: list[tuple[str, int]] = field(default_factory=list)
    ended: bool = False


@dataclass
class KindResult:
    """How requests of one kind ended.

    ``arrivals`` and ``arrivals_on_time`` count the requests, and those on time, by the second of
    their arrival.
    """

    requests: int = 0
    on_time: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    arrivals: Counter[int] = field(default_factory=Counter)
    arrivals_on_time: Counter[int] = field(default_factory=Counter)

    @property
    def on_time_share(self) -> float:
        return self.on_time / max(1, self.requests)


@dataclass
class LoadResult:
    """Result of a simulation.

    ``value`` is the value that was earned, ``max_value`` that of all requests within their targets.
    """

    kinds: dict[str, KindResult]
    value: float
    max_value: float
    calls: int = 0
    pieces: int = 0
    unused: int = 0
    no_room: int = 0
    vanished_inputs: int = 0
    vanished_by_stage: dict = field(default_factory=dict)
    refused_calls: int = 0
    timed_out_calls: int = 0
    moved_bytes: int = 0
    # Seconds until the callers of refused requests are told to come back, by the time of refusal.
    retry_times: list[tuple[timedelta, timedelta]] = field(default_factory=list)
    # Requests, and those on time, by organisation.
    organisations: Counter[str] = field(default_factory=Counter)
    organisations_on_time: Counter[str] = field(default_factory=Counter)

    @property
    def value_share(self) -> float:
        return self.value / self.max_value


class StageLoadSimulation:
    """One simulation with a seed."""

    def __init__(
        self,
        kinds: tuple[LoadKind, ...],
        services: dict[str, tuple[BatchSpec, tuple[str, ...]]],
        seed: int,
        settings: BatchingSettings | None = None,
        outages: tuple[tuple[str, int, float, float], ...] = (),
        mean_group: int = 3,
        owners: int = 1,
        failing_piece_share: float = 0.0,
        silences: tuple[tuple[str, int, float, float], ...] = (),
        admission: bool = False,
        organisations: tuple[tuple[str, float], ...] = (("", 1.0),),
        engine_median: timedelta | None = None,
        engine_time_known: bool = False,
    ) -> None:
        # Median time to the first byte of engines with other requests (lognormal), and whether the
        # plans of requests know it. Without one, engines are idle.
        self._engine_median = engine_median
        self._usual_first_byte = timedelta(0)
        if engine_time_known and engine_median is not None:
            self._usual_first_byte = engine_median
        self._engine_rng = random.Random(seed)
        # Organisations with their shares of the requests.
        self._organisations = organisations
        self._organisation_rng = random.Random(seed)
        # Services and numbers of upstreams that fall silent, with the start and end in seconds.
        self._silences = {
            (service, number): (timedelta(seconds=start), timedelta(seconds=end))
            for service, number, start, end in silences
        }
        # Requests arrive in groups of this mean size.
        self._mean_group = mean_group
        # Share of the pieces that fail at random, half of them as if there were no room.
        self._failing_piece_share = failing_piece_share
        self._failure_rng = random.Random(seed)
        self._value_rng = random.Random(seed)
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._specs = {
            ServiceId(name): ServiceSpec(ServiceId(name), batching=spec)
            for name, (spec, _) in services.items()
        }
        self._now = timedelta(0)
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._numbers = itertools.count(1)
        self._upstreams: dict[str, _Upstream] = {}
        self._zones = sorted({zone for _, zones in services.values() for zone in zones})
        self._queues: dict[tuple[int, str], StageQueue] = {}
        calls = itertools.count(1)
        for name, (spec, zones) in services.items():
            entries = []
            for index, zone in enumerate(zones):
                entry = UpstreamEntry(
                    UpstreamId(f"{name}-{index}"),
                    ServiceId(name),
                    f"10.0.{len(self._upstreams)}.1:80",
                    ZoneId(zone),
                    UpstreamState.READY,
                )
                entries.append(entry)
                upstream = _Upstream(entry, spec)
                upstream.silence = self._silences.get((name, index))
                for service, number, start, end in outages:
                    if (service, number) == (name, index):
                        upstream.outage = (start, end)
                self._upstreams[entry.address] = upstream
            for owner in range(owners):
                balancer = Balancer(ZoneId("z1"), random.Random(seed + owner))
                queue = StageQueue(ServiceId(name), balancer, settings, calls)
                queue.configure(spec, entries)
                self._queues[(owner, name)] = queue
        self._admission = Admission() if admission else None
        self._admission_tick: timedelta | None = None
        if self._admission is not None:
            self._admission.configure(
                {
                    ServiceId(name): len(zones) * spec.batch / _full_call(spec)
                    for name, (spec, zones) in services.items()
                }
            )
        self._owners = owners
        self._requests: dict[int, _Request] = {}
        self._orders: dict[int, tuple[_Request, int]] = {}
        self._ticks: dict[int, timedelta] = {}
        self.result = LoadResult({kind.name: KindResult() for kind in kinds}, 0.0, 0.0)

    def run(self, seconds: float, bursts: tuple[Burst, ...] = ()) -> LoadResult:
        """Simulate arrivals for some seconds, and run until all requests have ended."""
        for kind in self._kinds:
            for time in self._arrivals(kind, seconds, bursts):
                self._schedule(timedelta(seconds=time), lambda kind=kind: self._arrive(kind))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _arrivals(self, kind: LoadKind, seconds: float, bursts: tuple[Burst, ...]) -> list[float]:
        times = []
        time = 0.0
        while True:
            factor = math.prod(
                b.factor for b in bursts if b.kind in ("", kind.name) and b.start <= time < b.end
            )
            time += self._rng.expovariate(kind.requests_per_s * factor / self._mean_group)
            if time >= seconds:
                return times
            times += [time] * self._rng.randint(1, 2 * self._mean_group - 1)

    def _schedule(self, at: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(at, self._now), next(self._sequence), action))

    def _draw_piece_count(self, stage: LoadStage) -> int:
        if self._rng.random() >= stage.share:
            return 0
        if stage.spread == 0.0:
            return round(stage.pieces)
        mu = math.log(stage.pieces) - stage.spread**2 / 2
        return max(1, min(stage.max_pieces, round(self._rng.lognormvariate(mu, stage.spread))))

    def _draw_engine_time(self, kind: LoadKind) -> timedelta:
        if self._engine_median is None:
            return ms(25) + timedelta(seconds=kind.tokens / ENGINE_TOKENS_PER_S)
        return self._engine_median * self._engine_rng.lognormvariate(0, ENGINE_TIME_SPREAD)

    def _draw_value_factor(self, spread: float) -> float:
        """Return the value of a request relative to the mean of its kind."""
        size = self._value_rng.lognormvariate(-(spread**2) / 2, spread)
        return min(4.0, 0.3 + 0.7 * size)

    def _arrive(self, kind: LoadKind) -> None:
        number = next(self._numbers)
        route = Route(
            name=kind.name,
            host="",
            path_prefix="/",
            kind=RequestKind.STREAM,
            timeout=ms(kind.deadline_ms),
            target_latency=ms(kind.target_ms),
            split=((ServiceId("engine"), 1.0),),
            stages=tuple(
                StageSpec(ServiceId(stage.service), stage.after, stage.size)
                for stage in kind.stages
            ),
        )
        progress = StageProgress(route, [self._draw_piece_count(stage) for stage in kind.stages])
        now = self._now
        patience = min(kind.deadline_ms, max(2000, 4 * kind.target_ms, 8 * kind.gap_ms))
        times = RequestTimes(
            now, now + ms(kind.target_ms), now + ms(patience), now + ms(kind.deadline_ms)
        )
        plan = StagePlan(
            route,
            progress,
            self._specs,
            times,
            (kind.tokens, 60),
            Rest,
            self._rng.choice(self._zones),
            lambda handle: self._upstreams[handle.split("/")[0]].entry.zone,
            lambda: self._usual_first_byte,
        )
        owner = self._rng.randrange(self._owners)
        value_factor = self._draw_value_factor(kind.size_spread)
        names, weights = zip(*self._organisations, strict=True)
        (organisation,) = self._organisation_rng.choices(names, weights)
        self.result.organisations[organisation] += 1
        request = _Request(
            kind, now, f"r{number}", progress, plan, owner, route, value_factor, organisation
        )
        self._requests[number] = request
        self.result.kinds[kind.name].requests += 1
        self.result.kinds[kind.name].arrivals[int(now.total_seconds())] += 1
        self.result.max_value += kind.value * value_factor
        self._schedule(times.begin_by, lambda: self._end(request, failed=True))
        self._advance(request)

    def _advance(self, request: _Request) -> None:
        if request.progress.done:
            engine_time = self._draw_engine_time(request.kind)
            self._schedule(self._now + engine_time, lambda: self._end(request, failed=False))
            self._schedule(self._now + INPUT_READ_TIME, lambda: self._mark_final_evictable(request))
            return
        for planned in request.plan.take_ready(self._now):
            number = next(self._numbers)
            self._orders[number] = (request, planned.stage)
            request.orders.append((planned.service, number))
            order = Order(
                id=(NodeId("n"), number),
                service=planned.service,
                request_id=RequestId(request.id),
                stage=planned.stage,
                key="k",
                inputs=planned.inputs,
                due=planned.due,
                deadline=planned.deadline,
                result_size=planned.result_size,
                queued_at=self._now,
                zone=planned.zone,
                move_bytes=planned.move_bytes,
                priority=request.kind.priority,
                pending_segments=set(planned.segments),
            )
            self._schedule(
                self._now + LINK_LATENCY,
                lambda request=request, order=order: self._submit(request, order),
            )

    def _submit(self, request: _Request, order: Order) -> None:
        if self._admission is None or order.inputs:
            queue = self._queues[(request.owner, order.service)]
            self._perform(queue, queue.submit(order, self._now))
            return
        counts = [request.progress.pieces(n) for n in range(len(request.kind.stages))]
        work = work_from(request.route, order.stage, counts)
        spec = self._specs[order.service].batching
        own_time = spec.call_time + len(order.pending_segments) * spec.item_time
        effects = self._admission.submit(order, request.organisation, work, self._now, own_time)
        self._perform_admission(effects)

    def _perform_admission(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case Admit(order):
                    queue = self._queues[(0, order.service)]
                    self._perform(queue, queue.submit(order, self._now))
                case Refuse(order, retry_after):
                    request, _ = self._orders[order.id[1]]
                    self.result.kinds[request.kind.name].refused += not request.ended
                    self.result.retry_times.append((self._now, retry_after))
                    self._end(request, failed=True)
        at = self._admission.next_time(self._now)
        if at is not None and self._admission_tick is None:
            self._admission_tick = at
            self._schedule(at, self._tick_admission)

    def _tick_admission(self) -> None:
        self._admission_tick = None
        self._perform_admission(self._admission.tick(self._now))

    def _mark_final_evictable(self, request: _Request) -> None:
        if not request.ended:
            request.progress.record_final_results_read()
            self._mark_evictable(request)

    def _mark_evictable(self, request: _Request) -> None:
        for source, handles in request.progress.take_evictable():
            self._release(request, source, handles, evictable=True)

    def _perform(self, queue: StageQueue, effects: list) -> None:
        for effect in effects:
            match effect:
                case StartCall():
                    self._schedule(self._now + LINK_LATENCY, lambda e=effect: self._call(queue, e))
                case Deliver((_, number), results):
                    self._schedule(
                        self._now + LINK_LATENCY,
                        lambda number=number, results=results: self._receive(number, results),
                    )
                case InputsRead((_, number)):
                    self._schedule(
                        self._now + LINK_LATENCY,
                        lambda number=number: self._record_inputs_read(number),
                    )
                case FreeResults(address, handles):
                    self._schedule(
                        self._now + 2 * LINK_LATENCY,
                        lambda address=address, handles=handles: self._free(
                            queue, address, handles
                        ),
                    )
        self._schedule_tick(queue)

    def _schedule_tick(self, queue: StageQueue) -> None:
        at = queue.next_time(self._now)
        planned_at = self._ticks.get(id(queue))
        if at is None or (planned_at is not None and self._now < planned_at <= at):
            return
        at = max(at, self._now + ms(4))
        self._ticks[id(queue)] = at
        self._schedule(at, lambda: self._tick(queue))

    def _tick(self, queue: StageQueue) -> None:
        self._perform(queue, queue.tick(self._now))

    def _call(self, queue: StageQueue, call: StartCall) -> None:
        queue.call_sent(call.call_id, self._now)
        upstream = self._upstreams[call.address]
        start, end = upstream.outage
        if start <= self._now.total_seconds() < end:
            self._perform(queue, queue.call_failed(call.call_id, "down", self._now, True, True))
            return
        upstream.call_ends = [end for end in upstream.call_ends if end > self._now]
        if len(upstream.call_ends) > upstream.spec.queue:
            self.result.refused_calls += 1
            self._perform(queue, queue.call_failed(call.call_id, "full", self._now, False, True))
            return
        self.result.calls += 1
        self.result.pieces += len(call.pieces)
        begin = max(self._now, upstream.busy_until)
        for piece in call.pieces if self._silences else ():
            for source in piece.order.inputs:
                begin = self._upstreams[source.split("/")[0]].finish(begin, timedelta(0))
        self._drop_expired(upstream, begin)
        free_bytes = upstream.spec.result_space - sum(size for size, _ in upstream.kept.values())
        results: list[str | PieceFailure] = []
        duration = upstream.spec.call_time
        for piece in call.pieces:
            request, stage = self._orders[piece.order.id[1]]
            load_stage = request.kind.stages[stage]
            input_vanished = any(
                handle not in self._upstreams[handle.split("/")[0]].kept
                for handle in piece.order.inputs
            )
            if input_vanished:
                self.result.vanished_inputs += 1
                self.result.vanished_by_stage[stage] = (
                    self.result.vanished_by_stage.get(stage, 0) + 1
                )
                results.append(PieceFailure.INPUT_GONE)
                continue
            if self._failure_rng.random() < self._failing_piece_share:
                failure = self._failure_rng.choice((PieceFailure.NO_ROOM, PieceFailure.ERROR))
                results.append(failure)
                continue
            if load_stage.size > free_bytes:
                self.result.no_room += 1
                results.append(PieceFailure.NO_ROOM)
                continue
            free_bytes -= load_stage.size
            duration += load_stage.work * upstream.spec.item_time
            handle = f"{call.address}/{next(self._numbers)}"
            upstream.kept[handle] = (load_stage.size, timedelta.max)
            results.append(handle)
            for source in piece.order.inputs:
                if self._upstreams[source.split("/")[0]].entry.zone != upstream.entry.zone:
                    self.result.moved_bytes += self._upstreams[source.split("/")[0]].kept[source][0]
        ended = upstream.finish(begin, duration)
        upstream.busy_until = ended
        upstream.call_ends.append(ended)
        for handle in results:
            if isinstance(handle, str):
                size, _ = upstream.kept[handle]
                upstream.kept[handle] = (size, ended + upstream.spec.result_lifetime)
        self._schedule(
            ended + LINK_LATENCY,
            lambda: self._perform(queue, queue.call_ended(call.call_id, results, self._now)),
        )
        self._schedule(
            call.started + call.timeout,
            lambda: self._perform(queue, self._time_out(queue, call)),
        )

    def _drop_expired(self, upstream: _Upstream, now: timedelta) -> None:
        upstream.kept = {h: kept for h, kept in upstream.kept.items() if kept[1] > now}

    def _time_out(self, queue: StageQueue, call: StartCall) -> list:
        effects = queue.call_failed(call.call_id, "silent", self._now, False, False, silent=True)
        self.result.timed_out_calls += bool(effects)
        return effects

    def _free(self, queue: StageQueue, address: str, handles: tuple[str, ...]) -> None:
        answers_at = self._upstreams[address].finish(self._now, timedelta(0))
        if answers_at > self._now:
            self._schedule(answers_at, lambda: self._free(queue, address, handles))
            return
        for handle in handles:
            self._upstreams[address].kept.pop(handle, None)
        self._perform(queue, queue.freed(address, handles, self._now))

    def _receive(self, number: int, results: tuple[tuple[int, str | PieceFailure], ...]) -> None:
        request, stage = self._orders[number]
        for segment, result in results:
            if isinstance(result, PieceFailure):
                if not request.ended and result is PieceFailure.INPUT_GONE:
                    for source, handles in request.progress.restart_inputs(stage):
                        self._release(request, source, handles)
                else:
                    self._end(request, failed=True)
            elif request.ended or not request.progress.record_result(stage, segment, result):
                self.result.unused += 1
                self._release(request, stage, [result])
        if not request.ended:
            self._mark_evictable(request)
            self._advance(request)

    def _record_inputs_read(self, number: int) -> None:
        request, stage = self._orders[number]
        if not request.ended:
            request.progress.record_inputs_read(stage)
            self._mark_evictable(request)

    def _release(
        self, request: _Request, stage: int, handles: list[str], *, evictable: bool = False
    ) -> None:
        queue = self._queues[(request.owner, request.progress.spec(stage).service)]
        pairs = [(handle.split("/")[0], handle) for handle in handles]
        self._perform(queue, queue.release(pairs, self._now, evictable=evictable))

    def _end(self, request: _Request, *, failed: bool) -> None:
        if request.ended:
            return
        request.ended = True
        result = self.result.kinds[request.kind.name]
        latency = self._now - request.arrived
        if failed:
            result.failed += 1
        elif latency <= ms(request.kind.target_ms):
            result.on_time += 1
            result.arrivals_on_time[int(request.arrived.total_seconds())] += 1
            self.result.organisations_on_time[request.organisation] += 1
            self.result.value += request.kind.value * request.value_factor
        else:
            result.late += 1
            self.result.value += request.kind.late_value * request.value_factor
        for service, number in request.orders:
            if self._admission is not None:
                self._admission.drop((NodeId("n"), number))
            self._queues[(request.owner, service)].drop((NodeId("n"), number))
        for stage in range(len(request.kind.stages)):
            handles = request.progress.take_handles(stage)
            if handles:
                if failed:
                    self.result.unused += len(handles)
                self._release(request, stage, handles)


def _full_call(spec: BatchSpec) -> float:
    """Return the seconds that a full call takes."""
    return (spec.call_time + spec.batch * spec.item_time).total_seconds()
