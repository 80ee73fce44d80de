"""Steps for the checks, plans and proxies of soaks, for node processes and for one short soak."""

import contextlib
import dataclasses
import http.client
import itertools
import os
import signal
import socket
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when

from chervilrack._internal.soak import checks, losses, notices
from chervilrack._internal.soak.bed import SoakBed, SoakSize
from chervilrack._internal.soak.injection import injectors
from chervilrack._internal.soak.plan import BEHAVIOURS, NOTICES, Targets, fault_kinds, plans
from chervilrack._internal.soak.proxy import DELAY_S, LinkMode, LinkProxy
from chervilrack._internal.soak.records import (
    RECOVERY_S,
    Arrival,
    Attempt,
    Configuration,
    ConfigurationChange,
    Disruption,
    Ending,
    Evidence,
    KeyRemoval,
    Kind,
    MemoryExcess,
    Notice,
    NoticeKind,
    Run,
    UpstreamCrash,
)
from chervilrack._internal.soak.run import run_soak
from chervilrack.platform.emulated.behaviours import behaviours
from chervilrack.platform.emulated.emulation import PlatformEmulation

TIMEOUT_S = 10.0
# Upstreams of the short soaks answer before a node asks another upstream as well.
CI_LONGEST_WORK_S = 1.7
# How long a test waits for bytes that must not arrive.
ABSENCE_WAIT_S = 0.3
FAULTS_ENDED_AT = 100.0
AFTER_RECOVERY = FAULTS_ENDED_AT + RECOVERY_S + 1.0
TARGETS = Targets(["n0", "n1", "n2"], ["plain-1", "plain-2", "engine-1"])


def successful_attempt(name, kind, started_at, **fields):
    times = (started_at, started_at + 0.1)
    result = Attempt(name, kind, "n0", *times, Ending.ANSWERED, 200, key="key-1", signer="u")
    result = dataclasses.replace(result, body=checks.expected_body(result))
    return dataclasses.replace(result, **fields)


@given("evidence of a soak without violations")
def good_evidence(context):
    evidence = Evidence(faults_ended_at=FAULTS_ENDED_AT)
    for number, kind in enumerate(Kind):
        for started_at in (50.0, AFTER_RECOVERY):
            name = f"r{number}-{started_at:.0f}"
            evidence.attempts.append(successful_attempt(name, kind, started_at))
            evidence.runs.append(Run(name, "u", started_at, kind))
    evidence.key_removals.append(KeyRemoval("key-old", 10.0))
    context.evidence = evidence


def add_request(evidence, name, kind, started_at=50.0, runs=1, **fields):
    evidence.attempts.append(successful_attempt(name, kind, started_at, **fields))
    evidence.runs += [Run(name, "u", started_at + 0.01 * number, kind) for number in range(runs)]


def stream_with(*numbers):
    return b"".join(b"id: %d\ndata: piece %d of x\n\n" % (n, n) for n in numbers)


def remove_requests_after_recovery(evidence):
    evidence.attempts = [a for a in evidence.attempts if a.started_at < AFTER_RECOVERY]


def add_repeats_above_budget(evidence):
    for number in range(int(checks.BUDGET_SLACK * 1.5)):
        add_request(evidence, f"x{number}", Kind.READ, runs=2)


def add_failure(
    evidence, ending, duration, *, reached=False, read=True, disruption=None, kind=Kind.ORDER
):
    """Add a request that was sent at 50.0 and failed ``duration`` seconds later."""
    attempt = Attempt("x", kind, "n0", 50.0, 50.0 + duration, ending, key="key-1", sent_at=50.0)
    evidence.attempts.append(dataclasses.replace(attempt, was_read=read))
    if reached or kind is Kind.STREAM:
        evidence.arrivals.append(Arrival("x", "u", 50.01))
        evidence.runs.append(Run("x", "u", 50.01, kind))
    if disruption is not None:
        evidence.disruptions.append(Disruption(*disruption))


def add_notice(evidence, kind, delays, *, until=60.0, node="n0", disruption=None):
    """Add a notice that is answered at 50.0, and requests ``delays`` seconds later."""
    evidence.attempts.append(successful_attempt("told", Kind.READ, 49.9, ended_at=50.0))
    evidence.runs.append(Run("told", "u", 49.9, Kind.READ))
    evidence.notices.append(Notice(kind, "told", "u", 50.0, until))
    for number, delay in enumerate(delays):
        name, at = f"later-{number}", 50.0 + delay
        evidence.attempts.append(successful_attempt(name, Kind.READ, at, node=node))
        evidence.runs.append(Run(name, "u", at + 0.01, Kind.READ))
        evidence.arrivals.append(Arrival(name, "u", at + 0.01, call=number))
    if disruption is not None:
        evidence.disruptions.append(Disruption(*disruption))


def add_configured(evidence, *configurations, disruption=None, **fields):
    """Add a read at 50.0 that plain-1 ran, and configurations, each with its time before it.

    It is the only request of a route that they move.
    """
    evidence.attempts = [a for a in evidence.attempts if a.kind not in (Kind.READ, Kind.ORDER)]
    for seconds, configuration in configurations:
        at = 50.0 - seconds
        evidence.configurations.append(ConfigurationChange(configuration, at - 0.01, at))
    add_request(evidence, "x", Kind.READ, runs=0, **{"signer": "plain-1"} | fields)
    if fields.get("status", 200) == 200:
        evidence.runs.append(Run("x", "plain-1", 50.01, Kind.READ))
    if disruption is not None:
        evidence.disruptions.append(Disruption(*disruption))


def configured(*keys, **fields):
    return Configuration(keys or ("key-1",), **fields)


STAYED, MOVED = (40.0, configured()), configured(is_moved=True)


def add_new_key(evidence):
    evidence.key_removals.append(KeyRemoval("key-gone", 47.9, "key-new"))
    configurations = ((40.0, configured("key-gone")), (2.1, configured("key-new")))
    fields = {"key": "key-new", "status": 401, "body": b"", "signer": ""}
    add_configured(evidence, *configurations, **fields)


def add_crashes(evidence, count, delays, disruption=None):
    """Add crashes up to 50.0, and requests that reach an engine ``delays`` seconds later."""
    for number in range(count):
        at = 50.0 - 0.1 * (count - 1 - number)
        add_crashing_request(evidence, f"crash-{number}", at)
        evidence.crashes.append(UpstreamCrash("u", f"crash-{number}", at, at + 2.0))
    for number, delay in enumerate(delays):
        add_crashing_request(evidence, f"late-{number}", 50.0 + delay)
    if disruption is not None:
        evidence.disruptions.append(Disruption(*disruption))


def add_crashing_request(evidence, name, at):
    attempt = successful_attempt(name, Kind.STREAM, at, status=502, crashing_part="dead")
    evidence.attempts.append(attempt)
    evidence.arrivals.append(Arrival(name, "u", at))
    evidence.runs.append(Run(name, "u", at, Kind.STREAM))


EVENTS = {
    "an answer that belongs to another request": lambda e: add_request(
        e, "x", Kind.ORDER, body=b"answer to y"
    ),
    "a stream without its third event": lambda e: add_request(
        e, "x", Kind.STREAM, body=stream_with(1, 2, 4, 5)
    ),
    "a stream that repeats an event": lambda e: add_request(
        e, "x", Kind.STAGED, body=stream_with(1, 2, 2, 3, 4, 5)
    ),
    "an order that ran twice": lambda e: add_request(e, "x", Kind.ORDER, runs=2),
    "a refused order that ran": lambda e: add_request(e, "x", Kind.ORDER, status=503, body=b""),
    "a run with a key that was replaced long ago": lambda e: add_request(
        e, "x", Kind.READ, key="key-old", started_at=10.1 + checks.REVOKE_S
    ),
    "an answer long after the deadline": lambda e: add_request(
        e, "x", Kind.READ, started_at=FAULTS_ENDED_AT + 1, ended_at=FAULTS_ENDED_AT + 8
    ),
    "a refusal long after the last fault": lambda e: add_request(
        e, "x", Kind.READ, started_at=AFTER_RECOVERY, runs=0, status=503, body=b""
    ),
    "no request served after the last fault": remove_requests_after_recovery,
    "more repeats than the budget allows": add_repeats_above_budget,
    "a node with more memory than it may have": lambda e: e.excesses.append(
        MemoryExcess("n1", 210_000_000, 200_000_000)
    ),
    "a staged request that takes 4.6 s, 5.1 s after the last fault": lambda e: add_request(
        e, "x", Kind.STAGED, FAULTS_ENDED_AT + 5.1, ended_at=FAULTS_ENDED_AT + 9.7
    ),
    "a staged request that takes 4.4 s, 5.1 s after the last fault": lambda e: add_request(
        e, "x", Kind.STAGED, FAULTS_ENDED_AT + 5.1, ended_at=FAULTS_ENDED_AT + 9.5
    ),
    "a staged request that takes 4.6 s, 4.9 s after the last fault": lambda e: add_request(
        e, "x", Kind.STAGED, FAULTS_ENDED_AT + 4.9, ended_at=FAULTS_ENDED_AT + 9.5
    ),
    "a node that ended by itself": lambda e: e.exit_problems.append("n1 ended by itself"),
    "an answer that another upstream signed": lambda e: add_request(e, "x", Kind.READ, signer="v"),
    "an answer that nobody signed": lambda e: add_request(e, "x", Kind.READ, signer=""),
    "a request that is called malformed": lambda e: add_request(
        e, "x", Kind.ORDER, runs=0, status=400, body=b""
    ),
    "a valid key that is refused": lambda e: add_request(
        e, "x", Kind.ORDER, runs=0, status=401, body=b""
    ),
    "a refusal of a key that was replaced": lambda e: add_request(
        e, "x", Kind.ORDER, runs=0, status=401, body=b"", key="key-old"
    ),
    "an order that ran and whose connection was closed": lambda e: add_failure(
        e, Ending.CLOSED, 0.1, reached=True
    ),
    "an order that ran and whose connection was reset": lambda e: add_failure(
        e, Ending.RESET, 0.1, reached=True
    ),
    "a connection that was closed long after the request was read": lambda e: add_failure(
        e, Ending.CLOSED, losses.LOSS_SLACK_S + 0.1
    ),
    "a request that got no answer": lambda e: add_failure(e, Ending.TIMED_OUT, 6.0),
    "an answer that was cut off in a stop of its node": lambda e: add_failure(
        e, Ending.CUT_OFF, 1.0, disruption=("stop node", "n0", 47.0, 55.0)
    ),
    "an answer that was cut off in a stop of another node": lambda e: add_failure(
        e, Ending.CUT_OFF, 1.0, disruption=("kill node", "n1", 49.0, 51.0)
    ),
    "a plain answer that was cut off while its upstream failed": lambda e: add_failure(
        e, Ending.CUT_OFF, 1.0, reached=True, disruption=("upstream behaviour", "u", 49.0, 51.0)
    ),
    "a stream that was cut off while another upstream failed": lambda e: add_failure(
        e, Ending.CUT_OFF, 1.0, disruption=("upstream behaviour", "v", 49.0, 51.0), kind=Kind.STREAM
    ),
    "a stream that was cut off while its upstream was silent": lambda e: add_failure(
        e,
        Ending.CUT_OFF,
        1.0,
        reached=True,
        disruption=("upstream silence", "u", 49.0, 51.0),
        kind=Kind.STREAM,
    ),
    "a request cut off before its timeout after a change of the configuration": lambda e: (
        add_failure(e, Ending.CLOSED, 2.5, disruption=("configuration", "x", 49.0, 50.5))
    ),
    "a request at an upstream that said long ago that it leaves": lambda e: add_notice(
        e, NoticeKind.LEAVING, [notices.DRAIN_S + 0.3]
    ),
    "three requests at an upstream that holds off": lambda e: add_notice(
        e, NoticeKind.HOLD_OFF, [0.6, 0.7, 0.8]
    ),
    "four requests with a part on which five engines have crashed": lambda e: add_crashes(
        e, 5, [3.2, 3.3, 3.4, 3.5]
    ),
    "three requests with a part on which five engines have crashed": lambda e: add_crashes(
        e, 5, [0.1, 2.9, 3.2, 3.3, 3.4]
    ),
    "requests with a part on which four engines have crashed": lambda e: add_crashes(
        e, 4, [3.2, 3.3, 3.4, 3.5]
    ),
    "requests from a node out of touch with a part on which five engines have crashed": lambda e: (
        add_crashes(e, 5, [3.2, 3.3, 3.4, 3.5], ("pause node", "n0", 50.0, 50.5))
    ),
    "a stream that its upstream breaks off": lambda e: add_failure(
        e,
        Ending.CUT_OFF,
        1.0,
        reached=True,
        disruption=("upstream behaviour", "u", 49.0, 51.0),
        kind=Kind.STREAM,
    ),
    "a request that crosses the close of its connection": lambda e: add_failure(
        e, Ending.CLOSED, losses.LOSS_SLACK_S + 0.1, read=False
    ),
    "a request that was read just before the close of its connection": lambda e: add_failure(
        e, Ending.CLOSED, losses.LOSS_SLACK_S - 0.1
    ),
    "a request that nobody read": lambda e: add_failure(e, Ending.RESET, 2.0),
    "a request that was not sent": lambda e: add_failure(e, Ending.NOT_SENT, 0.0),
    "a request that was cut off when its node was killed": lambda e: add_failure(
        e, Ending.CLOSED, 1.0, reached=True, disruption=("kill node", "n0", 48.0, 49.0)
    ),
    "a request that was cut off at its deadline": lambda e: add_failure(
        e, Ending.CLOSED, losses.DEADLINE_S, reached=True
    ),
    "a request cut off at its timeout after a change of the configuration": lambda e: add_failure(
        e, Ending.CLOSED, 3.1, disruption=("configuration", "x", 49.0, 50.5)
    ),
    "an early request that was at work at the end of a stop": lambda e: add_failure(
        e, Ending.CLOSED, 3.9, reached=True, disruption=("stop node", "n0", 47.1, 55.0)
    ),
    "a request at an upstream that started again": lambda e: add_notice(
        e, NoticeKind.LEAVING, [notices.DRAIN_S + 0.3], until=51.0
    ),
    "a request from a node that has started again": lambda e: add_notice(
        e, NoticeKind.LEAVING, [notices.DRAIN_S + 0.3], disruption=("kill node", "n0", 50.5, 51.0)
    ),
    "a request from a node that was not told": lambda e: add_notice(
        e, NoticeKind.LEAVING, [notices.DRAIN_S + 0.3], node="n1"
    ),
    "a request at an upstream that said just now that it leaves": lambda e: add_notice(
        e, NoticeKind.LEAVING, [notices.DRAIN_S - 0.3]
    ),
    "two late requests at an upstream that holds off": lambda e: add_notice(
        e, NoticeKind.HOLD_OFF, [0.1, 0.6, 0.7]
    ),
    "requests at an upstream that no longer holds off": lambda e: add_notice(
        e, NoticeKind.HOLD_OFF, [2.1, 2.2, 2.3], until=52.0
    ),
    "a run by a service 2.1 s after its route was moved": lambda e: add_configured(
        e, STAYED, (2.1, MOVED)
    ),
    "a run with a key 2.1 s after it was removed": lambda e: add_configured(
        e, (40.0, configured("key-1", "key-2")), (2.1, configured()), key="key-2"
    ),
    "a refusal of a key 2.1 s after it was added": add_new_key,
    "a run by a service from which routes were moved long after the store connections of its node "
    "fell silent": lambda e: add_configured(
        e, STAYED, (2.1, MOVED), disruption=("store connections", "n0", 46.9, 46.9)
    ),
    "a run by a service 1.9 s after its route was moved": lambda e: add_configured(
        e, STAYED, (1.9, MOVED)
    ),
    "a run by a service 2.1 s after its route was moved and moved back": lambda e: add_configured(
        e, STAYED, (2.1, MOVED), (0.5, configured())
    ),
    "a run with a key 1.9 s after it was removed": lambda e: add_configured(
        e, (40.0, configured("key-1", "key-2")), (1.9, configured()), key="key-2"
    ),
    "a run by a service from which routes were moved just after the store connections of its node "
    "fell silent": lambda e: add_configured(
        e, STAYED, (2.1, MOVED), disruption=("store connections", "n0", 47.5, 47.5)
    ),
    "a run by a service from which routes were moved while the store was away": lambda e: (
        add_configured(e, STAYED, (2.1, MOVED), disruption=("store return", "store", 46.0, 48.5))
    ),
    "a read that ran twice": lambda e: add_request(e, "x", Kind.READ, runs=2),
    "a run with a key that was just replaced": lambda e: add_request(
        e, "x", Kind.READ, key="key-old", started_at=9.9 + checks.REVOKE_S
    ),
    "a refusal while a fault lasts": lambda e: add_request(
        e, "x", Kind.READ, runs=0, status=503, body=b""
    ),
}


@when("the evidence shows {event}")
def change_evidence(context, event):
    EVENTS[event](context.evidence)


@then("no promise is broken")
def no_promise_broken(context):
    violations = checks.violations(context.evidence)
    assert not violations, violations


@then('only "{promise}" is broken')
def only_promise_broken(context, promise):
    broken = {violation.promise for violation in checks.violations(context.evidence)}
    assert broken == {promise}, broken


@then("two 30 s {name} plans with seed 5 are equal, differ from seed 6 and leave the end free")
def same_plan(context, name):
    first, repeated, other = (plans.get(name)(seed, 30.0, TARGETS) for seed in (5, 5, 6))
    assert first == repeated
    assert first != other
    assert first.faults
    assert all(fault.start + fault.duration <= 30.0 - first.recovery for fault in first.faults)


@then("every kind of fault occurs in the plan of some seed and has an injector")
def all_kinds(context):
    draw = plans.get("mixed")
    drawn = {fault.kind for seed in range(20) for fault in draw(seed, 40.0, TARGETS).faults}
    assert drawn == set(fault_kinds.names) == set(injectors.names), drawn


@then("no silence of a plan lasts longer than 1.5 s, or begins before the one before has ended")
def check_silences(context):
    draw = plans.get("mixed")
    for seed in range(20):
        for fault in draw(seed, 60.0, TARGETS).faults:
            if fault.kind == "upstream silence":
                # Faults at one upstream never overlap, see ``inject``.
                assert 0.5 <= float(fault.detail) <= 1.5 < fault.duration, fault


@then("every behaviour of the plan is one that the emulated upstreams have")
def all_behaviours(context):
    names = {name.removesuffix(":") for name in (*BEHAVIOURS, *NOTICES)}
    rejecting = {"full", "hold off"}
    assert names - rejecting == names & set(behaviours.names), names ^ set(behaviours.names)


class EchoServer:
    """Sends received bytes back; ``arrived`` is set once bytes have arrived."""

    def __init__(self):
        self.arrived = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return self._listener.getsockname()[:2]

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._echo, args=(connection,), daemon=True).start()

    def _echo(self, connection):
        with contextlib.suppress(OSError), connection:
            while data := connection.recv(100):
                self.arrived.set()
                connection.sendall(data)


@given("a proxied connection to an echo server")
def connect_through_proxy(context):
    context.server = EchoServer()
    context.add_cleanup(context.server.close)
    context.link = LinkProxy(("127.0.0.1", 0), context.server.address)
    context.link.__enter__()
    context.add_cleanup(context.link.__exit__, None, None, None)
    context.client = connect(context)
    assert exchange(context.client, TIMEOUT_S)
    context.server.arrived.clear()


def connect(context):
    host, _, port = context.link.address.rpartition(":")
    client = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
    context.add_cleanup(client.close)
    return client


def exchange(client, limit):
    client.settimeout(limit)
    try:
        client.sendall(b"x")
        return client.recv(1) == b"x"
    except OSError:
        return False


@when("the link is {mode}")
def set_mode(context, mode):
    context.link.set_mode(LinkMode(mode))


@when("the link silences its open connections")
def silence_open(context):
    context.link.silence_open()


@then("it passes {forward} to the server and {back} to the client")
def link_passes_bytes(context, forward, back):
    limit = TIMEOUT_S if back == "all" else ABSENCE_WAIT_S + 2 * DELAY_S
    assert exchange(context.client, limit) == (back == "all")
    assert context.server.arrived.wait(TIMEOUT_S if forward == "all" else 0) == (forward == "all")


@then("a new connection passes bytes both ways after the fault")
def new_connection_passes_bytes(context):
    context.link.set_mode(LinkMode.OPEN)
    assert exchange(connect(context), TIMEOUT_S)


BYTES_READ = {
    "reads all bytes": 2,
    "reads some bytes": 1,
    "ends the connection before bytes come": 0,
}


@given("a proxied connection to a server that {what} and closes")
def connect_to_closing_server(context, what):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.link = LinkProxy(("127.0.0.1", 0), listener.getsockname()[:2])
    context.link.__enter__()
    context.add_cleanup(context.link.__exit__, None, None, None)
    context.client = connect(context)
    with listener.accept()[0] as server:
        if BYTES_READ[what]:
            context.client.sendall(b"ab")
            while len(server.recv(2, socket.MSG_PEEK)) < 2:
                time.sleep(0.01)
            server.recv(BYTES_READ[what])
    if not BYTES_READ[what]:
        assert context.client.recv(1) == b""
        context.client.sendall(b"ab")


@then("the proxy says that the bytes were {state}")
def proxy_knows_reading(context, state):
    port = context.client.getsockname()[1]
    with contextlib.suppress(ConnectionResetError):
        context.client.recv(1)
    context.client.close()
    assert context.link.was_read(port, TIMEOUT_S) == (state == "read")


@when("a {plan} soak of {duration:d} s runs with seed {seed:d} and {callers:d} callers")
def run_short_soak(context, plan, duration, seed, callers):
    with tempfile.TemporaryDirectory() as folder:
        size = SoakSize(nodes=3, callers=callers, longest_work=CI_LONGEST_WORK_S)
        emulation = PlatformEmulation()
        result = run_soak(emulation, Path(folder), seed, float(duration), size, plan)
    context.evidence = result.evidence


@when("a soak of {duration:d} s with {kind} runs with seed {seed:d} and {callers:d} callers")
def run_soak_of_kind(context, duration, kind, seed, callers):
    with tempfile.TemporaryDirectory() as folder:
        size = SoakSize(nodes=1, callers=callers, longest_work=CI_LONGEST_WORK_S)
        result = run_soak(
            PlatformEmulation(), Path(folder), seed, float(duration), size, kinds=(kind,)
        )
    context.evidence = result.evidence


@then("faults were injected and requests of every kind were served")
def faults_injected_and_requests_served(context):
    assert context.evidence.faults
    served = {a.kind for a in context.evidence.attempts if a.status == 200}
    assert served == set(Kind), served


@given("{count:d} nodes as processes")
def start_nodes(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    bed = SoakBed(PlatformEmulation(), context.folder, 1, SoakSize(nodes=count))
    context.bed = bed.__enter__()
    context.numbers = itertools.count()
    context.add_cleanup(bed.__exit__, None, None, None)


@when(
    "40 configurations are written, the store comes back from a copy without them, and a key is "
    "replaced"
)
def return_store(context):
    bed = context.bed
    # A copy is kept each half second.
    time.sleep(1.0)
    began = time.monotonic()
    for number in range(40):
        bed.change_configuration(idle_timeout=5.0 + number)
        time.sleep(0.01)
    for node in bed.nodes:
        ask_until(context, node, bed.keys.valid[0], 200)
    bed.emulation.take_store_away()
    bed.emulation.return_store(time.monotonic() - began)
    bed.replace_key()


@then("each node serves requests with the new key, and none with the removed key")
def check_keys(context):
    (removal,) = context.bed.evidence.key_removals
    for node in context.bed.nodes:
        ask_until(context, node, removal.new_key, 200)
        ask_until(context, node, removal.key, 401)


def ask_until(context, node, key, status):
    """Send reads to a node until they get a status."""
    host, _, port = context.bed.caller_links[node].address.rpartition(":")
    end = time.monotonic() + TIMEOUT_S
    while (got := ask(context, host, int(port), key)) != status and time.monotonic() < end:
        time.sleep(0.05)
    assert got == status, (node, key, got)


def ask(context, host, port, key):
    request = f"r{next(context.numbers)}"
    headers = context.bed.emulation.request_headers(request, Kind.READ, key, 4.0)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request("GET", f"{Kind.READ.value}{request}", headers=headers)
        return connection.getresponse().status


@when("each node is paused, resumed and sent SIGTERM at once")
def paused_and_stopped(context):
    for node in context.bed.nodes.values():
        node.pause()
    time.sleep(0.1)
    for node in context.bed.nodes.values():
        node.resume()
        os.kill(node.process_id, signal.SIGTERM)


@then("each node has begun to leave within {seconds:g} s")
def nodes_begin_to_leave(context, seconds):
    end = time.monotonic() + seconds
    names = set(context.bed.nodes)
    while names and time.monotonic() < end:
        names -= {n for n in names if '"leaving"' in (context.folder / f"{n}.log").read_text()}
        time.sleep(0.05)
    assert not names, names


def blocks_signal(node, number):
    """Return whether the process blocks the signal, from its status in /proc."""
    status = Path(f"/proc/{node.process_id}/status").read_text()
    mask = int(status.partition("SigBlk:")[2].split()[0], 16)
    return bool(mask >> (number - 1) & 1)


@when("each node is killed, restarted and sent SIGHUP as soon as it blocks SIGHUP")
def reloaded_early(context):
    context.early_log_bytes = []
    for node in context.bed.nodes.values():
        node.kill()
        log = context.folder / f"{node.name}.log"
        size_before = log.stat().st_size
        node.start()
        # The node can't block signals before the interpreter has started.
        end = time.monotonic() + TIMEOUT_S
        while not blocks_signal(node, signal.SIGHUP):
            assert time.monotonic() < end, "the node did not block SIGHUP"
            assert node.is_running
        node.reload()
        context.early_log_bytes.append(log.stat().st_size - size_before)


@then("no node had logged anything before SIGHUP, and each is running {seconds:g} s later")
def still_running(context, seconds):
    assert not any(context.early_log_bytes), context.early_log_bytes
    time.sleep(seconds)
    ended = [node.name for node in context.bed.nodes.values() if not node.is_running]
    assert not ended, ended
