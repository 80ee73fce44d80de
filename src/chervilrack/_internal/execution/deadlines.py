"""Division of a request's remaining time over its stages."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.routing.port import Estimate

_ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class StageWindow:
    """Instants at which a stage should have ended (``due``) and must have ended (``latest``)."""

    due: timedelta
    latest: timedelta


def first_stage_window(
    now: timedelta, deadline: timedelta, estimates: Sequence[Estimate]
) -> StageWindow:
    """Return the window of the first of the remaining stages, given the estimates of all of them.

    Each stage needs its expected time plus its spread. Time beyond that is divided in proportion
    to the spreads, because the stages of uncertain duration need the reserve. If time is short,
    all needs shrink by the same factor. ``latest`` leaves the later stages only their optimistic
    time (mean less spread), so that a request is not rejected while it can still succeed.
    """
    needs = [probable_time(estimate) for estimate in estimates]
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
    later = sum((optimistic_time(estimate) for estimate in estimates[1:]), _ZERO)
    return StageWindow(min(now + share, deadline), deadline - later)


def optimistic_time(estimate: Estimate) -> timedelta:
    """Return the mean less the spread, the time of a stage in a favourable case."""
    return max(estimate.mean - estimate.spread, _ZERO)


def probable_time(estimate: Estimate) -> timedelta:
    """Return the time within which a stage probably ends (5 in 6 for a normal distribution).

    Work with less remaining time is not started. An attempt that misses its deadline keeps its
    permit for another second, so starting doubtful work in an overload costs most of the capacity.
    """
    return estimate.mean + estimate.spread
