"""Connection pools, one per upstream, with a check before each request and with cancellation."""

import socket
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

from chervilrack._internal.common.byte_budget import ByteBudget
from chervilrack._internal.common.http_responses import (
    StrictHTTPConnection,
    StrictHTTPSConnection,
)
from chervilrack._internal.exceptions import ChervilrackError


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Files for TLS connections to upstreams. Certificates of upstreams are always verified.

    Without ``ca_file``, the system's certificate authorities are trusted.
    """

    ca_file: Path | None = None
    certificate_file: Path | None = None
    key_file: Path | None = None


class NotPermittedError(ChervilrackError):
    """The request may not be sent any more. None of its bytes has been written."""


class Transmission:
    """State of one HTTP exchange, which other threads may cancel.

    ``sent`` becomes true directly before the first byte of the request is written, and stays true.
    If an exchange ends while ``sent`` is false, the upstream cannot have received the request.
    """

    def __init__(self, deadline: float, may_send: Callable[[], bool]) -> None:
        self._deadline = deadline
        self._may_send = may_send
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._sent = False
        self._cancelled = False

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have been written."""
        return self._sent

    @property
    def cancelled(self) -> bool:
        """Whether ``cancel`` was called."""
        return self._cancelled

    @property
    def remaining(self) -> float:
        """Seconds until the deadline, at least 0.001 because 0 is not a valid time-out."""
        return max(0.001, self._deadline - time.monotonic())

    @property
    def expired(self) -> bool:
        """Whether the deadline has passed."""
        return time.monotonic() >= self._deadline

    def shorten_deadline(self, seconds: float) -> None:
        """Move the deadline to ``seconds`` from now if it is later than that."""
        self._deadline = min(self._deadline, time.monotonic() + seconds)

    def start_sending(self, sock: socket.socket) -> None:
        """Check that the request may be sent on the connected ``sock``, and set ``sent``.

        The check is made after connecting, because connecting can take longer than a node's
        confirmation is valid. Raises NotPermittedError.
        """
        with self._lock:
            if self._cancelled:
                raise NotPermittedError("the attempt was cancelled before it was sent")
            if self.expired:
                raise NotPermittedError("the deadline passed before the request was sent")
            self._socket = sock
        if not self._may_send():
            raise NotPermittedError("this node may not start work at the moment")
        self._sent = True

    def set_read_timeout(self) -> None:
        """Limit the next read to the time until the deadline."""
        if self._socket is not None:
            self._socket.settimeout(self.remaining)

    def cancel(self) -> None:
        """Shut down the connection, which wakes a thread that waits for the answer."""
        with self._lock:
            self._cancelled = True
            if self._socket is not None:
                # SSLSocket.shutdown would reset the TLS state, which another thread may be using.
                with suppress(OSError):  # already closed
                    socket.socket.shutdown(self._socket, socket.SHUT_RDWR)

    def detach(self) -> None:
        """Drop the reference to the socket, which the pool may reuse for another request."""
        with self._lock:
            self._socket = None


# Passes the Transmission of a request from ConnectionPools.send to the connection.
_thread_state = threading.local()


class _CheckedRequest:
    """Mixin for connections that calls ``Transmission.start_sending`` before writing a request."""

    sock: Any
    connect: Callable[[], None]
    close: Callable[[], None]
    _transmission: Transmission | None = None

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Connect if needed, check that the request may be sent, and write the request."""
        transmission: Transmission | None = getattr(_thread_state, "transmission", None)
        if transmission is not None:
            previous, self._transmission = self._transmission, transmission
            if previous is not None:
                # A late cancellation of the previous request must not shut down this request.
                previous.detach()
                if previous.cancelled:
                    self.close()
            if self.sock is None:
                self.connect()
            transmission.start_sending(self.sock)
        super().request(*args, **kwargs)  # type: ignore[misc]


class _HttpConnection(_CheckedRequest, StrictHTTPConnection):
    pass


class _HttpsConnection(_CheckedRequest, StrictHTTPSConnection):
    pass


class _HttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _HttpConnection


class _HttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _HttpsConnection


# Availability zones are milliseconds apart. A longer wait would only help if a SYN packet is lost
# twice, which is too rare to be worth it.
_CONNECT_TIMEOUT_S = 1.0


# Memory for all answers that are being read, and for one of them, in bytes.
ANSWER_MEMORY = 256 * 1024 * 1024
LARGEST_ANSWER = 64 * 1024 * 1024


class ConnectionPools:
    """Thread-safe collection of connection pools, one for each base URL.

    ``answer_memory`` bounds the answers that are read over all of them.
    """

    def __init__(self, tls: TlsSettings | None = None, connections_per_pool: int = 64) -> None:
        self.answer_memory = ByteBudget(ANSWER_MEMORY, LARGEST_ANSWER)
        self._tls = tls or TlsSettings()
        self._connections_per_pool = connections_per_pool
        self._pools: dict[str, tuple[urllib3.HTTPConnectionPool, str]] = {}
        self._lock = threading.Lock()

    def __enter__(self) -> "ConnectionPools":
        return self

    def __exit__(self, *_exception: object) -> None:
        self.retain(())

    def send(
        self,
        transmission: Transmission,
        base_url: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a POST, or a GET if ``body`` is None; return the response with its body unread.

        Raises urllib3's errors, OSError, ValueError and NotPermittedError. After an error,
        ``transmission.sent`` is whether the upstream may have received the request. Redirects are
        not followed.
        """
        pool, prefix = self._pool(base_url)
        remaining = transmission.remaining
        _thread_state.transmission = transmission
        try:
            return pool.urlopen(
                "GET" if body is None else "POST",
                prefix + path,
                body=body,
                headers=headers,
                retries=False,
                redirect=False,
                assert_same_host=False,
                timeout=urllib3.Timeout(connect=min(remaining, _CONNECT_TIMEOUT_S), read=remaining),
                preload_content=False,
                decode_content=False,
            )
        finally:
            _thread_state.transmission = None

    def retain(self, base_urls: Iterable[str]) -> None:
        """Close the pools of all other base URLs, without an effect on their running requests."""
        retained = set(base_urls)
        with self._lock:
            unused = [self._pools.pop(url) for url in set(self._pools) - retained]
        for pool, _prefix in unused:
            pool.close()

    def _pool(self, base_url: str) -> tuple[urllib3.HTTPConnectionPool, str]:
        entry = self._pools.get(base_url)
        if entry is None:
            with self._lock:
                entry = self._pools.get(base_url)
                if entry is None:
                    entry = self._pools[base_url] = self._create_pool(base_url)
        return entry

    def _create_pool(self, base_url: str) -> tuple[urllib3.HTTPConnectionPool, str]:
        url = urllib3.util.parse_url(base_url)
        if url.scheme not in ("http", "https") or not url.host:
            raise ValueError(f"the URL '{base_url}' of an upstream is not an http or https URL")
        prefix = (url.path or "").rstrip("/")
        if url.scheme == "http":
            return _HttpPool(url.host, url.port, maxsize=self._connections_per_pool), prefix
        tls = self._tls
        return _HttpsPool(
            url.host,
            url.port,
            maxsize=self._connections_per_pool,
            cert_reqs="CERT_REQUIRED",
            ca_certs=str(tls.ca_file) if tls.ca_file else None,
            cert_file=str(tls.certificate_file) if tls.certificate_file else None,
            key_file=str(tls.key_file) if tls.key_file else None,
        ), prefix
