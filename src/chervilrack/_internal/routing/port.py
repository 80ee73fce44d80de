"""Interface of the choice of an upstream."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chervilrack._internal.common.ids import (
    AttemptId,
    ModelId,
    OrganisationId,
    StageId,
    UpstreamId,
)
from chervilrack._internal.releases.state import Upstream


@dataclass(frozen=True, slots=True)
class RouteContext:
    """What is known about the work to be routed.

    ``tokens`` are prompt and maximum output together, ``output_tokens`` the output alone.
    ``prefix_hashes`` are the hashes of growing prompt prefixes, shortest first. ``excluded`` are
    upstreams that earlier attempts of the same stage have used.
    """

    stage: StageId
    organisation: OrganisationId
    model: ModelId | None = None
    adapter: str | None = None
    tokens: int = 0
    output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    excluded: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class RouteDecision:
    """Chosen upstream and a short reason for the explanation of the request."""

    upstream: UpstreamId
    reason: str


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected service time of a stage at an upstream and its spread (standard deviation)."""

    mean: timedelta
    spread: timedelta


class Router(Protocol):
    """Chooses upstreams and learns from the attempts of this node."""

    def choose(
        self, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> RouteDecision | None:
        """Choose among candidates that have permits; None if none may be used."""

    def attempt_started(
        self, attempt: AttemptId, upstream: UpstreamId, context: RouteContext, now: timedelta
    ) -> None:
        """Count an attempt as in flight."""

    def attempt_finished(
        self, attempt: AttemptId, succeeded: bool | None, service_time: timedelta, now: timedelta
    ) -> None:
        """Record the end of an attempt; ``succeeded`` None says nothing about the upstream."""

    def estimate(self, upstream: UpstreamId, context: RouteContext) -> Estimate:
        """Return the expected service time of this work at an upstream."""

    def stage_estimate(self, candidates: Sequence[Upstream], context: RouteContext) -> Estimate:
        """Return the expected service time over all usable candidates of a stage."""
