"""One request while it is served: what was decided about it and how long it may take."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.catalogue.state import Route
from chervilrack._internal.common.ids import OrganisationId, ServiceId, UpstreamId
from chervilrack._internal.forwarding.dialect import RequestMetadata
from chervilrack._internal.forwarding.messages import InboundRequest


@dataclass(slots=True)
class RequestContext:
    """A request with its route. ``deadline`` and ``due`` are monotonic times.

    ``due`` is the end of the target latency, ``first_byte_deadline`` when the caller has to have
    the first byte of a stream or leaves. ``steps`` collects what happened, for the log.
    """

    request: InboundRequest
    metadata: RequestMetadata
    route: Route
    service: ServiceId
    organisation: OrganisationId | None
    priority: int
    deadline: timedelta
    due: timedelta
    first_byte_deadline: timedelta
    configuration_version: int
    load: RequestLoad
    arrivals: int = 0
    executions: int = 0
    stream_begun: bool = False
    last_event: int | None = None
    tried_upstreams: set[UpstreamId] = field(default_factory=set)
    steps: list[str] = field(default_factory=list)
    _gone: threading.Event = field(default_factory=threading.Event)
    _on_gone: list[Callable[[], None]] = field(default_factory=list)
    _on_stop: list[Callable[[], None]] = field(default_factory=list)
    _node_stops: threading.Event = field(default_factory=threading.Event)

    @property
    def gone(self) -> bool:
        """Whether the caller has left."""
        return self._gone.is_set()

    @property
    def node_stops(self) -> bool:
        """Whether the node ends before the stages of the request can."""
        return self._node_stops.is_set()

    def stop_waiting(self) -> None:
        """Note that the node is about to end; waiting for stages ends."""
        self._node_stops.set()
        for action in list(self._on_stop):
            action()

    def caller_left(self) -> None:
        """Note that the caller has left and stop what runs for it."""
        self._gone.set()
        for action in list(self._on_gone):
            action()

    def on_stop(self, action: Callable[[], None]) -> None:
        """Run ``action`` when the node is about to end; at once if it is."""
        self._on_stop.append(action)
        if self.node_stops:
            action()

    def off_stop(self, action: Callable[[], None]) -> None:
        """Withdraw an action of ``on_stop``."""
        self._on_stop.remove(action)

    def on_gone(self, action: Callable[[], None]) -> None:
        """Run ``action`` when the caller leaves; at once if it has left."""
        self._on_gone.append(action)
        if self.gone:
            action()

    def off_gone(self, action: Callable[[], None]) -> None:
        """Withdraw an action of ``on_gone``."""
        self._on_gone.remove(action)

    def time_left(self, now: timedelta) -> timedelta:
        """Return the time until the deadline."""
        return self.deadline - now

    def step(self, text: str) -> None:
        """Add one entry to what happened."""
        if len(self.steps) < 40:
            self.steps.append(text)
