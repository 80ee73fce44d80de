"""Signals of a daemon process, received by its main thread."""

import signal
from datetime import timedelta

_STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
_HANDLED_SIGNALS = _STOP_SIGNALS | {signal.SIGHUP}


class ProcessSignals:
    """Receives the signals to stop (SIGTERM, SIGINT) and to reload (SIGHUP).

    The signals are blocked in all threads and stay pending until ``next`` is called. Python signal
    handlers are not used: they run only in the main thread, so a signal that the kernel delivers
    to another thread could wait forever. Create the instance before any thread starts.
    """

    def __init__(self) -> None:
        # Threads that are started later inherit the signal mask.
        signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)

    def next(self, timeout: timedelta | None = None) -> int | None:
        """Wait for a signal and return its number, or None if ``timeout`` passes first."""
        if timeout is None:
            return signal.sigwait(_HANDLED_SIGNALS)
        info = signal.sigtimedwait(_HANDLED_SIGNALS, timeout.total_seconds())
        return info.si_signo if info is not None else None

    def is_stop_signal(self, number: int | None) -> bool:
        """Return whether ``number`` is a signal to stop."""
        return number in _STOP_SIGNALS
