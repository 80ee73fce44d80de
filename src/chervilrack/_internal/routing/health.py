"""Health of upstreams as observed by this node: outlier ejection, probation and slow start."""

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
    """State of an upstream.

    An ejected upstream gets no work while enough others are usable. After its ejection time it is
    on probation and gets one request at a time, until enough of them succeed or one fails.
    """

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(slots=True)
class UpstreamHealth:
    """Health of one upstream.

    ``ejected_at`` and ``ejected_until`` are the start and end of the last ejection.
    ``slow_start_began_at`` is set during slow start. ``probes_in_flight`` counts attempts started
    on probation. ``stages`` are the stages for which an attempt at the upstream has ended.
    """

    state: HealthState = HealthState.HEALTHY
    consecutive_failures: int = 0
    successes: int = 0
    ejections: int = 0
    ejected_at: timedelta = _ZERO
    ejected_until: timedelta = _ZERO
    slow_start_began_at: timedelta | None = None
    probes_in_flight: int = 0
    stages: set[StageId] = field(default_factory=set)


class HealthTable:
    """Health of all upstreams. At most half of the candidates of a stage are ejected."""

    def __init__(self, settings: RouterSettings, times: ServiceTimes) -> None:
        self._settings = settings
        self._times = times
        self._health: dict[UpstreamId, UpstreamHealth] = {}
        self._max_candidates: dict[StageId, int] = {}
        self._impaired: set[UpstreamId] = set()
        self._actions: list[ActionTaken] = []

    @property
    def impaired(self) -> set[UpstreamId]:
        """Upstreams that are ejected or on probation."""
        return self._impaired

    def drain_actions(self) -> list[ActionTaken]:
        """Return and clear the automatic actions since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def get(self, upstream: UpstreamId) -> UpstreamHealth:
        """Return the health of an upstream, which is added if it is new."""
        health = self._health.get(upstream)
        if health is None:
            health = self._health[upstream] = UpstreamHealth()
        return health

    def max_candidates(self, stage: StageId) -> int | None:
        """Return the largest number of candidates the stage has had, or None for a new stage."""
        return self._max_candidates.get(stage)

    def record_candidate_count(self, stage: StageId, size: int) -> None:
        """Record the current number of candidates of a stage."""
        if size > self._max_candidates.get(stage, 0):
            self._max_candidates[stage] = size

    def register(
        self, upstream: UpstreamId, now: timedelta, with_slow_start: bool
    ) -> UpstreamHealth:
        """Add a new upstream; ``with_slow_start`` starts its slow start at ``now``."""
        health = self._health[upstream] = UpstreamHealth(
            slow_start_began_at=now if with_slow_start else None
        )
        return health

    def find(self, upstream: UpstreamId) -> UpstreamHealth | None:
        """Return the health of an upstream, or None if it was not added yet."""
        return self._health.get(upstream)

    def update_state(self, upstream: UpstreamId, now: timedelta) -> HealthState:
        """Return the state at ``now``; an ejection that has ended becomes probation."""
        health = self._health.get(upstream)
        if health is None:
            return HealthState.HEALTHY
        if health.state is HealthState.EJECTED and now >= health.ejected_until:
            health.state = HealthState.PROBATION
            health.successes = 0
            health.consecutive_failures = 0
            health.probes_in_flight = 0
            self._times.forget(upstream)
            self._record_action("probation", upstream, "ejection time is over")
        return health.state

    def slow_start_weight(self, upstream: UpstreamId, now: timedelta) -> float:
        """Return the share of its normal load that an upstream gets at ``now``.

        The value is below 1 only during slow start.
        """
        health = self._health.get(upstream)
        if health is None or health.slow_start_began_at is None:
            return 1.0
        progress = (now - health.slow_start_began_at) / self._settings.slow_start
        if progress >= 1.0:
            health.slow_start_began_at = None
            self._record_action("slow start end", upstream, "gets its full share")
            return 1.0
        return max(self._settings.min_slow_start_weight, progress)

    def record_result(
        self, upstream: UpstreamId, stage: StageId, succeeded: bool, now: timedelta
    ) -> None:
        """Record the result of an attempt and update the upstream's state."""
        health = self.get(upstream)
        health.stages.add(stage)
        if not succeeded:
            health.consecutive_failures += 1
            if health.state is HealthState.PROBATION:
                self._eject(upstream, health, now, "failed on probation")
            elif health.consecutive_failures >= self._settings.eject_failures:
                self._eject(
                    upstream, health, now, f"{health.consecutive_failures} failures in a row"
                )
            return
        health.consecutive_failures = 0
        if health.state is HealthState.PROBATION:
            health.successes += 1
            if health.successes >= self._settings.probation_successes:
                health.state = HealthState.HEALTHY
                health.slow_start_began_at = now
                self._impaired.discard(upstream)
                self._record_action(
                    "return", upstream, f"{health.successes} successes on probation"
                )
        elif health.state is HealthState.HEALTHY:
            self._eject_if_slow(upstream, stage, health, now)

    def _eject_if_slow(
        self, upstream: UpstreamId, stage: StageId, health: UpstreamHealth, now: timedelta
    ) -> None:
        """Eject an upstream whose service time is an outlier among its stage's upstreams."""
        min_samples = self._settings.outlier_samples
        ratio = self._settings.outlier_ratio
        upstream_factor = self._times.factor(stage, upstream)
        # A typical upstream has a factor of about 1. The test against half the ratio avoids
        # computing the median for upstreams that cannot be outliers.
        if upstream_factor < ratio / 2 or self._times.samples(stage, upstream) < min_samples:
            return
        factors = self._times.factors(stage, min_samples)
        if len(factors) < 3:
            return
        median_factor = median(factors)
        if upstream_factor > ratio * median_factor:
            self._eject(
                upstream,
                health,
                now,
                f"{upstream_factor / median_factor:.1f} times its peers' service time",
            )

    def _eject(
        self, upstream: UpstreamId, health: UpstreamHealth, now: timedelta, reason: str
    ) -> None:
        if health.state is HealthState.EJECTED:
            return
        if health.state is HealthState.HEALTHY and not self._may_eject(health):
            return
        settings = self._settings
        if now - health.ejected_at > settings.ejection_count_reset_time:
            health.ejections = 0
        health.ejections += 1
        duration = min(
            settings.eject_time * 2 ** min(health.ejections - 1, 16), settings.max_eject_time
        )
        health.state = HealthState.EJECTED
        health.ejected_at = now
        health.ejected_until = now + duration
        self._impaired.add(upstream)
        self._record_action("eject", upstream, f"{reason}; for {duration.total_seconds():.0f} s")

    def _may_eject(self, health: UpstreamHealth) -> bool:
        """Return whether at least half of the candidates of each stage stay usable."""
        for stage in health.stages:
            impaired_count = sum(1 for name in self._impaired if stage in self._health[name].stages)
            if impaired_count + 1 > self._max_candidates.get(stage, 0) // 2:
                return False
        return True

    def _record_action(self, action: str, upstream: UpstreamId, reason: str) -> None:
        self._actions.append(ActionTaken("routing", action, upstream, reason))
