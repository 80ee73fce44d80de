"""Steps for orders of stage pieces by one node; the other nodes are fakes."""

import itertools
import random
import threading
from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, when

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.batching.messages import (
    PiecesMade,
    PiecesQueued,
    PiecesReturned,
    PiecesWanted,
    ResultsReleased,
)
from chervilrack._internal.batching.plan import PlannedStage
from chervilrack._internal.catalogue.core import Catalogue
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.hashing import rendezvous_order
from chervilrack._internal.common.ids import Incarnation, NodeId, ServiceId, ZoneId
from chervilrack._internal.forwarding.stages import StageOrder
from chervilrack._internal.serving.stage_coordinator import StageCoordinator

SERVICE = ServiceId("s")
HANDLE = "10.0.0.1:80/1"


class FakeFleet:
    def __init__(self):
        self.current_owners = [NodeId("b")]
        self.alive = {"b": "10.9.0.2:1", "c": "10.9.0.3:1"}
        self.heartbeat_interval = timedelta(milliseconds=300)
        self.last_message_at = timedelta(0)

    def owners(self):
        return self.current_owners

    def address_of(self, node):
        return self.alive.get(node)

    def has_message_since(self, node, since):
        return self.last_message_at > since


class FakeTransport:
    def __init__(self):
        self.sent = []

    def send_to_address(self, address, message):
        self.sent.append((address, message))


def request_without_rivals():
    return SimpleNamespace(
        metadata=SimpleNamespace(request_id="r"),
        priority=0,
        organisation=None,
        configuration=SimpleNamespace(routes=()),
        route=SimpleNamespace(name="r"),
    )


@given("a node whose orders go to owner b")
def start_coordinator(context):
    context.fleet = FakeFleet()
    state = SimpleNamespace(
        lock=threading.RLock(),
        fleet=context.fleet,
        clock=ManualClock(),
        settings=SimpleNamespace(batching="shared"),
        log=SimpleNamespace(note=lambda *args, **fields: None),
    )
    context.clock, context.state = state.clock, state
    context.coordinator = StageCoordinator(NodeId("a"), Incarnation("01"), state, None, None)
    context.coordinator.transport = context.transport = FakeTransport()


@when("owner b produces a result and c becomes the owner of the queue")
def produce_result(context):
    second = timedelta(seconds=1)
    planned = PlannedStage(0, SERVICE, (0,), (), second, second, 100, "", 0)
    request = request_without_rivals()
    context.coordinator.place_order(StageOrder(request, planned, "k"), lambda _: None)
    (((_, wanted),)) = context.transport.sent
    assert isinstance(wanted, PiecesWanted), wanted
    context.coordinator.on_results(NodeId("b"), PiecesMade(wanted.order, ((0, HANDLE),)))
    context.fleet.current_owners = [NodeId("c")]


@when("owner b is {state}")
def set_owner_state(context, state):
    if state == "gone":
        del context.fleet.alive["b"]


@when("the node releases the result")
def release_result(context):
    context.transport.sent.clear()
    context.coordinator.release(SERVICE, [HANDLE])


@then("owner {owner} gets the release")
def check_release(context, owner):
    ((address, message),) = context.transport.sent
    assert message == ResultsReleased(SERVICE, (HANDLE,)), message
    assert address == f"tcp://{FakeFleet().alive[owner]}", address


@when("the node orders pieces 0, 1, 2 and b returns pieces 1, 2")
def return_pieces(context):
    second = timedelta(seconds=1)
    planned = PlannedStage(0, SERVICE, (0, 1, 2), (), second, second, 100, "", 0)
    request = request_without_rivals()
    context.coordinator.place_order(StageOrder(request, planned, "k"), lambda _: None)
    (((_, wanted),)) = context.transport.sent
    context.transport.sent.clear()
    context.fleet.current_owners = [NodeId("c")]
    context.coordinator.on_pieces_returned(NodeId("b"), PiecesReturned(wanted.order, (1, 2)))


@then("pieces 1, 2 are ordered from owner c")
def check_order(context):
    ((address, message),) = context.transport.sent
    assert address == f"tcp://{context.fleet.alive['c']}", address
    assert message.segments == (1, 2), message


@given("heartbeats every {interval:d} ms")
def set_heartbeat_interval(context, interval):
    context.fleet.heartbeat_interval = timedelta(milliseconds=interval)


@when("the node orders pieces and owner b {answer} confirm")
def order_pieces(context, answer):
    context.fleet.current_owners = [NodeId("b"), NodeId("c")]
    second = timedelta(seconds=1)
    planned = PlannedStage(0, SERVICE, (0, 1), (), second, second, 100, "", 0)
    request = request_without_rivals()
    number = context.coordinator.place_order(StageOrder(request, planned, "k"), lambda _: None)
    ((context.owner, _),) = context.transport.sent
    context.tried_again = []
    context.coordinator.try_node_again = context.tried_again.append
    context.messages_to_owner = 2
    if answer == "sends messages but does not":
        context.messages_to_owner = 1
        context.fleet.last_message_at = context.clock.monotonic() + timedelta(milliseconds=1)
    elif answer == "does":
        context.coordinator.on_order_queued(PiecesQueued(number, 0))


@then("the order goes to another owner after {time:d} ms and not before")
def check_next_owner(context, time):
    context.clock.advance(timedelta(milliseconds=time - 1))
    context.coordinator.tick(context.clock.monotonic())
    owners = [address for address, _ in context.transport.sent]
    assert owners == [context.owner] * context.messages_to_owner, owners
    context.clock.advance(timedelta(milliseconds=1))
    assert context.coordinator.next_time(context.clock.monotonic()) == context.clock.monotonic()
    context.coordinator.tick(context.clock.monotonic())
    *earlier, (other, _) = context.transport.sent
    assert len(earlier) == context.messages_to_owner, context.transport.sent
    assert other != context.owner, other


@then("after {time:d} ms, and not before, the order is sent to its owner over a new connection")
def check_repetition(context, time):
    owner = next(n for n, a in context.fleet.alive.items() if f"tcp://{a}" == context.owner)
    for advance, tried, sent in ((time - 1, [], 1), (1, [owner], 2)):
        context.clock.advance(timedelta(milliseconds=advance))
        context.coordinator.tick(context.clock.monotonic())
        assert context.tried_again == tried, context.tried_again
        assert [a for a, _ in context.transport.sent] == [context.owner] * sent
    first, second = (message for _, message in context.transport.sent)
    assert (first.order, first.segments) == (second.order, second.segments), second


@when("owner b confirms the order and delivers one of its results to a connection that is silent")
def lose_result(context):
    number = context.transport.sent[0][1].order
    context.coordinator.on_order_queued(PiecesQueued(number, 0))
    context.transport.sent.clear()


@when("the owner is heard again")
def hear_owner_again(context):
    owner = next(n for n, a in context.fleet.alive.items() if f"tcp://{a}" == context.owner)
    context.coordinator.on_node_heard_again(NodeId(owner))


@then("the owner gets the order once more")
def check_order_once_more(context):
    ((address, message),) = context.transport.sent
    assert (address, message.segments) == (context.owner, (0, 1)), message


@when("the owner is passed over, and is heard again before the next one returns the order")
def return_to_first_owner(context):
    check_next_owner(context, 360)
    _, message = context.transport.sent[-1]
    other = next(
        n for n, a in context.fleet.alive.items() if f"tcp://{a}" == context.transport.sent[-1][0]
    )
    context.clock.advance(timedelta(milliseconds=50))
    context.fleet.last_message_at = context.clock.monotonic()
    context.transport.sent.clear()
    returned = PiecesReturned(message.order, message.segments)
    context.coordinator.on_pieces_returned(NodeId(other), returned)


@then("the order stays with its owner")
def check_same_owner(context):
    context.clock.advance(timedelta(seconds=5))
    context.coordinator.tick(context.clock.monotonic())
    assert len(context.transport.sent) == 1, context.transport.sent


@given("a node that owns a queue of a stage service")
def own_queue(context):
    start_coordinator(context)
    context.state.balancer = Balancer(ZoneId("z1"), random.Random(1))
    context.state.catalogue = Catalogue()
    context.state.report_actions = lambda: None
    context.fleet.current_owners = [NodeId("a")]
    planned = PlannedStage(0, SERVICE, (0,), (), timedelta(60), timedelta(60), 100, "", 0)
    request = request_without_rivals()
    context.coordinator.place_order(StageOrder(request, planned, "k"), lambda _: None)
    names = (NodeId(f"n{number}") for number in itertools.count())
    first_owners = {n: rendezvous_order(SERVICE, ["a", n])[0] for n in itertools.islice(names, 50)}
    context.first_owner = next(node for node, owner in first_owners.items() if owner == node)
    context.second_owner = next(node for node, owner in first_owners.items() if owner != node)


@when("4 s pass and {change}")
def change_fleet(context, change):
    context.clock.advance(timedelta(seconds=4))
    changes = {
        "a node joins that owns no queue": [["a", context.second_owner]],
        "a node joins that owns the queue": [["a", context.first_owner]],
        "the other owner is lost and node a stays": [["a"]],
    }
    for owners in changes[change]:
        context.fleet.current_owners = [NodeId(owner) for owner in owners]
        context.coordinator.on_owners_changed()


@then("the queue is {state}")
def check_disruption(context, state):
    assert context.coordinator.is_disrupted(SERVICE) == (state == "disrupted")


@given("that node knows no services")
def know_no_services(context):
    context.state.catalogue = Catalogue()


@when("owner b orders pieces 0, 1 from that node")
def order_unknown_pieces(context):
    message = PiecesWanted(
        order=7,
        service=SERVICE,
        request_id="r",
        stage=0,
        segments=(0, 1),
        key="k",
        inputs=(),
        due_ms=1000,
        remaining_ms=1000,
        result_size=100,
        zone="",
        move_bytes=0,
        priority=0,
    )
    context.coordinator.on_pieces_wanted(NodeId("b"), message)


@then("that node returns pieces 0, 1 to owner b")
def check_returned(context):
    assert context.transport.sent == [
        (f"tcp://{context.fleet.alive['b']}", PiecesReturned(7, (0, 1)))
    ], context.transport.sent
