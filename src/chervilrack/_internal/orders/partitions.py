"""Partitions that this node executes: take-over, records and doubts."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import Epoch
from chervilrack._internal.common.results import ResultCode
from chervilrack._internal.membership.state import DoubtfulEpoch, Process, View
from chervilrack._internal.orders.messages import ReadPartition, RecordsRead
from chervilrack._internal.orders.state import (
    PARTITIONS,
    OrderResult,
    OrderSettings,
    Record,
    RecordState,
    outcome_unknown,
    partition_owner,
    refusal,
)


@dataclass(slots=True)
class Owned:
    """One partition of this node, taken over at the epoch ``since``."""

    since: Epoch
    mod_revision: int
    active: bool = False
    loaded: bool = False
    read_at: timedelta | None = None
    records: dict[str, tuple[Record, int]] = field(default_factory=dict)


class Partitions:
    """Owned partitions. An order runs only in one that is active and loaded."""

    def __init__(self, process: Process, settings: OrderSettings) -> None:
        self._process = process
        self._settings = settings
        self._view: View | None = None
        self._owners: list[Process | None] = [None] * PARTITIONS
        self._owned: dict[int, Owned] = {}
        self._ready_mask = 0
        self._doubts: dict[Epoch, tuple[DoubtfulEpoch, timedelta]] = {}

    @property
    def ready_mask(self) -> int:
        """Bit set of the partitions in which orders may run."""
        return self._ready_mask

    def owner(self, partition: int) -> Process | None:
        """Return the process that executes a partition at the current view."""
        return self._owners[partition]

    def owns(self, partition: int) -> bool:
        """Whether this process executes the partition at the current view."""
        return partition in self._owned

    def ready(self, partition: int) -> bool:
        """Whether earlier owners cannot act any more and their records were read."""
        return bool(self._ready_mask >> partition & 1)

    def adopt(self, view: View, mod_revision: int) -> None:
        """Follow a view; partitions that stay here keep their records.

        If this node has not seen the view before, another node may have owned them meanwhile.
        """
        following = self._view is not None and view.epoch == self._view.epoch + 1
        self._view = view
        before = self._owned if following else {}
        self._owned = {}
        for partition in range(PARTITIONS):
            node = partition_owner(view, partition)
            member = view.member(node) if node is not None else None
            self._owners[partition] = member.process if member else None
            if self._owners[partition] == self._process:
                kept = before.get(partition)
                self._owned[partition] = kept or Owned(view.epoch, mod_revision)
        self._update_ready()

    def activate(self, epoch: Epoch) -> None:
        """Note that no earlier owner is confirmed any more at ``epoch`` or before."""
        for owned in self._owned.values():
            if owned.since <= epoch:
                owned.active = True
        self._update_ready()

    def set_doubts(self, doubts: Iterable[DoubtfulEpoch], now: timedelta) -> None:
        """Replace the doubts; each counts from when it was first seen here."""
        old = self._doubts
        new = {doubt.epoch: doubt for doubt in doubts}
        cleared = [epoch for epoch, (doubt, _) in old.items() if new.get(epoch) != doubt]
        for owned in self._owned.values():
            if any(epoch < owned.since for epoch in cleared):
                owned.loaded = False  # the missing tickets have been written meanwhile
        self._update_ready()
        self._doubts = {
            doubt.epoch: (doubt, old[doubt.epoch][1] if doubt.epoch in old else now)
            for doubt in new.values()
        }

    def doubtful(self, partition: int, now: timedelta) -> bool:
        """Whether an earlier owner may have run orders that have no ticket on the platform."""
        owned = self._owned[partition]
        return any(
            doubt.epoch < owned.since
            and within_horizon(since, now, self._settings.retry_horizon)
            and (doubt.lost or self._held_elsewhere(doubt, partition))
            for doubt, since in self._doubts.values()
        )

    def reads(self, now: timedelta) -> list[ReadPartition]:
        """Return the reads of partitions that are not loaded."""
        if self._ready_mask.bit_count() == len(self._owned):
            return []
        due = [
            number
            for number, owned in self._owned.items()
            if not owned.loaded and (owned.read_at is None or now >= owned.read_at)
        ]
        return [self.read(number, now) for number in due]

    def read(self, partition: int, now: timedelta) -> ReadPartition:
        """Return a read of a partition and note when it may be repeated."""
        owned = self._owned.get(partition)
        if owned is not None:
            owned.read_at = now + self._settings.read_retry
        return ReadPartition(partition)

    def refresh(self, partition: int, now: timedelta) -> list[ReadPartition]:
        """Return a read of a loaded partition unless it was read a moment ago."""
        owned = self._owned.get(partition)
        if owned is None or (owned.read_at is not None and now < owned.read_at):
            return []
        return [self.read(partition, now)]

    def load(self, event: RecordsRead) -> None:
        """Take in a partition's records if they were read after the take-over."""
        owned = self._owned.get(event.partition)
        if owned is not None and event.revision >= owned.mod_revision:
            known = {key: (record, mod) for key, record, mod in event.records}
            for key, (record, mod) in owned.records.items():
                if mod > event.revision:
                    known[key] = (record, mod)  # written here after the read
            owned.records = known
            owned.loaded = True
            self._update_ready()

    def record(self, partition: int, key: str) -> tuple[Record, int] | None:
        """Return a record and its revision, or None."""
        owned = self._owned.get(partition)
        return owned.records.get(key) if owned is not None else None

    def store(self, partition: int, key: str, record: Record, mod_revision: int) -> None:
        """Note a record that was written."""
        owned = self._owned.get(partition)
        if owned is not None and mod_revision >= owned.records.get(key, (record, 0))[1]:
            owned.records[key] = (record, mod_revision)

    def remove(self, partition: int, key: str) -> None:
        """Note that a record was deleted."""
        owned = self._owned.get(partition)
        if owned is not None:
            owned.records.pop(key, None)

    def look_up(self, partition: int, key: str, now: timedelta) -> OrderResult:
        """Return what the records say about an order that is not in progress here."""
        if not self.ready(partition):
            return refusal(ResultCode.NOT_READY, "the partition is being taken over")
        found = self.record(partition, key)
        if found is not None and found[0].result is not None:
            return found[0].result
        if found is not None and found[0].state is RecordState.TICKET:
            return outcome_unknown("its executor did not record an outcome")
        if found is None and self.doubtful(partition, now):
            return outcome_unknown("records of an outage are missing")
        return refusal(ResultCode.UNKNOWN_ORDER, "no order was executed under this key")

    def expired(self, before: int, limit: int) -> list[tuple[str, int]]:
        """Return up to ``limit`` records created before a Unix time, with their revisions."""
        found = (
            (key, mod)
            for owned in self._owned.values()
            if owned.active and owned.loaded
            for key, (record, mod) in owned.records.items()
            if record.created < before
        )
        return [item for item, _ in zip(found, range(limit), strict=False)]

    def _update_ready(self) -> None:
        ready = [number for number, owned in self._owned.items() if owned.active and owned.loaded]
        self._ready_mask = sum(1 << number for number in ready)

    def _held_elsewhere(self, doubt: DoubtfulEpoch, partition: int) -> bool:
        return any(
            holder.partitions >> partition & 1 and holder.process != self._process
            for holder in doubt.holders
        )


def within_horizon(since: timedelta, now: timedelta, horizon: timedelta) -> bool:
    """Whether callers may still repeat an order that ran before ``since``."""
    return now - since <= horizon
