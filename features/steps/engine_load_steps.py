"""Steps that simulate the load of engines."""

from datetime import timedelta

from behave import given, then, when
from support.engine_load import EngineLoadSimulation, PromptKind

SEEDS = (1, 2)
# Requests/s and prompt tokens of a deployment with 45 engines during a burst of its largest kind.
KINDS = (
    PromptKind(119, 2890, 1.0, 39_600, 2520, 3780, 1506),
    PromptKind(50, 1800, 1.3, 6_870, 341, 227, 809),
    PromptKind(31, 543, 0.89, 2_310, 103, 69, 749),
)


@given("{count:d} engines that read prompts one after another")
def set_engines(context, count):
    context.engine_count = count


@when("{nodes:d} nodes send 200 requests/s for {seconds:d} s")
def simulate(context, nodes, seconds):
    assert sum(kind.requests_per_s for kind in KINDS) == 200
    context.waits = []
    for seed in SEEDS:
        simulation = EngineLoadSimulation(KINDS, nodes, context.engine_count, seed)
        simulation.run(seconds)
        context.waits += simulation.waits


@then("at least {share:g} of the requests have their first byte within {seconds:g} s")
def check_waits(context, share, seconds):
    limit = timedelta(seconds=seconds)
    in_time = sum(wait <= limit for wait in context.waits)
    assert in_time >= share * len(context.waits), (in_time, len(context.waits))
