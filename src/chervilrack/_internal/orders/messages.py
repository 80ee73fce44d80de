"""Messages between nodes, and the events and effects of the order executor."""

from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import (
    IdempotencyKey,
    Incarnation,
    NodeId,
    OrganisationId,
    RequestId,
)
from chervilrack._internal.kvstore.port import Compare, Put
from chervilrack._internal.membership.messages import (
    DoubtfulEpochsChanged,
    EpochActive,
    OutageGrantChanged,
    OutageTicketsWritten,
    PartitionsOwned,
    PlatformReachable,
    ViewAdopted,
    WriteOutcome,
)
from chervilrack._internal.orders.state import Order, OrderResult, Record


class SubmitOrder(
    msgspec.Struct, frozen=True, array_like=True, tag="os", forbid_unknown_fields=True
):
    """Order for the executor of its partition; ``remaining_ms`` is the time to its deadline.

    ``number`` counts the sender's orders. Those below ``floor`` are closed at the sender, so that
    a copy of one that arrives late must not run.
    """

    to: Incarnation
    request: RequestId
    order: Order
    remaining_ms: int
    number: int
    floor: int


class LookUpOrder(
    msgspec.Struct, frozen=True, array_like=True, tag="ol", forbid_unknown_fields=True
):
    """Question about an order, for the executor of its partition."""

    request: RequestId
    organisation: OrganisationId
    key: IdempotencyKey


class OrderAnswered(
    msgspec.Struct, frozen=True, array_like=True, tag="oa", forbid_unknown_fields=True
):
    """Answer to ``SubmitOrder`` or ``LookUpOrder``, for the incarnation that asked."""

    to: Incarnation
    request: RequestId
    result: OrderResult


OrderMessage = SubmitOrder | LookUpOrder | OrderAnswered


@dataclass(frozen=True, slots=True)
class OrderSubmitted:
    """A caller submitted an order; ``deadline`` is an instant of the monotonic clock."""

    request: RequestId
    order: Order
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class LookUpRequested:
    """A caller asks for the outcome of an order of its own organisation."""

    request: RequestId
    organisation: OrganisationId
    key: IdempotencyKey
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class RecordsWritten:
    """A ``WriteRecords`` ended; ``revision`` is the store's revision if it was applied."""

    number: int
    outcome: WriteOutcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records of a partition with their ``mod_revision``, read at the store's ``revision``."""

    partition: int
    records: tuple[tuple[str, Record, int], ...]
    revision: int


@dataclass(frozen=True, slots=True)
class OrderRunFinished:
    """A ``RunOrder`` ended. ``sent`` is false if no byte of it was written to an upstream."""

    record_key: str
    result: OrderResult
    sent: bool = True


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message arrived from a process of another node."""

    sender: NodeId
    incarnation: Incarnation
    message: OrderMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; to be given every 100 ms or more often, with the time in UTC."""

    wall: datetime


OrderEvent = (
    OrderSubmitted
    | LookUpRequested
    | RecordsWritten
    | RecordsRead
    | OrderRunFinished
    | PeerMessage
    | Tick
    | ViewAdopted
    | EpochActive
    | DoubtfulEpochsChanged
    | OutageGrantChanged
    | PlatformReachable
)


@dataclass(frozen=True, slots=True)
class RecordTxn:
    """Platform transaction; answer with ``RecordsWritten`` of the same number."""

    number: int
    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Carry out a transaction."""

    txn: RecordTxn


@dataclass(frozen=True, slots=True)
class ReadPartition:
    """Read all records under ``orders/<partition>/``; answer with ``RecordsRead``.

    Nothing is answered if the platform cannot be reached; the executor asks again.
    """

    partition: int


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Send the order to an upstream, once; answer with ``OrderRunFinished``."""

    order: Order
    record_key: str
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class AnswerOrder:
    """Answer a request that was submitted or looked up at this node."""

    request: RequestId
    result: OrderResult


OrderEffect = (
    Send
    | ActionTaken
    | WriteRecords
    | ReadPartition
    | RunOrder
    | AnswerOrder
    | PartitionsOwned
    | OutageTicketsWritten
)
