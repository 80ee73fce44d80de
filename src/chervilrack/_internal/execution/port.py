"""Interface of pipeline execution towards the gateway."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from result import Result

from chervilrack._internal.common.ids import (
    IdempotencyKey,
    OrganisationId,
    PipelineId,
    RequestId,
    ServiceId,
)
from chervilrack._internal.common.results import Problem
from chervilrack._internal.upstreams.port import TokenChunk


@dataclass(frozen=True, slots=True)
class PipelineRequest:
    """One request for a pipeline. ``deadline`` is an instant of the monotonic clock."""

    request_id: RequestId
    organisation: OrganisationId
    priority_class: str
    pipeline: PipelineId
    body: Mapping[str, Any]
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One call of an operation of a plain service. ``deadline`` is as in PipelineRequest."""

    request_id: RequestId
    organisation: OrganisationId
    priority_class: str
    service: ServiceId
    operation: str
    body: Mapping[str, Any]
    deadline: timedelta
    idempotency_key: IdempotencyKey | None = None


class Executor(Protocol):
    """Runs requests; the ``run`` methods block the calling thread until the request has ended."""

    def run_pipeline(self, request: PipelineRequest) -> Result[Mapping[str, Any], Problem]:
        """Run all stages and return the answer of the last one."""

    def stream_pipeline(self, request: PipelineRequest) -> Iterator[Result[TokenChunk, Problem]]:
        """Run all stages and yield the last stage's tokens, each exactly once and in order.

        If the request fails, the last item is an ``Err``. Closing the iterator cancels the work
        upstream.
        """

    def run_service(self, request: ServiceRequest) -> Result[Mapping[str, Any], Problem]:
        """Run one operation of a plain service."""

    def cancel(self, request_id: RequestId) -> None:
        """Cancel a request whose caller has disconnected; unknown requests are ignored."""
