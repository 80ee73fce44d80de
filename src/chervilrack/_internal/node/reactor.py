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
    """A state machine that turns events into effects and does no input or output itself."""

    def handle(self, event: Any, now: timedelta) -> Sequence[Any]:
        """Process an event and return the resulting effects."""


class UnhandledEffect(ChervilrackError):
    """A core returned an effect whose type has no handler."""


class Reactor:
    """Serialises events and effects of the cores of one node.

    Effect handlers run under the lock and must not block. Handlers that need input or output leave
    it to another thread. Events that a handler submits are queued until the effects that are being
    carried out are finished.
    """

    def __init__(self, clock: Clock, lock: threading.RLock) -> None:
        self._clock = clock
        self._lock = lock
        self._handlers: dict[type, Callable[[Any], None]] = {}
        self._queued_events: deque[tuple[DecisionCore, Any]] = deque()
        self._is_processing = False
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of events and effects that raised an exception; each is a fault of this node."""
        return self._failures

    @property
    def lock(self) -> threading.RLock:
        """Lock that protects all cores of the node."""
        return self._lock

    def set_handler(self, effect_type: type, handler: Callable[[Any], None]) -> None:
        """Set the handler of one type of effect."""
        self._handlers[effect_type] = handler

    def submit(self, core: DecisionCore, event: Any) -> None:
        """Pass an event to a core and carry out the resulting effects."""
        with self._lock:
            self._queued_events.append((core, event))
            if self._is_processing:
                return
            self._is_processing = True
            try:
                self._process_events()
            finally:
                self._is_processing = False

    def _process_events(self) -> None:
        while self._queued_events:
            core, event = self._queued_events.popleft()
            try:
                effects = core.handle(event, self._clock.monotonic())
            except Exception:
                # A failed event must not stop the heartbeats of this node.
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
            # The remaining effects concern other nodes and requests, so they are still carried out.
            self._failures += 1
            logger.exception("node: carrying out %s failed", type(effect).__name__)
