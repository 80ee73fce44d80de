"""Key-value store with etcd v3's semantics, shared by the in-memory adapter and the stand-in.

The store has no thread, lock or clock; callers serialise access and pass the current time.
"""

import bisect
import copy
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.exceptions import PlatformRefused, WatchCompacted
from chervilrack._internal.kvstore.port import (
    Change,
    ChangeKind,
    Compare,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
    WatchBatch,
)

MAX_WRITES = 128  # etcd's default for operations in one transaction
MAX_VALUE_BYTES = 1_000_000
# Older changes are compacted, which bounds the memory use of a long run.
KEPT_CHANGES = 20_000


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with ``prefix``, or a zero byte if there is none."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1]) if trimmed else b"\0"


def check_writes(puts: Sequence[Put], deletes: Sequence[str]) -> None:
    """Raise PlatformRefused for writes that the service would refuse as invalid."""
    if len(puts) + len(deletes) > MAX_WRITES:
        raise PlatformRefused(f"a transaction may have at most {MAX_WRITES} writes")
    keys = [put.key for put in puts] + list(deletes)
    if len(set(keys)) != len(keys):
        raise PlatformRefused("a transaction may write each key only once")
    for put in puts:
        if len(put.value) > MAX_VALUE_BYTES:
            raise PlatformRefused(
                f"value of '{put.key}' has {len(put.value)} bytes; at most {MAX_VALUE_BYTES} fit"
            )


@dataclass(slots=True)
class _Lease:
    ttl: timedelta
    expires_at: timedelta
    keys: set[str] = field(default_factory=set)


class InMemoryKeyValueStore:
    """Ordered keys, one revision counter, leases and a history of changes for watches."""

    def __init__(self) -> None:
        self._revision = 1  # an empty etcd store starts at revision 1
        self._compacted = 0
        self._items: dict[str, KeyValue] = {}
        self._sorted_keys: list[bytes] = []
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._history: list[Change] = []

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._revision

    @property
    def compacted(self) -> int:
        """Revision up to which changes are no longer kept."""
        return self._compacted

    def range(self, start: bytes, end: bytes | None = None) -> RangeResult:
        """Return the items from ``start`` up to but excluding ``end``.

        With ``end`` None only the item ``start`` is returned; a zero byte means no upper bound.
        """
        if end is None:
            item = self._items.get(start.decode())
            return RangeResult((item,) if item else (), self._revision)
        first = bisect.bisect_left(self._sorted_keys, start)
        last = (
            len(self._sorted_keys) if end == b"\0" else bisect.bisect_left(self._sorted_keys, end)
        )
        items = tuple(self._items[key.decode()] for key in self._sorted_keys[first:last])
        return RangeResult(items, self._revision)

    def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str]
    ) -> TxnResult:
        """Apply all writes at one new revision if every comparison holds."""
        check_writes(puts, deletes)
        for put in puts:
            if put.lease and put.lease not in self._leases:
                raise PlatformRefused("requested lease not found")
        for compare in compares:
            item = self._items.get(compare.key)
            if (item.mod_revision if item else 0) != compare.mod_revision:
                return TxnResult(False, self._revision)
        present = [key for key in deletes if key in self._items]
        if puts or present:
            self._write(puts, present)
        return TxnResult(True, self._revision)

    def lease_grant(self, ttl: timedelta, now: timedelta) -> int:
        """Create a lease and return its id."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = _Lease(ttl, now + ttl)
        return lease

    def lease_keepalive(self, lease: int, now: timedelta) -> timedelta:
        """Renew a lease; return its remaining time, zero if it has expired."""
        record = self._leases.get(lease)
        if record is None:
            return timedelta(0)
        record.expires_at = now + record.ttl
        return record.ttl

    def lease_revoke(self, lease: int) -> bool:
        """End a lease and delete its keys; return whether it existed."""
        record = self._leases.pop(lease, None)
        if record is None:
            return False
        if record.keys:
            self._write((), sorted(record.keys))
        return True

    def expire_leases(self, now: timedelta | None) -> None:
        """End the leases whose time has passed, or all of them if ``now`` is None."""
        expired = [
            lease
            for lease, record in self._leases.items()
            if now is None or record.expires_at <= now
        ]
        for lease in expired:
            self.lease_revoke(lease)

    def changes(self, start: bytes, end: bytes | None, from_revision: int) -> WatchBatch:
        """Return the changes of a range from ``from_revision`` on, that revision included.

        Revisions begin at 1. Raises WatchCompacted if some changes are no longer kept.
        """
        if from_revision < 1:
            raise PlatformRefused("a watch begins at revision 1 or later")
        if from_revision <= self._compacted:
            raise WatchCompacted(
                f"revision {from_revision} was requested, {self._compacted} is compacted"
            )
        first = bisect.bisect_left(
            self._history, from_revision, key=lambda change: change.item.mod_revision
        )
        changes = tuple(
            change
            for change in self._history[first:]
            if _in_range(change.item.key.encode(), start, end)
        )
        return WatchBatch(changes, self._revision)

    def copy(self) -> "InMemoryKeyValueStore":
        """Return a store with the same contents, history and leases."""
        return copy.deepcopy(self)

    def compact(self, revision: int | None = None) -> None:
        """Drop changes up to ``revision``, by default up to the latest."""
        self._compacted = max(self._compacted, min(revision or self._revision, self._revision))
        self._history = [c for c in self._history if c.item.mod_revision > self._compacted]

    def _write(self, puts: Sequence[Put], deletes: Sequence[str]) -> None:
        self._revision += 1
        for put in puts:
            old = self._items.get(put.key)
            if old is None:
                bisect.insort(self._sorted_keys, put.key.encode())
            else:
                self._detach_from_lease(old)
            if put.lease:
                self._leases[put.lease].keys.add(put.key)
            item = KeyValue(put.key, put.value, self._revision, put.lease)
            self._items[put.key] = item
            self._history.append(Change(ChangeKind.PUT, item))
        for key in deletes:
            self._detach_from_lease(self._items.pop(key))
            del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key.encode())]
            self._history.append(Change(ChangeKind.DELETE, KeyValue(key, b"", self._revision)))
        if len(self._history) > 2 * KEPT_CHANGES:
            self.compact(self._history[-KEPT_CHANGES].item.mod_revision - 1)

    def _detach_from_lease(self, item: KeyValue) -> None:
        if item.lease in self._leases:
            self._leases[item.lease].keys.discard(item.key)


def _in_range(key: bytes, start: bytes, end: bytes | None) -> bool:
    if end is None:
        return key == start
    return key >= start and (end == b"\0" or key < end)
