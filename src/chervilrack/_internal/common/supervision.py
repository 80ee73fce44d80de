"""Long-lived threads that go on after unexpected exceptions, which are counted and logged."""

import contextlib
import logging
import random
import threading
import traceback
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from types import TracebackType
from typing import Self

from chervilrack._internal.common.clock import Clock, SystemClock

logger = logging.getLogger(__name__)

# Exceptions of one type in one thread are logged at most once in this time.
LOG_INTERVAL = timedelta(minutes=1)
# Frames and characters of an exception that a log line holds.
MAX_FRAMES = 8
MAX_REASON_LENGTH = 300
# Limits of the exponential backoff. The highest is below the time after which peers count a node
# as lost.
FIRST_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=1)
# A thread that has run for this time without an exception starts with the first backoff again.
STABLE_TIME = timedelta(seconds=10)


def describe(error: BaseException) -> str:
    """Return the type and the message of an exception, at most MAX_REASON_LENGTH characters."""
    text = f"{type(error).__name__}: {error}"
    return text if len(text) <= MAX_REASON_LENGTH else f"{text[: MAX_REASON_LENGTH - 1]}…"


@contextlib.contextmanager
def handling(what: str) -> Iterator[None]:
    """Add to an exception that is raised in the context what was being handled."""
    try:
        yield
    except Exception as error:
        error.add_note(what)
        raise


def _notes(error: Exception) -> Sequence[str]:
    return getattr(error, "__notes__", ())


@dataclass(slots=True)
class _Kind:
    """Exceptions of one type in one thread: when last logged, and how many not logged since."""

    logged_at: timedelta
    unlogged: int = 0


class ThreadFailures:
    """Unexpected exceptions of long-lived threads; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._kinds: dict[tuple[str, str], _Kind] = {}

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of exceptions since the start, by thread."""
        with self._lock:
            return dict(self._counts)

    def record(self, thread: str, error: Exception, handled: str = "") -> None:
        """Count an exception after which ``thread`` goes on, and log it if its kind was not yet.

        ``handled`` names what the thread was handling.
        """
        now = self._clock.monotonic()
        with self._lock:
            self._counts[thread] += 1
            kind = self._kinds.get((thread, type(error).__name__))
            if kind is not None and now - kind.logged_at < LOG_INTERVAL:
                kind.unlogged += 1
                return
            unlogged = kind.unlogged if kind is not None else 0
            self._kinds[(thread, type(error).__name__)] = _Kind(now)
        frames = traceback.format_tb(error.__traceback__, limit=-MAX_FRAMES)
        logger.error(
            "threads: %s goes on after an exception%s (%d more not logged): %s\n%s",
            thread,
            f" while handling {handled}" if handled else "",
            unlogged,
            describe(error),
            "".join(frames),
        )


FAILURES = ThreadFailures(SystemClock())
"""Exceptions of the threads of this process."""


class Supervisor:
    """Calls a function again after each exception, with a pause, until it returns.

    ``wait`` waits for the time given and returns whether to end instead.
    """

    def __init__(
        self,
        name: str,
        wait: Callable[[timedelta], bool],
        clock: Clock,
        rng: random.Random,
        failures: ThreadFailures = FAILURES,
    ) -> None:
        self._name = name
        self._wait = wait
        self._clock = clock
        self._rng = rng
        self._failures = failures

    def run(self, function: Callable[[], None]) -> None:
        """Call ``function`` until it returns, or until ``wait`` says to end after an exception."""
        backoff = FIRST_BACKOFF
        while True:
            began = self._clock.monotonic()
            try:
                function()
            except Exception as error:
                self._failures.record(self._name, error, ", ".join(_notes(error)))
            else:
                return
            if self._clock.monotonic() - began >= STABLE_TIME:
                backoff = FIRST_BACKOFF
            if self._wait(backoff * self._rng.uniform(0.5, 1.0)):
                return
            backoff = min(backoff * 2, MAX_BACKOFF)


class SupervisedThread:
    """Daemon thread that runs a function under a supervisor; use as a context manager.

    ``function`` has to return once ``stopping`` is set. The end of the context sets it, and waits
    for the thread for at most ``join_s`` seconds.
    """

    def __init__(
        self,
        name: str,
        function: Callable[[], None],
        stopping: threading.Event | None = None,
        *,
        join_s: float | None = None,
    ) -> None:
        self._stopping = stopping or threading.Event()
        self._join_s = join_s
        supervisor = Supervisor(
            name,
            lambda pause: self._stopping.wait(pause.total_seconds()),
            SystemClock(),
            random.Random(),
        )
        self._thread = threading.Thread(
            target=supervisor.run, args=(function,), name=name, daemon=True
        )

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping.set()
        self.join(self._join_s)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def join(self, timeout_s: float | None = None) -> None:
        """Wait until the thread has ended, for at most ``timeout_s`` seconds."""
        if self._thread.ident is not None:
            self._thread.join(timeout_s)
