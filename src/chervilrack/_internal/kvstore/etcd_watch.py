"""Watch over etcd's JSON gateway: an endless response with one JSON object per line."""

import json
import logging
import queue
import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from datetime import timedelta
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.supervision import FAILURES, describe
from chervilrack._internal.exceptions import (
    PlatformError,
    PlatformOverloaded,
    PlatformUnavailable,
    WatchCompacted,
)
from chervilrack._internal.kvstore import gateway_json as wire
from chervilrack._internal.kvstore.port import WatchBatch
from chervilrack._internal.kvstore.registry import PlatformSettings

logger = logging.getLogger(__name__)

# KeyValueStore.watch promises an item at least this often.
IDLE_INTERVAL = timedelta(seconds=1)
_RECONNECT_PAUSE = timedelta(milliseconds=100)
_READ_BYTES = 65536

OpenStream = Callable[[str, Mapping[str, Any]], urllib3.BaseHTTPResponse]


class EtcdWatch:
    """One watch, which reconnects after an interruption.

    A thread reads the response, because a read that timed out could not be continued.
    """

    def __init__(
        self,
        open_stream: OpenStream,
        key_range: Mapping[str, str],
        from_revision: int,
        settings: PlatformSettings,
        clock: Clock,
    ) -> None:
        self._open_stream = open_stream
        self._key_range = key_range
        self._next_revision = from_revision
        self._settings = settings
        self._clock = clock
        self._response: urllib3.BaseHTTPResponse | None = None
        self._lines: queue.Queue[bytes | None] = queue.Queue()

    def open(self) -> None:
        """Connect and start the reading thread.

        Raises PlatformUnavailable or PlatformOverloaded.
        """
        body = {
            "create_request": {
                **self._key_range,
                "start_revision": str(self._next_revision),
                "progress_notify": True,
            }
        }
        self._response = self._open_stream("/v3/watch", body)
        self._lines = queue.Queue()
        threading.Thread(
            target=_read_lines,
            args=(self._response, self._lines),
            name="platform-watch",
            daemon=True,
        ).start()

    def close(self) -> None:
        """Close the connection; the reading thread ends with it."""
        response, self._response = self._response, None
        if response is not None:
            # close() would wait for a lock that the reading thread holds. shutdown() ends the read,
            # and the thread then closes the response.
            with suppress(OSError, ValueError, RuntimeError):
                response.shutdown()

    def batches(self) -> Iterator[WatchBatch | None]:
        """Yield batches of changes, and None while idle or reconnecting."""
        while True:
            try:
                line = self._lines.get(timeout=IDLE_INTERVAL.total_seconds())
            except queue.Empty:
                yield None
                continue
            if line is None:
                self.close()
                yield from self._reconnect()
                continue
            try:
                batch = self._decode_batch(json.loads(line))
            except PlatformError:
                raise
            except Exception as error:
                # Whatever decoding raises; a value in it may be nested too deeply, for example.
                reason = describe(error)
                raise PlatformUnavailable(f"a watch response is malformed: {reason}") from error
            if batch is not None:
                yield batch

    def _decode_batch(self, message: wire.Json) -> WatchBatch | None:
        result = message.get("result")
        if result is None:
            raise PlatformUnavailable(f"the watch ended: {message.get('error')}")
        if result.get("canceled"):
            if int(result.get("compact_revision", 0)):
                raise WatchCompacted(
                    f"revision {self._next_revision} was requested, "
                    f"{result['compact_revision']} is compacted"
                )
            raise PlatformUnavailable(f"the watch was cancelled: {result.get('cancel_reason')}")
        if result.get("created"):
            return None
        changes = tuple(wire.decode_event(event) for event in result.get("events", ()))
        revision = wire.revision_of(result)
        if changes:
            # The header's revision may be ahead of these events; events up to it may still follow.
            revision = changes[-1].item.mod_revision
        self._next_revision = max(self._next_revision, revision + 1)
        return WatchBatch(changes, revision) if changes else None

    def _reconnect(self) -> Iterator[None]:
        logger.info("platform: watch interrupted before revision %d", self._next_revision)
        started_at = self._clock.monotonic()
        while True:
            try:
                self.open()
            except (PlatformUnavailable, PlatformOverloaded):
                if self._clock.monotonic() - started_at >= self._settings.watch_reconnect:
                    raise
            else:
                logger.info("platform: watch resumed at revision %d", self._next_revision)
                return
            yield None
            # The wait on the empty queue is the pause before the next attempt.
            with suppress(queue.Empty):
                self._lines.get(timeout=_RECONNECT_PAUSE.total_seconds())


def _read_lines(response: urllib3.BaseHTTPResponse, lines: "queue.Queue[bytes | None]") -> None:
    """Put each line into the queue, and None when the response ends or breaks."""
    pending = b""
    try:
        for chunk in response.stream(_READ_BYTES):
            *complete_lines, pending = (pending + chunk).split(b"\n")
            for line in complete_lines:
                if line.strip():
                    lines.put(line)
    except (HTTPError, OSError, ValueError, AttributeError) as error:
        # AttributeError: urllib3 drops its file object when another thread closes it.
        logger.debug("platform: watch response ended: %s", error)
    except Exception as error:
        FAILURES.record("platform-watch", error, "a watch response")
    finally:
        lines.put(None)
        with suppress(OSError, HTTPError):
            response.close()
