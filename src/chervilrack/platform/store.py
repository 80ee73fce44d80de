"""Client of the platform's store; implements ``kvstore.port.KeyValueStore``."""

import base64
import logging
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from datetime import timedelta
from typing import Annotated, Any, Final, NamedTuple, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from chervilrack._internal.changefeed.limits import ApplyLimits
from chervilrack._internal.common.addresses import parse_address
from chervilrack._internal.common.clock import Clock, SystemClock
from chervilrack._internal.common.decoding import (
    MAX_NAME_LENGTH,
    UnreadableValue,
    decode_json,
    decode_value,
)
from chervilrack._internal.common.fresh_connections import FreshHTTPConnectionPool
from chervilrack._internal.common.http_responses import read_limited
from chervilrack._internal.exceptions import (
    PlatformOutcomeUnknown,
    PlatformOverloaded,
    PlatformRefused,
    PlatformUnavailable,
    WatchCompacted,
)
from chervilrack._internal.kvstore.eras import EraEvent, OlderEra, StoreEras
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

CONNECT_TIMEOUT_S: Final = 0.5
READ_TIMEOUT_S: Final = 1.0
# A page has about 500 items. The limit ends a listing that claims to have more pages for ever.
MAX_PAGES: Final = 1000
# Listings that are begun again because the store came back from a copy between two pages.
MAX_LISTINGS: Final = 3
ERA_HEADER: Final = "Store-Era"

_SUCCESS: Final = 200
# The only error of the store's side that states that nothing was done.
_NOTHING_DONE: Final = 503

T = TypeVar("T")


class StoreAnswer(NamedTuple):
    """Status and whole body of an answer, and the era of the store that it belongs to."""

    status: int
    body: bytes
    era: int


_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Up to about 30 years, which any sum of times can hold.
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**12)]


class _Item(msgspec.Struct, rename="camel"):
    """A key with its value and the revision of its last change; ``tombstone`` if it was deleted."""

    key: str
    revision: _Revision
    value: str = ""
    lease: int = 0
    tombstone: bool = False


class _KeyOnly(msgspec.Struct):
    key: str


class _Page(msgspec.Struct, rename="camel"):
    """One page of a listing; ``at`` is the revision of the store. The entries are items."""

    entries: list[msgspec.Raw]
    at: _Revision
    has_more: bool = False


class _Events(msgspec.Struct):
    """Response to a watch call; ``at`` is the revision of the store. The events are items."""

    events: list[msgspec.Raw]
    at: _Revision


class _TxnResponse(msgspec.Struct):
    revision: _Revision


class _Lease(msgspec.Struct, rename="camel"):
    lease: int = 0
    ttl_ms: _Milliseconds = 0


_item_decoder = msgspec.json.Decoder(_Item)
_key_decoder = msgspec.json.Decoder(_KeyOnly)


class PlatformStore:
    """Client of the platform's store; thread-safe.

    An item of a listing or a watch that cannot be read is left out, with a warning. ``limits`` are
    those of watch calls.
    """

    def __init__(
        self, address: str, limits: ApplyLimits | None = None, clock: Clock | None = None
    ) -> None:
        self._limits = limits or ApplyLimits()
        self._clock = clock or SystemClock()
        self._eras = StoreEras()
        host, port = parse_address(address)
        # The own call of a node that no longer relies on a relay must not wait for an answer on a
        # connection that has fallen silent meanwhile.
        self._pool = FreshHTTPConnectionPool(
            host,
            port,
            self._limits.own_call_time,
            self._clock,
            maxsize=4,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    @property
    def eras(self) -> StoreEras:
        """Eras that the store's answers have stated."""
        return self._eras

    def get(self, key: str) -> KeyValue | None:
        """Return the key, or None if it is absent."""
        answer = self._read("GET", "/api/kv-key", {"key": key})
        if answer.status == 404:
            return None
        return _key_value(_decode(answer.body, _Item))

    def range(self, prefix: str) -> RangeResult:
        """Return all keys that begin with ``prefix``; the pages do not form one snapshot.

        The revision is that of the first page. A watch from this revision misses no change, and
        may repeat changes that later pages already contain. All pages are of one era.
        """
        for _ in range(MAX_LISTINGS):
            listing = self._list(prefix)
            if listing is not None:
                return listing
            logger.info("store: the pages of the listing of '%s' are of two eras", prefix)
            self._eras.count(EraEvent.MIXED_LISTING)
        raise PlatformUnavailable(f"the pages of the listing of '{prefix}' are of two eras")

    def _list(self, prefix: str) -> RangeResult | None:
        """Return a listing, None if its pages are of different eras."""
        items: list[KeyValue] = []
        revision = 0
        era: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"pathPrefix": prefix, **({"after": after} if after else {})}
            answer = self._read("GET", "/api/kv-range", query)
            if era is not None and answer.era != era:
                return None
            era = answer.era
            page = _decode(answer.body, _Page)
            items += [_key_value(item) for item in _read_items(page.entries)]
            revision = revision or page.at
            if not page.has_more or not page.entries:
                return RangeResult(tuple(items), revision, era)
            after = _last_key(page.entries)
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
        answer = self._write("POST", "/api/kv-txn", body)
        if answer.status == 412:
            return TxnResult(succeeded=False, revision=0, era=answer.era)
        if answer.status == 404:
            raise PlatformRefused("the lease of a written key has expired")
        revision = _decode_written(answer.body, _TxnResponse).revision
        return TxnResult(succeeded=True, revision=revision, era=answer.era)

    def lease_grant(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""
        ttl_ms = round(ttl.total_seconds() * 1000)
        answer = self._write("POST", "/api/kv-lease", {"ttlMs": ttl_ms})
        return _decode_written(answer.body, _Lease).lease

    def lease_keepalive(self, lease: int) -> timedelta:
        """Renew a lease; return its remaining time, zero if it has expired."""
        answer = self._read("POST", f"/api/kv-keep/{lease}")
        if answer.status == 404:
            return timedelta(0)
        return timedelta(milliseconds=_decode(answer.body, _Lease).ttl_ms)

    def lease_revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self._write("DELETE", f"/api/kv-lease-end/{lease}")

    @contextmanager
    def watch(
        self, prefix: str, from_revision: int, era: int | None = None
    ) -> Iterator[Iterator[WatchBatch | None]]:
        """Open a watch that yields batches, and None after each ``watch_wait`` without one.

        With ``era``, an answer of an older era than that is dropped, and the watch fails.
        """
        yield self._batches(prefix, from_revision - 1, era)

    def _batches(self, prefix: str, after: int, era: int | None) -> Iterator[WatchBatch | None]:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=self._limits.watch_timeout.total_seconds()
        )
        answered_at = self._clock.monotonic()
        while True:
            # What the consumer of the last batch took is a part of the time between two answers.
            taken = self._clock.monotonic() - answered_at
            wait = max(timedelta(0), self._limits.watch_wait - taken)
            wait_ms = round(wait / timedelta(milliseconds=1))
            query = {"pathPrefix": prefix, "after": str(after), "waitMs": str(wait_ms)}
            answer = self._read("GET", "/api/kv-watch", query, timeout)
            self._check_era(era, answer.era)
            if answer.status == 410:
                raise WatchCompacted(f"the changes after revision {after} are compacted")
            answered_at = self._clock.monotonic()
            response = _decode(answer.body, _Events)
            after = max(after, response.at)
            if not response.events:
                yield None
                continue
            changes = tuple(
                Change(ChangeKind.DELETE if item.tombstone else ChangeKind.PUT, _key_value(item))
                for item in _read_items(response.events)
            )
            yield WatchBatch(changes, after, answer.era) if changes else None

    def _check_era(self, expected: int | None, era: int) -> None:
        """Raise an exception unless a watch of an era may go on with an answer of ``era``."""
        if expected is None or era == expected:
            return
        if era > expected:
            raise WatchCompacted(f"the store is in era {era}, and the watch began in {expected}")
        self._eras.count(EraEvent.OLDER_ANSWER)
        raise OlderEra(f"an answer of era {era} came to a watch of era {expected}")

    def _read(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        timeout: urllib3.Timeout | None = None,
    ) -> StoreAnswer:
        """Make an idempotent call; statuses 404 and 410 are returned like 200."""
        try:
            return self._call(method, path, query, None, timeout, returned_statuses=(404, 410))
        except HTTPError as error:
            raise PlatformUnavailable(f"{method} {path} failed: {_class_name(error)}") from None

    def _write(self, method: str, path: str, body: Mapping[str, Any] | None = None) -> StoreAnswer:
        """Make a call that may not be repeated; statuses 404 and 412 are returned like 200.

        Raises PlatformOutcomeUnknown if the response to a call that was sent is lost, or does not
        state whether the call was applied.
        """
        content = msgspec.json.encode(body) if body is not None else None
        try:
            return self._call(method, path, None, content, None, returned_statuses=(404, 412))
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise PlatformUnavailable(
                f"{method} {path} was not sent: {_class_name(error)}"
            ) from None
        except HTTPError as error:
            raise PlatformOutcomeUnknown(
                f"{method} {path} got no response: {_class_name(error)}"
            ) from None
        except _ServerError as error:
            if error.status == _NOTHING_DONE:
                raise
            raise PlatformOutcomeUnknown(str(error)) from None
        except OlderEra as error:
            # It was acknowledged in an era that has ended, and may be gone.
            raise PlatformOutcomeUnknown(str(error)) from None

    def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None,
        content: bytes | None,
        timeout: urllib3.Timeout | None,
        returned_statuses: tuple[int, ...],
    ) -> StoreAnswer:
        headers = {"Content-Type": "application/json"} if content is not None else {}
        begun = self._eras.current
        response = self._pool.request(
            method,
            path,
            fields=query,
            body=content,
            headers=headers,
            preload_content=False,
            **({"timeout": timeout} if timeout is not None else {}),
        )
        status = response.status
        content = read_limited(response)
        stated = response.headers.get(ERA_HEADER)
        era = self._eras.observe(stated, begun, self._clock.monotonic())
        if status == _SUCCESS or status in returned_statuses:
            return StoreAnswer(status, content, era)
        if status == 429:
            raise PlatformOverloaded(f"{method} {path}: the store's rate limit is exceeded")
        if status >= 500:
            raise _ServerError(f"{method} {path}: status {status}", status)
        raise PlatformRefused(f"{method} {path}: status {status}")


class _ServerError(PlatformUnavailable):
    """A call was answered with ``status``, an error of the store's side."""

    def __init__(self, detail: str, status: int) -> None:
        super().__init__(detail)
        self.status = status


def _decode_written(body: bytes, document_type: type[T]) -> T:
    """Return the response to a write, which was applied even if its response is malformed."""
    try:
        return _decode(body, document_type)
    except PlatformUnavailable as error:
        raise PlatformOutcomeUnknown(str(error)) from None


def _decode(body: bytes, document_type: type[T]) -> T:
    try:
        return decode_json(
            "the store's response",
            body,
            lambda content: msgspec.json.decode(content, type=document_type),
        )
    except UnreadableValue as error:
        raise PlatformUnavailable(str(error)) from None


def _read_items(contents: Sequence[msgspec.Raw]) -> Iterator[_Item]:
    """Yield the readable items of a response."""
    for content in contents:
        value = bytes(content)
        try:
            yield decode_value("an item of the store", value, _item_decoder.decode)
        except UnreadableValue as error:
            logger.warning("store: %s (key %s)", error, repr(_key_of(value))[:MAX_NAME_LENGTH])


def _key_of(content: bytes) -> str | None:
    """Return the key of an item, None if it cannot be read."""
    try:
        return decode_value("a key of the store", content, _key_decoder.decode).key
    except UnreadableValue:
        return None


def _last_key(contents: Sequence[msgspec.Raw]) -> str:
    """Return the key of the last item of a page, behind which the next page begins."""
    for content in reversed(contents):
        if key := _key_of(bytes(content)):
            return key
    raise PlatformUnavailable("no item of a page of the store has a readable key")


def _key_value(item: _Item) -> KeyValue:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Another program wrote the key. The code that uses the value reports it as unreadable.
        logger.warning("store: the value of %s is not base64", item.key)
        value = b""
    return KeyValue(item.key, value, item.revision, item.lease)


def _class_name(error: Exception) -> str:
    return f"{type(error).__name__}"
