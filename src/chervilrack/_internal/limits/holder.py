"""Permits of this node, and the state that the node reports to the owners of limits."""

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import LimitId, ReleaseRevision
from chervilrack._internal.limits.messages import Allocation, Holding
from chervilrack._internal.limits.pool import Pool, WindowEntry
from chervilrack._internal.limits.port import Permit

# A node whose allocation serves fewer attempts than this also reports that it dispatched work, at
# most once per ``PROGRESS_PERIOD``, because owners pass small allocations from node to node in the
# order of waiting time.
SMALL_ALLOCATION = 2
PROGRESS_PERIOD = timedelta(milliseconds=200)


@dataclass(slots=True)
class _PermitUse:
    """Occupied amounts of one permit; ``until`` is the end set by ``release_at``."""

    concurrency: list[tuple[Pool, int]] = field(default_factory=list)
    rates: list[tuple[Pool, WindowEntry]] = field(default_factory=list)
    until: timedelta | None = None


@dataclass(slots=True)
class _LastReport:
    """Values of one pool in the last report to the owner."""

    cap: int = 0
    in_use: int = 0
    total_demand: int = 0
    waiting: bool = False
    served_at: timedelta = timedelta(0)
    reported_at: timedelta = timedelta(0)


class LimitHolder:
    """Permit pools of one node; implements ``PermitSource``.

    ``may_act`` returns whether the node is confirmed now. An unconfirmed node gets no permits.
    """

    def __init__(self, may_act: Callable[[], bool]) -> None:
        self._may_act = may_act
        self._pools: dict[LimitId, Pool] = {}
        self._uses: dict[int, _PermitUse] = {}
        self._timed_releases: list[tuple[timedelta, int]] = []
        self._next_number = 1
        self._last_reports: dict[LimitId, _LastReport] = {}
        # Limits whose pool lacked permits for an attempt.
        self._blocked: set[LimitId] = set()
        # Limits whose pool is in use or has demand. A tick checks only these pools for reports.
        self._busy: set[LimitId] = set()

    # PermitSource

    def try_acquire(self, amounts: Mapping[LimitId, int], now: timedelta) -> Permit | None:
        """Take all amounts and return their permit, or return None and take none.

        Pools without a limit never lack permits, but count those that are taken.
        """
        self._expire(now)
        requested = [(self._pool(limit), amount) for limit, amount in amounts.items() if amount > 0]
        lacking = False
        for pool, amount in requested:
            pool.advance(now)
            available = pool.available
            if available is not None and available < amount:
                lacking = True
                pool.largest_attempt = max(pool.largest_attempt, amount)
                self._blocked.add(pool.limit)
        if lacking or not self._may_act():
            return None
        use = _PermitUse()
        for pool, amount in requested:
            self._busy.add(pool.limit)
            entry = pool.take(amount, now)
            if entry is None:
                use.concurrency.append((pool, amount))
            else:
                use.rates.append((pool, entry))
        number = self._next_number
        self._next_number += 1
        self._uses[number] = use
        return Permit(number, dict(amounts))

    def shortage(self, amounts: Mapping[LimitId, int], now: timedelta) -> tuple[LimitId, ...]:
        """Return the limits whose pools lack permits for ``amounts``."""
        self._expire(now)
        lacking_limits = []
        for limit, amount in amounts.items():
            pool = self._pools.get(limit)
            if pool is None:
                continue
            pool.advance(now)
            available = pool.available
            if available is not None and available < amount:
                lacking_limits.append(limit)
        return tuple(lacking_limits)

    def release(self, permit: Permit, now: timedelta) -> None:
        """Free the concurrency permits. A second call has no effect."""
        self._free(permit.number)

    def release_at(self, permit: Permit, at: timedelta) -> None:
        """Free the concurrency permits at time ``at``, unless ``release`` is called earlier."""
        use = self._uses.get(permit.number)
        if use is not None:
            use.until = at
            heapq.heappush(self._timed_releases, (at, permit.number))

    def cancel(self, permit: Permit, now: timedelta) -> None:
        """Free all permits, rate permits included, of an attempt that was never sent."""
        use = self._uses.get(permit.number)
        if use is None:
            return
        for pool, entry in use.rates:
            pool.free_rate(entry)
        self._free(permit.number)

    def set_demand(self, waiting: Mapping[LimitId, int], now: timedelta) -> None:
        """Set the permits that waiting work needs, per limit; 0 for limits not in ``waiting``."""
        for limit in self._busy - waiting.keys():
            idle_pool = self._pools.get(limit)
            if idle_pool is not None:
                idle_pool.waiting = 0
                idle_pool.largest_attempt = 0
        for limit, amount in waiting.items():
            pool = self._pool(limit)
            pool.advance(now)
            if amount and not pool.waiting:
                pool.served_at = now
            pool.waiting = max(0, amount)
            if not amount:
                pool.largest_attempt = 0
            pool.update_peak(now)
            self._busy.add(limit)

    # Methods for limit policies

    def configure(self, limit: LimitId, capacity: int | None, revision: ReleaseRevision) -> bool:
        """Apply the capacity that a release sets for a limit and return whether it changed."""
        return self._pool(limit).configure(capacity, revision)

    def start_epoch(self, member: bool) -> None:
        """Restart the versions of allocations. A node that is no member loses its allocations."""
        for pool in self._pools.values():
            pool.version = 0
            if not member:
                pool.cap = 0
                pool.suspended = False
        self._last_reports.clear()

    def adopt(self, allocation: Allocation) -> bool:
        """Adopt an allocation if it is newer and return whether the node gained free permits."""
        pool = self._pools.get(allocation.limit)
        if pool is None or pool.capacity is None or not self._is_newer(pool, allocation):
            return False
        available_before = pool.available or 0
        pool.adopt(allocation.version, allocation.amount, allocation.revision)
        return (pool.available or 0) > available_before

    def set_cap(self, limit: LimitId, amount: int) -> None:
        """Set the cap of a limit directly, for policies without limit owners."""
        pool = self._pool(limit)
        pool.adopt(pool.version + 1, amount, pool.tightened_revision)

    @staticmethod
    def _is_newer(pool: Pool, allocation: Allocation) -> bool:
        """Whether an allocation is newer than the pool's and respects its last tightening."""
        return allocation.version > pool.version and allocation.revision >= pool.tightened_revision

    def report_holding(self, limit: LimitId, now: timedelta) -> Holding:
        """Return the state of a limit's pool and record it as the last report."""
        pool = self._pool(limit)
        pool.advance(now)
        pool.update_peak(now)
        holding = Holding(
            limit=limit,
            version=pool.version,
            cap=pool.cap,
            in_use=pool.occupied,
            total_demand=pool.total_demand,
            largest_attempt=max(1, pool.largest_attempt),
            waiting_s=(now - pool.served_at).total_seconds() if pool.waiting else None,
            suspended=pool.suspended,
        )
        self._last_reports[limit] = _LastReport(
            pool.cap, pool.occupied, pool.total_demand, pool.waiting > 0, pool.served_at, now
        )
        return holding

    def tick(self, now: timedelta) -> frozenset[LimitId]:
        """Free expired permits and return the limits for which blocked work may be tried again."""
        self._expire(now)
        gained = set()
        for limit in list(self._blocked):
            pool = self._pools.get(limit)
            if pool is not None:
                pool.advance(now)
                available = pool.available
                if available is not None and available < max(1, pool.largest_attempt):
                    continue
            gained.add(limit)
            self._blocked.discard(limit)
        return frozenset(gained)

    def due_reports(self, now: timedelta) -> list[LimitId]:
        """Return the limits whose owners need a new report about this node's pool."""
        due_limits = []
        for limit in list(self._busy):
            pool = self._pools.get(limit)
            if pool is None:
                self._busy.discard(limit)
                continue
            pool.advance(now)
            pool.update_peak(now)
            if pool.capacity is not None and self._needs_report(pool, now):
                due_limits.append(limit)
            elif not pool.total_demand and not pool.occupied:
                self._busy.discard(limit)
                if pool.removable:
                    del self._pools[limit]
                    self._last_reports.pop(limit, None)
        return due_limits

    def nonempty_limits(self) -> list[LimitId]:
        """Return the limits in force whose pool is not empty, as a complete report lists them."""
        return [
            pool.limit
            for pool in self._pools.values()
            if pool.capacity is not None
            and (pool.cap or pool.occupied or pool.total_demand or pool.suspended)
        ]

    def has_limit(self, limit: LimitId) -> bool:
        """Whether the release in force at this node has the limit."""
        pool = self._pools.get(limit)
        return pool is not None and pool.capacity is not None

    def pool(self, limit: LimitId) -> Pool | None:
        """Return the pool of a limit, for status output and tests."""
        return self._pools.get(limit)

    @property
    def limits(self) -> Iterable[LimitId]:
        """Limits for which this node has a pool."""
        return self._pools.keys()

    def _needs_report(self, pool: Pool, now: timedelta) -> bool:
        """Whether the owner needs a new report about the pool.

        Any of these changes since the last report makes a new one necessary:
        - The node freed permits while it exceeded its cap or was suspended.
        - The demand exceeds the cap, and rose by an eighth or more or now has waiting work.
        - The demand changed by more than a quarter.
        - The node served waiting work from a small allocation.
        """
        last = self._last_reports.get(pool.limit)
        total_demand = pool.total_demand
        if last is None:
            return bool(pool.cap or pool.occupied or total_demand)
        if pool.occupied < last.in_use and (last.in_use > pool.cap or pool.suspended):
            return True
        increase = total_demand - last.total_demand
        if (
            increase > 0
            and (increase * 8 >= last.total_demand or not last.waiting)
            and total_demand > pool.cap
        ):
            return True
        if abs(increase) * 4 > last.total_demand:
            return True
        if pool.waiting and not last.waiting and total_demand > pool.cap:
            return True
        return (
            pool.waiting > 0
            and pool.cap < SMALL_ALLOCATION * max(1, pool.largest_attempt)
            and pool.served_at > last.served_at
            and now - last.reported_at >= PROGRESS_PERIOD
        )

    def _pool(self, limit: LimitId) -> Pool:
        pool = self._pools.get(limit)
        if pool is None:
            pool = self._pools[limit] = Pool(limit)
        return pool

    def _expire(self, now: timedelta) -> None:
        while self._timed_releases and self._timed_releases[0][0] <= now:
            at, number = heapq.heappop(self._timed_releases)
            use = self._uses.get(number)
            if use is not None and use.until == at:
                self._free(number)

    def _free(self, number: int) -> None:
        use = self._uses.pop(number, None)
        if use is not None:
            for pool, amount in use.concurrency:
                pool.free(amount)
