"""Partitions that this node executes: take-over, records and doubtful epochs."""

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
class OwnedPartition:
    """Partition that this node took over at the view of ``since_epoch``.

    ``view_mod_revision`` is the revision of that view in the platform's store. ``active`` tells
    whether all earlier owners can no longer act, ``loaded`` whether the records were read after
    the take-over.
    ``next_read_at`` is the earliest time of the next read, None before the first one.
    """

    since_epoch: Epoch
    view_mod_revision: int
    active: bool = False
    loaded: bool = False
    next_read_at: timedelta | None = None
    records: dict[str, tuple[Record, int]] = field(default_factory=dict)


class Partitions:
    """Partitions and their owners. Orders run only in partitions that are active and loaded."""

    def __init__(self, process: Process, settings: OrderSettings) -> None:
        self._process = process
        self._settings = settings
        self._view: View | None = None
        self._owners: list[Process | None] = [None] * PARTITIONS
        self._owned: dict[int, OwnedPartition] = {}
        self._ready_mask = 0
        self._doubtful_epochs: dict[Epoch, tuple[DoubtfulEpoch, timedelta]] = {}

    @property
    def ready_mask(self) -> int:
        """Bit set of the partitions in which orders may run."""
        return self._ready_mask

    def owner(self, partition: int) -> Process | None:
        """Return the process that executes a partition in the current view."""
        return self._owners[partition]

    def owns(self, partition: int) -> bool:
        """Whether this process executes the partition in the current view."""
        return partition in self._owned

    def is_ready(self, partition: int) -> bool:
        """Whether all earlier owners can no longer act and their records were read."""
        return bool(self._ready_mask >> partition & 1)

    def adopt_view(self, view: View, mod_revision: int) -> None:
        """Assign all partitions to their owners in ``view``; those retained keep their records.

        If this node skipped an epoch, another node may have owned a partition in between. All
        partitions are then taken over anew.
        """
        is_next_epoch = self._view is not None and view.epoch == self._view.epoch + 1
        self._view = view
        previously_owned = self._owned if is_next_epoch else {}
        self._owned = {}
        for partition in range(PARTITIONS):
            node = partition_owner(view, partition)
            member = view.member(node) if node is not None else None
            self._owners[partition] = member.process if member else None
            if self._owners[partition] == self._process:
                retained = previously_owned.get(partition)
                self._owned[partition] = retained or OwnedPartition(view.epoch, mod_revision)
        self._update_ready_mask()

    def activate(self, epoch: Epoch) -> None:
        """Mark the partitions taken over at ``epoch`` or before as active.

        No node is confirmed at an epoch before ``epoch`` any more.
        """
        for owned in self._owned.values():
            if owned.since_epoch <= epoch:
                owned.active = True
        self._update_ready_mask()

    def set_doubtful_epochs(self, doubtful_epochs: Iterable[DoubtfulEpoch], now: timedelta) -> None:
        """Replace the doubtful epochs and keep the time at which each was first reported."""
        old = self._doubtful_epochs
        new = {doubtful.epoch: doubtful for doubtful in doubtful_epochs}
        cleared = [epoch for epoch, (doubtful, _) in old.items() if new.get(epoch) != doubtful]
        for owned in self._owned.values():
            if any(epoch < owned.since_epoch for epoch in cleared):
                owned.loaded = False  # tickets that were missing may be in the platform's store now
        self._update_ready_mask()
        self._doubtful_epochs = {
            doubtful.epoch: (doubtful, old[doubtful.epoch][1] if doubtful.epoch in old else now)
            for doubtful in new.values()
        }

    def is_doubtful(self, partition: int, now: timedelta) -> bool:
        """Whether an earlier owner may have run orders without tickets in the platform's store.

        A doubtful epoch no longer counts once callers can no longer repeat its orders.
        """
        owned = self._owned[partition]
        return any(
            doubtful.epoch < owned.since_epoch
            and within_retry_horizon(since, now, self._settings.retry_horizon)
            and (doubtful.lost or self._granted_elsewhere(doubtful, partition))
            for doubtful, since in self._doubtful_epochs.values()
        )

    def due_reads(self, now: timedelta) -> list[ReadPartition]:
        """Return the reads of partitions that are not loaded and were not read recently."""
        if self._ready_mask.bit_count() == len(self._owned):
            return []
        due = [
            partition
            for partition, owned in self._owned.items()
            if not owned.loaded and (owned.next_read_at is None or now >= owned.next_read_at)
        ]
        return [self.start_read(partition, now) for partition in due]

    def start_read(self, partition: int, now: timedelta) -> ReadPartition:
        """Return a read of a partition and set the earliest time of the next one."""
        owned = self._owned.get(partition)
        if owned is not None:
            owned.next_read_at = now + self._settings.read_retry
        return ReadPartition(partition)

    def refresh(self, partition: int, now: timedelta) -> list[ReadPartition]:
        """Return a read of an owned partition unless it was read recently."""
        owned = self._owned.get(partition)
        if owned is None or (owned.next_read_at is not None and now < owned.next_read_at):
            return []
        return [self.start_read(partition, now)]

    def load(self, event: RecordsRead) -> None:
        """Replace a partition's records if they were read after the take-over."""
        owned = self._owned.get(event.partition)
        if owned is not None and event.revision >= owned.view_mod_revision:
            records = {key: (record, mod_revision) for key, record, mod_revision in event.records}
            for key, (record, mod_revision) in owned.records.items():
                if mod_revision > event.revision:
                    records[key] = (
                        record,
                        mod_revision,
                    )  # this node wrote the record after the read
            owned.records = records
            owned.loaded = True
            self._update_ready_mask()

    def record(self, partition: int, key: str) -> tuple[Record, int] | None:
        """Return a record and its revision in the platform's store, or None."""
        owned = self._owned.get(partition)
        return owned.records.get(key) if owned is not None else None

    def store(self, partition: int, key: str, record: Record, mod_revision: int) -> None:
        """Keep a record that was written to the platform's store, unless a newer one is known."""
        owned = self._owned.get(partition)
        if owned is not None and mod_revision >= owned.records.get(key, (record, 0))[1]:
            owned.records[key] = (record, mod_revision)

    def remove(self, partition: int, key: str) -> None:
        """Drop a record that was deleted from the platform's store."""
        owned = self._owned.get(partition)
        if owned is not None:
            owned.records.pop(key, None)

    def look_up(self, partition: int, key: str, now: timedelta) -> OrderResult:
        """Return the recorded result of an order that is not pending at this node."""
        if not self.is_ready(partition):
            return refusal(ResultCode.NOT_READY, "the partition is being taken over")
        stored = self.record(partition, key)
        if stored is not None and stored[0].result is not None:
            return stored[0].result
        if stored is not None and stored[0].state is RecordState.TICKET:
            return outcome_unknown("its executor did not record an outcome")
        if stored is None and self.is_doubtful(partition, now):
            return outcome_unknown("records of an outage are missing")
        return refusal(ResultCode.UNKNOWN_ORDER, "no order was executed under this key")

    def expired_records(self, created_before: int, limit: int) -> list[tuple[str, int]]:
        """Return keys and revisions of up to ``limit`` records created before a Unix time."""
        expired = (
            (key, mod_revision)
            for owned in self._owned.values()
            if owned.active and owned.loaded
            for key, (record, mod_revision) in owned.records.items()
            if record.created < created_before
        )
        return [item for item, _ in zip(expired, range(limit), strict=False)]

    def _update_ready_mask(self) -> None:
        ready = [
            partition for partition, owned in self._owned.items() if owned.active and owned.loaded
        ]
        self._ready_mask = sum(1 << partition for partition in ready)

    def _granted_elsewhere(self, doubtful: DoubtfulEpoch, partition: int) -> bool:
        """Whether another process had an outage grant for the partition."""
        return any(
            holder.partitions >> partition & 1 and holder.process != self._process
            for holder in doubtful.holders
        )


def within_retry_horizon(since: timedelta, now: timedelta, horizon: timedelta) -> bool:
    """Whether callers may still repeat an order of an epoch that became doubtful at ``since``."""
    return now - since <= horizon
