"""Messages between nodes, and the events and effects of the membership core."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import Epoch, Incarnation, NodeId, ReleaseRevision
from chervilrack._internal.membership.state import (
    Departed,
    DoubtfulEpoch,
    Member,
    OutageGrant,
    Process,
    UnsealedEpoch,
    View,
)


class SilentMember(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Member that a relay has not heard for ``age_ms`` milliseconds."""

    node: NodeId
    age_ms: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb", forbid_unknown_fields=True):
    """Request for confirmation. ``sent`` is in microseconds of the sender's monotonic clock.

    ``confirmed`` says whether the sender may act at the moment.
    ``grant_partitions`` is non-zero while the sender asks for an outage grant. ``no_tickets``
    says that the sender holds no unwritten tickets of an outage. ``held`` are the grants that the
    sender gave as a witness.
    """

    epoch: Epoch
    release: ReleaseRevision
    sent: int
    sealed: Epoch
    confirmed: bool = False
    silent: tuple[SilentMember, ...] = ()
    suspected: tuple[NodeId, ...] = ()
    grant_partitions: int = 0
    no_tickets: bool = True
    outstanding_grants: tuple[OutageGrant, ...] = ()


class HeartbeatReply(
    msgspec.Struct, frozen=True, array_like=True, tag="hr", forbid_unknown_fields=True
):
    """Answer to a heartbeat; ``sent`` is copied from it.

    ``confirmed`` is the vote of a witness. ``remaining`` is a relay's own validity in
    microseconds, 0 if it does not confirm. ``accepted`` is the sender's
    ``witness_release_majority``, which nodes behind relays cannot find out. ``written`` are
    grants whose tickets were written.
    """

    to: Incarnation
    epoch: Epoch
    release: ReleaseRevision
    sent: int
    sealed: Epoch
    accepted: ReleaseRevision = ReleaseRevision(0)
    confirmed: bool = False
    remaining: int = 0
    granted: bool = False
    outstanding_grants: tuple[OutageGrant, ...] = ()
    doubtful: tuple[DoubtfulEpoch, ...] = ()
    released_grants: tuple[OutageGrant, ...] = ()


class ViewRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="vr", forbid_unknown_fields=True
):
    """Request for the view if it is newer than ``epoch``; the answer goes to ``reply_address``."""

    epoch: Epoch
    reply_address: str


class ViewPush(msgspec.Struct, frozen=True, array_like=True, tag="vp", forbid_unknown_fields=True):
    """Whole view and the platform revision of its record."""

    view: View
    mod_revision: int


class ViewDelta(msgspec.Struct, frozen=True, array_like=True, tag="vd", forbid_unknown_fields=True):
    """Difference between the view of the epoch ``base`` and a later one.

    ``witnesses`` is None if they did not change; ``forgotten`` and ``departed`` are the entries
    of ``departed`` that were dropped and added.
    """

    base: Epoch
    epoch: Epoch
    mod_revision: int
    changed: tuple[Member, ...]
    removed: tuple[NodeId, ...]
    witnesses: tuple[Process, ...] | None
    forgotten: tuple[Departed, ...]
    departed: tuple[Departed, ...]
    unsealed: tuple[UnsealedEpoch, ...]
    doubtful: tuple[DoubtfulEpoch, ...]
    release: ReleaseRevision
    written_by: str


class ViewAnnounce(
    msgspec.Struct, frozen=True, array_like=True, tag="va", forbid_unknown_fields=True
):
    """Hint that a newer view exists; the receiver requests it."""

    epoch: Epoch


MembershipMessage = Heartbeat | HeartbeatReply | ViewRequest | ViewPush | ViewDelta | ViewAnnounce


class WriteOutcome(Enum):
    """Outcome of a platform write."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ViewLearned:
    """The view was read from the platform or reported by a watch."""

    view: View
    mod_revision: int


@dataclass(frozen=True, slots=True)
class ViewAbsent:
    """The platform was read and has no view."""


@dataclass(frozen=True, slots=True)
class ViewWriteFinished:
    """A ``WriteView`` ended; ``mod_revision`` is the record's new revision if it was applied."""

    outcome: WriteOutcome
    mod_revision: int = 0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message arrived from a process of another node."""

    sender: NodeId
    incarnation: Incarnation
    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; to be given every 100 ms or more often."""


@dataclass(frozen=True, slots=True)
class VmListLearned:
    """The platform's list was read; ``gone`` are the nodes whose VM has stopped."""

    stopped_nodes: frozenset[NodeId]


@dataclass(frozen=True, slots=True)
class PlatformReachable:
    """A platform call succeeded or failed."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class ReleaseApplied:
    """This node has applied a release revision.

    ``head_mod_revision`` is the platform revision of ``release/head`` that recorded it, if known.
    """

    revision: ReleaseRevision
    head_mod_revision: int | None = None


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This node shall leave: it is marked as leaving."""


@dataclass(frozen=True, slots=True)
class Drained:
    """The leaving node has finished its requests: it removes itself."""


@dataclass(frozen=True, slots=True)
class PartitionsOwned:
    """Bit set of the order partitions that this node executes; asked for in outage grants."""

    partitions: int


@dataclass(frozen=True, slots=True)
class OutageTicketsWritten:
    """All tickets and outcomes of outage mode are on the platform."""


MembershipEvent = (
    ViewLearned
    | ViewAbsent
    | ViewWriteFinished
    | PeerMessage
    | Tick
    | VmListLearned
    | PlatformReachable
    | ReleaseApplied
    | LeaveRequested
    | Drained
    | PartitionsOwned
    | OutageTicketsWritten
)


@dataclass(frozen=True, slots=True)
class ContactSeed:
    """Send ``message`` to the node at a seed address whose id is not known."""

    address: str
    message: ViewRequest


@dataclass(frozen=True, slots=True)
class WriteView:
    """Put the view if its record is at ``expected_mod_revision`` (0: absent).

    If ``head_mod_revision`` is set, the transaction also compares ``release/head`` with it, so
    that ``view.release`` is the newest recorded release.
    """

    view: View
    expected_mod_revision: int
    head_mod_revision: int | None = None


@dataclass(frozen=True, slots=True)
class ReadView:
    """Read the view; answer with ``ViewLearned`` or ``ViewAbsent``."""


@dataclass(frozen=True, slots=True)
class ViewAdopted:
    """This node follows ``view`` from now on."""

    view: View
    mod_revision: int
    previous: View | None


@dataclass(frozen=True, slots=True)
class EpochActive:
    """No node is confirmed at an epoch before ``epoch`` any more."""

    epoch: Epoch
    doubtful_epochs: tuple[DoubtfulEpoch, ...] = ()


@dataclass(frozen=True, slots=True)
class DoubtfulEpochsChanged:
    """Doubts about sealed epochs were added or cleared after activation."""

    doubtful_epochs: tuple[DoubtfulEpoch, ...]


@dataclass(frozen=True, slots=True)
class OutageGrantChanged:
    """Whether orders may run on tickets in memory at ``epoch``, while confirmed."""

    granted: bool
    epoch: Epoch


MembershipEffect = (
    Send
    | ActionTaken
    | ContactSeed
    | WriteView
    | ReadView
    | ViewAdopted
    | EpochActive
    | DoubtfulEpochsChanged
    | OutageGrantChanged
)


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What this node knows of another member; None where nothing was heard."""

    node: NodeId
    time_since_last_message: timedelta | None
    epoch: Epoch | None
    release: ReleaseRevision | None
