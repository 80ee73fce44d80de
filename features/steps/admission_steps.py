"""Steps for the admission of orders for first stages."""

import random
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, use_step_matcher, when

from chervilrack._internal.admission.core import Admission
from chervilrack._internal.admission.rules import competing_routes, work_from
from chervilrack._internal.admission.state import Admit, Refuse, Work
from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.state import UpstreamReport
from chervilrack._internal.batching.messages import PiecesWanted
from chervilrack._internal.batching.state import Order
from chervilrack._internal.catalogue.state import (
    BatchSpec,
    RequestKind,
    Route,
    ServiceSpec,
    StageSpec,
    UpstreamEntry,
    UpstreamState,
)
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.ids import (
    Incarnation,
    NodeId,
    RequestId,
    ServiceId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.serving.metrics import ServingMetrics
from chervilrack._internal.serving.stage_admission import StageAdmission
from chervilrack._internal.serving.stage_coordinator import StageCoordinator

SERVICES = ("first", "second", "third")
RATE = 100.0
TICK = timedelta(milliseconds=50)
ZONE = ZoneId("z")


@given("an admission for services of 100 pieces a second")
def create_admission(context):
    context.admission = new_admission()
    context.now = timedelta(0)
    context.orders = []
    context.effects = []


def new_admission():
    admission = Admission()
    admission.configure({ServiceId(name): RATE for name in SERVICES})
    return admission


def submit(context, work, due=5.0, deadline=10.0, node="b", priority=0):
    number = len(context.orders) + 1
    order = Order(
        id=(NodeId(node), number),
        service=ServiceId("first"),
        request_id=RequestId(f"r{number}"),
        stage=0,
        key="k",
        inputs=(),
        due=context.now + timedelta(seconds=due),
        deadline=context.now + timedelta(seconds=deadline),
        result_size=100,
        queued_at=context.now,
        priority=priority,
        pending_segments={0},
    )
    context.orders.append((order, work))
    context.effects += context.admission.submit(order, "a", work, context.now)


use_step_matcher("re")


@when(
    r"an order (?:of node (?P<node>\w+) )?for (?P<pieces>\d+) pieces of (?P<service>\w+)"
    r"(?: and (?P<more>\d+) of (?P<second>\w+))?(?: due in (?P<due>[\d.]+) s)?"
    r"(?: with a deadline in (?P<deadline>\d+) ms)? is submitted"
)
def submit_order(context, node, pieces, service, more, second, due, deadline):
    work = [Work(ServiceId(service), int(pieces))]
    if more:
        work.append(Work(ServiceId(second), int(more)))
    submit(context, work, float(due or 5), float(deadline or 10_000) / 1000, node or "b")


@when(
    r"orders for (?P<pieces>[\d, ]+) pieces of first due in (?P<due>[\d.]+) s"
    r"(?: with a deadline in (?P<deadline>\d+) ms)? are submitted"
)
def submit_orders(context, pieces, due, deadline):
    for count in pieces.split(", "):
        work = [Work(ServiceId("first"), int(count))]
        submit(context, work, float(due), float(deadline or 10_000) / 1000)


use_step_matcher("parse")


@when(
    "orders of priorities {priorities} for {pieces:d} pieces of first"
    " due in {due:g} s are submitted"
)
def submit_priorities(context, priorities, pieces, due):
    for priority in priorities.split(", "):
        work = [Work(ServiceId("first"), pieces)]
        submit(context, work, due, priority=int(priority))


@when("{duration:d} ms pass")
def pass_time(context, duration):
    end = context.now + timedelta(milliseconds=duration)
    while context.now < end:
        context.now = min(end, context.now + TICK)
        context.effects += context.admission.tick(context.now)


@when("{count:d} orders for {pieces:d} pieces of first are submitted")
def submit_many(context, count, pieces):
    for _ in range(count):
        submit(context, [Work(ServiceId("first"), pieces)], deadline=100)


@then("the admission is due in {interval:d} ms")
def check_due(context, interval):
    due = context.admission.next_time(context.now)
    assert due == context.now + timedelta(milliseconds=interval), due


@when("the second order is submitted again for segment {segment:d}")
def submit_again(context, segment):
    order, work = context.orders[1]
    again = replace(order, pending_segments={segment})
    context.effects += context.admission.submit(again, "a", work, context.now)


@then("the second order is admitted with segments {segments}")
def check_segments(context, segments):
    identity = context.orders[1][0].id
    (admitted,) = [e.order for e in context.effects if e.order.id == identity]
    assert admitted.pending_segments == {int(s) for s in segments.split(", ")}, admitted


@when("node {node} leaves the fleet")
def lose_node(context, node):
    context.admission.drop_node(NodeId(node))


def outcome(context, number):
    order, _ = context.orders[number]
    for effect in context.effects:
        if effect.order is order:
            return "admitted" if isinstance(effect, Admit) else "refused"
    return "waiting"


@then("the {which} order is {expected:w}")
def check_outcome(context, which, expected):
    found = outcome(context, {"second": 1, "third": 2, "fourth": 3}[which])
    assert found == expected, context.effects


@then("the third order is admitted before the second")
def check_sequence(context):
    admitted = [effect.order.id[1] for effect in context.effects if isinstance(effect, Admit)]
    assert admitted[:2] == [1, 3], admitted


@then("the orders for {pieces} pieces have been admitted first")
def check_admitted(context, pieces):
    work_of = {order.id: work for order, work in context.orders}
    admitted = [work_of[e.order.id][0].pieces for e in context.effects if isinstance(e, Admit)]
    expected = [int(count) for count in pieces.split(", ")]
    assert admitted[1 : 1 + len(expected)] == expected, admitted


@then("the refused callers come back after {seconds} s")
def check_returns(context, seconds):
    returns = [e.retry_after.total_seconds() for e in context.effects if isinstance(e, Refuse)]
    expected = [float(text) for text in seconds.split(", ")]
    assert len(returns) == len(expected), returns
    assert all(abs(a - b) < 0.02 for a, b in zip(returns, expected, strict=True)), returns


@then("no order waits")
def check_none_waits(context):
    assert context.admission.waiting == 0
    assert context.admission.next_time(context.now) is None


@then("the waiting orders of first are handed back once")
def check_handed_back(context):
    context.returned = context.admission.take(ServiceId("first"))
    assert [order.id[1] for order in context.returned] == [2], context.returned
    assert not context.admission.take(ServiceId("first"))


@then("a new owner admits them at once")
def check_new_owner(context):
    admission = new_admission()
    work = (Work(ServiceId("first"), 5),)
    for order in context.returned:
        effects = admission.submit(order, "a", work, context.now)
        assert [type(effect) for effect in effects] == [Admit], effects


@given(
    "routes that begin at {services} with targets of {targets} ms, the first of {stages:d} stages"
)
def create_routes(context, services, targets, stages):
    context.routes = []
    for number, (service, target) in enumerate(
        zip(services.split(", "), targets.split(", "), strict=True)
    ):
        names = [service, *SERVICES[1 : stages if number == 0 else 1]]
        specs = [
            StageSpec(ServiceId(name), (index - 1,) if index else (), 100)
            for index, name in enumerate(names)
        ]
        context.routes.append(
            Route(
                name=f"route {number}",
                host="",
                path_prefix="/",
                kind=RequestKind.STREAM,
                timeout=timedelta(seconds=6),
                target_latency=timedelta(milliseconds=int(target)),
                split=((ServiceId("engine"), 1.0),),
                stages=tuple(specs),
            )
        )


@given("their priorities are {priorities}")
def set_priorities(context, priorities):
    context.routes = [
        replace(route, priority=int(priority))
        for route, priority in zip(context.routes, priorities.split(", "), strict=True)
    ]


@then("the routes {expected}")
def check_competition(context, expected):
    names = competing_routes(context.routes)
    everyone = frozenset(route.name for route in context.routes)
    assert names == (everyone if expected == "compete" else frozenset()), names


@then("an order of the first route for {pieces} pieces brings that work to {services}")
def check_work(context, pieces, services):
    counts = [int(count) for count in pieces.split(", ")]
    expected = [
        Work(ServiceId(name), n) for name, n in zip(services.split(", "), counts, strict=True)
    ]
    assert list(work_from(context.routes[0], 0, counts)) == expected


@given("a node that admits orders for a service with {count:d} upstreams of 10 pieces a second")
def create_admitting_node(context, count):
    # A full call has 10 pieces and takes 1 s.
    spec = BatchSpec(1, 2, 10, timedelta(seconds=0.5), timedelta(seconds=0.05), 10**6, TICK)
    service = ServiceId("first")
    entries = [
        UpstreamEntry(UpstreamId(f"i-{n}"), service, f"10.0.0.{n}:80", ZONE, UpstreamState.READY)
        for n in range(count)
    ]
    context.balancer = Balancer(ZONE, random.Random(1))
    context.admitted = []
    context.entries = entries
    state = SimpleNamespace(
        catalogue=SimpleNamespace(
            configuration=SimpleNamespace(services={service: ServiceSpec(service, batching=spec)})
        ),
        upstreams=lambda _: entries,
        balancer=context.balancer,
        metrics=ServingMetrics(),
        log=SimpleNamespace(note=lambda *args, **fields: None),
    )
    context.configuration = state.catalogue.configuration
    context.state = state
    context.node = StageAdmission(state, context.admitted.append, lambda order, after: None)
    context.now = timedelta(seconds=10)
    context.orders = []


@given("all are sound")
def keep_sound(context):
    del context


@given("{count:d} are reported with a pace of {pace:g}")
def report_pace(context, count, pace):
    reports = [UpstreamReport(f"i-{n}", 1, 0, False, pace, 0.0) for n in range(count)]
    context.balancer.set_peer_reports(NodeId("owner"), reports, context.now)


@given("{count:d} are suspected by this node")
def suspect(context, count):
    for number in range(count):
        context.balancer.record_failure(UpstreamId(f"i-{number}"), context.now, "down", True)


@given("{count:d} leave")
@when("{count:d} leave")
def leave(context, count):
    for entry in context.entries[:count]:
        context.balancer.standing.record_answer(
            entry.incarnation, leaving=True, pause=None, now=context.now
        )


@given("{count:d} want a pause")
@when("{count:d} want a pause")
def pause(context, count):
    for entry in context.entries[:count]:
        context.balancer.standing.record_answer(
            entry.incarnation, leaving=False, pause=timedelta(seconds=2), now=context.now
        )


@given("{count:d} lie in an evacuated zone")
@when("{count:d} lie in an evacuated zone")
def evacuate(context, count):
    zone = ZoneId("evacuated")
    context.entries[:count] = [replace(entry, zone=zone) for entry in context.entries[:count]]
    context.balancer.standing.set_evacuated_zones(frozenset([zone]))


@when("the service is removed")
def remove_service(context):
    context.configuration.services = {}


@when("the node looks at its orders for {duration:d} ms")
def look(context, duration):
    end = context.now + timedelta(milliseconds=duration)
    while context.now < end:
        context.now = min(end, context.now + TICK)
        context.node.tick(context.now)


@then("all orders have been admitted there")
def check_all_admitted(context):
    assert [order.id[1] for order in context.admitted] == [0, 1, 2, 3], context.admitted
    assert context.node.next_time(context.now) is None


@when("orders for {pieces} pieces arrive there")
def submit_to_node(context, pieces):
    context.in_force = True
    for number, count in enumerate(pieces.split(", ")):
        work = (Work(ServiceId("first"), int(count)),)
        context.in_force = context.in_force and context.node.is_in_force(work, context.now)
        if context.in_force:
            order = Order(
                id=(NodeId("b"), number),
                service=ServiceId("first"),
                request_id=RequestId(f"r{number}"),
                stage=0,
                key="k",
                inputs=(),
                due=context.now + timedelta(seconds=5),
                deadline=context.now + timedelta(seconds=5),
                result_size=100,
                queued_at=context.now,
                pending_segments=set(range(int(count))),
            )
            context.node.submit(order, "a", work, context.now)


@then("orders need no admission")
def check_not_in_force(context):
    assert not context.in_force


@then("orders are admitted up to {pieces:d}")
def check_admitted_pieces(context, pieces):
    admitted = sum(len(order.pending_segments) for order in context.admitted)
    assert context.in_force
    assert admitted == pieces, admitted


@given("that node is the owner of the queue")
def create_owner(context):
    state, service = context.state, context.configuration.services[ServiceId("first")]
    state.clock = ManualClock()
    state.catalogue.service = lambda _: service
    state.settings = SimpleNamespace(batching="shared")
    state.fleet = SimpleNamespace(owners=lambda: ["a"], address_of=lambda _: None)
    state.report_actions = lambda: None
    calls = SimpleNamespace(start=lambda *args: None)
    context.coordinator = StageCoordinator(NodeId("a"), Incarnation("01"), state, None, calls)
    context.woken = []


@when("node b orders {first:d} and {second:d} pieces there")
def order_pieces(context, first, second):
    for number, pieces in enumerate((first, second)):
        message = PiecesWanted(
            order=number,
            service="first",
            request_id=f"r{number}",
            stage=0,
            segments=(0,),
            key="k",
            inputs=(),
            due_ms=5000,
            remaining_ms=9000,
            result_size=100,
            zone="",
            move_bytes=0,
            priority=0,
            work=(("first", pieces),),
        )
        # Only the order that waits counts: the first one starts a call.
        context.woken.clear()
        context.coordinator.wake = lambda: context.woken.append(True)
        context.coordinator.on_pieces_wanted(NodeId("b"), message)


@then("its timers are woken, and due in {duration:d} ms")
def check_woken(context, duration):
    now = context.state.clock.monotonic()
    assert context.coordinator.next_time(now) == now + timedelta(milliseconds=duration)
    assert context.woken
