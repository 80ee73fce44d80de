"""Serves pass-through requests: admits a request, runs its stages and sends it to upstreams.

The code runs in the thread of the caller's connection. ``ForwardingBackend`` chooses the upstreams
and keeps the retry budget; ``StageClient`` queues the pieces of the stages.
"""

import functools
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Protocol

from result import Err

from chervilrack._internal.balancing.state import RequestLoad, UpstreamChoice
from chervilrack._internal.catalogue.state import (
    RequestKind,
    Route,
    ServingConfiguration,
    UpstreamEntry,
)
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import OrganisationId, RequestId, ServiceId, UpstreamId
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.forecast.state import Misfit, Rest
from chervilrack._internal.forwarding.attempts import AttemptOutcome, AttemptResult, AttemptRunner
from chervilrack._internal.forwarding.bounds import Bound
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import Dialect, MalformedMessage, RequestMetadata
from chervilrack._internal.forwarding.messages import CallerGone, InboundRequest, Responder
from chervilrack._internal.forwarding.responses import problem_response, retry_after
from chervilrack._internal.forwarding.stages import StageClient, StageRun

# Time allowed for a request without a deadline on a route without a timeout.
DEFAULT_TIMEOUT = timedelta(seconds=60)
# Subtracted from the caller's deadline, so that the response reaches the caller in time.
RESPONSE_MARGIN = timedelta(milliseconds=20)
# Callers abandon a stream that has no event after the longest of this time, a multiple of the
# stream's target latency and a multiple of the longest pause that its route allows.
SHORTEST_CALLER_PATIENCE = timedelta(seconds=2)
PATIENCE_TARGET_LATENCIES = 4
PATIENCE_GAPS = 8
# Shortest time until a caller should retry, without jitter.
RETRY_DELAY = timedelta(milliseconds=300)
# Most attempts of one request, including those that an upstream rejects.
MAX_ATTEMPTS = 4
# Reasons why a service has no upstream that have no known end.
_LASTING_REFUSALS = frozenset((ResultCode.UPSTREAMS_LEAVING, ResultCode.ZONES_EVACUATED))


def _caller_patience(route: Route) -> timedelta | None:
    """Return the time that callers wait for the first event of a stream, None for other kinds."""
    if route.kind is not RequestKind.STREAM:
        return None
    return max(
        SHORTEST_CALLER_PATIENCE,
        route.target_latency * PATIENCE_TARGET_LATENCIES,
        (route.max_gap or timedelta(0)) * PATIENCE_GAPS,
    )


def _input_bytes(context: RequestContext) -> int:
    """Return the size in bytes of the stage results that are the inputs of the request itself."""
    counts = context.metadata.piece_counts
    return sum(
        context.route.stages[stage].result_size * (counts[stage] if stage < len(counts) else 1)
        for stage in context.route.final_stages
    )


class ForwardingBackend(Protocol):
    """Port to the state of the node; all methods are thread-safe."""

    def configuration(self) -> ServingConfiguration | None:
        """Return the configuration in force."""

    def is_accepting(self) -> bool:
        """Whether the node takes new requests."""

    def check_stop(self, context: RequestContext, *, is_admitted: bool) -> str | None:
        """Return why a request cannot be completed before the node stops; None if it can.

        For an admitted request, the answer concerns the next attempt at an upstream.
        """

    def unavailability(self, service: ServiceId) -> Problem | None:
        """Return why no upstream of a service may be used, None if one may be."""

    def outside_homes(self, context: RequestContext) -> Problem | None:
        """Return why the homes of a request leave it no upstream, None if they do not."""

    def choose(
        self, service: ServiceId, load: RequestLoad, excluded: Sequence[UpstreamId]
    ) -> tuple[UpstreamEntry, UpstreamChoice] | None:
        """Choose an upstream that is not excluded; return None if there is none."""

    def zone_hint(self, service: ServiceId, load: RequestLoad, input_bytes: int) -> str:
        """Return the zone where inputs of ``input_bytes`` should be produced.

        Returns "" if the zone of the inputs should determine the upstream instead.
        """

    def admit_request(self, context: RequestContext) -> bool:
        """Keep a request until ``request_finished``; return False if the node has left."""

    def forecast(self, context: RequestContext) -> Rest:
        """Return how long an attempt takes that begins now, if it goes well."""

    def check_rest(self, context: RequestContext, pieces: Sequence[int]) -> Misfit | None:
        """Return why a request cannot end in time even if it goes well; None if it can.

        ``pieces`` holds the numbers of pieces of the stages if these are still to run.
        """

    def stages_ended(self, context: RequestContext, pieces: Sequence[int]) -> None:
        """Record that all stages of a request have ended for the first time."""

    def quarantined(self, context: RequestContext, *, is_sent: bool) -> Problem | None:
        """Return why requests like this one get no upstream, None if they may.

        ``is_sent`` is whether the request would be sent now; it may then be a probe.
        """

    def take_retry(self, service: ServiceId) -> bool:
        """Take one retry from the retry budget; return False if the budget is used up."""

    def give_back_retry(self, service: ServiceId) -> None:
        """Give a retry back to the retry budget for which nothing was sent."""

    def request_finished(self, context: RequestContext, outcome: "ForwardingOutcome") -> None:
        """Record how a request ended."""

    def request_rejected(
        self, request: InboundRequest, metadata: RequestMetadata | None, problem: Problem
    ) -> None:
        """Record a request that was rejected before it was admitted."""


@dataclass(frozen=True, slots=True)
class ForwardingOutcome:
    """How a request ended.

    ``status`` is the HTTP status, 0 if the response was cut off or the caller had left. ``bound``
    is the bound that ended the request, None if it ended otherwise.
    """

    name: str
    status: int
    detail: str
    took: timedelta
    bound: Bound | None = None


class Forwarder:
    """Serves the requests that callers send in one dialect."""

    def __init__(
        self,
        backend: ForwardingBackend,
        dialect: Dialect,
        attempts: AttemptRunner,
        stages: StageClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._backend = backend
        self._dialect = dialect
        self._attempts = attempts
        self._stages = stages
        self._clock = clock
        self._rng = rng

    def handle(self, request: InboundRequest, responder: Responder) -> None:
        """Serve one request to its end. Never raises CallerGone."""
        try:
            metadata = self._dialect.read_request(request.headers)
        except MalformedMessage as error:
            self._reject(
                request, None, responder, Problem(ResultCode.MALFORMED_REQUEST, str(error))
            )
            return
        admitted = self._admit(request, metadata)
        if isinstance(admitted, Problem):
            self._reject(request, metadata, responder, admitted)
            return
        outcome = self._outcome(admitted, "failed", 0, "an exception, see the log")
        try:
            with responder.on_caller_gone(admitted.mark_caller_gone):
                outcome = self._serve(admitted, responder)
        except CallerGone:
            outcome = self._outcome(admitted, "gone", 0, "the caller left")
        finally:
            self._backend.request_finished(admitted, outcome)

    def refuse_overload(self, request: InboundRequest, responder: Responder) -> None:
        """Refuse a request for which the node has no thread. Never raises CallerGone."""
        try:
            metadata = self._dialect.read_request(request.headers)
        except MalformedMessage:
            metadata = None
        delay = retry_after(RETRY_DELAY, self._rng)
        detail = "all threads of this node are busy"
        problem = Problem(ResultCode.QUEUE_FULL, detail, Executed.NO, delay)
        self._reject(request, metadata, responder, problem)

    # Admission

    def _admit(
        self, request: InboundRequest, metadata: RequestMetadata
    ) -> RequestContext | Problem:
        configuration = self._backend.configuration()
        if configuration is None or not self._backend.is_accepting():
            missing = "configuration" if configuration is None else "upstreams"
            return Problem(ResultCode.NOT_READY, f"this node knows no {missing} yet")
        route = configuration.match(request.host, request.path)
        if route is None:
            return Problem(ResultCode.UNKNOWN_PATH, "no route matches the host and path")
        organisation = configuration.keys.get(metadata.key) if metadata.key else None
        if configuration.has_organisations and not route.anonymous and organisation is None:
            code = ResultCode.KEY_MISSING if metadata.key is None else ResultCode.KEY_INVALID
            return Problem(code, "the route needs a key of an organisation")
        context = self._create_context(request, metadata, configuration, route, organisation)
        stop_reason = self._backend.check_stop(context, is_admitted=False)
        if stop_reason is not None:
            return _stop_problem(stop_reason)
        if not self._backend.admit_request(context):
            return _stop_problem("this node has left")
        return context

    def _create_context(
        self,
        request: InboundRequest,
        metadata: RequestMetadata,
        configuration: ServingConfiguration,
        route: Route,
        organisation: OrganisationId | None,
    ) -> RequestContext:
        limit = route.timeout or DEFAULT_TIMEOUT
        bound = Bound.ROUTE_TIMEOUT if route.timeout else Bound.DEFAULT_TIMEOUT
        if metadata.deadline and metadata.deadline <= limit:
            bound = Bound.CALLER_DEADLINE
        allowed = min(metadata.deadline or limit, limit)
        service = self._pick_service(route)
        shared = metadata.prefix[:-1]
        return RequestContext(
            request=request,
            metadata=metadata,
            route=route,
            service=service,
            organisation=organisation,
            priority=configuration.priority(route, organisation),
            deadline=request.arrived + max(allowed - RESPONSE_MARGIN, allowed / 2),
            due=request.arrived + (route.target_latency or allowed),
            first_byte_deadline=request.arrived + min(allowed, _caller_patience(route) or allowed),
            deadline_bound=bound,
            configuration=configuration,
            load=RequestLoad(
                metadata.prompt_tokens,
                tuple((part.id, part.tokens) for part in shared),
                homes=configuration.homes_of(route, organisation),
            ),
        )

    def _pick_service(self, route: Route) -> ServiceId:
        """Choose a service at random, by the weights of the route's traffic split."""
        if len(route.split) == 1:
            return route.split[0][0]
        names = [name for name, _ in route.split]
        return self._rng.choices(names, [weight for _, weight in route.split])[0]

    # Serving

    def _serve(self, context: RequestContext, responder: Responder) -> ForwardingOutcome:
        problem = self._backend.quarantined(context, is_sent=False)
        if problem is None:
            problem = self._unavailability(context)
        if problem is not None:
            return self._fail(context, responder, problem)
        stages = self._create_stage_run(context)
        try:
            misfit = self._backend.check_rest(context, stages.pieces if stages is not None else ())
            if misfit is not None:
                return self._fail(context, responder, _misfit_problem(misfit))
            if stages is not None:
                stages_result = stages.run()
                if isinstance(stages_result, Err):
                    return self._fail(context, responder, stages_result.err_value)
                self._backend.stages_ended(context, stages.pieces)
                context.step(f"stages done after {self._elapsed_ms(context)} ms")
            return self._send_to_upstreams(context, responder, stages)
        finally:
            if stages is not None:
                stages.close()
            self._attempts.drop_kept(context)
            if context.holds_retry:
                self._backend.give_back_retry(context.service)

    def _unavailability(self, context: RequestContext) -> Problem | None:
        """Return why a request or one of its stages can have no upstream, None if all may have one.

        Upstreams of a stage that want a pause may be back when the stage begins.
        """
        problem = self._backend.unavailability(context.service)
        if problem is not None:
            return problem
        counts = context.metadata.piece_counts
        for number, stage in enumerate(context.route.stages):
            if number < len(counts) and counts[number] == 0:
                continue
            problem = self._backend.unavailability(stage.service)
            if problem is not None and problem.code in _LASTING_REFUSALS:
                return problem
        return self._backend.outside_homes(context)

    def _create_stage_run(self, context: RequestContext) -> StageRun | None:
        if not context.route.stages:
            return None
        zone = self._backend.zone_hint(context.service, context.load, _input_bytes(context))
        services = context.configuration.services
        forecast = functools.partial(self._backend.forecast, context)
        return StageRun(context, self._stages, self._clock, zone, services, forecast)

    def _send_to_upstreams(
        self, context: RequestContext, responder: Responder, stages: StageRun | None
    ) -> ForwardingOutcome:
        """Try upstreams in turn until one has answered or no further attempt is allowed."""
        last: AttemptResult | None = None
        for _ in range(MAX_ATTEMPTS):
            stop_reason = self._backend.check_stop(context, is_admitted=True)
            if stop_reason is not None:
                context.step(f"no further attempt: {stop_reason}")
                answered = self._answer_of_kept(context, responder)
                return answered or self._end_by_stop(context, responder, last, stop_reason)
            chosen = self._choose(context, stages)
            if chosen is None:
                break
            is_retry = last is not None and context.sent_attempts > 0
            if is_retry and last is not None and not self._may_retry(context, last):
                break
            if stages is not None and stages.needs_restart:
                problem = self._restart_stages(stages)
                # Meanwhile, an upstream may have begun to leave.
                chosen = self._choose(context, stages)
                if problem is not None:
                    return self._fail(context, responder, self._true_problem(context, problem))
                if chosen is None:
                    break
            obstacle = self._obstacle(context)
            if obstacle is not None:
                return self._end_by_obstacle(context, responder, last, obstacle)
            entry, choice = chosen
            context.tried_upstreams.add(entry.id)
            inputs = stages.inputs if stages is not None else ()
            context.step(f"to {entry.id} after {self._elapsed_ms(context)} ms: {choice.reason}")
            sent_before = context.sent_attempts
            held_retry, context.holds_retry = context.holds_retry, False
            last = self._attempts.run(context, responder, entry, choice, inputs, stages)
            if context.sent_attempts == sent_before and not last.may_have_arrived:
                context.holds_retry = held_retry
            bound = f"; bound {last.bound}" if last.bound is not None else ""
            context.step(f"{last.outcome.value}: {last.detail}{bound}")
            if last.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.CUT_OFF):
                return self._outcome(context, last.outcome.value, last.status, last.detail)
            if last.outcome is AttemptOutcome.INPUT_GONE and stages is not None:
                stages.mark_results_lost()
                context.tried_upstreams.discard(entry.id)
            if context.time_left(self._clock.monotonic()) <= timedelta(0):
                break
        return self._answer_of_kept(context, responder) or self._give_up(context, responder, last)

    def _answer_of_kept(
        self, context: RequestContext, responder: Responder
    ) -> ForwardingOutcome | None:
        """Return how a request ended that an attempt has answered which was kept, else None."""
        result = self._attempts.await_kept(context, responder)
        if result is None:
            return None
        return self._outcome(context, result.outcome.value, result.status, result.detail)

    def _choose(
        self, context: RequestContext, stages: StageRun | None
    ) -> tuple[UpstreamEntry, UpstreamChoice] | None:
        load = context.load
        if stages is not None:
            load = replace(load, inputs=stages.input_sizes())
        return self._backend.choose(context.service, load, tuple(context.tried_upstreams))

    def _restart_stages(self, stages: StageRun) -> Problem | None:
        """Produce the stage results again that an earlier attempt has used up or that were lost."""
        if not stages.restart():
            return Problem(ResultCode.NO_UPSTREAM, "stage results vanished too often")
        stages_result = stages.run()
        return stages_result.err_value if isinstance(stages_result, Err) else None

    def _may_retry(self, context: RequestContext, last: AttemptResult) -> bool:
        """Whether the request may be sent to another upstream after the attempt ``last``."""
        route = context.route
        if context.stream_begun and not context.events.can_resume:
            context.step("not tried again: the last event has no id")
            return False
        if last.outcome is AttemptOutcome.FAILED and not (
            route.may_repeat and context.executions < route.max_attempts
        ):
            context.step(
                f"not tried again: executions {context.executions}, "
                f"allowed {route.max_attempts if route.may_repeat else 1}"
            )
            return False
        if not last.may_have_arrived or context.holds_retry:
            return True
        context.holds_retry = self._backend.take_retry(context.service)
        if not context.holds_retry:
            context.step("retry budget used up")
        return context.holds_retry

    def _give_up(
        self, context: RequestContext, responder: Responder, last: AttemptResult | None
    ) -> ForwardingOutcome:
        """End a request that no upstream has answered, after its last attempt."""
        if context.stream_begun:
            responder.abort()
            detail = last.detail if last is not None else "no upstream"
            return self._outcome(context, "cut off", 0, detail, last.bound if last else None)
        if last is not None and last.error_response is not None:
            status, headers, body = last.error_response
            responder.send_response(status, headers, body)
            return self._outcome(context, "upstream failed", status, last.detail)
        problem = self._final_problem(context, last)
        return self._fail(context, responder, problem, last.bound if last else None)

    def _obstacle(self, context: RequestContext) -> Problem | None:
        """Return why the next attempt must not be made, None if it may be.

        It cannot end in time, or requests like this one crash upstreams.
        """
        misfit = self._backend.check_rest(context, ())
        if misfit is not None:
            return _misfit_problem(misfit)
        return self._backend.quarantined(context, is_sent=True)

    def _end_by_obstacle(
        self,
        context: RequestContext,
        responder: Responder,
        last: AttemptResult | None,
        obstacle: Problem,
    ) -> ForwardingOutcome:
        """End a request whose next attempt must not be made."""
        context.step(f"no further attempt: {obstacle.detail}")
        answered = self._answer_of_kept(context, responder)
        if answered is not None:
            return answered
        if last is not None and last.error_response is not None:
            return self._give_up(context, responder, last)
        return self._fail(context, responder, self._true_problem(context, obstacle))

    def _end_by_stop(
        self,
        context: RequestContext,
        responder: Responder,
        last: AttemptResult | None,
        stop_reason: str,
    ) -> ForwardingOutcome:
        """End a request that cannot be tried any more, because the node stops."""
        if context.executions == 0:
            return self._fail(context, responder, _stop_problem(stop_reason))
        return self._give_up(context, responder, last)

    def _final_problem(self, context: RequestContext, last: AttemptResult | None) -> Problem:
        now = self._clock.monotonic()
        is_past_deadline = context.time_left(now) <= timedelta(0)
        if context.is_ended_by_stop(now):
            if context.executions == 0:
                return _stop_problem("this node stops")
            detail = "this node stops before the upstream has answered"
            return Problem(ResultCode.NODE_STOPPED, detail, Executed.UNKNOWN)
        if context.executions == 0:
            if is_past_deadline:
                return Problem(ResultCode.DEADLINE_UNREACHABLE, "no upstream took it in time")
            detail = "no upstream can be used" if last is None else last.detail
            unavailability = self._backend.unavailability(context.service)
            return unavailability or Problem(ResultCode.NO_UPSTREAM, detail)
        if is_past_deadline:
            return Problem(ResultCode.DEADLINE_PASSED, "no answer in time", Executed.UNKNOWN)
        detail = last.detail if last is not None else ""
        return Problem(ResultCode.UPSTREAM_FAILED, detail, Executed.UNKNOWN)

    def _true_problem(self, context: RequestContext, problem: Problem) -> Problem:
        """Return the problem of a request whose stages have failed.

        Its status must not say "not executed" if an earlier attempt may have executed the request.
        """
        if context.executions == 0:
            return problem
        code = ResultCode.UPSTREAM_FAILED
        if problem.code is ResultCode.DEADLINE_UNREACHABLE:
            code = ResultCode.DEADLINE_PASSED
        elif problem.code is ResultCode.NOT_READY:
            code = ResultCode.NODE_STOPPED
        return Problem(code, problem.detail, Executed.UNKNOWN)

    # Responses and outcomes

    def _fail(
        self,
        context: RequestContext,
        responder: Responder,
        problem: Problem,
        bound: Bound | None = None,
    ) -> ForwardingOutcome:
        """End a request with a problem; a stream that has begun is cut off instead."""
        if context.stream_begun:
            responder.abort()
            return self._outcome(context, "cut off", 0, problem.detail, bound)
        # Callers may come back at once where another node can serve them.
        if problem.code.http_status == 503 and problem.retry_after != timedelta(0):
            wait = retry_after(max(problem.retry_after or RETRY_DELAY, RETRY_DELAY), self._rng)
            problem = Problem(problem.code, problem.detail, problem.executed, wait)
        if not context.caller_gone:
            responder.send_response(*problem_response(problem, context.metadata.request_id))
        status = problem.code.http_status
        return self._outcome(context, "rejected", status, problem.detail, bound)

    def _reject(
        self,
        request: InboundRequest,
        metadata: RequestMetadata | None,
        responder: Responder,
        problem: Problem,
    ) -> None:
        request_id: RequestId | None = metadata.request_id if metadata is not None else None
        self._backend.request_rejected(request, metadata, problem)
        try:
            responder.send_response(*problem_response(problem, request_id))
        except CallerGone:
            return

    def _outcome(
        self,
        context: RequestContext,
        name: str,
        status: int,
        detail: str,
        bound: Bound | None = None,
    ) -> ForwardingOutcome:
        """Return the outcome of a request; its name is "gone" if the caller has left.

        ``bound`` is the one that ended the last attempt. A request that ends at its deadline ended
        by the bound that sets the deadline, one that the node's stop has ended by that.
        """
        now = self._clock.monotonic()
        if context.caller_gone:
            name = "gone"
        if name != "answered" and context.is_ended_by_stop(now):
            bound = Bound.NODE_STOP
        elif name != "answered" and context.time_left(now) <= timedelta(0):
            bound = context.deadline_bound
        return ForwardingOutcome(name, status, detail, now - context.request.arrived, bound)

    def _elapsed_ms(self, context: RequestContext) -> int:
        return round(
            (self._clock.monotonic() - context.request.arrived) / timedelta(milliseconds=1)
        )


def _misfit_problem(misfit: Misfit) -> Problem:
    """Return the refusal of a request that cannot end in time.

    It would have fitted if it had come, or if there had been room, earlier by the excess.
    """
    return Problem(ResultCode.DEADLINE_UNREACHABLE, str(misfit), retry_after=misfit.excess)


def _stop_problem(detail: str) -> Problem:
    """Return the refusal of a request that has not been executed; other nodes take it at once."""
    return Problem(ResultCode.NOT_READY, detail, retry_after=timedelta(0))
