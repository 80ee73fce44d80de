"""Patches, each of which disables one guard against wrong handling of orders."""

from dataclasses import replace
from unittest.mock import patch

from chervilrack._internal.membership import exchange, grants
from chervilrack._internal.membership.messages import WriteOutcome
from chervilrack._internal.orders import groups, partitions, state
from chervilrack._internal.orders.core import OrderExecutor
from chervilrack._internal.orders.forwarding import ReceivedOrders
from chervilrack._internal.orders.partitions import Partitions


def _no_read_back():
    """Treat a write whose response was lost as applied."""
    original = OrderExecutor._on_written

    def on_written(self, event, now):
        if event.outcome is WriteOutcome.UNKNOWN:
            event = replace(event, outcome=WriteOutcome.APPLIED, revision=1)
        return original(self, event, now)

    return patch.object(OrderExecutor, "_on_written", on_written)


def _activate_at_take_over():
    """Treat a partition as active as soon as it is taken over."""
    original = Partitions.adopt_view

    def adopt_view(self, view, mod_revision):
        original(self, view, mod_revision)
        self.activate(view.epoch)

    return patch.object(Partitions, "adopt_view", adopt_view)


# Patches by guard. The feature names the situation that must fail under each patch.
GUARDS = {
    "view comparison of the ticket": lambda: patch.object(
        groups, "ticket_compares", lambda view_mod_revision: []
    ),
    "read-back of the ticket": _no_read_back,
    "ticket that names the process": lambda: patch.object(
        state,
        "is_undispatched_ticket",
        lambda record, process: record.state is state.RecordState.TICKET,
    ),
    "outage grant": lambda: patch.object(
        state, "may_run_unrecorded", lambda has_outage_grant, may_act: may_act
    ),
    "majority of grants": lambda: patch.object(
        grants, "enough_grants", lambda votes, witnesses: votes >= 1
    ),
    "platform silence at the witness": lambda: patch.object(
        exchange, "may_grant", lambda confirmed, away: confirmed
    ),
    "activation before a take-over": _activate_at_take_over,
    "retry horizon": lambda: patch.object(
        partitions, "within_retry_horizon", lambda since, now, horizon: False
    ),
    "fingerprint": lambda: patch.object(state, "same_request", lambda first, second: True),
    "detection of repeated copies": lambda: patch.object(
        ReceivedOrders, "record_if_new", lambda self, sender, message: True
    ),
}
