"""Load of upstreams, from this node's attempts in flight and from delayed load reports."""

from collections import deque
from datetime import timedelta

from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.routing.settings import RouterSettings

# Older reports are ignored. The history of this node's attempts in flight covers the same time.
MAX_REPORT_AGE = timedelta(seconds=10)
# Weight of one report in the moving averages over all upstreams.
MEAN_WEIGHT = 0.1
# Reports needed before the ratio of other nodes' to this node's attempts is used.
MIN_REPORTS_FOR_RATIO = 20
# Lower bound of this node's mean in that ratio, which is not meaningful for smaller means.
MIN_MEAN_OWN_ATTEMPTS = 0.1

_ZERO = timedelta(0)


class UpstreamLoad:
    """Attempts in flight at one upstream: this node's, and other nodes' by the last report."""

    __slots__ = ("_history", "in_flight", "others", "reported_at")

    def __init__(self) -> None:
        self.in_flight = 0
        self.others = 0.0
        self.reported_at: timedelta | None = None
        self._history: deque[tuple[timedelta, int]] = deque(maxlen=512)

    def adjust_in_flight(self, delta: int, now: timedelta) -> None:
        """Add ``delta`` to this node's attempts in flight."""
        self.in_flight += delta
        self._history.append((now, self.in_flight))
        while self._history[0][0] < now - MAX_REPORT_AGE:
            self._history.popleft()

    def in_flight_at(self, instant: timedelta) -> int:
        """Return this node's attempts in flight at ``instant``, as far back as the history goes."""
        for at, count in reversed(self._history):
            if at <= instant:
                return count
        if self._history and len(self._history) == self._history.maxlen:
            return self._history[0][1]
        return 0 if self._history else self.in_flight


class LoadTable:
    """Loads of all upstreams.

    A load report is out of date when it arrives, and all nodes receive the same one. If nodes used
    it unchanged, all would send their work to the same upstream. Only the report's difference from
    the mean of all upstreams is used, and that difference decays with the report's age. The
    attempts of this node are known exactly and are a sample of all nodes' attempts. Each is
    weighted by the ratio of all attempts to this node's attempts in the reports, up to
    ``max_own_weight``.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._half_life = settings.load_half_life
        self._max_own_weight = settings.max_own_weight
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._mean_others = 0.0
        self._mean_own = 0.0
        self._reports = 0

    def get(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of one upstream, which is added if it is new."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad()
        return load

    def report(self, upstream: UpstreamId, attempts: float, age: timedelta, now: timedelta) -> None:
        """Record that an upstream had ``attempts`` running or waiting ``age`` ago."""
        load = self.get(upstream)
        taken_at = now - max(age, _ZERO)
        if age > MAX_REPORT_AGE or (load.reported_at is not None and taken_at < load.reported_at):
            return
        own = load.in_flight_at(taken_at)
        load.others = max(0.0, attempts - own)
        load.reported_at = taken_at
        self._mean_others += MEAN_WEIGHT * (load.others - self._mean_others)
        self._reports += 1
        self._mean_own += MEAN_WEIGHT * (own - self._mean_own)

    def expected_load(self, upstream: UpstreamId, service_time_s: float, now: timedelta) -> float:
        """Return the expected load of an upstream, up to a constant that all upstreams share.

        ``service_time_s`` is the expected service time of its attempts. It sets how fast a report
        decays, because the attempts that the report counted end after about that time.
        """
        load = self._loads.get(upstream)
        if load is None:
            return 0.0
        expected_load = load.in_flight * self._weight_of_own_attempt
        if load.reported_at is not None:
            age = max(0.0, (now - load.reported_at).total_seconds())
            remaining_share = 0.5 ** (age / (self._half_life * service_time_s))
            expected_load += (load.others - self._mean_others) * remaining_share
        return max(0.0, expected_load)

    @property
    def _weight_of_own_attempt(self) -> float:
        """Number of attempts of all nodes that one attempt of this node represents."""
        if self._reports < MIN_REPORTS_FOR_RATIO:
            return 1.0
        ratio = self._mean_others / max(self._mean_own, MIN_MEAN_OWN_ATTEMPTS)
        return min(1.0 + ratio, self._max_own_weight)
