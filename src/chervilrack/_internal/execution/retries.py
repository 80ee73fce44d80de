"""Retries and hedges: policy, budget, and service times and failures per stage."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Rules for additional attempts of idempotent stages.

    ``budget_per_request`` bounds retries and hedges together as a share of a stage's requests. A
    stage starts with ``initial_budget`` and keeps at most ``max_budget`` unused. An attempt is
    hedged at the ``hedge_quantile`` of the service times, once ``min_hedge_samples`` are known. A
    stage is in a brown-out while the share of failed attempts exceeds ``brownout_failure_share``;
    additional attempts would then add load without helping.
    """

    max_attempts: int = 3
    budget_per_request: float = 0.1
    initial_budget: float = 3.0
    max_budget: float = 20.0
    hedge_quantile: float = 0.95
    min_hedge_samples: int = 20
    brownout_failure_share: float = 0.5


class RetryBudget:
    """Budget of one stage on this node for retries and hedges."""

    def __init__(self, policy: RetryPolicy) -> None:
        self._per_request = policy.budget_per_request
        self._max_balance = max(policy.max_budget, policy.initial_budget)
        self._balance = policy.initial_budget

    def add_request(self) -> None:
        """Add the share of an additional attempt that one request earns."""
        self._balance = min(self._balance + self._per_request, self._max_balance)

    def try_spend(self) -> bool:
        """Spend the budget of one additional attempt; return False if the balance is too low."""
        # In binary floating point, ten shares of a tenth add up to slightly less than one.
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True


_WINDOW_SAMPLES = 200  # recent service times from which the quantile is computed
_REFRESH_SAMPLES = 20  # new samples after which the quantile is computed again
_FAILURE_WEIGHT = 0.05  # weight of one attempt, so that about the last 20 attempts count


class StageHistory:
    """Recent service times and failures of one stage on this node."""

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._times: deque[timedelta] = deque(maxlen=_WINDOW_SAMPLES)
        self._new_samples = 0
        self._quantile: timedelta | None = None
        self._failure_share = 0.0

    @property
    def brownout(self) -> bool:
        """Whether so many attempts fail that additional attempts would only add load."""
        return self._failure_share > self._policy.brownout_failure_share

    @property
    def hedge_delay(self) -> timedelta | None:
        """Age at which an attempt is hedged; None while there are too few samples."""
        return self._quantile

    def record_success(self, service_time: timedelta) -> None:
        """Record the service time of an answered attempt."""
        self._failure_share *= 1.0 - _FAILURE_WEIGHT
        self._times.append(service_time)
        self._new_samples += 1
        count = len(self._times)
        if count < self._policy.min_hedge_samples:
            return
        if self._quantile is None or self._new_samples >= _REFRESH_SAMPLES:
            position = min(int(count * self._policy.hedge_quantile), count - 1)
            self._quantile = sorted(self._times)[position]
            self._new_samples = 0

    def record_failure(self) -> None:
        """Record a failed attempt."""
        self._failure_share += _FAILURE_WEIGHT * (1.0 - self._failure_share)
