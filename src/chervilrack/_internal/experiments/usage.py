"""Use of limits and cost by stage, computed from what the upstream stand-ins recorded.

The nodes' own accounts are not used: they would hide the very errors that a run looks for.
"""

import heapq
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from chervilrack._internal.common.ids import LimitId
from chervilrack._internal.experiments.profile import Profile
from chervilrack._internal.experiments.testbed import StandinRecord, WorkArrival
from chervilrack._internal.history.events import LimitInForce, LimitUsed
from chervilrack._internal.releases.state import LimitKind, limit_id, limit_kind

RATE_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class Work:
    """One attempt that a stand-in ran. ``ended`` is infinite for one that still runs."""

    at: float
    ended: float
    tokens: int


class StageCost(msgspec.Struct):
    """Load that the upstreams of one team served in one stage or service."""

    team: str
    requests: int = 0
    service_s: float = 0.0
    tokens: int = 0


def work_by_limit(profile: Profile, records: Iterable[StandinRecord]) -> dict[LimitId, list[Work]]:
    """Return the work that counts against each limit of the profile, ordered by arrival."""
    work: dict[LimitId, list[Work]] = {limit: [] for limit in profile.limit_capacities()}
    for record in records:
        pool = profile.pool_of(record.upstream)
        items = [_work(record, arrival) for arrival in record.arrivals]
        for kind in LimitKind:
            for limit in (
                limit_id("team", pool.team, kind),
                limit_id("upstream", record.upstream, kind),
            ):
                if limit in work:
                    work[limit] += items
    for items in work.values():
        items.sort(key=lambda item: item.at)
    return work


def _work(record: StandinRecord, arrival: WorkArrival) -> Work:
    return Work(arrival.at, record.ended.get(arrival.attempt, float("inf")), arrival.tokens)


def use_at_arrivals(limit: LimitId, work: Sequence[Work]) -> list[LimitUsed]:
    """Return the use of a limit at each arrival, the arriving work included."""
    kind = limit_kind(limit)
    if kind is LimitKind.CONCURRENCY:
        return _concurrency(limit, work)
    window: deque[Work] = deque()
    used = 0
    events = []
    for item in work:
        amount = 1 if kind is LimitKind.REQUESTS_PER_S else item.tokens
        window.append(item)
        used += amount
        while window[0].at <= item.at - RATE_WINDOW_S:
            left = window.popleft()
            used -= 1 if kind is LimitKind.REQUESTS_PER_S else left.tokens
        events.append(LimitUsed(at=item.at, limit=limit, in_use=used))
    return events


def _concurrency(limit: LimitId, work: Sequence[Work]) -> list[LimitUsed]:
    running: list[float] = []
    events = []
    for item in work:
        while running and running[0] <= item.at:
            heapq.heappop(running)
        heapq.heappush(running, item.ended)
        events.append(LimitUsed(at=item.at, limit=limit, in_use=len(running)))
    return events


def peak_share(used: Iterable[LimitUsed], in_force: Sequence[LimitInForce]) -> float:
    """Return the highest use as a share of the capacity in force at that time."""
    peak = 0.0
    for event in used:
        known = [change.capacity for change in in_force if change.at <= event.at]
        if known and known[-1] > 0:
            peak = max(peak, event.in_use / known[-1])
    return peak


def mean_concurrency(work: Iterable[Work], start: float, end: float) -> float:
    """Return the mean number of attempts that ran at once between two times."""
    busy = sum(max(0.0, min(item.ended, end) - max(item.at, start)) for item in work)
    return busy / (end - start)


def cost_by_stage(
    profile: Profile, records: Iterable[StandinRecord], end: float
) -> Mapping[str, StageCost]:
    """Return the cost of each stage and service; work that still runs counts until ``end``."""
    costs = {pool.id: StageCost(pool.team) for pool in profile.pools}
    for record in records:
        cost = costs[profile.pool_of(record.upstream).id]
        for arrival in record.arrivals:
            ended = min(record.ended.get(arrival.attempt, end), end)
            cost.requests += 1
            cost.service_s += max(0.0, ended - arrival.at)
            cost.tokens += arrival.tokens
    return costs
