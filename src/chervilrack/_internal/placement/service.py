"""Service that plans and carries out the changes of the engines that this node owns."""

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

# No new change of an engine is begun for this long after its last one has ended.
CHANGE_COOLDOWN = timedelta(seconds=60)


class PlacementService:
    """Placement at one node.

    ``may_act`` returns whether the node is confirmed; without a confirmation the node neither
    plans changes nor advances them.
    """

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
        self._active_members: frozenset[NodeId] = frozenset()
        self._epoch_active_since: timedelta | None = None
        self._changes: dict[UpstreamId, EngineChange] = {}
        self._cooldown_until: dict[UpstreamId, timedelta] = {}

    @property
    def changes(self) -> dict[UpstreamId, EngineChange]:
        """Changes in progress, by engine."""
        return self._changes

    def owns(self, upstream: UpstreamId) -> bool:
        """Whether this node plans the changes of the engine ``upstream``."""
        return rendezvous_owner(f"engine/{upstream}", self._active_members) == self._node

    def handle(self, event: PlacementEvent, now: timedelta) -> list[PlacementEffect]:
        """Apply an event and return its effects, including those that are due at ``now``."""
        effects: list[PlacementEffect] = []
        match event:
            case MembersChanged(epoch, active_members):
                effects += self._adopt_view(epoch, active_members)
            case EpochActivated(epoch):
                if epoch == self._epoch and self._epoch_active_since is None:
                    self._epoch_active_since = now
            case PlacementInput():
                effects += self._plan(event, now)
            case DrainProgress(upstream):
                if upstream in self._changes:
                    self._changes[upstream].update_drain(event)
            case CommandAnswered(upstream):
                if upstream in self._changes:
                    effects += self._changes[upstream].handle_answer(event)
            case PlacementTick():
                pass
        if self._may_act():
            for change in self._changes.values():
                effects += change.advance(now)
        self._remove_ended_changes(now)
        return effects

    def _adopt_view(self, epoch: Epoch, active_members: frozenset[NodeId]) -> list[PlacementEffect]:
        if epoch <= self._epoch:
            return []
        self._epoch = epoch
        self._active_members = active_members
        self._epoch_active_since = None
        self._fencing.start_epoch(epoch)
        # Another node may have sent the engine commands in an epoch that this node has not seen.
        effects: list[PlacementEffect] = []
        for change in self._changes.values():
            effects += change.abandon("the view changed")
        return effects

    def _plan(self, placement_input: PlacementInput, now: timedelta) -> list[PlacementEffect]:
        if not self._may_act() or self._epoch_active_since is None:
            return []
        effects: list[PlacementEffect] = []
        engines = {engine.id: engine for engine in placement_input.engines}
        for proposed in self._planner.plan(placement_input):
            upstream = proposed.upstream
            if (
                upstream in self._changes
                or not self.owns(upstream)
                or now < self._cooldown_end(upstream)
            ):
                continue
            change = EngineChange(
                upstream,
                proposed.command,
                self._fencing.next(),
                self._earliest_command_time(engines[upstream]),
            )
            self._changes[upstream] = change
            effects += change.start(now)
        return effects

    def _earliest_command_time(self, engine: EngineState) -> timedelta:
        """Return the earliest time at which a command may be sent to ``engine``.

        An engine that does not check fencing numbers could still accept a command of an earlier
        owner until COMMAND_TIMEOUT after the epoch became active. An engine that checks them
        refuses such a command, so it needs no wait.
        """
        active_since = self._epoch_active_since or timedelta(0)
        return active_since if engine.checks_fencing else active_since + COMMAND_TIMEOUT

    def _cooldown_end(self, upstream: UpstreamId) -> timedelta:
        return self._cooldown_until.get(upstream, timedelta(0))

    def _remove_ended_changes(self, now: timedelta) -> None:
        for upstream, change in list(self._changes.items()):
            if change.ended:
                del self._changes[upstream]
                self._cooldown_until[upstream] = now + CHANGE_COOLDOWN
        for upstream in [u for u, end in self._cooldown_until.items() if end <= now]:
            del self._cooldown_until[upstream]
