"""Policies that divide a limit among nodes, and their registry."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from chervilrack._internal.common.ids import LimitId, NodeId
from chervilrack._internal.common.registry import Registry
from chervilrack._internal.limits.holder import LimitHolder
from chervilrack._internal.limits.messages import (
    CapacityGained,
    ConfigurationApplied,
    LimitEffect,
    LimitEvent,
    Tick,
    ViewAdopted,
)
from chervilrack._internal.limits.service import LimitService
from chervilrack._internal.releases.state import Configuration


class LimitPolicy(Protocol):
    """Decides how many permits of each limit one node may use."""

    @property
    def permits(self) -> LimitHolder:
        """Permits of this node."""

    def handle(self, event: LimitEvent, now: timedelta) -> list[LimitEffect]:
        """Apply an event and return the resulting effects."""


LimitPolicyFactory = Callable[[NodeId, Callable[[], bool], random.Random], LimitPolicy]

limit_policies: Registry[LimitPolicyFactory] = Registry("limit policy")
limit_policies.register("leased")(LimitService)


class _UncoordinatedPolicy(ABC):
    """Base class of policies that derive a node's share from its view without any messages."""

    def __init__(self, node: NodeId, may_act: Callable[[], bool], rng: random.Random) -> None:
        self._node = node
        self._holder = LimitHolder(may_act)
        self._configuration = Configuration()
        self._members: list[NodeId] = []

    @property
    def permits(self) -> LimitHolder:
        """Permits of this node."""
        return self._holder

    def handle(self, event: LimitEvent, now: timedelta) -> list[LimitEffect]:
        """Apply an event and return the resulting effects, which never include messages."""
        gained: frozenset[LimitId] = frozenset()
        match event:
            case Tick():
                gained = self._holder.tick(now)
                self._holder.due_reports(now)
            case ConfigurationApplied(configuration):
                self._configuration = configuration
                gained = self._update_caps()
            case ViewAdopted():
                self._members = sorted(event.active_members)
                gained = self._update_caps()
        return [CapacityGained(gained)] if gained else []

    def _update_caps(self) -> frozenset[LimitId]:
        capacities = self._configuration.limit_capacities()
        for limit in {*capacities, *self._holder.limits}:
            self._holder.configure(limit, capacities.get(limit), self._configuration.revision)
        for limit, capacity in capacities.items():
            self._holder.set_cap(limit, self._share(capacity))
        return frozenset(capacities)

    @abstractmethod
    def _share(self, capacity: int) -> int:
        """Return the number of permits of a limit that this node may use."""


@limit_policies.register("static-split")
class StaticSplitPolicy(_UncoordinatedPolicy):
    """Splits each limit evenly among the active members; the first members get the remainder.

    A baseline for comparison with "leased". Idle shares are lost, and if a limit is smaller than
    the number of members, some members get no permits. Nodes with different views can exceed the
    limit.
    """

    def _share(self, capacity: int) -> int:
        if self._node not in self._members:
            return 0
        share, remainder = divmod(capacity, len(self._members))
        return share + (self._members.index(self._node) < remainder)


@limit_policies.register("local-only")
class LocalOnlyPolicy(_UncoordinatedPolicy):
    """Lets every node use the whole limit.

    A baseline for comparison with "leased" that exceeds the limit under load.
    """

    def _share(self, capacity: int) -> int:
        return capacity
