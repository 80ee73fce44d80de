"""Connects the quarantine to the attempts of a node, to its peers, its log and its metrics."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.catalogue.core import Catalogue, UpstreamChanged
from chervilrack._internal.catalogue.state import (
    UpstreamEntry,
    UpstreamIncarnation,
    UpstreamState,
)
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import ServiceId, UpstreamId
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.quarantine.core import Quarantine
from chervilrack._internal.quarantine.messages import (
    MAX_REPORTED_CRASHES,
    MAX_REPORTED_REQUESTS,
    MAX_TRAITS,
    CrashReport,
    ProbeReport,
    ReportedCrash,
    ReportedRequest,
    SoundnessReport,
    SuspectReport,
)
from chervilrack._internal.quarantine.records import (
    BlockRecord,
    RecordState,
    block_record,
)
from chervilrack._internal.quarantine.state import (
    AnnounceProbe,
    AnnounceSoundness,
    AnnounceTrial,
    Crash,
    CrashedRequest,
    QuarantineEffect,
    Refusal,
    RequestProfile,
    Suspect,
    SuspectChanged,
    SuspectEvent,
    Trait,
)
from chervilrack._internal.serving.metrics import ServingMetrics

# An entry that ends within this time of a broken answer ends because of the same crash. Entries
# lapse after three heartbeats of silence.
CONFIRMATION_TIME = timedelta(seconds=5)
# Upstreams with broken answers that are remembered at a time.
MAX_BROKEN = 256
# Suspects in one heartbeat; further ones follow in the next heartbeats.
MAX_SHARED_SUSPECTS = 4
_MILLISECOND = timedelta(milliseconds=1)

Broadcast = Callable[[msgspec.Struct], None]


@dataclass(slots=True)
class _BrokenUpstream:
    """An upstream that has broken off answers, and the requests concerned."""

    entry: UpstreamEntry
    at: timedelta
    requests: list[CrashedRequest] = field(default_factory=list)
    is_checked: bool = False
    has_crashed: bool = False


class CrashWatch:
    """Finds out which broken answers are crashes, and tells the quarantine and the peers.

    The callers hold the node's lock. ``broadcast`` sends a message to all nodes.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        balancer: Balancer,
        clock: Clock,
        log: DecisionLog,
        metrics: ServingMetrics,
    ) -> None:
        self.quarantine = Quarantine()
        self.broadcast: Broadcast = lambda _: None
        # Called when ``next_time`` may have become earlier.
        self.wake: Callable[[], None] = lambda: None
        # Called when more requests than before are refused.
        self.on_blocked: Callable[[], None] = lambda: None
        # Called when a record of a blocked trait may have to be written.
        self.on_record_outdated: Callable[[], None] = lambda: None
        self._catalogue = catalogue
        self._balancer = balancer
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._broken: dict[UpstreamIncarnation, _BrokenUpstream] = {}
        # Crashed upstreams that peers have reported.
        self._reported: OrderedDict[UpstreamIncarnation, None] = OrderedDict()

    # Requests

    def refusal(self, profile: RequestProfile) -> Problem | None:
        """Return why a request gets no upstream, None if it may get one."""
        return self._problem(self.quarantine.refusal(profile, self._clock.monotonic()))

    def admit(self, profile: RequestProfile, *, may_probe: bool) -> Problem | None:
        """Like ``refusal`` for a request that is sent now, which may be a probe."""
        now = self._clock.monotonic()
        refusal, effects = self.quarantine.admit(profile, now, may_probe=may_probe)
        self._perform(effects)
        return self._problem(refusal)

    def answer_begun(self, profile: RequestProfile) -> None:
        """Record that an upstream has gone on after it had begun an answer."""
        self._perform(self.quarantine.record_start(profile, self._clock.monotonic()))

    def answered(self, profile: RequestProfile) -> None:
        """Record a whole answer."""
        self._perform(self.quarantine.record_answer(profile, self._clock.monotonic()))

    # Crashes

    def answer_broken(self, entry: UpstreamEntry, request: CrashedRequest) -> bool:
        """Record an answer that broke off; return whether the upstream is to be checked.

        Upstreams that leave end their last answers without a crash. Some of them only end their
        entries before; the entry of one that crashes is still there.
        """
        known = self._catalogue.upstreams.get(entry.id)
        is_registered = (
            known is not None
            and known.incarnation == entry.incarnation
            and known.state is UpstreamState.READY
        )
        if not is_registered or self._balancer.standing.is_leaving(entry.incarnation):
            return False
        now = self._clock.monotonic()
        broken = self._broken.get(entry.incarnation)
        if broken is None:
            self._drop_old(now)
            broken = self._broken[entry.incarnation] = _BrokenUpstream(entry, now)
        elif now - broken.at > CONFIRMATION_TIME and not broken.has_crashed:
            broken.at, broken.is_checked = now, False
            broken.requests.clear()
        broken.requests.append(request)
        if broken.has_crashed:
            self._report(broken, [request])
            return False
        if broken.is_checked:
            return False
        broken.is_checked = True
        return True

    def upstream_checked(self, entry: UpstreamEntry, *, refuses_connections: bool) -> None:
        """Record whether an upstream that has broken off answers still takes connections."""
        broken = self._broken.get(entry.incarnation)
        if broken is None or broken.has_crashed:
            return
        if refuses_connections:
            self._confirm(broken, "it refuses connections")
        else:
            broken.is_checked = False

    def upstream_changed(self, change: UpstreamChanged) -> None:
        """Take the end of an entry shortly after a broken answer for a crash."""
        if change.previous is None or change.previous.state is UpstreamState.DRAINING:
            return
        is_same_start = (
            change.entry is not None and change.entry.incarnation == change.previous.incarnation
        )
        broken = self._broken.get(change.previous.incarnation)
        if is_same_start or broken is None or broken.has_crashed:
            return
        if self._clock.monotonic() - broken.at <= CONFIRMATION_TIME:
            self._confirm(broken, "its entry has ended")

    def _confirm(self, broken: _BrokenUpstream, evidence: str) -> None:
        broken.has_crashed = True
        entry = broken.entry
        self._log.note(
            "quarantine",
            "upstream crashed",
            upstream=entry.id,
            started_at_ms=entry.started_at_ms,
            service=entry.service,
            version=entry.version,
            evidence=evidence,
            requests=len(broken.requests),
            at_start=sum(request.at_start for request in broken.requests),
            traits=sorted(
                {trait for r in broken.requests if r.at_start for trait in r.profile.traits}
            )[:MAX_TRAITS],
        )
        self._metrics.upstream_crashed(entry.service)
        self._report(broken, broken.requests)

    def _report(self, broken: _BrokenUpstream, requests: Sequence[CrashedRequest]) -> None:
        """Record requests that a crash has ended, and tell the peers."""
        now = self._clock.monotonic()
        entry = broken.entry
        if any(request.profile.traits for request in requests):
            self._perform(self.quarantine.record_crash(entry.incarnation, broken.at, requests, now))
        reported = sorted(requests, key=lambda request: not request.at_start)
        self.broadcast(
            CrashReport(
                service=entry.service,
                upstream=entry.id,
                started_at_ms=max(0, entry.started_at_ms),
                age_ms=_milliseconds(now - broken.at),
                requests=tuple(
                    ReportedRequest(
                        request.profile.traits[:MAX_TRAITS],
                        request.profile.sender,
                        request.at_start,
                    )
                    for request in reported[:MAX_REPORTED_REQUESTS]
                ),
            )
        )

    def _drop_old(self, now: timedelta) -> None:
        kept = {
            key: broken
            for key, broken in self._broken.items()
            if now - broken.at <= CONFIRMATION_TIME
        }
        while len(kept) >= MAX_BROKEN:
            del kept[next(iter(kept))]
        self._broken = kept

    # Peers

    def on_crash_report(self, report: CrashReport) -> None:
        """Record a crash that a peer reports; this node stops using the upstream, too."""
        now = self._clock.monotonic()
        crashed_at = now - report.age_ms * _MILLISECOND
        upstream = UpstreamIncarnation(UpstreamId(report.upstream), report.started_at_ms)
        entry = self._catalogue.upstreams.get(upstream.id)
        is_new = upstream not in self._reported
        self._reported[upstream] = None
        if len(self._reported) > MAX_BROKEN:
            self._reported.popitem(last=False)
        if is_new and entry is not None and entry.incarnation == upstream:
            self._balancer.record_failure(entry.id, now, "crashed, says a peer", certain=True)
        requests = [
            CrashedRequest(
                RequestProfile(
                    ServiceId(report.service),
                    tuple(Trait(trait) for trait in request.traits),
                    Trait(request.sender),
                ),
                request.at_start,
            )
            for request in report.requests
        ]
        self._perform(self.quarantine.record_crash(upstream, crashed_at, requests, now))

    def on_soundness_report(self, report: SoundnessReport) -> None:
        """Record a sound answer that a peer reports."""
        at = self._clock.monotonic() - report.age_ms * _MILLISECOND
        self._perform(
            self.quarantine.receive_soundness(
                ServiceId(report.service), Trait(report.trait), at, is_whole=report.is_whole
            )
        )

    def on_probe_report(self, report: ProbeReport) -> None:
        """Record that a peer probes a trait, or sends a request with it as a trial."""
        now = self._clock.monotonic()
        service, trait = ServiceId(report.service), Trait(report.trait)
        if report.is_trial:
            self.quarantine.receive_trial(service, trait, now)
            return
        self.quarantine.receive_probe(service, trait, now)
        self.on_record_outdated()

    def on_suspects(self, reports: Sequence[SuspectReport]) -> None:
        """Record what a peer holds against traits."""
        now = self._clock.monotonic()
        for report in reports[:MAX_SHARED_SUSPECTS]:
            crashes = [
                (
                    UpstreamIncarnation(UpstreamId(crash.upstream), crash.started_at_ms),
                    Crash(now - crash.age_ms * _MILLISECOND, crash.at_start),
                )
                for crash in report.crashes
            ]
            self._perform(
                self.quarantine.merge(
                    (ServiceId(report.service), Trait(report.trait)),
                    frozenset(Trait(trait) for trait in report.common),
                    crashes,
                    report.probes,
                    now + report.probe_in_ms * _MILLISECOND,
                    now,
                )
            )

    def share_suspects(self) -> tuple[SuspectReport, ...]:
        """Return the suspects for the next heartbeat."""
        now = self._clock.monotonic()
        self.quarantine.expire(now)
        return tuple(
            _suspect_report(suspect, now)
            for suspect in self.quarantine.take_shared(MAX_SHARED_SUSPECTS)
        )

    # Records, which outlive all nodes

    def block_records(self) -> tuple[BlockRecord, ...]:
        """Return the records of all blocked traits, for a node that starts."""
        now = self._clock.monotonic()
        return tuple(block_record(suspect, now) for suspect in self.quarantine.blocked)

    def on_block_record(self, record: BlockRecord) -> None:
        """Unblock a trait that another node knows to be sound."""
        key = (ServiceId(record.service), Trait(record.trait))
        if record.state is RecordState.CLEARED:
            self._perform(self.quarantine.lift(key, self._clock.monotonic()))

    def restore_block(self, record: BlockRecord) -> None:
        """Block a trait that was blocked before this node started, or unblock a sound one.

        Only for a node that accepts no requests yet. Later it goes by its own evidence and by what
        the others tell of theirs: another node's block may be wrong.
        """
        self.on_block_record(record)
        if record.state is not RecordState.BLOCKED:
            return
        now = self._clock.monotonic()
        key = (ServiceId(record.service), Trait(record.trait))
        common = frozenset(Trait(trait) for trait in record.common)
        crashes = record.crashes_at(now)
        self._perform(
            self.quarantine.restore(
                key, common, crashes, record.probes, now, is_doubtful=record.is_doubtful
            )
        )

    @property
    def next_time(self) -> timedelta | None:
        """Time at which ``tick`` has work."""
        return self.quarantine.next_time

    def tick(self, now: timedelta) -> None:
        """Block what crashes suffice for, and announce sound answers on suspects."""
        self._perform(self.quarantine.tick(now))

    # Effects

    def _perform(self, effects: Sequence[QuarantineEffect]) -> None:
        now = self._clock.monotonic()
        if self.next_time is not None:
            self.wake()
        for effect in effects:
            match effect:
                case AnnounceSoundness(service, trait, at, is_whole):
                    self.broadcast(
                        SoundnessReport(service, trait, _milliseconds(now - at), is_whole)
                    )
                case AnnounceProbe(service, trait):
                    self.broadcast(ProbeReport(service, trait))
                case AnnounceTrial(service, trait):
                    self.broadcast(ProbeReport(service, trait, is_trial=True))
                case SuspectChanged():
                    self._note(effect, now)
        events = {effect.event for effect in effects if isinstance(effect, SuspectChanged)}
        if events & {SuspectEvent.BLOCKED, SuspectEvent.NARROWED, SuspectEvent.RESTORED}:
            self.on_blocked()
        if events - {SuspectEvent.SUSPECTED}:
            self.on_record_outdated()

    def _note(self, change: SuspectChanged, now: timedelta) -> None:
        self._metrics.suspect_changed(change.event)
        self._log.note(
            "quarantine",
            change.event.value,
            routine=change.event is SuspectEvent.SUSPECTED,
            trait=change.trait,
            service=change.service,
            with_all_of=sorted(change.common - {change.trait})[:MAX_TRAITS],
            crashes=[
                {
                    "upstream": upstream.id,
                    "started_at_ms": upstream.started_at_ms,
                    "age_ms": _milliseconds(now - crash.at),
                    "at_start": crash.at_start,
                }
                for upstream, crash in list(change.crashes)[:MAX_REPORTED_CRASHES]
            ],
        )

    def _problem(self, refusal: Refusal | None) -> Problem | None:
        if refusal is None:
            return None
        detail = f"{refusal.crashes} upstreams crashed on requests with {refusal.trait}"
        return Problem(ResultCode.CRASHES_UPSTREAMS, detail, retry_after=refusal.retry_after)


def _suspect_report(suspect: Suspect, now: timedelta) -> SuspectReport:
    latest = sorted(suspect.crashes.items(), key=lambda item: item[1].at)[-MAX_REPORTED_CRASHES:]
    return SuspectReport(
        service=suspect.service,
        trait=suspect.trait,
        common=tuple(sorted(suspect.common))[:MAX_TRAITS],
        crashes=tuple(
            ReportedCrash(
                upstream.id,
                max(0, upstream.started_at_ms),
                _milliseconds(now - crash.at),
                crash.at_start,
            )
            for upstream, crash in latest
        ),
        probes=suspect.probes,
        probe_in_ms=round((suspect.next_probe - now) / _MILLISECOND) if suspect.blocked_at else 0,
    )


def _milliseconds(duration: timedelta) -> int:
    return max(0, round(duration / _MILLISECOND))
