"""A caller's request as received, and the port that sends the response to the caller."""

from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chervilrack._internal.forwarding.dialect import HeaderFields


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """One request with its complete body.

    ``target`` is the request target exactly as sent. ``headers`` are the end-to-end header
    fields; the hop-by-hop ones are removed. ``arrived`` is a monotonic time.
    """

    method: str
    target: str
    host: str
    headers: HeaderFields
    body: bytes
    arrived: timedelta

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class CallerGone(Exception):
    """The caller has closed its connection, so that no response can be sent."""


class Responder(Protocol):
    """Sends the response to one request. Methods raise CallerGone if the caller has left."""

    def send_response(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes | bytearray
    ) -> None:
        """Send a complete response."""

    def begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of a response whose length is not known yet."""

    def write(self, part: bytes) -> None:
        """Send a part of the body after ``begin``."""

    def end(self) -> None:
        """Send the end of the body."""

    def abort(self) -> None:
        """Close the connection, which shows the caller that the response is incomplete."""

    def on_caller_gone(self, action: Callable[[], None]) -> AbstractContextManager[None]:
        """Run ``action`` once if the caller leaves within the context, before the response ends."""
