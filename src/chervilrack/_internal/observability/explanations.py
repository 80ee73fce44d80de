"""Bounded store of the decisions about recent requests and of recent automatic actions."""

import threading
from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import datetime, timedelta

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import OrganisationId, RequestId

# Limits of requests, events per request and automatic actions. At about 100 bytes per event, the
# explanations of a node take less than 7 MB.
MAX_REQUESTS = 2000
MAX_EVENTS = 32
MAX_ACTIONS = 256


@dataclass(frozen=True, slots=True)
class Explanation:
    """Decisions about one request in order, each with the time since the first decision.

    ``dropped`` is the number of decisions beyond the limit of events per request.
    """

    request_id: RequestId
    organisation: OrganisationId
    events: tuple[tuple[timedelta, str], ...]
    dropped: int


@dataclass(frozen=True, slots=True)
class RecentAction:
    """Automatic action and the time at which it was taken."""

    at: datetime
    action: ActionTaken


class _RequestEntry:
    __slots__ = ("dropped", "events", "started")

    def __init__(self, started: timedelta) -> None:
        self.started = started
        self.events: list[tuple[timedelta, str]] = []
        self.dropped = 0


class Explanations:
    """Store of the decisions about the most recent requests. Thread-safe.

    The key of an entry is the organisation and the request id. If two organisations use the same
    request id, neither can read or change the entry of the other.
    """

    def __init__(
        self,
        clock: Clock,
        max_requests: int = MAX_REQUESTS,
        max_events: int = MAX_EVENTS,
        max_actions: int = MAX_ACTIONS,
    ) -> None:
        self._clock = clock
        self._max_requests = max_requests
        self._max_events = max_events
        self._entries: OrderedDict[tuple[OrganisationId, RequestId], _RequestEntry] = OrderedDict()
        self._actions: deque[RecentAction] = deque(maxlen=max_actions)
        self._lock = threading.Lock()

    def add(self, request_id: RequestId, organisation: OrganisationId, event: str) -> None:
        """Add one decision; the oldest request is evicted when the store is full."""
        now = self._clock.monotonic()
        key = (organisation, request_id)
        with self._lock:
            entry = self._entries.get(key)
            if entry is None:
                entry = self._entries[key] = _RequestEntry(now)
                if len(self._entries) > self._max_requests:
                    self._entries.popitem(last=False)
            if len(entry.events) < self._max_events:
                entry.events.append((now - entry.started, event))
            else:
                entry.dropped += 1

    def read(self, request_id: RequestId, reader: OrganisationId) -> Explanation | None:
        """Return the explanation of ``request_id`` if the request belongs to ``reader``.

        The result is None for unknown requests and for requests of other organisations alike, so
        that a reader cannot find out which request ids other organisations use.
        """
        with self._lock:
            entry = self._entries.get((reader, request_id))
            return None if entry is None else _explanation(request_id, reader, entry)

    def read_as_operator(self, request_id: RequestId) -> Explanation | None:
        """Return the explanation of ``request_id`` of any organisation; None if it is unknown."""
        with self._lock:
            for (organisation, entry_request_id), entry in self._entries.items():
                if entry_request_id == request_id:
                    return _explanation(request_id, organisation, entry)
        return None

    def add_action(self, action: ActionTaken) -> None:
        """Store one automatic action; the oldest is evicted when the store is full."""
        self._actions.append(RecentAction(self._clock.now(), action))

    def recent_actions(self) -> tuple[RecentAction, ...]:
        """Return the stored automatic actions, oldest first."""
        return tuple(self._actions.copy())


def _explanation(
    request_id: RequestId, organisation: OrganisationId, entry: _RequestEntry
) -> Explanation:
    return Explanation(request_id, organisation, tuple(entry.events), entry.dropped)
