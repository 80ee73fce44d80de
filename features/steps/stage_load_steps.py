"""Steps that simulate the load of stage queues."""

from datetime import timedelta

from behave import given, then, when
from support.stage_load import Burst, LoadKind, LoadStage, StageLoadSimulation

from chervilrack._internal.catalogue.state import BatchSpec

SEEDS = (1, 2, 3)
RESULT_LIFETIME = timedelta(seconds=4)


def batch_spec(batch, item_ms, space):
    call_time, item_time = timedelta(milliseconds=200), timedelta(milliseconds=item_ms)
    return BatchSpec(1, 2, batch, call_time, item_time, space, RESULT_LIFETIME)


def chain(first, pieces):
    """Return three stages, each of which reads the one before; the first is light.

    ``first`` is the index of the first stage in the request, ``pieces`` the size of the second.
    """
    return (
        LoadStage("first", (), 8_000, work=0.3),
        LoadStage("second", (first,), 60_000, pieces=pieces),
        LoadStage("third", (first + 1,), 6_000, pieces=10, spread=0.4),
    )


def heavy(pieces, share, max_pieces):
    """Return a stage with large results that a share of the requests has."""
    return LoadStage(
        "first", (), 1_500_000, pieces=pieces, spread=0.6, share=share, max_pieces=max_pieces
    )


ZONES = ("a", "b", "c", "d")
TEN_UPSTREAMS = ZONES * 2 + ZONES[:2]
EIGHT_UPSTREAMS = ZONES * 2
NINE_UPSTREAMS = ZONES[:3] * 3
WORKLOADS = {
    "four zones": (
        (
            LoadKind("big", 5.78, 1, 1400, 6000, 3.7, 0.56, 4500, (heavy(2.5, 0.7, 10),)),
            LoadKind("long", 7.05, 0, 2000, 6000, 2.0, 0.3, 2000, chain(0, 6)),
            LoadKind(
                "slow", 6.53, 2, 1900, 20000, 0.51, 0.076, 650, (heavy(1.5, 0.4, 6), *chain(1, 6))
            ),
        ),
        {
            "first": (batch_spec(4, 42, 9_000_000), ZONES),
            "second": (batch_spec(15, 11.36, 1_937_500), ZONES),
            "third": (batch_spec(25, 6.88, 325_000), ZONES),
        },
    ),
    "three zones": (
        (
            LoadKind(
                "big", 5.29, 1, 2300, 8000, 3.7, 0.56, 4500, (heavy(1.5, 0.4, 6), *chain(1, 4)), 600
            ),
            LoadKind("long", 6.44, 0, 2000, 6000, 2.0, 0.3, 2000, chain(0, 4), 600),
            LoadKind("slow", 5.93, 2, 1100, 15000, 0.51, 0.076, 650, (heavy(2.5, 0.7, 10),), 600),
        ),
        {
            "first": (batch_spec(5, 33.6, 11_250_000), ZONES[:3]),
            "second": (batch_spec(12, 14, 1_542_860), ZONES[:3]),
            "third": (batch_spec(28, 6.07, 370_588), ZONES[:3]),
        },
    ),
    "67 nodes": (
        (
            LoadKind("big", 42.3, 1, 1435, 6151, 3.5, 0.53, 4500, (heavy(2.5, 0.7, 10),), 600),
            LoadKind("long", 51.1, 0, 2019, 6057, 1.9, 0.28, 2000, chain(0, 6), 600),
            LoadKind(
                "slow",
                31.6,
                2,
                2015,
                20149,
                0.68,
                0.1,
                650,
                (heavy(1.5, 0.4, 6), *chain(1, 6)),
                600,
            ),
        ),
        {
            "first": (batch_spec(11, 15.27, 24_750_000), TEN_UPSTREAMS),
            "second": (batch_spec(45, 3.84, 6_000_000), EIGHT_UPSTREAMS),
            "third": (batch_spec(68, 2.5, 890_000), EIGHT_UPSTREAMS),
        },
    ),
    "81 nodes": (
        (
            LoadKind(
                "big",
                39.2,
                1,
                2335,
                8123,
                3.6,
                0.54,
                4500,
                (heavy(1.5, 0.4, 6), *chain(1, 4)),
                600,
            ),
            LoadKind("long", 47.9, 0, 2019, 6057, 2.0, 0.3, 2000, chain(0, 4), 600),
            LoadKind("slow", 37.8, 2, 1115, 15203, 0.56, 0.084, 650, (heavy(2.5, 0.7, 10),), 600),
        ),
        {
            "first": (batch_spec(11, 15.27, 24_750_000), TEN_UPSTREAMS),
            "second": (batch_spec(32, 5.3125, 4_235_290), EIGHT_UPSTREAMS),
            "third": (batch_spec(70, 2.4, 930_000), EIGHT_UPSTREAMS),
        },
    ),
    # The kind with the shorter target needs three stages, and is more urgent than the larger one.
    "70 nodes": (
        (
            LoadKind("big", 56.5, 0, 1035, 5176, 5.1, 0.3, 2890, (heavy(2.5, 0.7, 10),), 300),
            LoadKind("long", 103, 2, 4019, 6028, 0.82, 0.18, 1800, chain(0, 6), 300),
            LoadKind(
                "tight",
                23.1,
                1,
                1515,
                15149,
                0.87,
                0.13,
                543,
                (heavy(1.5, 0.4, 6), *chain(1, 6)),
                300,
            ),
        ),
        {
            "first": (batch_spec(20, 8.6, 45_000_000), NINE_UPSTREAMS),
            "second": (batch_spec(62, 2.76774, 8_172_730), NINE_UPSTREAMS[:8]),
            "third": (batch_spec(92, 1.9, 1_200_000), NINE_UPSTREAMS),
        },
    ),
    "79 nodes": (
        (
            LoadKind("big", 70, 0, 1035, 6212, 4.1, 0.61, 2890, (heavy(2.5, 0.7, 10),), 300),
            LoadKind("long", 80, 1, 2019, 6057, 1.0, 0.15, 1800, chain(0, 6), 300),
            LoadKind(
                "slow", 22, 2, 2515, 20119, 1.1, 0.17, 543, (heavy(1.5, 0.4, 6), *chain(1, 6)), 300
            ),
        ),
        {
            "first": (batch_spec(19, 9.05263, 42_750_000), NINE_UPSTREAMS),
            "second": (batch_spec(62, 2.76774, 8_078_790), NINE_UPSTREAMS[:8]),
            "third": (batch_spec(84, 2.03571, 1_120_000), NINE_UPSTREAMS[:8]),
        },
    ),
}


@given("the stage workload for {deployment}")
def choose_workload(context, deployment):
    context.kinds, context.services = WORKLOADS[deployment]
    context.outages = ()
    context.silences = ()
    context.failing_piece_share = 0.0
    context.seeds = SEEDS
    context.engine_median = None


@given("one seed of the stage workload for {deployment}")
def choose_workload_and_seed(context, deployment):
    choose_workload(context, deployment)
    context.seeds = SEEDS[:1]


@given("engines that take {median:d} ms to the first byte, in the median")
def slow_engines(context, median):
    context.engine_median = timedelta(milliseconds=median)


@given("upstream 1 of the first stage is down from {start:g} s to {end:g} s")
def stop_upstream(context, start, end):
    context.outages = (("first", 1, start, end),)


@given("upstream 0 of the {stage} stage is silent from {start:g} s for {seconds:g} s")
def silence_upstream(context, stage, start, seconds):
    context.silences = ((stage, 0, start, start + seconds),)


@given("{share:g} of the pieces fail at random")
def set_failing_pieces(context, share):
    context.failing_piece_share = share


def simulate(context, bursts=(), owners=1, **options):
    simulations = [
        StageLoadSimulation(
            context.kinds,
            context.services,
            seed,
            outages=context.outages,
            owners=owners,
            failing_piece_share=context.failing_piece_share,
            silences=context.silences,
            engine_median=context.engine_median,
            **options,
        )
        for seed in context.seeds
    ]
    return [simulation.run(context.seconds, bursts) for simulation in simulations]


@when("the workload is simulated for {seconds:d} s")
def simulate_steady_load(context, seconds):
    context.seconds = seconds
    context.results = simulate(context)


@when(
    "the workload is simulated for {seconds:d} s with {factor:g} times the rate of {kind} requests "
    "from {start:g} s to {end:g} s"
)
def simulate_burst(context, seconds, factor, kind, start, end):
    context.seconds = seconds
    context.bursts = (Burst("" if kind == "all" else kind, factor, start, end),)
    context.results = simulate(context, context.bursts)


@when("the workload is simulated again with {nodes:d} nodes that batch separately")
def simulate_separate_owners(context, nodes):
    context.results_of_separate_owners = simulate(context, context.bursts, nodes)


def outcome_shares(context):
    """Yield each kind with its shares of requests that were on time and that failed."""
    for kind in context.kinds:
        outcomes = [result.kinds[kind.name] for result in context.results]
        requests = sum(outcome.requests for outcome in outcomes)
        yield (
            kind,
            sum(o.on_time for o in outcomes) / requests,
            sum(o.failed for o in outcomes) / requests,
        )


@then("at least {share:g} of the requests of each kind are on time")
def check_on_time(context, share):
    shares = {kind.name: on_time for kind, on_time, _ in outcome_shares(context)}
    assert all(on_time >= share for on_time in shares.values()), shares


@then("at most {share:g} of the requests of each kind fail")
def check_failed(context, share):
    shares = {kind.name: failed for kind, _, failed in outcome_shares(context)}
    assert all(failed <= share for failed in shares.values()), shares


@then("no kind has an on-time share more than {gap:g} below that of a less urgent kind")
def check_order_of_kinds(context, gap):
    shares = [(kind.priority, on_time) for kind, on_time, _ in outcome_shares(context)]
    violations = [
        (urgent, less_urgent)
        for urgent, urgent_share in shares
        for less_urgent, less_urgent_share in shares
        if urgent < less_urgent and less_urgent_share - urgent_share > gap
    ]
    assert not violations, shares


@then("a single owner earns more value with fuller calls")
def check_single_owner(context):
    def mean(results, measure):
        return sum(map(measure, results)) / len(results)

    for measure in (lambda r: r.value_share, lambda r: r.pieces / r.calls):
        assert mean(context.results, measure) > mean(context.results_of_separate_owners, measure), (
            mean(context.results, measure),
            mean(context.results_of_separate_owners, measure),
        )


@then("at most {share:g} of the results are never used")
def check_unused(context, share):
    produced = sum(result.pieces for result in context.results)
    unused = sum(result.unused for result in context.results)
    assert unused <= share * produced, (unused, produced)


@then("at least {share:g} of the requests of each kind that arrive from {start:d} s on are on time")
def check_on_time_after(context, share, start):
    shares = {}
    for kind in context.kinds:
        outcomes = [result.kinds[kind.name] for result in context.results]
        seconds = range(start, context.seconds)
        arrivals = sum(o.arrivals[second] for o in outcomes for second in seconds)
        on_time = sum(o.arrivals_on_time[second] for o in outcomes for second in seconds)
        shares[kind.name] = on_time / arrivals
    assert all(on_time >= share for on_time in shares.values()), shares


@when(
    "the workload is simulated for {seconds:d} s with admission, and with {factor:g} times the "
    "rate of {kind} requests from {start:g} s to {end:g} s"
)
def simulate_burst_with_admission(context, seconds, factor, kind, start, end):
    context.seconds = seconds
    context.results = simulate(context, (Burst(kind, factor, start, end),), admission=True)


@given("all upstreams of all stages are silent from {start:g} s for {seconds:g} s")
def silence_all_upstreams(context, start, seconds):
    context.silences = tuple(
        (service, number, start, start + seconds)
        for service, (_, zones) in context.services.items()
        for number in range(len(zones))
    )


@given("one upstream of the second stage is gone")
def remove_upstream(context):
    spec, zones = context.services["second"]
    context.services = {**context.services, "second": (spec, zones[:-1])}


@then("at least {share:g} of all requests that arrive from {start:d} s to {end:d} s are on time")
def check_on_time_between(context, share, start, end):
    kinds = [kind for result in context.results for kind in result.kinds.values()]
    arrivals, on_time = (
        sum(counts[second] for counts in group for second in range(start, end))
        for group in ([k.arrivals for k in kinds], [k.arrivals_on_time for k in kinds])
    )
    assert on_time >= share * arrivals, (on_time, arrivals, on_time / arrivals)


@then("at most {late:d} requests are late and none fails")
def check_late(context, late):
    kinds = [kind for result in context.results for kind in result.kinds.values()]
    assert not any(kind.failed for kind in kinds)
    assert sum(kind.late for kind in kinds) <= late, [kind.late for kind in kinds]


@then("no call was given up")
def check_no_timeout(context):
    assert not any(result.timed_out_calls for result in context.results)


@when("the workload is simulated again with admission")
def simulate_admission(context):
    context.results_without_admission = context.results
    context.results = simulate(context, context.bursts, admission=True)


@when("the workload is simulated again with admission, and the usual time of the engines is known")
def simulate_known_engine_time(context):
    context.results_without_engine_time = context.results
    context.results = simulate(context, context.bursts, admission=True, engine_time_known=True)


@when(
    "the workload is simulated with {factor:g} times the rate of {kind} requests from {start:g} s "
    "to {end:g} s with admission, and one of {count:d} organisations has {share:g} of the requests"
)
def simulate_organisations(context, factor, kind, start, end, count, share):
    context.seconds = end + 2
    others = [(f"small {n}", (1 - share) / (count - 1)) for n in range(1, count)]
    context.results = simulate(
        context,
        (Burst(kind, factor, start, end),),
        admission=True,
        organisations=(("large", share), *others),
    )


def total(results, measure):
    return sum(measure(kind) for result in results for kind in result.kinds.values())


def share_of_requests(results, measure):
    return total(results, measure) / total(results, lambda kind: kind.requests)


@then("the admission raises the on-time share of all requests")
def check_gain(context):
    before, after = (
        share_of_requests(results, lambda kind: kind.on_time)
        for results in (context.results_without_admission, context.results)
    )
    assert after > before, (before, after)


@then("more requests are on time than in the two simulations before")
def check_gain_by_engine_time(context):
    shares = [
        share_of_requests(results, lambda kind: kind.on_time)
        for results in (
            context.results_without_admission,
            context.results_without_engine_time,
            context.results,
        )
    ]
    assert shares[2] > max(shares[:2]), shares


@then("the admission raises the share of the results that are used to at least {share:g}")
def check_used(context, share):
    before, after = (
        1 - sum(r.unused for r in results) / sum(r.pieces for r in results)
        for results in (context.results_without_admission, context.results)
    )
    assert after >= max(before, share), (before, after)


@then("at least {share:g} of the requests of the other organisations are on time")
def check_small_organisations(context, share):
    requests = on_time = 0
    for result in context.results:
        for organisation, count in result.organisations.items():
            if organisation != "large":
                requests += count
                on_time += result.organisations_on_time[organisation]
    assert on_time >= share * requests, (on_time, requests, on_time / requests)


@then(
    "requests are refused, and no {count:d} of them that are refused at once return within "
    "{window:d} ms"
)
def check_returns(context, count, window):
    refused = 0
    for result in context.results:
        by_time = {}
        for refused_at, retry_after in result.retry_times:
            by_time.setdefault(refused_at, []).append(retry_after)
        for returns in by_time.values():
            refused += len(returns)
            returns.sort()
            for first, last in zip(returns, returns[count - 1 :], strict=False):
                assert last - first > timedelta(milliseconds=window), (first, last)
    assert refused > 0
