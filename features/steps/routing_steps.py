"""Steps for the choice of an upstream and for upstream health."""

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
    """One router that sends requests to simulated engines."""

    def __init__(self, policy, engines, seed, zones=1):
        self.router = routing_policies.get(policy)(random.Random(seed), "z0", None)
        self.rng = random.Random(seed + 1)
        self.engines = tuple(engine(number, zones) for number in range(engines))
        self.now = timedelta(seconds=100)
        self.slowdowns = {}
        self.failing = set()
        self.chosen = Counter()
        self.reasons = Counter()
        self.actions = []
        self.attempt_count = 0
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
        self.attempt_count += 1
        self.router.attempt_started(
            f"a{self.attempt_count}", decision.upstream, context or self.context(), self.now
        )
        return f"a{self.attempt_count}"

    def run(self, requests, gap=0.02):
        """Send requests ``gap`` seconds apart; their service times may overlap."""
        for _ in range(requests):
            self.finish_due()
            decision = self.choose()
            if decision is not None:
                attempt = self.start(decision)
                factor = self.slowdowns.get(decision.upstream, 1.0)
                duration = timedelta(seconds=self.rng.uniform(0.08, 0.12) * factor)
                self.in_flight.append((self.now + duration, attempt, decision.upstream, duration))
            self.now += timedelta(seconds=gap)
        self.actions += self.router.drain_actions()

    def finish_due(self):
        for item in sorted(i for i in self.in_flight if i[0] <= self.now):
            self.in_flight.remove(item)
            ends, attempt, upstream, duration = item
            self.router.attempt_finished(attempt, upstream not in self.failing, duration, ends)

    def has_action(self, action, upstream):
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
def create_simulation(context, policy, engines, zones):
    context.sim = Simulation(policy, engines, seed=5, zones=zones)


@given("routing engine {number:d} is slower by factor {factor:g}")
def set_slowdown(context, number, factor):
    context.sim.slowdowns[f"e{number}"] = factor


@given("routing requests to engines {numbers} fail")
@when("routing requests to engines {numbers} fail")
def failing(context, numbers):
    context.sim.failing = {f"e{number}" for number in numbers.split(",")}


@when("routing engines recover and {seconds:g} s pass")
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
def send_at_interval(context, requests, gap):
    context.sim.chosen.clear()
    context.sim.run(requests, gap / 1000)


@when("routing adds engine {number:d} and sends {requests:d} requests")
def add_engine(context, number, requests):
    context.sim.engines = (*context.sim.engines, engine(number))
    context.sim.chosen.clear()
    context.sim.run(requests)


@when("routing engine {number:d} reports load {load:g} with an age of {age:g} s")
def send_load_report(context, number, load, age):
    context.sim.router.report_load(f"e{number}", load, timedelta(seconds=age), context.sim.now)


@when("routing has {count:d} requests in flight at engine {number:d}")
def in_flight(context, count, number):
    sim = context.sim
    for _ in range(count):
        sim.attempt_count += 1
        sim.router.attempt_started(f"a{sim.attempt_count}", f"e{number}", sim.context(), sim.now)


@when("routing waits {seconds:g} s")
def wait(context, seconds):
    context.sim.now += timedelta(seconds=seconds)
    context.sim.finish_due()


@when('routing engine {number:d} sends cache events "{events}"')
def cache_events(context, number, events):
    """Each event is SEQUENCE:+HASHES, SEQUENCE:-HASHES or SEQUENCE:clear, with @AGE if late."""
    for event_text in events.split():
        numbered_change, _, age = event_text.partition("@")
        sequence, _, change = numbered_change.partition(":")
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
    work_with_prefixes = sim.context(prefix_hashes=tuple(map(int, hashes.split(","))))
    sim.attempt_count += 1
    sim.router.attempt_started(f"a{sim.attempt_count}", f"e{number}", work_with_prefixes, sim.now)
    sim.now += timedelta(seconds=0.1)
    sim.router.attempt_finished(f"a{sim.attempt_count}", True, timedelta(seconds=0.1), sim.now)


@then("routing engine {number:d} gets {low:d} to {high:d} of {total:d} decisions")
def check_decisions(context, number, low, high, total):
    sim = context.sim
    sim.chosen.clear()
    for _ in range(total):
        sim.choose()
    assert low <= sim.chosen[f"e{number}"] <= high, sim.chosen


@then(
    "routing engine {number:d} gets {low:d} to {high:d} of {total:d} decisions"
    " with prefixes {prefixes}"
)
def check_decisions_with_prefixes(context, number, low, high, total, prefixes):
    sim = context.sim
    sim.chosen.clear()
    for _ in range(total):
        sim.choose(sim.context(prefix_hashes=tuple(map(int, prefixes.split(",")))))
    assert low <= sim.chosen[f"e{number}"] <= high, sim.chosen


@then("routing sent {low:d} to {high:d} requests to engine {number:d}")
def check_sent(context, low, high, number):
    assert low <= context.sim.chosen[f"e{number}"] <= high, context.sim.chosen


@then('routing took the action "{action}" on engine {number:d}')
def check_action(context, action, number):
    assert context.sim.has_action(action, f"e{number}"), context.sim.actions


@then("routing ejected {low:d} to {high:d} engines")
def check_ejected(context, low, high):
    ejected_engines = {a.subject for a in context.sim.actions if a.action == "eject"}
    assert low <= len(ejected_engines) <= high, ejected_engines


@then("routing expects {low:g} to {high:g} ms for {tokens:d} tokens")
def check_stage_estimate(context, low, high, tokens):
    sim = context.sim
    estimate = sim.router.stage_estimate(sim.engines, sim.context(tokens=tokens))
    assert low <= estimate.mean / timedelta(milliseconds=1) <= high, estimate


@when("routing learns {base:g} ms plus {per_token:g} ms per token from {count:d} requests")
def observe_linear_times(context, base, per_token, count):
    sim = context.sim
    for number in range(count):
        tokens = 50 + 37 * number % 400
        work = sim.context(tokens=tokens)
        sim.attempt_count += 1
        sim.router.attempt_started(
            f"a{sim.attempt_count}", f"e{number % len(sim.engines)}", work, sim.now
        )
        duration = timedelta(milliseconds=base + per_token * tokens)
        sim.now += duration
        sim.router.attempt_finished(f"a{sim.attempt_count}", True, duration, sim.now)


@then("routing chooses no engine when all engines are excluded")
def check_all_excluded(context):
    sim = context.sim
    assert sim.choose(sim.context(excluded=frozenset(e.id for e in sim.engines))) is None


@then("routing decision times for {sizes} candidates are measured in {rows:d} rows")
def check_decision_times(context, rows, sizes):
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


@then("routing latency of the default policy is at most {percent:d} % of {policy} at percentile 99")
def compare_latency(context, percent, policy):
    default_ms = context.fleets["chervilrack"].percentile(99)
    baseline_ms = context.fleets[policy].percentile(99)
    assert default_ms * 100 <= baseline_ms * percent, (default_ms, baseline_ms)


@then("routing with the default policy has at most {attempts:d} attempts at one engine")
def compare_peak(context, attempts):
    assert context.fleets["chervilrack"].peak <= attempts, context.fleets["chervilrack"].peak
