"""Eras of the platform's store as its answers state them."""

import logging
import threading
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Protocol

from chervilrack._internal.exceptions import PlatformUnavailable
from chervilrack._internal.kvstore.port import KeyValueStore

logger = logging.getLogger(__name__)

MAX_ERA = 2**63 - 1
# A store that states nothing but an older era for this time is used again: its header is wrong.
FALLEN_LIMIT = timedelta(seconds=3)
# Least time between two log lines on one kind of odd era.
LOG_INTERVAL = timedelta(minutes=1)


class EraEvent(Enum):
    """What is counted about the eras of the store; the value is the label in metrics."""

    RETURNED = "returned from a copy"
    OLDER_ANSWER = "older answer dropped"
    OLDER_MESSAGE = "older message dropped"
    MIXED_LISTING = "listing of two eras dropped"
    MISSING = "era missing"
    MALFORMED = "era not a number"
    FELL = "era fell"
    SKIPPED = "era rose by more than one"


class OlderEra(PlatformUnavailable):
    """An answer belongs to an older era of the store than one that was already seen."""


class StoreEras:
    """The newest era of a store, from the eras that its answers state; thread-safe.

    ``on_event`` is called for what is counted. An answer without a readable era belongs to the era
    that was seen last, 0 before the first one.
    """

    def __init__(self, on_event: Callable[[EraEvent], None] = lambda event: None) -> None:
        self.on_event = on_event
        self._lock = threading.Lock()
        self._current = 0
        self._fallen_since: timedelta | None = None
        self._logged_at: dict[EraEvent, timedelta] = {}

    @property
    def current(self) -> int:
        """Newest era of the store's answers, 0 if none has stated one."""
        with self._lock:
            return self._current

    def observe(self, stated: str | None, begun: int, now: timedelta) -> int:
        """Return the era of an answer, from the text that it states.

        ``begun`` is the value of ``current`` when the call was made. Raises OlderEra if the answer
        is to be dropped.
        """
        with self._lock:
            era = _parse(stated)
            if era is None:
                return self._observe_unstated(stated, begun, now)
            if era < self._current:
                return self._observe_older(era, begun, now)
            self._fallen_since = None
            if era > self._current:
                if self._current and era > self._current + 1:
                    self._report(
                        EraEvent.SKIPPED, now, f"rose from {self._current} to {era} in one step"
                    )
                logger.info("store: era %d begins, after era %d", era, self._current)
                self._current = era
            return era

    def count(self, event: EraEvent) -> None:
        """Count an event."""
        self.on_event(event)

    def _observe_unstated(self, stated: str | None, begun: int, now: timedelta) -> int:
        if stated is not None:
            self._report(EraEvent.MALFORMED, now, f"{stated[:40]!r} is not a number")
        elif self._current:
            self._report(EraEvent.MISSING, now, f"an answer states none after {self._current}")
        if begun < self._current:
            raise self._older(f"an answer to a call of era {begun}")
        return self._current

    def _observe_older(self, era: int, begun: int, now: timedelta) -> int:
        if begun < self._current:
            raise self._older(f"an answer of era {era}")
        if self._fallen_since is None:
            self._fallen_since = now
        self._report(EraEvent.FELL, now, f"fell from {self._current} to {era}")
        if now - self._fallen_since < FALLEN_LIMIT:
            raise self._older(f"an answer of era {era}")
        return self._current

    def _older(self, what: str) -> OlderEra:
        logger.info("store: %s is dropped in era %d", what, self._current)
        self.on_event(EraEvent.OLDER_ANSWER)
        return OlderEra(f"{what} came in era {self._current}")

    def _report(self, event: EraEvent, now: timedelta, detail: str) -> None:
        """Count an odd era, and log it unless its kind was logged a short time ago."""
        self.on_event(event)
        logged_at = self._logged_at.get(event)
        if logged_at is None or now - logged_at >= LOG_INTERVAL:
            self._logged_at[event] = now
            logger.warning("store: odd era: %s", detail)


class EraStore(KeyValueStore, Protocol):
    """Client of a store that may come back from an older copy of itself."""

    @property
    def eras(self) -> StoreEras:
        """Eras that the store's answers have stated."""


def _parse(stated: str | None) -> int | None:
    """Return the number that an answer states, None if it is not a whole number in range."""
    if stated is None or not (stated.isascii() and stated.isdigit() and len(stated) < 20):
        return None
    era = int(stated)
    return era if era <= MAX_ERA else None
