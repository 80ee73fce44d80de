"""Assembly of one token stream from the streams of several attempts."""

from dataclasses import replace
from datetime import timedelta

from chervilrack._internal.exceptions import StreamBroken
from chervilrack._internal.upstreams.port import TokenChunk


class TokenAssembler:
    """Passes on each token exactly once and in order, and measures the times between them.

    An attempt that resumes begins at ``offset``. Tokens that were delivered before are dropped; a
    gap cannot be repaired here and breaks the attempt.
    """

    def __init__(self, started: timedelta) -> None:
        self._started = started
        self._offset = 0
        self._final = False
        self._first: timedelta | None = None
        self._last = started
        self._between: list[timedelta] = []

    @property
    def offset(self) -> int:
        """Number of tokens delivered."""
        return self._offset

    @property
    def final(self) -> bool:
        """Whether the final chunk was delivered."""
        return self._final

    @property
    def first(self) -> timedelta | None:
        """Time from the start of the request to the first token."""
        return self._first

    @property
    def between(self) -> tuple[timedelta, ...]:
        """Times between tokens; a chunk of several tokens counts once, divided by its tokens."""
        return tuple(self._between)

    def accept(self, chunk: TokenChunk, now: timedelta) -> TokenChunk | None:
        """Return what is to be delivered of a chunk, None if all of it was delivered before.

        Raises StreamBroken if tokens before the chunk are missing, or if only a part of the chunk
        was delivered before: its text cannot be divided into tokens.
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
            if self._first is None:
                self._first = now - self._started
            else:
                self._between.append((now - self._last) / chunk.tokens)
            self._last = now
        return chunk
