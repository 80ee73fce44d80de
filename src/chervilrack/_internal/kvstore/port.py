"""Interface to the platform's service: compare-and-swap, leases, watches and the VM list.

Keys and values follow etcd v3: each write gets a revision from one counter, and each key carries
the revision of its last change (``mod_revision``), 0 for an absent key. A store that comes back
from an older copy of itself begins a new era, in which revisions are given out again; other stores
are always in era 0.
"""

from collections.abc import Iterator, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction: ``key`` was last changed at ``mod_revision``; 0 means absent."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of one key; without a lease (0) the key stays until it is deleted."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Outcome of a transaction and the store's revision after it, in an era of the store."""

    succeeded: bool
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Items of a range, ordered by key, and the store's revision and era when they were read."""

    items: tuple[KeyValue, ...]
    revision: int
    era: int = 0


class ChangeKind(Enum):
    """Kind of a change that a watch reports."""

    PUT = "put"
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class Change:
    """One change that a watch reports; the value of a deleted key is empty."""

    kind: ChangeKind
    item: KeyValue


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes of one or more revisions of an era; resume a broken watch at ``revision + 1``."""

    changes: tuple[Change, ...]
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs.

    The list lags behind the actual state, but a VM that is listed as gone no longer exists.
    """

    live: frozenset[str]
    leaving: frozenset[str]
    gone: frozenset[str]


class KeyValueStore(Protocol):
    """Client of a key-value service with compare-and-swap, leases and watches.

    Every method may raise PlatformUnavailable or PlatformOverloaded; the call was then not
    applied. Writes may raise PlatformOutcomeUnknown; the write may then have been applied.
    ``watch`` may raise WatchCompacted.
    """

    def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it is absent."""

    def range(self, prefix: str) -> RangeResult:
        """Return all keys that begin with ``prefix``."""

    def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> TxnResult:
        """Apply all writes if every comparison holds; at most 128 writes in a call."""

    def lease_grant(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""

    def lease_keepalive(self, lease: int) -> timedelta:
        """Renew a lease; return its remaining time, zero if it has expired."""

    def lease_revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(
        self, prefix: str, from_revision: int, era: int | None = None
    ) -> AbstractContextManager[Iterator[WatchBatch | None]]:
        """Open a watch of the keys that begin with ``prefix``, from ``from_revision`` on.

        With ``era``, the revision is one of that era, and the watch ends as compacted when the
        store is in a newer one.

        The iterator yields batches of changes, and None at least once a second while there are
        none.
        """


class PlatformService(KeyValueStore, Protocol):
    """Client of the platform's service: its key-value service and its list of VMs."""

    def list_vms(self) -> VmList:
        """Return the list of live, leaving and recently gone VMs."""
