"""Interface through which components report decisions and measurements."""

from datetime import timedelta
from typing import Protocol

from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import OrganisationId, RequestId, StageId, TeamId, UpstreamId


class Telemetry(Protocol):
    """Receives decisions and measurements. Calls are cheap and never raise."""

    def record_decision(
        self, request_id: RequestId, organisation: OrganisationId, event: str
    ) -> None:
        """Add one entry to the explanation of a request."""

    def record_action(self, action: ActionTaken) -> None:
        """Log an automatic action, count it in the metrics and list it in the node's status."""

    def request_finished(
        self,
        organisation: OrganisationId,
        priority_class: str,
        target: str,
        outcome: str,
        duration: timedelta,
    ) -> None:
        """Record the end of a request; outcome is answered, late, refused, failed or unknown."""

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
        """Record one finished attempt of a stage and add its cost to the totals of ``team``."""

    def record_token_times(
        self, priority_class: str, first: timedelta, between: tuple[timedelta, ...]
    ) -> None:
        """Record the time to the first token and the times between tokens of one stream."""
