"""Attempts in flight and learned times, shared by all routing policies."""

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
from chervilrack._internal.routing.times import ServiceTimes, size_of

# Candidates looked at for the estimate of a whole stage.
STAGE_SAMPLE = 16


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt in flight."""

    upstream: UpstreamId
    context: RouteContext
    started_at: timedelta
    probe: bool = False


class TrackingRouter(ABC):
    """Base of the routing policies: counts attempts in flight and learns service times.

    ``zone`` is the node's availability zone. The same instance is used for all stages.
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
        """Choose among candidates that have permits; None if none may be used."""

    def attempt_started(
        self, attempt: AttemptId, upstream: UpstreamId, context: RouteContext, now: timedelta
    ) -> None:
        """Count an attempt as in flight. A repeated call for the same attempt is ignored."""
        if attempt not in self._attempts:
            self._attempts[attempt] = self._record(upstream, context, now)
            self._loads.get(upstream).change(1, now)

    def attempt_finished(
        self, attempt: AttemptId, succeeded: bool | None, service_time: timedelta, now: timedelta
    ) -> None:
        """Record the end of an attempt; unknown attempts are ignored."""
        record = self._attempts.pop(attempt, None)
        if record is None:
            return
        self._loads.get(record.upstream).change(-1, now)
        self._times.advance(now)
        if succeeded:
            self._times.observe(
                record.context.stage, record.upstream, size_of(record.context), service_time
            )
        self._ended(record, succeeded, now)

    def estimate(self, upstream: UpstreamId, context: RouteContext) -> Estimate:
        """Return the expected service time of this work at an upstream."""
        return self._times.estimate(context.stage, upstream, size_of(context))

    def stage_estimate(self, candidates: Sequence[Upstream], context: RouteContext) -> Estimate:
        """Return the expected service time over the usable candidates of a stage.

        Of many candidates an evenly spaced sample is taken.
        """
        step = max(1, len(candidates) // STAGE_SAMPLE)
        usable = [c.id for c in candidates[::step] if self._usable(c.id, context)]
        mean, spread = self._times.expected(context.stage, size_of(context))
        if usable:
            factors = [self._times.factor(context.stage, name) for name in usable]
            average = sum(factors) / len(factors)
            between = sum((factor - average) ** 2 for factor in factors) / len(factors)
            spread = ((spread * average) ** 2 + between * mean**2) ** 0.5
            mean *= average
        return Estimate(timedelta(seconds=mean), timedelta(seconds=spread))

    def report_load(
        self, upstream: UpstreamId, load: float, age: timedelta, now: timedelta
    ) -> None:
        """Take an upstream's report: attempts running or waiting, of all nodes, ``age`` ago."""
        self._loads.report(upstream, load, age, now)

    def cache_event(  # noqa: B027 - optional hook
        self, upstream: UpstreamId, event: CacheEvent, now: timedelta
    ) -> None:
        """Take an engine's prefix cache event; only policies with affinity use it."""

    def set_presence(  # noqa: B027 - optional hook
        self, upstream: UpstreamId, models: frozenset[str], adapters: frozenset[str]
    ) -> None:
        """State what an engine holds now, in place of the release's lists."""

    def forget(self, upstream: UpstreamId, now: timedelta) -> None:
        """Drop what was learned about an upstream that was replaced or restarted."""
        self._times.forget(upstream)

    def drain_actions(self) -> list[ActionTaken]:
        """Return the automatic actions since the last call."""
        return []

    def _record(self, upstream: UpstreamId, context: RouteContext, now: timedelta) -> Attempt:
        return Attempt(upstream, context, now)

    def _ended(  # noqa: B027 - optional hook
        self, attempt: Attempt, succeeded: bool | None, now: timedelta
    ) -> None:
        """Take the end of an attempt into account beyond times and counts."""

    def _usable(self, upstream: UpstreamId, context: RouteContext) -> bool:
        return upstream not in context.excluded
