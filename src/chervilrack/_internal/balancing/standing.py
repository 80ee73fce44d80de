"""What upstreams say of themselves in their answers: that they leave, or want a pause.

The core binds a node by what the node itself has read, and lets it avoid what only peers have
read. It neither reads answers nor sends messages, and times are passed in.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec

from chervilrack._internal.catalogue.state import UpstreamEntry, UpstreamIncarnation, UpstreamState
from chervilrack._internal.common.ids import NodeId, UpstreamId, ZoneId
from chervilrack._internal.common.units import Count

_ZERO = timedelta(0)
# Longest pause that counts as it is named. A longer one is an error, such as a wrong unit or a
# time stamp.
LONGEST_PAUSE = timedelta(days=1)
# What counts instead of a longer pause. An upstream that means it gets one request an hour, and
# one that does not is not lost for the rest of its life.
REPLACED_PAUSE = timedelta(hours=1)
# Records of upstreams that leave; the oldest are dropped. The directory holds fewer upstreams.
MAX_RECORDS = 8192
# Leaving upstreams in one heartbeat. Further ones follow in the next heartbeats.
MAX_REPORTS = 8
# Starts beyond this cannot be sent in a message.
MAX_REPORTED_START_MS = 2**63 - 1
# A pause that is prolonged by less than this is not announced again.
ANNOUNCED_EXTENSION = timedelta(seconds=1)
OWN_ANSWER = "own answer"


class Bar(Enum):
    """Why a node sends an upstream nothing new."""

    LEAVING = "leaving"
    PAUSED = "paused"
    EVACUATED = "evacuated"


class StandingEvent(Enum):
    """What has changed about an upstream."""

    LEAVING = "leaving"
    LEAVING_AT_PEER = "leaving, says a peer"
    PAUSED = "held off"
    REGISTERED_ANEW = "registered anew"


@dataclass(frozen=True, slots=True)
class StandingChanged:
    """Effect: report a change; ``until`` is the monotonic end of a pause.

    ``source`` is ``OWN_ANSWER``, the id of a peer, or "" for the directory.
    """

    upstream: UpstreamIncarnation
    event: StandingEvent
    source: str = ""
    until: timedelta | None = None


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that has told the sender that it leaves; the fields name its incarnation."""

    upstream: str
    started_at_ms: Count


@dataclass(frozen=True, slots=True)
class _Pause:
    started_at_ms: int
    until: timedelta


class Standing:
    """Statements of upstreams, by incarnation.

    An upstream that leaves does so until it registers anew: neither time, nor its absence from
    the directory, nor an older registration ends that. A pause ends with its time or when the
    upstream registers anew; no answer shortens it.
    """

    def __init__(self) -> None:
        # Start times of the incarnations that leave; earlier incarnations are gone.
        self._leaving: OrderedDict[UpstreamId, int] = OrderedDict()
        self._leaving_at_peers: OrderedDict[UpstreamId, int] = OrderedDict()
        self._pauses: OrderedDict[UpstreamId, _Pause] = OrderedDict()
        self._next_report = 0
        self._evacuated_zones: frozenset[ZoneId] = frozenset()

    def set_evacuated_zones(self, zones: frozenset[ZoneId]) -> None:
        """Set the zones whose upstreams may get nothing new, whatever they say themselves."""
        self._evacuated_zones = zones

    def is_evacuated(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream lies in an evacuated zone."""
        return entry.zone in self._evacuated_zones

    def record_answer(
        self,
        upstream: UpstreamIncarnation,
        *,
        leaving: bool,
        pause: timedelta | None,
        now: timedelta,
    ) -> list[StandingChanged]:
        """Record what an upstream has said in an answer to this node."""
        changes = []
        if leaving and not self.is_leaving(upstream):
            _keep_latest(self._leaving, upstream)
            changes.append(StandingChanged(upstream, StandingEvent.LEAVING, OWN_ANSWER))
        if pause is not None and pause > _ZERO:
            changes += self._record_pause(upstream, pause, now)
        return changes

    def record_peer_reports(
        self, node: NodeId, reports: Sequence[LeavingReport]
    ) -> list[StandingChanged]:
        """Record upstreams that a peer reports as leaving."""
        changes = []
        for report in reports[:MAX_REPORTS]:
            upstream = UpstreamIncarnation(UpstreamId(report.upstream), report.started_at_ms)
            if _covers(self._leaving_at_peers, upstream):
                continue
            _keep_latest(self._leaving_at_peers, upstream)
            if not self.is_leaving(upstream):
                changes.append(StandingChanged(upstream, StandingEvent.LEAVING_AT_PEER, node))
        return changes

    def record_registration(self, upstream: UpstreamIncarnation) -> list[StandingChanged]:
        """Forget what earlier incarnations of a registered upstream have said."""
        was_barred = False
        for records in (self._leaving, self._leaving_at_peers):
            started_at_ms = records.get(upstream.id)
            if started_at_ms is not None and started_at_ms < upstream.started_at_ms:
                del records[upstream.id]
                was_barred = True
        pause = self._pauses.get(upstream.id)
        if pause is not None and pause.started_at_ms < upstream.started_at_ms:
            del self._pauses[upstream.id]
            was_barred = True
        return [StandingChanged(upstream, StandingEvent.REGISTERED_ANEW)] if was_barred else []

    def is_leaving(self, upstream: UpstreamIncarnation) -> bool:
        """Whether an upstream has told this node that it leaves."""
        return _covers(self._leaving, upstream)

    def paused_until(self, upstream: UpstreamIncarnation, now: timedelta) -> timedelta | None:
        """Return the end of the pause that an upstream has asked this node for, if it lasts."""
        pause = self._pauses.get(upstream.id)
        if pause is None or upstream.started_at_ms > pause.started_at_ms:
            return None
        if now >= pause.until:
            del self._pauses[upstream.id]
            return None
        return pause.until

    def bar(self, upstream: UpstreamIncarnation, now: timedelta) -> Bar | None:
        """Return what an upstream has said that keeps this node from sending it anything new."""
        if self.is_leaving(upstream):
            return Bar.LEAVING
        return Bar.PAUSED if self.paused_until(upstream, now) is not None else None

    def open_upstreams(
        self, entries: Sequence[UpstreamEntry], now: timedelta
    ) -> Sequence[UpstreamEntry]:
        """Return the upstreams that this node may use."""
        if not (self._leaving or self._pauses or self._evacuated_zones):
            return entries
        return [
            entry
            for entry in entries
            if not self.is_evacuated(entry) and self.bar(entry.incarnation, now) is None
        ]

    def preferred_upstreams(
        self, entries: Sequence[UpstreamEntry], now: timedelta
    ) -> Sequence[UpstreamEntry]:
        """Return the upstreams to use, without those that only peers call leaving if possible."""
        candidates = self.open_upstreams(entries, now)
        if not self._leaving_at_peers:
            return candidates
        others = [e for e in candidates if not _covers(self._leaving_at_peers, e.incarnation)]
        return others or candidates

    def next_return(self, entries: Iterable[UpstreamEntry], now: timedelta) -> timedelta | None:
        """Return the end of the first pause among barred upstreams, None if none will be back.

        Those that leave and those of evacuated zones have no known end.
        """
        ends = (
            self.paused_until(entry.incarnation, now)
            for entry in entries
            if not self.is_leaving(entry.incarnation) and not self.is_evacuated(entry)
        )
        return min((end for end in ends if end is not None), default=None)

    def take_reports(self, directory: Mapping[UpstreamId, UpstreamEntry]) -> list[LeavingReport]:
        """Return the next reports for peers.

        They name, in turn, the upstreams that leave by this node's own reading and are registered
        as ready. Peers learn from the store of the others.
        """
        leaving = []
        for upstream in self._leaving:
            entry = directory.get(upstream)
            is_registered = entry is not None and entry.state is UpstreamState.READY
            if (
                entry is not None
                and is_registered
                and abs(entry.started_at_ms) <= MAX_REPORTED_START_MS
                and self.is_leaving(entry.incarnation)
            ):
                leaving.append(entry.incarnation)
        first = self._next_report if self._next_report < len(leaving) else 0
        chosen = leaving[first : first + MAX_REPORTS]
        self._next_report = first + len(chosen)
        return [LeavingReport(u.id, u.started_at_ms) for u in chosen]

    def _record_pause(
        self, upstream: UpstreamIncarnation, pause: timedelta, now: timedelta
    ) -> list[StandingChanged]:
        until = now + (pause if pause <= LONGEST_PAUSE else REPLACED_PAUSE)
        known = self._pauses.get(upstream.id)
        if known is not None and known.started_at_ms > upstream.started_at_ms and now < known.until:
            return []
        announced = self.paused_until(upstream, now)
        if announced is not None and until <= announced:
            return []
        self._pauses[upstream.id] = _Pause(upstream.started_at_ms, until)
        while len(self._pauses) > MAX_RECORDS:
            self._pauses.popitem(last=False)
        if announced is not None and until - announced < ANNOUNCED_EXTENSION:
            return []
        return [StandingChanged(upstream, StandingEvent.PAUSED, OWN_ANSWER, until)]


def _covers(records: OrderedDict[UpstreamId, int], upstream: UpstreamIncarnation) -> bool:
    """Whether records hold an incarnation or a later one of the same upstream."""
    started_at_ms = records.get(upstream.id)
    return started_at_ms is not None and upstream.started_at_ms <= started_at_ms


def _keep_latest(records: OrderedDict[UpstreamId, int], upstream: UpstreamIncarnation) -> None:
    """Add an incarnation to bounded records; a later one of the same upstream stays."""
    records[upstream.id] = max(upstream.started_at_ms, records.get(upstream.id, 0))
    records.move_to_end(upstream.id)
    while len(records) > MAX_RECORDS:
        records.popitem(last=False)
