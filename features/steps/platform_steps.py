"""Steps for the adapters of the platform service and for its stand-in."""

import socket
import tempfile
from contextlib import ExitStack
from datetime import timedelta
from ipaddress import ip_address
from pathlib import Path

import urllib3
from behave import given, then, when
from features.support.certificates import write_certificate

from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.exceptions import PlatformError, PlatformUnavailable, WatchCompacted
from chervilrack._internal.kvstore.etcd import EtcdPlatform
from chervilrack._internal.kvstore.memory import MemoryPlatform
from chervilrack._internal.kvstore.port import Compare, Put, VmList
from chervilrack._internal.kvstore.registry import PlatformSettings, open_platform
from chervilrack._internal.standins.platform import PlatformStandIn, VmState

SECOND = timedelta(seconds=1)
LOOPBACK = ip_address("127.0.0.1")


def _enter_context(context, manager):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    return stack.enter_context(manager)


def _client(context, **settings):
    return EtcdPlatform(PlatformSettings(endpoints=(context.standin.address,), **settings))


@given("the platform adapter {adapter}")
def platform_adapter(context, adapter):
    context.outcomes = []
    context.standin = None
    if adapter == "memory":
        context.platform = context.faults = MemoryPlatform(watch_idle=SECOND / 20)
    elif adapter == "etcd":
        context.standin = context.faults = _enter_context(context, PlatformStandIn())
        context.platform = _client(context)
    else:
        context.platform = EtcdPlatform(PlatformSettings(endpoints=(_refusing_address(),)))


def _refusing_address():
    with socket.socket() as free_socket:
        free_socket.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{free_socket.getsockname()[1]}"


@given("an etcd platform adapter behind an endpoint that refuses connections")
def adapter_with_two_endpoints(context):
    platform_adapter(context, "etcd")
    endpoints = (_refusing_address(), context.standin.address)
    context.platform = EtcdPlatform(PlatformSettings(endpoints=endpoints))


@given("an etcd platform adapter that reconnects watches for {duration:d} ms")
def adapter_that_reconnects(context, duration):
    platform_adapter(context, "etcd")
    context.platform = _client(context, watch_reconnect=duration * SECOND / 1000)


@then("the platform watch resumes")
def watch_resumes(context):
    while context.standin.open_watches == 0:
        next(context.batches)
    context.platform.txn([], [Put("a/1", b"")])
    watch_delivers(context, "a/1")


@then("the platform watch raises PlatformUnavailable")
def watch_raises(context):
    try:
        while next(context.batches) is None:
            pass
    except PlatformUnavailable:
        return
    raise AssertionError("the watch delivered changes in an outage")


@given("a platform stand-in with a self-signed certificate")
def standin_with_certificate(context):
    folder = Path(_enter_context(context, tempfile.TemporaryDirectory()))
    context.certificate, key_file = write_certificate(folder, "stand-in")
    standin = PlatformStandIn(tls=(str(context.certificate), str(key_file)))
    context.standin = _enter_context(context, standin)
    context.outcomes = []


def _record_outcome(context, call):
    try:
        context.outcomes.append("succeeded" if call().succeeded else "failed")
    except PlatformError as error:
        context.outcomes.append(type(error).__name__)


@when('the platform key "{key}" is written as "{value}" if it is at revision {revision:d}')
def write_key(context, key, value, revision):
    puts = [Put(key, value.encode())]
    _record_outcome(context, lambda: context.platform.txn([Compare(key, revision)], puts))


@then('the platform key "{key}" holds "{value}"')
def key_holds(context, key, value):
    assert context.platform.get(key).value == value.encode()


@then('the platform key "{key}" is absent')
def key_absent(context, key):
    assert context.platform.get(key) is None


@then("the platform outcomes are {outcomes}")
def outcomes_are(context, outcomes):
    assert context.outcomes == outcomes.split(", "), context.outcomes


@when("the platform keys {keys} are written")
def write_keys(context, keys):
    for key in keys.split(","):
        context.platform.txn([], [Put(key, key.encode())])


@then('the platform range of "{prefix}" is {found}')
def range_is(context, prefix, found):
    keys = [item.key for item in context.platform.range(prefix).items]
    assert keys == found.split(","), keys


@then('the platform range of "" is {found}')
def whole_range_is(context, found):
    range_is(context, "", found)


@when("the platform loses the response of the next write")
def lose_response(context):
    context.faults.lose_responses(1)


@when("the platform is unavailable")
def unavailable(context):
    if context.standin is not None:
        context.standin.make_unavailable(60 * SECOND)
    elif isinstance(context.platform, MemoryPlatform):
        context.platform.set_available(False)


@when('the platform watch of "{prefix}" is opened')
def open_watch(context, prefix):
    context.watch_prefix = prefix
    context.seen = []
    context.batches = _enter_context(context, context.platform.watch(prefix, 1))


def _collect(batches, seen, count):
    """Append the changed keys to ``seen`` until there are ``count`` and the watch is idle.

    Waiting for the idle watch reveals changes that are delivered more than once.
    """
    idle = 0
    while idle < 1:
        batch = next(batches)
        if batch is not None:
            seen += [change.item.key for change in batch.changes]
        elif len(seen) >= count:
            idle += 1


@when("the platform watch connections are broken and the watch is resumed")
def break_and_resume(context):
    _collect(context.batches, context.seen, 2)
    context.faults.break_watches()
    if context.standin is None:
        # The in-memory adapter does not reconnect, so the watch is opened again here.
        try:
            next(context.batches)
            raise AssertionError("the watch did not break")
        except PlatformUnavailable:
            pass
        revision = context.platform.range("").revision
        context.batches = _enter_context(
            context, context.platform.watch(context.watch_prefix, revision + 1)
        )


@then("the platform watch delivers {keys} and no more")
def watch_delivers(context, keys):
    expected = keys.split(",")
    _collect(context.batches, context.seen, len(expected))
    assert context.seen == expected, context.seen


@when("the platform history is compacted")
def compact(context):
    context.faults.compact()


@then('the platform watch of "{prefix}" from revision {revision:d} raises WatchCompacted')
def watch_compacted(context, prefix, revision):
    with context.platform.watch(prefix, revision) as batches:
        try:
            while next(batches) is None:
                pass
        except WatchCompacted:
            return
    raise AssertionError("the watch delivered changes that are compacted")


@when('the platform key "{key}" is written under a lease of {seconds:d} s')
def write_under_lease(context, key, seconds):
    context.lease = context.platform.lease_grant(seconds * SECOND)
    context.platform.txn([], [Put(key, b"held", context.lease)])


@then("the platform lease has {seconds:d} s left")
def lease_left(context, seconds):
    assert context.platform.lease_keepalive(context.lease) == seconds * SECOND


@when("the platform leases expire")
def expire_leases(context):
    context.faults.expire_leases()


@when("a platform transaction has {writes:d} writes of {size:d} bytes")
def many_writes(context, writes, size):
    puts = [Put(f"k/{number}", bytes(size)) for number in range(writes)]
    _record_outcome(context, lambda: context.platform.txn([], puts))


@then('the platform registry opens "{name}" as {kind}')
def registry_opens(context, name, kind):
    platform = open_platform(PlatformSettings(adapter=name, endpoints=("http://127.0.0.1:9",)))
    assert type(platform).__name__ == kind


@given("a platform stand-in with {limit:d} {kind} per second and a stopped clock")
def standin_with_rate(context, limit, kind):
    rates = {"reads_per_s": 500, "writes_per_s": 500, f"{kind}_per_s": limit}
    context.clock = ManualClock()
    context.standin = _enter_context(context, PlatformStandIn(clock=context.clock, **rates))
    context.platform = _client(context)
    context.outcomes = []


def _make_calls(context, kind, calls):
    outcomes = []
    for _ in range(calls):
        try:
            if kind == "reads":
                context.platform.get("a")
            else:
                context.platform.txn([], [Put("a", b"")])
            outcomes.append("accepted")
        except PlatformError as error:
            outcomes.append(type(error).__name__)
    return outcomes


@when("the platform stand-in receives {calls:d} {kind}")
def standin_receives(context, calls, kind):
    context.outcomes = _make_calls(context, kind, calls)


@then("the platform stand-in accepted {accepted:d} and refused {refused:d}")
def standin_accepted(context, accepted, refused):
    expected = ["accepted"] * accepted + ["PlatformOverloaded"] * refused
    assert context.outcomes == expected, context.outcomes
    counts = context.standin.counts
    assert (counts.reads + counts.writes, counts.refused) == (accepted, refused), counts


def _open_watches(context, count, prefix):
    context.watches = [
        _enter_context(context, context.platform.watch(prefix, 1)) for _ in range(count)
    ]


@when("the platform stand-in has {count:d} open watches for 1 s")
def watches_for_a_second(context, count):
    _open_watches(context, count, "w/")
    context.clock.advance(SECOND)
    # The stand-in counts the watch second and then sends a progress notification, which the
    # client does not pass on.
    while context.standin.counts.watch_seconds == 0:
        next(context.watches[0])


@then("the platform stand-in counted {count:d} watch seconds")
def counted_watch_seconds(context, count):
    assert context.standin.counts.watch_seconds == count


@then("the platform stand-in accepts {count:d} more reads and then refuses")
def accepts_more(context, count):
    outcomes = _make_calls(context, "reads", count + 1)
    assert outcomes == ["accepted"] * count + ["PlatformOverloaded"], outcomes


@when("the platform client has {count:d} open watches")
def has_open_watches(context, count):
    _open_watches(context, count, "w/")
    assert context.standin.open_watches == count


@then("all platform watches deliver {keys}")
def watches_deliver(context, keys):
    for batches in context.watches:
        seen = []
        while len(seen) < len(keys.split(",")):
            batch = next(batches)
            seen += [change.item.key for change in batch.changes] if batch else []
        assert seen == keys.split(","), seen


@when("the platform faults are posted as {fault}")
def post_faults(context, fault):
    url = f"{context.standin.address}/faults"
    assert urllib3.request("POST", url, body=fault.encode()).status == 200


@when("the platform VM list lags 10 s and vm-1 is live, then gone")
def vm_list_lags(context):
    context.standin.set_vm_lag(10 * SECOND)
    context.clock.advance(SECOND)
    context.standin.set_vm("vm-1", VmState.LIVE)
    context.clock.advance(SECOND)
    context.standin.set_vm("vm-1", VmState.GONE)


@then("the platform VM list shows vm-1 as absent, then after 10 s as gone")
def vm_list_shows(context):
    no_vms = frozenset()
    listings = [context.platform.list_vms()]
    for seconds in (9, 1):
        context.clock.advance(seconds * SECOND)
        listings.append(context.platform.list_vms())
    vm = frozenset({"vm-1"})
    expected = [
        VmList(no_vms, no_vms, no_vms),
        VmList(vm, no_vms, no_vms),
        VmList(no_vms, no_vms, vm),
    ]
    assert listings == expected, listings


@given("a platform stand-in that requires credentials")
def standin_with_credentials(context):
    standin = PlatformStandIn(token="secret", users={"node": "word"})
    context.standin = _enter_context(context, standin)
    context.certificate = None
    context.outcomes = []


@when("the platform client uses {credentials}")
def client_uses(context, credentials):
    context.platform = _client(
        context,
        **{
            "the token": {"token": "secret"},
            "another token": {"token": "wrong"},
            "the password": {"username": "node", "password": "word"},
            "another password": {"username": "node", "password": "wrong"},
            "nothing": {},
            "its certificate": {"ca_file": str(context.certificate)},
            "public certificates": {},
            "no verification": {"verify_tls": False},
        }[credentials],
    )
    _record_outcome(context, lambda: context.platform.txn([], [Put("a", b"1")]))
