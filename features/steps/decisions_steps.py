"""Steps for the decision log and for timelines of requests."""

import io
import json
import threading
import time

from behave import given, then, when

from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.observability.timelines import build_timeline, format_line, parse_lines

TIMEOUT_S = 20.0


def decision_line(second, node, part, event, **fields):
    time_utc = f"2026-01-01T10:00:{second:06.3f}+00:00"
    return json.dumps({"time": time_utc, "node": node, "part": part, "event": event, **fields})


@given("the decision logs of two nodes about a rejected request")
def write_logs(context):
    context.texts = [
        "plain text without a line",
        "  1.0 n1 " + decision_line(10, "n1", "forwarding", "rejected", request="r1", status=503,
             detail="stage 0 failed", took_ms=900, steps=["stage 0/0 error"]),
        decision_line(9.5, "n2", "batching", "call failed", upstream="u9", requests=["r1", "r2"],
             reason="no connection"),
        decision_line(9.6, "n2", "balancing", "eject", upstream="u9", reason="no connection"),
        decision_line(9.7, "n1", "forwarding", "answered", request="r2", status=200),
        decision_line(59, "n2", "balancing", "eject", upstream="u9", reason="later"),
        "{broken",
    ]  # fmt: skip


@given("the decision logs of three nodes about a request that was refused for crashing upstreams")
def write_quarantine_logs(context):
    def crash(upstream):
        return {"upstream": upstream, "started_at_ms": 5, "age_ms": 100, "at_start": True}

    context.texts = [
        decision_line(50, "n1", "forwarding", "rejected", request="r1", status=503, took_ms=2,
             detail="2 upstreams crashed on requests with part dead", steps=[]),
        decision_line(10, "n2", "quarantine", "upstream crashed", upstream="u1", started_at_ms=5),
        decision_line(11, "n3", "quarantine", "upstream crashed", upstream="u2", started_at_ms=5),
        decision_line(12, "n3", "quarantine", "upstream crashed", upstream="u2", started_at_ms=6),
        decision_line(13, "n1", "quarantine", "blocked", trait="part dead",
             crashes=[crash("u1"), crash("u2")]),
        decision_line(14, "n2", "quarantine", "blocked", trait="part beef", crashes=[crash("u3")]),
    ]  # fmt: skip


@then("the timeline names the block and the crashes of u1 and u2, and nothing of other traits")
def check_block(context):
    lines = context.context_text.splitlines()
    assert [line.split(";")[0].split(" ", 1)[1] for line in lines] == [
        "n2 quarantine: upstream crashed",
        "n3 quarantine: upstream crashed",
        "n1 quarantine: blocked",
    ], lines
    assert "part dead" in lines[2], lines


@when("the timeline of the rejected request is built")
def build_rejected_timeline(context):
    timeline = build_timeline(parse_lines(context.texts), "r1")
    context.request_text = "\n".join(format_line(line) for line in timeline.request_lines)
    context.context_text = "\n".join(format_line(line) for line in timeline.context_lines)


@then("the timeline names the node, the stage call that failed and the ejected upstream")
def check_cause(context):
    for text in ("n1 forwarding: rejected", "stage 0/0 error", "n2 batching: call failed", "u9"):
        assert text in context.request_text, context.request_text
    assert "balancing: eject" in context.context_text, context.context_text


@then("the timeline leaves out other requests and events long after the request")
def check_left_out(context):
    assert "answered" not in context.request_text, context.request_text
    assert "later" not in context.context_text, context.context_text


class _BlockingOutput(io.StringIO):
    """Output whose writes block until ``unblocked`` is set."""

    def __init__(self):
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text):
        self.unblocked.wait(TIMEOUT_S)
        return super().write(text)


class _ClosedOutput(io.StringIO):
    def write(self, text):
        raise BrokenPipeError


@given("a decision log whose output blocks")
def open_blocked_log(context):
    context.output = _BlockingOutput()
    context.log = DecisionLog("n1", context.output).__enter__()


@given("a decision log whose output is closed")
def open_closed_log(context):
    context.output = _ClosedOutput()
    context.log = DecisionLog("n1", context.output).__enter__()


@when("{routine:d} routine lines and then {failures:d} failures are logged")
def log_lines(context, routine, failures):
    def log_all():
        for number in range(routine):
            context.log.note("forwarding", "answered", routine=True, number=number)
        for number in range(failures):
            context.log.note("forwarding", "rejected", number=number)

    context.logging_thread = threading.Thread(target=log_all, daemon=True)
    context.logging_thread.start()


@then("logging has not blocked")
def check_not_blocked(context):
    # The output blocks for longer than this join waits, so a logging call that waits for the
    # output would keep the thread alive.
    context.logging_thread.join(TIMEOUT_S / 2)
    assert not context.logging_thread.is_alive()


def written_lines(context):
    return list(parse_lines(context.output.getvalue().split("\n")))


@then("all {count:d} failures are written once the output accepts data again")
def check_failures_written(context, count):
    context.output.unblocked.set()
    deadline = time.monotonic() + TIMEOUT_S
    while sum(line["event"] == "rejected" for line in written_lines(context)) < count:
        assert time.monotonic() < deadline, "failures are missing from the log"
        time.sleep(0.01)


@then("the log reports how many lines were dropped")
def check_drop_report(context):
    def drop_reports():
        lines = context.output.getvalue().split("\n")
        return [json.loads(line) for line in lines if '"dropped"' in line]

    deadline = time.monotonic() + TIMEOUT_S
    while not drop_reports():
        assert time.monotonic() < deadline, "no report of dropped lines"
        time.sleep(0.01)
    assert drop_reports()[0]["lines"]["forwarding.answered"] > 0, drop_reports()
