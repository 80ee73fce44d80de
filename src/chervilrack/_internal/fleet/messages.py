"""Messages by which nodes see each other and share what the store last said."""

import msgspec

from chervilrack._internal.balancing.state import UpstreamReport


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A node's state, sent to every known node.

    ``peers`` are peer addresses this node hears from. ``configuration`` and ``directory`` are the
    newest configuration version and store revision that the node holds, ``ready_for_ms`` the time
    since it became ready, ``interval_ms`` the time until its next heartbeat.
    """

    address: str
    callers: str
    zone: str
    ready: bool
    leaving: bool
    configuration: int
    directory: int
    store_answers: bool
    reports: tuple[UpstreamReport, ...]
    peers: tuple[str, ...]
    ready_for_ms: int = 0
    interval_ms: int = 0


class StateWanted(msgspec.Struct, frozen=True, array_like=True):
    """Ask a node for the configuration and upstreams that it holds."""

    configuration: int


class StateGiven(msgspec.Struct, frozen=True, array_like=True):
    """Configuration as stored (empty if the asker has it) and all upstream registrations.

    ``upstreams`` holds key, value and revision of each, ``missing`` the names of upstreams whose
    registrations have ended and may come back.
    """

    configuration: bytes
    revision: int
    upstreams: tuple[tuple[str, bytes, int], ...]
    missing: tuple[str, ...] = ()
