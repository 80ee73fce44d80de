"""Interface of the router, which chooses upstreams."""

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
    """Description of the work to be routed.

    ``tokens`` is the number of prompt tokens plus the maximum number of output tokens, and
    ``output_tokens`` is the latter alone. ``prefix_hashes`` are the hashes of growing prompt
    prefixes, shortest first. ``excluded`` are upstreams that earlier attempts of the same stage
    have used.
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
    """Chosen upstream and a short reason, which appears in the explanation of the request."""

    upstream: UpstreamId
    reason: str


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected service time of a stage; ``spread`` is its standard deviation."""

    mean: timedelta
    spread: timedelta


class Router(Protocol):
    """Chooses upstreams and learns service times from the attempts of this node."""

    def choose(
        self, candidates: Sequence[Upstream], context: RouteContext, now: timedelta
    ) -> RouteDecision | None:
        """Choose among candidates that have permits; return None if none is usable."""

    def attempt_started(
        self, attempt: AttemptId, upstream: UpstreamId, context: RouteContext, now: timedelta
    ) -> None:
        """Count an attempt as in flight."""

    def attempt_finished(
        self, attempt: AttemptId, succeeded: bool | None, service_time: timedelta, now: timedelta
    ) -> None:
        """Record the end of an attempt.

        ``succeeded`` is None if the result says nothing about the health of the upstream.
        """

    def estimate(self, upstream: UpstreamId, context: RouteContext) -> Estimate:
        """Return the expected service time of the work at an upstream."""

    def stage_estimate(self, candidates: Sequence[Upstream], context: RouteContext) -> Estimate:
        """Return the expected service time over the usable candidates of a stage."""
