"""Budget of repeated requests per service, kept by each node for its share of the fleet.

The fleet may repeat ``ratio`` times its requests plus a fixed ``slack`` in any window. A node
takes the ratio of its own requests and an equal part of the slack, so that the sum over all nodes
holds without messages between them.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import ServiceId


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bounds of the whole fleet."""

    ratio: float = 0.2
    window: timedelta = timedelta(seconds=10)
    slack: float = 50.0
    # Part of the bound that is used. The rest covers repeats of processes that were killed and
    # started again within the window, and nodes that disagree about their number.
    used_share: float = 0.6


class _Window:
    """Counts events of the last ``length``."""

    __slots__ = ("_length", "_times")

    def __init__(self, length: timedelta) -> None:
        self._length = length
        self._times: deque[timedelta] = deque()

    def add(self, now: timedelta) -> None:
        self._times.append(now)

    def count(self, now: timedelta) -> int:
        while self._times and self._times[0] <= now - self._length:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Requests and repeats of one node by service."""

    def __init__(self, settings: RetryBudgetSettings, nodes: Callable[[], int] = lambda: 1) -> None:
        self._settings = settings
        self._nodes = nodes
        self._requests: dict[ServiceId, _Window] = {}
        self._repeats: dict[ServiceId, _Window] = {}

    def record_request(self, service: ServiceId, now: timedelta) -> None:
        """Count a caller's request for a service."""
        self._window(self._requests, service).add(now)

    def allowance(self, service: ServiceId, now: timedelta) -> float:
        """Return how many repeats this node may have in the current window."""
        settings = self._settings
        requests = self._window(self._requests, service).count(now)
        slack = settings.slack / max(1, self._nodes())
        return settings.used_share * (settings.ratio * requests + slack)

    def take(self, service: ServiceId, now: timedelta) -> bool:
        """Count one repeat and return True, or return False if the budget is used up."""
        repeats = self._window(self._repeats, service)
        if repeats.count(now) + 1 > self.allowance(service, now):
            return False
        repeats.add(now)
        return True

    def _window(self, windows: dict[ServiceId, _Window], service: ServiceId) -> _Window:
        found = windows.get(service)
        if found is None:
            found = windows[service] = _Window(self._settings.window)
        return found
