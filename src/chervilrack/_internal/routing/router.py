"""Default routing policy: the lowest expected completion time among a few sampled candidates."""

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
from chervilrack._internal.routing.times import work_size
from chervilrack._internal.routing.tracking import Attempt, TrackingRouter

# Candidates with a cached prefix that are scored in addition to the sample.
AFFINITY_CANDIDATES = 2
# Relative difference up to which scores are treated as equal. The first of them in the random
# order of the sample is chosen, so that a negligible difference in outdated information does not
# lead all nodes to the same upstream.
NEAR_TIE_MARGIN = 0.03
# Random draws per wanted candidate. If none of them is usable, all candidates are examined.
DRAWS_PER_CANDIDATE = 8


@dataclass(frozen=True, slots=True)
class _Score:
    """Expected seconds until completion, and the inputs that the decision's reason reports."""

    seconds: float
    load: float
    prefix: float
    is_loaded: bool


class _CandidateIndex:
    """Positions of the candidates in this zone, and of each id, in one sequence of candidates."""

    __slots__ = ("candidates", "local", "positions")

    def __init__(self, candidates: Sequence[Upstream], zone: ZoneId) -> None:
        self.candidates = candidates
        self.local = [i for i, candidate in enumerate(candidates) if candidate.zone == zone]
        self.positions: dict[UpstreamId, int] | None = None

    def with_ids(self, names: Sequence[UpstreamId]) -> list[Upstream]:
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
        self._loaded: dict[UpstreamId, tuple[frozenset[str], frozenset[str]]] = {}
        self._indexes: dict[StageId, _CandidateIndex] = {}

    def choose(
        self, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> RouteDecision | None:
        """Choose among candidates that have permits; return None if none is usable.

        Callers should pass the same tuple while the candidates are unchanged: then the running
        time of a call does not grow with the number of candidates.
        """
        if not candidates:
            return None
        self._times.set_time(now)
        self._register_candidates(candidates, context.stage, now)
        matches = self._prefixes.match(context.prefix_hashes, now) if context.prefix_hashes else {}
        if len(candidates) <= self._settings.scan_limit:
            sample, probe = self._scan_all(candidates, context, matches, now)
        else:
            sample, probe = self._draw_sample(candidates, context, matches, now)
        if probe is not None:
            return RouteDecision(probe.id, "probe on probation")
        if not sample:
            return None
        mean, _ = self._times.expected(context.stage, work_size(context))
        scores = [(self._score(c, context, matches, mean, now), c) for c in sample]
        cutoff = min(score.seconds for score, _ in scores) * (1.0 + NEAR_TIE_MARGIN)
        best, chosen = next(pair for pair in scores if pair[0].seconds <= cutoff)
        return RouteDecision(chosen.id, self._reason(best, chosen, len(scores), len(candidates)))

    def cache_event(self, upstream: UpstreamId, event: CacheEvent, now: timedelta) -> None:
        """Process an engine's prefix cache event; events may be late, repeated or lost."""
        self._prefixes.apply(upstream, event, now)

    def set_loaded(
        self, upstream: UpstreamId, models: frozenset[str], adapters: frozenset[str]
    ) -> None:
        """Set the models and adapters that an engine has loaded, overriding the configuration."""
        self._loaded[upstream] = (models, adapters)

    def forget(self, upstream: UpstreamId, now: timedelta) -> None:
        """Delete what was learned about an upstream that was replaced or restarted."""
        super().forget(upstream, now)
        self._prefixes.forget(upstream, now)
        self._loaded.pop(upstream, None)

    def drain_actions(self) -> list[ActionTaken]:
        """Return and clear the changes of upstreams' health since the last call."""
        return self._health.drain_actions()

    # Sampling

    def _register_candidates(
        self, candidates: Sequence[Upstream], stage: StageId, now: timedelta
    ) -> None:
        """Record the number of candidates; those of a new stage are added without slow start."""
        if self._health.max_candidates(stage) is None:
            for candidate in candidates:
                if self._health.find(candidate.id) is None:
                    self._health.register(candidate.id, now, with_slow_start=False)
        self._health.record_candidate_count(stage, len(candidates))

    def _scan_all(
        self,
        candidates: Sequence[Upstream],
        context: RouteContext,
        matches: dict[UpstreamId, float],
        now: timedelta,
    ) -> tuple[list[Upstream], Upstream | None]:
        """Examine all candidates; return either the sample to score or a candidate to probe.

        If fewer than half of the allowed candidates are healthy, unhealthy ones are added up to one
        half, so that the healthy ones are not overloaded.
        """
        allowed = [c for c in candidates if c.id not in context.excluded]
        unhealthy = []
        usable = []
        for candidate in allowed:
            state = self._state(candidate, now)
            if state is HealthState.HEALTHY:
                usable.append(candidate)
            elif state is HealthState.PROBATION and self._may_probe(candidate.id):
                return [], candidate
            else:
                unhealthy.append(candidate)
        min_usable = (len(allowed) + 1) // 2
        if len(usable) < min_usable:
            unhealthy.sort(key=lambda c: (self._health.get(c.id).ejected_until, c.id))
            usable += unhealthy[: min_usable - len(usable)]
        admitted = [c for c in usable if self._passes_slow_start(c.id, now)] or usable
        local = [c for c in admitted if c.zone == self._zone]
        remote = [c for c in admitted if c.zone != self._zone] if local else []
        sample = self._pick(local or admitted, self._settings.sample_size)
        if remote:
            sample += self._pick(remote, 1)
        holders = self._holders(sample, context, matches)
        return sample + [c for c in admitted if c.id in holders], None

    def _draw_sample(
        self,
        candidates: Sequence[Upstream],
        context: RouteContext,
        matches: dict[UpstreamId, float],
        now: timedelta,
    ) -> tuple[list[Upstream], Upstream | None]:
        """Draw a few candidates at random; return either the sample or a candidate to probe.

        The running time does not grow with the number of candidates.
        """
        index = self._index(candidates, context.stage)
        local = index.local
        wanted = self._settings.sample_size
        sample: list[Upstream] = []
        drawn_ids: set[UpstreamId] = set()
        draws_by_pool: list[tuple[Iterator[int], int]] = []
        if local:
            draws_by_pool.append(
                (self._random_items(local, DRAWS_PER_CANDIDATE * wanted), min(wanted, len(local)))
            )
        all_positions = range(len(candidates))
        draws_by_pool.append(
            (
                self._random_items(all_positions, DRAWS_PER_CANDIDATE * wanted),
                1 if local else wanted,
            )
        )
        for indices, count in draws_by_pool:
            drawn = 0
            for position in indices:
                candidate = candidates[position]
                if candidate.id in context.excluded or candidate.id in drawn_ids:
                    continue
                state = self._state(candidate, now)
                if state is HealthState.PROBATION and self._may_probe(candidate.id):
                    return [], candidate
                if state is HealthState.HEALTHY and self._passes_slow_start(candidate.id, now):
                    sample.append(candidate)
                    drawn_ids.add(candidate.id)
                    drawn += 1
                    if drawn == count:
                        break
        if not sample:
            return self._scan_all(candidates, context, matches, now)
        holders = self._holders(sample, context, matches)
        if holders:
            sample += index.with_ids(holders)
        return sample, None

    def _holders(
        self, sample: list[Upstream], context: RouteContext, matches: dict[UpstreamId, float]
    ) -> list[UpstreamId]:
        """Return usable upstreams outside the sample that have the longest cached prefixes."""
        if not matches:
            return []
        best = sorted(matches, key=lambda name: (-matches[name], name))[:AFFINITY_CANDIDATES]
        sampled = {candidate.id for candidate in sample}
        ineligible = context.excluded | self._health.impaired
        return [name for name in best if name not in sampled and name not in ineligible]

    def _index(self, candidates: Sequence[Upstream], stage: StageId) -> _CandidateIndex:
        """Return the index of the candidates, which is cached for each stage's last tuple.

        The cached index refers to its tuple, so the tuple's identity cannot be reused.
        """
        cached = self._indexes.get(stage)
        if cached is not None and cached.candidates is candidates:
            return cached
        index = _CandidateIndex(candidates, self._zone)
        if isinstance(candidates, tuple):
            self._indexes[stage] = index
        return index

    def _random_items(self, items: Sequence[int], draws: int) -> Iterator[int]:
        """Yield random items; an item may come more than once."""
        for _ in range(draws):
            yield items[int(self._rng.random() * len(items))]

    def _pick(self, candidates: list[Upstream], count: int) -> list[Upstream]:
        return self._rng.sample(candidates, min(count, len(candidates)))

    # Health

    def _state(self, candidate: Upstream, now: timedelta) -> HealthState:
        """Return the health state of a candidate; a new candidate begins with slow start."""
        if self._health.find(candidate.id) is None:
            self._health.register(candidate.id, now, with_slow_start=True)
        return self._health.update_state(candidate.id, now)

    def _may_probe(self, upstream: UpstreamId) -> bool:
        return self._health.get(upstream).probes_in_flight == 0

    def _passes_slow_start(self, upstream: UpstreamId, now: timedelta) -> bool:
        weight = self._health.slow_start_weight(upstream, now)
        return weight >= 1.0 or self._rng.random() < weight

    def _usable(self, upstream: UpstreamId, context: RouteContext) -> bool:
        return super()._usable(upstream, context) and upstream not in self._health.impaired

    def _new_attempt(self, upstream: UpstreamId, context: RouteContext, now: timedelta) -> Attempt:
        attempt = super()._new_attempt(upstream, context, now)
        health = self._health.get(upstream)
        if health.state is HealthState.PROBATION:
            health.probes_in_flight += 1
            attempt = replace(attempt, probe=True)
        if context.prefix_hashes:
            self._prefixes.store(upstream, context.prefix_hashes, now)
        return attempt

    def _after_attempt(self, attempt: Attempt, succeeded: bool | None, now: timedelta) -> None:
        health = self._health.get(attempt.upstream)
        if attempt.probe:
            health.probes_in_flight = max(0, health.probes_in_flight - 1)
        if succeeded is None:
            return
        if not succeeded and attempt.context.prefix_hashes:
            self._prefixes.discard(
                attempt.upstream, attempt.context.prefix_hashes, attempt.started_at
            )
        self._health.record_result(attempt.upstream, attempt.context.stage, succeeded, now)

    # Scoring

    def _score(
        self,
        candidate: Upstream,
        context: RouteContext,
        matches: dict[UpstreamId, float],
        mean: float,
        now: timedelta,
    ) -> _Score:
        """Return the expected completion time at a candidate.

        ``mean`` is the expected service time of the work at a typical upstream in seconds.
        """
        settings = self._settings
        service_time = mean * self._times.factor(context.stage, candidate.id)
        load = self._loads.expected_load(candidate.id, mean, now)
        prefix = matches.get(candidate.id, 0.0)
        concurrency_limit = candidate.limits.concurrency or settings.default_concurrency
        seconds = service_time * (1.0 + load / concurrency_limit - settings.prefix_saving * prefix)
        is_loaded = True
        if context.model is not None or context.adapter is not None:
            models, adapters = self._loaded.get(candidate.id) or (
                candidate.models,
                candidate.adapters,
            )
            if context.model is not None and context.model not in models:
                seconds += mean * settings.model_cost
                is_loaded = False
            if context.adapter is not None and context.adapter not in adapters:
                seconds += mean * settings.adapter_cost
                is_loaded = False
        if candidate.zone != self._zone:
            seconds = seconds * (1.0 + settings.zone_cost)
            seconds += settings.zone_round_trip.total_seconds()
        return _Score(seconds, load, prefix, is_loaded)

    def _reason(self, score: _Score, chosen: Upstream, scored: int, candidates: int) -> str:
        if candidates == 1:
            return "only candidate"
        parts = [f"best of {scored}", f"load {score.load:.1f}"]
        if score.prefix:
            parts.append(f"prefix {score.prefix:.0%}")
        if chosen.zone != self._zone:
            parts.append(f"zone {chosen.zone}")
        if not score.is_loaded:
            parts.append("has to load")
        return ", ".join(parts)
