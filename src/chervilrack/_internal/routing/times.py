"""Learned service times: per stage, per token and per upstream."""

import math
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import StageId, UpstreamId
from chervilrack._internal.routing.port import Estimate
from chervilrack._internal.routing.settings import RouterSettings

# Weight kept by older observations: 0.98 corresponds to about the last 50 attempts of a stage.
STAGE_MEMORY = 0.98
# About the last 12 attempts at an upstream, so that a straggler shows within a few attempts.
UPSTREAM_MEMORY = 0.92
# Weight of the prior in observations. A stage needs one attempt to move it half way; an upstream
# is assumed to be as fast as its peers until three attempts say otherwise.
STAGE_PRIOR = 1.0
UPSTREAM_PRIOR = 3.0
# Seconds after which an upstream's pace counts half without new attempts.
PACE_HALF_LIFE = 10.0
# Standard errors of an upstream's pace that count as noise.
NOISE = 1.5
# Shortest predicted time; avoids divisions by zero for instantaneous stages.
SHORTEST = 1e-4


class TokenRegression:
    """Service time in seconds as a linear function of the tokens of an attempt.

    Least squares with exponentially decaying weights. Without variation of the token count the
    prediction is the mean.
    """

    __slots__ = ("_mean_x", "_mean_y", "_weight", "_xx", "_xy", "_yy", "variation")

    def __init__(self, mean: float, spread: float) -> None:
        self._weight = STAGE_PRIOR
        self._mean_x = 0.0
        self._mean_y = mean
        self._xx = 0.0
        self._xy = 0.0
        self._yy = spread * spread * STAGE_PRIOR
        # Standard deviation relative to the mean, for an attempt of typical size.
        self.variation = spread / mean

    def add(self, tokens: int, seconds: float) -> None:
        """Add one observation (West's weighted update of means and co-moments, 1979)."""
        if self._mean_x == 0.0 and self._xx == 0.0:
            self._mean_x = float(tokens)
        self._weight = self._weight * STAGE_MEMORY + 1.0
        dx = tokens - self._mean_x
        dy = seconds - self._mean_y
        self._mean_x += dx / self._weight
        self._mean_y += dy / self._weight
        self._xx = self._xx * STAGE_MEMORY + dx * (tokens - self._mean_x)
        self._xy = self._xy * STAGE_MEMORY + dx * (seconds - self._mean_y)
        self._yy = self._yy * STAGE_MEMORY + dy * (seconds - self._mean_y)
        mean, spread = self.predict(int(self._mean_x))
        self.variation = spread / mean

    @property
    def per_token(self) -> float:
        """Seconds per token; never negative."""
        return max(0.0, self._xy / self._xx) if self._xx > 1e-9 else 0.0

    def predict(self, tokens: int) -> tuple[float, float]:
        """Return the expected time and its standard deviation in seconds."""
        slope = self.per_token
        mean = max(SHORTEST, self._mean_y + slope * (tokens - self._mean_x))
        residual = max(0.0, self._yy - slope * self._xy)
        return mean, math.sqrt(residual / self._weight)


@dataclass(slots=True)
class _Pace:
    """Service time of an upstream relative to the expectation of its stage."""

    weight: float = 0.0
    total: float = 0.0
    samples: int = 0
    at: timedelta = timedelta(0)

    def kept(self, now: timedelta) -> float:
        """Return the part of the weight that is left at ``now``."""
        return float(0.5 ** (max(0.0, (now - self.at).total_seconds()) / PACE_HALF_LIFE))

    def factor(self, now: timedelta) -> float:
        """Return the factor; without new attempts it returns to 1, so that it is tried again."""
        kept = self.kept(now)
        return (self.total * kept + UPSTREAM_PRIOR) / (self.weight * kept + UPSTREAM_PRIOR)


class ServiceTimes:
    """Estimates for pairs of stage and upstream."""

    def __init__(self, settings: RouterSettings) -> None:
        self._prior = (
            settings.prior_mean.total_seconds(),
            settings.prior_spread.total_seconds(),
        )
        self._now = timedelta(0)
        self._stages: dict[StageId, TokenRegression] = {}
        self._paces: dict[StageId, dict[UpstreamId, _Pace]] = {}

    def advance(self, now: timedelta) -> None:
        """Set the time for which factors are computed."""
        self._now = now

    def observe(
        self, stage: StageId, upstream: UpstreamId, tokens: int, service_time: timedelta
    ) -> None:
        """Record the service time of a successful attempt."""
        seconds = service_time.total_seconds()
        regression = self._stages.get(stage)
        if regression is None:
            regression = self._stages[stage] = TokenRegression(*self._prior)
            regression.add(tokens, seconds)
        expected, _ = regression.predict(tokens)
        pace = self._paces.setdefault(stage, {}).setdefault(upstream, _Pace())
        kept = UPSTREAM_MEMORY * pace.kept(self._now)
        pace.weight = pace.weight * kept + 1.0
        pace.total = pace.total * kept + seconds / expected
        pace.samples += 1
        pace.at = self._now
        # The expectation describes a typical upstream: a straggler's times enter it without the
        # straggler's own factor.
        regression.add(tokens, seconds / max(1.0, pace.factor(self._now)))

    def factor(self, stage: StageId, upstream: UpstreamId) -> float:
        """Return the upstream's service time relative to its peers; 1 if unknown.

        Only the part of a deviation that exceeds the noise of its observations counts.
        """
        pace = self._paces.get(stage, {}).get(upstream)
        if pace is None:
            return 1.0
        deviation = pace.factor(self._now) - 1.0
        weight = pace.weight * pace.kept(self._now) + UPSTREAM_PRIOR
        noise = NOISE * self._stages[stage].variation / math.sqrt(weight)
        return 1.0 + math.copysign(max(0.0, abs(deviation) - noise), deviation)

    def samples(self, stage: StageId, upstream: UpstreamId) -> int:
        """Return the number of attempts observed since the last ``forget``."""
        pace = self._paces.get(stage, {}).get(upstream)
        return 0 if pace is None else pace.samples

    def factors(self, stage: StageId, enough: int) -> list[float]:
        """Return the factors of all upstreams of a stage with at least ``enough`` attempts."""
        paces = self._paces.get(stage, {})
        return [pace.factor(self._now) for pace in paces.values() if pace.samples >= enough]

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known about an upstream's pace."""
        for paces in self._paces.values():
            paces.pop(upstream, None)

    def expected(self, stage: StageId, tokens: int) -> tuple[float, float]:
        """Return mean and standard deviation in seconds for a typical upstream."""
        regression = self._stages.get(stage)
        return self._prior if regression is None else regression.predict(tokens)

    def estimate(self, stage: StageId, upstream: UpstreamId, tokens: int) -> Estimate:
        """Return the expected service time at one upstream."""
        mean, spread = self.expected(stage, tokens)
        factor = self.factor(stage, upstream)
        return Estimate(timedelta(seconds=mean * factor), timedelta(seconds=spread * factor))
