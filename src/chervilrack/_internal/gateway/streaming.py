"""Token streams as server-sent events."""

from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result

from chervilrack._internal.common.ids import RequestId
from chervilrack._internal.common.results import Problem
from chervilrack._internal.gateway.problems import problem_document
from chervilrack._internal.upstreams.port import TokenChunk


def encode_event(event: str, value: object) -> bytes:
    """Return one server-sent event with JSON data."""
    return b"event: %b\ndata: %b\n\n" % (event.encode(), msgspec.json.encode(value))


def encode_item(item: Result[TokenChunk, Problem], request_id: RequestId) -> bytes:
    """Return the event of a chunk, ``token`` or ``done``, or of a problem, ``problem``."""
    match item:
        case Ok(chunk):
            value = {"offset": chunk.offset, "text": chunk.text, "tokens": chunk.tokens}
            return encode_event("done" if chunk.final else "token", value)
        case Err(problem):
            return encode_event("problem", problem_document(problem, request_id))
    raise AssertionError("a Result is Ok or Err")


def encode_stream(
    items: Iterator[Result[TokenChunk, Problem]], request_id: RequestId
) -> Iterator[bytes]:
    """Yield the events of a stream. Closing this iterator closes ``items``."""
    try:
        for item in items:
            yield encode_item(item, request_id)
    finally:
        close = getattr(items, "close", None)
        if close is not None:
            close()
