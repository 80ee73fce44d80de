"""Steps for what a node believes after the store has come back from a copy."""

import json
from datetime import timedelta

import msgspec
from behave import given, then, when
from directory_steps import CONFIGURATION, DirectoryNode, configuration_item, follow, upstream
from odd_messages_steps import MESSAGES

from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.ids import Incarnation, NodeId, UpstreamId
from chervilrack._internal.fleet.messages import StateReply, StateRequest
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack._internal.peering.envelope import PROTOCOL_VERSION
from chervilrack._internal.serving.messages import serving_codec

COPY_REVISION = 3
STARTED = 1_790_000_000_000


def entry_item(name, revision, state="ready", started=STARTED):
    entry = json.loads(upstream(name, revision).value) | {"state": state, "born": started}
    return KeyValue(f"servers/{name}", json.dumps(entry).encode(), revision)


COPY = (CONFIGURATION, entry_item("u1", 2), entry_item("u2", 3))


@given("a node that has listed u1 and u2 in era 1, of which a copy is kept")
@given("a node that has listed u1 and u2 in era 1, of which a copy {contents} is kept")
def start_node(context, contents="without evacuation"):
    evacuation = KeyValue("op/evacuate/z1", b"{}", 1)
    context.copy = COPY if contents == "without evacuation" else (*COPY, evacuation)
    context.node = DirectoryNode("b", 2, lists=False)
    context.node.relay.on_available()
    context.node.relay.on_listing(context.copy, COPY_REVISION, 1)


def change_store(node, what, era):
    """Make the changes at the next revisions of the era."""
    revision = node.directory.position.revision + 1
    match what.replace(",", "").split():
        case ["nothing", *_]:
            return
        case ["version", version, *_]:
            changes = [Change(ChangeKind.PUT, configuration_item(int(version), revision))]
        case ["z1", "is", "evacuated"]:
            changes = [Change(ChangeKind.PUT, KeyValue("op/evacuate/z1", b"{}", revision))]
        case ["z1", "is", "taken", "back"]:
            changes = [Change(ChangeKind.DELETE, KeyValue("op/evacuate/z1", b"", revision))]
        case [name, "ends"]:
            changes = [Change(ChangeKind.DELETE, KeyValue(f"servers/{name}", b"", revision))]
        case [name, "drains"]:
            changes = [Change(ChangeKind.PUT, entry_item(name, revision, "draining"))]
        case [name, "is", "written", "started", "anew"]:
            changes = [Change(ChangeKind.PUT, entry_item(name, revision, started=STARTED + 9000))]
        case [name, "is", "written", "many", "times"]:
            changes = [
                Change(ChangeKind.PUT, entry_item(name, revision + number)) for number in range(9)
            ]
        case [name, "is", "written"]:
            changes = [Change(ChangeKind.PUT, entry_item(name, revision))]
        case ["the", "node", "lists", "u1", "alone"]:
            node.relay.on_listing(COPY[:2], revision, era)
            return
        case _:
            raise ValueError(what)
    node.relay.on_changes(tuple(changes), changes[-1].item.mod_revision, era)


@when("{what} before the return")
def change_before(context, what):
    change_store(context.node, what, 1)


@when("the node lists the copy in era 2, and then {what}")
def list_copy(context, what):
    node = context.node
    node.clock.advance(timedelta(seconds=1))
    node.directory.expire_upstreams()
    node.relay.on_available()
    node.relay.on_listing(context.copy, COPY_REVISION, 2)
    change_store(node, what, 2)


@when("{seconds:g} s pass at the node")
def pass_time(context, seconds):
    context.node.clock.advance(timedelta(seconds=seconds))
    context.node.directory.expire_upstreams()


@then("version {version:d} is in force")
def check_version(context, version):
    assert context.node.catalogue.configuration.version == version


def known(context, name):
    return context.node.catalogue.upstreams.get(UpstreamId(name))


@then("{name} is ready")
def check_ready(context, name):
    entry = known(context, name)
    assert entry is not None
    ready = [e.id for e in context.node.catalogue.ready_upstreams(entry.service)]
    assert name in ready, ready


@then("{name} is draining")
def check_draining(context, name):
    assert known(context, name).state.value == "draining"


@then("{name} is not known")
def check_unknown(context, name):
    assert known(context, name) is None, known(context, name)


@then("{name} has its later start")
def check_start(context, name):
    assert known(context, name).started_at_ms == STARTED + 9000


def state_for_peer(context):
    node = context.node
    node.fleet.receive_heartbeat(
        NodeId("a"), Incarnation("1"), DirectoryNode("a", 1).heartbeat(), node.clock.monotonic()
    )
    node.directory.on_state_request(NodeId("a"), StateRequest(1))
    (reply,) = node.sent
    assert reply.era == 2, reply
    return reply, {key: json.loads(value) for key, value, _ in reply.upstreams}


@then("peers get version {version:d}")
def check_passed_version(context, version):
    reply, _ = state_for_peer(context)
    assert json.loads(reply.configuration)["version"] == version


@then("peers do not get {name}")
def check_not_passed(context, name):
    _, upstreams = state_for_peer(context)
    assert f"servers/{name}" not in upstreams, upstreams


@then("peers get {name} as draining")
def check_passed_state(context, name):
    _, upstreams = state_for_peer(context)
    assert upstreams[f"servers/{name}"]["state"] == "draining"


@when("{what} of era 1 without u2 arrives")
def receive_older(context, what):
    node, removed = context.node, KeyValue("servers/u2", b"", 50)
    match what:
        case "a listing":
            node.relay.on_listing(COPY[:2], 50, 1)
        case "a change":
            node.relay.on_changes((Change(ChangeKind.DELETE, removed),), 50, 1)
        case "a peer's state":
            node.directory.on_unavailable("cut off")
            upstreams = ((COPY[1].key, COPY[1].value, 2),)
            node.directory.on_state_reply(StateReply(b"", 50, upstreams, (), (), era=1))
        case "a relayed change":
            change = RelayedChange("servers/u2", b"", 50, True)
            node.relay.on_progress(NodeId("a"), StoreProgress(3, 50, (change,), era=1))


@then("the position is in era {era:d}")
def check_position(context, era):
    assert context.node.directory.position.era == era, context.node.directory.position


@when("the store does not answer the node, and a peer's state of era 2 {contents} arrives")
def receive_state(context, contents):
    node = context.node
    node.directory.on_unavailable("cut off")
    items = COPY[1:] if contents == "without u3" else (*COPY[1:], entry_item("u3", 3))
    upstreams = tuple((item.key, item.value, item.mod_revision) for item in items)
    node.directory.on_state_reply(StateReply(b"", 3, upstreams, (), (), era=2))


@when("relayed changes of era 2 arrive")
def receive_relayed(context):
    node = context.node
    follow(DirectoryNode("a", 1), node)
    node.relay.on_progress(NodeId("a"), StoreProgress(3, 3, (), era=1))
    assert not node.relay.must_watch()
    change = RelayedChange("servers/u2", b"", 4, True)
    node.relay.on_progress(NodeId("a"), StoreProgress(3, 4, (change,), era=2))


@then("the node has to watch the store itself")
def check_must_watch(context):
    assert context.node.relay.must_watch()


@when("a node that does not know eras gets a message {kind} of era {era:d}")
def send_to_older(context, kind, era):
    changed = {"era": era}
    if kind == "fleet.heartbeat":
        position = {"directory_revision": 0, "directory_in_era": (era, 12)}
        changed = position if era else {}
    message = msgspec.structs.replace(MESSAGES[kind], **changed)
    context.data = serving_codec().encode(NodeId("a"), Incarnation("1"), message)
    # Older nodes refuse frames of any other version, and pass over elements behind the known ones.
    context.version, _, _, _, context.body, _ = msgspec.msgpack.decode(context.data)


@then("it has {result} the message")
def check_read(context, result):
    assert (context.version == PROTOCOL_VERSION) == (result == "read")
    assert serving_codec().decode(context.data).message is not None


@then("it takes the sender's revision for 0, and a node that knows eras for {revision:d} of era 3")
def check_heartbeat(context, revision):
    assert context.version == PROTOCOL_VERSION
    assert msgspec.msgpack.decode(context.body)[6] == 0
    position = serving_codec().decode(context.data).message.position
    assert (position.era, position.revision) == (3, revision)


@when("the node lists the copy in era 3")
def list_third_era(context):
    context.node.relay.on_available()
    context.node.relay.on_listing(COPY, COPY_REVISION, 3)


@when("the store does not answer the node for {seconds:g} s")
def cut_off(context, seconds):
    context.node.directory.on_unavailable("cut off")
    pass_time(context, seconds)


@then("zone z1 is {state}")
def check_zone(context, state):
    assert ("z1" in context.node.catalogue.evacuated_zones) == (state == "evacuated")


@when("u3 is written in era 3")
def write_in_third_era(context):
    change_store(context.node, "u3 is written", 3)


@given("{node} in era 2 while the store does not answer it")
def start_without_store(context, node):
    context.node = DirectoryNode("b", 2, lists=False)
    if node == "a node that has listed the copy":
        context.node.relay.on_available()
        context.node.relay.on_listing(COPY, COPY_REVISION, 2)
    if node == "a node that knew z1 evacuated":
        context.node.relay.on_available()
        context.node.relay.on_listing(COPY, COPY_REVISION, 1)
        change_store(context.node, "z1 is evacuated", 1)
    context.node.directory.on_unavailable("cut off")


@when("a peer's state of era 2 arrives, in which {told}")
def receive_newer_state(context, told):
    """The peer has seen it; the copy lacks what drained, started anew or is kept."""
    items = {item.key: item for item in COPY[1:]}
    match told.split():
        case [name, "drains"]:
            items[f"servers/{name}"] = entry_item(name, 3, "draining")
        case [name, "has", "started", "anew"]:
            items[f"servers/{name}"] = entry_item(name, 3, started=STARTED + 9000)
        case ["u3", *_]:
            items["servers/u3"] = entry_item("u3", 4)
    upstreams = tuple((item.key, item.value, item.mod_revision) for item in items.values())
    evacuations = ("z1",) if told.startswith("z1") else ()
    kept = ("z1",) if told == "z1 is kept" else ()
    reply = StateReply(CONFIGURATION.value, 4, upstreams, (), (), evacuations, 2, kept)
    context.node.directory.on_state_reply(reply)


@when("the node lists the copy, and {seconds:g} s pass")
def list_after_state(context, seconds):
    context.node.relay.on_available()
    context.node.relay.on_listing(COPY, COPY_REVISION + 2, 2)
    pass_time(context, seconds)


@when("the node sees {what}, and {seconds:g} s pass")
def see_change(context, what, seconds):
    changes = {"z1 taken back": "z1 is taken back", "nothing new": "nothing happens"}
    context.node.relay.on_available()
    change_store(context.node, changes[what], 2)
    pass_time(context, seconds)
