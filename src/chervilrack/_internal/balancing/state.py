"""What one node knows about the load and health of upstreams, and its settings."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from chervilrack._internal.common.ids import UpstreamId, ZoneId

_ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class BalancingSettings:
    """Tuning of the choice of upstreams."""

    # Prompt tokens an engine reads in a second; the engines' sheet says 38.4 in a millisecond.
    prefill_tokens_per_s: float = 38_400.0
    # A shared part that is read again takes time of the engine that others need, too: it counts
    # this many times its own reading time.
    reread_weight: float = 2.0
    # Time that one more running request adds to the wait of a new one: prompts are read in
    # chunks of 4096 tokens between the tokens of the requests that run.
    running_cost: timedelta = timedelta(milliseconds=4)
    # Extra cost of another zone for a request: two crossings of 1.4 ms.
    zone_cost: timedelta = timedelta(milliseconds=3)
    # Cost of inputs that cross zones: the users' sheets price a megabyte like 320 tokens that are
    # read again, which take 16 ms.
    move_cost_per_mb: timedelta = timedelta(milliseconds=16)
    # Failures in a row after which an upstream gets no work for a while.
    eject_failures: int = 2
    eject_time: timedelta = timedelta(seconds=1)
    eject_time_longest: timedelta = timedelta(seconds=6)
    # Share of a service's upstreams that always stay in use.
    usable_floor: float = 0.5
    # Weight of one observation in an upstream's pace.
    pace_weight: float = 0.3
    # Time in which a pace without new observations moves half way back to normal.
    pace_half_life: timedelta = timedelta(seconds=4)
    # Weight of one answer in an upstream's share of failures of its own, the share that all
    # upstreams of a service may have, and the cost in seconds of a share of 1.
    error_weight: float = 0.1
    usual_errors: float = 0.2
    error_cost: float = 1.0
    # Peers that report an upstream as failing before this node avoids it without own evidence.
    suspecting_peers: int = 2
    cached_parts: int = 4096


class UpstreamReport(msgspec.Struct, frozen=True, array_like=True):
    """One node's view of one upstream: its own work there and its own evidence of failures."""

    upstream: str
    in_flight: int
    tokens: int
    suspected: bool
    pace: float
    errors: float


@dataclass(slots=True)
class UpstreamStatus:
    """State of one upstream as one node sees it.

    ``tokens`` are prompt tokens of own requests that have not produced a first event. ``pace`` is
    the ratio of observed to expected times, ``errors`` the share of answers that are failures of
    the upstream itself; both fade.
    """

    in_flight: int = 0
    tokens: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: timedelta = _ZERO
    probing: bool = False
    last_success: timedelta | None = None
    pace: float = 1.0
    pace_at: timedelta = _ZERO
    errors: float = 0.0
    errors_at: timedelta = _ZERO
    cached: OrderedDict[str, timedelta] = field(default_factory=OrderedDict)


@dataclass(frozen=True, slots=True)
class OthersView:
    """Sum of other nodes' reports about one upstream."""

    in_flight: int = 0
    tokens: int = 0
    suspecting: int = 0
    pace: float = 1.0
    errors: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestLoad:
    """One request to be placed.

    ``tokens`` is the prompt; ``parts`` its shared parts in order, with their sizes. ``session``
    is the last shared part: requests of one session go to the same engine where they can.
    ``inputs`` holds the bytes that the upstream fetches from each zone.
    """

    prompt_tokens: int = 0
    shared_parts: tuple[tuple[str, int], ...] = ()
    inputs: tuple[tuple[ZoneId, int], ...] = ()

    @property
    def session(self) -> str | None:
        """The last shared part, None for work without a prompt."""
        return self.shared_parts[-1][0] if self.shared_parts else None

    @property
    def shared_tokens(self) -> int:
        """Tokens of all shared parts."""
        return sum(tokens for _, tokens in self.shared_parts)

    def moved_bytes(self, zone: ZoneId) -> int:
        """Return the bytes of inputs that cross zones if the work is done in ``zone``."""
        return sum(size for source, size in self.inputs if source != zone)


@dataclass(frozen=True, slots=True)
class UpstreamChoice:
    """Choice of an upstream, and the figures that decided it.

    ``wait`` is the expected time until the first byte, ``usual`` the same at the usual pace.
    """

    upstream: UpstreamId
    reason: str
    expected_wait: timedelta
    usual_wait: timedelta
    candidates: int
