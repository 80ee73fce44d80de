"""Runs decision cores under one lock and carries out their effects in order."""

import logging
import threading
from collections import deque
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, Protocol

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.exceptions import ChervilrackError

logger = logging.getLogger(__name__)


class DecisionCore(Protocol):
    """A core without input or output."""

    def handle(self, event: Any, now: timedelta) -> Sequence[Any]:
        """Take in an event and return effects."""


class UnhandledEffect(ChervilrackError):
    """A core returned an effect that nothing carries out."""


class Reactor:
    """Serialises events and effects of the cores of one node.

    Effect handlers run under the lock and must not block; those that need input or output hand
    it to another thread. A handler may submit further events: they are queued behind the effects
    that are being carried out.
    """

    def __init__(self, clock: Clock, lock: threading.RLock) -> None:
        self._clock = clock
        self._lock = lock
        self._handlers: dict[type, Callable[[Any], None]] = {}
        self._events: deque[tuple[DecisionCore, Any]] = deque()
        self._running = False
        self._failures = 0

    @property
    def failures(self) -> int:
        """Events and effects that raised an exception; more than 0 is a fault of this node."""
        return self._failures

    @property
    def lock(self) -> threading.RLock:
        """Lock that protects all cores of the node."""
        return self._lock

    def on(self, effect: type, handler: Callable[[Any], None]) -> None:
        """Set the handler of one type of effect."""
        self._handlers[effect] = handler

    def submit(self, core: DecisionCore, event: Any) -> None:
        """Give an event to a core and carry out what follows from it."""
        with self._lock:
            self._events.append((core, event))
            if self._running:
                return
            self._running = True
            try:
                self._drain()
            finally:
                self._running = False

    def _drain(self) -> None:
        while self._events:
            core, event = self._events.popleft()
            try:
                effects = core.handle(event, self._clock.monotonic())
            except Exception:
                # One bad event must not stop the heartbeats of this node.
                self._failures += 1
                logger.exception("node: handling %s failed", type(event).__name__)
                continue
            for effect in effects:
                self._carry_out(effect)

    def _carry_out(self, effect: Any) -> None:
        try:
            handler = self._handlers.get(type(effect))
            if handler is None:
                raise UnhandledEffect(f"no handler for {type(effect).__name__}")
            handler(effect)
        except Exception:
            # The effects behind a failed one belong to other nodes and requests.
            self._failures += 1
            logger.exception("node: carrying out %s failed", type(effect).__name__)
