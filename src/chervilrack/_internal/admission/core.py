"""Decides which requests begin their stages, which wait, and which are refused.

The stages of a pipeline have queues of their own. A request that passes the first of them may turn
out to be late at the last one, after work was spent on it, and while its results occupy space that
others need. Under overload, requests therefore wait before their first stage, and are admitted as
fast as the busiest of the services that they need works them off.
"""

from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from chervilrack._internal.admission.plan import Plan
from chervilrack._internal.admission.settings import AdmissionSettings
from chervilrack._internal.admission.state import (
    AdmissionEffect,
    Admit,
    Refuse,
    WaitingOrder,
    Work,
)
from chervilrack._internal.batching.state import Order, OrderId
from chervilrack._internal.common.ids import NodeId, ServiceId

_ZERO = timedelta(0)


class Admission:
    """Admission of all nodes' orders to first stages, at the owner of their queues.

    The state is one number for each service, the work that was admitted and should not be done yet,
    and the orders that wait. A new owner starts without it, and admits the work of ``depth`` too
    much once. Methods take the monotonic time ``now``; not thread-safe.
    """

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()
        # Pieces that all upstreams of a service produce in a second.
        self._rates: dict[ServiceId, float] = {}
        # Seconds of admitted work that each service should have left at ``_updated_at``.
        self._admitted: dict[ServiceId, float] = {}
        self._updated_at = _ZERO
        self._looked_at = _ZERO
        self._waiting: dict[OrderId, WaitingOrder] = {}
        # Services whose room waiting orders need.
        self._contended: frozenset[ServiceId] = frozenset()
        # Time at which room is expected for the next order to be refused.
        self._room_at = _ZERO

    @property
    def waiting(self) -> int:
        """Number of orders that wait."""
        return len(self._waiting)

    def configure(self, rates: Mapping[ServiceId, float]) -> None:
        """Set the pieces per second that the upstreams of each service produce in full calls.

        Services without a rate do not limit the admission. Orders that wait for room at a service
        that has no rate any more are admitted by the next ``tick``.
        """
        self._rates = {service: rate for service, rate in rates.items() if rate > 0}

    def submit(
        self,
        order: Order,
        organisation: str,
        work: Iterable[Work],
        now: timedelta,
        own_time: timedelta = _ZERO,
    ) -> list[AdmissionEffect]:
        """Admit an order at once if there is room for it, or let it wait.

        ``own_time`` is the time from its admission to its results if no work is ahead of it. Pieces
        of an order that waits already are added to it.
        """
        self._elapse(now)
        known = self._waiting.get(order.id)
        if known is not None:
            known.order.pending_segments |= order.pending_segments
            return []
        entry = WaitingOrder(order, organisation, self._seconds_of(work), own_time)
        if not self._waiting:
            self._contended = frozenset()
        if self._has_room(entry) and self._contended.isdisjoint(entry.work):
            return [self._admit(entry)]
        if not self._waiting:
            self._looked_at = now
        self._waiting[order.id] = entry
        self._contended |= self._full(entry)
        return []

    def drop(self, order: OrderId) -> None:
        """Forget an order whose request has ended."""
        self._waiting.pop(order, None)

    def drop_node(self, node: NodeId) -> None:
        """Forget the orders of a node that has left the fleet."""
        for order in [order for order in self._waiting if order[0] == node]:
            del self._waiting[order]

    def take(self, service: ServiceId) -> list[Order]:
        """Remove and return the waiting orders of a service that another node owns now."""
        orders = [e.order for e in self._waiting.values() if e.order.service == service]
        for order in orders:
            del self._waiting[order.id]
        return orders

    def next_time(self, now: timedelta) -> timedelta | None:
        """Return when ``tick`` has something to do next, if any."""
        if not self._waiting:
            return None
        return self._looked_at + self._interval

    @property
    def _interval(self) -> timedelta:
        """Time between two looks at the waiting orders, longer if there are many of them."""
        settings = self._settings
        return min(
            settings.depth, max(settings.interval, self.waiting * settings.interval_per_order)
        )

    def tick(self, now: timedelta) -> Sequence[AdmissionEffect]:
        """Admit the orders for which there is room, and refuse those that come too late.

        Orders that can meet their targets go before those that miss them anyway, which go in the
        order of their deadlines. An order is refused when its deadline cannot be met even if no
        further order comes.
        """
        if not self._waiting or now < self._looked_at + self._interval:
            return []
        self._looked_at = now
        self._elapse(now)
        effects: list[AdmissionEffect] = [*self._admit_unlimited()]
        punctual = Plan(
            self._admitted, lambda order: order.due, now, self._settings, may_go_first=True
        )
        punctual.add_all(self._waiting.values())
        fastest = 1.0 / self._settings.fill
        late = Plan(punctual.busy, lambda order: order.deadline, now, self._settings, fastest)
        late.add_all(punctual.missed)
        contended: set[ServiceId] = set()
        for entry in [*punctual.planned, *late.planned]:
            if self._has_room(entry) and contended.isdisjoint(entry.work):
                del self._waiting[entry.order.id]
                effects.append(self._admit(entry))
            else:
                # Less urgent orders must not take the room that this one waits for.
                contended |= self._full(entry)
        self._contended = frozenset(contended)
        return [*effects, *self._refuse(late, now)]

    def _admit_unlimited(self) -> list[Admit]:
        """Admit the orders of services that have lost their rates, which their queues judge."""
        entries = [e for e in self._waiting.values() if not self._rates.keys() >= e.work.keys()]
        for entry in entries:
            del self._waiting[entry.order.id]
        return [Admit(entry.order) for entry in entries]

    def _refuse(self, plan: Plan, now: timedelta) -> list[AdmissionEffect]:
        """Refuse the orders that miss their deadlines.

        Each is told to come back when the work before it is done at the services that it needs, and
        that of the orders refused before, so that their callers come back one after the other.
        """
        effects: list[AdmissionEffect] = []
        for entry in sorted(plan.missed, key=lambda e: (e.order.deadline, e.order.id)):
            work_ahead = max((plan.busy[service] for service in entry.work), default=0.0)
            clear_at = now + timedelta(seconds=work_ahead)
            self._room_at = max(self._room_at, clear_at) + timedelta(seconds=entry.size)
            del self._waiting[entry.order.id]
            effects.append(Refuse(entry.order, self._room_at - now))
        return effects

    def _seconds_of(self, work: Iterable[Work]) -> dict[ServiceId, float]:
        seconds: dict[ServiceId, float] = {}
        for item in work:
            rate = self._rates.get(item.service)
            if rate is not None:
                share = item.pieces / (rate * self._settings.fill)
                seconds[item.service] = seconds.get(item.service, 0.0) + share
        return seconds

    def _has_room(self, entry: WaitingOrder) -> bool:
        return not self._full(entry)

    def _full(self, entry: WaitingOrder) -> set[ServiceId]:
        """Return the services without room of those that an order needs."""
        depth = self._settings.depth.total_seconds()
        return {service for service in entry.work if self._admitted.get(service, 0.0) >= depth}

    def _admit(self, entry: WaitingOrder) -> Admit:
        for service, seconds in entry.work.items():
            self._admitted[service] = self._admitted.get(service, 0.0) + seconds
        return Admit(entry.order)

    def _elapse(self, now: timedelta) -> None:
        """Count the work that the services have done since the last update as done."""
        elapsed = max(0.0, (now - self._updated_at).total_seconds())
        self._updated_at = max(now, self._updated_at)
        self._admitted = {
            service: seconds - elapsed
            for service, seconds in self._admitted.items()
            if seconds > elapsed
        }
