"""Health of upstreams as seen by this node: ejection, probation and slow start."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from statistics import median

from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import StageId, UpstreamId
from chervilrack._internal.routing.settings import RouterSettings
from chervilrack._internal.routing.times import ServiceTimes

_ZERO = timedelta(0)


class HealthState(Enum):
    """States of an upstream's health."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(slots=True)
class UpstreamHealth:
    """Health of one upstream."""

    state: HealthState = HealthState.HEALTHY
    failures: int = 0
    successes: int = 0
    ejections: int = 0
    ejected_at: timedelta = _ZERO
    until: timedelta = _ZERO
    ramp_from: timedelta | None = None
    probes: int = 0
    stages: set[StageId] = field(default_factory=set)


class HealthTable:
    """Health of all upstreams. At most half of the candidates of a stage are ejected."""

    def __init__(self, settings: RouterSettings, times: ServiceTimes) -> None:
        self._settings = settings
        self._times = times
        self._health: dict[UpstreamId, UpstreamHealth] = {}
        self._sizes: dict[StageId, int] = {}
        self._out: set[UpstreamId] = set()
        self._actions: list[ActionTaken] = []

    @property
    def impaired(self) -> set[UpstreamId]:
        """Upstreams that are ejected or on probation."""
        return self._out

    def drain_actions(self) -> list[ActionTaken]:
        """Return the automatic actions since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def get(self, upstream: UpstreamId) -> UpstreamHealth:
        """Return the health of one upstream."""
        health = self._health.get(upstream)
        if health is None:
            health = self._health[upstream] = UpstreamHealth()
        return health

    def size(self, stage: StageId) -> int | None:
        """Return the number of candidates that the stage has had at most, None at first."""
        return self._sizes.get(stage)

    def note_stage(self, stage: StageId, size: int) -> None:
        """Record the number of candidates of a stage."""
        if size > self._sizes.get(stage, 0):
            self._sizes[stage] = size

    def introduce(self, upstream: UpstreamId, now: timedelta, slowly: bool) -> UpstreamHealth:
        """Add an upstream that was not known, with slow start if its peers run already."""
        health = self._health[upstream] = UpstreamHealth(ramp_from=now if slowly else None)
        return health

    def known(self, upstream: UpstreamId) -> UpstreamHealth | None:
        """Return the health of an upstream if it was introduced."""
        return self._health.get(upstream)

    def refresh(self, upstream: UpstreamId, now: timedelta) -> HealthState:
        """Return the state, after an ejection that is over turned into probation."""
        health = self._health.get(upstream)
        if health is None:
            return HealthState.HEALTHY
        if health.state is HealthState.EJECTED and now >= health.until:
            health.state = HealthState.PROBATION
            health.successes = 0
            health.failures = 0
            health.probes = 0
            self._times.forget(upstream)
            self._act("probation", upstream, "ejection time is over")
        return health.state

    def share(self, upstream: UpstreamId, now: timedelta) -> float:
        """Return the part of its usual share that an upstream gets in slow start; 1 after it."""
        health = self._health.get(upstream)
        if health is None or health.ramp_from is None:
            return 1.0
        passed = (now - health.ramp_from) / self._settings.slow_start
        if passed >= 1.0:
            health.ramp_from = None
            self._act("slow start end", upstream, "gets its full share")
            return 1.0
        return max(self._settings.slow_start_share, passed)

    def finished(
        self, upstream: UpstreamId, stage: StageId, succeeded: bool, now: timedelta
    ) -> None:
        """Record the end of an attempt."""
        health = self.get(upstream)
        health.stages.add(stage)
        if not succeeded:
            health.failures += 1
            if health.state is HealthState.PROBATION:
                self._eject(upstream, health, now, "failed on probation")
            elif health.failures >= self._settings.eject_failures:
                self._eject(upstream, health, now, f"{health.failures} failures in a row")
            return
        health.failures = 0
        if health.state is HealthState.PROBATION:
            health.successes += 1
            if health.successes >= self._settings.probation_successes:
                health.state = HealthState.HEALTHY
                health.ramp_from = now
                self._out.discard(upstream)
                self._act("return", upstream, f"{health.successes} successes on probation")
        elif health.state is HealthState.HEALTHY:
            self._check_latency(upstream, stage, health, now)

    def _check_latency(
        self, upstream: UpstreamId, stage: StageId, health: UpstreamHealth, now: timedelta
    ) -> None:
        enough = self._settings.outlier_samples
        ratio = self._settings.outlier_ratio
        own = self._times.factor(stage, upstream)
        # The factor of a typical upstream is about 1; the median is computed only for suspects.
        if own < ratio / 2 or self._times.samples(stage, upstream) < enough:
            return
        factors = self._times.factors(stage, enough)
        if len(factors) < 3:
            return
        usual = median(factors)
        if own > ratio * usual:
            self._eject(upstream, health, now, f"{own / usual:.1f} times its peers' service time")

    def _eject(
        self, upstream: UpstreamId, health: UpstreamHealth, now: timedelta, reason: str
    ) -> None:
        if health.state is HealthState.EJECTED:
            return
        if health.state is HealthState.HEALTHY and not self._may_eject(health):
            return
        settings = self._settings
        if now - health.ejected_at > settings.eject_forgiven:
            health.ejections = 0
        health.ejections += 1
        duration = min(
            settings.eject_time * 2 ** min(health.ejections - 1, 16), settings.eject_time_longest
        )
        health.state = HealthState.EJECTED
        health.ejected_at = now
        health.until = now + duration
        self._out.add(upstream)
        self._act("eject", upstream, f"{reason}; for {duration.total_seconds():.0f} s")

    def _may_eject(self, health: UpstreamHealth) -> bool:
        """Tell whether half of each stage's candidates remain."""
        for stage in health.stages:
            out = sum(1 for name in self._out if stage in self._health[name].stages)
            if out + 1 > self._sizes.get(stage, 0) // 2:
                return False
        return True

    def _act(self, action: str, upstream: UpstreamId, reason: str) -> None:
        self._actions.append(ActionTaken("routing", action, upstream, reason))
