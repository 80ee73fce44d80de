"""Strict parsing of headers and body framing: ambiguous requests are refused (RFC 9112)."""

import re
from collections.abc import Callable
from typing import Any, Final

from cheroot.server import HeaderReader

# Field names are tokens, RFC 9110 section 5.6.2.
_FIELD_NAME: Final = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CHUNK_SIZE: Final = re.compile(rb"[0-9A-Fa-f]{1,8}")
# Limit of a chunk's size line, extensions included; callers need no extensions.
MAX_CHUNK_LINE_BYTES: Final = 256
MAX_TRAILER_BYTES: Final = 8 * 1024
# Bodies of up to this size need no reservation, so that larger ones cannot take their place.
SMALL_BODY_BYTES: Final = 16 * 1024
# Fields that a request may contain only once.
_SINGLE_FIELDS: Final = frozenset((b"Content-Length", b"Transfer-Encoding", b"Host"))


class RecordedHeaders(dict[bytes, bytes]):
    """Header fields by title-cased name; ``fields`` lists them all as they were sent."""

    def __init__(self) -> None:
        super().__init__()
        self.fields: list[tuple[str, str]] = []


class StrictHeaderReader(HeaderReader):
    """Parses header fields; raises ValueError for those that other parsers may read differently."""

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """Read header fields into ``hdict`` until the empty line, and return them."""
        headers = RecordedHeaders() if hdict is None else hdict
        seen: set[bytes] = set()
        while True:
            line = rfile.readline()
            if not line:
                raise ValueError("the header fields have no end")
            if not line.endswith(b"\r\n"):
                raise ValueError("a line does not end with CRLF")
            if line == b"\r\n":
                return headers
            name, value = _parse_field(line)
            key = name.title()
            if key in _SINGLE_FIELDS and key in seen:
                raise ValueError(f"the field {key.decode()} is given twice")
            seen.add(key)
            headers[key] = headers[key] + b", " + value if key in headers else value
            if isinstance(headers, RecordedHeaders):
                headers.fields.append((name.decode("latin-1"), value.decode("latin-1")))


def _parse_field(line: bytes) -> tuple[bytes, bytes]:
    name, colon, value = line[:-2].partition(b":")
    if not colon or _FIELD_NAME.fullmatch(name) is None:
        raise ValueError("a header line has no valid field name")
    value = value.strip(b" \t")
    if any(byte < 0x20 and byte != 0x09 for byte in value) or 0x7F in value:
        raise ValueError("a field value contains a control character")
    return name, value


def framing_mistake(headers: dict[bytes, bytes], protocol: bytes) -> str | None:
    """Return a description of what makes the body's length ambiguous, or None."""
    length = headers.get(b"Content-Length")
    coding = headers.get(b"Transfer-Encoding")
    if length is not None and not (length.isdigit() and len(length) <= 18):
        return "Content-Length is no whole number"
    if coding is not None:
        if length is not None:
            return "Content-Length and Transfer-Encoding are both given"
        if protocol != b"HTTP/1.1":
            return "Transfer-Encoding needs HTTP/1.1"
        if coding.lower() != b"chunked":
            return "the only supported Transfer-Encoding is chunked"
    if protocol == b"HTTP/1.1" and not headers.get(b"Host"):
        return "the field Host is missing"
    return None


class ChunkedBody:
    """Reads a body in chunked coding, trailers included; raises ValueError if it is malformed.

    ``reserve`` is called with the size of the body so far before each chunk is read, once that is
    more than SMALL_BODY_BYTES; what it raises ends the reading.
    """

    def __init__(
        self, rfile: Any, max_bytes: int, reserve: Callable[[int], None] = lambda _: None
    ) -> None:
        self._reserve = reserve
        self._rfile = rfile
        self._max_bytes = max_bytes
        self._is_read = False

    @property
    def is_read(self) -> bool:
        """Whether the whole body was read."""
        return self._is_read

    def read(self, size: int | None = None) -> bytes:
        """Return the whole body; ``size`` is not supported and must be left out or zero.

        Raises BodyTooLarge if the chunks exceed ``max_bytes``.
        """
        if size == 0 or self._is_read:
            return b""
        parts: list[bytes] = []
        total = 0
        while length := self._read_chunk_size():
            total += length
            if total > self._max_bytes:
                raise BodyTooLarge(f"the body is larger than {self._max_bytes} bytes")
            if total > SMALL_BODY_BYTES:
                self._reserve(total)
            part = self._rfile.read(length)
            if len(part) < length or self._rfile.read(2) != b"\r\n":
                raise ValueError("a chunk does not end where its size says")
            parts.append(part)
        self._skip_trailers()
        self._is_read = True
        return b"".join(parts)

    def _read_chunk_size(self) -> int:
        line = self._rfile.readline(MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b"\r\n"):
            raise ValueError("a chunk's first line has no end or is too long")
        size = line[:-2].partition(b";")[0]
        if _CHUNK_SIZE.fullmatch(size) is None:
            raise ValueError("a chunk size is no hexadecimal number")
        return int(size, 16)

    def _skip_trailers(self) -> None:
        total = 0
        while True:
            line = self._rfile.readline(MAX_TRAILER_BYTES)
            total += len(line)
            if not line.endswith(b"\r\n") or total > MAX_TRAILER_BYTES:
                raise ValueError("the trailers have no end or are too long")
            if line == b"\r\n":
                return


class BodyTooLarge(ValueError):
    """A request body exceeds its limit."""
