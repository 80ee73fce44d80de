"""Periodic actions, each on its own thread, with a measure of how late they run."""

import logging
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType
from typing import Self

logger = logging.getLogger(__name__)


class PeriodicAction:
    """Runs an action at a fixed interval until the context ends.

    ``observe_delay`` receives the seconds by which each run started late; a heartbeat that is
    late under load shows there before confirmations are lost.
    """

    def __init__(
        self,
        name: str,
        interval: timedelta,
        action: Callable[[], None],
        observe_delay: Callable[[float], None] | None = None,
    ) -> None:
        self._interval = interval.total_seconds()
        self._action = action
        self._observe_delay = observe_delay
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

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
        self._thread.join(timeout=5)

    def _run(self) -> None:
        due = time.monotonic() + self._interval
        while not self._stopping.wait(max(0.0, due - time.monotonic())):
            late = time.monotonic() - due
            if self._observe_delay is not None:
                self._observe_delay(max(0.0, late))
            try:
                self._action()
            except Exception:
                logger.exception("node: periodic action %s failed", self._thread.name)
            # After a pause the missed runs are skipped, not made up for.
            due = max(due + self._interval, time.monotonic())
