"""Steps for placement: plans, changes of engines and fencing numbers."""

from datetime import timedelta
from unittest.mock import patch

from behave import given, then, when

from chervilrack._internal.placement.change import EngineChange, FencingNumbers
from chervilrack._internal.placement.messages import (
    ChangeRole,
    CommandAnswered,
    Demand,
    DrainProgress,
    DrainThenCommand,
    EndDrain,
    EngineRole,
    EngineState,
    EpochActivated,
    LoadAdapter,
    LoadModel,
    MembersChanged,
    PlacementInput,
    PlacementTick,
    SendCommand,
)
from chervilrack._internal.placement.planner import PlacementPlanner, apply_command
from chervilrack._internal.placement.service import PlacementService

GB = 10**9


class FakeEngine:
    """Engine that counts the requests that commands interrupt.

    It refuses commands with outdated fencing numbers if ``checks_fencing`` is set.
    """

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.in_flight = 0
        self.highest_number = -1
        self.accepted_numbers = []
        self.interrupted = 0

    def receive(self, effect):
        if self.checks_fencing and effect.fencing_number <= self.highest_number:
            return False
        self.highest_number = max(self.highest_number, effect.fencing_number)
        self.accepted_numbers.append(effect.fencing_number)
        self.interrupted += self.in_flight
        return True


def parse_engines(text):
    """Parse ``NAME=MODEL,MODEL+ADAPTER,ADAPTER/SLOTS/ROLE`` separated by blanks."""
    engines = []
    for part in text.split():
        name, _, description = part.partition("=")
        loaded, *options = description.split("/")
        models, _, adapters = loaded.partition("+")
        engines.append(
            EngineState(
                id=name,
                capacity=1.0,
                role=EngineRole(options[1]) if len(options) > 1 else EngineRole.MIXED,
                models=frozenset(filter(None, models.split(","))),
                adapters=frozenset(filter(None, adapters.split(","))),
                model_slots=int(options[0]) if options else 1,
                adapter_slots=1,
            )
        )
    return tuple(engines)


def parse_demands(text):
    """Parse ``MODEL[+ADAPTER][/ROLE]:WORK`` separated by blanks."""
    demands = []
    for part in text.split():
        target, _, work = part.partition(":")
        target, _, role = target.partition("/")
        model, _, adapter = target.partition("+")
        demands.append(Demand(model, float(work), adapter or None, EngineRole(role or "mixed")))
    return tuple(demands)


def describe_command(command):
    match command:
        case LoadModel(model, evict):
            return f"load {model}" + (f" for {evict}" if evict else "")
        case LoadAdapter(adapter, evict):
            return f"adapter {adapter}" + (f" for {evict}" if evict else "")
        case ChangeRole(role):
            return f"role {role.value}"


@given("placement with engines {engines} and demand {demands}")
def given_placement(context, engines, demands):
    context.placement_input = PlacementInput(
        engines=parse_engines(engines),
        demands=parse_demands(demands),
        model_sizes={"a": 14 * GB, "b": 14 * GB, "huge": 2000 * GB},
        adapter_sizes={"x": GB, "y": GB},
        store_bytes_per_s=2e9,
    )


@then('placement plans "{plan}"')
def plan_is(context, plan):
    changes = PlacementPlanner().plan(context.placement_input)
    planned = "; ".join(f"{c.upstream} {describe_command(c.command)}" for c in changes)
    assert planned == ("" if plan == "nothing" else plan), planned


@then("repeated placement plans settle and leave no model in use without an engine")
def plans_settle(context):
    placement_input = context.placement_input
    for _ in range(20):
        changes = PlacementPlanner().plan(placement_input)
        engines = {engine.id: engine for engine in placement_input.engines}
        for change in changes:
            engines[change.upstream] = apply_command(engines[change.upstream], change.command)
        loaded_after = set().union(*(engine.models for engine in engines.values()))
        loaded_before = set().union(*(engine.models for engine in placement_input.engines))
        in_use = {demand.model for demand in placement_input.demands}
        assert in_use & loaded_before <= loaded_after, (changes, loaded_after)
        if not changes:
            return
        placement_input = PlacementInput(
            tuple(engines.values()), placement_input.demands, placement_input.model_sizes,
            placement_input.adapter_sizes, placement_input.store_bytes_per_s,
        )  # fmt: skip
    raise AssertionError("the plans do not settle within 20 rounds")


# Changes of engines


def members_changed(epoch, *names):
    return MembersChanged(epoch, frozenset(names))


def run_change(events, checks_fencing=True):
    """Apply ``events`` to one change; return the names of its effects and the engine."""
    engine = FakeEngine(checks_fencing)
    service = PlacementService("n0", lambda: True)
    now = timedelta(0)
    service.handle(members_changed(1, "n0"), now)
    service.handle(EpochActivated(1), now)
    engines = parse_engines("e0=a e1=a e2=a")
    if not checks_fencing:
        engines = tuple(
            EngineState(e.id, 1.0, e.role, e.models, checks_fencing=False) for e in engines
        )
    effects = service.handle(PlacementInput(engines, parse_demands("a:0.1 b:0.9"), {"b": GB}), now)
    drain = next(e for e in effects if isinstance(e, DrainThenCommand))
    log = ["draining"]
    for event in events.split():
        kind, _, value = event.partition(":")
        match kind:
            case "wait":
                now += timedelta(seconds=float(value))
                new_effects = service.handle(PlacementTick(), now)
            case "drain":
                withdrawn, in_flight = value.split(",")
                engine.in_flight = int(in_flight)
                progress = DrainProgress(drain.upstream, withdrawn == "yes", engine.in_flight)
                new_effects = service.handle(progress, now)
            case "answer":
                number = drain.fencing_number - (value == "old")
                new_effects = service.handle(
                    CommandAnswered(drain.upstream, number, value != "no"), now
                )
            case "view":
                new_effects = service.handle(members_changed(int(value), "n0", "n1"), now)
        for effect in new_effects:
            if isinstance(effect, SendCommand):
                engine.receive(effect)
                log.append("command")
            elif isinstance(effect, EndDrain):
                log.append("end")
    return log, engine


@when('placement runs a change with "{events}" at an engine that {checks} fencing numbers')
def run_change_of_engine(context, events, checks):
    context.log, context.engine = run_change(events, checks == "checks")


@then('the effects of placement are "{log}"')
def effects_are(context, log):
    assert " ".join(context.log) == log, context.log
    assert context.engine.interrupted == 0


@then("placement interrupts requests only if it skips the wait for the drain")
def drain_protects_requests(context):
    events = "drain:no,2 wait:1 drain:yes,2 wait:1 drain:yes,0 wait:1"
    assert run_change(events)[1].interrupted == 0
    with patch.object(EngineChange, "_is_drained", staticmethod(lambda progress: True)):
        assert run_change(events)[1].interrupted > 0


def deliver_late_command():
    """Deliver a command of epoch 1 after one of epoch 2.

    Returns the fencing numbers that the engine accepted, the one of epoch 1 and that of epoch 2.
    """
    engine = FakeEngine(checks_fencing=True)
    numbers = FencingNumbers()
    numbers.start_epoch(1)
    first = [numbers.next() for _ in range(5)][-1]
    successor = FencingNumbers()
    successor.start_epoch(2)
    second = successor.next()
    for number in (second, first):
        engine.receive(SendCommand("e0", LoadModel("a"), number, timedelta(0)))
    return engine.accepted_numbers, first, second


@then(
    "the engine refuses a late command of an older epoch only if fencing numbers include the epoch"
)
def fencing_refuses_late_command(context):
    accepted, _, second = deliver_late_command()
    assert accepted == [second], accepted

    def next_without_epoch(self):
        self._counter += 1
        return self._counter

    with patch.object(FencingNumbers, "next", next_without_epoch):
        accepted, first, second = deliver_late_command()
    assert accepted == [second, first], accepted


@then("placement gives every engine exactly one owner among {nodes:d} nodes")
def each_engine_has_one_owner(context, nodes):
    names = [f"n{number}" for number in range(nodes)]
    services = [PlacementService(name, lambda: True) for name in names]
    for service in services:
        service.handle(members_changed(1, *names), timedelta(0))
    for number in range(50):
        assert sum(service.owns(f"e{number}") for service in services) == 1
