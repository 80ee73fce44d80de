"""Group commit: one transaction for all records that are waiting to be written."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.kvstore.port import Compare, Put
from chervilrack._internal.membership.state import VIEW_KEY, Process
from chervilrack._internal.orders.live import LiveOrder, LiveState
from chervilrack._internal.orders.messages import RecordTxn
from chervilrack._internal.orders.state import (
    OrderSettings,
    Record,
    RecordState,
    encode_record,
)


class Group:
    """Transaction in flight and the orders in it with the records they get."""

    def __init__(self, number: int, tickets: bool) -> None:
        self.number = number
        self.tickets = tickets
        self.written: dict[str, tuple[LiveOrder, Record]] = {}
        self.deleted: tuple[str, ...] = ()


class Groups:
    """Builds one transaction at a time. A failed mixed group is repeated without tickets."""

    def __init__(self, process: Process, settings: OrderSettings) -> None:
        self._process = process
        self._settings = settings
        self._number = 0
        self._next_at = timedelta(0)
        self._outcomes_first = False
        self.in_flight: Group | None = None

    def due(self, now: timedelta) -> bool:
        """Whether a group may start: none is in flight and the wait has passed."""
        return self.in_flight is None and now >= self._next_at

    def build(
        self,
        tickets: list[LiveOrder],
        outcomes: list[LiveOrder],
        mod_revision: int,
        executors: int,
        now: timedelta,
    ) -> RecordTxn | None:
        """Start a group if one is due; it holds outcomes before tickets."""
        if not self.due(now) or not (tickets or outcomes):
            return None
        if self._outcomes_first and outcomes:
            # The last group failed. Outcomes must not wait for a comparison of the view.
            tickets = []
        self._outcomes_first = False
        self._next_at = now + self._settings.group_wait(executors)
        # Each record takes one comparison and one write; the view takes one comparison.
        room = (self._settings.max_operations - 1) // 2
        outcomes = outcomes[:room]
        tickets = tickets[: room - len(outcomes)]
        self._number += 1
        group = self.in_flight = Group(self._number, bool(tickets))
        compares = ticket_compares(mod_revision) if tickets else []
        puts = []
        for live in [*outcomes, *tickets]:
            key = live.order.record_key
            record = self._record(live)
            compares.append(Compare(key, live.recorded or live.replaces))
            puts.append(Put(key, encode_record(record)))
            group.written[key] = (live, record)
            live.in_group = True
        return RecordTxn(group.number, tuple(compares), tuple(puts))

    def delete(self, items: Iterable[tuple[str, int]]) -> RecordTxn | None:
        """Start a transaction that deletes expired records, if none is in flight."""
        found = tuple(items)
        if self.in_flight is not None or not found:
            return None
        self._number += 1
        self.in_flight = Group(self._number, False)
        self.in_flight.deleted = tuple(key for key, _ in found)
        return RecordTxn(
            self._number,
            tuple(Compare(key, mod) for key, mod in found),
            (),
            self.in_flight.deleted,
        )

    def finished(self, number: int, applied: bool, now: timedelta) -> Group | None:
        """End the group in flight; None for an answer to another one."""
        group = self.in_flight
        if group is None or group.number != number:
            return None
        self.in_flight = None
        for live, _ in group.written.values():
            live.in_group = False
        if not applied:
            self._outcomes_first = True
            self._next_at = max(self._next_at, now + self._settings.write_retry)
        return group

    def _record(self, live: LiveOrder) -> Record:
        state = RecordState.TICKET
        if live.state is LiveState.FINISHED:
            state = RecordState.DONE if live.executed else RecordState.NOT_EXECUTED
        return Record(
            state=state,
            node=self._process.node,
            incarnation=self._process.incarnation,
            epoch=live.epoch,
            attempt=live.attempt,
            fingerprint=live.order.fingerprint,
            created=live.order.created,
            result=live.result if state is RecordState.DONE else None,
        )


def ticket_compares(mod_revision: int) -> list[Compare]:
    """Return the comparison that fails once another view was written."""
    return [Compare(VIEW_KEY, mod_revision)]
