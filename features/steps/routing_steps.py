"""Steps for routing."""

import random
from collections import Counter
from datetime import timedelta

from behave import given, then, when
from routing_fleet import Fleet

from chervilrack._internal.releases.state import Limits, Upstream, UpstreamKind
from chervilrack._internal.routing.affinity import CacheEvent
from chervilrack._internal.routing.measure import measure_decision_time
from chervilrack._internal.routing.policies import routing_policies
from chervilrack._internal.routing.port import RouteContext

MODEL = "m"


class Simulation:
    """One router with engines whose service time is known."""

    def __init__(self, policy, engines, seed, zones=1):
        self.router = routing_policies.get(policy)(random.Random(seed), "z0", None)
        self.rng = random.Random(seed + 1)
        self.engines = tuple(engine(number, zones) for number in range(engines))
        self.now = timedelta(seconds=100)
        self.slow = {}
        self.failing = set()
        self.chosen = Counter()
        self.reasons = Counter()
        self.actions = []
        self.number = 0
        self.in_flight = []

    def context(self, **values):
        return RouteContext(stage="generate", organisation="o", model=MODEL, **values)

    def choose(self, context=None):
        decision = self.router.choose(self.engines, context or self.context(), self.now)
        if decision is not None:
            self.chosen[decision.upstream] += 1
            self.reasons[decision.reason] += 1
        return decision

    def start(self, decision, context=None):
        self.number += 1
        self.router.attempt_started(
            f"a{self.number}", decision.upstream, context or self.context(), self.now
        )
        return f"a{self.number}"

    def run(self, requests, gap=0.02):
        """Send requests one after the other; up to a few run side by side."""
        for _ in range(requests):
            self.finish_due()
            decision = self.choose()
            if decision is not None:
                attempt = self.start(decision)
                factor = self.slow.get(decision.upstream, 1.0)
                duration = timedelta(seconds=self.rng.uniform(0.08, 0.12) * factor)
                self.in_flight.append((self.now + duration, attempt, decision.upstream, duration))
            self.now += timedelta(seconds=gap)
        self.actions += self.router.drain_actions()

    def finish_due(self):
        for item in sorted(i for i in self.in_flight if i[0] <= self.now):
            self.in_flight.remove(item)
            ends, attempt, upstream, duration = item
            self.router.attempt_finished(attempt, upstream not in self.failing, duration, ends)

    def acted(self, action, upstream):
        return any(a.action == action and a.subject == upstream for a in self.actions)


def engine(number, zones=1):
    return Upstream(
        id=f"e{number}",
        team="t",
        kind=UpstreamKind.ENGINE,
        url="http://127.0.0.1:1",
        zone=f"z{number % zones}",
        limits=Limits(concurrency=4),
        models=(MODEL,),
    )


@given('routing with policy "{policy}" over {engines:d} engines in {zones:d} zones')
def given_router(context, policy, engines, zones):
    context.sim = Simulation(policy, engines, seed=5, zones=zones)


@given("routing sees engine {number:d} slower by factor {factor:g}")
def slower(context, number, factor):
    context.sim.slow[f"e{number}"] = factor


@given("routing sees engines {numbers} fail")
@when("routing sees engines {numbers} fail")
def failing(context, numbers):
    context.sim.failing = {f"e{number}" for number in numbers.split(",")}


@when("routing sees engines recover and {seconds:g} s pass")
def recover(context, seconds):
    context.sim.failing = set()
    context.sim.now += timedelta(seconds=seconds)
    context.sim.finish_due()
    context.sim.chosen.clear()


@when("routing sends {requests:d} requests")
def send(context, requests):
    context.sim.chosen.clear()
    context.sim.run(requests)


@when("routing sends {requests:d} requests, one every {gap:d} ms")
def send_densely(context, requests, gap):
    context.sim.chosen.clear()
    context.sim.run(requests, gap / 1000)


@when("routing adds engine {number:d} and sends {requests:d} requests")
def add_engine(context, number, requests):
    context.sim.engines = (*context.sim.engines, engine(number))
    context.sim.chosen.clear()
    context.sim.run(requests)


@when("routing engine {number:d} reports load {load:g} of {age:g} s ago")
def report_load(context, number, load, age):
    context.sim.router.report_load(f"e{number}", load, timedelta(seconds=age), context.sim.now)


@when("routing has {count:d} requests in flight at engine {number:d}")
def in_flight(context, count, number):
    sim = context.sim
    for _ in range(count):
        sim.number += 1
        sim.router.attempt_started(f"a{sim.number}", f"e{number}", sim.context(), sim.now)


@when("routing waits {seconds:g} s")
def wait(context, seconds):
    context.sim.now += timedelta(seconds=seconds)
    context.sim.finish_due()


@when('routing engine {number:d} sends cache events "{events}"')
def cache_events(context, number, events):
    """Each event is SEQUENCE:+HASHES or SEQUENCE:-HASHES or SEQUENCE:clear, with @AGE if late."""
    for text in events.split():
        described, _, age = text.partition("@")
        sequence, _, change = described.partition(":")
        hashes = tuple(map(int, change[1:].split(","))) if change[0] in "+-" else ()
        event = CacheEvent(
            sequence=int(sequence),
            stored=hashes if change[0] == "+" else (),
            evicted=hashes if change[0] == "-" else (),
            cleared=change == "clear",
            age=timedelta(seconds=float(age or 0)),
        )
        context.sim.router.cache_event(f"e{number}", event, context.sim.now)
        context.sim.now += timedelta(milliseconds=10)


@when("routing sends one request with prefixes {hashes} to engine {number:d}")
def send_prefix(context, hashes, number):
    sim = context.sim
    prefixes = sim.context(prefix_hashes=tuple(map(int, hashes.split(","))))
    sim.number += 1
    sim.router.attempt_started(f"a{sim.number}", f"e{number}", prefixes, sim.now)
    sim.now += timedelta(seconds=0.1)
    sim.router.attempt_finished(f"a{sim.number}", True, timedelta(seconds=0.1), sim.now)


@then("routing engine {number:d} gets {low:d} to {high:d} of {total:d} decisions")
def share_of_decisions(context, number, low, high, total):
    sim = context.sim
    sim.chosen.clear()
    for _ in range(total):
        sim.choose()
    assert low <= sim.chosen[f"e{number}"] <= high, sim.chosen


@then("routing engine {number:d} gets {low:d} to {high:d} of {total:d} decisions with prefixes {p}")
def share_with_prefix(context, number, low, high, total, p):
    sim = context.sim
    sim.chosen.clear()
    for _ in range(total):
        sim.choose(sim.context(prefix_hashes=tuple(map(int, p.split(",")))))
    assert low <= sim.chosen[f"e{number}"] <= high, sim.chosen


@then("routing sent {low:d} to {high:d} requests to engine {number:d}")
def sent(context, low, high, number):
    assert low <= context.sim.chosen[f"e{number}"] <= high, context.sim.chosen


@then('routing took the action "{action}" on engine {number:d}')
def acted(context, action, number):
    assert context.sim.acted(action, f"e{number}"), context.sim.actions


@then("routing ejected {low:d} to {high:d} engines")
def ejected(context, low, high):
    out = {a.subject for a in context.sim.actions if a.action == "eject"}
    assert low <= len(out) <= high, out


@then("routing expects {low:g} to {high:g} ms for {tokens:d} tokens")
def expects(context, low, high, tokens):
    sim = context.sim
    estimate = sim.router.stage_estimate(sim.engines, sim.context(tokens=tokens))
    assert low <= estimate.mean / timedelta(milliseconds=1) <= high, estimate


@when("routing learns {base:g} ms plus {per_token:g} ms per token from {count:d} requests")
def learns(context, base, per_token, count):
    sim = context.sim
    for number in range(count):
        tokens = 50 + 37 * number % 400
        work = sim.context(tokens=tokens)
        sim.number += 1
        sim.router.attempt_started(f"a{sim.number}", f"e{number % len(sim.engines)}", work, sim.now)
        duration = timedelta(milliseconds=base + per_token * tokens)
        sim.now += duration
        sim.router.attempt_finished(f"a{sim.number}", True, duration, sim.now)


@then("routing chooses none when all engines are excluded")
def all_excluded(context):
    sim = context.sim
    assert sim.choose(sim.context(excluded=frozenset(e.id for e in sim.engines))) is None


@then("routing measures {rows:d} rows for sizes {sizes}")
def measures(context, rows, sizes):
    measured = measure_decision_time([int(size) for size in sizes.split(",")], 1)
    assert len(measured) == rows
    assert all(row.median_us > 0 for row in measured)


@when("routing runs {nodes:d} nodes at {rate:d}/s, lag {lag:g} s, engine 1 slower by {factor:g}")
def run_fleets(context, nodes, rate, lag, factor):
    context.fleets = {}
    for policy in routing_policies:
        fleet = Fleet(policy, nodes, 6, rate, lag, {1: factor}, seed=1)
        fleet.run(10.0)
        context.fleets[policy] = fleet


@then("routing with the default has at most {percent:d} % of the 99th percentile of {policy}")
def compare_latency(context, percent, policy):
    ours = context.fleets["chervilrack"].percentile(99)
    theirs = context.fleets[policy].percentile(99)
    assert ours * 100 <= theirs * percent, (ours, theirs)


@then("routing with the default queues at most {attempts:d} attempts at one engine")
def compare_peak(context, attempts):
    assert context.fleets["chervilrack"].peak <= attempts, context.fleets["chervilrack"].peak
