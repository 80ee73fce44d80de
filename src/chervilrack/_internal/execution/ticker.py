"""Thread that ticks the scheduler, often while there is work and rarely otherwise."""

import threading
from collections.abc import Callable
from typing import Self

from chervilrack._internal.common.supervision import FAILURES, SupervisedThread

_TICK_INTERVAL_S = 0.01
# Ticks every 10 ms cost more than one per cent of a core, so an idle node ticks less often.
_IDLE_TICK_INTERVAL_S = 1.0


class Ticker:
    """Context manager that calls ``tick`` about every 10 ms, or every second while ``idle()``."""

    def __init__(self, tick: Callable[[], None], idle: Callable[[], bool]) -> None:
        self._tick = tick
        self._idle = idle
        self._stopping = threading.Event()
        self._awake = threading.Event()
        self._thread = SupervisedThread("ticker", self._run, self._stopping)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_exception: object) -> None:
        self._stopping.set()
        self._awake.set()
        self._thread.join()

    def wake(self) -> None:
        """Return to the short interval; to be called after work has been added."""
        if not self._awake.is_set():
            self._awake.set()

    def _run(self) -> None:
        while not self._stopping.wait(_TICK_INTERVAL_S):
            try:
                self._tick()
            except Exception as error:
                # The thread has to continue: without ticks, no late request would be ended.
                FAILURES.record("ticker", error, "a tick")
            if self._idle():
                self._awake.clear()
                if self._idle():  # work may have been added before the flag was cleared
                    self._awake.wait(_IDLE_TICK_INTERVAL_S)
