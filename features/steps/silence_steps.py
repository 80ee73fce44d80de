"""Steps for upstreams that fall silent for a while, before a serving node in the test process."""

import re
import threading
from datetime import timedelta

from behave import given, then, when
from steps.answers_steps import exchange
from steps.serving_steps import KEY, disconnect_caller, send_request, send_request_of_kind, wait_for
from support.scripted_upstream import start_scripted

from chervilrack._internal.balancing.silence import SilencePolicy
from chervilrack._internal.common.clock import SystemClock
from chervilrack.platform.emulated.emulation import configuration

PATHS = {"plain": "/order/1", "look-up": "/read/1", "stream": "/stream/1"}
STAGED_FIELDS = "Chervilrack-Chunk-Count: 2,3\r\nChervilrack-Chunk-Key: piece-key\r\n"
# Requests that follow a silence, and how many of them the silent upstream gets at least.
LATER_REQUESTS = 40
LEAST_LATER_REQUESTS = 5


def record_ejections(context):
    context.ejected = []
    note = context.node._state.log.note

    def record(part, event, **fields):
        if event == "eject":
            context.ejected.append(fields["upstream"])
        note(part, event, **fields)

    context.node._state.log.note = record


@when(
    "one of two {service} upstreams falls silent for {time:g} s "
    "and {count:d} {kind} requests wait for it"
)
def wait_for_silent_upstream(context, service, time, count, kind):
    record_ejections(context)
    context.path = PATHS[kind]
    silent, other = (context.upstreams[f"{service}-{number}"] for number in (1, 2))
    context.silent_upstream = silent
    # Its requests last long enough that the next one goes to the silent upstream.
    other.behaviour = "late"
    silent.fall_silent(timedelta(seconds=time))
    context.silent_since = SystemClock().monotonic()
    context.statuses = []

    def send(number):
        extra = {"Chervilrack-Request-Id": f"silent-{number}"}
        response, _ = send_request(context, context.path, request_id=False, **extra)
        context.statuses.append(response.status)

    threads = []
    for number in range(2 * count):
        threads.append(threading.Thread(target=send, args=(number,)))
        threads[-1].start()
        wait_for(lambda: silent.received + other.received > number, "the request arrives")  # noqa: B023
    for thread in threads:
        thread.join()
    assert silent.received >= count, (silent.received, other.received)
    other.behaviour = "good"


@when(
    "the upstream of the first stage falls silent for {time:g} s and a staged stream waits for it"
)
def wait_for_silent_stage(context, time):
    record_ejections(context)
    context.silent_upstream = context.upstreams["first-1"]
    context.silent_upstream.fall_silent(timedelta(seconds=time))
    context.path = None
    send_request_of_kind(context, "staged stream")


@then("all waiting requests are answered with status {status:d}")
def check_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("no upstream was ejected, and the silent one gets requests again")
def check_returns(context):
    assert not context.ejected, context.ejected
    before = context.silent_upstream.received
    if context.path is None:
        send_request_of_kind(context, "staged stream")
        least = 1
    else:
        # A silence that no connection was left to hear the end of counts until its longest end.
        end = context.silent_since + SilencePolicy().bound
        wait_for(lambda: SystemClock().monotonic() >= end, "the silence is over")
        for _ in range(LATER_REQUESTS):
            assert send_request(context, context.path)[0].status == 200
        least = LEAST_LATER_REQUESTS
    got = context.silent_upstream.received - before
    assert got >= least, got


@given("streams whose events are on time with pauses of {gap:d} ms")
def set_longest_gap(context, gap):
    document = configuration(2, [KEY])
    for route in document["routes"]:
        if "targetGapMs" in route:
            route["targetGapMs"] = gap
    context.store.put("op/config", document)
    catalogue = context.node._state.catalogue
    wait_for(lambda: catalogue.configuration.version == 2, "the configuration is applied")


@when("a caller reads a stream with stages that {run}")
def read_staged_stream(context, run):
    if run == "cannot run again":
        begin(context, hang_stages)
    context.raw = exchange(context, "/stream/staged/1", "caller-1", 5000, STAGED_FIELDS)


@when("a caller reads a stream with stages while the entry of its engine ends")
def read_while_entry_ends(context):
    begin(context, remove_engine)
    context.raw = exchange(context, "/stream/staged/1", "caller-1", 5000, STAGED_FIELDS)


def begin(context, action):
    """Run ``action`` in a thread when an engine has the request."""

    def run():
        wait_for(lambda: context.scripted.requests, "an engine has the request")
        action(context)

    thread = threading.Thread(target=run)
    thread.start()
    context.add_cleanup(thread.join)


def hang_stages(context):
    for name in ("first-1", "second-1"):
        context.upstreams[name].behaviour = "stands still"


def remove_engine(context):
    target = re.search(r"(?i)Target-Instance: (\S+)", context.scripted.requests[0])[1]
    context.store.remove(f"servers/{target}")


@given('one scripted plain upstream that accepts no connection for {time:g} s and sends "{script}"')
def start_deaf(context, time, script):
    start_scripted(context, "plain", [script], 1, is_deaf=True)
    timer = threading.Timer(time, context.scripted.hear)
    timer.start()
    context.add_cleanup(timer.cancel)


@when("the scripted upstreams close their ports and {count:d} callers send plain requests")
def refuse(context, count):
    context.scripted.close()
    send_plain(context, count)


@when("{count:d} callers send plain requests one after another")
def send_plain(context, count):
    for number in range(count):
        exchange(context, PATHS["plain"], f"caller-{number}", 4000)


@then("the scripted upstreams are suspected")
def check_suspected(context):
    now = SystemClock().monotonic()
    for number in range(len(context.scripted.addresses)):
        assert context.node.balancer.is_suspected(f"scripted-{number}", now), number


@given("engine {name} was ejected and may be probed")
def eject_engine(context, name):
    balancer = context.node.balancer
    now = SystemClock().monotonic()
    balancer.record_failure(name, now - timedelta(seconds=2), "refused", certain=True)
    assert not balancer.is_suspected(name, now)


@when("callers disconnect during streams until {name} was probed")
def disconnect_during_probe(context, name):
    for _ in range(100):
        disconnect_caller(context)
        if context.upstreams[name].seen:
            return
    raise AssertionError("not probed")


@then("no engine is suspected")
def check_no_engine_suspected(context):
    def is_usable():
        now = SystemClock().monotonic()
        names = ("engine-1", "engine-2")
        return not any(context.node.balancer.is_suspected(name, now) for name in names)

    wait_for(is_usable, "no engine is suspected")
