"""Chooses the waiting orders that can meet their limits: their due times, or their deadlines."""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from chervilrack._internal.admission.settings import AdmissionSettings
from chervilrack._internal.admission.state import WaitingOrder
from chervilrack._internal.batching.state import Order, OrderId
from chervilrack._internal.common.ids import ServiceId

Limit = Callable[[Order], timedelta]


# Steps of priority that count; a configuration may state any number.
MAX_PRIORITY_STEPS = 20


class Plan:
    """Orders that meet their limits if they are admitted in this sequence.

    ``busy`` holds the seconds of work that each service has before the first of them. The services
    may turn out ``fastest`` times as fast as expected. With ``may_go_first``, an order counts as
    missed only if it would exceed its limit even if it went first.
    """

    def __init__(
        self,
        busy: Mapping[ServiceId, float],
        limit: Limit,
        now: timedelta,
        settings: AdmissionSettings,
        fastest: float = 1.0,
        *,
        may_go_first: bool = False,
    ) -> None:
        self._limit = limit
        self._now = now
        self._settings = settings
        self._fastest = fastest
        self._may_go_first = may_go_first
        self._busy: defaultdict[ServiceId, float] = defaultdict(float, busy)
        self._planned: dict[OrderId, WaitingOrder] = {}
        # Orders of each organisation that need a service, largest first. Those that were taken out
        # remain in the heaps of their other services until they come up there.
        self._heaps: defaultdict[ServiceId, dict[str, list[tuple[float, OrderId]]]]
        self._heaps = defaultdict(dict)
        # Total size and number of the planned orders of each organisation.
        self._size_of_organisation: defaultdict[str, float] = defaultdict(float)
        self._count_of_organisation: Counter[str] = Counter()
        self._size = 0.0
        self._missed: list[WaitingOrder] = []
        # Priority of the most urgent orders.
        self._priority = 0

    @property
    def busy(self) -> Mapping[ServiceId, float]:
        """Seconds of work of each service, with that of the planned orders."""
        return self._busy

    @property
    def planned(self) -> list[WaitingOrder]:
        """Orders that meet their limits, in the sequence of their admission.

        The earliest limit goes first. Orders of organisations that use less than an equal share are
        admitted as if their limits were earlier by ``small_share_lead``: under overload, orders
        wait until little time is left, and some exceed their limits in the end.
        """
        share, sizes = self._equal_share(), self._size_of_organisation

        def key(entry: WaitingOrder) -> timedelta:
            limit = self._limit(entry.order)
            is_small = sizes[entry.organisation] < share
            return limit - self._settings.small_share_lead if is_small else limit

        return sorted(self._planned.values(), key=key)

    @property
    def missed(self) -> list[WaitingOrder]:
        """Orders that miss their limits."""
        return self._missed

    def add_all(self, orders: Iterable[WaitingOrder]) -> None:
        """Plan as many orders as possible.

        This is the algorithm of Moore and Hodgson for several services: orders are planned by their
        limits, and when one of them would miss its own, the largest planned so far is taken out, of
        those that need the service for which it would be late.
        Orders of organisations that use less than an equal share are taken out last, so that an
        organisation with few requests does not pay for those of another.
        """
        in_sequence = sorted(orders, key=lambda e: (self._limit(e.order), e.order.id))
        self._priority = min((entry.order.priority for entry in in_sequence), default=0)
        for entry in in_sequence:
            left = self._limit(entry.order) - self._now - self._settings.first_stage_time
            if left < -self._settings.grace and not self._is_in_time_if_first(entry):
                self._missed.append(entry)
                continue
            self._add(entry)
            time = max(left, timedelta(0)) + self._settings.depth
            allowed = time.total_seconds() * self._fastest
            for service in entry.work:
                while entry.order.id in self._planned and self._busy[service] > allowed:
                    self._take_out_largest(service)

    def _is_in_time_if_first(self, entry: WaitingOrder) -> bool:
        """Whether an order meets its limit if it goes first, in plans in which it may.

        Without it, a kind whose target is hardly longer than its usual times would be missed on
        arrival, and wait for the end of the overload.
        """
        return self._may_go_first and self._now + entry.own_time <= self._limit(entry.order)

    def _add(self, entry: WaitingOrder) -> None:
        self._planned[entry.order.id] = entry
        for service, seconds in entry.work.items():
            self._busy[service] += seconds
        steps = min(entry.order.priority - self._priority, MAX_PRIORITY_STEPS)
        weighted_size = entry.size * self._settings.priority_weight**steps
        for service in entry.work:
            heap = self._heaps[service].setdefault(entry.organisation, [])
            heapq.heappush(heap, (-weighted_size, entry.order.id))
        self._count(entry, 1)

    def _count(self, entry: WaitingOrder, number: int) -> None:
        self._size_of_organisation[entry.organisation] += number * entry.size
        self._size += number * entry.size
        self._count_of_organisation[entry.organisation] += number
        if not self._count_of_organisation[entry.organisation]:
            del self._count_of_organisation[entry.organisation]

    def _take_out_largest(self, service: ServiceId) -> None:
        organisation = self._largest_claimant(service)
        _, order_id = self._heaps[service][organisation][0]
        entry = self._planned.pop(order_id)
        self._count(entry, -1)
        for needed, seconds in entry.work.items():
            self._busy[needed] -= seconds
        self._missed.append(entry)

    def _largest_claimant(self, service: ServiceId) -> str:
        """Return the organisation with the largest order, of those above an equal share."""
        heaps, share, sizes = self._heaps[service], self._equal_share(), self._size_of_organisation
        for name, heap in list(heaps.items()):
            while heap and heap[0][1] not in self._planned:
                heapq.heappop(heap)
            if not heap:
                del heaps[name]
        return min(heaps, key=lambda name: (sizes[name] < share, heaps[name][0]))

    def _equal_share(self) -> float:
        """Return the size of the planned orders of an organisation if all had the same."""
        return self._size / max(1, len(self._count_of_organisation))
