"""Steps for the checks, plans and proxies of soaks, for node processes and for one short soak."""

import contextlib
import dataclasses
import os
import signal
import socket
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when

from chervilrack._internal.soak import checks
from chervilrack._internal.soak.bed import SoakBed, SoakSize
from chervilrack._internal.soak.injection import injectors
from chervilrack._internal.soak.plan import QUIET_S, Targets, draw_plan, fault_kinds
from chervilrack._internal.soak.proxy import DELAY_S, LinkMode, LinkProxy
from chervilrack._internal.soak.records import Attempt, Ending, Evidence, KeyRemoval, Kind, Run
from chervilrack._internal.soak.run import run_soak
from chervilrack.platform.emulated.emulation import PlatformEmulation

TIMEOUT_S = 10.0
# How long a test waits for bytes that must not arrive.
ABSENCE_WAIT_S = 0.3
FAULTS_ENDED_AT = 100.0
AFTER_RECOVERY = FAULTS_ENDED_AT + checks.RECOVER_S + 1.0
TARGETS = Targets(["n0", "n1", "n2"], ["plain-1", "plain-2", "engine-1"])


def successful_attempt(name, kind, started_at, **fields):
    result = Attempt(
        name, kind, "n0", started_at, started_at + 0.1, Ending.ANSWERED, 200, key="key-1"
    )
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
    "a node that ended by itself": lambda e: e.exit_problems.append("n1 ended by itself"),
    "a stream that breaks off visibly": lambda e: add_request(
        e, "x", Kind.STREAM, ending=Ending.CUT_OFF, body=b"id: 1"
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


@then("two 30 s plans with seed 5 are equal, differ from seed 6 and leave the quiet time free")
def same_plan(context):
    first, repeated, other = (draw_plan(seed, 30.0, TARGETS) for seed in (5, 5, 6))
    assert first == repeated
    assert first != other
    assert first
    assert all(fault.start + fault.duration <= 30.0 - QUIET_S for fault in first)


@then("every kind of fault occurs in the plan of some seed and has an injector")
def all_kinds(context):
    drawn = {fault.kind for seed in range(20) for fault in draw_plan(seed, 40.0, TARGETS)}
    assert drawn == set(fault_kinds.names) == set(injectors.names), drawn


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


@then("it passes {forward} to the server and {back} to the client")
def link_passes_bytes(context, forward, back):
    limit = TIMEOUT_S if back == "all" else ABSENCE_WAIT_S + 2 * DELAY_S
    assert exchange(context.client, limit) == (back == "all")
    assert context.server.arrived.wait(TIMEOUT_S if forward == "all" else 0) == (forward == "all")


@then("a new connection passes bytes both ways after the fault")
def new_connection_passes_bytes(context):
    context.link.set_mode(LinkMode.OPEN)
    assert exchange(connect(context), TIMEOUT_S)


@when("a soak of {duration:d} s runs with seed {seed:d} and {kinds}")
def run_short_soak(context, duration, seed, kinds):
    chosen = () if kinds == "all faults" else tuple(kinds.split(", "))
    with tempfile.TemporaryDirectory() as folder:
        size = SoakSize(nodes=3, callers=4)
        emulation = PlatformEmulation()
        result = run_soak(emulation, Path(folder), seed, float(duration), size, chosen)
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
    context.add_cleanup(bed.__exit__, None, None, None)


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
