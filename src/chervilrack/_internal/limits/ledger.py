"""Ledger of one limit at its owner: what each node may occupy."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import LimitId, NodeId, ReleaseRevision
from chervilrack._internal.limits.messages import Allocation, Holding
from chervilrack._internal.limits.sharing import Claim, fair_shares

# A node keeps a small allocation for this long while others wait for theirs. A shorter time
# spends more of it on the two round trips of passing it on.
TURN = timedelta(milliseconds=200)
# A node that did not use its turn at all goes behind the others, so that permits are not kept
# by work that waits for another pool.
UNUSED_TURN = timedelta(milliseconds=600)
# A node within this part of its fair share does not cause recalls from others.
TOLERANCE = 10
# Every member keeps one permit if the limit is at least this many times the number of members.
KEEP_ONE = 4

# Exceeds a round trip between zones and one tick.
RETRY_FIRST = timedelta(milliseconds=150)
# Keeps a long partition cheap, yet capacity moves within a second after it ends.
RETRY_LONGEST = timedelta(milliseconds=800)

_ZERO = timedelta(0)


@dataclass(slots=True)
class Account:
    """What the owner knows about one node. Times are the owner's."""

    sequence: int = -1
    revision: ReleaseRevision | None = None
    version: int = 0
    amount: int = 0
    unacknowledged: dict[int, int] = field(default_factory=dict)
    cap: int = 0
    in_use: int = 0
    total_demand: int = 0
    chunk: int = 1
    waiting_since: timedelta | None = None
    suspended: bool = False
    granted_at: timedelta = _ZERO
    passed_at: timedelta | None = None
    retry_at: timedelta = _ZERO
    retry_delay: timedelta = RETRY_FIRST

    @property
    def charge(self) -> int:
        """Highest number of permits the node may occupy now or after messages under way."""
        held = max(self.cap, self.in_use)
        return max(self.in_transit, held) if self.unacknowledged else held

    @property
    def in_transit(self) -> int:
        """Highest allocation that the node may still adopt."""
        return max(self.unacknowledged.values(), default=0)


class LimitLedger:
    """Allocations of one limit for one epoch.

    The sum of all charges and the quarantined permits exceeds the capacity only while work runs
    that was dispatched before a release lowered the capacity; nobody is allocated more then.
    """

    def __init__(self, limit: LimitId, departed_charge: int | None = None) -> None:
        self._limit = limit
        self._departed_charge = departed_charge
        self._configured = False
        self._lowered = False
        self._capacity: int | None = None
        self._appeared_at = ReleaseRevision(0)
        self._quarantined: int | None = None
        self._accounts: dict[NodeId, Account] = {}
        self._planned_at = timedelta.min

    @property
    def planned_at(self) -> timedelta:
        """Time of the last plan."""
        return self._planned_at

    @property
    def capacity(self) -> int | None:
        """Capacity under the owner's release; None without a limit."""
        return self._capacity

    @property
    def appeared_at(self) -> ReleaseRevision:
        """Revision since which the limit exists; reports of older ones do not count."""
        return self._appeared_at

    @property
    def accounts(self) -> dict[NodeId, Account]:
        """Accounts by node."""
        return self._accounts

    @property
    def quarantined(self) -> int:
        """Permits that a removed node's work may still occupy."""
        return self._quarantined or 0

    @property
    def charged(self) -> int:
        """Sum of the charges of all nodes."""
        return sum(account.charge for account in self._accounts.values())

    def configure(
        self, capacity: int | None, revision: ReleaseRevision, now: timedelta
    ) -> set[NodeId]:
        """Apply the capacity of a release and return the nodes with a new allocation."""
        old, self._capacity = self._capacity, capacity
        if capacity is None:
            return set()
        if old is None:
            self._appeared_at = revision
            self._quarantined = None
            if self._configured:
                self._departed_charge = None
                self._lowered = True
            self._configured = True
        elif capacity >= old:
            return set()
        self._lowered = self._lowered or old is not None
        # Holders refuse allocations computed under the higher limit.
        pending = {node for node, account in self._accounts.items() if account.unacknowledged}
        excess = self._excess
        for node in pending:
            account = self._accounts[node]
            scaled = account.amount * capacity // old if old else 0
            self._issue(account, min(scaled, max(0, account.charge - excess)), now)
        return pending

    def record(
        self, node: NodeId, holding: Holding, sequence: int, revision: ReleaseRevision,
        now: timedelta,
    ) -> None:  # fmt: skip
        """Record a report unless a later one of the node is known."""
        account = self._accounts.setdefault(node, Account())
        if not self._is_newer(account, sequence):
            return
        account.sequence = sequence
        account.revision = revision
        for version in [v for v in account.unacknowledged if v <= holding.version]:
            del account.unacknowledged[version]
        served = holding.waited is None or account.waiting_since is None
        account.cap = holding.cap
        account.in_use = holding.in_use
        account.total_demand = holding.total_demand
        account.chunk = holding.chunk
        account.suspended = holding.suspended
        if holding.waited is None:
            account.waiting_since = None
        else:
            account.waiting_since = now - timedelta(seconds=holding.waited)
        if served:
            account.passed_at = None
        if not account.unacknowledged:
            account.amount = holding.cap

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

    def charge_of(self, departed: Iterable[NodeId]) -> int | None:
        """Return what departed members may still occupy, earlier ones included.

        None before the first plan of the epoch, when not all holdings are known.
        """
        if self._quarantined is None:
            return None
        accounts = [self._accounts.get(node) for node in departed]
        return self._quarantined + sum(account.charge for account in accounts if account)

    def has_all_reports(self, members: frozenset[NodeId]) -> bool:
        """Tell whether every member reported since the limit exists."""
        if len(self._accounts) < len(members):
            return False
        for node in members:
            account = self._accounts.get(node)
            if account is None or account.revision is None:
                return False
            if account.revision < self._appeared_at:
                return False
        return True

    def plan(self, members: frozenset[NodeId], quarantine: bool, now: timedelta) -> set[NodeId]:
        """Allocate by demand and return the nodes with a new allocation."""
        if self._capacity is None or not self.has_all_reports(members):
            return set()
        self._planned_at = now
        if quarantine:
            if self._quarantined is None:
                self._quarantined = self._to_quarantine(self._capacity)
        else:
            self._quarantined = 0
        changed = self._resume(now)
        usable = max(0, self._capacity - self.quarantined)
        nodes = self._by_priority(members, now)
        floor = 1 if usable >= KEEP_ONE * len(nodes) else 0
        claims = [
            Claim(min(max(a.total_demand, floor), usable), min(a.chunk, usable))
            for a in (self._accounts[node] for node in nodes)
        ]
        targets = dict(zip(nodes, fair_shares(max(0, usable), claims), strict=True))
        changed |= self._recall(targets, usable, now)
        changed |= self._grant(targets, usable, now)
        return changed

    def _to_quarantine(self, capacity: int) -> int:
        """Return the permits that removed nodes' work may occupy.

        If some node is suspended, the capacity was lowered or the limit appeared a short time ago,
        and removed nodes may run more than the capacity leaves. Nothing is allocated then.
        """
        if self._departed_charge is not None:
            return self._departed_charge
        if self._lowered or any(account.suspended for account in self._accounts.values()):
            return capacity
        return max(0, capacity - self.charged)

    @property
    def starving(self) -> bool:
        """Whether work waits at a node whose allocation does not serve a single attempt."""
        usable = (self._capacity or 0) - self.quarantined
        return any(
            account.waiting_since is not None and account.amount < min(account.chunk, usable)
            for account in self._accounts.values()
        )

    def allocation(self, node: NodeId, revision: ReleaseRevision) -> Allocation:
        """Return the latest allocation of a node, valid under the owner's ``revision``."""
        account = self._accounts[node]
        return Allocation(self._limit, account.version, account.amount, revision)

    def _resume(self, now: timedelta) -> set[NodeId]:
        """Answer nodes that stopped dispatching when a release lowered the capacity."""
        changed = set()
        waiting = [(n, a) for n, a in self._accounts.items() if a.suspended]
        excess = self._excess if waiting else 0
        for node, account in waiting:
            if not account.unacknowledged:
                amount = min(account.cap, max(0, account.charge - excess))
                if amount > account.in_use or not excess:
                    self._issue(account, amount, now)
                    changed.add(node)
        return changed

    @property
    def _excess(self) -> int:
        """Charges above the capacity, while work from before a tightening runs."""
        return max(0, self.charged + self.quarantined - (self._capacity or 0))

    def _by_priority(self, members: frozenset[NodeId], now: timedelta) -> list[NodeId]:
        """Order nodes: those in their turn, then by how long their work waits."""

        def key(node: NodeId) -> tuple[int, timedelta, str]:
            account = self._accounts[node]
            since = account.waiting_since
            if since is None:
                return (2, _ZERO, node)
            held = account.amount >= min(account.chunk, self._capacity or 0) > 0
            turn = now - account.granted_at
            if held and turn >= UNUSED_TURN and since <= account.granted_at:
                account.passed_at = now
            if account.passed_at is not None and since < account.passed_at:
                since = account.passed_at
            return (0 if held and turn < TURN else 1, since, node)

        return sorted(members, key=key)

    def _recall(self, targets: dict[NodeId, int], usable: int, now: timedelta) -> set[NodeId]:
        """Lower allocations where others lack their fair share.

        Permits that their node does not want are recalled for every lack. Permits in use are
        recalled only for a lack beyond the tolerance, so that they do not move back and forth.
        """
        lacking = firm = 0
        for node, target in targets.items():
            short = target - self._accounts[node].amount
            if short > 0:
                lacking += short
                firm += short if short * TOLERANCE >= target else 0
        held = sum(account.amount for account in self._accounts.values())
        coming = max(0, usable - held)
        changed: set[NodeId] = set()
        if lacking <= coming:
            return changed
        lacking -= coming
        firm -= coming
        excess = self._excess
        surplus = {
            node: account.amount - targets.get(node, 0)
            for node, account in self._accounts.items()
            if account.amount > targets.get(node, 0)
        }
        for node in sorted(surplus, key=lambda name: (-surplus[name], name)):
            account = self._accounts[node]
            idle = max(0, account.amount - max(account.total_demand, targets.get(node, 0)))
            cut = max(min(lacking, idle), min(firm, surplus[node]))
            if cut <= 0:
                continue
            # An allocation under the lowered capacity lets a node dispatch again.
            amount = account.amount - cut
            if excess:
                amount = min(amount, max(0, account.charge - excess))
            self._issue(account, amount, now)
            lacking -= cut
            firm -= cut
            changed.add(node)
        return changed

    def _grant(self, targets: dict[NodeId, int], usable: int, now: timedelta) -> set[NodeId]:
        """Raise allocations from the permits that nobody is charged with."""
        free = usable - self.charged
        changed: set[NodeId] = set()
        if free < 0:
            return changed
        for node, target in targets.items():
            account = self._accounts[node]
            if account.suspended or target <= account.amount:
                continue
            amount = min(target, account.charge + free)
            step = amount - account.amount
            if step <= 0 or (amount < target and step < account.chunk):
                continue
            free -= max(0, amount - account.charge)
            self._issue(account, amount, now)
            changed.add(node)
        satisfied = all(targets[node] <= self._accounts[node].amount for node in targets)
        if satisfied and free > 0:
            changed |= self._spread(free, usable, now)
        return changed

    def _spread(self, free: int, usable: int, now: timedelta) -> set[NodeId]:
        """Give idle nodes half of their equal share in advance, so that first requests go out."""
        changed = set()
        advance = usable // (2 * len(self._accounts))
        for node in sorted(self._accounts):
            account = self._accounts[node]
            step = min(advance - account.charge, free)
            if step > 0 and not account.suspended and not account.unacknowledged:
                self._issue(account, account.charge + step, now)
                free -= step
                changed.add(node)
        return changed

    def _issue(self, account: Account, amount: int, now: timedelta) -> None:
        if amount > account.amount:
            account.granted_at = now
        account.version += 1
        account.amount = amount
        account.unacknowledged[account.version] = amount
        account.retry_delay = RETRY_FIRST
        account.retry_at = now + RETRY_FIRST
