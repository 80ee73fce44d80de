"""Patches that remove one guard of the order executor each."""

from dataclasses import replace
from unittest.mock import patch

from chervilrack._internal.membership import exchange, grants
from chervilrack._internal.membership.messages import WriteOutcome
from chervilrack._internal.orders import groups, partitions, state
from chervilrack._internal.orders.core import OrderExecutor
from chervilrack._internal.orders.forwarding import Received
from chervilrack._internal.orders.partitions import Partitions


def _no_read_back():
    """Take a lost response for a successful write."""
    original = OrderExecutor._on_written

    def on_written(self, event, now):
        if event.outcome is WriteOutcome.UNKNOWN:
            event = replace(event, outcome=WriteOutcome.APPLIED, revision=1)
        return original(self, event, now)

    return patch.object(OrderExecutor, "_on_written", on_written)


def _active_at_once():
    original = Partitions.adopt

    def adopt(self, view, mod_revision):
        original(self, view, mod_revision)
        self.activate(view.epoch)

    return patch.object(Partitions, "adopt", adopt)


# Guard, and the patch that removes it. The feature names the test that must then fail.
GUARDS = {
    "view comparison of the ticket": lambda: patch.object(
        groups, "ticket_compares", lambda mod_revision: []
    ),
    "read-back of the ticket": _no_read_back,
    "ticket that names the process": lambda: patch.object(
        state, "is_unused", lambda record, process: record.state is state.RecordState.TICKET
    ),
    "outage grant": lambda: patch.object(
        state, "may_run_in_memory", lambda granted, may_act: may_act
    ),
    "majority of grants": lambda: patch.object(
        grants, "enough_grants", lambda votes, witnesses: votes >= 1
    ),
    "platform silence at the witness": lambda: patch.object(
        exchange, "may_grant", lambda confirmed, away: confirmed
    ),
    "activation before a take-over": _active_at_once,
    "retry horizon": lambda: patch.object(
        partitions, "within_horizon", lambda since, now, horizon: False
    ),
    "fingerprint": lambda: patch.object(state, "same_request", lambda first, second: True),
    "memory of received orders": lambda: patch.object(
        Received, "is_new", lambda self, sender, message: True
    ),
}
