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

    ``number`` is the sender's consecutive number of the order. The sender no longer waits for
    orders with numbers below ``lowest_open_number``; a late copy of such an order must not run.
    """

    to: Incarnation
    request: RequestId
    order: Order
    remaining_ms: int
    number: int
    lowest_open_number: int


class LookUpOrder(
    msgspec.Struct, frozen=True, array_like=True, tag="ol", forbid_unknown_fields=True
):
    """Request for the outcome of an order, for the executor of its partition."""

    request: RequestId
    organisation: OrganisationId
    key: IdempotencyKey


class OrderAnswered(
    msgspec.Struct, frozen=True, array_like=True, tag="oa", forbid_unknown_fields=True
):
    """Answer to ``SubmitOrder`` or ``LookUpOrder``, for the incarnation that sent it."""

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
    """A caller requests the outcome of an order of its own organisation."""

    request: RequestId
    organisation: OrganisationId
    key: IdempotencyKey
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class RecordsWritten:
    """A ``WriteRecords`` effect ended.

    ``revision`` is the revision of the platform's store if the write was applied.
    """

    number: int
    outcome: WriteOutcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records of a partition with their ``mod_revision``.

    ``revision`` is the revision of the platform's store at which they were read.
    """

    partition: int
    records: tuple[tuple[str, Record, int], ...]
    revision: int


@dataclass(frozen=True, slots=True)
class OrderRunFinished:
    """A ``RunOrder`` effect ended.

    ``sent`` is false if no byte of the order was written to an upstream.
    """

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
    """Time has passed. Expected at least every 100 ms; ``wall_time`` is in UTC."""

    wall_time: datetime


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
    """Transaction of the platform's store that writes or deletes records.

    ``number`` is the number of the group.
    """

    number: int
    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Carry out a transaction; answer with ``RecordsWritten`` of the same number."""

    txn: RecordTxn


@dataclass(frozen=True, slots=True)
class ReadPartition:
    """Read all records under ``orders/<partition>/``; answer with ``RecordsRead``.

    No answer is given if the platform's store cannot be reached; the executor repeats the read.
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
    """Answer a request that a caller sent to this node: a submitted order or a look-up."""

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
