"""The default routing policy: expected completion time over a few sampled candidates."""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import StageId, UpstreamId, ZoneId
from chervilrack._internal.releases.state import Upstream
from chervilrack._internal.routing.affinity import CacheEvent, PrefixIndex
from chervilrack._internal.routing.health import HealthState, HealthTable
from chervilrack._internal.routing.port import RouteContext, RouteDecision
from chervilrack._internal.routing.settings import RouterSettings
from chervilrack._internal.routing.times import size_of
from chervilrack._internal.routing.tracking import Attempt, TrackingRouter

# Candidates with a cached prefix that are scored besides the sample.
AFFINITY_CANDIDATES = 2
# Scores this close are equal. The sample is in random order, so that nodes with the same stale
# information do not all follow a negligible difference.
NEAR_TIE = 0.03
# Draws per wanted sample before all candidates are examined.
DRAWS = 8


@dataclass(frozen=True, slots=True)
class _Score:
    """Expected seconds until completion, and what they are made of."""

    seconds: float
    load: float
    prefix: float
    holds: bool


class _Index:
    """Positions in one sequence of candidates: of those in this zone, and of every id."""

    __slots__ = ("candidates", "local", "positions")

    def __init__(self, candidates: Sequence[Upstream], zone: ZoneId) -> None:
        self.candidates = candidates
        self.local = [i for i, candidate in enumerate(candidates) if candidate.zone == zone]
        self.positions: dict[UpstreamId, int] | None = None

    def find(self, names: Sequence[UpstreamId]) -> list[Upstream]:
        """Return the candidates with these ids."""
        if not isinstance(self.candidates, tuple):
            return [candidate for candidate in self.candidates if candidate.id in names]
        if self.positions is None:
            self.positions = {candidate.id: i for i, candidate in enumerate(self.candidates)}
        return [self.candidates[self.positions[name]] for name in names if name in self.positions]


class ChervilrackRouter(TrackingRouter):
    """Scores sampled candidates by expected completion time; see ``RouterSettings``."""

    def __init__(
        self, rng: random.Random, zone: ZoneId, settings: RouterSettings | None = None
    ) -> None:
        super().__init__(rng, zone, settings)
        self._health = HealthTable(self._settings, self._times)
        self._prefixes = PrefixIndex(self._settings)
        self._presence: dict[UpstreamId, tuple[frozenset[str], frozenset[str]]] = {}
        self._indexes: dict[StageId, _Index] = {}

    def choose(
        self, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> RouteDecision | None:
        """Choose among candidates that have permits; None if none may be used.

        If many candidates are unchanged, pass the same tuple again: the work of a call then does
        not grow with their number.
        """
        if not candidates:
            return None
        self._times.advance(now)
        self._introduce(candidates, context.stage, now)
        matches = self._prefixes.match(context.prefix_hashes, now) if context.prefix_hashes else {}
        if len(candidates) <= self._settings.scan_limit:
            sample, probe = self._scan(candidates, context, matches, now)
        else:
            sample, probe = self._draw(candidates, context, matches, now)
        if probe is not None:
            return RouteDecision(probe.id, "probe on probation")
        if not sample:
            return None
        mean, _ = self._times.expected(context.stage, size_of(context))
        scores = [(self._score(c, context, matches, mean, now), c) for c in sample]
        enough = min(score.seconds for score, _ in scores) * (1.0 + NEAR_TIE)
        best, chosen = next(pair for pair in scores if pair[0].seconds <= enough)
        return RouteDecision(chosen.id, self._reason(best, chosen, len(scores), len(candidates)))

    def cache_event(self, upstream: UpstreamId, event: CacheEvent, now: timedelta) -> None:
        """Take an engine's prefix cache event; late, repeated and lost events are expected."""
        self._prefixes.apply(upstream, event, now)

    def set_presence(
        self, upstream: UpstreamId, models: frozenset[str], adapters: frozenset[str]
    ) -> None:
        """State what an engine holds now, in place of the release's lists."""
        self._presence[upstream] = (models, adapters)

    def forget(self, upstream: UpstreamId, now: timedelta) -> None:
        """Drop what was learned about an upstream that was replaced or restarted."""
        super().forget(upstream, now)
        self._prefixes.forget(upstream, now)
        self._presence.pop(upstream, None)

    def drain_actions(self) -> list[ActionTaken]:
        """Return ejections, returns and ends of slow start since the last call."""
        return self._health.drain_actions()

    # Sampling

    def _introduce(self, candidates: Sequence[Upstream], stage: StageId, now: timedelta) -> None:
        """Register the candidates of a stage that is used for the first time."""
        if self._health.size(stage) is None:
            for candidate in candidates:
                if self._health.known(candidate.id) is None:
                    self._health.introduce(candidate.id, now, slowly=False)
        self._health.note_stage(stage, len(candidates))

    def _scan(
        self,
        candidates: Sequence[Upstream],
        context: RouteContext,
        matches: dict[UpstreamId, float],
        now: timedelta,
    ) -> tuple[list[Upstream], Upstream | None]:
        """Examine all candidates; return those to score and one to probe."""
        allowed = [c for c in candidates if c.id not in context.excluded]
        out = []
        usable = []
        for candidate in allowed:
            state = self._state(candidate, now)
            if state is HealthState.HEALTHY:
                usable.append(candidate)
            elif state is HealthState.PROBATION and self._may_probe(candidate.id):
                return [], candidate
            else:
                out.append(candidate)
        floor = (len(allowed) + 1) // 2
        if len(usable) < floor:
            out.sort(key=lambda c: (self._health.get(c.id).until, c.id))
            usable += out[: floor - len(usable)]
        ramped = [c for c in usable if self._passes_slow_start(c.id, now)] or usable
        local = [c for c in ramped if c.zone == self._zone]
        remote = [c for c in ramped if c.zone != self._zone] if local else []
        sample = self._pick(local or ramped, self._settings.samples)
        if remote:
            sample += self._pick(remote, 1)
        holders = self._holders(sample, context, matches)
        return sample + [c for c in ramped if c.id in holders], None

    def _draw(
        self,
        candidates: Sequence[Upstream],
        context: RouteContext,
        matches: dict[UpstreamId, float],
        now: timedelta,
    ) -> tuple[list[Upstream], Upstream | None]:
        """Draw a few of many candidates; the work does not grow with their number."""
        index = self._index(candidates, context.stage)
        local = index.local
        wanted = self._settings.samples
        sample: list[Upstream] = []
        taken: set[UpstreamId] = set()
        pools: list[tuple[Iterator[int], int]] = []
        if local:
            pools.append((self._random_items(local, DRAWS * wanted), min(wanted, len(local))))
        everyone = range(len(candidates))
        pools.append((self._random_items(everyone, DRAWS * wanted), 1 if local else wanted))
        for indices, count in pools:
            found = 0
            for position in indices:
                candidate = candidates[position]
                if candidate.id in context.excluded or candidate.id in taken:
                    continue
                state = self._state(candidate, now)
                if state is HealthState.PROBATION and self._may_probe(candidate.id):
                    return [], candidate
                if state is HealthState.HEALTHY and self._passes_slow_start(candidate.id, now):
                    sample.append(candidate)
                    taken.add(candidate.id)
                    found += 1
                    if found == count:
                        break
        if not sample:
            return self._scan(candidates, context, matches, now)
        holders = self._holders(sample, context, matches)
        if holders:
            sample += index.find(holders)
        return sample, None

    def _holders(
        self, sample: list[Upstream], context: RouteContext, matches: dict[UpstreamId, float]
    ) -> list[UpstreamId]:
        """Return the holders of the longest cached prefixes that are not in the sample."""
        if not matches:
            return []
        best = sorted(matches, key=lambda name: (-matches[name], name))[:AFFINITY_CANDIDATES]
        sampled = {candidate.id for candidate in sample}
        barred = context.excluded | self._health.impaired
        return [name for name in best if name not in sampled and name not in barred]

    def _index(self, candidates: Sequence[Upstream], stage: StageId) -> _Index:
        """Return the positions of candidates, remembered for a repeated tuple.

        Holding the tuple keeps its identity valid.
        """
        known = self._indexes.get(stage)
        if known is not None and known.candidates is candidates:
            return known
        index = _Index(candidates, self._zone)
        if isinstance(candidates, tuple):
            self._indexes[stage] = index
        return index

    def _random_items(self, items: Sequence[int], draws: int) -> Iterator[int]:
        for _ in range(draws):
            yield items[int(self._rng.random() * len(items))]

    def _pick(self, candidates: list[Upstream], count: int) -> list[Upstream]:
        return self._rng.sample(candidates, min(count, len(candidates)))

    # Health

    def _state(self, candidate: Upstream, now: timedelta) -> HealthState:
        if self._health.known(candidate.id) is None:
            self._health.introduce(candidate.id, now, slowly=True)
        return self._health.refresh(candidate.id, now)

    def _may_probe(self, upstream: UpstreamId) -> bool:
        return self._health.get(upstream).probes == 0

    def _passes_slow_start(self, upstream: UpstreamId, now: timedelta) -> bool:
        share = self._health.share(upstream, now)
        return share >= 1.0 or self._rng.random() < share

    def _usable(self, upstream: UpstreamId, context: RouteContext) -> bool:
        return super()._usable(upstream, context) and upstream not in self._health.impaired

    def _record(self, upstream: UpstreamId, context: RouteContext, now: timedelta) -> Attempt:
        attempt = super()._record(upstream, context, now)
        health = self._health.get(upstream)
        if health.state is HealthState.PROBATION:
            health.probes += 1
            attempt = replace(attempt, probe=True)
        if context.prefix_hashes:
            self._prefixes.store(upstream, context.prefix_hashes, now)
        return attempt

    def _ended(self, attempt: Attempt, succeeded: bool | None, now: timedelta) -> None:
        health = self._health.get(attempt.upstream)
        if attempt.probe:
            health.probes = max(0, health.probes - 1)
        if succeeded is None:
            return
        if not succeeded and attempt.context.prefix_hashes:
            self._prefixes.discard(
                attempt.upstream, attempt.context.prefix_hashes, attempt.started_at
            )
        self._health.finished(attempt.upstream, attempt.context.stage, succeeded, now)

    # Scoring

    def _score(
        self,
        candidate: Upstream,
        context: RouteContext,
        matches: dict[UpstreamId, float],
        mean: float,
        now: timedelta,
    ) -> _Score:
        settings = self._settings
        service = mean * self._times.factor(context.stage, candidate.id)
        load = self._loads.expected(candidate.id, mean, now)
        prefix = matches.get(candidate.id, 0.0)
        parallel = candidate.limits.concurrency or settings.parallelism
        seconds = service * (1.0 + load / parallel - settings.prefix_saving * prefix)
        holds = True
        if context.model is not None or context.adapter is not None:
            models, adapters = self._presence.get(candidate.id) or (
                candidate.models,
                candidate.adapters,
            )
            if context.model is not None and context.model not in models:
                seconds += mean * settings.model_cost
                holds = False
            if context.adapter is not None and context.adapter not in adapters:
                seconds += mean * settings.adapter_cost
                holds = False
        if candidate.zone != self._zone:
            seconds = seconds * (1.0 + settings.zone_cost)
            seconds += settings.zone_round_trip.total_seconds()
        return _Score(seconds, load, prefix, holds)

    def _reason(self, score: _Score, chosen: Upstream, scored: int, candidates: int) -> str:
        if candidates == 1:
            return "only candidate"
        parts = [f"best of {scored}", f"load {score.load:.1f}"]
        if score.prefix:
            parts.append(f"prefix {score.prefix:.0%}")
        if chosen.zone != self._zone:
            parts.append(f"zone {chosen.zone}")
        if not score.holds:
            parts.append("has to load")
        return ", ".join(parts)
