"""Telemetry of one node: metrics, attainment, explanations and log lines of actions."""

import functools
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import ParamSpec

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import OrganisationId, RequestId, StageId, TeamId, UpstreamId
from chervilrack._internal.observability.attainment import AttainmentRecorder
from chervilrack._internal.observability.explanations import Explanations
from chervilrack._internal.observability.metrics import NodeMetrics

logger = logging.getLogger(__name__)

P = ParamSpec("P")


def _never_raises(method: Callable[P, None]) -> Callable[P, None]:
    """Log an error instead of raising it: a fault in telemetry must not fail a request."""

    @functools.wraps(method)
    def guarded(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            method(*args, **kwargs)
        except Exception:
            logger.exception("observability: a measurement was lost")

    return guarded


class NodeTelemetry:
    """Implementation of the ``Telemetry`` port. Thread-safe; calls never raise."""

    def __init__(
        self,
        clock: Clock,
        metrics: NodeMetrics | None = None,
        attainment: AttainmentRecorder | None = None,
        explanations: Explanations | None = None,
    ) -> None:
        self._metrics = metrics or NodeMetrics()
        self._attainment = attainment or AttainmentRecorder()
        self._explanations = explanations or Explanations(clock)

    @property
    def metrics(self) -> NodeMetrics:
        """Prometheus metrics of the node."""
        return self._metrics

    @property
    def attainment(self) -> AttainmentRecorder:
        """Attainment per organisation and target since the node's start."""
        return self._attainment

    @property
    def explanations(self) -> Explanations:
        """Decisions about recent requests and recent automatic actions."""
        return self._explanations

    @_never_raises
    def record_decision(
        self, request_id: RequestId, organisation: OrganisationId, event: str
    ) -> None:
        """Add one entry to the explanation of a request."""
        self._explanations.add(request_id, organisation, event)

    @_never_raises
    def record_action(self, action: ActionTaken) -> None:
        """Write one log line, count the action and remember it."""
        logger.info("%s: %s %s: %s", action.part, action.action, action.subject, action.reason)
        self._metrics.record_action(action.part, action.action)
        self._explanations.add_action(action)

    @_never_raises
    def request_finished(
        self,
        organisation: OrganisationId,
        priority_class: str,
        target: str,
        outcome: str,
        duration: timedelta,
    ) -> None:
        """Record a request's end in the histograms, the outcome counters and the attainment."""
        self._metrics.request_finished(organisation, priority_class, target, outcome, duration)
        self._attainment.record(organisation, target, outcome)

    @_never_raises
    def stage_finished(
        self,
        stage: StageId,
        priority_class: str,
        team: TeamId,
        upstream: UpstreamId,
        queue_time: timedelta,
        service_time: timedelta,
        tokens: int,
    ) -> None:
        """Record one finished attempt of a stage and its cost to the team.

        The upstream is no label: 3,600 workers would need 100,000 time series on each node.
        """
        self._metrics.stage_finished(stage, priority_class, team, queue_time, service_time, tokens)

    @_never_raises
    def record_token_times(
        self, priority_class: str, first: timedelta, between: tuple[timedelta, ...]
    ) -> None:
        """Record the times of one token stream."""
        self._metrics.record_token_times(priority_class, first, between)
