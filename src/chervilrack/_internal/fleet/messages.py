"""Messages by which nodes announce themselves and share what they read from the store."""

from typing import Annotated

import msgspec

from chervilrack._internal.balancing.standing import LeavingReport
from chervilrack._internal.balancing.state import UpstreamReport
from chervilrack._internal.common.positions import StorePosition, protocol_version_of
from chervilrack._internal.common.units import Count, Milliseconds
from chervilrack._internal.quarantine.messages import SuspectReport
from chervilrack._internal.quarantine.records import BlockRecord


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """State of a node, sent periodically to every known node.

    ``address`` is the node's peer address, ``caller_address`` its listener for callers, and
    ``peer_addresses`` are those of some nodes that it considers alive. ``configuration_version``
    and ``directory_revision`` are the newest configuration version and store revision that the
    node holds. ``ready_for_ms`` is the time since the node became ready and ``interval_ms`` the
    time until its next heartbeat. ``cpu_cores`` is the processor time that the node may use, in
    cores. ``leaving_upstreams`` names upstreams that have told the node that they leave, and
    ``suspects`` are inputs that may crash upstreams. In a later era of the store than 0,
    ``directory_in_era`` holds the era and the revision and ``directory_revision`` is 0, so that
    nodes which do not know eras take the sender for one that has read nothing. ``unheard`` are the
    peer addresses of some nodes that the sender has heard before, but not of late.
    """

    address: str
    caller_address: str
    zone: str
    ready: bool
    leaving: bool
    configuration_version: Count
    directory_revision: Count
    store_answers: bool
    reports: tuple[UpstreamReport, ...]
    peer_addresses: tuple[str, ...]
    ready_for_ms: Milliseconds = 0
    interval_ms: Milliseconds = 0
    cpu_cores: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0
    leaving_upstreams: tuple[LeavingReport, ...] = ()
    suspects: tuple[SuspectReport, ...] = ()
    directory_in_era: tuple[Count, Count] | None = None
    unheard: tuple[str, ...] = ()

    @property
    def position(self) -> StorePosition:
        """Newest position in the store that the node holds."""
        if self.directory_in_era is not None:
            return StorePosition(*self.directory_in_era)
        return StorePosition(0, self.directory_revision)


class StateRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a node for its configuration, if newer than ``known_version``, and its upstreams."""

    known_version: Count


class StateReply(msgspec.Struct, frozen=True, array_like=True):
    """Stored configuration and all upstream registrations that the sender holds.

    ``configuration`` is empty if the requesting node already has the version. ``upstreams`` holds
    key, value and modification revision of each registration. ``missing`` names the upstreams
    whose registrations have ended but which the sender still keeps, since they may come back.
    ``blocks`` are the traits that the sender blocks. ``evacuations`` are the evacuated zones,
    None from a sender of an earlier version, which does not know of them, and ``kept_evacuations``
    those of them that the sender keeps although its copy of the store lacks them. All revisions
    are of ``era``.
    """

    configuration: bytes
    revision: Count
    upstreams: tuple[tuple[str, bytes, Count], ...]
    missing: tuple[str, ...] = ()
    blocks: Annotated[tuple[BlockRecord, ...], msgspec.Meta(max_length=1024)] = ()
    evacuations: tuple[str, ...] | None = None
    era: Count = 0
    kept_evacuations: tuple[str, ...] = ()

    @property
    def position(self) -> StorePosition:
        """Position of the sender's copy of the store."""
        return StorePosition(self.era, self.revision)

    @property
    def protocol_version(self) -> int:
        """Version of the protocol that a receiver has to know."""
        return protocol_version_of(self.era)
