"""The agreed view, which is stored under the platform key ``view``, and membership settings."""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec

from chervilrack._internal.common.ids import (
    Epoch,
    Incarnation,
    NodeId,
    ReleaseRevision,
    ZoneId,
)

VIEW_KEY = "view"
VIEW_FORMAT = 1
# Bounds the size of the view. At 1,100 restarts a day, 64 entries cover more than an hour.
MAX_DEPARTED = 64


class MemberState(Enum):
    """State of a member. A leaving member owns no items, and look-ups do not return its address."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Process(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One run of a node's process."""

    node: NodeId
    incarnation: Incarnation


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Member of a view. ``failures`` counts its recent removals on suspicion."""

    node: NodeId
    incarnation: Incarnation
    zone: ZoneId
    peer_address: str
    http_address: str
    state: MemberState = MemberState.ACTIVE
    failures: int = 0

    @property
    def process(self) -> Process:
        """Node and incarnation of the member."""
        return Process(self.node, self.incarnation)


class UnsealedEpoch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Earlier epoch that is not known to be sealed, and its witnesses."""

    epoch: Epoch
    witnesses: tuple[Process, ...]


class Departed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Recently removed process. ``drained`` says whether it left as planned, without open requests.

    ``epoch`` is the first epoch without the process.
    """

    node: NodeId
    incarnation: Incarnation
    epoch: Epoch
    failures: int = 0
    drained: bool = False


class OutageGrant(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Outage grant of a process; ``partitions`` is the bit set of the order partitions.

    ``sent`` is the send time of the heartbeat that requested the grant, in microseconds of the
    process's monotonic clock. Messages may be reordered, so ``sent`` puts the grants and reports
    of one process in order.
    """

    process: Process
    partitions: int
    sent: int


class DoubtfulEpoch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sealed epoch in which orders may have run without a ticket on the platform.

    ``holders`` are the outage grants whose tickets may be unwritten. ``lost`` means that too few
    witnesses reported their grants, so that orders of any partition may be affected.
    """

    epoch: Epoch
    holders: tuple[OutageGrant, ...] = ()
    lost: bool = False


class View(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Agreed membership of one epoch. Every change of the record raises the epoch by one.

    ``members`` are sorted by node. ``release`` is the release that the writer of the view had
    applied. Witnesses confirm no node with an older release, so that new witnesses cannot confirm
    a release that earlier witnesses refused.
    """

    epoch: Epoch
    members: tuple[Member, ...]
    witnesses: tuple[Process, ...]
    departed: tuple[Departed, ...] = ()
    unsealed: tuple[UnsealedEpoch, ...] = ()
    doubtful: tuple[DoubtfulEpoch, ...] = ()
    release: ReleaseRevision = ReleaseRevision(0)
    written_by: str = ""
    format: int = VIEW_FORMAT

    def member(self, node: NodeId) -> Member | None:
        """Return the member with the id ``node``, or None."""
        index = bisect_left(self.members, node, key=lambda member: member.node)
        match = self.members[index : index + 1]
        return match[0] if match and match[0].node == node else None

    def has(self, process: Process) -> bool:
        """Whether ``process`` is a member with its current incarnation."""
        member = self.member(process.node)
        return member is not None and member.incarnation == process.incarnation

    def active_members(self) -> Iterator[Member]:
        """Yield the members that are not leaving; only these may own items."""
        return (member for member in self.members if member.state is MemberState.ACTIVE)


def encode_view(view: View) -> bytes:
    """Return the JSON form of ``view`` that is stored under ``VIEW_KEY``."""
    return msgspec.json.encode(view)


def decode_view(value: bytes) -> View:
    """Return the view that is encoded in ``value``.

    Raises msgspec.ValidationError for an unknown field, a wrong type or another format number.
    """
    view = msgspec.json.decode(value, type=View)
    if view.format != VIEW_FORMAT:
        raise msgspec.ValidationError(
            f"view has format {view.format}; this version reads format {VIEW_FORMAT}"
        )
    return view


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times and sizes of the membership protocol, and the peer addresses of the seed nodes."""

    seeds: tuple[str, ...] = ()
    heartbeat_interval: timedelta = timedelta(milliseconds=500)
    large_heartbeat_interval: timedelta = timedelta(seconds=1)
    relay_threshold: int = 12
    relays_per_zone: int = 2
    max_witnesses: int = 7
    confirmation_ttl: timedelta = timedelta(seconds=2)
    clock_margin: float = 0.01
    suspicion_timeout: timedelta = timedelta(seconds=3)
    rank_delay: timedelta = timedelta(milliseconds=500)
    outage_grant_delay: timedelta = timedelta(seconds=2)
    join_retry: timedelta = timedelta(milliseconds=500)
    join_retry_max: timedelta = timedelta(seconds=8)
    # A joining node waits at most this long for replies from a majority of witnesses. Without
    # these replies a link is usually broken, and the witnesses would remove the node again.
    join_probe_timeout: timedelta = timedelta(seconds=10)
    flap_delay: timedelta = timedelta(seconds=2)
    flap_delay_max: timedelta = timedelta(minutes=5)
    flap_reset: timedelta = timedelta(minutes=10)
    seed_interval: timedelta = timedelta(seconds=1)
    read_interval: timedelta = timedelta(seconds=5)
    # Longest time for which the platform's VM list may describe the previous VM of a node id.
    vm_list_lag: timedelta = timedelta(minutes=2)
    retry_horizon: timedelta = timedelta(minutes=10)

    @property
    def validity(self) -> timedelta:
        """Time for which a confirmation is valid on the clock of the confirmed node."""
        return self.confirmation_ttl * (1 - self.clock_margin)

    @property
    def activation_wait(self) -> timedelta:
        """Time from the sealing of all earlier epochs to the activation of the new epoch."""
        return self.confirmation_ttl * (1 + self.clock_margin)

    def interval(self, members: int) -> timedelta:
        """Return the interval of heartbeats to witnesses for a view with ``members`` members."""
        large = members > self.relay_threshold
        return self.large_heartbeat_interval if large else self.heartbeat_interval
