"""State of the queue of one stage service."""

from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import NodeId, RequestId, ServiceId, UpstreamId
from chervilrack._internal.forwarding.dialect import PieceFailure

# Identifies an order fleet-wide: the node that asked, and its own number.
OrderId = tuple[NodeId, int]


@dataclass(slots=True, eq=False)
class Order:
    """Pieces of one stage of one request, wanted by one node.

    ``due`` is the end of the target latency less the time of all later stages, and ``deadline``
    likewise. ``zone`` and ``move_bytes`` say where a piece is made cheapest; "" means anywhere.
    """

    id: OrderId
    service: ServiceId
    request_id: RequestId
    stage: int
    key: str
    inputs: tuple[str, ...]
    due: timedelta
    deadline: timedelta
    result_size: int
    queued_at: timedelta
    zone: str = ""
    move_bytes: int = 0
    priority: int = 0
    pending_segments: set[int] = field(default_factory=set)
    inputs_read: bool = False


@dataclass(slots=True, eq=False)
class Piece:
    """One segment of an order; ``sent`` counts its calls in progress."""

    order: Order
    segment: int
    attempts: int = 0
    sent: int = 0

    @property
    def is_pending(self) -> bool:
        """Whether its result is still wanted."""
        return self.segment in self.order.pending_segments


@dataclass(frozen=True, slots=True)
class StartCall:
    """Effect: call a stage upstream for these pieces."""

    call_id: int
    upstream: UpstreamId
    address: str
    pieces: tuple[Piece, ...]
    started: timedelta
    expected: timedelta
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class Deliver:
    """Effect: tell the node that asked about some segments."""

    order: OrderId
    results: tuple[tuple[int, str | PieceFailure], ...]


@dataclass(frozen=True, slots=True)
class InputsRead:
    """Effect: tell the node that asked that the upstreams have read an order's inputs."""

    order: OrderId


@dataclass(frozen=True, slots=True)
class ReturnPieces:
    """Effect: tell the node that asked to order some segments elsewhere."""

    order: OrderId
    segments: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class FreeResults:
    """Effect: free results at the upstream that keeps them."""

    address: str
    handles: tuple[str, ...]


@dataclass(slots=True)
class Call:
    """A call in progress.

    ``read_at`` is when the upstream has read the inputs, None until the request was written.
    """

    id: int
    upstream: UpstreamId
    address: str
    pieces: tuple[Piece, ...]
    started: timedelta
    expected: timedelta
    reserved: int
    hedged: bool = False
    read_at: timedelta | None = None


@dataclass(slots=True)
class KeptResult:
    """A result that takes up space at its maker.

    A ``evictable`` one has been read and is of use only if its readers have to be called again.
    """

    size: int
    until: timedelta
    evictable: bool = False
    being_freed: bool = False
