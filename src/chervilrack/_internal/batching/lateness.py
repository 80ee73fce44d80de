"""Chooses the orders that miss their targets under overload, and the due times of all orders."""

import heapq
from collections.abc import Container, Iterable
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.batching.settings import BatchingSettings
from chervilrack._internal.batching.state import Order, OrderId


@dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of the usable upstreams of a service.

    The next call starts at ``next_start``. A round is one call at each upstream: all upstreams
    together produce ``round_pieces`` in each ``round_time``.
    """

    now: timedelta
    next_start: timedelta
    round_pieces: float
    round_time: timedelta


def choose_late_orders(
    waiting: Iterable[tuple[Order, int, timedelta]], capacity: Capacity, priority_weight: float
) -> set[OrderId]:
    """Return the orders that miss their targets so that as many others as possible meet theirs.

    ``waiting`` holds each order with the number of its waiting pieces and the time of its own
    call. The orders are chosen by the Moore-Hodgson algorithm: orders are planned by due time, and
    when one of them would be late, the largest planned so far is taken out. The size of an order
    grows by the factor ``priority_weight`` for each step of lower priority.
    """
    late: set[OrderId] = set()
    planned: list[tuple[float, OrderId, int]] = []
    planned_pieces = 0
    for order, pieces, own_call in sorted(waiting, key=lambda entry: (entry[0].due, entry[0].id)):
        if capacity.now + own_call > order.due:
            late.add(order.id)
            continue
        planned_pieces += pieces
        size = pieces * priority_weight**order.priority
        heapq.heappush(planned, (-size, order.id, pieces))
        rounds = max(0.0, planned_pieces / capacity.round_pieces - 1)
        if capacity.next_start + own_call + rounds * capacity.round_time > order.due:
            _, largest_id, largest_pieces = heapq.heappop(planned)
            planned_pieces -= largest_pieces
            late.add(largest_id)
    return late


def effective_due(order: Order, late: Container[OrderId], settings: BatchingSettings) -> timedelta:
    """Return the time by which an order should be done.

    That is the order's target or, for an order in ``late``, a time shortly before its deadline. An
    earlier time would let late orders pass orders that can still meet their targets, which then
    become late, too. Inputs that expire before that time are produced again.
    """
    if order.id not in late:
        return order.due
    return max(order.due, order.due + (order.deadline - order.due) * settings.late_due_share)
