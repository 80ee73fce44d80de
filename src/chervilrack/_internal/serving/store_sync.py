"""Follows the store: lists and watches its keys, and registers this node."""

import logging
import random
import threading
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType
from typing import Protocol, Self

from chervilrack._internal.exceptions import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformRefused,
    WatchCompacted,
)
from chervilrack._internal.kvstore.port import Change, KeyValue, KeyValueStore, Put

logger = logging.getLogger(__name__)

# Pauses between failed calls: short at first, because a change has to be in force within two
# seconds, and never so short that a fleet of hundreds overloads a store that returns.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# A node's registration outlives a pause of its process of this length.
LEASE_TTL = timedelta(seconds=12)
KEEP_INTERVAL_S = 4.0
# Pause between two calls of a watch that brought changes, for each node of the fleet: every change
# ends the watches of all nodes, and the changes of a starting fleet come one by one.
CHANGE_PAUSE_PER_NODE_S = 0.005
# A change has to be in force within two seconds.
LONGEST_CHANGE_PAUSE_S = 0.3


class StoreListener(Protocol):
    """Takes what the store says. Methods are called by one thread at a time."""

    def listed(self, items: tuple[KeyValue, ...], revision: int) -> None:
        """Take all keys at a revision."""

    def changed(self, changes: tuple[Change, ...], revision: int) -> None:
        """Take changes up to a revision."""

    def answered(self) -> None:
        """Note that the store answers."""

    @property
    def fleet_size(self) -> int:
        """Number of nodes that follow the store, as far as this one knows."""

    def silent(self, reason: str) -> None:
        """Note that the store does not answer."""


class StoreSync:
    """Threads that follow the store; use as a context manager."""

    def __init__(
        self,
        store: KeyValueStore,
        listener: StoreListener,
        registration: Callable[[], tuple[str, bytes]],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._listener = listener
        self._registration = registration
        self._rng = rng
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._follow, name="store-watch", daemon=True),
            threading.Thread(target=self._register, name="store-lease", daemon=True),
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping.set()

    def _follow(self) -> None:
        failures = 0
        while not self._stopping.is_set():
            try:
                found = self._store.range("")
                self._listener.answered()
                self._listener.listed(found.items, found.revision)
                failures = 0
                self._watch(found.revision)
            except WatchCompacted as error:
                logger.info("store: %s", error)
            except PlatformError as error:
                failures += 1
                self._listener.silent(str(error))
                self._stopping.wait(self._pause(failures))

    def _watch(self, revision: int) -> None:
        with self._store.watch("", revision + 1) as batches:
            for batch in batches:
                if self._stopping.is_set():
                    return
                self._listener.answered()
                if batch is not None:
                    self._listener.changed(batch.changes, batch.revision)
                    self._stopping.wait(self._change_pause())

    def _register(self) -> None:
        lease = 0
        failures = 0
        while not self._stopping.is_set():
            try:
                if lease == 0 or self._store.lease_keepalive(lease) <= timedelta(0):
                    lease = self._store.lease_grant(LEASE_TTL)
                    key, value = self._registration()
                    self._store.txn((), (Put(key, value, lease),))
                    logger.info("store: registered under %s", key)
                failures = 0
                self._stopping.wait(KEEP_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            except (PlatformOutcomeUnknown, PlatformRefused) as error:
                # A lost write is repeated under a new lease; the old one lapses by itself.
                logger.info("store: registration not certain: %s", error)
                lease = 0
                failures += 1
                self._stopping.wait(self._pause(failures))
            except PlatformError as error:
                logger.info("store: registration waits: %s", error)
                failures += 1
                self._stopping.wait(self._pause(failures) * 2)

    def _change_pause(self) -> float:
        """Return for how long changes are collected before they are asked for."""
        return min(LONGEST_CHANGE_PAUSE_S, CHANGE_PAUSE_PER_NODE_S * self._listener.fleet_size)

    def _pause(self, failures: int) -> float:
        longest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * float(1 << min(failures - 1, 8)))
        return longest * self._rng.uniform(0.5, 1.0)
