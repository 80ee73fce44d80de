"""What the HTTP interface needs from the node behind it."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from result import Result

from chervilrack._internal.common.ids import IdempotencyKey, OrganisationId, RequestId
from chervilrack._internal.common.results import Problem
from chervilrack._internal.execution.port import Executor, ServiceRequest
from chervilrack._internal.gateway.lookup import Endpoint
from chervilrack._internal.releases.state import Configuration


class OrderCoordinator(Protocol):
    """Runs non-idempotent operations at most once."""

    def submit(self, request: ServiceRequest) -> Result[Mapping[str, Any], Problem]:
        """Run an order and return its outcome, or the stored outcome of its key."""

    def look_up(
        self, organisation: OrganisationId, key: IdempotencyKey
    ) -> Result[Mapping[str, Any], Problem]:
        """Return the stored state and outcome of an order of this organisation."""


class Operations(Protocol):
    """What operators can do through a node."""

    def accept_release(self, document: bytes) -> Result[Mapping[str, Any], Problem]:
        """Check and accept an encoded release note."""

    def release_log(self) -> Sequence[Mapping[str, Any]]:
        """Return the accepted notes this node knows, oldest first."""

    def configuration(self) -> Configuration:
        """Return the configuration in force at this node."""

    def status(self) -> Mapping[str, Any]:
        """Return nodes, upstreams, limits in use, releases in force and recent actions."""


class NodeBackend(Protocol):
    """The node as the HTTP interface sees it."""

    @property
    def executor(self) -> Executor:
        """Runs pipelines and idempotent operations."""

    @property
    def orders(self) -> OrderCoordinator:
        """Runs non-idempotent operations."""

    @property
    def operations(self) -> Operations:
        """Operators' calls."""

    @property
    def configuration(self) -> Configuration:
        """Configuration in force at this node."""

    def endpoints(self) -> Sequence[Endpoint]:
        """Return all nodes of the view."""

    def not_ready(self) -> Problem | None:
        """Return why new work is refused at the moment, or None."""

    def explanation(
        self, request_id: RequestId, organisation: OrganisationId | None
    ) -> Sequence[str] | None:
        """Return what was decided for a request; None if unknown or another organisation's.

        ``organisation`` None is an operator, who may see all.
        """

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus text format."""

    def request_ended(
        self,
        organisation: OrganisationId,
        priority_class: str,
        target: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Record the end of a request for metrics and attainment."""
