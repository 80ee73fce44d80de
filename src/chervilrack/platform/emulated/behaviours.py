"""Ways in which an emulated upstream answers requests that it has executed, mostly faulty."""

import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol

from chervilrack._internal.common.registry import Registry

# Number of events of a complete stream; their ids begin at 1.
STREAM_EVENTS: Final = 5
# Number of events after which a stream breaks off.
EVENTS_BEFORE_BREAK: Final = 2
# Delays of late answers and of bytes that follow an answer.
LATE_S: Final = 0.3
LATE_COPY_S: Final = 0.1
# Bytes that faults cut from a body, and a request id that no caller uses.
CUT_BYTES: Final = 4
FOREIGN_REQUEST: Final = "foreign"
# Fields between the signature and the length in heads that break off.
FURTHER_FIELDS: Final = (("Content-Type", "text/plain"), ("Cache-Control", "no-store"))

Header = tuple[str, str]


class Connection(Protocol):
    """Connection of one request, as ``http.server`` handles it."""

    connection: socket.socket
    wfile: Any
    close_connection: bool


@dataclass(frozen=True, slots=True)
class Call:
    """One executed request. ``argument`` is that of the behaviour; times are in seconds.

    ``free_slot`` lets the upstream take another request. ``wait_out_silence`` returns when the
    upstream is not silent. ``crash`` ends the upstream.
    """

    handler: Connection
    body: bytes
    headers: tuple[Header, ...]
    is_stream: bool
    last_event: int
    work: float
    free_slot: Callable[[], None]
    wait_out_silence: Callable[[], None]
    argument: str = ""
    crash: Callable[[], None] = lambda: None


Behaviour = Callable[[Call], None]
behaviours: Registry[Behaviour] = Registry("behaviour of an upstream")


def event(number: int, body: bytes) -> bytes:
    """Return one event of the stream that answers ``body``."""
    return b"id: %d\ndata: piece %d of %b\n\n" % (number, number, body)


@behaviours.register("good")
def _good(call: Call) -> None:
    """Send the whole answer; streams spread their work over their events."""
    if not call.is_stream:
        time.sleep(call.work)
        _finish(call, _whole_answer(call))
        return
    _write(call, _stream_head(call))
    for number in range(call.last_event + 1, STREAM_EVENTS + 1):
        time.sleep(call.work / STREAM_EVENTS)
        call.wait_out_silence()
        _write(call, _chunk(event(number, call.body)))
    _finish(call, b"0\r\n\r\n")


@behaviours.register("leaving")
def _leaving(call: Call) -> None:
    """Send the whole answer and close the connection, as the header fields say."""
    _good(call)
    call.handler.close_connection = True


@behaviours.register("late")
def _late(call: Call) -> None:
    time.sleep(LATE_S)
    _good(call)


@behaviours.register("slow")
def _slow(call: Call) -> None:
    """Pause for 0.2 s after each event."""
    if not call.is_stream:
        _good(call)
        return
    _write(call, _stream_head(call))
    for number in range(call.last_event + 1, STREAM_EVENTS + 1):
        call.wait_out_silence()
        _write(call, _chunk(event(number, call.body)))
        time.sleep(0.2)
    _finish(call, b"0\r\n\r\n")


@behaviours.register("pause")
def _pause(call: Call) -> None:
    """Fall silent for ``argument`` seconds, before a plain answer or amid a stream, and go on."""
    if not call.is_stream:
        time.sleep(float(call.argument))
        _good(call)
        return
    _begin_stream(call)
    time.sleep(float(call.argument))
    for number in range(call.last_event + EVENTS_BEFORE_BREAK + 1, STREAM_EVENTS + 1):
        _write(call, _chunk(event(number, call.body)))
    _finish(call, b"0\r\n\r\n")


@behaviours.register("fails")
def _fails(call: Call) -> None:
    _finish(call, _head(call, "500 Failed", ("Content-Length", "2")) + b"no")


@behaviours.register("unsigned")
def _unsigned(call: Call) -> None:
    _finish(call, _answer(call.headers[:1], b"bytes"))


@behaviours.register("cut off")
def _cut_off(call: Call) -> None:
    _finish(call, _head(call, "200 OK", ("Content-Length", "100")) + b"half")
    call.handler.close_connection = True


@behaviours.register("body reset")
def _body_reset(call: Call) -> None:
    _finish(call, _whole_answer(call)[:-CUT_BYTES])
    _reset(call)


@behaviours.register("head cut")
def _head_cut(call: Call) -> None:
    """Close the connection after at most ``argument`` bytes of the head."""
    _finish(call, _part_of_head(call))
    call.handler.close_connection = True


@behaviours.register("head reset")
def _head_reset(call: Call) -> None:
    _finish(call, _part_of_head(call))
    _reset(call)


@behaviours.register("breaks")
def _breaks(call: Call) -> None:
    """Close the connection within the third event of a stream."""
    if not call.is_stream:
        _good(call)
        return
    _begin_stream(call)
    _finish(call, _chunk(event(EVENTS_BEFORE_BREAK + 1, call.body)[:9]))
    call.handler.close_connection = True


@behaviours.register("error after events")
def _error_after_events(call: Call) -> None:
    """Break off a stream, and answer its continuation and other requests with an error."""
    if not call.is_stream or call.last_event:
        _fails(call)
        return
    _begin_stream(call)
    call.handler.close_connection = True


@behaviours.register("answer again")
def _answer_again(call: Call) -> None:
    """Send the answer once more, late and on the same connection."""
    _good(call)
    time.sleep(LATE_COPY_S)
    _write(call, _whole_answer(call))


@behaviours.register("refusal again")
def _refusal_again(call: Call) -> None:
    """Send a refusal behind the answer."""
    _good(call)
    _write(call, b"HTTP/1.1 503 Full\r\nChervilrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")


@behaviours.register("foreign answer")
def _foreign_answer(call: Call) -> None:
    """Send the signed answer to another request."""
    headers = [("Chervilrack-Request-Id", FOREIGN_REQUEST), *call.headers[1:]]
    _finish(call, _answer(headers, b"answer to " + FOREIGN_REQUEST.encode()))


@behaviours.register("unframed")
def _unframed(call: Call) -> None:
    """Send an answer that ends with its connection."""
    _finish(call, _head(call, "200 OK") + _content(call))
    call.handler.close_connection = True


@behaviours.register("unframed reset")
def _unframed_reset(call: Call) -> None:
    _finish(call, _head(call, "200 OK") + _content(call)[:-CUT_BYTES])
    # The bytes must arrive before the reset, which discards unread ones.
    time.sleep(LATE_COPY_S)
    _reset(call)


@behaviours.register("not HTTP")
def _not_http(call: Call) -> None:
    _finish(call, b"\x00\x01 no answer\r\n\r\n")
    call.handler.close_connection = True


@behaviours.register("crashes")
def _crashes(call: Call) -> None:
    """Begin the answer and end the upstream before the first event."""
    time.sleep(call.work / STREAM_EVENTS)
    # Without a length, the end of the connection would be the end of a plain answer.
    length = ("Content-Length", str(len(_content(call))))
    _write(call, _stream_head(call) if call.is_stream else _head(call, "200 OK", length))
    call.crash()


def _content(call: Call) -> bytes:
    if not call.is_stream:
        return b"answer to " + call.body
    numbers = range(call.last_event + 1, STREAM_EVENTS + 1)
    return b"".join(event(number, call.body) for number in numbers)


def _whole_answer(call: Call) -> bytes:
    if not call.is_stream:
        return _answer(call.headers, _content(call))
    return _stream_head(call) + _chunk(_content(call)) + b"0\r\n\r\n"


def _part_of_head(call: Call) -> bytes:
    """Return the first bytes of a head whose length is its last field."""
    length = ("Content-Length", str(len(_content(call))))
    head = _head(call, "200 OK", *FURTHER_FIELDS, length)
    return head[: min(int(call.argument), len(head) - 2)]


def _begin_stream(call: Call) -> None:
    _write(call, _stream_head(call))
    for number in range(1, EVENTS_BEFORE_BREAK + 1):
        if call.last_event + number <= STREAM_EVENTS:
            _write(call, _chunk(event(call.last_event + number, call.body)))


def _stream_head(call: Call) -> bytes:
    return _head(
        call, "200 OK", ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")
    )


def _head(call: Call, status: str, *further: Header) -> bytes:
    lines = [f"{name}: {value}" for name, value in [*call.headers, *further]]
    return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""]).encode()


def _answer(headers: Any, content: bytes) -> bytes:
    lines = [f"{name}: {value}" for name, value in [*headers, ("Content-Length", len(content))]]
    return "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode() + content


def _chunk(content: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(content), content)


def _write(call: Call, content: bytes) -> None:
    call.handler.wfile.write(content)


def _finish(call: Call, content: bytes) -> None:
    """Send the last bytes of an answer."""
    call.free_slot()
    _write(call, content)


def _reset(call: Call) -> None:
    """Reset the connection."""
    call.handler.close_connection = True
    linger = struct.pack("ii", 1, 0)
    call.handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    # Closes the connection without the normal end that http.server's shutdown would send.
    call.handler.wfile.flush()
    call.handler.connection.close()
