"""Load of a fleet of quarantines while requests with a common part crash engine after engine.

Simulated time, messages and engines; the quarantines are those of real nodes. Times in seconds.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.ids import ServiceId, UpstreamId
from chervilrack._internal.quarantine.core import Quarantine
from chervilrack._internal.quarantine.state import (
    AnnounceProbe,
    AnnounceSoundness,
    AnnounceTrial,
    CrashedRequest,
    RequestProfile,
    SuspectChanged,
    SuspectEvent,
    Trait,
)

SERVICE = ServiceId("engine")
HEARTBEAT_PER_NODE = 0.0125
MIN_HEARTBEAT = 0.3
LATENCY = (0.002, 0.01)
RETURN_S = 2.0
# A node finds out within a round trip that an upstream refuses connections.
CHECK_S = 0.005
SHARED_SUSPECTS = 4


def td(seconds):
    return timedelta(seconds=seconds)


@dataclass(slots=True)
class Fleet:
    """Sizes and rates of a simulated fleet."""

    nodes: int = 7
    engines: int = 6
    sound_rate: float = 24.0
    duration: float = 1.5
    organisations: int = 5
    first_parts: int = 3
    further_parts: int = 4


@dataclass(slots=True)
class Trouble:
    """What happens during a run.

    ``crashing`` parts come at ``rate`` a second altogether from ``begin`` on, from ``sender`` if it
    is set. ``next_senders`` are times from which they come from another sender.
    ``random_crashes`` are the times of crashes without a cause in requests, ``racks`` those
    at which half of the engines end at once. ``lost`` is the share of messages that are lost. The
    first ``away`` nodes neither send nor receive anything up to ``away_until``.
    """

    begin: float = 5.0
    rate: float = 4.0
    crashing: tuple = ("dead",)
    random_crashes: tuple = ()
    racks: tuple = ()
    lost: float = 0.0
    away: int = 0
    away_until: float = 0.0
    sender: str | None = None
    next_senders: tuple = ()


@dataclass(slots=True)
class _Engine:
    number: int
    incarnation: UpstreamIncarnation
    is_up: bool = True
    running: dict = field(default_factory=dict)


@dataclass(slots=True)
class _Request:
    number: int
    node: int
    profile: RequestProfile
    crashing: bool
    events: int = 0
    engine: _Engine | None = None


class QuarantineLoad:
    """One run; ``run`` returns when the time is over."""

    def __init__(self, fleet, trouble, seed):
        self.fleet, self.trouble = fleet, trouble
        self._rng = random.Random(seed)
        self.nodes = [Quarantine(random.Random(f"{seed}-{n}")) for n in range(fleet.nodes)]
        self._events = []
        self._numbers = itertools.count(1)
        self._now = 0.0
        self._engines = [self._start_engine(n) for n in range(fleet.engines)]
        # Times of crashes that requests have caused, and of such requests at engines, by part.
        self.crashes = {part: [] for part in trouble.crashing}
        self.crashing_arrivals = {part: [] for part in trouble.crashing}
        self.sent_crashing = 0
        self.sound = []
        self.refused_sound = []
        self.wrongly_blocked = Counter()
        self.blocked_at = {}
        self.messages = Counter()

    def run(self, end):
        """Simulate up to ``end``."""
        trouble = self.trouble
        self._at(0.0, lambda: self._arrive(False))
        self._at(trouble.begin, lambda: self._arrive(True))
        for at in trouble.random_crashes:
            self._at(at, self._crash_any)
        for at in trouble.racks:
            self._at(at, self._crash_rack)
        for number in range(len(self.nodes)):
            self._at(self._rng.uniform(0, self._heartbeat), lambda n=number: self._beat(n))
        while self._events and self._events[0][0] <= end:
            self._now, _, action = heapq.heappop(self._events)
            action()

    @property
    def _heartbeat(self):
        return max(MIN_HEARTBEAT, HEARTBEAT_PER_NODE * len(self.nodes))

    def _at(self, at, action):
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _is_away(self, node):
        return node < self.trouble.away and self._now < self.trouble.away_until

    # Requests

    def _arrive(self, crashing):
        rate = self.trouble.rate if crashing else self.fleet.sound_rate
        self._at(self._now + self._rng.expovariate(rate), lambda: self._arrive(crashing))
        node = self._rng.randrange(len(self.nodes))
        if self._is_away(node):
            return
        request = _Request(next(self._numbers), node, self._profile(crashing), crashing)
        refusal, effects = self.nodes[node].admit(request.profile, td(self._now), may_probe=True)
        self._perform(node, effects)
        if crashing:
            self.sent_crashing += 1
        else:
            self.sound.append(self._now)
        if refusal is not None:
            if not crashing:
                self.refused_sound.append(self._now)
            return
        up = [engine for engine in self._engines if engine.is_up]
        if not up:
            return
        request.engine = engine = self._rng.choice(up)
        engine.running[request.number] = request
        if crashing:
            self.crashing_arrivals[self._part(request)].append(self._now)
        self._at(self._now + self._rng.uniform(0.03, 0.3), lambda: self._begin(request, engine))

    def _profile(self, crashing):
        fleet, rng = self.fleet, self._rng
        parts = [f"a{rng.randrange(fleet.first_parts)}"]
        parts += [f"{level}{rng.randrange(fleet.further_parts)}" for level in "bcd"]
        if crashing:
            parts.insert(rng.randint(1, 3), rng.choice(self.trouble.crashing))
        sender = f"org{rng.randrange(fleet.organisations)}"
        if crashing and self.trouble.sender:
            sender = self.trouble.sender
            for at, next_sender in self.trouble.next_senders:
                sender = next_sender if self._now >= at else sender
        return RequestProfile(SERVICE, tuple(map(Trait, parts)), Trait(sender))

    def _begin(self, request, engine):
        if request.number not in engine.running:
            return
        if request.crashing:
            self.crashes[self._part(request)].append(self._now)
            self._crash(engine)
            return
        request.events = 1
        gap = self.fleet.duration / 8
        self._at(self._now + gap, lambda: self._go_on(request, engine))
        end = self._now + self.fleet.duration * self._rng.uniform(0.5, 1.5)
        self._at(end, lambda: self._end(request, engine))

    def _go_on(self, request, engine):
        if request.number in engine.running:
            node = self.nodes[request.node]
            self._perform(request.node, node.record_start(request.profile, td(self._now)))

    def _end(self, request, engine):
        if engine.running.pop(request.number, None) is not None:
            node = self.nodes[request.node]
            self._perform(request.node, node.record_answer(request.profile, td(self._now)))

    # Engines

    def _start_engine(self, number):
        start = next(self._numbers)
        return _Engine(number, UpstreamIncarnation(UpstreamId(f"e{number}-{start}"), start))

    def _crash_any(self):
        up = [engine for engine in self._engines if engine.is_up]
        if up:
            self._crash(self._rng.choice(up))

    def _crash_rack(self):
        for engine in self._engines[: len(self._engines) // 2]:
            if engine.is_up:
                self._crash(engine)

    def _part(self, request):
        return next(part for part in self.trouble.crashing if part in request.profile.traits)

    def _crash(self, engine):
        engine.is_up = False
        cut = {}
        for request in engine.running.values():
            cut.setdefault(request.node, []).append(
                CrashedRequest(request.profile, request.events == 0)
            )
        engine.running = {}
        crashed_at = self._now
        for node, requests in cut.items():
            self._at(
                self._now + CHECK_S * self._rng.uniform(0.5, 2),
                lambda n=node, r=requests: self._found(n, engine.incarnation, crashed_at, r),
            )
        self._at(self._now + RETURN_S, lambda: self._replace(engine))

    def _replace(self, engine):
        self._engines[engine.number] = self._start_engine(engine.number)

    def _found(self, node, incarnation, crashed_at, requests):
        self._crash_at(node, incarnation, crashed_at, requests)
        self._broadcast(
            node, "crash", lambda n: self._crash_at(n, incarnation, crashed_at, requests)
        )

    def _crash_at(self, node, incarnation, crashed_at, requests):
        now = td(self._now)
        effects = self.nodes[node].record_crash(incarnation, td(crashed_at), requests, now)
        self._perform(node, effects)

    # Messages

    def _perform(self, node, effects):
        due = self.nodes[node].next_time
        if due is not None:
            self._at(max(self._now, due.total_seconds()) + 1e-6, lambda: self._tick(node))
        for effect in effects:
            match effect:
                case AnnounceSoundness(service, trait, at, is_whole):
                    self._broadcast(
                        node,
                        "soundness",
                        lambda n, a=(service, trait, at), w=is_whole: self._perform(
                            n, self.nodes[n].receive_soundness(*a, is_whole=w)
                        ),
                    )
                case AnnounceProbe(service, trait):
                    self._broadcast(
                        node,
                        "probe",
                        lambda n, a=(service, trait): self.nodes[n].receive_probe(
                            *a, td(self._now)
                        ),
                    )
                case AnnounceTrial(service, trait):
                    self._broadcast(
                        node,
                        "trial",
                        lambda n, a=(service, trait): self.nodes[n].receive_trial(
                            *a, td(self._now)
                        ),
                    )
                case SuspectChanged(SuspectEvent.BLOCKED, _, trait):
                    self.blocked_at.setdefault(trait, {}).setdefault(node, self._now)
                    if trait not in self.trouble.crashing:
                        self.wrongly_blocked[trait] += 1

    def _tick(self, node):
        effects = self.nodes[node].tick(td(self._now))
        if effects:
            self._perform(node, effects)

    def _broadcast(self, sender, kind, action):
        for node in range(len(self.nodes)):
            if node != sender:
                self._send(sender, node, kind, action)

    def _send(self, sender, node, kind, action):
        self.messages[kind] += 1
        if self._rng.random() < self.trouble.lost or self._is_away(sender):
            return

        def deliver():
            if not self._is_away(node):
                action(node)

        self._at(self._now + self._rng.uniform(*LATENCY), deliver)

    def _beat(self, node):
        self._at(self._now + self._heartbeat, lambda: self._beat(node))
        for suspect in self.nodes[node].take_shared(SHARED_SUSPECTS):
            key = (suspect.service, suspect.trait)
            content = (
                suspect.common,
                tuple(suspect.crashes.items()),
                suspect.probes,
                suspect.next_probe,
            )

            def receive(n, key=key, content=content):
                self._perform(n, self.nodes[n].merge(key, *content, td(self._now)))

            self._broadcast(node, "suspect", receive)

    # Results

    def late_arrivals(self, contact_s):
        """Return how many requests with a part arrived after its bound, for the worst part."""
        late = [0]
        for part, crashes in self.crashes.items():
            if len(crashes) >= 5:
                bound = crashes[4] + contact_s
                late.append(sum(at > bound for at in self.crashing_arrivals[part]))
        return max(late)

    def refused_share(self, begin, end):
        """Return the share of sound requests that were refused in a time."""
        sent = sum(begin <= at < end for at in self.sound)
        return sum(begin <= at < end for at in self.refused_sound) / max(1, sent)
