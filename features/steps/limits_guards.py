"""Patches that each remove one guard of the limit protocol; contains no steps.

A guard is a rule that keeps the limit from being exceeded.
"""

from datetime import timedelta
from unittest.mock import patch

from chervilrack._internal.limits import pool, service
from chervilrack._internal.limits.holder import LimitHolder
from chervilrack._internal.limits.ledger import Account, LimitLedger
from chervilrack._internal.limits.pool import Pool
from chervilrack._internal.limits.service import LimitService

_original_plan = LimitLedger.plan


def _is_newer_version(pool, allocation):
    return allocation.version > pool.version


def _is_current_revision(pool, allocation):
    return allocation.revision >= pool.tightened_revision


def _available_while_suspended(pool):
    return None if pool.capacity is None else max(0, pool.cap - pool.occupied)


def _assume_all_reports(ledger, members):
    for node in members:
        ledger.accounts.setdefault(node, Account())
    return True


def guard_removals():
    """Return the patches by the name of the guard that they remove."""
    return {
        "epoch check": patch.object(LimitService, "_is_current", lambda self, epoch: True),
        "version check": patch.object(LimitHolder, "_is_newer", staticmethod(_is_current_revision)),
        "revision check": patch.object(LimitHolder, "_is_newer", staticmethod(_is_newer_version)),
        "unacknowledged allocations": patch.object(Account, "in_transit", 0),
        "quarantine": patch.object(
            LimitLedger,
            "plan",
            lambda self, members, _, now: _original_plan(self, members, False, now),
        ),
        "quarantine time": patch.object(service, "MAX_ATTEMPT_TIME", timedelta(0)),
        "reports from all members": patch.object(
            LimitLedger, "has_all_reports", _assume_all_reports
        ),
        "suspension after tightening": patch.object(
            Pool, "available", property(_available_while_suspended)
        ),
        "window margin": patch.object(pool, "WINDOW_MARGIN", timedelta(0)),
        "confirmation": patch.object(
            LimitHolder,
            "__init__",
            lambda self, may_act, init=LimitHolder.__init__: init(self, lambda: True),
        ),
    }
