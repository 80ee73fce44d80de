"""Chooses the orders that wait for an upstream in their preferred zone."""

from collections.abc import Iterable, Sequence
from datetime import timedelta

from chervilrack._internal.batching.fill import WaitingOrder
from chervilrack._internal.batching.settings import BatchingSettings
from chervilrack._internal.batching.state import Order, OrderId
from chervilrack._internal.catalogue.state import BatchSpec


def prefers_zone(order: Order, settings: BatchingSettings) -> bool:
    """Whether an order moves enough bytes between zones to wait for its own zone."""
    return bool(order.zone) and order.move_bytes >= settings.min_move_bytes


def bind_to_zones(
    orders: Sequence[WaitingOrder],
    free_at: Iterable[tuple[str, timedelta]],
    spec: BatchSpec,
    settings: BatchingSettings,
) -> set[OrderId]:
    """Return the orders that wait for an upstream in their zone.

    ``orders`` are sorted by urgency. ``free_at`` holds the zone and the monotonic time of the next
    call of each usable upstream. An order waits if it then still meets its target, unless more
    urgent pieces fill the next call of each upstream in the zone.
    """
    first_free: dict[str, timedelta] = {}
    upstream_count: dict[str, int] = {}
    for zone, at in free_at:
        first_free[zone] = min(at, first_free.get(zone, at))
        upstream_count[zone] = upstream_count.get(zone, 0) + 1
    bound: set[OrderId] = set()
    pieces_ahead: dict[str, int] = {}
    for order, pieces in orders:
        if not prefers_zone(order, settings) or order.zone not in first_free:
            continue
        full = (
            pieces_ahead.get(order.zone, 0) + len(pieces) > spec.batch * upstream_count[order.zone]
        )
        own_call = spec.call_time + min(len(pieces), spec.batch) * spec.item_time
        in_time = first_free[order.zone] + own_call + settings.zone_margin <= order.due
        if not full and in_time:
            bound.add(order.id)
            pieces_ahead[order.zone] = pieces_ahead.get(order.zone, 0) + len(pieces)
    return bound
