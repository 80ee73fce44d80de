"""Writes answers to callers that read slowly, without a wait for them."""

import contextlib
import logging
import select
import socket
import threading
from collections import deque

from chervilrack._internal.common.byte_budget import BudgetExceeded, ByteBudget

logger = logging.getLogger(__name__)

_SEND_BYTES = 64 * 1024


class AnswerWriter:
    """Writes the parts of one answer to a caller's connection, which has a time limit.

    What the caller does not read yet is kept, as far as ``memory`` allows, and a thread sends it
    as the caller reads on. Once the memory is used up, ``write`` waits for the caller.

    Methods raise OSError if the caller has left, or reads nothing within the time limit of the
    connection. One thread at a time may call them.
    """

    def __init__(self, connection: socket.socket, memory: ByteBudget) -> None:
        self._connection = connection
        self._reservation = memory.open(gives_way=False)
        self._poller = select.poll()
        self._poller.register(connection, select.POLLOUT)
        self._changed = threading.Condition()
        self._kept: deque[memoryview] = deque()
        self._is_draining = False
        self._has_waited = False
        self._error: OSError | None = None

    def write(self, data: bytes) -> None:
        """Send what the caller can take now, and keep the rest."""
        rest = memoryview(data)
        with self._changed:
            self._raise_error()
            if not self._kept:
                rest = self._send_now(rest)
            if not rest or self._keep(rest):
                return
        self._note_wait()
        self.flush()
        while rest:
            rest = rest[self._connection.send(rest[:_SEND_BYTES]) :]

    def flush(self) -> None:
        """Wait until everything is sent."""
        with self._changed:
            self._changed.wait_for(lambda: not self._is_draining)
            self._raise_error()

    def close(self) -> None:
        """Give the memory back; what is still kept is not sent, and the connection then ends."""
        with self._changed:
            self._kept.clear()
            if self._is_draining:
                # Nobody may close the connection while the thread sends: its descriptor could be
                # that of another one by then. This ends the wait for the caller.
                with contextlib.suppress(OSError):
                    socket.socket.shutdown(self._connection, socket.SHUT_RDWR)
                self._changed.wait_for(lambda: not self._is_draining)
        self._reservation.close()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error

    def _send_now(self, data: memoryview) -> memoryview:
        """Send as much as the connection takes without a wait, and return the rest."""
        while data and self._poller.poll(0):
            data = data[self._connection.send(data[:_SEND_BYTES]) :]
        return data

    def _keep(self, data: memoryview) -> bool:
        """Keep bytes for the thread that sends them; return False if there is no room for them."""
        try:
            self._reservation.add(len(data))
        except BudgetExceeded:
            return False
        self._kept.append(data)
        if not self._is_draining:
            try:
                threading.Thread(target=self._drain, name="unread", daemon=True).start()
            except RuntimeError:  # no thread is free
                self._kept.clear()
                self._reservation.resize(0)
                return False
            self._is_draining = True
        return True

    def _drain(self) -> None:
        while (part := self._next_part()) is not None:
            try:
                sent = self._connection.send(part[:_SEND_BYTES])
            except OSError as error:
                self._end_draining(error)
                return
            with self._changed:
                if self._kept:
                    self._kept[0] = part[sent:]
                    if not self._kept[0]:
                        self._kept.popleft()
                    self._reservation.resize(self._reservation.size - sent)

    def _next_part(self) -> memoryview | None:
        """Return the next part to send; None, after which a new thread sends, if there is none."""
        with self._changed:
            if self._kept:
                return self._kept[0]
            self._end_draining()
            return None

    def _end_draining(self, error: OSError | None = None) -> None:
        with self._changed:
            self._error = error
            self._is_draining = False
            self._changed.notify_all()

    def _note_wait(self) -> None:
        if not self._has_waited:
            self._has_waited = True
            logger.warning("gateway: the memory for unread answers is used up; an answer waits")
