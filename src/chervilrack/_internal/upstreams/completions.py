"""Protocol ``openai-completions``: ``POST /v1/completions``, whole or as server-sent events.

Two fields extend the published protocol: ``resume_offset`` in the request (the number of output
tokens to skip) and ``token_offset`` in each chunk (the offset of its first token).
"""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress
from typing import Any

import msgspec
import urllib3
from result import Err, Ok, Result

from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.upstreams.http_client import (
    HttpClient,
    OpenExchange,
    failure_of,
    read_part,
)
from chervilrack._internal.upstreams.port import (
    CallFailure,
    TokenChunk,
    TokenStream,
    UpstreamCall,
)
from chervilrack._internal.upstreams.protocols import protocols
from chervilrack._internal.upstreams.sse import EventParser, MalformedStreamError

DONE = "[DONE]"
_TRAILER_TIMEOUT_S = 0.1  # for the end marker; a new connection costs less than a longer wait


class _Choice(msgspec.Struct):
    text: str
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: tuple[_Choice, ...]
    token_offset: int
    tokens: int = 1


def parse_chunk(data: str) -> TokenChunk:
    """Parse the data of one event; raises MalformedStreamError if it is not a valid chunk."""
    try:
        chunk = msgspec.json.decode(data, type=_Chunk)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise MalformedStreamError(f"a chunk is malformed: {error}") from None
    if len(chunk.choices) != 1 or chunk.token_offset < 0 or chunk.tokens < 0:
        raise MalformedStreamError("a chunk needs one choice and no negative number")
    choice = chunk.choices[0]
    final = choice.finish_reason is not None
    return TokenChunk(chunk.token_offset, choice.text, chunk.tokens, final)


def completion_body(body: Mapping[str, Any]) -> dict[str, Any]:
    """Return the request body of the protocol for a stage's body.

    A body with ``prompt`` is passed on. Otherwise the prompt is the ``prompt`` of ``input`` (or
    ``input`` as JSON), followed by the previous stage's answer; ``seed`` and ``max_tokens`` of
    ``input`` apply where the body itself has none. The fixed part stands first, because engines
    cache by prefix.
    """
    completion = {name: value for name, value in body.items() if name not in _STAGE_FIELDS}
    if "prompt" in completion:
        return completion
    given = body.get("input")
    fields: Mapping[str, Any] = given if isinstance(given, dict) else {}
    prompt = fields.get("prompt")
    text = prompt if isinstance(prompt, str) else msgspec.json.encode(given).decode()
    previous = body.get("previous")
    if previous:
        text += "\n\n" + msgspec.json.encode(previous).decode()
    for name in ("seed", "max_tokens"):
        if name in fields:
            completion.setdefault(name, fields[name])
    completion["prompt"] = text
    return completion


_STAGE_FIELDS = frozenset({"input", "previous"})


class CompletionStream:
    """Token stream of one exchange."""

    def __init__(self, exchange: OpenExchange) -> None:
        self._exchange = exchange

    def __iter__(self) -> Iterator[TokenChunk]:
        """Yield chunks; raises StreamBroken if the stream ends before its final chunk.

        The protocol's end marker without a preceding ``finish_reason`` gives an empty final chunk.
        """
        parser = EventParser()
        offset = self._exchange.call.resume_offset
        try:
            while piece := read_part(self._exchange):
                for data in parser.feed(piece):
                    if data == DONE:
                        yield TokenChunk(offset, "", 0, final=True)
                        self._finish()
                        return
                    chunk = parse_chunk(data)
                    offset = chunk.offset + chunk.tokens
                    yield chunk
                    if chunk.final:
                        self._finish()
                        return
        except MalformedStreamError as error:
            raise StreamBroken(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            failure = failure_of(self._exchange.transmission, error)
            raise StreamBroken(failure.detail) from error
        raise StreamBroken("the stream ended before its final chunk")

    def _finish(self) -> None:
        """Read the rest of a finished stream, so that its connection can be used again."""
        self._exchange.transmission.shorten(_TRAILER_TIMEOUT_S)
        with suppress(urllib3.exceptions.HTTPError, OSError, ValueError):
            while read_part(self._exchange):
                pass

    def cancel(self) -> None:
        """Close the connection so that the upstream stops the work; may come from any thread."""
        self._exchange.transmission.cancel()


@protocols.register("openai-completions")
class CompletionsClient(HttpClient):
    """Client of OpenAI-compatible model engines."""

    @contextmanager
    def stream(self, call: UpstreamCall) -> Iterator[Result[TokenStream, CallFailure]]:
        """Open a token stream; leaving the context cancels unfinished work upstream."""
        with self._exchange(call, self._encode(call, stream=True)) as opened:
            if isinstance(opened, Err):
                yield opened
            else:
                yield Ok(CompletionStream(opened.ok_value))

    def _encode(self, call: UpstreamCall, *, stream: bool) -> bytes:
        body = completion_body(call.body)
        if stream:
            body["stream"] = True
        if call.resume_offset:
            body["resume_offset"] = call.resume_offset
        return msgspec.json.encode(body)
