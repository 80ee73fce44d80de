"""Inputs, commands, events and effects of placement."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import Epoch, ModelId, NodeId, UpstreamId


class EngineRole(Enum):
    """Work that an engine takes."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class EngineState:
    """What is known about one engine.

    ``capacity`` is in engine-seconds of work per second. ``model_slots`` and ``adapter_slots``
    bound what fits into its memory. ``available`` is False while it drains or loads.
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

    A demand of 0 marks a model that pipelines use but that has no work at the moment.
    """

    model: ModelId
    work: float
    adapter: str | None = None
    role: EngineRole = EngineRole.MIXED


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a model, after removing another one if memory is full."""

    model: ModelId
    evict: ModelId | None = None


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load an adapter, after removing another one if memory is full."""

    adapter: str
    evict: str | None = None


@dataclass(frozen=True, slots=True)
class ChangeRole:
    """Take another kind of work."""

    role: EngineRole


EngineCommand = LoadModel | LoadAdapter | ChangeRole


@dataclass(frozen=True, slots=True)
class ProposedChange:
    """A command with its expected gain and cost in engine-seconds."""

    upstream: UpstreamId
    command: EngineCommand
    gain: float
    cost: float


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """Everything a plan depends on.

    Sizes are in bytes, ``store_rate`` in bytes per second. ``loading`` is the number of loads
    that share the weight store at the moment.
    """

    engines: tuple[EngineState, ...]
    demands: tuple[Demand, ...]
    model_sizes: dict[ModelId, int] = field(default_factory=dict)
    adapter_sizes: dict[str, int] = field(default_factory=dict)
    store_rate: float = 1e9
    loading: int = 0


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The node adopted a view."""

    epoch: Epoch
    active_members: frozenset[NodeId]


@dataclass(frozen=True, slots=True)
class EpochActivated:
    """No node of an earlier epoch is confirmed any more."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class DrainProgress:
    """State of an engine's drain.

    ``withdrawn`` is True once no node routes new work to the engine; ``in_flight`` counts the
    attempts of all nodes and the engine's own report.
    """

    upstream: UpstreamId
    withdrawn: bool
    in_flight: int


@dataclass(frozen=True, slots=True)
class CommandAnswered:
    """Answer of an engine to the command with this fencing number."""

    upstream: UpstreamId
    fencing_number: int
    succeeded: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class PlacementTick:
    """Passage of time."""


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
    """Stop routing work to an engine; the command follows once the drain is complete."""

    upstream: UpstreamId
    command: EngineCommand
    fencing_number: int


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Send a command to an engine that is drained."""

    upstream: UpstreamId
    command: EngineCommand
    fencing_number: int
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class EndDrain:
    """Route work to an engine again."""

    upstream: UpstreamId


PlacementEffect = DrainThenCommand | SendCommand | EndDrain | ActionTaken
