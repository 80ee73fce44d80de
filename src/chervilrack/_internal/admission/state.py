"""Orders that wait for their admission, and the effects of decisions on them."""

from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.batching.state import Order
from chervilrack._internal.common.ids import ServiceId


@dataclass(frozen=True, slots=True)
class Work:
    """Pieces that a request needs of a service, in one stage and in those that follow from it."""

    service: ServiceId
    pieces: int


@dataclass(slots=True, eq=False)
class WaitingOrder:
    """An order of a first stage, with the seconds of work that it needs of each service.

    ``own_time`` is the time from its admission to its results if no work is ahead of it.
    """

    order: Order
    organisation: str
    work: dict[ServiceId, float]
    own_time: timedelta = timedelta(0)
    # Seconds for which the order occupies the service that it needs longest.
    size: float = field(init=False)

    def __post_init__(self) -> None:
        self.size = max(self.work.values(), default=0.0)


@dataclass(frozen=True, slots=True)
class Admit:
    """Effect: queue an order for its stage."""

    order: Order


@dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: refuse an order that cannot meet its deadline any more.

    ``retry_after`` is the time until room for it is expected.
    """

    order: Order
    retry_after: timedelta


AdmissionEffect = Admit | Refuse
