"""Carries out the changes of the engines that this node owns."""

from collections.abc import Callable
from datetime import timedelta

from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.common.ids import Epoch, NodeId, UpstreamId
from chervilrack._internal.placement.change import COMMAND_TIMEOUT, EngineChange, FencingNumbers
from chervilrack._internal.placement.messages import (
    CommandAnswered,
    DrainProgress,
    EngineState,
    EpochActivated,
    MembersChanged,
    PlacementEffect,
    PlacementEvent,
    PlacementInput,
    PlacementTick,
)
from chervilrack._internal.placement.planner import PlacementPlanner, PlacementSettings

# After a change has failed the engine is left alone for this time.
FAILURE_PAUSE = timedelta(seconds=60)


class PlacementService:
    """Placement at one node. ``may_act`` tells whether the node is confirmed."""

    def __init__(
        self,
        node: NodeId,
        may_act: Callable[[], bool],
        settings: PlacementSettings | None = None,
    ) -> None:
        self._node = node
        self._may_act = may_act
        self._planner = PlacementPlanner(settings)
        self._fencing = FencingNumbers()
        self._epoch = Epoch(-1)
        self._active: frozenset[NodeId] = frozenset()
        self._active_since: timedelta | None = None
        self._changes: dict[UpstreamId, EngineChange] = {}
        self._paused: dict[UpstreamId, timedelta] = {}

    @property
    def changes(self) -> dict[UpstreamId, EngineChange]:
        """Changes in progress by engine."""
        return self._changes

    def owns(self, upstream: UpstreamId) -> bool:
        """Tell whether this node plans for an engine."""
        return rendezvous_owner(f"engine/{upstream}", self._active) == self._node

    def handle(self, event: PlacementEvent, now: timedelta) -> list[PlacementEffect]:
        """Apply an event and return what has to be done."""
        effects: list[PlacementEffect] = []
        match event:
            case MembersChanged(epoch, active_members):
                effects += self._adopt(epoch, active_members)
            case EpochActivated(epoch):
                if epoch == self._epoch and self._active_since is None:
                    self._active_since = now
            case PlacementInput():
                effects += self._plan(event, now)
            case DrainProgress(upstream):
                if upstream in self._changes:
                    self._changes[upstream].drain_progress(event)
            case CommandAnswered(upstream):
                if upstream in self._changes:
                    effects += self._changes[upstream].answered(event)
            case PlacementTick():
                pass
        if self._may_act():
            for change in self._changes.values():
                effects += change.advance(now)
        self._forget_ended(now)
        return effects

    def _adopt(self, epoch: Epoch, active: frozenset[NodeId]) -> list[PlacementEffect]:
        if epoch <= self._epoch:
            return []
        self._epoch = epoch
        self._active = active
        self._active_since = None
        self._fencing.start_epoch(epoch)
        # Another node may have commanded the engine in an epoch that this node did not see.
        effects: list[PlacementEffect] = []
        for change in self._changes.values():
            effects += change.abandon("the view changed")
        return effects

    def _plan(self, given: PlacementInput, now: timedelta) -> list[PlacementEffect]:
        if not self._may_act() or self._active_since is None:
            return []
        effects: list[PlacementEffect] = []
        engines = {engine.id: engine for engine in given.engines}
        for proposed in self._planner.plan(given):
            name = proposed.upstream
            if name in self._changes or not self.owns(name) or now < self._pause(name):
                continue
            change = EngineChange(
                name, proposed.command, self._fencing.next(), self._not_before(engines[name])
            )
            self._changes[name] = change
            effects += change.start(now)
        return effects

    def _not_before(self, engine: EngineState) -> timedelta:
        """Return when commands of earlier owners can no longer reach the engine.

        An engine that checks fencing numbers refuses them itself.
        """
        since = self._active_since or timedelta(0)
        return since if engine.checks_fencing else since + COMMAND_TIMEOUT

    def _pause(self, upstream: UpstreamId) -> timedelta:
        return self._paused.get(upstream, timedelta(0))

    def _forget_ended(self, now: timedelta) -> None:
        for upstream, change in list(self._changes.items()):
            if change.ended:
                del self._changes[upstream]
                self._paused[upstream] = now + FAILURE_PAUSE
        for upstream in [name for name, until in self._paused.items() if until <= now]:
            del self._paused[upstream]
