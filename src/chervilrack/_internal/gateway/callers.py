"""Notices callers that close their connection while their request is in progress."""

import contextlib
import itertools
import os
import select
import socket
import threading
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Self


class CallerWatch:
    """Waits for the end of callers' connections; use as a context manager.

    One thread waits in epoll for all connections, so that idle ones cost nothing. Bytes that a
    caller sends ahead (pipelining) are no end and do not wake it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._actions: dict[int, tuple[int, Callable[[], None]]] = {}
        self._numbers = itertools.count(1)
        self._poller = select.epoll()
        self._stop_reader, self._stop_writer = os.pipe()
        self._poller.register(self._stop_reader, select.EPOLLIN)
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
        os.write(self._stop_writer, b"x")
        self._thread.join()
        self._poller.close()
        os.close(self._stop_reader)
        os.close(self._stop_writer)

    @contextlib.contextmanager
    def watching(
        self, connection: socket.socket | None, gone: Callable[[], None]
    ) -> Iterator[None]:
        """Call ``gone`` once if the caller closes the connection before the context ends."""
        descriptor = connection.fileno() if connection is not None else -1
        if descriptor < 0:
            yield
            return
        number = next(self._numbers)
        with self._lock:
            self._actions[descriptor] = (number, gone)
            # EPOLLHUP and EPOLLERR are always reported.
            self._poller.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                found = self._actions.get(descriptor)
                if found is not None and found[0] == number:
                    del self._actions[descriptor]
                # OSError: the connection was closed, which ends its registration.
                with contextlib.suppress(OSError, ValueError):
                    self._poller.unregister(descriptor)

    def _run(self) -> None:
        while True:
            for descriptor, _ in self._poller.poll():
                if descriptor == self._stop_reader:
                    return
                with self._lock:
                    found = self._actions.pop(descriptor, None)
                if found is not None:
                    found[1]()
