"""Measures the CPU time of routing decisions."""

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from statistics import median

from chervilrack._internal.common.ids import (
    AttemptId,
    ModelId,
    OrganisationId,
    StageId,
    TeamId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.releases.state import Limits, Upstream, UpstreamKind
from chervilrack._internal.routing.policies import routing_policies
from chervilrack._internal.routing.port import RouteContext

ZONES = 6
WARM_UP_BLOCKS = 300
MEASURED_CALLS = 2000
CALLS_PER_BLOCK = 20


@dataclass(frozen=True, slots=True)
class DecisionTime:
    """CPU time of one ``choose`` call in microseconds.

    The median and 99th percentile are taken over the mean times of blocks of 20 calls.
    ``same_tuple`` states whether every block passed the same tuple of candidates or a new list.
    """

    policy: str
    candidates: int
    same_tuple: bool
    median_us: float
    p99_us: float


def measure_decision_time(sizes: Sequence[int], seed: int) -> list[DecisionTime]:
    """Measure every policy with each number of candidates in ``sizes`` under seeded load."""
    return [
        _measure(policy, size, same_tuple, seed)
        for policy in routing_policies
        for size in sizes
        for same_tuple in (True, False)
    ]


def _measure(policy: str, size: int, same_tuple: bool, seed: int) -> DecisionTime:
    rng = random.Random(seed)
    router = routing_policies.get(policy)(rng, ZoneId("zone-0"), None)
    candidates = tuple(_engine(number) for number in range(size))
    now = timedelta(0)
    blocks: list[float] = []
    for number in range(WARM_UP_BLOCKS + MEASURED_CALLS // CALLS_PER_BLOCK):
        contexts = [_context(rng) for _ in range(CALLS_PER_BLOCK)]
        passed_candidates = candidates if same_tuple else list(candidates)
        started_ns = time.process_time_ns()
        decisions = [router.choose(passed_candidates, context, now) for context in contexts]
        elapsed_ns = time.process_time_ns() - started_ns
        if number >= WARM_UP_BLOCKS:
            blocks.append(elapsed_ns / CALLS_PER_BLOCK / 1000)
        for index, decision in enumerate(decisions):
            if decision is None:
                continue
            attempt = AttemptId(f"{number}-{index}")
            router.attempt_started(attempt, decision.upstream, contexts[index], now)
            now += timedelta(milliseconds=5)
            if rng.random() < 0.9:
                router.attempt_finished(
                    attempt, True, timedelta(seconds=rng.uniform(0.5, 1.5)), now
                )
            router.report_load(decision.upstream, rng.randrange(8), timedelta(seconds=0.3), now)
    blocks.sort()
    return DecisionTime(policy, size, same_tuple, median(blocks), blocks[len(blocks) * 99 // 100])


def _engine(number: int) -> Upstream:
    return Upstream(
        id=UpstreamId(f"engine-{number}"),
        team=TeamId("team"),
        kind=UpstreamKind.ENGINE,
        url="http://127.0.0.1:1",
        zone=ZoneId(f"zone-{number % ZONES}"),
        limits=Limits(concurrency=16),
        models=(ModelId("model"),),
    )


def _context(rng: random.Random) -> RouteContext:
    prompt = rng.randrange(50)
    return RouteContext(
        stage=StageId("generate"),
        organisation=OrganisationId("organisation"),
        model=ModelId("model"),
        tokens=rng.randrange(100, 2000),
        prefix_hashes=tuple(prompt * 1000 + length for length in range(8)),
    )
