"""Draws the faults of a soak from a seed."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.soak.checks import RECOVER_S
from chervilrack._internal.soak.proxy import LinkMode
from chervilrack._internal.soak.records import Fault

# Mean time between two beginnings of faults; with lengths of up to 3 s, faults overlap.
MEAN_PAUSE_S = 0.7
SHORTEST_S = 0.2
LONGEST_S = 3.0
# A series hits one target again and again, each time for a short while.
SERIES_SHARE = 0.25
SERIES_LENGTH = 4
# Time without faults at the end of a soak: service has to come back and is then observed.
QUIET_S = RECOVER_S + 4.0

_LINK_MODES = [mode.value for mode in LinkMode if mode is not LinkMode.OPEN]


@dataclass(frozen=True, slots=True)
class Targets:
    """What faults may hit."""

    nodes: Sequence[str]
    upstreams: Sequence[str]


Draw = Callable[[random.Random, Targets], tuple[str, str]]
fault_kinds: Registry[Draw] = Registry("kind of fault")


@fault_kinds.register("kill node")
@fault_kinds.register("stop node")
@fault_kinds.register("pause node")
@fault_kinds.register("signal reload")
def _one_node(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.nodes), ""


@fault_kinds.register("store link")
def _store_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice([*targets.nodes, "all"]), rng.choice(_LINK_MODES)


@fault_kinds.register("caller link")
def _caller_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.nodes), rng.choice(_LINK_MODES)


@fault_kinds.register("upstream link")
def _upstream_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), rng.choice(_LINK_MODES)


@fault_kinds.register("upstream behaviour")
def _upstream_behaviour(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), rng.choice(["full", "fails", "cut off", "late", "breaks"])


@fault_kinds.register("upstream drains")
def _upstream_drains(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), ""


@fault_kinds.register("key replaced")
def _key_replaced(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return "operator", ""


def draw_plan(
    seed: int, duration: float, targets: Targets, kinds: Sequence[str] = ()
) -> list[Fault]:
    """Return faults ordered by start; the last QUIET_S of ``duration`` seconds have none.

    ``kinds`` limits what is drawn. The same arguments give the same plan.
    """
    rng = random.Random(seed)
    names = sorted(kinds or fault_kinds.names)
    faults: list[Fault] = []
    end = duration - QUIET_S
    at = rng.expovariate(1 / MEAN_PAUSE_S)
    while at < end:
        kind = rng.choice(names)
        target, detail = fault_kinds.get(kind)(rng, targets)
        count = SERIES_LENGTH if rng.random() < SERIES_SHARE else 1
        start = at
        for _ in range(count):
            length = rng.uniform(SHORTEST_S, LONGEST_S) / count
            if start + length < end:
                faults.append(Fault(round(start, 3), kind, target, round(length, 3), detail))
            start += length + rng.uniform(0.05, 0.5)
        at += rng.expovariate(1 / MEAN_PAUSE_S)
    return sorted(faults, key=lambda fault: fault.start)
