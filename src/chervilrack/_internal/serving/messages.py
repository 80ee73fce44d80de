"""Registry of the messages between serving nodes with their names on the wire."""

from chervilrack._internal.batching import messages as batching
from chervilrack._internal.changefeed import messages as changefeed
from chervilrack._internal.fleet import messages as fleet
from chervilrack._internal.peering.envelope import (
    ERA_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
    MessageCodec,
)
from chervilrack._internal.quarantine import messages as quarantine


def serving_codec() -> MessageCodec:
    """Return a codec that knows all messages between serving nodes."""
    codec = MessageCodec((PROTOCOL_VERSION, ERA_PROTOCOL_VERSION))
    codec.register("fleet.heartbeat", fleet.Heartbeat)
    codec.register("fleet.state-wanted", fleet.StateRequest)
    codec.register("fleet.state-given", fleet.StateReply)
    codec.register("batching.pieces-wanted", batching.PiecesWanted)
    codec.register("batching.pieces-queued", batching.PiecesQueued)
    codec.register("batching.pieces-begun", batching.PiecesBegun)
    codec.register("batching.pieces-made", batching.PiecesMade)
    codec.register("batching.pieces-dropped", batching.PiecesDropped)
    codec.register("batching.pieces-returned", batching.PiecesReturned)
    codec.register("batching.results-released", batching.ResultsReleased)
    codec.register("changefeed.progress", changefeed.StoreProgress)
    codec.register("quarantine.crash", quarantine.CrashReport)
    codec.register("quarantine.soundness", quarantine.SoundnessReport)
    codec.register("quarantine.probe", quarantine.ProbeReport)
    return codec
