"""Steps for the store directories of two nodes, one of which is cut off from the store."""

import io
import json
from datetime import timedelta

import msgspec
from behave import given, then, when

from chervilrack._internal.changefeed.core import ChangeFeed, ZoneMember
from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.ids import Incarnation, NodeId, UpstreamId, ZoneId
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.fleet.messages import Heartbeat, StateReply, StateRequest
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.directory import StoreDirectory
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack._internal.serving.state import ServingState
from chervilrack._internal.serving.store_relay import StoreRelay
from chervilrack.platform.emulated.emulation import configuration
from chervilrack.platform.run import SCHEMA

CONFIGURATION = KeyValue("op/config", json.dumps(configuration(1, ["k1"])).encode(), 1)


def upstream(name, revision, version="v1"):
    entry = {
        "service": "plain",
        "address": f"10.0.0.{name[1:]}:80",
        "zone": "z1",
        "version": version,
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return KeyValue(f"servers/{name}", json.dumps(entry).encode(), revision)


class DirectoryNode:
    """A node's store directory with its surroundings; ``sent`` holds its messages to peers."""

    def __init__(self, name, number, schema=SCHEMA, *, lists=True):
        self.clock = ManualClock()
        self.sent = []
        own_address = Address(f"10.1.0.{number}", 1)
        settings = ServingSettings(
            NodeId(name), ZoneId("z1"), own_address, own_address, own_address, own_address
        )
        self.address = str(own_address)
        self.fleet = Fleet(settings.node, self.address, None)
        self.output = io.StringIO()
        self.log = DecisionLog(name, self.output)
        self.state = state = ServingState(settings, self.fleet, self.clock, self.log)
        self.catalogue = state.catalogue
        self.directory = StoreDirectory(
            settings,
            schema,
            state,
            lambda _, message: self.sent.append(message),
            lambda limits: None,
            lambda: None,
        )
        self.feed = ChangeFeed(settings.node, settings.zone)
        self.relay = StoreRelay(self.feed, self.directory, state, self.pass_on)
        # Node that gets the messages of the change feed.
        self.follower = None
        if not lists:
            return
        self.relay.on_available()
        items = (CONFIGURATION, upstream("u1", 2), upstream("u2", 3))
        self.relay.on_listing(items, 3)

    def pass_on(self, addresses, message):
        if self.follower is not None and f"tcp://{self.follower.address}" in addresses:
            self.follower.relay.on_progress(NodeId("a"), message)

    def heartbeat(self):
        address = self.address
        store_directory = self.directory
        fields = (1, store_directory.revision, store_directory.store_answers, (), ())
        return Heartbeat(address, address, "z1", True, False, *fields)


@given("node a and node b that both list upstreams u1 and u2")
def start_nodes(context):
    context.a, context.b = DirectoryNode("a", 1), DirectoryNode("b", 2)
    now = context.a.clock.monotonic()
    context.a.fleet.receive_heartbeat(NodeId("b"), Incarnation("1"), context.b.heartbeat(), now)


@when("node b is cut off from the store")
def cut_off(context):
    context.b.clock.advance(timedelta(seconds=1))
    context.b.directory.on_unavailable("cut off")


def delete_upstream(directory_node, name, revision):
    change = Change(ChangeKind.DELETE, KeyValue(f"servers/{name}", b"", revision))
    directory_node.relay.on_changes((change,), revision)


def have_outage(context, meanwhile=lambda: None):
    """Have the store away for node a for 3 s, and call ``meanwhile`` each half second."""
    context.a.relay.on_unavailable("away")
    for _ in range(6):
        for node in (context.a, context.b):
            node.clock.advance(timedelta(seconds=0.5))
        meanwhile()
    context.a.relay.on_available()
    context.a.relay.on_unchanged()


@when("the store connection of node a reports {event}")
def change_store(context, event):
    directory = context.a.relay
    match event:
        case "nothing":
            pass
        case "the end of u2 and again its registration":
            delete_upstream(context.a, "u2", 4)
            # The message of another watcher with the changes before the deletion arrives later.
            item = upstream("u2", 3)
            change = RelayedChange(item.key, item.value, item.mod_revision, False)
            context.b.relay.on_progress(NodeId("a"), StoreProgress(2, 3, (change,)))
        case "a change of u1":
            changed = Change(ChangeKind.PUT, upstream("u1", 4, version="v2"))
            directory.on_changes((changed,), 4)
        case "the end of u2":
            delete_upstream(context.a, "u2", 4)
        case "a listing without u2":
            directory.on_listing((CONFIGURATION, upstream("u1", 2)), 4)
        case "an outage and then the end of u2":
            have_outage(context)
            delete_upstream(context.a, "u2", 4)
        case "an outage and then the end of u2, while node b was served":
            have_outage(context, context.b.relay.on_available)
            delete_upstream(context.a, "u2", 4)
        case "an outage and then the end of u2, while node c was served":
            have_outage(
                context, lambda: context.b.relay.on_progress(NodeId("c"), StoreProgress(3, 3))
            )
            delete_upstream(context.a, "u2", 4)


@given("nodes a and b know the addresses of {count:d} other nodes")
def add_addresses(context, count):
    for node in (context.a, context.b):
        known = len(node.fleet.addresses)
        node.fleet.add_addresses(
            [f"10.2.0.{number}:1" for number in range(count - known)], node.clock.monotonic()
        )


@then("node {name} counts {count:d} nodes as watching")
@then("node {name} counts {count:d} node as watching")
def check_watching_nodes(context, name, count):
    assert getattr(context, name).relay.watching_nodes == count


def follow(watcher, follower):
    """Put two nodes into one zone, of which the first watches the store."""
    # Nodes c to e have too little processor time to watch.
    sizes = {"a": 2.0, "b": 0.5, "c": 0.5, "d": 0.5, "e": 0.5}
    addresses = {"a": watcher.address, "b": follower.address}
    members = [
        ZoneMember(NodeId(name), addresses.get(name, name), cores, True)
        for name, cores in sizes.items()
    ]
    for node in (watcher, follower):
        node.relay.set_members(members, 1)


@given("node a watches the store for node b")
@when("node a watches the store for node b")
def start_feed(context):
    follow(context.a, context.b)
    context.a.follower = context.b
    context.a.relay.tick(context.a.clock.monotonic())
    assert not context.b.relay.must_watch()


@when("the store gives node a no response for {seconds:g} s, while node a sends what is due")
def send_keepalives(context, seconds):
    for _ in range(round(seconds / 0.05)):
        for node in (context.a, context.b):
            node.clock.advance(timedelta(seconds=0.05))
        context.a.relay.tick(context.a.clock.monotonic())


@then("node b {duty} watch the store itself")
def check_duty(context, duty):
    assert context.b.relay.must_watch() == (duty == "has to")


@when("node b learns version 2 of the configuration by {way}")
def learn_configuration(context, way):
    item = KeyValue("op/config", json.dumps(configuration(2, ["k1"])).encode(), 4)
    change = Change(ChangeKind.PUT, item)
    match way:
        case "its own listing":
            context.b.relay.on_listing((item, upstream("u1", 2), upstream("u2", 3)), 4)
        case "its own watch":
            context.b.relay.on_changes((change,), 4)
        case "node a, which watches for its zone":
            start_feed(context)
            context.a.relay.on_changes((change,), 4)
        case "the state of node a":
            context.a.relay.on_changes((change,), 4)
            context.b.directory.on_state_reply(StateReply(item.value, 4, ()))


def logged(node, event):
    with node.log:
        # Its end writes what is buffered.
        pass
    lines = map(json.loads, node.output.getvalue().splitlines())
    return [line for line in lines if line["event"] == event]


@then('node b logs that it applied version 2, with the source "{source}"')
def check_source(context, source):
    line = logged(context.b, "configuration applied")[-1]
    assert (line["version"], line["source"]) == (2, source), line


@then("node b logs that the store was silent for {silent:d} ms")
def check_silence(context, silent):
    (line,) = logged(context.b, "lost")
    assert line["silent_ms"] == silent, line


@when("node b gets a heartbeat of node a and then its state")
def transfer_state(context):
    context.b.directory.on_heartbeat(context.a.heartbeat())
    (state_request,) = context.b.sent
    assert isinstance(state_request, StateRequest), state_request
    context.a.directory.on_state_request(NodeId("b"), state_request)
    (state_reply,) = context.a.sent
    assert isinstance(state_reply, StateReply), state_reply
    context.b.directory.on_state_reply(state_reply)


@when("{seconds:g} s pass at node b")
def advance_clock(context, seconds):
    context.b.clock.advance(timedelta(seconds=seconds))
    context.b.directory.expire_upstreams()


@then("node b knows u1 and has u2 {state}")
def check_upstreams(context, state):
    known = set(context.b.catalogue.upstreams)
    expected = {UpstreamId("u1")} | ({UpstreamId("u2")} if state == "ready" else set())
    assert known == expected, known


def configuration_item(version, revision):
    return KeyValue("op/config", json.dumps(configuration(version, ["k1"])).encode(), revision)


@when("node b gets version {version:d} of the configuration from a peer at revision {revision:d}")
def get_configuration(context, version, revision):
    items = (upstream("u1", 2), upstream("u2", 3))
    upstreams = tuple((item.key, item.value, item.mod_revision) for item in items)
    content = configuration_item(version, revision).value
    context.b.directory.on_state_reply(StateReply(content, revision, upstreams, ()))


@when("node b lists version {version:d} of revision {changed:d}, at revision {revision:d}")
def list_configuration(context, version, changed, revision):
    context.b.relay.on_available()
    items = (configuration_item(version, changed), upstream("u1", 2), upstream("u2", 3))
    context.b.relay.on_listing(items, revision)


@then("node b has version {version:d} in force, and passes it on")
def check_configuration(context, version):
    assert context.b.catalogue.configuration.version == version
    context.b.fleet.receive_heartbeat(
        NodeId("a"), Incarnation("1"), context.a.heartbeat(), context.b.clock.monotonic()
    )
    context.b.directory.on_state_request(NodeId("a"), StateRequest(1))
    reply = context.b.sent[-1]
    assert json.loads(reply.configuration)["version"] == version, reply


@when("node a has version 2 of the configuration")
def advance_configuration(context):
    item = KeyValue("op/config", json.dumps(configuration(2, ["k1"])).encode(), 4)
    context.a.relay.on_changes((Change(ChangeKind.PUT, item),), 4)
    context.b.sent.clear()


@when("node b gets heartbeats of it for {seconds:g} s, {progress}")
def send_heartbeats(context, seconds, progress):
    interval = timedelta(seconds=0.1)
    heartbeat = msgspec.structs.replace(context.a.heartbeat(), configuration_version=2)
    for number in range(round(seconds / interval.total_seconds()) + 1):
        if progress == "and reads from the store meanwhile" and number % 5 == 4:
            item = upstream("u3", 4 + number)
            context.b.relay.on_changes((Change(ChangeKind.PUT, item),), 4 + number)
        context.b.directory.on_heartbeat(heartbeat)
        context.b.clock.advance(interval)


@then("node b asks {count:d} times for the state of node a")
def check_state_requests(context, count):
    requests = [message for message in context.b.sent if isinstance(message, StateRequest)]
    assert len(requests) == count, requests


@when("the store answers node b")
def keep_store(context):
    assert context.b.directory.store_answers


@when("the store does not answer node b")
def lose_store(context):
    cut_off(context)
