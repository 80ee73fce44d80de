"""Incremental parser of server-sent events (WHATWG HTML, section 9.2)."""

from chervilrack._internal.exceptions import ChervilrackError

MAX_EVENT_BYTES = 1024 * 1024  # bounds the memory that one faulty stream can take


class MalformedStreamError(ChervilrackError):
    """A stream does not follow its protocol."""


class EventParser:
    """Turns pieces of a byte stream into the data of its events.

    Only the ``data`` field is used; comments and other fields are skipped. A final event that no
    blank line ends is discarded, as the standard prescribes.
    """

    def __init__(self) -> None:
        self._line = bytearray()
        self._data: list[bytes] = []
        self._size = 0
        self._after_cr = False
        self._first_line = True

    def feed(self, piece: bytes) -> list[str]:
        """Return the data of all events that ``piece`` completes.

        Raises MalformedStreamError for an event that is too large or not UTF-8.
        """
        if not piece:
            return []
        if self._after_cr:
            # The line feed of a CR LF pair that was split between two pieces ends no further line.
            piece = piece[1:] if piece[:1] == b"\n" else piece
            self._after_cr = False
        self._after_cr = piece.endswith(b"\r")
        self._line += piece.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, rest = bytes(self._line).split(b"\n")
        self._line = bytearray(rest)
        events = [event for line in lines if (event := self._take(line)) is not None]
        if self._size + len(self._line) > MAX_EVENT_BYTES:
            raise MalformedStreamError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        return events

    def _take(self, line: bytes) -> str | None:
        if self._first_line:
            self._first_line = False
            line = line.removeprefix(b"\xef\xbb\xbf")
        if line:
            name, _colon, value = line.partition(b":")
            if name == b"data":
                self._data.append(value.removeprefix(b" "))
                self._size += len(value)
            return None
        data, self._data, self._size = self._data, [], 0
        if not data:
            return None
        try:
            return b"\n".join(data).decode()
        except UnicodeDecodeError:
            raise MalformedStreamError("an event is not UTF-8") from None
