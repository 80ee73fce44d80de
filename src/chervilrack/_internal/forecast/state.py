"""What is forecast of a request, and the forecasts with the evidence that they rest on."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from chervilrack._internal.common.ids import ServiceId

# Longest time that a forecast names.
MAX_TIME = timedelta(days=1)


class Subject(NamedTuple):
    """Requests whose times are forecast together: those of a route that a service answers."""

    route: str
    service: ServiceId


class Work(Enum):
    """What is about to start: a request with its stages, or one attempt at an upstream."""

    REQUEST = "requests"
    ATTEMPT = "attempts"


class Basis(Enum):
    """What determines the time that a request is expected to take."""

    USUAL_TIME = "usual time"
    OWN_BOUND = "deadline"


@dataclass(frozen=True, slots=True)
class StreamSize:
    """Prompt tokens and largest number of output tokens of a stream, as its caller states them.

    Of a stream that is ``resumed``, an unknown number of output tokens is left.
    """

    prompt_tokens: int
    output_tokens: int
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class Evidence:
    """Observations behind a forecast: their number, weighted by age, and the age of the latest."""

    count: float
    age: timedelta

    def __str__(self) -> str:
        return f"{self.count:.0f} observations, the latest {self.age.total_seconds():.1f} s ago"


@dataclass(frozen=True, slots=True)
class PartForecast:
    """Time that one part of a request takes at least; without evidence, zero and None."""

    time: timedelta = timedelta(0)
    evidence: Evidence | None = None


@dataclass(frozen=True, slots=True)
class Rest:
    """Time that the rest of a request takes if it goes well.

    ``stages`` is the time of all its stages, ``first_event`` that from the start of an attempt to
    the first event of the answer, and ``stream`` that from there to the end.
    """

    stages: PartForecast = PartForecast()
    first_event: PartForecast = PartForecast()
    stream: PartForecast = PartForecast()

    @property
    def attempt(self) -> timedelta:
        """Time from the start of an attempt to the end of the answer."""
        return self.first_event.time + self.stream.time

    @property
    def total(self) -> timedelta:
        """Time from now to the end of the answer."""
        return self.stages.time + self.attempt

    @property
    def is_known(self) -> bool:
        """Whether any part rests on observations."""
        parts = (self.stages, self.first_event, self.stream)
        return any(part.evidence is not None for part in parts)

    def __str__(self) -> str:
        parts = (("stages", self.stages), ("first event", self.first_event), ("rest", self.stream))
        return ", ".join(
            f"{name} {part.time.total_seconds():.2f} s ({part.evidence})"
            for name, part in parts
            if part.evidence is not None
        )


@dataclass(frozen=True, slots=True)
class Misfit:
    """A request whose rest does not fit into the time ``left`` even if it goes well."""

    rest: Rest
    left: timedelta

    @property
    def excess(self) -> timedelta:
        """Time by which the rest exceeds the time left."""
        return self.rest.total - self.left

    def __str__(self) -> str:
        needed, left = self.rest.total.total_seconds(), max(0.0, self.left.total_seconds())
        return f"the rest takes {needed:.2f} s at least, {left:.2f} s are left: {self.rest}"
