"""Splits a byte stream into server-sent events without changing a byte.

Format: WHATWG HTML, section 9.2 (server-sent events). Unlike ``sse``, which decodes events, this
keeps their bytes, so that they can be passed on unchanged.
"""

import re
from dataclasses import dataclass

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)(?=[\r\n])")
MAX_EVENT_BYTES = 1024 * 1024  # an event without an end must not fill the node's memory


@dataclass(frozen=True, slots=True)
class RawEvent:
    """One whole event with its bytes, its blank line included; ``id`` None if it has none."""

    data: bytes
    id: int | None


class EventSplitter:
    """Collects bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not complete."""
        return self._rest

    def feed(self, part: bytes) -> list[RawEvent]:
        """Take more bytes. Raises ValueError for an event beyond MAX_EVENT_BYTES."""
        self._rest += part
        events = []
        start = 0
        for end in _END.finditer(self._rest):
            data = self._rest[start : end.end()]
            found = _ID.search(data)
            events.append(RawEvent(data, int(found[1]) if found else None))
            start = end.end()
        self._rest = self._rest[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events
