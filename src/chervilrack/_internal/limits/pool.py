"""Pool of the permits that one node holds under one limit."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import LimitId, ReleaseRevision
from chervilrack._internal.releases.state import LimitKind, limit_kind

RATE_WINDOW = timedelta(seconds=1)
# Covers the difference between the transfer times of two attempts, by which their arrivals at the
# upstream may be closer together than their dispatches.
WINDOW_MARGIN = timedelta(milliseconds=50)
# Reported demand is the peak of the current and the previous period of this length. It follows an
# increase at once and a decrease later, so that a node keeps its permits between bursts.
PEAK_PERIOD = timedelta(milliseconds=400)

_ZERO = timedelta(0)


@dataclass(slots=True)
class WindowEntry:
    """Rate permits of one attempt, which stay occupied until ``until``."""

    until: timedelta
    amount: int


class Pool:
    """Allocation, occupied permits and waiting demand of one limit at this node.

    All amounts are in permits; a permit stands for one attempt, request or token, depending on the
    kind of the limit. ``capacity`` is the limit that the node's release sets, or None without a
    limit. ``cap`` is the part of the capacity that the node may occupy. ``waiting`` is the number
    of permits that waiting work needs, and ``largest_attempt`` the largest number that one waiting
    attempt failed to get. A pool without a capacity counts its occupied permits as well, because a
    later release may set a limit.
    """

    __slots__ = (
        "_occupied", "_window", "allocation_revision", "cap", "capacity", "largest_attempt",
        "limit", "peak", "peak_started", "previous_peak", "rate_limited", "served_at",
        "suspended", "tightened_revision", "version", "waiting",
    )  # fmt: skip

    def __init__(self, limit: LimitId) -> None:
        self.limit = limit
        self.rate_limited = limit_kind(limit) is not LimitKind.CONCURRENCY
        self.capacity: int | None = None
        self.cap = 0
        self.version = 0
        self.allocation_revision = ReleaseRevision(0)
        self.tightened_revision = ReleaseRevision(0)
        self.suspended = False
        self.waiting = 0
        self.largest_attempt = 0
        self.served_at = _ZERO
        self.peak = 0
        self.previous_peak = 0
        self.peak_started = _ZERO
        self._occupied = 0
        self._window: deque[WindowEntry] = deque()

    @property
    def occupied(self) -> int:
        """Number of occupied permits as of the last call of ``advance``."""
        return self._occupied

    @property
    def available(self) -> int | None:
        """Number of permits that may be taken now, or None without a limit."""
        if self.capacity is None:
            return None
        return 0 if self.suspended else max(0, self.cap - self._occupied)

    @property
    def removable(self) -> bool:
        """Whether the pool holds no state: no limit, occupied permits or window entries."""
        return self.capacity is None and not self._occupied and not self._window

    def advance(self, now: timedelta) -> None:
        """Free the rate permits whose window has passed."""
        window = self._window
        while window and window[0].until <= now:
            entry = window.popleft()
            self._occupied -= entry.amount
            entry.amount = 0

    def take(self, amount: int, now: timedelta) -> WindowEntry | None:
        """Occupy ``amount`` permits and return their window entry if this is a rate limit."""
        self._occupied += amount
        self.served_at = now
        self.largest_attempt = 0
        self.waiting = max(0, self.waiting - amount)
        self.update_peak(now)
        if not self.rate_limited:
            return None
        entry = WindowEntry(now + RATE_WINDOW + WINDOW_MARGIN, amount)
        self._window.append(entry)
        return entry

    def free(self, amount: int) -> None:
        """Free ``amount`` concurrency permits."""
        self._occupied -= amount

    def free_rate(self, entry: WindowEntry) -> None:
        """Free the rate permits of an attempt that was never sent."""
        self._occupied -= entry.amount
        entry.amount = 0

    def update_peak(self, now: timedelta) -> None:
        """Update the peak with the number of permits now occupied or needed by waiting work."""
        if now - self.peak_started >= PEAK_PERIOD:
            recent = now - self.peak_started < 2 * PEAK_PERIOD
            self.previous_peak = self.peak if recent else 0
            self.peak = 0
            self.peak_started = now
        self.peak = max(self.peak, self._occupied + self.waiting)

    @property
    def total_demand(self) -> int:
        """Number of permits that this node could use: the recent peak, at most the limit."""
        recent_demand = max(self.peak, self.previous_peak, self._occupied + self.waiting)
        return recent_demand if self.capacity is None else min(recent_demand, self.capacity)

    def configure(self, capacity: int | None, revision: ReleaseRevision) -> bool:
        """Apply the capacity that a release sets and return whether it changed."""
        old_capacity = self.capacity
        if capacity == old_capacity:
            return False
        self.capacity = capacity
        if capacity is None:
            self.cap = 0
            self.suspended = False
        elif old_capacity is None:
            self.cap = 0
            self.tightened_revision = revision
            self.suspended = self._occupied > 0
        elif capacity < old_capacity:
            self.tightened_revision = revision
            if self.allocation_revision < revision:
                self.cap = self.cap * capacity // old_capacity if old_capacity else 0
                # Work that other nodes dispatched under the old capacity may exceed their scaled
                # shares. This node dispatches nothing until the owner has accounted for that work.
                self.suspended = self.cap > 0 or self._occupied > 0
        return True

    def adopt(self, version: int, amount: int, revision: ReleaseRevision) -> None:
        """Set the cap to an allocation computed under a release revision."""
        self.version = version
        self.cap = amount
        self.allocation_revision = revision
        self.suspended = False
