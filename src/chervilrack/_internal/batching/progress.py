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

    def final_handles(self) -> tuple[str, ...]:
        """Return the handles that the request itself takes."""
        return self._handles(self._final)

    def completed(self, stage: int, segment: int, handle: str) -> bool:
        """Record a result; return False if there was one already."""
        state = self._stages[stage]
        if segment in state.handles or segment >= state.pieces:
            return False
        state.handles[segment] = handle
        return True

    def inputs_read(self, stage: int) -> None:
        """Note that the upstreams that run a stage have its inputs."""
        self._stages[stage].inputs_read = True

    def restart_inputs(self, stage: int | None) -> list[str]:
        """Forget the results that a stage reads (None: the request), and all before them.

        Used when a result has vanished before it was read. Returns the forgotten handles.
        """
        pending = list(self._final if stage is None else self._stages[stage].spec.after)
        dropped: list[str] = []
        while pending:
            index = pending.pop()
            state = self._stages[index]
            pending += state.spec.after
            dropped += state.handles.values()
            state.handles.clear()
            state.started = False
            state.inputs_read = False
            state.released = False
        if stage is not None:
            self._stages[stage].started = False
            self._stages[stage].inputs_read = False
        return dropped

    def take_releasable(self, *, answered: bool) -> list[tuple[int, list[str]]]:
        """Return stages with handles that nothing needs any longer, each once.

        Inputs of a stage are needed until all stages that read them have done so, final results
        until the request has been ``answered``.
        """
        found = []
        for index, stage in enumerate(self._stages):
            if stage.released or not stage.done or not stage.handles:
                continue
            readers = [other for other in self._stages if index in other.spec.after]
            if all(reader.done or reader.inputs_read for reader in readers) and (
                readers or answered
            ):
                stage.released = True
                found.append((index, list(stage.handles.values())))
        return found

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
