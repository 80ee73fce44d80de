"""Stages of one request: what can start, which results feed what, and what can be freed."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from chervilrack._internal.catalogue.state import Route, StageSpec


@dataclass(slots=True)
class _StageState:
    spec: StageSpec
    pieces: int
    started: bool = False
    inputs_read: bool = False
    handles: dict[int, str] = field(default_factory=dict)
    spared: bool = False
    released: bool = False

    @property
    def done(self) -> bool:
        return len(self.handles) == self.pieces


class StageProgress:
    """Progress of the stages of one request. ``counts`` holds the pieces of each stage."""

    def __init__(self, route: Route, counts: Sequence[int]) -> None:
        padded = [*counts, *([1] * (len(route.stages) - len(counts)))]
        self._stages = [
            _StageState(spec, pieces) for spec, pieces in zip(route.stages, padded, strict=False)
        ]
        self._final = route.final_stages
        self._request_reads = False

    @property
    def done(self) -> bool:
        """Whether all stages have all results."""
        return all(stage.done for stage in self._stages)

    def pieces(self, stage: int) -> int:
        """Return the number of pieces of a stage."""
        return self._stages[stage].pieces

    def spec(self, stage: int) -> StageSpec:
        """Return the specification of a stage."""
        return self._stages[stage].spec

    def ready(self) -> list[int]:
        """Return stages whose inputs are complete and that were not started."""
        return [
            index
            for index, stage in enumerate(self._stages)
            if not stage.started
            and not stage.done
            and all(self._stages[before].done for before in stage.spec.after)
        ]

    def start(self, stage: int) -> None:
        """Note that a stage was started."""
        self._stages[stage].started = True

    def inputs(self, stage: int) -> tuple[str, ...]:
        """Return the handles that each piece of a stage takes as inputs."""
        return self._handles(self._stages[stage].spec.after)

    def handles(self, stage: int) -> tuple[str, ...]:
        """Return the results of a stage."""
        return self._handles((stage,))

    def final_handles(self) -> tuple[str, ...]:
        """Return the handles that the request itself takes."""
        return self._handles(self._final)

    def record_result(self, stage: int, segment: int, handle: str) -> bool:
        """Record a result; return False if there was one already."""
        state = self._stages[stage]
        if segment in state.handles or segment >= state.pieces:
            return False
        state.handles[segment] = handle
        return True

    def record_inputs_read(self, stage: int) -> None:
        """Note that the upstreams that run a stage have its inputs."""
        self._stages[stage].inputs_read = True

    def record_final_results_read(self) -> None:
        """Note that the upstream of the request has the final results."""
        self._request_reads = True

    def missing(self, stage: int) -> tuple[int, ...]:
        """Return the segments of a stage that have no result."""
        state = self._stages[stage]
        return tuple(number for number in range(state.pieces) if number not in state.handles)

    def restart_inputs(self, stage: int | None) -> list[tuple[int, list[str]]]:
        """Forget the results that a stage reads (None: the request).

        Used when a result has vanished before it was read. What those results were made from
        may still be there; if not, the stages before start again likewise. Returns the stages
        whose results are forgotten, with their handles.
        """
        dropped: list[tuple[int, list[str]]] = []
        self._request_reads = False
        for index in self._final if stage is None else self._stages[stage].spec.after:
            state = self._stages[index]
            dropped.append((index, list(state.handles.values())))
            state.handles.clear()
            state.started = False
            state.inputs_read = False
            state.released = False
            state.spared = False
        if stage is not None:
            self._stages[stage].started = False
            self._stages[stage].inputs_read = False
        return dropped

    def take_evictable(self) -> list[tuple[int, list[str]]]:
        """Return stages with results that all their readers have read, each once."""
        found = []
        for index, stage in enumerate(self._stages):
            if stage.spared or stage.released or not stage.done or not stage.handles:
                continue
            readers = [other for other in self._stages if index in other.spec.after]
            has_read = all(reader.done or reader.inputs_read for reader in readers)
            if has_read and (readers or self._request_reads):
                stage.spared = True
                found.append((index, list(stage.handles.values())))
        return found

    @property
    def final_stages(self) -> tuple[int, ...]:
        """Stages whose results the request itself reads."""
        return tuple(self._final)

    def take_handles(self, stage: int) -> list[str]:
        """Return the results of a stage that were not released; they count as released."""
        state = self._stages[stage]
        handles = [] if state.released else list(state.handles.values())
        state.released = True
        return handles

    def _handles(self, stages: Sequence[int]) -> tuple[str, ...]:
        return tuple(
            self._stages[index].handles[segment]
            for index in stages
            for segment in sorted(self._stages[index].handles)
        )
