"""Callers' connections that no thread serves: idle ones, and ones that are being closed.

cheroot's own manager measures idle time with the wall clock, closes connections without a look at
what has arrived on them, and gives each new connection to a thread before its request arrives.
"""

import contextlib
import logging
import select
import selectors
import socket
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from cheroot.connections import ConnectionManager
from cheroot.makefile import BufferedWriter, StreamReader, StreamWriter
from cheroot.server import HTTPConnection

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.supervision import FAILURES
from chervilrack._internal.gateway.closing import AtClose, ServerClose
from chervilrack._internal.gateway.idle import IdleLimit

logger = logging.getLogger(__name__)

# Longest time in which a caller sends no byte of a body, or reads no byte of an answer.
STALL_LIMIT = timedelta(seconds=30)
# Time for which a connection that was shut down stays open for reading. Closing it at once would
# reset it if bytes arrive meanwhile, and the reset may destroy the end of the answer.
LINGER_TIME = timedelta(seconds=1)
# Longest time for which the rest of a refused body is read, while bytes of it go on arriving. A
# caller that is still sending sees the refusal only then, and a reset before it.
LONGEST_LINGER_TIME = timedelta(seconds=5)
# Bytes of such a body that are read at a time, and how often in a row.
_DISCARD_BYTES = 65_536
_DISCARD_READS = 16
# Pause after a connection could not be accepted, mostly because no file descriptor was free.
ACCEPT_RETRY_INTERVAL = timedelta(milliseconds=10)
# Interval at which a server that closes checks whether all connections are closed.
CLOSING_CHECK_INTERVAL = timedelta(milliseconds=10)


def is_readable(sock: socket.socket) -> bool:
    """Whether bytes, or the caller's end of the connection, can be read without waiting."""
    return _poll(sock, select.POLLIN)


def has_caller_left(sock: socket.socket | int) -> bool:
    """Whether the caller has closed or reset the connection, a socket or its descriptor."""
    return _poll(sock, select.POLLRDHUP)


def _poll(sock: socket.socket | int, events: int) -> bool:
    poller = select.poll()
    try:
        poller.register(sock, events)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return True


class _BoundedSocketIO(socket.SocketIO):
    """Raw reader of a connection that ends at the connection's time limits."""

    def __init__(self, connection: "CallerConnection") -> None:
        super().__init__(connection.socket, "rb")
        self._connection = connection

    def readinto(self, buffer: Any) -> int | None:
        """Read into ``buffer``. Raises TimeoutError at the first limit.

        Returns 0, as at the end of the caller's side, if the server closes and waits no longer.
        """
        connection = self._connection
        limit = connection.clock.monotonic() + connection.read_limit
        if connection.read_until is not None:
            limit = min(limit, connection.read_until)
        if not self._wait_until_readable(limit):
            return 0
        connection.socket.settimeout(STALL_LIMIT.total_seconds())
        return super().readinto(buffer)

    def _wait_until_readable(self, limit: timedelta) -> bool:
        """Return whether bytes or an end can be read before the server's close ends reading.

        Raises TimeoutError if ``limit`` comes first.
        """
        connection, closing = self._connection, self._connection.server.closing
        while not is_readable(connection.socket):
            now = connection.clock.monotonic()
            if now >= limit:
                raise TimeoutError("timed out")
            if now >= closing.reads_end:
                return False
            poller = select.poll()
            poller.register(connection.socket, select.POLLIN)
            if not closing.has_begun:
                poller.register(closing.descriptor, select.POLLIN)
            left = min(limit, closing.reads_end) - now
            poller.poll(max(1.0, left.total_seconds() * 1000))
        return True


class _Reader(StreamReader):
    """cheroot's reader over a raw reader with time limits."""

    def __init__(self, connection: "CallerConnection", buffer_size: int) -> None:
        super(StreamReader, self).__init__(_BoundedSocketIO(connection), buffer_size)
        self.bytes_read = 0


class CallerConnection(HTTPConnection):
    """Connection of a caller.

    ``idle_since`` and ``queued_at`` are the monotonic times since which it has no request and since
    which its request waits for a thread. Reads end at ``read_until``, and once nothing arrives for
    ``read_limit``. While ``is_refused`` is set, its requests are refused. ``is_unused`` is set
    until something has arrived, ``is_partial`` while a request has been read in part.
    """

    clock: Clock

    def __init__(self, server: Any, sock: Any, makefile: Any = None) -> None:
        super().__init__(server, sock, self._make_file)
        self.clock = server.clock
        self.idle_since = self.queued_at = self.clock.monotonic()
        self.read_until: timedelta | None = None
        self.read_limit = STALL_LIMIT
        self.is_refused = False
        self.is_unused = True
        self.is_partial = False
        # Whether the rest of a refused body is read, and when bytes of it came last.
        self.is_discarding = False
        self.discarded_at = self.idle_since
        self._is_shut_down = False

    def _make_file(self, sock: Any, mode: str, buffer_size: int) -> BufferedWriter | StreamReader:
        if "r" in mode:
            return _Reader(self, buffer_size)
        return StreamWriter(sock, mode, buffer_size)

    @property
    def is_shut_down(self) -> bool:
        """Whether nothing more is written, and the connection is closed soon."""
        return self._is_shut_down

    @property
    def has_next_request(self) -> bool:
        """Whether bytes behind the request that is being served have arrived."""
        return self.rfile.has_data() or is_readable(self.socket)

    def begin_head(self, limit: timedelta) -> None:
        """Limit the time to read the head of a request."""
        self.is_unused = False
        self.is_partial = True
        self.read_until = self.clock.monotonic() + limit
        self.read_limit = STALL_LIMIT

    def begin_body(self, limit: timedelta, *, is_total: bool = False) -> None:
        """Limit the time without progress within a body, or the time for all of it."""
        self.read_until = self.clock.monotonic() + limit if is_total else None
        self.read_limit = limit

    def end_body(self) -> None:
        """Record that a request has been read whole."""
        self.is_partial = False

    def begin_answer(self) -> None:
        """Limit the time without progress while the answer is written."""
        self.socket.settimeout(STALL_LIMIT.total_seconds())

    def close(self) -> None:
        """Shut down the connection, and close it after LINGER_TIME.

        The rest of a request that was not read whole is read and discarded meanwhile.
        """
        if self._is_shut_down or not self.server.ready or has_caller_left(self.socket):
            self.close_at_once()
            return
        self._is_shut_down = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        self.server.linger(self)

    def close_at_once(self) -> None:
        """Close the connection, which resets it if the caller has sent more than was read."""
        try:
            super().close()
        except Exception as error:
            FAILURES.record("connections", error, "the close of a connection")
        self.server.forget(self)


class CallerConnections(ConnectionManager):
    """Keeps connections until a request arrives on them, or until their idle time ends.

    A connection on which something has arrived is served, not closed. All methods but ``put``,
    ``linger``, ``forget`` and ``wait_until_finished`` run in the accepting thread.

    When the server closes, the connections that wait to be accepted are accepted, the listener is
    closed, and requests are served as long as they arrive before the close ends reading.
    """

    _selector: Any
    _stop_requested: bool
    _remove_invalid_sockets: Callable[[], None]
    _from_server_socket: Callable[[Any], CallerConnection | None]

    def __init__(
        self, server: Any, idle_limit: IdleLimit, clock: Clock, closing: ServerClose
    ) -> None:
        super().__init__(server)
        self._closing = closing
        self._finished = threading.Event()
        # All connections that are not closed, in whatever thread they are.
        self._open: set[CallerConnection] = set()
        self._selector.register(closing.descriptor, selectors.EVENT_READ)
        self._idle_limit = idle_limit
        self._clock = clock
        self._lock = threading.Lock()
        # Connections that were shut down, oldest first, with the time at which each was.
        self._lingering: list[tuple[timedelta, CallerConnection]] = []
        self._is_accepting = True

    def put(self, conn: CallerConnection) -> None:
        """Keep a connection until its next request arrives; close one that cannot be kept.

        cheroot ends the server after an exception here or in the close of a connection.
        """
        conn.idle_since = self._clock.monotonic()
        try:
            super().put(conn)
        except Exception as error:
            FAILURES.record("connections", error, "a connection that waits for a request")
            conn.close_at_once()

    def linger(self, conn: CallerConnection) -> None:
        """Keep a connection that was shut down until the caller has read the answer."""
        now = conn.discarded_at = self._clock.monotonic()
        with self._lock:
            self._lingering.append((now, conn))
        if conn.is_partial:
            conn.is_discarding = True
            with contextlib.suppress(OSError, ValueError, KeyError):
                self._selector.register(conn.socket.fileno(), selectors.EVENT_READ, data=conn)

    def forget(self, conn: CallerConnection) -> None:
        """Record that a connection is closed."""
        with self._lock:
            self._open.discard(conn)

    def wait_until_finished(self) -> None:
        """Wait until all connections are closed, at most until the end of the server's close."""
        left = self._closing.end - self._clock.monotonic()
        self._finished.wait(max(0.0, left.total_seconds()))

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            self._lingering.clear()
            connections = list(self._open)
        idle = {conn for _, conn in self._callers()}
        for conn in connections:
            if conn in idle or conn.is_shut_down:
                conn.close_at_once()
                continue
            self._closing.count(AtClose.CUT)
            # Its thread closes it, and may be blocked in a call that only this ends.
            with contextlib.suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RDWR)
        self._selector.close()

    @property
    def _num_connections(self) -> int:
        # Apart from the listener and the descriptor that announces the close. Called for each
        # answer, so that going through the connections would be too slow.
        return len(self._selector) - 2

    def _callers(self) -> list[tuple[int, CallerConnection]]:
        """Return the connections that wait for a request, with their descriptors."""
        return [
            (descriptor, conn)
            for descriptor, conn in list(self._selector.connections)
            if isinstance(conn, CallerConnection) and not conn.is_discarding
        ]

    def _run(self, expiration_interval: float) -> None:
        last_check = self._clock.monotonic()
        interval = timedelta(seconds=expiration_interval)
        while not self._stop_requested and not self._closing.has_begun:
            self._dispatch(self.server.time_to_refusal(interval).total_seconds())
            now = self._clock.monotonic()
            self.server.refuse_overdue(now)
            if now - last_check >= interval:
                self._close_idle(now)
                self._close_lingering(now)
                last_check = now
        self._finish()
        while not self._stop_requested:
            time.sleep(CLOSING_CHECK_INTERVAL.total_seconds())

    def _finish(self) -> None:
        """Serve what has arrived or arrives soon, and close all connections."""
        while not self._stop_requested and (now := self._clock.monotonic()) < self._closing.end:
            self._close_listener()
            self._dispatch(CLOSING_CHECK_INTERVAL.total_seconds())
            self.server.refuse_overdue(now)
            self._close_silent(now)
            self._close_lingering(now)
            if self.server.socket is None and not self._open:
                break
        self._finished.set()

    def _close_listener(self) -> None:
        """Close the listener once no connections wait for it.

        Those that do are accepted one by one, and meanwhile requests that have arrived are queued.
        """
        listener = self.server.socket
        if listener is None:
            return
        while is_readable(listener):
            self._dispatch(0)
            if not self._is_accepting or self._clock.monotonic() >= self._closing.end:
                return
        self._selector.unregister(listener.fileno())
        listener.close()
        self.server.socket = None

    def _close_silent(self, now: timedelta) -> None:
        """Close the connections on which nothing has arrived; new ones are given some time."""
        for descriptor, conn in self._callers():
            is_expected = conn.is_unused and now < self._closing.reads_end
            if is_expected or is_readable(conn.socket):
                continue
            self._selector.unregister(descriptor)
            self._closing.count(AtClose.UNUSED if conn.is_unused else AtClose.SILENT)
            conn.close()

    def _dispatch(self, timeout_s: float) -> None:
        """Accept a connection and queue those on which something has arrived."""
        try:
            active = list(self._selector.select(timeout=timeout_s))
        except OSError:
            self._remove_invalid_sockets()
            return
        for descriptor, conn in active:
            if conn is self.server:
                self._accept()
                continue
            if isinstance(conn, CallerConnection) and conn.is_discarding:
                self._discard(conn)
                continue
            self._selector.unregister(descriptor)
            if conn is not None:
                self.server.process_conn(conn)

    def _discard(self, conn: CallerConnection) -> None:
        """Read and discard what has arrived of a refused body, and notice its end."""
        try:
            for _ in range(_DISCARD_READS):
                if not conn.socket.recv(_DISCARD_BYTES, socket.MSG_DONTWAIT):
                    self._end_discarding(conn)
                    return
                conn.discarded_at = self._clock.monotonic()
        except BlockingIOError:
            return
        except (OSError, ValueError):
            self._end_discarding(conn)

    def _end_discarding(self, conn: CallerConnection) -> None:
        conn.is_discarding = False
        with contextlib.suppress(OSError, ValueError, KeyError):
            self._selector.unregister(conn.socket.fileno())

    def _accept(self) -> None:
        """Accept a connection. One that cannot be accepted waits until others are closed."""
        try:
            accepted = self._from_server_socket(self.server.socket)
        except OSError as error:
            if self._is_accepting:
                logger.warning("gateway: connections cannot be accepted: %s", error)
            self._is_accepting = False
            time.sleep(ACCEPT_RETRY_INTERVAL.total_seconds())
            return
        self._is_accepting = True
        if accepted is not None:
            self._closing.count(AtClose.ACCEPTED)
            with self._lock:
                self._open.add(accepted)
            self.put(accepted)

    def _close_idle(self, now: timedelta) -> None:
        expired = [
            (descriptor, conn)
            for descriptor, conn in self._callers()
            if now >= self._idle_limit.expires_at(conn.idle_since)
        ]
        for descriptor, conn in expired:
            self._selector.unregister(descriptor)
            if is_readable(conn.socket):
                self.server.process_conn(conn)
            else:
                conn.close()

    def _close_lingering(self, now: timedelta) -> None:
        ended: list[CallerConnection] = []
        with self._lock:
            lingering, self._lingering = self._lingering, []
            for began, conn in lingering:
                close_at = min(conn.discarded_at + LINGER_TIME, began + LONGEST_LINGER_TIME)
                if now >= close_at or has_caller_left(conn.socket) or self._is_done(conn):
                    ended.append(conn)
                else:
                    self._lingering.append((began, conn))
        for conn in ended:
            if conn.is_discarding:
                self._end_discarding(conn)
            conn.close_at_once()

    def _is_done(self, conn: CallerConnection) -> bool:
        """Whether the server closes and no byte of a connection could reset its answer."""
        return self._closing.has_begun and not (conn.is_partial or is_readable(conn.socket))
