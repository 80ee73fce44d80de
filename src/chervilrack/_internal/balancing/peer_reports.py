"""What peers have reported about upstreams, each report with its age."""

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.balancing.pace import USUAL
from chervilrack._internal.balancing.state import PeerSummary, UpstreamReport
from chervilrack._internal.common.ids import NodeId, UpstreamId

_ZERO = timedelta(0)
_NO_REPORTS = PeerSummary()
# Paces that deviate less from the usual one show nothing.
LEAST_DEVIATION = 0.05


@dataclass(frozen=True, slots=True)
class AgedLoad:
    """Requests of peers at one upstream, and their unread prompt tokens, as expected by now.

    ``in_flight_variance`` is the variance of the requests. That of the tokens is
    ``waiting_variance`` times the tokens of a prompt.
    """

    in_flight: float = 0.0
    waiting_tokens: float = 0.0
    in_flight_variance: float = 0.0
    waiting_variance: float = 0.0


class PeerReports:
    """The last reports of each peer; a peer reports few of the upstreams."""

    def __init__(self) -> None:
        self._reports: dict[UpstreamId, dict[NodeId, UpstreamReport]] = {}
        self._reported: dict[NodeId, tuple[UpstreamId, ...]] = {}
        self._arrivals: dict[NodeId, timedelta] = {}
        # Starts of the silences that peers report, by upstream.
        self._silences: dict[UpstreamId, dict[NodeId, timedelta]] = {}

    def __bool__(self) -> bool:
        """Whether any peer has reported."""
        return bool(self._reported)

    def replace(self, node: NodeId, reports: Sequence[UpstreamReport], now: timedelta) -> None:
        """Replace the reports of a peer with those that have arrived now."""
        self.forget(node)
        self._arrivals[node] = now
        self._reported[node] = tuple(UpstreamId(report.upstream) for report in reports)
        for report in reports:
            upstream = UpstreamId(report.upstream)
            self._reports.setdefault(upstream, {})[node] = report
            if report.silent_ms:
                since = now - timedelta(milliseconds=report.silent_ms)
                self._silences.setdefault(upstream, {})[node] = since

    def forget(self, node: NodeId) -> None:
        """Drop the reports of a peer that is gone."""
        self._arrivals.pop(node, None)
        for upstream in self._reported.pop(node, ()):
            reports = self._reports[upstream]
            del reports[node]
            if not reports:
                del self._reports[upstream]
            silences = self._silences.get(upstream)
            if silences is not None and silences.pop(node, None) is not None and not silences:
                del self._silences[upstream]

    def summary(self, upstream: UpstreamId, silent_since: timedelta | None) -> PeerSummary:
        """Return the summary of the reports about an upstream, whatever their age is."""
        reports = self._reports.get(upstream)
        if reports is None:
            return _NO_REPORTS
        peer_reports = reports.values()
        return PeerSummary(
            in_flight=sum(report.in_flight for report in peer_reports),
            waiting_tokens=sum(report.waiting_tokens for report in peer_reports),
            suspecting_peers=sum(report.suspected for report in peer_reports),
            pace=statistics.median(report.pace for report in peer_reports),
            error_share=statistics.fmean(report.error_share for report in peer_reports),
            silent_since=silent_since,
        )

    def pace(self, upstream: UpstreamId, own: float) -> float:
        """Return the geometric mean of this node's and the peers' paces that show something.

        A usual pace counts as one more value. A peer that has measured nothing reports one, too,
        so that usual paces of peers are left out.
        """
        reports = self._reports.get(upstream, {}).values()
        paces = [own, *(report.pace for report in reports)]
        shown = [pace for pace in paces if pace > 0 and abs(pace - 1) >= LEAST_DEVIATION]
        return math.exp(sum(map(math.log, shown)) / (len(shown) + 1))

    def slowest_pace(self, upstream: UpstreamId) -> float:
        """Return the slowest reported pace of an upstream, the usual one without reports."""
        reports = self._reports.get(upstream, {}).values()
        return max((report.pace for report in reports), default=USUAL)

    def silence(self, upstream: UpstreamId, min_peers: int) -> timedelta | None:
        """Return when an upstream fell silent to the last of enough peers, None if it did not."""
        silences = self._silences.get(upstream, {})
        return max(silences.values()) if len(silences) >= min_peers else None

    def mean_age(self, now: timedelta) -> timedelta | None:
        """Return the mean age of the peers' last reports, None without peers."""
        if not self._arrivals:
            return None
        return sum((max(_ZERO, now - at) for at in self._arrivals.values()), _ZERO) / len(
            self._arrivals
        )

    def aged(
        self,
        upstreams: Sequence[UpstreamId],
        stay: timedelta,
        first_byte: timedelta,
        now: timedelta,
    ) -> dict[UpstreamId, AgedLoad]:
        """Return the expected load of peers at each of the upstreams of one service.

        What a peer has reported of an upstream decays towards the peer's mean over the upstreams,
        with the mean time that a request stays at one: the requests of a report end, and others
        have gone to upstreams that nobody knows. Prompt tokens decay with ``first_byte``.
        """
        kept = {node: _share_left(now - at, stay) for node, at in self._arrivals.items()}
        unread = {node: _share_left(now - at, first_byte) for node, at in self._arrivals.items()}
        requests = {name: _Remainder() for name in upstreams}
        tokens = {name: _Remainder() for name in upstreams}
        for name in upstreams:
            for node, report in self._reports.get(name, {}).items():
                requests[name].add(report.in_flight, kept[node])
                tokens[name].add(report.waiting_tokens, unread[node])
        count = max(1, len(upstreams))
        new_requests = sum(remainder.gone for remainder in requests.values()) / count
        new_tokens = sum(remainder.gone for remainder in tokens.values()) / count
        return {
            name: AgedLoad(
                requests[name].left + new_requests,
                tokens[name].left + new_tokens,
                requests[name].variance + new_requests,
                tokens[name].variance + new_tokens,
            )
            for name in upstreams
        }


@dataclass(slots=True)
class _Remainder:
    """What is left of reported amounts, of which each unit has gone with some probability."""

    left: float = 0.0
    gone: float = 0.0
    variance: float = 0.0

    def add(self, amount: float, share_left: float) -> None:
        self.left += amount * share_left
        self.gone += amount * (1 - share_left)
        self.variance += amount * share_left * (1 - share_left)


def _share_left(age: timedelta, stay: timedelta) -> float:
    return math.exp(-(max(_ZERO, age) / stay)) if stay > _ZERO else 0.0
