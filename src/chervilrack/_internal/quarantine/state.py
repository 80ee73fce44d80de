"""Types of the quarantine: profiles of requests, suspects with their crashes, and effects."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import NewType

from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.ids import ServiceId

# Something that requests have in common, such as one part of their prompts.
Trait = NewType("Trait", str)

_ZERO = timedelta(0)
# Begin of the traits that say who sent a request.
SENDER_PREFIXES = ("organisation ", "sender ")


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Evidence that blocks a trait, and the times of probes."""

    # Crashes, without a sound answer after the first of them, that block a trait. A sound trait
    # that a tenth of its attempts share a crash with is blocked once in a thousand times.
    crashes: int = 3
    # The same for a trait that less than this share of the crashes since its first one involve.
    # Upstreams crash for other reasons then, and a sound trait meets several of them by chance.
    usual_share: float = 0.4
    crashes_if_unusual: int = 5
    # Crashes that block a trait of which sound answers were known shortly before.
    crashes_after_soundness: int = 6
    soundness_memory: timedelta = timedelta(seconds=60)
    # Crashes that block a trait again that was blocked before and has had a sound answer since.
    crashes_after_block: int = 2
    # Crashes that block all suspects which the evidence does not tell apart.
    crashes_if_tied: int = 5
    # Time after the first report of a crash in which those of other nodes arrive. Only one of them
    # names the request that caused it.
    settle_time: timedelta = timedelta(milliseconds=100)
    # Crashes closer to each other than this count as one: an input ends an upstream by itself,
    # while a host or a rack ends several at once.
    crash_spacing: timedelta = timedelta(milliseconds=100)
    # Weight of a crash amid an answer; one before the first event weighs 1.
    late_crash_weight: float = 0.25
    # Longest random delay of an announcement that other nodes may make as well; the first one to
    # make it spares the others. At 195 nodes about ten announce within the latency of a message.
    announcement_delay: timedelta = timedelta(milliseconds=100)
    evidence_lifetime: timedelta = timedelta(minutes=10)
    # Time from a block to the first probe; it doubles with each probe, up to the longest.
    probe_interval: timedelta = timedelta(seconds=30)
    longest_probe_interval: timedelta = timedelta(minutes=10)
    # Time to the first probe if another suspect was blocked shortly before or at once: while one
    # input crashes upstreams, sound ones get few answers, and may be blocked in its stead.
    early_probe_interval: timedelta = timedelta(seconds=1)
    early_probe_window: timedelta = timedelta(seconds=10)
    # Time in which the outcome of a trial should be known: an upstream has read a long prompt.
    trial_time: timedelta = timedelta(seconds=5)
    # Random share that a node adds to the time of its probe, so that one node probes for all.
    probe_jitter: float = 0.5
    max_suspects: int = 1024
    max_crashes: int = 256
    max_known_traits: int = 4096


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """What a request has in common with others.

    ``traits`` are those that may crash an upstream of ``service``; sound answers on ``rare`` ones,
    which few other requests have, are not remembered. ``sender`` says who sent the request, which
    crashes none, but limits a block to the senders of the requests that did.
    """

    service: ServiceId
    traits: tuple[Trait, ...]
    sender: Trait
    rare: frozenset[Trait] = frozenset()

    @property
    def all_traits(self) -> frozenset[Trait]:
        """The traits and the sender."""
        return frozenset((*self.traits, self.sender))


@dataclass(frozen=True, slots=True)
class CrashedRequest:
    """A request that a crash ended; ``at_start`` if no event of its answer had arrived."""

    profile: RequestProfile
    at_start: bool


@dataclass(frozen=True, slots=True)
class Crash:
    """End of an upstream at a monotonic time, and whether it was at the start of an answer."""

    at: timedelta
    at_start: bool


@dataclass(slots=True)
class Suspect:
    """A trait and the crashes in which requests with it were ended.

    ``common`` holds what all of these requests had in common. Requests with all of it are refused;
    of those with the trait, but not all of it, one at a time is sent as a trial, which lasts until
    ``trial_until`` at most. ``blocked_at`` is None while the evidence does not suffice, and
    ``is_doubtful`` is whether something else may have caused the crashes behind a block.
    ``is_reported`` is whether the suspicion has been reported, and ``seen_at`` the time of the last
    evidence or refusal.
    """

    service: ServiceId
    trait: Trait
    common: frozenset[Trait]
    crashes: dict[UpstreamIncarnation, Crash] = field(default_factory=dict)
    blocked_at: timedelta | None = None
    was_blocked: bool = False
    is_doubtful: bool = False
    is_reported: bool = False
    probes: int = 0
    next_probe: timedelta = _ZERO
    trial_until: timedelta = _ZERO
    seen_at: timedelta = _ZERO

    @property
    def first_crash_at(self) -> timedelta:
        """Time of the first crash."""
        return min(crash.at for crash in self.crashes.values())

    @property
    def senders(self) -> frozenset[Trait]:
        """Who sent all the requests, empty if they came from several senders."""
        return frozenset(trait for trait in self.common if trait.startswith(SENDER_PREFIXES))


class SuspectEvent(Enum):
    """What has changed about a suspect."""

    SUSPECTED = "suspected"
    BLOCKED = "blocked"
    NARROWED = "narrowed"
    PROBED = "probed"
    RESTORED = "restored"
    CLEARED = "cleared"


@dataclass(frozen=True, slots=True)
class SuspectChanged:
    """Effect: report a change of a suspect."""

    event: SuspectEvent
    service: ServiceId
    trait: Trait
    common: frozenset[Trait]
    crashes: Sequence[tuple[UpstreamIncarnation, Crash]]


@dataclass(frozen=True, slots=True)
class AnnounceSoundness:
    """Effect: tell the other nodes of a sound answer on a suspect at a monotonic time."""

    service: ServiceId
    trait: Trait
    at: timedelta
    is_whole: bool


@dataclass(frozen=True, slots=True)
class AnnounceProbe:
    """Effect: tell the other nodes that this one probes a blocked trait."""

    service: ServiceId
    trait: Trait


@dataclass(frozen=True, slots=True)
class AnnounceTrial:
    """Effect: tell the other nodes that a request with a blocked trait is sent as a trial."""

    service: ServiceId
    trait: Trait


QuarantineEffect = SuspectChanged | AnnounceSoundness | AnnounceProbe | AnnounceTrial


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request gets no upstream, and the time until a request like it is tried again."""

    trait: Trait
    crashes: int
    retry_after: timedelta
