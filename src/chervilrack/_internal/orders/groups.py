"""Group commit: one transaction writes all records that are waiting to be written."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.kvstore.port import Compare, Put
from chervilrack._internal.membership.state import VIEW_KEY, Process
from chervilrack._internal.orders.messages import RecordTxn
from chervilrack._internal.orders.pending import PendingOrder, PendingState
from chervilrack._internal.orders.state import (
    OrderSettings,
    Record,
    RecordState,
    encode_record,
)


class Group:
    """Transaction in flight, with the records that it writes and the keys that it deletes."""

    def __init__(self, number: int, has_tickets: bool) -> None:
        self.number = number
        self.has_tickets = has_tickets
        self.records: dict[str, tuple[PendingOrder, Record]] = {}
        self.deleted_keys: tuple[str, ...] = ()


class GroupCommits:
    """Builds the transactions of group commits, one at a time.

    After a group that was not applied, the next group with outcomes contains no tickets.
    """

    def __init__(self, process: Process, settings: OrderSettings) -> None:
        self._process = process
        self._settings = settings
        self._number = 0
        self._next_start_at = timedelta(0)
        self._retry_without_tickets = False
        self.in_flight: Group | None = None

    def can_start(self, now: timedelta) -> bool:
        """Whether no group is in flight and the wait between two groups has passed."""
        return self.in_flight is None and now >= self._next_start_at

    def build(
        self,
        tickets: list[PendingOrder],
        outcomes: list[PendingOrder],
        view_mod_revision: int,
        executors: int,
        now: timedelta,
    ) -> RecordTxn | None:
        """Start a group if possible. Outcomes take precedence over tickets if not all fit."""
        if not self.can_start(now) or not (tickets or outcomes):
            return None
        if self._retry_without_tickets and outcomes:
            # The last group may have failed because the view changed. Outcomes do not depend on the
            # view, so they are written without tickets.
            tickets = []
        self._retry_without_tickets = False
        self._next_start_at = now + self._settings.group_wait(executors)
        # Each record takes one comparison and one write; the view takes one comparison.
        max_records = (self._settings.max_txn_operations - 1) // 2
        outcomes = outcomes[:max_records]
        tickets = tickets[: max_records - len(outcomes)]
        self._number += 1
        group = self.in_flight = Group(self._number, bool(tickets))
        compares = ticket_compares(view_mod_revision) if tickets else []
        puts = []
        for pending in [*outcomes, *tickets]:
            key = pending.order.record_key
            record = self._record(pending)
            compares.append(Compare(key, pending.record_revision or pending.replaceable_revision))
            puts.append(Put(key, encode_record(record)))
            group.records[key] = (pending, record)
            pending.in_group = True
        return RecordTxn(group.number, tuple(compares), tuple(puts))

    def delete(self, expired: Iterable[tuple[str, int]]) -> RecordTxn | None:
        """Start a transaction that deletes expired records, if none is in flight."""
        records = tuple(expired)
        if self.in_flight is not None or not records:
            return None
        self._number += 1
        self.in_flight = Group(self._number, False)
        self.in_flight.deleted_keys = tuple(key for key, _ in records)
        return RecordTxn(
            self._number,
            tuple(Compare(key, mod_revision) for key, mod_revision in records),
            (),
            self.in_flight.deleted_keys,
        )

    def finish(self, number: int, applied: bool, now: timedelta) -> Group | None:
        """End the group in flight and return it; None if ``number`` is not its number."""
        group = self.in_flight
        if group is None or group.number != number:
            return None
        self.in_flight = None
        for pending, _ in group.records.values():
            pending.in_group = False
        if not applied:
            self._retry_without_tickets = True
            self._next_start_at = max(self._next_start_at, now + self._settings.write_retry)
        return group

    def _record(self, pending: PendingOrder) -> Record:
        state = RecordState.TICKET
        if pending.state is PendingState.FINISHED:
            state = RecordState.DONE if pending.executed else RecordState.NOT_EXECUTED
        return Record(
            state=state,
            node=self._process.node,
            incarnation=self._process.incarnation,
            epoch=pending.epoch,
            attempt=pending.attempt,
            fingerprint=pending.order.fingerprint,
            created=pending.order.created,
            result=pending.result if state is RecordState.DONE else None,
        )


def ticket_compares(view_mod_revision: int) -> list[Compare]:
    """Return the comparison that fails if the view changed after ``view_mod_revision``."""
    return [Compare(VIEW_KEY, view_mod_revision)]
