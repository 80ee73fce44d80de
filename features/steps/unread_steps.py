"""Steps for the writer of answers that their callers have not read yet."""

import socket
import threading
from types import SimpleNamespace

from behave import given, then, when

from chervilrack._internal.common.byte_budget import ByteBudget
from chervilrack._internal.gateway.unread import AnswerWriter

TIMEOUT_S = 5
PARTS = (b"first", b"last")
MEMORY = 64 * 1024 * 1024


class WatchedCondition:
    """A condition that calls ``found_empty`` once, after a holder has found nothing to send."""

    def __init__(self, writer, found_empty):
        self._condition = threading.Condition()
        self._writer = writer
        self._found_empty = found_empty
        self._was_empty = False

    def __enter__(self):
        self._condition.__enter__()
        self._was_empty = not self._writer._kept

    def __exit__(self, *args):
        is_sender = threading.current_thread().name == "unread"
        call = self._found_empty if is_sender and self._was_empty else None
        if call is not None:
            self._found_empty = None
        self._condition.__exit__(*args)
        if call is not None:
            call()

    def wait_for(self, predicate, timeout=None):
        return self._condition.wait_for(predicate, timeout)

    def notify_all(self):
        self._condition.notify_all()


def create_writer(context):
    context.near, context.far = socket.socketpair()
    context.add_cleanup(context.near.close)
    context.add_cleanup(context.far.close)
    context.near.settimeout(TIMEOUT_S)
    context.far.settimeout(1)
    context.memory = ByteBudget(MEMORY)
    context.writer = AnswerWriter(context.near, context.memory)


@given("an answer whose first part is kept")
def create_kept(context):
    create_writer(context)
    # As if the caller's buffer were full whenever a part comes.
    context.writer._poller = SimpleNamespace(poll=lambda _: [])


@when("the last part is kept just when the thread finds nothing left to send")
def keep_last(context):
    kept = threading.Event()

    def keep():
        context.writer.write(PARTS[1])
        kept.set()

    context.writer._changed = WatchedCondition(context.writer, keep)
    context.writer.write(PARTS[0])
    assert kept.wait(TIMEOUT_S)
    context.writer.flush()


@then("the caller gets both parts")
def check_parts(context):
    expected = b"".join(PARTS)
    received = b""
    while len(received) < len(expected):
        received += context.far.recv(100)
    assert received == expected, received


@given("an answer whose caller reads nothing")
def create_unread(context):
    context.threads = set(threading.enumerate())
    create_writer(context)
    context.writer.write(bytes(8 * 1024 * 1024))
    assert context.memory.used


@when("the answer ends without a wait for its caller")
def end_answer(context):
    context.writer.close()


@then("no thread sends to the connection any more")
def check_threads(context):
    assert not context.writer._is_draining


@then("the answer holds no bytes")
def check_memory(context):
    assert context.memory.used == 0
