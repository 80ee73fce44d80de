"""TCP proxy that simulates network faults: delay, resets and loss in one or both directions."""

import contextlib
import enum
import socket
import struct
import threading
import time
from types import TracebackType
from typing import Self

_CHUNK_BYTES = 65536
_BACKLOG = 128
CONNECT_TIMEOUT_S = 2.0
# Interval at which a connection that holds bytes checks the mode.
HOLD_POLL_S = 0.02
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
        self._lock = threading.Lock()
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
        with self._lock:
            self._sockets |= {client, server}
        to_client = threading.Thread(
            target=self._forward, args=(server, client, _MODES_HOLDING_RESPONSES), daemon=True
        )
        to_client.start()
        self._forward(client, server, _MODES_HOLDING_REQUESTS)
        to_client.join()
        with self._lock:
            self._sockets -= {client, server}
        client.close()
        server.close()

    def _forward(
        self, source: socket.socket, target: socket.socket, holding_modes: frozenset[LinkMode]
    ) -> None:
        try:
            while data := source.recv(_CHUNK_BYTES):
                if self._mode is LinkMode.DELAYED:
                    time.sleep(DELAY_S)
                while self._mode in holding_modes and not self._closing:
                    time.sleep(HOLD_POLL_S)
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            _shut_down(source)
            _shut_down(target)

    def _reset_all(self) -> None:
        with self._lock:
            sockets = list(self._sockets)
        for connection in sockets:
            _shut_down(connection, reset=True)


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
