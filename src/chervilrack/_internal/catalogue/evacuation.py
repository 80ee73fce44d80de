"""Availability zones from which the operator has withdrawn new work."""

from collections.abc import Collection
from dataclasses import dataclass

from chervilrack._internal.common.ids import ZoneId


@dataclass(frozen=True, slots=True)
class EvacuationChanged:
    """A zone was evacuated, or its evacuation was taken back."""

    zone: ZoneId
    is_evacuated: bool


class Evacuations:
    """Zones that are evacuated.

    An evacuation holds until this node learns that it was taken back, also while the store is
    away.
    """

    def __init__(self) -> None:
        self._zones: frozenset[ZoneId] = frozenset()

    @property
    def zones(self) -> frozenset[ZoneId]:
        """The evacuated zones."""
        return self._zones

    def begin(self, zone: ZoneId) -> list[EvacuationChanged]:
        """Record that a zone is evacuated."""
        return self.replace(self._zones | {zone})

    def end(self, zone: ZoneId) -> list[EvacuationChanged]:
        """Record that an evacuation was taken back."""
        return self.replace(self._zones - {zone})

    def replace(self, zones: Collection[ZoneId]) -> list[EvacuationChanged]:
        """Apply all evacuations of a listing; those that it lacks were taken back."""
        previous, self._zones = self._zones, frozenset(zones)
        return [
            EvacuationChanged(zone, zone in self._zones) for zone in sorted(previous ^ self._zones)
        ]
