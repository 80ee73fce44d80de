"""Decides which traits of requests crash upstreams, from crashes and sound answers of all nodes.

Each crash ends all requests at its upstream, and one of them may be the cause. A trait becomes a
suspect when requests with it are ended, and is cleared by an answer to a request with it. One that
crashes every upstream never has an answer, so crashes without an answer in between block it. All
times are monotonic times of this node.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from typing import TypeVar

from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.ids import ServiceId
from chervilrack._internal.quarantine.state import (
    AnnounceProbe,
    AnnounceSoundness,
    AnnounceTrial,
    Crash,
    CrashedRequest,
    QuarantineEffect,
    QuarantineSettings,
    Refusal,
    RequestProfile,
    Suspect,
    SuspectChanged,
    SuspectEvent,
    Trait,
)

_Key = tuple[ServiceId, Trait]
_CrashKey = tuple[ServiceId, UpstreamIncarnation]
_K = TypeVar("_K")
_V = TypeVar("_V")
# Level from which a suspect is shared in heartbeats and its sound answers are announced.
SHARED_LEVEL = 2.0
MAX_CRASHES = 16
SHORTEST_RETRY = timedelta(seconds=1)


class Quarantine:
    """Suspect and blocked traits of one node; every call passes the current time."""

    def __init__(
        self, rng: random.Random | None = None, settings: QuarantineSettings | None = None
    ) -> None:
        self.settings = settings or QuarantineSettings()
        self._rng = rng or random.Random()
        # The least recently implicated suspect comes first.
        self._suspects: OrderedDict[_Key, Suspect] = OrderedDict()
        self._blocked: dict[_Key, Suspect] = {}
        # Time of the latest start of an answer, and of the latest whole answer, by trait.
        self._started: OrderedDict[_Key, timedelta] = OrderedDict()
        self._answered: OrderedDict[_Key, timedelta] = OrderedDict()
        self._next_shared = 0
        # All crashes, and the blocked traits that explain some of them.
        self._crashes: OrderedDict[_CrashKey, Crash] = OrderedDict()
        self._explained: OrderedDict[_CrashKey, frozenset[Trait]] = OrderedDict()
        # When this node has first heard of each crash.
        self._heard_at: OrderedDict[_CrashKey, timedelta] = OrderedDict()
        self._reviews: dict[_CrashKey, timedelta] = {}
        # Sound answers that other nodes may not know, with the times at which to announce them.
        self._announcements: dict[_Key, tuple[timedelta, AnnounceSoundness]] = {}

    @property
    def next_time(self) -> timedelta | None:
        """Time at which ``tick`` has work."""
        announcements = (due for due, _ in self._announcements.values())
        return min((*announcements, *self._reviews.values()), default=None)

    @property
    def suspects(self) -> Sequence[Suspect]:
        """All suspects, blocked ones included."""
        return tuple(self._suspects.values())

    @property
    def blocked(self) -> Sequence[Suspect]:
        """Suspects whose requests are refused."""
        return tuple(self._blocked.values())

    # Evidence

    def record_crash(
        self,
        upstream: UpstreamIncarnation,
        crashed_at: timedelta,
        requests: Iterable[CrashedRequest],
        now: timedelta,
    ) -> list[QuarantineEffect]:
        """Record requests that the crash of an upstream has ended, at this or another node."""
        effects: list[QuarantineEffect] = []
        requests = list(requests)
        if not requests:
            return effects
        service = requests[0].profile.service
        crash_key = (service, upstream)
        self._hear(crash_key, now)
        # A crash at which a request that is refused now was present needs no other cause.
        blocked = frozenset(
            suspect.trait for request in requests for suspect in self._blocks_of(request.profile)
        )
        if blocked:
            self._explain(crash_key, blocked)
        _put(self._crashes, crash_key, Crash(crashed_at, True), self.settings.max_crashes)
        touched: dict[_Key, Suspect] = {}
        for request in requests:
            profile = request.profile
            for trait in profile.traits:
                key = (profile.service, trait)
                suspect = self._implicate(key, profile.all_traits, now, effects)
                self._add_crash(suspect, upstream, Crash(crashed_at, request.at_start), now)
                touched[key] = suspect
        return effects + self._review(touched, now)

    def merge(
        self,
        key: _Key,
        common: frozenset[Trait],
        crashes: Iterable[tuple[UpstreamIncarnation, Crash]],
        probes: int,
        next_probe: timedelta,
        now: timedelta,
    ) -> list[QuarantineEffect]:
        """Add the evidence of another node against a trait."""
        effects: list[QuarantineEffect] = []
        new_suspect: Suspect | None = None
        for upstream, crash in list(crashes)[:MAX_CRASHES]:
            self._hear((key[0], upstream), now)
            known = self._suspects.get(key)
            if known is None or upstream not in known.crashes or not known.common <= common:
                new_suspect = self._implicate(key, common, now, effects)
                self._add_crash(new_suspect, upstream, crash, now)
        if new_suspect is not None:
            effects += self._review({key: new_suspect}, now)
        blocked = self._blocked.get(key)
        if blocked is not None and probes > blocked.probes:
            blocked.probes = probes
            blocked.next_probe = max(blocked.next_probe, next_probe)
        return effects

    def restore(
        self,
        key: _Key,
        common: frozenset[Trait],
        crashes: Sequence[tuple[UpstreamIncarnation, Crash]],
        probes: int,
        now: timedelta,
        *,
        is_doubtful: bool,
    ) -> list[QuarantineEffect]:
        """Block a trait that another node, or an earlier process of this one, has blocked.

        A sound answer that this node knows and that is later than the crashes goes before.
        """
        blocked = self._blocked.get(key)
        if blocked is not None:
            blocked.probes = max(blocked.probes, probes)
            return []
        effects: list[QuarantineEffect] = []
        suspect = self._implicate(key, common, now, effects)
        sound_at = max((r[key] for r in (self._answered, self._started) if key in r), default=None)
        last_crash = max((crash.at for _, crash in crashes), default=now)
        if sound_at is not None and sound_at >= last_crash:
            suspect.was_blocked = True
            return effects
        for upstream, crash in crashes[:MAX_CRASHES]:
            self._add_crash(suspect, upstream, crash, now)
            self._explain((key[0], upstream), frozenset((key[1],)))
        suspect.probes = probes
        self._block(suspect, now, is_doubtful=is_doubtful)
        return [*effects, _changed(SuspectEvent.RESTORED, suspect)]

    def lift(self, key: _Key, now: timedelta) -> list[QuarantineEffect]:
        """Unblock a trait that another node knows to be sound again."""
        if key not in self._blocked:
            return []
        self._remember(key, now, is_whole=True)
        return self._clear(key, now, is_whole=True)

    def record_start(self, profile: RequestProfile, now: timedelta) -> list[QuarantineEffect]:
        """Record that an answer has begun and that its upstream has gone on."""
        return self._record_sound(profile, now, is_whole=False)

    def record_answer(self, profile: RequestProfile, now: timedelta) -> list[QuarantineEffect]:
        """Record a whole answer."""
        return self._record_sound(profile, now, is_whole=True)

    def receive_soundness(
        self, service: ServiceId, trait: Trait, at: timedelta, *, is_whole: bool
    ) -> list[QuarantineEffect]:
        """Record an answer that another node has seen."""
        key = (service, trait)
        self._remember(key, at, is_whole=is_whole)
        planned = self._announcements.get(key)
        if planned is not None and planned[1].at <= at + self.settings.announcement_delay:
            del self._announcements[key]
        return self._clear(key, at, is_whole=is_whole)

    def tick(self, now: timedelta) -> list[QuarantineEffect]:
        """Block what the crashes suffice for of which all nodes have reported by now.

        The effects include announcements that are due and that no other node has made meanwhile.
        """
        due = [key for key, (at, _) in self._announcements.items() if at <= now]
        effects: list[QuarantineEffect] = [self._announcements.pop(key)[1] for key in due]
        settled = [key for key, at in self._reviews.items() if at <= now]
        for key in settled:
            del self._reviews[key]
        for service in {service for service, _ in settled}:
            effects += self._block_suspects(service, now)
        return effects

    def receive_probe(self, service: ServiceId, trait: Trait, now: timedelta) -> None:
        """Record that another node probes a trait."""
        suspect = self._blocked.get((service, trait))
        if suspect is not None:
            self._postpone_probe(suspect, now)

    def receive_trial(self, service: ServiceId, trait: Trait, now: timedelta) -> None:
        """Record that another node has sent a request with a blocked trait as a trial."""
        # This node may block the trait a moment later.
        suspect = self._suspects.get((service, trait))
        if suspect is not None:
            suspect.trial_until = now + self.settings.trial_time

    # Requests

    def refusal(self, profile: RequestProfile, now: timedelta) -> Refusal | None:
        """Return why a request may not be sent to an upstream now, None if it may."""
        for suspect in self._blocks_of(profile):
            if now < suspect.next_probe:
                return self._refuse(suspect, now)
        for suspect in self._partial_blocks_of(profile):
            if now < suspect.trial_until:
                return self._refuse_during_trial(suspect, now)
        return None

    def admit(
        self, profile: RequestProfile, now: timedelta, *, may_probe: bool
    ) -> tuple[Refusal | None, list[QuarantineEffect]]:
        """Decide on a request that would be sent now; one that is blocked may go as a probe.

        A request with two blocked traits would say nothing of either. One without all that the
        crashes had in common may be sound, and goes as a trial.
        """
        effects: list[QuarantineEffect] = []
        blocks = list(self._blocks_of(profile))
        partial_blocks = list(self._partial_blocks_of(profile))
        for suspect in blocks:
            if now < suspect.next_probe or not may_probe or len(blocks + partial_blocks) > 1:
                return self._refuse(suspect, now), []
        for suspect in partial_blocks:
            if now < suspect.trial_until:
                return self._refuse_during_trial(suspect, now), []
        for suspect in partial_blocks:
            suspect.trial_until = now + self.settings.trial_time
            effects.append(AnnounceTrial(suspect.service, suspect.trait))
        for suspect in blocks:
            self._postpone_probe(suspect, now)
            effects.append(AnnounceProbe(suspect.service, suspect.trait))
            effects.append(_changed(SuspectEvent.PROBED, suspect))
        return None, effects

    def take_shared(self, limit: int) -> list[Suspect]:
        """Return the next suspects to share in a heartbeat, in turn."""
        shared = [
            s
            for s in self._suspects.values()
            if s.blocked_at is not None or self._level(s) >= SHARED_LEVEL
        ]
        first = self._next_shared if self._next_shared < len(shared) else 0
        chosen = shared[first : first + limit]
        self._next_shared = first + len(chosen)
        return chosen

    def expire(self, now: timedelta) -> None:
        """Forget suspects without new evidence or refused requests for the evidence's lifetime."""
        for key, suspect in list(self._suspects.items()):
            if now - suspect.seen_at > self.settings.evidence_lifetime:
                self._forget(key)

    # Internals

    def _implicate(
        self,
        key: _Key,
        traits: frozenset[Trait],
        now: timedelta,
        effects: list[QuarantineEffect],
    ) -> Suspect:
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = self._suspects[key] = Suspect(key[0], key[1], traits)
            self._drop_excess()
        elif not suspect.crashes:
            suspect.common = traits
        elif suspect.blocked_at is not None and not suspect.common <= traits:
            suspect.common &= traits
            effects.append(_changed(SuspectEvent.NARROWED, suspect))
        else:
            suspect.common &= traits
        suspect.seen_at = now
        self._suspects.move_to_end(key)
        return suspect

    def _add_crash(
        self, suspect: Suspect, upstream: UpstreamIncarnation, crash: Crash, now: timedelta
    ) -> None:
        """Add a crash; the oldest one beyond the limit is dropped."""
        crashes = suspect.crashes
        known = crashes.get(upstream)
        if known is not None:
            crashes[upstream] = Crash(min(known.at, crash.at), known.at_start or crash.at_start)
            return
        if suspect.blocked_at is not None and all(crash.at > c.at for c in crashes.values()):
            self._set_next_probe(suspect, now)
        crashes[upstream] = crash
        if len(crashes) > MAX_CRASHES:
            del crashes[min(crashes, key=lambda key: crashes[key].at)]

    def _review(self, touched: dict[_Key, Suspect], now: timedelta) -> list[QuarantineEffect]:
        """Apply known sound answers to suspects with new evidence, and report the others."""
        effects: list[QuarantineEffect] = []
        for key, suspect in touched.items():
            level = self._level(suspect)
            if level >= SHARED_LEVEL:
                self._plan_announcement(key, suspect, now)
            for records, is_whole in ((self._answered, True), (self._started, False)):
                at = records.get(key)
                if at is not None and suspect.crashes and at >= suspect.first_crash_at:
                    effects += self._clear(key, at, is_whole=is_whole)
            if (
                suspect.blocked_at is None
                and not suspect.is_reported
                and self._level(suspect) >= SHARED_LEVEL
            ):
                suspect.is_reported = True
                effects.append(_changed(SuspectEvent.SUSPECTED, suspect))
        return effects

    def _plan_announcement(self, key: _Key, suspect: Suspect, now: timedelta) -> None:
        """Plan to announce what this node knows in favour of a suspect.

        That is a sound answer after the first crash, or else a whole answer shortly before it.
        """
        horizon = suspect.first_crash_at - self.settings.soundness_memory
        answered, started = self._answered.get(key), self._started.get(key)
        if started is not None and started >= suspect.first_crash_at:
            is_whole = answered is not None and answered >= suspect.first_crash_at
            at = answered if is_whole and answered is not None else started
            announcement = AnnounceSoundness(*key, at, is_whole)
        elif answered is not None and answered >= horizon:
            announcement = AnnounceSoundness(*key, answered, True)
        else:
            return
        due = now + self.settings.announcement_delay * self._rng.random()
        if key not in self._announcements:
            self._announcements[key] = (due, announcement)

    def _block_suspects(self, service: ServiceId, now: timedelta) -> list[QuarantineEffect]:
        """Block the suspects that explain most crashes, then look at the crashes that remain."""
        effects: list[QuarantineEffect] = []
        while True:
            suspects = [
                suspect
                for suspect in self._suspects.values()
                if suspect.service == service and suspect.blocked_at is None
            ]
            ripe = [s for s in suspects if self._settled_level(s, now) >= self._threshold(s)]
            if not ripe:
                return effects
            # Crashes that are not settled yet decide between suspects, but block none.
            ranks = [
                (self._settled_level(s, now), self._level(s), len(self._effective_crashes(s)))
                for s in ripe
            ]
            tied = [s for s, rank in zip(ripe, ranks, strict=True) if rank == max(ranks)]
            # Of two signatures that fit, the one that refuses fewer requests.
            narrowest = [s for s in tied if not any(s.common < other.common for other in tied)]
            is_tied = len({s.common for s in narrowest}) > 1
            if is_tied and max(ranks)[0] < self.settings.crashes_if_tied:
                return effects
            is_doubtful = is_tied or self._has_rivals(suspects, narrowest, now)
            for suspect in narrowest:
                effects.append(self._block(suspect, now, is_doubtful=is_doubtful))
            causes = frozenset(suspect.trait for suspect in narrowest)
            for upstream in {upstream for s in narrowest for upstream in s.crashes}:
                self._explain((service, upstream), causes)

    def _has_rivals(
        self, suspects: Iterable[Suspect], chosen: Sequence[Suspect], now: timedelta
    ) -> bool:
        """Whether something else than the chosen suspects may have caused their crashes."""
        recently = now - self.settings.early_probe_window
        others = [s for s in suspects if s not in chosen and s.common != chosen[0].common]
        return any(self._level(suspect) >= SHARED_LEVEL for suspect in others) or any(
            suspect.service == chosen[0].service
            and suspect.blocked_at is not None
            and suspect.blocked_at >= recently
            for suspect in self._blocked.values()
        )

    def _settled_level(self, suspect: Suspect, now: timedelta) -> float:
        """Return the level by the crashes of which all nodes have reported by now."""
        heard_before = now - self.settings.settle_time
        return self._count(
            crash
            for upstream, crash in self._effective_crashes(suspect).items()
            if self._heard_at.get((suspect.service, upstream), heard_before) <= heard_before
        )

    def _effective_crashes(self, suspect: Suspect) -> Mapping[UpstreamIncarnation, Crash]:
        """Return the crashes of a suspect that no blocked trait explains."""
        if suspect.blocked_at is not None or not self._blocked:
            return suspect.crashes
        return {
            upstream: crash
            for upstream, crash in suspect.crashes.items()
            if not self._is_explained((suspect.service, upstream))
        }

    def _is_explained(self, key: _CrashKey) -> bool:
        causes = self._explained.get(key, ())
        return any((key[0], cause) in self._blocked for cause in causes)

    def _hear(self, key: _CrashKey, now: timedelta) -> None:
        if key not in self._heard_at:
            _put(self._heard_at, key, now, self.settings.max_crashes)
            self._reviews[key] = now + self.settings.settle_time

    def _explain(self, key: _CrashKey, causes: frozenset[Trait]) -> None:
        """Record the causes of a crash, which counts for no other while one of them is blocked."""
        causes |= self._explained.get(key, frozenset())
        _put(self._explained, key, causes, self.settings.max_crashes)

    def _block(self, suspect: Suspect, now: timedelta, *, is_doubtful: bool) -> SuspectChanged:
        suspect.blocked_at = now
        suspect.was_blocked = True
        self._blocked[(suspect.service, suspect.trait)] = suspect
        # Traits that others use without a crash are not part of the cause.
        horizon = now - self.settings.soundness_memory
        suspect.common = frozenset(
            trait
            for trait in suspect.common
            if trait == suspect.trait
            or self._started.get((suspect.service, trait), horizon) <= horizon
        )
        self._set_next_probe(suspect, now)
        suspect.is_doubtful = is_doubtful
        if is_doubtful:
            jitter = 1 + self.settings.probe_jitter * self._rng.random()
            suspect.next_probe = now + self.settings.early_probe_interval * jitter
        return _changed(SuspectEvent.BLOCKED, suspect)

    def _threshold(self, suspect: Suspect) -> float:
        settings = self.settings
        if suspect.was_blocked:
            return settings.crashes_after_block
        answered = self._answered.get((suspect.service, suspect.trait))
        if (
            answered is not None
            and suspect.crashes
            and suspect.first_crash_at - answered <= settings.soundness_memory
        ):
            return settings.crashes_after_soundness
        if suspect.crashes:
            first = suspect.first_crash_at
            since = [
                crash
                for key, crash in self._crashes.items()
                if key[0] == suspect.service and crash.at >= first and not self._is_explained(key)
            ]
            if self._level(suspect) < settings.usual_share * self._count(since):
                return settings.crashes_if_unusual
        return settings.crashes

    def _level(self, suspect: Suspect) -> float:
        return self._count(self._effective_crashes(suspect).values())

    def _count(self, crashes: Iterable[Crash]) -> float:
        """Return the weighted number of crashes that were not close to an earlier one."""
        count = 0.0
        last: timedelta | None = None
        for crash in sorted(crashes, key=lambda crash: crash.at):
            if last is None or crash.at - last >= self.settings.crash_spacing:
                count += 1.0 if crash.at_start else self.settings.late_crash_weight
                last = crash.at
        return count

    def _record_sound(
        self, profile: RequestProfile, now: timedelta, *, is_whole: bool
    ) -> list[QuarantineEffect]:
        effects: list[QuarantineEffect] = []
        for trait in profile.traits:
            key = (profile.service, trait)
            suspect = self._suspects.get(key)
            if suspect is not None or trait not in profile.rare:
                self._remember(key, now, is_whole=is_whole)
            if suspect is None:
                continue
            crashes, is_shared = len(suspect.crashes), self._level(suspect) >= SHARED_LEVEL
            effects += self._clear(key, now, is_whole=is_whole)
            if is_shared and len(suspect.crashes) < crashes:
                effects.append(AnnounceSoundness(*key, now, is_whole))
        return effects

    def _remember(self, key: _Key, at: timedelta, *, is_whole: bool) -> None:
        for records in (self._started, self._answered) if is_whole else (self._started,):
            _put(records, key, max(at, records.get(key, at)), self.settings.max_known_traits)

    def _clear(self, key: _Key, at: timedelta, *, is_whole: bool) -> list[QuarantineEffect]:
        """Drop the crashes before a sound answer; the start of one says nothing of later crashes.

        Returns a change if a suspect that other nodes may know has been cleared.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            return []
        kept = {
            upstream: crash
            for upstream, crash in suspect.crashes.items()
            if crash.at > at or not (is_whole or crash.at_start)
        }
        if len(kept) == len(suspect.crashes):
            return []
        cleared = _changed(SuspectEvent.CLEARED, suspect)
        suspect.crashes = kept
        was_reported, suspect.is_reported = suspect.is_reported, False
        was_blocked = suspect.blocked_at is not None
        if was_blocked and self._level(suspect) < self.settings.crashes:
            suspect.blocked_at = None
            self._blocked.pop(key, None)
        elif not kept and not suspect.was_blocked:
            # Of no interest any more; a blocked one keeps its lower threshold.
            self._forget(key)
        return [cleared] if was_blocked or was_reported else []

    def _blocks_of(self, profile: RequestProfile) -> Iterable[Suspect]:
        if not self._blocked:
            return
        traits = profile.all_traits
        for trait in profile.traits:
            suspect = self._blocked.get((profile.service, trait))
            if suspect is not None and suspect.common <= traits:
                yield suspect

    def _partial_blocks_of(self, profile: RequestProfile) -> Iterable[Suspect]:
        """Yield blocked traits of a request that lacks something the crashes had in common."""
        if not self._blocked:
            return
        traits = profile.all_traits
        for trait in profile.traits:
            suspect = self._blocked.get((profile.service, trait))
            if suspect is not None and not suspect.common <= traits:
                yield suspect

    def _refuse_during_trial(self, suspect: Suspect, now: timedelta) -> Refusal:
        suspect.seen_at = now
        return Refusal(suspect.trait, len(suspect.crashes), SHORTEST_RETRY)

    def _refuse(self, suspect: Suspect, now: timedelta) -> Refusal:
        suspect.seen_at = now
        wait = max(suspect.next_probe - now, SHORTEST_RETRY)
        return Refusal(suspect.trait, len(suspect.crashes), wait)

    def _postpone_probe(self, suspect: Suspect, now: timedelta) -> None:
        suspect.probes += 1
        suspect.is_doubtful = False
        self._set_next_probe(suspect, now)

    def _set_next_probe(self, suspect: Suspect, now: timedelta) -> None:
        settings = self.settings
        interval = min(
            settings.probe_interval * 2 ** min(suspect.probes, 16), settings.longest_probe_interval
        )
        suspect.next_probe = now + interval * (1 + settings.probe_jitter * self._rng.random())

    def _drop_excess(self) -> None:
        """Forget the oldest suspect, if possible one that is not blocked, but not the newest."""
        if len(self._suspects) > self.settings.max_suspects:
            newest = next(reversed(self._suspects))
            others = [key for key in self._suspects if key != newest]
            unblocked = (key for key in others if key not in self._blocked)
            self._forget(next(unblocked, others[0]))

    def _forget(self, key: _Key) -> None:
        self._suspects.pop(key, None)
        self._blocked.pop(key, None)


def _put(records: OrderedDict[_K, _V], key: _K, value: _V, limit: int) -> None:
    """Set a record; the oldest ones beyond the limit are dropped."""
    records[key] = value
    records.move_to_end(key)
    while len(records) > limit:
        records.popitem(last=False)


def _changed(event: SuspectEvent, suspect: Suspect) -> SuspectChanged:
    crashes = tuple(suspect.crashes.items())
    return SuspectChanged(event, suspect.service, suspect.trait, suspect.common, crashes)
