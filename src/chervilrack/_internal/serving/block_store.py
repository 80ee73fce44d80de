"""Thread that keeps the records of blocked traits in the platform's store up to date."""

import logging
import threading
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType
from typing import Self

from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.common.positions import StorePosition
from chervilrack._internal.common.supervision import SupervisedThread
from chervilrack._internal.exceptions import PlatformError
from chervilrack._internal.kvstore.eras import EraStore
from chervilrack._internal.kvstore.port import Compare, Put, TxnResult
from chervilrack._internal.quarantine.archive import BlockArchive, RecordWrite
from chervilrack._internal.quarantine.records import RecordState
from chervilrack._internal.serving.state import ServingState

logger = logging.getLogger(__name__)

# A record ends by itself after this time; nodes that still refuse requests write it again. The
# first one is the longest lease of the platform.
RECORD_TTL = {
    RecordState.BLOCKED: timedelta(minutes=10),
    RecordState.CLEARED: timedelta(minutes=1),
}
# Least time between two rounds of writes.
WRITE_INTERVAL_S = 0.1


class BlockStore:
    """Writes the records that are due; use as a context manager.

    ``nodes`` returns the nodes that may write, this one included; it is called with the node's
    lock. ``wake`` is called when a record may be outdated.
    """

    def __init__(
        self,
        store: EraStore,
        prefix: str,
        archive: BlockArchive,
        state: ServingState,
        nodes: Callable[[], list[NodeId]],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._archive = archive
        self._state = state
        self._nodes = nodes
        self._stopping = threading.Event()
        self._wanted = threading.Event()
        self._thread = SupervisedThread("block-store", self._run, self._stopping)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping.set()
        self._wanted.set()

    def wake(self) -> None:
        """Look for records to write soon."""
        self._wanted.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wanted.clear()
            with self._state.lock:
                now = self._state.clock.monotonic()
                suspects = self._state.crash_watch.quarantine.suspects
                writes, next_time = self._archive.due_writes(suspects, self._nodes(), now)
            for write in writes:
                self._write(write)
            if writes:
                self._stopping.wait(WRITE_INTERVAL_S)
            else:
                left = None if next_time is None else (next_time - now).total_seconds()
                self._wanted.wait(left)

    def _write(self, write: RecordWrite) -> None:
        """Write a record unless another node has changed it meanwhile; failures are retried.

        What the record is based on has to be of the store's era. If the store has come back from a
        copy meanwhile, the record is decided on again after its contents were read.
        """
        record = write.record
        result = self._call(write) if write.era == self._store.eras.current else None
        with self._state.lock:
            archive = self._archive
            if result is not None and result.succeeded and result.era == archive.era == write.era:
                archive.observe(record.name, record, result.revision)
                self._state.log.note(
                    "quarantine",
                    "recorded",
                    trait=record.trait,
                    service=record.service,
                    state=record.state.value,
                    **StorePosition(result.era, result.revision).fields,
                )
                if archive.is_rewrite(record.name):
                    self._state.metrics.written_again("block")
            else:
                archive.postpone(record.name, self._state.clock.monotonic())

    def _call(self, write: RecordWrite) -> TxnResult | None:
        record = write.record
        key = f"{self._prefix}{record.name}"
        try:
            lease = self._store.lease_grant(RECORD_TTL[record.state])
            compares = (Compare(key, write.revision),)
            return self._store.txn(compares, (Put(key, write.value, lease),))
        except PlatformError as error:
            logger.info("quarantine: the record of %s was not written: %s", record.trait, error)
            return None
