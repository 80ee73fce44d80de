"""Decision core of non-idempotent orders: events in, effects out."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import Epoch
from chervilrack._internal.common.results import Executed, ResultCode
from chervilrack._internal.membership import messages as shared
from chervilrack._internal.membership.state import Process, View
from chervilrack._internal.orders import messages as m
from chervilrack._internal.orders import state
from chervilrack._internal.orders.forwarding import MILLISECOND, Forwarding, Received
from chervilrack._internal.orders.groups import Group, Groups
from chervilrack._internal.orders.live import LiveOrder, LiveOrders, LiveState, Waiter
from chervilrack._internal.orders.partitions import Partitions
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
# After these events only new orders can go on.
CONCERN_ONE_ORDER = (m.OrderSubmitted, m.LookUpRequested, m.OrderRunFinished, m.PeerMessage)


class OrderExecutor:
    """Orders of one node: routing, tickets, execution and outcomes.

    ``may_act`` is ``Membership.may_act``. Not thread-safe: the caller holds the lock of the
    membership core around each call and carries the effects out in their order.
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
        self._groups = Groups(process, settings)
        self._forwarding = Forwarding(settings)
        self._received = Received()
        self._live = LiveOrders()
        self._fresh: list[str] = []
        self._view: View | None = None
        self._mod_revision = 0
        self._granted = False
        self._reachable = True
        self._report_written = False
        self._reported_mask = 0
        self._attempts = 0
        self._expire_at = timedelta(0)
        self._read_at = timedelta(0)
        self._handlers: dict[type, Callable[[Any, timedelta], Effects]] = {
            m.OrderSubmitted: self._on_submitted,
            m.LookUpRequested: self._on_look_up,
            m.RecordsWritten: self._on_written,
            m.RecordsRead: self._on_read,
            m.OrderRunFinished: self._on_finished,
            m.PeerMessage: self._on_message,
            m.Tick: self._on_tick,
            shared.ViewAdopted: self._on_view,
            shared.EpochActive: self._on_active,
            shared.DoubtfulEpochsChanged: self._on_doubtful_epochs,
            shared.OutageGrantChanged: self._on_grant,
            shared.PlatformReachable: self._on_platform,
        }

    @property
    def in_progress(self) -> int:
        """Orders in memory whose result is not on the platform yet."""
        return len(self._live)

    def handle(self, event: m.OrderEvent, now: timedelta) -> Effects:
        """Take in one event and return the effects to carry out."""
        effects = self._handlers[type(event)](event, now)
        return effects + self._advance(type(event) not in CONCERN_ONE_ORDER, now)

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
        return self._take(event.order, Waiter(event.request, event.deadline), now)

    def _on_look_up(self, event: m.LookUpRequested, now: timedelta) -> Effects:
        owner = self._partitions.owner(partition_of(event.organisation, event.key))
        question = m.LookUpOrder(event.request, event.organisation, event.key)
        if owner is not None and owner != self._process:
            return [*self._forwarding.forward(event.request, question, owner, event.deadline, now)]
        result, effects = self._look_up(question, now)
        return [m.AnswerOrder(event.request, result), *effects]

    def _on_message(self, event: m.PeerMessage, now: timedelta) -> Effects:
        sender = Process(event.sender, event.incarnation)
        match event.message:
            case m.SubmitOrder() as message:
                return self._on_forwarded(sender, message, now)
            case m.LookUpOrder() as question:
                result, effects = self._look_up(question, now)
                answer = m.OrderAnswered(sender.incarnation, question.request, result)
                return [Send(sender.node, answer), *effects]
            case m.OrderAnswered(to=to, request=request, result=result):
                if to != self._process.incarnation:
                    return []
                return [*self._forwarding.answered(sender.node, request, result)]

    def _on_forwarded(self, sender: Process, message: m.SubmitOrder, now: timedelta) -> Effects:
        if message.to != self._process.incarnation:
            return []
        deadline = now + message.remaining_ms * MILLISECOND
        waiter = Waiter(message.request, deadline, sender, message.number)
        if not self._received.is_new(sender, message):
            earlier = self._received.answer(sender, message.number)
            return self._answer(waiter, earlier) if earlier is not None else []
        partition = partition_of(message.order.organisation, message.order.key)
        if not self._partitions.owns(partition):
            detail = "another node executes this order now"
            return self._answer(waiter, refusal(ResultCode.NOT_CONFIRMED, detail))
        return self._take(message.order, waiter, now)

    def _take(self, order: Order, waiter: Waiter, now: timedelta) -> Effects:
        """Answer an order of this node's partition from its record, or queue it."""
        key = order.record_key
        live = self._live.get(key)
        if live is not None:
            return self._join(live, order, waiter)
        partition = partition_of(order.organisation, order.key)
        found = self._partitions.record(partition, key)
        if found is not None and found[0].state is not RecordState.NOT_EXECUTED:
            record = found[0]
            if not state.is_unused(record, self._process):
                return self._answer_from_record(order, record, waiter, now)
        self._attempts += 1
        attempt = f"{self._process.node}/{self._process.incarnation}/{self._attempts}"
        epoch = self._view.epoch if self._view else Epoch(0)
        live = LiveOrder(order, attempt, epoch, now, partition, waiters=[waiter])
        live.replaces = found[1] if found is not None else 0
        self._live.add(key, live)
        self._fresh.append(key)
        return []

    def _join(self, live: LiveOrder, order: Order, waiter: Waiter) -> Effects:
        """Let a repeated request wait for the order in progress."""
        if not state.same_request(live.order.fingerprint, order.fingerprint):
            return self._answer(waiter, key_reused())
        if live.state is LiveState.FINISHED:
            if live.result is not None:
                return self._answer(waiter, live.result)
        else:
            live.waiters.append(waiter)
        return []

    def _answer_from_record(
        self, order: Order, record: Record, waiter: Waiter, now: timedelta
    ) -> Effects:
        if not state.same_request(record.fingerprint, order.fingerprint):
            return self._answer(waiter, key_reused())
        if record.state is RecordState.DONE and record.result is not None:
            return self._answer(waiter, record.result)
        # Its process may still write the outcome, so a later look-up shall find it.
        partition = partition_of(order.organisation, order.key)
        return [
            *self._answer(waiter, outcome_unknown("an earlier executor did not record an outcome")),
            *self._partitions.refresh(partition, now),
        ]

    def _look_up(self, question: m.LookUpOrder, now: timedelta) -> tuple[OrderResult, Effects]:
        partition = partition_of(question.organisation, question.key)
        key = record_key(question.organisation, question.key)
        live = self._live.get(key)
        if live is not None:
            if live.result is not None:
                return live.result, []
            return refusal(ResultCode.ORDER_IN_PROGRESS, "ask again", Executed.UNKNOWN), []
        result = self._partitions.look_up(partition, key, now)
        unknown = result.executed == Executed.UNKNOWN.value
        return result, [*self._partitions.refresh(partition, now)] if unknown else []

    def _on_written(self, event: m.RecordsWritten, now: timedelta) -> Effects:
        group = self._groups.finished(
            event.number, event.outcome is shared.WriteOutcome.APPLIED, now
        )
        if group is None:
            return []
        if event.outcome is shared.WriteOutcome.NOT_APPLIED:
            for key, (live, _) in group.written.items():
                if live.state is LiveState.WRITING:
                    self._live.move(key, LiveState.QUEUED)
            return []
        if event.outcome is not shared.WriteOutcome.APPLIED:
            return self._read_back(group, now)
        effects: Effects = []
        for key in group.deleted:
            self._partitions.remove(partition_of_record(key), key)
        for key, (live, record) in group.written.items():
            effects += self._recorded(key, live, record, event.revision, now)
        return effects

    def _read_back(self, group: Group, now: timedelta) -> Effects:
        """Find out what is recorded after a lost response or a failed comparison."""
        partitions = {partition_of_record(key) for key in group.deleted}
        for key, (live, _) in group.written.items():
            if live.state is LiveState.WRITING:
                self._live.move(key, LiveState.READING)
            partitions.add(live.partition)
        return [self._partitions.read(partition, now) for partition in sorted(partitions)]

    def _recorded(
        self, key: str, live: LiveOrder, record: Record, revision: int, now: timedelta
    ) -> Effects:
        """Go on with an order whose record is on the platform."""
        live.recorded, live.replaces = revision, 0
        self._partitions.store(live.partition, key, record, revision)
        if record.state is not RecordState.TICKET:
            self._live.remove(key)
            return []
        self._live.set_in_memory(key, False)
        if live.state in {LiveState.WRITING, LiveState.READING, LiveState.QUEUED}:
            return self._dispatch(key, live, now)
        return []

    def _dispatch(self, key: str, live: LiveOrder, now: timedelta) -> Effects:
        """Run an order whose ticket names this process, or decide for good not to."""
        if live.dispatched:
            return []
        if now >= live.deadline or not self._may_act(now):
            return self._not_executed(key, live, "this node may not start work any more")
        self._live.move(key, LiveState.RUNNING)
        live.dispatched = True
        return [m.RunOrder(live.order, key, live.deadline)]

    def _not_executed(self, key: str, live: LiveOrder, detail: str) -> Effects:
        self._live.move(key, LiveState.FINISHED)
        live.executed = False
        live.result = refusal(ResultCode.ORDER_NOT_RECORDED, detail)
        return self._answer_all(live, live.result)

    def _on_finished(self, event: m.OrderRunFinished, now: timedelta) -> Effects:
        live = self._live.get(event.record_key)
        if live is None or live.state is not LiveState.RUNNING:
            return []
        self._live.move(event.record_key, LiveState.FINISHED)
        live.executed = event.sent
        live.result = event.result
        return self._answer_all(live, event.result)

    def _on_read(self, event: m.RecordsRead, now: timedelta) -> Effects:
        self._partitions.load(event)
        records = {key: (record, mod) for key, record, mod in event.records}
        effects: Effects = []
        for key, live in self._live:
            if live.partition == event.partition and not live.in_group:
                found = records.get(key)
                if found is not None:
                    effects += self._compare(key, live, found, now)
                elif live.state is LiveState.READING:
                    self._live.move(key, LiveState.QUEUED)
                    live.replaces = 0
                elif live.state is LiveState.FINISHED and 0 < live.recorded <= event.revision:
                    self._live.remove(key)
                    effects.append(ActionTaken(PART, "drop", key, "its record has expired"))
        return effects

    def _compare(
        self, key: str, live: LiveOrder, found: tuple[Record, int], now: timedelta
    ) -> Effects:
        """Bring an order in memory in line with the record read from the platform."""
        record, mod = found
        if mod < live.recorded:
            return []  # read before the last write
        if record.attempt == live.attempt:
            return self._recorded(key, live, record, mod, now)
        if record.state is RecordState.NOT_EXECUTED or state.is_unused(record, self._process):
            live.replaces = mod
            if live.state is LiveState.READING:
                self._live.move(key, LiveState.QUEUED)
            return []
        if live.dispatched:
            detail = "another process recorded the order that ran here in an outage"
            self._live.remove(key)
            answers = self._answer_all(live, outcome_unknown(detail))
            return [ActionTaken(PART, "conflict", key, detail), *answers]
        self._live.remove(key)
        effects: Effects = []
        for waiter in live.waiters:
            effects += self._answer_from_record(live.order, record, waiter, now)
        return effects

    def _on_tick(self, event: m.Tick, now: timedelta) -> Effects:
        effects: Effects = [*self._forwarding.tick(now)]
        if now >= self._read_at:
            self._read_at = now + self._settings.read_retry
            reading = {live.partition for _, live in self._live.in_state(LiveState.READING)}
            effects += [self._partitions.read(partition, now) for partition in sorted(reading)]
        if now >= self._expire_at:
            effects += self._expire(int((event.wall - self._settings.retention).timestamp()), now)
        return effects

    def _expire(self, before: int, now: timedelta) -> Effects:
        limit = self._settings.max_operations // 2
        expired = self._partitions.expired(before, limit)
        if len(expired) < limit:
            self._expire_at = now + self._settings.expiry_interval
        free = [item for item in expired if item[0] not in self._live]
        txn = self._groups.delete(free) if self._reachable else None
        return [m.WriteRecords(txn)] if txn is not None else []

    def _on_view(self, event: shared.ViewAdopted, now: timedelta) -> Effects:
        self._view, self._mod_revision = event.view, event.mod_revision
        self._partitions.adopt(event.view, event.mod_revision)
        # The grant was given at the epoch before; the membership core tells so after this event.
        self._report_written = self._report_written or self._granted
        self._granted = False
        self._received.adopt(event.view, self._settings.retry_horizon, now)
        effects: Effects = [*self._forwarding.adopt(event.view)]
        for key, live in self._live.in_state(LiveState.QUEUED):
            if not self._partitions.owns(live.partition):
                effects += self._refuse(key, live, "another node executes this order now")
        return effects

    def _on_active(self, event: shared.EpochActive, now: timedelta) -> Effects:
        self._partitions.set_doubts(event.doubtful_epochs, now)
        self._partitions.activate(event.epoch)
        return []

    def _on_doubtful_epochs(self, event: shared.DoubtfulEpochsChanged, now: timedelta) -> Effects:
        self._partitions.set_doubts(event.doubtful_epochs, now)
        return []

    def _on_grant(self, event: shared.OutageGrantChanged, now: timedelta) -> Effects:
        self._report_written = self._report_written or (self._granted and not event.granted)
        self._granted = event.granted
        return []

    def _on_platform(self, event: shared.PlatformReachable, now: timedelta) -> Effects:
        self._reachable = event.reachable
        return []

    def _advance(self, everything: bool, now: timedelta) -> Effects:
        """Carry new orders, or all of them, on as far as possible."""
        effects: Effects = []
        fresh, self._fresh = self._fresh, []
        if everything:
            fresh = [key for key, _ in self._live.in_state(LiveState.QUEUED, LiveState.READING)]
        for key in fresh:
            live = self._live.get(key)
            if live is not None and live.state in {LiveState.QUEUED, LiveState.READING}:
                effects += self._advance_queued(key, live, now)
        effects += self._partitions.reads(now)
        effects += self._write(now)
        if self._report_written and not self._granted and not self._live.in_memory:
            self._report_written = False
            effects.append(shared.OutageTicketsWritten())
        mask = self._partitions.ready_mask
        if mask != self._reported_mask:
            self._reported_mask = mask
            effects.append(shared.PartitionsOwned(mask))
        return effects

    def _advance_queued(self, key: str, live: LiveOrder, now: timedelta) -> Effects:
        if now >= live.deadline:
            return self._refuse(key, live, "the deadline passed before it could be recorded")
        if live.state is LiveState.READING or not self._partitions.ready(live.partition):
            return []
        found = self._partitions.record(live.partition, key)
        if found is not None and found[1] != live.replaces:
            return self._compare(key, live, found, now)
        if found is None and self._partitions.doubtful(live.partition, now):
            self._live.remove(key)
            return self._answer_all(live, outcome_unknown("records of an outage are missing"))
        return [] if self._reachable else self._advance_in_outage(key, live, now)

    def _advance_in_outage(self, key: str, live: LiveOrder, now: timedelta) -> Effects:
        if state.may_run_in_memory(self._granted, self._may_act(now)):
            self._live.set_in_memory(key, True)
            return self._dispatch(key, live, now)
        if now - live.queued_at >= self._settings.platform_patience:
            return self._refuse(key, live, "the platform is away", ResultCode.PLATFORM_AWAY)
        return []

    def _write(self, now: timedelta) -> Effects:
        if self._view is None or not len(self._live) or not self._groups.due(now):
            return []
        unwritten = [live for live in self._live.in_memory if not live.in_group]
        finished = [
            live
            for _, live in self._live.in_state(LiveState.FINISHED)
            if not live.in_group and not live.in_memory and live.recorded
        ]
        tickets = [
            live
            for _, live in self._live.in_state(LiveState.QUEUED)
            if self._partitions.ready(live.partition)
        ]
        if unwritten or not self._reachable or not self._may_act(now):
            tickets = []  # tickets of an outage are written before any new one
        executors = min(PARTITIONS, sum(1 for _ in self._view.active_members()))
        txn = self._groups.build(tickets, unwritten + finished, self._mod_revision, executors, now)
        if txn is None:
            return []
        for put in txn.puts:
            live = self._live.get(put.key)
            if live is not None and live.state is LiveState.QUEUED:
                self._live.move(put.key, LiveState.WRITING)
        return [m.WriteRecords(txn)]

    def _refuse(
        self,
        key: str,
        live: LiveOrder,
        detail: str,
        code: ResultCode = ResultCode.ORDER_NOT_RECORDED,
    ) -> Effects:
        """Refuse an order that has not been dispatched and now never will be."""
        self._live.remove(key)
        return self._answer_all(live, refusal(code, detail))

    def _answer_all(self, live: LiveOrder, result: OrderResult) -> Effects:
        waiters, live.waiters = live.waiters, []
        return [effect for waiter in waiters for effect in self._answer(waiter, result)]

    def _answer(self, waiter: Waiter, result: OrderResult) -> Effects:
        if waiter.forwarder is None:
            return [m.AnswerOrder(waiter.request, result)]
        self._received.note(waiter.forwarder, waiter.number, result)
        answer = m.OrderAnswered(waiter.forwarder.incarnation, waiter.request, result)
        return [Send(waiter.forwarder.node, answer)]
