"""Signals of a daemon, taken by its main thread."""

import signal
from datetime import timedelta

_STOP = frozenset((signal.SIGTERM, signal.SIGINT))
_ALL = _STOP | {signal.SIGHUP}


class ProcessSignals:
    """Signals that ask to stop (SIGTERM, SIGINT) or to reload (SIGHUP).

    They are blocked in all threads: with handlers, a signal that the kernel delivers to another
    thread would wait until the main thread runs again, which may be never. Create it before any
    thread starts; a signal that arrives from then on waits until it is asked for.
    """

    def __init__(self) -> None:
        # Threads that start later inherit the mask.
        signal.pthread_sigmask(signal.SIG_BLOCK, _ALL)

    def next(self, timeout: timedelta | None = None) -> int | None:
        """Wait for a signal and return its number, or None after the timeout."""
        if timeout is None:
            return signal.sigwait(_ALL)
        found = signal.sigtimedwait(_ALL, timeout.total_seconds())
        return found.si_signo if found is not None else None

    def is_stop_signal(self, number: int | None) -> bool:
        """Return whether a signal asks to stop."""
        return number in _STOP
