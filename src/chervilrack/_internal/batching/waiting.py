"""Pieces that wait for a call, by order, with the figures that a queue asks for all the time."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator

from chervilrack._internal.batching.state import Order, OrderId, Piece


class WaitingPieces:
    """Pieces in the order of their orders' arrival; all changes take constant time."""

    def __init__(self) -> None:
        self._by_order: dict[OrderId, dict[int, Piece]] = {}
        self._orders: dict[OrderId, Order] = {}
        self._sizes: Counter[int] = Counter()
        self._bytes = 0

    @property
    def result_bytes(self) -> int:
        """Bytes that the results of all pieces will take."""
        return self._bytes

    @property
    def smallest_result(self) -> int:
        """Bytes of the smallest result. Raises ValueError if nothing waits."""
        return min(self._sizes)

    @property
    def orders(self) -> Collection[Order]:
        """Orders of which pieces wait."""
        return self._orders.values()

    def __len__(self) -> int:
        return self._sizes.total()

    def __bool__(self) -> bool:
        return bool(self._by_order)

    def __contains__(self, piece: Piece) -> bool:
        return self._by_order.get(piece.order.id, {}).get(piece.segment) is piece

    def __iter__(self) -> Iterator[Piece]:
        for pieces in self._by_order.values():
            yield from pieces.values()

    def of_order(self, order: OrderId) -> list[Piece]:
        """Return the pieces of an order."""
        return list(self._by_order.get(order, {}).values())

    def groups(self) -> list[tuple[Order, list[Piece]]]:
        """Return each order with its pieces, sorted by segment."""
        return [
            (order, [pieces[segment] for segment in sorted(pieces)])
            for order, pieces in zip(self._orders.values(), self._by_order.values(), strict=True)
        ]

    def add(self, piece: Piece) -> None:
        """Add a piece; one that waits already stays where it is."""
        pieces = self._by_order.setdefault(piece.order.id, {})
        self._orders.setdefault(piece.order.id, piece.order)
        if piece.segment not in pieces:
            pieces[piece.segment] = piece
            self._sizes[piece.order.result_size] += 1
            self._bytes += piece.order.result_size

    def remove(self, piece: Piece) -> None:
        """Remove a piece, if it waits."""
        if piece not in self:
            return
        pieces = self._by_order[piece.order.id]
        del pieces[piece.segment]
        if not pieces:
            del self._by_order[piece.order.id]
            del self._orders[piece.order.id]
        size = piece.order.result_size
        self._bytes -= size
        self._sizes[size] -= 1
        if not self._sizes[size]:
            del self._sizes[size]

    def remove_all(self, pieces: Iterable[Piece]) -> None:
        """Remove pieces, if they wait."""
        for piece in pieces:
            self.remove(piece)

    def clear(self) -> None:
        """Remove everything."""
        self._by_order.clear()
        self._orders.clear()
        self._sizes.clear()
        self._bytes = 0
