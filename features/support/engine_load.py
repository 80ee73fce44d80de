"""Simulates nodes that choose engines by reports of their peers, without network or threads.

An engine reads the prompts of its requests one after another. Each node knows its own requests at
once and those of its peers from their last heartbeat.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.catalogue.state import UpstreamEntry, UpstreamState
from chervilrack._internal.common.ids import NodeId, ServiceId, UpstreamId, ZoneId
from chervilrack._internal.fleet.core import FleetSettings
from chervilrack._internal.serving.state import ENGINE_OVERHEAD

ENGINE_TOKENS_PER_S = 38_400.0
ZONES = ("a", "b", "c", "d")


@dataclass(frozen=True)
class PromptKind:
    """A kind of request: its rate, and the prompt tokens of its own and shared parts.

    The own part is lognormal with mean ``own_tokens`` and log-scale deviation ``spread``, up to
    ``max_tokens``. The last shared part, ``session_tokens`` long, belongs to one of ``sessions``.
    """

    requests_per_s: float
    own_tokens: float
    spread: float
    max_tokens: int
    root_tokens: int
    session_tokens: int
    sessions: int


@dataclass
class _Engine:
    busy_until: timedelta = timedelta(0)
    cached_parts: set[str] = field(default_factory=set)


class EngineLoadSimulation:
    """One simulation with a seed; ``waits`` holds the time to the first byte of each request."""

    def __init__(self, kinds: tuple[PromptKind, ...], nodes: int, engines: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._now = timedelta(0)
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._entries = [
            UpstreamEntry(
                UpstreamId(f"e{number}"),
                ServiceId("model"),
                f"10.0.0.{number}:80",
                ZoneId(ZONES[number % len(ZONES)]),
                UpstreamState.READY,
                slots=32,
            )
            for number in range(engines)
        ]
        self._engines = {entry.id: _Engine() for entry in self._entries}
        self._balancers = [
            Balancer(ZoneId(ZONES[number % len(ZONES)]), random.Random(seed * 1000 + number))
            for number in range(nodes)
        ]
        settings = FleetSettings()
        self._interval = max(
            settings.min_heartbeat_interval, settings.heartbeat_interval_per_node * nodes
        )
        self.waits: list[timedelta] = []

    def run(self, seconds: float) -> None:
        """Simulate arrivals for some seconds, and run until all requests have their first byte."""
        end = timedelta(seconds=seconds)
        for kind in self._kinds:
            time = 0.0
            while (time := time + self._rng.expovariate(kind.requests_per_s)) < seconds:
                self._schedule(timedelta(seconds=time), lambda kind=kind: self._arrive(kind))
        for number in range(len(self._balancers)):
            self._schedule(
                self._interval * self._rng.random(), lambda number=number: self._report(number, end)
            )
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, at: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _report(self, number: int, end: timedelta) -> None:
        """Send the reports of one node to all its peers."""
        reports = self._balancers[number].local_reports(self._now)
        for other, balancer in enumerate(self._balancers):
            if other != number:
                balancer.set_peer_reports(NodeId(f"n{number}"), reports)
        if self._now < end:
            self._schedule(self._now + self._interval, lambda: self._report(number, end))

    def _arrive(self, kind: PromptKind) -> None:
        mu = math.log(kind.own_tokens) - kind.spread**2 / 2
        own = min(kind.max_tokens, round(self._rng.lognormvariate(mu, kind.spread)))
        parts = (
            (f"{id(kind)}-{self._rng.randrange(4)}", kind.root_tokens),
            (f"{id(kind)}-s{self._rng.randrange(kind.sessions)}", kind.session_tokens),
        )
        load = RequestLoad(own + kind.root_tokens + kind.session_tokens, parts)
        balancer = self._rng.choice(self._balancers)
        choice = balancer.choose(self._entries, load, self._now)
        assert choice is not None
        balancer.record_start(choice.upstream, load, self._now)
        engine = self._engines[choice.upstream]
        read_tokens = own + sum(n for part, n in parts if part not in engine.cached_parts)
        engine.cached_parts.update(part for part, _ in parts)
        started = self._now
        engine.busy_until = max(engine.busy_until, self._now) + timedelta(
            seconds=read_tokens / ENGINE_TOKENS_PER_S
        )

        def end() -> None:
            took = self._now - started + ENGINE_OVERHEAD
            self.waits.append(took)
            expected = choice.usual_wait + ENGINE_OVERHEAD
            balancer.observe_pace(choice.upstream, expected, took, self._now)
            balancer.record_success(choice.upstream, self._now)
            balancer.record_prompt_read(choice.upstream, load)
            balancer.record_end(choice.upstream)

        self._schedule(engine.busy_until, end)
