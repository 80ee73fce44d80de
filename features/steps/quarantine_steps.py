"""Steps for the quarantine of one node, and of simulated fleets."""

import dataclasses
import random
from datetime import timedelta

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from standing_steps import LATER, perform, register
from support.quarantine_load import Fleet, QuarantineLoad, Trouble

from chervilrack._internal.catalogue.state import UpstreamIncarnation, UpstreamState
from chervilrack._internal.common.ids import ServiceId, UpstreamId
from chervilrack._internal.quarantine.core import Quarantine
from chervilrack._internal.quarantine.state import (
    AnnounceSoundness,
    Crash,
    CrashedRequest,
    RequestProfile,
    SuspectChanged,
    SuspectEvent,
    Trait,
)

SERVICE = ServiceId("engine")
# Crashes with causes of their own are further apart than this.
APART = timedelta(seconds=0.5)


class ObservedQuarantine:
    """A quarantine with the time and the number of upstreams that have crashed."""

    def __init__(self, seed=1):
        self.core = Quarantine(random.Random(seed))
        self.now = timedelta(seconds=100)
        self.upstreams = 0
        self.effects = []

    def crash(self, requests):
        self.upstreams += 1
        upstream = UpstreamIncarnation(UpstreamId(f"u{self.upstreams}"), self.upstreams)
        self.effects += self.core.record_crash(upstream, self.now, requests, self.now)

    def settle(self):
        """Let the reports of all nodes on past crashes arrive."""
        while self.core.next_time is not None:
            self.now = max(self.now, self.core.next_time)
            self.effects += self.core.tick(self.now)

    def admit(self, request):
        self.settle()
        refusal, effects = self.core.admit(request, self.now, may_probe=True)
        self.effects += effects
        return refusal

    def observe(self, event):
        match event.split():
            case ["crash" | "late" as first, *words]:
                self.now += APART
                self._crash_with(words, at_start=first == "crash")
            case ["at", "once", "crash", *words]:
                self._crash_with(words, at_start=True)
            case [count, "crashes", *words]:
                for _ in range(int(count)):
                    self.now += APART
                    self._crash_with(words, at_start=True)
            case ["start", "on", parts]:
                self.core.record_start(profile(parts), self.now)
            case ["answer", "on", parts]:
                self.core.record_answer(profile(parts), self.now)
            case ["peer", "answer", "on", part]:
                self.core.receive_soundness(SERVICE, Trait(part), self.now, is_whole=True)
            case ["peer", "probe", "of", part]:
                self.core.receive_probe(SERVICE, Trait(part), self.now)
            case ["peer", "trial", "of", part]:
                self.core.receive_trial(SERVICE, Trait(part), self.now)
            case ["request", "with", parts, "of", sender]:
                assert self.admit(profile(parts, sender)) is None, "the probe is refused"
            case [seconds, "s"]:
                self.settle()
                self.now += timedelta(seconds=float(seconds))
                self.core.expire(self.now)

    def _crash_with(self, words, *, at_start):
        words = [word for word in words if word not in ("crash", "on", "of", "beside")]
        profiles = [profile(*pair) for pair in zip(words[::2], words[1::2], strict=True)]
        self.crash([CrashedRequest(request, at_start) for request in profiles])


def profile(parts, sender="o9"):
    return RequestProfile(SERVICE, tuple(Trait(p) for p in parts.split("+")), Trait(sender))


def share(sender, receiver):
    receiver.now = sender.now
    for suspect in sender.core.take_shared(4):
        receiver.effects += receiver.core.merge(
            (suspect.service, suspect.trait),
            suspect.common,
            suspect.crashes.items(),
            suspect.probes,
            suspect.next_probe,
            receiver.now,
        )


@given("a quarantine")
def create(context):
    context.quarantine = ObservedQuarantine()


@when("{count:d} crashes on {parts} of {sender} are reported, each with {others} of {other} before")
def report_in_pieces(context, count, parts, sender, others, other):
    """Report each crash twice, 50 ms apart, as two nodes do that had requests there."""
    quarantine = context.quarantine
    for _ in range(count):
        quarantine.observe(f"crash on {others} of {other}")
        upstream = UpstreamIncarnation(UpstreamId(f"u{quarantine.upstreams}"), quarantine.upstreams)
        crashed_at = quarantine.now
        quarantine.now += timedelta(seconds=0.05)
        quarantine.effects += quarantine.core.tick(quarantine.now)
        request = CrashedRequest(profile(parts, sender), True)
        quarantine.effects += quarantine.core.record_crash(
            upstream, crashed_at, [request], quarantine.now
        )


@when("peers repeat older crashes on {part} of {sender} each second for {seconds:d} s")
def repeat_older(context, part, sender, seconds):
    quarantine = context.quarantine
    quarantine.settle()
    for number in range(seconds):
        quarantine.now += timedelta(seconds=1)
        upstream = UpstreamIncarnation(UpstreamId(f"older-{number}"), 1)
        crash = Crash(timedelta(seconds=50), True)
        quarantine.effects += quarantine.core.merge(
            (SERVICE, Trait(part)),
            frozenset((Trait(part), Trait(sender))),
            [(upstream, crash)],
            0,
            quarantine.now,
            quarantine.now,
        )


@when("the entry of u1 is {state}")
def change_entry(context, state):
    known = context.state.catalogue.upstreams[UpstreamId("u1")]
    context.known = known
    revision = next(context.state.revision)
    if state == "gone":
        now = context.state.clock.monotonic()
        perform(context.state, context.state.catalogue.remove_upstream(known.id, revision, now))
    elif state == "replaced":
        register(context.state, dataclasses.replace(known, started_at_ms=LATER))
    elif state == "draining":
        register(context.state, dataclasses.replace(known, state=UpstreamState.DRAINING))


@then("an answer of u1 that breaks off is {what}")
def check_broken(context, what):
    request = CrashedRequest(profile("x"), True)
    must_check = context.state.crash_watch.answer_broken(context.known, request)
    assert must_check == (what == "checked for a crash"), must_check


@when("a node that has blocked nothing shares its evidence against {part}")
def share_evidence(context, part):
    """Share all crashes with a part that was present at each of them."""
    quarantine = context.quarantine
    crashes = [crash for suspect in quarantine.core.suspects for crash in suspect.crashes.items()]
    quarantine.effects += quarantine.core.merge(
        (SERVICE, Trait(part)),
        frozenset((Trait(part), Trait("o1"))),
        crashes,
        0,
        quarantine.now,
        quarantine.now,
    )


@given("a quarantine that has observed {events}")
def create_with_evidence(context, events):
    create(context)
    observe(context, events)


@when("it observes {events}")
def observe(context, events):
    for event in events.split(", "):
        context.quarantine.observe(event)


@then("a request with {parts} of {sender} is {fate}")
def check_fate(context, parts, sender, fate):
    refusal = context.quarantine.admit(profile(parts, sender))
    assert (refusal is not None) == (fate == "refused"), refusal


@when("another one hears what it shares")
def hear(context):
    context.other = ObservedQuarantine(seed=2)
    share(context.quarantine, context.other)


@when("another one that had an answer on {part} meanwhile hears what it shares")
def hear_with_answer(context, part):
    context.other = ObservedQuarantine(seed=2)
    context.other.now = context.quarantine.now
    context.other.core.record_answer(profile(part), context.other.now)
    share(context.quarantine, context.other)


@then("at the other one a request with {parts} of {sender} is {fate}")
def check_other_fate(context, parts, sender, fate):
    refusal = context.other.admit(profile(parts, sender))
    assert (refusal is not None) == (fate == "refused"), refusal


@then("the other one announces the answer within {seconds:g} s")
def check_announcement(context, seconds):
    due = context.other.now + timedelta(seconds=seconds)
    announced = context.other.core.tick(due)
    assert [effect.trait for effect in announced] == ["x"], announced
    assert isinstance(announced[0], AnnounceSoundness)


@when("{count:d} upstreams crash on requests with {parts:d} parts each")
def crash_many(context, count, parts):
    for number in range(count):
        context.quarantine.now += APART
        names = "+".join(f"{number // 3}-{part}" for part in range(parts))
        context.quarantine.crash([CrashedRequest(profile(names), True)])


@then("it holds at most {suspects:d} suspects and shares at most {shared:d} at a time")
def check_bounds(context, suspects, shared):
    core = context.quarantine.core
    assert len(core.suspects) <= suspects, len(core.suspects)
    assert len(core.blocked) <= len(core.suspects)
    assert len(core.take_shared(shared)) <= shared


PARTS = st.lists(st.sampled_from("abcxyz"), min_size=1, max_size=3, unique=True).map("+".join)
SENDERS = st.sampled_from(["o1", "o2"])
REQUESTS = st.builds(profile, PARTS, SENDERS)
COURSES = st.lists(
    st.one_of(
        st.tuples(st.just("crash"), st.lists(REQUESTS, min_size=1, max_size=3)),
        st.tuples(st.just("answer"), REQUESTS),
        st.tuples(st.just("wait"), st.floats(0, 40)),
        st.tuples(st.just("request"), REQUESTS),
    ),
    max_size=40,
)


@then(
    "for any course of crashes and answers, a refused request has a part without a sound answer "
    "since three crashes"
)
def check_any_course(context):
    @for_all(COURSES)
    def check(course):
        quarantine = ObservedQuarantine()
        crashes = {}
        for kind, value in course:
            match kind:
                case "crash":
                    quarantine.now += APART
                    quarantine.crash([CrashedRequest(request, True) for request in value])
                    for trait in {t for request in value for t in request.traits}:
                        crashes[trait] = crashes.get(trait, 0) + 1
                case "answer":
                    quarantine.core.record_answer(value, quarantine.now)
                    crashes.update(dict.fromkeys(value.traits, 0))
                case "wait":
                    quarantine.now += timedelta(seconds=value)
                case "request":
                    refusal = quarantine.admit(value)
                    if refusal is not None:
                        assert refusal.trait in value.traits
                        # Two crashes block again what was blocked before.
                        assert crashes.get(refusal.trait, 0) >= 2, (refusal, crashes)
        blocked = [
            effect
            for effect in quarantine.effects
            if isinstance(effect, SuspectChanged) and effect.event is SuspectEvent.BLOCKED
        ]
        first = {}
        for effect in blocked:
            first.setdefault(effect.trait, len(effect.crashes))
        assert all(count >= 3 for count in first.values()), first

    check()


TROUBLES = {
    "nothing else": ({}, {}),
    "40 requests in flight at an engine": ({"sound_rate": 160.0}, {}),
    "rare parts": ({"first_parts": 40, "further_parts": 60}, {}),
    "one sender": ({}, {"sender": "org0"}),
    "one sender, then two others": (
        {},
        {"sender": "org0", "next_senders": ((12.0, "org1"), (18.0, "org2"))},
    ),
    "two crashing parts": ({}, {"crashing": ("dead", "beef")}),
    "a fifth of the messages lost": ({}, {"lost": 0.2}),
    "three nodes away for 4 s": ({}, {"away": 3, "away_until": 9.0}),
    "crashes of other causes": ({}, {"random_crashes": (5, 5.5, 6, 6.9, 8, 9)}),
    "three engines, from the start": (
        {"sound_rate": 10.0, "first_parts": 1, "organisations": 1},
        {"begin": 0.1},
    ),
    "three engines, two nodes away": (
        {"sound_rate": 10.0, "first_parts": 1, "organisations": 1},
        {"begin": 0.1, "away": 2, "away_until": 4.0},
    ),
    "racks that lose power": (
        {"first_parts": 20, "further_parts": 30},
        {"racks": (5.5, 9.0, 13.0)},
    ),
}


@when("the fleet runs {seconds:d} s with seeds {seeds}")
def run_fleet(context, seconds, seeds):
    row = context.active_outline
    fleet_changes, trouble_changes = TROUBLES[row["trouble"]]
    nodes, rate = int(row["nodes"]), float(row["rate"])
    sizes = {"nodes": nodes, "engines": int(row["engines"])}
    if nodes > 7:
        sizes |= {"sound_rate": 3.0 * nodes, "organisations": nodes}
    trouble = Trouble(**({"rate": rate} if rate else {"begin": 1e9}), **trouble_changes)
    first, _, last = seeds.partition("-")
    context.runs = []
    for seed in range(int(first), int(last or first) + 1):
        run = QuarantineLoad(Fleet(**(sizes | fleet_changes)), trouble, seed)
        run.run(float(seconds))
        context.runs.append(run)


@then(
    "at most {count:d} crashing requests reach engines later than {contact:d} s "
    "after the fifth crash"
)
def check_late(context, count, contact):
    late = [run.late_arrivals(contact) for run in context.runs]
    assert max(late) <= count, (late, [run.crashes for run in context.runs])


@then("less than {refused:d} of 1000 sound requests are refused")
def check_refused(context, refused):
    shares = [run.refused_share(0.0, 1e9) for run in context.runs]
    assert sum(shares) / len(shares) < refused / 1000, shares
