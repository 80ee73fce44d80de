"""Steps for long-lived threads whose work raises exceptions."""

import contextlib
import io
import json
import random
import socket
import threading
import time
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

import msgspec
from behave import given, then, when

from chervilrack._internal.common.clock import ManualClock, SystemClock
from chervilrack._internal.common.ids import NodeId, ZoneId
from chervilrack._internal.common.supervision import FAILURES
from chervilrack._internal.execution.ticker import Ticker
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
from chervilrack._internal.kvstore.port import WatchBatch
from chervilrack._internal.node import platform_worker
from chervilrack._internal.node.periodic import PeriodicAction
from chervilrack._internal.node.platform_worker import PlatformWorker
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.peering.envelope import MessageCodec
from chervilrack._internal.peering.transport import PeerTransport
from chervilrack._internal.serving.directory import StoreDirectory
from chervilrack._internal.serving.node import ServingNode
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack._internal.serving.stage_coordinator import StageCoordinator
from chervilrack._internal.serving.store_relay import StoreRelay
from chervilrack._internal.serving.timers import TimerThread
from chervilrack.platform.emulated.standins import free_ports
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.run import SCHEMA

LIMIT_S = 20.0  # only bounds a failing run
TIMES = 2
LOOPBACK = "tcp://127.0.0.1:*"
CASES = {}


class Hello(msgspec.Struct):
    """Message that the tests send."""

    text: str


class Failing:
    """Callable that raises ``error`` the first ``times`` times, and then calls ``function``."""

    def __init__(self, function, error=RecursionError, times=TIMES):
        self._function = function
        self._error = error
        self.left = times

    def __call__(self, *arguments):
        if self.left:
            self.left -= 1
            raise self._error("odd")
        return self._function(*arguments)


def case(thread, *what):
    def register(function):
        for text in what:
            CASES[(thread, text)] = function
        return function

    return register


def wait_for(condition):
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def failing_if(condition, function):
    return Failing(function) if condition else function


@case("timers", "the next due time", "a tick", "the report of a pause")
def run_timers(stack, what, done):
    clock = SystemClock()
    lock = threading.RLock()
    next_time = failing_if(what == "the next due time", clock.monotonic)
    tick = failing_if(what == "a tick", lambda now: done.set())
    pause = Failing(lambda duration: None)
    timers = TimerThread(clock, lock, next_time, (tick,), pause)
    if what == "the report of a pause":
        done_set, done.set = done.set, lambda: None if pause.left else done_set()
        real = clock.monotonic
        skipped = iter(range(1, 1_000_000))
        clock.monotonic = lambda: real() + timedelta(seconds=next(skipped))
    stack.enter_context(timers)


@case("ticker", "a tick", "the test for idleness")
def run_ticker(stack, what, done):
    tick = failing_if(what == "a tick", done.set)
    idle = failing_if(what == "the test for idleness", lambda: False)
    if what == "the test for idleness":
        done_set, done.set = done.set, lambda: None if idle.left else done_set()
        tick = lambda: done.set()  # noqa: E731, PLW0108 - the method is replaced above
    stack.enter_context(Ticker(tick, idle))


@case("beat", "a periodic action", "the report of a delay")
def run_periodic(stack, what, done):
    action = failing_if(what == "a periodic action", done.set)
    observe = failing_if(what == "the report of a delay", lambda delay: None)
    if what == "the report of a delay":
        # The action runs also when the report raises.
        action = lambda: done.set() if observe.left else None  # noqa: E731
    stack.enter_context(PeriodicAction("beat", timedelta(milliseconds=10), action, observe))


@case("callers", "the callback of another caller")
def run_callers(stack, _, done):
    watch = CallerWatch()
    pairs = [socket.socketpair() for _ in range(TIMES + 1)]
    # The last caller leaves with the others, so that one call of epoll reports them all.
    callbacks = [Failing(lambda: None, times=1) for _ in range(TIMES)] + [done.set]
    for (near, far), callback in zip(pairs, callbacks, strict=True):
        stack.callback(near.close)
        stack.enter_context(watch.watching(near, callback))
        far.close()
    watch.__enter__()
    # Before the connections are closed.
    stack.push(watch)


@case("refuser", "a connection", "the end of a connection")
def run_refuser(stack, what, done):
    (port,) = free_ports(1)
    settings = ListenSettings("127.0.0.1", port)
    server = PassThroughServer(settings, lambda *_: None, SystemClock())
    stack.enter_context(server)
    for number in range(TIMES + 1):
        is_last = number == TIMES
        communicate = done.set if is_last else failing_if(what == "a connection", lambda: False)
        close = failing_if(not is_last and what == "the end of a connection", lambda: None)
        connection = SimpleNamespace(communicate=communicate, close=close)
        server._server._overdue.put(connection)


def create_transport(name, handler):
    codec = MessageCodec()
    codec.register("test.hello", Hello)
    return PeerTransport(name, "1", LOOPBACK, codec, handler)


@case(
    "peering",
    "a peer's address",
    "the frame of a message",
    "the handler of a message",
    "the poller",
)
def run_peering(stack, what, done):
    handler = failing_if(what == "the handler of a message", lambda envelope: done.set())
    receiver = create_transport("b", handler)
    sender = create_transport("a", handler)
    if what == "the frame of a message":
        receiver._codec.decode = Failing(receiver._codec.decode)
    if what == "a peer's address":
        sender._linked_socket = Failing(sender._linked_socket, ValueError)
    if what == "the poller":
        receiver._poll_timeout_ms = Failing(receiver._poll_timeout_ms)
    stack.enter_context(receiver)
    stack.enter_context(sender)
    for _ in range(TIMES + 1):
        sender.send_to_address(receiver.address, Hello("x"))


@case("decisions", "a line")
def run_decisions(stack, _, done):
    stream = io.StringIO()
    stream.write = Failing(lambda text: done.set())
    log = stack.enter_context(DecisionLog("n", stream))
    stop = threading.Event()

    def write():
        while not done.is_set() and not stop.wait(0.05):
            log.note("test", "line")

    thread = threading.Thread(target=write)
    thread.start()
    stack.callback(thread.join)
    stack.callback(stop.set)


class FakeService:
    def __init__(self, list_vms):
        self.list_vms = list_vms

    @contextlib.contextmanager
    def watch(self, prefix, revision):
        yield iter([WatchBatch((), 1)])


@case("vm-list", "the list of VMs", "the handler of the list")
def run_vm_list(stack, what, done):
    stack.enter_context(mock.patch.object(platform_worker, "VM_LIST_INTERVAL_S", 0.01))
    vms = SimpleNamespace(gone=frozenset())
    service = FakeService(failing_if(what == "the list of VMs", lambda: vms))
    handler = failing_if(what == "the handler of the list", lambda gone: done.set())
    worker = PlatformWorker(service, lambda reachable: None, random.Random(1))
    stack.enter_context(worker)
    worker.poll_vms(handler, lambda: True)


@case("watch-a/", "the need for a watch", "the handler of changes")
def run_watch(stack, what, done):
    need = failing_if(what == "the need for a watch", lambda: True)
    handler = failing_if(what == "the handler of changes", lambda changes: done.set())
    worker = PlatformWorker(FakeService(None), lambda reachable: None, random.Random(1))
    stack.enter_context(worker)
    worker.maintain_watch("a/", lambda service: 1, handler, need)


@given('the thread "{thread}", of which {what} raises an exception at first')
def start_thread(context, thread, what):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.done = threading.Event()
    context.count_before = FAILURES.counts.get(thread, 0)
    CASES[(thread, what)](stack, what, context.done)


@then('the thread "{thread}" does its work afterwards')
def check_goes_on(context, thread):
    assert context.done.wait(LIMIT_S)


@then('each exception of the thread "{thread}" is counted')
def check_counted(context, thread):
    wait_for(lambda: FAILURES.counts.get(thread, 0) == context.count_before + TIMES)


TIMERS = {
    "the heartbeat": (PeerTransport, "send_to_addresses"),
    "the fleet": (Fleet, "tick"),
    "the expiry": (StoreDirectory, "expire_upstreams"),
    "the queues": (StageCoordinator, "tick"),
    "the change feed": (StoreRelay, "tick"),
}


@given("the timers of a serving node, of which {what} raises an exception each time")
def create_node(context, what):
    context.clock = ManualClock()
    address = Address("127.0.0.1", 1)
    settings = ServingSettings(NodeId("n1"), ZoneId("z1"), address, address, address, address)
    log = DecisionLog("n1", io.StringIO())
    context.calls = Counter()
    context.raising = what
    for name, (part, method) in TIMERS.items():
        patch = mock.patch.object(part, method, count_calls(context, name))
        patch.start()
        context.add_cleanup(patch.stop)
    context.node = ServingNode(settings, PlatformDialect(), SCHEMA, None, context.clock, log)


def count_calls(context, name):
    def call(*_):
        context.calls[name] += 1
        if name == context.raising:
            raise RecursionError("odd")
        return []

    return call


@when("the timers are due {times:d} times")
def run_timers_of_node(context, times):
    for _ in range(times):
        context.clock.advance(context.node._next_heartbeat - context.clock.monotonic())
        context.node._timers.run_due(context.clock.monotonic())


@then("all other timers ran {times:d} times")
def check_timers(context, times):
    assert context.calls == dict.fromkeys(TIMERS, times), context.calls


@then("the timers were due again after the usual time")
def check_next_heartbeat(context):
    wait = context.node._next_heartbeat - context.clock.monotonic()
    assert wait == context.node._fleet.heartbeat_interval, wait


@when("a decision log gets 3 lines, of which the second cannot be encoded")
def write_odd_line(context):
    context.stream = io.StringIO()
    with DecisionLog("n", context.stream) as log:
        log.note("test", "one", value=1)
        log.note("test", "two", value="\ud800")
        log.note("test", "three", value=3)


@then("the first and the third are written, and one is counted as dropped")
def check_lines(context):
    lines = [json.loads(line) for line in context.stream.getvalue().splitlines()]
    assert [line["event"] for line in lines] == ["one", "three", "dropped"], lines
    assert lines[-1]["lines"] == {"test.two": 1}, lines
