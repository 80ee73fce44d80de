"""Steps for cold upstreams, with the states of one and of many nodes."""

import dataclasses
import json
import tempfile
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

import yaml
from behave import given, then, when
from support.cold_fleet import (
    COLD,
    LOAD,
    RATE,
    SERVICE,
    ZONE,
    ColdFleetDay,
    Node,
    upstream,
)

from chervilrack._internal.catalogue.state import (
    BatchSpec,
    ServiceSpec,
    ServingConfiguration,
    WarmUpSpec,
)
from chervilrack._internal.common.ids import ZoneId
from chervilrack._internal.common.results import Executed, ResultCode
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack.platform.configuration import decode_configuration
from chervilrack.platform.emulated.emulation import configuration
from chervilrack.platform.settings import load_settings

STAGES = BatchSpec(1, 2, 4, timedelta(seconds=0.2), timedelta(0), 10**6, COLD)


@when("{days:d} courses of {size:d} nodes are drawn with {trouble} when a zone returns cold")
def draw_days(context, days, size, trouble):
    context.days = [ColdFleetDay(size, trouble, seed) for seed in range(days)]
    for day in context.days:
        day.run()


@then("no upstream of the zone gets more than {bound:g} requests in a second")
def check_bound(context, bound):
    most = [day.most_in_a_second() for day in context.days]
    assert max(most) <= bound, most


@then("on average its upstreams get at least {least:g} requests a second")
def check_use(context, least):
    rates = [day.mean_per_second() for day in context.days]
    assert sum(rates) / len(rates) >= least, rates


@given("a node alone with upstream u1 of a service {kind}")
def start_alone(context, kind):
    context.node = node = Node(0, ["node-0"], 1, 0.0)
    node.return_zone()
    state = node.state
    spec = ServiceSpec(
        SERVICE,
        warm_up=None if kind == "without a warm-up" else WarmUpSpec(COLD, RATE),
        batching=STAGES if kind == "of stages" else None,
    )
    state.catalogue.apply_configuration(ServingConfiguration(2, (), {SERVICE: spec}))
    for name in ("u2", "u3"):
        perform(context, state.catalogue._remove(name))
    if kind == "without a bound":
        state.cold._limits = None
    # The node has been ready for long enough, and its own return of the zone is over.
    for _ in range(2):
        node.heartbeat()
        node.clock.advance(timedelta(seconds=10))
    node.heartbeat()


def perform(context, effects):
    for effect in effects:
        context.node.state.upstream_changed(effect)


def register(context, entry):
    context.revision = getattr(context, "revision", 10) + 1
    perform(context, context.node.state.catalogue.put_upstream(entry, context.revision))


@given("no other upstream")
def keep_alone(context):
    pass


@given("warm upstream u2")
def add_warm(context):
    register(context, dataclasses.replace(upstream(2), zone=ZoneId("z1")))
    context.node.clock.advance(timedelta(seconds=10))


@given("{count:d} other nodes are registered that it does not hear")
def register_others(context, count):
    context.node.state.registered_nodes.update(f"other-{number}" for number in range(count))


@when("u1 starts")
def start_upstream(context):
    perform(context, context.node.state.catalogue._remove("u1"))
    register(context, upstream(1))


@when("u1 starts again under its id")
def restart_upstream(context):
    register(context, dataclasses.replace(upstream(1), started_at_ms=5))


@when("u1 says that it is cold for {seconds:d} s")
def announce(context, seconds):
    entry = dataclasses.replace(upstream(1), cold_remaining=timedelta(seconds=seconds), version="2")
    register(context, entry)


@when("u1 changes its version")
def change_version(context):
    register(context, dataclasses.replace(upstream(1), version="2"))


@when("the zone of u1 returns")
def return_zone(context):
    state = context.node.state
    context.node._change_evacuation(state.catalogue.evacuations.begin(ZONE))
    context.node.return_zone()


@when("u1 answers again after it has {failure}")
def answer_again(context, failure):
    state = context.node.state
    for _ in range(5):
        state.attempt_failed(upstream(1), failure, certain=failure == "refused connections")
    context.node.clock.advance(timedelta(seconds=3))
    state.attempt_succeeded(upstream(1))


@when("the node starts and lists u1")
def list_at_start(context):
    state = context.node.state
    state._accepting = False
    start_upstream(context)
    state.accept_requests()


@then("u1 may get the last of these, and nothing that was chosen with it")
def check_last_place(context):
    state, entry = context.node.state, upstream(1)
    assert state.may_send(entry.incarnation)
    state.cold.record_request(entry.id, state.clock.monotonic())
    assert not state.may_send(entry.incarnation)


@when("nothing happens")
def do_nothing(context):
    pass


def send(context):
    """Send one request and return its upstream, None if it is refused."""
    state = context.node.state
    chosen = state.choose(SERVICE, LOAD, ())
    if chosen is None:
        return None
    entry, choice = chosen
    request = SimpleNamespace(
        load=LOAD, service=SERVICE, metadata=SimpleNamespace(request_id=object())
    )
    state.attempt_started(request, entry, choice)
    state.attempt_ended(
        SimpleNamespace(**vars(request) | {"caller_gone": True}),
        entry,
    )
    return entry.id if state.may_send(entry.incarnation) else None


@when("{count:d} requests come within half a second")
def send_many(context, count):
    context.sent = []
    for _ in range(count):
        context.sent.append(send(context))
        context.node.clock.advance(timedelta(seconds=0.5 / count))


@when("{seconds:d} s more have passed and {count:d} requests come within half a second")
def send_later(context, seconds, count):
    context.node.clock.advance(timedelta(seconds=seconds))
    send_many(context, count)


@when("{count:d} requests are sent to u1 at once")
def send_at_once(context, count):
    state, node = context.node.state, context.node
    for _ in range(count):
        state.cold.record_request(upstream(1).id, node.clock.monotonic())


@then("{count:d} of them are sent to u1")
def check_sent(context, count):
    assert context.sent.count("u1") == count, context.sent


@then("a request that comes {seconds:g} s later is {result}")
def check_result(context, seconds, result):
    context.node.clock.advance(timedelta(seconds=seconds))
    if result.startswith("sent to"):
        assert {send(context) for _ in range(20)} == {result.split()[-1]}
        return
    problem = context.node.state.unavailability(SERVICE)
    _, _, code, _, wait, _ = result.split()
    assert problem.code is ResultCode[code], problem
    assert problem.executed is Executed.NO, problem
    assert problem.retry_after == timedelta(seconds=float(wait)), problem
    assert send(context) is None


@when("nodes b and c register, and then c ends")
def register_nodes(context):
    def item(name, revision):
        value = json.dumps({"peer": f"10.1.0.{ord(name)}:1"}).encode()
        return KeyValue(f"nodes/{name}", value, revision)

    changes = (
        Change(ChangeKind.PUT, item("b", 4)),
        Change(ChangeKind.PUT, item("c", 5)),
        Change(ChangeKind.DELETE, item("c", 6)),
    )
    context.node.relay.on_changes(changes, 6)


@then("the node counts b as registered")
def check_registered(context):
    assert context.node.state.registered_nodes == {"b"}, context.node.state.registered_nodes


@then("bounds {bounds} allow {share} requests a second at a rate of {rate:g}")
def check_share(context, bounds, share, rate):
    settings = {
        "nodeName": "n",
        "ip": "127.0.0.1",
        "zone": "z",
        "listen": dict.fromkeys(("frontend", "readiness", "directory"), "127.0.0.1:1"),
        "internalPorts": [5, 6],
        "platform": {"address": "127.0.0.1:2"},
        "bounds": {name: float(value) for name, value in map(str.split, bounds.split(" and "))},
    }
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "settings.yaml"
        file.write_text(yaml.safe_dump(settings), encoding="utf-8")
        limits = load_settings(file).cold_limits
    actual = "no bound" if limits is None else str(limits.share(rate))
    assert actual == share, actual


def decode_service(**fields):
    document = configuration(1, ["k"])
    document["services"][0] |= fields
    return decode_configuration(json.dumps(document).encode()).services["plain"]


@then(
    "a service with coldStartS {start:g} and coldPerS {rate:g} warms up for {seconds:g} s "
    "at {bears:g} requests a second"
)
def check_warm_up(context, start, rate, seconds, bears):
    spec = decode_service(coldStartS=start, coldPerS=rate).warm_up
    assert spec == WarmUpSpec(timedelta(seconds=seconds), bears), spec


@then("a service with coldStartS {start:g} and coldPerS {rate:g} does not warm up")
def check_no_warm_up(context, start, rate):
    assert decode_service(coldStartS=start, coldPerS=rate).warm_up is None
