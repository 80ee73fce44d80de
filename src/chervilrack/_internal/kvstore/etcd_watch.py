"""Watch over etcd's JSON gateway: a response of one JSON object per line that does not end."""

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
from chervilrack._internal.exceptions import (
    PlatformOverloaded,
    PlatformUnavailable,
    WatchCompacted,
)
from chervilrack._internal.kvstore import gateway_json as wire
from chervilrack._internal.kvstore.port import WatchBatch
from chervilrack._internal.kvstore.registry import PlatformSettings

logger = logging.getLogger(__name__)

IDLE = timedelta(seconds=1)  # the port promises an item at least this often
_RETRY_PAUSE = timedelta(milliseconds=100)
_READ_BYTES = 65536

OpenStream = Callable[[str, Mapping[str, Any]], urllib3.BaseHTTPResponse]


class EtcdWatch:
    """One watch. A thread reads the response, because a read cannot be given up and repeated."""

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
        self._following = from_revision
        self._settings = settings
        self._clock = clock
        self._response: urllib3.BaseHTTPResponse | None = None
        self._lines: queue.Queue[bytes | None] = queue.Queue()

    def open(self) -> None:
        """Connect and start to read. Raises PlatformUnavailable or PlatformOverloaded."""
        body = {
            "create_request": {
                **self._key_range,
                "start_revision": str(self._following),
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
            # A plain close would wait for the reading thread's lock; it closes after shutdown.
            with suppress(OSError, ValueError, RuntimeError):
                response.shutdown()

    def batches(self) -> Iterator[WatchBatch | None]:
        """Yield batches, and None when idle or reconnecting."""
        while True:
            try:
                line = self._lines.get(timeout=IDLE.total_seconds())
            except queue.Empty:
                yield None
                continue
            if line is None:
                self.close()
                yield from self._reconnect()
                continue
            try:
                batch = self._batch(json.loads(line))
            except (KeyError, ValueError, TypeError, AttributeError) as error:
                raise PlatformUnavailable(f"a watch response is malformed: {error!r}") from error
            if batch is not None:
                yield batch

    def _batch(self, message: wire.Json) -> WatchBatch | None:
        result = message.get("result")
        if result is None:
            raise PlatformUnavailable(f"the watch ended: {message.get('error')}")
        if result.get("canceled"):
            if int(result.get("compact_revision", 0)):
                raise WatchCompacted(
                    f"revision {self._following} was requested, "
                    f"{result['compact_revision']} is compacted"
                )
            raise PlatformUnavailable(f"the watch was cancelled: {result.get('cancel_reason')}")
        if result.get("created"):
            return None
        changes = tuple(wire.decode_event(event) for event in result.get("events", ()))
        revision = wire.revision_of(result)
        if changes:
            # The header can be ahead of the events of this message; later ones may follow.
            revision = changes[-1].item.mod_revision
        self._following = max(self._following, revision + 1)
        return WatchBatch(changes, revision) if changes else None

    def _reconnect(self) -> Iterator[None]:
        logger.info("platform: watch interrupted before revision %d", self._following)
        began = self._clock.monotonic()
        while True:
            try:
                self.open()
            except (PlatformUnavailable, PlatformOverloaded):
                if self._clock.monotonic() - began >= self._settings.watch_reconnect:
                    raise
            else:
                logger.info("platform: watch resumed at revision %d", self._following)
                return
            yield None
            # Waiting on the empty queue paces the attempts without a clock of its own.
            with suppress(queue.Empty):
                self._lines.get(timeout=_RETRY_PAUSE.total_seconds())


def _read_lines(response: urllib3.BaseHTTPResponse, lines: "queue.Queue[bytes | None]") -> None:
    """Put each line into the queue, and None when the response ends or breaks."""
    pending = b""
    try:
        for chunk in response.stream(_READ_BYTES):
            *whole, pending = (pending + chunk).split(b"\n")
            for line in whole:
                if line.strip():
                    lines.put(line)
    except (HTTPError, OSError, ValueError, AttributeError) as error:
        # AttributeError: urllib3 drops its file object when another thread closes it.
        logger.debug("platform: watch response ended: %s", error)
    finally:
        lines.put(None)
        with suppress(OSError, HTTPError):
            response.close()
