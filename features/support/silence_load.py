"""Simulates what a silent or crashed upstream costs callers, without network or threads.

Each node decides with its own ``ServingState``. An engine reads prompts one after another and then
sends an event of each stream every 50 ms; a plain upstream answers after a short time.
"""

import heapq
import io
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from types import SimpleNamespace

from chervilrack._internal.balancing.state import RequestLoad, UpstreamChoice
from chervilrack._internal.catalogue.core import Catalogue
from chervilrack._internal.catalogue.state import (
    RequestKind,
    Route,
    ServingConfiguration,
    UpstreamEntry,
    UpstreamState,
)
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.ids import NodeId, RequestId, ServiceId, UpstreamId, ZoneId
from chervilrack._internal.fleet.core import FleetSettings
from chervilrack._internal.forwarding.bounds import Bound
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.forwarding.dialect import RequestMetadata
from chervilrack._internal.forwarding.messages import InboundRequest
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack._internal.serving.state import ServingState
from chervilrack._internal.upstreams.exchange import CONNECT_ATTEMPTS, CONNECT_TIMEOUT_S

ENGINE_TOKENS_PER_S = 38_400.0
EVENT_INTERVAL = timedelta(milliseconds=50)
EVENTS = 30
PLAIN_TIME_S = 0.03
# The store removes the entry of an upstream that sends no heartbeats after this time.
ENTRY_LIFETIME = timedelta(seconds=3)
REFUSAL_TIME = timedelta(milliseconds=3)
PATIENCE = timedelta(seconds=2)
MAX_ATTEMPTS = 4
_NEVER = timedelta(days=1)


@dataclass(frozen=True)
class Trouble:
    """What an upstream does from ``start`` to ``end``.

    ``kind`` is "silent" (connections are accepted, but nothing is read or sent), "frozen" (no
    connection is accepted either), "dark" (as frozen, without an end) or "crash" (connections are
    reset and refused, without an end).
    """

    kind: str
    start: timedelta
    end: timedelta = _NEVER

    @property
    def ends(self) -> bool:
        return self.kind in ("silent", "frozen")


@dataclass
class SilenceResult:
    """Outcome of the requests: ``outcomes`` counts them by kind and "on time", "late" or "failed".

    ``sent_at`` holds the times of the attempts at upstream 0, ``repeated`` counts attempts after
    one that may have run, ``broken`` streams that were left midway, ``ejections`` the ejections of
    upstream 0. ``second_sent_at`` and ``second_ejections`` are those of upstream 1.
    """

    outcomes: Counter = field(default_factory=Counter)
    sent_at: list[timedelta] = field(default_factory=list)
    repeated: int = 0
    broken: int = 0
    ejections: int = 0
    second_sent_at: list[timedelta] = field(default_factory=list)
    second_ejections: int = 0

    def share(self, outcome: str) -> float:
        count = sum(n for (_, name), n in self.outcomes.items() if name == outcome)
        return count / max(1, sum(self.outcomes.values()))

    def count(self, outcome: str) -> int:
        return sum(n for (_, name), n in self.outcomes.items() if name == outcome)


@dataclass(eq=False)
class _Attempt:
    entry: UpstreamEntry
    choice: UpstreamChoice
    started: timedelta
    live: bool = True
    begun: bool = False
    last_event_at: timedelta = timedelta(0)


@dataclass(eq=False)
class _Request:
    kind: str
    node: int
    context: RequestContext
    events_left: int
    last_event_at: timedelta | None = None
    on_time: bool = True
    ended: bool = False
    attempts: int = 0
    tried: int = 0


ROUTES = {
    "stream": Route(
        "stream",
        "",
        "/",
        RequestKind.STREAM,
        timeout=timedelta(seconds=6),
        target_latency=timedelta(milliseconds=500),
        split=((ServiceId("up"), 1.0),),
        max_attempts=2,
        resumable=True,
        max_gap=timedelta(milliseconds=250),
    ),
    "order": Route(
        "order",
        "",
        "/",
        RequestKind.NON_IDEMPOTENT,
        timeout=timedelta(seconds=4),
        target_latency=timedelta(milliseconds=300),
        split=((ServiceId("up"), 1.0),),
    ),
    "look-up": Route(
        "look-up",
        "",
        "/",
        RequestKind.IDEMPOTENT,
        timeout=timedelta(seconds=4),
        target_latency=timedelta(milliseconds=300),
        split=((ServiceId("up"), 1.0),),
        max_attempts=2,
    ),
}

CONFIGURATION = ServingConfiguration(1, tuple(ROUTES.values()), {})


class SilenceSimulation:
    """One simulation with a seed, in which upstreams 0 and 1 may have trouble."""

    def __init__(
        self,
        rates: dict[str, float],
        nodes: int,
        upstreams: int,
        seed: int,
        trouble: Trouble | None,
        second_trouble: Trouble | None = None,
    ) -> None:
        self._rates = rates
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._catalogue = Catalogue()
        for number in range(upstreams):
            entry = UpstreamEntry(
                UpstreamId(f"u{number:02}"),
                ServiceId("up"),
                f"10.0.0.{number}:80",
                ZoneId("z"),
                UpstreamState.READY,
                slots=32,
            )
            self._catalogue.put_upstream(entry, 1)
        self._entries = self._catalogue.ready_upstreams(ServiceId("up"))
        self._bad, self._second = self._entries[:2]
        self._troubles = {self._bad.id: trouble, self._second.id: second_trouble}
        self._busy_until = dict.fromkeys((e.id for e in self._entries), timedelta(0))
        self._written: list[tuple[_Request, _Attempt]] = []
        self._nodes = [self._create_state(number, seed, nodes) for number in range(nodes)]
        settings = FleetSettings()
        self._interval = max(
            settings.min_heartbeat_interval, settings.heartbeat_interval_per_node * nodes
        )
        self.result = SilenceResult()

    def _create_state(self, number: int, seed: int, nodes: int) -> ServingState:
        address = Address("10.1.0.1", 80)
        name = NodeId(f"n{number}")
        settings = ServingSettings(name, ZoneId("z"), address, address, address, address)
        log = DecisionLog(name, io.StringIO())
        state = ServingState(settings, SimpleNamespace(size=nodes), self._clock, log)
        state.rng = state.balancer.rng = random.Random(seed * 1000 + number)
        state.catalogue = self._catalogue
        original = log.note

        def note(part: str, event: str, **fields: object) -> None:
            if event == "eject" and fields.get("upstream") == self._bad.id:
                self.result.ejections += 1
            elif event == "eject" and fields.get("upstream") == self._second.id:
                self.result.second_ejections += 1
            log._buffer.clear()
            original(part, event, **fields)

        log.note = note
        return state

    def run(self, seconds: float) -> SilenceResult:
        """Simulate arrivals for some seconds, and run until all requests have ended."""
        for kind, rate in self._rates.items():
            time = 0.0
            while (time := time + self._rng.expovariate(rate)) < seconds:
                self._at(timedelta(seconds=time), lambda kind=kind: self._arrive(kind))
        end = timedelta(seconds=seconds)
        for number in range(len(self._nodes)):
            self._at(self._interval * self._rng.random(), lambda n=number: self._report(n, end))
        for id, trouble in self._troubles.items():
            if trouble is not None and not trouble.ends:
                self._plan_end(id, trouble)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(at - self._now)
            action()
        return self.result

    def _plan_end(self, id: UpstreamId, trouble: Trouble) -> None:
        """Plan the end of an upstream's connections and of its entry in the store."""
        if trouble.kind == "crash":
            self._at(trouble.start, lambda: self._reset_all(id))
        removed = trouble.start + ENTRY_LIFETIME
        self._at(removed, lambda: self._catalogue.remove_upstream(id, None, removed))

    @property
    def _now(self) -> timedelta:
        return self._clock.monotonic()

    def _at(self, at: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(at, self._now), next(self._sequence), action))

    def _after(self, delay: timedelta, action: Callable[[], None]) -> None:
        self._at(self._now + delay, action)

    def _report(self, number: int, end: timedelta) -> None:
        reports = self._nodes[number].balancer.local_reports(self._now)
        for other, state in enumerate(self._nodes):
            if other != number:
                state.balancer.set_peer_reports(NodeId(f"n{number}"), reports, self._now)
        if self._now < end:
            self._after(self._interval, lambda: self._report(number, end))

    # Upstreams

    def _state_of(self, entry: UpstreamEntry, at: timedelta) -> str:
        trouble = self._troubles.get(entry.id)
        if trouble is None or not trouble.start <= at < trouble.end:
            return "good"
        return trouble.kind

    def _finish(self, entry: UpstreamEntry, start: timedelta, work: timedelta) -> timedelta:
        """Return when an upstream has done ``work`` that it can begin at ``start``."""
        trouble = self._troubles.get(entry.id)
        if trouble is None or start + work <= trouble.start:
            return start + work
        if not trouble.ends:
            return _NEVER
        if start >= trouble.end:
            return start + work
        return max(start, trouble.start) + work + (trouble.end - max(start, trouble.start))

    def _reset_all(self, id: UpstreamId) -> None:
        for request, attempt in self._written:
            if attempt.live and attempt.entry.id == id:
                self._fail(request, attempt, "no answer (ConnectionResetError)")

    # Requests

    def _arrive(self, kind: str) -> None:
        number = next(self._sequence)
        route = ROUTES[kind]
        load = RequestLoad()
        if kind == "stream":
            session = self._rng.randrange(800)
            own = min(20_000, round(self._rng.lognormvariate(6.9, 1.0)))
            load = RequestLoad(own + 3000, (("root", 2000), (f"s{session}", 1000)))
        metadata = RequestMetadata(RequestId(f"r{number}"), prompt_tokens=load.prompt_tokens)
        now = self._now
        context = RequestContext(
            request=InboundRequest("POST", "/", "", (), b"", now),
            metadata=metadata,
            route=route,
            service=ServiceId("up"),
            organisation=None,
            priority=1,
            deadline=now + route.timeout,
            due=now + route.target_latency,
            first_byte_deadline=now + route.timeout,
            deadline_bound=Bound.ROUTE_TIMEOUT,
            configuration=CONFIGURATION,
            load=load,
        )
        node = self._rng.randrange(len(self._nodes))
        request = _Request(kind, node, context, EVENTS if kind == "stream" else 1)
        self._nodes[node].admit_request(context)
        self._at(context.deadline, lambda: self._end(request, "failed"))
        if kind == "stream":
            self._after(PATIENCE, lambda: self._check_patience(request))
        self._send(request)

    def _check_patience(self, request: _Request) -> None:
        """End a stream whose caller has had no event for as long as it waits."""
        if request.ended:
            return
        last = request.last_event_at or request.context.request.arrived
        if self._now - last >= PATIENCE:
            self._end(request, "failed")
        else:
            self._at(last + PATIENCE, lambda: self._check_patience(request))

    def _send(self, request: _Request) -> None:
        if request.ended:
            return
        state, context = self._nodes[request.node], request.context
        request.tried += 1
        chosen = None
        if request.tried <= MAX_ATTEMPTS:
            chosen = state.choose(context.service, context.load, tuple(context.tried_upstreams))
        if chosen is None:
            self._end(request, "failed")
            return
        entry, choice = chosen
        context.tried_upstreams.add(entry.id)
        if entry == self._bad:
            self.result.sent_at.append(self._now)
        elif entry == self._second:
            self.result.second_sent_at.append(self._now)
        attempt = _Attempt(entry, choice, self._now)
        state.attempt_started(context, entry, choice)
        self._connect(request, attempt, CONNECT_ATTEMPTS)

    def _connect(self, request: _Request, attempt: _Attempt, attempts_left: int) -> None:
        condition = self._state_of(attempt.entry, self._now)
        if condition == "crash":
            self._after(REFUSAL_TIME, lambda: self._fail_to_connect(request, attempt, False))
        elif condition in ("frozen", "dark"):
            wait = timedelta(seconds=CONNECT_TIMEOUT_S)
            if attempts_left == 1:
                self._after(wait, lambda: self._fail_to_connect(request, attempt, True))
            else:
                self._after(wait, lambda: self._connect(request, attempt, attempts_left - 1))
        else:
            self._write(request, attempt)

    def _fail_to_connect(self, request: _Request, attempt: _Attempt, silent: bool) -> None:
        if request.ended:
            self._close(request, attempt)
            return
        state = self._nodes[request.node]
        if silent:
            state.attempt_silent(attempt.entry, attempt.started, "no connection")
        else:
            state.attempt_failed(attempt.entry, "no connection", certain=True)
        self._close(request, attempt)
        self._send(request)

    def _write(self, request: _Request, attempt: _Attempt) -> None:
        state, context = self._nodes[request.node], request.context
        context.sent_attempts += 1
        request.attempts += 1
        if request.attempts > 1:
            self.result.repeated += 1
        if attempt.entry.id in self._troubles:
            self._written.append((request, attempt))
        if context.load.prompt_tokens:
            start = max(self._now, self._busy_until[attempt.entry.id])
            work = timedelta(seconds=context.load.prompt_tokens / 2 / ENGINE_TOKENS_PER_S)
            first_at = self._finish(attempt.entry, start, work)
            if first_at < _NEVER:
                self._busy_until[attempt.entry.id] = first_at
        else:
            work = timedelta(seconds=PLAIN_TIME_S * self._rng.uniform(0.5, 1.5))
            first_at = self._finish(attempt.entry, self._now, work)
        if first_at < _NEVER:
            self._at(first_at, lambda: self._receive(request, attempt))
        timeout = state.first_byte_timeout(context, attempt.choice)
        self._after(timeout, lambda: self._check_first_byte(request, attempt))

    def _check_first_byte(self, request: _Request, attempt: _Attempt) -> None:
        if not attempt.live or attempt.begun or request.ended:
            return
        state, context = self._nodes[request.node], request.context
        stay = state.time_to_stay(context, attempt.choice, attempt.started)
        if stay is None:
            return
        if stay > timedelta(0):
            self._after(stay, lambda: self._check_first_byte(request, attempt))
        else:
            self._fail(request, attempt, "silent", silent=True)

    def _receive(self, request: _Request, attempt: _Attempt) -> None:
        """Receive the next event of a stream, or the whole answer to another request."""
        if not attempt.live:
            return
        if request.ended:
            self._close(request, attempt)
            return
        state, context = self._nodes[request.node], request.context
        state.upstream_heard(attempt.entry)
        if not attempt.begun:
            attempt.begun = True
            context.executions += 1
            state.first_byte_received(context, attempt.entry)
        last = request.last_event_at
        request.on_time &= (
            self._now <= context.due
            if last is None
            else self._now - last <= (context.route.max_gap or _NEVER)
        )
        request.last_event_at = attempt.last_event_at = self._now
        request.events_left -= 1
        if request.events_left == 0:
            state.attempt_succeeded(attempt.entry)
            self._close(request, attempt)
            self._end(request, "on time" if request.on_time else "late")
            return
        next_at = self._finish(attempt.entry, self._now, EVENT_INTERVAL)
        if next_at < _NEVER:
            self._at(next_at, lambda: self._receive(request, attempt))
        if next_at - self._now > timedelta(seconds=0.3):
            gap = state.stream_gap(context.route.max_gap)
            self._after(gap, lambda at=self._now: self._check_gap(request, attempt, at))

    def _check_gap(self, request: _Request, attempt: _Attempt, at: timedelta) -> None:
        if not attempt.live or request.ended or attempt.last_event_at != at:
            return
        state, context = self._nodes[request.node], request.context
        if state.can_retry(context, context.executions):
            self.result.broken += 1
            self._fail(request, attempt, "the answer makes no progress", silent=True)

    def _fail(
        self, request: _Request, attempt: _Attempt, reason: str, *, silent: bool = False
    ) -> None:
        state, context = self._nodes[request.node], request.context
        if not attempt.begun:
            context.executions += 1
        since = attempt.last_event_at if attempt.begun else attempt.started
        if silent:
            state.attempt_silent(attempt.entry, since, reason)
        else:
            state.attempt_failed(attempt.entry, reason, certain=False)
        self._close(request, attempt)
        route = context.route
        if not (
            route.may_repeat
            and context.executions < route.max_attempts
            and state.take_retry(context.service)
        ):
            self._end(request, "failed")
            return
        self._send(request)

    def _close(self, request: _Request, attempt: _Attempt) -> None:
        if attempt.live:
            attempt.live = False
            self._nodes[request.node].attempt_ended(request.context, attempt.entry)

    def _end(self, request: _Request, outcome: str) -> None:
        if not request.ended:
            request.ended = True
            self.result.outcomes[(request.kind, outcome)] += 1
