"""Steps for the records of blocked traits in the store."""

import json
from datetime import timedelta

import msgspec
from behave import given, then, when
from directory_steps import CONFIGURATION, DirectoryNode, upstream
from quarantine_steps import APART, SERVICE, ObservedQuarantine, profile

from chervilrack._internal.common.hashing import rendezvous_order
from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.messages import StateRequest
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack._internal.quarantine.archive import BlockArchive
from chervilrack._internal.quarantine.records import (
    BlockRecord,
    RecordState,
    block_record,
    encode_record,
    record_name,
)
from chervilrack._internal.quarantine.state import CrashedRequest, Trait

NODES = [NodeId(f"n{number}") for number in range(5)]
NAME = record_name(SERVICE, Trait("x"))
SENDER = "organisation o1"


def crash(quarantine, count, parts="x", sender=SENDER):
    for _ in range(count):
        quarantine.now += APART
        quarantine.crash([CrashedRequest(profile(parts, sender), at_start=True)])


def prepare(quarantine, knows):
    """Bring a quarantine into a state."""
    match knows:
        case "knows nothing":
            return
        case "suspects x":
            crash(quarantine, 2)
        case "has an answer on x":
            quarantine.core.record_answer(profile("x", SENDER), quarantine.now)
        case "blocks x of all senders":
            crash(quarantine, 2)
            crash(quarantine, 1, sender="organisation o2")
        case "blocks x with 30 long parts":
            crash(quarantine, 5, "+".join(["x", *(f"{number:0190}" for number in range(29))]))
        case _:
            crash(quarantine, 3)
    quarantine.settle()
    if knows == "has probed x":
        quarantine.observe("50 s")
        assert quarantine.admit(profile("x", SENDER)) is None
    if knows == "has probed x 2000 times":
        for suspect in quarantine.core.blocked:
            suspect.probes = 2000
    if knows == "has cleared x":
        quarantine.observe("peer answer on x")


@given("a node that is number {rank:d} in order, whose quarantine {knows}")
def create_node(context, rank, knows):
    node = rendezvous_order(NAME, NODES)[rank - 1]
    context.archive = BlockArchive(node)
    context.quarantine = ObservedQuarantine()
    prepare(context.quarantine, knows)


def record(words):
    """Return a record of x, such as "x as blocked, probed once"."""
    states = {"x as blocked": RecordState.BLOCKED, "x as cleared": RecordState.CLEARED}
    text, _, more = words.partition(", ")
    source = ObservedQuarantine()
    prepare(source, "blocks x")
    (suspect,) = source.core.blocked
    written = block_record(suspect, source.now)
    common = [*written.common, "y"] if "by more" in text else written.common
    return msgspec.structs.replace(
        written,
        state=states[text.removesuffix(" by more")],
        common=tuple(common),
        probes={"probed once": 1, "probed 1000 times": 1000}.get(more, 0),
        is_doubtful=more == "in doubt",
    )


@given("the store holds {stored}")
def fill_store(context, stored):
    match stored.split():
        case ["nothing"]:
            return
        case [count, "others", "of", *owner]:
            for number in range(int(count)):
                sender = SENDER if owner == ["its", "sender"] else f"organisation p{number}"
                other = BlockRecord(RecordState.BLOCKED, SERVICE, f"t{number}", (sender,))
                context.archive.observe(other.name, other, number + 1)
        case _:
            context.archive.observe(NAME, record(stored), 7)


@when("{seconds:g} s pass for the records")
def pass_time(context, seconds):
    quarantine, archive = context.quarantine, context.archive
    archive.due_writes(quarantine.core.suspects, NODES, quarantine.now)
    quarantine.now += timedelta(seconds=seconds)
    context.writes, context.next_time = archive.due_writes(
        quarantine.core.suspects, NODES, quarantine.now
    )
    assert context.next_time is None or context.next_time > quarantine.now


@when("the write fails")
def fail_write(context):
    context.archive.postpone(NAME, context.quarantine.now)


@then("the node writes {written}")
def check_writes(context, written):
    found = [f"{write.record.trait} as {write.record.state.value}" for write in context.writes]
    assert found == ([] if written == "nothing" else [written]), context.writes
    for write in context.writes:
        assert write.value == encode_record(write.record)
        assert len(write.value) <= context.archive.settings.max_bytes


@when("the node reads {words}")
def read_record(context, words):
    read = record(words)
    quarantine = context.quarantine
    key = (SERVICE, Trait(read.trait))
    if read.state is RecordState.CLEARED:
        quarantine.core.lift(key, quarantine.now)
        return
    quarantine.core.restore(
        key,
        frozenset(read.common),
        read.crashes_at(quarantine.now),
        read.probes,
        quarantine.now,
        is_doubtful=read.is_doubtful,
    )


@then("requests with {part} of o1 are {decided}")
def check_refusal(context, part, decided):
    refusal = context.quarantine.core.refusal(profile(part, SENDER), context.quarantine.now)
    if decided == "admitted":
        assert refusal is None, refusal
        return
    seconds = float(decided.split()[2])
    assert refusal is not None
    assert seconds <= refusal.retry_after.total_seconds() <= 1.5 * seconds, refusal


@given("a node that starts, and {content} under a key of records")
@given("a node that starts, and {content} in the store")
def create_starting_node(context, content):
    value = {
        "a block of x": encode_record(record("x as blocked")),
        "no JSON": b"{",
        "an unknown state": encode_record(record("x as blocked")).replace(b"blocked", b"maybe"),
        "an unknown field": b'{"more":1,' + encode_record(record("x as blocked"))[1:],
        "a record of another trait": encode_record(
            BlockRecord(RecordState.BLOCKED, SERVICE, "other", ("other",))
        ),
    }[content]
    context.items = (CONFIGURATION, upstream("u1", 2), KeyValue(f"blocks/{NAME}", value, 3))
    context.b = DirectoryNode("b", 2, lists=False)
    assert not context.b.state.is_accepting()


@when("it gets its first state from the store")
def list_store(context):
    context.b.relay.on_available()
    context.b.relay.on_listing(context.items, 3)


@when("it gets its first state from a peer, while the store does not answer")
def take_state(context):
    peer = DirectoryNode("a", 1, lists=False)
    peer.relay.on_available()
    peer.relay.on_listing(context.items, 4)
    now = peer.clock.monotonic()
    peer.fleet.receive_heartbeat(NodeId("b"), Incarnation("1"), context.b.heartbeat(), now)
    context.b.directory.on_unavailable("away")
    peer.directory.on_state_request(NodeId("b"), StateRequest(0))
    (reply,) = peer.sent
    context.b.directory.on_state_reply(reply)


@given("it has accepted requests before the block")
def start_before_block(context):
    context.b.relay.on_available()
    context.b.relay.on_listing(context.items[:2], 2)
    assert context.b.state.is_accepting()


@when("it gets a block of x from {source}")
def get_block(context, source):
    if source == "a watch":
        context.b.relay.on_changes((Change(ChangeKind.PUT, context.items[2]),), 3)
    elif source == "a listing":
        list_store(context)
    else:
        take_state(context)


def is_refused(node):
    return node.state.crash_watch.refusal(profile("x", SENDER)) is not None


@then("it accepts requests, and refuses those with x")
def check_start(context):
    assert context.b.state.is_accepting()
    assert is_refused(context.b)


@then("it accepts requests, also those with x")
def check_left_out(context):
    assert context.b.state.is_accepting()
    assert not is_refused(context.b)


@then("it counts the record as unreadable")
def check_unreadable(context):
    with context.b.log:
        pass
    lines = [json.loads(line) for line in context.b.output.getvalue().splitlines()]
    assert [line["key"] for line in lines if line["event"] == "record unreadable"] == [
        f"blocks/{NAME}"
    ], lines
