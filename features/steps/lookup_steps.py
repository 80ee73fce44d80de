"""Steps for the nodes that look-up answers name, with heartbeats on a manual clock."""

import random
from datetime import timedelta

import msgspec
from behave import given, then, when
from fleet_steps import A, heartbeat

from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.fleet.lookup import LookupBounds

STEP = timedelta(milliseconds=100)
ZONES = ("z1", "z2", "z3")
# More than the number of nodes, so that an answer names all that it may name.
NO_LIMIT = 1000


def seconds(value):
    return timedelta(seconds=value)


@given("a node a with a contact time of {limit:g} s and {count:d} other nodes")
def start_bounded(context, limit, count):
    start(context, LookupBounds(seconds(limit + 3), seconds(limit)), count)


@given("a node a without a contact time and {count:d} other nodes")
def start_unbounded(context, count):
    start(context, None, count)


def start(context, bounds, count):
    context.now = seconds(50)
    context.fleet = Fleet(NodeId("a"), A, random.Random(1), lookup_bounds=bounds)
    context.peers = [f"10.1.{n // 250}.{n % 250 + 1}:1" for n in range(count)]
    context.heard, context.lost, context.leaving = set(context.peers), set(), set()
    context.named_until, context.never_missing = {}, True
    # Every node's next heartbeat; the nodes are not in step.
    context.next = {p: context.now + STEP * (n % 9) for n, p in enumerate(context.peers)}
    context.fleet.add_addresses(context.peers, context.now)
    context.checks_peers = False
    run(context, seconds(6))
    context.checks_peers = True


def zone_of(context, peer):
    return ZONES[context.peers.index(peer) % len(ZONES)]


def interval(context):
    """Return the heartbeat interval of a node that knows all nodes."""
    return timedelta(milliseconds=max(300, 12.5 * (len(context.peers) + 1)))


def send(context, peer):
    message = msgspec.structs.replace(
        heartbeat(peer, leaving=peer in context.leaving),
        zone=zone_of(context, peer),
        interval_ms=round(interval(context) / timedelta(milliseconds=1)),
    )
    context.fleet.receive_heartbeat(NodeId(peer), Incarnation("1"), message, context.now)


def named(context):
    return set(context.fleet.endpoints(A, NO_LIMIT, context.now))


def run(context, duration, *, stands_still=False):
    """Let time pass. Node a ticks with its heartbeats, and answers a look-up each step."""
    end, next_tick = context.now + duration, context.now
    while context.now < end:
        context.now += STEP
        for peer in context.peers:
            if peer not in context.lost and context.now >= context.next[peer]:
                context.next[peer] = context.now + interval(context)
                if peer in context.heard and not stands_still:
                    send(context, peer)
        if stands_still:
            continue
        if context.now >= next_tick:
            next_tick = context.now + context.fleet.heartbeat_interval
            context.fleet.tick(context.now)
        answer = named(context)
        for peer in context.lost & answer:
            context.named_until[peer] = context.now
        expected = context.heard - context.lost - context.leaving
        if context.checks_peers and not expected <= answer:
            context.never_missing = False


@when("{count:d} of them are lost by {event}")
def lose(context, count, event):
    lost = set(context.peers[:count])
    if "notice" in event:
        context.leaving |= lost
        for peer in lost:
            send(context, peer)
        run(context, seconds(3))
    if "joined" in event:
        joined = [f"10.9.0.{n}:1" for n in range(1, 60)]
        context.fleet.add_addresses(joined, context.now)
    context.lost, context.lost_at = lost, context.now
    if "come again" in event:
        # From the store, whose leases last for 12 s, and from nodes that have not noticed yet.
        run(context, seconds(2))
        context.fleet.add_addresses(lost, context.now)


@when("node a answers look-ups for {duration:g} s")
def answer(context, duration):
    run(context, seconds(duration))


@when("node a stands still for {pause:g} s, while {count:d} of them are killed")
def stand_still(context, pause, count):
    context.lost, context.lost_at = set(context.peers[:count]), context.now
    run(context, seconds(pause), stands_still=True)
    context.fleet.compensate_pause(seconds(pause), context.now)
    context.resumed_at = context.now


@when("node a {cut} for {duration:g} s")
def cut(context, cut, duration):
    context.checks_peers = False
    match cut:
        case "hears no other node":
            context.heard = set()
        case "hears no node of another zone":
            context.heard = {p for p in context.peers if zone_of(context, p) == ZONES[0]}
    run(context, seconds(duration))


@when("node a hears all nodes again")
def end_cut(context):
    context.heard = set(context.peers)
    run(context, interval(context) + STEP)


@then("a lost node was named for at most {longest:g} s")
def check_longest(context, longest):
    times = {peer: until - context.lost_at for peer, until in context.named_until.items()}
    late = {peer: time for peer, time in times.items() if time > seconds(longest)}
    assert not late, f"{len(late)} of {len(context.lost)}, up to {max(late.values())}"


@then("a lost node was named for at least {shortest:g} s")
def check_shortest(context, shortest):
    assert max(context.named_until.values()) - context.lost_at >= seconds(shortest)


@then("from {duration:g} s after its pause on, node a names no lost node")
def check_after_pause(context, duration):
    last = max(context.named_until.values(), default=context.resumed_at)
    assert last <= context.resumed_at + seconds(duration), last - context.resumed_at


@then("all other nodes are named all the time")
def check_others(context):
    assert context.never_missing


@then("node a names {expected}")
def check_named(context, expected):
    in_zone = {p for p in context.peers if zone_of(context, p) == ZONES[0]}
    nodes = {
        "only itself": {A},
        "the nodes of its zone": {A} | in_zone,
        "all nodes": {A} | set(context.peers),
    }[expected]
    assert named(context) == nodes, (len(named(context)), len(nodes))
