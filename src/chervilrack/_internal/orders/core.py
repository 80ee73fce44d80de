"""Decision core of non-idempotent orders: turns events into effects without any I/O."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import Epoch
from chervilrack._internal.common.results import Executed, ResultCode
from chervilrack._internal.membership import messages as member_messages
from chervilrack._internal.membership.state import Process, View
from chervilrack._internal.orders import messages as m
from chervilrack._internal.orders import state
from chervilrack._internal.orders.forwarding import MILLISECOND, Forwarding, ReceivedOrders
from chervilrack._internal.orders.groups import Group, GroupCommits
from chervilrack._internal.orders.partitions import Partitions
from chervilrack._internal.orders.pending import PendingOrder, PendingOrders, PendingState, Waiter
from chervilrack._internal.orders.state import (
    PARTITIONS,
    Order,
    OrderResult,
    OrderSettings,
    Record,
    RecordState,
    key_reused,
    outcome_unknown,
    partition_of,
    partition_of_record,
    record_key,
    refusal,
)

PART = "orders"
Effects = list[m.OrderEffect]
# Events of these types change nothing for orders that were queued before.
SINGLE_ORDER_EVENTS = (m.OrderSubmitted, m.LookUpRequested, m.OrderRunFinished, m.PeerMessage)


class OrderExecutor:
    """Routes the orders of one node, writes their tickets and outcomes, and has them executed.

    ``may_act`` is ``Membership.may_act``. This class is not thread-safe: the caller holds the lock
    of the membership core during each call and carries out the effects in the order returned.
    """

    def __init__(
        self,
        process: Process,
        settings: OrderSettings,
        may_act: Callable[[timedelta], bool],
    ) -> None:
        self._process = process
        self._settings = settings
        self._may_act = may_act
        self._partitions = Partitions(process, settings)
        self._groups = GroupCommits(process, settings)
        self._forwarding = Forwarding(settings)
        self._received = ReceivedOrders()
        self._pending = PendingOrders()
        self._newly_queued: list[str] = []
        self._view: View | None = None
        self._view_mod_revision = 0
        self._has_outage_grant = False
        self._platform_reachable = True
        # Whether OutageTicketsWritten is to be sent once no ticket exists only in memory.
        self._written_report_due = False
        self._reported_ready_mask = 0
        self._attempt_count = 0
        self._next_expiry_at = timedelta(0)
        self._next_read_at = timedelta(0)
        self._handlers: dict[type, Callable[[Any, timedelta], Effects]] = {
            m.OrderSubmitted: self._on_submitted,
            m.LookUpRequested: self._on_look_up,
            m.RecordsWritten: self._on_written,
            m.RecordsRead: self._on_read,
            m.OrderRunFinished: self._on_finished,
            m.PeerMessage: self._on_message,
            m.Tick: self._on_tick,
            member_messages.ViewAdopted: self._on_view_adopted,
            member_messages.EpochActive: self._on_epoch_active,
            member_messages.DoubtfulEpochsChanged: self._on_doubtful_epochs_changed,
            member_messages.OutageGrantChanged: self._on_grant_changed,
            member_messages.PlatformReachable: self._on_platform_reachable,
        }

    @property
    def in_progress(self) -> int:
        """Number of orders whose outcome is not in the platform's store yet."""
        return len(self._pending)

    def handle(self, event: m.OrderEvent, now: timedelta) -> Effects:
        """Process one event and return the effects to carry out."""
        effects = self._handlers[type(event)](event, now)
        return effects + self._advance(type(event) not in SINGLE_ORDER_EVENTS, now)

    def _on_submitted(self, event: m.OrderSubmitted, now: timedelta) -> Effects:
        partition = partition_of(event.order.organisation, event.order.key)
        owner = self._partitions.owner(partition)
        if owner is None:
            result = refusal(ResultCode.NOT_READY, "this node does not know the members yet")
            return [m.AnswerOrder(event.request, result)]
        if owner != self._process:
            return [
                *self._forwarding.forward(event.request, event.order, owner, event.deadline, now)
            ]
        return self._answer_or_queue(event.order, Waiter(event.request, event.deadline), now)

    def _on_look_up(self, event: m.LookUpRequested, now: timedelta) -> Effects:
        owner = self._partitions.owner(partition_of(event.organisation, event.key))
        message = m.LookUpOrder(event.request, event.organisation, event.key)
        if owner is not None and owner != self._process:
            return [*self._forwarding.forward(event.request, message, owner, event.deadline, now)]
        result, effects = self._look_up(message, now)
        return [m.AnswerOrder(event.request, result), *effects]

    def _on_message(self, event: m.PeerMessage, now: timedelta) -> Effects:
        sender = Process(event.sender, event.incarnation)
        match event.message:
            case m.SubmitOrder() as message:
                return self._on_forwarded(sender, message, now)
            case m.LookUpOrder() as message:
                result, effects = self._look_up(message, now)
                answer = m.OrderAnswered(sender.incarnation, message.request, result)
                return [Send(sender.node, answer), *effects]
            case m.OrderAnswered(to=to, request=request, result=result):
                if to != self._process.incarnation:
                    return []
                return [*self._forwarding.handle_answer(sender.node, request, result)]

    def _on_forwarded(self, sender: Process, message: m.SubmitOrder, now: timedelta) -> Effects:
        if message.to != self._process.incarnation:
            return []
        deadline = now + message.remaining_ms * MILLISECOND
        waiter = Waiter(message.request, deadline, sender, message.number)
        if not self._received.record_if_new(sender, message):
            sent_answer = self._received.sent_answer(sender, message.number)
            return self._answer(waiter, sent_answer) if sent_answer is not None else []
        partition = partition_of(message.order.organisation, message.order.key)
        if not self._partitions.owns(partition):
            detail = "another node executes this order now"
            return self._answer(waiter, refusal(ResultCode.NOT_CONFIRMED, detail))
        return self._answer_or_queue(message.order, waiter, now)

    def _answer_or_queue(self, order: Order, waiter: Waiter, now: timedelta) -> Effects:
        """Answer an order from its record, let it wait for a pending one, or queue it."""
        key = order.record_key
        pending = self._pending.get(key)
        if pending is not None:
            return self._answer_repeat(pending, order, waiter)
        partition = partition_of(order.organisation, order.key)
        stored = self._partitions.record(partition, key)
        if stored is not None and stored[0].state is not RecordState.NOT_EXECUTED:
            record = stored[0]
            if not state.is_undispatched_ticket(record, self._process):
                return self._answer_from_record(order, record, waiter, now)
        self._attempt_count += 1
        attempt = f"{self._process.node}/{self._process.incarnation}/{self._attempt_count}"
        epoch = self._view.epoch if self._view else Epoch(0)
        pending = PendingOrder(order, attempt, epoch, now, partition, waiters=[waiter])
        pending.replaceable_revision = stored[1] if stored is not None else 0
        self._pending.add(key, pending)
        self._newly_queued.append(key)
        return []

    def _answer_repeat(self, pending: PendingOrder, order: Order, waiter: Waiter) -> Effects:
        """Answer a repeated request with the pending order's result, or let it wait."""
        if not state.same_request(pending.order.fingerprint, order.fingerprint):
            return self._answer(waiter, key_reused())
        if pending.state is PendingState.FINISHED:
            if pending.result is not None:
                return self._answer(waiter, pending.result)
        else:
            pending.waiters.append(waiter)
        return []

    def _answer_from_record(
        self, order: Order, record: Record, waiter: Waiter, now: timedelta
    ) -> Effects:
        if not state.same_request(record.fingerprint, order.fingerprint):
            return self._answer(waiter, key_reused())
        if record.state is RecordState.DONE and record.result is not None:
            return self._answer(waiter, record.result)
        # The earlier executor may still write the outcome; a new read lets later look-ups find it.
        partition = partition_of(order.organisation, order.key)
        return [
            *self._answer(waiter, outcome_unknown("an earlier executor did not record an outcome")),
            *self._partitions.refresh(partition, now),
        ]

    def _look_up(self, message: m.LookUpOrder, now: timedelta) -> tuple[OrderResult, Effects]:
        partition = partition_of(message.organisation, message.key)
        key = record_key(message.organisation, message.key)
        pending = self._pending.get(key)
        if pending is not None:
            if pending.result is not None:
                return pending.result, []
            return refusal(ResultCode.ORDER_IN_PROGRESS, "ask again", Executed.UNKNOWN), []
        result = self._partitions.look_up(partition, key, now)
        unknown = result.executed == Executed.UNKNOWN.value
        return result, [*self._partitions.refresh(partition, now)] if unknown else []

    def _on_written(self, event: m.RecordsWritten, now: timedelta) -> Effects:
        group = self._groups.finish(
            event.number, event.outcome is member_messages.WriteOutcome.APPLIED, now
        )
        if group is None:
            return []
        if event.outcome is member_messages.WriteOutcome.NOT_APPLIED:
            for key, (pending, _) in group.records.items():
                if pending.state is PendingState.WRITING:
                    self._pending.set_state(key, PendingState.QUEUED)
            return []
        if event.outcome is not member_messages.WriteOutcome.APPLIED:
            return self._read_back(group, now)
        effects: Effects = []
        for key in group.deleted_keys:
            self._partitions.remove(partition_of_record(key), key)
        for key, (pending, record) in group.records.items():
            effects += self._after_recorded(key, pending, record, event.revision, now)
        return effects

    def _read_back(self, group: Group, now: timedelta) -> Effects:
        """Read the partitions of a group after a lost response or a failed comparison."""
        partitions = {partition_of_record(key) for key in group.deleted_keys}
        for key, (pending, _) in group.records.items():
            if pending.state is PendingState.WRITING:
                self._pending.set_state(key, PendingState.READING)
            partitions.add(pending.partition)
        return [self._partitions.start_read(partition, now) for partition in sorted(partitions)]

    def _after_recorded(
        self, key: str, pending: PendingOrder, record: Record, revision: int, now: timedelta
    ) -> Effects:
        """Continue with an order whose record is in the platform's store."""
        pending.record_revision, pending.replaceable_revision = revision, 0
        self._partitions.store(pending.partition, key, record, revision)
        if record.state is not RecordState.TICKET:
            self._pending.remove(key)
            return []
        self._pending.set_ticket_in_memory(key, False)
        if pending.state in {PendingState.WRITING, PendingState.READING, PendingState.QUEUED}:
            return self._dispatch(key, pending, now)
        return []

    def _dispatch(self, key: str, pending: PendingOrder, now: timedelta) -> Effects:
        """Run an order whose ticket names this process, or finish it as not executed."""
        if pending.dispatched:
            return []
        if now >= pending.deadline or not self._may_act(now):
            return self._finish_unexecuted(key, pending, "this node may not start work any more")
        self._pending.set_state(key, PendingState.RUNNING)
        pending.dispatched = True
        return [m.RunOrder(pending.order, key, pending.deadline)]

    def _finish_unexecuted(self, key: str, pending: PendingOrder, detail: str) -> Effects:
        self._pending.set_state(key, PendingState.FINISHED)
        pending.executed = False
        pending.result = refusal(ResultCode.ORDER_NOT_RECORDED, detail)
        return self._answer_waiters(pending, pending.result)

    def _on_finished(self, event: m.OrderRunFinished, now: timedelta) -> Effects:
        pending = self._pending.get(event.record_key)
        if pending is None or pending.state is not PendingState.RUNNING:
            return []
        self._pending.set_state(event.record_key, PendingState.FINISHED)
        pending.executed = event.sent
        pending.result = event.result
        return self._answer_waiters(pending, event.result)

    def _on_read(self, event: m.RecordsRead, now: timedelta) -> Effects:
        self._partitions.load(event)
        records = {key: (record, mod_revision) for key, record, mod_revision in event.records}
        effects: Effects = []
        for key, pending in self._pending:
            if pending.partition == event.partition and not pending.in_group:
                stored = records.get(key)
                if stored is not None:
                    effects += self._reconcile(key, pending, stored, now)
                elif pending.state is PendingState.READING:
                    self._pending.set_state(key, PendingState.QUEUED)
                    pending.replaceable_revision = 0
                elif (
                    pending.state is PendingState.FINISHED
                    and 0 < pending.record_revision <= event.revision
                ):
                    self._pending.remove(key)
                    effects.append(ActionTaken(PART, "drop", key, "its record has expired"))
        return effects

    def _reconcile(
        self, key: str, pending: PendingOrder, stored: tuple[Record, int], now: timedelta
    ) -> Effects:
        """Update or end a pending order according to the record read from the platform's store."""
        record, mod_revision = stored
        if mod_revision < pending.record_revision:
            return []  # the record was read before the last write
        if record.attempt == pending.attempt:
            return self._after_recorded(key, pending, record, mod_revision, now)
        if record.state is RecordState.NOT_EXECUTED or state.is_undispatched_ticket(
            record, self._process
        ):
            pending.replaceable_revision = mod_revision
            if pending.state is PendingState.READING:
                self._pending.set_state(key, PendingState.QUEUED)
            return []
        if pending.dispatched:
            detail = "another process recorded the order that ran here in an outage"
            self._pending.remove(key)
            answers = self._answer_waiters(pending, outcome_unknown(detail))
            return [ActionTaken(PART, "conflict", key, detail), *answers]
        self._pending.remove(key)
        effects: Effects = []
        for waiter in pending.waiters:
            effects += self._answer_from_record(pending.order, record, waiter, now)
        return effects

    def _on_tick(self, event: m.Tick, now: timedelta) -> Effects:
        effects: Effects = [*self._forwarding.tick(now)]
        if now >= self._next_read_at:
            self._next_read_at = now + self._settings.read_retry
            reading = {
                pending.partition for _, pending in self._pending.in_state(PendingState.READING)
            }
            effects += [
                self._partitions.start_read(partition, now) for partition in sorted(reading)
            ]
        if now >= self._next_expiry_at:
            effects += self._delete_expired(
                int((event.wall_time - self._settings.retention).timestamp()), now
            )
        return effects

    def _delete_expired(self, created_before: int, now: timedelta) -> Effects:
        limit = self._settings.max_txn_operations // 2
        expired = self._partitions.expired_records(created_before, limit)
        if len(expired) < limit:
            self._next_expiry_at = now + self._settings.expiry_interval
        deletable = [item for item in expired if item[0] not in self._pending]
        txn = self._groups.delete(deletable) if self._platform_reachable else None
        return [m.WriteRecords(txn)] if txn is not None else []

    def _on_view_adopted(self, event: member_messages.ViewAdopted, now: timedelta) -> Effects:
        self._view, self._view_mod_revision = event.view, event.mod_revision
        self._partitions.adopt_view(event.view, event.mod_revision)
        # An outage grant ends with its epoch. The membership core reports this end only after
        # the new view.
        self._written_report_due = self._written_report_due or self._has_outage_grant
        self._has_outage_grant = False
        self._received.forget_absent_senders(event.view, self._settings.retry_horizon, now)
        effects: Effects = [*self._forwarding.end_for_lost_executors(event.view)]
        for key, pending in self._pending.in_state(PendingState.QUEUED):
            if not self._partitions.owns(pending.partition):
                effects += self._refuse(key, pending, "another node executes this order now")
        return effects

    def _on_epoch_active(self, event: member_messages.EpochActive, now: timedelta) -> Effects:
        self._partitions.set_doubtful_epochs(event.doubtful_epochs, now)
        self._partitions.activate(event.epoch)
        return []

    def _on_doubtful_epochs_changed(
        self, event: member_messages.DoubtfulEpochsChanged, now: timedelta
    ) -> Effects:
        self._partitions.set_doubtful_epochs(event.doubtful_epochs, now)
        return []

    def _on_grant_changed(
        self, event: member_messages.OutageGrantChanged, now: timedelta
    ) -> Effects:
        self._written_report_due = self._written_report_due or (
            self._has_outage_grant and not event.granted
        )
        self._has_outage_grant = event.granted
        return []

    def _on_platform_reachable(
        self, event: member_messages.PlatformReachable, now: timedelta
    ) -> Effects:
        self._platform_reachable = event.reachable
        return []

    def _advance(self, all_queued: bool, now: timedelta) -> Effects:
        """Process the newly queued orders, or all queued ones, and start due reads and writes."""
        effects: Effects = []
        keys, self._newly_queued = self._newly_queued, []
        if all_queued:
            keys = [
                key for key, _ in self._pending.in_state(PendingState.QUEUED, PendingState.READING)
            ]
        for key in keys:
            pending = self._pending.get(key)
            if pending is not None and pending.state in {PendingState.QUEUED, PendingState.READING}:
                effects += self._advance_order(key, pending, now)
        effects += self._partitions.due_reads(now)
        effects += self._write(now)
        if (
            self._written_report_due
            and not self._has_outage_grant
            and not self._pending.tickets_in_memory
        ):
            self._written_report_due = False
            effects.append(member_messages.OutageTicketsWritten())
        ready_mask = self._partitions.ready_mask
        if ready_mask != self._reported_ready_mask:
            self._reported_ready_mask = ready_mask
            effects.append(member_messages.PartitionsOwned(ready_mask))
        return effects

    def _advance_order(self, key: str, pending: PendingOrder, now: timedelta) -> Effects:
        if now >= pending.deadline:
            return self._refuse(key, pending, "the deadline passed before it could be recorded")
        if pending.state is PendingState.READING or not self._partitions.is_ready(
            pending.partition
        ):
            return []
        stored = self._partitions.record(pending.partition, key)
        if stored is not None and stored[1] != pending.replaceable_revision:
            return self._reconcile(key, pending, stored, now)
        if stored is None and self._partitions.is_doubtful(pending.partition, now):
            self._pending.remove(key)
            return self._answer_waiters(
                pending, outcome_unknown("records of an outage are missing")
            )
        return [] if self._platform_reachable else self._advance_in_outage(key, pending, now)

    def _advance_in_outage(self, key: str, pending: PendingOrder, now: timedelta) -> Effects:
        if state.may_run_unrecorded(self._has_outage_grant, self._may_act(now)):
            self._pending.set_ticket_in_memory(key, True)
            return self._dispatch(key, pending, now)
        if now - pending.queued_at >= self._settings.platform_wait:
            return self._refuse(key, pending, "the platform is away", ResultCode.PLATFORM_AWAY)
        return []

    def _write(self, now: timedelta) -> Effects:
        if self._view is None or not len(self._pending) or not self._groups.can_start(now):
            return []
        outage_orders = [
            pending for pending in self._pending.tickets_in_memory if not pending.in_group
        ]
        finished = [
            pending
            for _, pending in self._pending.in_state(PendingState.FINISHED)
            if not pending.in_group and not pending.ticket_in_memory and pending.record_revision
        ]
        tickets = [
            pending
            for _, pending in self._pending.in_state(PendingState.QUEUED)
            if self._partitions.is_ready(pending.partition)
        ]
        if outage_orders or not self._platform_reachable or not self._may_act(now):
            tickets = []  # records of orders that ran in an outage are written before new tickets
        executors = min(PARTITIONS, sum(1 for _ in self._view.active_members()))
        txn = self._groups.build(
            tickets, outage_orders + finished, self._view_mod_revision, executors, now
        )
        if txn is None:
            return []
        for put in txn.puts:
            pending = self._pending.get(put.key)
            if pending is not None and pending.state is PendingState.QUEUED:
                self._pending.set_state(put.key, PendingState.WRITING)
        return [m.WriteRecords(txn)]

    def _refuse(
        self,
        key: str,
        pending: PendingOrder,
        detail: str,
        code: ResultCode = ResultCode.ORDER_NOT_RECORDED,
    ) -> Effects:
        """Refuse an order that has not been dispatched and drop it."""
        self._pending.remove(key)
        return self._answer_waiters(pending, refusal(code, detail))

    def _answer_waiters(self, pending: PendingOrder, result: OrderResult) -> Effects:
        waiters, pending.waiters = pending.waiters, []
        return [effect for waiter in waiters for effect in self._answer(waiter, result)]

    def _answer(self, waiter: Waiter, result: OrderResult) -> Effects:
        if waiter.forwarder is None:
            return [m.AnswerOrder(waiter.request, result)]
        self._received.record_answer(waiter.forwarder, waiter.number, result)
        answer = m.OrderAnswered(waiter.forwarder.incarnation, waiter.request, result)
        return [Send(waiter.forwarder.node, answer)]
