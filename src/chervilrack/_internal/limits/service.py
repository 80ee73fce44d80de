"""Limits of one node: its permits as a holder, and the ledgers of the limits that it owns."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.common.ids import Epoch, LimitId, NodeId, ReleaseRevision
from chervilrack._internal.limits.holder import LimitHolder
from chervilrack._internal.limits.ledger import FIRST_RETRY_DELAY, MAX_RETRY_DELAY, LimitLedger
from chervilrack._internal.limits.messages import (
    Allocation,
    AllocationBatch,
    CapacityGained,
    ConfigurationApplied,
    EpochActive,
    HoldingReport,
    LimitEffect,
    LimitEvent,
    PeerMessage,
    Removal,
    Tick,
    ViewAdopted,
)
from chervilrack._internal.releases.state import Configuration

# The work of a removed node may occupy an upstream until the deadline of the work (at most 6 s)
# plus the time for cancelling it (1 s).
MAX_ATTEMPT_TIME = timedelta(seconds=7)
# Interval of planning a limit again while some node has waiting work and too few permits for one
# attempt. The ends of turns take effect only when the limit is planned.
REPLAN_PERIOD = timedelta(milliseconds=100)

# Planning one limit takes 3 to 4 ms at 390 members and 0.1 ms at 7. In a view with more than
# ``LARGE_VIEW_MEMBERS`` members, a limit is therefore planned at most once per ``PLAN_PERIOD`` for
# all reports that arrive in between.
LARGE_VIEW_MEMBERS = 32
PLAN_PERIOD = timedelta(milliseconds=50)

_NO_REVISION = ReleaseRevision(0)


@dataclass(slots=True)
class _Reports:
    """Reports of this node to one owner that are due or not acknowledged.

    Sequence numbers of reports identify what an acknowledgement covers. ``complete_revision`` is
    the release revision of the last complete report, and ``complete_from`` the revision from which
    the owner needs one.
    """

    due: set[LimitId] = field(default_factory=set)
    complete_due: bool = False
    unacknowledged_limits: dict[LimitId, int] = field(default_factory=dict)
    unacknowledged_complete: int | None = None
    complete_revision: ReleaseRevision = _NO_REVISION
    complete_from: ReleaseRevision = _NO_REVISION
    retry_at: timedelta = timedelta(0)
    retry_delay: timedelta = FIRST_RETRY_DELAY


@dataclass(slots=True)
class _Quarantine:
    """Quarantine after the latest known removal of a member.

    ``epoch`` is the epoch that removed the member. ``ends_at`` is None until ``epoch`` or a later
    epoch is active.
    """

    epoch: Epoch
    ends_at: timedelta | None = None


class LimitService:
    """Policy that lets each limit's owner allocate permits to the nodes by demand.

    Calls must be serialised by the caller, calls to ``permits`` included.
    """

    def __init__(
        self,
        node: NodeId,
        may_act: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._node = node
        self._may_act = may_act
        self._rng = rng
        self._holder = LimitHolder(may_act)
        self._configuration = Configuration()
        self._capacities: dict[LimitId, int] = {}
        self._epoch = Epoch(-1)
        self._members: frozenset[NodeId] = frozenset()
        self._active_members: frozenset[NodeId] = frozenset()
        self._active_epoch = Epoch(-1)
        self._active_since = timedelta(0)
        self._owners: dict[LimitId, NodeId] = {}
        self._ledgers: dict[LimitId, LimitLedger] = {}
        self._to_plan: set[LimitId] = set()
        self._replan_at = timedelta(0)
        self._reports: dict[NodeId, _Reports] = {}
        self._sequence = 0
        self._quarantine: _Quarantine | None = None
        # Limits whose latest allocation is to be sent, by holder.
        self._outbox: dict[NodeId, set[LimitId]] = {}
        # Sender and sequence number of each report to acknowledge, and the revision from which a
        # complete report is needed.
        self._acknowledgements: list[tuple[NodeId, int, ReleaseRevision | None]] = []
        # Sequence number and revision of the last complete report of each node.
        self._complete_reports: dict[NodeId, tuple[int, ReleaseRevision]] = {}
        self._unacknowledged_allocations: set[tuple[LimitId, NodeId]] = set()
        # Limits under which some node has waiting work and too few permits for one attempt.
        self._starved_limits: set[LimitId] = set()
        # Messages between this node's roles as owner and holder.
        self._local_messages: deque[msgspec.Struct] = deque()
        self._effects: list[LimitEffect] = []
        self._gained_limits: set[LimitId] = set()

    @property
    def permits(self) -> LimitHolder:
        """Permits of this node."""
        return self._holder

    @property
    def ledgers(self) -> dict[LimitId, LimitLedger]:
        """Ledgers of the limits that this node owns, for status and tests."""
        return self._ledgers

    def handle(self, event: LimitEvent, now: timedelta) -> list[LimitEffect]:
        """Apply an event and return the resulting effects."""
        match event:
            case Tick():
                self._tick(now)
            case PeerMessage(sender, message):
                self._receive(sender, message, now)
            case ConfigurationApplied(configuration):
                self._configure(configuration, now)
            case ViewAdopted():
                self._adopt_view(event, now)
            case EpochActive(epoch):
                self._activate(epoch, now)
        self._flush(now)
        effects, self._effects = self._effects, []
        if self._gained_limits:
            effects.append(CapacityGained(frozenset(self._gained_limits)))
            self._gained_limits = set()
        return effects

    # Event handlers

    def _tick(self, now: timedelta) -> None:
        self._gained_limits |= self._holder.tick(now)
        for limit in self._holder.due_reports(now):
            self._mark_due(limit)
        for reports in self._reports.values():
            awaiting_answer = (
                reports.unacknowledged_limits or reports.unacknowledged_complete is not None
            )
            if awaiting_answer and now >= reports.retry_at:
                reports.due |= reports.unacknowledged_limits.keys()
                reports.complete_due |= reports.unacknowledged_complete is not None
                reports.retry_delay = self._next_retry_delay(reports.retry_delay)
        if self._quarantine and self._quarantine.ends_at and now >= self._quarantine.ends_at:
            self._quarantine = None
            self._to_plan |= self._ledgers.keys()
        if now >= self._replan_at:
            self._replan_at = now + REPLAN_PERIOD
            self._to_plan |= self._starved_limits
        self._retransmit(now)

    def _configure(self, configuration: Configuration, now: timedelta) -> None:
        old_capacities, self._capacities = self._capacities, configuration.limit_capacities()
        self._configuration = configuration
        changed = {
            k for k, capacity in self._capacities.items() if old_capacities.get(k) != capacity
        }
        changed |= old_capacities.keys() - self._capacities.keys()
        revision = configuration.revision
        for limit in sorted(changed):
            capacity = self._capacities.get(limit)
            if self._holder.configure(limit, capacity, revision):
                self._mark_due(limit)
            if limit in self._ledgers or self._owner_of(limit) == self._node:
                ledger = self._open_ledger(limit)
                self._queue_allocations(limit, ledger.configure(capacity, revision, now))
                self._to_plan.add(limit)
        for reports in self._reports.values():
            self._update_complete_due(reports)

    def _adopt_view(self, event: ViewAdopted, now: timedelta) -> None:
        if event.epoch <= self._epoch:
            return
        departed = event.departed if event.epoch == self._epoch + 1 else None
        previous_ledgers, self._ledgers = self._ledgers, {}
        self._epoch = event.epoch
        self._members = event.members
        self._update_owners(event.active_members)
        if event.member_removed:
            self._quarantine = _Quarantine(event.epoch)
        self._to_plan.clear()
        self._outbox.clear()
        self._local_messages.clear()
        self._acknowledgements.clear()
        self._complete_reports.clear()
        self._unacknowledged_allocations.clear()
        self._starved_limits.clear()
        self._holder.start_epoch(self._node in event.members)
        member = self._node in event.members
        owners = sorted(self._active_members) if member else []
        self._reports = {owner: _Reports(complete_due=True) for owner in owners}
        for limit, capacity in self._capacities.items():
            if self._owner_of(limit) == self._node:
                previous = previous_ledgers.get(limit)
                reservation = (
                    previous.reserved_for(departed) if previous and departed is not None else None
                )
                ledger = self._ledgers[limit] = LimitLedger(limit, reservation)
                ledger.configure(capacity, self._configuration.revision, now)
                self._to_plan.add(limit)

    def _update_owners(self, active: frozenset[NodeId]) -> None:
        """Recompute the owners that are no longer active and those that a new member outranks.

        Other owners stay, because ranking all members for every limit would take seconds at 390
        nodes and 5,400 limits.
        """
        joined = active - self._active_members
        self._active_members = active
        for limit, owner in list(self._owners.items()):
            if owner not in active:
                del self._owners[limit]
            elif joined:
                self._owners[limit] = NodeId(rendezvous_owner(limit, {owner, *joined}) or "")

    def _activate(self, epoch: Epoch, now: timedelta) -> None:
        if epoch > self._active_epoch:
            self._active_epoch = epoch
            self._active_since = now
            self._set_quarantine_end()

    def _set_quarantine_end(self) -> None:
        """Set the end of the quarantine if an epoch without the removed member is active."""
        quarantine = self._quarantine
        if quarantine and quarantine.ends_at is None and self._active_epoch >= quarantine.epoch:
            quarantine.ends_at = self._active_since + MAX_ATTEMPT_TIME

    def _receive(self, sender: NodeId, message: msgspec.Struct, now: timedelta) -> None:
        match message:
            case HoldingReport() if self._is_current(message.epoch):
                self._record_report(sender, message, now)
            case AllocationBatch() if self._is_current(message.epoch):
                self._adopt_allocations(sender, message)
            case _:
                pass

    def _is_current(self, epoch: Epoch) -> bool:
        """Whether ``epoch`` is the epoch of this node's view; other messages are ignored."""
        return epoch == self._epoch

    # Owner of limits

    def _record_report(self, sender: NodeId, report: HoldingReport, now: timedelta) -> None:
        if sender not in self._members:
            return
        self._merge_removal(report.removal, now)
        listed_limits = set()
        for holding in report.holdings:
            listed_limits.add(holding.limit)
            ledger = self._open_ledger(holding.limit)
            ledger.record_holding(sender, holding, report.sequence, report.revision, now)
            self._to_plan.add(holding.limit)
        if report.complete:
            for limit, ledger in self._ledgers.items():
                if limit not in listed_limits:
                    ledger.record_empty(sender, report.sequence, report.revision)
                self._to_plan.add(limit)
            self._complete_reports[sender] = (report.sequence, report.revision)
        self._acknowledgements.append((sender, report.sequence, self._revision_needed(report)))

    def _revision_needed(self, report: HoldingReport) -> ReleaseRevision | None:
        """Return the revision from which a complete report is needed, or None if this one suffices.

        A complete report under an older revision says nothing about limits introduced later.
        """
        if not report.complete:
            return None
        needed = max(
            (ledger.introduced_revision for ledger in self._ledgers.values()),
            default=ReleaseRevision(0),
        )
        return needed if needed > report.revision else None

    def _merge_removal(self, removal: Removal | None, now: timedelta) -> None:
        """Adopt a reported removal, which may have happened before this node's first view."""
        if removal is None:
            return
        if self._quarantine is None or self._quarantine.epoch < removal.epoch:
            self._quarantine = _Quarantine(removal.epoch)
            self._set_quarantine_end()
        if self._quarantine.epoch == removal.epoch and removal.remaining is not None:
            ends_at = now + timedelta(seconds=removal.remaining)
            if self._quarantine.ends_at is None or ends_at < self._quarantine.ends_at:
                self._quarantine.ends_at = ends_at

    def _plan(self, now: timedelta) -> None:
        if not self._to_plan or not self._may_act():
            return
        limits, self._to_plan = self._to_plan, set()
        for limit in limits:
            ledger = self._ledgers[limit]
            if len(self._members) > LARGE_VIEW_MEMBERS and now < ledger.planned_at + PLAN_PERIOD:
                self._to_plan.add(limit)
                continue
            quarantined_before = ledger.quarantined
            self._queue_allocations(
                limit, ledger.plan(self._members, self._quarantine is not None, now)
            )
            if ledger.quarantined and not quarantined_before:
                self._effects.append(
                    ActionTaken(
                        "limits",
                        "quarantine",
                        limit,
                        f"{ledger.quarantined} permits may be in use by a removed node",
                    )
                )
            if ledger.has_starving_node:
                self._starved_limits.add(limit)
            else:
                self._starved_limits.discard(limit)

    def _queue_allocations(self, limit: LimitId, nodes: set[NodeId]) -> None:
        for node in nodes:
            self._outbox.setdefault(node, set()).add(limit)
            self._unacknowledged_allocations.add((limit, node))

    def _retransmit(self, now: timedelta) -> None:
        """Queue allocations again that were not acknowledged in time."""
        for limit, node in list(self._unacknowledged_allocations):
            account = self._ledgers[limit].accounts[node]
            if not account.unacknowledged:
                self._unacknowledged_allocations.discard((limit, node))
            elif now >= account.retry_at:
                account.retry_delay = self._next_retry_delay(account.retry_delay)
                account.retry_at = now + account.retry_delay
                self._outbox.setdefault(node, set()).add(limit)

    def _next_retry_delay(self, delay: timedelta) -> timedelta:
        """Return the next retransmission delay, with jitter so that peers do not synchronise."""
        return min(2 * delay, MAX_RETRY_DELAY) * self._rng.uniform(0.9, 1.1)

    def _open_ledger(self, limit: LimitId) -> LimitLedger:
        ledger = self._ledgers.get(limit)
        if ledger is None:
            ledger = self._ledgers[limit] = LimitLedger(limit)
            for node, (sequence, revision) in self._complete_reports.items():
                ledger.record_empty(node, sequence, revision)
        return ledger

    def _owner_of(self, limit: LimitId) -> NodeId | None:
        owner = self._owners.get(limit)
        if owner is None and self._active_members:
            owner = self._owners[limit] = NodeId(
                rendezvous_owner(limit, self._active_members) or ""
            )
        return owner

    # Holder of permits

    def _adopt_allocations(self, sender: NodeId, batch: AllocationBatch) -> None:
        for allocation in batch.allocations:
            if self._owner_of(allocation.limit) != sender:
                continue
            if self._holder.adopt(allocation):
                self._gained_limits.add(allocation.limit)
            if self._holder.has_limit(allocation.limit):
                self._mark_due(allocation.limit)
        reports = self._reports.get(sender)
        if reports is None:
            return
        if batch.acknowledged is not None:
            acknowledged = batch.acknowledged
            for limit in [
                k for k, seq in reports.unacknowledged_limits.items() if seq == acknowledged
            ]:
                del reports.unacknowledged_limits[limit]
            if reports.unacknowledged_complete == acknowledged:
                reports.unacknowledged_complete = None
            reports.retry_delay = FIRST_RETRY_DELAY
        if batch.complete_from is not None:
            reports.complete_from = max(reports.complete_from, batch.complete_from)
            self._update_complete_due(reports)

    def _update_complete_due(self, reports: _Reports) -> None:
        """Mark a complete report as due once this node has the revision that the owner needs."""
        revision = self._configuration.revision
        if reports.complete_revision < reports.complete_from <= revision:
            reports.complete_due = True

    def _mark_due(self, limit: LimitId) -> None:
        owner = self._owner_of(limit)
        reports = self._reports.get(owner) if owner is not None else None
        if reports is not None:
            reports.due.add(limit)

    def _send_reports(self, now: timedelta) -> None:
        if any(reports.complete_due for reports in self._reports.values()):
            for limit in self._holder.nonempty_limits():
                limit_owner = self._owner_of(limit)
                if limit_owner in self._reports and self._reports[limit_owner].complete_due:
                    self._reports[limit_owner].due.add(limit)
        for receiver, reports in self._reports.items():
            if reports.due or reports.complete_due:
                self._send_report(receiver, reports, now)

    def _send_report(self, owner: NodeId, reports: _Reports, now: timedelta) -> None:
        self._sequence += 1
        limits = {limit for limit in reports.due if self._holder.has_limit(limit)}
        if reports.complete_due:
            reports.unacknowledged_complete = self._sequence
            reports.complete_revision = self._configuration.revision
        for limit in reports.due - limits:
            reports.unacknowledged_limits.pop(limit, None)
        for limit in limits:
            reports.unacknowledged_limits[limit] = self._sequence
        report = HoldingReport(
            epoch=self._epoch,
            revision=self._configuration.revision,
            sequence=self._sequence,
            holdings=tuple(self._holder.report_holding(limit, now) for limit in sorted(limits)),
            complete=reports.complete_due,
            # Every report has the removal: the owner may allocate before the complete one arrives.
            removal=self._removal(now),
        )
        reports.due = set()
        reports.complete_due = False
        reports.retry_at = now + reports.retry_delay
        self._send(owner, report)

    def _removal(self, now: timedelta) -> Removal | None:
        if self._quarantine is None:
            return None
        ends_at = self._quarantine.ends_at
        remaining = None if ends_at is None else max(0.0, (ends_at - now).total_seconds())
        return Removal(self._quarantine.epoch, remaining)

    # Messages

    def _send(self, to: NodeId, message: msgspec.Struct) -> None:
        if to == self._node:
            self._local_messages.append(message)
        else:
            self._effects.append(Send(to, message))

    def _flush(self, now: timedelta) -> None:
        """Plan and send until this node has no more messages to itself as owner and holder."""
        while True:
            while self._local_messages:
                self._receive(self._node, self._local_messages.popleft(), now)
            self._plan(now)
            self._send_batches()
            self._send_reports(now)
            if not self._local_messages:
                return

    def _send_batches(self) -> None:
        acknowledgements, self._acknowledgements = self._acknowledgements, []
        for node, sequence, complete_from in acknowledgements:
            allocations = self._pop_allocations(node)
            self._send(node, AllocationBatch(self._epoch, allocations, sequence, complete_from))
        for node in list(self._outbox):
            self._send(node, AllocationBatch(self._epoch, self._pop_allocations(node)))

    def _pop_allocations(self, node: NodeId) -> tuple[Allocation, ...]:
        revision = self._configuration.revision
        limits = self._outbox.pop(node, set())
        return tuple(self._ledgers[limit].allocation(node, revision) for limit in sorted(limits))
