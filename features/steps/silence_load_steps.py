"""Steps that simulate silences and crashes of an upstream."""

import random
from datetime import timedelta

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from support.silence_load import ENTRY_LIFETIME, SilenceSimulation, Trouble

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.common.ids import UpstreamId, ZoneId

START = timedelta(seconds=4.2)
DURATION_S = 9
U1 = UpstreamId("u1")
# Requests/s for each upstream, by kind.
RATES = {"stream": {"stream": 6}, "plain": {"order": 10, "look-up": 10}}

# Results without trouble, by kind, upstreams and nodes, which several scenarios compare with.
_USUAL = {}


def ms(value):
    return timedelta(milliseconds=value)


def simulate(context, trouble, second_trouble=None):
    rates = {kind: rate * context.count for kind, rate in context.rates.items()}
    sizes = (context.nodes, context.count)
    return [
        SilenceSimulation(rates, *sizes, seed, trouble, second_trouble).run(DURATION_S)
        for seed in context.seeds
    ]


@given("{count:d} upstreams for {kind} requests of {nodes:d} nodes")
def set_load(context, count, kind, nodes):
    context.rates, context.count, context.nodes = RATES[kind], count, nodes
    context.seeds = (1, 2, 3) if nodes < 20 else (1,)
    context.usual = _USUAL.get((kind, count, nodes)) or simulate(context, None)
    _USUAL[(kind, count, nodes)] = context.usual


@when("one upstream is {state} for {time:g} s")
def fall_silent(context, state, time):
    context.end = START + timedelta(seconds=time)
    context.results = simulate(context, Trouble(state, START, context.end))


@when("one upstream {fails}")
def fail(context, fails):
    kind = {"crashes": "crash", "loses power": "dark"}[fails]
    context.results = simulate(context, Trouble(kind, START))


@when("another one crashes while one upstream is silent for {time:g} s")
def fall_silent_beside_crash(context, time):
    end = START + timedelta(seconds=time)
    context.results = simulate(context, Trouble("silent", START, end), Trouble("crash", START))


@then("the silent one is never ejected, and no stream is broken off")
def check_silent_not_ejected(context):
    check_not_ejected(context)


@then(
    "the crashed one is ejected, gets at most {sent:d} requests until its entry ends, "
    "and no more fail than by the crash alone"
)
def check_crashed(context, sent):
    for result in context.results:
        assert result.second_ejections, result.second_sent_at
    got = sum(
        START <= at < START + ENTRY_LIFETIME
        for result in context.results
        for at in result.second_sent_at
    )
    assert got <= sent, got
    by_crash = total(simulate(context, None, Trouble("crash", START)), "failed")
    assert total(context.results, "failed") <= by_crash, by_crash


def total(results, outcome):
    return sum(result.count(outcome) for result in results)


@then("it is never ejected, and no stream is broken off")
def check_not_ejected(context):
    assert not any(result.ejections for result in context.results)
    assert not any(result.broken for result in context.results)


@then("at most {late:d} more requests are late than without, and no more fail")
def check_cost(context, late):
    more = total(context.results, "late") - total(context.usual, "late")
    assert more <= late, more
    assert total(context.results, "failed") <= total(context.usual, "failed")


@then("at most {again:d} requests reach a second upstream")
def check_repeats(context, again):
    repeated = sum(result.repeated for result in context.results)
    assert repeated <= again, repeated


def count_sent(results, start, end):
    return sum(start <= at < end for result in results for at in result.sent_at)


@then("it gets at least half of its share of the requests in the {seconds:g} s after")
def check_return(context, seconds):
    period = (context.end, context.end + timedelta(seconds=seconds))
    got, usual = count_sent(context.results, *period), count_sent(context.usual, *period)
    assert got >= usual / 2, (got, usual)


@then(
    "at most {sent:d} requests are sent to it until its entry ends, and no more fail than without"
)
def check_sent(context, sent):
    got = count_sent(context.results, START, START + ENTRY_LIFETIME)
    assert got <= sent, got
    assert total(context.results, "failed") <= total(context.usual, "failed")


@then("all nodes that sent it requests have ejected it")
def check_ejected(context):
    for result in context.results:
        assert result.ejections, result.sent_at


SILENT_ATTEMPTS = st.lists(
    st.tuples(st.integers(0, 1500), st.integers(0, 1500)).map(sorted), min_size=1, max_size=12
)


def observe_silence(attempts, length_ms=1500):
    """Return a balancer that has seen attempts, with starts and ends in ms, meet a silence."""
    balancer = Balancer(ZoneId("z"), random.Random(1))
    begin = timedelta(seconds=10)
    balancer.record_success(U1, begin)
    for started, ended in sorted(attempts, key=lambda attempt: attempt[1]):
        since, now = begin + ms(started), begin + ms(min(ended, length_ms))
        balancer.record_silence(U1, since, now, "silent")
    return balancer, begin + ms(length_ms)


@then("no sequence of attempts within a sound silence ejects an upstream")
def check_no_ejection(_context):
    @for_all(SILENT_ATTEMPTS)
    def check(attempts):
        balancer, now = observe_silence(attempts)
        assert not balancer.is_suspected(U1, now)

    check()


@then("any byte ends a silence of any length with all its consequences")
def check_taken_back(_context):
    @for_all(SILENT_ATTEMPTS, st.integers(1, 20))
    def check(attempts, factor):
        scaled = [(started * factor, ended * factor) for started, ended in attempts]
        balancer, now = observe_silence(scaled, 1500 * factor)
        balancer.record_heard(U1, now)
        status = balancer.status(U1)
        assert not balancer.is_suspected(U1, now)
        assert not balancer.may_be_silent(U1, now)
        assert (status.consecutive_failures, status.ejections) == (0, 0)

    check()


@then("a refused connection within a silence ejects it at once")
def check_refused(_context):
    @for_all(SILENT_ATTEMPTS)
    def check(attempts):
        balancer, now = observe_silence(attempts)
        balancer.record_failure(U1, now, "refused", certain=True)
        assert balancer.is_suspected(U1, now)

    check()


@given("an upstream that is expected to answer within {time:d} ms")
def set_expected(context, time):
    context.balancer = Balancer(ZoneId("z"), random.Random(1))
    context.expected = ms(time)


@when("its answers take {sequence} ms, one after another")
def answer(context, sequence):
    context.now = timedelta(seconds=10)
    for took in sequence.split(", "):
        context.now += ms(int(took))
        context.balancer.observe_pace(U1, context.expected, ms(int(took)), context.now)


@then("its pace is {change}")
def check_pace(context, change):
    pace = context.balancer.pace(U1, context.now)
    assert (pace > SLOW_PACE) == (change == "slow"), pace


SLOW_PACE = 1.2
