"""Steps for the evacuation of zones, as a node learns of it without a network."""

from datetime import timedelta

from behave import given, then, when
from features.steps.directory_steps import CONFIGURATION, DirectoryNode, upstream

from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.ids import NodeId, ServiceId
from chervilrack._internal.common.results import Executed, ResultCode
from chervilrack._internal.fleet.messages import StateReply, StateRequest
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue

SERVICE = ServiceId("plain")
ITEMS = (CONFIGURATION, upstream("u1", 2), upstream("u2", 3))


def evacuation(zone, revision):
    return KeyValue(f"op/evacuate/{zone}", b"{}", revision)


@given("a node that knows upstreams u1 and u2 of zone z1")
def start_node(context):
    context.node = DirectoryNode("a", 1)


@given("a node that starts while the store is away")
def start_without_store(context):
    context.node = DirectoryNode("a", 1, lists=False)
    context.node.relay.on_unavailable("away")


def registrations(items):
    return tuple(
        (item.key, item.value, item.mod_revision)
        for item in items
        if item.key.startswith("servers/")
    )


def learn(context, changes, carrier):
    """Pass a course of changes on; a listing and a peer's state hold what is left in the end."""
    node = context.node
    revision = changes[-1].item.mod_revision
    contents = {item.key: item for item in ITEMS}
    for change in changes:
        contents.pop(change.item.key, None)
        if change.kind is ChangeKind.PUT:
            contents[change.item.key] = change.item
    match carrier:
        case "a listing":
            node.relay.on_listing(tuple(contents.values()), revision)
        case "a batch of changes":
            node.relay.on_changes(tuple(changes), revision)
        case "a message of a watcher":
            relayed = tuple(
                RelayedChange(
                    c.item.key, c.item.value, c.item.mod_revision, c.kind is ChangeKind.DELETE
                )
                for c in changes
            )
            node.relay.on_progress(NodeId("b"), StoreProgress(3, revision, relayed))
        case "the state of a peer":
            peer = DirectoryNode("b", 2)
            peer.relay.on_changes(tuple(changes), revision)
            node.directory.on_unavailable("cut off")
            node.directory.on_state_reply(state_of(peer))


def state_of(peer):
    """Return the state that a peer sends."""
    peer.fleet.address_of = lambda _: "10.1.0.1:1"
    peer.directory.on_state_request(NodeId("a"), StateRequest(0))
    return peer.sent[-1]


@when("zone z1 {events}, which the node learns by {carrier}")
def evacuate(context, events, carrier):
    changes = [Change(ChangeKind.PUT, evacuation("z1", 4))]
    if "returned" in events:
        changes.append(Change(ChangeKind.DELETE, evacuation("z1", 5)))
    if "again" in events:
        changes.append(Change(ChangeKind.PUT, evacuation("z1", 6)))
    learn(context, changes, carrier)


@when("{key} and the evacuation of zone z1 are written, which the node learns by {carrier}")
def write_odd_key(context, key, carrier):
    odd = KeyValue(key, b"{}", 4)
    changes = [Change(ChangeKind.PUT, odd), Change(ChangeKind.PUT, evacuation("z1", 5))]
    learn(context, changes, carrier)


@when("the evacuation of zone z9 is written, which the node learns by {carrier}")
def evacuate_unknown(context, carrier):
    learn(context, [Change(ChangeKind.PUT, evacuation("z9", 4))], carrier)


@when("the store is away for {seconds:d} s")
def lose_store(context, seconds):
    context.node.relay.on_unavailable("away")
    context.node.clock.advance(timedelta(seconds=seconds))
    context.node.directory.expire_upstreams()


@when("a peer of an earlier version sends a newer state")
def get_earlier_version(context):
    context.node.relay.on_unavailable("away")
    context.node.directory.on_state_reply(StateReply(b"", 9, registrations(ITEMS)))


@when("a peer sends an older state")
def get_older_state(context):
    context.node.relay.on_unavailable("away")
    context.node.directory.on_state_reply(
        StateReply(b"", 3, registrations(ITEMS), (), (), evacuations=())
    )


@when("a listing arrives that is older than the evacuation")
def get_older_listing(context):
    context.node.relay.on_listing(ITEMS, 3)


@when("both upstreams register anew, and u3 of zone z1 is added")
def register_anew(context):
    items = (upstream("u1", 5, "v2"), upstream("u2", 6, "v2"), upstream("u3", 7))
    context.node.relay.on_changes(tuple(Change(ChangeKind.PUT, item) for item in items), 7)


@when("the evacuation is removed")
def take_back(context):
    change = Change(ChangeKind.DELETE, evacuation("z1", 5))
    context.node.relay.on_changes((change,), 5)


@when("{seconds:d} s go by at the node")
def pass_time(context, seconds):
    context.node.clock.advance(timedelta(seconds=seconds))


@when("it takes the state of a peer that knows of the evacuation of z1")
def take_state(context):
    learn(context, [Change(ChangeKind.PUT, evacuation("z1", 4))], "the state of a peer")
    assert context.node.state.is_accepting()


@then("the upstreams of zone z1 are {use}")
def check_use(context, use):
    state = context.node.state
    problem = state.unavailability(SERVICE)
    chosen = state.choose(SERVICE, RequestLoad(), ())
    may_send = {state.may_send(e.incarnation) for e in state.catalogue.upstreams.values()}
    if use == "used":
        assert problem is None, problem
        assert chosen is not None
        assert may_send == {True}, may_send
        return
    assert problem.code is ResultCode.ZONES_EVACUATED, problem
    assert problem.executed is Executed.NO, problem
    assert chosen is None, chosen
    assert may_send == {False}, may_send


def lines(context):
    return list(context.node.log._buffer)


@then("one log line and one count of unreadable evacuations name {key}")
def check_unreadable(context, key):
    (line,) = [line for line in lines(context) if line.get("key") == key]
    assert line["event"] == "evacuation unreadable", line
    metrics = context.node.state.metrics.render(0, 0, {}).decode()
    assert 'unreadable_entries_total{kind="evacuation"} 1.0' in metrics, metrics


@then('the log says that zone {zone} with {count:d} upstreams is "{event}" at revision {at:d}')
def check_log(context, zone, count, event, at):
    (context.line,) = [
        line for line in lines(context) if line.get("zone") == zone and line["event"] == event
    ]
    assert context.line["upstreams"] == count, context.line
    assert context.line["revision"] == at, context.line


@then("it says that this was after {seconds:d} s")
def check_duration(context, seconds):
    assert context.line["after_s"] == seconds, context.line


@then("the metrics count {zones:d} evacuated zone and {upstreams:d} evacuated upstreams")
@then("the metrics count {zones:d} evacuated zones and {upstreams:d} evacuated upstreams")
def check_metrics(context, zones, upstreams):
    state = context.node.state
    text = state.metrics.render(0, 0, state.count_barred()).decode()
    assert f"chervilrack_serving_evacuated_zones {zones}.0" in text, text
    assert f'upstreams_barred{{reason="evacuated"}} {upstreams}.0' in text, text


@then("the queues of services know u1 and u2, which may get nothing new")
def check_queue_upstreams(context):
    state = context.node.state
    entries = state.upstreams(SERVICE)
    assert [entry.id for entry in entries] == ["u1", "u2"], entries
    now = state.clock.monotonic()
    assert not state.balancer.standing.open_upstreams(entries, now)
