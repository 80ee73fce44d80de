"""Random plan of the faults of a soak, determined by a seed."""

import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.soak.proxy import LinkMode
from chervilrack._internal.soak.records import RECOVERY_S, Fault

# Mean time between the starts of faults. Faults last up to MAX_FAULT_S, so that they overlap.
MEAN_FAULT_INTERVAL_S = 0.7
MIN_FAULT_S = 0.2
MAX_FAULT_S = 3.0
# Faults that show only after a bound has passed last longer by this time.
FURTHER_S = {
    "upstream notice": 3.0,
    "upstream silence": 1.6,
    "crashing part": 6.0,
    "uploads": 3.0,
}
# Bytes of the bodies of uploads; callers may send up to 4 MiB.
UPLOAD_BYTES = (1_000_000, 3_600_000)
# Longest silence of a sound upstream. Faults of this kind last longer, so that two do not add up.
MAX_SILENCE_S = 1.5
# A series repeats one fault at one target; its faults are shorter in proportion.
SERIES_PROBABILITY = 0.25
SERIES_LENGTH = 4
# Time at the end of a soak in which every request must be served, after that for recovery.
SERVED_S = 4.0
# Time without faults at the end of a soak with faults of all kinds.
QUIET_S = RECOVERY_S + SERVED_S
# Time for recovery after planned work, in which nodes start again.
PLANNED_RECOVERY_S = 8.0
# Time from one stop of a node to the next one in a calm plan: the grace period, and a start.
CALM_STOP_S = 10.0
CALM_SHORTEST_WORK_S = 0.1


def _draw_silence(rng: random.Random) -> str:
    return str(round(rng.uniform(0.5, MAX_SILENCE_S), 2))


# Age of the copy from which the store returns, and time until all of it is written again.
COPY_AGES_S = (0.5, 6.0)
WRITE_AGAIN_S = 1.8

_LINK_MODES = [mode.value for mode in LinkMode if mode is not LinkMode.OPEN]


# Behaviours of upstreams; those that end with a colon have an argument.
BEHAVIOURS = (
    "full",
    "fails",
    "cut off",
    "late",
    "breaks",
    "unsigned",
    "head cut:",
    "head reset:",
    "body reset",
    "answer again",
    "refusal again",
    "foreign answer",
    "unframed",
    "unframed reset",
    "pause:",
    "error after events",
    "not HTTP",
)
NOTICES = ("leaving", "hold off:")
# Fields of the retry time; the first ones state times of this length in seconds.
RETRY_TIMES = ("1", "2", "1.5", "0.7", "3")
UNUSUAL_RETRY_TIMES = ("", "-1", "soon", "nan", "1e9", "99999999999", "1, 2", "date", "twice")
_ARGUMENTS: dict[str, Callable[[random.Random], str]] = {
    "head cut:": lambda rng: str(rng.randint(1, 220)),
    "head reset:": lambda rng: str(rng.randint(1, 220)),
    "pause:": _draw_silence,
    "hold off:": lambda rng: rng.choice((*RETRY_TIMES, *RETRY_TIMES, *UNUSUAL_RETRY_TIMES)),
}
# Values of the fields of ``Configuration`` that faults change. The first value is in force at the
# start and after a fault.
CONFIGURATION_VALUES: dict[str, tuple[Any, ...]] = {
    "idle_timeout": (15.0, 1.0, 2.0, 5.0, 60.0),
    "route_timeout": (5.0, 3.0, 4.5, 20.0),
    "is_moved": (False, True),
    "moved_share": (0.0, 0.2, 0.5),
    "extra_routes": (0, 50, 500),
    "organisations": (1, 2, 5),
}
# Planned work, beside which no request may be lost.
PLANNED_KINDS = (
    "stop node",
    "signal reload",
    "settings change",
    "configuration",
    "configuration storm",
    "key replaced",
)


@dataclass(frozen=True, slots=True)
class Targets:
    """Nodes and upstreams that faults may be applied to, and behaviours of upstreams."""

    nodes: Sequence[str]
    upstreams: Sequence[str]
    behaviours: Sequence[str] = BEHAVIOURS
    notices: Sequence[str] = NOTICES


# Returns the target and the detail of a new fault of one kind.
TargetDraw = Callable[[random.Random, Targets], tuple[str, str]]
fault_kinds: Registry[TargetDraw] = Registry("kind of fault")


@fault_kinds.register("stop node")
def _draw_stop(rng: random.Random, targets: Targets) -> tuple[str, str]:
    """Draw a node and the number of signals."""
    return rng.choice(targets.nodes), rng.choice(["1", "1", "1", "2"])


@fault_kinds.register("kill node")
@fault_kinds.register("pause node")
@fault_kinds.register("signal reload")
@fault_kinds.register("settings change")
def _draw_node(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.nodes), ""


@fault_kinds.register("store link")
def _draw_store_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice([*targets.nodes, "all"]), rng.choice(_LINK_MODES)


@fault_kinds.register("store connections")
def _draw_store_connections(rng: random.Random, targets: Targets) -> tuple[str, str]:
    """Draw the node whose open connections to the store fall silent for good."""
    return rng.choice([*targets.nodes, "all"]), ""


@fault_kinds.register("store return")
def _draw_store_return(rng: random.Random, targets: Targets) -> tuple[str, str]:
    """Draw the age of the copy in seconds."""
    return "store", str(round(rng.uniform(*COPY_AGES_S), 2))


@fault_kinds.register("caller link")
def _draw_caller_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.nodes), rng.choice(_LINK_MODES)


@fault_kinds.register("upstream link")
def _draw_upstream_link(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), rng.choice(_LINK_MODES)


@fault_kinds.register("upstream behaviour")
def _draw_upstream_behaviour(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), _draw_argument(rng, rng.choice(targets.behaviours))


@fault_kinds.register("upstream notice")
def _draw_upstream_notice(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), _draw_argument(rng, rng.choice(targets.notices))


@fault_kinds.register("upstream silence")
def _draw_upstream_silence(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), _draw_silence(rng)


@fault_kinds.register("configuration")
def _draw_configuration(rng: random.Random, targets: Targets) -> tuple[str, str]:
    field = rng.choice(sorted(CONFIGURATION_VALUES))
    value = rng.choice(CONFIGURATION_VALUES[field][1:])
    return field, f"{field}={json.dumps(value)}"


@fault_kinds.register("configuration storm")
def _draw_storm(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return "operator", str(rng.randrange(1_000_000))


@fault_kinds.register("upstream drains")
def _draw_upstream_drains(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return rng.choice(targets.upstreams), ""


@fault_kinds.register("crashing part")
def _draw_crashing_part(rng: random.Random, targets: Targets) -> tuple[str, str]:
    """Draw the id of a part of prompts on which all engines crash."""
    return "engines", f"{rng.randrange(16**8):08x}"


@fault_kinds.register("key replaced")
def _key_replaced(rng: random.Random, targets: Targets) -> tuple[str, str]:
    return "operator", ""


@fault_kinds.register("uploads")
def _draw_uploads(rng: random.Random, targets: Targets) -> tuple[str, str]:
    """Draw the size of the bodies that all callers send."""
    return "callers", str(rng.randint(*UPLOAD_BYTES))


def _draw_argument(rng: random.Random, behaviour: str) -> str:
    if not behaviour.endswith(":"):
        return behaviour
    return f"{behaviour} {_ARGUMENTS[behaviour](rng)}"


@dataclass(frozen=True, slots=True)
class Plan:
    """Faults of a soak ordered by start, and the time for recovery after them in seconds.

    If ``shortest_work`` is set, upstreams work for at least this time on each request.
    """

    faults: Sequence[Fault]
    recovery: float = RECOVERY_S
    shortest_work: float | None = None


# Returns the plan of a seed, for a load of a number of seconds.
PlanDraw = Callable[[int, float, Targets], Plan]
plans: Registry[PlanDraw] = Registry("plan of a soak")


@plans.register("mixed")
def _draw_mixed(seed: int, duration: float, targets: Targets) -> Plan:
    """Draw faults of all kinds."""
    return Plan(draw_faults(seed, duration - QUIET_S, targets))


@plans.register("planned")
def _draw_planned(seed: int, duration: float, targets: Targets) -> Plan:
    """Draw series of stops, signals and changes of settings and configuration, and no faults."""
    end = duration - PLANNED_RECOVERY_S - SERVED_S
    return Plan(draw_faults(seed, end, targets, PLANNED_KINDS), PLANNED_RECOVERY_S)


@plans.register("calm")
def _draw_calm(seed: int, duration: float, targets: Targets) -> Plan:
    """Draw stops of one node after the other, with nothing else going on."""
    rng = random.Random(seed)
    nodes = rng.sample(targets.nodes, len(targets.nodes))
    faults: list[Fault] = []
    start = rng.uniform(1.0, 3.0)
    while not faults or start + CALM_STOP_S < duration - PLANNED_RECOVERY_S - SERVED_S:
        node = nodes[len(faults) % len(nodes)]
        faults.append(Fault(round(start, 3), "stop node", node, 0.2, "1"))
        start += CALM_STOP_S + rng.uniform(0.0, 1.0)
    return Plan(faults, PLANNED_RECOVERY_S, CALM_SHORTEST_WORK_S)


def draw_faults(seed: int, end: float, targets: Targets, kinds: Sequence[str] = ()) -> list[Fault]:
    """Return random faults ordered by start, which have all ended ``end`` seconds after the start.

    ``kinds`` limits the kinds of faults; if it is empty, all kinds are used. The same arguments
    give the same faults.
    """
    rng = random.Random(seed)
    kind_names = sorted(kinds or fault_kinds.names)
    faults: list[Fault] = []
    next_start = rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    while next_start < end:
        kind = rng.choice(kind_names)
        target, detail = fault_kinds.get(kind)(rng, targets)
        count = SERIES_LENGTH if rng.random() < SERIES_PROBABILITY else 1
        start = next_start
        for _ in range(count):
            fault_duration = rng.uniform(MIN_FAULT_S, MAX_FAULT_S) / count
            fault_duration += FURTHER_S.get(kind, 0.0)
            if start + fault_duration < end:
                faults.append(
                    Fault(round(start, 3), kind, target, round(fault_duration, 3), detail)
                )
            start += fault_duration + rng.uniform(0.05, 0.5)
        next_start += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return sorted(faults, key=lambda fault: fault.start)
