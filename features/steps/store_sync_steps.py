"""Steps for following the platform's store."""

import random
import threading
import time

from behave import given, then, when

from chervilrack._internal.serving.store_sync import StoreSync
from chervilrack.platform.emulated.standins import StoreStandIn
from chervilrack.platform.store import PlatformStore

LIMIT_S = 10.0
WATCH = "GET /api/kv-watch"


class Listener:
    def __init__(self, fleet_size):
        self.fleet_size = fleet_size
        self.known = {}
        self.has_listed = threading.Event()

    def listed(self, items, revision):
        self.known |= {item.key: time.monotonic() for item in items}
        self.has_listed.set()

    def changed(self, changes, revision):
        self.known |= {change.item.key: time.monotonic() for change in changes}

    def answered(self):
        pass

    def silent(self, reason):
        pass


def wait_for(condition):
    end = time.monotonic() + LIMIT_S
    while not condition() and time.monotonic() < end:
        time.sleep(0.005)
    assert condition()


@given("a store that a node of a fleet of {nodes:d} follows")
def follow(context, nodes):
    store = StoreStandIn()
    store.__enter__()
    context.add_cleanup(store.__exit__)
    context.store, context.listener = store, Listener(nodes)
    client = PlatformStore(store.address)
    sync = StoreSync(client, context.listener, lambda: ("nodes/a", b"{}"), random.Random(1))
    sync.__enter__()
    context.add_cleanup(sync.__exit__, None, None, None)
    assert context.listener.has_listed.wait(LIMIT_S)
    wait_for(lambda: "nodes/a" in context.listener.known)
    # What the registration itself made the node wait is over.
    time.sleep(0.5)
    context.store.calls.clear()


@when("60 changes are made within about 0.6 s")
def many(context):
    context.began = time.monotonic()
    for number in range(60):
        context.store.put(f"nodes/n{number}", {})
        time.sleep(0.01)


@when("a change is made")
def one(context):
    context.changed_at = time.monotonic()
    context.store.put("nodes/n0", {})


@then("the node knows all 60 changes")
def knows_all(context):
    wait_for(lambda: all(f"nodes/n{number}" in context.listener.known for number in range(60)))


@then("it has asked at most once in {pause:g} s for them")
def few_calls(context, pause):
    calls = context.store.calls[WATCH]
    # One call waits when the changes begin, and one when all are known.
    assert calls <= (time.monotonic() - context.began) / pause + 2, calls


@then("the node knows it within {seconds:g} s")
def knows_soon(context, seconds):
    wait_for(lambda: "nodes/n0" in context.listener.known)
    took = context.listener.known["nodes/n0"] - context.changed_at
    assert took <= seconds, took
