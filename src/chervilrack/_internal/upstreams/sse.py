"""Incremental parser of server-sent events (WHATWG HTML, section 9.2)."""

from chervilrack._internal.exceptions import ChervilrackError

MAX_EVENT_BYTES = 1024 * 1024  # bounds the memory that a faulty stream can use


class MalformedStreamError(ChervilrackError):
    """A stream violates its protocol."""


class EventParser:
    """Decodes the data of the events in a byte stream that arrives in arbitrary blocks.

    The parser uses only the ``data`` field and skips comments and other fields. An event at the
    end of the stream without a closing blank line is discarded, as the standard prescribes.
    """

    def __init__(self) -> None:
        self._partial_line = bytearray()
        self._data: list[bytes] = []
        self._data_bytes = 0
        self._after_cr = False
        self._at_first_line = True

    def feed(self, block: bytes) -> list[str]:
        """Return the data of all events that ``block`` completes.

        Raises MalformedStreamError for an event that is too large or not UTF-8.
        """
        if not block:
            return []
        if self._after_cr:
            # The line feed of a CR LF pair that is split between two blocks ends no further line.
            block = block[1:] if block[:1] == b"\n" else block
            self._after_cr = False
        self._after_cr = block.endswith(b"\r")
        self._partial_line += block.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, partial_line = bytes(self._partial_line).split(b"\n")
        self._partial_line = bytearray(partial_line)
        events = [event for line in lines if (event := self._process_line(line)) is not None]
        if self._data_bytes + len(self._partial_line) > MAX_EVENT_BYTES:
            raise MalformedStreamError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events

    def _process_line(self, line: bytes) -> str | None:
        """Process one line; return the data of the event that the line ends, if any."""
        if self._at_first_line:
            self._at_first_line = False
            line = line.removeprefix(b"\xef\xbb\xbf")
        if line:
            name, _colon, value = line.partition(b":")
            if name == b"data":
                self._data.append(value.removeprefix(b" "))
                self._data_bytes += len(value)
            return None
        data, self._data, self._data_bytes = self._data, [], 0
        if not data:
            return None
        try:
            return b"\n".join(data).decode()
        except UnicodeDecodeError:
            raise MalformedStreamError("an event is not UTF-8") from None
