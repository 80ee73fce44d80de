"""Steps for the supervision of long-lived threads."""

import builtins
import logging
import random
import re
import threading
from datetime import timedelta

from behave import given, then, when
from prometheus_client import CollectorRegistry

from chervilrack._internal.common import supervision
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.supervision import (
    SupervisedThread,
    Supervisor,
    ThreadFailures,
    handling,
)
from chervilrack._internal.observability.metrics import ThreadFailureMetric

LIMIT_S = 20.0  # only bounds a failing run


class LongError(Exception):
    """Exception whose message is longer than a log line should be."""

    def __init__(self, _):
        super().__init__("x" * 1_000_000)


def error_named(name):
    return LongError if name == "LongError" else getattr(builtins, name)


class Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@given("a supervised loop that raises {errors} and then returns")
def make_loop(context, errors):
    context.clock = ManualClock()
    context.failures = ThreadFailures(context.clock)
    context.calls, context.pauses = 0, []
    script = []
    for part in errors.split(", ") if errors != "nothing" else ():
        if part.endswith(" s of work"):
            # The call that raises next works for that long before.
            script.append(float(part.removesuffix(" s of work")))
        else:
            count, name = part.split()
            script += [error_named(name)] * int(count)

    def run_once():
        context.calls += 1
        if script and isinstance(script[0], float):
            context.clock.advance(timedelta(seconds=script.pop(0)))
        if script:
            with handling("key a of revision 7"):
                raise script.pop(0)("odd")

    context.loop = run_once
    context.handler = Lines()
    supervision.logger.addHandler(context.handler)
    context.add_cleanup(supervision.logger.removeHandler, context.handler)


@when("the loop is run")
def run_loop(context):
    run_loop_until(context, None)


@when("the loop is run, and has to end after {pauses:d} pauses")
def run_loop_until(context, pauses):
    def wait(pause):
        context.pauses.append(pause.total_seconds())
        context.clock.advance(pause)
        return len(context.pauses) == pauses

    Supervisor("loop", wait, context.clock, random.Random(1), context.failures).run(context.loop)


@then("it was called {calls:d} times, with pauses between half of and at most {pauses} s")
@then("it was called {calls:d} times, with pauses between half of and at most  s")
def check_calls(context, calls, pauses=""):
    limits = [float(pause) for pause in pauses.split(", ")] if pauses else []
    assert context.calls == calls, context.calls
    assert len(context.pauses) == len(limits), context.pauses
    pairs = list(zip(context.pauses, limits, strict=True))
    assert all(limit / 2 <= pause <= limit for pause, limit in pairs), pairs
    assert len(limits) < 2 or any(pause != limit for pause, limit in pairs), pairs


@then("{count:d} failures are counted for its thread")
def check_failures(context, count):
    assert context.failures.counts.get("loop", 0) == count, context.failures.counts


@then("{lines} were logged, each with the thread, what it handled and a reason of bounded length")
def check_lines(context, lines):
    logged = context.handler.lines
    assert len(logged) == int(lines.split()[0]), logged
    for line in logged:
        assert line.startswith("threads: loop "), line
        assert "key a of revision 7" in line, line
        assert len(line) < 3000, len(line)
    counted = re.search(r"counting (\d+) more", lines)
    if counted is not None:
        assert f"({counted[1]} more" in logged[-1], logged[-1]


@then("its failures are exported as a counter of {count:d}, also when it is read twice")
def check_metric(context, count):
    registry = CollectorRegistry()
    metric = ThreadFailureMetric(registry, context.failures)
    for _ in range(2):
        metric.update()
        value = registry.get_sample_value("chervilrack_thread_failures_total", {"thread": "loop"})
        assert value == count, value


@given("a supervised thread whose function raises {error} once")
def start_thread(context, error):
    context.called_again = threading.Event()
    stopping = threading.Event()
    errors = [error_named(error)]

    def function():
        if errors:
            raise errors.pop()("odd")
        context.called_again.set()
        stopping.wait(LIMIT_S)
        raise error_named(error)("odd")

    context.thread = SupervisedThread("test", function, stopping)
    context.thread.__enter__()
    context.add_cleanup(stopping.set)


@then("its function is called again")
def check_called_again(context):
    assert context.called_again.wait(LIMIT_S)


@then("the thread ends when its context does, within its pause after an exception too")
def check_end(context):
    context.thread.__exit__(None, None, None)
    assert not context.thread._thread.is_alive()
