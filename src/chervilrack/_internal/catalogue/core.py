"""Configuration in force at a node and directory of its upstreams.

Listings and changes of the platform's store arrive over the node's own connection or from a peer.
An older version of the configuration never replaces a newer one.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.catalogue.evacuation import EvacuationChanged, Evacuations
from chervilrack._internal.catalogue.returns import EndedUpstreams, is_superseded
from chervilrack._internal.catalogue.state import (
    ServiceSpec,
    ServingConfiguration,
    UpstreamEntry,
    UpstreamState,
)
from chervilrack._internal.common.ids import ServiceId, UpstreamId, ZoneId
from chervilrack._internal.common.positions import ORIGIN, StorePosition

# Upstreams whose registrations lapsed while the store was unavailable register again within about
# two seconds of its return.
REREGISTRATION_GRACE = timedelta(seconds=2.2)

# Workers renew their registrations about each 1.2 s, and these lapse after three missed renewals.
# No registration lapses in a shorter outage.
SHORTEST_LAPSE = timedelta(seconds=2)

# Removed services that are remembered, for requests that were admitted before the removal.
MAX_FORMER_SERVICES = 256

_ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A newer configuration came into force; ``previous_version`` is 0 for the first one."""

    configuration: ServingConfiguration
    previous_version: int


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """An upstream was added, changed or removed.

    ``previous`` is None for an added upstream, ``entry`` is None for a removed one.
    """

    id: UpstreamId
    entry: UpstreamEntry | None
    previous: UpstreamEntry | None


CatalogueEffect = ConfigurationApplied | UpstreamChanged | EvacuationChanged


class Catalogue:
    """Configuration in force and directory of upstreams of one node.

    An upstream whose registration may have lapsed only because the store was unavailable stays in
    the directory until it had time to register again.

    Revisions are those of the era that ``begin_era`` has named last, 0 before.
    """

    def __init__(self) -> None:
        self._configuration: ServingConfiguration | None = None
        # Services that are no longer configured, those that left last at the end.
        self._former_services: dict[ServiceId, ServiceSpec] = {}
        self._upstreams: dict[UpstreamId, UpstreamEntry] = {}
        self._ready_by_service: dict[ServiceId, tuple[UpstreamEntry, ...]] = {}
        self._positions: dict[UpstreamId, StorePosition] = {}
        self._era = 0
        self._ended = EndedUpstreams()
        # Upstreams whose entries a peer may know from an earlier era than this one, and the end of
        # the time in which they may register again.
        self._told: dict[UpstreamId, timedelta] = {}
        # Upstreams that are kept although their registrations have ended, and the end of that time;
        # None means REREGISTRATION_GRACE after the store answers again.
        self._lapsed: dict[UpstreamId, timedelta | None] = {}
        self.evacuations = Evacuations()
        self._unavailable_since: timedelta | None = None
        self._available_again_at = _ZERO
        self._had_outage = False
        self._returned_at: timedelta | None = None

    @property
    def configuration(self) -> ServingConfiguration | None:
        """Configuration in force, or None before the first one is known."""
        return self._configuration

    def service(self, service: ServiceId) -> ServiceSpec | None:
        """Return the newest known specification of a service, also of one that was removed.

        Requests that were admitted before the removal still need it.
        """
        configured = self._configuration.services if self._configuration is not None else {}
        return configured.get(service) or self._former_services.get(service)

    @property
    def upstreams(self) -> Mapping[UpstreamId, UpstreamEntry]:
        """All known upstreams by id, including draining ones."""
        return self._upstreams

    @property
    def evacuated_zones(self) -> frozenset[ZoneId]:
        """Zones whose upstreams must get nothing new."""
        return self.evacuations.zones

    def ready_upstreams(self, service: ServiceId) -> tuple[UpstreamEntry, ...]:
        """Return the ready upstreams of a service, ordered by id."""
        return self._ready_by_service.get(service, ())

    @property
    def lapsed_upstreams(self) -> tuple[UpstreamId, ...]:
        """Ids of the upstreams that are kept although their registrations have ended, in order."""
        return tuple(sorted(self._lapsed))

    @property
    def withheld_upstreams(self) -> frozenset[UpstreamId]:
        """Upstreams that had ended, and that a copy of the store names, which are not used yet."""
        return self._ended.withheld

    def begin_era(self, era: int, returned_at: timedelta | None = None) -> None:
        """Take all further entries and revisions as those of a later era.

        ``returned_at`` is the time at which the store was found to have come back from an older
        copy, None if nothing of an earlier era is known. What the copy lacks may be written again,
        and what it holds may have ended before.
        """
        self._era = era
        self._told.clear()
        if returned_at is not None:
            self._had_outage = True
            self._available_again_at = self._returned_at = returned_at
            self._lapsed = dict.fromkeys(self._lapsed)
            self._ended.begin_doubt(returned_at)
            self.evacuations.keep(returned_at)

    def apply_configuration(self, configuration: ServingConfiguration) -> list[CatalogueEffect]:
        """Put ``configuration`` into force if it is newer than the one in force."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return []
        if current is not None:
            self._remember_services(current, configuration)
        self._configuration = configuration
        return [ConfigurationApplied(configuration, current.version if current else 0)]

    def _remember_services(
        self, current: ServingConfiguration, following: ServingConfiguration
    ) -> None:
        former = self._former_services
        for service, spec in current.services.items():
            former.pop(service, None)
            if service not in following.services:
                former[service] = spec
        for service in list(former)[: max(0, len(former) - MAX_FORMER_SERVICES)]:
            del former[service]

    def mark_store_unavailable(self, since: timedelta) -> None:
        """Record that the store has not answered this node since a time."""
        if self._unavailable_since is None:
            self._unavailable_since = since

    def mark_store_available(self, now: timedelta) -> None:
        """Record that the store answers this node again."""
        since, self._unavailable_since = self._unavailable_since, None
        if since is not None and now - since >= SHORTEST_LAPSE:
            self._had_outage = True
            self._available_again_at = now

    def mark_outage(self, since: timedelta, now: timedelta) -> None:
        """Record that the store was unavailable, to this node or a peer, until now."""
        self.mark_store_unavailable(since)
        self.mark_store_available(now)

    def apply_listing(
        self, entries: Mapping[UpstreamId, tuple[UpstreamEntry, int]], now: timedelta
    ) -> list[CatalogueEffect]:
        """Apply a full listing of the store: each entry with its revision.

        Upstreams that are not listed are treated like removed ones.
        """
        effects: list[CatalogueEffect] = []
        for entry, revision in entries.values():
            effects += self.put_upstream(entry, revision, is_listed=True)
        for upstream in [u for u in self._upstreams if u not in entries]:
            effects += self.remove_upstream(upstream, None, now)
        self._drop_withheld(entries)
        return effects

    def apply_peer_listing(
        self,
        entries: Mapping[UpstreamId, tuple[UpstreamEntry, int]],
        lapsed: Collection[UpstreamId],
        now: timedelta,
    ) -> list[CatalogueEffect]:
        """Apply the directory of a peer that the store answers while it does not answer this node.

        ``entries`` are the upstreams registered at the peer, with their revisions, and ``lapsed``
        those that the peer keeps although their registrations have ended. All others were removed
        while the store answered the peer, and are removed here, unless the store has come back from
        a copy: the peer may not have known them. This node keeps lapsed ones for
        REREGISTRATION_GRACE, counted from the first such listing.

        In later eras than the first one, the peer may know more of an upstream than the copy does,
        which this node may list next.
        """
        effects: list[CatalogueEffect] = []
        for entry, revision in entries.values():
            is_known = (
                self._upstreams.get(entry.id) == entry
                and self._positions.get(entry.id, ORIGIN).era == self._era
            )
            effects += self.put_upstream(entry, revision, is_listed=True)
            if self._era and not is_known and self._upstreams.get(entry.id) == entry:
                self._told[entry.id] = now + REREGISTRATION_GRACE
        for upstream in [u for u in self._upstreams if u not in entries]:
            is_kept = self._is_kept_after_return(upstream, now)
            if upstream not in lapsed and not is_kept:
                effects += self._remove(upstream, is_certain=not self._ended.is_doubting)
            elif self._lapsed.get(upstream) is None:
                returned_at = None if upstream in lapsed else self._returned_at
                since = now if returned_at is None else returned_at
                self._lapsed[upstream] = since + REREGISTRATION_GRACE
        self._drop_withheld(entries)
        return effects

    def _is_kept_after_return(self, upstream: UpstreamId, now: timedelta) -> bool:
        return (
            self._returned_at is not None
            and now < self._returned_at + REREGISTRATION_GRACE
            and self._upstreams[upstream].state is UpstreamState.READY
        )

    def _drop_withheld(self, entries: Collection[UpstreamId]) -> None:
        for upstream in self._ended.withheld:
            if upstream not in entries:
                self._ended.drop(upstream)

    def put_upstream(
        self, entry: UpstreamEntry, revision: int, *, is_listed: bool = False
    ) -> list[CatalogueEffect]:
        """Add or replace one entry; an older revision than the known one is ignored.

        After a return of the store, so is an entry that says less than an earlier era did.
        ``is_listed`` is whether the entry may have been written before the return.
        """
        position = StorePosition(self._era, revision)
        if position < self._positions.get(entry.id, ORIGIN):
            return []
        if self.supersedes(entry):
            self._keep_superseding(entry)
            return []
        if self._ended.withhold(entry, revision, self._era, is_listed=is_listed):
            return []
        self._positions[entry.id] = position
        self._lapsed.pop(entry.id, None)
        previous = self._upstreams.get(entry.id)
        if previous == entry:
            return []
        self._told.pop(entry.id, None)
        self._upstreams[entry.id] = entry
        self._update_ready_index(entry.service, previous.service if previous else None)
        return [UpstreamChanged(entry.id, entry, previous)]

    def supersedes(self, entry: UpstreamEntry) -> bool:
        """Whether more of the upstream is known, maybe from an earlier era, than an entry says."""
        known = self._upstreams.get(entry.id)
        if known is None or not is_superseded(entry, known):
            return False
        return entry.id in self._told or self._positions.get(entry.id, ORIGIN).era < self._era

    def _keep_superseding(self, entry: UpstreamEntry) -> None:
        """Keep a later start than that of an entry, for as long as it may register again."""
        known = self._upstreams[entry.id]
        if known.state is UpstreamState.READY:
            self._lapsed.setdefault(entry.id, self._told.get(entry.id))

    def remove_upstream(
        self, upstream: UpstreamId, revision: int | None, now: timedelta
    ) -> list[CatalogueEffect]:
        """Remove an upstream whose registration has ended.

        A ready upstream is kept for the time being if its registration may have lapsed because of
        an outage of the store. ``revision`` is None if the end was seen in a listing.
        """
        self._ended.drop(upstream)
        entry = self._upstreams.get(upstream)
        if entry is None:
            return []
        if revision is not None:
            position = StorePosition(self._era, revision)
            if position < self._positions.get(upstream, ORIGIN):
                return []
            self._positions[upstream] = position
        if entry.state is UpstreamState.READY and self._may_have_lapsed(now):
            self._lapsed.setdefault(upstream, None)
            if revision is not None:
                self._ended.record_end(entry, self._era, is_certain=True)
            return []
        return self._remove(upstream)

    def drop_upstream(self, upstream: UpstreamId, revision: int) -> list[CatalogueEffect]:
        """Remove an upstream whose entry is there, but names no upstream to use.

        Unlike an entry that has ended, it cannot have lapsed because of an outage.
        """
        position = StorePosition(self._era, revision)
        if position < self._positions.get(upstream, ORIGIN):
            return []
        self._ended.drop(upstream)
        if upstream in self._upstreams:
            self._positions[upstream] = position
        return self._remove(upstream)

    def expire(self, now: timedelta) -> list[CatalogueEffect]:
        """Remove kept upstreams that did not register again in time after an outage.

        Upstreams that a copy of the store names are used if they are still registered after a time,
        and the store answers.
        """
        effects: list[CatalogueEffect] = []
        if self._unavailable_since is None:
            for entry, revision in self._ended.release(now):
                effects += self.put_upstream(entry, revision)
            effects += self.evacuations.expire(now)
        may_have_lapsed = self._may_have_lapsed(now)
        ended = [
            upstream
            for upstream, until in sorted(self._lapsed.items())
            if (not may_have_lapsed if until is None else now >= until)
        ]
        for upstream in ended:
            effects += self._remove(upstream, is_certain=False)
        return effects

    def _may_have_lapsed(self, now: timedelta) -> bool:
        if self._unavailable_since is not None:
            return True
        return self._had_outage and now < self._available_again_at + REREGISTRATION_GRACE

    def _remove(self, upstream: UpstreamId, *, is_certain: bool = True) -> list[CatalogueEffect]:
        """Remove an upstream; ``is_certain`` is false if it only did not register again."""
        self._lapsed.pop(upstream, None)
        self._told.pop(upstream, None)
        previous = self._upstreams.pop(upstream, None)
        if previous is None:
            return []
        self._ended.record_end(previous, self._era, is_certain=is_certain)
        self._update_ready_index(previous.service, None)
        return [UpstreamChanged(upstream, None, previous)]

    def _update_ready_index(self, service: ServiceId, previous_service: ServiceId | None) -> None:
        for changed in {service, previous_service} - {None}:
            assert changed is not None
            self._ready_by_service[changed] = tuple(
                _ready_entries(self._upstreams.values(), changed)
            )


def _ready_entries(entries: Iterable[UpstreamEntry], service: ServiceId) -> list[UpstreamEntry]:
    ready = [
        entry
        for entry in entries
        if entry.service == service and entry.state is UpstreamState.READY
    ]
    return sorted(ready, key=lambda entry: entry.id)
