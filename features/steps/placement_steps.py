"""Steps for placement."""

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
from chervilrack._internal.placement.planner import PlacementPlanner, after
from chervilrack._internal.placement.service import PlacementService

GB = 10**9


class FencingEngine:
    """Engine that counts work cut off by commands and, if told to, checks fencing numbers."""

    def __init__(self, checks):
        self.checks = checks
        self.in_flight = 0
        self.highest = -1
        self.accepted = []
        self.cut_off = 0

    def command(self, effect):
        if self.checks and effect.fencing_number <= self.highest:
            return False
        self.highest = max(self.highest, effect.fencing_number)
        self.accepted.append(effect.fencing_number)
        self.cut_off += self.in_flight
        return True


def parse_engines(text):
    """Parse ``NAME=MODEL,MODEL+ADAPTER,ADAPTER/SLOTS/ROLE`` separated by blanks."""
    engines = []
    for part in text.split():
        name, _, rest = part.partition("=")
        held, *more = rest.split("/")
        models, _, adapters = held.partition("+")
        engines.append(
            EngineState(
                id=name,
                capacity=1.0,
                role=EngineRole(more[1]) if len(more) > 1 else EngineRole.MIXED,
                models=frozenset(filter(None, models.split(","))),
                adapters=frozenset(filter(None, adapters.split(","))),
                model_slots=int(more[0]) if more else 1,
                adapter_slots=1,
            )
        )
    return tuple(engines)


def parse_demands(text):
    """Parse ``MODEL[+ADAPTER][/ROLE]:WORK`` separated by blanks."""
    demands = []
    for part in text.split():
        what, _, work = part.partition(":")
        what, _, role = what.partition("/")
        model, _, adapter = what.partition("+")
        demands.append(Demand(model, float(work), adapter or None, EngineRole(role or "mixed")))
    return tuple(demands)


def describe(command):
    match command:
        case LoadModel(model, evict):
            return f"load {model}" + (f" for {evict}" if evict else "")
        case LoadAdapter(adapter, evict):
            return f"adapter {adapter}" + (f" for {evict}" if evict else "")
        case ChangeRole(role):
            return f"role {role.value}"


@given("placement of engines {engines} with demand {demands}")
def given_placement(context, engines, demands):
    context.given = PlacementInput(
        engines=parse_engines(engines),
        demands=parse_demands(demands),
        model_sizes={"a": 14 * GB, "b": 14 * GB, "huge": 2000 * GB},
        adapter_sizes={"x": GB, "y": GB},
        store_rate=2e9,
    )


@then('placement plans "{plan}"')
def plans(context, plan):
    changes = PlacementPlanner().plan(context.given)
    planned = "; ".join(f"{c.upstream} {describe(c.command)}" for c in changes)
    assert planned == ("" if plan == "nothing" else plan), planned


@then("placement applied until nothing changes keeps a holder of each model in use")
def keeps_holders(context):
    given_now = context.given
    for _ in range(20):
        changes = PlacementPlanner().plan(given_now)
        engines = {engine.id: engine for engine in given_now.engines}
        for change in changes:
            engines[change.upstream] = after(engines[change.upstream], change.command)
        held = set().union(*(engine.models for engine in engines.values()))
        before = set().union(*(engine.models for engine in given_now.engines))
        in_use = {demand.model for demand in given_now.demands}
        assert in_use & before <= held, (changes, held)
        if not changes:
            return
        given_now = PlacementInput(
            tuple(engines.values()), given_now.demands, given_now.model_sizes,
            given_now.adapter_sizes, given_now.store_rate,
        )  # fmt: skip
    raise AssertionError("the plan does not settle")


# The state machine of a change


def members(epoch, *names):
    return MembersChanged(epoch, frozenset(names))


def run_change(events, checks=True):
    """Run ``events`` at one owner; return the effects, the engine and the service."""
    engine = FencingEngine(checks)
    service = PlacementService("n0", lambda: True)
    now = timedelta(0)
    service.handle(members(1, "n0"), now)
    service.handle(EpochActivated(1), now)
    state = parse_engines("e0=a e1=a e2=a")
    if not checks:
        state = tuple(EngineState(e.id, 1.0, e.role, e.models, checks_fencing=False) for e in state)
    effects = service.handle(PlacementInput(state, parse_demands("a:0.1 b:0.9"), {"b": GB}), now)
    target = next(e for e in effects if isinstance(e, DrainThenCommand))
    log = ["draining"]
    for event in events.split():
        kind, _, value = event.partition(":")
        match kind:
            case "wait":
                now += timedelta(seconds=float(value))
                happened = service.handle(PlacementTick(), now)
            case "drain":
                withdrawn, in_flight = value.split(",")
                engine.in_flight = int(in_flight)
                progress = DrainProgress(target.upstream, withdrawn == "yes", engine.in_flight)
                happened = service.handle(progress, now)
            case "answer":
                number = target.fencing_number - (value == "old")
                happened = service.handle(
                    CommandAnswered(target.upstream, number, value != "no"), now
                )
            case "view":
                happened = service.handle(members(int(value), "n0", "n1"), now)
        for effect in happened:
            if isinstance(effect, SendCommand):
                engine.command(effect)
                log.append("command")
            elif isinstance(effect, EndDrain):
                log.append("end")
    return log, engine


@when('placement runs a change with "{events}" at an engine that {checks} fencing')
def change_runs(context, events, checks):
    context.log, context.engine = run_change(events, checks == "checks")


@then('placement does "{log}"')
def change_does(context, log):
    assert " ".join(context.log) == log, context.log
    assert context.engine.cut_off == 0


@then("placement cuts off work only without the wait for the drain")
def guard_drain(context):
    events = "drain:no,2 wait:1 drain:yes,2 wait:1 drain:yes,0 wait:1"
    assert run_change(events)[1].cut_off == 0
    with patch.object(EngineChange, "_is_drained", staticmethod(lambda progress: True)):
        assert run_change(events)[1].cut_off > 0


def late_command():
    """Deliver the command of epoch 1 after that of epoch 2; return the accepted numbers."""
    engine = FencingEngine(checks=True)
    numbers = FencingNumbers()
    numbers.start_epoch(1)
    first = [numbers.next() for _ in range(5)][-1]
    successor = FencingNumbers()
    successor.start_epoch(2)
    second = successor.next()
    for number in (second, first):
        engine.command(SendCommand("e0", LoadModel("a"), number, timedelta(0)))
    return engine.accepted, first, second


@then("placement has a late command of an older epoch refused only with the fence")
def guard_fence(context):
    accepted, _, second = late_command()
    assert accepted == [second], accepted

    def count_only(self):
        self._counter += 1
        return self._counter

    with patch.object(FencingNumbers, "next", count_only):
        accepted, first, second = late_command()
    assert accepted == [second, first], accepted


@then("placement gives every engine one planner among {nodes:d} nodes")
def one_planner(context, nodes):
    names = [f"n{number}" for number in range(nodes)]
    services = [PlacementService(name, lambda: True) for name in names]
    for service in services:
        service.handle(members(1, *names), timedelta(0))
    for number in range(50):
        assert sum(service.owns(f"e{number}") for service in services) == 1
