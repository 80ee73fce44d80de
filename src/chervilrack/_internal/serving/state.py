"""Shared state of one serving node, which its requests read and update under one lock."""

import random
import threading
from collections.abc import Sequence
from datetime import timedelta

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.state import RequestLoad, UpstreamChoice
from chervilrack._internal.catalogue.core import Catalogue, UpstreamChanged
from chervilrack._internal.catalogue.state import (
    RequestKind,
    Route,
    ServingConfiguration,
    UpstreamEntry,
)
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import ServiceId, UpstreamId
from chervilrack._internal.common.results import Problem
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import RequestMetadata
from chervilrack._internal.forwarding.forwarder import ForwardingOutcome
from chervilrack._internal.forwarding.messages import InboundRequest
from chervilrack._internal.limits.retry_budget import RetryBudget
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.metrics import ServingMetrics
from chervilrack._internal.serving.settings import ServingSettings

# A leaving node admits streams for this time. A stream that is still running when the node is
# killed may be cut off if it began within three seconds of the stop signal.
STREAM_ADMISSION_TIME = timedelta(milliseconds=2500)
# Requests other than streams take far less than this time.
PLAIN_REQUEST_TIME = timedelta(seconds=1)
# The process exits this long before the end of the grace period.
STOP_MARGIN = timedelta(milliseconds=500)
# Requests that still wait for stages are refused this long before the process exits.
REFUSAL_MARGIN = timedelta(milliseconds=300)
# Time to the first byte that is assumed for a service before its first answer.
INITIAL_FIRST_BYTE_TIME = timedelta(milliseconds=100)
# Weight of one observation in the moving average of the time to the first byte.
FIRST_BYTE_WEIGHT = 0.1
# Time that an engine needs for its steps and round trips in addition to reading the prompt.
ENGINE_OVERHEAD = timedelta(milliseconds=40)
# An attempt without a first byte counts as slow after this many times the typical time.
FIRST_BYTE_TIMEOUT_RATIO = 4.0
MIN_FIRST_BYTE_TIMEOUT = timedelta(milliseconds=250)
MIN_STREAM_FIRST_BYTE_TIMEOUT = timedelta(milliseconds=1200)
_MILLISECOND = timedelta(milliseconds=1)
# Time after which an overdue attempt is compared with other upstreams again.
REVIEW_INTERVAL = timedelta(milliseconds=100)
# Share of the remaining time after which an attempt without a first byte is repeated at the latest.
FIRST_BYTE_TIMEOUT_SHARE = 0.45


class ServingState:
    """State that the threads of requests share.

    Methods acquire the lock as needed, except those that state that the caller holds it.
    """

    def __init__(
        self, settings: ServingSettings, fleet: Fleet, clock: Clock, log: DecisionLog
    ) -> None:
        self.lock = threading.RLock()
        self.settings = settings
        self.fleet = fleet
        self.catalogue = Catalogue()
        self.clock = clock
        self.log = log
        self.rng = random.Random()
        self.balancer = Balancer(settings.zone, self.rng, policy=settings.balancing_policy)
        self.budget = RetryBudget(settings.retry_budget, lambda: self.fleet.size)
        self.in_progress = 0
        self.metrics = ServingMetrics()
        self._misdirected: dict[UpstreamId, UpstreamEntry] = {}
        # Moving average of the time to the first byte.
        self._first_byte_times: dict[ServiceId, timedelta] = {}
        # Start and expected time to the first byte of attempts that have not got it yet.
        self._awaited_first_bytes: dict[tuple[str, UpstreamId], tuple[timedelta, timedelta]] = {}
        self._accepting = False
        self._has_left = False
        self._leaving_since: timedelta | None = None
        self._open_requests: dict[int, RequestContext] = {}

    # ForwardingBackend

    def configuration(self) -> ServingConfiguration | None:
        """Return the configuration in force."""
        return self.catalogue.configuration

    def is_accepting(self) -> bool:
        """Whether the node accepts new requests."""
        return self._accepting

    def leave(self) -> None:
        """Record that the node is leaving."""
        self._leaving_since = self.clock.monotonic()

    def can_finish(self, route: Route) -> bool:
        """Whether a new request of a route can be completed before the node stops.

        Requests arrive until the end from callers that use an older look-up answer. A long stream
        that began late would be cut off. It is refused instead, and its caller tries another node.
        """
        if self._leaving_since is None:
            return True
        elapsed = self.clock.monotonic() - self._leaving_since
        if route.kind is RequestKind.STREAM:
            return elapsed < STREAM_ADMISSION_TIME
        return elapsed + PLAIN_REQUEST_TIME < self.settings.stop_grace - STOP_MARGIN

    def stop_accepting(self) -> int:
        """Refuse all further requests and return the number of requests in progress."""
        with self.lock:
            self._has_left = True
            return self.in_progress

    def accept_requests(self) -> None:
        """Accept requests from now on."""
        self._accepting = True

    def upstreams(self, service: ServiceId) -> Sequence[UpstreamEntry]:
        """Return the ready upstreams of a service."""
        with self.lock:
            return self._usable(service)

    def choose(
        self, service: ServiceId, load: RequestLoad, excluded: Sequence[UpstreamId]
    ) -> tuple[UpstreamEntry, UpstreamChoice] | None:
        """Choose an upstream of a service for ``load``; None if none can be chosen."""
        now = self.clock.monotonic()
        with self.lock:
            entries = self._usable(service)
            choice = self.balancer.choose(entries, load, now, excluded)
            if choice is None:
                return None
            return self.catalogue.upstreams[choice.upstream], choice

    def zone_hint(self, service: ServiceId, load: RequestLoad, input_bytes: int) -> str:
        """Return the zone that will read ``input_bytes``, "" if their location decides it.

        The zone is known only for work that goes to the home upstream of its session.
        """
        if not self.balancer.prefers_home(load, input_bytes):
            return ""
        chosen = self.choose(service, load, ())
        return chosen[0].zone if chosen is not None else ""

    def admit_request(self, service: ServiceId) -> bool:
        """Count a request as in progress and for the retry budget; False if the node has left."""
        with self.lock:
            if self._has_left:
                return False
            self.in_progress += 1
            self.budget.record_request(service, self.clock.monotonic())
            return True

    def take_retry(self, service: ServiceId) -> bool:
        """Take one repetition from the retry budget; False if the budget is used up."""
        with self.lock:
            return self.budget.take(service, self.clock.monotonic())

    def request_started(self, context: RequestContext) -> None:
        """Add a request to those that ``refuse_waiting_requests`` reaches."""
        with self.lock:
            self._open_requests[id(context)] = context

    def refuse_waiting_requests(self) -> None:
        """Refuse the requests that still wait for stages, since they have not been executed."""
        with self.lock:
            contexts = list(self._open_requests.values())
        for context in contexts:
            context.stop_waiting()

    def request_finished(self, context: RequestContext, outcome: ForwardingOutcome) -> None:
        """Record the end of a request."""
        with self.lock:
            self.in_progress -= 1
            self._open_requests.pop(id(context), None)
        self.metrics.request_ended(context, outcome)
        self.log.note(
            "forwarding",
            outcome.name,
            routine=outcome.name == "answered",
            request=context.metadata.request_id,
            route=context.route.name,
            service=context.service,
            organisation=context.organisation,
            configuration=context.configuration.version,
            status=outcome.status,
            detail=outcome.detail,
            took_ms=round(outcome.took / timedelta(milliseconds=1)),
            target_ms=round((context.due - context.request.arrived) / timedelta(milliseconds=1)),
            deadline_ms=round((context.deadline - context.request.arrived) / _MILLISECOND),
            deadline_bound=str(context.deadline_bound),
            bound=str(outcome.bound) if outcome.bound is not None else None,
            steps=context.steps,
        )

    def request_rejected(
        self, request: InboundRequest, metadata: RequestMetadata | None, problem: Problem
    ) -> None:
        """Record a request that was refused before it was admitted."""
        configuration = self.catalogue.configuration
        self.log.note(
            "forwarding",
            "refused",
            request=metadata.request_id if metadata is not None else None,
            host=request.host,
            path=request.path,
            code=problem.code.number,
            status=problem.code.http_status,
            detail=problem.detail,
            configuration=configuration.version if configuration is not None else None,
        )

    # AttemptObserver

    def attempt_started(
        self, context: RequestContext, entry: UpstreamEntry, choice: UpstreamChoice
    ) -> None:
        """Count an attempt as in flight."""
        now = self.clock.monotonic()
        with self.lock:
            self.balancer.record_start(entry.id, context.load, now)
            typical = self._first_byte_times.get(context.service, INITIAL_FIRST_BYTE_TIME)
            expected = (
                choice.usual_wait + ENGINE_OVERHEAD if context.load.prompt_tokens else typical
            )
            self._awaited_first_bytes[(context.metadata.request_id, entry.id)] = (now, expected)

    def first_byte_received(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Record that an upstream has begun to answer, and update its pace."""
        now = self.clock.monotonic()
        with self.lock:
            self.balancer.record_prompt_read(entry.id, context.load)
            awaited = self._awaited_first_bytes.pop((context.metadata.request_id, entry.id), None)
            if awaited is None:
                return
            started, expected = awaited
            took = now - started
            context.step(
                f"first byte after {round(took / _MILLISECOND)} ms, "
                f"expected {round(expected / _MILLISECOND)} ms"
            )
            average = self._first_byte_times.get(context.service, INITIAL_FIRST_BYTE_TIME)
            self.balancer.observe_pace(entry.id, expected, took, now)
            self._first_byte_times[context.service] = average + (took - average) * FIRST_BYTE_WEIGHT

    def attempt_ended(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Count an attempt as no longer in flight."""
        with self.lock:
            self.balancer.record_end(entry.id)
            self.balancer.end_probe(entry.id)
            if (
                self._awaited_first_bytes.pop((context.metadata.request_id, entry.id), None)
                is not None
            ):
                self.balancer.record_prompt_read(entry.id, context.load)

    def attempt_succeeded(self, entry: UpstreamEntry) -> None:
        """Record a successful answer of an upstream."""
        with self.lock:
            self.balancer.record_success(entry.id, self.clock.monotonic())
            self.report_actions()

    def attempt_failed(self, entry: UpstreamEntry, reason: str, certain: bool) -> None:
        """Record a failure of an upstream; a ``certain`` one ejects it at once."""
        with self.lock:
            self.balancer.record_failure(entry.id, self.clock.monotonic(), reason, certain)
            self.report_actions()

    def upstream_heard(self, entry: UpstreamEntry) -> None:
        """Record that bytes have arrived from an upstream."""
        now = self.clock.monotonic()
        if self.balancer.is_silent(entry.id):
            with self.lock:
                self.balancer.record_heard(entry.id, now)
                self.report_actions()
        else:
            self.balancer.record_heard(entry.id, now)

    def attempt_silent(self, entry: UpstreamEntry, since: timedelta, reason: str) -> None:
        """Record that an attempt has waited since ``since`` for an upstream in vain."""
        with self.lock:
            self.balancer.record_silence(entry.id, since, self.clock.monotonic(), reason)
            self.report_actions()

    def error_response_received(self, entry: UpstreamEntry) -> None:
        """Record an answer by which the upstream itself reports a failure."""
        with self.lock:
            self.balancer.record_error_response(entry.id, self.clock.monotonic())

    def attempt_misdirected(self, entry: UpstreamEntry) -> None:
        """Stop using an upstream until its address changes: another upstream answered there."""
        with self.lock:
            self._misdirected[entry.id] = entry
        self.log.note("balancing", "misdirected", upstream=entry.id, address=entry.address)

    def first_byte_timeout(self, context: RequestContext, choice: UpstreamChoice) -> timedelta:
        """Return the time to wait for the first byte before another upstream is tried."""
        remaining = context.time_left(self.clock.monotonic())
        typical = self._first_byte_times.get(context.service, INITIAL_FIRST_BYTE_TIME)
        wait = max(typical, choice.expected_wait) * FIRST_BYTE_TIMEOUT_RATIO
        is_stream = context.route.kind is RequestKind.STREAM
        shortest = MIN_STREAM_FIRST_BYTE_TIMEOUT if is_stream else MIN_FIRST_BYTE_TIMEOUT
        return min(max(wait, shortest), remaining * FIRST_BYTE_TIMEOUT_SHARE)

    def time_to_stay(
        self, context: RequestContext, choice: UpstreamChoice, started: timedelta
    ) -> timedelta | None:
        """Return how much longer an overdue request should wait at its upstream.

        The attempt began at ``started``. Zero means that another upstream is likely to answer
        sooner or that the silence is too long for a sound upstream, None that the request cannot
        be sent elsewhere.
        """
        if not self.can_retry(context, context.executions + 1):
            return None
        now = self.clock.monotonic()
        policy = self.balancer.settings.silence
        if now - started >= policy.bound:
            return timedelta(0)
        with self.lock:
            silence = self.balancer.silence(choice.upstream, started, now)
        if silence < now - started:
            # The upstream is alive, so the request itself takes long.
            return timedelta(0)
        other = self.choose(context.service, context.load, tuple(context.tried_upstreams))
        rest_here = policy.expected_rest(silence) + choice.usual_wait
        if other is None or other[1].expected_wait < rest_here:
            return timedelta(0)
        return min(policy.bound - (now - started), REVIEW_INTERVAL)

    def may_reconnect(self, context: RequestContext, started: timedelta) -> bool:
        """Whether to go on connecting to a silent upstream: no other one can take the request."""
        now = self.clock.monotonic()
        if now - started >= self.balancer.settings.silence.bound or context.caller_gone:
            return False
        if context.time_left(now) <= timedelta(0):
            return False
        with self.lock:
            return not self._untried(context)

    def should_move_stream(
        self, context: RequestContext, entry: UpstreamEntry, restart_time: timedelta
    ) -> bool:
        """Whether a stalled stream should be continued elsewhere, after ``restart_time``.

        If its stages have to run again first, its upstream is likely to go on sooner, unless there
        is other evidence that the upstream has failed or the caller would soon leave.
        """
        if not self.can_retry(context, context.executions):
            return False
        now = self.clock.monotonic()
        if restart_time <= timedelta(0) or context.next_event_deadline - now <= restart_time:
            return True
        with self.lock:
            current = self.catalogue.upstreams.get(entry.id)
            is_gone = current is None or current.started_at_ms != entry.started_at_ms
            return is_gone or self.balancer.has_failed(entry.id, now)

    def stream_gap(self, max_gap: timedelta | None) -> timedelta:
        """Return the time without an event after which a stream may be continued elsewhere."""
        return self.balancer.settings.silence.stream_gap(max_gap)

    def is_overdue(
        self, context: RequestContext, choice: UpstreamChoice, waited: timedelta
    ) -> bool:
        """Whether an upstream that has not answered within ``waited`` is too slow."""
        typical = self._first_byte_times.get(context.service, INITIAL_FIRST_BYTE_TIME)
        if waited < max(typical, choice.expected_wait) * FIRST_BYTE_TIMEOUT_RATIO:
            return False
        # If the upstream has answered other requests meanwhile, the request itself takes long.
        answered_at = self.balancer.status(choice.upstream).last_success
        return answered_at is None or answered_at < self.clock.monotonic() - waited

    def can_retry(self, context: RequestContext, executions: int) -> bool:
        """Whether the route, the retry budget and the upstreams allow another attempt.

        ``executions`` is the number of attempts that an upstream may have executed by then.
        """
        route = context.route
        if not route.may_repeat or executions >= route.max_attempts:
            return False
        if context.stream_begun and not context.events.can_resume:
            return False
        now = self.clock.monotonic()
        with self.lock:
            others = self._untried(context)
            return bool(others) and self.budget.can_take(context.service, now)

    def _untried(self, context: RequestContext) -> list[UpstreamEntry]:
        """Return the usable upstreams at which a request has not been tried."""
        tried = context.tried_upstreams
        return [entry for entry in self._usable(context.service) if entry.id not in tried]

    # Directory

    def upstream_changed(self, change: UpstreamChanged) -> None:
        """Drop what a change of an upstream has made obsolete. The caller holds the lock."""
        misdirected_entry = self._misdirected.get(change.id)
        if misdirected_entry is not None and (
            change.entry is None or change.entry.address != misdirected_entry.address
        ):
            del self._misdirected[change.id]
        restarted = (
            change.entry is not None
            and change.previous is not None
            and change.entry.started_at_ms != change.previous.started_at_ms
        )
        if change.entry is None or restarted:
            self.balancer.forget(change.id)

    def report_actions(self) -> None:
        """Log the ejections and returns of upstreams. The caller holds the lock."""
        for action in self.balancer.drain_actions():
            self.log.note(action.part, action.action, upstream=action.subject, reason=action.reason)

    def _usable(self, service: ServiceId) -> tuple[UpstreamEntry, ...]:
        """Return the ready upstreams of a service except the misdirected ones."""
        entries = self.catalogue.ready_upstreams(service)
        if not self._misdirected:
            return entries
        return tuple(entry for entry in entries if entry.id not in self._misdirected)
