"""Distribution of observed durations, in which older observations count less."""

import bisect
from array import array
from datetime import timedelta

# Upper bound of the first bin; each further bin is wider by BIN_GROWTH. The last one covers the
# longest timeouts of routes.
SHORTEST_BIN = timedelta(milliseconds=1)
BIN_GROWTH = 1.2
BINS = 68
# After this time an observation counts half as much, unless another time is given.
HALF_LIFE = timedelta(seconds=30)
# Weights are scaled down before they become too large for floating-point numbers.
MAX_HALF_LIVES = 100.0


class DurationQuantiles:
    """Quantiles of durations from a histogram with exponential bins; not thread-safe.

    Times are monotonic. An observation counts half as much after ``half_life``. The relative error
    of a quantile is at most ``BIN_GROWTH`` - 1, upwards.
    """

    def __init__(self, half_life: timedelta = HALF_LIFE) -> None:
        self._half_life = half_life
        self._weights = array("d", bytes(8 * BINS))
        self._total = 0.0
        # Time at which an observation has the weight 1.
        self._origin: timedelta | None = None

    def record(self, duration: timedelta, now: timedelta) -> None:
        """Add one observation."""
        if self._origin is None:
            self._origin = now
        if self._half_lives(now) > MAX_HALF_LIVES:
            self._rescale(now)
        weight = 1.0 / self._decay(now)
        self._weights[_bin(duration)] += weight
        self._total += weight

    def count(self, now: timedelta) -> float:
        """Return the number of observations, each weighted by its age."""
        return self._total * self._decay(now) if self._origin is not None else 0.0

    def quantile(self, share: float) -> timedelta:
        """Return the duration that ``share`` of the observations do not exceed; zero if none."""
        number = self._bin_of(share)
        return _upper_bound(number) if number is not None else timedelta(0)

    def lower_quantile(self, share: float) -> timedelta:
        """Return the same quantile, with a relative error downwards instead of upwards."""
        return _upper_bound(number - 1) if (number := self._bin_of(share)) else timedelta(0)

    def _bin_of(self, share: float) -> int | None:
        """Return the bin that holds a quantile, None without observations."""
        remaining = self._total * (1.0 - share)
        above = 0.0
        for number in range(BINS - 1, -1, -1):
            above += self._weights[number]
            if above > remaining:
                return number
        return None

    def _half_lives(self, now: timedelta) -> float:
        """Return the half-lives from the origin to ``now``, 0 if ``now`` is earlier."""
        assert self._origin is not None
        return max(0.0, (now - self._origin) / self._half_life)

    def _decay(self, now: timedelta) -> float:
        """Return the share of an observation's weight at the origin that is left at ``now``."""
        return float(0.5 ** self._half_lives(now))

    def _rescale(self, now: timedelta) -> None:
        factor = self._decay(now)
        self._weights = array("d", (weight * factor for weight in self._weights))
        self._total *= factor
        self._origin = now


def _upper_bound(number: int) -> timedelta:
    return SHORTEST_BIN * float(BIN_GROWTH**number)


_UPPER_BOUNDS = [_upper_bound(number) for number in range(BINS)]


def _bin(duration: timedelta) -> int:
    return min(bisect.bisect_left(_UPPER_BOUNDS, duration), BINS - 1)
