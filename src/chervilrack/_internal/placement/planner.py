"""Planner that chooses the engines that load a model or adapter or change their role."""

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

# Engine-seconds per second; less unmet work does not justify a change.
MIN_WORK = 0.01


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings of the planner.

    ``horizon`` is the time for which the present demand is expected to last. A change is planned
    only if its gain exceeds ``min_gain_ratio`` times its cost, so that fluctuating demand does not
    make engines change back and forth. ``drain_time`` is the expected duration of a drain.
    """

    max_changes: int = 2
    horizon: timedelta = timedelta(seconds=300)
    min_gain_ratio: float = 1.5
    drain_time: timedelta = timedelta(seconds=7)


@dataclass(frozen=True, slots=True)
class _Division:
    """Division of the demand among the engines, in engine-seconds per second."""

    unmet: Mapping[Demand, float]
    spare: Mapping[UpstreamId, float]
    by_engine: Mapping[UpstreamId, Mapping[Demand, float]]


class PlacementPlanner:
    """Deterministic planner of the changes of all engines.

    Every node computes the same plan from the same input and carries out only the changes of the
    engines that it owns. Two nodes therefore do not both react to the same shortage.
    """

    def __init__(self, settings: PlacementSettings | None = None) -> None:
        self._settings = settings or PlacementSettings()

    def plan(self, placement_input: PlacementInput) -> list[ProposedChange]:
        """Return at most ``max_changes`` changes, the one with the greatest net gain first."""
        engines = {engine.id: engine for engine in placement_input.engines}
        changes: list[ProposedChange] = []
        active_loads = placement_input.active_loads
        excluded = {engine.id for engine in placement_input.engines if not engine.available}
        while len(changes) < self._settings.max_changes:
            best = self._best_change(placement_input, engines, excluded, active_loads)
            if best is None:
                break
            changes.append(best)
            excluded.add(best.upstream)
            engines[best.upstream] = apply_command(engines[best.upstream], best.command)
            active_loads += not isinstance(best.command, ChangeRole)
        return changes

    def _best_change(
        self,
        placement_input: PlacementInput,
        engines: Mapping[UpstreamId, EngineState],
        excluded: set[UpstreamId],
        active_loads: int,
    ) -> ProposedChange | None:
        division = _divide_demand(engines.values(), placement_input.demands)
        best: ProposedChange | None = None
        for demand, unmet in division.unmet.items():
            if unmet < MIN_WORK:
                continue
            for engine in engines.values():
                if engine.id in excluded:
                    continue
                for command in self._commands(engine, demand, engines, placement_input.demands):
                    change = self._evaluate(
                        placement_input, engine, command, demand, division, active_loads
                    )
                    if change is not None and (best is None or _sort_key(change) < _sort_key(best)):
                        best = change
        return best

    def _commands(
        self,
        engine: EngineState,
        demand: Demand,
        engines: Mapping[UpstreamId, EngineState],
        demands: Iterable[Demand],
    ) -> list[EngineCommand]:
        """Return the commands that each suffice to let ``engine`` serve ``demand``.

        An engine that lacks a model and an adapter gets the model first; a later plan loads the
        adapter. No command is returned for other combinations of missing parts.
        """
        lacks_role = not _role_accepts(engine.role, demand.role)
        lacks_model = demand.model not in engine.models
        lacks_adapter = demand.adapter is not None and demand.adapter not in engine.adapters
        missing_parts = lacks_role + lacks_model + lacks_adapter
        if missing_parts == 0 or (missing_parts > 1 and (lacks_role or not lacks_model)):
            return []
        if lacks_role:
            must_keep = self._must_keep_role(engine, engines, demands)
            return [] if must_keep else [ChangeRole(demand.role)]
        if lacks_model:
            if len(engine.models) < engine.model_slots:
                return [LoadModel(demand.model)]
            return [
                LoadModel(demand.model, model)
                for model in sorted(engine.models)
                if not _must_keep_model(engine, model, engines, demands)
            ]
        adapter = demand.adapter or ""
        if len(engine.adapters) < engine.adapter_slots:
            return [LoadAdapter(adapter)]
        return [
            LoadAdapter(adapter, other)
            for other in sorted(engine.adapters)
            if not _must_keep_adapter(engine, other, engines, demands)
        ]

    @staticmethod
    def _must_keep_role(
        engine: EngineState, engines: Mapping[UpstreamId, EngineState], demands: Iterable[Demand]
    ) -> bool:
        """Whether ``engine`` is the one that keeps its role for the sake of a demand it can serve.

        The first engine in rendezvous order of those that can serve a demand keeps its role, so
        that nodes that plan at the same time do not leave the demand without an engine.
        """
        for demand in demands:
            if _can_serve(engine, demand):
                holders = [other.id for other in engines.values() if _can_serve(other, demand)]
                if rendezvous_order(f"role/{demand.model}", holders)[0] == engine.id:
                    return True
        return False

    def _evaluate(
        self,
        placement_input: PlacementInput,
        engine: EngineState,
        command: EngineCommand,
        demand: Demand,
        division: _Division,
        active_loads: int,
    ) -> ProposedChange | None:
        """Return the change if the work it gains over the horizon sufficiently exceeds its cost.

        The cost is all work of the engine during the drain and the load, and after that time
        the work that the changed engine can no longer serve. None means the gain is too small.
        """
        horizon = self._settings.horizon.total_seconds()
        changed = apply_command(engine, command)
        kept_work = lost_work = 0.0
        for other, work in division.by_engine[engine.id].items():
            if _can_serve(changed, other):
                kept_work += work
            else:
                lost_work += work
        gained_work = min(division.unmet[demand], max(0.0, engine.capacity - kept_work))
        pause_seconds = self._settings.drain_time.total_seconds()
        pause_seconds += self._load_seconds(placement_input, command, active_loads)
        cost = (kept_work + lost_work) * pause_seconds + lost_work * max(
            0.0, horizon - pause_seconds
        )
        gain = gained_work * max(0.0, horizon - pause_seconds)
        if gained_work < MIN_WORK or gain <= cost * self._settings.min_gain_ratio:
            return None
        return ProposedChange(engine.id, command, gain, cost)

    @staticmethod
    def _load_seconds(
        placement_input: PlacementInput, command: EngineCommand, active_loads: int
    ) -> float:
        match command:
            case LoadModel(model):
                size = placement_input.model_sizes.get(model, 0)
            case LoadAdapter(adapter):
                size = placement_input.adapter_sizes.get(adapter, 0)
            case _:
                return 0.0
        return size * (active_loads + 1) / placement_input.store_bytes_per_s


def apply_command(engine: EngineState, command: EngineCommand) -> EngineState:
    """Return the state of ``engine`` after ``command`` has taken effect."""
    match command:
        case LoadModel(model, evict):
            return replace(engine, models=(engine.models - {evict}) | {model})
        case LoadAdapter(adapter, evict):
            return replace(engine, adapters=(engine.adapters - {evict}) | {adapter})
        case ChangeRole(role):
            return replace(engine, role=role)


def _sort_key(change: ProposedChange) -> tuple[float, str, str]:
    return (change.cost - change.gain, change.upstream, repr(change.command))


def _role_accepts(engine: EngineRole, work: EngineRole) -> bool:
    return engine is EngineRole.MIXED or engine is work


def _can_serve(engine: EngineState, demand: Demand) -> bool:
    return (
        demand.model in engine.models
        and (demand.adapter is None or demand.adapter in engine.adapters)
        and _role_accepts(engine.role, demand.role)
    )


def _divide_demand(engines: Iterable[EngineState], demands: Iterable[Demand]) -> _Division:
    """Divide the demands among the engines that can serve them.

    Demands that the fewest engines can serve are placed first.
    """
    spare = {engine.id: engine.capacity for engine in engines}
    by_engine: dict[UpstreamId, dict[Demand, float]] = {engine.id: {} for engine in engines}
    candidates = {demand: [e.id for e in engines if _can_serve(e, demand)] for demand in demands}
    unmet = {}
    for demand in sorted(candidates, key=lambda d: (len(candidates[d]), d.model, d.adapter or "")):
        remaining = demand.work
        for engine_id in sorted(candidates[demand], key=lambda e: (-spare[e], e)):
            share = min(remaining, spare[engine_id])
            if share > 0.0:
                spare[engine_id] -= share
                by_engine[engine_id][demand] = share
                remaining -= share
        unmet[demand] = remaining
    return _Division(unmet, spare, by_engine)


def _must_keep_model(
    engine: EngineState,
    model: ModelId,
    engines: Mapping[UpstreamId, EngineState],
    demands: Iterable[Demand],
) -> bool:
    """Whether ``engine`` is the one that must keep a model with demand.

    Of the available engines with the model, the first in rendezvous order keeps it. Nodes that
    plan at the same time for different engines choose the same one, so that together they do not
    remove the model from all engines.
    """
    if all(demand.model != model for demand in demands):
        return False
    holders = [e.id for e in engines.values() if model in e.models and e.available]
    return rendezvous_order(f"model/{model}", holders or [engine.id])[0] == engine.id


def _must_keep_adapter(
    engine: EngineState,
    adapter: str,
    engines: Mapping[UpstreamId, EngineState],
    demands: Iterable[Demand],
) -> bool:
    if all(demand.adapter != adapter for demand in demands):
        return False
    holders = [e.id for e in engines.values() if adapter in e.adapters and e.available]
    return rendezvous_order(f"adapter/{adapter}", holders or [engine.id])[0] == engine.id
