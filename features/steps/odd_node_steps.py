"""Steps for a serving node whose store holds an odd entry."""

import base64
import json
import threading

from behave import given, then, when
from features.steps.serving_steps import (
    KEY,
    send_request,
    start_serving_node,
    start_stand_ins,
    wait_for,
)

from chervilrack._internal.changefeed.core import FeedSettings
from chervilrack.platform.emulated.emulation import configuration

# One node of two watches the store.
SMALL_FEED = FeedSettings(watchers_per_zone=1, min_zone_nodes=2)


def write(context, key, value):
    store = context.store
    with store._changed:
        store._put(key, base64.b64encode(value).decode(), 0)
        context.odd_key, context.odd_revision = key, store._revision


def odd_value(context, key, value):
    """Return a value of ``key`` that is good but for what ``value`` says."""
    documents = {
        "servers": context.upstreams["plain-1"].entry() | {"address": "127.0.0.1:1"},
        "nodes": {"peer": "127.0.0.1:1"},
        "op": configuration(50, [KEY]),
    }
    good = json.dumps(documents[key.partition("/")[0]]).encode()
    kind, _, argument = value.rpartition(" ")
    match kind, argument:
        case "", "bytes":
            return b"\xff\x00\xfe"
        case "", "null":
            return b"null"
        case "coldRemainingMs", number:
            return good[:-1] + f', "coldRemainingMs": {number}}}'.encode()
        case "peer", address:
            return json.dumps({"peer": address}).encode()
        case "bare nested", "lists":
            return b"[" * 2000 + b"]" * 2000
        case depth, kind:
            levels = int(depth.removesuffix(" nested").replace(",", ""))
            opening, closing = (b"[", b"]") if kind == "lists" else (b'{"a":', b"}")
            middle = b"1" if kind == "objects" else b""
            nested = opening * levels + middle + closing * levels
            return good[:-1] + b', "x": ' + nested + b"}"


@given("a serving node that {runs} when {key} gets {value}")
def start_beside_odd_entry(context, runs, key, value):
    start_stand_ins(context)
    context.version = 1
    odd = odd_value(context, key, value)
    if runs == "starts afterwards":
        write(context, key, odd)
    if runs == "follows a watcher":
        start_followed_nodes(context)
    else:
        start_serving_node(context)
    context.before = context.store.calls.copy()
    if runs != "starts afterwards":
        write(context, key, odd)


def start_followed_nodes(context):
    """Start two nodes, of which the one that does not watch the store becomes ``context.node``."""
    nodes = []
    for name in ("n1", "n2"):
        start_serving_node(context, name, SMALL_FEED)
        nodes.append((context.node, context.settings, context.log))

    def followers():
        return [entry for entry in nodes if not entry[0]._relay.must_watch()]

    wait_for(followers, "a node follows the other")
    context.node, context.settings, context.log = followers()[0]


@then("a later upstream and a later configuration take effect, and callers are served")
def check_follows(context):
    context.version += 1
    version, state = context.version, context.node._state
    context.store.put(f"servers/later-{version}", context.upstreams["plain-1"].entry())
    wait_for(lambda: f"later-{version}" in state.catalogue.upstreams, "the upstream is known")
    context.store.put("op/config", configuration(version, [KEY]))
    wait_for(lambda: state.catalogue.configuration.version == version, "the version is in force")
    check_served(context)


@then("callers are served")
def check_served(context):
    wait_for(lambda: context.node.is_ready, "the node is ready")
    response, content = send_request(context, "/order/1")
    assert response.status == 200, (response.status, content)
    check_threads(context)


def check_threads(_):
    alive = {thread.name for thread in threading.enumerate()}
    assert {"store-watch", "store-lease", "timers", "callers", "decisions"} <= alive, alive


@then("the odd entry is logged with its key and revision, and counted")
def check_logged(context):
    key, revision = context.odd_key, context.odd_revision

    def line():
        lines = [json.loads(text) for text in context.log.getvalue().splitlines()]
        return [x for x in lines if (x.get("key"), x.get("revision")) == (key, revision)]

    wait_for(line, "the log names the entry")
    assert len(line()) == 1, line()
    kinds = {"servers": "upstream", "nodes": "node", "op": "configuration"}
    metrics = context.node._state.metrics.render(0, 0, {}).decode()
    name = f'unreadable_entries_total{{kind="{kinds[key.partition("/")[0]]}"}}'
    assert name in metrics, metrics


@when("the odd entry is removed")
def remove_entry(context):
    context.store.remove(context.odd_key)


@given("stand-ins for the platform whose op/config is odd")
def start_odd_configuration(context):
    start_stand_ins(context)
    write(context, "op/config", odd_value(context, "op/config", "2,000 nested lists"))


@when("a node is started")
def start_unready_node(context):
    start_serving_node(context, is_ready=False)


@then("the node is not ready, and its threads live")
def check_not_ready(context):
    wait_for(lambda: "configuration unreadable" in context.log.getvalue(), "the entry was read")
    wait_for(lambda: context.node._state.catalogue.upstreams, "the upstreams are known")
    assert not context.node.is_ready
    check_threads(context)


@when("a configuration is written")
def write_configuration(context):
    context.store.put("op/config", configuration(2, [KEY]))


@when("another node is started")
def start_another_node(context):
    # Of the same settings, so that the node of this step reads the odd entry, too.
    start_serving_node(context, "n2")
    assert context.node._state.catalogue.configuration.version == 1
