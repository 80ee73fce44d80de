"""Shared batching on one node: orders of its own requests and the stage queues that it owns."""

import functools
import itertools
import math
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.admission.rules import Competition, work_from
from chervilrack._internal.admission.state import Work
from chervilrack._internal.batching.core import BatchEffect, StageQueue
from chervilrack._internal.batching.messages import (
    PiecesBegun,
    PiecesDropped,
    PiecesMade,
    PiecesQueued,
    PiecesReturned,
    PiecesWanted,
    ResultsReleased,
)
from chervilrack._internal.batching.state import (
    Deliver,
    FreeResults,
    InputsRead,
    Order,
    ReturnPieces,
    StartCall,
)
from chervilrack._internal.common.hashing import rendezvous_order
from chervilrack._internal.common.ids import Incarnation, NodeId, RequestId, ServiceId
from chervilrack._internal.forwarding.dialect import Dialect, MalformedMessage, PieceFailure
from chervilrack._internal.forwarding.stages import (
    PieceResult,
    StageEvent,
    StageInputsRead,
    StageOrder,
)
from chervilrack._internal.peering.transport import PeerTransport
from chervilrack._internal.quarantine.profiles import piece_profile
from chervilrack._internal.serving.stage_admission import StageAdmission
from chervilrack._internal.serving.stage_calls import CallFailed, StageCaller
from chervilrack._internal.serving.state import ServingState

# An order is placed at another owner if its owner neither confirms it within this time nor sends
# any other message. Links take 1.4 ms, and a node under load answers within some tens of
# milliseconds.
CONFIRM_TIMEOUT = timedelta(milliseconds=250)
# A silent owner is passed over no sooner than after this many heartbeat intervals.
CONFIRM_HEARTBEATS = 1.2
# Confirmation timeout of an owner that sends other messages, which means that it is alive but
# busy. It is longer, because a second owner would call the same upstreams at the same time. The
# shortest target latency of requests with stages is 1.1 s.
BUSY_CONFIRM_TIMEOUT = timedelta(seconds=1)
# Low bits of an order number, which count the orders of one process; the high bits identify it.
ORDER_BITS = 28
_FAILURE_PREFIX = "!"
_MILLISECOND = timedelta(milliseconds=1)


def first_order_number(incarnation: str) -> int:
    """Return the first order number of a process with a hexadecimal incarnation."""
    return int(incarnation, 16) << ORDER_BITS


@dataclass(slots=True)
class _PendingOrder:
    """An order of one of this node's requests that lacks some results.

    ``excluded_owners`` are nodes at which the order is not placed again, ``silent_owners`` those at
    which it is not until they are heard again, with the time since which they are not, and
    ``missing_segments`` the segments without results. ``repeated`` tells that the order was sent to
    its silent owner once more.
    """

    order: StageOrder
    deliver: Callable[[StageEvent], None]
    owner: NodeId
    sent_at: timedelta
    confirmed: bool = False
    repeated: bool = False
    excluded_owners: set[NodeId] = field(default_factory=set)
    silent_owners: dict[NodeId, timedelta] = field(default_factory=dict)
    missing_segments: set[int] = field(default_factory=set)


class StageCoordinator:
    """Places the orders of one node at the owners of stage queues, and runs the node's own queues.

    The node's lock guards the state. Calls to upstreams run in the thread pool of the StageCaller.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        state: ServingState,
        dialect: Dialect,
        stage_caller: StageCaller,
    ) -> None:
        self._node = node
        self._state = state
        self._dialect = dialect
        self._stage_caller = stage_caller
        # Owners may still hold orders of a killed process of this node. Numbers that differ between
        # processes keep the results of those orders from reaching the new process.
        self._order_numbers = itertools.count(first_order_number(incarnation))
        self._pending_orders: dict[int, _PendingOrder] = {}
        self._queues: dict[ServiceId, StageQueue] = {}
        # Owner of each of these queues when the fleet last changed.
        self._queue_owners: dict[ServiceId, NodeId] = {}
        self._queue_of_call: dict[int, StageQueue] = {}
        self._call_numbers = itertools.count(1)
        # Owners whose calls produced the results held by this node's requests, by handle. These
        # owners account for the space of the results.
        self._result_owners: dict[str, NodeId] = {}
        # Results at upstreams that want a pause, which are freed when it ends, and its end.
        self._deferred_frees: list[tuple[timedelta, FreeResults, StageQueue | None]] = []
        self._admission = StageAdmission(state, self._admit_order, self._refuse_order)
        self._competition = Competition()
        self.transport: PeerTransport | None = None
        self.wake: Callable[[], None] = lambda: None
        # Replaces the connection to a node that may have fallen silent.
        self.try_node_again: Callable[[NodeId], None] = lambda _: None

    # StageClient

    def place_order(self, order: StageOrder, deliver: Callable[[StageEvent], None]) -> int:
        """Place an order for pieces and return its number.

        ``deliver`` is called with each result and when the inputs of the order have been read.
        """
        with self._state.lock:
            number = next(self._order_numbers)
            pending = _PendingOrder(order, deliver, self._node, self._state.clock.monotonic())
            pending.missing_segments.update(order.planned.segments)
            self._pending_orders[number] = pending
            self._place(number, pending, pending.missing_segments)
        self.wake()
        return number

    def zone_of(self, handle: str) -> str:
        """Return the zone of the upstream that stores a result, "" if it is unknown."""
        try:
            address = self._dialect.upstream_address(handle)
        except MalformedMessage as error:
            self._state.log.note("batching", "handle unreadable", reason=str(error))
            return ""
        with self._state.lock:
            return next(
                (e.zone for e in self._state.catalogue.upstreams.values() if e.address == address),
                "",
            )

    def cancel_order(self, number: int) -> None:
        """Cancel an order."""
        with self._state.lock:
            pending = self._pending_orders.pop(number, None)
            if pending is None:
                return
            if pending.owner == self._node:
                self._drop_local(pending.order.planned.service, (self._node, number))
            else:
                self._send(pending.owner, PiecesDropped(number))

    def release(
        self, service: ServiceId, handles: Sequence[str], *, evictable: bool = False
    ) -> None:
        """Release results at the owners that account for their space.

        ``evictable`` results have been read and are kept until their space is needed.
        """
        with self._state.lock:
            for owner, owner_handles in self._group_by_owner(service, handles).items():
                if owner == self._node:
                    self._release_local(service, owner_handles, evictable=evictable)
                else:
                    self._send(owner, ResultsReleased(service, tuple(owner_handles), evictable))
            if not evictable:
                for handle in handles:
                    self._result_owners.pop(handle, None)

    # Messages of other nodes; the caller holds the lock

    def on_pieces_wanted(self, sender: NodeId, message: PiecesWanted) -> None:
        """Queue another node's order and confirm it, or return it if the service is unknown.

        The other node may know a configuration that this one does not know yet, or, if this node
        started late, not any more.
        """
        if self._state.catalogue.service(ServiceId(message.service)) is None:
            self._state.log.note("batching", "service unknown", service=message.service)
            self._send(sender, PiecesReturned(message.order, message.segments))
            return
        now = self._state.clock.monotonic()
        queue = self._queue_of(ServiceId(message.service))
        order = Order(
            id=(sender, message.order),
            service=queue.service,
            request_id=RequestId(message.request_id),
            stage=message.stage,
            key=message.key,
            inputs=message.inputs,
            due=now + message.due_ms * _MILLISECOND,
            deadline=now + message.remaining_ms * _MILLISECOND,
            result_size=message.result_size,
            queued_at=now,
            zone=message.zone,
            move_bytes=message.move_bytes,
            priority=message.priority,
            pending_segments=set(message.segments),
        )
        wait = queue.longest_wait(len(order.pending_segments))
        self._send(sender, PiecesQueued(message.order, round(wait / _MILLISECOND)))
        work = tuple(Work(ServiceId(name), pieces) for name, pieces in message.work)
        self._submit(queue, order, message.organisation, work, now)

    def on_order_queued(self, message: PiecesQueued) -> None:
        """Record that the owner of an order has confirmed it."""
        pending = self._pending_orders.get(message.order)
        if pending is not None:
            pending.confirmed = True

    def on_inputs_read(self, message: PiecesBegun) -> None:
        """Tell the request of an order that the order's inputs have been read."""
        self._report_inputs_read(message.order)

    def on_results(self, sender: NodeId, message: PiecesMade) -> None:
        """Deliver results and failures of an order to its request."""
        failures = {failure.value: failure for failure in PieceFailure}
        retry_after = message.retry_after_ms * _MILLISECOND if message.retry_after_ms else None
        results: list[tuple[int, str | PieceFailure]] = []
        for segment, result in message.results:
            if result.startswith(_FAILURE_PREFIX):
                name = result[len(_FAILURE_PREFIX) :]
                results.append((segment, failures.get(name, PieceFailure.ERROR)))
            else:
                results.append((segment, result))
        self._deliver_results(message.order, results, sender, retry_after)

    def on_order_dropped(self, sender: NodeId, message: PiecesDropped) -> None:
        """Drop a cancelled order of another node from this node's queues."""
        self._admission.drop((sender, message.order))
        for queue in self._queues.values():
            queue.drop((sender, message.order))

    def on_pieces_returned(self, sender: NodeId, message: PiecesReturned) -> None:
        """Order pieces from another owner after ``sender`` has returned them."""
        pending = self._pending_orders.get(message.order)
        if pending is None:
            return
        pending.excluded_owners.add(sender)
        wanted = pending.missing_segments.intersection(message.segments)
        if wanted:
            self._place(message.order, pending, wanted)

    def on_results_released(self, message: ResultsReleased) -> None:
        """Release results that another node no longer needs."""
        self._release_local(
            ServiceId(message.service), message.handles, evictable=message.evictable
        )

    # Timers and changes of the fleet; the caller holds the lock

    def on_owners_changed(self) -> None:
        """Prepare the queues whose owner differs after a change of the fleet.

        Until all nodes have seen the change, such a queue may have two owners.
        """
        for queue in self._queues.values():
            owner = self._owner_of(queue.service, frozenset())
            if self._queue_owners.get(queue.service) != owner:
                self._queue_owners[queue.service] = owner
                queue.record_disruption(self._state.clock.monotonic())

    def is_disrupted(self, service: ServiceId) -> bool:
        """Whether calls of this node's queue of a service may start late."""
        queue = self._queues.get(service)
        return queue is not None and queue.is_disrupted(self._state.clock.monotonic())

    def hand_over_queues(self) -> None:
        """Return waiting pieces to the nodes that ordered them if another node owns the queue now.

        Two owners of the same queue would start calls that are not full, and the calls of one
        would wait for those of the other.
        """
        for queue in self._queues.values():
            owner = self._owner_of(queue.service, frozenset())
            if owner == self._node:
                continue
            returned = [
                ReturnPieces(order.id, tuple(sorted(order.pending_segments)))
                for order in self._admission.take(queue.service)
            ]
            returned += queue.return_waiting_pieces()
            if not returned:
                continue
            self._state.log.note(
                "batching",
                "queue handed over",
                service=queue.service,
                owner=owner,
                orders=len(returned),
                pieces=sum(len(effect.segments) for effect in returned),
            )
            for effect in returned:
                node, number = effect.order
                message = PiecesReturned(number, effect.segments)
                if node == self._node:
                    self.on_pieces_returned(node, message)
                else:
                    self._send(node, message)

    def on_node_lost(self, node: NodeId) -> None:
        """Drop the orders of a lost node, and place the orders that it owned at other owners."""
        self._admission.drop_node(node)
        for queue in self._queues.values():
            queue.drop_node(node)
        for number, pending in list(self._pending_orders.items()):
            if pending.owner == node:
                pending.silent_owners[node] = self._state.clock.monotonic()
                self._place(number, pending, pending.missing_segments)

    def on_node_heard_again(self, node: NodeId) -> None:
        """Send the orders at a node that was silent once more, as results may have been lost.

        The node leaves out pieces that it already has.
        """
        now = self._state.clock.monotonic()
        for number, pending in list(self._pending_orders.items()):
            if pending.owner == node:
                pending.sent_at = now
                pending.confirmed = pending.repeated = False
                self._send_order(number, pending, pending.missing_segments, now)

    def tick(self, now: timedelta) -> None:
        """Place unconfirmed orders at other owners when they time out, and run the queues."""
        self._free_deferred(now)
        for number, pending in list(self._pending_orders.items()):
            if pending.confirmed or pending.owner == self._node:
                continue
            if now < self._confirmation_due(pending):
                continue
            if self._may_repeat(pending):
                pending.repeated = True
                self.try_node_again(pending.owner)
                self._send_order(number, pending, pending.missing_segments, now)
            else:
                self._state.log.note(
                    "batching",
                    "owner passed over",
                    owner=pending.owner,
                    request=pending.order.context.metadata.request_id,
                    service=pending.order.planned.service,
                )
                pending.silent_owners[pending.owner] = now
                self._place(number, pending, pending.missing_segments)
        self._admission.tick(now)
        for queue in list(self._queues.values()):
            self._configure(queue)
            self._perform(queue, queue.tick(now))

    def next_time(self, now: timedelta) -> timedelta | None:
        """Return when ``tick`` is due next, None if nothing is pending."""
        times = [
            self._confirmation_due(pending)
            for pending in self._pending_orders.values()
            if not pending.confirmed and pending.owner != self._node
        ]
        times += [until for until, _, _ in self._deferred_frees]
        if (admission_time := self._admission.next_time(now)) is not None:
            times.append(admission_time)
        for queue in self._queues.values():
            at = queue.next_time(now)
            if at is not None:
                times.append(at)
        return min(times, default=None)

    def reconfigure(self) -> None:
        """Apply a changed configuration or changed upstreams to the queues."""
        now = self._state.clock.monotonic()
        self._admission.reconfigure()
        for queue in self._queues.values():
            self._configure(queue)
            self._perform(queue, queue.dispatch(now))

    # Placing orders at owners

    def _confirm_timeout(self, pending: _PendingOrder) -> timedelta:
        """Return the time that the owner of an order has to confirm it."""
        fleet = self._state.fleet
        if fleet.has_message_since(pending.owner, pending.sent_at):
            return BUSY_CONFIRM_TIMEOUT
        return max(CONFIRM_TIMEOUT, fleet.heartbeat_interval * CONFIRM_HEARTBEATS)

    def _confirmation_due(self, pending: _PendingOrder) -> timedelta:
        """Return when the order is sent to its silent owner once more, or the owner passed over.

        The former is half-way to the latter. A second owner of a queue starts calls that are not
        full, for which those of the first have to wait.
        """
        timeout = self._confirm_timeout(pending)
        return pending.sent_at + (timeout / 2 if self._may_repeat(pending) else timeout)

    def _may_repeat(self, pending: _PendingOrder) -> bool:
        """Whether an order may be sent once more, over a new connection, because of silence."""
        is_heard = self._state.fleet.has_message_since(pending.owner, pending.sent_at)
        return not pending.repeated and not is_heard

    def _owner_of(self, service: ServiceId, excluded: frozenset[NodeId]) -> NodeId:
        """Return the owner of a service's queue; this node if all owners are excluded."""
        if self._state.settings.batching == "local":
            return self._node
        owners = rendezvous_order(service, self._state.fleet.owners())
        return next((NodeId(o) for o in owners if o not in excluded), self._node)

    def _group_by_owner(
        self, service: ServiceId, handles: Sequence[str]
    ) -> dict[NodeId, list[str]]:
        """Group results by the owner that accounts for their space.

        That is the owner whose call produced a result, or the current owner if the former is lost.
        """
        current = self._owner_of(service, frozenset())
        groups: dict[NodeId, list[str]] = {}
        for handle in handles:
            producer = self._result_owners.get(handle, current)
            is_reachable = (
                producer == self._node or self._state.fleet.address_of(producer) is not None
            )
            groups.setdefault(producer if is_reachable else current, []).append(handle)
        return groups

    def _barred_owners(self, pending: _PendingOrder) -> frozenset[NodeId]:
        """Return the nodes at which an order is not placed now."""
        silent = {
            node
            for node, since in pending.silent_owners.items()
            if not self._state.fleet.has_message_since(node, since)
        }
        return frozenset(pending.excluded_owners | silent)

    def _place(self, number: int, pending: _PendingOrder, wanted: Collection[int]) -> None:
        order = pending.order
        now = self._state.clock.monotonic()
        planned = order.planned
        pending.owner = self._owner_of(planned.service, self._barred_owners(pending))
        pending.sent_at = now
        pending.confirmed = pending.repeated = False
        if pending.owner == self._node:
            self._queue_locally(number, order, tuple(sorted(wanted)), now)
        else:
            self._send_order(number, pending, wanted, now)

    def _send_order(
        self, number: int, pending: _PendingOrder, wanted: Collection[int], now: timedelta
    ) -> None:
        order, planned = pending.order, pending.order.planned
        message = PiecesWanted(
            order=number,
            service=planned.service,
            request_id=order.context.metadata.request_id,
            stage=planned.stage,
            segments=tuple(sorted(wanted)),
            key=order.key,
            inputs=planned.inputs,
            due_ms=round((planned.due - now) / _MILLISECOND),
            remaining_ms=round((planned.deadline - now) / _MILLISECOND),
            result_size=planned.result_size,
            zone=planned.zone,
            move_bytes=planned.move_bytes,
            priority=order.context.priority,
            organisation=order.context.organisation or "",
            work=tuple((work.service, work.pieces) for work in self._work_of(order)),
        )
        self._send(pending.owner, message)

    def _queue_locally(
        self, number: int, order: StageOrder, segments: tuple[int, ...], now: timedelta
    ) -> None:
        planned = order.planned
        queue = self._queue_of(planned.service)
        queued = Order(
            id=(self._node, number),
            service=planned.service,
            request_id=order.context.metadata.request_id,
            stage=planned.stage,
            key=order.key,
            inputs=planned.inputs,
            due=planned.due,
            deadline=planned.deadline,
            result_size=planned.result_size,
            queued_at=now,
            zone=planned.zone,
            move_bytes=planned.move_bytes,
            priority=order.context.priority,
            pending_segments=set(segments),
        )
        organisation = order.context.organisation or ""
        self._submit(queue, queued, organisation, self._work_of(order), now)

    def _send(self, node: NodeId, message: object) -> None:
        address = self._state.fleet.address_of(node)
        if address is not None and self.transport is not None:
            self.transport.send_to_address(f"tcp://{address}", message)  # type: ignore[arg-type]

    # Queues of this node

    def _queue_of(self, service: ServiceId) -> StageQueue:
        """Return the queue of a service, which is created on first use."""
        queue = self._queues.get(service)
        if queue is None:
            queue = StageQueue(service, self._state.balancer, call_numbers=self._call_numbers)
            queue.record_disruption(self._state.clock.monotonic())
            self._queues[service] = queue
            self._queue_owners[service] = self._owner_of(service, frozenset())
        self._configure(queue)
        return queue

    def _configure(self, queue: StageQueue) -> None:
        spec = self._state.catalogue.service(queue.service)
        if spec is not None and spec.batching is not None:
            queue.configure(spec.batching, self._state.upstreams(queue.service))

    # Admission

    def _work_of(self, order: StageOrder) -> tuple[Work, ...]:
        """Return the work of an order that needs admission, and of the stages that follow.

        Those are the orders of first stages of routes that compete with others. The result is empty
        for all other orders.
        """
        context = order.context
        if order.planned.inputs:
            return ()
        if not self._competition.includes(context.configuration, context.route):
            return ()
        return work_from(context.route, order.planned.stage, context.metadata.piece_counts)

    def _submit(
        self,
        queue: StageQueue,
        order: Order,
        organisation: str,
        work: Sequence[Work],
        now: timedelta,
    ) -> None:
        """Queue an order, after its admission if it needs one."""
        if work and self._admission.is_in_force(work, now):
            had_time = self._admission.next_time(now) is not None
            self._admission.submit(order, organisation, work, now)
            if not had_time and self._admission.next_time(now) is not None:
                self.wake()
        else:
            self._perform(queue, queue.submit(order, now))

    def _admit_order(self, order: Order) -> None:
        queue = self._queue_of(order.service)
        self._perform(queue, queue.submit(order, self._state.clock.monotonic()))

    def _refuse_order(self, order: Order, retry_after: timedelta) -> None:
        failures = tuple((segment, PieceFailure.LATE) for segment in sorted(order.pending_segments))
        self._send_results(Deliver(order.id, failures, retry_after))

    def _drop_local(self, service: ServiceId, order: tuple[NodeId, int]) -> None:
        self._admission.drop(order)
        queue = self._queues.get(service)
        if queue is not None:
            queue.drop(order)

    def _release_local(
        self, service: ServiceId, handles: Sequence[str], *, evictable: bool
    ) -> None:
        pairs = []
        for handle in handles:
            try:
                pairs.append((self._dialect.upstream_address(handle), handle))
            except MalformedMessage as error:
                self._state.log.note("batching", "handle not freed", reason=str(error))
        queue = self._queue_of(service)
        self._perform(
            queue, queue.release(pairs, self._state.clock.monotonic(), evictable=evictable)
        )

    def _perform(self, queue: StageQueue, effects: Sequence[BatchEffect]) -> None:
        for effect in effects:
            match effect:
                case StartCall():
                    self._queue_of_call[effect.call_id] = queue
                    self._state.metrics.call_started(
                        queue.service, len(effect.pieces), effect.conditions
                    )
                    self._stage_caller.start(effect, self._call_sent, self._call_ended)
                case Deliver():
                    self._send_results(effect)
                case InputsRead((node, number)):
                    if node == self._node:
                        self._report_inputs_read(number)
                    else:
                        self._send(node, PiecesBegun(number))
                case FreeResults():
                    self._free(effect, queue)
        self._state.report_actions()
        if effects:
            self.wake()

    def _report_inputs_read(self, number: int) -> None:
        pending = self._pending_orders.get(number)
        if pending is not None:
            pending.deliver(StageInputsRead(pending.order.planned.stage))

    def _free(self, effect: FreeResults, queue: StageQueue | None) -> None:
        """Free results, after the pause that their upstream may have asked for.

        ``queue`` is the one that accounts for their space, if any.
        """
        if self._defer_free(effect, queue):
            return
        entry = self._state.upstream_at(effect.address)
        self._stage_caller.free(
            effect,
            entry.incarnation if entry is not None else None,
            functools.partial(self._free_ended, queue),
            functools.partial(self._may_free, effect, queue),
        )

    def _defer_free(self, effect: FreeResults, queue: StageQueue | None) -> bool:
        """Keep results for later if their upstream wants a pause; return whether it does."""
        entry = self._state.upstream_at(effect.address)
        if entry is None:
            return False
        standing = self._state.balancer.standing
        until = standing.paused_until(entry.incarnation, self._state.clock.monotonic())
        if until is None:
            return False
        self._deferred_frees.append((until, effect, queue))
        return True

    def _may_free(self, effect: FreeResults, queue: StageQueue | None) -> bool:
        """Whether a call that has waited for a thread and a connection may still be sent."""
        with self._state.lock:
            may_free = not self._defer_free(effect, queue)
        if not may_free:
            self.wake()
        return may_free

    def _free_deferred(self, now: timedelta) -> None:
        due = [item for item in self._deferred_frees if item[0] <= now]
        if due:
            self._deferred_frees = [item for item in self._deferred_frees if item[0] > now]
            for _, effect, queue in due:
                self._free(effect, queue)

    def _free_ended(self, queue: StageQueue | None, effect: FreeResults, succeeded: bool) -> None:
        if queue is None:
            return
        with self._state.lock:
            now = self._state.clock.monotonic()
            if succeeded:
                self._perform(queue, queue.freed(effect.address, effect.handles, now))
            else:
                queue.not_freed(effect.address, effect.handles)

    def _call_sent(self, call: StartCall) -> None:
        with self._state.lock:
            queue = self._queue_of_call.get(call.call_id)
            if queue is not None:
                queue.call_sent(call.call_id, self._state.clock.monotonic())
        self.wake()

    def _call_ended(
        self, call: StartCall, outcome: Sequence[str | PieceFailure] | CallFailed
    ) -> None:
        with self._state.lock:
            now = self._state.clock.monotonic()
            queue = self._queue_of_call.pop(call.call_id)
            failed = isinstance(outcome, CallFailed)
            self._state.metrics.call_ended(
                queue.service, len(call.pieces), now - call.started, failed=failed
            )
            self._state.log.note(
                "batching",
                "call failed" if failed else "call",
                routine=not failed,
                upstream=call.upstream,
                service=queue.service,
                pieces=len(call.pieces),
                batch=call.conditions.batch,
                late_pieces=call.conditions.late_pieces,
                longest_wait_ms=round(call.conditions.longest_wait / _MILLISECOND),
                free_bytes=call.conditions.free_bytes,
                took_ms=round((now - call.started) / _MILLISECOND),
                expected_ms=round(call.expected / _MILLISECOND),
                waiting=queue.waiting,
                failures=_count_failures(outcome),
                kept_bytes=queue.kept_bytes(call.upstream),
                disturbed=queue.is_disrupted(now),
                requests=sorted({piece.order.request_id for piece in call.pieces}),
                reason=outcome.detail if isinstance(outcome, CallFailed) else None,
            )
            if isinstance(outcome, CallFailed):
                effects = queue.call_failed(
                    call.call_id,
                    outcome.detail,
                    now,
                    outcome.upstream_absent,
                    outcome.not_executed,
                    outcome.silent,
                )
            else:
                effects = queue.call_ended(call.call_id, outcome, now)
            self._perform(queue, effects)
        self.wake()
        profiles = [piece_profile(queue.service, key) for key in _keys(call)]
        if isinstance(outcome, CallFailed) and outcome.broke_off:
            self._state.stage_call_broke_off(call.incarnation, profiles)
        elif not isinstance(outcome, CallFailed):
            self._state.stage_call_ended(profiles)

    def _send_results(self, effect: Deliver) -> None:
        node, number = effect.order
        if node == self._node:
            self._deliver_results(number, effect.results, self._node, effect.retry_after)
            return
        results = tuple(
            (segment, result if isinstance(result, str) else _FAILURE_PREFIX + result.value)
            for segment, result in effect.results
        )
        retry_after_ms = math.ceil((effect.retry_after or timedelta(0)) / _MILLISECOND)
        self._send(node, PiecesMade(number, results, retry_after_ms))

    def _deliver_results(
        self,
        number: int,
        results: Sequence[tuple[int, str | PieceFailure]],
        owner: NodeId,
        retry_after: timedelta | None = None,
    ) -> None:
        pending = self._pending_orders.get(number)
        if pending is None:
            handles = [result for _, result in results if isinstance(result, str)]
            if handles:
                self._free_unneeded(handles)
            return
        pending.confirmed = True
        for segment, result in results:
            pending.missing_segments.discard(segment)
            if isinstance(result, str):
                self._result_owners[result] = owner
            stage = pending.order.planned.stage
            pending.deliver(PieceResult(stage, segment, result, retry_after))
        if not pending.missing_segments:
            del self._pending_orders[number]

    def _free_unneeded(self, handles: Sequence[str]) -> None:
        """Free results at their upstreams that arrived after their request had ended."""
        by_address: dict[str, list[str]] = {}
        for handle in handles:
            try:
                by_address.setdefault(self._dialect.upstream_address(handle), []).append(handle)
            except MalformedMessage as error:
                self._state.log.note("batching", "handle not freed", reason=str(error))
        for address, address_handles in by_address.items():
            self._free(FreeResults(address, tuple(address_handles)), None)


def _keys(call: StartCall) -> list[str]:
    """Return the keys of the pieces of a call; pieces with inputs have none."""
    return sorted({piece.order.key for piece in call.pieces if piece.order.key})


def _count_failures(outcome: Sequence[str | PieceFailure] | CallFailed) -> dict[str, int]:
    """Return the number of failed pieces by kind; empty if the whole call failed."""
    if isinstance(outcome, CallFailed):
        return {}
    return Counter(result.value for result in outcome if isinstance(result, PieceFailure))
