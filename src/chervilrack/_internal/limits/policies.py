"""Registry of the ways in which a limit is divided among nodes."""

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
    """Limits of one node under one policy."""

    @property
    def permits(self) -> LimitHolder:
        """Permits of this node."""

    def handle(self, event: LimitEvent, now: timedelta) -> list[LimitEffect]:
        """Apply an event and return what has to be done."""


LimitPolicyFactory = Callable[[NodeId, Callable[[], bool], random.Random], LimitPolicy]

limit_policies: Registry[LimitPolicyFactory] = Registry("limit policy")
limit_policies.register("leased")(LimitService)


class _UncoordinatedPolicy(ABC):
    """Base of the policies that derive each node's share from the view alone."""

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
        """Apply an event; these policies send nothing."""
        gained: frozenset[LimitId] = frozenset()
        match event:
            case Tick():
                gained = self._holder.tick(now)
                self._holder.due_reports(now)
            case ConfigurationApplied(configuration):
                self._configuration = configuration
                gained = self._share_all()
            case ViewAdopted():
                self._members = sorted(event.active_members)
                gained = self._share_all()
        return [CapacityGained(gained)] if gained else []

    def _share_all(self) -> frozenset[LimitId]:
        capacities = self._configuration.limit_capacities()
        for limit in {*capacities, *self._holder.limits}:
            self._holder.configure(limit, capacities.get(limit), self._configuration.revision)
        for limit, capacity in capacities.items():
            self._holder.set_cap(limit, self._share(capacity))
        return frozenset(capacities)

    @abstractmethod
    def _share(self, capacity: int) -> int:
        """Return this node's part of a limit."""


@limit_policies.register("static-split")
class StaticSplitPolicy(_UncoordinatedPolicy):
    """Gives each active member floor(limit / members); the first ones get the remainder.

    Baseline: idle shares are lost, and shares of a limit below the number of members are zero
    for some. Nodes with different views can exceed the limit.
    """

    def _share(self, capacity: int) -> int:
        if self._node not in self._members:
            return 0
        share, rest = divmod(capacity, len(self._members))
        return share + (self._members.index(self._node) < rest)


@limit_policies.register("local-only")
class LocalOnlyPolicy(_UncoordinatedPolicy):
    """Lets every node use the whole limit. Baseline: exceeds the limit under load."""

    def _share(self, capacity: int) -> int:
        return capacity
