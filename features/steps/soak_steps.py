"""Steps for the soak of node processes: its checks, plans, proxies and one short run."""

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
from chervilrack._internal.soak.records import Attempt, Ending, Evidence, KeyChange, Kind, Run
from chervilrack._internal.soak.run import run_soak
from chervilrack.platform.emulated.emulation import PlatformEmulation

LIMIT_S = 10.0
# Bytes that must not pass get this long to pass by mistake.
SETTLE_S = 0.3
QUIET_FROM = 100.0
LATE = QUIET_FROM + checks.RECOVER_S + 1.0
TARGETS = Targets(["n0", "n1", "n2"], ["plain-1", "plain-2", "engine-1"])


def attempt(name, kind, began, **fields):
    found = Attempt(name, kind, "n0", began, began + 0.1, Ending.ANSWERED, 200, key="key-1")
    found = dataclasses.replace(found, body=checks.expected_body(found))
    return dataclasses.replace(found, **fields)


@given("evidence of a soak in which all went well")
def good_evidence(context):
    evidence = Evidence(quiet_from=QUIET_FROM)
    for number, kind in enumerate(Kind):
        for began in (50.0, LATE):
            name = f"r{number}-{began:.0f}"
            evidence.attempts.append(attempt(name, kind, began))
            evidence.runs.append(Run(name, "u", began, kind))
    evidence.replaced_keys.append(KeyChange("key-old", 10.0))
    context.evidence = evidence


def add(evidence, name, kind, began=50.0, runs=1, **fields):
    evidence.attempts.append(attempt(name, kind, began, **fields))
    evidence.runs += [Run(name, "u", began + 0.01 * number, kind) for number in range(runs)]


def stream_with(*numbers):
    return b"".join(b"id: %d\ndata: piece %d of x\n\n" % (n, n) for n in numbers)


def unserved(evidence):
    evidence.attempts = [a for a in evidence.attempts if a.began < LATE]


def repeats(evidence):
    for number in range(int(checks.BUDGET_SLACK * 1.5)):
        add(evidence, f"x{number}", Kind.READ, runs=2)


EVENTS = {
    "an answer that belongs to another request": lambda e: add(
        e, "x", Kind.ORDER, body=b"answer to y"
    ),
    "a stream without its third event": lambda e: add(
        e, "x", Kind.STREAM, body=stream_with(1, 2, 4, 5)
    ),
    "a stream with an event twice": lambda e: add(
        e, "x", Kind.STAGED, body=stream_with(1, 2, 2, 3, 4, 5)
    ),
    "an order that ran twice": lambda e: add(e, "x", Kind.ORDER, runs=2),
    "a refused order that ran": lambda e: add(e, "x", Kind.ORDER, status=503, body=b""),
    "a run with a key that was replaced long ago": lambda e: add(
        e, "x", Kind.READ, key="key-old", began=10.1 + checks.REVOKE_S
    ),
    "an answer long after the deadline": lambda e: add(
        e, "x", Kind.READ, began=QUIET_FROM + 1, ended=QUIET_FROM + 8
    ),
    "a refusal long after the last fault": lambda e: add(
        e, "x", Kind.READ, began=LATE, runs=0, status=503, body=b""
    ),
    "no request served after the last fault": unserved,
    "more repeats than the budget allows": repeats,
    "a node that ended by itself": lambda e: e.node_exits.append("n1 ended by itself"),
    "a stream that breaks off visibly": lambda e: add(
        e, "x", Kind.STREAM, ending=Ending.CUT_OFF, body=b"id: 1"
    ),
    "a lookup that ran twice": lambda e: add(e, "x", Kind.READ, runs=2),
    "a run with a key that was just replaced": lambda e: add(
        e, "x", Kind.READ, key="key-old", began=9.9 + checks.REVOKE_S
    ),
    "a refusal while a fault lasts": lambda e: add(e, "x", Kind.READ, runs=0, status=503, body=b""),
}


@when("the evidence shows {event}")
def show(context, event):
    EVENTS[event](context.evidence)


@then("no promise is broken")
def none_broken(context):
    found = checks.violations(context.evidence)
    assert not found, found


@then('only "{promise}" is broken')
def one_broken(context, promise):
    found = {violation.promise for violation in checks.violations(context.evidence)}
    assert found == {promise}, found


@then("seed 5 draws the same 30 s twice, others than seed 6, and leaves the end quiet")
def same_plan(context):
    first, again, other = (draw_plan(seed, 30.0, TARGETS) for seed in (5, 5, 6))
    assert first == again
    assert first != other
    assert first
    assert all(fault.start + fault.length <= 30.0 - QUIET_S for fault in first)


@then("every kind of fault is drawn by some seed and has an injector")
def all_kinds(context):
    drawn = {fault.kind for seed in range(20) for fault in draw_plan(seed, 40.0, TARGETS)}
    assert drawn == set(fault_kinds.names) == set(injectors.names), drawn


class EchoServer:
    """Accepts connections, collects what arrives and sends it back."""

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
                opened, _ = self._listener.accept()
                threading.Thread(target=self._echo, args=(opened,), daemon=True).start()

    def _echo(self, opened):
        with contextlib.suppress(OSError), opened:
            while data := opened.recv(100):
                self.arrived.set()
                opened.sendall(data)


@given("a proxied connection to an echo server")
def proxied(context):
    context.server = EchoServer()
    context.add_cleanup(context.server.close)
    context.link = LinkProxy(("127.0.0.1", 0), context.server.address)
    context.link.__enter__()
    context.add_cleanup(context.link.__exit__, None, None, None)
    context.client = connect(context)
    assert exchange(context.client, LIMIT_S)
    context.server.arrived.clear()


def connect(context):
    host, _, port = context.link.address.rpartition(":")
    client = socket.create_connection((host, int(port)), timeout=LIMIT_S)
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
def passes(context, forward, back):
    limit = LIMIT_S if back == "all" else SETTLE_S + 2 * DELAY_S
    assert exchange(context.client, limit) == (back == "all")
    assert context.server.arrived.wait(LIMIT_S if forward == "all" else 0) == (forward == "all")


@then("after the fault a new connection passes all")
def passes_again(context):
    context.link.set_mode(LinkMode.OPEN)
    assert exchange(connect(context), LIMIT_S)


@when("a soak of {duration:d} s runs with seed {seed:d} and {kinds}")
def run(context, duration, seed, kinds):
    chosen = () if kinds == "all faults" else tuple(kinds.split(", "))
    with tempfile.TemporaryDirectory() as folder:
        size = SoakSize(nodes=3, callers=4)
        emulation = PlatformEmulation()
        result = run_soak(emulation, Path(folder), seed, float(duration), size, chosen)
    context.evidence = result.evidence


@then("faults were injected and requests of every kind were served")
def did_something(context):
    assert context.evidence.faults
    served = {a.kind for a in context.evidence.attempts if a.status == 200}
    assert served == set(Kind), served


@given("{count:d} nodes as processes")
def nodes(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    bed = SoakBed(PlatformEmulation(), context.folder, 1, SoakSize(nodes=count))
    context.bed = bed.__enter__()
    context.add_cleanup(bed.__exit__, None, None, None)


@when("each node is paused, resumed and ordered to stop at once")
def paused_and_stopped(context):
    for node in context.bed.nodes.values():
        node.pause()
    time.sleep(0.1)
    for node in context.bed.nodes.values():
        node.resume()
        os.kill(node.process_id, signal.SIGTERM)


@then("each node has begun to leave within {seconds:g} s")
def leaves(context, seconds):
    end = time.monotonic() + seconds
    names = set(context.bed.nodes)
    while names and time.monotonic() < end:
        names -= {n for n in names if '"leaving"' in (context.folder / f"{n}.log").read_text()}
        time.sleep(0.05)
    assert not names, names


def blocks(node, number):
    """Tell whether a process blocks a signal, as the kernel says."""
    status = Path(f"/proc/{node.process_id}/status").read_text()
    mask = int(status.partition("SigBlk:")[2].split()[0], 16)
    return bool(mask >> (number - 1) & 1)


@when("each node is killed, and gets the signal to reload when it has blocked it again")
def reloaded_early(context):
    context.early_lines = []
    for node in context.bed.nodes.values():
        node.kill()
        log = context.folder / f"{node.name}.log"
        before = log.stat().st_size
        node.start()
        # The interpreter itself starts first; nothing can block signals before that.
        end = time.monotonic() + LIMIT_S
        while not blocks(node, signal.SIGHUP):
            assert time.monotonic() < end, "the signal is never blocked"
            assert node.is_running
        node.reload()
        context.early_lines.append(log.stat().st_size - before)


@then("no node had loaded its modules by then, and each is running {seconds:g} s later")
def still_running(context, seconds):
    assert not any(context.early_lines), context.early_lines
    time.sleep(seconds)
    ended = [node.name for node in context.bed.nodes.values() if not node.is_running]
    assert not ended, ended
