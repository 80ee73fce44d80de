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
    """Member from which a relay has received no heartbeat for ``age_ms`` milliseconds."""

    node: NodeId
    age_ms: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb", forbid_unknown_fields=True):
    """Request for confirmation; ``sent`` is in microseconds of the sender's monotonic clock.

    ``sealed`` is the highest epoch that the sender knows to be sealed with all earlier epochs.
    ``confirmed`` says whether the sender may act at the moment. ``silent`` is the report of a
    relay, ``suspected`` that of a witness. ``grant_partitions`` is non-zero while the sender
    requests an outage grant. ``no_tickets`` says that the sender holds no unwritten tickets of an
    outage. ``outstanding_grants`` are the grants that the sender has given as a witness and whose
    tickets are not known to be written.
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
    """Reply to the heartbeat that was sent at ``sent``.

    ``confirmed`` is the vote of a witness. ``remaining`` is the remaining validity of a relay in
    microseconds, 0 if the relay does not confirm the sender of the heartbeat. ``accepted`` is the
    ``witness_release_majority`` of the replying node, which nodes that talk only to relays cannot
    compute. ``granted`` is a witness's vote for an outage grant. ``released_grants`` are grants
    whose tickets were reported as written.
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
    """Request for the view if it is newer than ``epoch``; the reply goes to ``reply_address``."""

    epoch: Epoch
    reply_address: str


class ViewPush(msgspec.Struct, frozen=True, array_like=True, tag="vp", forbid_unknown_fields=True):
    """Whole view, with the platform revision of its record."""

    view: View
    mod_revision: int


class ViewDelta(msgspec.Struct, frozen=True, array_like=True, tag="vd", forbid_unknown_fields=True):
    """Difference between the view of the epoch ``base`` and a later one.

    ``witnesses`` is None if the witnesses did not change. ``forgotten`` and ``departed`` are the
    entries that the later view dropped from ``View.departed`` and added to it.
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
    """Announcement of a view; a receiver that has an older view requests the new one."""

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
    """The view was read from the platform, or a watch reported it."""

    view: View
    mod_revision: int


@dataclass(frozen=True, slots=True)
class ViewAbsent:
    """The platform was read and holds no view."""


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
    """Time has passed. The caller submits a tick at least every 100 ms."""


@dataclass(frozen=True, slots=True)
class VmListLearned:
    """The platform's VM list was read; ``stopped_nodes`` are the nodes whose VM has stopped."""

    stopped_nodes: frozenset[NodeId]


@dataclass(frozen=True, slots=True)
class PlatformReachable:
    """A platform call succeeded (``reachable``) or failed."""

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
    """This node is to leave; the view then marks it as leaving."""


@dataclass(frozen=True, slots=True)
class Drained:
    """The leaving node has finished its requests and can be removed from the view."""


@dataclass(frozen=True, slots=True)
class PartitionsOwned:
    """Bit set of the order partitions that this node executes and requests in outage grants."""

    partitions: int


@dataclass(frozen=True, slots=True)
class OutageTicketsWritten:
    """All tickets and outcomes of an outage are written to the platform."""


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
    """Send ``message`` to the node at a seed address; the id of the node is not known."""

    address: str
    message: ViewRequest


@dataclass(frozen=True, slots=True)
class WriteView:
    """Write the view if the revision of its record is ``expected_mod_revision`` (0: absent).

    If ``head_mod_revision`` is set, the transaction also requires that revision of
    ``release/head``, so that ``view.release`` is the newest recorded release.
    """

    view: View
    expected_mod_revision: int
    head_mod_revision: int | None = None


@dataclass(frozen=True, slots=True)
class ReadView:
    """Read the view; the result is a ``ViewLearned`` or ``ViewAbsent`` event."""


@dataclass(frozen=True, slots=True)
class ViewAdopted:
    """This node has adopted ``view``."""

    view: View
    mod_revision: int
    previous: View | None


@dataclass(frozen=True, slots=True)
class EpochActive:
    """``epoch`` is active: no node is confirmed at an earlier epoch any more."""

    epoch: Epoch
    doubtful_epochs: tuple[DoubtfulEpoch, ...] = ()


@dataclass(frozen=True, slots=True)
class DoubtfulEpochsChanged:
    """The doubtful epochs have changed since this node last reported them."""

    doubtful_epochs: tuple[DoubtfulEpoch, ...]


@dataclass(frozen=True, slots=True)
class OutageGrantChanged:
    """Whether orders may run on tickets in memory at ``epoch``, while the node is confirmed."""

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
    """What this node knows of another member; None without a message from the member."""

    node: NodeId
    time_since_last_message: timedelta | None
    epoch: Epoch | None
    release: ReleaseRevision | None
