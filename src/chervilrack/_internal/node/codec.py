"""All message types that nodes exchange, under their names on the wire."""

from chervilrack._internal.limits import messages as limits
from chervilrack._internal.membership import messages as membership
from chervilrack._internal.orders import messages as orders
from chervilrack._internal.peering.envelope import MessageCodec
from chervilrack._internal.releases import messages as releases


def create_codec() -> MessageCodec:
    """Return a codec that knows the messages of every slice."""
    codec = MessageCodec()
    for kind, message_type in (
        ("membership.heartbeat", membership.Heartbeat),
        ("membership.reply", membership.HeartbeatReply),
        ("membership.announce", membership.ViewAnnounce),
        ("membership.request", membership.ViewRequest),
        ("membership.push", membership.ViewPush),
        ("membership.delta", membership.ViewDelta),
        ("releases.announcement", releases.ReleaseAnnouncement),
        ("releases.notes-request", releases.NotesRequest),
        ("releases.notes-reply", releases.NotesReply),
        ("releases.snapshot-request", releases.SnapshotRequest),
        ("releases.snapshot-part", releases.SnapshotPart),
        ("orders.submit", orders.SubmitOrder),
        ("orders.look-up", orders.LookUpOrder),
        ("orders.answered", orders.OrderAnswered),
        ("limits.holdings", limits.HoldingReport),
        ("limits.allocations", limits.AllocationBatch),
    ):
        codec.register(kind, message_type)
    return codec
