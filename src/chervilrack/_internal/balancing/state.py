"""Types of the choice of upstreams: settings, status and reports of upstreams, request load."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Annotated

import msgspec

from chervilrack._internal.balancing.silence import SilencePolicy
from chervilrack._internal.common.ids import RegionId, UpstreamId, ZoneId
from chervilrack._internal.common.units import Milliseconds

_ZERO = timedelta(0)
_Load = Annotated[int, msgspec.Meta(ge=0, le=10**15)]
_Ratio = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


@dataclass(frozen=True, slots=True)
class BalancingSettings:
    """Parameters of the choice of upstreams and of outlier ejection."""

    # Prompt tokens that an engine reads in a second.
    prefill_tokens_per_s: float = 38_400.0
    # Factor for the shared prompt tokens that an upstream must read again because it does not have
    # them cached. The expected wait adds these tokens, times the factor, to the prompt tokens that
    # are not shared. ``prefers_home`` applies the factor to all shared tokens. It exceeds 1 because
    # reading them again also delays other requests that need the engine.
    reread_weight: float = 2.0
    # Wait that each running request adds for a new one: an engine reads prompts in chunks of
    # 4096 tokens, between the decoding steps of the running requests.
    running_request_cost: timedelta = timedelta(milliseconds=4)
    # Cost of an upstream in another zone: two crossings of 1.4 ms.
    cross_zone_cost: timedelta = timedelta(milliseconds=3)
    # Cost of inputs that cross zones. Moving a megabyte costs as much as reading 320 tokens
    # again, which takes 16 ms with the weight above.
    move_cost_per_mb: timedelta = timedelta(milliseconds=16)
    # Consecutive failures after which an upstream is ejected.
    ejection_failures: int = 2
    # The ejection time doubles with each ejection, up to the longest.
    ejection_time: timedelta = timedelta(seconds=1)
    longest_ejection_time: timedelta = timedelta(seconds=6)
    # Share of a service's upstreams that always stay in use.
    min_usable_share: float = 0.5
    # Weight of one observation in the moving average of an upstream's pace.
    pace_weight: float = 0.3
    # Half-life of a pace and of an error share without new observations.
    pace_half_life: timedelta = timedelta(seconds=4)
    # Weight of one response in the moving average of an upstream's error share.
    error_weight: float = 0.1
    # Error share that does not count against an upstream, as all upstreams of a service may have
    # it because of the requests.
    tolerated_error_share: float = 0.2
    # Cost in seconds of an error share of 1.
    error_cost_s: float = 1.0
    # Peers that have to report an upstream as failing before this node avoids it without failures
    # of its own.
    min_suspecting_peers: int = 2
    # Random candidates that are compared for a request, in addition to the home of its session.
    sampled_candidates: int = 2
    # Prompt parts that are remembered as cached by one upstream.
    max_cached_parts: int = 4096
    silence: SilencePolicy = field(default_factory=SilencePolicy)


class UpstreamReport(msgspec.Struct, frozen=True, array_like=True):
    """One node's report about one upstream: its own requests there and the failures it has seen.

    The fields are as in ``UpstreamStatus``; ``pace`` is the measured one (``PaceBook``).
    ``silent_ms`` is for how long the upstream has been silent, 0 if it is not.
    """

    upstream: str
    in_flight: _Load
    waiting_tokens: _Load
    suspected: bool
    pace: _Ratio
    error_share: _Ratio
    silent_ms: Milliseconds = 0


@dataclass(slots=True)
class UpstreamStatus:
    """State of one upstream as one node sees it.

    ``waiting_tokens`` are the prompt tokens of this node's requests that have no first byte yet.
    ``error_share`` is the moving average of the share of responses that report an error of the
    upstream. Without new observations it returns to normal.
    ``ejections`` sets the length of the next ejection; a return after an ejection lowers it by 1.
    ``cached_parts`` holds the prompt parts that were sent to the upstream, oldest first, with the
    time of their last use.

    ``last_heard`` is when the last bytes arrived from the upstream on any connection. While
    ``silent_since`` is set, ``silent_attempts`` attempts have waited in vain since then, the last
    one until ``silent_until``, and ``silent_ejections`` of the ``ejections`` have no other cause.
    ``slow_since`` is the time of an observation of the pace that one silence may explain, and that
    does not count until a later request confirms it.
    """

    in_flight: int = 0
    waiting_tokens: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: timedelta = _ZERO
    probing: bool = False
    last_success: timedelta | None = None
    error_share: float = 0.0
    error_share_at: timedelta = _ZERO
    cached_parts: OrderedDict[str, timedelta] = field(default_factory=OrderedDict)
    last_heard: timedelta | None = None
    silent_since: timedelta | None = None
    silent_until: timedelta = _ZERO
    silent_attempts: int = 0
    silent_ejections: int = 0
    slow_since: timedelta | None = None


@dataclass(frozen=True, slots=True)
class PeerSummary:
    """Summary of the peers' reports about one upstream.

    ``pace`` is the median and ``error_share`` the mean of the reported values; the highest of them
    would grow with the number of peers. ``silent_since`` is when the upstream fell silent if enough
    peers report that. The other fields are sums.
    """

    in_flight: int = 0
    waiting_tokens: int = 0
    suspecting_peers: int = 0
    pace: float = 1.0
    error_share: float = 0.0
    silent_since: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RequestLoad:
    """Load that one request puts on an upstream.

    ``prompt_tokens`` is the length of the prompt; ``shared_parts`` holds the ids and sizes of its
    leading parts that other requests share, in order. ``inputs`` holds the bytes that the
    upstream fetches from each zone. ``homes`` are the regions of the upstreams that may get it,
    None if all may.
    """

    prompt_tokens: int = 0
    shared_parts: tuple[tuple[str, int], ...] = ()
    inputs: tuple[tuple[ZoneId, int], ...] = ()
    homes: frozenset[RegionId] | None = None

    @property
    def session(self) -> str | None:
        """The id of the last shared part; None if the request has no shared parts.

        Requests of one session go to the same engine where possible, which has their prompt cached.
        """
        return self.shared_parts[-1][0] if self.shared_parts else None

    @property
    def shared_tokens(self) -> int:
        """The tokens of all shared parts."""
        return sum(tokens for _, tokens in self.shared_parts)

    def moved_bytes(self, zone: ZoneId) -> int:
        """Return the bytes of inputs that cross zones if the upstream is in ``zone``."""
        return sum(size for source, size in self.inputs if source != zone)


@dataclass(frozen=True, slots=True)
class UpstreamChoice:
    """The chosen upstream, with the reason for the log.

    ``expected_wait`` is the expected time until the first byte, ``usual_wait`` the same for an
    upstream with a pace of 1. ``candidates`` is the number of upstreams that were compared, and
    ``report_age`` the mean age of the peers' reports, if the policy considers it.
    """

    upstream: UpstreamId
    reason: str
    expected_wait: timedelta
    usual_wait: timedelta
    candidates: int
    report_age: timedelta | None = None
