"""Decides which node writes which record of a blocked trait to the platform's store, and when.

All nodes block a trait on the same evidence. One of them writes the record, the others only if it
has not appeared after a while. No input or output; times are monotonic times of this node.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.hashing import rendezvous_order
from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.quarantine.records import (
    MAX_PROBES,
    BlockRecord,
    RecordState,
    block_record,
    encode_record,
    record_name,
)
from chervilrack._internal.quarantine.state import Suspect


@dataclass(frozen=True, slots=True)
class ArchiveSettings:
    """Bounds of the records in the store."""

    # Callers choose the parts of their prompts. Records of one sender never fill all places.
    max_records: int = 64
    max_records_per_sender: int = 16
    max_bytes: int = 4096
    # Time after which the next node in order writes a record that has not appeared.
    rank_delay: timedelta = timedelta(milliseconds=250)
    # Time until a write that failed is tried again.
    retry_delay: timedelta = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """A record to be written if its key was last changed at ``revision``, 0 for an absent key.

    The revision is one of ``era``, as is the absence of the key.
    """

    record: BlockRecord
    value: bytes
    revision: int
    era: int = 0


class BlockArchive:
    """Records of blocked traits as one node knows them, and what it has to write."""

    def __init__(self, node: NodeId, settings: ArchiveSettings | None = None) -> None:
        self._node = node
        self.settings = settings or ArchiveSettings()
        self._stored: dict[str, tuple[BlockRecord, int]] = {}
        # Era of the store that the records and their revisions belong to.
        self._era = 0
        # Names of the records that were known before that era.
        self._before_return: frozenset[str] = frozenset()
        # When the need of a write was noticed first, or when a failed one is to be repeated.
        self._noticed: dict[str, timedelta] = {}

    @property
    def era(self) -> int:
        """Era of the store that the records and their revisions belong to."""
        return self._era

    def begin_era(self, era: int) -> None:
        """Forget all records: those of a later era are observed next."""
        self._era = era
        self._before_return = frozenset(self._stored)
        self._stored.clear()

    def is_rewrite(self, name: str) -> bool:
        """Whether a record was known before the store came back from a copy."""
        return name in self._before_return

    def observe(self, name: str, record: BlockRecord | None, revision: int) -> None:
        """Record what the store holds under a name; None if the record has ended.

        A revision that is older than the known one is ignored.
        """
        if revision < self._revision(name):
            return
        if record is None:
            self._stored.pop(name, None)
        else:
            self._stored[name] = (record, revision)

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget the records that a listing of the store does not hold."""
        listed = set(names)
        self._stored = {name: item for name, item in self._stored.items() if name in listed}

    def postpone(self, name: str, now: timedelta) -> None:
        """Try a write that failed again later."""
        self._noticed[name] = now + self.settings.retry_delay

    def due_writes(
        self, suspects: Sequence[Suspect], nodes: Sequence[NodeId], now: timedelta
    ) -> tuple[list[RecordWrite], timedelta | None]:
        """Return the writes that this node has to make, and the time at which more may be due.

        ``nodes`` are the nodes that may write, this one included.
        """
        needed = {
            record_name(suspect.service, suspect.trait): suspect
            for suspect in suspects
            if self._needs_write(suspect)
        }
        self._noticed = {name: self._noticed.get(name, now) for name in needed}
        writes: list[RecordWrite] = []
        times: list[timedelta] = []
        for name, suspect in needed.items():
            rank = rendezvous_order(name, nodes).index(self._node)
            due = self._noticed[name] + rank * self.settings.rank_delay
            if due > now:
                times.append(due)
                continue
            record = block_record(suspect, now)
            value = encode_record(record)
            if len(value) <= self.settings.max_bytes:
                writes.append(RecordWrite(record, value, self._revision(name), self._era))
        return writes, min(times, default=None)

    def _revision(self, name: str) -> int:
        return self._stored[name][1] if name in self._stored else 0

    def _needs_write(self, suspect: Suspect) -> bool:
        stored = self._stored.get(record_name(suspect.service, suspect.trait))
        is_recorded = stored is not None and stored[0].state is RecordState.BLOCKED
        if suspect.blocked_at is None:
            return suspect.was_blocked and is_recorded
        if stored is None or not is_recorded:
            return self._has_room(suspect)
        probes = min(suspect.probes, MAX_PROBES)
        return stored[0].probes < probes or suspect.common < frozenset(stored[0].common)

    def _has_room(self, suspect: Suspect) -> bool:
        """Whether the record of a further trait keeps the bounds."""
        blocked = [
            record for record, _ in self._stored.values() if record.state is RecordState.BLOCKED
        ]
        same_sender = [
            record
            for record in blocked
            if suspect.senders and suspect.senders <= frozenset(record.common)
        ]
        return (
            len(blocked) < self.settings.max_records
            and len(same_sender) < self.settings.max_records_per_sender
        )
