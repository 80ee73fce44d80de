"""Periodic actions, each on its own thread, with a measurement of how late each run starts."""

import functools
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType
from typing import Self

from chervilrack._internal.common.supervision import FAILURES, SupervisedThread


class PeriodicAction:
    """Runs an action at a fixed interval until the context ends.

    ``observe_delay``, if given, is called with the seconds by which each run starts late. For
    an action that sends heartbeats, these delays show an overloaded node before its confirmations
    expire.
    """

    def __init__(
        self,
        name: str,
        interval: timedelta,
        action: Callable[[], None],
        observe_delay: Callable[[float], None] | None = None,
    ) -> None:
        self._name = name
        self._interval_s = interval.total_seconds()
        self._action = action
        self._observe_delay = observe_delay
        self._stopping = threading.Event()
        self._thread = SupervisedThread(name, self._run, self._stopping)

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
        self._thread.join(5)

    def _run(self) -> None:
        due = time.monotonic() + self._interval_s
        while not self._stopping.wait(max(0.0, due - time.monotonic())):
            delay = time.monotonic() - due
            if self._observe_delay is not None:
                self._call(functools.partial(self._observe_delay, max(0.0, delay)))
            self._call(self._action)
            # Runs that were missed, such as while the process was paused, are skipped.
            due = max(due + self._interval_s, time.monotonic())

    def _call(self, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception as error:
            FAILURES.record(self._name, error)
