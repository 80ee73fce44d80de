"""Ways to remove one guard of the limits protocol; contains no steps."""

from datetime import timedelta
from unittest.mock import patch

from chervilrack._internal.limits import pool, service
from chervilrack._internal.limits.holder import LimitHolder
from chervilrack._internal.limits.ledger import Account, LimitLedger
from chervilrack._internal.limits.pool import Pool
from chervilrack._internal.limits.service import LimitService

_plan = LimitLedger.plan


def _newer_version(pool, allocation):
    return allocation.version > pool.version


def _current_revision(pool, allocation):
    return allocation.revision >= pool.tightened_at


def _available(pool):
    return None if pool.capacity is None else max(0, pool.cap - pool.occupied)


def _all_reported(ledger, members):
    for node in members:
        ledger.accounts.setdefault(node, Account())
    return True


def guards():
    """Return, by name, a patch that removes each guard."""
    return {
        "epoch check": patch.object(LimitService, "_is_current", lambda self, epoch: True),
        "version check": patch.object(LimitHolder, "_is_newer", staticmethod(_current_revision)),
        "revision check": patch.object(LimitHolder, "_is_newer", staticmethod(_newer_version)),
        "unacknowledged allocations": patch.object(Account, "in_transit", 0),
        "quarantine": patch.object(
            LimitLedger, "plan", lambda self, members, _, now: _plan(self, members, False, now)
        ),
        "quarantine time": patch.object(service, "MAX_ATTEMPT_TIME", timedelta(0)),
        "reports from all members": patch.object(LimitLedger, "has_all_reports", _all_reported),
        "suspension after tightening": patch.object(Pool, "available", property(_available)),
        "window margin": patch.object(pool, "WINDOW_MARGIN", timedelta(0)),
        "confirmation": patch.object(
            LimitHolder,
            "__init__",
            lambda self, may_act, init=LimitHolder.__init__: init(self, lambda: True),
        ),
    }
