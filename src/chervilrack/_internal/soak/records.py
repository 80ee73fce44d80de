"""Observations of a soak by its callers and upstreams. Times are monotonic seconds."""

import enum
import math
from dataclasses import dataclass, field

# Documented bound ``recoverS`` of the smallest site.
RECOVERY_S = 12.0


class Kind(enum.Enum):
    """Kind of a request; the value is the path prefix of its route."""

    ORDER = "/order/"
    READ = "/read/"
    STREAM = "/stream/"
    STAGED = "/stream/staged/"


class Ending(enum.Enum):
    """How a request ended, as its caller observed it."""

    # The response was complete, with any status.
    ANSWERED = "answered"
    # The connection failed after the header fields and before the end of the body.
    CUT_OFF = "cut off"
    # The connection was closed before the header fields of a response.
    CLOSED = "closed"
    # The connection was reset before the header fields. A process that ends, or closes a
    # connection, with unread bytes resets it.
    RESET = "reset"
    # No connection was made, or it failed before the last byte of the request was sent.
    NOT_SENT = "not sent"
    TIMED_OUT = "timed out"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request, as its caller observed it.

    ``node`` is the address that it was sent to. ``sent_at`` is when its last byte was sent, 0 if
    it wasn't. ``signer`` is the upstream that signed the response, "" if none did. ``was_read`` is
    whether the node had read all bytes of a connection that it closed without a response.
    ``crashing_part`` is the part of the prompt on which engines crash, "" for sound requests.
    """

    id: str
    kind: Kind
    node: str
    started_at: float
    ended_at: float
    ending: Ending
    status: int = 0
    body: bytes = b""
    key: str = ""
    sent_at: float = 0.0
    signer: str = ""
    was_read: bool = False
    crashing_part: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request by an upstream."""

    request: str
    upstream: str
    executed_at: float
    kind: Kind


@dataclass(frozen=True, slots=True)
class Fault:
    """One planned fault; ``start`` is in seconds after the start of the load."""

    start: float
    kind: str
    target: str
    duration: float
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of a request, or of pieces of its stages, at an upstream; it may be rejected.

    Pieces of several requests that arrive together have the same ``call``.
    """

    request: str
    upstream: str
    at: float
    call: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """End of an upstream because of a request; it is back ``returned_at``."""

    upstream: str
    request: str
    at: float
    returned_at: float


class NoticeKind(enum.Enum):
    """What an upstream says about itself in a response."""

    LEAVING = "leaving"
    HOLD_OFF = "hold off"


@dataclass(frozen=True, slots=True)
class Notice:
    """Statement of an upstream about itself in its response to a request.

    ``until`` is when it stops to apply: the upstream's next start or the end of its hold.
    """

    kind: NoticeKind
    request: str
    upstream: str
    at: float
    until: float = math.inf


@dataclass(frozen=True, slots=True)
class Disruption:
    """Time in which a fault was in force; ``target`` is the address of a node or an upstream."""

    kind: str
    target: str
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """Contents of the operator's configuration that a soak changes. Times are in seconds."""

    keys: tuple[str, ...]
    organisations: int = 1
    idle_timeout: float = 15.0
    route_timeout: float = 5.0
    is_moved: bool = False
    moved_share: float = 0.0
    extra_routes: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A configuration that the operator has written; ``acknowledged_at`` is the store's answer."""

    configuration: Configuration
    sent_at: float
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class KeyRemoval:
    """Replacement of an API key; ``removed_at`` is when the store had acknowledged it."""

    key: str
    removed_at: float
    new_key: str = ""


@dataclass(frozen=True, slots=True)
class MemoryExcess:
    """Private memory of a node in bytes that exceeds its limit."""

    node: str
    used_bytes: int
    limit_bytes: int


@dataclass(slots=True)
class Evidence:
    """All observations of a soak.

    ``faults_ended_at`` is when the last fault had ended; every request that starts ``recovery``
    seconds later must be served. Upstreams worked on a request for ``longest_work`` seconds or
    less.
    """

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    crashes: list[UpstreamCrash] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    key_removals: list[KeyRemoval] = field(default_factory=list)
    configurations: list[ConfigurationChange] = field(default_factory=list)
    exit_problems: list[str] = field(default_factory=list)
    excesses: list[MemoryExcess] = field(default_factory=list)
    faults_ended_at: float = 0.0
    recovery: float = RECOVERY_S
    longest_work: float = 2.5


@dataclass(frozen=True, slots=True)
class Violation:
    """One observation that breaks a promise of the service."""

    promise: str
    subject: str
    detail: str
