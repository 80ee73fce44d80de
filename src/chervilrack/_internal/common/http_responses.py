"""Connections whose responses are read strictly: one that ends early or is ambiguous is an error.

``http.client`` takes the end of a connection for the end of a head, a chunk size or a trailer, and
reads a malformed length as none.
"""

import email.errors
import email.message
import http.client
import io
import re
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

# Interim responses (1xx) before a response; more than these count as a malformed response.
MAX_INTERIM_RESPONSES: Final = 16
# Limits of a whole body that is read with ``read_limited``. The longest answer of the platform is
# that of a watch after a long pause.
MAX_BODY_BYTES: Final = 32 * 1024 * 1024
MAX_BODY_TIME_S: Final = 20.0
_READ_BYTES: Final = 65_536
# Limit of a status line, and of a chunk's size line with its extensions.
MAX_LINE_BYTES: Final = 65_536
MAX_TRAILER_BYTES: Final = 8 * 1024
_STATUS_LINE: Final = re.compile(rb"(HTTP/1\.[0-9]) ([0-9]{3})(?: ([^\r\n]*))?\r?\n")
# Others are invalid (RFC 9110, section 15).
_STATUSES: Final = range(100, 600)
_CHUNK_SIZE: Final = re.compile(rb"[0-9A-Fa-f]{1,16}")
# The parser also reports body parts that a multipart type announces; these are no mistakes.
_HEAD_DEFECTS: Final = (
    email.errors.HeaderDefect,
    email.errors.MissingHeaderBodySeparatorDefect,
    email.errors.FirstHeaderLineIsContinuationDefect,
    email.errors.MisplacedEnvelopeHeaderDefect,
)

InterimObserver = Callable[[int, email.message.Message], None]


def _ignore_interim(status: int, fields: email.message.Message) -> None:
    """Observe nothing."""


def is_status(number: int) -> bool:
    """Whether a number is a status of an HTTP response."""
    return number in _STATUSES


class _ResetStream(io.RawIOBase):
    """Stream of a connection that was reset, as a failed write has reported.

    The kernel reports a reset once. The bytes that arrived before can still be read, and then the
    connection seems to have ended in the usual way.
    """

    def __init__(self, stream: io.RawIOBase) -> None:
        self._stream = stream

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into ``buffer``. Raises ConnectionResetError where the connection ends."""
        count: int | None = self._stream.readinto(buffer)
        if count == 0 and len(buffer) > 0:
            raise ConnectionResetError("the connection was reset while the request was written")
        return count

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()
        super().close()


class _LineReader(io.BufferedReader):
    """Reader that returns only whole lines."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line, or its first ``size`` bytes.

        Raises IncompleteRead if the stream ends before the line does.
        """
        line = super().readline(size)
        if line.find(b"\r") == len(line) - 2 and line.endswith(b"\n"):
            return line
        is_limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_limited:
            raise http.client.IncompleteRead(line)
        if b"\r" in line[:-1].removesuffix(b"\r"):
            raise http.client.HTTPException("a line contains a bare CR")
        return line


class StrictResponse(http.client.HTTPResponse):
    """Response whose head, chunks and trailers are whole and unambiguous (RFC 9112).

    Calls ``on_interim`` with the status and header fields of each interim response before it, as
    soon as it has arrived. Raises HTTPException or OSError for any other response. ``was_reset`` is
    whether the request could not be written whole; the end of the connection then ends no body.
    """

    fp: Any
    chunk_left: Any

    def __init__(
        self,
        sock: Any,
        *args: Any,
        on_interim: InterimObserver = _ignore_interim,
        was_reset: bool = False,
        **kwargs: Any,
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self._on_interim = on_interim
        stream = self.fp.detach()
        self.fp = _LineReader(_ResetStream(stream) if was_reset else stream)

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        self._on_interim = _ignore_interim
        _check_head(self.headers)

    def _read_status(self) -> tuple[str, int, str]:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            if not self.fp.peek(1):
                raise http.client.RemoteDisconnected("the connection was closed without a response")
            version, status, reason = self._read_status_line()
            if status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException("the response switches protocols")
            if status >= HTTPStatus.OK:
                return version, status, reason
            head = http.client.parse_headers(self.fp)
            _check_head(head)
            self._on_interim(status, head)
        raise http.client.HTTPException("too many interim responses")

    def _read_status_line(self) -> tuple[str, int, str]:
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise http.client.LineTooLong("status line")
        match = _STATUS_LINE.fullmatch(line)
        if match is None or not is_status(int(match[2])):
            raise http.client.BadStatusLine(repr(line))
        version, status, reason = match.groups(b"")
        return version.decode("ascii"), int(status), reason.decode("latin-1")

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            if self._safe_read(2) != b"\r\n":  # type: ignore[attr-defined]
                raise http.client.HTTPException("a chunk does not end where its size says")
            self.chunk_left = None
        left: int | None = super()._get_chunk_left()  # type: ignore[misc]
        return left

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise http.client.LineTooLong("chunk size")
        size = line.partition(b";")[0].strip(b" \t\r\n")
        if _CHUNK_SIZE.fullmatch(size) is None:
            raise http.client.HTTPException("a chunk size is no hexadecimal number")
        return int(size, 16)

    def _read_and_discard_trailer(self) -> None:
        left = MAX_TRAILER_BYTES
        while left > 0:
            line = self.fp.readline(left)
            if line in (b"\r\n", b"\n"):
                return
            left -= len(line)
        raise http.client.HTTPException("the trailers are too long")


def _check_head(headers: email.message.Message) -> None:
    mistake = _head_mistake(headers)
    if mistake is not None:
        raise http.client.HTTPException(mistake)


def _head_mistake(headers: email.message.Message) -> str | None:
    """Return what makes the fields or the body's length ambiguous, or None."""
    if any(isinstance(defect, _HEAD_DEFECTS) for defect in headers.defects):
        return "a header line is malformed"
    lengths: set[str] = set()
    codings: list[str] = []
    for name, value in headers.raw_items():
        if "\n" in value:
            return "a header field is folded"
        match name.lower():
            case "content-length":
                lengths.add(value.strip(" \t"))
            case "transfer-encoding":
                codings.append(value)
    if len(lengths) > 1 or not all(text.isascii() and text.isdigit() for text in lengths):
        return "Content-Length is no whole number"
    if any(coding.lower() != "chunked" for coding in codings) or len(codings) > 1:
        return "the only supported Transfer-Encoding is chunked"
    return None


class OversizeResponse(urllib3.exceptions.HTTPError):
    """A body exceeds the limits of its reader."""


def read_limited(
    response: urllib3.BaseHTTPResponse,
    max_bytes: int = MAX_BODY_BYTES,
    max_seconds: float = MAX_BODY_TIME_S,
) -> bytes:
    """Return the whole body of a response that was requested without preloading it.

    Raises OversizeResponse if it has more than ``max_bytes``, or is not whole in time; the
    connection is then closed. Raises HTTPError for any other failure.
    """
    end = time.monotonic() + max_seconds
    body = bytearray()
    try:
        while not response.closed and (part := response.read1(_READ_BYTES)):
            body += part
            if len(body) > max_bytes:
                raise OversizeResponse(f"the body exceeds {max_bytes} bytes")
            if time.monotonic() > end:
                raise OversizeResponse(f"the body is not whole after {max_seconds:g} s")
    except (http.client.HTTPException, OSError) as error:
        response.close()
        raise urllib3.exceptions.ProtocolError(f"the body broke off: {error!r}", error) from error
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return bytes(body)


class _StrictConnection:
    """Mixin of connections with strict responses.

    ``urllib3`` and ``Exchange`` read the response also if the request could not be written whole,
    because a server may have refused it before its end.
    """

    response_class: Any

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._was_reset = False

    def getresponse(self) -> Any:
        """Read the head of a response."""
        # http.client calls it with the socket. A connection that referred to itself for longer
        # would live on, with all that it refers to, until the garbage collector finds it.
        self.response_class = self._open_response
        try:
            return super().getresponse()  # type: ignore[misc]
        finally:
            del self.response_class

    def connect(self) -> None:
        """Connect to the server."""
        self._was_reset = False
        super().connect()  # type: ignore[misc]

    def send(self, data: Any) -> None:
        """Write a part of a request, and record a failure."""
        try:
            super().send(data)  # type: ignore[misc]
        except OSError:
            self._was_reset = True
            raise

    def _open_response(self, *args: Any, **kwargs: Any) -> StrictResponse:
        return StrictResponse(*args, was_reset=self._was_reset, **kwargs)


class StrictHTTPConnection(_StrictConnection, HTTPConnection):
    """Connection with strict responses."""


class StrictHTTPSConnection(_StrictConnection, HTTPSConnection):
    """TLS connection with strict responses."""


class StrictHTTPConnectionPool(urllib3.HTTPConnectionPool):
    """Connections to one address with strict responses."""

    ConnectionCls = StrictHTTPConnection


class StrictHTTPSConnectionPool(urllib3.HTTPSConnectionPool):
    """TLS connections to one address with strict responses."""

    ConnectionCls = StrictHTTPSConnection


class StrictPoolManager(urllib3.PoolManager):
    """Connections to any address with strict responses."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {
            "http": StrictHTTPConnectionPool,
            "https": StrictHTTPSConnectionPool,
        }
