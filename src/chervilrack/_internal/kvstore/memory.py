"""Adapter of the platform's service that keeps everything in memory; for tests."""

import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from datetime import timedelta
from typing import TypeVar

from chervilrack._internal.common.clock import Clock, SystemClock
from chervilrack._internal.exceptions import (
    PlatformOutcomeUnknown,
    PlatformRefused,
    PlatformUnavailable,
)
from chervilrack._internal.kvstore.port import (
    Compare,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
    VmList,
    WatchBatch,
)
from chervilrack._internal.kvstore.registry import PLATFORM_ADAPTERS, PlatformSettings
from chervilrack._internal.kvstore.store import InMemoryKeyValueStore, prefix_end

T = TypeVar("T")

WATCH_IDLE = timedelta(seconds=1)


class MemoryPlatform:
    """PlatformService in memory with fault controls; safe for use by several threads."""

    def __init__(self, clock: Clock | None = None, watch_idle: timedelta = WATCH_IDLE) -> None:
        self._store = InMemoryKeyValueStore()
        self._clock = clock or SystemClock()
        self._watch_idle = watch_idle
        self._changed = threading.Condition()
        self._available = True
        self._lost_responses = 0
        self._lost_requests = 0
        self._watch_generation = 0
        self._vms = VmList(frozenset(), frozenset(), frozenset())

    def set_available(self, available: bool) -> None:
        """Make all calls fail as not applied, or work again."""
        with self._changed:
            self._available = available
            self._changed.notify_all()

    def lose_responses(self, writes: int) -> None:
        """Apply the next writes but raise PlatformOutcomeUnknown for them."""
        self._lost_responses = writes

    def lose_requests(self, writes: int) -> None:
        """Do not apply the next writes and raise PlatformOutcomeUnknown for them."""
        self._lost_requests = writes

    def break_watches(self) -> None:
        """End all open watches with PlatformUnavailable."""
        with self._changed:
            self._watch_generation += 1
            self._changed.notify_all()

    def expire_leases(self) -> None:
        """End all leases, whatever time they have left."""
        with self._changed:
            self._store.expire_leases(None)
            self._changed.notify_all()

    def compact(self) -> None:
        """Drop the history of changes, so that watches of earlier revisions fail."""
        with self._changed:
            self._store.compact()
            self._changed.notify_all()

    def set_vms(self, vms: VmList) -> None:
        """Set the list of VMs."""
        with self._changed:
            self._vms = vms

    def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it is absent."""
        with self._changed:
            self._check()
            return next(iter(self._store.range(key.encode()).items), None)

    def range(self, prefix: str) -> RangeResult:
        """Return all keys that begin with ``prefix``."""
        with self._changed:
            self._check()
            start = prefix.encode()
            return self._store.range(start, prefix_end(start))

    def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> TxnResult:
        """Apply all writes if every comparison holds."""
        return self._write(lambda: self._store.txn(compares, puts, deletes))

    def lease_grant(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""
        return self._write(lambda: self._store.lease_grant(ttl, self._clock.monotonic()))

    def lease_keepalive(self, lease: int) -> timedelta:
        """Renew a lease; return its remaining time, zero if it has expired."""
        return self._write(lambda: self._store.lease_keepalive(lease, self._clock.monotonic()))

    def lease_revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        if not self._write(lambda: self._store.lease_revoke(lease)):
            raise PlatformRefused("requested lease not found")

    @contextmanager
    def watch(self, prefix: str, from_revision: int) -> Iterator[Iterator[WatchBatch | None]]:
        """Open a watch; it yields batches, and None when idle."""
        with self._changed:
            self._check()
            generation = self._watch_generation
        yield self._batches(prefix.encode(), from_revision, generation)

    def list_vms(self) -> VmList:
        """Return the list of VMs."""
        with self._changed:
            self._check()
            return self._vms

    def _batches(
        self, start: bytes, from_revision: int, generation: int
    ) -> Iterator[WatchBatch | None]:
        following = from_revision
        while True:
            with self._changed:
                batch = self._next_batch(start, following, generation)
                if not batch.changes:
                    self._changed.wait(self._watch_idle.total_seconds())
                    batch = self._next_batch(start, following, generation)
            # Empty batches count too, so that compaction of other keys' changes does no harm.
            following = batch.revision + 1
            yield batch if batch.changes else None

    def _next_batch(self, start: bytes, following: int, generation: int) -> WatchBatch:
        self._check()
        if generation != self._watch_generation:
            raise PlatformUnavailable("the watch was broken")
        return self._store.changes(start, prefix_end(start), following)

    def _write(self, apply: Callable[[], T]) -> T:
        with self._changed:
            self._check()
            if self._lost_requests:
                self._lost_requests -= 1
                raise PlatformOutcomeUnknown("the request was lost")
            outcome = apply()
            self._changed.notify_all()
            if self._lost_responses:
                self._lost_responses -= 1
                raise PlatformOutcomeUnknown("the response was lost")
            return outcome

    def _check(self) -> None:
        if not self._available:
            raise PlatformUnavailable("the platform service is unavailable")
        self._store.expire_leases(self._clock.monotonic())


@PLATFORM_ADAPTERS.register("memory")
def _from_settings(settings: PlatformSettings) -> MemoryPlatform:
    return MemoryPlatform()
