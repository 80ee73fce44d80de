"""Clock interface, so that the time in decision cores and tests can be controlled."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary fixed origin; it never decreases."""

    def now(self) -> datetime:
        """Return the current time in UTC; it may jump when the system clock is set."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> timedelta:
        """Return the time since the origin of ``CLOCK_MONOTONIC``."""
        return timedelta(seconds=time.monotonic())

    def now(self) -> datetime:
        """Return the system's wall-clock time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Clock for tests that moves only by calls of ``advance``."""

    def __init__(self, start: datetime | None = None) -> None:
        self._monotonic = timedelta(0)
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> timedelta:
        """Return the time by which the clock was advanced."""
        return self._monotonic

    def now(self) -> datetime:
        """Return the start time plus the time by which the clock was advanced."""
        return self._start + self._monotonic

    def advance(self, duration: timedelta) -> None:
        """Move the clock forward by ``duration``."""
        if duration < timedelta(0):
            raise ValueError("a clock cannot be moved back")
        self._monotonic += duration
