"""Chooses the waiting pieces that fill one call of a stage upstream."""

from collections.abc import Sequence

from chervilrack._internal.batching.state import Order, Piece

WaitingOrder = tuple[Order, list[Piece]]


def fill_call(
    orders: Sequence[WaitingOrder], batch: int, room: int, least_fill: float
) -> list[tuple[int, int]]:
    """Choose pieces of ``orders``, most urgent first, for a call of at most ``batch`` pieces.

    ``room`` is the space for their results in bytes. Orders go whole where they can: the rest of
    a split order waits for another call while its first results take up space. A call that is
    filled to less than ``least_fill`` takes a part of one more order. Returns pairs of the index
    of an order and the number of its pieces.
    """
    chosen: dict[int, int] = {}
    space = batch
    for index, (order, pieces) in enumerate(orders):
        fitting = _fitting(order, space, room)
        begun = len(pieces) < len(order.pending_segments)
        if fitting <= 0 or (chosen and not begun and fitting < len(pieces)):
            continue
        chosen[index] = min(fitting, len(pieces))
        space -= chosen[index]
        room -= chosen[index] * order.result_size
    if chosen and batch - space < least_fill * batch:
        _split_one(orders, chosen, space, room)
    return list(chosen.items())


def _split_one(
    orders: Sequence[WaitingOrder], chosen: dict[int, int], space: int, room: int
) -> None:
    for index, (order, _) in enumerate(orders):
        fitting = _fitting(order, space, room)
        if index not in chosen and fitting > 0:
            chosen[index] = fitting
            return


def _fitting(order: Order, space: int, room: int) -> int:
    return space if order.result_size <= 0 else min(space, room // order.result_size)
