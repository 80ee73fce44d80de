"""Connects callers' order requests with the order executor."""

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

# Orders wait mostly for their upstreams; the upstreams' limits bound them long before this does.
ORDER_THREADS = 64
# The executor answers at the deadline at the latest, or when its answer may have been lost.
ANSWER_GRACE = timedelta(seconds=2)
LOOK_UP_TIME = timedelta(seconds=3)
DEFAULT_CLASS = "standard"


class _Waiting:
    """One caller's thread that waits for an answer."""

    __slots__ = ("answered", "result")

    def __init__(self) -> None:
        self.answered = threading.Event()
        self.result: OrderResult | None = None


class NodeOrderCoordinator:
    """Implements the gateway's ``OrderDesk`` and carries out the executor's effects."""

    def __init__(
        self,
        cores: NodeCores,
        core: OrderExecutor,
        worker: PlatformWorker,
        upstreams: Executor,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        self._cores = cores
        self._core = core
        self._worker = worker
        self._upstreams = upstreams
        self._telemetry = telemetry
        self._clock = clock
        self._waiting: dict[RequestId, _Waiting] = {}
        self._pool = ThreadPoolExecutor(ORDER_THREADS, thread_name_prefix="order")
        for effect, handler in (
            (order_messages.WriteRecords, self._write),
            (order_messages.ReadPartition, self._read),
            (order_messages.RunOrder, self._run),
            (order_messages.AnswerOrder, self._answer),
            (member_messages.PartitionsOwned, self._tell_membership),
            (member_messages.OutageTicketsWritten, self._tell_membership),
        ):
            cores.reactor.on(effect, handler)
        cores.on_view(self._tell_core)
        cores.on_epoch_active(self._tell_core)
        for kind in (member_messages.DoubtfulEpochsChanged, member_messages.OutageGrantChanged):
            cores.reactor.on(kind, self._tell_core)
        for message in message_types("orders"):
            cores.route(message, self._receive)

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
        """Orders that this node executes or waits for."""
        return self._core.in_progress + len(self._waiting)

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
        outcome = self._await(request.request_id, event, request.deadline)
        self._explain(request, _describe(outcome))
        return outcome

    def look_up(
        self, organisation: OrganisationId, key: IdempotencyKey
    ) -> Result[Mapping[str, Any], Problem]:
        """Return the stored outcome of an order of this organisation."""
        deadline = self._clock.monotonic() + LOOK_UP_TIME
        request = RequestId(f"look-up-{secrets.token_hex(8)}")
        event = order_messages.LookUpRequested(request, organisation, key, deadline)
        return self._await(request, event, deadline)

    def tick(self, wall: datetime) -> None:
        """Let time pass."""
        self._cores.submit(self._core, order_messages.Tick(wall))

    def platform_reachable(self, reachable: bool) -> None:
        """Tell the executor whether the platform was reached."""
        self._cores.submit(self._core, member_messages.PlatformReachable(reachable))

    def _explain(self, request: ServiceRequest, event: str) -> None:
        self._telemetry.decided(request.request_id, request.organisation, event)

    def _await(
        self,
        request: RequestId,
        event: order_messages.OrderSubmitted | order_messages.LookUpRequested,
        deadline: timedelta,
    ) -> Result[Mapping[str, Any], Problem]:
        waiting = self._waiting[request] = _Waiting()
        try:
            self._cores.submit(self._core, event)
            left = deadline + ANSWER_GRACE - self._clock.monotonic()
            waiting.answered.wait(max(0.0, left.total_seconds()))
        finally:
            del self._waiting[request]
        if waiting.result is None:
            detail = "the executor of the order has not answered; look the order up by its key"
            return Err(Problem(ResultCode.ORDER_OUTCOME_UNKNOWN, detail, Executed.UNKNOWN))
        problem = waiting.result.problem()
        if problem is not None:
            return Err(problem)
        return Ok(msgspec.json.decode(waiting.result.body))

    # Events

    def _receive(self, envelope: Envelope) -> None:
        message: Any = envelope.message
        event = order_messages.PeerMessage(envelope.sender, envelope.incarnation, message)
        self._cores.submit(self._core, event)

    def _tell_core(self, event: Any) -> None:
        self._cores.submit(self._core, event)

    def _tell_membership(self, event: Any) -> None:
        self._cores.submit(self._cores.membership, event)

    # Effects

    def _answer(self, effect: order_messages.AnswerOrder) -> None:
        waiting = self._waiting.get(effect.request)
        if waiting is not None:
            waiting.result = effect.result
            waiting.answered.set()

    def _write(self, effect: order_messages.WriteRecords) -> None:
        txn = effect.txn
        outcomes = member_messages.WriteOutcome

        def finish(outcome: member_messages.WriteOutcome, revision: int = 0) -> None:
            written = order_messages.RecordsWritten(txn.number, outcome, revision)
            self._cores.submit(self._core, written)

        def done(result: TxnResult) -> None:
            state = outcomes.APPLIED if result.succeeded else outcomes.CONFLICT
            finish(state, result.revision)

        def failed(error: PlatformError) -> None:
            unknown = isinstance(error, PlatformOutcomeUnknown)
            finish(outcomes.UNKNOWN if unknown else outcomes.NOT_APPLIED)

        self._worker.run(
            lambda service: service.txn(txn.compares, txn.puts, txn.deletes), done, failed
        )

    def _read(self, effect: order_messages.ReadPartition) -> None:
        prefix = f"{RECORD_PREFIX}{effect.partition}/"

        def read(service: PlatformService) -> RangeResult:
            return service.range(prefix)

        def done(found: RangeResult) -> None:
            records = tuple(
                (item.key, decode_record(item.value), item.mod_revision) for item in found.items
            )
            event = order_messages.RecordsRead(effect.partition, records, found.revision)
            self._cores.submit(self._core, event)

        self._worker.run(read, done, lambda error: None)

    def _run(self, effect: order_messages.RunOrder) -> None:
        # A pool that is shut down runs nothing more: the process ends and its tickets stay open.
        with suppress(RuntimeError):
            self._pool.submit(self._run_upstream, effect)

    def _run_upstream(self, effect: order_messages.RunOrder) -> None:
        order = effect.order
        request = ServiceRequest(
            request_id=RequestId(effect.record_key),
            organisation=order.organisation,
            priority_class=DEFAULT_CLASS,
            service=order.service,
            operation=order.operation,
            body=msgspec.json.decode(order.body),
            deadline=effect.deadline,
            idempotency_key=order.key,
        )
        result, sent = _as_result(self._upstreams.run_service(request))
        finished = order_messages.OrderRunFinished(effect.record_key, result, sent)
        self._cores.submit(self._core, finished)


def _describe(outcome: Result[Mapping[str, Any], Problem]) -> str:
    if isinstance(outcome, Ok):
        return "answered with the order's outcome"
    problem = outcome.err_value
    return f"{problem.code.number}, executed {problem.executed.value}: {problem.detail}"


def _as_result(outcome: Result[Mapping[str, Any], Problem]) -> tuple[OrderResult, bool]:
    """Return the result to be stored, and whether the order may have been executed."""
    if isinstance(outcome, Ok):
        return OrderResult(body=msgspec.json.encode(outcome.ok_value)), True
    problem = outcome.err_value
    result = OrderResult(
        problem.code.name, problem.detail, problem.executed.value, problem.code.http_status
    )
    return result, problem.executed is not Executed.NO
