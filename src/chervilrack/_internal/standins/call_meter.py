"""Rate limits and counts of the emulated platform service."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls since the start: accepted reads and writes, refused calls, seconds of open watches."""

    reads: int
    writes: int
    refused: int
    watch_seconds: int
    reads_per_s: float
    writes_per_s: float


class CallMeter:
    """Token buckets that hold one second of reads and of writes.

    An open watch takes one read per second, as the platform counts a waiting watch as one call.
    """

    def __init__(self, reads_per_s: float, writes_per_s: float, now: timedelta) -> None:
        self._rates = {False: reads_per_s, True: writes_per_s}
        self._left = dict(self._rates)
        self._filled_at = now
        self._started_at = now
        self._accepted = {False: 0, True: 0}
        self._refused = 0
        self._watch_seconds = 0

    def take(self, write: bool, now: timedelta) -> bool:
        """Count one call; return False if the rate refuses it."""
        self._fill(now)
        if self._left[write] < 1:
            self._refused += 1
            return False
        self._left[write] -= 1
        self._accepted[write] += 1
        return True

    def charge_watches(self, count: int, now: timedelta) -> None:
        """Charge one read for each open watch; to be called once a second."""
        self._fill(now)
        self._left[False] -= count
        self._watch_seconds += count

    def counts(self, now: timedelta) -> CallCounts:
        """Return totals and mean rates since the start; watches count as reads."""
        elapsed = max((now - self._started_at).total_seconds(), 1e-3)
        reads = self._accepted[False]
        writes = self._accepted[True]
        return CallCounts(
            reads=reads,
            writes=writes,
            refused=self._refused,
            watch_seconds=self._watch_seconds,
            reads_per_s=(reads + self._watch_seconds) / elapsed,
            writes_per_s=writes / elapsed,
        )

    def _fill(self, now: timedelta) -> None:
        elapsed = (now - self._filled_at).total_seconds()
        self._filled_at = now
        for write, rate in self._rates.items():
            self._left[write] = min(rate, self._left[write] + elapsed * rate)
