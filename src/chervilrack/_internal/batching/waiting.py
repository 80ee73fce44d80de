"""Pieces that wait for a call, grouped by order, with totals that the queue reads often."""

import heapq
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta

from chervilrack._internal.batching.state import Order, OrderId, Piece


class WaitingPieces:
    """Waiting pieces, sorted by the arrival of their orders; each change takes constant time."""

    def __init__(self) -> None:
        self._by_order: dict[OrderId, dict[int, Piece]] = {}
        self._orders: dict[OrderId, Order] = {}
        self._size_counts: Counter[int] = Counter()
        self._result_bytes = 0

    @property
    def result_bytes(self) -> int:
        """Bytes that the results of all waiting pieces will occupy."""
        return self._result_bytes

    @property
    def smallest_result(self) -> int:
        """Bytes of the smallest result. Raises ValueError if no piece waits."""
        return min(self._size_counts)

    @property
    def orders(self) -> Collection[Order]:
        """Orders with waiting pieces."""
        return self._orders.values()

    def __len__(self) -> int:
        return self._size_counts.total()

    def __bool__(self) -> bool:
        return bool(self._by_order)

    def __contains__(self, piece: Piece) -> bool:
        return self._by_order.get(piece.order.id, {}).get(piece.segment) is piece

    def __iter__(self) -> Iterator[Piece]:
        for pieces in self._by_order.values():
            yield from pieces.values()

    def has_order(self, order: OrderId) -> bool:
        """Whether pieces of an order wait."""
        return order in self._orders

    def of_order(self, order: OrderId) -> list[Piece]:
        """Return the waiting pieces of an order."""
        return list(self._by_order.get(order, {}).values())

    def groups(self) -> list[tuple[Order, list[Piece]]]:
        """Return each order with its waiting pieces, sorted by segment."""
        return [
            (order, [pieces[segment] for segment in sorted(pieces)])
            for order, pieces in zip(self._orders.values(), self._by_order.values(), strict=True)
        ]

    def add(self, piece: Piece) -> None:
        """Add a piece, unless its segment waits already."""
        pieces = self._by_order.setdefault(piece.order.id, {})
        self._orders.setdefault(piece.order.id, piece.order)
        if piece.segment not in pieces:
            pieces[piece.segment] = piece
            self._size_counts[piece.order.result_size] += 1
            self._result_bytes += piece.order.result_size

    def remove(self, piece: Piece) -> None:
        """Remove a piece if it waits."""
        if piece not in self:
            return
        pieces = self._by_order[piece.order.id]
        del pieces[piece.segment]
        if not pieces:
            del self._by_order[piece.order.id]
            del self._orders[piece.order.id]
        size = piece.order.result_size
        self._result_bytes -= size
        self._size_counts[size] -= 1
        if not self._size_counts[size]:
            del self._size_counts[size]

    def remove_all(self, pieces: Iterable[Piece]) -> None:
        """Remove those of the pieces that wait."""
        for piece in pieces:
            self.remove(piece)

    def clear(self) -> None:
        """Remove all pieces."""
        self._by_order.clear()
        self._orders.clear()
        self._size_counts.clear()
        self._result_bytes = 0


class OrderTimes:
    """Times at which the queue has to look at waiting orders, earliest first."""

    def __init__(self) -> None:
        self._times: list[tuple[timedelta, OrderId]] = []

    def add(self, at: timedelta, order: OrderId) -> None:
        """Add a time for an order."""
        heapq.heappush(self._times, (at, order))

    def next_after(self, now: timedelta, waiting: WaitingPieces) -> timedelta | None:
        """Return the earliest time after ``now`` of a waiting order, and drop the times before."""
        while self._times:
            at, order = self._times[0]
            if at > now and waiting.has_order(order):
                return at
            heapq.heappop(self._times)
        return None
