"""Port for calls to upstreams, with a whole answer or a token stream."""

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
    """One attempt of a request at one upstream.

    ``path`` is relative to ``base_url``. ``deadline`` is the time that remains for the attempt.
    ``resume_offset`` is the number of output tokens that earlier attempts have delivered.
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
    """How a call to an upstream failed.

    - ``NOT_SENT``: the request could not be sent, usually because no connection could be made.
    - ``REFUSED``: the upstream reports that it did not execute the request.
    - ``FAILED``: the answer has an error status or a malformed body.
    - ``TIMED_OUT``: no whole answer arrived within the deadline.
    - ``BROKEN``: the connection failed after the first byte of the request was sent.
    - ``CANCELLED``: the call was cancelled, or it was not permitted any more before it was sent.
    - ``MISMATCHED``: the answer carries the ids of another request.
    """

    NOT_SENT = "not sent"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    MISMATCHED = "mismatched"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Failed call.

    ``executed`` is NO only if no byte of the request was sent or the upstream reports that it did
    not execute the request.
    """

    kind: FailureKind
    executed: Executed
    detail: str


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Whole answer of an upstream, with the load that the upstream reported in it."""

    body: Mapping[str, Any]
    service_time: timedelta
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Consecutive tokens of a token stream.

    ``offset`` is the position of the first token in the output; ``tokens`` is the token count.
    """

    offset: int
    text: str
    tokens: int
    final: bool = False


class TokenStream(Protocol):
    """Token stream of one attempt. Iteration raises StreamBroken if the stream ends early."""

    def __iter__(self) -> Iterator[TokenChunk]: ...

    def cancel(self) -> None:
        """Close the connection so that the upstream stops the work; any thread may call this."""


class UpstreamClient(Protocol):
    """Client for the upstreams of one protocol."""

    def call(self, call: UpstreamCall) -> Result[UpstreamAnswer, CallFailure]:
        """Run one call and return its whole answer."""

    def stream(
        self, call: UpstreamCall
    ) -> AbstractContextManager[Result[TokenStream, CallFailure]]:
        """Open a token stream; leaving the context cancels the upstream's unfinished work."""

    def cancel(self, attempt_id: AttemptId) -> None:
        """Abort a running call, from any thread, so that the upstream stops the work."""
