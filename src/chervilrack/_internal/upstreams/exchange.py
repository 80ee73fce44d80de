"""One HTTP exchange with an upstream over a new connection, with bodies passed on unchanged.

A reused connection could deliver a late second answer to an earlier request, or be closed by the
upstream's idle time-out just as a new request is sent. A new connection rules out both. It costs
one round trip, about a thousandth of the shortest response time target.
"""

import email.message
import http.client
import math
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import suppress
from enum import Enum
from types import TracebackType
from typing import Any, Self

import urllib3
from urllib3.util import SKIP_HEADER

from chervilrack._internal.common.addresses import parse_address
from chervilrack._internal.common.byte_budget import BudgetExceeded, ByteBudget
from chervilrack._internal.common.http_responses import (
    InterimObserver,
    StrictHTTPConnection,
    StrictResponse,
)
from chervilrack._internal.exceptions import ChervilrackError

# The kernel resends a lost SYN packet after one second; a second attempt connects sooner.
CONNECT_TIMEOUT_S = 0.25
CONNECT_ATTEMPTS = 2
# Memory for answers of exchanges that share none.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
_READ_BYTES = 65_536
# Bytes of a large request body that are written between two checks for an early answer.
_WRITE_BYTES = 32_768
# http.client has its own exceptions for hosts, targets and fields that cannot be written.
_SEND_ERRORS = (OSError, ValueError, urllib3.exceptions.HTTPError, http.client.HTTPException)


def _ignore_interim(status: int, fields: email.message.Message) -> None:
    """Observe nothing."""


class TimeLimit(Enum):
    """Time limit that ended an exchange; PROGRESS is the one on the time without progress."""

    CONNECT = "connect"
    FIRST_BYTE = "first byte"
    PROGRESS = "progress"
    DEADLINE = "deadline"


class ExchangeFailed(ChervilrackError):
    """The exchange ended without a whole answer.

    ``sent`` is whether a byte of the request may have reached the upstream. ``unreachable`` is
    whether the upstream certainly takes no connections. ``limit`` is the time limit that ended the
    exchange, None if anything else did. ``cancelled`` is whether this node ended it with
    ``Exchange.cancel``.
    """

    def __init__(
        self,
        detail: str,
        *,
        sent: bool,
        unreachable: bool = False,
        limit: TimeLimit | None = None,
        cancelled: bool = False,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
        self.unreachable = unreachable
        self.limit = limit
        self.cancelled = cancelled

    @property
    def silent(self) -> bool:
        """Whether the upstream has only said nothing in time, as a sound one may for a while."""
        return self.limit is not None

    @property
    def broke_off(self) -> bool:
        """Whether the upstream got the request and ended the exchange without a whole answer."""
        return self.sent and not self.silent and not self.cancelled


class _DeadlineSocket(socket.socket):
    """Socket whose reads end at one time in all, however often bytes arrive before it.

    ``read_deadline`` returns that time in monotonic seconds. It is asked again once the time has
    come, and may then return a later one.
    """

    _read_deadline: Callable[[], float] | None = None
    _poller: select.poll

    def limit_reads(self, read_deadline: Callable[[], float]) -> None:
        """Set the end of all further reads."""
        if self._read_deadline is None:
            self._poller = select.poll()
            self._poller.register(self, select.POLLIN)
        self._read_deadline = read_deadline

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Read into a buffer. Raises TimeoutError at the deadline."""
        if self._read_deadline is not None:
            self._wait_until_readable(self._read_deadline)
        return super().recv_into(*args, **kwargs)

    def _wait_until_readable(self, read_deadline: Callable[[], float]) -> None:
        while (left := read_deadline() - time.monotonic()) > 0:
            if self._poller.poll(max(1, int(left * 1000))):
                return
        raise TimeoutError("the deadline passed while bytes were expected")


class _Connection(StrictHTTPConnection):
    """Connection that stops writing a request body once the upstream answers.

    ``on_interim`` is called with the status and header fields of each interim response, and
    ``has_written`` is whether a byte of the request may have been written.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.on_interim: InterimObserver = _ignore_interim
        self.has_written = False

    def _open_response(self, *args: Any, **kwargs: Any) -> StrictResponse:
        return super()._open_response(*args, on_interim=self._report_interim, **kwargs)

    def _report_interim(self, status: int, fields: email.message.Message) -> None:
        self.on_interim(status, fields)

    def _new_conn(self) -> socket.socket:
        connected = super()._new_conn()
        timeout = connected.gettimeout()
        # Given explicitly, they need not be asked of the kernel.
        parameters = (connected.family, connected.type, connected.proto)
        limited = _DeadlineSocket(*parameters, fileno=connected.detach())
        limited.settimeout(timeout)
        return limited

    def send(self, data: Any) -> None:
        """Write ``data``; stop early, without an error, if the upstream answers before the end."""
        self.has_written = True
        if self.sock is None or not isinstance(data, bytes) or len(data) <= _WRITE_BYTES:
            super().send(data)
            return
        self._send_until_answered(self.sock, data)

    def _send_until_answered(self, sock: socket.socket, data: bytes) -> None:
        view = memoryview(data)
        timeout = sock.gettimeout()
        deadline = math.inf if timeout is None else time.monotonic() + timeout
        # select() takes no descriptor above 1023.
        poller = select.poll()
        poller.register(sock, select.POLLIN | select.POLLOUT)
        while view:
            left = max(0.0, deadline - time.monotonic())
            ready = poller.poll(None if left == math.inf else math.ceil(left * 1000))
            if not ready or left == 0:
                raise TimeoutError("the upstream does not read the request")
            if ready[0][1] & ~select.POLLOUT:
                return
            try:
                sent = sock.send(view[:_WRITE_BYTES])
            except OSError:
                self._was_reset = True
                raise
            view = view[sent:]


class Exchange:
    """Sends one request and reads its answer. Any thread may cancel the exchange.

    ``address`` is HOST:PORT. One that ``parse_address`` refuses counts as an upstream that takes no
    connections. Bytes that are kept are taken from ``memory``. The exchange is a context manager
    that closes the connection, and gives the bytes back, on exit.
    """

    def __init__(self, address: str, memory: ByteBudget | None = None) -> None:
        self._address = address
        self._buffer = (memory or ByteBudget(MAX_ANSWER_BYTES)).open(self.cancel)
        self._lock = threading.Lock()
        self._connection: _Connection | None = None
        self._socket: socket.socket | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._sent = False
        self._cancelled = False
        # Monotonic time in seconds at which the exchange has to end.
        self._deadline = math.inf

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()
        self._buffer.close()

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have been written."""
        return self._sent

    @property
    def descriptor(self) -> int | None:
        """Descriptor of the open connection, None if there is none."""
        sock = self._socket
        number = sock.fileno() if sock is not None else -1
        return number if number >= 0 else None

    @property
    def cancelled(self) -> bool:
        """Whether ``cancel`` was called."""
        return self._cancelled

    def connect(self, time_left_s: float) -> None:
        """Connect to the upstream, in twice ``CONNECT_TIMEOUT_S`` at most. Raises ExchangeFailed.

        Nothing of the request has been sent by then.
        """
        self._connect(min(CONNECT_TIMEOUT_S, time_left_s))

    def send(
        self,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        time_left_s: float,
    ) -> None:
        """Write the request, after connecting if need be. Raises ExchangeFailed."""
        if self._connection is None:
            self.connect(time_left_s)
        connection = self._connection
        assert connection is not None
        fields = urllib3.HTTPHeaderDict()
        for name, value in headers:
            fields.add(name, value)
        for name in ("Accept-Encoding", "User-Agent"):
            if name not in fields:
                fields[name] = SKIP_HEADER
        fields["Connection"] = "close"
        self._sent = True
        self._deadline = time.monotonic() + time_left_s
        try:
            connection.timeout = max(0.001, time_left_s)
            connection.request(
                method,
                target,
                body=body or None,
                headers=fields,
                preload_content=False,
                decode_content=False,
            )
        except _SEND_ERRORS as error:
            self._sent = connection.has_written
            if not self._sent or not self._has_answer():
                raise self._create_failure("the request could not be written", error) from None

    def wait_readable(self, timeout_s: float) -> bool:
        """Return whether the upstream answers or closes the connection within ``timeout_s``."""
        if self._socket is None or timeout_s <= 0:
            return False
        poller = select.poll()
        try:
            poller.register(self._socket, select.POLLIN | select.POLLHUP | select.POLLERR)
        except (OSError, ValueError):
            return True
        return bool(poller.poll(max(1, int(timeout_s * 1000))))

    def read_head(
        self,
        time_left_s: float,
        on_interim: Callable[[int, Mapping[str, str]], None] = lambda *_: None,
    ) -> urllib3.BaseHTTPResponse:
        """Read the status line and header fields of the answer. Raises ExchangeFailed.

        ``on_interim`` is called with those of each interim response (1xx) as soon as it arrives.
        """
        connection = self._connection
        assert connection is not None
        connection.on_interim = lambda status, fields: on_interim(
            status, urllib3.HTTPHeaderDict(fields.items())
        )
        deadline = self._deadline = time.monotonic() + time_left_s
        self._set_read_deadline(lambda: deadline)
        # Reads wait for the socket themselves.
        connection.timeout = None
        try:
            self._response = connection.getresponse()
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            raise self._create_failure("no answer", error) from None
        except Exception as error:  # http.client has its own exceptions for malformed answers
            raise self._create_failure("the answer is malformed", error) from None
        finally:
            # It refers to the request and its body, which must not live as long as the connection.
            connection.on_interim = _ignore_interim
        return self._response

    def read_body(self, deadline: float) -> bytes | bytearray:
        """Return the whole body of the answer.

        Raises ExchangeFailed if the body breaks off, is too large, or is not complete at
        ``deadline`` (monotonic seconds), or if the exchange is cancelled before.
        """
        body: bytes | bytearray = b""
        for part in self.parts(deadline):
            if not body:
                body = part
                continue
            if isinstance(body, bytes):
                body = bytearray(body)
            self.reserve(len(body) + len(part))
            body += part
        self._buffer.finish()
        return body

    def reserve(self, size: int) -> None:
        """Reserve memory for the bytes of the answer that are kept. Raises ExchangeFailed."""
        try:
            self._buffer.resize(size)
        except BudgetExceeded as error:
            raise ExchangeFailed(f"no memory for the answer: {error}", sent=True) from None

    def parts(
        self, deadline: float, progress_deadline: Callable[[], float] | None = None
    ) -> Iterator[bytes]:
        """Yield the body of the answer as it arrives.

        Raises ExchangeFailed if the body breaks off, or is not complete at ``deadline`` (monotonic
        seconds), or if the exchange is cancelled before. ``progress_deadline`` returns the time at
        which waiting ends sooner; it is asked again at that time, and may return a later one.
        """
        response = self._response
        assert response is not None
        self._deadline = deadline
        limit = progress_deadline
        self._set_read_deadline(
            (lambda: deadline) if limit is None else (lambda: min(deadline, limit()))
        )
        while not response.closed:  # http.client closes the response at the end of the body
            now = time.monotonic()
            if now >= deadline:
                raise ExchangeFailed(
                    "the deadline passed within the answer", sent=True, limit=TimeLimit.DEADLINE
                )
            if limit is not None and now >= limit():
                raise ExchangeFailed(
                    "the answer makes no progress", sent=True, limit=TimeLimit.PROGRESS
                )
            try:
                part = response.read1(_READ_BYTES)
            except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
                raise self._create_failure("the answer broke off", error) from None
            except Exception as error:  # http.client's IncompleteRead is not an urllib3 HTTPError
                raise self._create_failure("the answer broke off", error) from None
            if not part:
                # A body without length ends with its connection, which ``cancel`` ends, too.
                if self._buffer.is_revoked:
                    self.reserve(0)
                if self._cancelled and _ends_with_connection(response):
                    raise ExchangeFailed("the exchange was cancelled", sent=True, cancelled=True)
                return
            yield part

    def cancel(self) -> None:
        """Shut down the connection, which wakes any thread that waits for the answer."""
        with self._lock:
            self._cancelled = True
            if self._socket is not None:
                with suppress(OSError):  # already closed
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection, which makes the upstream cancel unfinished work."""
        with self._lock:
            connection, self._connection = self._connection, None
            response, self._response = self._response, None
            sock, self._socket = self._socket, None
        if sock is not None:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        if response is not None:
            with suppress(Exception):  # closing an incomplete response may raise again
                response.close()
        if connection is not None:
            connection.close()

    def _connect(self, timeout_s: float) -> None:
        last_error: Exception | None = None
        try:
            host, port = parse_address(self._address)
        except ValueError as error:
            raise ExchangeFailed(f"no connection ({error})", sent=False, unreachable=True) from None
        for _ in range(CONNECT_ATTEMPTS):
            if self._cancelled:
                break
            connection: _Connection | None = None
            try:
                connection = _Connection(host, port, timeout=max(0.01, timeout_s))
                connection.connect()
            # Addresses that are none raise exceptions of many kinds.
            except Exception as error:
                if connection is not None:
                    connection.close()
                last_error = error
                if isinstance(error, urllib3.exceptions.ConnectTimeoutError):
                    continue
                break
            with self._lock:
                self._connection = connection
                self._socket = connection.sock
            if not self._cancelled:
                return
        if self._cancelled:
            raise ExchangeFailed("the exchange was cancelled", sent=False, cancelled=True)
        # urllib3 derives NewConnectionError, which a refused connection raises, from the other.
        timed_out = isinstance(
            last_error, urllib3.exceptions.ConnectTimeoutError
        ) and not isinstance(last_error, urllib3.exceptions.NewConnectionError)
        raise ExchangeFailed(
            f"no connection ({type(last_error).__name__})",
            sent=False,
            unreachable=not timed_out,
            limit=TimeLimit.CONNECT if timed_out else None,
        )

    def _has_answer(self) -> bool:
        return self.wait_readable(0.001)

    def _set_read_deadline(self, read_deadline: Callable[[], float]) -> None:
        sock = self._socket
        if isinstance(sock, _DeadlineSocket):
            sock.limit_reads(read_deadline)

    def _create_failure(self, description: str, error: Exception) -> ExchangeFailed:
        if self._buffer.is_revoked:
            return ExchangeFailed("no memory for the answer", sent=self._sent)
        if self._cancelled:
            return ExchangeFailed("the exchange was cancelled", sent=self._sent, cancelled=True)
        detail = f"{description} ({type(error).__name__})"
        return ExchangeFailed(detail, sent=self._sent, limit=self._expired_limit(error))

    def _expired_limit(self, error: Exception) -> TimeLimit | None:
        """Return the time limit that raised an error, None for all other errors."""
        if not isinstance(error, TimeoutError | urllib3.exceptions.ReadTimeoutError):
            return None
        if getattr(error, "errno", None) is not None:  # the kernel gave the connection up
            return None
        # The kernel's timers may expire up to a millisecond early.
        if time.monotonic() >= self._deadline - 0.001:
            return TimeLimit.DEADLINE
        return TimeLimit.PROGRESS


def first_readable(exchanges: Sequence[Exchange], timeout_s: float) -> Exchange | None:
    """Return the first exchange whose upstream answers or closes the connection, None if none does.

    Waits for ``timeout_s`` at most. An exchange that is closed counts as one whose upstream has
    closed the connection.
    """
    poller = select.poll()
    by_descriptor: dict[int, Exchange] = {}
    for exchange in exchanges:
        descriptor = exchange.descriptor
        if descriptor is None:
            return exchange
        by_descriptor[descriptor] = exchange
        poller.register(descriptor, select.POLLIN | select.POLLHUP | select.POLLERR)
    for descriptor, _ in poller.poll(max(0, math.ceil(timeout_s * 1000))):
        return by_descriptor[descriptor]
    return None


def _ends_with_connection(response: urllib3.BaseHTTPResponse) -> bool:
    """Whether only the end of the connection shows the end of a response's body."""
    return not response.chunked and response.length_remaining is None
