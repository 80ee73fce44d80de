"""Splitting of a byte stream into server-sent events (WHATWG HTML, section 9.2).

The module ``sse`` decodes events. ``EventSplitter`` keeps the bytes of each event, so that events
can be forwarded unchanged.
"""

import re
from dataclasses import dataclass

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)(?=[\r\n])")
MAX_EVENT_BYTES = 1024 * 1024  # bounds the memory that an event without an end can use


@dataclass(frozen=True, slots=True)
class RawEvent:
    """Bytes of one complete event, with its closing blank line.

    ``id`` is the value of the ``id`` field, or None if the event has no numeric ``id``.
    """

    data: bytes
    id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether the event consists of comments and empty lines only."""
        return all(line.startswith(b":") for line in self.data.splitlines() if line)


class EventSplitter:
    """Buffers the bytes of a stream and returns each event once it is complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def rest(self) -> bytes:
        """Buffered bytes of the event that is not complete yet."""
        return self._buffer

    def feed(self, block: bytes) -> list[RawEvent]:
        """Return the events that ``block`` completes.

        Raises ValueError if an incomplete event is longer than MAX_EVENT_BYTES.
        """
        self._buffer += block
        events = []
        start = 0
        for separator in _EVENT_END.finditer(self._buffer):
            data = self._buffer[start : separator.end()]
            id_match = _ID_FIELD.search(data)
            events.append(RawEvent(data, int(id_match[1]) if id_match else None))
            start = separator.end()
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events
