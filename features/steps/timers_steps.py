"""Steps for the thread that runs a node's timers."""

import builtins
import threading
import time
from datetime import timedelta
from unittest import mock

from behave import given, then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.serving import timers
from chervilrack._internal.serving.timers import TimerThread

LIMIT_S = 20.0  # only bounds a failing run


class SkippingClock(SystemClock):
    """Clock that can jump ahead, as if the process had been paused."""

    def __init__(self):
        super().__init__()
        self._skipped = timedelta(0)

    def monotonic(self):
        return super().monotonic() + self._skipped

    def skip(self, seconds):
        self._skipped += timedelta(seconds=seconds)


@given("timers that wait until the next is due in {seconds:g} s")
def start_waiting_timers(context, seconds):
    # The thread runs the timers at regular intervals, too; they must not hide a missing wake.
    patch = mock.patch.object(timers, "LONGEST_WAIT", timedelta(seconds=seconds))
    patch.start()
    context.add_cleanup(patch.stop)
    start_timers(context, seconds)
    end = time.monotonic() + LIMIT_S
    # The thread holds the lock from this call until it waits.
    while context.due_time_calls == 0:
        assert time.monotonic() < end
        time.sleep(0.001)


@given("timers of which the next is due in {seconds:g} s")
def start_timers(context, seconds):
    context.clock = SkippingClock()
    context.pauses = []
    context.skip_in_tick = 0.0
    context.due = context.clock.monotonic() + timedelta(seconds=seconds)
    context.due_time_calls = context.ticks = 0
    context.ran = threading.Event()

    def next_time():
        context.due_time_calls += 1
        return context.due

    def tick(now):
        context.ticks += 1
        context.ran_at = now
        context.due = now + timedelta(seconds=60)
        context.clock.skip(context.skip_in_tick)
        context.skip_in_tick = 0.0
        context.ran.set()

    context.timers = TimerThread(
        context.clock, threading.RLock(), next_time, (tick,), context.pauses.append
    )
    context.timers.__enter__()
    # A thread of an earlier scenario would run the timers of this one.
    context.add_cleanup(context.timers._thread.join, LIMIT_S)
    context.add_cleanup(context.timers.__exit__, None, None, None)


@when("{count:d} messages wake the timer thread")
def wake_often(context, count):
    context.due_time_calls = 0
    context.began = time.monotonic()
    for _ in range(count):
        context.timers.wake()
    time.sleep(0.1)


@then("the messages have not made the timers run")
def check_ticks(context):
    assert context.ticks == 0, context.ticks


@then("the next due time was computed at most once in {pause:g} s")
def check_due_time_calls(context, pause):
    # One call may be under way when the first message comes, and one when the last comes.
    limit = (time.monotonic() - context.began) / pause + 2
    assert 0 < context.due_time_calls <= limit, context.due_time_calls


@when("the process is paused for {seconds:g} s while the timers {doing}")
def pause_process(context, seconds, doing):
    if doing == "wait":
        time.sleep(0.05)
        context.clock.skip(seconds)
        context.timers.wake()
    else:
        context.skip_in_tick = seconds
        context.due = context.clock.monotonic()
        context.timers.wake()


@then("a pause of about {seconds:g} s was reported")
def check_pause(context, seconds):
    end = time.monotonic() + 5.0
    while not context.pauses and time.monotonic() < end:
        time.sleep(0.01)
    (pause,) = context.pauses
    assert abs(pause.total_seconds() - seconds) < 0.6, pause


@when("a message makes a timer due in {seconds:g} s")
def make_timer_due(context, seconds):
    context.due = context.made_due = context.clock.monotonic() + timedelta(seconds=seconds)
    context.timers.wake()


@then("the timers run when it is due, not after {seconds:g} s")
def check_timers_run(context, seconds):
    assert context.ran.wait(seconds / 2)
    assert context.ran_at >= context.made_due, (context.ran_at, context.made_due)


@given("timers whose {function} raises {error} once")
def start_failing_timers(context, function, error):
    start_timers(context, 60)
    errors = [getattr(builtins, error)("odd")]
    context.calls = 0

    def fail_once(*_):
        context.calls += 1
        if errors:
            raise errors.pop()
        return context.clock.monotonic() + timedelta(seconds=60)

    with context.timers._changed:
        if function == "next time":
            context.timers._next_time = fail_once
        else:
            context.timers._timers = [fail_once]
        context.due = context.clock.monotonic()
    context.timers.wake()
    end = time.monotonic() + LIMIT_S
    while errors:
        assert time.monotonic() < end, "the timers do not run"
        time.sleep(0.001)


@then("the timers go on")
def check_going_on(context):
    end = time.monotonic() + LIMIT_S
    while context.calls < 2:
        assert time.monotonic() < end, "the timers have ended"
        context.timers.wake()
        time.sleep(0.01)
