"""Permits that an attempt takes and gives back, and the demand of waiting work."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from functools import lru_cache

from chervilrack._internal.common.ids import LimitId, TeamId, UpstreamId
from chervilrack._internal.common.results import Executed
from chervilrack._internal.execution.tasks import AttemptFinished
from chervilrack._internal.limits.port import Permit, PermitSource
from chervilrack._internal.releases.state import LimitKind, Upstream, limit_id
from chervilrack._internal.upstreams.port import FailureKind

# An attempt whose end is unknown keeps its concurrency permit this long after its deadline
# (design 2.5); the upstream has stopped by then, or breaks its own deadline.
UNKNOWN_END_GRACE = timedelta(seconds=1)
_UNKNOWN_ENDS = frozenset(
    {
        FailureKind.BROKEN,
        FailureKind.TIMED_OUT,
        FailureKind.MISMATCHED,
        FailureKind.CANCELLED,
    }
)
_DEMAND_INTERVAL = timedelta(milliseconds=20)  # bounds the cost of many changes in a burst


@lru_cache(maxsize=16384)
def _pools(upstream: UpstreamId, team: TeamId) -> tuple[tuple[LimitId, LimitId], ...]:
    return tuple(
        (limit_id("upstream", upstream, kind), limit_id("team", team, kind)) for kind in LimitKind
    )


def permit_amounts(upstream: Upstream, tokens: int) -> dict[LimitId, int]:
    """Return what one attempt takes from the pools of an upstream and its team."""
    concurrency, requests, token_rate = _pools(upstream.id, upstream.team)
    amounts = {concurrency[0]: 1, concurrency[1]: 1, requests[0]: 1, requests[1]: 1}
    if tokens:
        amounts[token_rate[0]] = tokens
        amounts[token_rate[1]] = tokens
    return amounts


def give_back(
    permits: PermitSource,
    permit: Permit,
    deadline: timedelta,
    event: AttemptFinished,
    now: timedelta,
) -> None:
    """Give back the permits of a finished attempt, as early as its end is certain."""
    never_sent = event.executed is Executed.NO and event.failure is not FailureKind.REFUSED
    if event.failure is not None and never_sent:
        permits.cancel(permit, now)
    elif event.failure in _UNKNOWN_ENDS:
        permits.release_at(permit, max(deadline, now) + UNKNOWN_END_GRACE)
    else:
        permits.release(permit, now)


class DemandReporter:
    """Tells the permit source what waiting work needs, when that has changed."""

    def __init__(self, permits: PermitSource) -> None:
        self._permits = permits
        self._stated: dict[LimitId, int] = {}
        self._stated_at: timedelta | None = None

    def state(self, waiting: Iterable[tuple[Sequence[Upstream], int, int]], now: timedelta) -> None:
        """State the demand of groups, each given as candidates, waiting tasks and their tokens.

        A first demand is stated at once, a changed one at most every 20 ms.
        """
        groups = [group for group in waiting if group[0]]
        if not groups and not self._stated:
            return
        recent = self._stated_at is not None and now - self._stated_at < _DEMAND_INTERVAL
        if groups and self._stated and recent:
            return
        demand: dict[LimitId, int] = {}
        for candidates, count, tokens in groups:
            _add_demand(demand, candidates, count, tokens)
        if demand != self._stated:
            self._permits.set_demand(demand, now)
            self._stated = demand
        self._stated_at = now


def _add_demand(
    demand: dict[LimitId, int], candidates: Sequence[Upstream], waiting: int, tokens: int
) -> None:
    """Add the demand of one group's waiting tasks.

    The work is assumed to spread evenly, so each upstream's pool is asked for its part, rounded
    up; a team's pool gets the sum over its upstreams, at most everything that waits.
    """
    count = -(-waiting // len(candidates))
    size = -(-tokens // len(candidates))
    totals: dict[LimitId, int] = {}
    for upstream in candidates:
        concurrency, requests, token_rate = _pools(upstream.id, upstream.team)
        for (own, team), part, whole in (
            (concurrency, count, waiting),
            (requests, count, waiting),
            (token_rate, size, tokens),
        ):
            if part:
                demand[own] = demand.get(own, 0) + part
                totals[team] = min(totals.get(team, 0) + part, whole)
    for team, amount in totals.items():
        demand[team] = demand.get(team, 0) + amount
