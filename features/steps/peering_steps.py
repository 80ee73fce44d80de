"""Steps for messages between nodes."""

import contextlib
import select
import socket
import threading
import time
from collections import Counter
from datetime import timedelta

import msgspec
import zmq
from behave import given, then, when

from chervilrack._internal.peering.envelope import MessageCodec, MessageRefused
from chervilrack._internal.peering.keys import generate_keys
from chervilrack._internal.peering.transport import PeerTransport
from chervilrack._internal.soak.proxy import LinkProxy

WAIT_TIMEOUT_S = 20
LOOPBACK = "tcp://127.0.0.1:*"
# How long a test waits for messages that must not arrive.
ABSENCE_WAIT_S = 0.3


class Hello(msgspec.Struct, forbid_unknown_fields=True):
    """Message that the tests send."""

    text: str


def _create_codec():
    codec = MessageCodec()
    codec.register("test.hello", Hello)
    return codec


class Open(msgspec.Struct, array_like=True):
    """Message whose decoder passes over elements that a later version adds, like the fleet's."""

    text: str


def _create_open_codec():
    codec = _create_codec()
    codec.register("test.open", Open)
    return codec


def _frame(version, kind, body):
    return msgspec.msgpack.encode([version, "a", "1", kind, msgspec.msgpack.encode(body)])


# Nested deeper than Python's limit of recursion, in an element that the decoder passes over.
DEEP = msgspec.msgpack.encode([1, "a", "1", "test.open", b"\x92\xa1x" + b"\x91" * 5000 + b"\xc0"])

FRAMES = {
    "random bytes": b"\x93\x01\x02",
    "a later version": _frame(2, "test.hello", {"text": "x"}),
    "an unknown kind": _frame(1, "test.none", {"text": "x"}),
    "an unknown field": _frame(1, "test.hello", {"text": "x", "more": 1}),
    "a wrong field type": _frame(1, "test.hello", {"text": 7}),
    "deep nesting": DEEP,
}


@when("the peering codec decodes a frame with {fault}")
def decode_frame(context, fault):
    context.refusal = ""
    try:
        _create_open_codec().decode(FRAMES[fault])
    except MessageRefused as refusal:
        context.refusal = str(refusal)


@then("the peering codec refuses the frame because {reason}")
def check_refusal(context, reason):
    assert context.refusal.startswith(reason), context.refusal


@when("a node with {keys} sends a message to a node with the fleet keys")
def send_message(context, keys):
    fleet_keys = generate_keys()
    sender_keys = {"the fleet keys": fleet_keys, "other keys": generate_keys(), "no keys": None}[
        keys
    ]
    context.delivered = []
    handler = context.delivered.append
    with (
        PeerTransport("b", "1", LOOPBACK, _create_codec(), handler, fleet_keys) as receiver,
        PeerTransport("a", "1", LOOPBACK, _create_codec(), handler, sender_keys) as sender,
        PeerTransport("c", "1", LOOPBACK, _create_codec(), handler, fleet_keys) as allowed_node,
    ):
        sender.set_peers({"b": receiver.address})
        allowed_node.set_peers({"b": receiver.address})
        sender.send("b", Hello("x"))
        # Messages of an allowed node bound the wait for a message that must not arrive.
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while "c" not in {e.sender for e in context.delivered} and time.monotonic() < deadline:
            allowed_node.send("b", Hello("probe"))
            time.sleep(0.05)
        while keys == "the fleet keys" and time.monotonic() < deadline:
            if any(envelope.sender == "a" for envelope in context.delivered):
                break
            time.sleep(0.02)


@then("{count:d} message is delivered")
def check_delivered(context, count):
    senders = [envelope.sender for envelope in context.delivered]
    assert "c" in senders
    assert senders.count("a") == count, senders


class StallingLink(LinkProxy):
    """Link whose open connections can stop reading, so that their window closes."""

    def __init__(self, listen, target):
        super().__init__(listen, target)
        # Inherited by the connections that are accepted.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.stalled = threading.Event()
        self._first = []

    def _forward(self, source, target, holding_modes, is_reset):
        self._first.append(source)
        if self._first.index(source) < 2:
            source = _StallingSocket(source, self.stalled)
        super()._forward(source, target, holding_modes, is_reset)


class _StallingSocket:
    """Socket that reads nothing more once ``stalled`` is set."""

    def __init__(self, connection, stalled):
        self._connection, self._stalled = connection, stalled

    def __getattr__(self, name):
        return getattr(self._connection, name)

    def __hash__(self):
        return hash(self._connection)

    def __eq__(self, other):
        return self._connection is other

    def recv(self, size):
        while not select.select([self._connection], [], [], 0.02)[0] or self._stalled.is_set():
            if self._stalled.is_set() and self._connection.fileno() < 0:
                return b""
            time.sleep(0.02)
        return self._connection.recv(size)


@given("node a that sends messages to node b over a link")
def connect_over_link(context):
    def enter(manager):
        context.add_cleanup(manager.__exit__, None, None, None)
        return manager.__enter__()

    context.delivered = []
    handler = context.delivered.append
    receiver = enter(PeerTransport("b", "1", LOOPBACK, _create_codec(), handler))
    host, _, port = receiver.address.removeprefix("tcp://").rpartition(":")
    context.link = enter(StallingLink(("127.0.0.1", 0), (host, int(port))))
    context.address = f"tcp://{context.link.address}"
    context.sender = enter(
        PeerTransport(
            "a", "1", LOOPBACK, _create_codec(), handler, unacknowledged_limit=timedelta(seconds=1)
        )
    )
    send_until_delivered(context)


def send_until_delivered(context):
    """Send large messages until one of them is delivered."""
    count = len(context.delivered)
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while len(context.delivered) == count and time.monotonic() < deadline:
        context.sender.send_to_address(context.address, Hello("x" * 20_000))
        time.sleep(0.02)
    assert len(context.delivered) > count


@then("messages of node a reach node b")
def check_messages_arrive(context):
    send_until_delivered(context)


@then("no message of node a reaches node b")
def check_no_message_arrives(context):
    time.sleep(ABSENCE_WAIT_S)
    count = len(context.delivered)
    context.sender.send_to_address(context.address, Hello("lost"))
    time.sleep(ABSENCE_WAIT_S)
    assert len(context.delivered) == count


@when("node a replaces its link to node b")
def replace_link(context):
    context.sender.replace_link(context.address)


@when("the other side of the open connection stops reading")
def stop_reading(context):
    context.link.stalled.set()
    # What has been read by then is still delivered.
    time.sleep(ABSENCE_WAIT_S)
    for _ in range(400):
        context.sender.send_to_address(context.address, Hello("x" * 20_000))
    time.sleep(ABSENCE_WAIT_S)


@when("a node sends {count:d} messages to each of {peers:d} addresses, with pauses")
def send_to_many(context, count, peers):
    context.peers = peers
    context.received = Counter()
    with contextlib.ExitStack() as stack:
        enter = stack.enter_context
        nodes = [
            enter(
                PeerTransport(
                    f"n{number}", "1", LOOPBACK, _create_codec(), _counting_handler(context, number)
                )
            )
            for number in range(peers)
        ]
        sender = enter(PeerTransport("a", "1", LOOPBACK, _create_codec(), lambda envelope: None))
        for _ in range(count):
            sender.send_to_addresses([node.address for node in nodes], Hello("x"))
            time.sleep(0.02)
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while context.received.total() < count * peers and time.monotonic() < deadline:
            time.sleep(0.01)


def _counting_handler(context, number):
    return lambda envelope: context.received.update([number])


@then("each address has received {count:d} messages")
def check_received(context, count):
    wrong_counts = {
        n: context.received[n] for n in range(context.peers) if context.received[n] != count
    }
    assert not wrong_counts, wrong_counts


@when("a frame with {fault} and then a message are sent to a node")
def send_after(context, fault):
    context.delivered = []
    with (
        PeerTransport(
            "b", "1", LOOPBACK, _create_open_codec(), context.delivered.append
        ) as receiver,
        PeerTransport("a", "1", LOOPBACK, _create_open_codec(), lambda _: None) as sender,
        contextlib.closing(sender._context.socket(zmq.PUSH)) as writer,
    ):
        writer.connect(receiver.address)
        writer.send(FRAMES[fault])
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not receiver.counters.received_messages and time.monotonic() < deadline:
            time.sleep(0.01)
        sender.set_peers({"b": receiver.address})
        sender.send("b", Hello("x"))
        while not context.delivered and time.monotonic() < deadline:
            time.sleep(0.01)
        context.refused = receiver.counters.refused_messages


@then("the frame is refused and the message is delivered")
def check_delivered_after(context):
    assert context.refused == 1, context.refused
    assert [envelope.message for envelope in context.delivered] == [Hello("x")]
