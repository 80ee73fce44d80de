"""One attempt of a request at one upstream: sends it and brings back a whole answer or a stream."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

import urllib3

from chervilrack._internal.balancing.state import UpstreamChoice
from chervilrack._internal.catalogue.state import RequestKind, UpstreamEntry
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import Dialect, ForwardedMetadata, ResponseMetadata
from chervilrack._internal.forwarding.messages import Responder
from chervilrack._internal.forwarding.stages import StageRun
from chervilrack._internal.forwarding.streams import StreamRelay
from chervilrack._internal.upstreams.exchange import Exchange, ExchangeFailed

# Statuses that promise that a request was not run; an upstream's own need its statement.
PROMISES = frozenset((408, 421, 429, 503))
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)
# An upstream fetches the inputs of a request before it reads the prompt, over links of 10 Gbit/s.
INPUT_READ_TIME = timedelta(milliseconds=60)
# Time-outs of sockets are rounded and may end this long before the deadline.
DEADLINE_SLACK = timedelta(milliseconds=20)


class Verdict(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    INPUT_GONE = "input gone"
    FAILED = "failed"
    CUT_OFF = "cut off"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of one attempt.

    ``arrived`` tells whether the upstream may have seen the request. ``answer`` is the upstream's
    own failure, which is passed on if nothing better comes.
    """

    verdict: Verdict
    detail: str
    status: int = 0
    arrived: bool = False
    answer: tuple[int, list[tuple[str, str]], bytes] | None = None


class AttemptObserver(Protocol):
    """Learns from attempts; safe for use by threads."""

    def attempt_started(
        self, context: RequestContext, entry: UpstreamEntry, choice: UpstreamChoice
    ) -> None:
        """Count an attempt as in flight."""

    def first_byte_received(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Note that the upstream has begun to answer."""

    def attempt_ended(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Count an attempt as over."""

    def attempt_succeeded(self, entry: UpstreamEntry) -> None:
        """Record a good answer."""

    def attempt_failed(self, entry: UpstreamEntry, reason: str, certain: bool) -> None:
        """Record a failure of the upstream."""

    def error_response_received(self, entry: UpstreamEntry) -> None:
        """Record an answer that is a failure of the upstream's own."""

    def attempt_misdirected(self, entry: UpstreamEntry) -> None:
        """Note that another upstream holds the address."""

    def first_byte_timeout(self, context: RequestContext, choice: UpstreamChoice) -> timedelta:
        """Return how long to wait for the first byte before another upstream is better."""

    def is_overdue(
        self, context: RequestContext, choice: UpstreamChoice, waited: timedelta
    ) -> bool:
        """Whether an upstream without an answer after ``waited`` is slower than it should be."""

    def can_retry(self, context: RequestContext) -> bool:
        """Whether another upstream could take the request after this one."""


class AttemptRunner:
    """Runs attempts over HTTP."""

    def __init__(self, dialect: Dialect, observer: AttemptObserver, clock: Clock) -> None:
        self._dialect = dialect
        self._observer = observer
        self._clock = clock

    def run(
        self,
        context: RequestContext,
        responder: Responder,
        entry: UpstreamEntry,
        choice: UpstreamChoice,
        inputs: Sequence[str],
        stages: StageRun | None,
    ) -> AttemptEnd:
        """Send the request to ``entry`` and answer the caller if that succeeds."""
        relay = StreamRelay(context, responder)
        self._observer.attempt_started(context, entry, choice)
        try:
            with Exchange(entry.address) as exchange:
                context.on_gone(exchange.cancel)
                try:
                    return self._exchange(
                        context, relay, responder, entry, choice, inputs, exchange, stages
                    )
                finally:
                    context.off_gone(exchange.cancel)
        finally:
            self._observer.attempt_ended(context, entry)

    def _exchange(
        self,
        context: RequestContext,
        relay: StreamRelay,
        responder: Responder,
        entry: UpstreamEntry,
        choice: UpstreamChoice,
        inputs: Sequence[str],
        exchange: Exchange,
        stages: StageRun | None,
    ) -> AttemptEnd:
        started = self._clock.monotonic()
        try:
            response = self._send(context, entry, choice, inputs, exchange, stages)
        except ExchangeFailed as error:
            now = self._clock.monotonic()
            blamed = context.time_left(now) > DEADLINE_SLACK or self._observer.is_overdue(
                context, choice, now - started
            )
            return self._failed(context, entry, error, blamed=blamed)
        headers = response.headers
        answer = self._dialect.read_response(response.status, headers)
        if answer.request_id not in (None, context.metadata.request_id):
            self._observer.attempt_failed(entry, "an answer to another request", certain=False)
            context.executions += 1
            return AttemptEnd(Verdict.FAILED, "an answer to another request", arrived=True)
        if answer.not_executed:
            return self._not_run(entry, response.status, answer)
        context.executions += 1
        if stages is not None:
            stages.answered()
        self._observer.first_byte_received(context, entry)
        if 200 <= response.status < 300:
            return self._success(
                context, relay, responder, entry, exchange, response, answer.signed
            )
        return self._upstream_failure(context, entry, exchange, response)

    def _send(
        self,
        context: RequestContext,
        entry: UpstreamEntry,
        choice: UpstreamChoice,
        inputs: Sequence[str],
        exchange: Exchange,
        stages: StageRun | None,
    ) -> urllib3.BaseHTTPResponse:
        request = context.request
        left = context.time_left(self._clock.monotonic())
        forwarded = ForwardedMetadata(
            deadline=left,
            target=entry.id,
            organisation=context.organisation,
            urgency=min(9, 3 + 2 * context.priority) if context.load.prompt_tokens else None,
            inputs=tuple(inputs),
            last_event=context.last_event,
        )
        headers = self._dialect.request_headers(request.headers, forwarded)
        exchange.send(request.method, request.target, headers, request.body, left.total_seconds())
        context.arrivals += 1
        patience = self._observer.first_byte_timeout(context, choice)
        if not self._answers_within(exchange, patience, stages) and self._observer.can_retry(
            context
        ):
            raise ExchangeFailed(f"silent for {patience.total_seconds():.2f} s", sent=True)
        left = context.time_left(self._clock.monotonic())
        return exchange.read_head(left.total_seconds())

    def _answers_within(
        self, exchange: Exchange, patience: timedelta, stages: StageRun | None
    ) -> bool:
        if stages is None:
            return exchange.wait_readable(patience.total_seconds())
        first_wait = min(patience, INPUT_READ_TIME)
        if exchange.wait_readable(first_wait.total_seconds()):
            return True
        stages.inputs_read()
        return exchange.wait_readable((patience - first_wait).total_seconds())

    def _failed(
        self, context: RequestContext, entry: UpstreamEntry, error: ExchangeFailed, *, blamed: bool
    ) -> AttemptEnd:
        """Classify a failure; one that only the request's short deadline made is not blamed."""
        if context.gone:
            return AttemptEnd(Verdict.CUT_OFF, "the caller left", arrived=error.sent)
        if blamed:
            self._observer.attempt_failed(entry, error.detail, certain=error.unreachable)
        if not error.sent:
            return AttemptEnd(Verdict.NOT_RUN, error.detail)
        context.executions += 1
        return AttemptEnd(Verdict.FAILED, error.detail, arrived=True)

    def _not_run(self, entry: UpstreamEntry, status: int, answer: ResponseMetadata) -> AttemptEnd:
        if answer.misdirected:
            self._observer.attempt_misdirected(entry)
        elif answer.inputs_gone:
            return AttemptEnd(Verdict.INPUT_GONE, "a stage result is gone", arrived=True)
        elif status >= 500:
            self._observer.attempt_failed(entry, f"rejected with {status}", certain=False)
        return AttemptEnd(Verdict.NOT_RUN, f"rejected with {status}", status, arrived=True)

    def _success(
        self,
        context: RequestContext,
        relay: StreamRelay,
        responder: Responder,
        entry: UpstreamEntry,
        exchange: Exchange,
        response: urllib3.BaseHTTPResponse,
        signed: bool,
    ) -> AttemptEnd:
        if not signed or "Content-Encoding" in response.headers:
            self._observer.attempt_failed(entry, "an answer without signature", certain=False)
            return AttemptEnd(Verdict.FAILED, "an answer without signature", arrived=True)
        headers = passed_headers(response.headers)
        deadline = context.deadline.total_seconds()
        try:
            if context.route.kind is RequestKind.STREAM:
                relay.run(response.status, headers, exchange, deadline)
            else:
                body = exchange.read_body(deadline)
                responder.send_response(response.status, headers, body)
        except ExchangeFailed as error:
            if context.gone:
                return AttemptEnd(Verdict.CUT_OFF, "the caller left", arrived=True)
            self._observer.attempt_failed(entry, error.detail, certain=False)
            return AttemptEnd(Verdict.FAILED, error.detail, arrived=True)
        self._observer.attempt_succeeded(entry)
        return AttemptEnd(Verdict.ANSWERED, f"by {entry.id}", response.status, arrived=True)

    def _upstream_failure(
        self,
        context: RequestContext,
        entry: UpstreamEntry,
        exchange: Exchange,
        response: urllib3.BaseHTTPResponse,
    ) -> AttemptEnd:
        detail = f"the upstream answered {response.status}"
        if response.status >= 500:
            self._observer.error_response_received(entry)
        try:
            body = exchange.read_body(context.deadline.total_seconds())
        except ExchangeFailed as error:
            return AttemptEnd(Verdict.FAILED, error.detail, response.status, arrived=True)
        answer = None
        if response.status not in PROMISES:
            answer = (response.status, passed_headers(response.headers), body)
        return AttemptEnd(Verdict.FAILED, detail, response.status, arrived=True, answer=answer)


def passed_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the fields of an answer without those that concern one connection."""
    return [(name, value) for name, value in headers.items() if name.lower() not in HOP_BY_HOP]
