"""Retry budget per service, which each node enforces for its share of the fleet.

In any window, the retries of the fleet are at most ``ratio`` times its requests plus a fixed
``slack``. Each node applies ``ratio`` to its own requests and uses an equal part of ``slack``. The
sum over all nodes then stays within the bound without messages between the nodes.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import ServiceId


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bounds on the retries of the whole fleet."""

    ratio: float = 0.2
    window: timedelta = timedelta(seconds=10)
    slack: float = 50.0
    # Fraction of the bound that the nodes use. The rest covers the retries of processes that were
    # killed and restarted within the window, and nodes with different views of the fleet's size.
    usable_fraction: float = 0.6


class _Window:
    """Sliding window that counts the events within the last ``length``."""

    __slots__ = ("_length", "_times")

    def __init__(self, length: timedelta) -> None:
        self._length = length
        self._times: deque[timedelta] = deque()

    def add(self, now: timedelta) -> None:
        self._times.append(now)

    def remove_latest(self) -> None:
        if self._times:
            self._times.pop()

    def count(self, now: timedelta) -> int:
        while self._times and self._times[0] <= now - self._length:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Retry budget of one node, per service.

    ``nodes`` returns the number of nodes in the fleet.
    """

    def __init__(self, settings: RetryBudgetSettings, nodes: Callable[[], int] = lambda: 1) -> None:
        self._settings = settings
        self._nodes = nodes
        self._requests: dict[ServiceId, _Window] = {}
        self._retries: dict[ServiceId, _Window] = {}

    def record_request(self, service: ServiceId, now: timedelta) -> None:
        """Count one caller's request to a service."""
        self._window(self._requests, service).add(now)

    def allowance(self, service: ServiceId, now: timedelta) -> float:
        """Return how many retries of ``service`` this node may make within the current window."""
        settings = self._settings
        requests = self._window(self._requests, service).count(now)
        slack = settings.slack / max(1, self._nodes())
        return settings.usable_fraction * (settings.ratio * requests + slack)

    def can_take(self, service: ServiceId, now: timedelta) -> bool:
        """Whether ``take`` would return True."""
        retries = self._window(self._retries, service)
        return retries.count(now) + 1 <= self.allowance(service, now)

    def take(self, service: ServiceId, now: timedelta) -> bool:
        """Count one retry and return True, or return False if the budget is exhausted."""
        if not self.can_take(service, now):
            return False
        self._window(self._retries, service).add(now)
        return True

    def give_back(self, service: ServiceId) -> None:
        """Take back the latest retry that was counted, since nothing was sent for it."""
        self._window(self._retries, service).remove_latest()

    def _window(self, windows: dict[ServiceId, _Window], service: ServiceId) -> _Window:
        service_window = windows.get(service)
        if service_window is None:
            service_window = windows[service] = _Window(self._settings.window)
        return service_window
