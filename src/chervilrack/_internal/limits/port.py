"""Interface through which other slices use the permits of their node."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chervilrack._internal.common.ids import LimitId


@dataclass(frozen=True, slots=True)
class Permit:
    """Permits taken together from one or more pools for one attempt."""

    number: int
    amounts: Mapping[LimitId, int]


class PermitSource(Protocol):
    """Permits that this node may use now.

    Concurrency permits stay occupied until ``release`` or ``release_at``; rate permits until the
    window has passed since the attempt was dispatched.
    """

    def try_acquire(self, amounts: Mapping[LimitId, int], now: timedelta) -> Permit | None:
        """Take all amounts or none. Pools without a limit are ignored."""

    def shortage(self, amounts: Mapping[LimitId, int], now: timedelta) -> tuple[LimitId, ...]:
        """Return the pools that lack permits for ``amounts``."""

    def release(self, permit: Permit, now: timedelta) -> None:
        """Give back the concurrency permits: the attempt is known to be over."""

    def release_at(self, permit: Permit, at: timedelta) -> None:
        """Give them back at ``at``: the attempt's end is not known."""

    def cancel(self, permit: Permit, now: timedelta) -> None:
        """Give back everything, rates included: the attempt was never sent."""

    def set_demand(self, waiting: Mapping[LimitId, int], now: timedelta) -> None:
        """State how many permits waiting work needs beyond those in use, per pool."""
