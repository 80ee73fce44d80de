"""Chooses upstreams by the expected time until the first byte, and ejects those that fail.

The expected time is computed from the node's own requests in flight, which are known exactly, and
from the reports of its peers, which are as old as the last heartbeat.
"""

import random
import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.balancing.pace import PaceBook, PaceSettings
from chervilrack._internal.balancing.peer_reports import PeerReports
from chervilrack._internal.balancing.service_times import MeasuredTimes
from chervilrack._internal.balancing.standing import Standing
from chervilrack._internal.balancing.state import (
    BalancingSettings,
    PeerSummary,
    RequestLoad,
    UpstreamChoice,
    UpstreamReport,
    UpstreamStatus,
)
from chervilrack._internal.catalogue.state import UpstreamEntry
from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import NodeId, UpstreamId, ZoneId
from chervilrack._internal.common.registry import Registry

_ZERO = timedelta(0)
BYTES_PER_MB = 1_000_000
DEFAULT_POLICY = "expected-wait"


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream with this node's status of it and the summary of the peers' reports."""

    entry: UpstreamEntry
    status: UpstreamStatus
    peers: PeerSummary

    @property
    def in_flight(self) -> int:
        """Requests that all nodes have in flight at the upstream."""
        return self.status.in_flight + self.peers.in_flight


BalancingPolicy = Callable[
    ["Balancer", Sequence[Candidate], RequestLoad, timedelta], UpstreamChoice
]
balancing_policies: Registry[BalancingPolicy] = Registry("balancing policy")


class Balancer:
    """Chooses upstreams for one node, and keeps their load and health as the node sees them."""

    def __init__(
        self,
        zone: ZoneId,
        rng: random.Random,
        settings: BalancingSettings | None = None,
        policy: str = DEFAULT_POLICY,
    ) -> None:
        self.settings = settings or BalancingSettings()
        self.zone = zone
        self.rng = rng
        # Statements of the upstreams, which bind the choice whatever their load and health are.
        self.standing = Standing()
        self.paces = PaceBook(
            PaceSettings(
                measured_weight=self.settings.pace_weight,
                measured_half_life=self.settings.pace_half_life,
            )
        )
        self._policy = balancing_policies.get(policy)
        self._status: dict[UpstreamId, UpstreamStatus] = {}
        self.peer_reports = PeerReports()
        self.times = MeasuredTimes()
        self._actions: list[ActionTaken] = []

    def choose(
        self,
        entries: Sequence[UpstreamEntry],
        load: RequestLoad,
        now: timedelta,
        excluded: Iterable[UpstreamId] = (),
    ) -> UpstreamChoice | None:
        """Choose an upstream for a request; return None if all are excluded or barred."""
        excluded_ids = set(excluded)
        others = [entry for entry in entries if entry.id not in excluded_ids]
        allowed = [
            Candidate(entry, self.status(entry.id), self._peer_summary(entry.id))
            for entry in self.standing.preferred_upstreams(others, now)
        ]
        if not allowed:
            return None
        usable = self._usable(allowed, now)
        return self._policy(self, usable, load, now)

    def sample(
        self, candidates: Sequence[Candidate], home: UpstreamId | None
    ) -> Sequence[Candidate]:
        """Return a few random candidates and the one named ``home``.

        The reports of peers are as old as their last heartbeats. If all nodes compared all
        candidates, they would send all requests between two heartbeats to the same one. A node
        without peers compares all of them.
        """
        count = self.settings.sampled_candidates
        if not self.peer_reports or len(candidates) <= count:
            return candidates
        numbers = set(self.rng.sample(range(len(candidates)), count))
        return [
            candidate
            for number, candidate in enumerate(candidates)
            if number in numbers or candidate.entry.id == home
        ]

    def prefers_home(self, load: RequestLoad, input_bytes: int) -> bool:
        """Whether a request is cheaper at its session's home than in the zone of its inputs.

        ``input_bytes`` is the size of the inputs. The home is the upstream that the requests of a
        session prefer, since it has their shared prompt parts cached.
        """
        reread_tokens = load.shared_tokens * self.settings.reread_weight
        return reread_tokens / self.settings.prefill_tokens_per_s >= self.move_cost(input_bytes)

    def move_cost(self, size: int) -> float:
        """Return the cost in seconds of ``size`` bytes of inputs that cross zones."""
        return size / BYTES_PER_MB * self.settings.move_cost_per_mb.total_seconds()

    def status(self, upstream: UpstreamId) -> UpstreamStatus:
        """Return the status of one upstream; an unknown upstream gets a new status."""
        existing = self._status.get(upstream)
        if existing is None:
            existing = self._status[upstream] = UpstreamStatus()
        return existing

    def record_start(self, upstream: UpstreamId, load: RequestLoad, now: timedelta) -> None:
        """Count a request as in flight at an upstream."""
        status = self.status(upstream)
        status.in_flight += 1
        status.waiting_tokens += load.prompt_tokens
        if status.ejected_until > _ZERO and now >= status.ejected_until:
            status.probing = True
        for part, _ in load.shared_parts:
            status.cached_parts[part] = now
            status.cached_parts.move_to_end(part)
        while len(status.cached_parts) > self.settings.max_cached_parts:
            status.cached_parts.popitem(last=False)

    def record_prompt_read(self, upstream: UpstreamId, load: RequestLoad) -> None:
        """Record that an upstream has read the prompt of a request."""
        status = self.status(upstream)
        status.waiting_tokens = max(0, status.waiting_tokens - load.prompt_tokens)

    def record_end(self, upstream: UpstreamId) -> None:
        """Count a request as no longer in flight."""
        status = self.status(upstream)
        status.in_flight = max(0, status.in_flight - 1)

    def end_probe(self, upstream: UpstreamId) -> None:
        """End the probe of an upstream if no request that may still show its state is in flight.

        A request may end without an outcome, for example because its caller leaves. Another one
        then has to probe the upstream.
        """
        status = self.status(upstream)
        if status.in_flight == 0:
            status.probing = False

    def record_success(self, upstream: UpstreamId, now: timedelta) -> None:
        """Record a successful response; it ends an ejection."""
        self.record_heard(upstream, now)
        status = self.status(upstream)
        status.consecutive_failures = 0
        status.last_success = now
        status.probing = False
        self._update_error_share(status, 0.0, now)
        if status.ejected_until > _ZERO:
            status.ejected_until = _ZERO
            status.ejections = max(0, status.ejections - 1)
            self._record_action("return", upstream, "answered on probation")

    def is_silent(self, upstream: UpstreamId) -> bool:
        """Whether attempts at an upstream have waited in vain, and nothing has come from it since.

        May be called without a lock.
        """
        status = self._status.get(upstream)
        return status is not None and status.silent_since is not None

    def has_failed(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Whether an upstream is ejected by more than its silence."""
        status = self.status(upstream)
        return now < status.ejected_until and not status.silent_ejections

    def may_be_silent(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Whether a new request would probably meet the silence that earlier ones have met."""
        status = self.status(upstream)
        return (
            status.silent_since is not None
            and now - status.silent_until <= self.settings.silence.bound
        )

    def record_heard(self, upstream: UpstreamId, now: timedelta) -> None:
        """Record that bytes have arrived from an upstream, which ends its silence.

        Takes back what the silence was evidence for: silent attempts and an ejection due to them.
        Without a silence, it may be called without a lock.
        """
        status = self.status(upstream)
        status.last_heard = now
        if status.silent_since is None:
            return
        duration = now - status.silent_since
        status.silent_since = None
        status.silent_attempts = 0
        if status.silent_ejections:
            status.probing = False
            status.consecutive_failures = 0
            status.ejected_until = _ZERO
            status.ejections = max(0, status.ejections - status.silent_ejections)
            status.silent_ejections = 0
        self._record_action("heard again", upstream, f"after {duration.total_seconds():.2f} s")

    def silence(self, upstream: UpstreamId, since: timedelta, now: timedelta) -> timedelta:
        """Return for how long an upstream has said nothing to a request that waits since ``since``.

        The silence may have begun before the request.
        """
        status = self.status(upstream)
        if status.silent_since is not None:
            since = min(since, status.silent_since)
        if status.last_heard is not None:
            since = max(since, status.last_heard)
        return now - since

    def record_silence(
        self, upstream: UpstreamId, since: timedelta, now: timedelta, reason: str
    ) -> None:
        """Record that an attempt has waited since ``since`` in vain.

        If the upstream has sent bytes on other connections meanwhile, the request takes long and
        the upstream is not silent. A silence ejects the upstream only when it is longer than that
        of a sound one and several attempts, or this one and peers, have met it. It also ejects an
        upstream that was ejected before and is being probed.
        """
        policy = self.settings.silence
        status = self.status(upstream)
        if status.last_heard is not None:
            since = max(since, status.last_heard)
        if now - since < policy.shortest_evidence:
            return
        last_known = max(status.silent_until, status.ejected_until)
        if since - last_known > 2 * policy.bound:
            status.silent_since = None  # The upstream may have gone on unnoticed.
        if status.silent_since is None:
            status.silent_since, status.silent_attempts = since, 0
            self._record_action("silent", upstream, reason)
        status.silent_since = min(status.silent_since, since)
        status.silent_until = now
        status.silent_attempts += 1
        started, attempts = status.silent_since, status.silent_attempts
        if (reported := self._silence_of_peers(upstream)) is not None:
            started, attempts = min(started, reported), attempts + 1
        is_too_long = now - started > policy.bound and attempts >= self.settings.ejection_failures
        if is_too_long or status.probing:
            ejections = status.silent_ejections + (now >= status.ejected_until)
            self.record_failure(upstream, now, reason, certain=True)
            status.silent_ejections = ejections

    def record_failure(
        self, upstream: UpstreamId, now: timedelta, reason: str, certain: bool = False
    ) -> None:
        """Record a failure, and eject the upstream after several in a row.

        A ``certain`` failure, such as a refused connection, or the failure of a probe ejects the
        upstream at once.
        """
        status = self.status(upstream)
        status.consecutive_failures += 1
        was_probing = status.probing
        status.probing = False
        if not (
            certain or was_probing or status.consecutive_failures >= self.settings.ejection_failures
        ):
            return
        if now < status.ejected_until:
            return
        settings = self.settings
        status.silent_ejections = 0
        duration = min(settings.ejection_time * 2**status.ejections, settings.longest_ejection_time)
        status.ejections = min(status.ejections + 1, 8)
        status.ejected_until = now + duration
        self._record_action("eject", upstream, f"{reason}; for {duration.total_seconds():.1f} s")

    def record_error_response(self, upstream: UpstreamId, now: timedelta) -> None:
        """Record a response that reports an error of the upstream itself.

        Some requests fail at every upstream, so one error response says little about this one.
        Error responses don't eject an upstream: an error share above the tolerated one adds to the
        cost of choosing it.
        """
        status = self.status(upstream)
        self.record_heard(upstream, now)
        status.probing = False
        self._update_error_share(status, 1.0, now)

    def error_share(self, status: UpstreamStatus, now: timedelta) -> float:
        """Return the error share of an upstream, decayed towards 0 since the last response."""
        age = max(_ZERO, now - status.error_share_at)
        return status.error_share * float(0.5 ** (age / self.settings.pace_half_life))

    def _update_error_share(self, status: UpstreamStatus, error: float, now: timedelta) -> None:
        weight = self.settings.error_weight
        status.error_share = (1 - weight) * self.error_share(status, now) + weight * error
        status.error_share_at = now

    def observe_pace(
        self, upstream: UpstreamId, expected: timedelta, took: timedelta, now: timedelta
    ) -> None:
        """Update the pace of an upstream with the ratio of the observed to the expected time."""
        status = self.status(upstream)
        if expected <= _ZERO or self._may_be_silence(status, expected, took, now):
            return
        self.paces.record_time(upstream, expected, took, now)

    def record_stated_load(
        self, upstream: UpstreamId, in_progress: int, slowdown: float | None, now: timedelta
    ) -> None:
        """Record what an upstream states of its load: its requests, and the slowdown of its VM."""
        del in_progress
        if slowdown is not None:
            self.paces.record_statement(upstream, slowdown, now)

    def _may_be_silence(
        self, status: UpstreamStatus, expected: timedelta, took: timedelta, now: timedelta
    ) -> bool:
        """Whether a silence, and not the pace of the upstream, may explain an observation.

        All requests that wait during a silence take long. Only one that was sent later can show
        that the upstream itself is slow.
        """
        started = now - took
        is_recent = (
            status.slow_since is not None
            and now - status.slow_since <= self.settings.pace_half_life
        )
        is_later = status.slow_since is not None and started >= status.slow_since
        if not self.settings.silence.may_explain(took - expected):
            if is_later:
                status.slow_since = None
            return False
        if not is_recent:
            status.slow_since = now
            return True
        return not is_later

    def pace(self, upstream: UpstreamId, now: timedelta) -> float:
        """Return what this node believes of the pace of an upstream."""
        return self.paces.believed(upstream, now).pace

    def known_pace(self, upstream: UpstreamId, now: timedelta) -> float:
        """Return the slowest pace that this node has seen or that a peer reports."""
        return max(self.pace(upstream, now), self.peer_reports.slowest_pace(upstream))

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the status of an upstream that is gone, unless requests are in flight at it."""
        status = self._status.get(upstream)
        if status is None or status.in_flight == 0:
            self._status.pop(upstream, None)
            self.paces.forget(upstream)

    def set_peer_reports(
        self, node: NodeId, reports: Sequence[UpstreamReport], now: timedelta = _ZERO
    ) -> None:
        """Replace the reports of a peer with those that have arrived now."""
        self.peer_reports.replace(node, reports, now)

    def forget_peer(self, node: NodeId) -> None:
        """Drop the reports of a peer that is gone."""
        self.peer_reports.forget(node)

    def local_reports(self, now: timedelta) -> list[UpstreamReport]:
        """Return this node's reports for its peers.

        Upstreams in their normal state without requests in flight are left out.
        """
        reports = []
        for upstream, status in self._status.items():
            suspected = now < status.ejected_until
            pace = self.paces.measured(upstream, now)
            error_share = self.error_share(status, now)
            is_usual = abs(pace - 1.0) <= 0.3 and error_share <= self.settings.tolerated_error_share
            silent = self._reported_silence(status, now)
            if status.in_flight or suspected or silent or not is_usual:
                report = UpstreamReport(
                    upstream,
                    status.in_flight,
                    status.waiting_tokens,
                    suspected,
                    round(pace, 2),
                    round(error_share, 2),
                    silent,
                )
                reports.append(report)
        return reports

    def _reported_silence(self, status: UpstreamStatus, now: timedelta) -> int:
        """Return the milliseconds for which an upstream is silent, or 0.

        Without a new silent attempt the upstream may have gone on, unnoticed by this node.
        """
        if status.silent_since is None or now - status.silent_until > self.settings.silence.bound:
            return 0
        return max(1, round((now - status.silent_since) / timedelta(milliseconds=1)))

    def load_spread(self, entries: Sequence[UpstreamEntry]) -> float | None:
        """Return the deviation of the requests in flight at upstreams, relative to their mean.

        The requests of peers are those of their last reports. None if there are no requests.
        """
        loads = [
            self.status(entry.id).in_flight + self._peer_summary(entry.id).in_flight
            for entry in entries
        ]
        if not any(loads):
            return None
        return statistics.pstdev(loads) / statistics.fmean(loads)

    def drain_actions(self) -> list[ActionTaken]:
        """Return the ejections and returns since the last call, and forget them."""
        actions, self._actions = self._actions, []
        return actions

    def is_suspected(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Whether this node has ejected or is probing an upstream, or enough peers suspect it.

        A success within the last second outweighs the suspicion of peers.
        """
        status = self.status(upstream)
        if now < status.ejected_until or status.probing:
            return True
        recent = status.last_success is not None and now - status.last_success < timedelta(
            seconds=1
        )
        return (
            not recent
            and self._peer_summary(upstream).suspecting_peers >= self.settings.min_suspecting_peers
        )

    def _peer_summary(self, upstream: UpstreamId) -> PeerSummary:
        return self.peer_reports.summary(upstream, self._silence_of_peers(upstream))

    def _silence_of_peers(self, upstream: UpstreamId) -> timedelta | None:
        """Return when an upstream fell silent to enough peers, unless this node heard it since."""
        since = self.peer_reports.silence(upstream, self.settings.min_suspecting_peers)
        heard = self.status(upstream).last_heard
        return since if since is not None and (heard is None or heard < since) else None

    def rest_of_silence(self, candidate: Candidate, now: timedelta) -> timedelta:
        """Return how long a request has to wait at most for a silent upstream that is sound."""
        starts = (candidate.status.silent_since, candidate.peers.silent_since)
        rests = [self.settings.silence.longest_rest(now - at) for at in starts if at is not None]
        return max(rests, default=_ZERO)

    def _usable(self, allowed: Sequence[Candidate], now: timedelta) -> list[Candidate]:
        """Return the candidates without suspected upstreams, but at least the minimum share.

        If too few are left, the suspected upstreams whose ejection ends first are added.
        """
        usable = [c for c in allowed if not self.is_suspected(c.entry.id, now)]
        min_count = max(1, round(len(allowed) * self.settings.min_usable_share))
        if len(usable) >= min_count:
            return usable
        left_out = [c for c in allowed if c not in usable]
        left_out.sort(key=lambda c: (c.status.ejected_until, c.entry.id))
        return usable + left_out[: min_count - len(usable)]

    def _record_action(self, action: str, upstream: UpstreamId, reason: str) -> None:
        self._actions.append(ActionTaken("balancing", action, upstream, reason))
