"""Random plan of the faults of a soak, determined by a seed."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.soak.checks import RECOVER_S
from chervilrack._internal.soak.proxy import LinkMode
from chervilrack._internal.soak.records import Fault

# Mean time between the starts of faults. Faults last up to MAX_FAULT_S, so that they overlap.
MEAN_FAULT_INTERVAL_S = 0.7
MIN_FAULT_S = 0.2
MAX_FAULT_S = 3.0
# A series repeats one fault at one target; its faults are shorter in proportion.
SERIES_PROBABILITY = 0.25
SERIES_LENGTH = 4
# Time without faults at the end of a soak: the time allowed for recovery, and 4 s in which every
# request must be served.
QUIET_S = RECOVER_S + 4.0

_LINK_MODES = [mode.value for mode in LinkMode if mode is not LinkMode.OPEN]


@dataclass(frozen=True, slots=True)
class Targets:
    """Nodes and upstreams that faults may be applied to."""

    nodes: Sequence[str]
    upstreams: Sequence[str]


# Returns the target and the detail of a new fault of one kind.
TargetDraw = Callable[[random.Random, Targets], tuple[str, str]]
fault_kinds: Registry[TargetDraw] = Registry("kind of fault")


@fault_kinds.register("kill node")
@fault_kinds.register("stop node")
@fault_kinds.register("pause node")
@fault_kinds.register("signal reload")
def _draw_node(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.nodes), ""


@fault_kinds.register("store link")
def _draw_store_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice([*targets.nodes, "all"]), rng.choice(_LINK_MODES)


@fault_kinds.register("caller link")
def _draw_caller_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.nodes), rng.choice(_LINK_MODES)


@fault_kinds.register("upstream link")
def _draw_upstream_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), rng.choice(_LINK_MODES)


@fault_kinds.register("upstream behaviour")
def _draw_upstream_behaviour(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), rng.choice(["full", "fails", "cut off", "late", "breaks"])


@fault_kinds.register("upstream drains")
def _draw_upstream_drains(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), ""


@fault_kinds.register("key replaced")
def _key_replaced(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return "operator", ""


def draw_plan(
    seed: int, duration: float, targets: Targets, kinds: Sequence[str] = ()
) -> list[Fault]:
    """Return random faults ordered by start; none is planned for the last QUIET_S seconds.

    ``duration`` is the length of the load in seconds. ``kinds`` limits the kinds of faults; if it
    is empty, all kinds are used. The same arguments give the same plan.
    """
    rng = random.Random(seed)
    kind_names = sorted(kinds or fault_kinds.names)
    faults: list[Fault] = []
    quiet_start = duration - QUIET_S
    next_start = rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    while next_start < quiet_start:
        kind = rng.choice(kind_names)
        target, detail = fault_kinds.get(kind)(rng, targets)
        count = SERIES_LENGTH if rng.random() < SERIES_PROBABILITY else 1
        start = next_start
        for _ in range(count):
            fault_duration = rng.uniform(MIN_FAULT_S, MAX_FAULT_S) / count
            if start + fault_duration < quiet_start:
                faults.append(
                    Fault(round(start, 3), kind, target, round(fault_duration, 3), detail)
                )
            start += fault_duration + rng.uniform(0.05, 0.5)
        next_start += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return sorted(faults, key=lambda fault: fault.start)
