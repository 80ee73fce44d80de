"""State of one serving node behind one lock: what requests ask for and report."""

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

# A leaving node takes streams for this time; one that is then still running when the node is
# killed may be cut off, since it began within three seconds of the order to stop.
STREAMS_WHILE_LEAVING = timedelta(milliseconds=2500)
# Other requests take well below this time.
PLAIN_REQUEST_TIME = timedelta(seconds=1)
# Before the end of the grace time the process ends by itself.
STOP_MARGIN = timedelta(milliseconds=500)
# So long before that, requests that still wait for stages are refused.
REFUSAL_MARGIN = timedelta(milliseconds=300)
# First-byte times of a service before any answer was seen.
PRIOR_FIRST_BYTE = timedelta(milliseconds=100)
FIRST_BYTE_WEIGHT = 0.1
# Steps and round trips of an engine beside the reading of the prompt.
ENGINE_FIRST_BYTE = timedelta(milliseconds=40)
# Waiting for a first byte longer than this many times the usual is a reason to repeat.
PATIENCE_RATIO = 4.0
SHORTEST_PATIENCE = timedelta(milliseconds=250)
SHORTEST_STREAM_PATIENCE = timedelta(milliseconds=1200)
# Part of the time left that a first attempt may use before it is repeated.
PATIENCE_SHARE = 0.45


class ServingState:
    """What the threads of requests share. Every public method takes the lock."""

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
        self._first_bytes: dict[ServiceId, timedelta] = {}
        self._attempt_starts: dict[tuple[str, UpstreamId], tuple[timedelta, timedelta]] = {}
        self._accepting = False
        self._has_left = False
        self._leaving_since: timedelta | None = None
        self._open: dict[int, RequestContext] = {}

    # ForwardingBackend

    def configuration(self) -> ServingConfiguration | None:
        """Return the configuration in force."""
        return self.catalogue.configuration

    def is_accepting(self) -> bool:
        """Whether the node takes new requests."""
        return self._accepting

    def leave(self) -> None:
        """Note that the node is leaving."""
        self._leaving_since = self.clock.monotonic()

    def can_finish(self, route: Route) -> bool:
        """Whether a new request of a route can still end before the node stops.

        Callers that kept an older look-up answer come until the end. A long stream that began
        late would be cut off; it is refused, and its caller finds another node.
        """
        if self._leaving_since is None:
            return True
        passed = self.clock.monotonic() - self._leaving_since
        if route.kind is RequestKind.STREAM:
            return passed < STREAMS_WHILE_LEAVING
        return passed + PLAIN_REQUEST_TIME < self.settings.stop_grace - STOP_MARGIN

    def stop_accepting(self) -> int:
        """Refuse new requests for good, and return how many are in progress."""
        with self.lock:
            self._has_left = True
            return self.in_progress

    def accept_requests(self) -> None:
        """Take requests from now on."""
        self._accepting = True

    def upstreams(self, service: ServiceId) -> Sequence[UpstreamEntry]:
        """Return the ready upstreams of a service."""
        with self.lock:
            return self._usable(service)

    def choose(
        self, service: ServiceId, load: RequestLoad, excluded: Sequence[UpstreamId]
    ) -> tuple[UpstreamEntry, UpstreamChoice] | None:
        """Choose an upstream."""
        now = self.clock.monotonic()
        with self.lock:
            entries = self._usable(service)
            choice = self.balancer.choose(entries, load, now, excluded)
            if choice is None:
                return None
            return self.catalogue.upstreams[choice.upstream], choice

    def zone_hint(self, service: ServiceId, load: RequestLoad, input_bytes: int) -> str:
        """Return the zone where ``input_bytes`` are wanted, "" if they decide it themselves."""
        if not self.balancer.prefers_home(load, input_bytes):
            return ""
        likely = self.choose(service, load, ())
        return likely[0].zone if likely is not None else ""

    def admit_request(self, service: ServiceId) -> bool:
        """Count a caller's request as in progress and for the retry budget, unless it has left."""
        with self.lock:
            if self._has_left:
                return False
            self.in_progress += 1
            self.budget.record_request(service, self.clock.monotonic())
            return True

    def take_retry(self, service: ServiceId) -> bool:
        """Take one repeat from the retry budget."""
        with self.lock:
            return self.budget.take(service, self.clock.monotonic())

    def request_started(self, context: RequestContext) -> None:
        """Count a request as in progress."""
        with self.lock:
            self._open[id(context)] = context

    def stop_waiting(self) -> None:
        """Let requests that still wait for stages be refused: they have not run."""
        with self.lock:
            waiting = list(self._open.values())
        for context in waiting:
            context.stop_waiting()

    def request_finished(self, context: RequestContext, outcome: ForwardingOutcome) -> None:
        """Record the end of a request."""
        with self.lock:
            self.in_progress -= 1
            self._open.pop(id(context), None)
        self.metrics.request_ended(context, outcome)
        self.log.note(
            "forwarding",
            outcome.name,
            routine=outcome.name == "answered",
            request=context.metadata.request_id,
            route=context.route.name,
            service=context.service,
            organisation=context.organisation,
            configuration=context.configuration_version,
            status=outcome.status,
            detail=outcome.detail,
            took_ms=round(outcome.took / timedelta(milliseconds=1)),
            target_ms=round((context.due - context.request.arrived) / timedelta(milliseconds=1)),
            steps=context.steps,
        )

    def request_rejected(
        self, request: InboundRequest, metadata: RequestMetadata | None, problem: Problem
    ) -> None:
        """Record a request that was answered before it had a route."""
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
            usual = self._first_bytes.get(context.service, PRIOR_FIRST_BYTE)
            expected = (
                choice.usual_wait + ENGINE_FIRST_BYTE if context.load.prompt_tokens else usual
            )
            self._attempt_starts[(context.metadata.request_id, entry.id)] = (now, expected)

    def first_byte_received(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Note that the upstream has begun to answer, and learn its pace."""
        now = self.clock.monotonic()
        with self.lock:
            self.balancer.record_prompt_read(entry.id, context.load)
            found = self._attempt_starts.pop((context.metadata.request_id, entry.id), None)
            if found is None:
                return
            started, expected = found
            took = now - started
            usual = self._first_bytes.get(context.service, PRIOR_FIRST_BYTE)
            self.balancer.observe_pace(entry.id, expected, took, now)
            self._first_bytes[context.service] = usual + (took - usual) * FIRST_BYTE_WEIGHT

    def attempt_ended(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Count an attempt as over."""
        with self.lock:
            self.balancer.record_end(entry.id)
            if self._attempt_starts.pop((context.metadata.request_id, entry.id), None) is not None:
                self.balancer.record_prompt_read(entry.id, context.load)

    def attempt_succeeded(self, entry: UpstreamEntry) -> None:
        """Record a good answer."""
        with self.lock:
            self.balancer.record_success(entry.id, self.clock.monotonic())
            self.report_actions()

    def attempt_failed(self, entry: UpstreamEntry, reason: str, certain: bool) -> None:
        """Record a failure of the upstream."""
        with self.lock:
            self.balancer.record_failure(entry.id, self.clock.monotonic(), reason, certain)
            self.report_actions()

    def error_response_received(self, entry: UpstreamEntry) -> None:
        """Record an answer that is a failure of the upstream's own."""
        with self.lock:
            self.balancer.record_error_response(entry.id, self.clock.monotonic())

    def attempt_misdirected(self, entry: UpstreamEntry) -> None:
        """Note that another upstream holds the address; it is not used until it changes."""
        with self.lock:
            self._misdirected[entry.id] = entry
        self.log.note("balancing", "misdirected", upstream=entry.id, address=entry.address)

    def first_byte_timeout(self, context: RequestContext, choice: UpstreamChoice) -> timedelta:
        """Return how long to wait for the first byte before another upstream is better."""
        left = context.time_left(self.clock.monotonic())
        usual = self._first_bytes.get(context.service, PRIOR_FIRST_BYTE)
        wait = max(usual, choice.expected_wait) * PATIENCE_RATIO
        is_stream = context.route.kind is RequestKind.STREAM
        shortest = SHORTEST_STREAM_PATIENCE if is_stream else SHORTEST_PATIENCE
        return min(max(wait, shortest), left * PATIENCE_SHARE)

    def is_overdue(
        self, context: RequestContext, choice: UpstreamChoice, waited: timedelta
    ) -> bool:
        """Whether an upstream without an answer after ``waited`` is slower than it should be."""
        usual = self._first_bytes.get(context.service, PRIOR_FIRST_BYTE)
        if waited < max(usual, choice.expected_wait) * PATIENCE_RATIO:
            return False
        # One that has answered others meanwhile is there: the request itself takes long.
        answered = self.balancer.status(choice.upstream).last_success
        return answered is None or answered < self.clock.monotonic() - waited

    def can_retry(self, context: RequestContext) -> bool:
        """Whether another upstream could take the request after this one."""
        route = context.route
        if not route.may_repeat or context.executions + 1 >= route.max_attempts:
            return False
        now = self.clock.monotonic()
        with self.lock:
            others = [
                e for e in self._usable(context.service) if e.id not in context.tried_upstreams
            ]
            return bool(others) and self.budget.allowance(context.service, now) >= 1

    # Directory

    def upstream_changed(self, change: UpstreamChanged) -> None:
        """Forget what no longer holds of an upstream that changed. The caller has the lock."""
        known = self._misdirected.get(change.id)
        if known is not None and (change.entry is None or change.entry.address != known.address):
            del self._misdirected[change.id]
        reborn = (
            change.entry is not None
            and change.before is not None
            and change.entry.born_ms != change.before.born_ms
        )
        if change.entry is None or reborn:
            self.balancer.forget(change.id)

    def report_actions(self) -> None:
        """Log ejections and returns. The caller has the lock."""
        for action in self.balancer.drain_actions():
            self.log.note(action.part, action.action, upstream=action.subject, reason=action.reason)

    def _usable(self, service: ServiceId) -> tuple[UpstreamEntry, ...]:
        entries = self.catalogue.of_service(service)
        if not self._misdirected:
            return entries
        return tuple(entry for entry in entries if entry.id not in self._misdirected)
