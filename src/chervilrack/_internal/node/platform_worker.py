"""Calls to the platform service, made outside the lock of the cores."""

import functools
import logging
import random
import threading
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from types import TracebackType
from typing import Self, TypeVar

from chervilrack._internal.common.supervision import SupervisedThread
from chervilrack._internal.exceptions import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    WatchCompacted,
)
from chervilrack._internal.kvstore.port import Change, PlatformService, WatchBatch

logger = logging.getLogger(__name__)

T = TypeVar("T")
# Bounds the calls that a node has open while the platform is slow.
WORKER_THREADS = 4
# All nodes reopen their watches after an outage; the jitter spreads the requests over this time.
REOPEN_JITTER_S = 1.0
VM_LIST_INTERVAL_S = 5.0

# Reads the current state and returns the revision from which to watch it.
ListCurrent = Callable[[PlatformService], int]
ChangeHandler = Callable[[Sequence[Change]], None]


class PlatformWorker:
    """Makes platform calls on a small thread pool and reports whether the platform is reachable."""

    def __init__(
        self,
        service: PlatformService,
        report_reachable: Callable[[bool], None],
        rng: random.Random,
    ) -> None:
        self._service = service
        self._report_reachable = report_reachable
        self._rng = rng
        self._pool = ThreadPoolExecutor(WORKER_THREADS, thread_name_prefix="platform")
        self._stopping = threading.Event()
        self._threads: list[SupervisedThread] = []

    @property
    def service(self) -> PlatformService:
        """Client of the platform service."""
        return self._service

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)
        for thread in self._threads:
            thread.join(3)

    def run(
        self,
        call: Callable[[PlatformService], T],
        on_result: Callable[[T], None],
        on_error: Callable[[PlatformError], None],
    ) -> None:
        """Make a call on a worker thread and pass its result or error to a callback."""

        def make_call() -> None:
            try:
                value = self.call(call)
            except PlatformError as error:
                on_error(error)
            else:
                on_result(value)

        # The pool raises RuntimeError once it is shut down; a stopping node needs no answer.
        with suppress(RuntimeError):
            self._pool.submit(_log_exceptions(make_call))

    def call(self, call: Callable[[PlatformService], T]) -> T:
        """Make a call on the calling thread; report whether the platform was reached."""
        try:
            value = call(self._service)
        except (PlatformUnavailable, PlatformOutcomeUnknown):
            self._report_reachable(False)
            raise
        self._report_reachable(True)
        return value

    def maintain_watch(
        self,
        prefix: str,
        list_current: ListCurrent,
        on_changes: ChangeHandler,
        is_needed: Callable[[], bool],
    ) -> None:
        """Keep a watch of ``prefix`` open while ``is_needed`` returns True.

        ``list_current`` is called each time before the watch is opened, so that no change is
        missed. ``on_changes`` may get a change twice.
        """
        thread = SupervisedThread(
            f"watch-{prefix}",
            functools.partial(self._run_watch, prefix, list_current, on_changes, is_needed),
            self._stopping,
        )
        self._threads.append(thread)
        thread.start()

    def poll_vms(
        self, on_vms_gone: Callable[[frozenset[str]], None], is_needed: Callable[[], bool]
    ) -> None:
        """Read the VM list periodically while ``is_needed`` returns True.

        ``on_vms_gone`` is called with the VMs of the list that are gone.
        """

        def poll() -> None:
            while not self._pause(VM_LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2)):
                if not is_needed():
                    continue
                with suppress(PlatformError):
                    on_vms_gone(self.call(lambda service: service.list_vms()).gone)

        thread = SupervisedThread("vm-list", poll, self._stopping)
        self._threads.append(thread)
        thread.start()

    def _run_watch(
        self,
        prefix: str,
        list_current: ListCurrent,
        on_changes: ChangeHandler,
        is_needed: Callable[[], bool],
    ) -> None:
        while not self._pause(self._rng.uniform(0.05, 0.2)):
            if not is_needed():
                continue
            try:
                revision = self.call(list_current)
                with self._service.watch(prefix, revision) as batches:
                    self._deliver_changes(batches, on_changes, is_needed)
            except WatchCompacted:
                logger.info("platform: watch of %s was compacted, listing the keys again", prefix)
            except PlatformError as error:
                self._report_reachable(False)
                logger.info("platform: watch of %s ended: %s", prefix, error)
                self._pause(self._rng.uniform(0, REOPEN_JITTER_S))

    def _deliver_changes(
        self,
        batches: Iterator[WatchBatch | None],
        on_changes: ChangeHandler,
        is_needed: Callable[[], bool],
    ) -> None:
        for batch in batches:
            if self._stopping.is_set() or not is_needed():
                return
            if batch is None:
                continue
            self._report_reachable(True)
            on_changes(batch.changes)

    def _pause(self, seconds: float) -> bool:
        """Wait for ``seconds`` or until the node stops; return True if it stops."""
        return self._stopping.wait(seconds)


def _log_exceptions(task: Callable[[], None]) -> Callable[[], None]:
    def run() -> None:
        try:
            task()
        except Exception:
            logger.exception("platform: background task failed")

    return run
