"""Header fields and bodies of the platform's requests, answers, stage calls and look-ups."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Final

import msgspec

from chervilrack._internal.common.ids import RequestId, UpstreamId, ZoneId
from chervilrack._internal.forwarding.dialect import (
    ForwardedMetadata,
    HeaderFields,
    LookupQuery,
    MalformedMessage,
    PieceCall,
    PieceFailure,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)

REQUEST_ID: Final = "Chervilrack-Request-Id"
DEADLINE: Final = "Chervilrack-Deadline-Ms"
USAGE: Final = "Chervilrack-Token-Usage"
PREFIX: Final = "Chervilrack-Prefix-Hash"
PIECES: Final = "Chervilrack-Chunk-Count"
PIECE_KEY: Final = "Chervilrack-Chunk-Key"
TARGET: Final = "Chervilrack-Target-Instance"
TENANT: Final = "Chervilrack-Tenant"
PRIORITY: Final = "Chervilrack-Request-Priority"
INPUTS: Final = "Chervilrack-Inputs"
LAST_EVENT: Final = "Last-Event-Id"
SIGNATURE: Final = "Chervilrack-Response-Signature"
NOT_EXECUTED: Final = "Chervilrack-Not-Executed"
KEY: Final = "Authorization"
KEY_SCHEME: Final = "Token "

_MISDIRECTED: Final = 421
_INPUTS_GONE: Final = 409
_SET_BY_SYSTEM: Final = frozenset(
    name.lower()
    for name in (
        KEY,
        TARGET,
        TENANT,
        PRIORITY,
        INPUTS,
        DEADLINE,
        "Chervilrack-Expected-Version",
        "Chervilrack-Kv-Hold",
        "Chervilrack-Kv-Backup",
        "Chervilrack-Pin-Ms",
        "Kv-Fetch",
        "Kv-From",
    )
)
_FAILURES: Final = {
    "late": PieceFailure.LATE,
    "gone": PieceFailure.INPUT_GONE,
    "room": PieceFailure.NO_ROOM,
    "error": PieceFailure.ERROR,
}


class _Piece(msgspec.Struct, rename="camel", omit_defaults=True):
    """One item of a stage call. ``phase`` is the stage's index, not a state of the engine."""

    id: str
    phase: int = msgspec.field()
    segment: int = msgspec.field()
    remaining_ms: int = msgspec.field()
    key: str = ""
    inputs: tuple[str, ...] = ()


class _PieceList(msgspec.Struct):
    entries: list[_Piece]


class _PieceResult(msgspec.Struct):
    """``reason`` is why there is no result; exactly one of the two is set."""

    handle: str = ""
    reason: str = ""


class _PieceResults(msgspec.Struct):
    entries: list[_PieceResult]


class _Handles(msgspec.Struct):
    handles: list[str]


class _LookupAnswer(msgspec.Struct, rename={"lifetime_s": "ttlS"}):
    addresses: list[str]
    lifetime_s: float


class PlatformDialect:
    """The platform's way of speaking, as ``forwarding.dialect.Dialect``."""

    readiness_path = "/api/ready"
    lookup_path = "/api/resolve"
    stage_path = "/api/stage-run"
    release_path = "/api/stage-free"

    def __init__(self) -> None:
        self._results = msgspec.json.Decoder(_PieceResults)

    def read_request(self, headers: HeaderFields) -> RequestMetadata:
        """Return the facts of a caller's request. Raises MalformedMessage."""
        fields = {name.lower(): value for name, value in headers}
        request_id = fields.get(REQUEST_ID.lower(), "")
        if not request_id:
            raise MalformedMessage(f"the header {REQUEST_ID} is missing")
        deadline = fields.get(DEADLINE.lower())
        prompt, output = _numbers(fields.get(USAGE.lower(), "0,0"), USAGE, 2)
        counts = fields.get(PIECES.lower())
        last_event = fields.get(LAST_EVENT.lower(), "")
        return RequestMetadata(
            request_id=RequestId(request_id),
            deadline=timedelta(milliseconds=_number(deadline, DEADLINE)) if deadline else None,
            key=_key(fields.get(KEY.lower())),
            prompt_tokens=prompt,
            output_tokens=output,
            prefix=_parts(fields.get(PREFIX.lower(), "")),
            piece_counts=_numbers(counts, PIECES) if counts else (),
            piece_key=fields.get(PIECE_KEY.lower(), ""),
            last_event=_number(last_event, LAST_EVENT) if last_event else None,
        )

    def request_headers(
        self, headers: HeaderFields, forwarded: ForwardedMetadata
    ) -> list[tuple[str, str]]:
        """Return the fields to pass on, with the system's own ones."""
        resumes = forwarded.last_event is not None
        passed = [
            (name, value)
            for name, value in headers
            if name.lower() not in _SET_BY_SYSTEM
            and not (resumes and name.lower() == LAST_EVENT.lower())
        ]
        passed.append((DEADLINE, str(max(1, int(forwarded.deadline / timedelta(milliseconds=1))))))
        passed.append((TARGET, forwarded.target))
        if forwarded.organisation is not None:
            passed.append((TENANT, forwarded.organisation))
        if forwarded.urgency is not None:
            passed.append((PRIORITY, str(forwarded.urgency)))
        if forwarded.inputs:
            passed.append((INPUTS, ",".join(forwarded.inputs)))
        if forwarded.last_event is not None:
            passed.append((LAST_EVENT, str(forwarded.last_event)))
        return passed

    def stage_headers(self, target: UpstreamId) -> list[tuple[str, str]]:
        """Return the fields of a call to a stage upstream."""
        return [("Content-Type", "application/json"), (TARGET, target)]

    def read_response(self, status: int, headers: Mapping[str, str]) -> ResponseMetadata:
        """Return the facts of an upstream's answer."""
        request_id = headers.get(REQUEST_ID)
        misdirected = status == _MISDIRECTED
        return ResponseMetadata(
            request_id=RequestId(request_id) if request_id else None,
            signed=SIGNATURE in headers,
            not_executed=NOT_EXECUTED in headers or misdirected,
            misdirected=misdirected,
            inputs_gone=status == _INPUTS_GONE and NOT_EXECUTED in headers,
        )

    def encode_pieces(self, pieces: Sequence[PieceCall]) -> bytes:
        """Return the body of a call that produces pieces."""
        entries = [
            _Piece(
                id=piece.request_id,
                phase=piece.stage,
                segment=piece.segment,
                remaining_ms=max(1, int(piece.remaining / timedelta(milliseconds=1))),
                key=piece.key,
                inputs=piece.inputs,
            )
            for piece in pieces
        ]
        return msgspec.json.encode(_PieceList(entries))

    def decode_pieces(self, body: bytes, count: int) -> list[str | PieceFailure]:
        """Return a handle or failure for each of ``count`` pieces. Raises MalformedMessage."""
        try:
            entries = self._results.decode(body).entries
        except msgspec.DecodeError as error:
            raise MalformedMessage(f"the answer to a stage call is malformed: {error}") from None
        if len(entries) != count:
            raise MalformedMessage(
                f"expected {count} results of a stage call, found {len(entries)}"
            )
        return [
            entry.handle or _FAILURES.get(entry.reason, PieceFailure.ERROR) for entry in entries
        ]

    def encode_release(self, handles: Sequence[str]) -> bytes:
        """Return the body of a call that frees results."""
        return msgspec.json.encode(_Handles(list(handles)))

    def read_lookup(self, query: Mapping[str, str]) -> LookupQuery:
        """Return what the look-up is asked for."""
        zone = query.get("zone")
        return LookupQuery(query.get("name", ""), ZoneId(zone) if zone else None)

    def encode_lookup(self, addresses: Sequence[str], lifetime: timedelta) -> bytes:
        """Return the body of the look-up's answer."""
        return msgspec.json.encode(_LookupAnswer(list(addresses), lifetime.total_seconds()))

    def upstream_address(self, handle: str) -> str:
        """Return the address in ``IP:PORT/NAME``. Raises MalformedMessage."""
        address, slash, name = handle.partition("/")
        if not slash or not name or ":" not in address:
            raise MalformedMessage(f"expected IP:PORT/NAME as a handle, found '{handle}'")
        return address


def _number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise MalformedMessage(f"expected a whole number in {name}, found '{text}'")
    return int(text)


def _numbers(text: str, name: str, count: int | None = None) -> tuple[int, ...]:
    numbers = tuple(_number(part.strip(), name) for part in text.split(","))
    if count is not None and len(numbers) != count:
        raise MalformedMessage(f"expected {count} numbers in {name}, found {len(numbers)}")
    return numbers


def _key(value: str | None) -> str | None:
    if value is None:
        return None
    return value[len(KEY_SCHEME) :].strip() if value.startswith(KEY_SCHEME) else ""


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(",") if text else ():
        name, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(name, _number(tokens, PREFIX)))
    return tuple(parts)
