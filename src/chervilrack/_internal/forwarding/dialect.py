"""Port for the names and formats that callers and upstreams speak.

Forwarding decides with the typed values of this module; an implementation translates them to
and from headers, paths and bodies, and decides nothing.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from chervilrack._internal.common.ids import OrganisationId, RequestId, UpstreamId, ZoneId

# Header fields as received: names keep their case, repeated fields stay apart.
HeaderFields = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, identified by its content, and its size in tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's header fields say. ``deadline`` counts from the arrival.

    ``prefix`` holds the prompt's parts in order; the last one belongs to this request alone.
    ``piece_counts`` holds the number of pieces of each stage.
    """

    request_id: RequestId
    deadline: timedelta | None = None
    key: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[PromptPart, ...] = ()
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    last_event: int | None = None


@dataclass(frozen=True, slots=True)
class ForwardedMetadata:
    """What the system states when it passes a request on."""

    deadline: timedelta
    target: UpstreamId
    organisation: OrganisationId | None = None
    urgency: int | None = None
    inputs: tuple[str, ...] = ()
    last_event: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What an upstream's header fields say about its answer.

    ``not_executed`` is the upstream's statement that it did not run the request.
    ``misdirected`` means that another upstream holds the address now, ``inputs_gone`` that stage
    results which the request names do not exist any more.
    """

    request_id: RequestId | None
    signed: bool
    not_executed: bool
    misdirected: bool = False
    inputs_gone: bool = False


class PieceFailure(Enum):
    """Why an upstream did not produce a piece."""

    LATE = "late"
    INPUT_GONE = "input gone"
    NO_ROOM = "no room"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class PieceCall:
    """One piece in a call to a stage upstream: either ``key`` or ``inputs`` is set."""

    request_id: RequestId
    stage: int
    segment: int
    remaining: timedelta
    key: str = ""
    inputs: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """What a caller asks the endpoint look-up."""

    name: str
    zone: ZoneId | None


class MalformedMessage(ValueError):
    """A header field or body does not have the format that the dialect prescribes."""


class Dialect(Protocol):
    """Translates between typed values and one way of speaking HTTP."""

    readiness_path: str
    lookup_path: str
    stage_path: str
    release_path: str

    def read_request(self, headers: HeaderFields) -> RequestMetadata:
        """Return the facts of a caller's request. Raises MalformedMessage."""

    def request_headers(
        self, headers: HeaderFields, forwarded: ForwardedMetadata
    ) -> list[tuple[str, str]]:
        """Return the fields to pass on: the caller's without those that only the system sets."""

    def stage_headers(self, target: UpstreamId) -> list[tuple[str, str]]:
        """Return the fields of a call to a stage upstream."""

    def read_response(self, status: int, headers: Mapping[str, str]) -> ResponseMetadata:
        """Return the facts of an upstream's answer."""

    def encode_pieces(self, pieces: Sequence[PieceCall]) -> bytes:
        """Return the body of a call that produces pieces."""

    def decode_pieces(self, body: bytes, count: int) -> list[str | PieceFailure]:
        """Return a handle or failure for each of ``count`` pieces. Raises MalformedMessage."""

    def encode_release(self, handles: Sequence[str]) -> bytes:
        """Return the body of a call that frees results."""

    def read_lookup(self, query: Mapping[str, str]) -> LookupQuery:
        """Return what the look-up is asked for."""

    def encode_lookup(self, addresses: Sequence[str], lifetime: timedelta) -> bytes:
        """Return the body of the look-up's answer."""

    def upstream_address(self, handle: str) -> str:
        """Return the address of the upstream that keeps a result. Raises MalformedMessage."""
