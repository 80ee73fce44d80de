"""Steps for the thread that runs a node's timers."""

import threading
import time
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.serving.timers import LONGEST_WAIT, TimerThread


class SkippingClock(SystemClock):
    """Clock that jumps as if the process had been stopped for a while."""

    def __init__(self):
        super().__init__()
        self._skipped = timedelta(0)

    def monotonic(self):
        return super().monotonic() + self._skipped

    def skip(self, seconds):
        self._skipped += timedelta(seconds=seconds)


@given("timers of which the next is due in {seconds:g} s")
def timers(context, seconds):
    context.clock = SkippingClock()
    context.pauses = []
    context.skip_in_tick = 0.0
    context.due = context.clock.monotonic() + timedelta(seconds=seconds)
    context.asked = context.ticks = 0
    context.ran = threading.Event()

    def next_time():
        context.asked += 1
        return context.due

    def tick(now):
        context.ticks += 1
        context.due = now + timedelta(seconds=60)
        context.clock.skip(context.skip_in_tick)
        context.skip_in_tick = 0.0
        context.ran.set()

    context.timers = TimerThread(
        context.clock, threading.RLock(), next_time, tick, context.pauses.append
    )
    context.timers.__enter__()
    context.add_cleanup(context.timers.__exit__, None, None, None)


@when("{count:d} messages wake the timers")
def wake(context, count):
    context.asked = 0
    context.began = time.monotonic()
    for _ in range(count):
        context.timers.wake()
    time.sleep(0.1)


@then("the timers have not run for the messages")
def not_for_messages(context):
    # They run every half second in any case.
    in_any_case = (time.monotonic() - context.began) / LONGEST_WAIT.total_seconds()
    assert context.ticks <= in_any_case + 1, context.ticks


@then("they were asked what is due next at most once in {pause:g} s")
def asked(context, pause):
    # One look may be under way when the first message comes, and one when the last does.
    most = (time.monotonic() - context.began) / pause + 2
    assert 0 < context.asked <= most, context.asked


@when("the process is held up for {seconds:g} s while the timers {doing}")
def held_up(context, seconds, doing):
    if doing == "wait":
        time.sleep(0.05)
        context.clock.skip(seconds)
        context.timers.wake()
    else:
        context.skip_in_tick = seconds
        context.due = context.clock.monotonic()
        context.timers.wake()


@then("the timers have noticed a pause of about {seconds:g} s")
def noticed(context, seconds):
    end = time.monotonic() + 5.0
    while not context.pauses and time.monotonic() < end:
        time.sleep(0.01)
    (pause,) = context.pauses
    assert abs(pause.total_seconds() - seconds) < 0.6, pause


@when("a message makes one due in {seconds:g} s")
def due_soon(context, seconds):
    context.due = context.clock.monotonic() + timedelta(seconds=seconds)
    context.timers.wake()


@then("the timers run within {seconds:g} s")
def run_soon(context, seconds):
    assert context.ran.wait(seconds)
