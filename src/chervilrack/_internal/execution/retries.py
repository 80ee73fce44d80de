"""Retries and hedges: policy, budget and what is learned per stage."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Rules for additional attempts of idempotent stages.

    ``budget_share`` bounds retries and hedges together as a share of a stage's requests;
    ``budget_floor`` is what a stage may use before it has had any requests, and ``budget_most``
    how much unused budget it keeps. A brown-out is a share of failed attempts above
    ``brownout_share``; more attempts would then add load without helping.
    """

    most_attempts: int = 3
    budget_share: float = 0.1
    budget_floor: float = 3.0
    budget_most: float = 20.0
    hedge_quantile: float = 0.95
    hedge_samples: int = 20
    brownout_share: float = 0.5


class RetryBudget:
    """Budget of one stage on this node."""

    def __init__(self, policy: RetryPolicy) -> None:
        self._share = policy.budget_share
        self._most = max(policy.budget_most, policy.budget_floor)
        self._balance = policy.budget_floor

    def add_request(self) -> None:
        """Count one request, which earns a share of an additional attempt."""
        self._balance = min(self._balance + self._share, self._most)

    def take(self) -> bool:
        """Use the budget for one additional attempt, if it allows one."""
        # Ten shares of a tenth add up to slightly less than one in binary floating point.
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True


_WINDOW = 200  # recent service times that the quantile is taken from
_REFRESH = 20  # the quantile is recomputed once per this many new samples
_FAILURE_WEIGHT = 0.05  # weight of one attempt: about the last twenty decide


class StageHistory:
    """Recent service times and failures of one stage on this node."""

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._times: deque[timedelta] = deque(maxlen=_WINDOW)
        self._unseen = 0
        self._quantile: timedelta | None = None
        self._failure_share = 0.0

    @property
    def brownout(self) -> bool:
        """Whether so many attempts fail that additional ones would only add load."""
        return self._failure_share > self._policy.brownout_share

    @property
    def hedge_after(self) -> timedelta | None:
        """Age at which an attempt is hedged, or None while too little is known."""
        return self._quantile

    def succeeded(self, service_time: timedelta) -> None:
        """Learn from an answered attempt."""
        self._failure_share *= 1.0 - _FAILURE_WEIGHT
        self._times.append(service_time)
        self._unseen += 1
        known = len(self._times)
        if known < self._policy.hedge_samples:
            return
        if self._quantile is None or self._unseen >= _REFRESH:
            position = min(int(known * self._policy.hedge_quantile), known - 1)
            self._quantile = sorted(self._times)[position]
            self._unseen = 0

    def failed(self) -> None:
        """Learn from a failed attempt."""
        self._failure_share += _FAILURE_WEIGHT * (1.0 - self._failure_share)
