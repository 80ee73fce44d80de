"""Steps for exchanges that are cancelled while their answer is read."""

import functools
import socket
import threading
import time

from behave import then, when
from broken_off_steps import LIMIT_S, build_response, create_call

from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.exchange import Exchange, ExchangeFailed
from chervilrack._internal.upstreams.port import FailureKind
from chervilrack._internal.upstreams.protocols import create_clients


class PausingServer:
    """Sends the first bytes of an answer to one request, and keeps the connection open.

    ``sent`` is set once they have been written. Use as a context manager.
    """

    def __init__(self, content):
        self._content = content
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sent = threading.Event()

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_exception):
        self._closing.set()
        self._thread.join()
        self._listener.close()

    def _serve(self):
        connection, _peer = self._listener.accept()
        with connection:
            head = b""
            while b"\r\n\r\n" not in head:
                head += connection.recv(65536)
            connection.sendall(self._content)
            self.sent.set()
            self._closing.wait(LIMIT_S)


def first_bytes(client, framing, position):
    """Return the bytes of an answer that arrive before the cancellation."""
    kind = "a native call" if client == "a native call" else "a forwarded request"
    response = build_response(kind, "200", framing)
    head_size = response.index(b"\r\n\r\n") + 4
    return {
        "before the head": b"",
        "within the body": response[: head_size + 8],
        "behind the body": response,
    }[position]


def read_forwarded(exchange, *, in_parts):
    """Return the body of the answer to a forwarded request; raises ExchangeFailed."""
    exchange.send("POST", "/", [("Host", "a")], b"order", LIMIT_S)
    exchange.read_head(LIMIT_S)
    deadline = time.monotonic() + LIMIT_S
    return b"".join(exchange.parts(deadline)) if in_parts else exchange.read_body(deadline)


def run_and_cancel(context, server, read, cancel):
    """Run ``read`` in a thread, cancel once the server has sent its bytes; keep the outcome."""

    def run():
        try:
            context.outcome = read()
        except ExchangeFailed as error:
            context.outcome = error

    reader = threading.Thread(target=run)
    reader.start()
    assert server.sent.wait(LIMIT_S)
    # The reader has to wait for further bytes. It may not yet, in which case the end is the same.
    time.sleep(0.05)
    cancel()
    reader.join(LIMIT_S)
    assert not reader.is_alive(), "the cancellation has not ended the reader"


@when("{client} is cancelled {position} while its answer is sent {framing}")
def cancel_reader(context, client, position, framing):
    with PausingServer(first_bytes(client, framing, position)) as server:
        if client == "a native call":
            with ConnectionPools() as pools:
                native = create_clients(pools)["json"]
                call = create_call(server.address)
                cancel = functools.partial(native.cancel, call.attempt_id)
                run_and_cancel(context, server, functools.partial(native.call, call), cancel)
            return
        with Exchange(server.address) as exchange:
            in_parts = client == "a forwarded stream"
            run_and_cancel(
                context,
                server,
                lambda: read_forwarded(exchange, in_parts=in_parts),
                exchange.cancel,
            )


@when("a forwarded request is cancelled behind its whole answer, sent {framing}")
def cancel_late(context, framing):
    content = first_bytes("a forwarded request", framing, "behind the body")
    with PausingServer(content) as server, Exchange(server.address) as exchange:
        run_and_cancel(
            context, server, lambda: read_forwarded(exchange, in_parts=False), exchange.cancel
        )


@then("it fails as cancelled, and the upstream does not count as having broken it off")
def check_cancelled(context):
    outcome = context.outcome
    if isinstance(outcome, ExchangeFailed):
        assert outcome.cancelled, outcome
        assert not outcome.broke_off, outcome
        return
    assert not isinstance(outcome, bytes), outcome
    assert outcome.is_err(), outcome
    assert outcome.err_value.kind is FailureKind.CANCELLED, outcome


@then("it is answered")
def check_answered(context):
    assert context.outcome == b"0123456789abcdef", context.outcome
