"""Steps for the quantiles of durations and the forecasts of requests, without I/O."""

import heapq
import math
import random
from dataclasses import replace
from datetime import timedelta

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import strategies as st

from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.forecast.core import Forecaster
from chervilrack._internal.forecast.quantiles import DurationQuantiles
from chervilrack._internal.forecast.state import MAX_TIME, StreamSize, Subject, Work

START = timedelta(seconds=50)
SUBJECT = Subject("route", ServiceId("engine"))
SIZE = StreamSize(1000, 100)
FIRST_EVENT = timedelta(seconds=0.1)
ARRIVALS_PER_S = 5


def seconds(value):
    return timedelta(seconds=float(value))


@given("{count:d} durations of {took:g} s")
def record_durations(context, count, took):
    context.quantiles = DurationQuantiles()
    context.now = START
    for _ in range(count):
        context.quantiles.record(seconds(took), context.now)


@when("{pause:g} s have passed")
def let_time_pass(context, pause):
    context.now += seconds(pause)


@then("there is evidence of at most {count:g} observations")
def check_count(context, count):
    assert 0 <= context.quantiles.count(context.now) <= count, context.quantiles.count(context.now)


@then("{count:d} more durations of {took:g} s give a median of {low:g} to {high:g} s")
def check_median(context, count, took, low, high):
    for _ in range(count):
        context.quantiles.record(seconds(took), context.now)
    median = context.quantiles.quantile(0.4)
    assert seconds(low) <= median <= seconds(high), median


# Forecasts


@given("{count:d} streams that took {took:g} s, {age:g} s ago")
def record_streams(context, count, took, age):
    context.forecaster = Forecaster()
    context.now = START
    for _ in range(count):
        context.forecaster.record_first_event(SUBJECT, SIZE, FIRST_EVENT, context.now)
        context.forecaster.record_stream(SUBJECT, SIZE, seconds(took), context.now)
    context.now += seconds(age)


def misfit(context, left, size=SIZE):
    rest = context.forecaster.attempt(SUBJECT, size, context.now)
    return context.forecaster.misfit(rest, seconds(left))


@then("a stream with {left:g} s left is {decision}")
def check_stream(context, left, decision):
    found = misfit(context, left)
    assert (found is not None) is (decision == "refused"), found


@then("a stream with {left:g} s left and {factor:g} times the {tokens} tokens is {decision}")
def check_sized_stream(context, left, factor, tokens, decision):
    name = f"{tokens}_tokens"
    size = replace(SIZE, **{name: int(getattr(SIZE, name) * factor)})
    found = misfit(context, left, size)
    assert (found is not None) is (decision == "refused"), found


@then("a resumed stream with {left:g} s left is served")
def check_resumed_stream(context, left):
    assert misfit(context, left, replace(SIZE, resumed=True)) is None


@then('the reason for refusing a stream with {left:g} s left names "{first}" and "{second}"')
def check_reason(context, left, first, second):
    reason = str(misfit(context, left))
    assert first in reason, reason
    assert second in reason, reason


class Play:
    """Streams that arrive at a steady rate at an engine, and what becomes of them."""

    def __init__(self, forecaster):
        self.forecaster = forecaster
        self.now = START
        self.streams = self.refused_in_vain = self.refused = self.begun_in_vain = 0
        self.hopeless = self.refused_hopeless = 0
        self.rng = random.Random(1)
        self.left_spread = 0.0
        # Time and duration of the observations that are still to be made.
        self._ends = []

    def reset_counts(self):
        self.streams = self.refused_in_vain = self.refused = self.begun_in_vain = 0
        self.hopeless = self.refused_hopeless = 0

    def run(self, for_s, left_s, token_ms, spread=0.0):
        """Play streams for a time; the logarithms of times and of the time left are normal."""
        for _ in range(int(for_s * ARRIVALS_PER_S)):
            self.now += seconds(1 / ARRIVALS_PER_S)
            self._observe()
            left = seconds(left_s * math.exp(self.rng.gauss(0, self.left_spread)))
            factor = math.exp(self.rng.gauss(0, spread))
            took = seconds(SIZE.output_tokens * token_ms / 1000 * factor)
            self._arrive(left, took)

    def _arrive(self, left, took):
        self.streams += 1
        fits = FIRST_EVENT + took <= left
        rest = self.forecaster.attempt(SUBJECT, SIZE, self.now)
        refused = self.forecaster.misfit(rest, left) is not None
        self.refused += refused
        self.refused_in_vain += refused and fits
        self.begun_in_vain += not refused and not fits
        self.hopeless += not fits
        self.refused_hopeless += refused and not fits
        if not refused:
            observed = min(took, max(left - FIRST_EVENT, seconds(0)))
            heapq.heappush(self._ends, (self.now + FIRST_EVENT + observed, observed))

    def _observe(self):
        while self._ends and self._ends[0][0] <= self.now:
            ended_at, took = heapq.heappop(self._ends)
            self.forecaster.record_first_event(SUBJECT, SIZE, FIRST_EVENT, ended_at)
            self.forecaster.record_stream(SUBJECT, SIZE, took, ended_at)


@given("streams with {left:g} s left at {token_ms:g} ms a token for {for_s:g} s")
def play_streams(context, left, token_ms, for_s):
    context.play = Play(Forecaster())
    context.play.run(for_s, left, token_ms)
    context.left = left


@given(
    "streams with about {left:g} s left at {token_ms:g} ms a token with {spread:g} spread "
    "for {for_s:g} s"
)
def play_spread_streams(context, left, token_ms, spread, for_s):
    context.play = Play(Forecaster())
    context.play.left_spread = 0.5
    context.play.run(for_s, left, token_ms, spread)
    context.left = left


@when("the streams go on at {token_ms:g} ms a token for {for_s:g} s")
def continue_streams(context, token_ms, for_s):
    context.play.reset_counts()
    context.play.run(for_s, context.left, token_ms)


@when("the streams go on with {left:g} s left at {token_ms:g} ms a token for {for_s:g} s")
def continue_streams_with(context, left, token_ms, for_s):
    context.play.reset_counts()
    context.play.run(for_s, left, token_ms)


@then("no stream is refused that would have ended in time")
def check_none_refused(context):
    check_refused(context, 0)


@then("at most {count:d} streams are refused that would have ended in time")
def check_refused(context, count):
    assert context.play.refused_in_vain <= count, vars(context.play)


@then("at most {share:g} of the streams are refused that would have ended in time")
def check_refused_share(context, share):
    assert context.play.refused_in_vain <= share * context.play.streams, vars(context.play)


@then("at least {share:g} of the streams that cannot end are refused")
def check_hopeless(context, share):
    play = context.play
    assert play.refused_hopeless >= share * play.hopeless > 0, vars(play)


@then("no stream is begun in vain")
def check_none_in_vain(context):
    assert context.play.begun_in_vain == 0, vars(context.play)


DURATIONS = st.timedeltas(timedelta(days=-9999), timedelta(days=9999))
TOKENS = st.integers(-(10**40), 10**40)
SIZES = st.builds(StreamSize, TOKENS, TOKENS, st.booleans())
TIMES = st.timedeltas(timedelta(days=-9999), timedelta(days=9999))
PIECES = st.lists(st.integers(-5, 10**30), max_size=3)


@then("the forecasts of any observations and sizes lie between 0 and a day for each part")
def check_any_forecast(context):
    check_bounds()


@given_examples(st.lists(st.tuples(SIZES, PIECES, DURATIONS, TIMES), max_size=30), SIZES, TIMES)
def check_bounds(observations, size, now):
    forecaster = Forecaster()
    for observed, pieces, took, at in observations:
        forecaster.record_first_event(SUBJECT, observed, took, at)
        forecaster.record_stream(SUBJECT, observed, took, at)
        forecaster.record_stages(SUBJECT, pieces, took, at)
        forecaster.record(SUBJECT, Work.REQUEST, took, at)
    for at in (now, *(at for *_, at in observations)):
        rest = forecaster.attempt(SUBJECT, size, at)
        for part in (rest.first_event, rest.stream, forecaster.stages(SUBJECT, (1,), at)):
            assert timedelta(0) <= part.time <= MAX_TIME, part
        bound = timedelta(seconds=6)
        for is_stream in (True, False):
            expected, _ = forecaster.cautious_time(
                SUBJECT, Work.REQUEST, bound, at, is_stream=is_stream
            )
            assert timedelta(0) <= expected <= bound, expected
