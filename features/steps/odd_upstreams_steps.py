"""Steps for upstreams whose registrations got past the decoders and break at use."""

import dataclasses
import queue
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, when
from features.steps.serving_steps import LIMIT_S, send_request, wait_for

from chervilrack._internal.batching.state import FreeResults, StartCall
from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.ids import ServiceId, UpstreamId, ZoneId
from chervilrack._internal.serving.stage_calls import CallFailed, StageCaller
from chervilrack.platform.emulated.standins import UpstreamStandIn
from chervilrack.platform.headers import PlatformDialect

ADDRESSES = {
    "a port of ²": "127.0.0.1:²",
    "a port of 5,000 digits": "127.0.0.1:" + "9" * 5000,
    "the port 99999": "127.0.0.1:99999",
    "the port 0": "127.0.0.1:0",
    "the port -1": "127.0.0.1:-1",
    "no port": "127.0.0.1",
    "no host": ":80",
    "a host with a blank": "a b:80",
    "a host with NUL": "a\0b:80",
    "a host with a newline": "a\r\nb:80",
    "a host of 300 letters": "a" * 300 + ":80",
    "a host of 64 letters": "a" * 64 + ":80",
}
FIELDS = {
    "0 slots": {"slots": 0},
    "-1 slots": {"slots": -1},
    "10**18 slots": {"slots": 10**18},
    "-10**400 slots": {"slots": -(10**400)},
    "10**400 slots": {"slots": 10**400},
    "a start of 10**30": {"started_at_ms": 10**30},
    "a start of -10**30": {"started_at_ms": -(10**30)},
    "a zone of 1 MB": {"zone": ZoneId("z" * 1_000_000)},
}
IDS = {"an id with a newline": "i\r\nX: y", "an id beyond Latin-1": "i-漢"}


@given("an upstream of the plain service with {oddity} that no decoder refused")
def put_odd_upstream(context, oddity):
    upstream = context.stack.enter_context(UpstreamStandIn("plain-odd", "plain"))
    # An upstream that leaves is named in heartbeats, with its start.
    upstream.leaving = "start" in oddity
    fields = {"address": ADDRESSES.get(oddity, upstream.address), **FIELDS.get(oddity, {})}
    name = UpstreamId(IDS.get(oddity, "plain-odd"))
    state = context.node._state
    sound = state.catalogue.upstreams[UpstreamId("plain-1")]
    entry = dataclasses.replace(sound, id=name, **fields)
    if oddity == "an id that no request can be made for":
        dialect = context.node._forwarder._attempts._dialect
        make_headers = dialect.request_headers

        def make_or_raise(headers, forwarded):
            if forwarded.target == name:
                raise RecursionError("odd")
            return make_headers(headers, forwarded)

        context.add_cleanup(setattr, dialect, "request_headers", make_headers)
        dialect.request_headers = make_or_raise
    with state.lock:
        state.catalogue.put_upstream(entry, 10**6)
    context.oddity = entry


def send_of_both_kinds(context, count):
    paths = ["/order/1" if number % 2 else "/read/1" for number in range(count)]
    return [send_request(context, path) for path in paths]


@when("callers send {count:d} requests of both kinds")
def send_some(context, count):
    context.responses = send_of_both_kinds(context, count)


@when("{callers:d} callers at a time send requests of both kinds {times:d} times")
def send_at_a_time(context, callers, times):
    with ThreadPoolExecutor(callers) as pool:
        results = pool.map(lambda _: send_of_both_kinds(context, times), range(callers))
        context.responses = [response for responses in results for response in responses]


@then("each is answered by a sound upstream")
@then("each is answered")
def check_answered(context):
    statuses = [response.status for response, _ in context.responses]
    assert set(statuses) == {200}, (statuses, context.log.getvalue())


@when("the sound upstreams of the plain service are gone")
def remove_sound_upstreams(context):
    state = context.node._state
    for name in ("plain-1", "plain-2"):
        context.store.remove(f"servers/{name}")
    service = ServiceId("plain")
    wait_for(
        lambda: state.catalogue.ready_upstreams(service) == (context.oddity,),
        "the other upstreams are gone",
    )


@then("each gets status {status:d}")
def check_statuses(context, status):
    statuses = [response.status for response, _ in context.responses]
    assert set(statuses) == {status}, (statuses, context.log.getvalue())


@then("no request is in flight at any upstream, and none awaits a first byte")
def check_counters(context):
    state = context.node._state
    wait_for(lambda: not state.in_progress, "the requests have ended")
    in_flight = {name: status.in_flight for name, status in state.balancer._status.items()}
    assert not any(in_flight.values()), in_flight
    assert not state._awaited_first_bytes, state._awaited_first_bytes


@then("the node still sends heartbeats")
def check_heartbeats(context):
    node = context.node
    with node._state.lock:
        node._fleet.add_addresses(["127.0.0.1:9"], node._clock.monotonic())
    sent = node._transport.counters.sent_messages
    wait_for(lambda: node._transport.counters.sent_messages >= sent + 2, "heartbeats are sent")


@given("a caller of stages")
def create_stage_caller(context):
    observer = SimpleNamespace(may_send=lambda _: True, answer_received=lambda *_: None)
    context.caller = StageCaller(PlatformDialect(), observer, SystemClock())
    context.caller.__enter__()
    context.add_cleanup(context.caller.__exit__, None, None, None)


@when("it makes a call to an upstream with {oddity}, and frees results there")
def make_stage_call(context, oddity):
    context.ended, context.freed = queue.Queue(), queue.Queue()
    second, address = timedelta(seconds=1), ADDRESSES[oddity]
    incarnation = UpstreamIncarnation(UpstreamId("u1"), 1)
    call = StartCall(1, incarnation, address, (), second, second, second, None)
    context.caller.start(call, lambda _: None, lambda _, outcome: context.ended.put(outcome))
    effect = FreeResults(address, ("a",))
    context.caller.free(effect, on_ended=lambda _, succeeded: context.freed.put(succeeded))


@then("the call ends as not executed by an absent upstream, and the results as not freed")
def check_stage_call(context):
    outcome = context.ended.get(timeout=LIMIT_S)
    assert isinstance(outcome, CallFailed), outcome
    assert outcome.not_executed, outcome
    assert outcome.upstream_absent, outcome
    assert context.freed.get(timeout=LIMIT_S) is False
