"""Steps for what upstreams say of themselves, with the states of one and of many nodes."""

import dataclasses
import heapq
import io
import itertools
import random
from datetime import timedelta
from decimal import Decimal
from types import SimpleNamespace

from adapter_steps import PAUSE_TEXTS
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from urllib3 import HTTPHeaderDict

from chervilrack._internal.balancing.standing import Bar, LeavingReport
from chervilrack._internal.balancing.state import RequestLoad
from chervilrack._internal.batching.messages import PiecesMade
from chervilrack._internal.batching.plan import PlannedStage
from chervilrack._internal.catalogue.state import UpstreamEntry, UpstreamState
from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.ids import (
    Incarnation,
    NodeId,
    RequestId,
    ServiceId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.common.positions import StorePosition
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.fleet.core import Fleet
from chervilrack._internal.fleet.messages import Heartbeat
from chervilrack._internal.forwarding.dialect import PieceFailure, ResponseMetadata
from chervilrack._internal.forwarding.responses import problem_response, retry_after
from chervilrack._internal.forwarding.stages import StageOrder
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.messages import serving_codec
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack._internal.serving.stage_coordinator import StageCoordinator
from chervilrack._internal.serving.state import ServingState
from chervilrack.platform.headers import PlatformDialect

SERVICE = ServiceId("s")
EARLIER, BORN, LATER = 1_790_000_000_000, 1_790_000_100_000, 1_790_000_200_000
LOAD = RequestLoad()
OWN = RequestId("own")


def s(seconds):
    return timedelta(seconds=float(seconds))


def entry(name, address="10.0.0.1:80", born=BORN, state=UpstreamState.READY):
    return UpstreamEntry(
        UpstreamId(name), SERVICE, address, ZoneId("z"), state, slots=8, started_at_ms=born
    )


def create_state(name, names):
    address = Address("10.1.0.1", 1)
    settings = ServingSettings(NodeId(name), ZoneId("z"), address, address, address, address)
    state = ServingState(settings, None, ManualClock(), DecisionLog(name, io.StringIO()))
    state.revision = itertools.count(1)
    for number, upstream in enumerate(names):
        registration = entry(upstream, f"10.0.{number // 250}.{number % 250}:80")
        service = SERVICE if number < 100 else ServiceId(f"s{number // 100}")
        register(state, dataclasses.replace(registration, service=service))
    return state


def perform(state, effects):
    for effect in effects:
        state.upstream_changed(effect)


def register(state, registration):
    perform(state, state.catalogue.put_upstream(registration, next(state.revision)))


def answer(leaving=False, pause=None, request=OWN, misdirected=False):
    return ResponseMetadata(
        request, True, False, misdirected=misdirected, leaving=leaving, retry_after=pause
    )


@given("a serving state with the upstreams u1, u2 and u3")
def create_small_state(context):
    context.state = create_state("a", ["u1", "u2", "u3"])


@given("a serving state with {count:d} upstreams")
def create_large_state(context, count):
    context.names = [f"i-{number:08x}" for number in range(count)]
    context.state = create_state("a", context.names)


@when("the state observes {events}")
def observe(context, events):
    # "u1, u2 and u3" is one list of names.
    for event in events.replace("u1, u2", "u1+u2").split(", "):
        observe_event(context.state, event)


def observe_event(state, event):
    words = event.split()
    if words[0] in ("leaving", "pause"):
        observe_statement(state, words)
    elif words[0] == "registered":
        observe_registration(state, words)
    else:
        observe_other(state, event, words)


def observe_statement(state, words):
    known = state.catalogue.upstreams.get(UpstreamId("u1")) or entry("u1")
    match words:
        case ["leaving"]:
            statement, upstream = answer(leaving=True), known
        case ["leaving", "of", "the", "earlier", "start"]:
            statement, upstream = answer(leaving=True), entry("u1")
        case ["leaving", "in", "an", "answer", *_]:
            statement, upstream = answer(leaving=True, request=RequestId("another")), known
        case ["leaving", "in", "a", "misdirected", "answer"]:
            statement, upstream = answer(leaving=True, misdirected=True), known
        case ["pause", "of", seconds, "s"]:
            statement, upstream = answer(pause=s(seconds)), known
        case ["leaving", "at", "a", "peer"]:
            state.leaving_reported(NodeId("b"), [LeavingReport("u1", BORN)])
            return
    state.answer_received(upstream.incarnation, statement, [OWN])


def observe_registration(state, words):
    match words[1:]:
        case ["again"]:
            register(state, entry("u1"))
        case ["at", "another", "address"]:
            register(state, entry("u1", "10.9.9.9:80"))
        case ["with", "an", "earlier", "start"]:
            register(state, entry("u1", born=EARLIER))
        case ["with", "a", "later", "start"]:
            register(state, entry("u1", born=LATER))


def observe_other(state, event, words):
    catalogue, now = state.catalogue, state.clock.monotonic()
    match words:
        case ["nothing"]:
            pass
        case ["success"]:
            state.attempt_succeeded(catalogue.upstreams.get(UpstreamId("u1")) or entry("u1"))
        case [seconds, "s"]:
            state.clock.advance(s(seconds))
        case ["removed"] | ["lapsed"]:
            revision = next(state.revision)
            perform(state, catalogue.remove_upstream(UpstreamId("u1"), revision, now))
        case ["store", "away"]:
            catalogue.mark_store_unavailable(now)
        case ["store", "back"]:
            catalogue.mark_store_available(now)
        case ["peer", "listing", "with", "u1"]:
            listing = {name: (known_entry, 1) for name, known_entry in catalogue.upstreams.items()}
            perform(state, catalogue.apply_peer_listing(listing, [], now))
        case ["failures", "of", *_]:
            for name in ("u1", "u2", "u3"):
                if name in event:
                    state.balancer.record_failure(UpstreamId(name), now, "refused", certain=True)
        case _:
            raise AssertionError(event)


@given("the upstreams u2 and u3 are in another zone")
def move_to_other_zone(context):
    for number, name in enumerate(("u2", "u3"), 1):
        moved = dataclasses.replace(entry(name, f"10.0.0.{number}:80"), zone=ZoneId("z2"))
        register(context.state, moved)


@when("the zones of u1, u2 and u3 are evacuated")
def evacuate_zones(context):
    state = context.state
    for change in state.catalogue.evacuations.begin(ZoneId("z")):
        state.evacuation_changed(change, StorePosition(0, 1))


class RecordingCaller:
    """Frees results without network, when ``run`` is called or at once unless ``waits``."""

    def __init__(self):
        self.freed = []
        self.waits = False
        self._waiting = []

    def free(self, effect, upstream=None, on_ended=None, may_free=lambda: True):
        self._waiting.append((effect, may_free))
        if not self.waits:
            self.run()

    def run(self):
        waiting, self._waiting = self._waiting, []
        self.freed += [effect.address for effect, may_free in waiting if may_free()]


class RecordingTransport:
    def __init__(self):
        self.sent = []

    def send_to_address(self, address, message):
        self.sent.append(message)


@given("a stage coordinator")
def create_coordinator(context):
    state = context.state
    state.fleet = SimpleNamespace(
        owners=lambda: [NodeId("b")], address_of=lambda _: "10.9.0.2:1", heartbeat_interval=s(0.3)
    )
    context.caller = RecordingCaller()
    context.coordinator = StageCoordinator(
        NodeId("a"), Incarnation("01"), state, PlatformDialect(), context.caller
    )
    context.coordinator.transport = context.transport = RecordingTransport()


@given("a stage coordinator whose calls wait for threads")
def create_busy_coordinator(context):
    create_coordinator(context)
    context.caller.waits = True


@when("the calls get threads")
def run_calls(context):
    context.caller.run()


@when("results at u1 and u2 are to be freed")
def free_results(context):
    upstreams = context.state.catalogue.upstreams
    context.addresses = {name: upstreams[UpstreamId(name)].address for name in ("u1", "u2")}
    handles = [f"{address}/h" for address in context.addresses.values()]
    context.coordinator._free_unneeded(handles)


@when("{seconds:d} s pass for the coordinator")
def pass_time(context, seconds):
    clock = context.state.clock
    assert context.coordinator.next_time(clock.monotonic()) == clock.monotonic() + s(seconds)
    clock.advance(s(seconds))
    context.coordinator.tick(clock.monotonic())


@then("the results at {names} are freed")
def check_freed(context, names):
    expected = {context.addresses[name] for name in names.split(", ")}
    assert set(context.caller.freed) == expected, context.caller.freed


@when("the owner of a queue reports that all upstreams want a pause of {seconds:g} s")
def report_pause(context, seconds):
    planned = PlannedStage(0, SERVICE, (0,), (), s(1), s(1), 100, "", 0)
    request = SimpleNamespace(
        metadata=SimpleNamespace(request_id="r"),
        priority=0,
        organisation=None,
        configuration=SimpleNamespace(routes=()),
        route=SimpleNamespace(name="r"),
    )
    context.results = []
    context.coordinator.place_order(StageOrder(request, planned, "k"), context.results.append)
    ((wanted,)) = context.transport.sent
    failure = f"!{PieceFailure.ALL_PAUSED.value}"
    message = PiecesMade(wanted.order, ((0, failure),), round(seconds * 1000))
    context.coordinator.on_results(NodeId("b"), message)


@then("the request is told of a pause of {seconds:g} s")
def check_told_pause(context, seconds):
    (result,) = context.results
    assert result.result is PieceFailure.ALL_PAUSED, result
    assert result.retry_after == s(seconds), result


@then("u1 is {use} beside others")
def check_use(context, use):
    state = context.state
    # Requests in flight at the others make u1 the least loaded one.
    for name in ("u2", "u3"):
        for _ in range(20):
            state.balancer.record_start(UpstreamId(name), LOAD, state.clock.monotonic())
    chosen = {state.choose(SERVICE, LOAD, ())[0].id for _ in range(50)}
    assert ("u1" in chosen) == (use == "used"), chosen


@then("a request for which only u1 is left is {result}")
def check_alone(context, result):
    state = context.state
    chosen = state.choose(SERVICE, LOAD, [UpstreamId("u2"), UpstreamId("u3")])
    assert (chosen is not None) == (result == "sent"), chosen
    for name in ("u2", "u3"):
        perform(state, state.catalogue._remove(UpstreamId(name)))
    problem = state.unavailability(SERVICE)
    codes = {
        "refused as leaving": ResultCode.UPSTREAMS_LEAVING,
        "refused as paused": ResultCode.UPSTREAMS_PAUSED,
    }
    assert (problem.code if problem is not None else None) == codes.get(result), problem


EVENTS = st.one_of(
    st.sampled_from(
        [
            "leaving",
            "leaving at a peer",
            "success",
            "removed",
            "store away",
            "store back",
            "registered again",
            "registered at another address",
            "registered with an earlier start",
            "registered with a later start",
            "failures of u1, u2 and u3",
        ]
    ),
    st.integers(0, 100_000).map(lambda n: f"pause of {n} s"),
    st.integers(0, 100_000).map(lambda n: f"{n} s"),
)


@then("for any course of statements, registrations and time, u1 is barred exactly as they say")
def check_any_course(context):
    @for_all(st.lists(EVENTS, max_size=30))
    def check(events):
        state = create_state("a", ["u1", "u2", "u3"])
        # The latest start that said that it leaves, and the end of the pause of the latest start.
        leaving_born, pause_born, pause_end = 0, 0, s(0)
        for event in events:
            registered = state.catalogue.upstreams.get(UpstreamId("u1")) or entry("u1")
            born, now = registered.started_at_ms, state.clock.monotonic()
            observe_event(state, event)
            if event == "leaving":
                leaving_born = max(leaving_born, born)
            elif event.startswith("pause") and event != "pause of 0 s":
                if born < pause_born and now < pause_end:
                    continue
                seconds = int(event.split()[2])
                end = now + s(seconds if seconds <= 86_400 else 3600)
                pause_end = max(pause_end, end) if born == pause_born else end
                pause_born = born
            current = state.catalogue.upstreams.get(UpstreamId("u1"))
            if current is None:
                continue
            if event.startswith("registered"):
                leaving_born = 0 if current.started_at_ms > leaving_born else leaving_born
                if current.started_at_ms > pause_born:
                    pause_born, pause_end = 0, s(0)
            is_paused = current.started_at_ms <= pause_born and state.clock.monotonic() < pause_end
            expected = Bar.PAUSED if is_paused else None
            if current.started_at_ms <= leaving_born:
                expected = Bar.LEAVING
            actual = state.balancer.standing.bar(current.incarnation, state.clock.monotonic())
            assert actual == expected, (events, actual, expected)
            chosen = state.choose(SERVICE, LOAD, [UpstreamId("u2"), UpstreamId("u3")])
            assert (chosen is None) == (expected is not None), events

    check()


@then("for any fields of refusals, u1 is used again a day after the last one")
def check_day(context):
    @for_all(st.lists(st.tuples(PAUSE_TEXTS, PAUSE_TEXTS), min_size=1, max_size=4))
    def check(refusals):
        state = create_state("a", ["u1"])
        for pause, date in refusals:
            headers = HTTPHeaderDict({"Retry-After": pause, "Date": date})
            metadata = PlatformDialect(state.clock).read_response(503, headers)
            state.answer_received(entry("u1").incarnation, metadata)
        state.clock.advance(s(86_400))
        assert state.choose(SERVICE, LOAD, ()) is not None, refusals

    check()


@then(
    "each of {count:d} sessions has one upstream that is not u1, "
    "and those of u2 and u3 stay where they were"
)
def check_sessions(context, count):
    usual = create_state("b", ["u1", "u2", "u3"])
    moved = 0
    for number in range(count):
        load = RequestLoad(3000, (("root", 1000), (f"session-{number}", 1000)))
        (before,) = {usual.choose(SERVICE, load, ())[0].id for _ in range(10)}
        (after,) = {context.state.choose(SERVICE, load, ())[0].id for _ in range(10)}
        assert after == before or (before == "u1" != after), (before, after)
        moved += before != after
    assert moved > 0


@when("u1, u2 and u3 want pauses of {pauses} s")
def want_pauses(context, pauses):
    for name, seconds in zip(("u1", "u2", "u3"), pauses.split(", "), strict=True):
        metadata = answer(pause=s(seconds))
        context.state.answer_received(entry(name).incarnation, metadata, [OWN])


@then(
    "{count:d} refused callers are told to come back after {low:d} to {high:d} s, "
    "spread over the time between"
)
def check_spread(context, count, low, high):
    problem = context.state.unavailability(SERVICE)
    rng = random.Random(1)
    delays = [retry_after(problem.retry_after, rng).total_seconds() for _ in range(count)]
    assert low <= min(delays), min(delays)
    assert max(delays) <= high, max(delays)
    quarters = {int((delay - low) / (high - low) * 4) for delay in delays}
    assert quarters >= {0, 1, 2, 3}, quarters


@then("for any time until an upstream comes back, the Retry-After of the refusal is not shorter")
def check_rounding(context):
    @for_all(st.integers(0, 86_400_000_000))
    def check(microseconds):
        wait = timedelta(microseconds=microseconds)
        problem = Problem(ResultCode.UPSTREAMS_PAUSED, "", Executed.NO, wait)
        _, headers, _ = problem_response(problem, None)
        assert Decimal(dict(headers)["Retry-After"]) * 1_000_000 >= microseconds, headers

    check()


@when("{count:d} of the upstreams say that they leave")
def leave_many(context, count):
    context.leaving = set(context.names[:count])
    for name in context.names[:count]:
        context.state.answer_received(entry(name).incarnation, answer(leaving=True), [OWN])


@when("the store removes them")
def remove_leaving(context):
    for name in context.leaving:
        perform(context.state, context.state.catalogue._remove(UpstreamId(name)))


def heartbeat_size(reports):
    address = "10.1.0.41:7740"
    heartbeat = Heartbeat(
        address, address, "z", True, False, 1, 1, True, (), (), 0, 300, 1.0, tuple(reports)
    )
    return len(serving_codec().encode(NodeId("a"), Incarnation("01"), heartbeat))


@then("each heartbeat grows by at most {size:d} bytes and names at most {named:d} of them")
def check_report_size(context, size, named):
    for _ in range(20):
        reports = context.state.leaving_reports()
        assert len(reports) <= named, reports
        assert heartbeat_size(reports) - heartbeat_size(()) <= size, heartbeat_size(reports)


@then("every peer has heard of all {leaving:d} after {heartbeats:d} heartbeats")
def check_all_reported(context, leaving, heartbeats):
    context.heartbeats = [context.state.leaving_reports() for _ in range(heartbeats)]
    named = {report.upstream for reports in context.heartbeats for report in reports}
    assert len(named) == leaving, len(named)


@then("with {nodes:d} nodes, the reports add {rate:g} kB/s at most to what a node sends")
def check_report_rate(context, nodes, rate):
    fleet = Fleet(NodeId("a"), "10.1.0.1:1", random.Random(1))
    fleet.add_addresses([f"10.2.{n // 250}.{n % 250}:1" for n in range(nodes - 1)], s(0))
    added = max(heartbeat_size(reports) - heartbeat_size(()) for reports in context.heartbeats)
    bytes_per_s = added * len(fleet.addresses) / fleet.heartbeat_interval.total_seconds()
    assert bytes_per_s <= rate * 1000, bytes_per_s


class NodeWorld:
    """Nodes whose requests and heartbeats take their time, without network."""

    def __init__(self, nodes, others):
        self._names = ["u1", *(f"u{number + 2}" for number in range(others))]
        self.states = [self._create(number) for number in range(nodes)]
        self.rng = random.Random(7)
        self.now = 0.0
        self.leaves_at = 3.0
        self.read_at = {}
        self.told_at = {}
        self.sent = []
        self._starts = [0] * nodes
        self._stopped_until = [0.0] * nodes
        self._events = []
        self._numbers = itertools.count()

    def _create(self, number):
        state = create_state(f"n{number}", self._names)
        state.rng.seed(number)
        return state

    def at(self, seconds, action):
        heapq.heappush(self._events, (seconds, next(self._numbers), action))

    def at_node(self, number, seconds, action):
        """Run an action of a node; one that is frozen or restarts meanwhile runs it afterwards."""

        def run():
            if self.now < self._stopped_until[number]:
                self.at_node(number, self._stopped_until[number], action)
            else:
                action()

        self.at(seconds, run)

    def run(self, seconds):
        while self._events and self._events[0][0] <= seconds:
            at, _, action = heapq.heappop(self._events)
            for state in self.states:
                state.clock.advance(s(at - self.now))
            self.now = at
            action()

    def freeze(self, number, seconds):
        self._stopped_until[number] = self.now + seconds

    def restart(self, number, seconds):
        """Replace the process of a node, which begins after some seconds and knows nothing."""
        self.freeze(number, seconds)
        elapsed = self.states[number].clock.monotonic()
        self.states[number] = self._create(number)
        self.states[number].clock.advance(elapsed)
        self._starts[number] += 1
        self.read_at.pop(number, None)
        self.told_at.pop(number, None)

    def request(self, number, interval):
        chosen = self.states[number].choose(SERVICE, LOAD, ())
        if chosen is not None and chosen[0].id == "u1":
            self.sent.append((number, self.now))
            latency = self.rng.uniform(0.01, 1.5)
            is_leaving, start = self.now + latency >= self.leaves_at, self._starts[number]
            self.at_node(number, self.now + latency, lambda: self.answer(number, start, is_leaving))
        following = self.now + interval * self.rng.uniform(0.5, 1.5)
        self.at_node(number, following, lambda: self.request(number, interval))

    def answer(self, number, start, is_leaving):
        if start != self._starts[number]:
            return
        self.states[number].answer_received(
            entry("u1").incarnation, answer(leaving=is_leaving), [OWN]
        )
        if is_leaving:
            self.read_at.setdefault(number, self.now)

    def heartbeat(self, number):
        reports = self.states[number].leaving_reports()
        for other in range(len(self.states)):
            if other != number:
                self.at_node(
                    other, self.now + 0.002, lambda other=other: self.tell(other, number, reports)
                )
        self.at_node(number, self.now + 0.375, lambda: self.heartbeat(number))

    def tell(self, other, number, reports):
        self.states[other].leaving_reported(NodeId(f"n{number}"), reports)
        if reports:
            self.told_at.setdefault(other, self.now)

    def begin(self):
        for number in range(len(self.states)):
            # The last nodes get so few requests that they may never read an answer of u1.
            interval = 0.05 if number < 20 else 2.0
            self.at_node(
                number,
                self.rng.uniform(0, interval),
                lambda n=number, i=interval: self.request(n, i),
            )
            self.at_node(number, self.rng.uniform(0, 0.375), lambda n=number: self.heartbeat(n))


@given("{nodes:d} nodes and an upstream u1 beside {others:d} others")
def create_world(context, nodes, others):
    context.world = NodeWorld(nodes, others)


@when("u1 leaves while callers send requests, with the store {store}")
def run_world(context, store):
    world = context.world
    for number, state in enumerate(world.states):
        if store == "away":
            state.catalogue.mark_store_unavailable(state.clock.monotonic())
        elif store == "slow":
            known_at = world.leaves_at + world.rng.uniform(2.0, 5.0)
            world.at(known_at, lambda n=number: observe_drain(world.states[n]))
        elif store == "stale":
            for step in range(8):
                world.at(2.0 + step, lambda n=number: register_stale(world.states[n]))
    world.begin()
    world.run(10.0)


def observe_drain(state):
    register(state, entry("u1", state=UpstreamState.DRAINING))


def register_stale(state):
    """Repeat an older view of the store."""
    observe_event(state, "registered again")
    observe_event(state, "peer listing with u1")


@when("u1 leaves while callers send requests, and 2 s later node n0 {event}")
def run_world_with_event(context, event):
    world = context.world
    actions = {
        "restarts within 0.5 s": lambda: world.restart(0, 0.5),
        "freezes for 3 s": lambda: world.freeze(0, 3.0),
    }
    context.event_at = world.leaves_at + 2.0
    world.begin()
    world.at(context.event_at, actions[event])
    world.run(12.0)


@then("node n0 sends u1 {count} requests afterwards, all of them before it has read an answer")
def check_node(context, count):
    world = context.world
    later = [at for number, at in world.sent if number == 0 and at > context.event_at]
    assert bool(later) == (count == "some"), later
    assert not [at for at in later if at > world.read_at[0]], (later, world.read_at)


@then("node n0 sends u1 no request once a peer has told it")
def check_told_again(context):
    world = context.world
    late = [at for number, at in world.sent if number == 0 and at > world.told_at[0]]
    assert not late, (late, world.told_at)


@then("no node sends u1 a request that a caller sent after that node had read an answer of u1")
def check_bound(context):
    world = context.world
    assert len(world.read_at) >= 10, world.read_at
    late = [
        (number, at) for number, at in world.sent if at > world.read_at.get(number, float("inf"))
    ]
    assert not late, late


@then(
    "{left} requests reach u1 from nodes that never read an answer of u1, once peers have told them"
)
def check_told(context, left):
    world = context.world
    late = [
        (number, at) for number, at in world.sent if at > world.told_at.get(number, float("inf"))
    ]
    assert left == "any" or len(late) == int(left), late
