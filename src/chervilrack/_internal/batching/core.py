"""Queue of one stage service: forms calls from the pieces of many requests.

A call takes a fixed time plus a shorter time for each piece, and an upstream runs one call at a
time. The throughput of an upstream is thus highest when its calls are full. A free upstream is
called at once with the most urgent pieces; pieces collect in the queue only while all upstreams are
busy.
"""

import itertools
from collections import OrderedDict
from collections.abc import Collection, Container, Iterable, Sequence
from datetime import timedelta

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.batching.durations import CallDurations
from chervilrack._internal.batching.fill import WaitingOrder, fill_call
from chervilrack._internal.batching.lateness import Capacity, choose_late_orders, effective_due
from chervilrack._internal.batching.settings import BatchingSettings
from chervilrack._internal.batching.space import StageUpstream, indicates_full_upstream
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
    StartConditions,
)
from chervilrack._internal.batching.waiting import OrderTimes, WaitingPieces
from chervilrack._internal.batching.zones import bind_to_zones, prefers_zone
from chervilrack._internal.catalogue.state import BatchSpec, UpstreamEntry
from chervilrack._internal.common.ids import NodeId, ServiceId, UpstreamId
from chervilrack._internal.forwarding.dialect import PieceFailure

BatchEffect = StartCall | Deliver | FreeResults | InputsRead

_ZERO = timedelta(0)
_NO_TOKENS = RequestLoad()


class StageQueue:
    """Queue and calls of one stage service at its owner.

    Methods take the monotonic time ``now`` and return the effects that the caller must carry out.
    """

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
        self._call_numbers = iter(call_numbers or itertools.count(1))
        self._spec: BatchSpec | None = None
        self._upstreams: dict[UpstreamId, StageUpstream] = {}
        self._orders: dict[OrderId, Order] = {}
        self._waiting = WaitingPieces()
        self._order_times = OrderTimes()
        self._calls: dict[int, Call] = {}
        self._disrupted_until = _ZERO
        self._durations = CallDurations(self._settings)
        # The most recently freed handles, oldest first, so that no result is freed twice.
        self._freed_handles: OrderedDict[str, None] = OrderedDict()

    @property
    def waiting(self) -> int:
        """Number of pieces that wait for a call."""
        return len(self._waiting)

    @property
    def calls(self) -> int:
        """Number of calls in progress."""
        return len(self._calls)

    def kept_bytes(self, upstream: UpstreamId) -> int:
        """Return the bytes of this queue's results that an upstream is expected to keep."""
        stage_upstream = self._upstreams.get(upstream)
        return stage_upstream.own_bytes if stage_upstream is not None else 0

    def configure(self, spec: BatchSpec, entries: Sequence[UpstreamEntry]) -> None:
        """Set the parameters of the service and the upstreams that may be called."""
        self._spec = spec
        self._durations.configure(spec)
        configured = {entry.id: entry for entry in entries}
        for upstream in [name for name in self._upstreams if name not in configured]:
            del self._upstreams[upstream]
        for entry in entries:
            stage_upstream = self._upstreams.get(entry.id)
            if stage_upstream is None:
                self._upstreams[entry.id] = StageUpstream(entry)
            else:
                stage_upstream.entry = entry

    def record_disruption(self, now: timedelta) -> None:
        """Record an event, such as a change of owners, after which calls may start late."""
        self._disrupted_until = now + self._settings.disruption_period

    def is_disrupted(self, now: timedelta) -> bool:
        """Whether calls may start late.

        Inputs are then kept until the calls that read them have ended.
        """
        return now < self._disrupted_until

    def submit(self, order: Order, now: timedelta) -> list[BatchEffect]:
        """Queue the pieces of an order.

        Pieces that the queue already holds for this order are left out. An order that cannot be
        done before its deadline fails at once.
        """
        queued_order = self._orders.get(order.id)
        if queued_order is not None:
            missing = order.pending_segments - queued_order.pending_segments
            queued_order.pending_segments |= missing
            self._enqueue(queued_order, missing)
            return self.dispatch(now)
        if not order.inputs and (barred := self._barred_failure(now)) is not None:
            # Nothing has been spent on the request yet, and a place in the queue costs a thread.
            failure, retry_after = barred
            failures = tuple((segment, failure) for segment in sorted(order.pending_segments))
            return [Deliver(order.id, failures, retry_after)]
        if (
            now + self.longest_wait(len(order.pending_segments)) > order.deadline
            and now + self.expected_wait(now, order) > order.deadline
        ):
            results = tuple(
                (segment, PieceFailure.LATE) for segment in sorted(order.pending_segments)
            )
            return [Deliver(order.id, results)]
        self._orders[order.id] = order
        self._enqueue(order, order.pending_segments)
        return self.dispatch(now)

    def _enqueue(self, order: Order, segments: Collection[int]) -> None:
        for segment in sorted(segments):
            self._add_waiting(Piece(order, segment))

    def _add_waiting(self, piece: Piece) -> None:
        order = piece.order
        if not self._waiting.has_order(order.id):
            self._order_times.add(order.deadline, order.id)
            if self._spec is not None and prefers_zone(order, self._settings):
                # From this time on, the order may be called in another zone.
                self._order_times.add(order.due - self._spec.call_time, order.id)
        self._waiting.add(piece)

    def longest_wait(self, pieces: int) -> timedelta:
        """Return the expected time until new pieces have their results if all others go first.

        The time is computed in constant time, as if half of the upstreams were suspected.
        """
        if self._spec is None or not self._upstreams:
            return _ZERO
        spec = self._spec
        round_pieces = (
            max(1, len(self._upstreams) // 2) * spec.batch * self._settings.predicted_fill
        )
        rounds = 0.5 + len(self._waiting) / round_pieces
        own_call = self._durations.of_call(pieces)
        return self._durations.full_call * rounds + own_call

    def expected_wait(self, now: timedelta, order: Order) -> timedelta:
        """Return the expected time until an order queued now has all its results."""
        if self._spec is None or not self._upstreams:
            return _ZERO
        spec = self._spec
        own_call = self._durations.of_call(len(order.pending_segments))
        usable = self._usable_upstreams(now)
        if not usable:
            return self._pause_left(now) + own_call
        if any(upstream.current_call is None for upstream in usable):
            return own_call
        pieces_ahead = self._pieces_ahead(order, now)
        full_call = self._durations.full_call
        calls_ahead = pieces_ahead / (len(usable) * spec.batch * self._settings.predicted_fill)
        return full_call * (0.5 + calls_ahead) + own_call

    def _pieces_ahead(self, order: Order, now: timedelta) -> int:
        """Return the number of waiting pieces that would be called before those of a new order."""
        waiting = [
            *self._waiting.groups(),
            (order, [Piece(order, n) for n in order.pending_segments]),
        ]
        late = self._late_orders(waiting, now)
        own_due = effective_due(order, late, self._settings)
        return sum(
            len(pieces)
            for other, pieces in waiting
            if other is not order and effective_due(other, late, self._settings) <= own_due
        )

    def return_waiting_pieces(self) -> list[ReturnPieces]:
        """Remove and return all waiting pieces, because another node owns the queue now.

        This queue still delivers the results of pieces that are in calls.
        """
        returned: list[ReturnPieces] = []
        for order, pieces in self._waiting.groups():
            segments = tuple(p.segment for p in pieces if p.is_pending and p.active_calls == 0)
            order.pending_segments.difference_update(segments)
            if segments:
                returned.append(ReturnPieces(order.id, segments))
            if not order.pending_segments:
                self._orders.pop(order.id, None)
        self._waiting.clear()
        return returned

    def drop(self, order_id: OrderId) -> None:
        """Cancel an order whose request has ended."""
        order = self._orders.pop(order_id, None)
        if order is not None:
            order.pending_segments.clear()
            self._waiting.remove_all(self._waiting.of_order(order_id))

    def drop_node(self, node: NodeId) -> None:
        """Cancel the orders of a node that has left the fleet."""
        for order_id in [queued_id for queued_id in self._orders if queued_id[0] == node]:
            self.drop(order_id)

    def release(
        self, handles: Sequence[tuple[str, str]], now: timedelta, *, evictable: bool = False
    ) -> list[BatchEffect]:
        """Free results that are no longer needed, or mark them as evictable.

        Each result is a pair of the address of the upstream that keeps it and its handle. Results
        that are ``evictable`` have been read, and are kept until their space is needed.
        """
        by_address: dict[str, list[str]] = {}
        for address, handle in handles:
            upstream = self._upstream_at(address)
            if evictable and upstream is not None and handle in upstream.kept:
                upstream.kept.mark(handle, evictable=True)
            elif handle not in self._freed_handles:
                if upstream is not None:
                    upstream.kept.mark(handle, being_freed=True)
                by_address.setdefault(address, []).append(handle)
        effects = [self._free_results(address, to_free) for address, to_free in by_address.items()]
        return [*effects, *self._evict_for_next_call(now)]

    def freed(self, address: str, handles: Sequence[str], now: timedelta) -> list[BatchEffect]:
        """Record that an upstream has freed results, and start calls that now have space."""
        upstream = self._upstream_at(address)
        if upstream is not None:
            self._balancer.record_heard(upstream.entry.id, now)
            for handle in handles:
                upstream.kept.remove(handle)
        return self.dispatch(now)

    def not_freed(self, address: str, handles: Sequence[str]) -> None:
        """Record that results could not be freed: they occupy space until they expire."""
        upstream = self._upstream_at(address)
        if upstream is not None:
            for handle in handles:
                upstream.kept.mark(handle, evictable=False, being_freed=False)

    def call_ended(
        self, call_id: int, results: Sequence[str | PieceFailure], now: timedelta
    ) -> list[BatchEffect]:
        """Process the results of a call, one for each of its pieces."""
        call = self._remove_call(call_id)
        if call is None:
            return []
        self._balancer.record_success(call.upstream, now)
        self._durations.observe(len(call.pieces), now - call.started)
        self._balancer.observe_pace(call.upstream, call.expected, now - call.started, now)
        upstream = self._upstreams.get(call.upstream)
        if upstream is not None:
            self._record_lack_of_space(upstream, call, results, now)
        if any(
            result is PieceFailure.INPUT_GONE and piece.calls == 1 and piece.order.inputs_read
            for piece, result in zip(call.pieces, results, strict=True)
        ):
            # The call started after the time by which its inputs were assumed to have been read.
            # Inputs of a repeated piece may have been freed since its first call, and inputs that
            # were not reported as read have expired or were lost with their upstream.
            self.record_disruption(now)
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        unneeded: list[str] = []
        for piece, result in zip(call.pieces, results, strict=True):
            piece.active_calls -= 1
            if isinstance(result, str):
                self._add_kept_result(upstream, result, piece.order.result_size, now)
                if not piece.is_pending:
                    unneeded.append(result)
                    continue
            elif not piece.is_pending or self._requeue(piece, result, upstream, now):
                continue
            self._finish_piece(piece, result, delivered)
            if result is PieceFailure.INPUT_GONE:
                self._fail_waiting_pieces(piece.order, delivered)
        effects: list[BatchEffect] = _deliveries(delivered)
        if unneeded:
            effects += self.release([(call.address, handle) for handle in unneeded], now)
        return effects + self.dispatch(now)

    def call_sent(self, call_id: int, now: timedelta) -> None:
        """Record that the request of a call has been written.

        On a busy node, the request may be written some time after the call was started.
        """
        call = self._calls.get(call_id)
        if call is not None:
            size = sum(piece.order.move_bytes for piece in call.pieces if piece.order.inputs)
            transfer = timedelta(seconds=size / self._settings.read_bytes_per_s)
            call.inputs_read_at = now + self._settings.input_read_time + transfer

    def call_failed(
        self,
        call_id: int,
        reason: str,
        now: timedelta,
        certain: bool,
        not_executed: bool,
        silent: bool = False,
    ) -> list[BatchEffect]:
        """Process the failure of a whole call.

        ``certain`` means that the upstream is certainly gone, ``not_executed`` that the upstream
        has not processed the call, ``silent`` that it has only said nothing in time.
        """
        call = self._remove_call(call_id)
        if call is None:
            return []
        self.record_disruption(now)
        if silent:
            self._balancer.record_silence(call.upstream, call.started, now, reason)
        if silent or not_executed:
            self._balancer.end_probe(call.upstream)
        if not not_executed and not silent:
            self._balancer.record_failure(call.upstream, now, reason, certain)
        elif not_executed:
            # The upstream probably runs a call of another owner. Its own queue of calls is short.
            upstream = self._upstreams.get(call.upstream)
            if upstream is not None:
                upstream.paused_until = now + (self._spec.call_time if self._spec else _ZERO) / 2
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        for piece in call.pieces:
            piece.active_calls -= 1
            if not piece.is_pending or piece.active_calls > 0:
                continue
            if not_executed:
                piece.attempts -= 1
            if piece.attempts >= self._settings.max_attempts:
                self._finish_piece(piece, PieceFailure.ERROR, delivered)
            else:
                self._add_waiting(piece)
        return [*_deliveries(delivered), *self.dispatch(now)]

    def next_time(self, now: timedelta) -> timedelta | None:
        """Return the next time after ``now`` at which ``tick`` has something to do, if any."""
        times = [call.straggles_at for call in self._calls.values() if not call.hedged]
        times += [
            call.inputs_read_at for call in self._calls.values() if call.inputs_read_at is not None
        ]
        if self._waiting:
            if (order_time := self._order_times.next_after(now, self._waiting)) is not None:
                times.append(order_time)
            for upstream in self._upstreams.values():
                times += [upstream.paused_until, upstream.other_owners_until]
                times.append(self._balancer.status(upstream.entry.id).ejected_until)
                pause_end = self._balancer.standing.paused_until(upstream.entry.incarnation, now)
                if pause_end is not None:
                    times.append(pause_end)
                if (expiry := upstream.kept.next_expiry) is not None:
                    times.append(expiry)
        return min((time for time in times if time > now), default=None)

    def tick(self, now: timedelta) -> list[BatchEffect]:
        """Fail pieces past their deadline, requeue the pieces of stragglers, and start calls."""
        for upstream in self._upstreams.values():
            upstream.expire(now)
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        for order in [o for o in self._waiting.orders if o.deadline <= now]:
            for piece in self._waiting.of_order(order.id):
                self._waiting.remove(piece)
                if piece.is_pending:
                    self._finish_piece(piece, PieceFailure.LATE, delivered)
        for call in self._calls.values():
            if not call.hedged and now >= call.straggles_at:
                call.hedged = True
                self.record_disruption(now)
                self._balancer.observe_pace(call.upstream, call.expected, now - call.started, now)
                for piece in call.pieces:
                    if piece.is_pending and piece.attempts < self._settings.max_attempts:
                        self._add_waiting(piece)
        return [*_deliveries(delivered), *self._report_inputs_read(now), *self.dispatch(now)]

    def _report_inputs_read(self, now: timedelta) -> list[BatchEffect]:
        """Report orders whose pieces are all in calls that have probably read their inputs."""
        if self.is_disrupted(now):
            return []
        unread = {id(order) for order in self._waiting.orders}
        with_inputs_read: dict[OrderId, Order] = {}
        for call in self._calls.values():
            upstream = self._upstreams.get(call.upstream)
            has_read = (
                call.inputs_read_at is not None
                and now >= call.inputs_read_at
                and upstream is not None
                and self._pace(upstream, now) < self._settings.contended_pace
            )
            for piece in call.pieces:
                if has_read:
                    with_inputs_read[piece.order.id] = piece.order
                else:
                    unread.add(id(piece.order))
        newly_read = [
            order
            for order in with_inputs_read.values()
            if order.inputs and not order.inputs_read and id(order) not in unread
        ]
        for order in newly_read:
            order.inputs_read = True
        return [InputsRead(order.id) for order in newly_read]

    def dispatch(self, now: timedelta) -> list[BatchEffect]:
        """Start calls to free upstreams with the most urgent pieces."""
        effects: list[BatchEffect] = []
        if self._spec is None or not self._waiting:
            return effects
        effects += self._fail_barred_orders(now)
        if not self._waiting:
            return effects
        free = self._free_upstreams(now)
        if not free:
            return [*effects, *self._evict_for_next_call(now)]
        orders, late = self._by_urgency(now)
        effects += self._fail_infeasible_orders(orders, now)
        effects += self._refuse_late_backlog(orders, late, now)
        bound = self._zone_bound_orders(orders, now)
        for upstream in free:
            if not self._waiting:
                break
            pieces = self._take_pieces(upstream, orders, bound, now)
            if pieces:
                effects.append(self._start(upstream, pieces, now))
        return [*effects, *self._evict_for_next_call(now)]

    def _evict_for_next_call(self, now: timedelta) -> list[BatchEffect]:
        """Free evictable results at upstreams that lack space for the results of the next call."""
        if self._spec is None or not self._waiting:
            return []
        needed = self._next_call_bytes()
        effects: list[BatchEffect] = []
        for upstream in self._upstreams.values():
            call = (
                self._calls.get(upstream.current_call)
                if upstream.current_call is not None
                else None
            )
            reserved_bytes = call.reserved_bytes if call is not None else 0
            evicted = upstream.evict(needed, self._spec.result_space, reserved_bytes, now)
            if evicted:
                effects.append(self._free_results(upstream.entry.address, evicted))
        return effects

    def _free_results(self, address: str, handles: Sequence[str]) -> FreeResults:
        for handle in handles:
            self._freed_handles[handle] = None
        while len(self._freed_handles) > self._settings.max_remembered_frees:
            self._freed_handles.popitem(last=False)
        return FreeResults(address, tuple(handles))

    def _upstream_at(self, address: str) -> StageUpstream | None:
        return next((u for u in self._upstreams.values() if u.entry.address == address), None)

    def _fail_infeasible_orders(
        self, orders: list[WaitingOrder], now: timedelta
    ) -> list[BatchEffect]:
        """Fail orders that cannot meet their deadline even if all calls before them are full.

        Orders with pieces in calls are left alone.
        """
        full_call = self._durations.full_call
        round_pieces = self._round_pieces(now)
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        pieces_ahead = 0
        for order, pieces in orders:
            own_call = self._durations.of_call(len(pieces))
            is_partly_called = len(pieces) < len(order.pending_segments)
            if (
                not is_partly_called
                and now + full_call * (pieces_ahead // round_pieces) + own_call > order.deadline
            ):
                for piece in list(pieces):
                    self._finish_piece(piece, PieceFailure.LATE, delivered)
                pieces.clear()
            pieces_ahead += len(pieces)
        return _deliveries(delivered)

    def _round_pieces(self, now: timedelta) -> int:
        """Return the number of pieces that one full call at each usable upstream produces."""
        assert self._spec is not None
        return self._spec.batch * max(1, len(self._usable_upstreams(now)))

    def _refuse_late_backlog(
        self, orders: Sequence[WaitingOrder], late: Container[OrderId], now: timedelta
    ) -> list[BatchEffect]:
        """Refuse late orders beyond the work that all usable upstreams do in ``late_backlog``.

        A longer backlog of late orders outlasts its cause: their inputs occupy space that orders in
        time need, and expire, so that earlier stages run again. Orders with pieces in calls are
        left alone. Callers are told to come back one after the other, when the work before theirs
        is done.
        """
        full_call = self._durations.full_call
        time_per_piece = full_call / self._round_pieces(now)
        allowed = self._settings.late_backlog / time_per_piece
        delivered: list[BatchEffect] = []
        late_pieces = pieces_ahead = 0
        for order, pieces in orders:
            pieces_ahead += len(pieces)
            if order.id not in late:
                continue
            is_partly_called = len(pieces) < len(order.pending_segments)
            late_pieces += len(pieces)
            if is_partly_called or late_pieces <= allowed or not pieces:
                continue
            late_pieces -= len(pieces)
            failures: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
            for piece in list(pieces):
                self._finish_piece(piece, PieceFailure.LATE, failures)
            pieces.clear()
            retry_after = pieces_ahead * time_per_piece
            delivered.append(Deliver(order.id, tuple(failures[order.id]), retry_after))
        return delivered

    def _fail_barred_orders(self, now: timedelta) -> list[BatchEffect]:
        """Fail the waiting orders that no upstream will take in time, because all are barred.

        Pieces in calls are left alone. Orders wait for the end of a pause if they can then still
        meet their deadline: their requests have stage results already.
        """
        barred = self._barred_failure(now)
        if barred is None:
            return []
        failure, retry_after = barred
        delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]] = {}
        for order, pieces in self._waiting.groups():
            own_call = self._durations.of_call(len(pieces))
            if retry_after is not None and now + retry_after + own_call <= order.deadline:
                continue
            for piece in pieces:
                if piece.is_pending and piece.active_calls == 0:
                    self._finish_piece(piece, failure, delivered)
        return [Deliver(order, tuple(results), retry_after) for order, results in delivered.items()]

    def _barred_failure(self, now: timedelta) -> tuple[PieceFailure, timedelta | None] | None:
        """Return the failure of pieces if all upstreams are barred, None if one is not.

        With the failure comes the time until the first pause ends, None if none will end.
        """
        entries = [upstream.entry for upstream in self._upstreams.values()]
        if not entries or self._balancer.standing.open_upstreams(entries, now):
            return None
        if all(map(self._balancer.standing.is_evacuated, entries)):
            return PieceFailure.ALL_EVACUATED, None
        pause_end = self._balancer.standing.next_return(entries, now)
        if pause_end is None:
            return PieceFailure.ALL_LEAVING, None
        return PieceFailure.ALL_PAUSED, pause_end - now

    def _pause_left(self, now: timedelta) -> timedelta:
        entries = [upstream.entry for upstream in self._upstreams.values()]
        pause_end = self._balancer.standing.next_return(entries, now)
        return pause_end - now if pause_end is not None else _ZERO

    # Selection of upstreams and pieces

    def _free_upstreams(self, now: timedelta) -> list[StageUpstream]:
        """Return the free upstreams, fastest first.

        Slow and silent ones are included only while the others cannot work off the queue.
        """
        assert self._spec is not None
        usable = self._usable_upstreams(now)
        fast = [
            u
            for u in usable
            if self._pace(u, now) < self._settings.slow_pace
            and not self._balancer.may_be_silent(u.entry.id, now)
        ]
        free = [u for u in fast if self._is_free(u, now)]
        if not fast or len(self._waiting) > 2 * self._spec.batch * len(fast):
            free += [u for u in usable if u not in fast and self._is_free(u, now)]
        free.sort(key=lambda u: (round(self._pace(u, now), 1), u.entry.id))
        return free

    def _usable_upstreams(self, now: timedelta) -> list[StageUpstream]:
        """Return the upstreams that are not suspected of failure, or all if most are.

        Barred upstreams are left out, whatever the state of the others is.
        """
        entries = [upstream.entry for upstream in self._upstreams.values()]
        preferred = self._balancer.standing.preferred_upstreams(entries, now)
        candidates = [self._upstreams[entry.id] for entry in preferred]
        usable = [u for u in candidates if not self._is_suspected(u, now)]
        return usable if len(usable) * 2 >= len(candidates) else candidates

    def _take_pieces(
        self,
        upstream: StageUpstream,
        orders: list[WaitingOrder],
        bound: set[OrderId],
        now: timedelta,
    ) -> tuple[Piece, ...]:
        """Remove the pieces of the next call to an upstream from the queue and return them."""
        assert self._spec is not None
        free_bytes = self._spec.result_space - upstream.occupied(now)
        allowed = [
            (order, pieces)
            for order, pieces in orders
            if pieces and not (order.id in bound and order.zone != upstream.entry.zone)
        ]
        min_fill = self._settings.min_fill
        call_pieces: list[Piece] = []
        for index, count in fill_call(allowed, self._spec.batch, free_bytes, min_fill):
            pieces = allowed[index][1]
            call_pieces += pieces[:count]
            del pieces[:count]
        self._waiting.remove_all(call_pieces)
        return tuple(call_pieces)

    def _by_urgency(self, now: timedelta) -> tuple[list[WaitingOrder], set[OrderId]]:
        """Return the waiting orders, most urgent first, and those that will miss their targets."""
        waiting_orders = self._waiting.groups()
        late = self._late_orders(waiting_orders, now)
        waiting_orders.sort(
            key=lambda e: (effective_due(e[0], late, self._settings), e[0].priority, e[0].id)
        )
        return waiting_orders, late

    def _late_orders(self, waiting: Sequence[WaitingOrder], now: timedelta) -> set[OrderId]:
        """Return the waiting orders that will miss their targets."""
        assert self._spec is not None
        spec, settings = self._spec, self._settings
        usable = self._usable_upstreams(now)
        full_call = self._durations.full_call
        capacity = Capacity(
            now,
            min((self._free_at(upstream, now) for upstream in usable), default=now),
            spec.batch * max(1, len(usable)) * settings.target_fill,
            full_call * settings.target_slowdown,
        )
        orders = (
            (order, len(pieces), self._durations.of_call(len(pieces))) for order, pieces in waiting
        )
        return choose_late_orders(orders, capacity, settings.priority_weight)

    def _zone_bound_orders(self, orders: list[WaitingOrder], now: timedelta) -> set[OrderId]:
        """Return the orders that wait for an upstream in their zone."""
        assert self._spec is not None
        free_at = [(u.entry.zone, self._free_at(u, now)) for u in self._usable_upstreams(now)]
        return bind_to_zones(orders, free_at, self._spec, self._settings)

    def _free_at(self, upstream: StageUpstream, now: timedelta) -> timedelta:
        """Return when an upstream is expected to take its next call."""
        call = self._calls.get(upstream.current_call) if upstream.current_call is not None else None
        if call is None:
            return max(now, upstream.paused_until)
        slowdown = self._balancer.paces.stated_factor(upstream.entry.id, now)
        return max(now, call.started + call.expected * slowdown)

    def _start(
        self, upstream: StageUpstream, pieces: tuple[Piece, ...], now: timedelta
    ) -> StartCall:
        assert self._spec is not None
        settings = self._settings
        expected = self._durations.of_call(len(pieces))
        number = next(self._call_numbers)
        for piece in pieces:
            piece.calls += 1
            piece.attempts += 1
            piece.active_calls += 1
        reserved_bytes = sum(piece.order.result_size for piece in pieces)
        entry = upstream.entry
        conditions = StartConditions(
            late_pieces=sum(now + expected > piece.order.due for piece in pieces),
            longest_wait=max(now - piece.order.queued_at for piece in pieces),
            batch=self._spec.batch,
            free_bytes=self._spec.result_space - upstream.occupied(now),
        )
        upstream.current_call = number
        upstream.paused_until = _ZERO
        self._balancer.record_start(entry.id, _NO_TOKENS, now)
        self._calls[number] = Call(
            number,
            entry.id,
            entry.address,
            pieces,
            now,
            expected,
            reserved_bytes,
            straggles_at=now + expected * settings.straggler_ratio + settings.straggler_slack,
        )
        timeout = expected * settings.timeout_ratio + self._balancer.settings.silence.bound
        return StartCall(
            number, entry.incarnation, entry.address, pieces, now, expected, timeout, conditions
        )

    def _is_suspected(self, upstream: StageUpstream, now: timedelta) -> bool:
        return self._balancer.is_suspected(upstream.entry.id, now)

    def _pace(self, upstream: StageUpstream, now: timedelta) -> float:
        return self._balancer.pace(upstream.entry.id, now)

    def _is_free(self, upstream: StageUpstream, now: timedelta) -> bool:
        assert self._spec is not None
        if upstream.current_call is not None or now < upstream.paused_until:
            return False
        free_bytes = self._spec.result_space - upstream.occupied(now)
        if upstream.is_freeing_results and free_bytes < self._next_call_bytes():
            # A fuller call can start as soon as these results are freed.
            return False
        return self._waiting.smallest_result <= free_bytes

    def _next_call_bytes(self) -> int:
        """Return the bytes that the results of a call with average pieces will occupy."""
        assert self._spec is not None
        return (
            self._waiting.result_bytes
            * min(len(self._waiting), self._spec.batch)
            // len(self._waiting)
        )

    # Completion of calls and pieces

    def _remove_call(self, call_id: int) -> Call | None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._balancer.record_end(call.upstream)
            upstream = self._upstreams.get(call.upstream)
            if upstream is not None and upstream.current_call == call_id:
                upstream.current_call = None
        return call

    def _add_kept_result(
        self, upstream: StageUpstream | None, handle: str, size: int, now: timedelta
    ) -> None:
        if upstream is not None and self._spec is not None:
            upstream.kept.add(handle, size, now + self._spec.result_lifetime)

    def _record_lack_of_space(
        self,
        upstream: StageUpstream,
        call: Call,
        results: Sequence[str | PieceFailure],
        now: timedelta,
    ) -> None:
        """Record the space that results of other owners occupy, if a call lacked space."""
        if self._spec is None or not indicates_full_upstream(call, results):
            return
        granted = sum(
            piece.order.result_size
            for piece, result in zip(call.pieces, results, strict=True)
            if isinstance(result, str)
        )
        until = now + self._settings.other_owners_period
        upstream.record_other_owners(self._spec.result_space, granted, until)

    def _requeue(
        self, piece: Piece, failure: PieceFailure, upstream: StageUpstream | None, now: timedelta
    ) -> bool:
        """Queue a failed piece again if another call may succeed.

        Returns whether the piece is still pending: queued again, or in another call.
        """
        if piece.active_calls > 0:
            return True
        if failure is PieceFailure.NO_ROOM:
            if upstream is not None and self._spec is not None:
                upstream.paused_until = now + self._settings.no_room_delay
            piece.attempts -= 1
        elif failure is not PieceFailure.ERROR:
            return False
        if piece.attempts >= self._settings.max_attempts:
            return False
        self._add_waiting(piece)
        return True

    def _finish_piece(
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

    def _fail_waiting_pieces(
        self, order: Order, delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]]
    ) -> None:
        """Fail the waiting pieces of an order because an input has vanished.

        All pieces of an order read the same inputs.
        """
        for piece in [p for p in self._waiting.of_order(order.id) if p.is_pending]:
            self._finish_piece(piece, PieceFailure.INPUT_GONE, delivered)


def _deliveries(
    delivered: dict[OrderId, list[tuple[int, str | PieceFailure]]],
) -> list[BatchEffect]:
    return [Deliver(order, tuple(results)) for order, results in delivered.items()]
