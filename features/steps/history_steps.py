"""Steps for recorded histories."""

import multiprocessing
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

import msgspec
from behave import given, then, when
from click.testing import CliRunner
from hypothesis import given as for_all
from hypothesis import strategies as st

from chervilrack._internal.cli.main import cli
from chervilrack._internal.common.results import Executed
from chervilrack._internal.history import events as ev
from chervilrack._internal.history.checker import Promise, check_history
from chervilrack._internal.history.recorder import FileRecorder, encode_event, read_history


def _order_history():
    """Return a valid history; later events are added by changes at 10 s and later."""
    order = {"request": "q-1", "organisation": "tea"}
    return [
        ev.LimitInForce(at=0.0, limit="team/a/concurrency", capacity=2),
        ev.ReleaseAccepted(at=0.1, revision=2, note="n-2"),
        ev.ReleaseApplied(at=0.2, node="node-1", incarnation="i-1", revision=2, note="n-2"),
        ev.RequestSent(at=1.0, target="orders", content="c-1", idempotency_key="key-1", **order),
        ev.ExecutionStarted(
            at=1.1,
            upstream="u-1",
            served_as="s-1",
            attempt="a-1",
            organisation="tea",
            idempotency_key="key-1",
        ),
        ev.LimitUsed(at=1.1, limit="team/a/concurrency", in_use=2),
        ev.RequestAnswered(at=1.2, content="c-1", served_as="s-1", **order),
        ev.RequestSent(at=2.0, request="q-2", organisation="ink", target="answers", content="c-2"),
        ev.RequestRefused(
            at=2.1,
            request="q-2",
            executed=Executed.NO,
            code="QUEUE_FULL",
            served_as="s-2",
            final=True,
        ),
        ev.PlannedStopBegan(at=3.0, subject="node-1"),
        ev.PlannedStopEnded(at=4.0, subject="node-1"),
    ]


def _start(at, served_as, attempt, organisation="tea", key=None):
    return ev.ExecutionStarted(
        at=at,
        upstream="u-2",
        served_as=served_as,
        attempt=attempt,
        organisation=organisation,
        idempotency_key=key,
    )


def _applied(at, revision, note, incarnation="i-1"):
    return ev.ReleaseApplied(
        at=at, node="node-1", incarnation=incarnation, revision=revision, note=note
    )


def _withdrawn(*later):
    return lambda events: [*events, ev.WithdrawalAccepted(at=10.0, upstream="u-9"), *later]


def _dispatched(at):
    return ev.Dispatched(at=at, upstream="u-9", attempt="a-9")


def _replace(kind, **fields):
    """Return a change that replaces fields of the first event of one type."""

    def change(events):
        index = next(i for i, event in enumerate(events) if isinstance(event, kind))
        return [
            *events[:index],
            msgspec.structs.replace(events[index], **fields),
            *events[index + 1 :],
        ]

    return change


def _add(*more):
    return lambda events: [*events, *more]


def _tightened(used_at):
    return _add(
        ev.LimitInForce(at=10.0, limit="team/a/concurrency", capacity=1),
        ev.LimitUsed(at=used_at, limit="team/a/concurrency", in_use=2),
    )


def _another_request(organisation, content):
    fields = {"request": "q-7", "organisation": "oak"}
    return [
        ev.RequestSent(at=20.0, target="answers", content="c-7", **fields),
        ev.RequestAnswered(
            at=20.1, request="q-7", organisation=organisation, content=content, served_as="s-7"
        ),
    ]


CHANGES = {
    "none": lambda events: events,
    "unknown-then-executed": lambda events: _add(_start(2.05, "s-2", "a-2"))(
        _replace(ev.RequestRefused, executed=Executed.UNKNOWN)(events)
    ),
    "dispatch-in-bound": _withdrawn(_dispatched(13.0)),
    "dispatch-after-add": _withdrawn(ev.UpstreamAdded(at=14.0, upstream="u-9"), _dispatched(15.0)),
    "restart-older": _add(_applied(10.0, 1, "n-1", "i-2")),
    "tightened-recently": _tightened(12.9),
    "cut-in-crash": _add(ev.RequestCut(at=10.0, subject="node-1", request="q-1")),
    "key-of-another": _add(_start(10.0, "s-3", "a-3", "ink", "key-1")),
    "second-execution": _add(_start(10.0, "s-3", "a-3", "tea", "key-1")),
    "executed-after-refusal": _add(_start(10.0, "s-2", "a-2")),
    "executed-before-refusal": _add(_start(2.05, "s-2", "a-2")),
    "release-back": _add(_applied(10.0, 1, "n-1")),
    "two-notes": _add(_applied(10.0, 2, "n-3", "i-9")),
    "dispatch-late": _withdrawn(_dispatched(13.1)),
    "swapped-content": _add(*_another_request("oak", "c-1")),
    "other-organisation": _add(*_another_request("ink", "c-7")),
    "answer-unasked": _add(
        ev.RequestAnswered(at=10.0, request="q-8", organisation="tea", content="c-8")
    ),
    "no-end": _add(
        ev.RequestSent(at=10.0, request="q-9", organisation="tea", target="answers", content="c-9")
    ),
    "refusal-not-final": _replace(ev.RequestRefused, final=False),
    "second-answer": _add(
        ev.RequestAnswered(at=10.0, request="q-1", organisation="tea", content="c-1")
    ),
    "limit-exceeded": _add(ev.LimitUsed(at=10.0, limit="team/a/concurrency", in_use=3)),
    "tightened-before": _tightened(13.1),
    "cut-in-stop": _add(ev.RequestCut(at=3.5, subject="node-1", request="q-1")),
}


def _found(events):
    return sorted({violation.promise.value for violation in check_history(events)})


@given("history of one answered order, one refused request, a release, a limit and a planned stop")
def base_history(context):
    context.events = _order_history()


@when("history is changed by {changes}")
def change_history(context, changes):
    for name in changes.split():
        context.events = CHANGES[name](context.events)


@then("history check finds exactly {found}")
def check_found(context, found):
    expected = [] if found == "none" else sorted(found.split())
    assert _found(context.events) == expected, check_history(context.events)


@st.composite
def valid_histories(draw):
    """Draw a history of requests, orders, releases, withdrawals and planned stops."""
    events = [ev.LimitInForce(at=0.0, limit="l", capacity=3)]
    at = 0.0
    for number in range(draw(st.integers(1, 12))):
        at += draw(st.floats(0.001, 2.0))
        organisation = draw(st.sampled_from(["tea", "ink", "oak"]))
        key = f"k-{number}" if draw(st.booleans()) else None
        fields = {"request": f"q-{number}", "organisation": organisation}
        events.append(
            ev.RequestSent(at=at, target="t", content=f"c-{number}", idempotency_key=key, **fields)
        )
        for attempt in range(draw(st.integers(0, 2))):
            events.append(
                ev.RequestRefused(
                    at=at + 0.01,
                    request=f"q-{number}",
                    executed=Executed.NO,
                    code="NOT_CONFIRMED",
                    served_as=f"s-{number}-refused-{attempt}",
                )
            )
        end = draw(st.sampled_from(["answered", "refused", "failed"]))
        if end == "refused":
            refusal = {"executed": Executed.NO, "code": "QUEUE_FULL", "final": True}
            events.append(
                ev.RequestRefused(
                    at=at + 0.1, request=f"q-{number}", served_as=f"s-{number}", **refusal
                )
            )
            continue
        events.append(_start(at + 0.05, f"s-{number}", f"a-{number}", organisation, key))
        events.append(ev.LimitUsed(at=at + 0.05, limit="l", in_use=draw(st.integers(1, 3))))
        if end == "answered":
            events.append(ev.RequestAnswered(at=at + 0.1, content=f"c-{number}", **fields))
        else:
            events.append(
                ev.RequestFailed(at=at + 0.1, request=f"q-{number}", reason="broken", final=True)
            )
    for revision in range(1, draw(st.integers(1, 5))):
        events.append(ev.ReleaseAccepted(at=revision, revision=revision, note=f"n-{revision}"))
        for node in ("node-1", "node-2"):
            delay = draw(st.floats(0.0, 0.9))
            fields = {"node": node, "incarnation": "i", "revision": revision}
            events.append(ev.ReleaseApplied(at=revision + delay, note=f"n-{revision}", **fields))
    if draw(st.booleans()):
        events.append(ev.WithdrawalAccepted(at=1.0, upstream="u-9"))
        events.append(_dispatched(1.0 + draw(st.floats(0.0, 2.9))))
    if draw(st.booleans()):
        events.append(ev.PlannedStopBegan(at=1.0, subject="node-1"))
        events.append(ev.PlannedStopEnded(at=3.0, subject="node-1"))
    return draw(st.permutations(events))


INJECTIONS = {
    Promise.AT_MOST_ONCE: lambda at: [
        _start(at, "x-1", "x-1", "tea", "x"),
        _start(at + 1, "x-2", "x-2", "tea", "x"),
    ],
    Promise.TRUE_REFUSAL: lambda at: [
        _start(at, "x-1", "x-1"),
        ev.RequestRefused(
            at=at, request="x", executed=Executed.NO, code="QUEUE_FULL", served_as="x-1"
        ),
    ],
    Promise.RELEASE_ORDER: lambda at: [
        ev.ReleaseApplied(at=at, node="x", incarnation="x", revision=9),
        ev.ReleaseApplied(at=at + 0.001, node="x", incarnation="x", revision=8),
    ],
    Promise.RELEASE_AGREEMENT: lambda at: [
        ev.ReleaseAccepted(at=at, revision=9, note="x-1"),
        ev.ReleaseAccepted(at=at, revision=9, note="x-2"),
    ],
    Promise.WITHDRAWAL_BOUND: lambda at: [
        ev.WithdrawalAccepted(at=at, upstream="x"),
        ev.Dispatched(at=at + 3.001, upstream="x", attempt="x"),
    ],
    Promise.DELIVERY: lambda at: [
        ev.RequestAnswered(at=at, request="x", organisation="tea", content="x")
    ],
    Promise.LOST_RESULT: lambda at: [
        ev.RequestSent(at=at, request="x", organisation="tea", target="t", content="x")
    ],
    Promise.DUPLICATED_RESULT: lambda at: [
        ev.RequestSent(at=at, request="x", organisation="tea", target="t", content="x"),
        ev.RequestAnswered(at=at + 1, request="x", organisation="tea", content="x"),
        ev.RequestAnswered(at=at + 2, request="x", organisation="tea", content="x"),
    ],
    Promise.LIMIT: lambda at: [
        ev.LimitInForce(at=at, limit="x", capacity=1),
        ev.LimitUsed(at=at, limit="x", in_use=2),
    ],
    Promise.PLANNED_STOP: lambda at: [
        ev.PlannedStopBegan(at=at, subject="x"),
        ev.RequestCut(at=at + 0.001, subject="x", request="x"),
    ],
}


@when("history check runs on generated histories, valid and with one injected violation")
def run_generated(context):
    assert set(INJECTIONS) == set(Promise)
    context.runs = []

    @for_all(valid_histories(), st.floats(0.0, 20.0))
    def run(events, at):
        assert _found(events) == []
        for promise, injection in INJECTIONS.items():
            assert _found([*events, *injection(at)]) == [promise.value]
            context.runs.append(promise)

    run()


@then("history check has found exactly the injected violation each time")
def check_generated(context):
    assert len(context.runs) >= 10 * len(Promise)


def _write_history(folder, kind):
    events = _order_history()
    if kind == "runs an order twice":
        events = CHANGES["second-execution"](events)
    lines = [encode_event(event) for event in events]
    if kind == "is empty":
        lines = []
    elif kind == "has an unknown event":
        lines.insert(1, b'{"event":"dance","at":1.0}\n')
    elif kind == "has a line cut short":
        lines[1:] = [lines[1][:20]]
    path = Path(folder) / "run.jsonl"
    path.write_bytes(b"".join(lines))
    return str(path)


@when("history check command runs on a file that {kind}")
def run_command(context, kind):
    with tempfile.TemporaryDirectory() as folder:
        path = _write_history(folder, kind)
        context.outcome = CliRunner().invoke(cli, ["history", "check", path])


@when("history check process runs on a file that {kind}")
def run_process(context, kind):
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "chervilrack", "history", "check"]
        command.append(_write_history(folder, kind))
        context.process = subprocess.run(command, check=False, capture_output=True)


@then("history process ends with status {status:d}")
def check_process(context, status):
    assert context.process.returncode == status, context.process


@then('history command ends with status {status:d} and prints "{text}"')
def check_command(context, status, text):
    output = context.outcome.output
    assert context.outcome.exit_code == status, (context.outcome.exit_code, output)
    assert all(word in output for word in text.split()), output


def _record(path, process, threads, events):
    with FileRecorder(path) as recorder:

        def run(thread):
            for number in range(events):
                subject = f"{process}-{thread}-{number}"
                recorder.record(ev.PlannedStopBegan(at=float(number), subject=subject))

        workers = [threading.Thread(target=run, args=(thread,)) for thread in range(threads)]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()


@when(
    "history is recorded by {processes:d} processes with {threads:d} threads of {events:d} "
    "events each"
)
def record_in_processes(context, processes, threads, events):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "run.jsonl"
        spawn = multiprocessing.get_context("fork")
        workers = [
            spawn.Process(target=_record, args=(path, number, threads, events))
            for number in range(processes)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        context.read = read_history(path)


@then("history file holds {count:d} events")
def check_file(context, count):
    assert len({event.subject for event in context.read}) == count
