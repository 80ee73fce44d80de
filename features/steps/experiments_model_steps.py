"""Steps for the load, figures and callers of experiments."""

import time
from unittest import mock

import msgspec
import urllib3
from behave import given, then, when
from features.support.fake_cluster import fake_cluster

from chervilrack._internal.common.ids import LimitId, UpstreamId
from chervilrack._internal.experiments import lookup
from chervilrack._internal.experiments.arrivals import Arrival, generate_arrivals
from chervilrack._internal.experiments.bounds import misses_of_baseline
from chervilrack._internal.experiments.callers import Caller
from chervilrack._internal.experiments.lookup import EndpointCache, NoEndpointError
from chervilrack._internal.experiments.profile import load_profile
from chervilrack._internal.experiments.result import (
    ControlUse,
    Outcomes,
    Percentiles,
    PlatformUse,
    RunResult,
)
from chervilrack._internal.experiments.scenarios import SCENARIOS
from chervilrack._internal.experiments.testbed import TestBedOptions
from chervilrack._internal.experiments.usage import Work, use_at_arrivals
from chervilrack._internal.history.recorder import MemoryRecorder
from chervilrack._internal.releases.state import UpstreamKind
from chervilrack._internal.standins.upstreams.record import CallIds, Record

LIMIT_S = 20.0  # only bounds a failing run


@given("experiments profile {name}")
def given_profile(context, name):
    context.profile = load_profile(name)


@then(
    "experiments profile has {zones:d} zones, {engines:d} engines, {workers:d} workers per service "
    "and {organisations:d} organisations"
)
def check_site(context, zones, engines, workers, organisations):
    profile = context.profile
    services = [pool for pool in profile.pools if pool.kind is UpstreamKind.SERVICE]
    assert len(profile.zones) == zones
    assert profile.pool("generate").count == engines
    assert [pool.count for pool in services] == [workers] * 4
    assert [pool.reports_load for pool in services] == [False, True, True, True]
    assert len(profile.organisations) == organisations
    assert len(profile.stages) == 4
    assert sum(entry.share for entry in profile.organisations) == 1.0
    upstreams = [upstream for pool in profile.pools for upstream in pool.upstreams]
    assert all(UpstreamId(name) in profile.pool_of(name).upstreams for name in upstreams)


@then(
    "experiments profile has latencies of {between:g} ms between zones "
    "and {clients:g} ms to clients"
)
def check_latencies(context, between, clients):
    assert (context.profile.between_zones_ms, context.profile.to_clients_ms) == (between, clients)


@then("experiments profile has a capacity of {capacity:d} requests/s set by {limit}")
def check_capacity(context, capacity, limit):
    assert round(context.profile.capacity_rps()) == capacity, context.profile.capacity_rps()
    assert context.profile.bottleneck() == limit


@when("experiments arrivals of {name} over {seconds:d} s are generated")
def make_arrivals(context, name, seconds):
    workload = SCENARIOS.get(name)(context.profile).workload

    def generate(seed):
        return generate_arrivals(context.profile, workload, seed, float(seconds))

    context.arrivals, context.again, context.other = generate(1), generate(1), generate(2)


@then("experiments arrivals number about {count:d}")
def about(context, count):
    # Five standard deviations of a Poisson count; the seed is fixed.
    assert abs(len(context.arrivals) - count) < 5 * count**0.5, len(context.arrivals)


@then("experiments arrivals are about {share:g} {what}")
def check_share(context, share, what):
    kind, _, name = what.rpartition(" ")
    if kind == "of kind":
        chosen = [arrival for arrival in context.arrivals if arrival.kind == name]
    elif kind == "of":
        chosen = [arrival for arrival in context.arrivals if arrival.organisation == name]
    elif what == "orders":
        chosen = [arrival for arrival in context.arrivals if arrival.idempotency_key]
    else:
        chosen = [arrival for arrival in context.arrivals if arrival.pinned]
    found = len(chosen) / len(context.arrivals)
    assert abs(found - share) < 0.02, found


@then("experiments arrivals are the same for the same seed and differ for another")
def check_seed(context):
    assert context.arrivals == context.again != context.other
    times = [arrival.at for arrival in context.arrivals]
    assert times == sorted(times)
    assert len({arrival.request for arrival in context.arrivals}) == len(times)


@given("experiments work for {limit} with arrival, end and tokens of {work}")
def given_work(context, limit, work):
    parts = [item.split("-") for item in work.split()]
    items = [Work(float(at), float(ended), int(tokens)) for at, ended, tokens in parts]
    context.used = use_at_arrivals(LimitId(limit), items)


@then("experiments use at the arrivals is {uses}")
def check_use(context, uses):
    assert [event.in_use for event in context.used] == [int(use) for use in uses.split()]


def _result(attainment, baseline=None):
    counters = dict.fromkeys(
        (
            "lost_results",
            "duplicated_results",
            "misdelivered_results",
            "executed_after_refusal",
            "duplicate_executions",
            "limit_violations",
            "release_reversions",
            "dispatches_after_withdrawal",
            "requests_cut_by_planned_stop",
        ),
        0,
    )
    percentiles = dict.fromkeys(
        (
            "latency_ms",
            "first_token_ms",
            "between_token_ms",
            "refusal_ms",
            "load_generator_lag_ms",
        ),
        Percentiles(),
    )
    return RunResult(
        scenario="nominal",
        profile="paramo",
        policy="chervilrack",
        seed=1,
        duration_s=1.0,
        offered=1000,
        attainment=attainment,
        attainment_by_organisation={},
        attainment_by_pipeline={},
        outcomes=Outcomes(),
        peak_use_over_limit=0.0,
        peak_use_of_first_limit=0.0,
        mean_use_over_limit=0.0,
        release_lag_s=None,
        cost_by_stage={},
        platform=PlatformUse(),
        control=ControlUse(),
        goodput_rps={},
        baseline=baseline,
        **counters,
        **percentiles,
    )


@given("experiments results with attainment {own:g} and a baseline of {other}")
def given_results(context, own, other):
    baseline = None if other == "none" else _result(float(other))
    context.result = _result(own, baseline)


@then("experiments bound on misses of a third is {verdict}")
def check_misses(context, verdict):
    met = misses_of_baseline(1 / 3).report(context.result).met
    assert {True: "met", False: "missed", None: "not measured"}[met] == verdict, met


def _question(**changes):
    arrival = Arrival(
        at=0.0,
        request="q-1",
        organisation="refill-press",
        kind="question",
        zone="quito",
        seed=7,
        prompt_tokens=50,
        output_tokens=5,
        stream=True,
        pipeline="answers",
    )
    return msgspec.structs.replace(arrival, **changes)


def _order():
    return Arrival(
        at=0.0,
        request="q-1",
        organisation="refill-press",
        kind="order",
        zone="quito",
        seed=7,
        service="orders",
        operation="pay",
        idempotency_key="key-1",
    )


def _send(context, arrival, intended_at, script=()):
    profile = load_profile("paramo")
    options = TestBedOptions(profile, "chervilrack", 1)
    history = MemoryRecorder()
    with fake_cluster(options, script=script) as cluster, urllib3.PoolManager() as pool:
        endpoints = EndpointCache(pool, arrival.zone, [info.address for info in cluster.nodes()])
        key = profile.organisation(arrival.organisation).key
        caller = Caller(pool, endpoints, key, 0.003, profile.deadline_s, history)
        context.record = caller.run(arrival, intended_at)
        context.keys = cluster.keys
    context.arrival = arrival


@when("experiments send a request whose intended time was {seconds:d} s ago")
def send_late(context, seconds):
    _send(context, _question(), time.monotonic() - seconds)


@then("experiments record a latency of at least {latency:d} s and a lag of at least {lag:d} s")
def check_late(context, latency, lag):
    record = context.record
    assert record.ended_at - record.intended_at >= latency
    assert record.first_token_s >= latency
    assert record.started_at - record.intended_at >= lag


@given("experiments nodes of which the first {behaviour}")
def given_behaviour(context, behaviour):
    context.script = [behaviour]


@when("experiments send {request}")
def send(context, request):
    arrival = _order() if request == "an order" else _question()
    _send(context, arrival, time.monotonic(), context.script)


@then("experiments record {outcome} after {attempts:d} attempts with the same key")
def check_outcome(context, outcome, attempts):
    record = context.record
    assert (record.outcome.value, record.attempts) == (outcome, attempts), record
    assert context.keys == [context.arrival.idempotency_key] * attempts
    assert len(set(record.addresses)) == attempts


@when("experiments stand-in record sees attempts {first} and {second} arrive and {ended} end")
def record_ends(context, first, second, ended):
    context.standin_record = Record()
    for attempt in (first, second):
        context.standin_record.arrived(CallIds("r", attempt, "tea", ""), 1)
    context.standin_record.ended(CallIds("r", ended, "tea", ""))


@then("experiments stand-in record has an end of {ended} after its arrival and none of {running}")
def check_ends(context, ended, running):
    ends = context.standin_record.end_times
    arrival = context.standin_record.arrivals[0]
    assert ends[ended] >= arrival.time
    assert running not in ends
    assert context.standin_record.as_dict()["ended"] == ends


@when("experiments look up addresses {requests:d} times with a lifetime of {lifetime:g} s")
def look_up_often(context, requests, lifetime):
    options = TestBedOptions(load_profile("paramo"), "chervilrack", 1)
    # A node that is late by a second would be given up, and the look-up repeated at another one.
    patience = mock.patch.object(lookup, "_TIMEOUT", urllib3.Timeout(LIMIT_S))
    with patience, fake_cluster(options) as cluster, urllib3.PoolManager() as pool:
        cluster.lifetime_s = lifetime
        endpoints = EndpointCache(pool, "quito", [info.address for info in cluster.nodes()])
        for _ in range(requests):
            endpoints.addresses()
        context.lookups = cluster.lookups


@then("experiments have asked {lookups:d} times")
def check_lookups(context, lookups):
    assert context.lookups == lookups


@when("experiments look up addresses, forget the first and lose all nodes")
def lose_nodes(context):
    options = TestBedOptions(load_profile("paramo"), "chervilrack", 1)
    with urllib3.PoolManager() as pool:
        with fake_cluster(options) as cluster:
            cluster.lifetime_s = 0.0
            bootstrap = [info.address for info in cluster.nodes()]
            endpoints = EndpointCache(pool, "quito", bootstrap)
            context.first = endpoints.addresses()
            endpoints.forget(context.first[0])
        context.later = endpoints.addresses()
        fresh = EndpointCache(pool, "quito", bootstrap)
        try:
            fresh.addresses()
            context.error = None
        except NoEndpointError as error:
            context.error = error


@then("experiments still know all addresses with the forgotten one last")
def check_kept(context):
    assert context.later == (*context.first[1:], context.first[0])


@then("experiments callers without an earlier answer get an error")
def check_no_endpoint(context):
    assert context.error is not None
