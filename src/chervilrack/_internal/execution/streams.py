"""Assembly of one token stream from the streams of several attempts."""

from dataclasses import replace
from datetime import timedelta

from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.upstreams.port import TokenChunk


class TokenAssembler:
    """Delivers each token exactly once and in order, and measures the times between tokens.

    An attempt that resumes the stream begins at ``offset``. Tokens that were delivered before are
    dropped; a gap cannot be repaired here, so the attempt fails with StreamBroken.
    """

    def __init__(self, started: timedelta) -> None:
        self._started = started
        self._offset = 0
        self._final = False
        self._first_token_time: timedelta | None = None
        self._last_token_at = started
        self._token_intervals: list[timedelta] = []

    @property
    def offset(self) -> int:
        """Number of tokens delivered so far."""
        return self._offset

    @property
    def final(self) -> bool:
        """Whether the final chunk was delivered."""
        return self._final

    @property
    def first_token_time(self) -> timedelta | None:
        """Time from the start of the request to the first token."""
        return self._first_token_time

    @property
    def token_intervals(self) -> tuple[timedelta, ...]:
        """Times per token after the first chunk: one entry per chunk, divided by its tokens."""
        return tuple(self._token_intervals)

    def accept(self, chunk: TokenChunk, now: timedelta) -> TokenChunk | None:
        """Return the part of a chunk to be delivered; None if all of it was delivered before.

        Raises StreamBroken if tokens before the chunk are missing, if only a part of the chunk was
        delivered before (its text cannot be divided into tokens), if the final chunk ends before
        the tokens already delivered, or if a chunk follows the final one.
        """
        if self._final:
            raise StreamBroken("a chunk follows the final one")
        end = chunk.offset + chunk.tokens
        if chunk.offset > self._offset:
            raise StreamBroken(
                f"tokens are missing: expected offset {self._offset}, received {chunk.offset}"
            )
        if chunk.offset < self._offset:
            if end > self._offset:
                raise StreamBroken(f"a chunk overlaps offset {self._offset} in part")
            if not chunk.final:
                return None
            if end < self._offset:
                raise StreamBroken(f"the final chunk ends before offset {self._offset}")
            chunk = replace(chunk, offset=self._offset, text="", tokens=0)
        self._offset += chunk.tokens
        self._final = chunk.final
        if chunk.tokens:
            if self._first_token_time is None:
                self._first_token_time = now - self._started
            else:
                self._token_intervals.append((now - self._last_token_at) / chunk.tokens)
            self._last_token_at = now
        return chunk
