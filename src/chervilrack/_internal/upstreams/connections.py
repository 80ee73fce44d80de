"""Connection pools, one per upstream, whose requests can be checked and cut off while they run."""

import socket
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from chervilrack._internal.exceptions import ChervilrackError


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Files for TLS towards upstreams; certificates are always verified.

    Without ``ca_file`` the system's certification authorities are trusted.
    """

    ca_file: Path | None = None
    certificate_file: Path | None = None
    key_file: Path | None = None


class NotPermittedError(ChervilrackError):
    """The request was given up before its first byte was written."""


class Transmission:
    """State of one HTTP exchange that other threads may cut off.

    ``sent`` becomes true directly before the first byte is written and never becomes false
    again; an exchange that ends with ``sent`` false cannot have been seen by the upstream.
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
        """Seconds until the deadline, at least one millisecond (zero would mean no time-out)."""
        return max(0.001, self._deadline - time.monotonic())

    @property
    def expired(self) -> bool:
        """Whether the deadline has passed."""
        return time.monotonic() >= self._deadline

    def shorten(self, seconds: float) -> None:
        """Bring the deadline forward to at most ``seconds`` from now."""
        self._deadline = min(self._deadline, time.monotonic() + seconds)

    def begin(self, connected: socket.socket) -> None:
        """Check, on an open connection, that the request may be written, and note that it is.

        Connecting can take longer than a node's confirmation lasts, so the check is made here.
        """
        with self._lock:
            if self._cancelled:
                raise NotPermittedError("the attempt was cancelled before it was sent")
            if self.expired:
                raise NotPermittedError("the deadline passed before the request was sent")
            self._socket = connected
        if not self._may_send():
            raise NotPermittedError("this node may not start work at the moment")
        self._sent = True

    def set_read_timeout(self) -> None:
        """Limit the next read by the remaining time."""
        if self._socket is not None:
            self._socket.settimeout(self.remaining)

    def cancel(self) -> None:
        """Cut off the connection; a thread that waits for the answer is woken."""
        with self._lock:
            self._cancelled = True
            if self._socket is not None:
                # The method of the plain socket class leaves the state of a TLS object alone,
                # which another thread may be using. OSError: already closed.
                with suppress(OSError):
                    socket.socket.shutdown(self._socket, socket.SHUT_RDWR)

    def detach(self) -> None:
        """Forget the socket, which may now serve another request."""
        with self._lock:
            self._socket = None


_current = threading.local()


class _CheckedRequest:
    """Mixin for connections: announces the open socket before a request is written."""

    sock: Any
    connect: Callable[[], None]
    close: Callable[[], None]
    _transmission: Transmission | None = None

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Connect if needed, run the last check, then write the request."""
        transmission: Transmission | None = getattr(_current, "transmission", None)
        if transmission is not None:
            previous, self._transmission = self._transmission, transmission
            if previous is not None:
                # A late cancellation of the previous request must not hit this one.
                previous.detach()
                if previous.cancelled:
                    self.close()
            if self.sock is None:
                self.connect()
            transmission.begin(self.sock)
        super().request(*args, **kwargs)  # type: ignore[misc]


class _HttpConnection(_CheckedRequest, HTTPConnection):
    pass


class _HttpsConnection(_CheckedRequest, HTTPSConnection):
    pass


class _HttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _HttpConnection


class _HttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _HttpsConnection


_CONNECT_TIMEOUT_S = 1.0  # zones are milliseconds apart; a SYN lost twice is not worth the wait


class ConnectionPools:
    """Connection pools by base URL. Threads may share one object."""

    def __init__(self, tls: TlsSettings | None = None, connections: int = 64) -> None:
        self._tls = tls or TlsSettings()
        self._connections = connections
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
        """Send a POST (a GET without body) and return the response with its body unread.

        Raises urllib3's errors, OSError and NotPermittedError; ``transmission.sent`` tells
        whether the upstream may have seen the request. Redirects are not followed.
        """
        pool, prefix = self._pool(base_url)
        remaining = transmission.remaining
        _current.transmission = transmission
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
            _current.transmission = None

    def retain(self, base_urls: Iterable[str]) -> None:
        """Close the pools of all other upstreams; their requests in progress are not affected."""
        keep = set(base_urls)
        with self._lock:
            dropped = [self._pools.pop(url) for url in set(self._pools) - keep]
        for pool, _prefix in dropped:
            pool.close()

    def _pool(self, base_url: str) -> tuple[urllib3.HTTPConnectionPool, str]:
        entry = self._pools.get(base_url)
        if entry is None:
            with self._lock:
                entry = self._pools.get(base_url)
                if entry is None:
                    entry = self._pools[base_url] = self._open(base_url)
        return entry

    def _open(self, base_url: str) -> tuple[urllib3.HTTPConnectionPool, str]:
        url = urllib3.util.parse_url(base_url)
        if url.scheme not in ("http", "https") or not url.host:
            raise ValueError(f"the URL '{base_url}' of an upstream is not an http or https URL")
        prefix = (url.path or "").rstrip("/")
        if url.scheme == "http":
            return _HttpPool(url.host, url.port, maxsize=self._connections), prefix
        tls = self._tls
        return _HttpsPool(
            url.host,
            url.port,
            maxsize=self._connections,
            cert_reqs="CERT_REQUIRED",
            ca_certs=str(tls.ca_file) if tls.ca_file else None,
            cert_file=str(tls.certificate_file) if tls.certificate_file else None,
            key_file=str(tls.key_file) if tls.key_file else None,
        ), prefix
