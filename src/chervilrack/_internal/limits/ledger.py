"""Ledger of one limit at its owner: the permits that each node may occupy."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import LimitId, NodeId, ReleaseRevision
from chervilrack._internal.limits.messages import Allocation, Holding
from chervilrack._internal.limits.sharing import Claim, fair_shares

# A node keeps a small allocation for this long while other nodes wait for one. Moving an allocation
# takes two round trips, which would use up much of a shorter turn.
TURN_TIME = timedelta(milliseconds=200)
# A node that served no work within this time of its turn moves behind the other waiting nodes.
# Otherwise, work that waits for a second pool would block the permits of the first one.
UNUSED_TURN_TIME = timedelta(milliseconds=600)
# A node whose shortfall is below its fair share divided by this number does not cause other nodes
# to lose permits that they need.
RECALL_TOLERANCE_DIVISOR = 10
# Every member keeps at least one permit if the usable permits are at least this many times the
# number of members.
KEEP_ONE_FACTOR = 4

# Longer than a round trip between zones plus one tick.
FIRST_RETRY_DELAY = timedelta(milliseconds=150)
# Bounds the retransmissions during a long partition, and still lets capacity move within a second
# after the partition ends.
MAX_RETRY_DELAY = timedelta(milliseconds=800)

_ZERO = timedelta(0)


@dataclass(slots=True)
class Account:
    """State of one node's allocation as the owner knows it. All times are on the owner's clock.

    ``sequence`` and ``revision`` are those of the latest report. ``version`` and ``allocated``
    describe the latest allocation, and ``unacknowledged`` holds the amounts, by version, of
    allocations that the node has not reported as adopted. ``granted_at`` is the time of the last
    increase, and ``passed_over_at`` the time at which the node lost an unused turn.
    """

    sequence: int = -1
    revision: ReleaseRevision | None = None
    version: int = 0
    allocated: int = 0
    unacknowledged: dict[int, int] = field(default_factory=dict)
    cap: int = 0
    in_use: int = 0
    total_demand: int = 0
    largest_attempt: int = 1
    waiting_since: timedelta | None = None
    suspended: bool = False
    granted_at: timedelta = _ZERO
    passed_over_at: timedelta | None = None
    retry_at: timedelta = _ZERO
    retry_delay: timedelta = FIRST_RETRY_DELAY

    @property
    def reserved(self) -> int:
        """Highest number of permits that the node may occupy, now or after messages in transit."""
        reported = max(self.cap, self.in_use)
        return max(self.in_transit, reported) if self.unacknowledged else reported

    @property
    def in_transit(self) -> int:
        """Highest allocation that was sent but not reported as adopted."""
        return max(self.unacknowledged.values(), default=0)


class LimitLedger:
    """Allocations of one limit for one epoch.

    The ledger reserves for each node the highest number of permits that the node may occupy. The
    sum of all reserved and quarantined permits exceeds the capacity only while work runs that was
    dispatched before a release lowered the capacity. No allocation is raised during that time.

    ``departed_reservation`` is the number of permits that departed members may occupy according to
    the ledger of the previous epoch, or None if unknown.
    """

    def __init__(self, limit: LimitId, departed_reservation: int | None = None) -> None:
        self._limit = limit
        self._departed_reservation = departed_reservation
        self._configured = False
        self._tightened = False
        self._capacity: int | None = None
        self._introduced_revision = ReleaseRevision(0)
        self._quarantined: int | None = None
        self._accounts: dict[NodeId, Account] = {}
        self._planned_at = timedelta.min

    @property
    def planned_at(self) -> timedelta:
        """Time of the last call of ``plan`` that computed allocations."""
        return self._planned_at

    @property
    def capacity(self) -> int | None:
        """Capacity under the release that the owner has applied, or None without a limit."""
        return self._capacity

    @property
    def introduced_revision(self) -> ReleaseRevision:
        """Revision since which the limit exists. Reports under older revisions do not count."""
        return self._introduced_revision

    @property
    def accounts(self) -> dict[NodeId, Account]:
        """Accounts by node."""
        return self._accounts

    @property
    def quarantined(self) -> int:
        """Number of permits that the work of removed nodes may still occupy."""
        return self._quarantined or 0

    @property
    def total_reserved(self) -> int:
        """Number of permits reserved for all nodes."""
        return sum(account.reserved for account in self._accounts.values())

    def configure(
        self, capacity: int | None, revision: ReleaseRevision, now: timedelta
    ) -> set[NodeId]:
        """Apply the capacity that a release sets and return the nodes with a new allocation."""
        old_capacity, self._capacity = self._capacity, capacity
        if capacity is None:
            return set()
        if old_capacity is None:
            self._introduced_revision = revision
            self._quarantined = None
            if self._configured:
                self._departed_reservation = None
                self._tightened = True
            self._configured = True
        elif capacity >= old_capacity:
            return set()
        self._tightened = self._tightened or old_capacity is not None
        # Holders refuse allocations computed under the old capacity, so these are replaced.
        pending = {node for node, account in self._accounts.items() if account.unacknowledged}
        excess = self._excess
        for node in pending:
            account = self._accounts[node]
            scaled = account.allocated * capacity // old_capacity if old_capacity else 0
            self._issue(account, min(scaled, max(0, account.reserved - excess)), now)
        return pending

    def record_holding(
        self, node: NodeId, holding: Holding, sequence: int, revision: ReleaseRevision,
        now: timedelta,
    ) -> None:  # fmt: skip
        """Record a node's report about this limit unless a later one was recorded."""
        account = self._accounts.setdefault(node, Account())
        if not self._is_newer(account, sequence):
            return
        account.sequence = sequence
        account.revision = revision
        for version in [v for v in account.unacknowledged if v <= holding.version]:
            del account.unacknowledged[version]
        work_served = holding.waiting_s is None or account.waiting_since is None
        account.cap = holding.cap
        account.in_use = holding.in_use
        account.total_demand = holding.total_demand
        account.largest_attempt = holding.largest_attempt
        account.suspended = holding.suspended
        if holding.waiting_s is None:
            account.waiting_since = None
        else:
            account.waiting_since = now - timedelta(seconds=holding.waiting_s)
        if work_served:
            account.passed_over_at = None
        if not account.unacknowledged:
            account.allocated = holding.cap

    def record_empty(self, node: NodeId, sequence: int, revision: ReleaseRevision) -> None:
        """Record that a complete report of ``node`` does not list this limit."""
        account = self._accounts.setdefault(node, Account())
        if self._is_newer(account, sequence):
            account.sequence = sequence
            account.cap = account.in_use = account.total_demand = 0
            account.waiting_since = None
            account.suspended = False
        if account.revision is None or account.revision < revision:
            account.revision = revision

    @staticmethod
    def _is_newer(account: Account, sequence: int) -> bool:
        return sequence > account.sequence

    def reserved_for(self, departed: Iterable[NodeId]) -> int | None:
        """Return the number of permits that departed members may occupy.

        The permits that are still quarantined for members that departed earlier are included. The
        result is None before the first plan of the epoch, when not all holdings are known.
        """
        if self._quarantined is None:
            return None
        accounts = [self._accounts.get(node) for node in departed]
        return self._quarantined + sum(account.reserved for account in accounts if account)

    def has_all_reports(self, members: frozenset[NodeId]) -> bool:
        """Whether every member sent a report under a revision that has the limit."""
        if len(self._accounts) < len(members):
            return False
        for node in members:
            account = self._accounts.get(node)
            if account is None or account.revision is None:
                return False
            if account.revision < self._introduced_revision:
                return False
        return True

    def plan(self, members: frozenset[NodeId], quarantine: bool, now: timedelta) -> set[NodeId]:
        """Allocate permits by demand and return the nodes with a new allocation.

        Nothing is allocated until all members have reported. ``quarantine`` states whether work of
        removed members may still run.
        """
        if self._capacity is None or not self.has_all_reports(members):
            return set()
        self._planned_at = now
        if quarantine:
            if self._quarantined is None:
                self._quarantined = self._permits_to_quarantine(self._capacity)
        else:
            self._quarantined = 0
        changed = self._allocate_to_suspended(now)
        usable = max(0, self._capacity - self.quarantined)
        nodes = self._by_priority(members, now)
        floor = 1 if usable >= KEEP_ONE_FACTOR * len(nodes) else 0
        claims = [
            Claim(min(max(a.total_demand, floor), usable), min(a.largest_attempt, usable))
            for a in (self._accounts[node] for node in nodes)
        ]
        targets = dict(zip(nodes, fair_shares(max(0, usable), claims), strict=True))
        changed |= self._recall(targets, usable, now)
        changed |= self._grant(targets, usable, now)
        return changed

    def _permits_to_quarantine(self, capacity: int) -> int:
        """Return the number of permits that the work of removed nodes may occupy.

        The whole capacity is quarantined if the capacity was lowered or the limit was introduced
        recently, or if some node is suspended. The work of removed nodes may then exceed the
        capacity that the reports leave.
        """
        if self._departed_reservation is not None:
            return self._departed_reservation
        if self._tightened or any(account.suspended for account in self._accounts.values()):
            return capacity
        return max(0, capacity - self.total_reserved)

    @property
    def has_starving_node(self) -> bool:
        """Whether work waits at some node whose allocation is too small for one attempt."""
        usable = (self._capacity or 0) - self.quarantined
        return any(
            account.waiting_since is not None
            and account.allocated < min(account.largest_attempt, usable)
            for account in self._accounts.values()
        )

    def allocation(self, node: NodeId, revision: ReleaseRevision) -> Allocation:
        """Return the latest allocation of a node, marked with the owner's release ``revision``."""
        account = self._accounts[node]
        return Allocation(self._limit, account.version, account.allocated, revision)

    def _allocate_to_suspended(self, now: timedelta) -> set[NodeId]:
        """Allocate to nodes that are suspended since a release lowered the capacity."""
        changed = set()
        suspended_nodes = [(n, a) for n, a in self._accounts.items() if a.suspended]
        excess = self._excess if suspended_nodes else 0
        for node, account in suspended_nodes:
            if not account.unacknowledged:
                amount = min(account.cap, max(0, account.reserved - excess))
                if amount > account.in_use or not excess:
                    self._issue(account, amount, now)
                    changed.add(node)
        return changed

    @property
    def _excess(self) -> int:
        """Reserved and quarantined permits above the capacity.

        The value is positive only while work runs that was dispatched under a higher capacity.
        """
        return max(0, self.total_reserved + self.quarantined - (self._capacity or 0))

    def _by_priority(self, members: frozenset[NodeId], now: timedelta) -> list[NodeId]:
        """Order the members by priority for permits.

        Nodes whose allocation suffices for an attempt and whose turn has not ended come first, next
        the other nodes with waiting work by waiting time, and last the nodes without waiting work.
        """

        def key(node: NodeId) -> tuple[int, timedelta, str]:
            account = self._accounts[node]
            waiting_from = account.waiting_since
            if waiting_from is None:
                return (2, _ZERO, node)
            serves_attempt = (
                account.allocated >= min(account.largest_attempt, self._capacity or 0) > 0
            )
            turn_age = now - account.granted_at
            if (
                serves_attempt
                and turn_age >= UNUSED_TURN_TIME
                and waiting_from <= account.granted_at
            ):
                account.passed_over_at = now
            if account.passed_over_at is not None and waiting_from < account.passed_over_at:
                waiting_from = account.passed_over_at
            return (0 if serves_attempt and turn_age < TURN_TIME else 1, waiting_from, node)

        return sorted(members, key=key)

    def _recall(self, targets: dict[NodeId, int], usable: int, now: timedelta) -> set[NodeId]:
        """Lower allocations above the target while other nodes are below theirs.

        Permits that their node does not need are recalled for every shortfall. Permits that their
        node needs are recalled only for shortfalls beyond the tolerance, so that permits do not
        move back and forth.
        """
        shortfall = significant_shortfall = 0
        for node, target in targets.items():
            missing = target - self._accounts[node].allocated
            if missing > 0:
                shortfall += missing
                significant_shortfall += (
                    missing if missing * RECALL_TOLERANCE_DIVISOR >= target else 0
                )
        total_allocated = sum(account.allocated for account in self._accounts.values())
        unallocated = max(0, usable - total_allocated)
        changed: set[NodeId] = set()
        if shortfall <= unallocated:
            return changed
        shortfall -= unallocated
        significant_shortfall -= unallocated
        excess = self._excess
        surplus = {
            node: account.allocated - targets.get(node, 0)
            for node, account in self._accounts.items()
            if account.allocated > targets.get(node, 0)
        }
        for node in sorted(surplus, key=lambda name: (-surplus[name], name)):
            account = self._accounts[node]
            idle = max(0, account.allocated - max(account.total_demand, targets.get(node, 0)))
            reduction = max(min(shortfall, idle), min(significant_shortfall, surplus[node]))
            if reduction <= 0:
                continue
            # A suspended node may dispatch again after the new allocation, so the allocation must
            # leave room for the work above the capacity.
            amount = account.allocated - reduction
            if excess:
                amount = min(amount, max(0, account.reserved - excess))
            self._issue(account, amount, now)
            shortfall -= reduction
            significant_shortfall -= reduction
            changed.add(node)
        return changed

    def _grant(self, targets: dict[NodeId, int], usable: int, now: timedelta) -> set[NodeId]:
        """Raise allocations to their targets as far as there are unreserved permits."""
        free = usable - self.total_reserved
        changed: set[NodeId] = set()
        if free < 0:
            return changed
        for node, target in targets.items():
            account = self._accounts[node]
            if account.suspended or target <= account.allocated:
                continue
            amount = min(target, account.reserved + free)
            increase = amount - account.allocated
            if increase <= 0 or (amount < target and increase < account.largest_attempt):
                continue
            free -= max(0, amount - account.reserved)
            self._issue(account, amount, now)
            changed.add(node)
        satisfied = all(targets[node] <= self._accounts[node].allocated for node in targets)
        if satisfied and free > 0:
            changed |= self._allocate_in_advance(free, usable, now)
        return changed

    def _allocate_in_advance(self, free: int, usable: int, now: timedelta) -> set[NodeId]:
        """Allocate up to half an equal share to idle nodes, so that they can dispatch at once."""
        changed = set()
        advance_amount = usable // (2 * len(self._accounts))
        for node in sorted(self._accounts):
            account = self._accounts[node]
            increase = min(advance_amount - account.reserved, free)
            if increase > 0 and not account.suspended and not account.unacknowledged:
                self._issue(account, account.reserved + increase, now)
                free -= increase
                changed.add(node)
        return changed

    def _issue(self, account: Account, amount: int, now: timedelta) -> None:
        if amount > account.allocated:
            account.granted_at = now
        account.version += 1
        account.allocated = amount
        account.unacknowledged[account.version] = amount
        account.retry_delay = FIRST_RETRY_DELAY
        account.retry_at = now + FIRST_RETRY_DELAY
