"""Effects that several decision cores return."""

from dataclasses import dataclass

import msgspec

from chervilrack._internal.common.ids import NodeId


@dataclass(frozen=True, slots=True)
class Send:
    """Request to send a message to another node; delivery is at most once and unordered."""

    to: NodeId
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class ActionTaken:
    """Automatic action, reported as one log line, one metric and one explanation entry."""

    part: str
    action: str
    subject: str
    reason: str
