"""Messages between limit owners and holders, and the events and effects of ``LimitService``."""

from dataclasses import dataclass

import msgspec

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import Epoch, LimitId, NodeId, ReleaseRevision
from chervilrack._internal.releases.state import Configuration


class Holding(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """State of one pool at one node; absolute, so a lost copy needs no reconstruction.

    ``total_demand`` is the number of permits the node could use in total (in use plus waiting
    work). ``chunk`` is the largest amount that one waiting attempt needs at once. ``waited`` is the
    time in seconds since the pool last served waiting work, or None if no work waits. A
    ``suspended`` node dispatches nothing until it gets an allocation computed under the tightened
    limit.
    """

    limit: LimitId
    version: int
    cap: int
    in_use: int
    total_demand: int = 0
    chunk: int = 1
    waited: float | None = None
    suspended: bool = False


class Removal(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Latest removal of a member: its epoch and the rest of its quarantine in seconds.

    ``remaining`` is None until an epoch that is not older is active.
    """

    epoch: Epoch
    remaining: float | None = None


class HoldingReport(msgspec.Struct, frozen=True, tag="limits.holdings", forbid_unknown_fields=True):
    """Holder to owner. A ``complete`` report states that the pools not listed are empty."""

    epoch: Epoch
    revision: ReleaseRevision
    sequence: int
    holdings: tuple[Holding, ...] = ()
    complete: bool = False
    removal: Removal | None = None


class Allocation(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Number of permits that a node may occupy, computed under the release ``revision``."""

    limit: LimitId
    version: int
    amount: int
    revision: ReleaseRevision


class AllocationBatch(
    msgspec.Struct, frozen=True, tag="limits.allocations", forbid_unknown_fields=True
):
    """Owner to holder. ``acknowledged`` is the sequence number of the report it answers.

    ``complete_from`` asks for a complete report as soon as the holder has that revision.
    """

    epoch: Epoch
    allocations: tuple[Allocation, ...] = ()
    acknowledged: int | None = None
    complete_from: ReleaseRevision | None = None


LimitMessage = HoldingReport | AllocationBatch


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """The node applied a release. Every revision is passed, in order."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ViewAdopted:
    """The node adopted a view.

    ``member_removed`` states that since this node's previous view a member was removed without a
    planned leave, or was replaced by a newer incarnation. ``departed`` names these members if they
    are known and the previous view is the one just before; an owner that stays then quarantines
    only what it had allocated to them.
    """

    epoch: Epoch
    members: frozenset[NodeId]
    active_members: frozenset[NodeId]
    member_removed: bool = False
    departed: frozenset[NodeId] | None = None


@dataclass(frozen=True, slots=True)
class EpochActive:
    """No node of an earlier epoch is confirmed any more."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another node."""

    sender: NodeId
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class Tick:
    """Passage of time; expected every 50 to 100 ms."""


@dataclass(frozen=True, slots=True)
class CapacityGained:
    """Pools that gained free permits: waiting work may be tried again."""

    limits: frozenset[LimitId]


LimitEvent = ConfigurationApplied | ViewAdopted | EpochActive | PeerMessage | Tick
LimitEffect = Send | ActionTaken | CapacityGained
