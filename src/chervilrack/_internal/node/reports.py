"""Polls upstreams for load reports and cache events at a bounded rate, for the router."""

import random
import threading
from collections.abc import Callable, Sequence
from datetime import timedelta

from result import Err

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.releases.state import Configuration, Upstream, UpstreamKind
from chervilrack._internal.routing.affinity import CacheEvent
from chervilrack._internal.routing.tracking import TrackingRouter
from chervilrack._internal.upstreams.commands import CacheEvent as EngineEvent
from chervilrack._internal.upstreams.commands import UpstreamCommands

# Each poll makes up to two calls. At a higher rate, 390 nodes would flood 3,600 upstreams, and each
# poll costs about 0.1 % of a core.
POLLS_PER_S = 2
# Age of a report if the upstream does not state one: the usual mean delay of reports.
ASSUMED_AGE = timedelta(milliseconds=500)


class UpstreamReportPoller:
    """Polls one upstream per call of ``poll_next``, in rounds of shuffled order."""

    def __init__(
        self,
        commands: UpstreamCommands,
        router: TrackingRouter,
        configuration: Callable[[], Configuration],
        lock: threading.RLock,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._commands = commands
        self._router = router
        self._configuration = configuration
        self._lock = lock
        self._clock = clock
        self._rng = rng
        self._remaining_in_round: list[Upstream] = []
        self._last_sequences: dict[UpstreamId, int] = {}

    def poll_next(self) -> None:
        """Read the load report and the cache events of the next upstream."""
        upstream = self._next_upstream()
        if upstream is None:
            return
        if upstream.reports_load:
            self._read_load(upstream)
        if upstream.kind is UpstreamKind.ENGINE:
            self._read_cache_events(upstream)

    def _next_upstream(self) -> Upstream | None:
        upstreams = self._configuration().upstreams
        if not self._remaining_in_round:
            self._remaining_in_round = [
                entry for entry in upstreams.values() if _has_reports(entry)
            ]
            self._rng.shuffle(self._remaining_in_round)
        while self._remaining_in_round:
            candidate = self._remaining_in_round.pop()
            if upstreams.get(candidate.id) is candidate:
                return candidate
        return None

    def _read_load(self, upstream: Upstream) -> None:
        report = self._commands.load(upstream.url)
        if isinstance(report, Err):
            return
        load_values = report.ok_value
        load = load_values.get("running", 0.0) + load_values.get("waiting", 0.0)
        age = timedelta(seconds=load_values["age_s"]) if "age_s" in load_values else ASSUMED_AGE
        with self._lock:
            self._router.report_load(upstream.id, load, age, self._clock.monotonic())

    def _read_cache_events(self, upstream: Upstream) -> None:
        last_sequence = self._last_sequences.get(upstream.id, 0)
        answer = self._commands.cache_events(upstream.url, last_sequence)
        if isinstance(answer, Err) or not answer.ok_value:
            return
        events = answer.ok_value
        self._last_sequences[upstream.id] = max(event.sequence for event in events)
        with self._lock:
            now = self._clock.monotonic()
            for event in _convert_events(events):
                self._router.cache_event(upstream.id, event, now)


def _has_reports(upstream: Upstream) -> bool:
    return upstream.reports_load or upstream.kind is UpstreamKind.ENGINE


def _convert_events(events: Sequence[EngineEvent]) -> list[CacheEvent]:
    return [
        CacheEvent(
            sequence=event.sequence,
            stored=(event.prefix_hash,) if event.stored else (),
            evicted=() if event.stored else (event.prefix_hash,),
            age=ASSUMED_AGE,
        )
        for event in events
    ]
