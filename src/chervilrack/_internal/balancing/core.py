"""Chooses upstreams by expected time to the first byte, and ejects those that fail.

The choice uses the node's own load in flight, which is exact, and the reports of the other nodes,
which are as old as the last heartbeat.
"""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.balancing.state import (
    BalancingSettings,
    OthersView,
    RequestLoad,
    UpstreamChoice,
    UpstreamReport,
    UpstreamStatus,
)
from chervilrack._internal.catalogue.state import UpstreamEntry
from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.common.ids import NodeId, UpstreamId, ZoneId
from chervilrack._internal.common.registry import Registry

_ZERO = timedelta(0)
BYTES_PER_MB = 1_000_000
_NOBODY = OthersView()


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream with all that is known about its load."""

    entry: UpstreamEntry
    status: UpstreamStatus
    others: OthersView

    @property
    def in_flight(self) -> int:
        """Requests in flight of all nodes."""
        return self.status.in_flight + self.others.in_flight


BalancingPolicy = Callable[
    ["Balancer", Sequence[Candidate], RequestLoad, timedelta], UpstreamChoice
]
balancing_policies: Registry[BalancingPolicy] = Registry("balancing policy")


class Balancer:
    """Load and health of all upstreams, as seen by one node."""

    def __init__(
        self,
        zone: ZoneId,
        rng: random.Random,
        settings: BalancingSettings | None = None,
        policy: str = "expected-wait",
    ) -> None:
        self.settings = settings or BalancingSettings()
        self.zone = zone
        self.rng = rng
        self._policy = balancing_policies.get(policy)
        self._status: dict[UpstreamId, UpstreamStatus] = {}
        self._reports: dict[NodeId, Mapping[str, UpstreamReport]] = {}
        self._actions: list[ActionTaken] = []

    def choose(
        self,
        entries: Sequence[UpstreamEntry],
        load: RequestLoad,
        now: timedelta,
        excluded: Iterable[UpstreamId] = (),
    ) -> UpstreamChoice | None:
        """Choose an upstream for ``load``; None if there is none that is not excluded."""
        barred = set(excluded)
        allowed = [
            Candidate(entry, self.status(entry.id), self._others(entry.id))
            for entry in entries
            if entry.id not in barred
        ]
        if not allowed:
            return None
        usable = self._usable(allowed, now)
        return self._policy(self, usable, load, now)

    def prefers_home(self, load: RequestLoad, inputs: int) -> bool:
        """Whether load goes to its session's home rather than to where its inputs lie.

        ``inputs`` is their size in bytes.
        """
        again = load.shared_tokens * self.settings.reread_weight
        return again / self.settings.prefill_tokens_per_s >= _move_cost(self, inputs)

    def status(self, upstream: UpstreamId) -> UpstreamStatus:
        """Return the state of one upstream, which is created on first use."""
        found = self._status.get(upstream)
        if found is None:
            found = self._status[upstream] = UpstreamStatus()
        return found

    def record_start(self, upstream: UpstreamId, load: RequestLoad, now: timedelta) -> None:
        """Count a request as in flight at an upstream."""
        status = self.status(upstream)
        status.in_flight += 1
        status.tokens += load.prompt_tokens
        if status.ejected_until > _ZERO and now >= status.ejected_until:
            status.probing = True
        for part, _ in load.shared_parts:
            status.cached[part] = now
            status.cached.move_to_end(part)
        while len(status.cached) > self.settings.cached_parts:
            status.cached.popitem(last=False)

    def record_prompt_read(self, upstream: UpstreamId, load: RequestLoad) -> None:
        """Note that the prompt of a request has been read."""
        status = self.status(upstream)
        status.tokens = max(0, status.tokens - load.prompt_tokens)

    def record_end(self, upstream: UpstreamId) -> None:
        """Count a request as no longer in flight."""
        status = self.status(upstream)
        status.in_flight = max(0, status.in_flight - 1)

    def record_success(self, upstream: UpstreamId, now: timedelta) -> None:
        """Record a good answer."""
        status = self.status(upstream)
        status.failures = 0
        status.last_success = now
        status.probing = False
        self._count_error(status, 0.0, now)
        if status.ejected_until > _ZERO:
            status.ejected_until = _ZERO
            status.ejections = max(0, status.ejections - 1)
            self._act("return", upstream, "answered on probation")

    def record_failure(
        self, upstream: UpstreamId, now: timedelta, reason: str, certain: bool = False
    ) -> None:
        """Record a failure; ``certain`` ones, such as a refused connection, eject at once."""
        status = self.status(upstream)
        status.failures += 1
        again = status.probing
        status.probing = False
        if not (certain or again or status.failures >= self.settings.eject_failures):
            return
        if now < status.ejected_until:
            return
        settings = self.settings
        time = min(settings.eject_time * 2**status.ejections, settings.eject_time_longest)
        status.ejections = min(status.ejections + 1, 8)
        status.ejected_until = now + time
        self._act("eject", upstream, f"{reason}; for {time.total_seconds():.1f} s")

    def record_error_response(self, upstream: UpstreamId, now: timedelta) -> None:
        """Record an answer that is a failure of the upstream's own.

        Some requests fail at every upstream, so that one failure says little: a share above the
        usual makes the upstream cost more instead of ejecting it.
        """
        status = self.status(upstream)
        status.probing = False
        self._count_error(status, 1.0, now)

    def errors(self, status: UpstreamStatus, now: timedelta) -> float:
        """Return the share of failures, faded since the last answer."""
        age = max(_ZERO, now - status.errors_at)
        return status.errors * float(0.5 ** (age / self.settings.pace_half_life))

    def _count_error(self, status: UpstreamStatus, error: float, now: timedelta) -> None:
        weight = self.settings.error_weight
        status.errors = (1 - weight) * self.errors(status, now) + weight * error
        status.errors_at = now

    def observe_pace(
        self, upstream: UpstreamId, expected: timedelta, took: timedelta, now: timedelta
    ) -> None:
        """Record how long an upstream took against what was expected of it."""
        status = self.status(upstream)
        if expected <= _ZERO:
            return
        ratio = min(20.0, max(0.2, took / expected))
        weight = self.settings.pace_weight
        status.pace = (1 - weight) * self.pace(status, now) + weight * ratio
        status.pace_at = now

    def pace(self, status: UpstreamStatus, now: timedelta) -> float:
        """Return the pace of an upstream, faded towards 1 since the last observation."""
        age = max(_ZERO, now - status.pace_at)
        kept = float(0.5 ** (age / self.settings.pace_half_life))
        return 1.0 + (status.pace - 1.0) * kept

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known about an upstream that is gone; load in flight is still counted."""
        status = self._status.get(upstream)
        if status is not None and status.in_flight == 0:
            del self._status[upstream]

    def set_peer_reports(self, node: NodeId, reports: Sequence[UpstreamReport]) -> None:
        """Replace what another node reported."""
        self._reports[node] = {report.upstream: report for report in reports}

    def forget_peer(self, node: NodeId) -> None:
        """Drop the reports of a node that is gone."""
        self._reports.pop(node, None)

    def local_reports(self, now: timedelta) -> list[UpstreamReport]:
        """Return what this node tells the others: upstreams in use or under suspicion."""
        reports = []
        for upstream, status in self._status.items():
            suspected = now < status.ejected_until
            pace = self.pace(status, now)
            errors = self.errors(status, now)
            is_usual = abs(pace - 1.0) <= 0.3 and errors <= self.settings.usual_errors
            if status.in_flight or suspected or not is_usual:
                report = UpstreamReport(
                    upstream,
                    status.in_flight,
                    status.tokens,
                    suspected,
                    round(pace, 2),
                    round(errors, 2),
                )
                reports.append(report)
        return reports

    def drain_actions(self) -> list[ActionTaken]:
        """Return ejections and returns since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def is_suspected(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Whether this node or enough others have evidence of failures."""
        status = self.status(upstream)
        if now < status.ejected_until or status.probing:
            return True
        recent = status.last_success is not None and now - status.last_success < timedelta(
            seconds=1
        )
        return not recent and self._others(upstream).suspecting >= self.settings.suspecting_peers

    def _others(self, upstream: UpstreamId) -> OthersView:
        found = [reports[upstream] for reports in self._reports.values() if upstream in reports]
        if not found:
            return _NOBODY
        return OthersView(
            in_flight=sum(report.in_flight for report in found),
            tokens=sum(report.tokens for report in found),
            suspecting=sum(report.suspected for report in found),
            pace=max(report.pace for report in found),
            errors=max(report.errors for report in found),
        )

    def _usable(self, allowed: Sequence[Candidate], now: timedelta) -> list[Candidate]:
        """Leave out suspected upstreams, but never more than the floor allows."""
        usable = [c for c in allowed if not self.is_suspected(c.entry.id, now)]
        floor = max(1, round(len(allowed) * self.settings.usable_floor))
        if len(usable) >= floor:
            return usable
        out = [c for c in allowed if c not in usable]
        out.sort(key=lambda c: (c.status.ejected_until, c.entry.id))
        return usable + out[: floor - len(usable)]

    def _act(self, action: str, upstream: UpstreamId, reason: str) -> None:
        self._actions.append(ActionTaken("balancing", action, upstream, reason))


@balancing_policies.register("expected-wait")
def choose_by_expected_wait(
    balancer: Balancer, candidates: Sequence[Candidate], load: RequestLoad, now: timedelta
) -> UpstreamChoice:
    """Choose the least expected time until the first byte; sessions stay together."""
    session = load.session
    home = None
    if session is not None:
        home = rendezvous_owner(session, [candidate.entry.id for candidate in candidates])
    scored = []
    for candidate in candidates:
        cost = _expected_wait(balancer, candidate, load, candidate.entry.id == home, now)
        scored.append((cost, balancer.rng.random(), candidate))
    cost, _, best = min(scored, key=lambda entry: entry[:2])
    reason = f"in flight {best.in_flight}, pace {balancer.pace(best.status, now):.1f}"
    if home is not None:
        reason += ", home" if best.entry.id == home else f", home {home} costs more"
    wait = timedelta(seconds=cost)
    usual = wait / _pace(balancer, best, now)
    return UpstreamChoice(best.entry.id, reason, wait, usual, len(candidates))


@balancing_policies.register("least-outstanding")
def choose_least_outstanding(
    balancer: Balancer, candidates: Sequence[Candidate], load: RequestLoad, now: timedelta
) -> UpstreamChoice:
    """Choose the fewest own requests in flight; baseline."""
    del load, now
    best = min(candidates, key=lambda c: (c.status.in_flight, balancer.rng.random()))
    reason = f"{best.status.in_flight} in flight"
    return UpstreamChoice(best.entry.id, reason, _ZERO, _ZERO, len(candidates))


@balancing_policies.register("random")
def choose_at_random(
    balancer: Balancer, candidates: Sequence[Candidate], load: RequestLoad, now: timedelta
) -> UpstreamChoice:
    """Choose any candidate; baseline."""
    del load, now
    chosen = balancer.rng.choice(list(candidates))
    return UpstreamChoice(chosen.entry.id, "at random", _ZERO, _ZERO, len(candidates))


def _expected_wait(
    balancer: Balancer, candidate: Candidate, load: RequestLoad, is_home: bool, now: timedelta
) -> float:
    settings = balancer.settings
    entry, status = candidate.entry, candidate.status
    seconds = 0.0
    if load.prompt_tokens:
        waiting = status.tokens + candidate.others.tokens
        again = load.shared_tokens - _cached_tokens(status, load, is_home)
        own = load.prompt_tokens - load.shared_tokens + settings.reread_weight * again
        seconds += (waiting + own) / settings.prefill_tokens_per_s
        seconds += candidate.in_flight * settings.running_cost.total_seconds()
    else:
        # Without token counts each request in flight stands for one more turn of the slots.
        seconds += (candidate.in_flight + 1) / max(1, entry.slots) * 0.05
    if candidate.in_flight >= entry.slots:
        seconds += 0.25 * (1 + (candidate.in_flight - entry.slots) / max(1, entry.slots))
    seconds *= _pace(balancer, candidate, now)
    errors = max(balancer.errors(status, now), candidate.others.errors)
    seconds += max(0.0, errors - settings.usual_errors) * settings.error_cost
    if entry.zone != balancer.zone:
        seconds += settings.zone_cost.total_seconds()
    return seconds + _move_cost(balancer, load.moved_bytes(entry.zone))


def _move_cost(balancer: Balancer, size: int) -> float:
    return size / BYTES_PER_MB * balancer.settings.move_cost_per_mb.total_seconds()


def _pace(balancer: Balancer, candidate: Candidate, now: timedelta) -> float:
    return max(balancer.pace(candidate.status, now), candidate.others.pace)


def _cached_tokens(status: UpstreamStatus, load: RequestLoad, is_home: bool) -> int:
    """Return the tokens of leading parts that the upstream probably keeps."""
    if is_home:
        return load.shared_tokens
    found = 0
    for part, tokens in load.shared_parts:
        if part not in status.cached:
            break
        found += tokens
    return found
