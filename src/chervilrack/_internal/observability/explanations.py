"""Bounded memory of what was decided for recent requests, and of recent automatic actions."""

import threading
from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import datetime, timedelta

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import OrganisationId, RequestId

# At about 100 bytes per event these bounds keep explanations below 7 MB per node.
MAX_REQUESTS = 2000
MAX_EVENTS = 32
MAX_ACTIONS = 256


@dataclass(frozen=True, slots=True)
class Explanation:
    """Decisions about one request in order. ``dropped`` counts those beyond the bound."""

    request_id: RequestId
    organisation: OrganisationId
    events: tuple[tuple[timedelta, str], ...]
    dropped: int


@dataclass(frozen=True, slots=True)
class RecentAction:
    """Automatic action and when it was taken."""

    at: datetime
    action: ActionTaken


class _Entry:
    __slots__ = ("dropped", "events", "started")

    def __init__(self, started: timedelta) -> None:
        self.started = started
        self.events: list[tuple[timedelta, str]] = []
        self.dropped = 0


class Explanations:
    """Ring of the most recent requests with their decisions. Thread-safe.

    Entries are kept by organisation and request id together, so that an id that is reused by
    another organisation neither shows nor changes the first organisation's entry.
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
        self._entries: OrderedDict[tuple[OrganisationId, RequestId], _Entry] = OrderedDict()
        self._actions: deque[RecentAction] = deque(maxlen=max_actions)
        self._lock = threading.Lock()

    def add(self, request_id: RequestId, organisation: OrganisationId, event: str) -> None:
        """Add one decision; the oldest request is evicted when the ring is full."""
        now = self._clock.monotonic()
        key = (organisation, request_id)
        with self._lock:
            entry = self._entries.get(key)
            if entry is None:
                entry = self._entries[key] = _Entry(now)
                if len(self._entries) > self._max_requests:
                    self._entries.popitem(last=False)
            if len(entry.events) < self._max_events:
                entry.events.append((now - entry.started, event))
            else:
                entry.dropped += 1

    def read(self, request_id: RequestId, reader: OrganisationId) -> Explanation | None:
        """Return the explanation of a request of ``reader``.

        The result is None both for unknown requests and for those of other organisations, so that
        a reader cannot find out which ids others use.
        """
        with self._lock:
            entry = self._entries.get((reader, request_id))
            return None if entry is None else _explanation(request_id, reader, entry)

    def read_as_operator(self, request_id: RequestId) -> Explanation | None:
        """Return the explanation of a request of any organisation."""
        with self._lock:
            for (organisation, known), entry in self._entries.items():
                if known == request_id:
                    return _explanation(request_id, organisation, entry)
        return None

    def add_action(self, action: ActionTaken) -> None:
        """Remember one automatic action."""
        self._actions.append(RecentAction(self._clock.now(), action))

    def recent_actions(self) -> tuple[RecentAction, ...]:
        """Return the remembered automatic actions, oldest first."""
        return tuple(self._actions.copy())


def _explanation(request_id: RequestId, organisation: OrganisationId, entry: _Entry) -> Explanation:
    return Explanation(request_id, organisation, tuple(entry.events), entry.dropped)
