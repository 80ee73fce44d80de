"""Port of upstreams: one call of a stage or service operation, whole or streamed."""

from collections.abc import Iterator, Mapping
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any, Protocol

from result import Result

from chervilrack._internal.common.ids import (
    AttemptId,
    IdempotencyKey,
    OrganisationId,
    RequestId,
    UpstreamId,
)
from chervilrack._internal.common.results import Executed


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One attempt at one upstream.

    ``path`` is relative to ``base_url``; ``deadline`` is the remaining time; ``resume_offset`` is
    the number of output tokens that earlier attempts have already delivered.
    """

    upstream: UpstreamId
    base_url: str
    path: str
    request_id: RequestId
    attempt_id: AttemptId
    organisation: OrganisationId
    body: Mapping[str, Any]
    deadline: timedelta
    priority: int = 0
    resume_offset: int = 0
    idempotency_key: IdempotencyKey | None = None
    fencing_number: int | None = None


class FailureKind(Enum):
    """How a call to an upstream failed."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    MISMATCHED = "mismatched"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Failed call. ``executed`` is NO only before the first byte or by the upstream's own word."""

    kind: FailureKind
    executed: Executed
    detail: str


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Whole answer of an upstream and what it reported about its load."""

    body: Mapping[str, Any]
    service_time: timedelta
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """One piece of a token stream: ``offset`` of its first token, its text and token count."""

    offset: int
    text: str
    tokens: int
    final: bool = False


class TokenStream(Protocol):
    """Token stream of one attempt. Iterating raises StreamBroken if it ends early."""

    def __iter__(self) -> Iterator[TokenChunk]: ...

    def cancel(self) -> None:
        """Close the connection so that the upstream stops the work; may come from any thread."""


class UpstreamClient(Protocol):
    """Client for all upstreams of one protocol."""

    def call(self, call: UpstreamCall) -> Result[UpstreamAnswer, CallFailure]:
        """Run one call and return its whole answer."""

    def stream(
        self, call: UpstreamCall
    ) -> AbstractContextManager[Result[TokenStream, CallFailure]]:
        """Open a token stream; leaving the context cancels unfinished work upstream."""

    def cancel(self, attempt_id: AttemptId) -> None:
        """Abort a running call of any thread, so that the upstream stops the work."""
