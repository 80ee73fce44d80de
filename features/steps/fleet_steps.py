"""Steps for the fleet's view: heartbeats, silence, restarts and gossip."""

import random
from datetime import timedelta

import msgspec
from behave import given, then, when

from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.fleet.messages import Heartbeat

A, B, C = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


def beat(address=B, *, ready=True, leaving=False, peers=()):
    return Heartbeat(address, address, "z", ready, leaving, 1, 1, True, (), peers)


@given("a node a that knows the address of node b")
def knows(context):
    context.now = timedelta(seconds=50)
    context.fleet = Fleet(NodeId("a"), A, random.Random(1))
    context.fleet.learn([B], context.now)
    context.incarnation = 1
    context.effects = []


@given("a node a that hears {count:d} others")
def hears(context, count):
    knows(context)
    context.fleet = Fleet(NodeId("a"), A, random.Random(1))
    for number in range(count):
        address = f"10.1.{number // 250}.{number % 250}:1"
        context.fleet.heard(NodeId(f"n{number}"), Incarnation("1"), beat(address), context.now)


@when("node a sees {events}")
def sees(context, events):
    context.effects = []
    for event in events.split(", "):
        match event.split():
            case ["nothing"]:
                pass
            case [seconds, "s"]:
                context.now += timedelta(seconds=float(seconds))
                context.effects += context.fleet.tick(context.now)
            case [seconds, "s", "pause"]:
                context.now += timedelta(seconds=float(seconds))
                context.fleet.woke(timedelta(seconds=float(seconds)))
                context.effects += context.fleet.tick(context.now)
            case ["order"]:
                context.fleet.note_message(
                    NodeId("b"), Incarnation(str(context.incarnation)), context.now
                )
            case ["order", "of", "its", "predecessor"]:
                context.fleet.note_message(NodeId("b"), Incarnation("0"), context.now)
            case ["rare", "beat"]:
                hear(context, msgspec.structs.replace(beat(), interval_ms=4900))
            case ["restart"]:
                context.incarnation += 1
                hear(context, beat())
            case [*kind, "beat"]:
                hear(context, beat(ready="unready" not in kind, leaving="leaving" in kind))


def hear(context, message):
    incarnation = Incarnation(str(context.incarnation))
    context.effects += context.fleet.heard(NodeId("b"), incarnation, message, context.now)


@when("node b names the address of node c to node a")
def names(context):
    hear(context, beat(peers=(C,)))


@then("node b is {seen} for node a")
def is_seen(context, seen):
    if seen == "unknown":
        known = context.fleet.address_of(NodeId("b"))
        assert known is None, known
        return
    used = NodeId("b") in context.fleet.owners()
    named = B in context.fleet.endpoints(None, 64)
    assert used == named == (seen == "used"), (used, named)


@then("node a was told {told}")
def was_told(context, told):
    names_told = [type(effect).__name__ for effect in context.effects]
    assert (told in names_told) if told != "nothing" else not names_told, names_told


@then("node a sends heartbeats to {count:d} addresses")
def sends_to(context, count):
    assert len(context.fleet.addresses) == count


@then("node a sends at most {most:d} heartbeats a second")
def rate(context, most):
    found = len(context.fleet.addresses) / context.fleet.interval.total_seconds()
    assert found <= most + 1e-6, found


@when("node a is ready for {seconds:g} s")
def own_ready(context, seconds):
    context.fleet.note_ready(True, context.now - timedelta(seconds=seconds))
    context.fleet.note_ready(True, context.now)


@when("node b is not heard")
def not_heard(context):
    pass


@when("node b is ready for {seconds:d} s")
def other_ready(context, seconds):
    message = msgspec.structs.replace(beat(), ready_for_ms=1000 * seconds)
    context.fleet.heard(NodeId("b"), Incarnation("1"), message, context.now)


@when("node a leaves")
def leaves(context):
    context.fleet.leave()


@then("queues are owned by {owners}")
def owned_by(context, owners):
    assert context.fleet.owners() == owners.split(", "), context.fleet.owners()
