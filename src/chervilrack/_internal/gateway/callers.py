"""Detection of callers that disconnect while their request is in progress."""

import contextlib
import itertools
import os
import select
import socket
import threading
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Self

from chervilrack._internal.common.supervision import FAILURES


class CallerWatch:
    """Runs a callback when a caller disconnects; use as a context manager.

    One thread waits in epoll for all watched connections, so that idle connections cost nothing.
    Bytes that a caller pipelines do not count as a disconnect and do not wake the thread.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Number of the watch and callback by descriptor; a later watch may reuse a descriptor.
        self._callbacks: dict[int, tuple[int, Callable[[], None]]] = {}
        self._watch_numbers = itertools.count(1)
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
        self, connection: socket.socket | None, on_disconnect: Callable[[], None]
    ) -> Iterator[None]:
        """Call ``on_disconnect`` once if the caller disconnects before the context ends."""
        descriptor = connection.fileno() if connection is not None else -1
        if descriptor < 0:
            yield
            return
        watch_number = next(self._watch_numbers)
        with self._lock:
            self._callbacks[descriptor] = (watch_number, on_disconnect)
            # epoll always reports EPOLLHUP and EPOLLERR, too.
            self._poller.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                entry = self._callbacks.get(descriptor)
                if entry is not None and entry[0] == watch_number:
                    del self._callbacks[descriptor]
                # OSError: the connection was closed, which removed it from epoll.
                with contextlib.suppress(OSError, ValueError):
                    self._poller.unregister(descriptor)

    def _run(self) -> None:
        while True:
            for descriptor, _ in self._poller.poll():
                if descriptor == self._stop_reader:
                    return
                with self._lock:
                    entry = self._callbacks.get(descriptor)
                    # The event may be one of an earlier connection with the same descriptor.
                    if entry is None or not _is_disconnected(descriptor):
                        continue
                    del self._callbacks[descriptor]
                try:
                    entry[1]()
                except Exception as error:
                    FAILURES.record("callers", error, "the disconnect of a caller")


def _is_disconnected(descriptor: int) -> bool:
    """Whether the peer of the socket ``descriptor`` has closed its connection."""
    poller = select.poll()
    # poll always reports POLLHUP and POLLERR, too.
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))
