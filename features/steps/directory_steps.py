"""Steps for two nodes' views of the store, one of them cut off."""

import io
import json
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.ids import Incarnation, NodeId, UpstreamId, ZoneId
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.fleet.messages import Heartbeat, StateGiven, StateWanted
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.directory import StoreDirectory
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack._internal.serving.state import ServingState
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
        "sequence": 1,
    }
    return KeyValue(f"servers/{name}", json.dumps(entry).encode(), revision)


class View:
    """One node's directory; ``sent`` holds its messages to peers."""

    def __init__(self, name, number):
        self.clock = ManualClock()
        self.sent = []
        here = Address(f"10.1.0.{number}", 1)
        settings = ServingSettings(NodeId(name), ZoneId("z1"), here, here, here, here)
        self.address = str(here)
        self.fleet = Fleet(settings.node, self.address, None)
        state = ServingState(settings, self.fleet, self.clock, DecisionLog(name, io.StringIO()))
        self.catalogue = state.catalogue
        self.directory = StoreDirectory(
            settings,
            SCHEMA,
            state,
            lambda _, message: self.sent.append(message),
            lambda limits: None,
            lambda: None,
        )
        self.directory.answered()
        items = (CONFIGURATION, upstream("u1", 2), upstream("u2", 3))
        self.directory.listed(items, 3)

    def beat(self):
        address = self.address
        view = self.directory
        fields = (1, view.revision, view.store_answers, (), ())
        return Heartbeat(address, address, "z1", True, False, *fields)


@given("node a and node b that both list upstreams u1 and u2")
def two_nodes(context):
    context.a, context.b = View("a", 1), View("b", 2)
    now = context.a.clock.monotonic()
    context.a.fleet.heard(NodeId("b"), Incarnation("1"), context.b.beat(), now)


@when("node b is cut off from the store")
def cut_off(context):
    context.b.clock.advance(timedelta(seconds=1))
    context.b.directory.silent("cut off")


def ends(view, name, revision):
    change = Change(ChangeKind.DELETE, KeyValue(f"servers/{name}", b"", revision))
    view.directory.changed((change,), revision)


@when("the store shows node a {event}")
def shows(context, event):
    directory = context.a.directory
    match event:
        case "a change of u1":
            changed = Change(ChangeKind.PUT, upstream("u1", 4, version="v2"))
            directory.changed((changed,), 4)
        case "the end of u2":
            ends(context.a, "u2", 4)
        case "a listing without u2":
            directory.listed((CONFIGURATION, upstream("u1", 2)), 4)
        case "an outage and then the end of u2":
            directory.silent("away")
            directory.answered()
            ends(context.a, "u2", 4)


@when("node b hears node a and gets its state")
def gets_state(context):
    context.b.directory.heard(context.a.beat())
    (wanted,) = context.b.sent
    assert isinstance(wanted, StateWanted), wanted
    context.a.directory.give_state(NodeId("b"), wanted)
    (given_state,) = context.a.sent
    assert isinstance(given_state, StateGiven), given_state
    context.b.directory.take_state(given_state)


@when("{seconds:g} s pass at node b")
def passes(context, seconds):
    context.b.clock.advance(timedelta(seconds=seconds))
    context.b.directory.expire()


@then("node b knows u1 and has u2 {state}")
def known(context, state):
    found = set(context.b.catalogue.upstreams)
    wanted = {UpstreamId("u1")} | ({UpstreamId("u2")} if state == "ready" else set())
    assert found == wanted, found
