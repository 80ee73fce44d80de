"""In-memory adapter of the platform's service, for tests."""

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
    WatchCompacted,
)
from chervilrack._internal.kvstore.eras import StoreEras
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

# A watch without changes yields None after this time.
WATCH_IDLE = timedelta(seconds=1)


class MemoryPlatform:
    """PlatformService in memory with fault injection; safe for use by several threads."""

    def __init__(self, clock: Clock | None = None, watch_idle: timedelta = WATCH_IDLE) -> None:
        self._store = InMemoryKeyValueStore()
        self._clock = clock or SystemClock()
        self._watch_idle = watch_idle
        self._condition = threading.Condition()
        self._available = True
        self._responses_to_lose = 0
        self._requests_to_lose = 0
        self._watch_generation = 0
        self._copy: InMemoryKeyValueStore | None = None
        self._eras = StoreEras()
        self._vms = VmList(frozenset(), frozenset(), frozenset())

    def set_available(self, available: bool) -> None:
        """Make all calls raise PlatformUnavailable, or end that state."""
        with self._condition:
            self._available = available
            self._condition.notify_all()

    def lose_responses(self, writes: int) -> None:
        """Apply the next ``writes`` writes but raise PlatformOutcomeUnknown for them."""
        self._responses_to_lose = writes

    def lose_requests(self, writes: int) -> None:
        """Raise PlatformOutcomeUnknown for the next ``writes`` writes without applying them."""
        self._requests_to_lose = writes

    def break_watches(self) -> None:
        """End all open watches with PlatformUnavailable."""
        with self._condition:
            self._watch_generation += 1
            self._condition.notify_all()

    def expire_leases(self) -> None:
        """End all leases, regardless of their remaining time."""
        with self._condition:
            self._store.expire_leases(None)
            self._condition.notify_all()

    def compact(self) -> None:
        """Drop the history of changes, so that watches from earlier revisions fail."""
        with self._condition:
            self._store.compact()
            self._condition.notify_all()

    @property
    def eras(self) -> StoreEras:
        """Eras that the store's answers have stated."""
        return self._eras

    def keep_copy(self) -> None:
        """Keep a copy of the store, in place of an earlier one."""
        with self._condition:
            self._copy = self._store.copy()

    def return_from_copy(self) -> None:
        """Come back from the kept copy, in the next era.

        Later writes and leases are gone, and their revisions and numbers are given out again.
        """
        with self._condition:
            if self._copy is None:
                raise ValueError("no copy is kept")
            self._store = self._copy.copy()
            current = self._eras.current
            self._eras.observe(str(current + 1), current, self._clock.monotonic())
            self._watch_generation += 1
            self._condition.notify_all()

    def set_vms(self, vms: VmList) -> None:
        """Set the list of VMs."""
        with self._condition:
            self._vms = vms

    def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it is absent."""
        with self._condition:
            self._check_available()
            return next(iter(self._store.range(key.encode()).items), None)

    def range(self, prefix: str) -> RangeResult:
        """Return all keys that begin with ``prefix``."""
        with self._condition:
            self._check_available()
            start = prefix.encode()
            found = self._store.range(start, prefix_end(start))
            return RangeResult(found.items, found.revision, self._eras.current)

    def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> TxnResult:
        """Apply all writes if every comparison holds."""

        def apply() -> TxnResult:
            result = self._store.txn(compares, puts, deletes)
            return TxnResult(result.succeeded, result.revision, self._eras.current)

        return self._write(apply)

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
    def watch(
        self, prefix: str, from_revision: int, era: int | None = None
    ) -> Iterator[Iterator[WatchBatch | None]]:
        """Open a watch; it yields batches, and None after ``watch_idle`` without changes."""
        with self._condition:
            self._check_available()
            current = self._eras.current
            if era is not None and era != current:
                raise WatchCompacted(f"the store is in era {current}, not in {era}")
            if from_revision > self._store.revision + 1:
                raise WatchCompacted(f"revision {from_revision - 1} was not given out")
            generation = self._watch_generation
        yield self._batches(prefix.encode(), from_revision, generation)

    def list_vms(self) -> VmList:
        """Return the list of VMs."""
        with self._condition:
            self._check_available()
            return self._vms

    def _batches(
        self, start: bytes, from_revision: int, generation: int
    ) -> Iterator[WatchBatch | None]:
        next_revision = from_revision
        while True:
            with self._condition:
                batch = self._next_batch(start, next_revision, generation)
                if not batch.changes:
                    self._condition.wait(self._watch_idle.total_seconds())
                    batch = self._next_batch(start, next_revision, generation)
            # Skips changes of other keys too, so that compacting them does not end this watch.
            next_revision = batch.revision + 1
            yield batch if batch.changes else None

    def _next_batch(self, start: bytes, next_revision: int, generation: int) -> WatchBatch:
        self._check_available()
        if generation != self._watch_generation:
            raise PlatformUnavailable("the watch was broken")
        batch = self._store.changes(start, prefix_end(start), next_revision)
        return WatchBatch(batch.changes, batch.revision, self._eras.current)

    def _write(self, apply: Callable[[], T]) -> T:
        with self._condition:
            self._check_available()
            if self._requests_to_lose:
                self._requests_to_lose -= 1
                raise PlatformOutcomeUnknown("the request was lost")
            outcome = apply()
            self._condition.notify_all()
            if self._responses_to_lose:
                self._responses_to_lose -= 1
                raise PlatformOutcomeUnknown("the response was lost")
            return outcome

    def _check_available(self) -> None:
        if not self._available:
            raise PlatformUnavailable("the platform service is unavailable")
        self._store.expire_leases(self._clock.monotonic())


@PLATFORM_ADAPTERS.register("memory")
def _from_settings(settings: PlatformSettings) -> MemoryPlatform:
    return MemoryPlatform()
