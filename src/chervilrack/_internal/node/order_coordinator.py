"""Passes callers' orders to the order executor and carries out the effects of the executor."""

import secrets
import threading
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from datetime import datetime, timedelta
from types import TracebackType
from typing import Any, Self

import msgspec
from result import Err, Ok, Result

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import IdempotencyKey, OrganisationId, RequestId
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.exceptions import PlatformError, PlatformOutcomeUnknown
from chervilrack._internal.execution.port import Executor, ServiceRequest
from chervilrack._internal.kvstore.port import PlatformService, RangeResult, TxnResult
from chervilrack._internal.membership import messages as member_messages
from chervilrack._internal.node.codec import message_types
from chervilrack._internal.node.cores import NodeCores
from chervilrack._internal.node.platform_worker import PlatformWorker
from chervilrack._internal.observability.port import Telemetry
from chervilrack._internal.orders import messages as order_messages
from chervilrack._internal.orders.core import OrderExecutor
from chervilrack._internal.orders.state import (
    RECORD_PREFIX,
    Order,
    OrderResult,
    decode_record,
    partition_of,
)
from chervilrack._internal.peering.envelope import Envelope

# Orders mostly wait for upstreams, whose limits are reached long before this number of orders.
ORDER_THREADS = 64
# Time that a caller waits beyond its deadline. The order executor answers at the deadline at the
# latest, or shortly after it if the answer of another node may have been lost.
ANSWER_GRACE = timedelta(seconds=2)
LOOK_UP_TIMEOUT = timedelta(seconds=3)
ORDER_PRIORITY_CLASS = "standard"


class _PendingAnswer:
    """Answer that the thread of one caller waits for."""

    __slots__ = ("answered", "result")

    def __init__(self) -> None:
        self.answered = threading.Event()
        self.result: OrderResult | None = None


class NodeOrderCoordinator:
    """Implements the gateway's ``OrderCoordinator``; carries out the order executor's effects."""

    def __init__(
        self,
        cores: NodeCores,
        order_executor: OrderExecutor,
        platform_worker: PlatformWorker,
        service_executor: Executor,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        self._cores = cores
        self._order_executor = order_executor
        self._platform_worker = platform_worker
        self._service_executor = service_executor
        self._telemetry = telemetry
        self._clock = clock
        self._pending_answers: dict[RequestId, _PendingAnswer] = {}
        self._pool = ThreadPoolExecutor(ORDER_THREADS, thread_name_prefix="order")
        for effect_type, handler in (
            (order_messages.WriteRecords, self._write_records),
            (order_messages.ReadPartition, self._read_partition),
            (order_messages.RunOrder, self._run_order),
            (order_messages.AnswerOrder, self._deliver_answer),
            (member_messages.PartitionsOwned, self._submit_to_membership),
            (member_messages.OutageTicketsWritten, self._submit_to_membership),
        ):
            cores.reactor.set_handler(effect_type, handler)
        cores.on_view(self._submit_to_executor)
        cores.on_epoch_active(self._submit_to_executor)
        for event_type in (
            member_messages.DoubtfulEpochsChanged,
            member_messages.OutageGrantChanged,
        ):
            cores.reactor.set_handler(event_type, self._submit_to_executor)
        for message_type in message_types("orders"):
            cores.route(message_type, self._receive)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._pool.shutdown(wait=False, cancel_futures=True)

    @property
    def in_progress(self) -> int:
        """Number of orders that this node executes and of callers that wait for an answer."""
        return self._order_executor.in_progress + len(self._pending_answers)

    def submit(self, request: ServiceRequest) -> Result[Mapping[str, Any], Problem]:
        """Run an order and return its outcome, or the stored outcome of its key."""
        assert request.idempotency_key is not None
        order = Order(
            organisation=request.organisation,
            key=request.idempotency_key,
            service=request.service,
            operation=request.operation,
            body=msgspec.json.encode(request.body),
            created=int(self._clock.now().timestamp()),
        )
        partition = partition_of(order.organisation, order.key)
        self._explain(request, f"order of partition {partition} for {request.service}")
        event = order_messages.OrderSubmitted(request.request_id, order, request.deadline)
        outcome = self._submit_and_wait(request.request_id, event, request.deadline)
        self._explain(request, _describe_outcome(outcome))
        return outcome

    def look_up(
        self, organisation: OrganisationId, key: IdempotencyKey
    ) -> Result[Mapping[str, Any], Problem]:
        """Return the stored outcome of an order of this organisation."""
        deadline = self._clock.monotonic() + LOOK_UP_TIMEOUT
        request_id = RequestId(f"look-up-{secrets.token_hex(8)}")
        event = order_messages.LookUpRequested(request_id, organisation, key, deadline)
        return self._submit_and_wait(request_id, event, deadline)

    def tick(self, wall_time: datetime) -> None:
        """Submit a tick to the order executor."""
        self._cores.submit(self._order_executor, order_messages.Tick(wall_time))

    def report_reachable(self, reachable: bool) -> None:
        """Submit to the order executor whether the platform was reached."""
        self._cores.submit(self._order_executor, member_messages.PlatformReachable(reachable))

    def _explain(self, request: ServiceRequest, event: str) -> None:
        self._telemetry.record_decision(request.request_id, request.organisation, event)

    def _submit_and_wait(
        self,
        request_id: RequestId,
        event: order_messages.OrderSubmitted | order_messages.LookUpRequested,
        deadline: timedelta,
    ) -> Result[Mapping[str, Any], Problem]:
        pending = self._pending_answers[request_id] = _PendingAnswer()
        try:
            self._cores.submit(self._order_executor, event)
            timeout = deadline + ANSWER_GRACE - self._clock.monotonic()
            pending.answered.wait(max(0.0, timeout.total_seconds()))
        finally:
            del self._pending_answers[request_id]
        if pending.result is None:
            detail = "the executor of the order has not answered; look the order up by its key"
            return Err(Problem(ResultCode.ORDER_OUTCOME_UNKNOWN, detail, Executed.UNKNOWN))
        problem = pending.result.problem()
        if problem is not None:
            return Err(problem)
        return Ok(msgspec.json.decode(pending.result.body))

    # Events

    def _receive(self, envelope: Envelope) -> None:
        message: Any = envelope.message
        event = order_messages.PeerMessage(envelope.sender, envelope.incarnation, message)
        self._cores.submit(self._order_executor, event)

    def _submit_to_executor(self, event: Any) -> None:
        self._cores.submit(self._order_executor, event)

    def _submit_to_membership(self, event: Any) -> None:
        self._cores.submit(self._cores.membership, event)

    # Effects

    def _deliver_answer(self, effect: order_messages.AnswerOrder) -> None:
        pending = self._pending_answers.get(effect.request)
        if pending is not None:
            pending.result = effect.result
            pending.answered.set()

    def _write_records(self, effect: order_messages.WriteRecords) -> None:
        txn = effect.txn
        outcomes = member_messages.WriteOutcome

        def submit_outcome(outcome: member_messages.WriteOutcome, revision: int = 0) -> None:
            event = order_messages.RecordsWritten(txn.number, outcome, revision)
            self._cores.submit(self._order_executor, event)

        def on_result(result: TxnResult) -> None:
            outcome = outcomes.APPLIED if result.succeeded else outcomes.CONFLICT
            submit_outcome(outcome, result.revision)

        def on_error(error: PlatformError) -> None:
            is_unknown = isinstance(error, PlatformOutcomeUnknown)
            submit_outcome(outcomes.UNKNOWN if is_unknown else outcomes.NOT_APPLIED)

        self._platform_worker.run(
            lambda service: service.txn(txn.compares, txn.puts, txn.deletes), on_result, on_error
        )

    def _read_partition(self, effect: order_messages.ReadPartition) -> None:
        prefix = f"{RECORD_PREFIX}{effect.partition}/"

        def read_records(service: PlatformService) -> RangeResult:
            return service.range(prefix)

        def on_result(listed: RangeResult) -> None:
            records = tuple(
                (item.key, decode_record(item.value), item.mod_revision) for item in listed.items
            )
            event = order_messages.RecordsRead(effect.partition, records, listed.revision)
            self._cores.submit(self._order_executor, event)

        self._platform_worker.run(read_records, on_result, lambda error: None)

    def _run_order(self, effect: order_messages.RunOrder) -> None:
        # The pool raises RuntimeError once it is shut down. The process is ending, and the order's
        # ticket stays open.
        with suppress(RuntimeError):
            self._pool.submit(self._execute_order, effect)

    def _execute_order(self, effect: order_messages.RunOrder) -> None:
        order = effect.order
        request = ServiceRequest(
            request_id=RequestId(effect.record_key),
            organisation=order.organisation,
            priority_class=ORDER_PRIORITY_CLASS,
            service=order.service,
            operation=order.operation,
            body=msgspec.json.decode(order.body),
            deadline=effect.deadline,
            idempotency_key=order.key,
        )
        result, maybe_executed = _to_order_result(self._service_executor.run_service(request))
        event = order_messages.OrderRunFinished(effect.record_key, result, maybe_executed)
        self._cores.submit(self._order_executor, event)


def _describe_outcome(outcome: Result[Mapping[str, Any], Problem]) -> str:
    if isinstance(outcome, Ok):
        return "answered with the order's outcome"
    problem = outcome.err_value
    return f"{problem.code.number}, executed {problem.executed.value}: {problem.detail}"


def _to_order_result(outcome: Result[Mapping[str, Any], Problem]) -> tuple[OrderResult, bool]:
    """Return the result to be stored, and whether the order may have been executed."""
    if isinstance(outcome, Ok):
        return OrderResult(body=msgspec.json.encode(outcome.ok_value)), True
    problem = outcome.err_value
    result = OrderResult(
        problem.code.name, problem.detail, problem.executed.value, problem.code.http_status
    )
    return result, problem.executed is not Executed.NO
