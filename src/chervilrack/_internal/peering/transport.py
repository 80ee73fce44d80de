"""Messages between nodes over ZeroMQ: at most once, unordered, never blocking the sender.

Each node binds one PULL socket and connects one PUSH socket to each peer that it sends to. One
thread owns these sockets; other threads pass messages to it through a queue.
"""

import heapq
import itertools
import logging
import math
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from types import TracebackType
from typing import TYPE_CHECKING, Self

import msgspec
import zmq

from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.common.supervision import FAILURES, SupervisedThread
from chervilrack._internal.peering.envelope import Envelope, MessageCodec, MessageRefused
from chervilrack._internal.peering.keys import CurveKeys

if TYPE_CHECKING:
    from zmq.auth.thread import ThreadAuthenticator

logger = logging.getLogger(__name__)

# Messages queued per peer. Further messages to a peer that does not read are dropped, which bounds
# the memory that they occupy.
SEND_QUEUE_MESSAGES = 1000
# Time after which an unfinished TCP connection attempt to a vanished VM is dropped.
CONNECT_TIMEOUT_MS = 2000
# Time after which a connection is closed on which sent bytes are not acknowledged, or not accepted:
# it may have fallen silent while new ones work. Three lost packets in a row take 1.4 s.
UNACKNOWLEDGED_LIMIT = timedelta(seconds=2)
# Reconnects back off, so that all nodes do not flood a returning VM at once.
RECONNECT_MS = 50
RECONNECT_MAX_MS = 1000
# Nodes whose reply addresses are kept; bounds the memory that unknown senders can occupy.
MAX_REPLY_ADDRESSES = 1024
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Links without traffic for this time are closed. Heartbeats use each link every few seconds, with
# 390 nodes every 4.9 s.
LINK_IDLE_S = 60.0
POLL_TIMEOUT_MS = 500
THREAD_NAME = "peering"
MAX_LOGGED_ADDRESS = 100

_MILLISECOND = timedelta(milliseconds=1)

PeerHandler = Callable[[Envelope], None]


@dataclass(slots=True)
class TrafficCounters:
    """Bytes and messages that the transport has sent, received, dropped and refused."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    received_messages: int = 0
    dropped_messages: int = 0
    refused_messages: int = 0


@dataclass(slots=True)
class _Link:
    socket: zmq.Socket[bytes]
    used_at: float


@dataclass(slots=True)
class _Outbox:
    # Messages by address; None replaces the link.
    queue: deque[tuple[str, bytes | None]] = field(default_factory=deque)
    lock: threading.Lock = field(default_factory=threading.Lock)
    wake_pending: bool = False


class PeerTransport:
    """Sends and receives the messages of one node; a context manager.

    ``handler`` runs in the transport's thread and must not block. A message that cannot be sent,
    decoded or handled, whatever the exception, is dropped, and the others are not.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        listen: str,
        codec: MessageCodec,
        handler: PeerHandler,
        keys: CurveKeys | None = None,
        unacknowledged_limit: timedelta = UNACKNOWLEDGED_LIMIT,
    ) -> None:
        self._unacknowledged_limit = unacknowledged_limit
        self._node = node
        self._incarnation = incarnation
        self._listen = listen
        self._codec = codec
        self._handler = handler
        self._keys = keys
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        # The least recently used link comes first.
        self._links: OrderedDict[str, _Link] = OrderedDict()
        self._peer_addresses: dict[NodeId, str] = {}
        self._reply_addresses: OrderedDict[NodeId, str] = OrderedDict()
        self._reply_to = ""
        self._blocked_addresses: frozenset[str] = frozenset()
        self._delays_s: dict[str, float] = {}
        self._delayed_messages: list[tuple[float, int, str, bytes]] = []
        self._sequence = itertools.count()
        self._outbox = _Outbox()
        self._counters = TrafficCounters()
        self._stopping = threading.Event()
        self._thread = SupervisedThread(THREAD_NAME, self._run, self._stopping)
        self._authenticator: ThreadAuthenticator | None = None
        self._address = ""

    @property
    def address(self) -> str:
        """Address the socket is bound to, such as ``tcp://127.0.0.1:5001``."""
        return self._address

    @property
    def counters(self) -> TrafficCounters:
        """Traffic since the start."""
        return self._counters

    def __enter__(self) -> Self:
        self._receive_socket: zmq.Socket[bytes] = self._context.socket(zmq.PULL)
        self._receive_socket.setsockopt(zmq.LINGER, 0)
        self._receive_socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        if self._keys is not None:
            # Imported here because it imports asyncio, 2.7 MB that nodes without keys do not need.
            from zmq.auth.thread import ThreadAuthenticator

            self._authenticator = ThreadAuthenticator(self._context)
            self._authenticator.start()
            self.reload_keys(self._keys)
            self._receive_socket.curve_server = True
            self._receive_socket.curve_secretkey = self._keys.secret
            self._receive_socket.curve_publickey = self._keys.public
        self._receive_socket.bind(self._listen)
        self._address = self._receive_socket.getsockopt_string(zmq.LAST_ENDPOINT)
        wake_address = f"inproc://wake-{id(self)}"
        self._wake_receiver: zmq.Socket[bytes] = self._context.socket(zmq.PAIR)
        self._wake_receiver.bind(wake_address)
        self._wake_sender: zmq.Socket[bytes] = self._context.socket(zmq.PAIR)
        self._wake_sender.connect(wake_address)
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping.set()
        self._wake()
        self._thread.join()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def reload_keys(self, keys: CurveKeys) -> None:
        """Replace the list of public keys that may connect."""
        if self._authenticator is not None:
            # The callback compares with a set in memory; pyzmq's default reads a folder of files.
            self._authenticator.configure_curve_callback("*", _AllowedKeys(keys.allowed))

    def set_peers(self, addresses: Mapping[NodeId, str]) -> None:
        """Replace the addresses of the nodes to which messages can be sent."""
        self._peer_addresses = dict(addresses)

    def set_reply_to(self, reply_to: str) -> None:
        """Add ``reply_to`` to every message, so that nodes can answer before this one is a member.

        An empty string means that messages carry no reply address.
        """
        self._reply_to = reply_to

    def set_blocked(self, addresses: frozenset[str]) -> None:
        """Drop messages to ``addresses``; tests cut links in one direction with this method."""
        self._blocked_addresses = addresses

    def set_delays(self, delays: Mapping[str, timedelta]) -> None:
        """Delay messages per address, to emulate the latency between zones."""
        self._delays_s = {address: delay.total_seconds() for address, delay in delays.items()}

    def send(self, to: NodeId, message: msgspec.Struct) -> None:
        """Queue a message for a peer; drop the message if the peer's address is not known."""
        address = self._peer_addresses.get(to) or self._reply_addresses.get(to)
        if address is None:
            self._counters.dropped_messages += 1
            return
        self.send_to_address(address, message)

    def send_to_address(self, address: str, message: msgspec.Struct) -> None:
        """Queue a message for whichever node listens at ``address``."""
        self.send_to_addresses((address,), message)

    def send_to_addresses(self, addresses: Iterable[str], message: msgspec.Struct) -> None:
        """Queue a message, encoded once, for the nodes that listen at ``addresses``."""
        unblocked_addresses = []
        for address in addresses:
            if address in self._blocked_addresses:
                self._counters.dropped_messages += 1
            else:
                unblocked_addresses.append(address)
        if not unblocked_addresses:
            return
        data = self._codec.encode(self._node, self._incarnation, message, self._reply_to)
        self._enqueue([(address, data) for address in unblocked_addresses])

    def replace_link(self, address: str) -> None:
        """Use a new connection to an address from the next message on.

        Messages that are on their way there may be lost.
        """
        self._enqueue([(address, None)])

    def _enqueue(self, entries: list[tuple[str, bytes | None]]) -> None:
        with self._outbox.lock:
            self._outbox.queue.extend(entries)
            must_wake = not self._outbox.wake_pending
            self._outbox.wake_pending = True
            if must_wake:
                self._wake_sender.send(b"")

    def _wake(self) -> None:
        with self._outbox.lock:
            self._wake_sender.send(b"")

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._receive_socket, zmq.POLLIN)
        poller.register(self._wake_receiver, zmq.POLLIN)
        while not self._stopping.is_set():
            ready = dict(poller.poll(self._poll_timeout_ms()))
            if self._wake_receiver in ready:
                self._wake_receiver.recv()
                self._flush()
            self._send_delayed()
            if self._receive_socket in ready:
                self._receive()

    def _flush(self) -> None:
        with self._outbox.lock:
            batch = list(self._outbox.queue)
            self._outbox.queue.clear()
            self._outbox.wake_pending = False
        self._close_idle_links()
        for address, data in batch:
            if data is None:
                self._close_link(address)
                continue
            delay = self._delays_s.get(address)
            if delay:
                message = (time.monotonic() + delay, next(self._sequence), address, data)
                heapq.heappush(self._delayed_messages, message)
            else:
                self._transmit(address, data)

    def _poll_timeout_ms(self) -> int:
        if not self._delayed_messages:
            return POLL_TIMEOUT_MS
        return max(0, math.ceil((self._delayed_messages[0][0] - time.monotonic()) * 1000))

    def _send_delayed(self) -> None:
        while self._delayed_messages and self._delayed_messages[0][0] <= time.monotonic():
            _, _, address, data = heapq.heappop(self._delayed_messages)
            self._transmit(address, data)

    def _transmit(self, address: str, data: bytes) -> None:
        try:
            self._linked_socket(address).send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            self._counters.dropped_messages += 1
            return
        except Exception as error:
            self._counters.dropped_messages += 1
            FAILURES.record(THREAD_NAME, error, f"a message to {address[:MAX_LOGGED_ADDRESS]}")
            return
        self._counters.sent_messages += 1
        self._counters.sent_bytes += len(data)

    def _linked_socket(self, address: str) -> zmq.Socket[bytes]:
        link = self._links.get(address)
        if link is None:
            link = _Link(self._connect(address), 0.0)
            self._links[address] = link
        link.used_at = time.monotonic()
        self._links.move_to_end(address)
        return link.socket

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        # The option TCP_USER_TIMEOUT of the connection.
        socket.setsockopt(zmq.TCP_MAXRT, round(self._unacknowledged_limit / _MILLISECOND))
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        if self._keys is not None:
            socket.curve_serverkey = self._keys.public
            socket.curve_publickey = self._keys.public
            socket.curve_secretkey = self._keys.secret
        socket.connect(address)
        return socket

    def _close_link(self, address: str) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            link.socket.close()

    def _close_idle_links(self) -> None:
        idle_since = time.monotonic() - LINK_IDLE_S
        while self._links:
            address, link = next(iter(self._links.items()))
            if link.used_at > idle_since:
                return
            self._close_link(address)

    def _receive(self) -> None:
        while True:
            try:
                data = self._receive_socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._counters.received_messages += 1
            self._counters.received_bytes += len(data)
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        try:
            envelope = self._codec.decode(data)
        except MessageRefused as refusal:
            self._counters.refused_messages += 1
            logger.warning("peering: message refused: %s", refusal)
            return
        except Exception as error:
            self._counters.refused_messages += 1
            FAILURES.record(THREAD_NAME, error, "the frame of a message")
            return
        if envelope.reply_to:
            self._reply_addresses[envelope.sender] = envelope.reply_to
            while len(self._reply_addresses) > MAX_REPLY_ADDRESSES:
                self._reply_addresses.popitem(last=False)
        try:
            self._handler(envelope)
        except Exception as error:
            what = f"{type(envelope.message).__name__} of {envelope.sender}"
            FAILURES.record(THREAD_NAME, error, what)


class _AllowedKeys:
    """Callback of the ZeroMQ authenticator that accepts the given public keys."""

    def __init__(self, allowed: frozenset[bytes]) -> None:
        self._allowed = allowed

    def callback(self, domain: str, key: bytes) -> bool:
        """Whether a client with this public key may connect."""
        return key in self._allowed
