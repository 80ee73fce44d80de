"""Protocols of the node's functions that the HTTP interface calls."""

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
        """Run an order and return its outcome, or the outcome stored under its idempotency key."""

    def look_up(
        self, organisation: OrganisationId, key: IdempotencyKey
    ) -> Result[Mapping[str, Any], Problem]:
        """Return the stored state and outcome of an order of this organisation."""


class Operations(Protocol):
    """Functions of a node for operators."""

    def accept_release(self, document: bytes) -> Result[Mapping[str, Any], Problem]:
        """Check and accept an encoded release note."""

    def release_log(self) -> Sequence[Mapping[str, Any]]:
        """Return the accepted release notes that this node knows, oldest first."""

    def configuration(self) -> Configuration:
        """Return the configuration in force at this node."""

    def status(self) -> Mapping[str, Any]:
        """Return nodes, upstreams, limits in use, releases in force and recent actions."""


class NodeBackend(Protocol):
    """Functions of a node that the HTTP interface calls."""

    @property
    def executor(self) -> Executor:
        """Executor of pipelines and idempotent operations."""

    @property
    def orders(self) -> OrderCoordinator:
        """Coordinator of non-idempotent operations."""

    @property
    def operations(self) -> Operations:
        """Functions for operators."""

    @property
    def configuration(self) -> Configuration:
        """Configuration in force at this node."""

    def endpoints(self) -> Sequence[Endpoint]:
        """Return the endpoints of all nodes of the view."""

    def not_ready(self) -> Problem | None:
        """Return the problem for which the node refuses new work at present, or None."""

    def explanation(
        self, request_id: RequestId, organisation: OrganisationId | None
    ) -> Sequence[str] | None:
        """Return the decisions on a request; None if it is unknown or another organisation's.

        ``organisation`` is None for an operator, who may see all requests.
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
