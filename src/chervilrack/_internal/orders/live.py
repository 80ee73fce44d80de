"""Orders in the executor's memory, with an index by state."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.ids import Epoch, RequestId
from chervilrack._internal.membership.state import Process
from chervilrack._internal.orders.state import Order, OrderResult


@dataclass(frozen=True, slots=True)
class Waiter:
    """Who waits for an order's result: a request here, or one of another process."""

    request: RequestId
    deadline: timedelta
    forwarder: Process | None = None
    number: int = 0


class LiveState(Enum):
    """State of an order in the executor's memory."""

    QUEUED = "queued"
    WRITING = "writing"
    READING = "reading"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True)
class LiveOrder:
    """Order in progress at this executor.

    ``recorded`` is the platform revision of its own record, 0 while it is not known to exist.
    ``replaces`` is the revision of the record that its ticket may replace, 0 for none.
    """

    order: Order
    attempt: str
    epoch: Epoch
    queued_at: timedelta
    partition: int
    state: LiveState = LiveState.QUEUED
    waiters: list[Waiter] = field(default_factory=list)
    replaces: int = 0
    recorded: int = 0
    dispatched: bool = False
    in_group: bool = False
    in_memory: bool = False
    result: OrderResult | None = None
    executed: bool = True

    @property
    def deadline(self) -> timedelta:
        """Latest deadline of those who wait."""
        return max((waiter.deadline for waiter in self.waiters), default=timedelta(0))


class LiveOrders:
    """Orders in progress by record key.

    The index by state keeps the work for one event independent of the number of running orders.
    """

    def __init__(self) -> None:
        self._orders: dict[str, LiveOrder] = {}
        self._by_state: dict[LiveState, dict[str, LiveOrder]] = {item: {} for item in LiveState}
        self._in_memory: dict[str, LiveOrder] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def __contains__(self, key: str) -> bool:
        return key in self._orders

    def __iter__(self) -> Iterator[tuple[str, LiveOrder]]:
        return iter(list(self._orders.items()))

    @property
    def in_memory(self) -> list[LiveOrder]:
        """Orders that ran in an outage and whose tickets are not on the platform yet."""
        return list(self._in_memory.values())

    def get(self, key: str) -> LiveOrder | None:
        """Return the order in progress under a record key, or None."""
        return self._orders.get(key)

    def add(self, key: str, live: LiveOrder) -> None:
        """Add a new order."""
        self._orders[key] = self._by_state[live.state][key] = live

    def remove(self, key: str) -> None:
        """Remove an order."""
        live = self._orders.pop(key)
        del self._by_state[live.state][key]
        self._in_memory.pop(key, None)

    def move(self, key: str, state: LiveState) -> None:
        """Change the state of an order."""
        live = self._orders[key]
        del self._by_state[live.state][key]
        live.state = state
        self._by_state[state][key] = live

    def set_in_memory(self, key: str, in_memory: bool) -> None:
        """Note whether the order runs on a ticket in memory."""
        live = self._orders[key]
        live.in_memory = in_memory
        if in_memory:
            self._in_memory[key] = live
        else:
            self._in_memory.pop(key, None)

    def in_state(self, *states: LiveState) -> list[tuple[str, LiveOrder]]:
        """Return the orders in any of the given states."""
        return [item for state in states for item in self._by_state[state].items()]
