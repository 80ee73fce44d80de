"""Telemetry of one node: metrics, attainment, explanations and the log of automatic actions."""

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


def _log_exceptions(method: Callable[P, None]) -> Callable[P, None]:
    """Log exceptions of ``method`` instead of raising them, so that requests do not fail."""

    @functools.wraps(method)
    def guarded(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            method(*args, **kwargs)
        except Exception:
            logger.exception("observability: failed to record a measurement")

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
        """Attainment per organisation and target since the start of the node."""
        return self._attainment

    @property
    def explanations(self) -> Explanations:
        """Decisions about recent requests and recent automatic actions."""
        return self._explanations

    @_log_exceptions
    def record_decision(
        self, request_id: RequestId, organisation: OrganisationId, event: str
    ) -> None:
        """Add one entry to the explanation of a request."""
        self._explanations.add(request_id, organisation, event)

    @_log_exceptions
    def record_action(self, action: ActionTaken) -> None:
        """Log the action, count it in the metrics and add it to the recent actions."""
        logger.info("%s: %s %s: %s", action.part, action.action, action.subject, action.reason)
        self._metrics.record_action(action.part, action.action)
        self._explanations.add_action(action)

    @_log_exceptions
    def request_finished(
        self,
        organisation: OrganisationId,
        priority_class: str,
        target: str,
        outcome: str,
        duration: timedelta,
    ) -> None:
        """Record the end of a request in the histograms, outcome counters and attainment."""
        self._metrics.request_finished(organisation, priority_class, target, outcome, duration)
        self._attainment.record(organisation, target, outcome)

    @_log_exceptions
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
        """Record one finished attempt of a stage and add its cost to the totals of ``team``.

        The upstream is not used as a label, because 3,600 workers would need 100,000 time series on
        each node.
        """
        self._metrics.stage_finished(stage, priority_class, team, queue_time, service_time, tokens)

    @_log_exceptions
    def record_token_times(
        self, priority_class: str, first: timedelta, between: tuple[timedelta, ...]
    ) -> None:
        """Record the time to the first token and the times between tokens of one stream."""
        self._metrics.record_token_times(priority_class, first, between)
