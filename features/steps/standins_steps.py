"""Steps for emulated upstreams."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from itertools import pairwise
from math import isclose
from unittest import mock

import msgspec
import urllib3
from behave import given, then, when
from features.support.standin_calls import PATIENCE_S, call, enter, send, wait_for

from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.releases.state import Limits
from chervilrack._internal.standins.upstreams import engine as engine_module
from chervilrack._internal.standins.upstreams import prefix_cache
from chervilrack._internal.standins.upstreams import upstream as upstream_module
from chervilrack._internal.standins.upstreams.engine import EngineTiming, ModelEngine
from chervilrack._internal.standins.upstreams.server import StandinServer
from chervilrack._internal.standins.upstreams.simple import PlainService
from chervilrack._internal.standins.upstreams.text import token_text
from chervilrack._internal.standins.upstreams.weights import WeightStore
from chervilrack._internal.upstreams.commands import Target, UpstreamCommands
from chervilrack._internal.upstreams.port import FailureKind
from chervilrack._internal.upstreams.prompts import BLOCK_TOKENS, BYTES_PER_TOKEN, prefix_hashes

FAST = EngineTiming(prefill_token=0.0, decode_token=0.002, load_time=0.0)


def _blocks(count, letter):
    return letter * (count * BLOCK_TOKENS * BYTES_PER_TOKEN)


@given("standins an engine with {slots:d} slots")
def engine_with_slots(context, slots):
    context.upstream = enter(context, ModelEngine("engine", slots=slots, timing=FAST))


@given("standins an engine whose cache holds {blocks:d} blocks")
def engine_with_cache(context, blocks):
    context.upstream = enter(context, ModelEngine("engine", cache_blocks=blocks, timing=FAST))


class ShiftedTime:
    """Stands for the module ``time``, with a monotonic clock that can be set forward."""

    sleep = staticmethod(time.sleep)

    def __init__(self):
        self.shift_s = 0.0

    def monotonic(self):
        return time.monotonic() + self.shift_s


def shift_time_of(context, module):
    context.clock = ShiftedTime()
    patch = mock.patch.object(module, "time", context.clock)
    patch.start()
    context.add_cleanup(patch.stop)


@given("standins an engine whose events are {late:d} s late and lack every third")
def engine_with_events(context, late):
    shift_time_of(context, prefix_cache)
    engine = ModelEngine("engine", timing=FAST, event_lag=float(late), event_gap=3)
    context.upstream = enter(context, engine)


@given("standins an engine with the limit {kind} of {limit:d}")
def engine_with_limit(context, kind, limit):
    engine = ModelEngine("engine", timing=FAST, limits=Limits(**{kind: limit}))
    context.upstream = enter(context, engine)


@given("standins a plain service that reports its load {late:d} s late")
def service_with_lag(context, late):
    shift_time_of(context, upstream_module)
    service = PlainService("service", service_time=0.02, load_lag=float(late))
    context.upstream = enter(context, service)


@given("standins {count:d} services on one server of which one refuses")
def shared_services(context, count):
    server = enter(context, StandinServer())
    context.services = [
        enter(context, PlainService(f"s{number}", service_time=0.001, server=server))
        for number in range(count)
    ]
    context.services[3].set_faults(refuse=True)


@given("standins a weight store with {rate:d} requests/s and an engine that uses it")
def weight_store(context, rate):
    store = WeightStore("store", requests_per_s=rate, transfer_time=0.01)
    context.store = enter(context, store)
    engine = ModelEngine("engine", timing=FAST, weight_store=context.store.address)
    context.upstream = enter(context, engine)


@when("standins a stream of {tokens:d} tokens is read from offset {offset:d}")
def read_stream(context, tokens, offset):
    body = {"prompt": "tell", "seed": 3, "max_tokens": tokens}
    sent = call(context.upstream, 1, body, resume_offset=offset)
    with context.clients["openai-completions"].stream(sent) as opened:
        context.chunks = list(opened.ok_value)
    context.tokens = tokens


@then("standins the stream holds exactly the expected tokens from {offset:d}")
def expected_tokens(context, offset):
    received = [(chunk.offset, chunk.text) for chunk in context.chunks if chunk.tokens]
    expected = [
        (number, token_text("tell", 3, "r-1", "guild", number))
        for number in range(offset, context.tokens)
    ]
    assert received == expected, (received, expected)
    assert context.chunks[-1].final


@when("standins requests with the priorities 0, 0, 2 and 1 arrive while one is running")
def arrive_by_priority(context):
    record = context.upstream.record
    context.upstream.set_faults(hang=True)
    with ThreadPoolExecutor(5) as pool:
        for number, priority in enumerate((0, 0, 0, 2, 1)):
            body = {"prompt": "p", "max_tokens": 2}
            pool.submit(send, context, context.upstream, number, body, priority=priority)
            wait_for(lambda count=number + 1: len(record.arrivals) == count)
        context.upstream.set_faults()


@then("standins they are executed in the order of priority")
def priority_order(context):
    order = [request for request, _key in context.upstream.record.executions]
    assert order == ["r-0", "r-3", "r-4", "r-1", "r-2"], order
    assert context.upstream.record.most("concurrency") == 5


class PaceRecorder:
    """Replaces the function with which engines wait for the due time of each token.

    The first tokens of ``count`` requests wait for each other, so that all are in the batch.
    """

    def __init__(self, count):
        self._barrier = threading.Barrier(count)
        self._due_times = {}
        self._wait_until = engine_module.pace

    def __call__(self, due):
        thread = threading.get_ident()
        if thread not in self._due_times:
            self._due_times[thread] = []
            self._barrier.wait(PATIENCE_S)
        self._due_times[thread].append(due)
        self._wait_until(due)

    def times_per_token(self):
        return [
            later - earlier
            for times in self._due_times.values()
            for earlier, later in pairwise(times)
        ]


@when("standins one request and then {count:d} at a time are generated")
def crowd(context, count):
    context.alone = generate_together(context, range(1))
    context.crowded = generate_together(context, range(1, count + 1))
    context.count = count


def generate_together(context, numbers):
    body = {"prompt": "p", "max_tokens": 40}
    recorder = PaceRecorder(len(numbers))
    with (
        mock.patch.object(engine_module, "pace", recorder),
        ThreadPoolExecutor(len(numbers)) as pool,
    ):
        outcomes = list(pool.map(lambda n: send(context, context.upstream, n, body), numbers))
    assert all(outcome.is_ok() for outcome in outcomes), outcomes
    return recorder.times_per_token(), [outcome.ok_value.service_time for outcome in outcomes]


@then("standins the crowded ones took longer per token")
def slower(context):
    (alone, service_times), (crowded, crowded_times) = context.alone, context.crowded
    assert len(alone) == 39, alone
    assert all(isclose(time, FAST.decode_token, abs_tol=1e-6) for time in alone), alone
    longest = FAST.decode_token * (1 + FAST.batch_slope * (context.count - 1))
    assert isclose(max(crowded), longest, abs_tol=1e-6), (max(crowded), longest)
    # Each request takes at least the time of its tokens; a busy machine only adds to it.
    shortest = timedelta(seconds=40 * FAST.decode_token)
    assert min(service_times + crowded_times) >= shortest, (service_times, crowded_times)


@when("standins a prompt of 3 blocks is sent twice, then another, then the first again")
def cached_prompts(context):
    context.prefilled = []
    for number, letter in enumerate("aaba"):
        before = context.upstream.record.as_dict()["tokens_prefilled"]
        body = {"prompt": _blocks(3, letter) + "end!", "max_tokens": 1}
        assert send(context, context.upstream, number, body).is_ok()
        context.prefilled.append(context.upstream.record.as_dict()["tokens_prefilled"] - before)


@then("standins the prefilled tokens show one hit and one eviction")
def hit_and_eviction(context):
    whole = 3 * BLOCK_TOKENS + 1
    assert context.prefilled == [whole, 1, whole, whole], context.prefilled


@when("standins its prefix is exported to a second engine")
def export_prefix(context):
    prompt = _blocks(2, "k")
    body = {"prompt": prompt + "end!", "max_tokens": 1}
    assert send(context, context.upstream, 1, body).is_ok()
    context.other = enter(context, ModelEngine("other", timing=FAST))
    for prefix in prefix_hashes(prompt):
        held = urllib3.request("GET", f"{context.upstream.address}/kv/{prefix}").json()
        status = urllib3.request("POST", f"{context.other.address}/kv", json=held).status
        assert status == 200
    assert send(context, context.other, 2, body).is_ok()
    assert urllib3.request("GET", f"{context.upstream.address}/kv/1").status == 404


@then("standins the second engine prefills only the rest")
def only_rest(context):
    assert context.other.record.as_dict()["tokens_prefilled"] == 1


@when("standins a prompt of {count:d} blocks is sent")
def one_prompt(context, count):
    body = {"prompt": _blocks(count, "e"), "max_tokens": 1}
    assert send(context, context.upstream, 1, body).is_ok()


@then("standins no event is visible at first and {visible:d} of {count:d} after {late:d} s")
def late_events(context, visible, count, late):
    commands = UpstreamCommands(context.pools)
    known = commands.cache_events(context.upstream.address, 0).ok_value
    assert known == (), known
    context.clock.shift_s = float(late)
    known = commands.cache_events(context.upstream.address, 0).ok_value
    assert [event.sequence for event in known] == [n for n in range(1, count + 1) if n % 3]
    assert len(known) == visible


@when("standins a client leaves a stream of {tokens:d} tokens after {read:d}")
def leave_stream(context, tokens, read):
    sent = call(context.upstream, 1, {"prompt": "p", "max_tokens": tokens})
    with context.clients["openai-completions"].stream(sent) as opened:
        for number, _chunk in enumerate(opened.ok_value, start=1):
            if number == read:
                break


@then("standins fewer than {most:d} tokens are generated and the slot is free")
def stopped(context, most):
    wait_for(lambda: context.upstream.record.running == 0)
    assert context.upstream.record.tokens_generated < most
    assert send(context, context.upstream, 2, {"prompt": "p", "max_tokens": 1}).is_ok()


@when("standins {count:d} requests hang there")
def hanging(context, count):
    context.upstream.set_faults(hang=True)
    pool = ThreadPoolExecutor(count)
    context.add_cleanup(pool.shutdown)
    context.add_cleanup(context.upstream.set_faults)
    for number in range(count):
        pool.submit(send, context, context.upstream, number, {})
    wait_for(lambda: context.upstream.record.running == count)


@then("standins the load report shows {first:d} at first and {later:d} after {late:d} s")
def lagging_load(context, first, later, late):
    commands = UpstreamCommands(context.pools)
    assert commands.load(context.upstream.address).ok_value["running"] == first
    context.clock.shift_s = float(late)
    assert commands.load(context.upstream.address).ok_value["running"] == later


@when("standins {count:d} requests of {tokens:d} tokens arrive at once")
def arrive_at_once(context, count, tokens):
    context.upstream.set_faults(hang=True)
    body = {"prompt": "p" * BYTES_PER_TOKEN * 4, "max_tokens": tokens - 4}
    with ThreadPoolExecutor(count) as pool:
        for number in range(count):
            pool.submit(send, context, context.upstream, number, body)
        wait_for(lambda: context.upstream.record.running == count)
        context.upstream.set_faults()


@when("standins the concurrency is limited to {limit:d} with a grace of {grace:d} s")
def change_limit(context, limit, grace):
    change = {"concurrency": limit, "grace_s": grace}
    assert urllib3.request("POST", f"{context.upstream.address}/limits", json=change).status == 200


@then("standins the record shows a breach of {kind}: {breach}")
def breach(context, kind, breach):
    kinds = {violation.kind for violation in context.upstream.record.violations}
    assert kinds == ({kind} if breach == "yes" else set()), kinds


@when("standins the fault {fault} is posted and a request is sent")
def post_fault(context, fault):
    answer = urllib3.request("POST", f"{context.upstream.address}/faults", body=fault)
    known = "unknown" not in fault
    assert answer.status == (200 if known else 400), answer.status
    context.outcome = send(context, context.upstream, 1, {}, deadline=timedelta(milliseconds=400))


@then("standins the request {outcome}")
def request_outcome(context, outcome):
    executions = sum(context.upstream.record.executions.values())
    if outcome == "is answered":
        assert context.outcome.is_ok(), context.outcome
        assert executions == 1
        return
    expected = {
        "is refused": (FailureKind.REFUSED, 0),
        "breaks": (FailureKind.BROKEN, 0),
        "times out": (FailureKind.TIMED_OUT, executions),
        "fails after execution": (FailureKind.FAILED, 1),
    }[outcome]
    assert (context.outcome.err_value.kind, executions) == expected, context.outcome


@when("standins a stream of {tokens:d} tokens is broken off after {kept:d}")
def break_off(context, tokens, kept):
    context.upstream.set_faults(break_after=kept)
    sent = call(context.upstream, 1, {"prompt": "p", "max_tokens": tokens})
    context.chunks, context.broke = [], False
    with context.clients["openai-completions"].stream(sent) as opened:
        try:
            context.chunks.extend(opened.ok_value)
        except StreamBroken:
            context.broke = True


@then("standins exactly {kept:d} tokens arrived before it broke")
def tokens_before_break(context, kept):
    # list.extend keeps what was yielded before the exception.
    assert context.broke
    assert [chunk.offset for chunk in context.chunks] == list(range(kept))


@when("standins it is stopped gracefully while a request runs and another comes")
def stop_gracefully(context):
    service = context.upstream
    service.set_faults(hang=True)
    with ThreadPoolExecutor(2) as pool:
        running = pool.submit(send, context, service, 1, {})
        wait_for(lambda: service.record.running == 1)
        stopping = pool.submit(service.stop_gracefully)
        commands = UpstreamCommands(context.pools)
        wait_for(lambda: commands.drain_status(service.address).ok_value.draining)
        context.new = send(context, service, 2, {})
        service.set_faults()
        context.running = running.result()
        context.all_ended = stopping.result()


@then("standins the running one is answered and the new one is refused")
def answered_and_refused(context):
    assert context.running.is_ok(), context.running
    assert context.new.err_value.kind is FailureKind.REFUSED
    assert context.all_ended


@then("standins nothing was cut off")
def nothing_cut_off(context):
    assert context.upstream.record.cut_off == []


@when("standins it crashes while a request runs")
def crash(context):
    service = context.upstream
    service.set_faults(hang=True)
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(send, context, service, 1, {})
        wait_for(lambda: service.record.running == 1)
        service.set_faults(crash=True)
        context.outcome = running.result()
    wait_for(lambda: service.record.running == 0)


@then("standins the record names the cut-off request")
def names_cut_off(context):
    assert context.outcome.err_value.kind is FailureKind.BROKEN
    assert [ids.request for ids in context.upstream.record.cut_off] == ["r-1"]


@when("standins an order is sent twice and again after its withdrawal")
def repeat_order(context):
    for number in range(3):
        if number == 2:
            urllib3.request("POST", f"{context.upstream.address}/withdraw")
        sent = send(context, context.upstream, 1, {}, idempotency_key="k")
        assert sent.is_ok()


@then("standins the record at /record shows {executions:d} executions and {late:d} late arrival")
def repeated(context, executions, late):
    record = urllib3.request("GET", f"{context.upstream.address}/record").json()
    assert record["executions"] == [{"request": "r-1", "key": "k", "count": executions}]
    after = [one for one in record["arrivals"] if one["after_withdrawal"] is not None]
    assert len(after) == late
    assert context.upstream.repeated() == {("r-1", "k"): executions}


@when("standins each of them gets a request")
def one_each(context):
    context.outcomes = [send(context, service, 1, {}) for service in context.services]


@then("standins only that one refused and each record has one arrival")
def separate(context):
    refused = [number for number, outcome in enumerate(context.outcomes) if outcome.is_err()]
    assert refused == [3], refused
    assert all(len(service.record.arrivals) == 1 for service in context.services)
    ports = {service.address.split("/")[2] for service in context.services}
    assert len(ports) == 1


@when("standins the engine is told to load {count:d} models")
def load_models(context, count):
    commands = UpstreamCommands(context.pools)
    for number in range(count):
        target = Target(context.upstream.address, 1)
        assert commands.load_model(target, f"big-{number}", "1").is_ok()


@then("standins all {count:d} are loaded and the store had refused some requests")
def models_loaded(context, count):
    commands = UpstreamCommands(context.pools)

    def loaded():
        report = commands.models(context.upstream.address).ok_value["models"]
        return all(f"big-{number}" in report for number in range(count))

    wait_for(loaded)
    assert len(context.store.record.arrivals) > count
    assert threading.active_count() < 200
    assert msgspec.json.encode(context.store.record.as_dict())
