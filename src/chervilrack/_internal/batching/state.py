"""State and effects of the queue of one stage service."""

from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.ids import NodeId, RequestId, ServiceId, UpstreamId
from chervilrack._internal.forwarding.dialect import PieceFailure

# Identifies an order in the fleet: the node that placed the order, and that node's order number.
OrderId = tuple[NodeId, int]


@dataclass(slots=True, eq=False)
class Order:
    """Pieces of one stage of one request, ordered by one node.

    ``due`` and ``deadline`` are the end of the request's target latency and the request's deadline,
    each less the time of the later stages. Pieces are best produced in ``zone``; ``move_bytes``
    cross zones if a piece is produced elsewhere. An empty zone means that no zone is preferred.
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
    """One segment of an order.

    ``calls`` counts the calls that were started for the piece, ``active_calls`` those in progress,
    and ``attempts`` those that count towards the limit: a call without room for the piece does not.
    """

    order: Order
    segment: int
    calls: int = 0
    attempts: int = 0
    active_calls: int = 0

    @property
    def is_pending(self) -> bool:
        """Whether the result of the piece is still needed."""
        return self.segment in self.order.pending_segments


@dataclass(frozen=True, slots=True)
class StartConditions:
    """Conditions under which a call starts, for logs and metrics.

    ``late_pieces`` of its pieces cannot be done by the due time of their orders. ``longest_wait``
    is the time that its oldest order has been queued. ``batch`` is the largest number of pieces of
    a call, ``free_bytes`` the space that the upstream has left before the call.
    """

    late_pieces: int
    longest_wait: timedelta
    batch: int
    free_bytes: int


@dataclass(frozen=True, slots=True)
class StartCall:
    """Effect: call a stage upstream for these pieces."""

    call_id: int
    incarnation: UpstreamIncarnation
    address: str
    pieces: tuple[Piece, ...]
    started: timedelta
    expected: timedelta
    timeout: timedelta
    conditions: StartConditions

    @property
    def upstream(self) -> UpstreamId:
        """Id of the upstream."""
        return self.incarnation.id


@dataclass(frozen=True, slots=True)
class Deliver:
    """Effect: deliver results of some segments to the node that placed the order.

    ``retry_after`` is the time until the first upstream takes calls again if the segments failed
    because all of them want a pause, or until room is expected if they were refused for lack of it.
    """

    order: OrderId
    results: tuple[tuple[int, str | PieceFailure], ...]
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class InputsRead:
    """Effect: report to the node that placed the order that upstreams have read its inputs."""

    order: OrderId


@dataclass(frozen=True, slots=True)
class ReturnPieces:
    """Effect: return segments to the node that placed the order, to be ordered elsewhere."""

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

    From ``straggles_at`` on, its pieces are called again elsewhere. ``inputs_read_at`` is the time
    by which the upstream is expected to have read the inputs. It is None until the request has been
    written.
    """

    id: int
    upstream: UpstreamId
    address: str
    pieces: tuple[Piece, ...]
    started: timedelta
    expected: timedelta
    reserved_bytes: int
    straggles_at: timedelta
    hedged: bool = False
    inputs_read_at: timedelta | None = None


@dataclass(slots=True)
class KeptResult:
    """A result that occupies space at the upstream that produced it.

    An ``evictable`` result has been read. It is needed again only if the call that read it has to
    be repeated.
    """

    size: int
    expires_at: timedelta
    evictable: bool = False
    being_freed: bool = False
