"""Permits that an attempt takes and returns, and the demand of waiting work."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from functools import lru_cache

from chervilrack._internal.common.ids import LimitId, TeamId, UpstreamId
from chervilrack._internal.common.results import Executed
from chervilrack._internal.execution.tasks import AttemptFinished
from chervilrack._internal.limits.port import Permit, PermitSource
from chervilrack._internal.releases.state import LimitKind, Upstream, limit_id
from chervilrack._internal.upstreams.port import FailureKind

# If it is unknown whether an attempt still runs, its concurrency permit is kept for this time after
# its deadline. An upstream that observes the deadline has stopped the work by then.
UNKNOWN_END_GRACE = timedelta(seconds=1)
# Failures after which the upstream may still be working on the attempt.
_UNKNOWN_END_KINDS = frozenset(
    {
        FailureKind.BROKEN,
        FailureKind.TIMED_OUT,
        FailureKind.MISMATCHED,
        FailureKind.CANCELLED,
    }
)
# Minimum time between two reports, which bounds the cost of a burst of changes.
_DEMAND_INTERVAL = timedelta(milliseconds=20)


@lru_cache(maxsize=16384)
def _limit_ids(upstream: UpstreamId, team: TeamId) -> tuple[tuple[LimitId, LimitId], ...]:
    return tuple(
        (limit_id("upstream", upstream, kind), limit_id("team", team, kind)) for kind in LimitKind
    )


def permit_amounts(upstream: Upstream, tokens: int) -> dict[LimitId, int]:
    """Return the amounts that one attempt takes from the limits of an upstream and of its team.

    ``tokens`` is the number of tokens of the attempt.
    """
    concurrency, requests, token_rate = _limit_ids(upstream.id, upstream.team)
    amounts = {concurrency[0]: 1, concurrency[1]: 1, requests[0]: 1, requests[1]: 1}
    if tokens:
        amounts[token_rate[0]] = tokens
        amounts[token_rate[1]] = tokens
    return amounts


def return_permit(
    permits: PermitSource,
    permit: Permit,
    deadline: timedelta,
    event: AttemptFinished,
    now: timedelta,
) -> None:
    """Return the permit of a finished attempt.

    The permit of an attempt that was never sent is cancelled. If the upstream may still be working,
    the permit is kept beyond the ``deadline`` of the attempt. Otherwise it is released at once.
    """
    never_sent = event.executed is Executed.NO and event.failure is not FailureKind.REFUSED
    if event.failure is not None and never_sent:
        permits.cancel(permit, now)
    elif event.failure in _UNKNOWN_END_KINDS:
        permits.release_at(permit, max(deadline, now) + UNKNOWN_END_GRACE)
    else:
        permits.release(permit, now)


class DemandReporter:
    """Reports the demand of waiting work to the permit source, when the demand has changed."""

    def __init__(self, permits: PermitSource) -> None:
        self._permits = permits
        self._reported: dict[LimitId, int] = {}
        self._reported_at: timedelta | None = None

    def report(
        self, waiting: Iterable[tuple[Sequence[Upstream], int, int]], now: timedelta
    ) -> None:
        """Report the demand of groups, each given as candidates, waiting tasks and their tokens.

        The first demand and the end of all demand are reported at once, other changes at most every
        20 ms.
        """
        groups = [group for group in waiting if group[0]]
        if not groups and not self._reported:
            return
        recent = self._reported_at is not None and now - self._reported_at < _DEMAND_INTERVAL
        if groups and self._reported and recent:
            return
        demand: dict[LimitId, int] = {}
        for candidates, count, tokens in groups:
            _add_demand(demand, candidates, count, tokens)
        if demand != self._reported:
            self._permits.set_demand(demand, now)
            self._reported = demand
        self._reported_at = now


def _add_demand(
    demand: dict[LimitId, int], candidates: Sequence[Upstream], waiting: int, tokens: int
) -> None:
    """Add the demand of one group's waiting tasks to ``demand``.

    The work is assumed to spread evenly over the candidates. The limit of each upstream is charged
    with its share, rounded up. The limit of a team is charged with the sum over its upstreams, but
    not with more than the whole waiting work.
    """
    tasks_each = -(-waiting // len(candidates))
    tokens_each = -(-tokens // len(candidates))
    team_totals: dict[LimitId, int] = {}
    for upstream in candidates:
        concurrency, requests, token_rate = _limit_ids(upstream.id, upstream.team)
        for (upstream_limit, team_limit), share, total in (
            (concurrency, tasks_each, waiting),
            (requests, tasks_each, waiting),
            (token_rate, tokens_each, tokens),
        ):
            if share:
                demand[upstream_limit] = demand.get(upstream_limit, 0) + share
                team_totals[team_limit] = min(team_totals.get(team_limit, 0) + share, total)
    for team_limit, amount in team_totals.items():
        demand[team_limit] = demand.get(team_limit, 0) + amount
