"""Runs one attempt of a request at one upstream, and relays a successful response to the caller."""

import contextlib
import functools
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

import urllib3

from chervilrack._internal.balancing.state import UpstreamChoice
from chervilrack._internal.catalogue.state import RequestKind, UpstreamEntry, UpstreamIncarnation
from chervilrack._internal.common.byte_budget import ByteBudget
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.forecast.state import StreamSize
from chervilrack._internal.forwarding.bounds import Bound
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import Dialect, ForwardedMetadata, ResponseMetadata
from chervilrack._internal.forwarding.messages import CallerGone, Responder
from chervilrack._internal.forwarding.open_attempts import OpenAttempt, may_keep
from chervilrack._internal.forwarding.stages import StageRun
from chervilrack._internal.forwarding.streams import StreamRelay
from chervilrack._internal.upstreams.exchange import (
    Exchange,
    ExchangeFailed,
    TimeLimit,
    first_readable,
)

logger = logging.getLogger(__name__)

# Statuses that tell the caller that its request was not executed. An upstream that executed the
# request may use them, too: its response with one of them is therefore not relayed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Hop-by-hop header fields, and the length, which is set anew for each connection.
HOP_BY_HOP_HEADERS = frozenset(
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
# An upstream fetches the inputs of a request over links of 10 Gbit/s before it reads the prompt.
INPUT_READ_TIME = timedelta(milliseconds=60)
# Bounds by the time limit of an exchange; the bound behind DEADLINE is that of the request.
_BOUNDS: Mapping[TimeLimit, Bound] = {
    TimeLimit.CONNECT: Bound.CONNECT,
    TimeLimit.FIRST_BYTE: Bound.FIRST_BYTE,
    TimeLimit.PROGRESS: Bound.EVENT_GAP,
}
# Error responses are kept while the request is tried elsewhere, apart from the memory for answers.
MAX_ERROR_BODY_BYTES = 256 * 1024
# Socket timeouts are rounded and may expire this long before the deadline.
DEADLINE_TOLERANCE = timedelta(milliseconds=20)


class UpstreamBarred(ChervilrackError):
    """The upstream has said, before the request was sent to it, that it wants nothing new."""


class KeptAnswered(ChervilrackError):
    """An earlier attempt has answered the request while a later one went on.

    ``attempt`` is to be closed once its answer is delivered.
    """

    def __init__(self, result: "AttemptResult", attempt: OpenAttempt) -> None:
        super().__init__(f"{attempt.entry.id} has answered")
        self.result = result
        self.attempt = attempt


class AttemptOutcome(Enum):
    """How an attempt ended.

    With ``NOT_RUN`` and ``INPUT_GONE`` the upstream has not executed the request; ``INPUT_GONE``
    means that it did not find a stage result. ``CUT_OFF`` means that the caller left.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    INPUT_GONE = "input gone"
    FAILED = "failed"
    CUT_OFF = "cut off"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt.

    ``may_have_arrived`` is whether the upstream may have received the request. ``error_response``
    is the upstream's error response, which the caller gets if no other attempt succeeds. ``bound``
    is the bound that ended the attempt, None if the upstream or the caller ended it. ``broke_off``
    is whether the upstream ended the connection before the end of its answer. ``deliver`` sends the
    rest of a whole answer to the caller, which may read it slowly.
    """

    outcome: AttemptOutcome
    detail: str
    status: int = 0
    may_have_arrived: bool = False
    error_response: tuple[int, list[tuple[str, str]], bytes] | None = None
    bound: Bound | None = None
    broke_off: bool = False
    deliver: Callable[[], None] | None = None


class AttemptObserver(Protocol):
    """Is told of the course of attempts, and sets their timeouts; methods are thread-safe."""

    def attempt_started(
        self, context: RequestContext, entry: UpstreamEntry, choice: UpstreamChoice
    ) -> None:
        """Count an attempt as in flight."""

    def may_send(self, upstream: UpstreamIncarnation) -> bool:
        """Whether an upstream may get anything new."""

    def answer_received(self, upstream: UpstreamIncarnation, metadata: ResponseMetadata) -> None:
        """Record what the upstream says of itself in the head of its response."""

    def first_byte_received(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Record that the upstream has begun its response."""

    def stream_ended(self, context: RequestContext, size: StreamSize, took: timedelta) -> None:
        """Record how long a stream took from its first event to its end or its deadline."""

    def attempt_ended(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Count an attempt as no longer in flight."""

    def attempt_succeeded(self, entry: UpstreamEntry) -> None:
        """Record a successful response."""

    def attempt_failed(self, entry: UpstreamEntry, reason: str, certain: bool) -> None:
        """Record a failure of the upstream; ``certain`` ones show that it is unreachable."""

    def answer_begun(self, context: RequestContext) -> None:
        """Record that the upstream has gone on after the start of its answer."""

    def answer_ended(self, context: RequestContext) -> None:
        """Record a whole, successful answer."""

    def answer_broke_off(
        self, context: RequestContext, entry: UpstreamEntry, *, at_start: bool
    ) -> None:
        """Record that the upstream has broken off its answer, ``at_start`` before any event."""

    def error_response_received(self, entry: UpstreamEntry) -> None:
        """Record a response that reports an error of the upstream itself."""

    def attempt_misdirected(self, entry: UpstreamEntry) -> None:
        """Record that another upstream has the address of ``entry``."""

    def upstream_heard(self, entry: UpstreamEntry) -> None:
        """Record that bytes have arrived from the upstream."""

    def attempt_silent(self, entry: UpstreamEntry, since: timedelta, reason: str) -> None:
        """Record that the attempt has waited since ``since`` in vain."""

    def first_byte_timeout(self, context: RequestContext, choice: UpstreamChoice) -> timedelta:
        """Return the time to wait for the first byte before ``time_to_stay`` is asked."""

    def time_to_stay(
        self, context: RequestContext, choice: UpstreamChoice, started: timedelta
    ) -> timedelta | None:
        """Return how much longer to wait for the first byte of an attempt begun at ``started``.

        Zero means that the request is to be tried elsewhere, None that it cannot be.
        """

    def may_reconnect(self, context: RequestContext, started: timedelta) -> bool:
        """Whether to go on connecting to the upstream of an attempt begun at ``started``."""

    def should_move_stream(
        self, context: RequestContext, entry: UpstreamEntry, restart_time: timedelta
    ) -> bool:
        """Whether a stalled stream should be continued elsewhere, after ``restart_time``.

        ``restart_time`` is the time that its stages need to run again, zero if they need not.
        """

    def stream_gap(self, max_gap: timedelta | None) -> timedelta:
        """Return the time without an event after which a stream may be continued elsewhere."""

    def is_overdue(
        self, context: RequestContext, choice: UpstreamChoice, waited: timedelta
    ) -> bool:
        """Whether an upstream that hasn't responded after ``waited`` is slower than expected."""

    def can_retry(self, context: RequestContext, executions: int) -> bool:
        """Whether the request may be tried elsewhere after ``executions`` possible executions."""


class AttemptRunner:
    """Runs attempts over HTTP, and reports their course to an observer."""

    def __init__(
        self,
        dialect: Dialect,
        observer: AttemptObserver,
        clock: Clock,
        memory: ByteBudget | None = None,
    ) -> None:
        self._memory = memory
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
    ) -> AttemptResult:
        """Send the request to ``entry``, and relay a successful response to the caller."""
        relay = StreamRelay(
            context,
            responder,
            lambda: self._should_move(context, entry, stages),
            self._observer.stream_gap(context.route.max_gap),
            lambda: self._observer.upstream_heard(entry),
            lambda: self._observer.answer_begun(context),
        )
        exchange = Exchange(entry.address, self._memory)
        with contextlib.ExitStack() as opened:
            attempt = opened.enter_context(
                OpenAttempt(context, entry, choice, exchange, self._observer)
            )
            try:
                result = self._exchange(context, relay, responder, attempt, inputs, stages)
            except CallerGone:
                raise
            except KeptAnswered as answered:
                opened.callback(answered.attempt.close)
                answered.attempt.end()
                context.executions += 1
                result = answered.result
            except Exception as error:
                if exchange.sent:
                    raise
                return self._handle_unusable_entry(entry, error)
            if context.kept is attempt:
                opened.pop_all()
                return result
            attempt.end()
            if result.deliver is not None:
                # The memory of the answer is reserved until then.
                result.deliver()
        if result.broke_off:
            at_start = not relay.has_events
            self._observer.answer_broke_off(context, entry, at_start=at_start)
        return result

    def await_kept(self, context: RequestContext, responder: Responder) -> AttemptResult | None:
        """Wait for the answer of the attempt that was kept, if any, and send it to the caller.

        Returns None if it does not answer the request.
        """
        kept = context.kept
        if kept is None:
            return None
        left = context.time_left(self._clock.monotonic())
        if not kept.exchange.wait_readable(left.total_seconds()):
            return None
        try:
            self._finish_kept(context, responder, kept)
        except KeptAnswered as answered:
            with contextlib.closing(answered.attempt):
                answered.attempt.end()
                if answered.result.deliver is not None:
                    answered.result.deliver()
            return answered.result
        return None

    def drop_kept(self, context: RequestContext) -> None:
        """Close the attempt that was kept, if any."""
        kept, context.kept = context.kept, None
        if kept is not None:
            kept.close()

    def _finish_kept(
        self, context: RequestContext, responder: Responder, kept: OpenAttempt
    ) -> None:
        """Read the answer of a kept attempt, and close it unless it answers the request.

        Raises KeptAnswered if it does.
        """
        try:
            result = self._read_kept(context, responder, kept)
        except ExchangeFailed as error:
            result = AttemptResult(AttemptOutcome.FAILED, error.detail, may_have_arrived=True)
        except BaseException:
            self.drop_kept(context)
            raise
        context.step(f"{kept.entry.id} was kept: {result.outcome.value}: {result.detail}")
        if result.outcome is not AttemptOutcome.ANSWERED:
            self.drop_kept(context)
            return
        context.kept = None
        raise KeptAnswered(result, kept)

    def _read_kept(
        self, context: RequestContext, responder: Responder, kept: OpenAttempt
    ) -> AttemptResult:
        response = self._read_head(context, kept)
        self._observer.upstream_heard(kept.entry)
        metadata = self._dialect.read_response(response.status, response.headers)
        if metadata.request_id not in (None, context.metadata.request_id):
            return AttemptResult(AttemptOutcome.FAILED, "an answer to another request")
        self._observer.answer_received(kept.entry.incarnation, metadata)
        if metadata.not_executed or not 200 <= response.status < 300:
            return AttemptResult(AttemptOutcome.FAILED, f"answered {response.status}")
        self._observer.first_byte_received(context, kept.entry)
        return self._handle_success(
            context, None, responder, kept.entry, kept.exchange, response, metadata.signed
        )

    def _handle_unusable_entry(self, entry: UpstreamEntry, error: Exception) -> AttemptResult:
        """Return the result of an attempt for which no request could be made of an entry."""
        detail = f"no request can be made for it ({type(error).__name__})"
        logger.error("forwarding: %s: %s", entry.id, detail, exc_info=error)
        self._observer.attempt_failed(entry, detail, certain=True)
        return AttemptResult(AttemptOutcome.NOT_RUN, detail)

    def _should_move(
        self, context: RequestContext, entry: UpstreamEntry, stages: StageRun | None
    ) -> bool:
        """Whether a stalled stream should be continued at another upstream now."""
        restart_time = timedelta(0)
        if stages is not None and stages.needs_restart:
            restart_time = stages.restart_time
        return self._observer.should_move_stream(context, entry, restart_time)

    def _exchange(
        self,
        context: RequestContext,
        relay: StreamRelay,
        responder: Responder,
        attempt: OpenAttempt,
        inputs: Sequence[str],
        stages: StageRun | None,
    ) -> AttemptResult:
        entry, choice, exchange = attempt.entry, attempt.choice, attempt.exchange
        started = self._clock.monotonic()
        try:
            self._send(context, attempt, inputs, stages, started)
            self._await_answer(context, responder, attempt, stages, started)
            response = self._read_head(context, attempt)
        except UpstreamBarred as error:
            return AttemptResult(AttemptOutcome.NOT_RUN, str(error))
        except ExchangeFailed as error:
            now = self._clock.monotonic()
            left = context.time_left(now)
            is_upstream_fault = left > DEADLINE_TOLERANCE or self._observer.is_overdue(
                context, choice, now - started
            )
            if error.limit is TimeLimit.FIRST_BYTE and may_keep(context):
                context.kept = attempt
            return self._handle_exchange_failure(
                context, entry, error, started, is_upstream_fault=is_upstream_fault
            )
        self._observer.upstream_heard(entry)
        headers = response.headers
        metadata = self._dialect.read_response(response.status, headers)
        if metadata.request_id not in (None, context.metadata.request_id):
            self._observer.attempt_failed(entry, "an answer to another request", certain=False)
            context.executions += 1
            return AttemptResult(
                AttemptOutcome.FAILED, "an answer to another request", may_have_arrived=True
            )
        self._observer.answer_received(entry.incarnation, metadata)
        if metadata.not_executed:
            return self._handle_not_executed(entry, response.status, metadata)
        context.executions += 1
        if stages is not None:
            stages.release_inputs()
        self._observer.first_byte_received(context, entry)
        if 200 <= response.status < 300:
            return self._handle_success(
                context, relay, responder, entry, exchange, response, metadata.signed
            )
        return self._handle_error_response(context, entry, exchange, response)

    def _send(
        self,
        context: RequestContext,
        attempt: OpenAttempt,
        inputs: Sequence[str],
        stages: StageRun | None,
        started: timedelta,
    ) -> None:
        """Connect to the upstream and write the request. Raises ExchangeFailed, UpstreamBarred."""
        request, entry, exchange = context.request, attempt.entry, attempt.exchange
        left = context.time_left(started)
        forwarded = ForwardedMetadata(
            deadline=left,
            target=entry.id,
            organisation=context.organisation,
            urgency=min(9, 3 + 2 * context.priority) if context.load.prompt_tokens else None,
            inputs=tuple(inputs),
            last_event=context.events.last_id,
        )
        headers = self._dialect.request_headers(request.headers, forwarded)
        self._connect(context, entry, exchange, started)
        try:
            self._write(context, exchange, headers)
        finally:
            # Also if the write fails: the upstream may have got the request.
            if exchange.sent:
                context.sent_attempts += 1

    def _await_answer(
        self,
        context: RequestContext,
        responder: Responder,
        attempt: OpenAttempt,
        stages: StageRun | None,
        started: timedelta,
    ) -> None:
        """Wait until the upstream answers, or for as long as the request is to stay there.

        Raises ExchangeFailed if it is to be tried elsewhere, and KeptAnswered if the attempt that
        was kept has answered it.
        """
        exchange, choice = attempt.exchange, attempt.choice
        timeout = self._observer.first_byte_timeout(context, choice)
        if context.kept is None:
            begins = self._begins_within(exchange, timeout, stages)
        else:
            begins = self._begins_beside_kept(context, responder, exchange, timeout)
        while not begins:
            stay = self._observer.time_to_stay(context, choice, started)
            if stay is None and context.kept is None:
                return
            if stay is None:
                stay = context.time_left(self._clock.monotonic())
            if stay <= timedelta(0):
                waited = self._clock.monotonic() - started
                detail = f"silent for {waited.total_seconds():.2f} s"
                raise ExchangeFailed(detail, sent=True, limit=TimeLimit.FIRST_BYTE)
            begins = self._begins_beside_kept(context, responder, exchange, stay)

    def _begins_beside_kept(
        self, context: RequestContext, responder: Responder, exchange: Exchange, timeout: timedelta
    ) -> bool:
        """Whether the response begins within the timeout.

        Raises KeptAnswered if the attempt that was kept, if any, answers the request before it.
        """
        end = self._clock.monotonic() + timeout
        while context.kept is not None:
            left = end - self._clock.monotonic()
            pair = (exchange, context.kept.exchange)
            ready = first_readable(pair, left.total_seconds())
            if ready is None:
                return False
            if ready is exchange:
                return True
            self._finish_kept(context, responder, context.kept)
        return exchange.wait_readable((end - self._clock.monotonic()).total_seconds())

    def _read_head(self, context: RequestContext, attempt: OpenAttempt) -> urllib3.BaseHTTPResponse:
        left = context.time_left(self._clock.monotonic())
        incarnation = attempt.entry.incarnation

        def read_interim(status: int, fields: Mapping[str, str]) -> None:
            metadata = self._dialect.read_response(status, fields)
            if metadata.request_id in (None, context.metadata.request_id):
                self._observer.answer_received(incarnation, metadata)

        return attempt.exchange.read_head(left.total_seconds(), read_interim)

    def _connect(
        self,
        context: RequestContext,
        entry: UpstreamEntry,
        exchange: Exchange,
        started: timedelta,
    ) -> None:
        """Connect, and go on trying while no other upstream can take the request.

        Raises UpstreamBarred if the upstream has begun to leave or to pause since it was chosen.
        """
        while True:
            left = context.time_left(self._clock.monotonic()).total_seconds()
            try:
                exchange.connect(left)
            except ExchangeFailed as error:
                if not error.silent or not self._observer.may_reconnect(context, started):
                    raise
                self._check_bar(entry)
            else:
                self._check_bar(entry)
                return

    def _check_bar(self, entry: UpstreamEntry) -> None:
        if not self._observer.may_send(entry.incarnation):
            raise UpstreamBarred("not sent: the upstream leaves, wants a pause or is evacuated")

    def _write(
        self, context: RequestContext, exchange: Exchange, headers: Sequence[tuple[str, str]]
    ) -> None:
        request = context.request
        left = context.time_left(self._clock.monotonic()).total_seconds()
        exchange.send(request.method, request.target, headers, request.body, left)

    def _begins_within(
        self, exchange: Exchange, timeout: timedelta, stages: StageRun | None
    ) -> bool:
        """Whether the response begins within the timeout.

        After the time that reading the inputs takes, the inputs are marked as read.
        """
        if stages is None:
            return exchange.wait_readable(timeout.total_seconds())
        first_wait = min(timeout, INPUT_READ_TIME)
        if exchange.wait_readable(first_wait.total_seconds()):
            return True
        stages.mark_inputs_read()
        return exchange.wait_readable((timeout - first_wait).total_seconds())

    def _handle_exchange_failure(
        self,
        context: RequestContext,
        entry: UpstreamEntry,
        error: ExchangeFailed,
        started: timedelta,
        *,
        is_upstream_fault: bool,
    ) -> AttemptResult:
        """Return the result of an exchange that failed.

        ``is_upstream_fault`` is False if the exchange failed only because of the request's short
        deadline; such a failure doesn't count against the upstream.
        """
        if context.caller_gone:
            return AttemptResult(
                AttemptOutcome.CUT_OFF, "the caller left", may_have_arrived=error.sent
            )
        if is_upstream_fault and not (error.cancelled or context.node_stopping):
            self._record_failure(entry, error, started)
        bound = _bound(context, error)
        if not error.sent:
            return AttemptResult(AttemptOutcome.NOT_RUN, error.detail, bound=bound)
        context.executions += 1
        return AttemptResult(
            AttemptOutcome.FAILED,
            error.detail,
            may_have_arrived=True,
            bound=bound,
            broke_off=error.broke_off,
        )

    def _record_failure(
        self, entry: UpstreamEntry, error: ExchangeFailed, since: timedelta
    ) -> None:
        """Record a failed exchange; a silent one has waited since ``since``."""
        if error.silent:
            self._observer.attempt_silent(entry, since, error.detail)
        else:
            self._observer.attempt_failed(entry, error.detail, certain=error.unreachable)

    def _handle_not_executed(
        self, entry: UpstreamEntry, status: int, metadata: ResponseMetadata
    ) -> AttemptResult:
        """Return the result of an attempt that the upstream states it did not execute."""
        if metadata.misdirected:
            self._observer.attempt_misdirected(entry)
        elif metadata.inputs_gone:
            return AttemptResult(
                AttemptOutcome.INPUT_GONE, "a stage result is gone", may_have_arrived=True
            )
        elif status >= 500:
            self._observer.attempt_failed(entry, f"rejected with {status}", certain=False)
        return AttemptResult(
            AttemptOutcome.NOT_RUN, f"rejected with {status}", status, may_have_arrived=True
        )

    def _handle_success(
        self,
        context: RequestContext,
        relay: StreamRelay | None,
        responder: Responder,
        entry: UpstreamEntry,
        exchange: Exchange,
        response: urllib3.BaseHTTPResponse,
        signed: bool,
    ) -> AttemptResult:
        """Relay a successful response; one without a signature counts as a failure."""
        if not signed or "Content-Encoding" in response.headers:
            self._observer.attempt_failed(entry, "an answer without signature", certain=False)
            return AttemptResult(
                AttemptOutcome.FAILED, "an answer without signature", may_have_arrived=True
            )
        headers = end_to_end_headers(response.headers)
        deadline = context.deadline.total_seconds()
        begun = self._clock.monotonic()
        size = context.stream_size
        try:
            if relay is not None and context.route.kind is RequestKind.STREAM:
                relay.run(response.status, headers, exchange, deadline)
                deliver = relay.finish
                self._observer.stream_ended(context, size, self._clock.monotonic() - begun)
            else:
                body = exchange.read_body(deadline)
                status = response.status
                deliver = functools.partial(responder.send_response, status, headers, body)
        except ExchangeFailed as error:
            if context.caller_gone:
                return AttemptResult(
                    AttemptOutcome.CUT_OFF, "the caller left", may_have_arrived=True
                )
            bound = _bound(context, error)
            if not (error.cancelled or context.node_stopping):
                self._record_failure(entry, error, begun)
            if context.stream_begun and bound is context.deadline_bound:
                self._observer.stream_ended(context, size, self._clock.monotonic() - begun)
            return AttemptResult(
                AttemptOutcome.FAILED,
                error.detail,
                may_have_arrived=True,
                bound=bound,
                broke_off=error.broke_off,
            )
        self._observer.attempt_succeeded(entry)
        self._observer.answer_ended(context)
        return AttemptResult(
            AttemptOutcome.ANSWERED,
            f"by {entry.id}",
            response.status,
            may_have_arrived=True,
            deliver=deliver,
        )

    def _handle_error_response(
        self,
        context: RequestContext,
        entry: UpstreamEntry,
        exchange: Exchange,
        response: urllib3.BaseHTTPResponse,
    ) -> AttemptResult:
        """Return the result of an attempt with an error response, which may be relayed."""
        detail = f"the upstream answered {response.status}"
        if response.status >= 500:
            self._observer.error_response_received(entry)
        try:
            body = exchange.read_body(context.deadline.total_seconds())
            if len(body) > MAX_ERROR_BODY_BYTES:
                raise ExchangeFailed("the error response is too large", sent=True)
        except ExchangeFailed as error:
            return AttemptResult(
                AttemptOutcome.FAILED,
                error.detail,
                response.status,
                may_have_arrived=True,
                bound=_bound(context, error),
            )
        error_response = None
        if response.status not in NOT_EXECUTED_STATUSES:
            error_response = (response.status, end_to_end_headers(response.headers), bytes(body))
        return AttemptResult(
            AttemptOutcome.FAILED,
            detail,
            response.status,
            may_have_arrived=True,
            error_response=error_response,
        )


def _bound(context: RequestContext, error: ExchangeFailed) -> Bound | None:
    """Return the bound that ended an exchange, None if it ended otherwise."""
    if context.node_stopping:
        return Bound.NODE_STOP
    if error.limit is TimeLimit.DEADLINE:
        return context.deadline_bound
    return _BOUNDS.get(error.limit) if error.limit is not None else None


def end_to_end_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the header fields of a response without the hop-by-hop ones."""
    return [
        (name, value) for name, value in headers.items() if name.lower() not in HOP_BY_HOP_HEADERS
    ]
