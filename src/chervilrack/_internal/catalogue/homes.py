"""Homes: the regions in which the requests of a route or an organisation may be served."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from chervilrack._internal.catalogue.state import ServingConfiguration, UpstreamEntry
from chervilrack._internal.common.ids import RegionId, ZoneId


@dataclass(frozen=True, slots=True)
class HomesFinding:
    """What makes the homes of ``subject``, a route or an organisation, impossible to serve."""

    subject: str
    detail: str


class Regions:
    """Regions of the zones, and what homes allow there. None stands for no homes."""

    def __init__(self, by_zone: Mapping[ZoneId, RegionId]) -> None:
        self._by_zone = by_zone

    def region(self, zone: ZoneId) -> RegionId | None:
        """Return the region of a zone, None if it is in no known one."""
        return self._by_zone.get(zone)

    def allow(self, homes: frozenset[RegionId] | None, zone: ZoneId) -> bool:
        """Whether homes allow a zone. They allow none whose region is unknown."""
        return homes is None or self._by_zone.get(zone) in homes

    def allowed(
        self, homes: frozenset[RegionId] | None, entries: Sequence[UpstreamEntry]
    ) -> Sequence[UpstreamEntry]:
        """Return the upstreams that homes allow."""
        if homes is None:
            return entries
        return tuple(entry for entry in entries if self.allow(homes, entry.zone))

    def findings(self, configuration: ServingConfiguration) -> list[HomesFinding]:
        """Return what a configuration says of homes that no request can be served by."""
        known = frozenset(self._by_zone.values())
        homes_by_subject = {
            f"route {route.name}": route.homes
            for route in configuration.routes
            if route.homes is not None
        }
        homes_by_subject |= {
            f"organisation {organisation}": homes
            for organisation, homes in configuration.homes.items()
        }
        found = [
            HomesFinding(subject, f"unknown regions: {', '.join(sorted(homes - known))}")
            for subject, homes in homes_by_subject.items()
            if not homes <= known
        ]
        return found + [
            HomesFinding(f"route {route.name}", f"no region in common with {organisation}")
            for route in configuration.routes
            if route.homes is not None
            for organisation, homes in configuration.homes.items()
            if not homes & route.homes
        ]
