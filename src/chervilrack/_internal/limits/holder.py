"""Permits held by this node, and the reports about them."""

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import LimitId, ReleaseRevision
from chervilrack._internal.limits.messages import Allocation, Holding
from chervilrack._internal.limits.pool import Pool, WindowEntry
from chervilrack._internal.limits.port import Permit

# A node whose allocation serves fewer attempts than this reports that it was served, because
# owners pass small allocations around in the order of waiting time.
SMALL_ALLOCATION = 2
PROGRESS_PERIOD = timedelta(milliseconds=200)


@dataclass(slots=True)
class _Taken:
    """What one permit occupies."""

    concurrency: list[tuple[Pool, int]] = field(default_factory=list)
    rates: list[tuple[Pool, WindowEntry]] = field(default_factory=list)
    until: timedelta | None = None


@dataclass(slots=True)
class _Reported:
    """Last values reported to the owner."""

    cap: int = 0
    in_use: int = 0
    total_demand: int = 0
    waiting: bool = False
    served_at: timedelta = timedelta(0)
    at: timedelta = timedelta(0)


class LimitHolder:
    """Holdings of one node; implements ``PermitSource``.

    ``may_act`` tells whether the node is confirmed at this moment.
    """

    def __init__(self, may_act: Callable[[], bool]) -> None:
        self._may_act = may_act
        self._pools: dict[LimitId, Pool] = {}
        self._taken: dict[int, _Taken] = {}
        self._timed: list[tuple[timedelta, int]] = []
        self._next_number = 1
        self._reported: dict[LimitId, _Reported] = {}
        self._blocked: set[LimitId] = set()
        # Pools in use or with demand; a tick visits only these.
        self._busy: set[LimitId] = set()

    # PermitSource

    def try_acquire(self, amounts: Mapping[LimitId, int], now: timedelta) -> Permit | None:
        """Take all amounts or none. Pools without a limit are counted but never lack permits."""
        self._expire(now)
        chosen = [(self._pool(limit), amount) for limit, amount in amounts.items() if amount > 0]
        lacking = False
        for pool, amount in chosen:
            pool.advance(now)
            available = pool.available
            if available is not None and available < amount:
                lacking = True
                pool.chunk = max(pool.chunk, amount)
                self._blocked.add(pool.limit)
        if lacking or not self._may_act():
            return None
        taken = _Taken()
        for pool, amount in chosen:
            self._busy.add(pool.limit)
            entry = pool.take(amount, now)
            if entry is None:
                taken.concurrency.append((pool, amount))
            else:
                taken.rates.append((pool, entry))
        number = self._next_number
        self._next_number += 1
        self._taken[number] = taken
        return Permit(number, dict(amounts))

    def shortage(self, amounts: Mapping[LimitId, int], now: timedelta) -> tuple[LimitId, ...]:
        """Return the pools that lack permits for ``amounts``."""
        self._expire(now)
        short = []
        for limit, amount in amounts.items():
            pool = self._pools.get(limit)
            if pool is None:
                continue
            pool.advance(now)
            available = pool.available
            if available is not None and available < amount:
                short.append(limit)
        return tuple(short)

    def release(self, permit: Permit, now: timedelta) -> None:
        """Give back the concurrency permits. A second call has no effect."""
        self._free(permit.number)

    def release_at(self, permit: Permit, at: timedelta) -> None:
        """Give back the concurrency permits at ``at``; ``release`` may still come earlier."""
        taken = self._taken.get(permit.number)
        if taken is not None:
            taken.until = at
            heapq.heappush(self._timed, (at, permit.number))

    def cancel(self, permit: Permit, now: timedelta) -> None:
        """Give back everything, rates included: the attempt was never sent."""
        taken = self._taken.get(permit.number)
        if taken is None:
            return
        for pool, entry in taken.rates:
            pool.cancel_rate(entry)
        self._free(permit.number)

    def set_demand(self, waiting: Mapping[LimitId, int], now: timedelta) -> None:
        """State the permits that waiting work needs; pools that are not listed need none."""
        for limit in self._busy - waiting.keys():
            known = self._pools.get(limit)
            if known is not None:
                known.waiting = 0
                known.chunk = 0
        for limit, amount in waiting.items():
            pool = self._pool(limit)
            pool.advance(now)
            if amount and not pool.waiting:
                pool.served_at = now
            pool.waiting = max(0, amount)
            if not amount:
                pool.chunk = 0
            pool.note_level(now)
            self._busy.add(limit)

    # Driven by LimitService

    def configure(self, limit: LimitId, capacity: int | None, revision: ReleaseRevision) -> bool:
        """Apply the capacity that a release gives a limit; return whether it changed."""
        return self._pool(limit).configure(capacity, revision)

    def start_epoch(self, member: bool) -> None:
        """Begin a new epoch: versions restart; a node that is no member holds nothing."""
        for pool in self._pools.values():
            pool.version = 0
            if not member:
                pool.cap = 0
                pool.suspended = False
        self._reported.clear()

    def adopt(self, allocation: Allocation) -> bool:
        """Adopt a newer allocation; return whether free permits were gained."""
        pool = self._pools.get(allocation.limit)
        if pool is None or pool.capacity is None or not self._is_newer(pool, allocation):
            return False
        before = pool.available or 0
        pool.adopt(allocation.version, allocation.amount, allocation.revision)
        return (pool.available or 0) > before

    def set_cap(self, limit: LimitId, amount: int) -> None:
        """Set a cap without an owner; for the policies that have none."""
        pool = self._pool(limit)
        pool.adopt(pool.version + 1, amount, pool.tightened_at)

    @staticmethod
    def _is_newer(pool: Pool, allocation: Allocation) -> bool:
        """Tell whether an allocation supersedes the pool's and was computed under its limit."""
        return allocation.version > pool.version and allocation.revision >= pool.tightened_at

    def report_holding(self, limit: LimitId, now: timedelta) -> Holding:
        """Return the state of a pool and note it as reported."""
        pool = self._pool(limit)
        pool.advance(now)
        pool.note_level(now)
        holding = Holding(
            limit=limit,
            version=pool.version,
            cap=pool.cap,
            in_use=pool.occupied,
            total_demand=pool.total_demand,
            chunk=max(1, pool.chunk),
            waited=(now - pool.served_at).total_seconds() if pool.waiting else None,
            suspended=pool.suspended,
        )
        self._reported[limit] = _Reported(
            pool.cap, pool.occupied, pool.total_demand, pool.waiting > 0, pool.served_at, now
        )
        return holding

    def tick(self, now: timedelta) -> frozenset[LimitId]:
        """Free what has expired; return pools where blocked work may be tried again."""
        self._expire(now)
        gained = set()
        for limit in list(self._blocked):
            pool = self._pools.get(limit)
            if pool is not None:
                pool.advance(now)
                available = pool.available
                if available is not None and available < max(1, pool.chunk):
                    continue
            gained.add(limit)
            self._blocked.discard(limit)
        return frozenset(gained)

    def due_reports(self, now: timedelta) -> list[LimitId]:
        """Return the pools whose state differs from the last report in a way owners need."""
        due = []
        for limit in list(self._busy):
            pool = self._pools.get(limit)
            if pool is None:
                self._busy.discard(limit)
                continue
            pool.advance(now)
            pool.note_level(now)
            if pool.capacity is not None and self._needs_report(pool, now):
                due.append(limit)
            elif not pool.total_demand and not pool.occupied:
                self._busy.discard(limit)
                if pool.unused:
                    del self._pools[limit]
                    self._reported.pop(limit, None)
        return due

    def occupied_limits(self) -> list[LimitId]:
        """Return the limited pools with a cap, occupied permits, demand or a suspension."""
        return [
            pool.limit
            for pool in self._pools.values()
            if pool.capacity is not None
            and (pool.cap or pool.occupied or pool.total_demand or pool.suspended)
        ]

    def limited(self, limit: LimitId) -> bool:
        """Tell whether this node's release has the limit."""
        pool = self._pools.get(limit)
        return pool is not None and pool.capacity is not None

    def pool(self, limit: LimitId) -> Pool | None:
        """Return the pool of a limit for status and tests."""
        return self._pools.get(limit)

    @property
    def limits(self) -> Iterable[LimitId]:
        """Limits known at this node."""
        return self._pools.keys()

    def _needs_report(self, pool: Pool, now: timedelta) -> bool:
        last = self._reported.get(pool.limit)
        total_demand = pool.total_demand
        if last is None:
            return bool(pool.cap or pool.occupied or total_demand)
        if pool.occupied < last.in_use and (last.in_use > pool.cap or pool.suspended):
            return True
        rise = total_demand - last.total_demand
        if (
            rise > 0
            and (rise * 8 >= last.total_demand or not last.waiting)
            and total_demand > pool.cap
        ):
            return True
        if abs(rise) * 4 > last.total_demand:
            return True
        if pool.waiting and not last.waiting and total_demand > pool.cap:
            return True
        return (
            pool.waiting > 0
            and pool.cap < SMALL_ALLOCATION * max(1, pool.chunk)
            and pool.served_at > last.served_at
            and now - last.at >= PROGRESS_PERIOD
        )

    def _pool(self, limit: LimitId) -> Pool:
        pool = self._pools.get(limit)
        if pool is None:
            pool = self._pools[limit] = Pool(limit)
        return pool

    def _expire(self, now: timedelta) -> None:
        while self._timed and self._timed[0][0] <= now:
            at, number = heapq.heappop(self._timed)
            taken = self._taken.get(number)
            if taken is not None and taken.until == at:
                self._free(number)

    def _free(self, number: int) -> None:
        taken = self._taken.pop(number, None)
        if taken is not None:
            for pool, amount in taken.concurrency:
                pool.give_back(amount)
