"""Steps for the synchronisation with the platform's store."""

import builtins
import json
import random
import threading
import time
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.changefeed.limits import ApplyLimits
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.positions import ORIGIN, StorePosition
from chervilrack._internal.exceptions import PlatformUnavailable
from chervilrack._internal.kvstore.port import Put
from chervilrack._internal.serving.store_sync import StoreSync
from chervilrack._internal.soak.proxy import LinkProxy
from chervilrack.platform.emulated.standins import StoreStandIn
from chervilrack.platform.store import PlatformStore

LIMIT_S = 10.0
WATCH_CALL = "GET /api/kv-watch"


class Listener:
    def __init__(self, watching_nodes):
        self.watching_nodes = watching_nodes
        self.position = ORIGIN
        self.is_fed = threading.Event()
        self.received_at = {}
        self.has_listed = threading.Event()

    def registration(self):
        return "nodes/a", b"{}"

    def must_watch(self):
        return not self.is_fed.is_set()

    def must_list(self):
        return False

    def wait_for_feed(self):
        time.sleep(0.01)

    def on_listing(self, items, revision, era):
        self.position = StorePosition(era, revision)
        self.received_at |= {item.key: time.monotonic() for item in items}
        self.has_listed.set()

    def on_changes(self, changes, revision, era):
        self.position = StorePosition(era, revision)
        self.received_at |= {change.item.key: time.monotonic() for change in changes}

    def on_available(self):
        pass

    def on_unavailable(self, reason):
        pass


def wait_for(condition):
    end = time.monotonic() + LIMIT_S
    while not condition() and time.monotonic() < end:
        time.sleep(0.005)
    assert condition()


class RefusingStore(StoreStandIn):
    """Store that answers the first transaction with a status, without doing anything."""

    def __init__(self, status):
        super().__init__()
        self._status = status

    def _txn(self, request, body):
        if self._status is None:
            super()._txn(request, body)
        else:
            status, self._status = self._status, None
            request.answer(status, {})


class Connections(LinkProxy):
    """Link to the store that counts its connections."""

    count = 0

    def _connect(self, client):
        self.count += 1
        super()._connect(client)


@given("a client of the store with two connections")
def connect_twice(context):
    context.store = StoreStandIn()
    context.store.__enter__()
    context.add_cleanup(context.store.__exit__)
    host, _, port = context.store.address.rpartition(":")
    context.link = Connections(("127.0.0.1", 0), (host, int(port)))
    context.link.__enter__()
    context.add_cleanup(context.link.__exit__, None, None, None)
    context.clock = ManualClock()
    limits = ApplyLimits(timedelta(seconds=1))
    context.client = PlatformStore(context.link.address, limits, context.clock)
    context.lease = context.client.lease_grant(timedelta(seconds=10))
    context.revision = context.client.range("").revision
    # One call waits, and the other one needs a second connection meanwhile.
    waiting = threading.Thread(target=watch_once, args=(context,))
    waiting.start()
    wait_for(lambda: context.store.calls[WATCH_CALL] == 1)
    context.client.range("")
    context.store.put("nodes/n0", {})
    waiting.join(LIMIT_S)
    context.revision = context.client.range("").revision
    assert context.link.count == 2, context.link.count


def watch_once(context):
    with context.client.watch("", context.revision + 1) as batches:
        return next(batches)


@given("a client of the store with two connections, which fall silent")
def silence_both(context):
    connect_twice(context)
    context.link.silence_open()


@when("its watch call has failed, and a key is written")
def fail_watch(context):
    try:
        watch_once(context)
    except PlatformUnavailable:
        context.clock.advance(timedelta(seconds=0.9))
    else:
        raise AssertionError("the watch was answered")
    context.store.put("nodes/n1", {})


@when("both have been idle for {seconds:g} s, and a key is written")
def rest(context, seconds):
    context.clock.advance(timedelta(seconds=seconds))
    context.store.put("nodes/n1", {})


@then("a listing has its answer at the first attempt")
def check_listing(context):
    assert "nodes/n1" in {item.key for item in context.client.range("").items}


@then("a watch has its answer at the first attempt")
def check_watch(context):
    assert [change.item.key for change in watch_once(context).changes] == ["nodes/n1"]


@then("the lease of a node has its answer at the first attempt")
def check_lease(context):
    assert context.client.lease_keepalive(context.lease) > timedelta(0)


@then("a registration has its answer at the first attempt")
def check_registration(context):
    assert context.client.txn((), (Put("nodes/a", b"{}", context.lease),)).succeeded


@then("a listing is made on an open one")
def check_open_one(context):
    check_listing(context)
    assert context.link.count == 2, context.link.count


@then("a listing is made on a new one")
def check_new_one(context):
    check_listing(context)
    assert context.link.count == 3, context.link.count


def run_sync(context):
    client = PlatformStore(context.store.address)
    listener = context.listener
    sync = StoreSync(client, listener, listener.registration, random.Random(1))
    sync.__enter__()
    context.add_cleanup(sync.__exit__, None, None, None)


@given("a store that answers the first registration of a node with status {status:d}")
def start_refusing_store(context, status):
    context.store, context.listener = RefusingStore(status), Listener(7)
    context.store.__enter__()
    context.add_cleanup(context.store.__exit__)
    run_sync(context)


@then("the node is registered")
def check_registered(context):
    wait_for(lambda: "nodes/a" in context.listener.received_at)


@given("a store that a node of a fleet of {nodes:d} watches")
def start_sync(context, nodes):
    store = StoreStandIn()
    store.__enter__()
    context.add_cleanup(store.__exit__)
    context.store, context.listener = store, Listener(nodes)
    run_sync(context)
    assert context.listener.has_listed.wait(LIMIT_S)
    wait_for(lambda: "nodes/a" in context.listener.received_at)
    # Wait until the delay that the node's own registration causes is over.
    time.sleep(0.5)
    context.store.calls.clear()


@when("60 changes are made within about 0.6 s")
def make_many_changes(context):
    context.began = time.monotonic()
    for number in range(60):
        context.store.put(f"nodes/n{number}", {})
        time.sleep(0.01)


@when("a change is made")
def make_one_change(context):
    context.changed_at = time.monotonic()
    context.store.put("nodes/n0", {})


@then("the node receives all 60 changes")
def check_all_received(context):
    wait_for(
        lambda: all(f"nodes/n{number}" in context.listener.received_at for number in range(60))
    )


@then("it has called the store at most once in {delay:g} s")
def check_call_count(context, delay):
    calls = context.store.calls[WATCH_CALL]
    # One call is open when the changes begin, and one after the last change.
    assert calls <= (time.monotonic() - context.began) / delay + 2, calls


@then("the node receives it within {seconds:g} s")
def check_received_soon(context, seconds):
    wait_for(lambda: "nodes/n0" in context.listener.received_at)
    took = context.listener.received_at["nodes/n0"] - context.changed_at
    assert took <= seconds, took


@when("other nodes pass the changes on to the node for {seconds:g} s")
def be_fed(context, seconds):
    context.listener.is_fed.set()
    # The open watch call ends after 1.4 s.
    time.sleep(1.6)
    context.store.calls.clear()
    for number in range(3):
        context.store.put(f"nodes/n{number}", {})
        time.sleep(seconds / 3)


@then("the node makes no watch call")
def check_no_watch_calls(context):
    assert context.store.calls[WATCH_CALL] == 0, context.store.calls


@when("no other node passes changes on any more")
def end_feed(context):
    context.listener.is_fed.clear()


@then("the node receives the changes that it missed")
def check_missed_changes(context):
    wait_for(lambda: all(f"nodes/n{n}" in context.listener.received_at for n in range(3)))
    assert context.store.calls["GET /api/kv-range"] == 0, context.store.calls


class RaisingListener(Listener):
    """Listener whose method ``method`` raises ``error`` the first ``times`` times."""

    def __init__(self, method, error, times):
        super().__init__(7)
        handle, self.left = getattr(self, method), times

        def raise_or_handle(*arguments):
            if self.left:
                self.left -= 1
                raise error("an odd entry")
            return handle(*arguments)

        setattr(self, method, raise_or_handle)


METHODS = {
    "a listing": "on_listing",
    "a change": "on_changes",
    "an answer": "on_available",
    "a duty": "must_watch",
    "a feed": "wait_for_feed",
    "an outage": "on_unavailable",
    "registration": "registration",
}


@given("a store that a node watches whose handling of {what} raises {error} {times:d} times")
def start_raising_sync(context, what, error, times):
    store = StoreStandIn() if what != "an outage" else FailingStore(times)
    store.__enter__()
    context.add_cleanup(store.__exit__)
    listener = RaisingListener(METHODS[what], getattr(builtins, error), times)
    context.store, context.listener = store, listener
    if what == "a feed":
        listener.is_fed.set()
    run_sync(context)
    end = time.monotonic() + LIMIT_S
    while what == "a change" and listener.left and time.monotonic() < end:
        store.put("nodes/odd", {})
        time.sleep(0.05)
    wait_for(lambda: not listener.left)
    listener.is_fed.clear()


@then("the node receives a change that is made after it")
def check_later_change(context):
    context.store.put("nodes/later", {})
    wait_for(lambda: "nodes/later" in context.listener.received_at)
    wait_for(lambda: "nodes/a" in context.listener.received_at)


class FailingStore(StoreStandIn):
    """Store that answers the first listings with status 503."""

    def __init__(self, times):
        super().__init__()
        self._failures = times

    def _range(self, request, query):
        if self._failures:
            self._failures -= 1
            request.answer(503, {})
        else:
            super()._range(request, query)


class LaggingListener(Listener):
    """Learns of ``large_revision``, whose change the feed has left out for its size."""

    def __init__(self):
        super().__init__(1)
        self.large_revision = 0
        self.read = []

    def must_watch(self):
        return self.position.revision < self.large_revision or not self.has_listed.is_set()

    def must_list(self):
        return self.position.revision < self.large_revision

    def on_listing(self, items, revision, era):
        self.read += [item.value for item in items if item.key == "op/config"]
        super().on_listing(items, revision, era)

    def on_changes(self, changes, revision, era):
        self.read += [change.item.value for change in changes]
        super().on_changes(changes, revision, era)


@given("a node that follows a store without its large changes")
def follow_store(context):
    context.store, context.listener = StoreStandIn(), LaggingListener()
    context.store.__enter__()
    context.add_cleanup(context.store.__exit__)
    run_sync(context)
    wait_for(context.listener.has_listed.is_set)
    wait_for(lambda: context.store.calls["POST /api/kv-txn"] == 1)


@when("the configuration is written {count:d} times before the node learns of it")
def write_configurations(context, count):
    for number in range(count):
        context.store.put("op/config", {"version": number})
    context.listener.large_revision = 1 + count


@then("it reads the configuration once")
def check_read_once(context):
    wait_for(lambda: context.listener.read)
    time.sleep(0.05)
    assert len(context.listener.read) == 1, context.listener.read
    assert json.loads(context.listener.read[0])["version"] == 4, context.listener.read
