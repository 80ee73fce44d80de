"""Progress of the stages of one request: which can start, and which results can be freed."""

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
    reported_evictable: bool = False
    released: bool = False

    @property
    def done(self) -> bool:
        return len(self.handles) == self.pieces


class StageProgress:
    """Progress of the stages of one request.

    ``piece_counts`` holds the number of pieces of each stage; stages without a count have one.
    """

    def __init__(self, route: Route, piece_counts: Sequence[int]) -> None:
        padded_counts = [*piece_counts, *([1] * (len(route.stages) - len(piece_counts)))]
        self._stages = [
            _StageState(spec, pieces)
            for spec, pieces in zip(route.stages, padded_counts, strict=False)
        ]
        self._final = route.final_stages
        self._final_results_read = False

    @property
    def done(self) -> bool:
        """Whether all stages have all their results."""
        return all(stage.done for stage in self._stages)

    def pieces(self, stage: int) -> int:
        """Return the number of pieces of a stage."""
        return self._stages[stage].pieces

    def spec(self, stage: int) -> StageSpec:
        """Return the specification of a stage."""
        return self._stages[stage].spec

    def ready(self) -> list[int]:
        """Return the stages that have all their inputs and have not been started."""
        return [
            index
            for index, stage in enumerate(self._stages)
            if not stage.started
            and not stage.done
            and all(self._stages[source].done for source in stage.spec.after)
        ]

    def mark_started(self, stage: int) -> None:
        """Record that the pieces of a stage have been ordered."""
        self._stages[stage].started = True

    def inputs(self, stage: int) -> tuple[str, ...]:
        """Return the handles that each piece of a stage reads."""
        return self._handles(self._stages[stage].spec.after)

    def handles(self, stage: int) -> tuple[str, ...]:
        """Return the handles of the results of a stage, by segment."""
        return self._handles((stage,))

    def final_handles(self) -> tuple[str, ...]:
        """Return the handles that the request itself reads."""
        return self._handles(self._final)

    def record_result(self, stage: int, segment: int, handle: str) -> bool:
        """Record the result of a segment and return whether the result is used.

        A result is not used if the segment has one already or does not exist.
        """
        state = self._stages[stage]
        if segment in state.handles or segment >= state.pieces:
            return False
        state.handles[segment] = handle
        return True

    def record_inputs_read(self, stage: int) -> None:
        """Record that the upstreams that run a stage have read its inputs."""
        self._stages[stage].inputs_read = True

    def record_final_results_read(self) -> None:
        """Record that the upstream of the request has read the results of the final stages."""
        self._final_results_read = True

    def missing(self, stage: int) -> tuple[int, ...]:
        """Return the segments of a stage that have no result."""
        state = self._stages[stage]
        return tuple(number for number in range(state.pieces) if number not in state.handles)

    def restart_inputs(self, stage: int | None) -> list[tuple[int, list[str]]]:
        """Discard the inputs of a stage, or of the request itself for None, to produce them again.

        Called when an input has vanished before it was read. The inputs of the restarted stages may
        still exist; if not, their stages are restarted in the same way. Returns the restarted
        stages with the handles of their discarded results.
        """
        discarded: list[tuple[int, list[str]]] = []
        self._final_results_read = False
        for index in self._final if stage is None else self._stages[stage].spec.after:
            state = self._stages[index]
            discarded.append((index, list(state.handles.values())))
            state.handles.clear()
            state.started = False
            state.inputs_read = False
            state.released = False
            state.reported_evictable = False
        if stage is not None:
            self._stages[stage].started = False
            self._stages[stage].inputs_read = False
        return discarded

    def take_evictable(self) -> list[tuple[int, list[str]]]:
        """Return the stages whose results all readers have read, with the handles of the results.

        Each stage is returned once, unless it is restarted.
        """
        evictable = []
        for index, stage in enumerate(self._stages):
            if stage.reported_evictable or stage.released or not stage.done or not stage.handles:
                continue
            readers = [other for other in self._stages if index in other.spec.after]
            all_read = all(reader.done or reader.inputs_read for reader in readers)
            if all_read and (readers or self._final_results_read):
                stage.reported_evictable = True
                evictable.append((index, list(stage.handles.values())))
        return evictable

    @property
    def final_stages(self) -> tuple[int, ...]:
        """Indices of the stages whose results the request itself reads."""
        return tuple(self._final)

    def take_handles(self, stage: int) -> list[str]:
        """Return the handles of a stage that have not been released, and mark them as released."""
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
