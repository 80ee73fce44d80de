"""Steps for the eras of the platform's store."""

import logging
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.exceptions import (
    PlatformRefused,
    PlatformUnavailable,
    WatchCompacted,
)
from chervilrack._internal.kvstore.eras import OlderEra, StoreEras
from chervilrack._internal.kvstore.memory import MemoryPlatform
from chervilrack._internal.kvstore.port import Put
from chervilrack.platform.emulated.standins import StoreStandIn
from chervilrack.platform.store import PlatformStore

SECOND = timedelta(seconds=1)


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


def start_eras(context, seen):
    context.events = []
    context.eras = StoreEras()
    context.eras.observe(str(seen) if seen else None, 0, timedelta(0))
    context.eras.on_event = lambda event: context.events.append(event.value)


def observe(context, stated, begun, now):
    try:
        context.era = context.eras.observe(stated, begun, now)
    except OlderEra:
        context.era = None


@when(
    "a node that has seen era {seen:d} gets an answer that states {stated} to a call of era "
    "{begun:d}"
)
def get_answer(context, seen, stated, begun):
    start_eras(context, seen)
    observe(context, None if stated == "nothing" else stated, begun, SECOND)


@when("a node that has seen era {seen:d} gets answers of era {stated} for {seconds:d} s")
def get_answers(context, seen, stated, seconds):
    start_eras(context, seen)
    context.handler = _Lines()
    logger = logging.getLogger("chervilrack._internal.kvstore.eras")
    logger.addHandler(context.handler)
    context.add_cleanup(logger.removeHandler, context.handler)
    for tenths in range(seconds * 10 + 1):
        observe(context, stated, seen, tenths * SECOND / 10)
        assert (context.era is None) == (tenths < seconds * 10), tenths


@then("the answer is of era {era:d}")
def check_era(context, era):
    assert context.era == era, context.era
    assert context.eras.current == era


@then("the answer is dropped")
def check_dropped(context):
    assert context.era is None


@then("the node has counted {events}")
def check_events(context, events):
    assert context.events == ([] if events == "nothing" else events.split(", ")), context.events


@then("each kind of odd era is logged once")
def check_lines(context):
    odd = [line for line in context.handler.lines if "odd era" in line]
    assert odd == ["store: odd era: fell from 3 to 2"], odd


class ReturningStore(StoreStandIn):
    """Store that returns from its copy after some listing calls; ``changes`` follow the return."""

    def __init__(self):
        super().__init__()
        self.pages_until_return = ()
        self.pages = 0

    def _range(self, request, query):
        self.pages += 1
        if self.pages in self.pages_until_return:
            self.return_from_copy()
        super()._range(request, query)


def register(store, names):
    for name in names:
        store.put(f"servers/{name}", {"name": name})


@given("a store in era 1 with 5 upstreams, of which a copy is kept")
def start_store(context):
    context.store = store = ReturningStore()
    store.__enter__()
    context.add_cleanup(store.__exit__)
    store.era = "1"
    register(store, ("a", "b", "c", "d", "e"))
    store.keep_copy()
    context.client = PlatformStore(store.address)


@when("3 upstreams register, and the store returns {when}")
def return_store(context, when):
    store, client = context.store, context.client
    register(store, ("b1", "b2", "f"))
    context.error = context.listing = None
    try:
        match when:
            case "between two pages":
                store.pages_until_return = (2,)
                context.listing = client.range("")
            case "during each of its listings":
                store.pages_until_return = range(2, 20)
                context.listing = client.range("")
            case "between a grant and a write":
                lease = client.lease_grant(5 * SECOND)
                store.return_from_copy()
                client.txn((), (Put("nodes/a", b"{}", lease),))
            case "with a watch of era 3":
                store.return_from_copy()
                with client.watch("", 2, 3) as batches:
                    next(batches)
            case _:
                listing = client.range("")
                with client.watch("", listing.revision + 1, listing.era) as batches:
                    store.return_from_copy()
                    register(store, [f"g{n}" for n in range(9 if "9 register" in when else 0)])
                    next(batches)
    except Exception as error:
        context.error = error


@then("the client lists what the copy has, at an era of 2")
def check_listing(context):
    assert context.error is None, context.error
    keys = [item.key for item in context.listing.items]
    assert keys == [f"servers/{name}" for name in "abcde"], keys
    assert (context.listing.era, context.listing.revision) == (2, 6), context.listing


@then("the client has no listing")
@then("the client drops the answer")
def check_unavailable(context):
    assert isinstance(context.error, PlatformUnavailable), context.error


@then("the client has to list again")
def check_compacted(context):
    assert isinstance(context.error, WatchCompacted), context.error


@then("the client is told that the lease has expired")
def check_refused(context):
    assert isinstance(context.error, PlatformRefused), context.error
    assert context.client.eras.current == 2


@given("a store in memory of which a copy is kept")
def start_memory(context):
    context.platform = MemoryPlatform(ManualClock(), SECOND / 20)
    context.platform.txn((), (Put("a", b"1"),))
    context.platform.keep_copy()


@when("a key is written under a lease, and the store in memory returns")
def return_memory(context):
    platform = context.platform
    context.lease = platform.lease_grant(10 * SECOND)
    context.written = platform.txn((), (Put("b", b"2", context.lease),))
    platform.return_from_copy()


@then("the key is gone, in era 1")
def check_gone(context):
    listing = context.platform.range("")
    assert [item.key for item in listing.items] == ["a"], listing
    assert listing.era == 1
    assert listing.revision < context.written.revision


@then("the next write has the same revision")
def check_revision(context):
    result = context.platform.txn((), (Put("c", b"3"),))
    assert (result.revision, result.era) == (context.written.revision, 1), result


@then("the next lease has the same number")
def check_lease(context):
    assert context.platform.lease_keepalive(context.lease) == timedelta(0)
    assert context.platform.lease_grant(10 * SECOND) == context.lease


@then("a watch from the lost revision is compacted")
def check_lost_watch(context):
    check_watch_compacted(context, context.written.revision + 1, None)


@then("a watch of era 0 is compacted")
def check_old_watch(context):
    check_watch_compacted(context, 2, 0)


def check_watch_compacted(context, revision, era):
    try:
        with context.platform.watch("", revision, era) as batches:
            next(batches)
    except WatchCompacted:
        return
    raise AssertionError("the watch went on")
