"""Callers: send one request, read its answer or stream, retry where that is safe, measure."""

import itertools
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import msgspec
import urllib3

from chervilrack._internal.common.results import Executed, ResultCode
from chervilrack._internal.experiments.arrivals import Arrival
from chervilrack._internal.experiments.lookup import EndpointCache, NoEndpointError
from chervilrack._internal.experiments.verification import (
    generated_answer_fits,
    request_body,
    service_answer_fits,
    text_fits,
)
from chervilrack._internal.history.events import (
    RequestAnswered,
    RequestFailed,
    RequestRefused,
    RequestSent,
)
from chervilrack._internal.history.recorder import EventSink

# A caller that gets no answer waits this much longer than the deadline, so that an answer that is
# late can be told from one that never comes.
GRACE_S = 1.0
MAX_ATTEMPTS = 4
# A caller without a Retry-After waits this long, so that it does not ask faster than nodes can
# learn about each other.
RETRY_PAUSE_S = 0.05
_CONNECT_TIMEOUT_S = 1.0
_READ_BYTES = 65536


class Outcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    LATE = "late"
    REFUSED_NOT_EXECUTED = "refused_not_executed"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Refusal(msgspec.Struct, frozen=True):
    """One attempt that a node refused, and the time from sending to the refusal."""

    code: int
    executed: Executed
    seconds: float


class Break(msgspec.Struct, frozen=True):
    """Connection that a node ended while it had a request on it."""

    address: str
    at: float


class CallRecord(msgspec.Struct, frozen=True):
    """One finished request. Times are of ``CLOCK_MONOTONIC`` in seconds.

    Durations count from ``intended_at``, the time at which the open-loop load wanted to send the
    request, so that a load generator or system that falls behind does not hide waiting time.
    ``hung`` means that a node kept the connection open and never answered.
    """

    request: str
    organisation: str
    target: str
    kind: str
    intended_at: float
    started_at: float
    ended_at: float
    outcome: Outcome
    attempts: int = 0
    first_token_s: float | None = None
    between_tokens_s: tuple[float, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    addresses: tuple[str, ...] = ()
    breaks: tuple[Break, ...] = ()
    hung: bool = False
    detail: str = ""


class _Problem(msgspec.Struct):
    code: int
    detail: str = ""
    executed: Executed = Executed.UNKNOWN


class _Chunk(msgspec.Struct):
    offset: int
    text: str
    tokens: int


@dataclass(slots=True)
class _Attempt:
    """Result of one attempt at one node."""

    answered: bool = False
    fits: bool = False
    problem: _Problem | None = None
    broken: str = ""
    hung: bool = False
    cut: bool = False
    served_as: str | None = None
    retry_after: float = RETRY_PAUSE_S
    sent_at: float = 0.0
    token_times: list[float] = field(default_factory=list)


class Caller:
    """One caller of an organisation in a zone, with its own look-up cache.

    ``latency_s`` is the one-way latency between clients and nodes; it is added to each request
    and to the times at which answers and tokens arrive.
    """

    def __init__(
        self,
        pool: urllib3.PoolManager,
        endpoints: EndpointCache,
        key: str,
        latency_s: float,
        deadline_s: float,
        history: EventSink,
    ) -> None:
        self._pool = pool
        self._endpoints = endpoints
        self._key = key
        self._latency_s = latency_s
        self._deadline_s = deadline_s
        self._history = history

    def run(self, arrival: Arrival, intended_at: float) -> CallRecord:
        """Send a request until it is answered, refused for good, or out of time."""
        started_at = time.monotonic()
        deadline = intended_at + self._deadline_s
        self._history.record(
            RequestSent(
                at=started_at,
                request=arrival.request,
                organisation=arrival.organisation,
                target=arrival.target,
                content=f"answer to {arrival.request}",
                idempotency_key=arrival.idempotency_key,
            )
        )
        refusals: list[Refusal] = []
        breaks: list[Break] = []
        addresses: list[str] = []
        attempt = _Attempt()
        uncertain = False
        for number in range(MAX_ATTEMPTS):
            address = self._address(arrival, number, addresses)
            if address is None:
                attempt = _Attempt(broken="no node answers the endpoint look-up")
                self._note_failure(arrival, attempt, final=True)
                break
            addresses.append(address)
            attempt = self._attempt(arrival, address, deadline)
            now = time.monotonic() + self._latency_s
            if attempt.answered:
                break
            if attempt.problem is not None:
                seconds = now - attempt.sent_at
                refusals.append(Refusal(attempt.problem.code, attempt.problem.executed, seconds))
            if attempt.cut:
                breaks.append(Break(address, now - self._latency_s))
            last = number == MAX_ATTEMPTS - 1 or not self._may_retry(arrival, attempt, deadline)
            self._note_failure(arrival, attempt, final=last)
            if last:
                break
            uncertain |= attempt.problem is None or attempt.problem.executed is not Executed.NO
            self._endpoints.forget(address)
            time.sleep(attempt.retry_after)
        ended_at = time.monotonic() + self._latency_s
        if attempt.answered:
            self._note_answer(arrival, attempt, ended_at)
        times = attempt.token_times
        return CallRecord(
            request=arrival.request,
            organisation=arrival.organisation,
            target=arrival.target,
            kind=arrival.kind,
            intended_at=intended_at,
            started_at=started_at,
            ended_at=ended_at,
            outcome=_outcome(arrival, attempt, uncertain, ended_at <= deadline),
            attempts=len(addresses),
            first_token_s=times[0] - intended_at if times else None,
            between_tokens_s=tuple(b - a for a, b in itertools.pairwise(times)),
            refusals=tuple(refusals),
            addresses=tuple(addresses),
            breaks=tuple(breaks),
            hung=attempt.hung,
            detail=attempt.broken or (attempt.problem.detail if attempt.problem else ""),
        )

    def _address(self, arrival: Arrival, number: int, tried: list[str]) -> str | None:
        try:
            known = self._endpoints.addresses()
        except NoEndpointError:
            return None
        if arrival.pinned and number == 0:
            return min(known)
        fresh = [address for address in known if address not in tried]
        return fresh[0] if fresh else known[number % len(known)]

    def _may_retry(self, arrival: Arrival, attempt: _Attempt, deadline: float) -> bool:
        if time.monotonic() + attempt.retry_after + 2 * self._latency_s >= deadline:
            return False
        if attempt.problem is not None:
            code = _code(attempt.problem.code)
            if code is ResultCode.ORDER_IN_PROGRESS:
                return True
            not_executed = attempt.problem.executed is Executed.NO
            return not_executed and code is not None and code.retryable
        # A broken connection says nothing about the order, but its key makes a repetition safe;
        # the requests without a key are idempotent.
        return not attempt.hung

    def _attempt(self, arrival: Arrival, address: str, deadline: float) -> _Attempt:
        attempt = _Attempt(sent_at=time.monotonic())
        time.sleep(self._latency_s)
        remaining = deadline - time.monotonic() - self._latency_s
        if remaining <= 0.001:
            attempt.broken = "the deadline passed before the request was sent"
            return attempt
        headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
            "Deadline-Ms": str(max(1, int(remaining * 1000))),
        }
        if arrival.idempotency_key is not None:
            headers["Idempotency-Key"] = arrival.idempotency_key
        path = (
            f"/v1/pipelines/{arrival.pipeline}"
            if arrival.pipeline is not None
            else f"/v1/services/{arrival.service}/{arrival.operation}"
        )
        response: urllib3.BaseHTTPResponse | None = None
        try:
            response = self._pool.request(
                "POST",
                f"{address}{path}",
                body=msgspec.json.encode(request_body(arrival)),
                headers=headers,
                preload_content=False,
                retries=False,
                timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=remaining + GRACE_S),
            )
            attempt.served_as = response.headers.get("X-Request-Id")
            if response.status == 200 and arrival.stream:
                self._read_stream(arrival, response, attempt, deadline)
            else:
                self._read_whole(arrival, response, attempt)
        except urllib3.exceptions.ReadTimeoutError:
            attempt.broken, attempt.hung = "no answer within deadline and grace", True
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            attempt.broken = f"{type(error).__name__}: {error}"
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, OSError) as error:
            attempt.cut = True
            attempt.broken = f"{type(error).__name__}: {error}"
        finally:
            if response is not None:
                _give_back(response, whole=attempt.answered or attempt.problem is not None)
        return attempt

    def _read_whole(
        self, arrival: Arrival, response: urllib3.BaseHTTPResponse, attempt: _Attempt
    ) -> None:
        content = response.read()
        if response.status != 200:
            attempt.problem = msgspec.json.decode(content, type=_Problem)
            # Whole seconds are coarse against a deadline of 6 s; a node that names 0 means "soon".
            named = response.headers.get("Retry-After")
            attempt.retry_after = max(RETRY_PAUSE_S, float(named or 0))
            return
        answer = msgspec.json.decode(content)
        attempt.answered = True
        if arrival.pipeline is None:
            attempt.fits = service_answer_fits(arrival, answer)
        else:
            attempt.fits = generated_answer_fits(arrival, answer, attempt.served_as or "")

    def _read_stream(
        self,
        arrival: Arrival,
        response: urllib3.BaseHTTPResponse,
        attempt: _Attempt,
        deadline: float,
    ) -> None:
        expected_offset, texts, contiguous = 0, [], True
        for event, data in _events(response):
            if time.monotonic() > deadline + GRACE_S:
                attempt.broken = "the stream went on after deadline and grace"
                return
            if event == "problem":
                attempt.problem = msgspec.json.decode(data, type=_Problem)
                return
            chunk = msgspec.json.decode(data, type=_Chunk)
            attempt.token_times.append(time.monotonic() + self._latency_s)
            contiguous = contiguous and chunk.offset == expected_offset
            expected_offset = chunk.offset + chunk.tokens
            texts.append(chunk.text)
            if event == "done":
                attempt.answered = True
                attempt.fits = contiguous and text_fits(
                    arrival, "".join(texts), attempt.served_as or ""
                )
                return
        attempt.cut = True
        attempt.broken = "the stream ended before its final token"

    def _note_answer(self, arrival: Arrival, attempt: _Attempt, at: float) -> None:
        content = f"answer to {arrival.request}" if attempt.fits else "an answer that does not fit"
        self._history.record(
            RequestAnswered(
                at=at,
                request=arrival.request,
                organisation=arrival.organisation,
                content=content,
                served_as=attempt.served_as,  # type: ignore[arg-type]
            )
        )

    def _note_failure(self, arrival: Arrival, attempt: _Attempt, *, final: bool) -> None:
        at = time.monotonic() + self._latency_s
        if attempt.problem is None:
            self._history.record(
                RequestFailed(at=at, request=arrival.request, reason=attempt.broken, final=final)
            )
            return
        self._history.record(
            RequestRefused(
                at=at,
                request=arrival.request,
                executed=attempt.problem.executed,
                code=str(attempt.problem.code),
                served_as=attempt.served_as,  # type: ignore[arg-type]
                final=final,
            )
        )


def _outcome(arrival: Arrival, attempt: _Attempt, uncertain: bool, in_time: bool) -> Outcome:
    """Classify the end of a request.

    ``uncertain`` means that an earlier attempt may have run. A pipeline has no lasting effect, so
    without an answer it has failed; an order may have run, so its outcome is unknown.
    """
    may_have_run = Outcome.FAILED if arrival.idempotency_key is None else Outcome.UNKNOWN
    if attempt.answered:
        if not attempt.fits:
            return Outcome.FAILED
        return Outcome.ANSWERED if in_time else Outcome.LATE
    problem = attempt.problem
    if problem is None:
        return may_have_run
    if problem.executed is Executed.NO:
        return may_have_run if uncertain else Outcome.REFUSED_NOT_EXECUTED
    if _code(problem.code) is ResultCode.DEADLINE_PASSED and arrival.idempotency_key is None:
        return Outcome.LATE
    return Outcome.UNKNOWN if problem.executed is Executed.UNKNOWN else Outcome.FAILED


def _code(number: int) -> ResultCode | None:
    return next((code for code in ResultCode if code.number == number), None)


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[tuple[str, bytes]]:
    """Yield name and data of the server-sent events of a response."""
    pending = b""
    while part := response.read1(_READ_BYTES):
        pending += part
        *blocks, pending = pending.split(b"\n\n")
        for block in blocks:
            fields = dict(line.partition(b": ")[::2] for line in block.split(b"\n"))
            if b"data" in fields:
                yield fields.get(b"event", b"message").decode(), fields[b"data"]


def _give_back(response: urllib3.BaseHTTPResponse, *, whole: bool) -> None:
    """Return a connection to its pool if its answer was read to the end, else close it."""
    if whole and not response.closed:
        # The last chunk of a stream follows its final event; reading it frees the connection.
        try:
            response.drain_conn()
        except (urllib3.exceptions.HTTPError, OSError):
            response.close()
    if not whole:
        response.close()
    response.release_conn()
