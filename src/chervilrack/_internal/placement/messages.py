"""Inputs, engine commands, events and effects of placement."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import Epoch, ModelId, NodeId, UpstreamId


class EngineRole(Enum):
    """Phase of inference that an engine serves; MIXED engines serve both."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class EngineState:
    """State of one engine as known to the planning node.

    ``capacity`` is in engine-seconds of work per second. ``model_slots`` and ``adapter_slots``
    are the numbers of models and adapters that fit into the engine's memory. ``checks_fencing``
    tells whether the engine refuses commands with outdated fencing numbers. ``available`` is
    False while the engine drains or loads.
    """

    id: UpstreamId
    capacity: float
    role: EngineRole
    models: frozenset[ModelId]
    adapters: frozenset[str] = frozenset()
    model_slots: int = 1
    adapter_slots: int = 4
    checks_fencing: bool = True
    available: bool = True


@dataclass(frozen=True, slots=True)
class Demand:
    """Work for one model, adapter and role, in engine-seconds per second.

    A demand with ``work`` 0 marks a model that pipelines use but that has no work at the moment.
    """

    model: ModelId
    work: float
    adapter: str | None = None
    role: EngineRole = EngineRole.MIXED


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Command to load a model, after removing the model ``evict`` if it is given."""

    model: ModelId
    evict: ModelId | None = None


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Command to load an adapter, after removing the adapter ``evict`` if it is given."""

    adapter: str
    evict: str | None = None


@dataclass(frozen=True, slots=True)
class ChangeRole:
    """Command to serve another role."""

    role: EngineRole


EngineCommand = LoadModel | LoadAdapter | ChangeRole


@dataclass(frozen=True, slots=True)
class ProposedChange:
    """Command for one engine with its expected gain and cost in engine-seconds of work."""

    upstream: UpstreamId
    command: EngineCommand
    gain: float
    cost: float


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """Complete input of a plan.

    Sizes are in bytes. ``store_bytes_per_s`` is the rate of the weight store, which
    ``active_loads`` loads share at the moment.
    """

    engines: tuple[EngineState, ...]
    demands: tuple[Demand, ...]
    model_sizes: dict[ModelId, int] = field(default_factory=dict)
    adapter_sizes: dict[str, int] = field(default_factory=dict)
    store_bytes_per_s: float = 1e9
    active_loads: int = 0


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The node adopted the membership view of ``epoch``."""

    epoch: Epoch
    active_members: frozenset[NodeId]


@dataclass(frozen=True, slots=True)
class EpochActivated:
    """``epoch`` became active: no node has a valid confirmation of an earlier epoch."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """Progress of an engine's drain.

    ``withdrawn`` is True once no node routes new work to the engine. ``in_flight`` counts the
    requests that still run, from the attempts of all nodes and the engine's own report.
    """

    upstream: UpstreamId
    withdrawn: bool
    in_flight: int


@dataclass(frozen=True, slots=True)
class CommandAnswered:
    """Answer of an engine to the command with ``fencing_number``."""

    upstream: UpstreamId
    fencing_number: int
    succeeded: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class PlacementTick:
    """Periodic event that lets time-outs take effect."""


PlacementEvent = (
    PlacementInput
    | MembersChanged
    | EpochActivated
    | DrainProgress
    | CommandAnswered
    | PlacementTick
)


@dataclass(frozen=True, slots=True)
class DrainThenCommand:
    """Effect: stop routing work to an engine; ``command`` is sent once the drain is complete."""

    upstream: UpstreamId
    command: EngineCommand
    fencing_number: int


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Effect: send a command to a drained engine and wait for its answer up to ``timeout``."""

    upstream: UpstreamId
    command: EngineCommand
    fencing_number: int
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class EndDrain:
    """Effect: route work to an engine again."""

    upstream: UpstreamId


PlacementEffect = DrainThenCommand | SendCommand | EndDrain | ActionTaken
