"""Synchronisation with the store: lists and watches its keys and registers this node."""

import logging
import random
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType
from typing import Protocol, Self

from chervilrack._internal.changefeed.limits import ApplyLimits
from chervilrack._internal.common.positions import StorePosition
from chervilrack._internal.common.supervision import SupervisedThread, handling
from chervilrack._internal.exceptions import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformRefused,
    WatchCompacted,
)
from chervilrack._internal.kvstore.eras import EraStore
from chervilrack._internal.kvstore.port import Change, KeyValue, Put

logger = logging.getLogger(__name__)

# Exponential backoff between failed calls. It starts low, because a change has to take effect
# within two seconds, and is high enough that hundreds of nodes do not overload a recovering store.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# A node's registration survives a pause of its process of up to this length.
LEASE_TTL = timedelta(seconds=12)
KEEPALIVE_INTERVAL_S = 4.0
# After the store has come back from a copy, all nodes register again within this time.
REGISTRATION_SPREAD_S = 2.0
# Delay before a watch call that follows a change, per watching node. Every change ends the watch
# calls of all these nodes, and the registrations of a starting fleet arrive one by one.
CHANGE_DELAY_PER_NODE_S = 0.005


class StoreListener(Protocol):
    """Receives the contents and the availability of the store.

    Methods are called by one thread at a time.
    """

    def on_listing(self, items: tuple[KeyValue, ...], revision: int, era: int) -> None:
        """Handle a listing of all keys at a revision of an era."""

    def on_changes(self, changes: tuple[Change, ...], revision: int, era: int) -> None:
        """Handle the changes up to a revision of an era."""

    def on_available(self) -> None:
        """Handle a successful call to the store."""

    def on_unchanged(self) -> None:
        """Handle an answer that there is no change after ``position``."""

    @property
    def position(self) -> StorePosition:
        """Position in the store up to which all changes have been applied."""

    @property
    def watching_nodes(self) -> int:
        """Number of nodes, known to this one, that watch the store."""

    def must_watch(self) -> bool:
        """Whether this node has to watch the store, since no other node passes its changes on."""

    def must_list(self) -> bool:
        """Whether a node that has to watch the store lists the keys first.

        It lacks large changes, of which a watch returns each and a listing the newest.
        """

    def wait_for_feed(self) -> None:
        """Wait for a short time, less if ``must_watch`` may have become true."""

    def on_unavailable(self, reason: str) -> None:
        """Handle a failed call to the store."""


class StoreSync:
    """Threads that watch the store and keep this node registered; use as a context manager.

    They go on after any exception. After one, the watching thread lists the keys again.

    ``registration`` returns the key and value under which the node registers itself, and
    ``on_registered_again`` is called when it had to do so because the store had come back from a
    copy. ``limits`` bound the pause before the watch call that follows a change.
    """

    def __init__(
        self,
        store: EraStore,
        listener: StoreListener,
        registration: Callable[[], tuple[str, bytes]],
        rng: random.Random,
        limits: ApplyLimits | None = None,
        on_registered_again: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._listener = listener
        self._registration = registration
        self._rng = rng
        self._max_change_delay_s = (limits or ApplyLimits()).change_delay.total_seconds()
        self._on_registered_again = on_registered_again
        self._stopping = threading.Event()
        # Set when the registration may be gone, and when the threads are to end.
        self._registration_wanted = threading.Event()
        # Whether the store has answered the last watch.
        self._has_watched = False
        self._threads = [
            SupervisedThread("store-watch", self._run_watch, self._stopping),
            SupervisedThread("store-lease", self._run_registration, self._stopping),
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
        self._registration_wanted.set()

    def _run_watch(self) -> None:
        failures = 0
        # Listings without an answer to a watch call after them.
        listings = 0
        # Whether the next listing is the first one, or follows a failure.
        is_anew = True
        while not self._stopping.is_set():
            try:
                if self._listener.must_watch():
                    before = self._listener.position
                    listing = self._store.range("")
                    self._listener.on_available()
                    with handling(f"the listing of revision {listing.revision}"):
                        self._listener.on_listing(listing.items, listing.revision, listing.era)
                    if is_anew:
                        self._registration_wanted.set()
                    elif self._listener.position == before:
                        # The listing did not have what this node lacks.
                        self._stopping.wait(self._backoff(1))
                failures = 0
                is_anew = False
                self._follow_changes()
                continue
            except WatchCompacted as error:
                is_anew = True
                logger.info("store: %s", error)
                listings = 0 if self._has_watched else listings + 1
                if listings > 1:
                    self._stopping.wait(self._backoff(listings - 1))
            except PlatformError as error:
                is_anew = True
                failures += 1
                self._listener.on_unavailable(str(error))
                self._stopping.wait(self._backoff(failures))

    def _follow_changes(self) -> None:
        """Watch the store while this node has to; other nodes pass the changes on otherwise.

        Returns when the node has to list the keys first.
        """
        while not self._stopping.is_set():
            if self._listener.must_watch():
                if self._listener.must_list():
                    return
                self._watch(self._listener.position)
            else:
                self._listener.wait_for_feed()

    def _watch(self, position: StorePosition) -> None:
        self._has_watched = False
        with self._store.watch("", position.revision + 1, position.era) as batches:
            for batch in batches:
                self._has_watched = True
                self._listener.on_available()
                if batch is None:
                    self._listener.on_unchanged()
                else:
                    with handling(f"the changes up to revision {batch.revision}"):
                        self._listener.on_changes(batch.changes, batch.revision, batch.era)
                    self._stopping.wait(self._change_delay())
                if self._stopping.is_set() or not self._listener.must_watch():
                    return

    def _run_registration(self) -> None:
        # The lease is one of the era: in a later one, its number may be that of another lease.
        lease, era = 0, 0
        failures = 0
        while not self._stopping.is_set():
            try:
                is_return = lease != 0 and self._store.eras.current != era
                if is_return:
                    self._stopping.wait(self._rng.uniform(0.0, REGISTRATION_SPREAD_S))
                    lease = 0
                if lease == 0 or self._store.lease_keepalive(lease) <= timedelta(0):
                    lease, era = 0, self._store.eras.current
                    lease = self._register()
                    if is_return:
                        self._on_registered_again()
                failures = 0
                self._wait_in_era(era, KEEPALIVE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            except (PlatformOutcomeUnknown, PlatformRefused) as error:
                # The write is repeated under a new lease; the old lease expires by itself.
                logger.info("store: outcome of the registration is unknown: %s", error)
                lease = 0
                failures += 1
                self._stopping.wait(self._backoff(failures))
            except PlatformError as error:
                logger.info("store: registration failed and will be retried: %s", error)
                failures += 1
                self._stopping.wait(self._backoff(failures) * 2)

    def _register(self) -> int:
        """Register the node under a new lease, and return the lease."""
        granted = self._store.lease_grant(LEASE_TTL)
        key, value = self._registration()
        self._store.txn((), (Put(key, value, granted),))
        logger.info("store: registered under %s", key)
        return granted

    def _wait_in_era(self, era: int, seconds: float) -> None:
        """Wait for a time, but only until the store is seen in another era."""
        end = time.monotonic() + seconds
        while not self._stopping.is_set() and self._store.eras.current == era:
            left = end - time.monotonic()
            if left <= 0:
                return
            self._registration_wanted.wait(left)
            self._registration_wanted.clear()

    def _change_delay(self) -> float:
        """Return the seconds in which further changes collect before the next watch call."""
        delay = CHANGE_DELAY_PER_NODE_S * self._listener.watching_nodes
        return min(self._max_change_delay_s, delay)

    def _backoff(self, failures: int) -> float:
        """Return the seconds to wait after ``failures`` failed calls in a row, with jitter."""
        upper = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * float(1 << min(failures - 1, 8)))
        return upper * self._rng.uniform(0.5, 1.0)
