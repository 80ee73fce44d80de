"""Load of upstreams: this node's work in flight and lagging reports of the upstreams."""

from collections import deque
from datetime import timedelta

from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.routing.settings import RouterSettings

# Reports older than this are ignored; own counts are kept as long.
OLDEST_REPORT = timedelta(seconds=10)
# Weight of one report in the mean over all upstreams.
MEAN_WEIGHT = 0.1

# Reports before the ratio of own to others' attempts is used.
ENOUGH_REPORTS = 20
# Below this mean of own attempts the ratio to the others' is not meaningful.
SMALLEST_MEAN = 0.1

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

    A report of many nodes' work is old by the time it arrives, and all nodes see the same one.
    Only its difference from the mean of all upstreams counts, and fades; otherwise the nodes
    follow it together. The node's own attempts are up to date and a sample of all nodes' attempts:
    each stands for up to ``own_weight`` attempts, by the ratio that reports show.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._half_life = settings.load_half_life
        self._own_weight = settings.own_weight
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._mean_others = 0.0
        self._mean_own = 0.0
        self._reports = 0

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
        own = load.in_flight_at(taken_at)
        load.others = max(0.0, attempts - own)
        load.reported_at = taken_at
        self._mean_others += MEAN_WEIGHT * (load.others - self._mean_others)
        self._reports += 1
        self._mean_own += MEAN_WEIGHT * (own - self._mean_own)

    def expected(self, upstream: UpstreamId, service: float, now: timedelta) -> float:
        """Return the expected load of an upstream, up to a constant common to all.

        ``service`` is the expected service time of its attempts in seconds: after that time the
        attempts that a report counted have ended.
        """
        load = self._loads.get(upstream)
        if load is None:
            return 0.0
        expected = load.in_flight * self._scale
        if load.reported_at is not None:
            age = max(0.0, (now - load.reported_at).total_seconds())
            kept = 0.5 ** (age / (self._half_life * service))
            expected += (load.others - self._mean_others) * kept
        return max(0.0, expected)

    @property
    def _scale(self) -> float:
        """Attempts of all nodes for which one attempt of this node stands."""
        if self._reports < ENOUGH_REPORTS:
            return 1.0
        ratio = self._mean_others / max(self._mean_own, SMALLEST_MEAN)
        return min(1.0 + ratio, self._own_weight)
