"""Steps for the queue of a stage service."""

import dataclasses
import itertools
import random
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.batching.core import StageQueue
from chervilrack._internal.batching.progress import StageProgress
from chervilrack._internal.batching.state import Deliver, FreeResults, InputsRead, Order, StartCall
from chervilrack._internal.catalogue.state import (
    BatchSpec,
    RequestKind,
    Route,
    StageSpec,
    UpstreamEntry,
    UpstreamState,
)
from chervilrack._internal.common.ids import NodeId, RequestId, ServiceId, UpstreamId, ZoneId
from chervilrack._internal.forwarding.dialect import PieceFailure
from chervilrack._internal.serving.stage_coordinator import ORDER_BITS, first_order_number

SIZE = 200_000
CALL, ITEM = timedelta(milliseconds=200), timedelta(milliseconds=20)


def entry(number):
    return UpstreamEntry(
        UpstreamId(f"u{number}"),
        ServiceId("s"),
        f"10.0.0.{number}:80",
        ZoneId(f"z{number}"),
        UpstreamState.READY,
    )


@given("a stage queue with {count:d} upstreams, {batch:d} pieces a call")
def queue(context, count, batch):
    context.now = timedelta(seconds=10)
    context.numbers = itertools.count(1)
    context.entries = [entry(number) for number in range(1, count + 1)]
    context.spec = BatchSpec(1, 2, batch, CALL, ITEM, 100 * SIZE, timedelta(seconds=4))
    context.queue = StageQueue(ServiceId("s"), Balancer(ZoneId("z1"), random.Random(1)))
    context.queue.configure(context.spec, context.entries)
    context.calls, context.results, context.freed = [], {}, []
    context.open, context.read = [], []
    context.freeing_fails = False
    context.sends_calls = True


@given("room for {count:d} results at each upstream")
def room(context, count):
    spec = context.spec
    context.spec = BatchSpec(1, 2, spec.batch, CALL, ITEM, count * SIZE, spec.result_lifetime)
    context.queue.configure(context.spec, context.entries)


@given("the upstream of z2 is {state}")
def occupy(context, state):
    if state == "busy":
        submit(context, 1, zone="z2", move_bytes=10**6)
        context.open.clear()


def submit(context, pieces, left=6.0, priority=0, due=2.0, zone="", move_bytes=0, inputs=()):
    number = next(context.numbers)
    order = Order(
        id=(NodeId("n"), number),
        service=ServiceId("s"),
        request_id=RequestId(f"r{number}"),
        stage=0,
        key="k",
        inputs=inputs,
        due=context.now + timedelta(seconds=due),
        deadline=context.now + timedelta(seconds=left),
        result_size=SIZE,
        queued_at=context.now,
        zone=zone,
        move_bytes=move_bytes,
        priority=priority,
        pending_segments=set(range(pieces)),
    )
    context.last = order.id
    perform(context, context.queue.submit(order, context.now))


def perform(context, effects):
    for effect in effects:
        match effect:
            case StartCall():
                context.calls.append(effect)
                context.open.append(effect)
                if context.sends_calls:
                    context.queue.call_sent(effect.call_id, context.now)
            case Deliver(order, results):
                context.results.setdefault(order, []).extend(results)
            case InputsRead(order):
                context.read.append(order)
            case FreeResults(address, handles):
                context.freed += handles
                if context.freeing_fails:
                    context.queue.not_freed(address, handles)
                else:
                    perform(context, context.queue.freed(address, handles, context.now))


@when("the queue gets orders of {pieces} pieces")
def orders(context, pieces):
    for count in pieces.split(", "):
        submit(context, int(count))


@when("the queue gets orders of {pieces} pieces with {left:g} s left")
def hurried(context, pieces, left):
    for count in pieces.split(", "):
        submit(context, int(count), left=left)


@when("the queue gets orders of {pieces:d} pieces of rank {rank:d}")
def ranked(context, pieces, rank):
    submit(context, pieces, priority=rank)


@when("the queue gets an order with inputs in z2, due in {due:g} s")
def with_inputs(context, due):
    context.before = len(context.calls)
    submit(context, 2, due=due, zone="z2", move_bytes=10**6)


@when("the {which} call ends")
def call_ends(context, which):
    call = context.open.pop(0 if which == "first" or len(context.open) == 1 else 1)
    context.ended = call
    handles = [f"{call.address}/{call.call_id}-{number}" for number in range(len(call.pieces))]
    context.handles = handles
    context.now += call.expected
    perform(context, context.queue.call_ended(call.call_id, handles, context.now))


@when("the results of the first call are freed")
def free(context):
    pairs = [(context.ended.address, handle) for handle in context.handles]
    perform(context, context.queue.release(pairs, context.now))


@when("{seconds:g} s pass")
def passes(context, seconds):
    end = context.now + timedelta(seconds=seconds)
    while (at := context.queue.next_time(context.now)) is not None and at <= end:
        context.now = at
        perform(context, context.queue.tick(at))
    context.now = end
    perform(context, context.queue.tick(end))


@when("every call fails as a reset")
def all_fail(context):
    while context.open:
        call = context.open.pop(0)
        effects = context.queue.call_failed(call.call_id, "reset", context.now, False, False)
        perform(context, effects)


@then("the queue has calls of {pieces} pieces")
def has_calls(context, pieces):
    found = [len(call.pieces) for call in context.open]
    wanted = [] if pieces == "none" else [int(count) for count in pieces.split(", ")]
    assert found == wanted, found


@then("the queue has no calls")
def no_calls(context):
    assert not context.open, context.open


@then("the order has {count:d} results")
def has_results(context, count):
    results = context.results[context.last]
    assert len(results) == count, results
    assert all(isinstance(result, str) for _, result in results), results


@then("{count:d} results are freed")
def are_freed(context, count):
    assert len(context.freed) == count, context.freed


@then("{times:d} calls were made and the order failed")
def gave_up(context, times):
    assert len(context.calls) == times, len(context.calls)
    assert context.results[context.last] == [(0, PieceFailure.ERROR)], context.results


@then("the last order is refused as late")
def refused(context):
    results = context.results[context.last]
    assert {result for _, result in results} == {PieceFailure.LATE}, results


@then("the last call serves rank {rank:d}")
def serves(context, rank):
    assert context.open[-1].pieces[0].order.priority == rank


@then("the queue calls an upstream of {zone}")
def calls_zone(context, zone):
    found = context.calls[context.before :]
    zones = [next(e.zone for e in context.entries if e.id == call.upstream) for call in found]
    assert zones == ([] if zone == "none" else [zone]), zones


@given("two processes of one node")
def processes(context):
    context.first = [first_order_number(text) for text in ("00000001", "00000002")]


@then("their order numbers differ")
def differ(context):
    first, second = context.first
    assert abs(first - second) >= 1 << ORDER_BITS


@when("the queue gets an order with 2 pieces that read inputs")
def reading(context):
    context.read = []
    submit(context, 2, inputs=("10.0.0.9:80/x",))


@when("the queue gets an order with 2 pieces that read {size:g} MB each")
def reading_much(context, size):
    context.read = []
    submit(context, 2, inputs=("10.0.0.9:80/x",), move_bytes=round(size * 1e6))


@given("calls are not sent when they start")
def unsent(context):
    context.sends_calls = False


@when("the call is sent")
def send_call(context):
    context.queue.call_sent(context.calls[-1].call_id, context.now)


@when("nothing else happens")
def nothing(context):
    pass


@when("the queue was disturbed")
def disturb(context):
    context.queue.record_disruption(context.now)


@then("the inputs of the order are {state}")
def inputs_are(context, state):
    assert (context.last in context.read) == (state == "read"), context.read


@when("the queue gets orders of {pieces} pieces of rank 0 and more urgent")
def more_urgent(context, pieces):
    context.hurried = context.last
    for count in pieces.split(", "):
        submit(context, int(count), due=1.0)


@then("the order with 0.95 s left is refused as late")
def hurried_refused(context):
    assert context.last != context.hurried
    results = context.results.get(context.hurried, [])
    assert {result for _, result in results} == {PieceFailure.LATE}, context.results


@when("the first call ends without room for pieces {refused}")
def without_room(context, refused):
    numbers = {int(number) for number in refused.split(", ")}
    call = context.open.pop(0)
    results = [
        PieceFailure.NO_ROOM if number in numbers else f"{call.address}/{number}"
        for number in range(len(call.pieces))
    ]
    context.now += call.expected
    perform(context, context.queue.call_ended(call.call_id, results, context.now))


@when("a piece fails with {failure} at its {attempt} call")
def piece_fails(context, failure, attempt):
    submit(context, 2)
    failures = [PieceFailure(failure)]
    if attempt == "second":
        failures.insert(0, PieceFailure.ERROR)
    for found in failures:
        call = context.open.pop(0)
        made = [f"{call.address}/{call.call_id}-{n}" for n in range(1, len(call.pieces))]
        context.now += call.expected
        perform(context, context.queue.call_ended(call.call_id, [found, *made], context.now))
        passes(context, 0.05)
    # What is left of the failed order must not share a call with the next one.
    context.queue.drop(context.last)
    for call in list(context.open):
        handles = [f"{call.address}/{call.call_id}-{n}" for n in range(len(call.pieces))]
        context.open.remove(call)
        perform(context, context.queue.call_ended(call.call_id, handles, context.now))


@when("the results of the first call have been read")
def have_been_read(context):
    pairs = [(context.ended.address, handle) for handle in context.handles]
    perform(context, context.queue.release(pairs, context.now, evictable=True))


@given("freeing results fails")
def freeing_fails(context):
    context.freeing_fails = True


@then("the call serves {count:d} orders")
def serves_orders(context, count):
    (call,) = context.open
    assert len({piece.order.id for piece in call.pieces}) == count, call


@given("a request with a stage of 2 pieces whose results it reads itself")
def staged_request(context):
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=RequestKind.STREAM,
        timeout=timedelta(seconds=6),
        target_latency=timedelta(seconds=2),
        split=((ServiceId("e"), 1.0),),
        stages=(StageSpec(ServiceId("s"), (), SIZE),),
    )
    context.progress = StageProgress(route, [2])


@when("the stage has its results")
def stage_done(context):
    context.progress.start(0)
    for segment in range(2):
        assert context.progress.record_result(0, segment, f"10.0.0.1:80/{segment}")


@when("the request's upstream has read its inputs")
def request_reads(context):
    context.progress.record_final_results_read()


@when("the results have vanished and are made again")
def made_again(context):
    ((stage, handles),) = context.progress.restart_inputs(None)
    assert (stage, len(handles)) == (0, 2)
    assert context.progress.missing(0) == (0, 1)
    stage_done(context)


@then("no results are spare")
def none_spare(context):
    assert context.progress.take_evictable() == []


@then("2 results are spare, once")
def two_spare(context):
    ((stage, handles),) = context.progress.take_evictable()
    assert (stage, len(handles)) == (0, 2)
    none_spare(context)


@when("the first call ends with a vanished input")
def vanished(context):
    call = context.open.pop(0)
    results = [PieceFailure.INPUT_GONE, *("10.0.0.1:80/x" + str(n) for n in range(1, 4))]
    context.now += call.expected
    perform(context, context.queue.call_ended(call.call_id, results, context.now))


@then("{count:d} pieces of the order have failed for a vanished input")
def vanished_pieces(context, count):
    found = [result for _, result in context.results[context.last]]
    assert found.count(PieceFailure.INPUT_GONE) == count, found


@when("the queue is handed over")
def handed_over(context):
    context.returned = context.queue.return_waiting_pieces()


@then("{count:d} pieces of the order are given back")
def given_back(context, count):
    ((order, segments),) = [(found.order, found.segments) for found in context.returned]
    assert (order, len(segments)) == (context.last, count), context.returned


@when("the pieces given back come again")
def come_again(context):
    (found,) = context.returned
    (piece, *_) = context.open[0].pieces
    again = dataclasses.replace(piece.order, pending_segments=set(found.segments))
    perform(context, context.queue.submit(again, context.now))
