"""Thread that runs a node's timers when they are due, and notices pauses of the process."""

import threading
import time
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType
from typing import Self

from chervilrack._internal.common.clock import Clock

# A timer that fires this late was paused; silences are not blamed on others then.
PAUSE_LIMIT = timedelta(milliseconds=700)
# Timers run at least this often, for what they do not announce.
LONGEST_WAIT = timedelta(milliseconds=500)
# Timers that are due at once still leave the lock to requests in between, and messages that
# arrive within this time share one look at what is due next.
SHORTEST_WAIT = timedelta(milliseconds=4)


class TimerThread:
    """Calls ``tick`` under ``lock`` when the time of ``next_time`` has come.

    ``paused`` gets the time by which the process was held up. Use as a context manager.
    """

    def __init__(
        self,
        clock: Clock,
        lock: threading.RLock,
        next_time: Callable[[], timedelta],
        tick: Callable[[timedelta], None],
        paused: Callable[[timedelta], None],
    ) -> None:
        self._clock = clock
        self._changed = threading.Condition(lock)
        self._has_changed = False
        self._next_time = next_time
        self._tick = tick
        self._paused = paused
        self._stopping = False
        # When the thread is to run next, at the latest.
        self._expected = timedelta(0)
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping = True
        self.wake()

    def wake(self) -> None:
        """Look again at what is due next, because something may be due earlier."""
        with self._changed:
            if not self._has_changed:
                self._has_changed = True
                self._changed.notify()

    def _run(self) -> None:
        last_tick = self._expected = self._clock.monotonic()
        while not self._stopping:
            with self._changed:
                now, due = self._await(last_tick + LONGEST_WAIT)
                if now >= due:
                    self._tick(now)
                    last_tick = now
            time.sleep(SHORTEST_WAIT.total_seconds())

    def _await(self, latest: timedelta) -> tuple[timedelta, timedelta]:
        """Wait until something is due or has changed; return the time and what was due next."""
        started = self._clock.monotonic()
        self._note_pause(started)
        due = min(self._next_time(), latest)
        wait = max(due - started, timedelta(0))
        if not self._has_changed and wait:
            self._expected = started + wait
            self._changed.wait(wait.total_seconds())
        self._has_changed = False
        now = self._clock.monotonic()
        self._note_pause(now)
        # Ticks take milliseconds, so that a later look shows a pause in them, too.
        self._expected = now + SHORTEST_WAIT
        return now, due

    def _note_pause(self, now: timedelta) -> None:
        late = now - self._expected
        if late > PAUSE_LIMIT:
            self._paused(late)
            self._expected = now
