"""HTTP calls to stage upstreams, made by a bounded pool of threads."""

import functools
import logging
import time
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from http import HTTPStatus
from types import TracebackType
from typing import Protocol, Self

from chervilrack._internal.batching.state import FreeResults, StartCall
from chervilrack._internal.catalogue.state import UpstreamIncarnation
from chervilrack._internal.common.byte_budget import ByteBudget
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import RequestId, UpstreamId
from chervilrack._internal.forwarding.dialect import (
    Dialect,
    MalformedMessage,
    PieceCall,
    PieceFailure,
    ResponseMetadata,
)
from chervilrack._internal.upstreams.exchange import Exchange, ExchangeFailed

logger = logging.getLogger(__name__)

# An upstream runs one call at a time, and the queues of a node rarely have more than 30 upstreams.
MAX_CONCURRENT_CALLS = 48
FREE_TIMEOUT_S = 0.5


class CallFailed(Exception):
    """A stage call returned no results.

    ``upstream_absent`` means that the upstream is certainly not at its address: no connection
    could be made or another upstream answered. ``not_executed`` means that the call did not run.
    ``silent`` means that the upstream has only said nothing in time, ``broke_off`` that it has
    ended the connection before the end of its answer.
    """

    def __init__(
        self,
        detail: str,
        *,
        upstream_absent: bool,
        not_executed: bool,
        silent: bool = False,
        broke_off: bool = False,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.upstream_absent = upstream_absent
        self.not_executed = not_executed
        self.silent = silent
        self.broke_off = broke_off


class StageCallObserver(Protocol):
    """Decides whether a call may still be sent, and reads the answers; thread-safe."""

    def may_send(self, upstream: UpstreamIncarnation) -> bool:
        """Whether an upstream may get anything new."""

    def answer_received(
        self,
        upstream: UpstreamIncarnation,
        metadata: ResponseMetadata,
        requests: Collection[RequestId] | None = None,
    ) -> None:
        """Record what an upstream says of itself in an answer, if it belongs to ``requests``."""


class StageCaller:
    """Makes stage calls and frees results at upstreams; use as a context manager."""

    def __init__(
        self,
        dialect: Dialect,
        observer: StageCallObserver,
        clock: Clock,
        memory: ByteBudget | None = None,
    ) -> None:
        self._memory = memory
        self._dialect = dialect
        self._observer = observer
        self._clock = clock
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_CALLS, thread_name_prefix="stage")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._pool.shutdown(wait=False, cancel_futures=True)

    def start(
        self,
        call: StartCall,
        on_sent: Callable[[StartCall], None],
        on_ended: Callable[[StartCall, Sequence[str | PieceFailure] | CallFailed], None],
    ) -> None:
        """Make a call in a thread of the pool.

        ``on_sent`` is called when the whole request has been written, and ``on_ended`` with the
        results or the failure of the call.
        """
        self._pool.submit(self._run, call, on_sent, on_ended)

    def free(
        self,
        effect: FreeResults,
        upstream: UpstreamIncarnation | None = None,
        on_ended: Callable[[FreeResults, bool], None] = lambda *_: None,
        may_free: Callable[[], bool] = lambda: True,
    ) -> None:
        """Free results in a thread of the pool; ``on_ended`` is called with whether it succeeded.

        ``upstream`` is the one known at the address, None if that is not certain. Results that
        were not freed take up space at the upstream until they expire. Nothing is sent, and
        ``on_ended`` is not called, if ``may_free`` returns False once a connection has been made.
        """
        self._pool.submit(self._free, effect, upstream, on_ended, may_free)

    def _run(
        self,
        call: StartCall,
        on_sent: Callable[[StartCall], None],
        on_ended: Callable[[StartCall, Sequence[str | PieceFailure] | CallFailed], None],
    ) -> None:
        outcome: Sequence[str | PieceFailure] | CallFailed
        try:
            outcome = self._call(call, functools.partial(on_sent, call))
        except CallFailed as failure:
            outcome = failure
        except Exception:
            logger.exception("batching: unexpected error in a stage call")
            outcome = CallFailed("internal error", upstream_absent=False, not_executed=False)
        on_ended(call, outcome)

    def _call(self, call: StartCall, on_sent: Callable[[], None]) -> Sequence[str | PieceFailure]:
        # The call may have waited for a thread, and the upstream may have answered others since.
        self._check_bar(call)
        now = self._clock.monotonic()
        body = self._dialect.encode_pieces(
            [
                PieceCall(
                    request_id=piece.order.request_id,
                    stage=piece.order.stage,
                    segment=piece.segment,
                    remaining=piece.order.deadline - now,
                    key=piece.order.key,
                    inputs=piece.order.inputs,
                )
                for piece in call.pieces
            ]
        )
        requests = {piece.order.request_id for piece in call.pieces}
        with Exchange(call.address, self._memory) as exchange:
            try:
                exchange.connect(call.timeout.total_seconds())
                self._check_bar(call)
                status, facts, content = self._post(
                    exchange,
                    self._dialect.stage_path,
                    body,
                    call.upstream,
                    call.timeout,
                    on_sent,
                    lambda facts: self._observer.answer_received(call.incarnation, facts, requests),
                )
            except ExchangeFailed as error:
                raise CallFailed(
                    error.detail,
                    upstream_absent=error.unreachable,
                    not_executed=not error.sent,
                    silent=error.silent,
                    broke_off=error.broke_off,
                ) from None
        if status != HTTPStatus.OK:
            raise CallFailed(
                f"status {status}",
                upstream_absent=facts.misdirected,
                not_executed=facts.not_executed,
            )
        try:
            return self._dialect.decode_pieces(content, len(call.pieces))
        except MalformedMessage as error:
            raise CallFailed(str(error), upstream_absent=False, not_executed=False) from None

    def _check_bar(self, call: StartCall) -> None:
        """Raise CallFailed if the upstream of a call that is not sent yet may get nothing new."""
        if not self._observer.may_send(call.incarnation):
            detail = "not sent: the upstream leaves, wants a pause or is evacuated"
            raise CallFailed(detail, upstream_absent=False, not_executed=True)

    def _post(
        self,
        exchange: Exchange,
        path: str,
        body: bytes,
        target: UpstreamId | None,
        timeout: timedelta,
        on_sent: Callable[[], None] = lambda: None,
        on_head: Callable[[ResponseMetadata], None] = lambda _: None,
    ) -> tuple[int, ResponseMetadata, bytes]:
        headers = [("Host", "stage")]
        if target is not None:
            headers += self._dialect.stage_headers(target)
        seconds = timeout.total_seconds()
        deadline = time.monotonic() + seconds
        exchange.send("POST", path, headers, body, seconds)
        on_sent()
        response = exchange.read_head(
            seconds, lambda status, fields: on_head(self._dialect.read_response(status, fields))
        )
        facts = self._dialect.read_response(response.status, response.headers)
        on_head(facts)
        return response.status, facts, bytes(exchange.read_body(deadline))

    def _free(
        self,
        effect: FreeResults,
        upstream: UpstreamIncarnation | None,
        on_ended: Callable[[FreeResults, bool], None],
        may_free: Callable[[], bool],
    ) -> None:
        body = self._dialect.encode_release(effect.handles)

        def read_statement(facts: ResponseMetadata) -> None:
            if upstream is not None:
                self._observer.answer_received(upstream, facts, ())

        try:
            with Exchange(effect.address, self._memory) as exchange:
                exchange.connect(FREE_TIMEOUT_S)
                if not may_free():
                    return
                status, _, _ = self._post(
                    exchange,
                    self._dialect.release_path,
                    body,
                    None,
                    timedelta(seconds=FREE_TIMEOUT_S),
                    on_head=read_statement,
                )
        except ExchangeFailed as error:
            # The upstream drops the results at the end of their lifetime.
            logger.info("batching: results at %s were not freed: %s", effect.address, error)
            on_ended(effect, False)
            return
        if status != HTTPStatus.OK:
            logger.info("batching: results at %s were not freed: %d", effect.address, status)
        on_ended(effect, status == HTTPStatus.OK)
