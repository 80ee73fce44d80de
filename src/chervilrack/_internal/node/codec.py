"""All message types that nodes exchange, under their names on the wire."""

import re
from collections.abc import Mapping
from typing import Any, get_args

import msgspec

from chervilrack._internal.limits.messages import LimitMessage
from chervilrack._internal.membership.messages import MembershipMessage
from chervilrack._internal.orders.messages import OrderMessage
from chervilrack._internal.peering.envelope import MessageCodec
from chervilrack._internal.releases.messages import ReleaseMessage

# The unions are the slices' own lists: a new message is registered and routed with them.
_UNIONS: Mapping[str, Any] = {
    "limits": LimitMessage,
    "membership": MembershipMessage,
    "orders": OrderMessage,
    "releases": ReleaseMessage,
}


def message_types(part: str) -> tuple[type[msgspec.Struct], ...]:
    """Return the message types of one slice."""
    types: tuple[type[msgspec.Struct], ...] = get_args(_UNIONS[part])
    return types


def create_codec() -> MessageCodec:
    """Return a codec that knows the messages of every slice."""
    codec = MessageCodec()
    for part in _UNIONS:
        for message_type in message_types(part):
            codec.register(f"{part}.{_dashed(message_type.__name__)}", message_type)
    return codec


def _dashed(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "-", name).lower()
