"""Steps for failure detection in the fleet: heartbeats, silence, restarts and gossip."""

import random
from datetime import timedelta

import msgspec
from behave import given, then, when

from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.core import (
    Fleet,
    PeerCannotHear,
    PeerHeardAgain,
    PeerLost,
    PeerSilent,
)
from chervilrack._internal.fleet.messages import Heartbeat

A, B, C = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


def heartbeat(address=B, *, ready=True, leaving=False, peer_addresses=()):
    return Heartbeat(address, address, "z", ready, leaving, 1, 1, True, (), peer_addresses)


@given("a node a that knows the address of node b")
def start_with_one_peer(context):
    context.now = timedelta(seconds=50)
    context.fleet = Fleet(NodeId("a"), A, random.Random(1))
    context.fleet.add_addresses([B], context.now)
    context.incarnation = 1
    context.effects = []


@given("a node a that gets heartbeats from {count:d} other nodes")
def start_with_many_peers(context, count):
    start_with_one_peer(context)
    context.fleet = Fleet(NodeId("a"), A, random.Random(1))
    for number in range(count):
        address = f"10.1.{number // 250}.{number % 250}:1"
        context.fleet.receive_heartbeat(
            NodeId(f"n{number}"), Incarnation("1"), heartbeat(address), context.now
        )


@when("node a observes {events}")
def observe(context, events):
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
                context.fleet.compensate_pause(timedelta(seconds=float(seconds)), context.now)
                context.effects += context.fleet.tick(context.now)
            case ["order"]:
                context.fleet.record_message(
                    NodeId("b"), Incarnation(str(context.incarnation)), context.now
                )
            case ["order", "of", "previous", "process"]:
                context.fleet.record_message(NodeId("b"), Incarnation("0"), context.now)
            case ["infrequent", "heartbeat"]:
                receive(context, msgspec.structs.replace(heartbeat(), interval_ms=4900))
            case ["restart"]:
                context.incarnation += 1
                receive(context, heartbeat())
            case ["deaf", "heartbeat"]:
                receive(context, msgspec.structs.replace(heartbeat(), unheard=(A,)))
            case [*kind, "heartbeat"]:
                receive(context, heartbeat(ready="unready" not in kind, leaving="leaving" in kind))


def receive(context, message):
    incarnation = Incarnation(str(context.incarnation))
    context.effects += context.fleet.receive_heartbeat(
        NodeId("b"), incarnation, message, context.now
    )


@when("a heartbeat of node b to node a contains the address of node c")
def pass_on_address(context):
    receive(context, heartbeat(peer_addresses=(C,)))


@then("node b is {state} for node a")
def check_state(context, state):
    if state == "unknown":
        peer_address = context.fleet.address_of(NodeId("b"))
        assert peer_address is None, peer_address
        return
    is_owner = NodeId("b") in context.fleet.owners()
    is_endpoint = B in context.fleet.endpoints(None, 64, context.now)
    assert is_owner == is_endpoint == (state == "used"), (is_owner, is_endpoint)


@then("the effect at node a is {expected}")
def check_effect(context, expected):
    effect_names = [type(effect).__name__ for effect in context.effects]
    assert (expected in effect_names) if expected != "nothing" else not effect_names, effect_names


@then("a new connection to node b is {wanted}")
def check_new_connection(context, wanted):
    (lost,) = [effect for effect in context.effects if isinstance(effect, PeerLost)]
    assert lost.silent_address == (B if wanted == "wanted" else None), lost


@then("node b is tried over a new connection {times:d} times and {heard}")
def check_trials(context, times, heard):
    trials = [effect for effect in context.effects if isinstance(effect, PeerSilent)]
    assert trials == [PeerSilent(NodeId("b"), B)] * times, trials
    assert (B in context.fleet.unheard()) == (heard == "awaited"), context.fleet.unheard()
    last = context.effects[-1] if context.effects else None
    assert (last == PeerHeardAgain(NodeId("b"))) == (heard == "heard again"), last


@then("node a has been told {count:d} times that node b does not hear it")
def check_deafness(context, count):
    told = [effect for effect in context.effects if isinstance(effect, PeerCannotHear)]
    assert told == [PeerCannotHear(NodeId("b"), B)] * count, told


@then("node a says that it hears node b {answer}")
def check_stated(context, answer):
    assert context.fleet.unheard() == (() if answer == "yes" else (B,))


@then("node a sends heartbeats to {count:d} addresses")
def check_address_count(context, count):
    assert len(context.fleet.addresses) == count


@then("node a sends at most {limit:d} heartbeats per second while it tries silent nodes")
def check_early_heartbeat_rate(context, limit):
    interval = context.fleet.shortest_heartbeat_interval.total_seconds()
    assert len(context.fleet.addresses) / interval <= limit, interval


@then("node a sends at most {limit:d} heartbeats per second")
def check_heartbeat_rate(context, limit):
    rate = len(context.fleet.addresses) / context.fleet.heartbeat_interval.total_seconds()
    assert rate <= limit + 1e-6, rate


@when("node a has been ready for {seconds:g} s")
def make_own_node_ready(context, seconds):
    context.fleet.update_readiness(True, context.now - timedelta(seconds=seconds))
    context.fleet.update_readiness(True, context.now)


@when("node b is unknown")
def leave_peer_unknown(context):
    pass


@when("node b is ready for {seconds:d} s")
def make_peer_ready(context, seconds):
    message = msgspec.structs.replace(heartbeat(), ready_for_ms=1000 * seconds)
    context.fleet.receive_heartbeat(NodeId("b"), Incarnation("1"), message, context.now)


@given("a node a with {own:g} cores and ready nodes {peers}")
def start_with_sized_peers(context, own, peers):
    start_with_one_peer(context)
    context.fleet = Fleet(NodeId("a"), A, random.Random(1), cpu_cores=own)
    make_own_node_ready(context, 9)
    for number, text in enumerate(peers.split(", "), start=1):
        name, cores = text.split(" with ")
        message = msgspec.structs.replace(
            heartbeat(f"10.0.1.{number}:1"), ready_for_ms=9000, cpu_cores=float(cores)
        )
        context.fleet.receive_heartbeat(NodeId(name), Incarnation("1"), message, context.now)


@when("node a leaves")
def start_leaving(context):
    context.fleet.leave()


@then("queues are owned by {owners}")
def check_owners(context, owners):
    assert context.fleet.owners() == owners.split(", "), context.fleet.owners()
