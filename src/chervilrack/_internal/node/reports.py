"""Reads load reports and cache events of upstreams at a bounded rate and tells the router."""

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

# Up to two calls in each step. 390 nodes would otherwise flood 3,600 upstreams, and each step
# costs about 0.1 % of a core.
STEPS_PER_S = 2
# Age of a report whose upstream does not state one: the mean of the reports' usual lag.
ASSUMED_AGE = timedelta(milliseconds=500)


class UpstreamReports:
    """Polls one upstream per step in a shuffled order; ``step`` runs on a periodic thread."""

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
        self._round: list[Upstream] = []
        self._events_read: dict[UpstreamId, int] = {}

    def step(self) -> None:
        """Read the reports of the next upstream."""
        upstream = self._next()
        if upstream is None:
            return
        if upstream.reports_load:
            self._read_load(upstream)
        if upstream.kind is UpstreamKind.ENGINE:
            self._read_cache_events(upstream)

    def _next(self) -> Upstream | None:
        upstreams = self._configuration().upstreams
        if not self._round:
            self._round = [entry for entry in upstreams.values() if _has_reports(entry)]
            self._rng.shuffle(self._round)
        while self._round:
            candidate = self._round.pop()
            if upstreams.get(candidate.id) is candidate:
                return candidate
        return None

    def _read_load(self, upstream: Upstream) -> None:
        report = self._commands.load(upstream.url)
        if isinstance(report, Err):
            return
        values = report.ok_value
        load = values.get("running", 0.0) + values.get("waiting", 0.0)
        age = timedelta(seconds=values["age_s"]) if "age_s" in values else ASSUMED_AGE
        with self._lock:
            self._router.report_load(upstream.id, load, age, self._clock.monotonic())

    def _read_cache_events(self, upstream: Upstream) -> None:
        after = self._events_read.get(upstream.id, 0)
        answer = self._commands.cache_events(upstream.url, after)
        if isinstance(answer, Err) or not answer.ok_value:
            return
        events = answer.ok_value
        self._events_read[upstream.id] = max(event.sequence for event in events)
        with self._lock:
            now = self._clock.monotonic()
            for event in _translate(events):
                self._router.cache_event(upstream.id, event, now)


def _has_reports(upstream: Upstream) -> bool:
    return upstream.reports_load or upstream.kind is UpstreamKind.ENGINE


def _translate(events: Sequence[EngineEvent]) -> list[CacheEvent]:
    return [
        CacheEvent(
            sequence=event.sequence,
            stored=(event.prefix_hash,) if event.stored else (),
            evicted=() if event.stored else (event.prefix_hash,),
            age=ASSUMED_AGE,
        )
        for event in events
    ]
