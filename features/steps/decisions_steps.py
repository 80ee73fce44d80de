"""Steps for the decision log and the stories told from it."""

import io
import json
import threading
import time

from behave import given, then, when

from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.observability.timelines import build_timeline, format_line, parse_lines

LIMIT_S = 20.0


def line(second, node, part, event, **fields):
    stamp = f"2026-01-01T10:00:{second:06.3f}+00:00"
    return json.dumps({"time": stamp, "node": node, "part": part, "event": event, **fields})


@given("the decision logs of two nodes about a rejected request")
def logs(context):
    context.texts = [
        "plain text without a line",
        "  1.0 n1 " + line(10, "n1", "forwarding", "rejected", request="r1", status=503,
             detail="stage 0 failed", took_ms=900, steps=["stage 0/0 error"]),
        line(9.5, "n2", "batching", "call failed", upstream="u9", requests=["r1", "r2"],
             reason="no connection"),
        line(9.6, "n2", "balancing", "eject", upstream="u9", reason="no connection"),
        line(9.7, "n1", "forwarding", "answered", request="r2", status=200),
        line(59, "n2", "balancing", "eject", upstream="u9", reason="later"),
        "{broken",
    ]  # fmt: skip


@when("the story of the rejected request is told")
def told(context):
    timeline = build_timeline(parse_lines(context.texts), "r1")
    context.own = "\n".join(format_line(item) for item in timeline.request_lines)
    context.around = "\n".join(format_line(item) for item in timeline.context_lines)


@then("the story names the node, the stage call that failed and the ejected upstream")
def names(context):
    for text in ("n1 forwarding: rejected", "stage 0/0 error", "n2 batching: call failed", "u9"):
        assert text in context.own, context.own
    assert "balancing: eject" in context.around, context.around


@then("the story leaves out what other requests and distant times say")
def leaves_out(context):
    assert "answered" not in context.own, context.own
    assert "later" not in context.around, context.around


class _Stuck(io.StringIO):
    """Output whose reader stands still until told to go on."""

    def __init__(self):
        super().__init__()
        self.go_on = threading.Event()

    def write(self, text):
        self.go_on.wait(LIMIT_S)
        return super().write(text)


class _Closed(io.StringIO):
    def write(self, text):
        raise BrokenPipeError


@given("a decision log whose reader stands still")
def stuck(context):
    context.output = _Stuck()
    context.log = DecisionLog("n1", context.output).__enter__()


@given("a decision log whose output is closed")
def closed(context):
    context.output = _Closed()
    context.log = DecisionLog("n1", context.output).__enter__()


@when("{routine:d} routine lines and then {failures:d} failures are noted")
def note(context, routine, failures):
    def add():
        for number in range(routine):
            context.log.note("forwarding", "answered", routine=True, number=number)
        for number in range(failures):
            context.log.note("forwarding", "rejected", number=number)

    context.noting = threading.Thread(target=add, daemon=True)
    context.noting.start()


@then("noting took no wait")
def no_wait(context):
    # The reader stands still for longer than this; a note that waits for it would not return.
    context.noting.join(LIMIT_S / 2)
    assert not context.noting.is_alive()


def written(context):
    return list(parse_lines(context.output.getvalue().split("\n")))


@then("after the reader goes on all {count:d} failures are written")
def failures_written(context, count):
    context.output.go_on.set()
    end = time.monotonic() + LIMIT_S
    while sum(item["event"] == "rejected" for item in written(context)) < count:
        assert time.monotonic() < end, "failures are missing"
        time.sleep(0.01)


@then("the log reports how many lines were dropped")
def reports(context):
    def dropped():
        lines = context.output.getvalue().split("\n")
        return [json.loads(item) for item in lines if '"dropped"' in item]

    end = time.monotonic() + LIMIT_S
    while not dropped():
        assert time.monotonic() < end, "no report"
        time.sleep(0.01)
    assert dropped()[0]["lines"]["forwarding.answered"] > 0, dropped()
