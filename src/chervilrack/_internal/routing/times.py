"""Learned service times: per stage, per token and per upstream."""

import math
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import StageId, UpstreamId
from chervilrack._internal.routing.port import Estimate, RouteContext
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
# Spread of slopes among usual engines, in seconds per token. Without this prior, three requests
# of similar sizes gave slopes that predicted 20 s for a prompt that took 0.9 s.
PROMPT_SLOPE_SPREAD = 0.0005
OUTPUT_SLOPE_SPREAD = 0.02
# Observations after which the assumed noise counts half; engines of any speed are learned then.
NOISE_PRIOR = 3.0
# Least predicted time relative to the mean. Extrapolation to short work reached 0, which made
# every upstream look thousands of times slower than expected.
LEAST_SHARE = 0.1
# Standard error, relative to the prediction, up to which an attempt tells an upstream's pace.
CERTAIN_SHARE = 0.25
# One attempt counts as at most this many times slower than expected.
SLOWEST_PACE = 30.0


@dataclass(frozen=True, slots=True)
class WorkSize:
    """Tokens of an attempt; both are 0 for work that is not measured in tokens."""

    prompt: int = 0
    output: int = 0


def size_of(context: RouteContext) -> WorkSize:
    """Return the size of the work that a context describes."""
    return WorkSize(context.tokens - context.output_tokens, context.output_tokens)


class TokenRegression:
    """Service time in seconds as a linear function of prompt and output tokens.

    Least squares with exponentially decaying weights. A prompt token is about a hundred times
    cheaper than an output token: with their sum as the only variable, requests with long prompts
    were predicted to take many seconds and were refused.
    """

    __slots__ = (
        "_mean", "_mean_y", "_noise", "_oo", "_oy", "_po", "_pp", "_py", "_weight", "_yy",
        "variation",
    )  # fmt: skip

    def __init__(self, mean: float, spread: float) -> None:
        self._weight = STAGE_PRIOR
        self._mean: tuple[float, float] | None = None
        self._mean_y = mean
        self._noise = spread * spread
        self._pp = self._po = self._oo = self._py = self._oy = 0.0
        self._yy = spread * spread * STAGE_PRIOR
        # Standard deviation relative to the mean, for an attempt of typical size.
        self.variation = spread / mean

    def add(self, size: WorkSize, seconds: float) -> None:
        """Add one observation (West's weighted update of means and co-moments, 1979)."""
        prompt, output = self._mean or (float(size.prompt), float(size.output))
        self._weight = self._weight * STAGE_MEMORY + 1.0
        dp, do, dy = size.prompt - prompt, size.output - output, seconds - self._mean_y
        prompt += dp / self._weight
        output += do / self._weight
        self._mean = (prompt, output)
        self._mean_y += dy / self._weight
        new_p, new_o, new_y = size.prompt - prompt, size.output - output, seconds - self._mean_y
        self._pp = self._pp * STAGE_MEMORY + dp * new_p
        self._po = self._po * STAGE_MEMORY + dp * new_o
        self._oo = self._oo * STAGE_MEMORY + do * new_o
        self._py = self._py * STAGE_MEMORY + dp * new_y
        self._oy = self._oy * STAGE_MEMORY + do * new_y
        self._yy = self._yy * STAGE_MEMORY + dy * new_y
        mean, spread = self.predict(WorkSize(round(prompt), round(output)))
        self.variation = spread / mean

    @property
    def slopes(self) -> tuple[float, float]:
        """Seconds per prompt token and per output token; never negative.

        Ridge regression: few observations, or sizes that vary together, leave the slopes near 0.
        """
        pp, oo = self._regularised()
        determinant = pp * oo - self._po * self._po
        prompt = (self._py * oo - self._oy * self._po) / determinant
        output = (self._oy * pp - self._py * self._po) / determinant
        if prompt < 0:
            return 0.0, max(0.0, self._oy / oo)
        if output < 0:
            return max(0.0, self._py / pp), 0.0
        return prompt, output

    def predict(self, size: WorkSize) -> tuple[float, float]:
        """Return the expected time and its standard deviation in seconds.

        Away from the sizes seen the slopes are uncertain; their standard error is subtracted, so
        that work of a new size is tried rather than rejected on a guess.
        """
        more = self._distance(size)
        scatter = self._scatter
        sure = max(0.0, more - self._error(size, scatter)) if more > 0 else more
        return max(SHORTEST, self._mean_y * LEAST_SHARE, self._mean_y + sure), math.sqrt(scatter)

    def is_certain(self, size: WorkSize) -> bool:
        """Whether the prediction is good enough to judge an upstream by it."""
        expected = max(self._mean_y * LEAST_SHARE, self._mean_y + self._distance(size))
        # The noise assumed at the start counts, too: a few attempts may agree by chance.
        return self._error(size, self._scatter + self._faded_noise) <= CERTAIN_SHARE * expected

    def _distance(self, size: WorkSize) -> float:
        """Return the seconds by which work of this size is expected to exceed the mean."""
        per_prompt, per_output = self.slopes
        prompt, output = self._mean or (float(size.prompt), float(size.output))
        return per_prompt * (size.prompt - prompt) + per_output * (size.output - output)

    def _error(self, size: WorkSize, variance: float) -> float:
        """Return the standard error of ``_distance`` for this variance of an attempt."""
        prompt, output = self._mean or (float(size.prompt), float(size.output))
        pp, oo = self._regularised()
        dp, do = size.prompt - prompt, size.output - output
        return math.sqrt(variance * (dp * dp / pp + do * do / oo))

    @property
    def _scatter(self) -> float:
        """Variance of attempts around the line."""
        return self._residual(*self.slopes) / self._weight

    def _residual(self, per_prompt: float, per_output: float) -> float:
        """Return the sum of squared deviations from the line with these slopes."""
        crossed = per_prompt * self._py + per_output * self._oy
        squared = (
            per_prompt * per_prompt * self._pp
            + 2 * per_prompt * per_output * self._po
            + per_output * per_output * self._oo
        )
        return max(0.0, self._yy - 2 * crossed + squared)

    @property
    def _faded_noise(self) -> float:
        return self._noise * NOISE_PRIOR / (self._weight + NOISE_PRIOR)

    def _regularised(self) -> tuple[float, float]:
        noise = self._faded_noise
        return (
            self._pp + noise / PROMPT_SLOPE_SPREAD**2,
            self._oo + noise / OUTPUT_SLOPE_SPREAD**2,
        )


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

    def add(self, ratio: float, now: timedelta) -> None:
        """Add one attempt that took ``ratio`` times the expected time."""
        kept = UPSTREAM_MEMORY * self.kept(now)
        self.weight = self.weight * kept + 1.0
        self.total = self.total * kept + ratio
        self.samples += 1
        self.at = now

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
        self, stage: StageId, upstream: UpstreamId, size: WorkSize, service_time: timedelta
    ) -> None:
        """Record the service time of a successful attempt."""
        seconds = service_time.total_seconds()
        regression = self._stages.get(stage)
        if regression is None:
            regression = self._stages[stage] = TokenRegression(*self._prior)
            regression.add(size, seconds)
        pace = self._paces.setdefault(stage, {}).setdefault(upstream, _Pace())
        if regression.is_certain(size):
            expected, _ = regression.predict(size)
            pace.add(min(seconds / expected, SLOWEST_PACE), self._now)
        # The expectation describes a typical upstream: a straggler's times enter it without the
        # straggler's own factor.
        regression.add(size, seconds / max(1.0, pace.factor(self._now)))

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

    def expected(self, stage: StageId, size: WorkSize) -> tuple[float, float]:
        """Return mean and standard deviation in seconds for a typical upstream."""
        regression = self._stages.get(stage)
        return self._prior if regression is None else regression.predict(size)

    def estimate(self, stage: StageId, upstream: UpstreamId, size: WorkSize) -> Estimate:
        """Return the expected service time at one upstream."""
        mean, spread = self.expected(stage, size)
        factor = self.factor(stage, upstream)
        return Estimate(timedelta(seconds=mean * factor), timedelta(seconds=spread * factor))
