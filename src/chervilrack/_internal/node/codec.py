"""Codec of all messages between nodes, registered under their names on the wire."""

import re
from collections.abc import Mapping
from typing import Any, get_args

import msgspec

from chervilrack._internal.limits.messages import LimitMessage
from chervilrack._internal.membership.messages import MembershipMessage
from chervilrack._internal.orders.messages import OrderMessage
from chervilrack._internal.peering.envelope import MessageCodec
from chervilrack._internal.releases.messages import ReleaseMessage

# A message type that a component adds to its union is registered with the codec and routed too.
_MESSAGE_UNIONS: Mapping[str, Any] = {
    "limits": LimitMessage,
    "membership": MembershipMessage,
    "orders": OrderMessage,
    "releases": ReleaseMessage,
}


def message_types(component: str) -> tuple[type[msgspec.Struct], ...]:
    """Return the message types of one component, such as ``limits``."""
    types: tuple[type[msgspec.Struct], ...] = get_args(_MESSAGE_UNIONS[component])
    return types


def create_codec() -> MessageCodec:
    """Return a codec with the message types of all components registered."""
    codec = MessageCodec()
    for component in _MESSAGE_UNIONS:
        for message_type in message_types(component):
            codec.register(f"{component}.{_kebab_case(message_type.__name__)}", message_type)
    return codec


def _kebab_case(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "-", name).lower()
