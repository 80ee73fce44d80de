"""Adapter for the platform's service over etcd v3's JSON gateway.

``GET /v1/vms``, which returns the list of VMs, is chervilrack's own addition to that protocol.
"""

import json
import math
import ssl
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from datetime import timedelta
from typing import Any, NamedTuple

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    LocationParseError,
    NameResolutionError,
    NewConnectionError,
)
from urllib3.exceptions import SSLError as UrllibSslError

from chervilrack._internal.common.clock import Clock, SystemClock
from chervilrack._internal.common.http_responses import StrictPoolManager, read_limited
from chervilrack._internal.exceptions import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformOverloaded,
    PlatformRefused,
    PlatformUnavailable,
)
from chervilrack._internal.kvstore import gateway_json as wire
from chervilrack._internal.kvstore.etcd_watch import EtcdWatch
from chervilrack._internal.kvstore.port import (
    Compare,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
    VmList,
    WatchBatch,
)
from chervilrack._internal.kvstore.registry import PLATFORM_ADAPTERS, PlatformSettings
from chervilrack._internal.kvstore.store import check_writes, prefix_end

# A node makes a handful of calls at a time. Further idle connections are closed.
MAX_IDLE_CONNECTIONS = 8
# Errors that occur before any part of the request is sent.
_CONNECT_ERRORS = (NewConnectionError, NameResolutionError, ConnectTimeoutError, LocationParseError)


class _Answer(NamedTuple):
    """Status and whole body of a response."""

    status: int
    body: bytes


class EtcdPlatform:
    """PlatformService over etcd's HTTP gateway; safe for use by several threads."""

    def __init__(self, settings: PlatformSettings, clock: Clock | None = None) -> None:
        if not settings.endpoints:
            raise ValueError("the etcd adapter needs at least one endpoint")
        self._settings = settings
        self._clock = clock or SystemClock()
        self._timeout = urllib3.Timeout(
            connect=settings.connect_timeout.total_seconds(),
            read=settings.request_timeout.total_seconds(),
        )
        tls: dict[str, Any] = {}
        if not settings.verify_tls:
            tls = {"cert_reqs": "CERT_NONE"}
        elif settings.ca_file:
            tls = {"ca_certs": settings.ca_file}
        self._pool = StrictPoolManager(
            maxsize=MAX_IDLE_CONNECTIONS, retries=False, timeout=self._timeout, **tls
        )
        self._endpoint_index = 0
        self._etcd_token: str | None = None

    def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it is absent."""
        body = self._call("/v3/kv/range", {"key": wire.encode_bytes(key.encode())})
        with _decoding(write=False):
            return next((wire.decode_item(item) for item in body.get("kvs", ())), None)

    def range(self, prefix: str) -> RangeResult:
        """Return all keys that begin with ``prefix``."""
        body = self._call("/v3/kv/range", _key_range(prefix))
        with _decoding(write=False):
            items = tuple(wire.decode_item(item) for item in body.get("kvs", ()))
            return RangeResult(items, wire.revision_of(body))

    def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> TxnResult:
        """Apply all writes if every comparison holds."""
        check_writes(puts, deletes)
        body = self._call("/v3/kv/txn", wire.encode_txn(compares, puts, deletes), write=True)
        with _decoding(write=True):
            return TxnResult(bool(body.get("succeeded", False)), wire.revision_of(body))

    def lease_grant(self, ttl: timedelta) -> int:
        """Create a lease and return its id; ``ttl`` is rounded up to whole seconds, etcd's unit."""
        seconds = max(1, math.ceil(ttl.total_seconds()))
        body = self._call("/v3/lease/grant", {"TTL": str(seconds)}, write=True)
        with _decoding(write=True):
            return int(body["ID"])

    def lease_keepalive(self, lease: int) -> timedelta:
        """Renew a lease; return its remaining time, zero if it has expired."""
        body = self._call("/v3/lease/keepalive", {"ID": str(lease)}, write=True)
        with _decoding(write=True):
            return timedelta(seconds=int(body["result"].get("TTL", 0)))

    def lease_revoke(self, lease: int) -> None:
        """End a lease and delete its keys. Raises PlatformRefused if there is no such lease."""
        self._call("/v3/lease/revoke", {"ID": str(lease)}, write=True)

    @contextmanager
    def watch(
        self, prefix: str, from_revision: int, era: int | None = None
    ) -> Iterator[Iterator[WatchBatch | None]]:
        """Open a watch that reconnects and resumes after the last change that it delivered.

        etcd has no eras; ``era`` is ignored.

        Iterating raises WatchCompacted, or PlatformUnavailable after ``watch_reconnect`` without
        a connection. None is yielded at least once a second, also while the watch reconnects.
        """
        watch = EtcdWatch(
            self._open_stream, _key_range(prefix), from_revision, self._settings, self._clock
        )
        try:
            watch.open()
            yield watch.batches()
        finally:
            watch.close()

    def list_vms(self) -> VmList:
        """Return the list of VMs from ``GET /v1/vms``."""
        body = self._call("/v1/vms", None)
        with _decoding(write=False):
            return VmList(*(frozenset(body[name]) for name in ("live", "leaving", "gone")))

    def _call(self, path: str, body: Mapping[str, Any] | None, write: bool = False) -> wire.Json:
        token_renewed = False
        while True:
            response = self._request(path, body, write)
            if response.status == 200:
                return _parse_body(response.body, write)
            error = _status_error(response.status, response.body, write)
            token_expired = response.status == 401 and self._settings.username is not None
            if not token_expired or token_renewed:
                raise error
            # A token becomes invalid after its lifetime or when the server restarts. If a renewed
            # token is refused as well, the cause is another one.
            self._etcd_token = None
            token_renewed = True

    def _request(self, path: str, body: Mapping[str, Any] | None, write: bool) -> _Answer:
        headers = {"Content-Type": "application/json", **self._authorization()}
        return self._send_whole(path, body, write, headers)

    def _send_whole(
        self,
        path: str,
        body: Mapping[str, Any] | None,
        write: bool,
        headers: Mapping[str, str],
    ) -> _Answer:
        """Send a request and read the whole response."""
        response = self._send(path, body, write, headers, stream=False)
        try:
            return _Answer(response.status, read_limited(response))
        except HTTPError as error:
            raise _lost_response_error(error, write) from error

    def _open_stream(self, path: str, body: Mapping[str, Any]) -> urllib3.BaseHTTPResponse:
        for token_renewed in (False, True):
            headers = {"Content-Type": "application/json", **self._authorization()}
            response = self._send(path, body, False, headers, stream=True)
            if response.status == 200:
                return response
            try:
                content = read_limited(response)
            except HTTPError as failure:
                raise _lost_response_error(failure, False) from failure
            error = _status_error(response.status, content, False)
            response.close()
            if response.status != 401 or self._settings.username is None or token_renewed:
                raise error
            self._etcd_token = None
        raise AssertionError("the loop returns or raises")

    def _send(
        self,
        path: str,
        body: Mapping[str, Any] | None,
        write: bool,
        headers: Mapping[str, str],
        stream: bool,
    ) -> urllib3.BaseHTTPResponse:
        """Send to the current endpoint, and to the next one only if nothing was sent."""
        endpoints = self._settings.endpoints
        watch_read_timeout_s = self._settings.watch_silence.total_seconds()
        timeout = (
            urllib3.Timeout(connect=self._timeout.connect_timeout, read=watch_read_timeout_s)
            if stream
            else self._timeout
        )
        last_error: Exception | None = None
        for _ in endpoints:
            url = endpoints[self._endpoint_index % len(endpoints)].rstrip("/") + path
            try:
                return self._pool.request(
                    "GET" if body is None else "POST",
                    url,
                    body=None if body is None else json.dumps(body).encode(),
                    headers=headers,
                    timeout=timeout,
                    preload_content=False,
                    redirect=False,
                )
            except _CONNECT_ERRORS as error:
                last_error = error
            except UrllibSslError as error:
                if not _is_handshake_failure(error):
                    raise _lost_response_error(error, write) from error
                last_error = error
            except HTTPError as error:
                self._endpoint_index += 1
                raise _lost_response_error(error, write) from error
            self._endpoint_index += 1
        raise PlatformUnavailable(f"no endpoint can be reached: {last_error}") from last_error

    def _authorization(self) -> dict[str, str]:
        settings = self._settings
        if settings.token is not None:
            return {"Authorization": f"Bearer {settings.token}"}
        if settings.username is None:
            return {}
        token = self._etcd_token
        if token is None:
            token = self._etcd_token = self._authenticate()
        return {"Authorization": token}  # etcd expects the bare token

    def _authenticate(self) -> str:
        body = {"name": self._settings.username, "password": self._settings.password or ""}
        headers = {"Content-Type": "application/json"}
        response = self._send_whole("/v3/auth/authenticate", body, False, headers)
        if response.status != 200:
            raise _status_error(response.status, response.body, False)
        return str(_parse_body(response.body, False).get("token", ""))


def _key_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    # etcd refuses an empty key; a single zero byte is the first valid key.
    return {
        "key": wire.encode_bytes(start or b"\0"),
        "range_end": wire.encode_bytes(prefix_end(start)),
    }


def _parse_body(data: bytes, write: bool) -> wire.Json:
    try:
        body = json.loads(data)
    except wire.DECODING_ERRORS as error:
        raise _lost_response_error(error, write) from error
    if not isinstance(body, dict):
        raise _lost_response_error(ValueError("the response is not a JSON object"), write)
    return body


def _lost_response_error(error: Exception, write: bool) -> PlatformError:
    """Return the error for a call whose response did not arrive or was unreadable."""
    if write:
        return PlatformOutcomeUnknown(f"the response of a write was lost: {error}")
    return PlatformUnavailable(f"the response was lost: {error}")


@contextmanager
def _decoding(write: bool) -> Iterator[None]:
    """Turn errors in decoding a response into the error for a response that did not arrive."""
    try:
        yield
    except wire.DECODING_ERRORS as error:
        raise _lost_response_error(error, write) from error


def _status_error(status: int, data: bytes, write: bool) -> PlatformError:
    """Return the error for a response with an error status."""
    try:
        body = json.loads(data)
        message = str(body.get("message") or body.get("error", ""))
    except wire.DECODING_ERRORS:
        message = ""
    detail = f"HTTP status {status}: {message or 'no message'}"
    if status == 429:
        return PlatformOverloaded(detail)
    if status < 500:
        return PlatformRefused(detail)
    if write and not message.startswith(wire.NO_LEADER):
        # etcd also answers 503 if a proposal timed out; such a proposal may still be committed.
        return PlatformOutcomeUnknown(detail)
    return PlatformUnavailable(detail)


def _is_handshake_failure(error: Exception) -> bool:
    return any(isinstance(cause, ssl.SSLCertVerificationError) for cause in error.args)


@PLATFORM_ADAPTERS.register("etcd")
def _from_settings(settings: PlatformSettings) -> EtcdPlatform:
    return EtcdPlatform(settings)
