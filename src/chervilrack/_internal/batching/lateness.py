"""Ranks waiting orders, and chooses those that give way when not all can meet their targets."""

import heapq
from collections.abc import Container, Iterable
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.batching.settings import BatchingSettings
from chervilrack._internal.batching.state import Order, OrderId
from chervilrack._internal.catalogue.state import BatchSpec


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the usable upstreams of a service can do.

    The next call starts at ``next_start``; ``round_pieces`` are done in each ``round_time``.
    """

    now: timedelta
    next_start: timedelta
    round_pieces: float
    round_time: timedelta


def choose_late(
    waiting: Iterable[tuple[Order, int, timedelta]], capacity: Capacity, rank_weight: float
) -> set[OrderId]:
    """Return the orders that give way so that as many others as possible meet their targets.

    ``waiting`` holds each order with the number of its waiting pieces and the time of its own
    call. This is the rule of Moore and Hodgson: orders are planned by due time, and when one
    would be late, the largest planned so far gives way. A lower rank counts as larger.
    """
    late: set[OrderId] = set()
    planned: list[tuple[float, OrderId, int]] = []
    ahead = 0
    for order, pieces, own_time in sorted(waiting, key=lambda entry: (entry[0].due, entry[0].id)):
        if capacity.now + own_time > order.due:
            late.add(order.id)
            continue
        ahead += pieces
        size = pieces * rank_weight**order.priority
        heapq.heappush(planned, (-size, order.id, pieces))
        rounds = max(0.0, ahead / capacity.round_pieces - 1)
        if capacity.next_start + own_time + rounds * capacity.round_time > order.due:
            _, dropped, freed = heapq.heappop(planned)
            ahead -= freed
            late.add(dropped)
    return late


def urgency(
    order: Order, late: Container[OrderId], spec: BatchSpec, settings: BatchingSettings
) -> timedelta:
    """Return until when an order should be done: its target, or near its deadline if it is late."""
    if order.id not in late:
        return order.due
    last = order.due + (order.deadline - order.due) * settings.late_share
    if order.inputs:
        # Results that wait for longer are dropped by their makers.
        last = min(last, order.queued_at + spec.result_lifetime - settings.lifetime_margin)
    return max(order.due, last)
