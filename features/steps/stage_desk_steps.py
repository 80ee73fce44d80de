"""Steps for a node's own orders of stage pieces, with the other nodes as fakes."""

import threading
from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, when

from chervilrack._internal.batching.messages import (
    PiecesMade,
    PiecesReturned,
    PiecesWanted,
    ResultsReleased,
)
from chervilrack._internal.batching.plan import PlannedStage
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.ids import Incarnation, NodeId, ServiceId
from chervilrack._internal.forwarding.stages import StageOrder
from chervilrack._internal.serving.stage_desk import StageDesk

SERVICE = ServiceId("s")
HANDLE = "10.0.0.1:80/1"


class FakeFleet:
    def __init__(self):
        self.current = [NodeId("b")]
        self.alive = {"b": "10.9.0.2:1", "c": "10.9.0.3:1"}

    def owners(self):
        return self.current

    def address_of(self, node):
        return self.alive.get(node)


class FakeTransport:
    def __init__(self):
        self.sent = []

    def send_to_address(self, address, message):
        self.sent.append((address, message))


@given("a node whose orders go to owner b")
def desk(context):
    context.fleet = FakeFleet()
    state = SimpleNamespace(
        lock=threading.RLock(),
        fleet=context.fleet,
        clock=ManualClock(),
        settings=SimpleNamespace(batching="shared"),
    )
    context.desk = StageDesk(NodeId("a"), Incarnation("01"), state, None, None)
    context.desk.transport = context.transport = FakeTransport()


@when("owner b makes a result and c owns the queue from then on")
def makes(context):
    second = timedelta(seconds=1)
    planned = PlannedStage(0, SERVICE, (0,), (), second, second, 100, "", 0)
    request = SimpleNamespace(facts=SimpleNamespace(request_id="r"), priority=0)
    context.desk.order(StageOrder(request, planned, "k"), lambda _: None)
    (((_, wanted),)) = context.transport.sent
    assert isinstance(wanted, PiecesWanted), wanted
    context.desk.made(NodeId("b"), PiecesMade(wanted.order, ((0, HANDLE),)))
    context.fleet.current = [NodeId("c")]


@when("owner b is {state}")
def owner_state(context, state):
    if state == "gone":
        del context.fleet.alive["b"]


@when("the node gives the result up")
def gives_up(context):
    context.transport.sent.clear()
    context.desk.release(SERVICE, [HANDLE])


@then("owner {owner} is told")
def told(context, owner):
    ((address, message),) = context.transport.sent
    assert message == ResultsReleased(SERVICE, (HANDLE,)), message
    assert address == f"tcp://{FakeFleet().alive[owner]}", address


@when("the node orders pieces 0, 1, 2 and b gives back pieces 1, 2")
def given_back(context):
    second = timedelta(seconds=1)
    planned = PlannedStage(0, SERVICE, (0, 1, 2), (), second, second, 100, "", 0)
    request = SimpleNamespace(facts=SimpleNamespace(request_id="r"), priority=0)
    context.desk.order(StageOrder(request, planned, "k"), lambda _: None)
    (((_, wanted),)) = context.transport.sent
    context.transport.sent.clear()
    context.fleet.current = [NodeId("c")]
    context.desk.returned(NodeId("b"), PiecesReturned(wanted.order, (1, 2)))


@then("owner c is asked for pieces 1, 2")
def asked(context):
    ((address, message),) = context.transport.sent
    assert address == f"tcp://{context.fleet.alive['c']}", address
    assert message.segments == (1, 2), message
