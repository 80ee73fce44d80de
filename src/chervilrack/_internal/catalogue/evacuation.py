"""Availability zones from which the operator has withdrawn new work."""

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import ZoneId

# After the store has come back from a copy that lacks an evacuation, the operator has this time to
# write it again. Its zone gets nothing meanwhile, which is never wrong.
EVACUATION_KEPT = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class EvacuationChanged:
    """A zone was evacuated, or its evacuation was taken back."""

    zone: ZoneId
    is_evacuated: bool


class Evacuations:
    """Zones that are evacuated.

    An evacuation holds until this node learns that it was taken back, also while the store is
    away. One that a copy of the store lacks holds for EVACUATION_KEPT. Times are monotonic.
    """

    def __init__(self) -> None:
        self._zones: frozenset[ZoneId] = frozenset()
        # Zones that were evacuated before the store came back from a copy, and have not been since.
        self._kept: frozenset[ZoneId] = frozenset()
        self._kept_until: timedelta | None = None

    @property
    def zones(self) -> frozenset[ZoneId]:
        """The evacuated zones."""
        return self._zones

    @property
    def kept(self) -> frozenset[ZoneId]:
        """Evacuated zones that the copy of the store lacks, as far as this node knows."""
        return self._kept

    def keep(self, now: timedelta) -> None:
        """Keep the evacuations of now, of which a copy of the store may lack some."""
        self._kept, self._kept_until = self._zones, now + EVACUATION_KEPT

    def replace_from_peer(
        self, zones: Collection[ZoneId], kept: Collection[ZoneId], now: timedelta
    ) -> list[EvacuationChanged]:
        """Apply all evacuations that a peer knows, of which it keeps some.

        Those that the peer keeps are kept here, too; the others are in the store.
        """
        told = frozenset(kept) - self._zones
        still_kept = self._kept & frozenset(kept)
        effects = self.replace(zones)
        self._kept |= still_kept | told
        if told:
            self._kept_until = now + EVACUATION_KEPT
        return effects

    def expire(self, now: timedelta) -> list[EvacuationChanged]:
        """End the kept evacuations that were not written again in time."""
        if self._kept_until is None or now < self._kept_until:
            return []
        ended, self._kept, self._kept_until = self._kept, frozenset(), None
        return self._change(self._zones - ended)

    def begin(self, zone: ZoneId) -> list[EvacuationChanged]:
        """Record that a zone is evacuated."""
        self._kept -= {zone}
        return self._change(self._zones | {zone})

    def end(self, zone: ZoneId) -> list[EvacuationChanged]:
        """Record that an evacuation was taken back."""
        self._kept -= {zone}
        return self._change(self._zones - {zone})

    def replace(self, zones: Collection[ZoneId]) -> list[EvacuationChanged]:
        """Apply all evacuations of a listing; those that it lacks were taken back."""
        self._kept -= frozenset(zones)
        return self._change(frozenset(zones) | self._kept)

    def _change(self, zones: frozenset[ZoneId]) -> list[EvacuationChanged]:
        previous, self._zones = self._zones, zones
        return [EvacuationChanged(zone, zone in zones) for zone in sorted(previous ^ zones)]
