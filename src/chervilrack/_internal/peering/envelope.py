"""Encoding of messages between nodes: versioned and typed; unknown fields are refused."""

from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from chervilrack._internal.common.decoding import UnreadableValue, decode_value
from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.exceptions import ChervilrackError

PROTOCOL_VERSION = 1
# Messages whose revisions belong to an era of the store other than 0.
ERA_PROTOCOL_VERSION = 2
MAX_KIND_LENGTH = 80


class MessageRefused(ChervilrackError):
    """A received message has an unknown version, type or field."""


class _Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Wire format. ``reply_to`` is the sender's address while the sender is not a member."""

    version: int
    sender: str
    incarnation: str
    kind: str
    body: bytes
    reply_to: str = ""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A received message and the process that sent it.

    ``reply_to`` is the sender's address while the sender is not a member, otherwise empty.
    """

    sender: NodeId
    incarnation: Incarnation
    message: msgspec.Struct
    reply_to: str = ""


class MessageCodec:
    """Encodes and decodes messages of the registered types, in frames of known versions."""

    def __init__(self, versions: Collection[int] = (PROTOCOL_VERSION,)) -> None:
        self._versions = versions
        self._kinds: dict[type[msgspec.Struct], str] = {}
        self._decoders: dict[str, msgspec.msgpack.Decoder[msgspec.Struct]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(_Frame)

    def register(self, kind: str, message_type: type[msgspec.Struct]) -> None:
        """Add a message type under the name it has on the wire."""
        if kind in self._decoders:
            raise ValueError(f"message kind '{kind}' is registered twice")
        self._kinds[message_type] = kind
        self._decoders[kind] = msgspec.msgpack.Decoder(message_type)

    def is_registered(self, message_type: type[msgspec.Struct]) -> bool:
        """Whether a message type is registered."""
        return message_type in self._kinds

    def encode(
        self,
        sender: NodeId,
        incarnation: Incarnation,
        message: msgspec.Struct,
        reply_to: str = "",
    ) -> bytes:
        """Return the wire format of a message.

        A message with a ``protocol_version`` is sent in a frame of that version, which older nodes
        refuse.
        """
        kind = self._kinds[type(message)]
        body = self._encoder.encode(message)
        version = getattr(message, "protocol_version", PROTOCOL_VERSION)
        frame = _Frame(version, sender, incarnation, kind, body, reply_to)
        return self._encoder.encode(frame)

    def decode(self, data: bytes) -> Envelope:
        """Return the message and its sender. Raises MessageRefused if it cannot be decoded.

        Decoders have no effects, so any exception of theirs is one of the message.
        """
        try:
            frame = decode_value("frame", data, self._frame_decoder.decode)
        except UnreadableValue as error:
            raise MessageRefused(f"frame is malformed: {error.detail}") from None
        if frame.version not in self._versions:
            raise MessageRefused(f"protocol version {frame.version} is not supported")
        decoder = self._decoders.get(frame.kind)
        if decoder is None:
            raise MessageRefused(f"message kind '{frame.kind[:MAX_KIND_LENGTH]}' is unknown")
        try:
            message = decode_value(frame.kind, frame.body, decoder.decode)
        except UnreadableValue as error:
            raise MessageRefused(f"message '{frame.kind}' is malformed: {error.detail}") from None
        sender, incarnation = NodeId(frame.sender), Incarnation(frame.incarnation)
        return Envelope(sender, incarnation, message, frame.reply_to)
