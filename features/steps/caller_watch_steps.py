"""Steps for callers that disconnect from a pass-through server."""

import contextlib
import os
import select
import socket
import threading
from unittest import mock

from behave import given, then, when

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.forwarding.messages import CallerGone
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
from chervilrack.platform.emulated.standins import free_ports

LIMIT_S = 10.0
# Time in which a wrongly reported disconnect would show up.
SETTLE_S = 0.3
REQUEST = b"POST /a HTTP/1.1\r\nHost: app.example\r\nContent-Length: 2\r\n\r\nab"


class Handler:
    """Answers in steps that the scenario releases; ``gone`` is set on a reported disconnect."""

    def __init__(self, is_whole):
        self._is_whole = is_whole
        self.is_silent = False
        self.step_count = 1 if is_whole else 3
        self.allowed_steps = threading.Semaphore(0)
        self.gone = threading.Event()
        self.ended = threading.Event()

    def __call__(self, request, responder):
        with responder.on_caller_gone(self.gone.set), contextlib.suppress(CallerGone):
            for step in self._answer(responder):
                assert self.allowed_steps.acquire(timeout=LIMIT_S)
                step()
            assert self.allowed_steps.acquire(timeout=LIMIT_S)
        self.ended.set()

    def _answer(self, responder):
        if self.is_silent:
            return []
        if self._is_whole:
            return [lambda: responder.send_response(200, [], b"whole")]
        return [lambda: responder.begin(200, []), lambda: responder.write(b"part"), responder.end]


@given("a pass-through server whose handler answers {answer}")
def start_server(context, answer):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.handler = Handler(answer == "whole")
    context.handler.is_silent = answer == "nothing"
    (port,) = free_ports(1)
    settings = ListenSettings("127.0.0.1", port)
    watch = stack.enter_context(CallerWatch())
    stack.enter_context(PassThroughServer(settings, context.handler, SystemClock(), watch))
    context.caller = socket.create_connection(("127.0.0.1", port), timeout=LIMIT_S)
    context.caller.sendall(REQUEST)


def read_until(caller, ending):
    received = b""
    while not received.endswith(ending):
        part = caller.recv(4096)
        assert part, received
        received += part


@when("the caller disconnects before the answer")
def disconnect_before_answer(context):
    context.caller.close()


@when("the caller disconnects after the first part")
def disconnect_after_first_part(context):
    context.handler.allowed_steps.release(2)
    read_until(context.caller, b"part\r\n")
    context.caller.close()


@when("the caller disconnects after the whole answer")
def disconnect_after_whole_answer(context):
    context.handler.allowed_steps.release(context.handler.step_count)
    read_until(context.caller, (b"whole", b"0\r\n\r\n"))
    context.caller.close()


@then("the caller counts as gone")
def check_gone(context):
    assert context.handler.gone.wait(LIMIT_S)
    context.handler.allowed_steps.release(4)
    assert context.handler.ended.wait(LIMIT_S)


@then("the caller counts as not gone")
def check_not_gone(context):
    assert not context.handler.gone.wait(SETTLE_S)
    context.handler.allowed_steps.release(4)
    assert context.handler.ended.wait(LIMIT_S)
    assert not context.handler.gone.is_set()


class PausingPoller:
    """epoll whose ``poll`` returns events only after ``resume`` was released once for each call.

    ``paused`` is released when events have arrived, ``polling`` when ``poll`` begins.
    """

    def __init__(self):
        self._poller = create_epoll()
        self.polling = threading.Semaphore(0)
        self.paused = threading.Semaphore(0)
        self.resume = threading.Semaphore(0)

    def __getattr__(self, name):
        return getattr(self._poller, name)

    def poll(self):
        self.polling.release()
        events = self._poller.poll()
        self.paused.release()
        assert self.resume.acquire(timeout=LIMIT_S)
        return events


create_epoll = select.epoll


@given("a watch of callers whose thread pauses after each event")
def start_pausing_watch(context):
    with mock.patch.object(select, "epoll", PausingPoller):
        context.watch = CallerWatch()
    context.poller = context.watch._poller
    context.stack = contextlib.ExitStack()
    context.add_cleanup(context.stack.close)
    context.stack.enter_context(context.watch)
    context.stack.callback(context.poller.resume.release, 4)
    assert context.poller.polling.acquire(timeout=LIMIT_S)


@when("a caller disconnects and a later one gets its descriptor during the pause")
def reuse_descriptor(context):
    earlier_gone, context.later_gone = threading.Event(), threading.Event()
    connection, caller = socket.socketpair()
    descriptor = connection.fileno()
    with context.watch.watching(connection, earlier_gone.set):
        caller.close()
        assert context.poller.paused.acquire(timeout=LIMIT_S)
    accepted, context.later_caller = socket.socketpair()
    os.dup2(accepted.fileno(), descriptor)
    accepted.close()
    context.stack.enter_context(connection)
    context.stack.enter_context(context.watch.watching(connection, context.later_gone.set))
    context.poller.resume.release()
    assert context.poller.polling.acquire(timeout=LIMIT_S)
    assert not earlier_gone.is_set()


@then("the later caller does not count as gone")
def check_later_not_gone(context):
    assert not context.later_gone.is_set()


@when("the later caller disconnects")
def disconnect_later_caller(context):
    context.later_caller.close()
    assert context.poller.paused.acquire(timeout=LIMIT_S)
    context.poller.resume.release()


@then("the later caller counts as gone")
def check_later_gone(context):
    assert context.later_gone.wait(LIMIT_S)


@when("the handler ends without an answer")
def end_without_answer(context):
    context.handler.allowed_steps.release()
    assert context.handler.ended.wait(LIMIT_S)


@then("the caller sees the end of the connection")
def check_end(context):
    assert context.caller.recv(1) == b""


@given("a watch of callers")
def start_watch(context):
    context.stack = contextlib.ExitStack()
    context.add_cleanup(context.stack.close)
    context.watch = context.stack.enter_context(CallerWatch())


def watch_caller(context, action):
    """Return a caller's end of a connection that is watched until the scenario ends."""
    connection, caller = socket.socketpair()
    context.stack.enter_context(connection)
    context.stack.enter_context(context.watch.watching(connection, action))
    return caller


@when("a caller disconnects whose action raises an exception")
def disconnect_failing(context):
    has_run = threading.Event()

    def fail():
        has_run.set()
        raise KeyError("odd")

    watch_caller(context, fail).close()
    assert has_run.wait(LIMIT_S)


@when("another caller disconnects")
def disconnect_other(context):
    context.later_gone = threading.Event()
    watch_caller(context, context.later_gone.set).close()


@then("the other caller counts as gone")
def check_other_gone(context):
    assert context.later_gone.wait(LIMIT_S)
