"""Chooses the waiting pieces that fill one call of a stage upstream."""

from collections.abc import Sequence

from chervilrack._internal.batching.state import Order, Piece

WaitingOrder = tuple[Order, list[Piece]]


def fill_call(
    orders: Sequence[WaitingOrder], batch: int, free_bytes: int, min_fill: float
) -> list[tuple[int, int]]:
    """Choose pieces for a call of at most ``batch`` pieces.

    ``orders`` are sorted by urgency, and their results must fit into ``free_bytes``. Orders are not
    split where possible, because the first results of a split order occupy space while its other
    pieces wait for another call. A call filled to less than the share ``min_fill`` takes a part of
    one more order. Returns pairs of the index of an order and the number of its pieces.
    """
    chosen: dict[int, int] = {}
    free_places = batch
    for index, (order, pieces) in enumerate(orders):
        fitting = _fitting_pieces(order, free_places, free_bytes)
        is_split = len(pieces) < len(order.pending_segments)
        if fitting <= 0 or (chosen and not is_split and fitting < len(pieces)):
            continue
        chosen[index] = min(fitting, len(pieces))
        free_places -= chosen[index]
        free_bytes -= chosen[index] * order.result_size
    if chosen and batch - free_places < min_fill * batch:
        _add_part_of_order(orders, chosen, free_places, free_bytes)
    return list(chosen.items())


def _add_part_of_order(
    orders: Sequence[WaitingOrder], chosen: dict[int, int], free_places: int, free_bytes: int
) -> None:
    """Add to ``chosen`` as many pieces as fit of the first order that is not chosen."""
    for index, (order, _) in enumerate(orders):
        fitting = _fitting_pieces(order, free_places, free_bytes)
        if index not in chosen and fitting > 0:
            chosen[index] = fitting
            return


def _fitting_pieces(order: Order, free_places: int, free_bytes: int) -> int:
    return (
        free_places if order.result_size <= 0 else min(free_places, free_bytes // order.result_size)
    )
