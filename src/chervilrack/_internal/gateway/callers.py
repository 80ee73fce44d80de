"""Notices callers that close their connection while their request is in progress."""

import contextlib
import select
import socket
import threading
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Self

POLL_INTERVAL_S = 0.1
# Bytes that the caller sent ahead (pipelining) make a socket readable without being an end.
_PEEK_BYTES = 1


class CallerWatch:
    """Polls the sockets of requests in progress; use as a context manager."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._watched: dict[int, tuple[socket.socket, Callable[[], None]]] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="callers", daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping.set()
        self._thread.join()

    @contextlib.contextmanager
    def watching(
        self, connection: socket.socket | None, gone: Callable[[], None]
    ) -> Iterator[None]:
        """Call ``gone`` once if the caller closes the connection before the context ends."""
        if connection is None:
            yield
            return
        descriptor = connection.fileno()
        with self._lock:
            self._watched[descriptor] = (connection, gone)
        try:
            yield
        finally:
            with self._lock:
                self._watched.pop(descriptor, None)

    def _run(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            for gone in self._collect_gone():
                gone()

    def _collect_gone(self) -> list[Callable[[], None]]:
        with self._lock:
            watched = dict(self._watched)
        if not watched:
            return []
        poller = select.poll()
        for descriptor in watched:
            if descriptor >= 0:
                poller.register(descriptor, select.POLLIN | select.POLLHUP | select.POLLERR)
        ended = [fd for fd, _ in poller.poll(0) if _has_ended(watched[fd][0])]
        with self._lock:
            entries = [self._watched.pop(descriptor, None) for descriptor in ended]
        return [entry[1] for entry in entries if entry is not None]


def _has_ended(connection: socket.socket) -> bool:
    raw = socket.socket(fileno=socket.dup(connection.fileno()))
    try:
        return raw.recv(_PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        raw.close()
