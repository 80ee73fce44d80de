"""What callers and upstreams saw during a soak. Times are monotonic seconds."""

import enum
from dataclasses import dataclass, field


class Kind(enum.Enum):
    """Kinds of requests; the value is the path prefix of the route."""

    ORDER = "/order/"
    READ = "/read/"
    STREAM = "/stream/"
    STAGED = "/stream/staged/"


class Ending(enum.Enum):
    """How an attempt ended for its caller."""

    # A whole answer with any status.
    ANSWERED = "answered"
    # The answer broke off visibly.
    CUT_OFF = "cut off"
    NO_CONNECTION = "no connection"
    TIMED_OUT = "timed out"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request as its caller saw it."""

    id: str
    kind: Kind
    node: str
    began: float
    ended: float
    ending: Ending
    status: int = 0
    body: bytes = b""
    key: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request by an upstream."""

    request: str
    upstream: str
    at: float
    kind: Kind


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a plan; ``start`` and ``length`` are seconds from the begin of the load."""

    start: float
    kind: str
    target: str
    length: float
    detail: str = ""


@dataclass(frozen=True, slots=True)
class KeyChange:
    """The operator's removal of a key; ``at`` is when the store had acknowledged it."""

    key: str
    at: float


@dataclass(slots=True)
class Evidence:
    """All that a soak saw. ``quiet_from`` is when the last fault had ended."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    replaced_keys: list[KeyChange] = field(default_factory=list)
    node_exits: list[str] = field(default_factory=list)
    quiet_from: float = 0.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise."""

    promise: str
    subject: str
    detail: str
