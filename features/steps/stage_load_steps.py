"""Steps that play the load of stages against the queues."""

from datetime import timedelta

from behave import given, then, when
from support.stage_load import Burst, LoadKind, LoadStage, StageLoad

from chervilrack._internal.catalogue.state import BatchSpec

SEEDS = (1, 2, 3)
LIFETIME = timedelta(seconds=4)


def spec(batch, item_ms, space):
    call, item = timedelta(milliseconds=200), timedelta(milliseconds=item_ms)
    return BatchSpec(1, 2, batch, call, item, space, LIFETIME)


def chain(first, pieces):
    """A light first stage, several pieces that all read it, and pieces that read all those."""
    return (
        LoadStage("first", (), 8_000, work=0.3),
        LoadStage("second", (first,), 60_000, pieces=pieces),
        LoadStage("third", (first + 1,), 6_000, pieces=10, spread=0.4),
    )


def heavy(pieces, share, most):
    return LoadStage("first", (), 1_500_000, pieces=pieces, spread=0.6, share=share, most=most)


FOUR = ("a", "b", "c", "d")
SHEETS = {
    "four zones": (
        (
            LoadKind("big", 5.78, 1, 1400, 6000, 3.7, 0.56, 4500, (heavy(2.5, 0.7, 10),)),
            LoadKind("long", 7.05, 0, 2000, 6000, 2.0, 0.3, 2000, chain(0, 6)),
            LoadKind(
                "slow", 6.53, 2, 1900, 20000, 0.51, 0.076, 650, (heavy(1.5, 0.4, 6), *chain(1, 6))
            ),
        ),
        {
            "first": (spec(4, 42, 9_000_000), FOUR),
            "second": (spec(15, 11.36, 1_937_500), FOUR),
            "third": (spec(25, 6.88, 325_000), FOUR),
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
            "first": (spec(5, 33.6, 11_250_000), FOUR[:3]),
            "second": (spec(12, 14, 1_542_860), FOUR[:3]),
            "third": (spec(28, 6.07, 370_588), FOUR[:3]),
        },
    ),
}


@given("the stage load of {sheet}")
def sheet(context, sheet):
    context.kinds, context.services = SHEETS[sheet]
    context.down = ()
    context.piece_failures = 0.0


@given("upstream 1 of the first stage is down from {start:g} s to {end:g} s")
def down(context, start, end):
    context.down = (("first", 1, start, end),)


@given("{share:g} of the pieces fail by themselves")
def failing_pieces(context, share):
    context.piece_failures = share


def play(context, bursts=(), owners=1):
    loads = [
        StageLoad(
            context.kinds,
            context.services,
            seed,
            down=context.down,
            owners=owners,
            piece_failures=context.piece_failures,
        )
        for seed in SEEDS
    ]
    return [load.play(context.seconds, bursts) for load in loads]


@when("it is played for {seconds:d} s")
def calm(context, seconds):
    context.seconds = seconds
    context.played = play(context)


@when(
    "it is played for {seconds:d} s with {factor:g} times the rate of {kind} "
    "from {start:g} s to {end:g} s"
)
def burst(context, seconds, factor, kind, start, end):
    context.seconds = seconds
    context.bursts = (Burst("" if kind == "all" else kind, factor, start, end),)
    context.played = play(context, context.bursts)


@when("it is played again by {nodes:d} nodes that batch alone")
def alone(context, nodes):
    context.alone = play(context, context.bursts, nodes)


def totals(context):
    for kind in context.kinds:
        found = [result.kinds[kind.name] for result in context.played]
        asked = sum(item.asked for item in found)
        yield kind, sum(i.on_time for i in found) / asked, sum(i.failed for i in found) / asked


@then("of each kind at least {share:g} are on time")
def on_time(context, share):
    found = {kind.name: on_time for kind, on_time, _ in totals(context)}
    assert all(value >= share for value in found.values()), found


@then("at most {share:g} fail")
def fail(context, share):
    found = {kind.name: failed for kind, _, failed in totals(context)}
    assert all(value <= share for value in found.values()), found


@then("no kind is on time less often than a less urgent one by over {gap:g}")
def even(context, gap):
    found = [(kind.priority, on_time) for kind, on_time, _ in totals(context)]
    behind = [
        (urgent, less)
        for urgent, first in found
        for less, second in found
        if urgent < less and second - first > gap
    ]
    assert not behind, found


@then("one owner earns more, with fuller calls")
def better(context):
    def mean(results, value):
        return sum(map(value, results)) / len(results)

    for value in (lambda r: r.share, lambda r: r.pieces / r.calls):
        assert mean(context.played, value) > mean(context.alone, value), (
            mean(context.played, value),
            mean(context.alone, value),
        )


@then("at most {share:g} of the results are made for nothing")
def unused(context, share):
    made = sum(result.pieces for result in context.played)
    wasted = sum(result.unused for result in context.played)
    assert wasted <= share * made, (wasted, made)
