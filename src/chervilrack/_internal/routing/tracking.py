"""Base class of the routing policies: attempts in flight and learned service times."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import AttemptId, UpstreamId, ZoneId
from chervilrack._internal.releases.state import Upstream
from chervilrack._internal.routing.affinity import CacheEvent
from chervilrack._internal.routing.load import LoadTable
from chervilrack._internal.routing.port import Estimate, RouteContext, RouteDecision
from chervilrack._internal.routing.settings import RouterSettings
from chervilrack._internal.routing.times import ServiceTimes, work_size

# Approximate number of candidates whose service times make up the estimate of a stage.
STAGE_ESTIMATE_SAMPLE_SIZE = 16


@dataclass(frozen=True, slots=True)
class Attempt:
    """Attempt in flight; ``probe`` is set if it started while the upstream was on probation."""

    upstream: UpstreamId
    context: RouteContext
    started_at: timedelta
    probe: bool = False


class TrackingRouter(ABC):
    """Counts attempts in flight and learns service times for a routing policy.

    ``zone`` is the node's availability zone. One instance serves all stages.
    """

    def __init__(
        self, rng: random.Random, zone: ZoneId, settings: RouterSettings | None = None
    ) -> None:
        self._rng = rng
        self._zone = zone
        self._settings = settings or RouterSettings()
        self._times = ServiceTimes(self._settings)
        self._loads = LoadTable(self._settings)
        self._attempts: dict[AttemptId, Attempt] = {}

    @abstractmethod
    def choose(
        self, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> RouteDecision | None:
        """Choose among candidates that have permits; return None if none is usable."""

    def attempt_started(
        self, attempt: AttemptId, upstream: UpstreamId, context: RouteContext, now: timedelta
    ) -> None:
        """Count an attempt as in flight. A repeated call for the same attempt is ignored."""
        if attempt not in self._attempts:
            self._attempts[attempt] = self._new_attempt(upstream, context, now)
            self._loads.get(upstream).adjust_in_flight(1, now)

    def attempt_finished(
        self, attempt: AttemptId, succeeded: bool | None, service_time: timedelta, now: timedelta
    ) -> None:
        """Record the end of an attempt; unknown attempts are ignored."""
        record = self._attempts.pop(attempt, None)
        if record is None:
            return
        self._loads.get(record.upstream).adjust_in_flight(-1, now)
        self._times.set_time(now)
        if succeeded:
            self._times.observe(
                record.context.stage, record.upstream, work_size(record.context), service_time
            )
        self._after_attempt(record, succeeded, now)

    def estimate(self, upstream: UpstreamId, context: RouteContext) -> Estimate:
        """Return the expected service time of the work at an upstream."""
        return self._times.estimate(context.stage, upstream, work_size(context))

    def stage_estimate(self, candidates: Sequence[Upstream], context: RouteContext) -> Estimate:
        """Return the expected service time over the usable candidates of a stage.

        If there are many candidates, the estimate uses an evenly spaced sample of them.
        """
        step = max(1, len(candidates) // STAGE_ESTIMATE_SAMPLE_SIZE)
        usable = [c.id for c in candidates[::step] if self._usable(c.id, context)]
        mean, spread = self._times.expected(context.stage, work_size(context))
        if usable:
            factors = [self._times.factor(context.stage, name) for name in usable]
            mean_factor = sum(factors) / len(factors)
            factor_variance = sum((factor - mean_factor) ** 2 for factor in factors) / len(factors)
            spread = ((spread * mean_factor) ** 2 + factor_variance * mean**2) ** 0.5
            mean *= mean_factor
        return Estimate(timedelta(seconds=mean), timedelta(seconds=spread))

    def report_load(
        self, upstream: UpstreamId, load: float, age: timedelta, now: timedelta
    ) -> None:
        """Record how many attempts of all nodes ran or waited at an upstream ``age`` ago."""
        self._loads.report(upstream, load, age, now)

    def cache_event(  # noqa: B027 - optional hook
        self, upstream: UpstreamId, event: CacheEvent, now: timedelta
    ) -> None:
        """Process an engine's prefix cache event; ignored by policies without affinity."""

    def set_loaded(  # noqa: B027 - optional hook
        self, upstream: UpstreamId, models: frozenset[str], adapters: frozenset[str]
    ) -> None:
        """Set the models and adapters that an engine has loaded, overriding the configuration."""

    def forget(self, upstream: UpstreamId, now: timedelta) -> None:
        """Delete what was learned about an upstream that was replaced or restarted."""
        self._times.forget(upstream)

    def drain_actions(self) -> list[ActionTaken]:
        """Return and clear the automatic actions since the last call."""
        return []

    def _new_attempt(self, upstream: UpstreamId, context: RouteContext, now: timedelta) -> Attempt:
        """Return the record of an attempt that starts now."""
        return Attempt(upstream, context, now)

    def _after_attempt(  # noqa: B027 - optional hook
        self, attempt: Attempt, succeeded: bool | None, now: timedelta
    ) -> None:
        """Update the state of a policy after an attempt has ended."""

    def _usable(self, upstream: UpstreamId, context: RouteContext) -> bool:
        """Return whether the upstream counts in the estimate of a stage."""
        return upstream not in context.excluded
