"""Interface through which other packages use the permits of their node."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chervilrack._internal.common.ids import LimitId


@dataclass(frozen=True, slots=True)
class Permit:
    """Permits that one attempt holds, taken together from one or more pools."""

    number: int
    amounts: Mapping[LimitId, int]


class PermitSource(Protocol):
    """Source of the permits that this node may use now.

    Concurrency permits stay occupied until ``release`` or the time given to ``release_at``. Rate
    permits stay occupied until one rate window after the attempt was dispatched.
    """

    def try_acquire(self, amounts: Mapping[LimitId, int], now: timedelta) -> Permit | None:
        """Take all amounts and return their permit, or return None and take none.

        Pools without a limit never lack permits.
        """

    def shortage(self, amounts: Mapping[LimitId, int], now: timedelta) -> tuple[LimitId, ...]:
        """Return the limits whose pools lack permits for ``amounts``."""

    def release(self, permit: Permit, now: timedelta) -> None:
        """Free the concurrency permits of an attempt that has ended."""

    def release_at(self, permit: Permit, at: timedelta) -> None:
        """Free the concurrency permits at time ``at``, for an attempt whose end is unknown."""

    def cancel(self, permit: Permit, now: timedelta) -> None:
        """Free all permits, rate permits included, of an attempt that was never sent."""

    def set_demand(self, waiting: Mapping[LimitId, int], now: timedelta) -> None:
        """Set how many permits waiting work needs, per limit, in addition to those in use."""
