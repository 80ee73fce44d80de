"""Measured times of the requests of each service, for policies that decide by them."""

from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.ids import ServiceId

# Assumed until the first request of a service has ended.
INITIAL_STAY = timedelta(milliseconds=300)
INITIAL_FIRST_BYTE = timedelta(milliseconds=100)
# Weight of one observation in the moving averages.
WEIGHT = 0.1
# Services whose times are kept; times of further ones stay the initial ones.
MAX_SERVICES = 1024


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages: how long a request stays at an upstream, and waits for its first byte."""

    stay: timedelta = INITIAL_STAY
    first_byte: timedelta = INITIAL_FIRST_BYTE


class MeasuredTimes:
    """The times of all services that a node sends requests to."""

    def __init__(self) -> None:
        self._times: dict[ServiceId, ServiceTimes] = {}

    def of(self, service: ServiceId) -> ServiceTimes:
        """Return the times of a service; initial ones before its first request."""
        return self._times.get(service) or ServiceTimes()

    def record_stay(self, service: ServiceId, took: timedelta) -> None:
        """Record how long a request was in flight."""
        times = self._kept(service)
        times.stay += (took - times.stay) * WEIGHT

    def record_first_byte(self, service: ServiceId, took: timedelta) -> None:
        """Record how long a request waited for its first byte."""
        times = self._kept(service)
        times.first_byte += (took - times.first_byte) * WEIGHT

    def _kept(self, service: ServiceId) -> ServiceTimes:
        times = self._times.get(service)
        if times is None:
            times = ServiceTimes()
            if len(self._times) < MAX_SERVICES:
                self._times[service] = times
        return times
