"""Base of the HTTP protocols of upstreams: headers, answer checks, failures, cancellation."""

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

from chervilrack._internal.common.byte_budget import BudgetExceeded, Reservation
from chervilrack._internal.common.decoding import UnreadableValue, decode_json
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

_READ_BYTES = 65536
_load_decoder = msgspec.json.Decoder(dict[str, float])


class MalformedAnswerError(ChervilrackError):
    """The body of an answer violates the protocol."""


@dataclass(slots=True)
class OpenExchange:
    """A request whose response headers have arrived but whose response body has not been read."""

    call: UpstreamCall
    transmission: Transmission
    response: urllib3.BaseHTTPResponse
    started: float
    buffer: Reservation


def request_headers(call: UpstreamCall) -> dict[str, str]:
    """Return the request headers with the ids, deadline and priority of ``call``."""
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


def ids_match(call: UpstreamCall, headers: Mapping[str, str]) -> bool:
    """Return whether an answer's headers carry the call's request, organisation and attempt ids."""
    return (
        headers.get("X-Request-Id") == call.request_id
        and headers.get("X-Organisation") == call.organisation
        and headers.get("X-Attempt-Id") == call.attempt_id
    )


class HttpClient(ABC):
    """Base class of the clients of all HTTP protocols.

    Directly before the first byte of each request is written, on the open connection, ``may_send``
    is called. If it returns False, the request is not sent and fails with executed NO.
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
            return self._read_answer(opened.ok_value)

    @abstractmethod
    def stream(
        self, call: UpstreamCall
    ) -> AbstractContextManager[Result[TokenStream, CallFailure]]:
        """Open a token stream; leaving the context cancels the upstream's unfinished work."""

    def cancel(self, attempt_id: AttemptId) -> None:
        """Shut down the connection of a running call; an unknown attempt is ignored."""
        with self._lock:
            transmission = self._running.get(attempt_id)
        if transmission is not None:
            transmission.cancel()

    def _encode(self, call: UpstreamCall, *, stream: bool) -> bytes:
        """Return the request body of ``call``. Subclasses may override this method."""
        del stream
        return msgspec.json.encode(call.body)

    @contextmanager
    def _exchange(
        self, call: UpstreamCall, body: bytes
    ) -> Iterator[Result[OpenExchange, CallFailure]]:
        """Send a request, yield its checked response, and release the connection on exit.

        If the response body has not been read to its end, the connection is closed, which makes
        the upstream stop the work.
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
                yield Err(classify_failure(transmission, error))
                return
            failure = self._check_response(call, response, transmission)
            if failure is not None:
                yield Err(failure)
            else:
                buffer = self._pools.answer_memory.open(transmission.cancel)
                with buffer:
                    yield Ok(OpenExchange(call, transmission, response, started, buffer))
        finally:
            with self._lock:
                self._running.pop(call.attempt_id, None)
            transmission.detach()
            if response is not None and not response.closed:
                response.close()

    def _check_response(
        self,
        call: UpstreamCall,
        response: urllib3.BaseHTTPResponse,
        transmission: Transmission,
    ) -> CallFailure | None:
        if not ids_match(call, response.headers):
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
        self._read_error_body(response, transmission)
        return CallFailure(kind, executed, f"the upstream answered with status {response.status}")

    def _read_error_body(
        self, response: urllib3.BaseHTTPResponse, transmission: Transmission
    ) -> None:
        """Read and discard a short error body, so that the connection can be reused."""
        if int(response.headers.get("Content-Length") or _READ_BYTES) < _READ_BYTES:
            transmission.set_read_timeout()
            try:
                response.read()
            except (urllib3.exceptions.HTTPError, OSError, ValueError):
                response.close()

    def _read_answer(self, exchange: OpenExchange) -> Result[UpstreamAnswer, CallFailure]:
        transmission = exchange.transmission
        try:
            content = _read_body(exchange)
            answer = decode_json("answer", content, msgspec.json.decode)
            if not isinstance(answer, dict):
                raise MalformedAnswerError("the answer is not a JSON object")
            load = parse_load(exchange.response.headers.get("X-Load"))
        except MalformedAnswerError as error:
            return Err(CallFailure(FailureKind.FAILED, Executed.UNKNOWN, str(error)))
        except UnreadableValue:
            detail = "the answer is not valid JSON"
            return Err(CallFailure(FailureKind.FAILED, Executed.UNKNOWN, detail))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Err(classify_failure(transmission, error))
        elapsed = timedelta(seconds=time.monotonic() - exchange.started)
        return Ok(UpstreamAnswer(answer, elapsed, load))


def classify_failure(transmission: Transmission, error: Exception) -> CallFailure:
    """Return the failure that corresponds to ``error``, which ended an exchange."""
    executed = Executed.UNKNOWN if transmission.sent else Executed.NO
    detail = f"the connection failed ({type(error).__name__})"
    if transmission.cancelled:
        return CallFailure(FailureKind.CANCELLED, executed, "the attempt was cancelled")
    if isinstance(error, NotPermittedError):
        # NOT_SENT would count as a failure of the upstream.
        return CallFailure(FailureKind.CANCELLED, executed, str(error))
    if not transmission.sent:
        return CallFailure(FailureKind.NOT_SENT, executed, detail)
    timeouts = (urllib3.exceptions.TimeoutError, TimeoutError)
    if isinstance(error, timeouts) or transmission.expired:
        return CallFailure(FailureKind.TIMED_OUT, executed, "no whole answer within the deadline")
    return CallFailure(FailureKind.BROKEN, executed, detail)


def parse_load(header: str | None) -> Mapping[str, float]:
    """Return the load values of an ``X-Load`` header, which is a JSON object of numbers.

    A missing or malformed header gives an empty mapping.
    """
    if not header:
        return {}
    try:
        return decode_json("load", header.encode(), _load_decoder.decode)
    except (UnreadableValue, UnicodeError):
        return {}


def _read_body(exchange: OpenExchange) -> bytes:
    body = bytearray()
    try:
        while block := read_block(exchange):
            exchange.buffer.add(len(block))
            body += block
    except BudgetExceeded as error:
        raise MalformedAnswerError(f"no memory for the answer: {error}") from None
    exchange.buffer.finish()
    return bytes(body)


def read_block(exchange: OpenExchange) -> bytes:
    """Return the next bytes of the answer body, or b"" at its end.

    Raises TimeoutError once the deadline has passed, and ConnectionAbortedError if the exchange was
    cancelled: the end of the body may then be this node's end of the connection.
    """
    if exchange.response.closed:
        return b""  # the connection may already serve another request
    if exchange.transmission.expired:
        raise TimeoutError("the deadline has passed")
    exchange.transmission.set_read_timeout()
    block = exchange.response.read1(_READ_BYTES)
    assert isinstance(block, bytes)
    if not block and exchange.transmission.cancelled:
        raise ConnectionAbortedError("the attempt was cancelled")
    return block
