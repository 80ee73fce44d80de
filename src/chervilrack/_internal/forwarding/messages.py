"""A caller's request as it was read, and the port through which it is answered."""

from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chervilrack._internal.forwarding.dialect import HeaderFields


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """One request with its whole body.

    ``target`` is the request target exactly as sent. ``headers`` lack the fields that concern
    the caller's connection. ``arrived`` is monotonic time.
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
    """The caller closed its connection; nobody reads an answer."""


class Responder(Protocol):
    """Answers one request. Methods raise CallerGone when the caller has left."""

    def send_response(self, status: int, headers: Sequence[tuple[str, str]], body: bytes) -> None:
        """Send a whole answer."""

    def begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of an answer whose length is not known."""

    def write(self, part: bytes) -> None:
        """Send a part of the body after ``begin``."""

    def end(self) -> None:
        """Mark the body as complete."""

    def abort(self) -> None:
        """Close the connection so that the answer is visibly incomplete."""

    def on_caller_gone(self, action: Callable[[], None]) -> AbstractContextManager[None]:
        """Run ``action`` once if the caller leaves before the last part is sent."""
