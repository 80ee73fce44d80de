"""Steps for the thread that runs a node's timers."""

import threading
import time
from datetime import timedelta

from behave import given, then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.serving.timers import LONGEST_WAIT, TimerThread


@given("timers of which the next is due in {seconds:g} s")
def timers(context, seconds):
    context.clock = SystemClock()
    context.due = context.clock.monotonic() + timedelta(seconds=seconds)
    context.asked = context.ticks = 0
    context.ran = threading.Event()

    def next_time():
        context.asked += 1
        return context.due

    def tick(now):
        context.ticks += 1
        context.due = now + timedelta(seconds=60)
        context.ran.set()

    context.timers = TimerThread(
        context.clock, threading.RLock(), next_time, tick, lambda late: None
    )
    context.timers.__enter__()
    context.add_cleanup(context.timers.__exit__, None, None, None)


@when("{count:d} messages wake the timers")
def wake(context, count):
    context.asked = 0
    context.began = time.monotonic()
    for _ in range(count):
        context.timers.wake()
        time.sleep(0.001)


@then("the timers have not run for the messages")
def not_for_messages(context):
    # They run every half second in any case.
    in_any_case = (time.monotonic() - context.began) / LONGEST_WAIT.total_seconds()
    assert context.ticks <= in_any_case + 1, context.ticks


@then("they were asked what is due next fewer than {count:d} times")
def asked(context, count):
    assert 0 < context.asked < count, context.asked


@when("a message makes one due in {seconds:g} s")
def due_soon(context, seconds):
    context.due = context.clock.monotonic() + timedelta(seconds=seconds)
    context.timers.wake()


@then("the timers run within {seconds:g} s")
def run_soon(context, seconds):
    assert context.ran.wait(seconds)
