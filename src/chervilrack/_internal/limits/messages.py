"""Messages between limit owners and holders, and the events and effects of ``LimitService``."""

from dataclasses import dataclass

import msgspec

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import Epoch, LimitId, NodeId, ReleaseRevision
from chervilrack._internal.releases.state import Configuration


class Holding(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """State of one pool at one node.

    The values are absolute and not differences, so the next report makes up for a lost one.

    ``version`` is the version of the last adopted allocation, and ``cap`` is its amount.
    ``total_demand`` is the number of permits that the node could use: those in use and those that
    waiting work needs. ``largest_attempt`` is the largest number of permits that one waiting
    attempt needs at once. ``waiting_s`` is the time in seconds since the pool last served waiting
    work, or None if no work waits. A ``suspended`` pool dispatches nothing until the node receives
    an allocation that was computed under the lowered limit.
    """

    limit: LimitId
    version: int
    cap: int
    in_use: int
    total_demand: int = 0
    largest_attempt: int = 1
    waiting_s: float | None = None
    suspended: bool = False


class Removal(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Latest removal of a member: the epoch that removed it, and its remaining quarantine.

    ``remaining`` is in seconds. The value is None until ``epoch`` or a later epoch is active.
    """

    epoch: Epoch
    remaining: float | None = None


class HoldingReport(msgspec.Struct, frozen=True, tag="limits.holdings", forbid_unknown_fields=True):
    """Message from a holder to an owner with the state of the holder's pools.

    A ``complete`` report states that all pools that it does not list are empty.
    """

    epoch: Epoch
    revision: ReleaseRevision
    sequence: int
    holdings: tuple[Holding, ...] = ()
    complete: bool = False
    removal: Removal | None = None


class Allocation(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Number of permits of one limit that a node may occupy.

    ``revision`` is the release revision under which the owner computed the amount.
    """

    limit: LimitId
    version: int
    amount: int
    revision: ReleaseRevision


class AllocationBatch(
    msgspec.Struct, frozen=True, tag="limits.allocations", forbid_unknown_fields=True
):
    """Message from an owner to a holder with new allocations.

    ``acknowledged`` is the sequence number of the report that the batch answers. ``complete_from``
    asks the holder for a complete report as soon as it has applied that release revision.
    """

    epoch: Epoch
    allocations: tuple[Allocation, ...] = ()
    acknowledged: int | None = None
    complete_from: ReleaseRevision | None = None


LimitMessage = HoldingReport | AllocationBatch


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """The node applied a release. The events of all revisions arrive, in order."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ViewAdopted:
    """The node adopted a view.

    ``member_removed`` states that since the node's previous view a member was removed without a
    planned leave, or was replaced by a newer incarnation. ``departed`` names these members if they
    are known and the previous view belongs to the preceding epoch. An owner that was the owner in
    the previous view as well then quarantines only the permits reserved for these members.
    """

    epoch: Epoch
    members: frozenset[NodeId]
    active_members: frozenset[NodeId]
    member_removed: bool = False
    departed: frozenset[NodeId] | None = None


@dataclass(frozen=True, slots=True)
class EpochActive:
    """The epoch is active: no node of an earlier epoch is confirmed any more."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another node."""

    sender: NodeId
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event, expected every 50 to 100 ms."""


@dataclass(frozen=True, slots=True)
class CapacityGained:
    """Limits that gained free permits: the node may try to dispatch waiting work again."""

    limits: frozenset[LimitId]


LimitEvent = ConfigurationApplied | ViewAdopted | EpochActive | PeerMessage | Tick
LimitEffect = Send | ActionTaken | CapacityGained
