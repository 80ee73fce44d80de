"""Protocol ``openai-completions``: ``POST /v1/completions``, with or without streaming.

Streams are server-sent events. Two fields extend the published protocol: ``resume_offset`` in the
request is the number of output tokens to skip, and ``token_offset`` in each chunk is the offset of
the chunk's first token.
"""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress
from typing import Any

import msgspec
import urllib3
from result import Err, Ok, Result

from chervilrack._internal.common.decoding import UnreadableValue, decode_json
from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.upstreams.http_client import (
    HttpClient,
    OpenExchange,
    classify_failure,
    read_block,
)
from chervilrack._internal.upstreams.port import (
    CallFailure,
    TokenChunk,
    TokenStream,
    UpstreamCall,
)
from chervilrack._internal.upstreams.protocols import protocols
from chervilrack._internal.upstreams.sse import EventParser, MalformedStreamError

END_MARKER = "[DONE]"
_TRAILER_TIMEOUT_S = 0.1  # to read the end marker; a new connection is cheaper than a longer wait


class _Choice(msgspec.Struct):
    text: str
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: tuple[_Choice, ...]
    token_offset: int
    tokens: int = 1


_chunk_decoder = msgspec.json.Decoder(_Chunk)


def parse_chunk(data: str) -> TokenChunk:
    """Return the chunk in the data of one event.

    Raises MalformedStreamError if the data is not a valid chunk.
    """
    try:
        chunk = decode_json("a chunk", data.encode(errors="surrogatepass"), _chunk_decoder.decode)
    except UnreadableValue as error:
        raise MalformedStreamError(f"a chunk is malformed: {error.detail}") from None
    if len(chunk.choices) != 1 or chunk.token_offset < 0 or chunk.tokens < 0:
        raise MalformedStreamError("a chunk needs one choice and no negative number")
    choice = chunk.choices[0]
    final = choice.finish_reason is not None
    return TokenChunk(chunk.token_offset, choice.text, chunk.tokens, final)


def completion_body(body: Mapping[str, Any]) -> dict[str, Any]:
    """Return the body of the completion request for the body of a stage's call.

    A ``prompt`` in the body is kept. Otherwise the prompt consists of the ``prompt`` of ``input``
    (or ``input`` as JSON), followed by the previous stage's answer, and ``seed`` and
    ``max_tokens`` are copied from ``input`` unless the body has them. The input is the fixed part
    of the prompt and comes first, because engines cache by prefix.
    """
    completion = {name: value for name, value in body.items() if name not in _STAGE_FIELDS}
    if "prompt" in completion:
        return completion
    stage_input = body.get("input")
    input_fields: Mapping[str, Any] = stage_input if isinstance(stage_input, dict) else {}
    input_prompt = input_fields.get("prompt")
    full_prompt = (
        input_prompt if isinstance(input_prompt, str) else msgspec.json.encode(stage_input).decode()
    )
    previous = body.get("previous")
    if previous:
        full_prompt += "\n\n" + msgspec.json.encode(previous).decode()
    for name in ("seed", "max_tokens"):
        if name in input_fields:
            completion.setdefault(name, input_fields[name])
    completion["prompt"] = full_prompt
    return completion


_STAGE_FIELDS = frozenset({"input", "previous"})


class CompletionStream:
    """Token stream in the body of one HTTP response."""

    def __init__(self, exchange: OpenExchange) -> None:
        self._exchange = exchange

    def __iter__(self) -> Iterator[TokenChunk]:
        """Yield chunks; raises StreamBroken if the stream ends before its final chunk.

        An end marker without a preceding ``finish_reason`` yields an empty final chunk.
        """
        parser = EventParser()
        offset = self._exchange.call.resume_offset
        try:
            while block := read_block(self._exchange):
                for data in parser.feed(block):
                    if data == END_MARKER:
                        yield TokenChunk(offset, "", 0, final=True)
                        self._read_trailer()
                        return
                    chunk = parse_chunk(data)
                    offset = chunk.offset + chunk.tokens
                    yield chunk
                    if chunk.final:
                        self._read_trailer()
                        return
        except MalformedStreamError as error:
            raise StreamBroken(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            failure = classify_failure(self._exchange.transmission, error)
            raise StreamBroken(failure.detail) from error
        raise StreamBroken("the stream ended before its final chunk")

    def _read_trailer(self) -> None:
        """Read the bytes after the final chunk, so that the connection can be reused."""
        self._exchange.transmission.shorten_deadline(_TRAILER_TIMEOUT_S)
        with suppress(urllib3.exceptions.HTTPError, OSError, ValueError):
            while read_block(self._exchange):
                pass

    def cancel(self) -> None:
        """Close the connection so that the upstream stops the work; any thread may call this."""
        self._exchange.transmission.cancel()


@protocols.register("openai-completions")
class CompletionsClient(HttpClient):
    """Client for OpenAI-compatible model engines."""

    @contextmanager
    def stream(self, call: UpstreamCall) -> Iterator[Result[TokenStream, CallFailure]]:
        """Open a token stream; leaving the context cancels the upstream's unfinished work."""
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
