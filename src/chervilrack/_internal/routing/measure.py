"""Measurement of the routing decision time."""

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
WARM_UP = 300
DECISIONS = 2000
BLOCK = 20


@dataclass(frozen=True, slots=True)
class DecisionTime:
    """Time of one ``choose`` call in microseconds of this process's CPU.

    Median and 99th percentile are over blocks of 20 calls. ``same_tuple`` states whether each
    call passed the same tuple of candidates or a new list.
    """

    policy: str
    candidates: int
    same_tuple: bool
    median_us: float
    p99_us: float


def measure_decision_time(sizes: Sequence[int], seed: int) -> list[DecisionTime]:
    """Measure every policy with each number of candidates under seeded load."""
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
    for number in range(WARM_UP + DECISIONS // BLOCK):
        contexts = [_context(rng) for _ in range(BLOCK)]
        given = candidates if same_tuple else list(candidates)
        before = time.process_time_ns()
        chosen = [router.choose(given, context, now) for context in contexts]
        spent = time.process_time_ns() - before
        if number >= WARM_UP:
            blocks.append(spent / BLOCK / 1000)
        for index, decision in enumerate(chosen):
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
