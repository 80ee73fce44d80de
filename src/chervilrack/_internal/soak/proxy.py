"""TCP proxy that simulates network faults: delay, resets and loss in one or both directions."""

import contextlib
import enum
import socket
import struct
import sys
import threading
import time
from types import TracebackType
from typing import Self

_CHUNK_BYTES = 65536
_BACKLOG = 128
CONNECT_TIMEOUT_S = 2.0
# Interval at which a connection that holds bytes checks the mode.
HOLD_POLL_S = 0.02
# State of a TCP connection that only the peer has closed, in the first byte of ``TCP_INFO``.
_CLOSE_WAIT = 8
DELAY_S = 0.15


class LinkMode(enum.Enum):
    """How a proxy treats connections. Held bytes are forwarded when the mode ends."""

    OPEN = "open"
    DELAYED = "delayed"
    # Open connections and new connections are reset.
    RESET = "reset"
    # Bytes to the server are held.
    CUT_FORWARD = "cut forward"
    # Bytes to the client are held: requests arrive at the server, but no responses at the client.
    CUT_BACK = "cut back"
    # Bytes in both directions are held.
    SILENT = "silent"


_MODES_HOLDING_REQUESTS = frozenset((LinkMode.CUT_FORWARD, LinkMode.SILENT))
_MODES_HOLDING_RESPONSES = frozenset((LinkMode.CUT_BACK, LinkMode.SILENT))


class LinkProxy:
    """Forwards TCP connections to one address until the context ends."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._target = target
        self._mode = LinkMode.OPEN
        self._closing = False
        self._sockets: set[socket.socket] = set()
        # Those of connections on which nothing is forwarded any more.
        self._silenced: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._ended = threading.Condition(self._lock)
        # Whether the server had read all bytes, by port of the client, for ended connections.
        self._were_read: dict[int, bool] = {}
        self._listener = socket.create_server(listen, backlog=_BACKLOG)
        self._thread = threading.Thread(target=self._accept, name="proxy", daemon=True)

    @property
    def address(self) -> str:
        """Address that clients connect to, as HOST:PORT."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    @property
    def mode(self) -> LinkMode:
        """Current mode of the link."""
        return self._mode

    def set_mode(self, mode: LinkMode) -> None:
        """Set the mode of the link; RESET also resets open connections."""
        self._mode = mode
        if mode is LinkMode.RESET:
            self._reset_all()

    def silence_open(self) -> None:
        """Forward nothing more on the open connections, for good; new ones are not affected."""
        with self._lock:
            self._silenced |= self._sockets

    def was_read(self, client_port: int, timeout: float) -> bool:
        """Return whether the server had read all bytes of a connection before it closed it.

        The client must have closed the connection. Connections from the same port overwrite
        earlier ones. Returns False if the connection has not ended within ``timeout`` seconds.
        """
        with self._ended:
            self._ended.wait_for(lambda: client_port in self._were_read, timeout)
            return self._were_read.pop(client_port, False)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._closing = True
        # close() alone does not wake a thread that is blocked in accept().
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._reset_all()

    def _accept(self) -> None:
        while not self._closing:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        if self._mode is LinkMode.RESET:
            _close_with_reset(client)
            return
        try:
            server = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            _close_with_reset(client)
            return
        server.settimeout(None)
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client_port = int(client.getpeername()[1])
        with self._lock:
            self._sockets |= {client, server}
            self._were_read.pop(client_port, None)
        is_reset = threading.Event()
        to_client = threading.Thread(
            target=self._forward_responses, args=(server, client, is_reset), daemon=True
        )
        to_client.start()
        self._forward(client, server, _MODES_HOLDING_REQUESTS, is_reset)
        was_read = not is_reset.is_set() and _is_read(server)
        if not is_reset.is_set():
            _end_writing(server)
        to_client.join()
        with self._ended:
            self._sockets -= {client, server}
            self._silenced -= {client, server}
            self._were_read[client_port] = was_read
            self._ended.notify_all()
        for connection in (client, server):
            if is_reset.is_set():
                _close_with_reset(connection)
            connection.close()

    def _forward_responses(
        self, server: socket.socket, client: socket.socket, is_reset: threading.Event
    ) -> None:
        self._forward(server, client, _MODES_HOLDING_RESPONSES, is_reset)
        if not is_reset.is_set():
            _end_writing(client)

    def _forward(
        self,
        source: socket.socket,
        target: socket.socket,
        holding_modes: frozenset[LinkMode],
        is_reset: threading.Event,
    ) -> None:
        """Forward bytes until ``source`` ends; a reset of one side resets the other side."""
        try:
            while data := source.recv(_CHUNK_BYTES):
                if self._mode is LinkMode.DELAYED:
                    time.sleep(DELAY_S)
                while self._mode in holding_modes and not self._closing:
                    time.sleep(HOLD_POLL_S)
                if source not in self._silenced:
                    target.sendall(data)
        except OSError:
            is_reset.set()
            # Only wakes the other thread: a shutdown for writing would look like a normal close.
            for connection in (source, target):
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RD)

    def _reset_all(self) -> None:
        with self._lock:
            sockets = list(self._sockets)
        for connection in sockets:
            _shut_down(connection, reset=True)


def _is_read(server: socket.socket) -> bool:
    """Whether a server that has closed a connection had read all bytes sent to it.

    A kernel answers bytes that were unread, or came later, with a reset.
    """
    information = server.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 32)
    unacknowledged = int.from_bytes(information[24:28], sys.byteorder)
    return information[0] == _CLOSE_WAIT and not unacknowledged


def _end_writing(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)


def _shut_down(connection: socket.socket, *, reset: bool = False) -> None:
    with contextlib.suppress(OSError):
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # shutdown() wakes the thread that reads the socket. LinkProxy._connect closes the socket.
        connection.shutdown(socket.SHUT_RDWR)


def _close_with_reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()
