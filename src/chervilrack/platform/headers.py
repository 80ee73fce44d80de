"""Header fields, paths and bodies of the platform's HTTP messages."""

import re
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime, timedelta
from email.utils import parsedate_to_datetime
from typing import Final

import msgspec

from chervilrack._internal.common.addresses import is_address
from chervilrack._internal.common.clock import Clock, SystemClock
from chervilrack._internal.common.decoding import UnreadableValue, decode_json
from chervilrack._internal.common.ids import RegionId, RequestId, UpstreamId, ZoneId
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
    UpstreamLoad,
)

# Names of header fields.
REQUEST_ID: Final = "Chervilrack-Request-Id"
DEADLINE_MS: Final = "Chervilrack-Deadline-Ms"
TOKEN_USAGE: Final = "Chervilrack-Token-Usage"
PREFIX_HASH: Final = "Chervilrack-Prefix-Hash"
CHUNK_COUNT: Final = "Chervilrack-Chunk-Count"
CHUNK_KEY: Final = "Chervilrack-Chunk-Key"
TARGET_INSTANCE: Final = "Chervilrack-Target-Instance"
TENANT: Final = "Chervilrack-Tenant"
REQUEST_PRIORITY: Final = "Chervilrack-Request-Priority"
INPUTS: Final = "Chervilrack-Inputs"
LAST_EVENT_ID: Final = "Last-Event-Id"
RESPONSE_SIGNATURE: Final = "Chervilrack-Response-Signature"
NOT_EXECUTED: Final = "Chervilrack-Not-Executed"
LEAVING: Final = "Server-Leaving"
SERVER_LOAD: Final = "Chervilrack-Server-Load"
RETRY_AFTER: Final = "Retry-After"
DATE: Final = "Date"
AUTHORIZATION: Final = "Authorization"

AUTHORIZATION_SCHEME: Final = "Token "

_STATUS_MISDIRECTED: Final = 421
_STATUS_INPUTS_GONE: Final = 409
_STATUS_UNAVAILABLE: Final = 503
_SECONDS: Final = re.compile(r"[0-9]+(\.[0-9]+)?")
# Longer times, which a timedelta may not hold, are cut to this one.
_MAX_SECONDS: Final = 1e10
# Larger numbers of a caller are cut to these, so that all arithmetic with them is safe.
_MAX_DEADLINE_MS: Final = 7 * 24 * 3_600_000
_MAX_TOKENS: Final = 10**9
# A stage of a request with more pieces is refused, since the node keeps state for each piece.
_MAX_PIECES: Final = 100_000
_MAX_EVENT: Final = 10**18
_MAX_QUOTED_LENGTH: Final = 80
# Figures of a load statement: running, waiting and slots, and the time that work takes on the VM of
# the upstream in percent of the usual time. Figures beyond the bounds make it unreadable.
_LOAD: Final = re.compile(
    r"([0-9]{1,7}),([0-9]{1,7}),([0-9]{1,7})(?:,([0-9]{1,6}(?:\.[0-9]{1,6})?))?"
)
_USUAL_PERCENT: Final = 100.0
_LEAST_PERCENT: Final = 1.0
# Names of results are listed in a header field, separated by commas.
_HANDLE: Final = re.compile(r"[!-+\--~]{1,1000}")
# Bytes of an answer to a stage call: those of each piece and those of everything else.
_MAX_PIECE_BYTES: Final = 4096
_MAX_ANSWER_BYTES: Final = 65_536
# Names of days are left out of dates, since the comma behind them separates values elsewhere.
_DAY_NAME: Final = re.compile(r"\b(mon|tue|wed|thu|fri|sat|sun)[a-z]*,?\s+", re.IGNORECASE)
# Fields of a caller that are dropped: the credentials, and what only the system may state.
# Names are in lower case.
_NOT_FORWARDED: Final = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        TARGET_INSTANCE,
        TENANT,
        REQUEST_PRIORITY,
        INPUTS,
        DEADLINE_MS,
        "Chervilrack-Expected-Version",
        "Chervilrack-Kv-Hold",
        "Chervilrack-Kv-Backup",
        "Chervilrack-Pin-Ms",
        "Kv-Fetch",
        "Kv-From",
    )
)
_FAILURES_BY_REASON: Final = {
    "late": PieceFailure.LATE,
    "gone": PieceFailure.INPUT_GONE,
    "room": PieceFailure.NO_ROOM,
    "error": PieceFailure.ERROR,
}


class _Piece(msgspec.Struct, rename="camel", omit_defaults=True):
    """One piece of a stage call. ``phase`` is the index of the stage, ``segment`` of the piece."""

    id: str
    phase: int = msgspec.field()
    segment: int = msgspec.field()
    remaining_ms: int = msgspec.field()
    key: str = ""
    inputs: tuple[str, ...] = ()


class _StageCall(msgspec.Struct):
    entries: list[_Piece]


class _PieceResult(msgspec.Struct):
    """Either the handle of a result or the reason why the piece was not produced."""

    handle: str = ""
    reason: str = ""


class _StageCallResponse(msgspec.Struct):
    entries: list[_PieceResult]


class _ReleaseCall(msgspec.Struct):
    handles: list[str]


class _LookupResponse(msgspec.Struct, rename={"lifetime_s": "ttlS"}):
    addresses: list[str]
    lifetime_s: float


class PlatformDialect:
    """Implementation of ``forwarding.dialect.Dialect`` for the platform."""

    readiness_path = "/api/ready"
    lookup_path = "/api/resolve"
    stage_path = "/api/stage-run"
    release_path = "/api/stage-free"

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._stage_response_decoder = msgspec.json.Decoder(_StageCallResponse)

    def read_request(self, headers: HeaderFields) -> RequestMetadata:
        """Return the metadata of a caller's request. Raises MalformedMessage.

        Deadlines above 7 days and token counts above 10**9 are cut to these. Stages of more than
        100,000 pieces and events above 10**18 are malformed.
        """
        fields = {name.lower(): value for name, value in headers}
        request_id = fields.get(REQUEST_ID.lower(), "")
        if not request_id:
            raise MalformedMessage(f"the header {REQUEST_ID} is missing")
        deadline = fields.get(DEADLINE_MS.lower())
        prompt, output = _whole_numbers(fields.get(TOKEN_USAGE.lower(), "0,0"), TOKEN_USAGE, 2)
        counts = fields.get(CHUNK_COUNT.lower())
        last_event = fields.get(LAST_EVENT_ID.lower(), "")
        return RequestMetadata(
            request_id=RequestId(request_id),
            deadline=timedelta(
                milliseconds=min(_whole_number(deadline, DEADLINE_MS), _MAX_DEADLINE_MS)
            )
            if deadline
            else None,
            key=_api_key(fields.get(AUTHORIZATION.lower())),
            prompt_tokens=min(prompt, _MAX_TOKENS),
            output_tokens=min(output, _MAX_TOKENS),
            prefix=_prompt_parts(fields.get(PREFIX_HASH.lower(), "")),
            piece_counts=_piece_counts(counts) if counts else (),
            piece_key=fields.get(CHUNK_KEY.lower(), ""),
            last_event=_event_id(last_event) if last_event else None,
        )

    def request_headers(
        self, headers: HeaderFields, forwarded: ForwardedMetadata
    ) -> list[tuple[str, str]]:
        """Return the header fields for the upstream: the caller's and those of ``forwarded``.

        Fields of the caller that only the system may set are left out. A ``Last-Event-Id`` of the
        caller is replaced if ``forwarded`` resumes the stream after another event.
        """
        replaces_last_event = forwarded.last_event is not None
        fields = [
            (name, value)
            for name, value in headers
            if name.lower() not in _NOT_FORWARDED
            and not (replaces_last_event and name.lower() == LAST_EVENT_ID.lower())
        ]
        fields.append(
            (DEADLINE_MS, str(max(1, int(forwarded.deadline / timedelta(milliseconds=1)))))
        )
        fields.append((TARGET_INSTANCE, forwarded.target))
        if forwarded.organisation is not None:
            fields.append((TENANT, forwarded.organisation))
        if forwarded.urgency is not None:
            fields.append((REQUEST_PRIORITY, str(forwarded.urgency)))
        if forwarded.inputs:
            fields.append((INPUTS, ",".join(forwarded.inputs)))
        if forwarded.last_event is not None:
            fields.append((LAST_EVENT_ID, str(forwarded.last_event)))
        return fields

    def stage_headers(self, target: UpstreamId) -> list[tuple[str, str]]:
        """Return the header fields of a call to a stage upstream."""
        return [("Content-Type", "application/json"), (TARGET_INSTANCE, target)]

    def read_response(self, status: int, headers: Mapping[str, str]) -> ResponseMetadata:
        """Return the metadata of an upstream's response.

        The upstream leaves if one of the fields ``Server-Leaving`` is ``1``; other values say
        nothing. Of several values of ``Retry-After`` the longest counts. Values that are neither
        seconds nor a date are left out, and only status 503 makes the field a wish. A load of other
        than three or four figures within their bounds is unreadable.
        """
        request_id = headers.get(REQUEST_ID)
        misdirected = status == _STATUS_MISDIRECTED
        stated_load = headers.get(SERVER_LOAD)
        load = _upstream_load(stated_load) if stated_load is not None else None
        return ResponseMetadata(
            request_id=RequestId(request_id) if request_id else None,
            signed=RESPONSE_SIGNATURE in headers,
            not_executed=NOT_EXECUTED in headers or misdirected,
            misdirected=misdirected,
            inputs_gone=status == _STATUS_INPUTS_GONE and NOT_EXECUTED in headers,
            leaving="1" in (value.strip() for value in headers.get(LEAVING, "").split(",")),
            retry_after=self._retry_after(headers) if status == _STATUS_UNAVAILABLE else None,
            load=load,
            load_unreadable=stated_load is not None and load is None,
        )

    def _retry_after(self, headers: Mapping[str, str]) -> timedelta | None:
        """Return the longest time that the fields ``Retry-After`` name, None if they name none.

        A date counts from the ``Date`` of the same response, so that the clocks of nodes and
        upstreams need not agree. A past date means no time.
        """
        times = []
        for value in _DAY_NAME.sub("", headers.get(RETRY_AFTER, "")).split(","):
            text = value.strip()
            if _SECONDS.fullmatch(text):
                times.append(timedelta(seconds=min(float(text), _MAX_SECONDS)))
            elif (date := _date(text)) is not None:
                sent = _date(_DAY_NAME.sub("", headers.get(DATE, ""))) or self._clock.now()
                times.append(max(timedelta(0), date - sent))
        return max(times, default=None)

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
        return msgspec.json.encode(_StageCall(entries))

    def decode_pieces(self, body: bytes, count: int) -> list[str | PieceFailure]:
        """Return a handle or failure for each of ``count`` pieces. Raises MalformedMessage.

        A handle of other than 1 to 1000 visible ASCII characters, or with a comma, is an error of
        this piece.
        """
        name = "the answer to a stage call"
        if len(body) > _MAX_ANSWER_BYTES + count * _MAX_PIECE_BYTES:
            raise MalformedMessage(f"{name} with {count} results has {len(body)} bytes")
        try:
            entries = decode_json(name, body, self._stage_response_decoder.decode).entries
        except UnreadableValue as error:
            raise MalformedMessage(str(error)) from None
        if len(entries) != count:
            raise MalformedMessage(
                f"expected {count} results of a stage call, found {len(entries)}"
            )
        return [_piece_result(entry) for entry in entries]

    def encode_release(self, handles: Sequence[str]) -> bytes:
        """Return the body of a call that frees results."""
        return msgspec.json.encode(_ReleaseCall(list(handles)))

    def read_lookup(self, query: Mapping[str, str]) -> LookupQuery:
        """Return the query of a look-up request."""
        zone = query.get("zone")
        region = query.get("region")
        return LookupQuery(
            query.get("name", ""),
            ZoneId(zone) if zone else None,
            RegionId(region) if region else None,
        )

    def encode_lookup(self, addresses: Sequence[str], lifetime: timedelta) -> bytes:
        """Return the body of a look-up response; callers may keep it for ``lifetime``."""
        return msgspec.json.encode(_LookupResponse(list(addresses), lifetime.total_seconds()))

    def upstream_address(self, handle: str) -> str:
        """Return ``IP:PORT`` of the handle ``IP:PORT/NAME``. Raises MalformedMessage."""
        address, slash, name = handle.partition("/")
        if not slash or not name or not is_address(address):
            raise MalformedMessage(f"expected IP:PORT/NAME as a handle, found {_quote(handle)}")
        return address


def _upstream_load(text: str) -> UpstreamLoad | None:
    """Return the load that an upstream states, None if it cannot be read."""
    figures = _LOAD.fullmatch(text.replace(" ", ""))
    if figures is None:
        return None
    running, waiting, slots = (int(figures[number]) for number in (1, 2, 3))
    if figures[4] is None:
        return UpstreamLoad(running, waiting, slots)
    percent = float(figures[4])
    if percent < _LEAST_PERCENT:
        return None
    return UpstreamLoad(running, waiting, slots, percent / _USUAL_PERCENT)


def _date(text: str) -> datetime | None:
    """Return an HTTP date without the name of its day, None if it cannot be read."""
    try:
        date = parsedate_to_datetime(text)
    except (ValueError, OverflowError, IndexError):
        return None
    return date if date.tzinfo is not None else date.replace(tzinfo=UTC)


def _piece_result(entry: _PieceResult) -> str | PieceFailure:
    if entry.handle:
        return entry.handle if _HANDLE.fullmatch(entry.handle) else PieceFailure.ERROR
    return _FAILURES_BY_REASON.get(entry.reason, PieceFailure.ERROR)


def _quote(text: str) -> str:
    """Return the beginning of a text in quotes, for messages."""
    return f"'{text[:_MAX_QUOTED_LENGTH]}'"


def _whole_number(text: str, name: str) -> int:
    """Return a non-negative decimal number; ``name`` is the header field that holds it."""
    if not (text.isascii() and text.isdigit()):
        raise MalformedMessage(f"expected a whole number in {name}, found {_quote(text)}")
    try:
        return int(text)
    except ValueError:  # Python limits the number of digits
        raise MalformedMessage(f"the number in {name} has {len(text)} digits") from None


def _piece_counts(text: str) -> tuple[int, ...]:
    counts = _whole_numbers(text, CHUNK_COUNT)
    if max(counts) > _MAX_PIECES:
        raise MalformedMessage(f"expected up to {_MAX_PIECES} pieces a stage in {CHUNK_COUNT}")
    return counts


def _event_id(text: str) -> int:
    event = _whole_number(text, LAST_EVENT_ID)
    if event > _MAX_EVENT:
        raise MalformedMessage(f"expected a number up to {_MAX_EVENT} in {LAST_EVENT_ID}")
    return event


def _whole_numbers(text: str, name: str, count: int | None = None) -> tuple[int, ...]:
    numbers = tuple(_whole_number(part.strip(), name) for part in text.split(","))
    if count is not None and len(numbers) != count:
        raise MalformedMessage(f"expected {count} numbers in {name}, found {len(numbers)}")
    return numbers


def _api_key(value: str | None) -> str | None:
    """Return the API key of an Authorization field, empty if the scheme is another one."""
    if value is None:
        return None
    return (
        value[len(AUTHORIZATION_SCHEME) :].strip() if value.startswith(AUTHORIZATION_SCHEME) else ""
    )


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of ``NAME:TOKENS,NAME:TOKENS,...``."""
    parts = []
    for entry in text.split(",") if text else ():
        name, _, tokens = entry.strip().partition(":")
        count = min(_whole_number(tokens, PREFIX_HASH), _MAX_TOKENS)
        parts.append(PromptPart(name, count))
    return tuple(parts)
