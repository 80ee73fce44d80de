"""Steps for the recorder and the checker of histories."""

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


def _valid_history():
    """Return a valid history that ends before 10 s.

    Most changes in ``CHANGES`` add events at 10 s or later.
    """
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


def _execution_started(at, served_as, attempt, organisation="tea", key=None):
    return ev.ExecutionStarted(
        at=at,
        upstream="u-2",
        served_as=served_as,
        attempt=attempt,
        organisation=organisation,
        idempotency_key=key,
    )


def _release_applied(at, revision, note, incarnation="i-1"):
    return ev.ReleaseApplied(
        at=at, node="node-1", incarnation=incarnation, revision=revision, note=note
    )


def _add_withdrawal(*later_events):
    """Return a change that withdraws upstream ``u-9`` at 10 s and appends ``later_events``."""
    return lambda events: [*events, ev.WithdrawalAccepted(at=10.0, upstream="u-9"), *later_events]


def _dispatched(at):
    return ev.Dispatched(at=at, upstream="u-9", attempt="a-9")


def _replace(event_type, **fields):
    """Return a change that replaces fields of the first event of type ``event_type``."""

    def change(events):
        index = next(i for i, event in enumerate(events) if isinstance(event, event_type))
        return [
            *events[:index],
            msgspec.structs.replace(events[index], **fields),
            *events[index + 1 :],
        ]

    return change


def _add(*new_events):
    """Return a change that appends ``new_events``."""
    return lambda events: [*events, *new_events]


def _lower_limit(used_at):
    """Return a change that lowers the limit to 1 at 10 s and records a use of 2 at ``used_at``."""
    return _add(
        ev.LimitInForce(at=10.0, limit="team/a/concurrency", capacity=1),
        ev.LimitUsed(at=used_at, limit="team/a/concurrency", in_use=2),
    )


def _request_and_answer(organisation, content):
    """Return a request of organisation ``oak`` and an answer with the given fields."""
    fields = {"request": "q-7", "organisation": "oak"}
    return [
        ev.RequestSent(at=20.0, target="answers", content="c-7", **fields),
        ev.RequestAnswered(
            at=20.1, request="q-7", organisation=organisation, content=content, served_as="s-7"
        ),
    ]


# Named changes of the valid history: each maps a list of events to a new one.
CHANGES = {
    "none": lambda events: events,
    "unknown-then-executed": lambda events: _add(_execution_started(2.05, "s-2", "a-2"))(
        _replace(ev.RequestRefused, executed=Executed.UNKNOWN)(events)
    ),
    "dispatch-in-bound": _add_withdrawal(_dispatched(13.0)),
    "dispatch-after-add": _add_withdrawal(
        ev.UpstreamAdded(at=14.0, upstream="u-9"), _dispatched(15.0)
    ),
    "restart-older": _add(_release_applied(10.0, 1, "n-1", "i-2")),
    "tightened-recently": _lower_limit(12.9),
    "cut-in-crash": _add(ev.RequestCut(at=10.0, subject="node-1", request="q-1")),
    "key-of-another": _add(_execution_started(10.0, "s-3", "a-3", "ink", "key-1")),
    "second-execution": _add(_execution_started(10.0, "s-3", "a-3", "tea", "key-1")),
    "executed-after-refusal": _add(_execution_started(10.0, "s-2", "a-2")),
    "executed-before-refusal": _add(_execution_started(2.05, "s-2", "a-2")),
    "release-back": _add(_release_applied(10.0, 1, "n-1")),
    "two-notes": _add(_release_applied(10.0, 2, "n-3", "i-9")),
    "dispatch-late": _add_withdrawal(_dispatched(13.1)),
    "swapped-content": _add(*_request_and_answer("oak", "c-1")),
    "other-organisation": _add(*_request_and_answer("ink", "c-7")),
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
    "tightened-before": _lower_limit(13.1),
    "cut-in-stop": _add(ev.RequestCut(at=3.5, subject="node-1", request="q-1")),
}


def _broken_promises(events):
    """Return the sorted names of the promises that ``events`` break."""
    return sorted({violation.promise.value for violation in check_history(events)})


@given("a valid history with an order, a refusal, a release, a limit and a planned stop")
def start_with_valid_history(context):
    context.events = _valid_history()


@when("the changes {changes} are made to the history")
def change_history(context, changes):
    for name in changes.split():
        context.events = CHANGES[name](context.events)


@then("the history checker reports exactly {promises}")
def check_broken_promises(context, promises):
    expected = [] if promises == "none" else sorted(promises.split())
    assert _broken_promises(context.events) == expected, check_history(context.events)


@st.composite
def valid_histories(draw):
    """Draw a valid history of requests, orders, releases, withdrawals and planned stops.

    The events are in random order.
    """
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
        events.append(
            _execution_started(at + 0.05, f"s-{number}", f"a-{number}", organisation, key)
        )
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


# For each promise, events at time ``at`` and later that break this promise and no other one.
INJECTIONS = {
    Promise.AT_MOST_ONCE: lambda at: [
        _execution_started(at, "x-1", "x-1", "tea", "x"),
        _execution_started(at + 1, "x-2", "x-2", "tea", "x"),
    ],
    Promise.TRUE_REFUSAL: lambda at: [
        _execution_started(at, "x-1", "x-1"),
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


@when("the history checker runs on generated histories without and with one injected violation")
def check_generated_histories(context):
    assert set(INJECTIONS) == set(Promise)
    context.reported = []

    @for_all(valid_histories(), st.floats(0.0, 20.0))
    def check_generated_history(events, at):
        assert _broken_promises(events) == []
        for promise, violating_events in INJECTIONS.items():
            assert _broken_promises([*events, *violating_events(at)]) == [promise.value]
            context.reported.append(promise)

    check_generated_history()


@then("the history checker has reported exactly the injected violation each time")
def check_injected_violations(context):
    assert len(context.reported) >= 10 * len(Promise)


def _write_history(folder, kind):
    events = _valid_history()
    if kind == "runs an order twice":
        events = CHANGES["second-execution"](events)
    lines = [encode_event(event) for event in events]
    if kind == "is empty":
        lines = []
    elif kind == "has an unknown event":
        lines.insert(1, b'{"event":"dance","at":1.0}\n')
    elif kind == "has a truncated line":
        lines[1:] = [lines[1][:20]]
    path = Path(folder) / "run.jsonl"
    path.write_bytes(b"".join(lines))
    return str(path)


@when("the history check command runs on a file that {kind}")
def run_check_command(context, kind):
    with tempfile.TemporaryDirectory() as folder:
        path = _write_history(folder, kind)
        context.command_result = CliRunner().invoke(cli, ["history", "check", path])


@when("a history check process runs on a file that {kind}")
def run_check_process(context, kind):
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "chervilrack", "history", "check"]
        command.append(_write_history(folder, kind))
        context.process = subprocess.run(command, check=False, capture_output=True)


@then("the history check process exits with status {status:d}")
def check_process_status(context, status):
    assert context.process.returncode == status, context.process


@then('the history check command exits with status {status:d} and prints the words "{text}"')
def check_command_result(context, status, text):
    output = context.command_result.output
    assert context.command_result.exit_code == status, (context.command_result.exit_code, output)
    assert all(word in output for word in text.split()), output


def _record_in_threads(path, process, threads, events):
    """Record ``events`` events in each of ``threads`` threads; every event has its own subject."""
    with FileRecorder(path) as recorder:

        def record_events(thread):
            for number in range(events):
                subject = f"{process}-{thread}-{number}"
                recorder.record(ev.PlannedStopBegan(at=float(number), subject=subject))

        workers = [
            threading.Thread(target=record_events, args=(thread,)) for thread in range(threads)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()


@when(
    "a history is recorded by {processes:d} processes with {threads:d} threads of {events:d} "
    "events each"
)
def record_in_processes(context, processes, threads, events):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "run.jsonl"
        fork_context = multiprocessing.get_context("fork")
        workers = [
            fork_context.Process(target=_record_in_threads, args=(path, number, threads, events))
            for number in range(processes)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        context.recorded_events = read_history(path)


@then("the history file holds {count:d} events")
def check_recorded_events(context, count):
    assert len({event.subject for event in context.recorded_events}) == count
