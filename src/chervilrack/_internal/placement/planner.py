"""Which engine should load which model or adapter, or change its role."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta

from chervilrack._internal.common.hashing import rendezvous_order
from chervilrack._internal.common.ids import ModelId, UpstreamId
from chervilrack._internal.placement.messages import (
    ChangeRole,
    Demand,
    EngineCommand,
    EngineRole,
    EngineState,
    LoadAdapter,
    LoadModel,
    PlacementInput,
    ProposedChange,
)

# Work below this many engine-seconds per second is not worth a change.
SMALLEST_WORK = 0.01


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Tuning of the planner.

    ``horizon`` is the time for which the present demand is expected to last. A gain must exceed
    the cost by ``margin``, so that changes are not undone when demand fluctuates.
    """

    max_changes: int = 2
    horizon: timedelta = timedelta(seconds=300)
    margin: float = 1.5
    drain_time: timedelta = timedelta(seconds=7)


@dataclass(frozen=True, slots=True)
class _Served:
    """Result of dividing the demand among engines, in engine-seconds per second."""

    unmet: Mapping[Demand, float]
    free: Mapping[UpstreamId, float]
    by_engine: Mapping[UpstreamId, Mapping[Demand, float]]


class PlacementPlanner:
    """Plans for all engines; the result depends only on the input.

    Every node computes the same plan from the same input and carries out the part for the
    engines it owns, so that two nodes do not react to the same lack.
    """

    def __init__(self, settings: PlacementSettings | None = None) -> None:
        self._settings = settings or PlacementSettings()

    def plan(self, given: PlacementInput) -> list[ProposedChange]:
        """Return at most ``max_changes`` changes, the most useful first."""
        engines = {engine.id: engine for engine in given.engines}
        changes: list[ProposedChange] = []
        loading = given.loading
        barred = {engine.id for engine in given.engines if not engine.available}
        while len(changes) < self._settings.max_changes:
            best = self._best(given, engines, barred, loading)
            if best is None:
                break
            changes.append(best)
            barred.add(best.upstream)
            engines[best.upstream] = after(engines[best.upstream], best.command)
            loading += not isinstance(best.command, ChangeRole)
        return changes

    def _best(
        self,
        given: PlacementInput,
        engines: Mapping[UpstreamId, EngineState],
        barred: set[UpstreamId],
        loading: int,
    ) -> ProposedChange | None:
        served = _serve(engines.values(), given.demands)
        best: ProposedChange | None = None
        for demand, unmet in served.unmet.items():
            if unmet < SMALLEST_WORK:
                continue
            for engine in engines.values():
                if engine.id in barred:
                    continue
                for command in self._commands(engine, demand, engines, given.demands):
                    change = self._weigh(given, engine, command, demand, served, loading)
                    if change is not None and (best is None or _rank(change) < _rank(best)):
                        best = change
        return best

    def _commands(
        self,
        engine: EngineState,
        demand: Demand,
        engines: Mapping[UpstreamId, EngineState],
        demands: Iterable[Demand],
    ) -> list[EngineCommand]:
        """Return the single commands after which ``engine`` could serve ``demand``."""
        lacks_role = not _takes(engine.role, demand.role)
        lacks_model = demand.model not in engine.models
        lacks_adapter = demand.adapter is not None and demand.adapter not in engine.adapters
        lacking = lacks_role + lacks_model + lacks_adapter
        # A lacking model comes first; the adapter follows when the model is there.
        if lacking == 0 or (lacking > 1 and (lacks_role or not lacks_model)):
            return []
        if lacks_role:
            last = self._last_of_role(engine, engines, demands)
            return [] if last else [ChangeRole(demand.role)]
        if lacks_model:
            if len(engine.models) < engine.model_slots:
                return [LoadModel(demand.model)]
            return [
                LoadModel(demand.model, model)
                for model in sorted(engine.models)
                if not _is_kept(engine, model, engines, demands)
            ]
        adapter = demand.adapter or ""
        if len(engine.adapters) < engine.adapter_slots:
            return [LoadAdapter(adapter)]
        return [
            LoadAdapter(adapter, other)
            for other in sorted(engine.adapters)
            if not _is_adapter_kept(engine, other, engines, demands)
        ]

    @staticmethod
    def _last_of_role(
        engine: EngineState, engines: Mapping[UpstreamId, EngineState], demands: Iterable[Demand]
    ) -> bool:
        """Tell whether a demand would have no engine left after ``engine`` changes its role."""
        for demand in demands:
            if _serves(engine, demand):
                holders = [other.id for other in engines.values() if _serves(other, demand)]
                if rendezvous_order(f"role/{demand.model}", holders)[0] == engine.id:
                    return True
        return False

    def _weigh(
        self,
        given: PlacementInput,
        engine: EngineState,
        command: EngineCommand,
        demand: Demand,
        served: _Served,
        loading: int,
    ) -> ProposedChange | None:
        """Compare the work gained over the horizon with the work lost by the change."""
        horizon = self._settings.horizon.total_seconds()
        changed = after(engine, command)
        kept = lost = 0.0
        for other, work in served.by_engine[engine.id].items():
            if _serves(changed, other):
                kept += work
            else:
                lost += work
        gained = min(served.unmet[demand], max(0.0, engine.capacity - kept))
        pause = self._settings.drain_time.total_seconds()
        pause += self._load_time(given, command, loading)
        cost = (kept + lost) * pause + lost * max(0.0, horizon - pause)
        gain = gained * max(0.0, horizon - pause)
        if gained < SMALLEST_WORK or gain <= cost * self._settings.margin:
            return None
        return ProposedChange(engine.id, command, gain, cost)

    @staticmethod
    def _load_time(given: PlacementInput, command: EngineCommand, loading: int) -> float:
        match command:
            case LoadModel(model):
                size = given.model_sizes.get(model, 0)
            case LoadAdapter(adapter):
                size = given.adapter_sizes.get(adapter, 0)
            case _:
                return 0.0
        return size * (loading + 1) / given.store_rate


def after(engine: EngineState, command: EngineCommand) -> EngineState:
    """Return the engine as it will be once a command has taken effect."""
    match command:
        case LoadModel(model, evict):
            return replace(engine, models=(engine.models - {evict}) | {model})
        case LoadAdapter(adapter, old):
            return replace(engine, adapters=(engine.adapters - {old}) | {adapter})
        case ChangeRole(role):
            return replace(engine, role=role)


def _rank(change: ProposedChange) -> tuple[float, str, str]:
    return (change.cost - change.gain, change.upstream, repr(change.command))


def _takes(engine: EngineRole, work: EngineRole) -> bool:
    return engine is EngineRole.MIXED or engine is work


def _serves(engine: EngineState, demand: Demand) -> bool:
    return (
        demand.model in engine.models
        and (demand.adapter is None or demand.adapter in engine.adapters)
        and _takes(engine.role, demand.role)
    )


def _serve(engines: Iterable[EngineState], demands: Iterable[Demand]) -> _Served:
    """Divide demand among the engines that can serve it; the most restricted demand first."""
    free = {engine.id: engine.capacity for engine in engines}
    by_engine: dict[UpstreamId, dict[Demand, float]] = {engine.id: {} for engine in engines}
    able = {demand: [e.id for e in engines if _serves(e, demand)] for demand in demands}
    unmet = {}
    for demand in sorted(able, key=lambda d: (len(able[d]), d.model, d.adapter or "")):
        left = demand.work
        for name in sorted(able[demand], key=lambda n: (-free[n], n)):
            part = min(left, free[name])
            if part > 0.0:
                free[name] -= part
                by_engine[name][demand] = part
                left -= part
        unmet[demand] = left
    return _Served(unmet, free, by_engine)


def _is_kept(
    engine: EngineState,
    model: ModelId,
    engines: Mapping[UpstreamId, EngineState],
    demands: Iterable[Demand],
) -> bool:
    """Tell whether this engine is the one that must keep a model in use.

    The keeper is the first holder in rendezvous order. Nodes that plan at the same time for
    different engines agree on it, so that together they do not remove the last two holders.
    """
    if all(demand.model != model for demand in demands):
        return False
    holders = [e.id for e in engines.values() if model in e.models and e.available]
    return rendezvous_order(f"model/{model}", holders or [engine.id])[0] == engine.id


def _is_adapter_kept(
    engine: EngineState,
    adapter: str,
    engines: Mapping[UpstreamId, EngineState],
    demands: Iterable[Demand],
) -> bool:
    if all(demand.adapter != adapter for demand in demands):
        return False
    holders = [e.id for e in engines.values() if adapter in e.adapters and e.available]
    return rendezvous_order(f"adapter/{adapter}", holders or [engine.id])[0] == engine.id
