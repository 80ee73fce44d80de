"""Loopback proxy whose links can be delayed, reset, cut in one direction or silenced."""

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
# Time between two looks at the mode while a link is held.
HOLD_STEP_S = 0.02
DELAY_S = 0.15


class LinkMode(enum.Enum):
    """How a proxy treats bytes. Held bytes are passed on when the mode ends."""

    OPEN = "open"
    DELAYED = "delayed"
    # Open connections are reset and new ones are refused by a reset.
    RESET = "reset"
    # Nothing passes towards the server.
    CUT_FORWARD = "cut forward"
    # Nothing passes towards the client: requests arrive, answers do not.
    CUT_BACK = "cut back"
    SILENT = "silent"


_HELD_FORWARD = frozenset((LinkMode.CUT_FORWARD, LinkMode.SILENT))
_HELD_BACK = frozenset((LinkMode.CUT_BACK, LinkMode.SILENT))


class LinkProxy:
    """Passes TCP connections on to one address until the context ends."""

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
        """How bytes are treated now."""
        return self._mode

    def set_mode(self, mode: LinkMode) -> None:
        """Treat bytes differently from now on; RESET also ends open connections."""
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
        # A blocked accept() does not notice close() alone.
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
            _reset(client)
            return
        try:
            server = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            _reset(client)
            return
        server.settimeout(None)
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._sockets |= {client, server}
        back = threading.Thread(target=self._pump, args=(server, client, _HELD_BACK), daemon=True)
        back.start()
        self._pump(client, server, _HELD_FORWARD)
        back.join()
        with self._lock:
            self._sockets -= {client, server}
        client.close()
        server.close()

    def _pump(
        self, source: socket.socket, target: socket.socket, held_in: frozenset[LinkMode]
    ) -> None:
        try:
            while data := source.recv(_CHUNK_BYTES):
                if self._mode is LinkMode.DELAYED:
                    time.sleep(DELAY_S)
                while self._mode in held_in and not self._closing:
                    time.sleep(HOLD_STEP_S)
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            _end(source)
            _end(target)

    def _reset_all(self) -> None:
        with self._lock:
            sockets = list(self._sockets)
        for opened in sockets:
            _end(opened, reset=True)


def _end(opened: socket.socket, *, reset: bool = False) -> None:
    with contextlib.suppress(OSError):
        if reset:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Wakes the thread that reads; the socket is closed by the thread that owns it.
        opened.shutdown(socket.SHUT_RDWR)


def _reset(opened: socket.socket) -> None:
    with contextlib.suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    opened.close()
