"""Thread that runs a node's timers when they are due and detects pauses of the process."""

import threading
import time
from collections.abc import Callable, Sequence
from datetime import timedelta
from types import TracebackType
from typing import Self

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.supervision import FAILURES, SupervisedThread

# A run that is late by more than this means that the process was paused. The silence of peers
# during a pause says nothing about them.
PAUSE_LIMIT = timedelta(milliseconds=700)
# Timers run at least this often, for work whose due time is not known in advance.
LONGEST_WAIT = timedelta(milliseconds=500)
# The lock is left to requests for this time between two runs, even if a timer is due at once.
# Messages that arrive within this time share one computation of the next due time.
SHORTEST_WAIT = timedelta(milliseconds=4)
# The same after a run that raised an exception, since its timers may still be due.
WAIT_AFTER_FAILURE = timedelta(milliseconds=100)
THREAD_NAME = "timers"


class TimerThread:
    """Calls ``timers`` under ``lock`` when the time that ``next_time`` returns has come.

    If one of the functions raises an exception, the others are still called.

    ``on_pause`` is called with the length of each detected pause of the process. The thread goes on
    after any exception of these functions. Use as a context manager.
    """

    def __init__(
        self,
        clock: Clock,
        lock: threading.RLock,
        next_time: Callable[[], timedelta],
        timers: Sequence[Callable[[timedelta], None]],
        on_pause: Callable[[timedelta], None],
    ) -> None:
        self._clock = clock
        self._changed = threading.Condition(lock)
        self._has_changed = False
        self._next_time = next_time
        self._timers = timers
        self._on_pause = on_pause
        self._stopping = threading.Event()
        # Latest time at which the thread should run again.
        self._expected_run = timedelta(0)
        self._thread = SupervisedThread(THREAD_NAME, self._run, self._stopping)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping.set()
        self.wake()

    def wake(self) -> None:
        """Compute the next due time again, because it may be earlier than before."""
        with self._changed:
            if not self._has_changed:
                self._has_changed = True
                self._changed.notify()

    def _run(self) -> None:
        last_tick = self._expected_run = self._clock.monotonic()
        while not self._stopping.is_set():
            pause = SHORTEST_WAIT
            with self._changed:
                now, due = self._wait_until_due(last_tick + LONGEST_WAIT)
                if now >= due:
                    last_tick = now
                    if not self.run_due(now):
                        pause = WAIT_AFTER_FAILURE
            time.sleep(pause.total_seconds())

    def run_due(self, now: timedelta) -> bool:
        """Call the timers, and return whether none raised. The caller holds the lock."""
        has_failed = False
        for timer in self._timers:
            try:
                timer(now)
            except Exception as error:
                FAILURES.record(THREAD_NAME, error, getattr(timer, "__qualname__", ""))
                has_failed = True
        return not has_failed

    def _wait_until_due(self, latest: timedelta) -> tuple[timedelta, timedelta]:
        """Wait until a timer is due or ``wake`` is called.

        Returns the current time and the due time waited for, which is at most ``latest``.
        """
        started = self._clock.monotonic()
        self._report_pause(started)
        due = min(self._read_next_time(latest), latest)
        wait = max(due - started, timedelta(0))
        if not self._has_changed and wait:
            self._expected_run = started + wait
            self._changed.wait(wait.total_seconds())
        self._has_changed = False
        now = self._clock.monotonic()
        self._report_pause(now)
        # A tick takes milliseconds, so the next check also detects a pause during the tick.
        self._expected_run = now + SHORTEST_WAIT
        return now, due

    def _read_next_time(self, latest: timedelta) -> timedelta:
        try:
            return self._next_time()
        except Exception as error:
            FAILURES.record(THREAD_NAME, error, "the next due time")
            return latest

    def _report_pause(self, now: timedelta) -> None:
        delay = now - self._expected_run
        if delay > PAUSE_LIMIT:
            self._expected_run = now
            try:
                self._on_pause(delay)
            except Exception as error:
                FAILURES.record(THREAD_NAME, error, "a pause of the process")
