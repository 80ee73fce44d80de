"""Admission of the orders for first stages whose queues this node owns."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from chervilrack._internal.admission.core import Admission
from chervilrack._internal.admission.settings import MIN_UPSTREAMS, AdmissionSettings
from chervilrack._internal.admission.state import AdmissionEffect, Admit, Refuse, Work
from chervilrack._internal.batching.state import Order, OrderId
from chervilrack._internal.catalogue.state import BatchSpec
from chervilrack._internal.common.ids import NodeId, ServiceId, UpstreamId
from chervilrack._internal.serving.state import ServingState

# What the upstreams can do is read again after this time.
RATES_PERIOD = timedelta(milliseconds=200)
# Upstreams count with their full rate up to this pace, which single calls reach by chance.
USUAL_PACE = 1.3
_MILLISECOND = timedelta(milliseconds=1)


class StageAdmission:
    """Admits orders of all nodes; the node's lock guards it.

    ``admit`` is called with each order that may begin, ``refuse`` with each that cannot end in
    time and the time until room is expected.
    """

    def __init__(
        self,
        state: ServingState,
        admit: Callable[[Order], None],
        refuse: Callable[[Order, timedelta], None],
        settings: AdmissionSettings | None = None,
    ) -> None:
        self._state = state
        self._admit = admit
        self._refuse = refuse
        self._settings = settings or AdmissionSettings()
        self._admission = Admission(self._settings)
        self._rates: dict[ServiceId, float] = {}
        # How each of these services batches pieces.
        self._batching: dict[ServiceId, BatchSpec] = {}
        self._rates_read_at: timedelta | None = None
        self._contended_since: timedelta | None = None
        self._admitted = 0
        self._refused = 0

    def is_in_force(self, work: Sequence[Work], now: timedelta) -> bool:
        """Whether orders with this work are admitted.

        They are if each of the services has enough upstreams, of which one may be used. Orders that
        wait when that ends are admitted, so that the queues fail them for the true reason.
        """
        self._read_rates(now)
        return all(item.service in self._rates for item in work)

    def submit(self, order: Order, organisation: str, work: Sequence[Work], now: timedelta) -> None:
        """Admit an order, now or later, or refuse it."""
        own_time = self._own_time(order)
        self._perform(self._admission.submit(order, organisation, work, now, own_time), now)

    def _own_time(self, order: Order) -> timedelta:
        """Return the time of a call for an order alone."""
        spec = self._batching.get(order.service)
        if spec is None:
            return timedelta(0)
        return spec.call_time + min(len(order.pending_segments), spec.batch) * spec.item_time

    def drop(self, order: OrderId) -> None:
        """Forget an order whose request has ended."""
        self._admission.drop(order)

    def drop_node(self, node: NodeId) -> None:
        """Forget the orders of a node that has left the fleet."""
        self._admission.drop_node(node)

    def take(self, service: ServiceId) -> list[Order]:
        """Remove and return the waiting orders of a service that another node owns now."""
        return self._admission.take(service)

    def reconfigure(self) -> None:
        """Have the rates read again with the next order or ``tick``."""
        self._rates_read_at = None

    def next_time(self, now: timedelta) -> timedelta | None:
        """Return when ``tick`` is due next, None if no order waits."""
        return self._admission.next_time(now)

    def tick(self, now: timedelta) -> None:
        """Admit and refuse the orders for which the time has come."""
        if self._admission.waiting:
            self._read_rates(now)
        self._perform(self._admission.tick(now), now)

    def _perform(self, effects: Sequence[AdmissionEffect], now: timedelta) -> None:
        for effect in effects:
            match effect:
                case Admit(order):
                    self._admitted += self._contended_since is not None
                    self._state.metrics.order_admitted(now - order.queued_at)
                    self._admit(order)
                case Refuse(order, retry_after):
                    self._refused += 1
                    self._state.metrics.order_refused()
                    self._state.log.note(
                        "admission",
                        "refused",
                        routine=True,
                        request=order.request_id,
                        service=order.service,
                        waited_ms=round((now - order.queued_at) / _MILLISECOND),
                        retry_after_ms=round(retry_after / _MILLISECOND),
                        waiting=self._admission.waiting,
                    )
                    self._refuse(order, retry_after)
        self._report_contention(now)

    def _report_contention(self, now: timedelta) -> None:
        if self._admission.waiting and self._contended_since is None:
            self._contended_since = now
            self._state.log.note("admission", "contended")
        elif not self._admission.waiting and self._contended_since is not None:
            self._state.log.note(
                "admission",
                "clear",
                lasted_ms=round((now - self._contended_since) / _MILLISECOND),
                admitted=self._admitted,
                refused=self._refused,
            )
            self._contended_since = None
            self._admitted = self._refused = 0

    def _read_rates(self, now: timedelta) -> None:
        """Read the rates of the stage services with enough upstreams, of which one may be used.

        Upstreams of evacuated zones do not count as upstreams of the service. Those that leave,
        want a pause or are suspected of failure add nothing to the rate, and slow ones less than
        others. What the owners of the other queues know of their upstreams comes with their
        heartbeats.
        """
        if self._rates_read_at is not None and now < self._rates_read_at + RATES_PERIOD:
            return
        self._rates_read_at = now
        self._rates = {}
        self._batching = {}
        configuration = self._state.catalogue.configuration
        standing = self._state.balancer.standing
        for spec in configuration.services.values() if configuration is not None else ():
            batching = spec.batching
            if batching is None:
                continue
            upstreams = [e for e in self._state.upstreams(spec.id) if not standing.is_evacuated(e)]
            open_upstreams = standing.open_upstreams(upstreams, now)
            if len(upstreams) < MIN_UPSTREAMS or not open_upstreams:
                continue
            usable = sum(self._share_of_rate(entry.id, now) for entry in open_upstreams)
            full_call = batching.call_time + batching.batch * batching.item_time
            self._batching[spec.id] = batching
            self._rates[spec.id] = max(1.0, usable) * batching.batch / full_call.total_seconds()
        self._admission.configure(self._rates)

    def _share_of_rate(self, upstream: UpstreamId, now: timedelta) -> float:
        """Return what an upstream does, relative to one that is sound and as fast as usual."""
        if self._state.balancer.is_suspected(upstream, now):
            return 0.0
        pace = self._state.balancer.known_pace(upstream, now)
        return 1.0 / pace if pace > USUAL_PACE else 1.0
