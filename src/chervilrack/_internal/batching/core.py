"""Queue of one stage service: forms calls from the pieces of many requests.

A call takes a fixed time and a little more for each piece, and an upstream runs one call at a
time, so that full calls are the capacity. A free upstream takes the most urgent pieces at once;
while all are busy, pieces gather.
"""

import itertools
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from datetime import timedelta

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.batching.fill import WaitingOrder, fill_call
from chervilrack._internal.batching.lateness import Capacity, choose_late, urgency
from chervilrack._internal.batching.settings import BatchingSettings
from chervilrack._internal.batching.space import StageUpstream, shows_full
from chervilrack._internal.batching.state import (
    Call,
    Deliver,
    FreeResults,
    InputsRead,
    Order,
    OrderId,
    Piece,
    ReturnPieces,
    StartCall,
)
from chervilrack._internal.batching.waiting import WaitingPieces
from chervilrack._internal.batching.zones import bind_to_zones, prefers_zone
from chervilrack._internal.catalogue.state import BatchSpec, UpstreamEntry
from chervilrack._internal.common.ids import NodeId, ServiceId, UpstreamId
from chervilrack._internal.forwarding.dialect import PieceFailure

BatchEffect = StartCall | Deliver | FreeResults | InputsRead

_ZERO = timedelta(0)
_NO_TOKENS = RequestLoad()


class StageQueue:
    """Queue and calls of one stage service at its owner."""

    def __init__(
        self,
        service: ServiceId,
        balancer: Balancer,
        settings: BatchingSettings | None = None,
        call_numbers: Iterable[int] | None = None,
    ) -> None:
        self.service = service
        self._balancer = balancer
        self._settings = settings or BatchingSettings()
        self._numbers = iter(call_numbers or itertools.count(1))
        self._spec: BatchSpec | None = None
        self._upstreams: dict[UpstreamId, StageUpstream] = {}
        self._orders: dict[OrderId, Order] = {}
        self._waiting = WaitingPieces()
        self._calls: dict[int, Call] = {}
        self._disrupted_until = _ZERO
        # Results that were freed, so that none is freed twice; the newest ones.
        self._freed: OrderedDict[str, None] = OrderedDict()

    @property
    def waiting(self) -> int:
        """Pieces that wait for a call."""
        return len(self._waiting)

    @property
    def calls(self) -> int:
        """Calls in progress."""
        return len(self._calls)

    def kept_bytes(self, upstream: UpstreamId) -> int:
        """Return the bytes of results that an upstream is believed to keep."""
        found = self._upstreams.get(upstream)
        return found.own_bytes if found is not None else 0

    def configure(self, spec: BatchSpec, entries: Sequence[UpstreamEntry]) -> None:
        """Set the service's figures and the upstreams that may be called."""
        self._spec = spec
        known = {entry.id: entry for entry in entries}
        for upstream in [name for name in self._upstreams if name not in known]:
            del self._upstreams[upstream]
        for entry in entries:
            found = self._upstreams.get(entry.id)
            if found is None:
                self._upstreams[entry.id] = StageUpstream(entry)
            else:
                found.entry = entry

    def record_disruption(self, now: timedelta) -> None:
        """Note that calls may start later than usual, such as after a change of owners."""
        self._disrupted_until = now + self._settings.disruption_period

    def is_disrupted(self, now: timedelta) -> bool:
        """Whether inputs are kept until the calls that read them have ended."""
        return now < self._disrupted_until

    def submit(self, order: Order, now: timedelta) -> list[BatchEffect]:
        """Queue the pieces of an order; those of it that are known already are left out."""
        known = self._orders.get(order.id)
        if known is not None:
            missing = order.pending_segments - known.pending_segments
            known.pending_segments |= missing
            self._wait_for(known, missing)
            return self.dispatch(now)
        if now + self.expected_wait(now, order) > order.deadline:
            results = tuple(
                (segment, PieceFailure.LATE) for segment in sorted(order.pending_segments)
            )
            return [Deliver(order.id, results)]
        self._orders[order.id] = order
        self._wait_for(order, order.pending_segments)
        return self.dispatch(now)

    def _wait_for(self, order: Order, segments: Collection[int]) -> None:
        for segment in sorted(segments):
            self._waiting.add(Piece(order, segment))

    def expected_wait(self, now: timedelta, order: Order) -> timedelta:
        """Return the expected time until an order queued now has all its results."""
        if self._spec is None or not self._upstreams:
            return _ZERO
        spec = self._spec
        pieces = min(spec.batch, len(order.pending_segments))
        own_call = spec.call_time + pieces * spec.item_time
        usable = self._usable(now)
        if any(upstream.call is None for upstream in usable):
            return own_call
        ahead = self._pieces_before(order, now)
        full_call = spec.call_time + spec.batch * spec.item_time
        calls_ahead = ahead / (len(usable) * spec.batch * self._settings.predicted_fill)
        return full_call * (0.5 + calls_ahead) + own_call

    def _pieces_before(self, order: Order, now: timedelta) -> int:
        """Return the waiting pieces that would be called before a new order."""
        assert self._spec is not None
        spec, settings = self._spec, self._settings
        waiting = [
            *self._waiting.groups(),
            (order, [Piece(order, n) for n in order.pending_segments]),
        ]
        late = self._late_orders(waiting, now)
        own = urgency(order, late, spec, settings)
        return sum(
            len(pieces)
            for other, pieces in waiting
            if other is not order and urgency(other, late, spec, settings) <= own
        )

    def return_waiting_pieces(self) -> list[ReturnPieces]:
        """Give up the pieces that wait, because another node owns the queue now.

        Pieces in calls stay: their results are delivered from here.
        """
        returned: list[ReturnPieces] = []
        for order, pieces in self._waiting.groups():
            segments = tuple(p.segment for p in pieces if p.is_pending and p.sent == 0)
            order.pending_segments.difference_update(segments)
            if segments:
                returned.append(ReturnPieces(order.id, segments))
            if not order.pending_segments:
                self._orders.pop(order.id, None)
        self._waiting.clear()
        return returned

    def drop(self, order_id: OrderId) -> None:
        """Forget an order whose request ended."""
        order = self._orders.pop(order_id, None)
        if order is not None:
            order.pending_segments.clear()
            self._waiting.remove_all(self._waiting.of_order(order_id))

    def drop_node(self, node: NodeId) -> None:
        """Forget the orders of a node that is gone."""
        for order_id in [found for found in self._orders if found[0] == node]:
            self.drop(order_id)

    def release(
        self, handles: Sequence[tuple[str, str]], now: timedelta, *, evictable: bool = False
    ) -> list[BatchEffect]:
        """Free results, given as pairs of maker address and handle.

        ``evictable`` ones have been read; they are kept until their space is needed.
        """
        by_address: dict[str, list[str]] = {}
        for address, handle in handles:
            upstream = self._at(address)
            if evictable and upstream is not None and handle in upstream.kept:
                upstream.kept.mark(handle, evictable=True)
            elif handle not in self._freed:
                if upstream is not None:
                    upstream.kept.mark(handle, being_freed=True)
                by_address.setdefault(address, []).append(handle)
        effects = [self._free(address, found) for address, found in by_address.items()]
        return [*effects, *self._make_room(now)]

    def freed(self, address: str, handles: Sequence[str], now: timedelta) -> list[BatchEffect]:
        """Note that an upstream has dropped results, and use the room."""
        upstream = self._at(address)
        if upstream is not None:
            for handle in handles:
                upstream.kept.remove(handle)
        return self.dispatch(now)

    def not_freed(self, address: str, handles: Sequence[str]) -> None:
        """Note that results could not be freed: they stay until they expire."""
        upstream = self._at(address)
        if upstream is not None:
            for handle in handles:
                upstream.kept.mark(handle, evictable=False, being_freed=False)

    def call_ended(
        self, call_id: int, results: Sequence[str | PieceFailure], now: timedelta
    ) -> list[BatchEffect]:
        """Take the results of a call, one for each of its pieces."""
        call = self._finish(call_id)
        if call is None:
            return []
        self._balancer.record_success(call.upstream, now)
        self._balancer.observe_pace(call.upstream, call.expected, now - call.started, now)
        upstream = self._upstreams.get(call.upstream)
        if upstream is not None:
            self._learn_room(upstream, call, results, now)
        if any(
            result is PieceFailure.INPUT_GONE and piece.attempts == 1
            for piece, result in zip(call.pieces, results, strict=True)
        ):
            # Inputs of a repeated piece may have been freed since its first call.
            self.record_disruption(now)
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        unwanted: list[str] = []
        for piece, result in zip(call.pieces, results, strict=True):
            piece.sent -= 1
            if isinstance(result, str):
                self._keep(upstream, result, piece.order.result_size, now)
                if not piece.is_pending:
                    unwanted.append(result)
                    continue
            elif not piece.is_pending or self._retry(piece, result, upstream, now):
                continue
            self._close(piece, result, delivered)
            if result is PieceFailure.INPUT_GONE:
                self._close_siblings(piece.order, delivered)
        effects: list[BatchEffect] = _deliveries(delivered)
        if unwanted:
            effects += self.release([(call.address, handle) for handle in unwanted], now)
        return effects + self.dispatch(now)

    def call_sent(self, call_id: int, now: timedelta) -> None:
        """Note that the request of a call was written; on a busy node that is after its start."""
        call = self._calls.get(call_id)
        if call is not None:
            size = sum(piece.order.move_bytes for piece in call.pieces if piece.order.inputs)
            transfer = timedelta(seconds=size / self._settings.read_bytes_per_s)
            call.read_at = now + self._settings.read_time + transfer

    def call_failed(
        self, call_id: int, reason: str, now: timedelta, certain: bool, not_executed: bool
    ) -> list[BatchEffect]:
        """Take the failure of a whole call; ``certain`` means that the upstream is not there."""
        call = self._finish(call_id)
        if call is None:
            return []
        self.record_disruption(now)
        if not not_executed:
            self._balancer.record_failure(call.upstream, now, reason, certain)
        else:
            # The upstream runs a call of somebody else; its queue is short.
            upstream = self._upstreams.get(call.upstream)
            if upstream is not None:
                upstream.full_until = now + (self._spec.call_time if self._spec else _ZERO) / 2
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        for piece in call.pieces:
            piece.sent -= 1
            if not piece.is_pending or piece.sent > 0:
                continue
            if not_executed:
                piece.attempts -= 1
            if piece.attempts >= self._settings.max_attempts:
                self._close(piece, PieceFailure.ERROR, delivered)
            else:
                self._waiting.add(piece)
        return [*_deliveries(delivered), *self.dispatch(now)]

    def next_time(self, now: timedelta) -> timedelta | None:
        """Return when ``tick`` has something to do if nothing else happens; always after now."""
        times = [self._straggles_at(call) for call in self._calls.values() if not call.hedged]
        times += [call.read_at for call in self._calls.values() if call.read_at is not None]
        if self._waiting:
            for order in self._waiting.orders:
                times.append(order.deadline)
                if prefers_zone(order, self._settings):
                    # From then on it may go to another zone.
                    times.append(order.due - self._spec.call_time if self._spec else order.due)
            for upstream in self._upstreams.values():
                times += [upstream.full_until, upstream.foreign_until]
                times.append(self._balancer.status(upstream.entry.id).ejected_until)
                if (end := upstream.kept.next_end) is not None:
                    times.append(end)
        return min((time for time in times if time > now), default=None)

    def tick(self, now: timedelta) -> list[BatchEffect]:
        """Give up late pieces, repeat those of stragglers, and start calls."""
        for upstream in self._upstreams.values():
            upstream.expire(now)
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        for piece in [p for p in self._waiting if p.order.deadline <= now]:
            self._waiting.remove(piece)
            if piece.is_pending:
                self._close(piece, PieceFailure.LATE, delivered)
        for call in self._calls.values():
            if not call.hedged and now >= self._straggles_at(call):
                call.hedged = True
                self.record_disruption(now)
                self._balancer.observe_pace(call.upstream, call.expected, now - call.started, now)
                for piece in call.pieces:
                    if piece.is_pending and piece.attempts < self._settings.max_attempts:
                        self._waiting.add(piece)
        return [*_deliveries(delivered), *self._inputs_read(now), *self.dispatch(now)]

    def _inputs_read(self, now: timedelta) -> list[BatchEffect]:
        """Report orders whose pieces are all in calls that have read their inputs."""
        if self.is_disrupted(now):
            return []
        unread = {id(order) for order in self._waiting.orders}
        begun: dict[OrderId, Order] = {}
        for call in self._calls.values():
            upstream = self._upstreams.get(call.upstream)
            has_read = (
                call.read_at is not None
                and now >= call.read_at
                and upstream is not None
                and self._pace(upstream, now) < self._settings.usual_pace
            )
            for piece in call.pieces:
                if has_read:
                    begun[piece.order.id] = piece.order
                else:
                    unread.add(id(piece.order))
        found = [
            order
            for order in begun.values()
            if order.inputs and not order.inputs_read and id(order) not in unread
        ]
        for order in found:
            order.inputs_read = True
        return [InputsRead(order.id) for order in found]

    def dispatch(self, now: timedelta) -> list[BatchEffect]:
        """Start calls at free upstreams for the most urgent pieces."""
        effects: list[BatchEffect] = []
        if self._spec is None or not self._waiting:
            return effects
        free = self._free_upstreams(now)
        if not free:
            return self._make_room(now)
        orders = self._by_urgency(now)
        effects += self._refuse_hopeless(orders, now)
        bound = self._bound_to_zone(orders, now)
        for upstream in free:
            if not self._waiting:
                break
            pieces = self._take(upstream, orders, bound, now)
            if pieces:
                effects.append(self._start(upstream, pieces, now))
        return [*effects, *self._make_room(now)]

    def _make_room(self, now: timedelta) -> list[BatchEffect]:
        """Free spare results of upstreams that lack space for the next call."""
        if self._spec is None or not self._waiting:
            return []
        needed = self._room_for_next()
        effects: list[BatchEffect] = []
        for upstream in self._upstreams.values():
            call = self._calls.get(upstream.call) if upstream.call is not None else None
            reserved = call.reserved if call is not None else 0
            found = upstream.find_spare(needed, self._spec.result_space, reserved, now)
            if found:
                effects.append(self._free(upstream.entry.address, found))
        return effects

    def _free(self, address: str, handles: Sequence[str]) -> FreeResults:
        for handle in handles:
            self._freed[handle] = None
        while len(self._freed) > self._settings.remembered_frees:
            self._freed.popitem(last=False)
        return FreeResults(address, tuple(handles))

    def _at(self, address: str) -> StageUpstream | None:
        return next((u for u in self._upstreams.values() if u.entry.address == address), None)

    def _refuse_hopeless(self, orders: list[WaitingOrder], now: timedelta) -> list[BatchEffect]:
        """Refuse orders that cannot end in time even if all calls before them are full."""
        assert self._spec is not None
        spec = self._spec
        full_call = spec.call_time + spec.batch * spec.item_time
        a_round = spec.batch * max(1, len(self._usable(now)))
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        ahead = 0
        for order, pieces in orders:
            own_call = spec.call_time + min(len(pieces), spec.batch) * spec.item_time
            begun = len(pieces) < len(order.pending_segments)
            if not begun and now + full_call * (ahead // a_round) + own_call > order.deadline:
                for piece in list(pieces):
                    self._close(piece, PieceFailure.LATE, delivered)
                pieces.clear()
            ahead += len(pieces)
        return _deliveries(delivered)

    # Choice of upstream and pieces

    def _free_upstreams(self, now: timedelta) -> list[StageUpstream]:
        """Return free upstreams, fastest first, slow ones only while the others cannot cope."""
        assert self._spec is not None
        usable = self._usable(now)
        sound = [u for u in usable if self._pace(u, now) < self._settings.slow_pace]
        free = [u for u in sound if self._is_free(u, now)]
        if not sound or len(self._waiting) > 2 * self._spec.batch * len(sound):
            free += [u for u in usable if u not in sound and self._is_free(u, now)]
        free.sort(key=lambda u: (round(self._pace(u, now), 1), u.entry.id))
        return free

    def _usable(self, now: timedelta) -> list[StageUpstream]:
        usable = [u for u in self._upstreams.values() if not self._suspected(u, now)]
        return usable if len(usable) * 2 >= len(self._upstreams) else [*self._upstreams.values()]

    def _take(
        self,
        upstream: StageUpstream,
        orders: list[WaitingOrder],
        bound: set[OrderId],
        now: timedelta,
    ) -> tuple[Piece, ...]:
        """Remove the pieces of the next call of this upstream from those that wait."""
        assert self._spec is not None
        room = self._spec.result_space - upstream.occupied(now)
        allowed = [
            (order, pieces)
            for order, pieces in orders
            if pieces and not (order.id in bound and order.zone != upstream.entry.zone)
        ]
        least_fill = self._settings.least_fill
        taken: list[Piece] = []
        for index, count in fill_call(allowed, self._spec.batch, room, least_fill):
            pieces = allowed[index][1]
            taken += pieces[:count]
            del pieces[:count]
        self._waiting.remove_all(taken)
        return tuple(taken)

    def _by_urgency(self, now: timedelta) -> list[WaitingOrder]:
        """Return waiting orders with their pieces, most urgent first."""
        found = self._waiting.groups()
        assert self._spec is not None
        spec, settings = self._spec, self._settings
        late = self._late_orders(found, now)
        found.sort(key=lambda e: (urgency(e[0], late, spec, settings), e[0].priority, e[0].id))
        return found

    def _late_orders(self, waiting: Sequence[WaitingOrder], now: timedelta) -> set[OrderId]:
        """Return the waiting orders that will miss their targets."""
        assert self._spec is not None
        spec, settings = self._spec, self._settings
        usable = self._usable(now)
        full_call = spec.call_time + spec.batch * spec.item_time
        capacity = Capacity(
            now,
            min((self._free_at(upstream, now) for upstream in usable), default=now),
            spec.batch * max(1, len(usable)) * settings.target_fill,
            full_call * settings.target_slowdown,
        )
        orders = (
            (order, len(pieces), spec.call_time + min(len(pieces), spec.batch) * spec.item_time)
            for order, pieces in waiting
        )
        return choose_late(orders, capacity, settings.rank_weight)

    def _bound_to_zone(self, orders: list[WaitingOrder], now: timedelta) -> set[OrderId]:
        """Return the orders that wait for an upstream of their zone."""
        assert self._spec is not None
        free_at = [(u.entry.zone, self._free_at(u, now)) for u in self._usable(now)]
        return bind_to_zones(orders, free_at, self._spec, self._settings)

    def _free_at(self, upstream: StageUpstream, now: timedelta) -> timedelta:
        """Return when an upstream is expected to take its next call."""
        call = self._calls.get(upstream.call) if upstream.call is not None else None
        if call is None:
            return max(now, upstream.full_until)
        return max(now, call.started + call.expected)

    def _start(
        self, upstream: StageUpstream, pieces: tuple[Piece, ...], now: timedelta
    ) -> StartCall:
        assert self._spec is not None
        settings = self._settings
        expected = self._spec.call_time + len(pieces) * self._spec.item_time
        number = next(self._numbers)
        for piece in pieces:
            piece.attempts += 1
            piece.sent += 1
        reserved = sum(piece.order.result_size for piece in pieces)
        entry = upstream.entry
        upstream.call = number
        upstream.full_until = _ZERO
        self._balancer.record_start(entry.id, _NO_TOKENS, now)
        self._calls[number] = Call(number, entry.id, entry.address, pieces, now, expected, reserved)
        timeout = expected * settings.timeout_ratio + settings.timeout_slack
        return StartCall(number, entry.id, entry.address, pieces, now, expected, timeout)

    def _suspected(self, upstream: StageUpstream, now: timedelta) -> bool:
        return self._balancer.is_suspected(upstream.entry.id, now)

    def _pace(self, upstream: StageUpstream, now: timedelta) -> float:
        return self._balancer.pace(self._balancer.status(upstream.entry.id), now)

    def _is_free(self, upstream: StageUpstream, now: timedelta) -> bool:
        assert self._spec is not None
        if upstream.call is not None or now < upstream.full_until:
            return False
        left = self._spec.result_space - upstream.occupied(now)
        if upstream.frees_results and left < self._room_for_next():
            # A fuller call can start as soon as they are gone.
            return False
        return self._waiting.smallest_result <= left

    def _room_for_next(self) -> int:
        assert self._spec is not None
        return (
            self._waiting.result_bytes
            * min(len(self._waiting), self._spec.batch)
            // len(self._waiting)
        )

    # Ends of calls and pieces

    def _finish(self, call_id: int) -> Call | None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._balancer.record_end(call.upstream)
            upstream = self._upstreams.get(call.upstream)
            if upstream is not None and upstream.call == call_id:
                upstream.call = None
        return call

    def _keep(self, upstream: StageUpstream | None, handle: str, size: int, now: timedelta) -> None:
        if upstream is not None and self._spec is not None:
            upstream.kept.add(handle, size, now + self._spec.result_lifetime)

    def _learn_room(
        self,
        upstream: StageUpstream,
        call: Call,
        results: Sequence[str | PieceFailure],
        now: timedelta,
    ) -> None:
        """Note how much space another owner's results take if there was less than expected."""
        if self._spec is None or not shows_full(call, results):
            return
        granted = sum(
            piece.order.result_size
            for piece, result in zip(call.pieces, results, strict=True)
            if isinstance(result, str)
        )
        self.record_disruption(now)
        until = now + self._settings.foreign_time
        upstream.learn_foreign(self._spec.result_space, granted, until)

    def _retry(
        self, piece: Piece, failure: PieceFailure, upstream: StageUpstream | None, now: timedelta
    ) -> bool:
        """Queue a piece again after a failure that another call may avoid."""
        if piece.sent > 0:
            return True
        if failure is PieceFailure.NO_ROOM:
            if upstream is not None and self._spec is not None:
                upstream.full_until = now + self._settings.room_pause
            piece.attempts -= 1
        elif failure is not PieceFailure.ERROR:
            return False
        if piece.attempts >= self._settings.max_attempts:
            return False
        self._waiting.add(piece)
        return True

    def _close(
        self,
        piece: Piece,
        result: str | PieceFailure,
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]],
    ) -> None:
        order = piece.order
        order.pending_segments.discard(piece.segment)
        delivered.setdefault(order.id, []).append((piece.segment, result))
        self._waiting.remove(piece)
        if not order.pending_segments:
            self._orders.pop(order.id, None)

    def _close_siblings(
        self, order: Order, delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]]
    ) -> None:
        """Give up the waiting pieces of an order of which an input is gone: all read the same."""
        for piece in [p for p in self._waiting.of_order(order.id) if p.is_pending]:
            self._close(piece, PieceFailure.INPUT_GONE, delivered)

    def _straggles_at(self, call: Call) -> timedelta:
        settings = self._settings
        return call.started + call.expected * settings.straggler_ratio + settings.straggler_slack


def _deliveries(
    delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]],
) -> list[BatchEffect]:
    return [Deliver(order, tuple(results)) for order, results in delivered.items()]
