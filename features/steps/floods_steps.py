"""Steps for responses without end, and for the budget of the buffers that keep them."""

from contextlib import ExitStack

from behave import given, then, when
from broken_off_steps import CHUNKED, CLIENTS, OK_LINE
from features.support.cut_server import CutServer

from chervilrack._internal.common.byte_budget import BudgetExceeded, ByteBudget

KILOBYTE = 1000
MEGABYTE = 1_000_000
# A client without a bound ends here.
MAX_SENT = 200 * MEGABYTE
BLOCK = b"x" * 100_000
FLOODS = {
    "a body": (b"\r\n", BLOCK),
    "a body of 1 PB": (b"Content-Length: %d\r\n\r\n" % 10**15, BLOCK),
    "chunks": (CHUNKED + b"\r\n", b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)),
    "a head": (b"X-Long: ", BLOCK),
}


class FloodServer(CutServer):
    """Answers each request with a head and then one block without end; counts what is sent."""

    def __init__(self, head, block):
        super().__init__(head)
        self._block = block
        self.sent = 0

    def _answer(self, connection):
        connection.recv(65536)
        connection.sendall(self.response)
        while self.sent < MAX_SENT:
            connection.sendall(self._block)
            self.sent += len(self._block)


@when("{client} gets {content} without end")
def send_flood(context, client, content):
    call, fields, _body = CLIENTS[client]
    head, block = FLOODS[content]
    with FloodServer(OK_LINE + fields + head, block) as server, ExitStack() as stack:
        context.is_known = call(stack, server.address, False)
        context.sent = server.sent


@then("it has read at most {megabytes:d} MB, and knows no outcome")
def check_sent(context, megabytes):
    assert not context.is_known
    assert context.sent <= megabytes * MEGABYTE, context.sent


@given("a budget of {size:d} kB for buffers")
def create_budget(context, size):
    context.budget = ByteBudget(size * KILOBYTE)
    context.buffers, context.revoked = [], []


@given("no other buffers")
def create_none(context):
    pass


@given("{count:d} {state} ones of {size:d} kB")
def create_buffers(context, count, state, size):
    for number in range(count):
        buffer = context.budget.open(lambda number=number: context.revoked.append(number))
        buffer.add(size * KILOBYTE)
        if state == "whole":
            buffer.finish()
        context.buffers.append(buffer)


@when("a buffer grows to {size:d} kB, in steps of {step:d} kB")
def grow(context, size, step):
    buffer = context.budget.open()
    context.buffers.append(buffer)
    context.outcome = "is whole"
    try:
        while buffer.size < size * KILOBYTE:
            buffer.add(step * KILOBYTE)
            assert context.budget.used <= context.budget.limit
    except BudgetExceeded as error:
        is_alone = str(error) == f"the buffer exceeds {context.budget.limit // 2} bytes"
        context.outcome = "exceeds its share" if is_alone else "does not fit"


@then("the growing buffer {outcome}")
def check_outcome(context, outcome):
    text, _, given_way = outcome.partition(", and ")
    assert context.outcome == text, context.outcome
    assert len(context.revoked) == (int(given_way.split()[0]) if given_way else 0)
    for buffer in context.buffers:
        assert buffer.is_revoked == (buffer.size == 0)


@then("the buffers hold at most {size:d} kB")
def check_used(context, size):
    assert context.budget.used <= size * KILOBYTE
    assert context.budget.used == sum(buffer.size for buffer in context.buffers)


@when("all buffers end")
def end_buffers(context):
    for buffer in context.buffers:
        buffer.close()
