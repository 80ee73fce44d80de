"""One pass-through HTTP exchange with an upstream over a connection of its own.

A fresh connection carries nothing of another request: no late second answer, no idle time-out that
meets a new request. It costs one round trip, about a thousandth of the shortest target.
"""

import select
import socket
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import suppress
from types import TracebackType
from typing import Any, Self

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from chervilrack._internal.exceptions import ChervilrackError

# A lost opening packet is sent again after a second; another attempt comes through sooner.
CONNECT_TIMEOUT_S = 0.25
CONNECT_ATTEMPTS = 2
MAX_ANSWER_BYTES = 64 * 1024 * 1024  # bounds the memory that one faulty upstream can take
_PART_BYTES = 65_536
# Bytes of a large body written before the upstream's answer is looked for.
_WRITE_BYTES = 32_768


class ExchangeFailed(ChervilrackError):
    """The exchange ended without a whole answer.

    ``sent`` tells whether a byte of the request may have reached the upstream. ``unreachable``
    means that no connection could be made.
    """

    def __init__(self, detail: str, *, sent: bool, unreachable: bool = False) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
        self.unreachable = unreachable


class _Connection(HTTPConnection):
    """Stops writing a body as soon as the upstream has answered."""

    def send(self, data: Any) -> None:
        """Write ``data`` unless an answer has arrived before the rest was wanted."""
        if self.sock is None or not isinstance(data, bytes) or len(data) <= _WRITE_BYTES:
            super().send(data)
            return
        view = memoryview(data)
        while view:
            readable, _, _ = select.select([self.sock], [], [], 0)
            if readable:
                return
            _, writable, _ = select.select([], [self.sock], [], self.sock.gettimeout())
            if not writable:
                raise TimeoutError("the upstream does not read the request")
            sent = self.sock.send(view[:_WRITE_BYTES])
            view = view[sent:]


class Exchange:
    """Sends one request and reads its answer; another thread may cut it off. A context manager."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._lock = threading.Lock()
        self._connection: HTTPConnection | None = None
        self._socket: socket.socket | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._sent = False
        self._cancelled = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have been written."""
        return self._sent

    @property
    def cancelled(self) -> bool:
        """Whether ``cancel`` was called."""
        return self._cancelled

    def send(
        self,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        time_left_s: float,
    ) -> None:
        """Connect and write the request. Raises ExchangeFailed."""
        self._connect(min(CONNECT_TIMEOUT_S, time_left_s))
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
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            if not self._has_answer():
                raise self._failure("the request could not be written", error) from None

    def wait_readable(self, timeout_s: float) -> bool:
        """Wait until the upstream has answered or closed; return False after the timeout."""
        if self._socket is None or timeout_s <= 0:
            return False
        poller = select.poll()
        try:
            poller.register(self._socket, select.POLLIN | select.POLLHUP | select.POLLERR)
        except (OSError, ValueError):
            return True
        return bool(poller.poll(max(1, int(timeout_s * 1000))))

    def read_head(self, time_left_s: float) -> urllib3.BaseHTTPResponse:
        """Read the status and header fields. Raises ExchangeFailed."""
        assert self._connection is not None
        try:
            self._connection.timeout = max(0.001, time_left_s)
            self._response = self._connection.getresponse()
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            raise self._failure("no answer", error) from None
        except Exception as error:  # http.client raises its own kinds for bytes that are no answer
            raise self._failure("the answer is malformed", error) from None
        return self._response

    def read_body(self, deadline: float) -> bytes:
        """Read the whole body until ``deadline`` (monotonic seconds). Raises ExchangeFailed."""
        parts = list(self.parts(deadline))
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def parts(self, deadline: float, gap_s: float | None = None) -> Iterator[bytes]:
        """Yield the body as it arrives. Raises ExchangeFailed if it breaks off.

        ``gap_s`` bounds the time without any byte.
        """
        response = self._response
        assert response is not None
        size = 0
        while not response.closed:  # at its end http.client has closed the connection
            left = deadline - time.monotonic()
            if left <= 0:
                raise ExchangeFailed("the deadline passed within the answer", sent=True)
            try:
                self._set_timeout(min(left, gap_s) if gap_s is not None else left)
                part = response.read1(_PART_BYTES)
            except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
                raise self._failure("the answer broke off", error) from None
            except Exception as error:  # http.client's IncompleteRead is no HTTPError
                raise self._failure("the answer broke off", error) from None
            if not part:
                return
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise ExchangeFailed(f"the answer exceeds {MAX_ANSWER_BYTES} bytes", sent=True)
            yield part

    def cancel(self) -> None:
        """Cut off the connection; a thread that waits on it is woken."""
        with self._lock:
            self._cancelled = True
            if self._socket is not None:
                # OSError: already closed.
                with suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection, which makes an upstream drop unfinished work."""
        with self._lock:
            connection, self._connection = self._connection, None
            response, self._response = self._response, None
            opened, self._socket = self._socket, None
        if opened is not None:
            with suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
        if response is not None:
            with suppress(Exception):  # closing a response that broke off may raise again
                response.close()
        if connection is not None:
            connection.close()

    def _connect(self, timeout_s: float) -> None:
        error: Exception | None = None
        for _ in range(CONNECT_ATTEMPTS):
            if self._cancelled:
                break
            connection = _Connection(self._host, self._port, timeout=max(0.01, timeout_s))
            try:
                connection.connect()
            except (OSError, urllib3.exceptions.HTTPError) as found:
                connection.close()
                error = found
                if isinstance(found, urllib3.exceptions.ConnectTimeoutError):
                    continue
                break
            with self._lock:
                self._connection = connection
                self._socket = connection.sock
            if not self._cancelled:
                return
        if self._cancelled:
            raise ExchangeFailed("the exchange was cancelled", sent=False)
        raise ExchangeFailed(
            f"no connection ({type(error).__name__})", sent=False, unreachable=True
        )

    def _has_answer(self) -> bool:
        return self.wait_readable(0.001)

    def _set_timeout(self, seconds: float) -> None:
        opened = self._socket
        if opened is not None:
            opened.settimeout(max(0.001, seconds))

    def _failure(self, what: str, error: Exception) -> ExchangeFailed:
        if self._cancelled:
            return ExchangeFailed("the exchange was cancelled", sent=self._sent)
        return ExchangeFailed(f"{what} ({type(error).__name__})", sent=self._sent)
