"""Simulates nodes that choose upstreams of uneven pace by reports of a set age, without network."""

import heapq
import itertools
import random
import statistics
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.catalogue.state import UpstreamEntry, UpstreamState
from chervilrack._internal.common.ids import NodeId, ServiceId, UpstreamId, ZoneId

SERVICE, ZONE = ServiceId("s"), ZoneId("z")
NO_TOKENS = RequestLoad()
UPSTREAMS, SLOTS, QUEUE = 36, 4, 2
USUAL = timedelta(milliseconds=200)
# Share of the slots that are busy on average, without the time of requests that wait.
USE = 0.6
# One upstream in six takes 2.5 times as long.
PACES = [2.5 if number % 6 == 0 else 1.0 for number in range(UPSTREAMS)]
PRESENT = "knows the present"


@dataclass
class LoadResult:
    """Outcome of a simulation.

    ``spread`` is the deviation of the requests at upstreams relative to their mean, ``full`` the
    share of requests that met a full upstream, ``wait`` the mean wait for a slot in s.
    """

    spread: float = 0.0
    full: float = 0.0
    wait: float = 0.0


@dataclass
class _Upstream:
    pace: float
    busy: int = 0
    waiting: list = field(default_factory=list)


def simulate(policy, nodes, age, seeds, seconds=5.0):
    """Return the mean results of simulations with some seeds."""
    results = [StaleLoadSimulation(policy, nodes, age, seed).run(seconds) for seed in seeds]
    return LoadResult(
        statistics.fmean(result.spread for result in results),
        statistics.fmean(result.full for result in results),
        statistics.fmean(result.wait for result in results),
    )


class StaleLoadSimulation:
    """One simulation with a seed; reports are ``age`` old on average when they are used."""

    def __init__(self, policy, nodes, age, seed):
        self._rng = random.Random(seed)
        present = policy == PRESENT
        # Nodes that know the present share one balancer, which counts all requests exactly.
        self._balancers = [
            Balancer(
                ZONE,
                random.Random(seed * 1000 + number),
                policy="expected-wait" if present else policy,
            )
            for number in range(1 if present else nodes)
        ]
        self._interval = 2 * age
        self._entries = [
            UpstreamEntry(
                UpstreamId(f"u{n}"), SERVICE, f"10.0.0.{n}:80", ZONE, UpstreamState.READY, SLOTS
            )
            for n in range(UPSTREAMS)
        ]
        self._upstreams = {
            entry.id: _Upstream(pace) for entry, pace in zip(self._entries, PACES, strict=True)
        }
        self._now = timedelta(0)
        self._events, self._order = [], itertools.count()
        self._spreads, self._waits = [], []
        self._met_full = self._arrivals = 0

    def run(self, seconds):
        """Simulate requests for some seconds and return the result without the first second."""
        capacity = sum(SLOTS / USUAL.total_seconds() / pace for pace in PACES)
        at = 0.0
        while (at := at + self._rng.expovariate(capacity * USE)) < seconds:
            self._schedule(timedelta(seconds=at), self._arrive)
        for number in range(len(self._balancers)):
            self._schedule(self._interval * self._rng.random(), self._report, number, seconds)
        while self._events:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return LoadResult(
            statistics.fmean(self._spreads),
            self._met_full / self._arrivals,
            statistics.fmean(self._waits),
        )

    def _schedule(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _report(self, number, seconds):
        reports = self._balancers[number].local_reports(self._now)
        for other, balancer in enumerate(self._balancers):
            if other != number:
                balancer.set_peer_reports(NodeId(f"n{number}"), reports, self._now)
        if self._now < timedelta(seconds=seconds):
            self._schedule(self._now + self._interval, self._report, number, seconds)

    def _arrive(self):
        balancer = self._rng.choice(self._balancers)
        choice = balancer.choose(self._entries, NO_TOKENS, self._now)
        upstream = self._upstreams[choice.upstream]
        counted = self._now >= timedelta(seconds=1)
        if upstream.busy == SLOTS and len(upstream.waiting) >= QUEUE:
            self._met_full += counted
            self._arrivals += counted
            return
        balancer.record_start(choice.upstream, NO_TOKENS, self._now)
        request = (balancer, choice.upstream, self._now, counted)
        if upstream.busy < SLOTS:
            self._start(upstream, request)
        else:
            upstream.waiting.append(request)
        if counted:
            self._arrivals += 1
            loads = [u.busy + len(u.waiting) for u in self._upstreams.values()]
            self._spreads.append(statistics.pstdev(loads) / statistics.fmean(loads))

    def _start(self, upstream, request):
        upstream.busy += 1
        if request[3]:
            self._waits.append((self._now - request[2]).total_seconds())
        took = USUAL * upstream.pace * self._rng.uniform(0.5, 1.5)
        self._schedule(self._now + took, self._end, upstream, request)

    def _end(self, upstream, request):
        balancer, name, started, _ = request
        upstream.busy -= 1
        took = self._now - started
        balancer.record_end(name)
        balancer.record_success(name, self._now)
        balancer.observe_pace(name, balancer.times.of(SERVICE).first_byte, took, self._now)
        balancer.times.record_first_byte(SERVICE, took)
        balancer.times.record_stay(SERVICE, took)
        if upstream.waiting:
            self._start(upstream, upstream.waiting.pop(0))
