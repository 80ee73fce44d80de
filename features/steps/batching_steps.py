"""Steps for the queue of a stage service and the progress of a request's stages."""

import dataclasses
import itertools
import random
import sys
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

RESULT_SIZE = 200_000
CALL_TIME, ITEM_TIME = timedelta(milliseconds=200), timedelta(milliseconds=20)


def upstream_entry(number):
    return UpstreamEntry(
        UpstreamId(f"u{number}"),
        ServiceId("s"),
        f"10.0.0.{number}:80",
        ZoneId(f"z{number}"),
        UpstreamState.READY,
    )


@given("a stage queue with {count:d} upstreams and {batch:d} pieces per call")
def create_queue(context, count, batch):
    context.now = timedelta(seconds=10)
    context.order_numbers = itertools.count(1)
    context.entries = [upstream_entry(number) for number in range(1, count + 1)]
    context.spec = BatchSpec(
        1, 2, batch, CALL_TIME, ITEM_TIME, 100 * RESULT_SIZE, timedelta(seconds=4)
    )
    context.queue = StageQueue(ServiceId("s"), Balancer(ZoneId("z1"), random.Random(1)))
    context.queue.configure(context.spec, context.entries)
    context.calls, context.results, context.freed = [], {}, []
    context.deliveries = []
    context.active_calls, context.inputs_read = [], []
    context.freeing_fails = False
    context.writes_requests_at_once = True


@given("space for {count:d} results at each upstream")
def limit_result_space(context, count):
    spec = context.spec
    context.spec = BatchSpec(
        1, 2, spec.batch, CALL_TIME, ITEM_TIME, count * RESULT_SIZE, spec.result_lifetime
    )
    context.queue.configure(context.spec, context.entries)


@given("the upstream in z2 is {state}")
def set_upstream_state(context, state):
    if state.startswith("busy"):
        submit(context, 1, zone="z2", move_bytes=10**6)
        upstream = context.active_calls[0].upstream
        context.active_calls.clear()
    if state == "busy and slow":
        context.queue._balancer.record_stated_load(upstream, 1, 20.0, context.now)


def submit(context, pieces, remaining=6.0, priority=0, due=2.0, zone="", move_bytes=0, inputs=()):
    number = next(context.order_numbers)
    order = Order(
        id=(NodeId("n"), number),
        service=ServiceId("s"),
        request_id=RequestId(f"r{number}"),
        stage=0,
        key="k",
        inputs=inputs,
        due=context.now + timedelta(seconds=due),
        deadline=context.now + timedelta(seconds=remaining),
        result_size=RESULT_SIZE,
        queued_at=context.now,
        zone=zone,
        move_bytes=move_bytes,
        priority=priority,
        pending_segments=set(range(pieces)),
    )
    context.last_order_id = order.id
    perform(context, context.queue.submit(order, context.now))


def perform(context, effects):
    for effect in effects:
        match effect:
            case StartCall():
                context.calls.append(effect)
                context.active_calls.append(effect)
                if context.writes_requests_at_once:
                    context.queue.call_sent(effect.call_id, context.now)
            case Deliver(order, results, retry_after):
                context.retry_after = retry_after
                if not any(isinstance(result, str) for _, result in results):
                    context.deliveries.append((results, retry_after))
                context.results.setdefault(order, []).extend(results)
            case InputsRead(order):
                context.inputs_read.append(order)
            case FreeResults(address, handles):
                context.freed += handles
                if context.freeing_fails:
                    context.queue.not_freed(address, handles)
                else:
                    perform(context, context.queue.freed(address, handles, context.now))


@when("the queue receives orders of {pieces} pieces")
def queue_orders(context, pieces):
    for count in pieces.split(", "):
        submit(context, int(count))


@when("the queue receives orders of {pieces} pieces with a deadline in {remaining:g} s")
def queue_with_deadline(context, pieces, remaining):
    for count in pieces.split(", "):
        submit(context, int(count), remaining=remaining)


@when("the queue receives orders of {pieces:d} pieces of priority {priority:d}")
def queue_with_priority(context, pieces, priority):
    submit(context, pieces, priority=priority)


@when("the queue receives an order with inputs in z2 that is due in {due:g} s")
def queue_with_inputs(context, due):
    context.calls_before = len(context.calls)
    submit(context, 2, due=due, zone="z2", move_bytes=10**6)


@when("the queue receives {count:d} orders of {pieces:d} pieces that are late")
def queue_late_orders(context, count, pieces):
    context.deliveries = []
    for _ in range(count):
        submit(context, pieces, due=-0.1)


@then("{count:d} orders are refused, to come back one after the other")
def check_refused_orders(context, count):
    waits = [retry_after for results, retry_after in context.deliveries if results]
    assert len(waits) == count, waits
    assert all(earlier < later for earlier, later in itertools.pairwise(waits)), waits
    failures = {result for results, _ in context.deliveries for _, result in results}
    assert failures == {PieceFailure.LATE}, failures


@then("{count:d} pieces wait")
def check_waiting_pieces(context, count):
    assert context.queue.waiting == count, context.queue.waiting


@when("the {which} call ends")
def end_call(context, which):
    call = context.active_calls.pop(0 if which == "first" or len(context.active_calls) == 1 else 1)
    context.ended_call = call
    handles = [f"{call.address}/{call.call_id}-{number}" for number in range(len(call.pieces))]
    context.ended_call_handles = handles
    context.now += call.expected
    perform(context, context.queue.call_ended(call.call_id, handles, context.now))


@when("the results of the first call are released")
def release_results(context):
    pairs = [(context.ended_call.address, handle) for handle in context.ended_call_handles]
    perform(context, context.queue.release(pairs, context.now))


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    end = context.now + timedelta(seconds=seconds)
    while (at := context.queue.next_time(context.now)) is not None and at <= end:
        context.now = at
        perform(context, context.queue.tick(at))
    context.now = end
    perform(context, context.queue.tick(end))


@when("every call fails with a connection reset")
def fail_all_calls(context):
    while context.active_calls:
        call = context.active_calls.pop(0)
        effects = context.queue.call_failed(call.call_id, "reset", context.now, False, False)
        perform(context, effects)


@then("calls of {pieces} pieces are in progress")
def check_calls(context, pieces):
    counts = [len(call.pieces) for call in context.active_calls]
    expected = [] if pieces == "none" else [int(count) for count in pieces.split(", ")]
    assert counts == expected, counts


@then("no calls are in progress")
def check_no_calls(context):
    assert not context.active_calls, context.active_calls


@then("the order has {count:d} results")
def check_results(context, count):
    results = context.results[context.last_order_id]
    assert len(results) == count, results
    assert all(isinstance(result, str) for _, result in results), results


@then("{count:d} results are freed")
def check_freed(context, count):
    assert len(context.freed) == count, context.freed


@then("{times:d} calls were made and the order failed")
def check_order_failed(context, times):
    assert len(context.calls) == times, len(context.calls)
    assert context.results[context.last_order_id] == [(0, PieceFailure.ERROR)], context.results


@then("the last order fails as late")
def check_last_order_late(context):
    results = context.results[context.last_order_id]
    assert {result for _, result in results} == {PieceFailure.LATE}, results


@then("the last call has pieces of priority {priority:d}")
def check_priority_of_last_call(context, priority):
    assert context.active_calls[-1].pieces[0].order.priority == priority


@then("the queue calls an upstream in {zone}")
def check_zone_of_call(context, zone):
    new_calls = context.calls[context.calls_before :]
    zones = [next(e.zone for e in context.entries if e.id == call.upstream) for call in new_calls]
    assert zones == ([] if zone == "none" else [zone]), zones


@given("two consecutive processes of one node")
def start_processes(context):
    context.first_order_numbers = [first_order_number(text) for text in ("00000001", "00000002")]


@then("the order numbers of the processes differ")
def check_order_numbers_differ(context):
    first, second = context.first_order_numbers
    assert abs(first - second) >= 1 << ORDER_BITS


@when("the queue receives an order with 2 pieces that read inputs")
def queue_reading_order(context):
    context.inputs_read = []
    submit(context, 2, inputs=("10.0.0.9:80/x",))


@when("the queue receives an order with 2 pieces that read {size:g} MB each")
def queue_reading_order_of_size(context, size):
    context.inputs_read = []
    submit(context, 2, inputs=("10.0.0.9:80/x",), move_bytes=round(size * 1e6))


@given("requests of calls are written only after the calls start")
def delay_requests(context):
    context.writes_requests_at_once = False


@when("the request of the call is written")
def write_request(context):
    context.queue.call_sent(context.calls[-1].call_id, context.now)


@when("nothing else happens")
def nothing_happens(context):
    pass


@when("a disruption is recorded")
def record_disruption(context):
    context.queue.record_disruption(context.now)


@then("the inputs of the order are {state}")
def check_inputs(context, state):
    assert (context.last_order_id in context.inputs_read) == (state == "read"), context.inputs_read


@when("the queue receives orders of {pieces} pieces that are due earlier")
def queue_earlier_due_orders(context, pieces):
    context.deadline_order_id = context.last_order_id
    for count in pieces.split(", "):
        submit(context, int(count), due=1.0)


@then("the order with a deadline in 0.95 s fails as late")
def check_deadline_order_late(context):
    assert context.last_order_id != context.deadline_order_id
    results = context.results.get(context.deadline_order_id, [])
    assert {result for _, result in results} == {PieceFailure.LATE}, context.results


@when("the first call ends without room for pieces {refused}")
def end_call_without_room(context, refused):
    refused_numbers = {int(number) for number in refused.split(", ")}
    call = context.active_calls.pop(0)
    results = [
        PieceFailure.NO_ROOM if number in refused_numbers else f"{call.address}/{number}"
        for number in range(len(call.pieces))
    ]
    context.now += call.expected
    perform(context, context.queue.call_ended(call.call_id, results, context.now))


@when("a piece fails with {failures} in its call")
@when("a piece fails with {failures} in its calls")
def fail_piece(context, failures):
    fail_piece_of_order(context, failures, inputs_read=True)


@when("a piece fails with {failures} before its inputs are reported as read")
def fail_piece_with_unread_inputs(context, failures):
    fail_piece_of_order(context, failures, inputs_read=False)


def fail_piece_of_order(context, failures, inputs_read):
    submit(context, 2, inputs=("10.0.0.9:80/y",))
    for failure in failures.split(", then "):
        piece_failure = PieceFailure(failure)
        call = context.active_calls.pop(0)
        handles = [f"{call.address}/{call.call_id}-{n}" for n in range(1, len(call.pieces))]
        if inputs_read:
            pass_time(context, 0.1)
        context.now = call.started + call.expected
        perform(
            context, context.queue.call_ended(call.call_id, [piece_failure, *handles], context.now)
        )
        pass_time(context, 0.05)
    # The remaining pieces of the failed order must not share a call with the next order.
    context.queue.drop(context.last_order_id)
    for call in list(context.active_calls):
        handles = [f"{call.address}/{call.call_id}-{n}" for n in range(len(call.pieces))]
        context.active_calls.remove(call)
        perform(context, context.queue.call_ended(call.call_id, handles, context.now))


@when("the results of the first call have been read")
def release_as_evictable(context):
    pairs = [(context.ended_call.address, handle) for handle in context.ended_call_handles]
    perform(context, context.queue.release(pairs, context.now, evictable=True))


@given("freeing results fails")
def make_freeing_fail(context):
    context.freeing_fails = True


@then("the call has pieces of {count:d} orders")
def check_orders_of_call(context, count):
    (call,) = context.active_calls
    assert len({piece.order.id for piece in call.pieces}) == count, call


@given("a request that reads the results of a stage of 2 pieces")
def create_staged_request(context):
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=RequestKind.STREAM,
        timeout=timedelta(seconds=6),
        target_latency=timedelta(seconds=2),
        split=((ServiceId("e"), 1.0),),
        stages=(StageSpec(ServiceId("s"), (), RESULT_SIZE),),
    )
    context.progress = StageProgress(route, [2])


@when("all pieces of the stage have results")
def complete_stage(context):
    context.progress.mark_started(0)
    for segment in range(2):
        assert context.progress.record_result(0, segment, f"10.0.0.1:80/{segment}")


@when("the upstream of the request has read the results")
def read_final_results(context):
    context.progress.record_final_results_read()


@when("the results have vanished and are produced again")
def restart_stage(context):
    ((stage, handles),) = context.progress.restart_inputs(None)
    assert (stage, len(handles)) == (0, 2)
    assert context.progress.missing(0) == (0, 1)
    complete_stage(context)


@then("no results are evictable")
def check_none_evictable(context):
    assert context.progress.take_evictable() == []


@then("2 results are reported as evictable exactly once")
def check_evictable_once(context):
    ((stage, handles),) = context.progress.take_evictable()
    assert (stage, len(handles)) == (0, 2)
    check_none_evictable(context)


@when("the first call ends with a vanished input")
def end_call_with_vanished_input(context):
    call = context.active_calls.pop(0)
    results = [PieceFailure.INPUT_GONE, *("10.0.0.1:80/x" + str(n) for n in range(1, 4))]
    context.now += call.expected
    perform(context, context.queue.call_ended(call.call_id, results, context.now))


@then("{count:d} pieces of the order have failed because of a vanished input")
def check_pieces_without_input(context, count):
    results = [result for _, result in context.results[context.last_order_id]]
    assert results.count(PieceFailure.INPUT_GONE) == count, results


@when("the queue returns its waiting pieces")
def return_waiting_pieces(context):
    context.returned = context.queue.return_waiting_pieces()


@then("{count:d} pieces of the order are returned")
def check_returned_pieces(context, count):
    ((order, segments),) = [(effect.order, effect.segments) for effect in context.returned]
    assert (order, len(segments)) == (context.last_order_id, count), context.returned


@when("the returned pieces are queued again")
def queue_returned_pieces(context):
    (returned,) = context.returned
    (piece, *_) = context.active_calls[0].pieces
    order = dataclasses.replace(piece.order, pending_segments=set(returned.segments))
    perform(context, context.queue.submit(order, context.now))


@then(
    "the last call reports {late:d} late pieces, a wait of {wait:d} ms "
    "and space for {space:d} results"
)
def check_start_conditions(context, late, wait, space):
    conditions = context.calls[-1].conditions
    assert conditions.late_pieces == late, conditions
    assert conditions.longest_wait == timedelta(milliseconds=wait), conditions
    assert conditions.free_bytes == space * RESULT_SIZE, conditions


@when("{count:d} calls take {pace:g} times the nominal time")
def make_slow_calls(context, count, pace):
    for _ in range(count):
        submit(context, 2)
        call = context.active_calls.pop(0)
        handles = [f"{call.address}/{call.call_id}-{n}" for n in range(len(call.pieces))]
        context.now += pace * (CALL_TIME + len(call.pieces) * ITEM_TIME)
        perform(context, context.queue.call_ended(call.call_id, handles, context.now))
        context.queue.release([(call.address, handle) for handle in handles], context.now)


@when(
    "the function calls for one more order are counted while {few:d} and while {many:d} orders wait"
)
def count_function_calls(context, few, many):
    context.call_counts = []
    for count in (few, many):
        while context.queue.waiting < count:
            submit(context, 1, remaining=1000.0)
        counter = itertools.count()
        sys.setprofile(lambda *_: next(counter))  # noqa: B023
        try:
            submit(context, 1, remaining=1000.0)
            context.queue.next_time(context.now)
        finally:
            sys.setprofile(None)
        context.call_counts.append(next(counter))


@then("the second count is at most {ratio:g} times the first")
def check_call_counts(context, ratio):
    first, second = context.call_counts
    assert second <= ratio * first, context.call_counts


@when("upstream u1 is ejected, and probed by a call that it rejects without running it")
def reject_probe(context):
    upstream = UpstreamId("u1")
    balancer = context.queue._balancer
    balancer.record_failure(upstream, context.now, "refused", certain=True)
    context.now += timedelta(seconds=1.1)
    for _ in context.entries:
        submit(context, 1)
    (call,) = [call for call in context.active_calls if call.upstream == upstream]
    assert balancer.is_suspected(upstream, context.now)
    perform(context, context.queue.call_failed(call.call_id, "full", context.now, False, True))


@then("the queue does not suspect upstream u1")
def check_not_suspected(context):
    assert not context.queue._balancer.is_suspected(UpstreamId("u1"), context.now)


@when("the upstreams {names} say that they leave")
def say_leaving(context, names):
    record_statements(context, names, leaving=True, pause=None)


@when("the upstreams {names} ask for {seconds:d} s of pause")
def ask_for_pause(context, names, seconds):
    record_statements(context, names, leaving=False, pause=timedelta(seconds=seconds))


@when("the upstreams {names} are evacuated")
def evacuate_upstreams(context, names):
    # Each upstream has a zone of its own.
    zones = frozenset(e.zone for e in context.entries if e.id in names.split(", "))
    context.calls_before = len(context.calls)
    context.queue._balancer.standing.set_evacuated_zones(zones)


@when("no upstreams are evacuated")
def return_upstreams(context):
    context.queue._balancer.standing.set_evacuated_zones(frozenset())


def record_statements(context, names, **statement):
    context.calls_before = len(context.calls)
    standing = context.queue._balancer.standing
    for entry in context.entries:
        if entry.id in names.split(", "):
            standing.record_answer(entry.incarnation, now=context.now, **statement)


@when("upstream {name} refuses connections")
def refuse_at(context, name):
    context.queue._balancer.record_failure(UpstreamId(name), context.now, "refused", certain=True)


@when("every call in progress ends, again and again")
def end_all_calls(context):
    while context.active_calls:
        end_call(context, "first")


@then("the queue has called further pieces at {names} only")
def check_called_upstreams(context, names):
    called = {call.upstream for call in context.calls[context.calls_before :]}
    assert called == ({names} - {"none"}), called


@then("each of {count:d} pieces was called at most once")
def check_called_once(context, count):
    pieces = [(piece.order.id, piece.segment) for call in context.calls for piece in call.pieces]
    assert len(pieces) == len(set(pieces)) <= count, pieces


@then("{count:d} pieces failed with {failure}")
def check_failed_pieces(context, count, failure):
    failures = [
        result.value
        for results in context.results.values()
        for _, result in results
        if isinstance(result, PieceFailure)
    ]
    assert failures == [failure] * count, failures


@when("the queue receives an order {inputs} inputs and a deadline in {deadline:g} s")
def queue_with_or_without_inputs(context, inputs, deadline):
    context.calls_before = len(context.calls)
    submit(context, 2, remaining=deadline, inputs=("a/1",) if inputs == "with" else ())


@then("the order is called when the pause ends")
def check_called_after_pause(context):
    assert not context.calls, context.calls
    assert context.queue.next_time(context.now) == context.now + timedelta(seconds=2)
    context.now += timedelta(seconds=2)
    perform(context, context.queue.tick(context.now))
    assert len(context.calls) == 1, context.calls


@then("the order fails at once with {seconds:d} s to wait")
def check_fails_with_wait(context, seconds):
    assert not context.calls, context.calls
    assert context.results[context.last_order_id] == [
        (0, PieceFailure.ALL_PAUSED),
        (1, PieceFailure.ALL_PAUSED),
    ], context.results
    assert context.retry_after == timedelta(seconds=seconds), context.retry_after
