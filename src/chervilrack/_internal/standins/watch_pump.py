"""Sends the changes of all open watches from one thread, so that watches hold no worker thread."""

import json
import socket
import ssl
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.exceptions import WatchCompacted
from chervilrack._internal.kvstore import gateway_json as wire
from chervilrack._internal.kvstore.store import InMemoryKeyValueStore

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
_TICK = timedelta(milliseconds=100)
_SECOND = timedelta(seconds=1)
# A client that does not read is disconnected rather than buffered without bound.
_MAX_UNSENT_BYTES = 8_000_000


@dataclass(slots=True, eq=False)
class _Watch:
    connection: socket.socket
    start: bytes
    end: bytes | None
    following: int
    unsent: bytearray = field(default_factory=bytearray)
    ended: bool = False

    def add(self, result: dict[str, Any]) -> None:
        line = json.dumps({"result": result}).encode() + b"\n"
        self.unsent += b"%x\r\n%s\r\n" % (len(line), line)


class WatchPump:
    """Owns the connections of open watches. ``changed`` guards the store and is notified."""

    def __init__(
        self,
        store: InMemoryKeyValueStore,
        changed: threading.Condition,
        clock: Clock,
        each_second: Callable[[int], None],
    ) -> None:
        self._store = store
        self._changed = changed
        self._clock = clock
        self._each_second = each_second
        self._watches: list[_Watch] = []
        self._running = True
        self._thread = threading.Thread(target=self._run, name="watch-pump", daemon=True)

    @property
    def open_watches(self) -> int:
        """Number of open watches."""
        return len(self._watches)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and all watches."""
        with self._changed:
            self._running = False
            self._changed.notify_all()
        self._thread.join()
        self.break_all()

    def add(
        self, connection: socket.socket, start: bytes, end: bytes | None, from_revision: int
    ) -> None:
        """Take over a connection whose request asked for a watch; 0 begins with later changes."""
        connection.setblocking(False)
        with self._changed:
            following = from_revision or self._store.revision + 1
            watch = _Watch(connection, start, end, following)
            watch.unsent += _HEAD
            watch.add({"header": self._header(), "created": True})
            self._watches.append(watch)
            self._changed.notify_all()

    def break_all(self) -> None:
        """Close the connections of all watches without a last message."""
        with self._changed:
            for watch in self._watches:
                watch.connection.close()
            self._watches.clear()

    def _run(self) -> None:
        next_second = self._clock.monotonic() + _SECOND
        with self._changed:
            while self._running:
                now = self._clock.monotonic()
                self._store.expire_leases(now)
                second_passed = now >= next_second
                if second_passed:
                    next_second = now + _SECOND
                    self._each_second(len(self._watches))
                for watch in list(self._watches):
                    self._collect(watch, second_passed)
                    self._send(watch)
                self._changed.wait(_TICK.total_seconds())

    def _collect(self, watch: _Watch, second_passed: bool) -> None:
        if watch.ended:
            return
        try:
            batch = self._store.changes(watch.start, watch.end, watch.following)
        except WatchCompacted:
            compacted = str(self._store.compacted)
            watch.add({"header": self._header(), "canceled": True, "compact_revision": compacted})
            watch.unsent += b"0\r\n\r\n"
            watch.ended = True
            return
        watch.following = batch.revision + 1
        if batch.changes:
            events = [wire.encode_event(change) for change in batch.changes]
            watch.add({"header": self._header(), "events": events})
        elif second_passed:
            watch.add({"header": self._header()})  # progress notification

    def _send(self, watch: _Watch) -> None:
        try:
            while watch.unsent:
                sent = watch.connection.send(watch.unsent)
                del watch.unsent[:sent]
            client_left = watch.connection.recv(1) == b""
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            client_left = len(watch.unsent) > _MAX_UNSENT_BYTES
        except OSError:
            client_left = True
        if client_left or (watch.ended and not watch.unsent):
            watch.connection.close()
            self._watches.remove(watch)

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._store.revision)}
