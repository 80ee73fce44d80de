"""Permits of one limit at one node."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import LimitId, ReleaseRevision
from chervilrack._internal.releases.state import LimitKind, limit_kind

RATE_WINDOW = timedelta(seconds=1)
# Two attempts may reach the upstream closer together than they were dispatched, by the difference
# of their transfer times.
WINDOW_MARGIN = timedelta(milliseconds=50)
# Reported demand follows increases at once and decreases after this time, so that a node keeps
# its permits through the gaps between bursts.
PEAK_PERIOD = timedelta(milliseconds=400)

_ZERO = timedelta(0)


@dataclass(slots=True)
class WindowEntry:
    """Rate permits of one attempt and the time until which they stay occupied."""

    until: timedelta
    amount: int


class Pool:
    """Allocation, occupied permits and waiting demand of one limit.

    Amounts are permits (attempts, requests or tokens). A pool without a capacity counts its
    occupied permits as well, because a later release may set a limit.
    """

    __slots__ = (
        "_occupied", "_window", "allocation_revision", "cap", "capacity", "chunk", "limit",
        "peak", "peak_started", "previous_peak", "rate", "served_at", "suspended",
        "tightened_at", "version", "waiting",
    )  # fmt: skip

    def __init__(self, limit: LimitId) -> None:
        self.limit = limit
        self.rate = limit_kind(limit) is not LimitKind.CONCURRENCY
        self.capacity: int | None = None
        self.cap = 0
        self.version = 0
        self.allocation_revision = ReleaseRevision(0)
        self.tightened_at = ReleaseRevision(0)
        self.suspended = False
        self.waiting = 0
        self.chunk = 0
        self.served_at = _ZERO
        self.peak = 0
        self.previous_peak = 0
        self.peak_started = _ZERO
        self._occupied = 0
        self._window: deque[WindowEntry] = deque()

    @property
    def occupied(self) -> int:
        """Occupied permits as of the last call of ``advance``."""
        return self._occupied

    @property
    def available(self) -> int | None:
        """Permits that may be taken now; None without a limit."""
        if self.capacity is None:
            return None
        return 0 if self.suspended else max(0, self.cap - self._occupied)

    @property
    def unused(self) -> bool:
        """Whether nothing is known about this pool that must be kept."""
        return self.capacity is None and not self._occupied and not self._window

    def advance(self, now: timedelta) -> None:
        """Free the rate permits whose window has passed."""
        window = self._window
        while window and window[0].until <= now:
            entry = window.popleft()
            self._occupied -= entry.amount
            entry.amount = 0

    def take(self, amount: int, now: timedelta) -> WindowEntry | None:
        """Occupy ``amount`` permits; return the window entry of a rate permit."""
        self._occupied += amount
        self.served_at = now
        self.chunk = 0
        self.waiting = max(0, self.waiting - amount)
        self.note_level(now)
        if not self.rate:
            return None
        entry = WindowEntry(now + RATE_WINDOW + WINDOW_MARGIN, amount)
        self._window.append(entry)
        return entry

    def give_back(self, amount: int) -> None:
        """Free concurrency permits."""
        self._occupied -= amount

    def cancel_rate(self, entry: WindowEntry) -> None:
        """Free the rate permits of an attempt that was never sent."""
        self._occupied -= entry.amount
        entry.amount = 0

    def note_level(self, now: timedelta) -> None:
        """Record the number of permits in use and wanted."""
        if now - self.peak_started >= PEAK_PERIOD:
            recent = now - self.peak_started < 2 * PEAK_PERIOD
            self.previous_peak = self.peak if recent else 0
            self.peak = 0
            self.peak_started = now
        self.peak = max(self.peak, self._occupied + self.waiting)

    @property
    def total_demand(self) -> int:
        """Permits this node could use in total, up to the limit."""
        level = max(self.peak, self.previous_peak, self._occupied + self.waiting)
        return level if self.capacity is None else min(level, self.capacity)

    def configure(self, capacity: int | None, revision: ReleaseRevision) -> bool:
        """Apply the capacity of a release; return whether it changed."""
        old = self.capacity
        if capacity == old:
            return False
        self.capacity = capacity
        if capacity is None:
            self.cap = 0
            self.suspended = False
        elif old is None:
            self.cap = 0
            self.tightened_at = revision
            self.suspended = self._occupied > 0
        elif capacity < old:
            self.tightened_at = revision
            if self.allocation_revision < revision:
                self.cap = self.cap * capacity // old if old else 0
                # Other nodes may still run more work than their scaled share. Nothing is
                # dispatched until the owner has counted it.
                self.suspended = self.cap > 0 or self._occupied > 0
        return True

    def adopt(self, version: int, amount: int, revision: ReleaseRevision) -> None:
        """Adopt an allocation of the owner."""
        self.version = version
        self.cap = amount
        self.allocation_revision = revision
        self.suspended = False
