"""Load of upstreams: this node's work in flight and lagging reports of the upstreams."""

import math
from collections import deque
from datetime import timedelta

from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.routing.settings import RouterSettings

# Reports older than this are ignored; own counts are kept as long.
OLDEST_REPORT = timedelta(seconds=10)
# Weight of one report in the mean over all upstreams.
MEAN_WEIGHT = 0.1

_ZERO = timedelta(0)


class UpstreamLoad:
    """Attempts in flight at one upstream, of this node and of others."""

    __slots__ = ("_history", "in_flight", "others", "reported_at")

    def __init__(self) -> None:
        self.in_flight = 0
        self.others = 0.0
        self.reported_at: timedelta | None = None
        self._history: deque[tuple[timedelta, int]] = deque(maxlen=512)

    def change(self, step: int, now: timedelta) -> None:
        """Count one attempt more or less."""
        self.in_flight += step
        self._history.append((now, self.in_flight))
        while self._history[0][0] < now - OLDEST_REPORT:
            self._history.popleft()

    def in_flight_at(self, instant: timedelta) -> int:
        """Return this node's attempts in flight at ``instant``."""
        for at, count in reversed(self._history):
            if at <= instant:
                return count
        if self._history and len(self._history) == self._history.maxlen:
            return self._history[0][1]
        return 0 if self._history else self.in_flight


class LoadTable:
    """Loads of all upstreams.

    The part of a report that is due to other nodes decays towards the mean of all upstreams:
    an old report says little about this upstream in particular.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._decay = math.log(2) / settings.load_half_life.total_seconds()
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._mean_others = 0.0

    def get(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of one upstream."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad()
        return load

    def report(self, upstream: UpstreamId, attempts: float, age: timedelta, now: timedelta) -> None:
        """Record that an upstream had ``attempts`` running or waiting ``age`` ago."""
        load = self.get(upstream)
        taken_at = now - max(age, _ZERO)
        if age > OLDEST_REPORT or (load.reported_at is not None and taken_at < load.reported_at):
            return
        load.others = max(0.0, attempts - load.in_flight_at(taken_at))
        load.reported_at = taken_at
        self._mean_others += MEAN_WEIGHT * (load.others - self._mean_others)

    def expected(self, upstream: UpstreamId, now: timedelta) -> float:
        """Return the expected number of attempts at an upstream."""
        load = self._loads.get(upstream)
        if load is None:
            return self._mean_others
        if load.reported_at is None:
            return load.in_flight + self._mean_others
        age = max(0.0, (now - load.reported_at).total_seconds())
        kept = math.exp(-self._decay * age)
        return load.in_flight + load.others * kept + self._mean_others * (1.0 - kept)
