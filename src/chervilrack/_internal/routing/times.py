"""Service times learned from attempts: per stage, per token and per upstream."""

import math
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import StageId, UpstreamId
from chervilrack._internal.routing.port import Estimate, RouteContext
from chervilrack._internal.routing.settings import RouterSettings

# Factor by which each new observation reduces the weight of the older ones. 0.98 averages over
# about the last 50 attempts of a stage.
STAGE_DECAY = 0.98
# 0.92 averages over about the last 12 attempts at an upstream, so that a straggler is detected
# within a few attempts.
UPSTREAM_DECAY = 0.92
# Weight of the prior, in observations. One attempt moves the estimate of a stage half way from the
# prior to the observed time. At an upstream, which is first assumed to be as fast as its peers,
# three attempts do.
STAGE_PRIOR_WEIGHT = 1.0
UPSTREAM_PRIOR_WEIGHT = 3.0
# An upstream's pace is its service time relative to the expected time of the stage. Without new
# attempts, the weight of the observed pace halves in this time.
PACE_HALF_LIFE_S = 10.0
# Deviations of an upstream's pace up to this number of standard errors are treated as noise.
NOISE_STANDARD_ERRORS = 1.5
# Lower bound of predicted times; avoids divisions by zero for stages that take no time.
MIN_PREDICTION_S = 1e-4
# Typical spread of slopes among engines, in seconds per token. Without this prior, three requests
# of similar sizes lead to a prediction of 20 s for a prompt that takes 0.9 s.
PROMPT_SLOPE_SPREAD_S = 0.0005
OUTPUT_SLOPE_SPREAD_S = 0.02
# Number of observations after which the prior noise has half its weight. The prior has to fade for
# slopes to be learned at engines of any speed.
NOISE_PRIOR_WEIGHT = 3.0
# Lower bound of predicted times, relative to the mean. Extrapolation to short work can reach 0,
# and then every upstream appears to be thousands of times slower than expected.
MIN_PREDICTION_SHARE = 0.1
# Largest standard error, relative to the prediction, at which attempts update an upstream's pace.
MAX_RELATIVE_ERROR = 0.25
# Upper bound of the pace that a single attempt contributes.
MAX_PACE_RATIO = 30.0


@dataclass(frozen=True, slots=True)
class WorkSize:
    """Token counts of an attempt; both are 0 for work that is not measured in tokens."""

    prompt: int = 0
    output: int = 0


def work_size(context: RouteContext) -> WorkSize:
    """Return the token counts of the work that a context describes."""
    return WorkSize(context.tokens - context.output_tokens, context.output_tokens)


class TokenRegression:
    """Service time in seconds as a linear function of prompt and output tokens.

    The fit uses least squares with exponentially decaying weights. Prompt and output tokens are
    separate variables, because a prompt token is about a hundred times cheaper than an output
    token. With their sum as the only variable, requests with long prompts are predicted to take
    many seconds and are refused.

    ``_pp``, ``_po``, ``_oo``, ``_py``, ``_oy`` and ``_yy`` are the weighted sums of products of the
    deviations of prompt tokens (p), output tokens (o) and seconds (y) from their means.
    """

    __slots__ = (
        "_mean", "_mean_y", "_noise", "_oo", "_oy", "_po", "_pp", "_py", "_weight", "_yy",
        "variation",
    )  # fmt: skip

    def __init__(self, mean: float, spread: float) -> None:
        self._weight = STAGE_PRIOR_WEIGHT
        self._mean: tuple[float, float] | None = None
        self._mean_y = mean
        self._noise = spread * spread
        self._pp = self._po = self._oo = self._py = self._oy = 0.0
        self._yy = spread * spread * STAGE_PRIOR_WEIGHT
        # Standard deviation relative to the mean, for an attempt of mean size.
        self.variation = spread / mean

    def add(self, size: WorkSize, seconds: float) -> None:
        """Add one observation by West's weighted update of means and co-moments (1979)."""
        prompt, output = self._mean or (float(size.prompt), float(size.output))
        self._weight = self._weight * STAGE_DECAY + 1.0
        dp, do, dy = size.prompt - prompt, size.output - output, seconds - self._mean_y
        prompt += dp / self._weight
        output += do / self._weight
        self._mean = (prompt, output)
        self._mean_y += dy / self._weight
        new_p, new_o, new_y = size.prompt - prompt, size.output - output, seconds - self._mean_y
        self._pp = self._pp * STAGE_DECAY + dp * new_p
        self._po = self._po * STAGE_DECAY + dp * new_o
        self._oo = self._oo * STAGE_DECAY + do * new_o
        self._py = self._py * STAGE_DECAY + dp * new_y
        self._oy = self._oy * STAGE_DECAY + do * new_y
        self._yy = self._yy * STAGE_DECAY + dy * new_y
        mean, spread = self.predict(WorkSize(round(prompt), round(output)))
        self.variation = spread / mean

    @property
    def slopes(self) -> tuple[float, float]:
        """Seconds per prompt token and per output token; never negative.

        The fit is a ridge regression: with few observations, or if prompt and output sizes are
        correlated, the slopes stay near 0.
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

        The slopes are uncertain for sizes far from the observed ones. Their standard error is
        subtracted from a prediction above the mean, so that work of a new size is tried rather than
        refused because of an uncertain prediction.
        """
        excess = self._excess(size)
        residual_variance = self._residual_variance
        reliable_excess = (
            max(0.0, excess - self._standard_error(size, residual_variance))
            if excess > 0
            else excess
        )
        return max(
            MIN_PREDICTION_S, self._mean_y * MIN_PREDICTION_SHARE, self._mean_y + reliable_excess
        ), math.sqrt(residual_variance)

    def is_certain(self, size: WorkSize) -> bool:
        """Whether the prediction for ``size`` is precise enough to update an upstream's pace."""
        expected = max(self._mean_y * MIN_PREDICTION_SHARE, self._mean_y + self._excess(size))
        # The prior noise is included, because the first few attempts may agree by chance.
        return (
            self._standard_error(size, self._residual_variance + self._prior_noise)
            <= MAX_RELATIVE_ERROR * expected
        )

    def _excess(self, size: WorkSize) -> float:
        """Return the expected time of work of this size minus the mean time, in seconds."""
        per_prompt, per_output = self.slopes
        prompt, output = self._mean or (float(size.prompt), float(size.output))
        return per_prompt * (size.prompt - prompt) + per_output * (size.output - output)

    def _standard_error(self, size: WorkSize, variance: float) -> float:
        """Return the standard error of ``_excess`` if single attempts have this variance."""
        prompt, output = self._mean or (float(size.prompt), float(size.output))
        pp, oo = self._regularised()
        dp, do = size.prompt - prompt, size.output - output
        return math.sqrt(variance * (dp * dp / pp + do * do / oo))

    @property
    def _residual_variance(self) -> float:
        """Variance of attempts around the fitted times."""
        return self._residual_sum(*self.slopes) / self._weight

    def _residual_sum(self, per_prompt: float, per_output: float) -> float:
        """Return the weighted sum of squared deviations from the times that these slopes give."""
        cross_terms = per_prompt * self._py + per_output * self._oy
        square_terms = (
            per_prompt * per_prompt * self._pp
            + 2 * per_prompt * per_output * self._po
            + per_output * per_output * self._oo
        )
        return max(0.0, self._yy - 2 * cross_terms + square_terms)

    @property
    def _prior_noise(self) -> float:
        """Prior variance of attempts, reduced by the weight of observations."""
        return self._noise * NOISE_PRIOR_WEIGHT / (self._weight + NOISE_PRIOR_WEIGHT)

    def _regularised(self) -> tuple[float, float]:
        """Return ``_pp`` and ``_oo`` with the ridge terms of the slopes' priors added."""
        noise = self._prior_noise
        return (
            self._pp + noise / PROMPT_SLOPE_SPREAD_S**2,
            self._oo + noise / OUTPUT_SLOPE_SPREAD_S**2,
        )


@dataclass(slots=True)
class _Pace:
    """Decaying average of an upstream's service times relative to the expected times."""

    weight: float = 0.0
    total: float = 0.0
    samples: int = 0
    updated_at: timedelta = timedelta(0)

    def decay(self, now: timedelta) -> float:
        """Return the share of the weight that remains at ``now``."""
        return float(0.5 ** (max(0.0, (now - self.updated_at).total_seconds()) / PACE_HALF_LIFE_S))

    def add(self, ratio: float, now: timedelta) -> None:
        """Add one attempt that took ``ratio`` times the expected time."""
        decay = UPSTREAM_DECAY * self.decay(now)
        self.weight = self.weight * decay + 1.0
        self.total = self.total * decay + ratio
        self.samples += 1
        self.updated_at = now

    def factor(self, now: timedelta) -> float:
        """Return the average; without new attempts it tends to 1, so that work is sent again."""
        decay = self.decay(now)
        return (self.total * decay + UPSTREAM_PRIOR_WEIGHT) / (
            self.weight * decay + UPSTREAM_PRIOR_WEIGHT
        )


class ServiceTimes:
    """Estimates the service time of each stage at each upstream."""

    def __init__(self, settings: RouterSettings) -> None:
        self._prior = (
            settings.prior_mean.total_seconds(),
            settings.prior_spread.total_seconds(),
        )
        self._now = timedelta(0)
        self._stages: dict[StageId, TokenRegression] = {}
        self._paces: dict[StageId, dict[UpstreamId, _Pace]] = {}

    def set_time(self, now: timedelta) -> None:
        """Set the current time, at which the decay of factors is computed."""
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
            pace.add(min(seconds / expected, MAX_PACE_RATIO), self._now)
        # The regression describes a typical upstream, so a straggler's time is divided by the
        # straggler's factor before it is added.
        regression.add(size, seconds / max(1.0, pace.factor(self._now)))

    def factor(self, stage: StageId, upstream: UpstreamId) -> float:
        """Return the upstream's service time relative to its peers, or 1 if none was observed.

        The deviation from 1 is reduced by the noise of the observations.
        """
        pace = self._paces.get(stage, {}).get(upstream)
        if pace is None:
            return 1.0
        deviation = pace.factor(self._now) - 1.0
        weight = pace.weight * pace.decay(self._now) + UPSTREAM_PRIOR_WEIGHT
        noise = NOISE_STANDARD_ERRORS * self._stages[stage].variation / math.sqrt(weight)
        return 1.0 + math.copysign(max(0.0, abs(deviation) - noise), deviation)

    def samples(self, stage: StageId, upstream: UpstreamId) -> int:
        """Return the number of attempts in the upstream's pace since the last ``forget``."""
        pace = self._paces.get(stage, {}).get(upstream)
        return 0 if pace is None else pace.samples

    def factors(self, stage: StageId, min_samples: int) -> list[float]:
        """Return the factors of a stage's upstreams with at least ``min_samples`` attempts."""
        paces = self._paces.get(stage, {})
        return [pace.factor(self._now) for pace in paces.values() if pace.samples >= min_samples]

    def forget(self, upstream: UpstreamId) -> None:
        """Delete the observed pace of an upstream for all stages."""
        for paces in self._paces.values():
            paces.pop(upstream, None)

    def expected(self, stage: StageId, size: WorkSize) -> tuple[float, float]:
        """Return mean and standard deviation in seconds at a typical upstream."""
        regression = self._stages.get(stage)
        return self._prior if regression is None else regression.predict(size)

    def estimate(self, stage: StageId, upstream: UpstreamId, size: WorkSize) -> Estimate:
        """Return the expected service time at one upstream."""
        mean, spread = self.expected(stage, size)
        factor = self.factor(stage, upstream)
        return Estimate(timedelta(seconds=mean * factor), timedelta(seconds=spread * factor))
