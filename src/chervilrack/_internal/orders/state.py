"""Orders, their records in the platform's store, and the settings of order execution."""

import hashlib
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec
import xxhash

from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.common.ids import (
    Epoch,
    IdempotencyKey,
    Incarnation,
    NodeId,
    OrganisationId,
    ServiceId,
)
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.membership.state import Process, View

RECORD_FORMAT = 1
PARTITIONS = 64
RECORD_PREFIX = "orders/"


class RecordState(Enum):
    """State of an order's record.

    A ``TICKET`` permits its process to run the order. A ``DONE`` record contains the result. A new
    ticket may replace only a ``NOT_EXECUTED`` record or a ticket that was never dispatched.
    """

    TICKET = "ticket"
    DONE = "done"
    NOT_EXECUTED = "not executed"


class OrderResult(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Response to an order: the upstream's response, or a result code.

    ``executed`` says whether the order was executed, as a value of ``Executed``.
    """

    code: str = ""
    detail: str = ""
    executed: str = Executed.YES.value
    status: int = 200
    body: bytes = b""

    def problem(self) -> Problem | None:
        """Return the problem that callers receive, or None for a response of the upstream."""
        if not self.code:
            return None
        return Problem(ResultCode[self.code], self.detail, Executed(self.executed))


def refusal(code: ResultCode, detail: str, executed: Executed = Executed.NO) -> OrderResult:
    """Return a result that carries a result code instead of a response."""
    return OrderResult(code.name, detail, executed.value, code.http_status)


def key_reused() -> OrderResult:
    """Return the refusal of a different request under the same idempotency key."""
    return refusal(ResultCode.IDEMPOTENCY_KEY_REUSED, "the key belongs to another request")


def outcome_unknown(detail: str) -> OrderResult:
    """Return the answer for an order that may have been executed."""
    return refusal(ResultCode.ORDER_OUTCOME_UNKNOWN, detail, Executed.UNKNOWN)


class Order(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Non-idempotent request. ``created`` is the Unix time of its receipt in seconds."""

    organisation: OrganisationId
    key: IdempotencyKey
    service: ServiceId
    operation: str
    body: bytes
    created: int = 0

    @property
    def fingerprint(self) -> str:
        """SHA-256 of service, operation and body; distinguishes requests under one key."""
        head = f"{self.service}\0{self.operation}\0".encode()
        return hashlib.sha256(head + self.body).hexdigest()

    @property
    def record_key(self) -> str:
        """Key of the order's record in the platform's store."""
        return record_key(self.organisation, self.key)


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ticket or outcome of an order.

    ``attempt`` identifies the attempt to execute the order for which the record was written.
    """

    state: RecordState
    node: NodeId
    incarnation: Incarnation
    epoch: Epoch
    attempt: str
    fingerprint: str
    created: int
    result: OrderResult | None = None
    format: int = RECORD_FORMAT

    @property
    def process(self) -> Process:
        """Process that the record names as executor."""
        return Process(self.node, self.incarnation)


def encode_record(record: Record) -> bytes:
    """Return the JSON form of a record."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> Record:
    """Return the record stored as ``value``.

    Raises msgspec.ValidationError for an unknown field, a wrong type or another format number.
    """
    record = msgspec.json.decode(value, type=Record)
    if record.format != RECORD_FORMAT:
        raise msgspec.ValidationError(
            f"order record has format {record.format}; this version reads {RECORD_FORMAT}"
        )
    return record


def record_key(organisation: OrganisationId, key: IdempotencyKey) -> str:
    """Return the key in the platform's store for an organisation's idempotency key."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()
    return f"{RECORD_PREFIX}{partition_of(organisation, key)}/{digest}"


def partition_of(organisation: OrganisationId, key: IdempotencyKey) -> int:
    """Return the partition of an organisation's idempotency key."""
    return xxhash.xxh3_64_intdigest(f"{organisation}\0{key}".encode()) % PARTITIONS


def partition_of_record(key: str) -> int:
    """Return the partition from a record's key in the platform's store."""
    return int(key.split("/")[1])


def partition_owner(view: View, partition: int) -> NodeId | None:
    """Return the node that executes a partition's orders, or None without active members."""
    owner = rendezvous_owner(
        f"{RECORD_PREFIX}{partition}", [member.node for member in view.active_members()]
    )
    return NodeId(owner) if owner is not None else None


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """Times and sizes of order execution."""

    max_txn_operations: int = 128
    # Bound for all executors together: the share of group commits in the writes to the
    # platform's store.
    group_writes_per_s: int = 200
    min_group_wait: timedelta = timedelta(milliseconds=5)
    write_retry: timedelta = timedelta(milliseconds=200)
    read_retry: timedelta = timedelta(seconds=1)
    # Exceeds the 2 s without contact to the platform's store after which witnesses give outage
    # grants.
    platform_wait: timedelta = timedelta(seconds=3)
    forward_retry: timedelta = timedelta(seconds=1)
    # An answer that the executor sent at the deadline may still be in transit.
    answer_grace: timedelta = timedelta(milliseconds=500)
    retry_horizon: timedelta = timedelta(minutes=10)
    retention: timedelta = timedelta(hours=1)
    expiry_interval: timedelta = timedelta(minutes=1)

    def group_wait(self, executors: int) -> timedelta:
        """Return the time between two group commits of one of ``executors`` executors."""
        share = timedelta(seconds=min(executors, PARTITIONS) / self.group_writes_per_s)
        return max(self.min_group_wait, share)


def is_undispatched_ticket(record: Record, process: Process) -> bool:
    """Whether a record is a ticket of ``process`` and may therefore be replaced.

    To be called by ``process`` itself, and not for the attempt that is pending there. An attempt
    that the process dispatched stays pending until its outcome is recorded, so the attempt of
    this ticket was never dispatched.
    """
    return record.state is RecordState.TICKET and record.process == process


def same_request(first: str, second: str) -> bool:
    """Whether two fingerprints belong to the same request."""
    return first == second


def may_run_unrecorded(has_outage_grant: bool, may_act: bool) -> bool:
    """Whether an order may run without a ticket in the platform's store."""
    return has_outage_grant and may_act
