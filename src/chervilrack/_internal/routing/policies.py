"""Registry of routing policies, and the baseline policies."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

from chervilrack._internal.common.ids import StageId, ZoneId
from chervilrack._internal.common.registry import Registry
from chervilrack._internal.releases.state import Upstream
from chervilrack._internal.routing.port import RouteContext, RouteDecision
from chervilrack._internal.routing.router import ChervilrackRouter
from chervilrack._internal.routing.settings import RouterSettings
from chervilrack._internal.routing.tracking import TrackingRouter

RoutingPolicyFactory = Callable[[random.Random, ZoneId, RouterSettings | None], TrackingRouter]

routing_policies: Registry[RoutingPolicyFactory] = Registry("routing policy")
routing_policies.register("chervilrack")(ChervilrackRouter)


@routing_policies.register("round-robin")
class RoundRobinRouter(TrackingRouter):
    """Baseline that chooses the candidates of each stage in turn."""

    def __init__(
        self, rng: random.Random, zone: ZoneId, settings: RouterSettings | None = None
    ) -> None:
        super().__init__(rng, zone, settings)
        self._turns: dict[StageId, int] = {}

    def choose(
        self, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> RouteDecision | None:
        """Choose the next candidate that is not excluded."""
        for _ in range(len(candidates)):
            turn = self._turns.get(context.stage, 0)
            self._turns[context.stage] = turn + 1
            upstream = candidates[turn % len(candidates)].id
            if upstream not in context.excluded:
                return RouteDecision(upstream, "next in turn")
        return None


@routing_policies.register("least-outstanding")
class LeastOutstandingRouter(TrackingRouter):
    """Baseline that chooses the upstream with the fewest attempts of this node in flight."""

    def choose(
        self, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> RouteDecision | None:
        """Choose the candidate with the fewest attempts in flight; ties are broken at random."""
        allowed = [c.id for c in candidates if c.id not in context.excluded]
        if not allowed:
            return None
        loads = [self._loads.get(upstream).in_flight for upstream in allowed]
        least = min(loads)
        least_loaded = [u for u, load in zip(allowed, loads, strict=True) if load == least]
        return RouteDecision(self._rng.choice(least_loaded), f"{least} in flight")
