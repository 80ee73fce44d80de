"""Emulated encoder, retriever, reranker and plain service."""

from abc import abstractmethod
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
import xxhash

from chervilrack._internal.standins.upstreams.record import CallIds
from chervilrack._internal.standins.upstreams.server import Exchange
from chervilrack._internal.standins.upstreams.upstream import EmulatedUpstream, variation


class _TimedUpstream(EmulatedUpstream):
    """Upstream with one service time per request.

    ``service_time`` is in seconds for one request at a time; ``slowdown`` is the share by which
    each further concurrent request lengthens it, ``spread`` its fixed variation by request.
    """

    def __init__(
        self,
        name: str,
        *,
        service_time: float = 0.02,
        slowdown: float = 0.05,
        spread: float = 0.2,
        **options: Any,
    ) -> None:
        super().__init__(name, **options)
        self._service_time = service_time
        self._slowdown = slowdown
        self._spread = spread

    def _work(self, exchange: Exchange, ids: CallIds, body: Mapping[str, Any]) -> None:
        self._record.executed(ids)
        crowd = 1.0 + self._slowdown * max(0, self._record.running - 1)
        self._spend(exchange, self._service_time * crowd * variation(ids.request, self._spread))
        self._answer(exchange, ids, {"receipt": ids.receipt, **self._result(exchange, body)})

    @abstractmethod
    def _result(self, exchange: Exchange, body: Mapping[str, Any]) -> dict[str, Any]:
        """Return what this kind of upstream answers to a body."""


class Encoder(_TimedUpstream):
    """Answers ``POST /encode`` with a vector derived from the input."""

    work_paths = ("/encode",)

    def _result(self, exchange: Exchange, body: Mapping[str, Any]) -> dict[str, Any]:
        digest = xxhash.xxh3_128_digest(msgspec.json.encode(body.get("input"), order="sorted"))
        return {"vector": [byte / 255 for byte in digest]}


class Retriever(_TimedUpstream):
    """Answers ``POST /retrieve`` with ids of documents derived from the previous answer."""

    work_paths = ("/retrieve",)

    def _result(self, exchange: Exchange, body: Mapping[str, Any]) -> dict[str, Any]:
        previous = body.get("previous") or body.get("input")
        vector = previous.get("vector") if isinstance(previous, dict) else previous
        return {"documents": self.documents(vector)}

    @staticmethod
    def documents(vector: Any) -> list[str]:
        """Return the documents that are retrieved for a vector."""
        seed = xxhash.xxh3_64_intdigest(msgspec.json.encode(vector, order="sorted"))
        return [f"doc-{(seed + 7919 * rank) % 100_000}" for rank in range(8)]


class Reranker(_TimedUpstream):
    """Answers ``POST /rerank`` with the previous answer's documents in order of a score."""

    work_paths = ("/rerank",)

    def _result(self, exchange: Exchange, body: Mapping[str, Any]) -> dict[str, Any]:
        previous = body.get("previous")
        documents = previous.get("documents", []) if isinstance(previous, dict) else []
        return {"documents": self.ranked(documents)}

    @staticmethod
    def ranked(documents: Iterable[Any]) -> list[Any]:
        """Return documents in order of their score."""
        return sorted(
            documents, key=lambda document: xxhash.xxh3_64_intdigest(str(document).encode())
        )


class PlainService(_TimedUpstream):
    """Answers ``POST /operations/{operation}``.

    ``effects`` counts the executions of each operation, which shows repeated ones that may not be.
    """

    work_paths = ("/operations/",)

    def __init__(self, name: str, operations: Mapping[str, bool] | None = None, **options: Any):
        super().__init__(name, **options)
        self._operations = dict(operations or {})

    def repeated(self) -> dict[tuple[str, str], int]:
        """Return the executions by request id and idempotency key that ran more than once."""
        return {ids: count for ids, count in self._record.executions.items() if count > 1}

    def _accepts(self, exchange: Exchange, body: Mapping[str, Any]) -> bool:
        operation = exchange.path.rsplit("/", 1)[1]
        return not self._operations or operation in self._operations

    def _result(self, exchange: Exchange, body: Mapping[str, Any]) -> dict[str, Any]:
        operation = exchange.path.rsplit("/", 1)[1]
        return {"operation": operation, "echo": dict(body)}
