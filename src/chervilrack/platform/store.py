"""Client of the platform's store, as the product's ``KeyValueStore``."""

import base64
import logging
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from datetime import timedelta
from typing import Any, Final, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from chervilrack._internal.exceptions import (
    PlatformOutcomeUnknown,
    PlatformOverloaded,
    PlatformRefused,
    PlatformUnavailable,
    WatchCompacted,
)
from chervilrack._internal.kvstore.port import (
    Change,
    ChangeKind,
    Compare,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
    WatchBatch,
)

logger = logging.getLogger(__name__)

# A waiting watch returns after this time, so that a connection that went silent is noticed
# within the two seconds in which a change has to be in force.
WATCH_WAIT: Final = timedelta(milliseconds=1400)
# Added to WATCH_WAIT before a silent watch counts as lost; the store answers in milliseconds.
WATCH_SLACK: Final = timedelta(milliseconds=400)
CONNECT_TIMEOUT_S: Final = 0.5
READ_TIMEOUT_S: Final = 1.0
MAX_PAGES: Final = 1000  # of about 500 items; a listing without an end would never return

_SUCCESS: Final = 200

T = TypeVar("T")


class _Item(msgspec.Struct, rename="camel"):
    """An item, or the end of one (``tombstone``). ``revision`` is that of its last change."""

    key: str
    revision: int
    value: str = ""
    lease: int = 0
    tombstone: bool = False


class _Page(msgspec.Struct, rename="camel"):
    entries: list[_Item]
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


class _Written(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct, rename="camel"):
    lease: int = 0
    ttl_ms: int = 0


class PlatformStore:
    """Calls of the platform's store; safe for use by several threads."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=4,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it is absent."""
        status, body = self._read("GET", "/api/kv-key", {"key": key})
        if status == 404:
            return None
        return _key_value(_decode(body, _Item))

    def range(self, prefix: str) -> RangeResult:
        """Return all keys that begin with ``prefix``; the pages are not one snapshot.

        The revision is that of the first page: a watch from there repeats changes that later
        pages already show, and misses none.
        """
        items: list[KeyValue] = []
        revision = 0
        after = ""
        for _ in range(MAX_PAGES):
            query = {"pathPrefix": prefix, **({"after": after} if after else {})}
            page = _decode(self._read("GET", "/api/kv-range", query)[1], _Page)
            items += [_key_value(item) for item in page.entries]
            revision = revision or page.at
            if not page.has_more or not page.entries:
                return RangeResult(tuple(items), revision)
            after = page.entries[-1].key
        raise PlatformUnavailable(f"the listing of '{prefix}' has more than {MAX_PAGES} pages")

    def txn(
        self, compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> TxnResult:
        """Apply all writes if every comparison holds."""
        body = {
            "expectedRevision": [
                {"key": compare.key, "revision": compare.mod_revision} for compare in compares
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": list(deletes),
        }
        status, answer = self._write("POST", "/api/kv-txn", body)
        if status == 412:
            return TxnResult(succeeded=False, revision=0)
        if status == 404:
            raise PlatformRefused("the lease of a write has ended")
        return TxnResult(succeeded=True, revision=_decode(answer, _Written).revision)

    def lease_grant(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""
        _, body = self._write("POST", "/api/kv-lease", {"ttlMs": round(ttl.total_seconds() * 1000)})
        return _decode(body, _Lease).lease

    def lease_keepalive(self, lease: int) -> timedelta:
        """Renew a lease; return its remaining time, zero if it has ended."""
        status, body = self._read("POST", f"/api/kv-keep/{lease}")
        if status == 404:
            return timedelta(0)
        return timedelta(milliseconds=_decode(body, _Lease).ttl_ms)

    def lease_revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self._write("DELETE", f"/api/kv-lease-end/{lease}")

    @contextmanager
    def watch(self, prefix: str, from_revision: int) -> Iterator[Iterator[WatchBatch | None]]:
        """Open a watch that yields batches, and None when nothing changed for a while."""
        yield self._batches(prefix, from_revision - 1)

    def _batches(self, prefix: str, after: int) -> Iterator[WatchBatch | None]:
        wait_ms = round(WATCH_WAIT / timedelta(milliseconds=1))
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=(WATCH_WAIT + WATCH_SLACK).total_seconds()
        )
        while True:
            query = {"pathPrefix": prefix, "after": str(after), "waitMs": str(wait_ms)}
            status, body = self._read("GET", "/api/kv-watch", query, timeout)
            if status == 410:
                raise WatchCompacted(f"the history after revision {after} is gone")
            found = _decode(body, _Events)
            after = max(after, found.at)
            if not found.events:
                yield None
                continue
            changes = tuple(
                Change(ChangeKind.DELETE if item.tombstone else ChangeKind.PUT, _key_value(item))
                for item in found.events
            )
            yield WatchBatch(changes, after)

    def _read(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        timeout: urllib3.Timeout | None = None,
    ) -> tuple[int, bytes]:
        """Make a call that may be repeated; its answer may also be 404 or 410."""
        try:
            return self._call(method, path, query, None, timeout, passed=(404, 410))
        except HTTPError as error:
            raise PlatformUnavailable(f"{method} {path} failed: {_brief(error)}") from None

    def _write(
        self, method: str, path: str, body: Mapping[str, Any] | None = None
    ) -> tuple[int, bytes]:
        """Make a call whose effect is unknown when its answer is lost."""
        content = msgspec.json.encode(body) if body is not None else None
        try:
            return self._call(method, path, None, content, None, passed=(404, 412))
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise PlatformUnavailable(f"{method} {path} was not sent: {_brief(error)}") from None
        except HTTPError as error:
            raise PlatformOutcomeUnknown(
                f"{method} {path} got no answer: {_brief(error)}"
            ) from None

    def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None,
        content: bytes | None,
        timeout: urllib3.Timeout | None,
        passed: tuple[int, ...],
    ) -> tuple[int, bytes]:
        headers = {"Content-Type": "application/json"} if content is not None else {}
        response = self._pool.request(
            method,
            path,
            fields=query,
            body=content,
            headers=headers,
            **({"timeout": timeout} if timeout is not None else {}),
        )
        status = response.status
        if status == _SUCCESS or status in passed:
            return status, response.data
        if status == 429:
            raise PlatformOverloaded(f"{method} {path}: the store's rate is used up")
        if status >= 500:
            raise PlatformUnavailable(f"{method} {path}: status {status}")
        raise PlatformRefused(f"{method} {path}: status {status}")


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise PlatformUnavailable(f"the store's answer is malformed: {error}") from None


def _key_value(item: _Item) -> KeyValue:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Another writer's key; its reader reports what it cannot use.
        logger.warning("store: the value of %s is no base64", item.key)
        value = b""
    return KeyValue(item.key, value, item.revision, item.lease)


def _brief(error: Exception) -> str:
    return f"{type(error).__name__}"
