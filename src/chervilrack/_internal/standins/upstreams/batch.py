"""Slots of a continuous batch, given to waiting requests by priority."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from chervilrack._internal.standins.upstreams.server import ClientLeft


class Batch:
    """At most ``slots`` requests at a time; a higher priority goes first, then the older one."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._active = 0
        self._waiting: list[tuple[int, int]] = []
        self._numbers = itertools.count()
        self._changed = threading.Condition()

    @property
    def active(self) -> int:
        """Requests in the batch."""
        return self._active

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    @contextmanager
    def slot(self, priority: int, left: Callable[[], bool]) -> Iterator[None]:
        """Wait for a slot; raises ClientLeft as soon as ``left`` is true while waiting."""
        ticket = (-priority, next(self._numbers))
        with self._changed:
            heapq.heappush(self._waiting, ticket)
            while self._active >= self._slots or self._waiting[0] != ticket:
                self._changed.wait(0.02)
                if left():
                    self._waiting.remove(ticket)
                    heapq.heapify(self._waiting)
                    self._changed.notify_all()
                    raise ClientLeft
            heapq.heappop(self._waiting)
            self._active += 1
            self._changed.notify_all()
        try:
            yield
        finally:
            with self._changed:
                self._active -= 1
                self._changed.notify_all()


def pace(next_at: float) -> None:
    """Sleep until ``next_at`` of the monotonic clock."""
    rest = next_at - time.monotonic()
    if rest > 0:
        time.sleep(rest)
