"""Simulation of several nodes that route to shared engines with delayed load reports."""

import heapq
import random
from datetime import timedelta

from chervilrack._internal.releases.state import Limits, Upstream, UpstreamKind
from chervilrack._internal.routing.policies import routing_policies
from chervilrack._internal.routing.port import RouteContext

ENGINE_CONCURRENCY = 4
MEAN_SERVICE_TIME_S = 0.1
REPORT_PERIOD_S = 0.25


class Fleet:
    """Requests arrive at random nodes at a fixed mean rate, also while engines are busy.

    Each engine runs ``ENGINE_CONCURRENCY`` attempts and queues the rest.
    """

    def __init__(self, policy, nodes, engines, rate, lag, slowdowns, seed):
        self.rng = random.Random(seed)
        self.engines = tuple(
            Upstream(
                id=f"e{number}",
                team="t",
                kind=UpstreamKind.ENGINE,
                url="http://127.0.0.1:1",
                zone="z",
                limits=Limits(concurrency=ENGINE_CONCURRENCY),
                models=("m",),
            )
            for number in range(engines)
        )
        factory = routing_policies.get(policy)
        self.routers = [factory(random.Random(number), "z", None) for number in range(nodes)]
        self.rate, self.lag, self.slowdowns = rate, lag, slowdowns
        self.now = 0.0
        self.events = []
        self.scheduled_count = 0
        self.load = [0] * engines
        self.running = [0] * engines
        self.waiting = [[] for _ in range(engines)]
        self.latencies = []
        self.peak = 0

    def run(self, seconds):
        self.schedule(0.0, self.arrive)
        self.schedule(0.0, self.report)
        while self.events and self.events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.latencies.sort()

    def percentile(self, percent):
        """Return a percentile of the latencies in milliseconds."""
        return self.latencies[len(self.latencies) * percent // 100] * 1000

    def schedule(self, delay, action):
        self.scheduled_count += 1
        heapq.heappush(self.events, (self.now + delay, self.scheduled_count, action))

    def time(self):
        return timedelta(seconds=self.now)

    def arrive(self):
        router = self.rng.choice(self.routers)
        context = RouteContext(stage="s", organisation="o", model="m")
        decision = router.choose(self.engines, context, self.time())
        engine = int(decision.upstream[1:])
        attempt = f"a{self.scheduled_count}"
        router.attempt_started(attempt, decision.upstream, context, self.time())
        self.load[engine] += 1
        self.peak = max(self.peak, self.load[engine])
        job = (router, attempt, self.now)
        if self.running[engine] < ENGINE_CONCURRENCY:
            self.begin(engine, job)
        else:
            self.waiting[engine].append(job)
        self.schedule(self.rng.expovariate(self.rate), self.arrive)

    def begin(self, engine, job):
        self.running[engine] += 1
        duration = self.rng.expovariate(1 / MEAN_SERVICE_TIME_S) * self.slowdowns.get(engine, 1.0)
        self.schedule(duration, lambda: self.end(engine, job))

    def end(self, engine, job):
        router, attempt, started = job
        self.running[engine] -= 1
        self.load[engine] -= 1
        latency = self.now - started
        self.latencies.append(latency)
        router.attempt_finished(attempt, True, timedelta(seconds=latency), self.time())
        if self.waiting[engine]:
            self.begin(engine, self.waiting[engine].pop(0))

    def report(self):
        loads = list(self.load)
        self.schedule(self.lag, lambda: self.deliver(loads))
        self.schedule(REPORT_PERIOD_S, self.report)

    def deliver(self, loads):
        for router in self.routers:
            for number, load in enumerate(loads):
                router.report_load(f"e{number}", load, timedelta(seconds=self.lag), self.time())
