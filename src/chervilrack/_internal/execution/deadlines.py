"""Division of a request's remaining time over its stages."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.routing.port import Estimate

_ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class StageWindow:
    """Instants of one stage: when it should end (``due``) and when it must (``latest``)."""

    due: timedelta
    latest: timedelta


def divide(now: timedelta, deadline: timedelta, estimates: Sequence[Estimate]) -> StageWindow:
    """Return the window of the first of the remaining stages.

    Each stage needs its expected time plus its spread. Time beyond that is divided in proportion
    to the spreads, because uncertain stages need the reserve. If time is short, all needs shrink
    by the same factor. ``latest`` leaves the later stages only their optimistic time (mean less
    spread), so that a request is not given up while it can still succeed.
    """
    needs = [likely(estimate) for estimate in estimates]
    total = sum(needs, _ZERO)
    remaining = max(deadline - now, _ZERO)
    slack = remaining - total
    spread = sum((estimate.spread for estimate in estimates), _ZERO)
    if total <= _ZERO:
        share = remaining / len(estimates)
    elif slack < _ZERO:
        share = remaining * (needs[0] / total)
    else:
        weight = estimates[0].spread / spread if spread > _ZERO else needs[0] / total
        share = needs[0] + slack * weight
    later = sum((optimistic(estimate) for estimate in estimates[1:]), _ZERO)
    return StageWindow(min(now + share, deadline), deadline - later)


def optimistic(estimate: Estimate) -> timedelta:
    """Return the time that a stage takes if it goes well."""
    return max(estimate.mean - estimate.spread, _ZERO)


def likely(estimate: Estimate) -> timedelta:
    """Return the time within which a stage probably ends (5 in 6 for a normal distribution).

    Work is not started with less. An attempt that misses its deadline keeps its permit for a
    further second, so starting doubtful work in an overload costs most of the capacity.
    """
    return estimate.mean + estimate.spread
