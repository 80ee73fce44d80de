"""Steps for the platform service's adapters and its stand-in."""

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


def _enter(context, manager):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    return stack.enter_context(manager)


def _client(context, **settings):
    return EtcdPlatform(PlatformSettings(endpoints=(context.standin.address,), **settings))


@given("platform adapter {adapter}")
def platform_adapter(context, adapter):
    context.outcomes = []
    context.standin = None
    if adapter == "memory":
        context.platform = context.faults = MemoryPlatform(watch_idle=SECOND / 20)
    elif adapter == "etcd":
        context.standin = context.faults = _enter(context, PlatformStandIn())
        context.platform = _client(context)
    else:
        context.platform = EtcdPlatform(PlatformSettings(endpoints=(_refusing_address(),)))


def _refusing_address():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{unused.getsockname()[1]}"


@given("platform etcd adapter behind an endpoint that refuses connections")
def adapter_with_two_endpoints(context):
    platform_adapter(context, "etcd")
    endpoints = (_refusing_address(), context.standin.address)
    context.platform = EtcdPlatform(PlatformSettings(endpoints=endpoints))


@given("platform etcd adapter that reconnects watches for {duration:d} ms")
def adapter_that_reconnects(context, duration):
    platform_adapter(context, "etcd")
    context.platform = _client(context, watch_reconnect=duration * SECOND / 1000)


@then("platform watch resumes")
def watch_resumes(context):
    while context.standin.open_watches == 0:
        next(context.batches)
    context.platform.txn([], [Put("a/1", b"")])
    watch_delivers(context, "a/1")


@then("platform watch raises PlatformUnavailable")
def watch_raises(context):
    try:
        while next(context.batches) is None:
            pass
    except PlatformUnavailable:
        return
    raise AssertionError("the watch delivered changes in an outage")


@given("platform stand-in with a certificate of its own")
def standin_with_certificate(context):
    folder = Path(_enter(context, tempfile.TemporaryDirectory()))
    context.certificate, key_file = write_certificate(folder, "stand-in")
    standin = PlatformStandIn(tls=(str(context.certificate), str(key_file)))
    context.standin = _enter(context, standin)
    context.outcomes = []


def _attempt(context, call):
    try:
        context.outcomes.append("succeeded" if call().succeeded else "failed")
    except PlatformError as error:
        context.outcomes.append(type(error).__name__)


@when('platform key "{key}" is written as "{value}" if it is at revision {revision:d}')
def write_key(context, key, value, revision):
    puts = [Put(key, value.encode())]
    _attempt(context, lambda: context.platform.txn([Compare(key, revision)], puts))


@then('platform key "{key}" holds "{value}"')
def key_holds(context, key, value):
    assert context.platform.get(key).value == value.encode()


@then('platform key "{key}" is absent')
def key_absent(context, key):
    assert context.platform.get(key) is None


@then("platform outcomes are {outcomes}")
def outcomes_are(context, outcomes):
    assert context.outcomes == outcomes.split(", "), context.outcomes


@when("platform keys {keys} are written")
def write_keys(context, keys):
    for key in keys.split(","):
        context.platform.txn([], [Put(key, key.encode())])


@then('platform range of "{prefix}" is {found}')
def range_is(context, prefix, found):
    keys = [item.key for item in context.platform.range(prefix).items]
    assert keys == found.split(","), keys


@then('platform range of "" is {found}')
def whole_range_is(context, found):
    range_is(context, "", found)


@when("platform loses the response of the next write")
def lose_response(context):
    context.faults.lose_responses(1)


@when("platform is unavailable")
def unavailable(context):
    if context.standin is not None:
        context.standin.make_unavailable(60 * SECOND)
    elif isinstance(context.platform, MemoryPlatform):
        context.platform.set_available(False)


@when('platform watch of "{prefix}" is opened')
def open_watch(context, prefix):
    context.watch_prefix = prefix
    context.seen = []
    context.batches = _enter(context, context.platform.watch(prefix, 1))


def _collect(batches, seen, count):
    """Read until ``count`` keys were seen and then one more item, to notice surplus changes."""
    idle = 0
    while idle < 1:
        batch = next(batches)
        if batch is not None:
            seen += [change.item.key for change in batch.changes]
        elif len(seen) >= count:
            idle += 1


@when("platform watch connections are broken and the watch is resumed")
def break_and_resume(context):
    _collect(context.batches, context.seen, 2)
    context.faults.break_watches()
    if context.standin is None:
        # The in-memory adapter does not reconnect: its user opens the watch again.
        try:
            next(context.batches)
            raise AssertionError("the watch did not break")
        except PlatformUnavailable:
            pass
        revision = context.platform.range("").revision
        context.batches = _enter(
            context, context.platform.watch(context.watch_prefix, revision + 1)
        )


@then("platform watch delivers {keys} and no more")
def watch_delivers(context, keys):
    expected = keys.split(",")
    _collect(context.batches, context.seen, len(expected))
    assert context.seen == expected, context.seen


@when("platform history is compacted")
def compact(context):
    context.faults.compact()


@then('platform watch of "{prefix}" from revision {revision:d} raises WatchCompacted')
def watch_compacted(context, prefix, revision):
    with context.platform.watch(prefix, revision) as batches:
        try:
            while next(batches) is None:
                pass
        except WatchCompacted:
            return
    raise AssertionError("the watch delivered changes that are compacted")


@when('platform key "{key}" is written under a lease of {seconds:d} s')
def write_under_lease(context, key, seconds):
    context.lease = context.platform.lease_grant(seconds * SECOND)
    context.platform.txn([], [Put(key, b"held", context.lease)])


@then("platform lease has {seconds:d} s left")
def lease_left(context, seconds):
    assert context.platform.lease_keepalive(context.lease) == seconds * SECOND


@when("platform leases expire")
def expire_leases(context):
    context.faults.expire_leases()


@when("platform is given {writes:d} writes of {size:d} bytes")
def many_writes(context, writes, size):
    puts = [Put(f"k/{number}", bytes(size)) for number in range(writes)]
    _attempt(context, lambda: context.platform.txn([], puts))


@then('platform registry opens "{name}" as {kind}')
def registry_opens(context, name, kind):
    platform = open_platform(PlatformSettings(adapter=name, endpoints=("http://127.0.0.1:9",)))
    assert type(platform).__name__ == kind


@given("platform stand-in with {limit:d} {kind} per second and a stopped clock")
def standin_with_rate(context, limit, kind):
    rates = {"reads_per_s": 500, "writes_per_s": 500, f"{kind}_per_s": limit}
    context.clock = ManualClock()
    context.standin = _enter(context, PlatformStandIn(clock=context.clock, **rates))
    context.platform = _client(context)
    context.outcomes = []


def _calls(context, kind, calls):
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


@when("platform stand-in gets {calls:d} {kind}")
def standin_gets(context, calls, kind):
    context.outcomes = _calls(context, kind, calls)


@then("platform stand-in accepted {accepted:d} and refused {refused:d}")
def standin_accepted(context, accepted, refused):
    expected = ["accepted"] * accepted + ["PlatformOverloaded"] * refused
    assert context.outcomes == expected, context.outcomes
    counts = context.standin.counts
    assert (counts.reads + counts.writes, counts.refused) == (accepted, refused), counts


def _open_watches(context, count, prefix):
    context.watches = [_enter(context, context.platform.watch(prefix, 1)) for _ in range(count)]


@when("platform stand-in has {count:d} open watches for 1 s")
def watches_for_a_second(context, count):
    _open_watches(context, count, "w/")
    context.clock.advance(SECOND)
    # Each watch gets a progress notification after the charge, but it is not passed on.
    while context.standin.counts.watch_seconds == 0:
        next(context.watches[0])


@then("platform stand-in counted {count:d} watch seconds")
def counted_watch_seconds(context, count):
    assert context.standin.counts.watch_seconds == count


@then("platform stand-in accepts {count:d} more reads and then refuses")
def accepts_more(context, count):
    outcomes = _calls(context, "reads", count + 1)
    assert outcomes == ["accepted"] * count + ["PlatformOverloaded"], outcomes


@when("platform has {count:d} open watches")
def has_open_watches(context, count):
    _open_watches(context, count, "w/")
    assert context.standin.open_watches == count


@then("platform watches all deliver {keys}")
def watches_deliver(context, keys):
    for batches in context.watches:
        seen = []
        while len(seen) < len(keys.split(",")):
            batch = next(batches)
            seen += [change.item.key for change in batch.changes] if batch else []
        assert seen == keys.split(","), seen


@when("platform faults are posted as {fault}")
def post_faults(context, fault):
    url = f"{context.standin.address}/faults"
    assert urllib3.request("POST", url, body=fault.encode()).status == 200


@when("platform VM list lags 10 s and vm-1 is live, then gone")
def vm_list_lags(context):
    context.standin.set_vm_lag(10 * SECOND)
    context.clock.advance(SECOND)
    context.standin.set_vm("vm-1", VmState.LIVE)
    context.clock.advance(SECOND)
    context.standin.set_vm("vm-1", VmState.GONE)


@then("platform VM list shows vm-1 as absent, then after 10 s as gone")
def vm_list_shows(context):
    empty = frozenset()
    shown = [context.platform.list_vms()]
    for seconds in (9, 1):
        context.clock.advance(seconds * SECOND)
        shown.append(context.platform.list_vms())
    vm = frozenset({"vm-1"})
    expected = [
        VmList(empty, empty, empty),
        VmList(vm, empty, empty),
        VmList(empty, empty, vm),
    ]
    assert shown == expected, shown


@given("platform stand-in that needs credentials")
def standin_with_credentials(context):
    standin = PlatformStandIn(token="secret", users={"node": "word"})
    context.standin = _enter(context, standin)
    context.certificate = None
    context.outcomes = []


@when("platform client uses {credentials}")
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
    _attempt(context, lambda: context.platform.txn([], [Put("a", b"1")]))
