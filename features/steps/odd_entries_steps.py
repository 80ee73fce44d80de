"""Steps for entries of the store that raise exceptions when they are decoded or applied."""

import dataclasses
import json
from datetime import timedelta

from behave import given, then, when
from features.steps.directory_steps import DirectoryNode, upstream

from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.decoding import UnreadableValue
from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.messages import StateReply, StateRequest
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack.platform.emulated.emulation import configuration
from chervilrack.platform.run import SCHEMA

ERRORS = {
    error.__name__: error
    for error in (RecursionError, OverflowError, MemoryError, KeyError, UnreadableValue)
}
ODD = b"odd"


def odd_upstream(step, revision):
    """Return an entry that cannot be decoded, or one that can and raises when it is applied."""
    if step == "decoding":
        return KeyValue("servers/u2", ODD, revision)
    return upstream("u2", revision, version="odd")


@given("a node that lists upstreams u1 and u2, where {step} an odd entry raises {error}")
def start_odd_node(context, step, error):
    def raising(decode):
        def decode_or_raise(*arguments):
            if arguments[-1] == ODD:
                raise ERRORS[error]("an odd value")
            return decode(*arguments)

        return decode_or_raise

    schema = dataclasses.replace(
        SCHEMA,
        decode_configuration=raising(SCHEMA.decode_configuration),
        decode_upstream=raising(SCHEMA.decode_upstream),
    )
    context.step = step
    context.one = node = DirectoryNode("a", 1, schema)
    upstream_changed, apply_limits = (
        node.state.upstream_changed,
        node.directory._apply_caller_limits,
    )

    def change_or_raise(effect):
        if effect.entry is not None and effect.entry.version == "odd":
            raise ERRORS[error]("an odd upstream")
        upstream_changed(effect)

    def limit_or_raise(limits):
        if limits.max_body == 1:
            raise ERRORS[error]("odd limits")
        apply_limits(limits)

    node.state.upstream_changed = change_or_raise
    node.directory._apply_caller_limits = limit_or_raise


def put(item):
    return Change(ChangeKind.PUT, item)


@when("the store was away for a moment")
def lose_store(context):
    context.one.relay.on_unavailable("away")
    context.one.relay.on_available()


@when("u1 changes, servers/u2 turns odd and u3 is added, which the node learns by {carrier}")
def change_entries(context, carrier):
    node = context.one
    items = (
        upstream("u1", 4, version="v2"),
        odd_upstream(context.step, 5),
        upstream("u3", 6),
    )
    match carrier:
        case "a listing":
            node.relay.on_listing(items, 6)
        case "a batch of changes":
            node.relay.on_changes(tuple(map(put, items)), 6)
        case "a message of a watcher":
            changes = tuple(RelayedChange(i.key, i.value, i.mod_revision, False) for i in items)
            node.relay.on_progress(NodeId("a"), StoreProgress(3, 6, changes))
        case "the state of a peer":
            node.directory.on_unavailable("cut off")
            node.directory.on_state_reply(
                StateReply(b"", 6, tuple((i.key, i.value, i.mod_revision) for i in items), ())
            )


@then("the node has the changed u1{others}")
def check_entries(context, others):
    versions = {name: entry.version for name, entry in context.one.catalogue.upstreams.items()}
    expected = {"u1": "v2", "u3": "v1"}
    if "but not" not in others:
        expected["u2"] = "v1"
    assert versions == expected, versions
    ready = {entry.id for entry in context.one.catalogue.ready_upstreams("plain")}
    assert ready == set(expected), ready


@then("the node has revision {revision:d}")
def check_revision(context, revision):
    assert context.one.relay.revision == revision


def lines_of(context, key):
    return [line for line in context.one.log._buffer if line.get("key") == key]


@then("one log line and one count of unreadable entries name servers/u2 and its revision")
def check_log(context):
    (line,) = lines_of(context, "servers/u2")
    assert line["revision"] == 5, line
    assert 0 < len(line["reason"]) <= 300, line
    metrics = context.one.state.metrics.render(0, 0, {}).decode()
    assert 'chervilrack_serving_unreadable_entries_total{kind="upstream"} 1.0' in metrics, metrics


@then("the log lines that name servers/u2 have the revisions {revisions}")
def check_logged_revisions(context, revisions):
    logged = [line["revision"] for line in lines_of(context, "servers/u2")]
    assert logged == [int(revision) for revision in revisions.split(", ")], logged


@when("servers/u2 is good again")
def mend_entry(context):
    context.one.relay.on_available()
    context.one.relay.on_changes((put(upstream("u2", 7)),), 7)


@when("servers/u2 is removed")
def remove_entry(context):
    revision = context.one.relay.revision + 1
    removed = Change(ChangeKind.DELETE, KeyValue("servers/u2", b"", revision))
    context.one.relay.on_changes((removed,), revision)


@when("the node reads a listing with an odd servers/u2 of revision {revision:d} {times:d} times")
def read_listings(context, revision, times):
    for _ in range(times):
        items = (upstream("u1", 2), odd_upstream(context.step, revision))
        context.one.relay.on_listing(items, max(revision, context.one.relay.revision))


def odd_configuration(step):
    if step == "decoding":
        return ODD
    document = configuration(2, ["k1"])
    document["limits"] = {"maxBodyBytes": 1}
    return json.dumps(document).encode()


@when("{key} turns odd, and u3 is added in the same batch")
def turn_odd(context, key):
    value = odd_configuration(context.step) if key == "op/config" else ODD
    changes = (put(KeyValue(key, value, 4)), put(upstream("u3", 5)))
    context.one.relay.on_changes(changes, 5)


@then("the node has configuration {version:d}, and u1, u2 and u3")
def check_configuration_and_upstreams(context, version):
    check_configuration(context, version)
    assert set(context.one.catalogue.upstreams) == {"u1", "u2", "u3"}
    assert context.one.relay.revision == 5


@then("the node has configuration {version:d}")
def check_configuration(context, version):
    assert context.one.catalogue.configuration.version == version


@then("the node would send a peer configuration {version:d}")
def check_sent_configuration(context, version):
    node = context.one
    heartbeat = DirectoryNode("b", 2).heartbeat()
    node.fleet.receive_heartbeat(
        NodeId("b"), Incarnation("1"), heartbeat, node.clock.monotonic() + timedelta(seconds=1)
    )
    node.directory.on_state_request(NodeId("b"), StateRequest(0))
    (reply,) = node.sent
    assert json.loads(reply.configuration)["version"] == version


@when("configuration {version:d} is written")
def write_configuration(context, version):
    value = json.dumps(configuration(version, ["k1"])).encode()
    context.one.relay.on_changes((put(KeyValue("op/config", value, 6)),), 6)


@when("nodes/c registers with the peer address {address}")
def register_node(context, address):
    context.known = context.one.fleet.addresses
    address = address.replace(" NUL", "\0").replace("LONG", "a" * 300)
    value = json.dumps({"peer": address}).encode()
    context.one.relay.on_changes((put(KeyValue("nodes/c", value, 4)),), 4)


@then("the node knows no further peer, and one log line names nodes/c")
def check_no_peer(context):
    assert context.one.fleet.addresses == context.known
    (line,) = lines_of(context, "nodes/c")
    assert line["revision"] == 4, line
