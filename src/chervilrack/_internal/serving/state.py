"""Shared state of one serving node, which its requests read and update under one lock."""

import contextlib
import random
import threading
from collections import Counter
from collections.abc import Collection, Iterator, Sequence
from dataclasses import replace
from datetime import timedelta
from typing import Any

from chervilrack._internal.admission.rules import Competition
from chervilrack._internal.admission.settings import MIN_UPSTREAMS
from chervilrack._internal.balancing.cold import ColdFleet, ColdReason, ColdUpstreams
from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.balancing.standing import (
    Bar,
    LeavingReport,
    StandingChanged,
)
from chervilrack._internal.balancing.state import RequestLoad, UpstreamChoice
from chervilrack._internal.catalogue.core import Catalogue, UpstreamChanged
from chervilrack._internal.catalogue.evacuation import EvacuationChanged
from chervilrack._internal.catalogue.homes import Regions
from chervilrack._internal.catalogue.state import (
    RequestKind,
    ServingConfiguration,
    UpstreamEntry,
    UpstreamIncarnation,
    WarmUpSpec,
)
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import NodeId, RequestId, ServiceId, UpstreamId, ZoneId
from chervilrack._internal.common.positions import StorePosition
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.forecast.core import Forecaster
from chervilrack._internal.forecast.state import Misfit, Rest, StreamSize, Subject, Work
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import RequestMetadata, ResponseMetadata
from chervilrack._internal.forwarding.forwarder import ForwardingOutcome
from chervilrack._internal.forwarding.messages import InboundRequest
from chervilrack._internal.limits.retry_budget import RetryBudget
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.quarantine.profiles import piece_profile
from chervilrack._internal.quarantine.state import CrashedRequest, RequestProfile
from chervilrack._internal.serving.configuration_check import ConfigurationCheck
from chervilrack._internal.serving.crash_watch import CrashWatch
from chervilrack._internal.serving.homes import HomesCheck
from chervilrack._internal.serving.load_watch import LoadWatch
from chervilrack._internal.serving.metrics import ForecastOutcome, ServingMetrics
from chervilrack._internal.serving.settings import ServingSettings
from chervilrack._internal.serving.stopping import StopPlan
from chervilrack._internal.upstreams.reachability import refuses_connections

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
# Most findings about the homes of one configuration that are logged.
MAX_LOGGED_FINDINGS = 20
_MILLISECOND = timedelta(milliseconds=1)
# Time after which an overdue attempt is compared with other upstreams again.
REVIEW_INTERVAL = timedelta(milliseconds=100)
# Share of the remaining time after which an attempt without a first byte is repeated at the latest,
# unless the typical time of a request is left later, too.
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
        self.regions = Regions(settings.regions)
        self._configuration_check = ConfigurationCheck(log, settings.stop_grace)
        self.clock = clock
        self.log = log
        self.rng = random.Random()
        self.balancer = Balancer(settings.zone, self.rng, policy=settings.balancing_policy)
        self.budget = RetryBudget(settings.retry_budget, lambda: self.fleet.size)
        self.in_progress = 0
        self.metrics = ServingMetrics()
        self.crash_watch = CrashWatch(self.catalogue, self.balancer, clock, log, self.metrics)
        self._load_watch = LoadWatch(self.balancer, log, self.metrics)
        self.crash_watch.on_blocked = self._refuse_waiting_requests
        # Names of the nodes that are registered in the store.
        self.registered_nodes: set[str] = set()
        self.cold = ColdUpstreams(settings.node, settings.cold_limits, self._cold_fleet)
        # Upstreams that refused connections and have not answered since.
        self._unreachable: set[UpstreamId] = set()
        self._misdirected: dict[UpstreamId, UpstreamEntry] = {}
        # Moving average of the time to the first byte.
        self._first_byte_times: dict[ServiceId, timedelta] = {}
        # Start and expected time to the first byte of attempts that have not got it yet.
        self._awaited_first_bytes: dict[tuple[str, UpstreamId], tuple[timedelta, timedelta]] = {}
        # Start of each attempt in flight; a request may have two.
        self._attempts_began: dict[tuple[str, UpstreamId], timedelta] = {}
        # When this node learnt of the evacuation of each evacuated zone.
        self._evacuated_since: dict[ZoneId, timedelta] = {}
        self._accepting = False
        self._has_left = False
        self.forecaster = Forecaster()
        self._competition = Competition()
        self.stop_plan = StopPlan(settings.cpu_cores, self.forecaster)
        # Requests that the stop has ended, by what their callers were told.
        self._ended_by_stop: Counter[str] = Counter()
        # Requests that have been read and whose response has not been written yet.
        self._unanswered = 0
        self._open_requests: dict[int, RequestContext] = {}

    # ForwardingBackend

    def configuration(self) -> ServingConfiguration | None:
        """Return the configuration in force."""
        return self.catalogue.configuration

    def is_accepting(self) -> bool:
        """Whether the node accepts new requests."""
        return self._accepting

    @contextlib.contextmanager
    def answering(self) -> Iterator[None]:
        """Count a request as unanswered within the context."""
        with self.lock:
            self._unanswered += 1
        try:
            yield
        finally:
            with self.lock:
                self._unanswered -= 1

    @property
    def unanswered(self) -> int:
        """Requests that were read and whose response is not complete, refused ones included."""
        return self._unanswered

    def begin_stop(self, grace: timedelta) -> None:
        """Complete from now on only what ends within ``grace``, after which the process is killed.

        The requests in progress end at the latest when the node ends them.
        """
        now = self.clock.monotonic()
        with self.lock:
            self.stop_plan.begin(now, grace)
            for context in self._open_requests.values():
                self._limit_by_stop(context)

    def check_stop(self, context: RequestContext, *, is_admitted: bool) -> str | None:
        """Return why a request cannot be completed before the node stops; None if it can.

        For an admitted request, the answer concerns the next attempt at an upstream. Requests
        arrive until the end, from callers that use an older look-up answer.
        """
        if not self.stop_plan.is_stopping:
            return None
        if context.node_stopping:
            return "this node stops"
        now = self.clock.monotonic()
        with self.lock:
            shortfall = self.stop_plan.shortfall(
                _subject(context),
                Work.ATTEMPT if is_admitted else Work.REQUEST,
                context.deadline - now,
                now,
                is_stream=_is_stream(context),
                in_progress=self.in_progress,
            )
        return str(shortfall) if shortfall is not None else None

    def stop_accepting(self) -> None:
        """Refuse all further requests."""
        with self.lock:
            self._has_left = True

    def stop_accepting_if_idle(self) -> bool:
        """Refuse all further requests if none is in progress; return whether that is so."""
        with self.lock:
            self._has_left = self._has_left or not self.in_progress
            return not self.in_progress

    def final_responses_at(self) -> timedelta:
        """Return when the requests in progress get their final responses."""
        return self.stop_plan.final_responses_at(self.in_progress)

    def end_requests(self, *, include_begun: bool) -> list[str]:
        """End requests in progress because the node stops, and return their ids.

        The requests get a truthful error response. Streams that have begun can get none: they are
        cut off if ``include_begun`` is set.
        """
        with self.lock:
            contexts = [
                context
                for context in self._open_requests.values()
                if (include_begun or not context.stream_begun) and not context.node_stopping
            ]
        for context in contexts:
            context.stop_waiting()
        return [context.metadata.request_id for context in contexts]

    @property
    def ended_by_stop(self) -> dict[str, int]:
        """Number of requests that the stop has ended, by what their callers were told."""
        with self.lock:
            return dict(self._ended_by_stop)

    def accept_requests(self) -> None:
        """Accept requests from now on."""
        self._accepting = True

    def upstreams(self, service: ServiceId) -> Sequence[UpstreamEntry]:
        """Return the ready upstreams of a service except the misdirected ones.

        Those that leave, want a pause or lie in evacuated zones are included.
        """
        with self.lock:
            return self._directed(service)

    def unavailability(self, service: ServiceId) -> Problem | None:
        """Return why no upstream of a service may be used, None if one may be."""
        now = self.clock.monotonic()
        with self.lock:
            entries = self._registered(service)
            if not entries and self._directed(service):
                detail = "all upstreams of the service lie in evacuated zones"
                return Problem(ResultCode.ZONES_EVACUATED, detail)
            if not entries:
                detail = "no upstream of the service is known"
                return Problem(ResultCode.NO_UPSTREAM, detail)
            standing = self.balancer.standing
            usable = standing.open_upstreams(entries, now)
            if self._open(service, usable, now):
                return None
            if usable:
                return self._cold_problem(service, usable, now)
            pause_end = standing.next_return(entries, now)
        if pause_end is None:
            return Problem(ResultCode.UPSTREAMS_LEAVING, "all upstreams of the service are leaving")
        detail = "all upstreams of the service want a pause"
        return Problem(ResultCode.UPSTREAMS_PAUSED, detail, Executed.NO, pause_end - now)

    def choose(
        self, service: ServiceId, load: RequestLoad, excluded: Sequence[UpstreamId]
    ) -> tuple[UpstreamEntry, UpstreamChoice] | None:
        """Choose an upstream of a service for ``load``; None if none can be chosen."""
        now = self.clock.monotonic()
        with self.lock:
            allowed = self.regions.allowed(load.homes, self._registered(service))
            entries = self._open(service, allowed, now)
            choice = self.balancer.choose(entries, load, now, excluded)
            if choice is None:
                return None
            return self.catalogue.upstreams[choice.upstream], choice

    def outside_homes(self, context: RequestContext) -> Problem | None:
        """Return why the homes of a request leave it no upstream, None if they do not."""
        if context.load.homes is None:
            return None
        with self.lock:
            check = HomesCheck(self.regions, self._registered, tuple(self.fleet.zones))
            problem = check.problem(context)
        if problem is not None:
            self.metrics.request_outside_homes(context.route.name)
        return problem

    def zone_hint(self, service: ServiceId, load: RequestLoad, input_bytes: int) -> str:
        """Return the zone that will read ``input_bytes``, "" if their location decides it.

        The zone is known only for work that goes to the home upstream of its session.
        """
        if not self.balancer.prefers_home(load, input_bytes):
            return ""
        chosen = self.choose(service, load, ())
        return chosen[0].zone if chosen is not None else ""

    def admit_request(self, context: RequestContext) -> bool:
        """Keep a request until it has finished, and count it for the retry budget.

        Returns False if the node has left.
        """
        with self.lock:
            if self._has_left:
                return False
            self.in_progress += 1
            self.budget.record_request(context.service, self.clock.monotonic())
            self._open_requests[id(context)] = context
            if self.stop_plan.is_stopping:
                self._limit_by_stop(context)
            return True

    def forecast(self, context: RequestContext) -> Rest:
        """Return how long an attempt takes that begins now, if it goes well."""
        if not _is_stream(context):
            return Rest()
        now = self.clock.monotonic()
        with self.lock:
            return self.forecaster.attempt(_subject(context), context.stream_size, now)

    def check_rest(self, context: RequestContext, pieces: Sequence[int]) -> Misfit | None:
        """Return why a stream cannot end in time even if it goes well; None if it can."""
        context.forecast = rest = self.forecast(context)
        now = self.clock.monotonic()
        with self.lock:
            if any(pieces) and _is_stream(context) and not context.stream_size.resumed:
                stages = self.forecaster.stages(_subject(context), pieces, now)
                rest = replace(rest, stages=stages)
            if any(pieces) and self._has_rivals(context):
                context.usual_first_byte = self._first_byte_times.get(
                    context.service, INITIAL_FIRST_BYTE_TIME
                )
            misfit = self.forecaster.misfit(rest, context.time_left(now))
        if misfit is not None:
            self.metrics.forecast_compared(context.route.name, ForecastOutcome.REFUSED)
        return misfit

    def _has_rivals(self, context: RequestContext) -> bool:
        """Whether the stages of a request are admitted by their owner (``StageAdmission``)."""
        if not self._competition.includes(context.configuration, context.route):
            return False
        services = {stage.service for stage in context.route.stages}
        return all(len(self._registered(s)) >= MIN_UPSTREAMS for s in services)

    def stages_ended(self, context: RequestContext, pieces: Sequence[int]) -> None:
        """Record that all stages of a request have ended for the first time."""
        now = self.clock.monotonic()
        with self.lock:
            took = now - context.request.arrived
            self.forecaster.record_stages(_subject(context), pieces, took, now)

    def take_retry(self, service: ServiceId) -> bool:
        """Take one repetition from the retry budget; False if the budget is used up."""
        with self.lock:
            return self.budget.take(service, self.clock.monotonic())

    def give_back_retry(self, service: ServiceId) -> None:
        """Give a retry back to the retry budget for which nothing was sent."""
        with self.lock:
            self.budget.give_back(service)

    def request_finished(self, context: RequestContext, outcome: ForwardingOutcome) -> None:
        """Record the end of a request."""
        now = self.clock.monotonic()
        with self.lock:
            self.in_progress -= 1
            self._open_requests.pop(id(context), None)
            if context.is_ended_by_stop(now):
                self._ended_by_stop[_told_at_stop(outcome)] += 1
            elif context.sent_attempts and not context.caller_gone:
                self.forecaster.record(_subject(context), Work.REQUEST, outcome.took, now)
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
            self._attempts_began[(context.metadata.request_id, entry.id)] = now
            if self.cold.record_request(entry.id, now):
                self.metrics.cold_upstream_used(context.service)
            self.balancer.record_start(entry.id, context.load, now)
            typical = self._first_byte_times.get(context.service, INITIAL_FIRST_BYTE_TIME)
            expected = (
                choice.usual_wait + ENGINE_OVERHEAD if context.load.prompt_tokens else typical
            )
            self._awaited_first_bytes[(context.metadata.request_id, entry.id)] = (now, expected)
        if choice.report_age is not None:
            self.metrics.aged_reports_used(entry.service, choice.report_age)

    def answer_received(
        self,
        upstream: UpstreamIncarnation,
        metadata: ResponseMetadata,
        requests: Collection[RequestId] | None = None,
    ) -> None:
        """Record what an upstream says of itself in the head of a response.

        The response of another upstream at the same address says nothing of this one. Neither does
        a response to another request, if ``requests`` are the ones it may belong to.
        """
        states_load = metadata.load is not None or metadata.load_unreadable
        if metadata.misdirected or not (metadata.leaving or metadata.retry_after or states_load):
            return
        if requests is not None and metadata.request_id not in (None, *requests):
            return
        now = self.clock.monotonic()
        with self.lock:
            self._load_watch.answer_received(upstream, metadata, now)
            self._report_standing(
                self.balancer.standing.record_answer(
                    upstream, leaving=metadata.leaving, pause=metadata.retry_after, now=now
                )
            )

    def may_send(self, upstream: UpstreamIncarnation) -> bool:
        """Whether an upstream may get anything new."""
        now = self.clock.monotonic()
        with self.lock:
            entry = self.catalogue.upstreams.get(upstream.id)
            if entry is not None:
                if self.balancer.standing.is_evacuated(entry):
                    return False
                if not self.cold.may_send(entry.id, self._warm_up(entry.service), now):
                    return False
            return self.balancer.standing.bar(upstream, now) is None

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
            if _is_stream(context):
                size = context.stream_size
                self.forecaster.record_first_event(_subject(context), size, took, now)
            average = self._first_byte_times.get(context.service, INITIAL_FIRST_BYTE_TIME)
            self.balancer.observe_pace(entry.id, expected, took, now)
            self.balancer.times.record_first_byte(entry.service, took)
            self._first_byte_times[context.service] = average + (took - average) * FIRST_BYTE_WEIGHT

    def stream_ended(self, context: RequestContext, size: StreamSize, took: timedelta) -> None:
        """Record how long a stream took from its first event to its end or its deadline."""
        now = self.clock.monotonic()
        with self.lock:
            self.forecaster.record_stream(_subject(context), size, took, now)
        forecast = context.forecast.stream
        if forecast.evidence is None:
            outcome = ForecastOutcome.UNKNOWN
        else:
            outcome = ForecastOutcome.SOONER if took < forecast.time else ForecastOutcome.LATER
        self.metrics.forecast_compared(context.route.name, outcome)

    def attempt_ended(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Count an attempt as no longer in flight, and record how long it took."""
        now = self.clock.monotonic()
        with self.lock:
            self.balancer.record_end(entry.id)
            self.balancer.end_probe(entry.id)
            began = self._attempts_began.pop((context.metadata.request_id, entry.id), None)
            if began is not None and not (context.caller_gone or context.node_stopping):
                took = now - began
                self.forecaster.record(_subject(context), Work.ATTEMPT, took, now)
                self.balancer.times.record_stay(entry.service, took)
            if (
                self._awaited_first_bytes.pop((context.metadata.request_id, entry.id), None)
                is not None
            ):
                self.balancer.record_prompt_read(entry.id, context.load)

    def attempt_succeeded(self, entry: UpstreamEntry) -> None:
        """Record a successful answer of an upstream."""
        now = self.clock.monotonic()
        with self.lock:
            self.balancer.record_success(entry.id, now)
            if entry.id in self._unreachable:
                self._unreachable.discard(entry.id)
                self._begin_cold(entry, ColdReason.ANSWERS_AGAIN, now)
            self.report_actions()

    def answer_begun(self, context: RequestContext) -> None:
        """Record that an upstream has gone on after the start of its answer."""
        with self.lock:
            self.crash_watch.answer_begun(context.profile)

    def answer_ended(self, context: RequestContext) -> None:
        """Record a whole answer, which clears what it has in common with others."""
        with self.lock:
            self.crash_watch.answered(context.profile)

    def answer_broke_off(
        self, context: RequestContext, entry: UpstreamEntry, *, at_start: bool
    ) -> None:
        """Record that an upstream has broken off its answer, and find out whether it crashed."""
        self._check_broken(entry, [CrashedRequest(context.profile, at_start)])

    def stage_call_broke_off(
        self, upstream: UpstreamIncarnation, profiles: Sequence[RequestProfile]
    ) -> None:
        """Record that an upstream has broken off its answer to a stage call."""
        with self.lock:
            entry = self.catalogue.upstreams.get(upstream.id)
        if entry is not None and entry.incarnation == upstream:
            self._check_broken(entry, [CrashedRequest(profile, True) for profile in profiles])

    def stage_call_ended(self, profiles: Sequence[RequestProfile]) -> None:
        """Record that a stage call was answered."""
        with self.lock:
            for profile in profiles:
                self.crash_watch.answered(profile)

    def _check_broken(self, entry: UpstreamEntry, requests: Sequence[CrashedRequest]) -> None:
        with self.lock:
            # Each of them is recorded, whether or not an earlier one asks for the check.
            must_check = [self.crash_watch.answer_broken(entry, request) for request in requests]
        if not any(must_check):
            return
        refuses = refuses_connections(entry.address)
        with self.lock:
            self.crash_watch.upstream_checked(entry, refuses_connections=refuses)
            if refuses:
                now = self.clock.monotonic()
                self._unreachable.add(entry.id)
                self.balancer.record_failure(entry.id, now, "crashed", certain=True)
            self.report_actions()

    def quarantined(self, context: RequestContext, *, is_sent: bool) -> Problem | None:
        """Return why requests like this one get no upstream, None if they may."""
        watch = self.crash_watch
        with self.lock:
            if is_sent:
                # A probe may end an upstream; the last one of a service is not risked.
                may_probe = len(self._registered(context.service)) > 1
                problem = watch.admit(context.profile, may_probe=may_probe)
            else:
                problem = watch.refusal(context.profile)
                for profile in self._piece_profiles(context):
                    problem = problem or watch.admit(profile, may_probe=True)
        if problem is not None:
            self.metrics.request_quarantined(context.service)
        return problem

    def _piece_profiles(self, context: RequestContext) -> list[RequestProfile]:
        """Return the profiles of the pieces that a request orders by its key."""
        key = context.metadata.piece_key
        if not key:
            return []
        services = {stage.service for stage in context.route.stages if not stage.after}
        return [piece_profile(service, key) for service in sorted(services)]

    def _refuse_waiting_requests(self) -> None:
        """Refuse requests that wait for their stages and would get no upstream then."""
        for context in list(self._open_requests.values()):
            if context.sent_attempts == 0 and context.refusal is None:
                for profile in (context.profile, *self._piece_profiles(context)):
                    problem = self.crash_watch.refusal(profile)
                    if problem is not None:
                        context.refuse(problem)

    def attempt_failed(self, entry: UpstreamEntry, reason: str, certain: bool) -> None:
        """Record a failure of an upstream; a ``certain`` one ejects it at once."""
        with self.lock:
            if certain:
                self._unreachable.add(entry.id)
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
        longest = remaining * FIRST_BYTE_TIMEOUT_SHARE
        if not is_stream:
            # A second attempt is useful as long as it has the typical time.
            longest = max(longest, remaining - typical)
        return min(max(wait, shortest), longest)

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
        if context.caller_gone or context.node_stopping:
            return False
        if now - started >= self.balancer.settings.silence.bound:
            return False
        if context.time_left(now) <= timedelta(0):
            return False
        with self.lock:
            return not self._untried(context, now)

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
        if self.check_stop(context, is_admitted=True) is not None:
            return False
        now = self.clock.monotonic()
        with self.lock:
            others = self._untried(context, now)
            return bool(others) and self.budget.can_take(context.service, now)

    def _untried(self, context: RequestContext, now: timedelta) -> list[UpstreamEntry]:
        """Return the usable upstreams at which a request has not been tried."""
        registered = self.regions.allowed(context.load.homes, self._registered(context.service))
        entries = self.balancer.standing.open_upstreams(registered, now)
        entries = self._open(context.service, entries, now)
        return [entry for entry in entries if entry.id not in context.tried_upstreams]

    # Directory

    def upstream_changed(self, change: UpstreamChanged) -> None:
        """Drop what a change of an upstream has made obsolete. The caller holds the lock."""
        self.crash_watch.upstream_changed(change)
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
            self._unreachable.discard(change.id)
            self.cold.forget(change.id)
        if change.entry is not None:
            self._observe_warmth(change.entry, is_new=change.previous is None or restarted)
            self._report_standing(
                self.balancer.standing.record_registration(change.entry.incarnation)
            )

    def evacuation_changed(self, change: EvacuationChanged, position: StorePosition) -> None:
        """Use the upstreams of a zone, or stop using them. The caller holds the lock."""
        now = self.clock.monotonic()
        zones = self.catalogue.evacuated_zones
        self.balancer.standing.set_evacuated_zones(zones)
        self.metrics.zones_evacuated(len(zones))
        upstreams = [e for e in self.catalogue.upstreams.values() if e.zone == change.zone]
        if not change.is_evacuated:
            for entry in upstreams:
                self._begin_cold(entry, ColdReason.ZONE_RETURNED, now)
        began = self._evacuated_since.pop(change.zone, now)
        if change.is_evacuated:
            self._evacuated_since[change.zone] = now
        self.log.note(
            "catalogue",
            "zone evacuated" if change.is_evacuated else "zone returned",
            zone=change.zone,
            upstreams=len(upstreams),
            after_s=None if change.is_evacuated else round((now - began).total_seconds(), 3),
            **position.fields,
        )

    def _observe_warmth(self, entry: UpstreamEntry, *, is_new: bool) -> None:
        """Count an upstream as cold that says so, or that started while this node was running."""
        now = self.clock.monotonic()
        if is_new and self._accepting:
            self._begin_cold(entry, ColdReason.STARTED, now)
        elif entry.cold_remaining:
            self._begin_cold(entry, ColdReason.ANNOUNCED, now, entry.cold_remaining)

    def _begin_cold(
        self,
        entry: UpstreamEntry,
        reason: ColdReason,
        now: timedelta,
        remaining: timedelta | None = None,
    ) -> None:
        until = self.cold.begin(entry, self.catalogue.service(entry.service), now, remaining)
        if until is not None:
            self.log.note(
                "balancing",
                "cold",
                upstream=entry.id,
                service=entry.service,
                reason=reason.value,
                seconds=round((until - now).total_seconds(), 3),
            )

    def _warm_up(self, service: ServiceId) -> WarmUpSpec | None:
        spec = self.catalogue.service(service)
        return spec.warm_up if spec is not None else None

    def _open(
        self, service: ServiceId, entries: Sequence[UpstreamEntry], now: timedelta
    ) -> Sequence[UpstreamEntry]:
        """Leave out the cold upstreams that get no request of this node now."""
        return self.cold.open_upstreams(entries, self._warm_up(service), now)

    def _cold_problem(
        self, service: ServiceId, entries: Sequence[UpstreamEntry], now: timedelta
    ) -> Problem:
        returns_at = self.cold.next_return(entries, self._warm_up(service), now) or now
        self.metrics.kept_from_cold_upstreams(service)
        detail = "all usable upstreams of the service are cold"
        return Problem(ResultCode.UPSTREAMS_COLD, detail, Executed.NO, returns_at - now)

    def _cold_fleet(self) -> ColdFleet:
        members = tuple(self.fleet.settled_nodes())
        knows_most = 2 * len(members) > len(self.registered_nodes)
        return ColdFleet(members, self.fleet.is_known_as_settled and knows_most)

    def upstream_at(self, address: str) -> UpstreamEntry | None:
        """Return the only upstream at an address. The caller holds the lock."""
        entries = [e for e in self.catalogue.upstreams.values() if e.address == address]
        return entries[0] if len(entries) == 1 else None

    # Statements of upstreams; the caller holds the lock

    def leaving_reports(self) -> tuple[LeavingReport, ...]:
        """Return reports for peers: upstreams that leave but are still registered as ready."""
        return tuple(self.balancer.standing.take_reports(self.catalogue.upstreams))

    def leaving_reported(self, node: NodeId, reports: Sequence[LeavingReport]) -> None:
        """Record the upstreams that a peer reports as leaving."""
        self._report_standing(self.balancer.standing.record_peer_reports(node, reports))

    def load_spreads(self) -> dict[ServiceId, float]:
        """Return the spread of the load over the ready upstreams, by service with any load."""
        services = {entry.service for entry in self.catalogue.upstreams.values()}
        spreads = {
            service: self.balancer.load_spread(self.catalogue.ready_upstreams(service))
            for service in services
        }
        return {service: spread for service, spread in spreads.items() if spread is not None}

    def count_barred(self) -> Counter[Bar]:
        """Return the number of registered upstreams that get nothing, by reason."""
        now = self.clock.monotonic()
        standing = self.balancer.standing
        bars = (
            Bar.EVACUATED if standing.is_evacuated(entry) else standing.bar(entry.incarnation, now)
            for entry in self.catalogue.upstreams.values()
        )
        return Counter(bar for bar in bars if bar is not None)

    def _report_standing(self, changes: Sequence[StandingChanged]) -> None:
        now = self.clock.monotonic()
        for change in changes:
            self.metrics.standing_changed(change.event, change.source)
            pause: dict[str, Any] = {}
            if change.until is not None:
                left = change.until - now
                until = (self.clock.now() + left).isoformat(timespec="milliseconds")
                pause = {"until": until, "seconds": round(left.total_seconds(), 3)}
            self.log.note(
                "balancing",
                change.event.value,
                upstream=change.upstream.id,
                started_at_ms=change.upstream.started_at_ms,
                said_by=change.source,
                **pause,
            )

    def configuration_changed(self, configuration: ServingConfiguration) -> None:
        """Forget the durations of routes that no longer exist, and log homes that cannot be served.

        The caller holds the lock.
        """
        self._configuration_check.start(configuration)
        for finding in self.regions.findings(configuration)[:MAX_LOGGED_FINDINGS]:
            self.log.note(
                "catalogue",
                "homes not servable",
                version=configuration.version,
                subject=finding.subject,
                reason=finding.detail,
            )
        self.forecaster.retain(
            frozenset(
                Subject(route.name, service)
                for route in configuration.routes
                for service, _ in route.split
            )
        )

    def report_actions(self) -> None:
        """Log the ejections and returns of upstreams. The caller holds the lock."""
        for action in self.balancer.drain_actions():
            self.log.note(action.part, action.action, upstream=action.subject, reason=action.reason)

    def _registered(self, service: ServiceId) -> tuple[UpstreamEntry, ...]:
        """Return the ready upstreams of a service that may be used.

        The misdirected ones and those of evacuated zones are left out.
        """
        entries = self._directed(service)
        if not self.catalogue.evacuated_zones:
            return entries
        standing = self.balancer.standing
        return tuple(entry for entry in entries if not standing.is_evacuated(entry))

    def _directed(self, service: ServiceId) -> tuple[UpstreamEntry, ...]:
        """Return the ready upstreams of a service except the misdirected ones."""
        entries = self.catalogue.ready_upstreams(service)
        if not self._misdirected:
            return entries
        return tuple(entry for entry in entries if entry.id not in self._misdirected)

    def _limit_by_stop(self, context: RequestContext) -> None:
        context.node_stops_at = self.stop_plan.end_of(
            is_stream=_is_stream(context), in_progress=self.in_progress
        )


def _subject(context: RequestContext) -> Subject:
    return Subject(context.route.name, context.service)


def _is_stream(context: RequestContext) -> bool:
    return context.route.kind is RequestKind.STREAM


def _told_at_stop(outcome: ForwardingOutcome) -> str:
    """Return what the caller of a request was told that the stop has ended."""
    if outcome.name == "rejected":
        return "not executed" if outcome.status == 503 else "outcome unknown"
    return outcome.name
