"""Orders of an executor until their outcomes are recorded, with an index by state."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.ids import Epoch, RequestId
from chervilrack._internal.membership.state import Process
from chervilrack._internal.orders.state import Order, OrderResult


@dataclass(frozen=True, slots=True)
class Waiter:
    """Request that waits for the result of an order.

    ``forwarder`` is the process that forwarded the order with ``SubmitOrder`` number ``number``.
    It is None for a request that a caller submitted at this node.
    """

    request: RequestId
    deadline: timedelta
    forwarder: Process | None = None
    number: int = 0


class PendingState(Enum):
    """Progress of a pending order.

    ``QUEUED`` orders wait for their ticket, ``WRITING`` orders for the response to its write.
    ``READING`` orders wait for a read that shows what their partition holds. ``RUNNING`` orders
    were given to an upstream, and ``FINISHED`` orders wait until their outcome is recorded.
    """

    QUEUED = "queued"
    WRITING = "writing"
    READING = "reading"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True)
class PendingOrder:
    """Order at its executor until its outcome is in the platform's store.

    ``record_revision`` is the revision of the order's own record in the platform's store, 0 while
    none is known.
    ``replaceable_revision`` is the revision of the record that the order's ticket may replace,
    0 for none. ``in_group`` tells whether the transaction in flight writes the order's record.
    ``ticket_in_memory`` tells whether the order runs under an outage grant and its ticket is not
    in the platform's store. ``executed`` is false if no byte of the order was written to an
    upstream.
    """

    order: Order
    attempt: str
    epoch: Epoch
    queued_at: timedelta
    partition: int
    state: PendingState = PendingState.QUEUED
    waiters: list[Waiter] = field(default_factory=list)
    replaceable_revision: int = 0
    record_revision: int = 0
    dispatched: bool = False
    in_group: bool = False
    ticket_in_memory: bool = False
    result: OrderResult | None = None
    executed: bool = True

    @property
    def deadline(self) -> timedelta:
        """Latest deadline of the requests that wait for the result."""
        return max((waiter.deadline for waiter in self.waiters), default=timedelta(0))


class PendingOrders:
    """Pending orders by record key.

    The index by state keeps the cost of an event independent of the number of running orders.
    """

    def __init__(self) -> None:
        self._orders: dict[str, PendingOrder] = {}
        self._by_state: dict[PendingState, dict[str, PendingOrder]] = {
            state: {} for state in PendingState
        }
        self._tickets_in_memory: dict[str, PendingOrder] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def __contains__(self, key: str) -> bool:
        return key in self._orders

    def __iter__(self) -> Iterator[tuple[str, PendingOrder]]:
        return iter(list(self._orders.items()))

    @property
    def tickets_in_memory(self) -> list[PendingOrder]:
        """Orders that ran in an outage and whose tickets are not in the platform's store yet."""
        return list(self._tickets_in_memory.values())

    def get(self, key: str) -> PendingOrder | None:
        """Return the pending order with a record key, or None."""
        return self._orders.get(key)

    def add(self, key: str, pending: PendingOrder) -> None:
        """Add an order under its record key."""
        self._orders[key] = self._by_state[pending.state][key] = pending

    def remove(self, key: str) -> None:
        """Remove the order with a record key."""
        pending = self._orders.pop(key)
        del self._by_state[pending.state][key]
        self._tickets_in_memory.pop(key, None)

    def set_state(self, key: str, state: PendingState) -> None:
        """Change the state of an order."""
        pending = self._orders[key]
        del self._by_state[pending.state][key]
        pending.state = state
        self._by_state[state][key] = pending

    def set_ticket_in_memory(self, key: str, ticket_in_memory: bool) -> None:
        """Record whether the ticket of an order exists only in memory."""
        pending = self._orders[key]
        pending.ticket_in_memory = ticket_in_memory
        if ticket_in_memory:
            self._tickets_in_memory[key] = pending
        else:
            self._tickets_in_memory.pop(key, None)

    def in_state(self, *states: PendingState) -> list[tuple[str, PendingOrder]]:
        """Return the orders in any of ``states`` with their record keys."""
        return [item for state in states for item in self._by_state[state].items()]
