"""Bounds the requests that reach an upstream while it is cold, over all nodes without messages.

Of the nodes that have been ready for a while, the first few in the rendezvous order of a cold
upstream own it. Each owner sends it a fixed number of requests a second, all other nodes send none.
The owners together use at most half of the bound, so that two views of the fleet at a time stay
within it. A node that hears from no majority of the registered nodes owns nothing, since its view
may differ from that of all others.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from chervilrack._internal.catalogue.state import ServiceSpec, UpstreamEntry, WarmUpSpec
from chervilrack._internal.common.hashing import rendezvous_order
from chervilrack._internal.common.ids import NodeId, UpstreamId

_ZERO = timedelta(0)
# Most owners of one cold upstream. More of them reach it with more callers' requests; with fewer,
# each may send several at a time.
MAX_OWNERS = 6
# Span in which the requests to a cold upstream are counted: a second, and what the links may
# shift requests against each other.
WINDOW = timedelta(milliseconds=1100)
# Time for which a view of the fleet is used; views change with heartbeats, which are rarer.
VIEW_LIFETIME = timedelta(milliseconds=100)
# A statement that prolongs the time by less than this is not announced again.
ANNOUNCED_EXTENSION = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """Bound on the requests to one cold upstream: ``overage`` x its rate + ``slack`` a second."""

    overage: float
    slack: float

    def share(self, rate: float) -> int:
        """Return how many requests all owners together may send in a second."""
        bound = rate * self.overage + self.slack
        return math.floor(min(max(rate, 1.0), bound / 2))


class ColdReason(Enum):
    """Why an upstream counts as cold."""

    STARTED = "started"
    ANNOUNCED = "announced"
    ZONE_RETURNED = "zone returned"
    ANSWERS_AGAIN = "answers again"


@dataclass(frozen=True, slots=True)
class ColdFleet:
    """The fleet as one node sees it.

    ``members`` are the nodes that may own cold upstreams. ``may_own`` is whether all others know
    this one as a member, and it knows most of the fleet.
    """

    members: tuple[NodeId, ...]
    may_own: bool


class ColdUpstreams:
    """Cold upstreams as one node knows them, and the requests that it may send them.

    Times are monotonic. ``fleet`` returns the current view of the fleet.
    """

    def __init__(
        self, node: NodeId, limits: ColdLimits | None, fleet: Callable[[], ColdFleet]
    ) -> None:
        self._node = node
        self._limits = limits
        self._get_fleet = fleet
        self._fleet_view: tuple[timedelta, ColdFleet] | None = None
        self._until: dict[UpstreamId, timedelta] = {}
        self._sent: dict[UpstreamId, deque[timedelta]] = {}
        # Members of the fleet to which the quotas belong.
        self._members: tuple[NodeId, ...] = ()
        self._quotas: dict[UpstreamId, int] = {}

    def count(self, now: timedelta) -> int:
        """Return the number of cold upstreams."""
        return sum(1 for until in self._until.values() if until > now)

    def begin(
        self,
        entry: UpstreamEntry,
        service: ServiceSpec | None,
        now: timedelta,
        remaining: timedelta | None = None,
    ) -> timedelta | None:
        """Count an upstream as cold, for ``remaining`` or for the time of its service.

        Returns the end of that time if it is worth an announcement. Services without a warm-up
        have no cold upstreams, and neither have those of stages: their queues call an upstream
        only as fast as it answers.
        """
        if self._limits is None or service is None:
            return None
        warm_up = service.warm_up
        if warm_up is None or service.batching is not None:
            return None
        wait = warm_up.duration if remaining is None else min(remaining, warm_up.duration)
        until, known = now + wait, self._until.get(entry.id, now)
        if until <= max(known, now):
            return None
        self._until[entry.id] = until
        return until if until - max(known, now) >= ANNOUNCED_EXTENSION else None

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an upstream that is gone."""
        for records in (self._until, self._sent, self._quotas):
            records.pop(upstream, None)

    def is_cold(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Whether an upstream counts as cold."""
        until = self._until.get(upstream)
        if until is None:
            return False
        if now >= until:
            self.forget(upstream)
            return False
        return True

    def open_upstreams(
        self, entries: Sequence[UpstreamEntry], warm_up: WarmUpSpec | None, now: timedelta
    ) -> Sequence[UpstreamEntry]:
        """Return the upstreams of a service that may get a request now."""
        if not self._until or warm_up is None:
            return entries
        fleet = self._fleet(now)
        return [entry for entry in entries if self._may_take(entry.id, warm_up, fleet, now)]

    def record_request(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Count a request that is about to be sent; return whether its upstream is cold."""
        if not self.is_cold(upstream, now):
            return False
        self._sent.setdefault(upstream, deque()).append(now)
        return True

    def may_send(self, upstream: UpstreamId, warm_up: WarmUpSpec | None, now: timedelta) -> bool:
        """Whether a request that was recorded may still be sent."""
        if warm_up is None or not self.is_cold(upstream, now):
            return True
        return self._recent(upstream, now) <= self._quota(upstream, warm_up, self._fleet(now))

    def next_return(
        self, entries: Iterable[UpstreamEntry], warm_up: WarmUpSpec | None, now: timedelta
    ) -> timedelta | None:
        """Return when the first of the cold upstreams may get a request, None if none is cold."""
        times = []
        fleet = self._fleet(now)
        for entry in entries:
            if warm_up is None or not self.is_cold(entry.id, now):
                continue
            until, sent = self._until[entry.id], self._sent.get(entry.id)
            quota = self._quota(entry.id, warm_up, fleet)
            if quota and sent and self._recent(entry.id, now) >= quota:
                until = min(until, sent[-quota] + WINDOW)
            elif quota:
                until = now
            times.append(until)
        return min(times, default=None)

    def _fleet(self, now: timedelta) -> ColdFleet:
        if self._fleet_view is None or now - self._fleet_view[0] >= VIEW_LIFETIME:
            self._fleet_view = (now, self._get_fleet())
        return self._fleet_view[1]

    def _may_take(
        self, upstream: UpstreamId, warm_up: WarmUpSpec, fleet: ColdFleet, now: timedelta
    ) -> bool:
        if not self.is_cold(upstream, now):
            return True
        return self._recent(upstream, now) < self._quota(upstream, warm_up, fleet)

    def _recent(self, upstream: UpstreamId, now: timedelta) -> int:
        """Return the number of requests that were sent to an upstream within the window."""
        sent = self._sent.get(upstream)
        if sent is None:
            return 0
        while sent and sent[0] <= now - WINDOW:
            sent.popleft()
        return len(sent)

    def _quota(self, upstream: UpstreamId, warm_up: WarmUpSpec, fleet: ColdFleet) -> int:
        """Return how many requests this node may send to a cold upstream in a second."""
        if not fleet.may_own or self._limits is None:
            return 0
        if fleet.members != self._members:
            self._members = fleet.members
            self._quotas.clear()
        quota = self._quotas.get(upstream)
        if quota is None:
            share = self._limits.share(warm_up.rate)
            count = min(MAX_OWNERS, share, len(fleet.members))
            owners = rendezvous_order(upstream, fleet.members)[:count]
            quota = self._quotas[upstream] = share // count if self._node in owners else 0
        return quota
