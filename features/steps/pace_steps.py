"""Steps for the paces of upstreams."""

from datetime import timedelta

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from chervilrack._internal.balancing.pace import MAX_RATIO, MIN_RATIO, PaceBook
from chervilrack._internal.common.ids import UpstreamId

U1 = UpstreamId("u1")
USUAL_TIME = timedelta(milliseconds=100)


def record(book, now, event):
    """Carry out one event of a story and return the time after it."""
    match event.split():
        case ["took", ratio]:
            book.record_time(U1, USUAL_TIME, USUAL_TIME * float(ratio), now)
        case ["said", slowdown]:
            book.record_statement(U1, float(slowdown), now)
        case [milliseconds]:
            return now + timedelta(milliseconds=float(milliseconds))
    return now


@when('the paces of an upstream are recorded as "{story}"')
@when('the paces of an upstream are recorded as ""')
def tell(context, story=""):
    context.book, context.now = PaceBook(), timedelta(seconds=10)
    for event in story.split(", "):
        context.now = record(context.book, context.now, event)


@when("the upstream is forgotten")
def forget(context):
    context.book.forget(U1)


@then("its pace is believed to be {low:g} to {high:g} from {source}")
def check(context, low, high, source):
    belief = context.book.believed(U1, context.now)
    assert low - 1e-6 <= belief.pace <= high + 1e-6, belief
    assert belief.source.value == source, belief
    assert (belief.age is None) == (source == "nothing"), belief


@then("any story gives a pace of 0.2 to 20")
def check_any(context):
    figures = st.floats(min_value=0, max_value=1e9)
    event = st.one_of(
        figures.map(lambda x: f"took {x}"),
        figures.map(lambda x: f"said {x}"),
        st.integers(0, 5000).map(str),
    )

    @for_all(st.lists(event, max_size=30))
    def check_story(events):
        book, now = PaceBook(), timedelta(seconds=10)
        for each in events:
            now = record(book, now, each)
            pace = book.believed(U1, now).pace
            assert MIN_RATIO - 1e-9 <= pace <= MAX_RATIO + 1e-9, pace

    check_story()


@when("{count:d} upstreams state their slowdown")
def state_many(context, count):
    context.book = PaceBook()
    for number in range(count):
        context.book.record_statement(UpstreamId(f"u{number}"), 2.0, timedelta(seconds=10))


@then("at most {count:d} statements are kept")
def check_bound(context, count):
    assert len(context.book._statements) <= count
