"""State of one request while it is served: its route, its deadlines and its attempts so far."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.catalogue.state import Route, ServingConfiguration
from chervilrack._internal.common.ids import OrganisationId, ServiceId, UpstreamId
from chervilrack._internal.common.results import Problem
from chervilrack._internal.forecast.state import Rest, StreamSize
from chervilrack._internal.forwarding.bounds import Bound
from chervilrack._internal.forwarding.dialect import RequestMetadata
from chervilrack._internal.forwarding.event_sequence import EventSequence
from chervilrack._internal.forwarding.messages import InboundRequest
from chervilrack._internal.quarantine.profiles import plain_profile, prompt_profile
from chervilrack._internal.quarantine.state import RequestProfile

if TYPE_CHECKING:
    from chervilrack._internal.forwarding.open_attempts import OpenAttempt


@dataclass(slots=True)
class RequestContext:
    """A request, its route, and the state of its execution.

    ``configuration`` is the one under which the request was admitted and is served to its end.
    ``deadline``, ``due`` and ``first_byte_deadline`` are monotonic times. ``deadline_bound`` is the
    bound that sets ``deadline``. ``due`` is the end of the target latency. Callers of a stream
    leave if they have no byte of it at ``first_byte_deadline``.

    ``sent_attempts`` counts the attempts whose request was written to an upstream, ``executions``
    those that an upstream has executed or may have executed. ``last_event_at`` is the monotonic
    time of the last event that was relayed. ``events`` is the position of a stream that has been
    relayed. ``holds_retry`` is whether a retry was taken from the retry budget for which nothing
    has been sent yet. ``steps`` describes the course of the request for the decision log.

    ``refusal`` is set while the request
    waits for its stages if requests like it get no upstream any more.

    ``node_stops_at`` is the time at which the node ends the request because it stops. ``forecast``
    is the rest that was forecast when the current attempt was chosen. ``usual_first_byte`` is the
    usual time from the start of an attempt to the first byte, by which the stages are due sooner;
    zero if none compete for them.
    ``kept`` is an earlier attempt that goes on beside the current one.
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
    deadline_bound: Bound
    configuration: ServingConfiguration
    load: RequestLoad
    refusal: Problem | None = None
    sent_attempts: int = 0
    executions: int = 0
    stream_begun: bool = False
    holds_retry: bool = False
    last_event_at: timedelta | None = None
    node_stops_at: timedelta | None = None
    forecast: Rest = field(default_factory=Rest)
    usual_first_byte: timedelta = timedelta(0)
    kept: "OpenAttempt | None" = None
    events: EventSequence = field(default_factory=EventSequence)
    tried_upstreams: set[UpstreamId] = field(default_factory=set)
    steps: list[str] = field(default_factory=list)
    _profile: RequestProfile | None = None
    _caller_gone: threading.Event = field(default_factory=threading.Event)
    _gone_actions: list[Callable[[], None]] = field(default_factory=list)
    _refusal_actions: list[Callable[[], None]] = field(default_factory=list)
    _stop_actions: list[Callable[[], None]] = field(default_factory=list)
    _node_stopping: threading.Event = field(default_factory=threading.Event)

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has left."""
        return self._caller_gone.is_set()

    @property
    def profile(self) -> RequestProfile:
        """What the request has in common with others, for the search of what crashes upstreams."""
        if self._profile is None:
            self._profile = self._create_profile()
        return self._profile

    def _create_profile(self) -> RequestProfile:
        request, prefix = self.request, self.metadata.prefix
        if prefix:
            # The last part belongs to the request alone.
            parts = (part.id for part in prefix[:-1])
            return prompt_profile(self.service, parts, self.organisation)
        return plain_profile(
            self.service, request.method, request.path, request.body, self.organisation
        )

    @property
    def stream_size(self) -> StreamSize:
        """Size of the stream as its caller states it; a stream that has begun is resumed."""
        metadata = self.metadata
        is_resumed = self.stream_begun or metadata.last_event is not None
        return StreamSize(metadata.prompt_tokens, metadata.output_tokens, is_resumed)

    @property
    def next_event_deadline(self) -> timedelta:
        """Monotonic time at which the caller of a stream leaves unless it gets an event."""
        if self.last_event_at is None:
            return self.first_byte_deadline
        patience = self.first_byte_deadline - self.request.arrived
        return min(self.deadline, self.last_event_at + patience)

    @property
    def node_stopping(self) -> bool:
        """Whether the request has to end because the node stops."""
        return self._node_stopping.is_set()

    def stop_waiting(self) -> None:
        """Mark the node as stopping, and run the actions that end the waits of the request."""
        self._node_stopping.set()
        for action in list(self._stop_actions):
            action()

    def refuse(self, problem: Problem) -> None:
        """End the wait for stages with a problem; a request that was sent goes on."""
        self.refusal = problem
        for action in list(self._refusal_actions):
            action()

    def add_refusal_action(self, action: Callable[[], None]) -> None:
        """Run ``action`` when the request is refused during its stages; at once if it was."""
        self._refusal_actions.append(action)
        if self.refusal is not None:
            action()

    def remove_refusal_action(self, action: Callable[[], None]) -> None:
        """Remove an action that was added with ``add_refusal_action``."""
        self._refusal_actions.remove(action)

    def mark_caller_gone(self) -> None:
        """Mark the caller as gone, and run the actions that cancel the work for it."""
        self._caller_gone.set()
        for action in list(self._gone_actions):
            action()

    def add_stop_action(self, action: Callable[[], None]) -> None:
        """Run ``action`` when the request has to end because the node stops; at once if so."""
        self._stop_actions.append(action)
        if self.node_stopping:
            action()

    def remove_stop_action(self, action: Callable[[], None]) -> None:
        """Remove an action that was added with ``add_stop_action``."""
        self._stop_actions.remove(action)

    def add_gone_action(self, action: Callable[[], None]) -> None:
        """Run ``action`` when the caller leaves; at once if the caller has left."""
        self._gone_actions.append(action)
        if self.caller_gone:
            action()

    def remove_gone_action(self, action: Callable[[], None]) -> None:
        """Remove an action that was added with ``add_gone_action``."""
        self._gone_actions.remove(action)

    def time_left(self, now: timedelta) -> timedelta:
        """Return the time until the deadline, or until the node ends the request if sooner."""
        if self.node_stops_at is not None:
            return min(self.deadline, self.node_stops_at) - now
        return self.deadline - now

    def is_ended_by_stop(self, now: timedelta) -> bool:
        """Whether the request has to end before its deadline because the node stops."""
        return self.node_stopping or (
            self.node_stops_at is not None and self.node_stops_at <= min(now, self.deadline)
        )

    def step(self, text: str) -> None:
        """Add an entry to ``steps``; entries beyond the 40th are dropped."""
        if len(self.steps) < 40:
            self.steps.append(text)
