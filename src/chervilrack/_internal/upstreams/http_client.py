"""What all HTTP protocols of upstreams share: headers, answer check, failures, cancellation."""

import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import urllib3
from result import Err, Ok, Result

from chervilrack._internal.common.ids import AttemptId
from chervilrack._internal.common.results import Executed
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.upstreams.connections import (
    ConnectionPools,
    NotPermittedError,
    Transmission,
)
from chervilrack._internal.upstreams.port import (
    CallFailure,
    FailureKind,
    TokenStream,
    UpstreamAnswer,
    UpstreamCall,
)

MAX_ANSWER_BYTES = 64 * 1024 * 1024  # bounds the memory that one faulty upstream can take
_READ_BYTES = 65536


class MalformedAnswerError(ChervilrackError):
    """The body of an answer is not what the protocol prescribes."""


@dataclass(slots=True)
class OpenExchange:
    """An answered request whose body has not been read."""

    call: UpstreamCall
    transmission: Transmission
    response: urllib3.BaseHTTPResponse
    started: float


def request_headers(call: UpstreamCall) -> dict[str, str]:
    """Return the headers of a call (design 2.9)."""
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": call.request_id,
        "X-Attempt-Id": call.attempt_id,
        "X-Organisation": call.organisation,
        "X-Deadline-Ms": str(max(0, int(call.deadline.total_seconds() * 1000))),
        "X-Priority": str(call.priority),
    }
    if call.idempotency_key is not None:
        headers["Idempotency-Key"] = call.idempotency_key
    if call.fencing_number is not None:
        headers["X-Fencing-Number"] = str(call.fencing_number)
    return headers


def belongs_to(call: UpstreamCall, headers: Mapping[str, str]) -> bool:
    """Return whether an answer's headers name this call's request, organisation and attempt."""
    return (
        headers.get("X-Request-Id") == call.request_id
        and headers.get("X-Organisation") == call.organisation
        and headers.get("X-Attempt-Id") == call.attempt_id
    )


class HttpClient(ABC):
    """Base of the HTTP protocols.

    ``may_send`` is asked on the open connection, directly before the first byte of each request.
    If it returns False the request is not sent and fails with executed NO.
    """

    def __init__(self, pools: ConnectionPools, may_send: Callable[[], bool] = lambda: True) -> None:
        self._pools = pools
        self._may_send = may_send
        self._running: dict[AttemptId, Transmission] = {}
        self._lock = threading.Lock()

    def call(self, call: UpstreamCall) -> Result[UpstreamAnswer, CallFailure]:
        """Run one call and return its whole answer."""
        with self._exchange(call, self._encode(call, stream=False)) as opened:
            if isinstance(opened, Err):
                return opened
            return self._whole_answer(opened.ok_value)

    @abstractmethod
    def stream(
        self, call: UpstreamCall
    ) -> AbstractContextManager[Result[TokenStream, CallFailure]]:
        """Open a token stream; leaving the context cancels unfinished work upstream."""

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cut off the connection of a running call; unknown attempts are ignored."""
        with self._lock:
            transmission = self._running.get(attempt_id)
        if transmission is not None:
            transmission.cancel()

    def _encode(self, call: UpstreamCall, *, stream: bool) -> bytes:
        """Return the request body of a call; protocols override this."""
        del stream
        return msgspec.json.encode(call.body)

    @contextmanager
    def _exchange(
        self, call: UpstreamCall, body: bytes
    ) -> Iterator[Result[OpenExchange, CallFailure]]:
        """Send a request; yield its checked response, and clean up behind the reader.

        A body that was not read to its end is cut off, which makes the upstream stop.
        """
        started = time.monotonic()
        transmission = Transmission(started + call.deadline.total_seconds(), self._may_send)
        with self._lock:
            self._running[call.attempt_id] = transmission
        response: urllib3.BaseHTTPResponse | None = None
        try:
            try:
                response = self._pools.send(
                    transmission, call.base_url, call.path, request_headers(call), body
                )
            except (urllib3.exceptions.HTTPError, OSError, ValueError, NotPermittedError) as error:
                yield Err(failure_of(transmission, error))
                return
            failure = self._check(call, response, transmission)
            if failure is not None:
                yield Err(failure)
            else:
                yield Ok(OpenExchange(call, transmission, response, started))
        finally:
            with self._lock:
                self._running.pop(call.attempt_id, None)
            transmission.detach()
            if response is not None and not response.closed:
                response.close()

    def _check(
        self,
        call: UpstreamCall,
        response: urllib3.BaseHTTPResponse,
        transmission: Transmission,
    ) -> CallFailure | None:
        if not belongs_to(call, response.headers):
            return CallFailure(
                FailureKind.MISMATCHED,
                Executed.UNKNOWN,
                "the answer does not carry this request's ids and was dropped",
            )
        if 200 <= response.status < 300:
            return None
        if response.headers.get("X-Executed") == "no":
            kind, executed = FailureKind.REFUSED, Executed.NO
        else:
            kind, executed = FailureKind.FAILED, Executed.UNKNOWN
        self._drain(response, transmission)
        return CallFailure(kind, executed, f"the upstream answered with status {response.status}")

    def _drain(self, response: urllib3.BaseHTTPResponse, transmission: Transmission) -> None:
        """Read a short error body, so that the connection can be used again."""
        if int(response.headers.get("Content-Length") or _READ_BYTES) < _READ_BYTES:
            transmission.set_read_timeout()
            try:
                response.read()
            except (urllib3.exceptions.HTTPError, OSError, ValueError):
                response.close()

    def _whole_answer(self, exchange: OpenExchange) -> Result[UpstreamAnswer, CallFailure]:
        transmission = exchange.transmission
        try:
            content = _read_whole(exchange)
            answer = msgspec.json.decode(content)
            if not isinstance(answer, dict):
                raise MalformedAnswerError("the answer is not a JSON object")
            load = parse_load(exchange.response.headers.get("X-Load"))
        except MalformedAnswerError as error:
            return Err(CallFailure(FailureKind.FAILED, Executed.UNKNOWN, str(error)))
        except msgspec.DecodeError:
            detail = "the answer is not valid JSON"
            return Err(CallFailure(FailureKind.FAILED, Executed.UNKNOWN, detail))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Err(failure_of(transmission, error))
        elapsed = timedelta(seconds=time.monotonic() - exchange.started)
        return Ok(UpstreamAnswer(answer, elapsed, load))


def failure_of(transmission: Transmission, error: Exception) -> CallFailure:
    """Classify the error that ended an exchange."""
    executed = Executed.UNKNOWN if transmission.sent else Executed.NO
    detail = f"the connection failed ({type(error).__name__})"
    if transmission.cancelled:
        return CallFailure(FailureKind.CANCELLED, executed, "the attempt was cancelled")
    if isinstance(error, NotPermittedError):
        # Not the upstream's fault, unlike NOT_SENT.
        return CallFailure(FailureKind.CANCELLED, executed, str(error))
    if not transmission.sent:
        return CallFailure(FailureKind.NOT_SENT, executed, detail)
    timeouts = (urllib3.exceptions.TimeoutError, TimeoutError)
    if isinstance(error, timeouts) or transmission.expired:
        return CallFailure(FailureKind.TIMED_OUT, executed, "no whole answer within the deadline")
    return CallFailure(FailureKind.BROKEN, executed, detail)


def parse_load(header: str | None) -> Mapping[str, float]:
    """Return the numbers of an ``X-Load`` header (a JSON object); anything else gives nothing."""
    if not header:
        return {}
    try:
        return msgspec.json.decode(header.encode(), type=dict[str, float])
    except (msgspec.DecodeError, UnicodeError):
        return {}


def _read_whole(exchange: OpenExchange) -> bytes:
    parts: list[bytes] = []
    size = 0
    while part := read_part(exchange):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise MalformedAnswerError(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
    return parts[0] if len(parts) == 1 else b"".join(parts)


def read_part(exchange: OpenExchange) -> bytes:
    """Return the next bytes of the body, b"" at its end; raises TimeoutError past the deadline."""
    if exchange.response.closed:
        return b""  # the connection may already serve another request
    if exchange.transmission.expired:
        raise TimeoutError("the deadline has passed")
    exchange.transmission.set_read_timeout()
    part = exchange.response.read1(_READ_BYTES)
    assert isinstance(part, bytes)
    return part
