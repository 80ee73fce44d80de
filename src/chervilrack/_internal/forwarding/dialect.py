"""Port for the header fields, paths and bodies of callers' requests and of calls to upstreams.

Forwarding works with the typed values of this module. An implementation of ``Dialect`` translates
them to and from HTTP and contains no further logic.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from chervilrack._internal.common.ids import OrganisationId, RequestId, UpstreamId, ZoneId

# Header fields as received: names keep their case, and repeated fields are separate entries.
HeaderFields = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt: an id made from its content, and its size in tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values from the header fields of a caller's request.

    ``deadline`` is relative to the arrival of the request. ``prefix`` holds the parts of the
    prompt in order; the last one is not shared with other requests. ``piece_counts`` holds the
    number of pieces of each stage, and ``piece_key`` is sent with the pieces of stages without
    inputs. ``last_event`` is the id of the last event that the caller of a resumed stream has.
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
    """Values that the system adds to the header fields of a request to an upstream."""

    deadline: timedelta
    target: UpstreamId
    organisation: OrganisationId | None = None
    urgency: int | None = None
    inputs: tuple[str, ...] = ()
    last_event: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Values from the status and header fields of an upstream's response.

    ``not_executed`` is the upstream's statement that it did not execute the request.
    ``misdirected`` means that another upstream has the address now, ``inputs_gone`` that the
    request names stage results that no longer exist. ``leaving`` is the upstream's statement that
    it leaves; its absence retracts nothing. ``retry_after`` is the time for which an upstream that
    turned the request away wants nothing from this node, None if it named none.
    """

    request_id: RequestId | None
    signed: bool
    not_executed: bool
    misdirected: bool = False
    inputs_gone: bool = False
    leaving: bool = False
    retry_after: timedelta | None = None


class PieceFailure(Enum):
    """Why an upstream did not produce a piece.

    The last three mean that no upstream was asked: all of them leave, want a pause, or lie in
    evacuated zones.
    """

    LATE = "late"
    INPUT_GONE = "input gone"
    NO_ROOM = "no room"
    ERROR = "error"
    ALL_LEAVING = "all leaving"
    ALL_PAUSED = "all paused"
    ALL_EVACUATED = "all evacuated"


@dataclass(frozen=True, slots=True)
class PieceCall:
    """One piece of a call to a stage upstream; either ``key`` or ``inputs`` is set.

    ``segment`` is the number of the piece within its stage.
    """

    request_id: RequestId
    stage: int
    segment: int
    remaining: timedelta
    key: str = ""
    inputs: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """A query to the endpoint look-up."""

    name: str
    zone: ZoneId | None


class MalformedMessage(ValueError):
    """A header field, body or handle does not have the format that the dialect prescribes."""


class Dialect(Protocol):
    """Translates between typed values and the HTTP messages of one platform."""

    readiness_path: str
    lookup_path: str
    stage_path: str
    release_path: str

    def read_request(self, headers: HeaderFields) -> RequestMetadata:
        """Return the metadata of a caller's request. Raises MalformedMessage."""

    def request_headers(
        self, headers: HeaderFields, forwarded: ForwardedMetadata
    ) -> list[tuple[str, str]]:
        """Return the header fields for the upstream: the caller's and those of ``forwarded``.

        Fields of the caller that only the system may set are left out.
        """

    def stage_headers(self, target: UpstreamId) -> list[tuple[str, str]]:
        """Return the header fields of a call to a stage upstream."""

    def read_response(self, status: int, headers: Mapping[str, str]) -> ResponseMetadata:
        """Return the metadata of an upstream's response."""

    def encode_pieces(self, pieces: Sequence[PieceCall]) -> bytes:
        """Return the body of a call that produces pieces."""

    def decode_pieces(self, body: bytes, count: int) -> list[str | PieceFailure]:
        """Return a handle or failure for each of ``count`` pieces. Raises MalformedMessage."""

    def encode_release(self, handles: Sequence[str]) -> bytes:
        """Return the body of a call that frees results."""

    def read_lookup(self, query: Mapping[str, str]) -> LookupQuery:
        """Return the query of a look-up request."""

    def encode_lookup(self, addresses: Sequence[str], lifetime: timedelta) -> bytes:
        """Return the body of a look-up response; callers may keep it for ``lifetime``."""

    def upstream_address(self, handle: str) -> str:
        """Return the address of the upstream that stores a result. Raises MalformedMessage."""
