"""Predicts the durations of calls to the upstreams of a stage service."""

from datetime import timedelta

from chervilrack._internal.batching.settings import BatchingSettings
from chervilrack._internal.catalogue.state import BatchSpec


class CallDurations:
    """Durations of calls: those that the configuration gives, times the usual pace of the service.

    The configured time of a piece is only approximately known. Without the correction, all
    upstreams would look contended, and their inputs would be kept until the ends of the calls.
    """

    def __init__(self, settings: BatchingSettings) -> None:
        self._settings = settings
        self._spec: BatchSpec | None = None
        self._usual_pace = 1.0

    def configure(self, spec: BatchSpec) -> None:
        """Set the parameters of the service."""
        self._spec = spec

    def of_call(self, pieces: int) -> timedelta:
        """Return the usual duration of a call with a number of pieces.

        Calls have at most the configured number of pieces; further ones do not count. The duration
        is zero before the first configuration.
        """
        if self._spec is None:
            return timedelta(0)
        counted = min(pieces, self._spec.batch)
        return (self._spec.call_time + counted * self._spec.item_time) * self._usual_pace

    @property
    def full_call(self) -> timedelta:
        """Usual duration of a call with the largest number of pieces."""
        return self.of_call(self._spec.batch if self._spec is not None else 0)

    def observe(self, pieces: int, took: timedelta) -> None:
        """Move the usual pace by one step towards the median of the observed paces."""
        settings = self._settings
        step = settings.pace_step if took > self.of_call(pieces) else -settings.pace_step
        pace = self._usual_pace + step
        self._usual_pace = min(max(pace, settings.min_usual_pace), settings.max_usual_pace)
