"""Observations of a soak by its callers and upstreams. Times are monotonic seconds."""

import enum
from dataclasses import dataclass, field


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
    # The connection failed before the header fields of a response.
    NO_CONNECTION = "no connection"
    TIMED_OUT = "timed out"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request, as its caller observed it."""

    id: str
    kind: Kind
    node: str
    started_at: float
    ended_at: float
    ending: Ending
    status: int = 0
    body: bytes = b""
    key: str = ""


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
class KeyRemoval:
    """Removal of an API key; ``removed_at`` is when the store had acknowledged the removal."""

    key: str
    removed_at: float


@dataclass(slots=True)
class Evidence:
    """All observations of a soak; ``faults_ended_at`` is when the last fault had ended."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    key_removals: list[KeyRemoval] = field(default_factory=list)
    exit_problems: list[str] = field(default_factory=list)
    faults_ended_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Violation:
    """One observation that breaks a promise of the service."""

    promise: str
    subject: str
    detail: str
