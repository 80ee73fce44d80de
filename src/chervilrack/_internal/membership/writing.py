"""Writes and reads of the view record, one at a time."""

import random
from datetime import timedelta

from chervilrack._internal.membership.messages import ReadView, WriteOutcome, WriteView
from chervilrack._internal.membership.state import MembershipSettings, View

# Covers several platform calls of a few milliseconds each.
RECENT_READ_AGE = timedelta(milliseconds=50)


class ViewWriter:
    """Allows one write at a time, and reads the view after a conflict or a lost response."""

    def __init__(self, settings: MembershipSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._in_flight: View | None = None
        self._read_needed = True
        self._next_read: timedelta | None = None
        self._next_regular_read: timedelta | None = None
        self._last_read: timedelta | None = None
        self._next_write: timedelta | None = None
        self._write_count = 0

    def ready(self, now: timedelta) -> bool:
        """Whether a write may start at ``now``."""
        waiting = self._next_write is not None and now < self._next_write
        return self._in_flight is None and not self._read_needed and not waiting

    def next_write_id(self, prefix: str) -> str:
        """Return a unique id that starts with ``prefix`` for the next write."""
        self._write_count += 1
        return f"{prefix}/{self._write_count}"

    def write(self, effect: WriteView) -> list[WriteView]:
        """Mark the write as in flight and return its effect in a list."""
        self._in_flight = effect.view
        return [effect]

    def finished(self, outcome: WriteOutcome, now: timedelta) -> View | None:
        """End the write in flight and return its view if the write was applied, else None."""
        written, self._in_flight = self._in_flight, None
        if outcome is not WriteOutcome.APPLIED:
            self._next_write = now + self._settings.join_retry * self._rng.random()
        if outcome in {WriteOutcome.CONFLICT, WriteOutcome.UNKNOWN}:
            self._read_needed = True
            self._next_read = None
        return written if outcome is WriteOutcome.APPLIED else None

    def recently_read(self, now: timedelta) -> bool:
        """Whether the last read of the view is recent, so that a write will probably succeed."""
        return self._last_read is not None and now - self._last_read <= RECENT_READ_AGE

    def request_read(self) -> None:
        """Request a read of the view at the next opportunity."""
        self._read_needed = True

    def record_read(self, now: timedelta) -> None:
        """Record that the view was read or was reported by a watch."""
        self._last_read = now
        self._read_needed = False
        self._next_regular_read = None

    def due_reads(self, regular: bool, now: timedelta) -> list[ReadView]:
        """Return the read that is due, if any; ``regular`` also enables periodic reads."""
        if self._in_flight is not None:
            return []
        if self._read_needed:
            if self._next_read is not None and now < self._next_read:
                return []
            self._next_read = now + self._settings.join_retry * (1 + self._rng.random())
            return [ReadView()]
        if not regular:
            self._next_regular_read = None
            return []
        if self._next_regular_read is None or now >= self._next_regular_read:
            first = self._next_regular_read is None
            self._next_regular_read = now + self._settings.read_interval * (
                0.5 + self._rng.random()
            )
            return [] if first else [ReadView()]
        return []
