"""Both sides of shared batching on one node: its own requests' orders and the queues it owns."""

import functools
import itertools
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

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
from chervilrack._internal.batching.state import Deliver, FreeResults, InputsRead, Order, StartCall
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
from chervilrack._internal.serving.stage_calls import CallFailed, StageCaller
from chervilrack._internal.serving.state import ServingState

# An owner that has not confirmed an order by then, and from which nothing was heard meanwhile, is
# passed over; links take 1.4 ms, and a node under load answers within some tens of milliseconds.
CONFIRM_TIMEOUT = timedelta(milliseconds=250)
# Heartbeats that a silent owner must have missed before it is passed over.
CONFIRM_HEARTBEATS = 1.2
# An owner that is heard is busy. Its orders stay with it longer, because a second owner calls the
# same upstreams at the same time; targets begin at 1.1 s.
BUSY_CONFIRM_TIMEOUT = timedelta(seconds=1)
# Orders of one process are told apart by this many low bits of their number.
ORDER_BITS = 28
_FAILURE_MARK = "!"
_MILLISECOND = timedelta(milliseconds=1)


def first_order_number(incarnation: str) -> int:
    """Return the first order number of a process, from its hexadecimal incarnation."""
    return int(incarnation, 16) << ORDER_BITS


@dataclass(slots=True)
class _Open:
    """An order of one of this node's requests."""

    order: StageOrder
    deliver: Callable[[StageEvent], None]
    owner: NodeId
    sent_at: timedelta
    confirmed: bool = False
    tried: set[NodeId] = field(default_factory=set)
    waiting: set[int] = field(default_factory=set)


class StageCoordinator:
    """Places orders at the owners of stage queues, and owns queues for others.

    State is guarded by the node's lock; calls to upstreams run in the caller's pool.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        state: ServingState,
        dialect: Dialect,
        caller: StageCaller,
    ) -> None:
        self._node = node
        self._state = state
        self._dialect = dialect
        self._caller = caller
        # Owners keep orders of a process that was killed; its successor must not get their results.
        self._numbers = itertools.count(first_order_number(incarnation))
        self._open: dict[int, _Open] = {}
        self._queues: dict[ServiceId, StageQueue] = {}
        self._queue_of_call: dict[int, StageQueue] = {}
        self._call_numbers = itertools.count(1)
        # Owners whose calls made the results of this node's requests: they count the space.
        self._makers: dict[str, NodeId] = {}
        self.transport: PeerTransport | None = None
        self.wake: Callable[[], None] = lambda: None

    # StageClient

    def place_order(self, order: StageOrder, deliver: Callable[[StageEvent], None]) -> int:
        """Ask for pieces; ``deliver`` gets the news of them. Return the order's number."""
        with self._state.lock:
            number = next(self._numbers)
            opened = _Open(order, deliver, self._node, self._state.clock.monotonic())
            opened.waiting.update(order.planned.segments)
            self._open[number] = opened
            self._place(number, opened, opened.waiting)
        self.wake()
        return number

    def zone_of(self, handle: str) -> str:
        """Return the zone of the upstream that keeps a result, "" if it is not known."""
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
        """Withdraw an order."""
        with self._state.lock:
            opened = self._open.pop(number, None)
            if opened is None:
                return
            if opened.owner == self._node:
                self._drop(opened.order.planned.service, (self._node, number))
            else:
                self._send(opened.owner, PiecesDropped(number))

    def release(
        self, service: ServiceId, handles: Sequence[str], *, evictable: bool = False
    ) -> None:
        """Give up results: the owner of the queue counts the room that they leave."""
        with self._state.lock:
            for owner, found in self._by_owner(service, handles).items():
                if owner == self._node:
                    self._release(service, found, evictable=evictable)
                else:
                    self._send(owner, ResultsReleased(service, tuple(found), evictable))
            if not evictable:
                for handle in handles:
                    self._makers.pop(handle, None)

    # Messages of other nodes; the caller has the lock

    def wanted(self, sender: NodeId, message: PiecesWanted) -> None:
        """Queue another node's order and confirm it."""
        now = self._state.clock.monotonic()
        queue = self._queue(ServiceId(message.service))
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
        wait = queue.expected_wait(now, order)
        self._send(sender, PiecesQueued(message.order, round(wait / _MILLISECOND)))
        self._perform(queue, queue.submit(order, now))

    def queued(self, message: PiecesQueued) -> None:
        """Note that the owner has an order."""
        opened = self._open.get(message.order)
        if opened is not None:
            opened.confirmed = True

    def begun(self, message: PiecesBegun) -> None:
        """Note that the inputs of an order have been read."""
        self._inputs_read(message.order)

    def made(self, sender: NodeId, message: PiecesMade) -> None:
        """Take results of an order."""
        failures = {failure.value: failure for failure in PieceFailure}
        results: list[tuple[int, str | PieceFailure]] = []
        for segment, result in message.results:
            if result.startswith(_FAILURE_MARK):
                name = result[len(_FAILURE_MARK) :]
                results.append((segment, failures.get(name, PieceFailure.ERROR)))
            else:
                results.append((segment, result))
        self._deliver(message.order, results, sender)

    def dropped(self, sender: NodeId, message: PiecesDropped) -> None:
        """Forget an order of another node."""
        for queue in self._queues.values():
            queue.drop((sender, message.order))

    def returned(self, sender: NodeId, message: PiecesReturned) -> None:
        """Order pieces elsewhere that their owner has given back."""
        opened = self._open.get(message.order)
        if opened is None:
            return
        opened.tried.add(sender)
        wanted = opened.waiting.intersection(message.segments)
        if wanted:
            self._place(message.order, opened, wanted)

    def released(self, message: ResultsReleased) -> None:
        """Free results on behalf of another node."""
        self._release(ServiceId(message.service), message.handles, evictable=message.evictable)

    # Time and membership; the caller has the lock

    def owners_changed(self) -> None:
        """Note that other nodes may own some queues for a while, too."""
        for queue in self._queues.values():
            queue.record_disruption(self._state.clock.monotonic())

    def hand_over(self) -> None:
        """Give back what waits in queues that another node owns now.

        Two owners that both call the upstreams of a service fill no call and make each other's
        calls wait.
        """
        for queue in self._queues.values():
            owner = self._owner(queue.service, frozenset())
            if not queue.waiting or owner == self._node:
                continue
            returned = queue.return_waiting_pieces()
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
                    self.returned(node, message)
                else:
                    self._send(node, message)

    def node_lost(self, node: NodeId) -> None:
        """Place the orders again whose owner is gone, and forget the orders of that node."""
        for queue in self._queues.values():
            queue.drop_node(node)
        for number, opened in list(self._open.items()):
            if opened.owner == node:
                opened.tried.add(node)
                self._place(number, opened, opened.waiting)

    def tick(self, now: timedelta) -> None:
        """Pass over owners that do not confirm, and let the queues act."""
        for number, opened in list(self._open.items()):
            if opened.confirmed or opened.owner == self._node:
                continue
            if now - opened.sent_at >= self._patience(opened):
                self._state.log.note(
                    "batching",
                    "owner passed over",
                    owner=opened.owner,
                    request=opened.order.context.metadata.request_id,
                    service=opened.order.planned.service,
                )
                opened.tried.add(opened.owner)
                self._place(number, opened, opened.waiting)
        for queue in self._queues.values():
            self._configure(queue)
            self._perform(queue, queue.tick(now))

    def next_time(self, now: timedelta) -> timedelta | None:
        """Return when ``tick`` has something to do."""
        times = [
            opened.sent_at + self._patience(opened)
            for opened in self._open.values()
            if not opened.confirmed and opened.owner != self._node
        ]
        for queue in self._queues.values():
            at = queue.next_time(now)
            if at is not None:
                times.append(at)
        return min(times, default=None)

    def reconfigure(self) -> None:
        """Apply a changed configuration or directory to the queues."""
        now = self._state.clock.monotonic()
        for queue in self._queues.values():
            self._configure(queue)
            self._perform(queue, queue.dispatch(now))

    # Placing

    def _patience(self, opened: _Open) -> timedelta:
        """Return how long the owner of an order may take to confirm it."""
        fleet = self._state.fleet
        if fleet.has_heard(opened.owner, opened.sent_at):
            return BUSY_CONFIRM_TIMEOUT
        return max(CONFIRM_TIMEOUT, fleet.interval * CONFIRM_HEARTBEATS)

    def _owner(self, service: ServiceId, excluded: frozenset[NodeId]) -> NodeId:
        if self._state.settings.batching == "local":
            return self._node
        owners = rendezvous_order(service, self._state.fleet.owners())
        return next((NodeId(o) for o in owners if o not in excluded), self._node)

    def _by_owner(self, service: ServiceId, handles: Sequence[str]) -> dict[NodeId, list[str]]:
        """Group results by the owner that made them, or by today's if that one is gone."""
        current = self._owner(service, frozenset())
        found: dict[NodeId, list[str]] = {}
        for handle in handles:
            maker = self._makers.get(handle, current)
            is_reachable = maker == self._node or self._state.fleet.address_of(maker) is not None
            found.setdefault(maker if is_reachable else current, []).append(handle)
        return found

    def _place(self, number: int, opened: _Open, wanted: Collection[int]) -> None:
        order = opened.order
        now = self._state.clock.monotonic()
        planned = order.planned
        opened.owner = self._owner(planned.service, frozenset(opened.tried))
        opened.sent_at = now
        opened.confirmed = False
        segments = tuple(sorted(wanted))
        if opened.owner == self._node:
            self._own(number, order, segments, now)
            return
        message = PiecesWanted(
            order=number,
            service=planned.service,
            request_id=order.context.metadata.request_id,
            stage=planned.stage,
            segments=segments,
            key=order.key,
            inputs=planned.inputs,
            due_ms=round((planned.due - now) / _MILLISECOND),
            remaining_ms=round((planned.deadline - now) / _MILLISECOND),
            result_size=planned.result_size,
            zone=planned.zone,
            move_bytes=planned.move_bytes,
            priority=order.context.priority,
        )
        self._send(opened.owner, message)

    def _own(
        self, number: int, order: StageOrder, segments: tuple[int, ...], now: timedelta
    ) -> None:
        planned = order.planned
        queue = self._queue(planned.service)
        own = Order(
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
        self._perform(queue, queue.submit(own, now))

    def _send(self, node: NodeId, message: object) -> None:
        address = self._state.fleet.address_of(node)
        if address is not None and self.transport is not None:
            self.transport.send_to_address(f"tcp://{address}", message)  # type: ignore[arg-type]

    # Owning

    def _queue(self, service: ServiceId) -> StageQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = StageQueue(service, self._state.balancer, call_numbers=self._call_numbers)
            queue.record_disruption(self._state.clock.monotonic())
            self._queues[service] = queue
        self._configure(queue)
        return queue

    def _configure(self, queue: StageQueue) -> None:
        configuration = self._state.catalogue.configuration
        if configuration is None:
            return
        spec = configuration.services.get(queue.service)
        if spec is not None and spec.batching is not None:
            queue.configure(spec.batching, self._state.upstreams(queue.service))

    def _drop(self, service: ServiceId, order: tuple[NodeId, int]) -> None:
        queue = self._queues.get(service)
        if queue is not None:
            queue.drop(order)

    def _release(self, service: ServiceId, handles: Sequence[str], *, evictable: bool) -> None:
        pairs = []
        for handle in handles:
            try:
                pairs.append((self._dialect.upstream_address(handle), handle))
            except MalformedMessage as error:
                self._state.log.note("batching", "handle not freed", reason=str(error))
        queue = self._queue(service)
        self._perform(
            queue, queue.release(pairs, self._state.clock.monotonic(), evictable=evictable)
        )

    def _perform(self, queue: StageQueue, effects: Sequence[BatchEffect]) -> None:
        for effect in effects:
            match effect:
                case StartCall():
                    self._queue_of_call[effect.call_id] = queue
                    self._caller.start(effect, self._call_sent, self._call_ended)
                case Deliver():
                    self._hand_over(effect)
                case InputsRead((node, number)):
                    if node == self._node:
                        self._inputs_read(number)
                    else:
                        self._send(node, PiecesBegun(number))
                case FreeResults():
                    self._caller.free(effect, functools.partial(self._freed, queue))
        self._state.report_actions()
        if effects:
            self.wake()

    def _inputs_read(self, number: int) -> None:
        opened = self._open.get(number)
        if opened is not None:
            opened.deliver(StageInputsRead(opened.order.planned.stage))

    def _freed(self, queue: StageQueue, effect: FreeResults, succeeded: bool) -> None:
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
                    call.call_id, outcome.detail, now, outcome.certain, outcome.not_executed
                )
            else:
                effects = queue.call_ended(call.call_id, outcome, now)
            self._perform(queue, effects)

    def _hand_over(self, effect: Deliver) -> None:
        node, number = effect.order
        if node == self._node:
            self._deliver(number, effect.results, self._node)
            return
        results = tuple(
            (segment, result if isinstance(result, str) else _FAILURE_MARK + result.value)
            for segment, result in effect.results
        )
        self._send(node, PiecesMade(number, results))

    def _deliver(
        self, number: int, results: Sequence[tuple[int, str | PieceFailure]], owner: NodeId
    ) -> None:
        opened = self._open.get(number)
        if opened is None:
            handles = [result for _, result in results if isinstance(result, str)]
            if handles:
                self._free_unwanted(handles)
            return
        opened.confirmed = True
        for segment, result in results:
            opened.waiting.discard(segment)
            if isinstance(result, str):
                self._makers[result] = owner
            opened.deliver(PieceResult(opened.order.planned.stage, segment, result))
        if not opened.waiting:
            del self._open[number]

    def _free_unwanted(self, handles: Sequence[str]) -> None:
        """Free results of a request that has ended."""
        by_maker: dict[str, list[str]] = {}
        for handle in handles:
            try:
                by_maker.setdefault(self._dialect.upstream_address(handle), []).append(handle)
            except MalformedMessage as error:
                self._state.log.note("batching", "handle not freed", reason=str(error))
        for address, found in by_maker.items():
            self._caller.free(FreeResults(address, tuple(found)))


def _count_failures(outcome: Sequence[str | PieceFailure] | CallFailed) -> dict[str, int]:
    if isinstance(outcome, CallFailed):
        return {}
    return Counter(result.value for result in outcome if isinstance(result, PieceFailure))
