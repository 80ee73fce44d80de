"""Calls to the platform's service, outside the lock of the cores."""

import logging
import random
import threading
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from types import TracebackType
from typing import Self, TypeVar

from chervilrack._internal.exceptions import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    WatchCompacted,
)
from chervilrack._internal.kvstore.port import Change, PlatformService, WatchBatch

logger = logging.getLogger(__name__)

T = TypeVar("T")
# Few threads bound the calls that a node keeps open while the platform is slow.
WORKERS = 4
# After an outage all nodes open their watches again; the jitter spreads them over this time.
REOPEN_JITTER_S = 1.0
VM_LIST_INTERVAL_S = 5.0

ListNow = Callable[[PlatformService], int]
Changes = Callable[[Sequence[Change]], None]


class PlatformWorker:
    """Runs platform calls on few threads and reports whether the platform can be reached."""

    def __init__(
        self,
        service: PlatformService,
        reachable: Callable[[bool], None],
        rng: random.Random,
    ) -> None:
        self._service = service
        self._reachable = reachable
        self._rng = rng
        self._pool = ThreadPoolExecutor(WORKERS, thread_name_prefix="platform")
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    @property
    def service(self) -> PlatformService:
        """Client of the platform's service."""
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
            thread.join(timeout=3)

    def run(
        self,
        call: Callable[[PlatformService], T],
        done: Callable[[T], None],
        failed: Callable[[PlatformError], None],
    ) -> None:
        """Make a call on a worker thread and pass on its result or error."""

        def work() -> None:
            try:
                value = self.call(call)
            except PlatformError as error:
                failed(error)
            else:
                done(value)

        # During the stop the pool takes no more work; the node needs no answer then.
        with suppress(RuntimeError):
            self._pool.submit(_logged(work))

    def call(self, call: Callable[[PlatformService], T]) -> T:
        """Make a call in this thread; report whether the platform was reached."""
        try:
            value = call(self._service)
        except (PlatformUnavailable, PlatformOutcomeUnknown):
            self._reachable(False)
            raise
        self._reachable(True)
        return value

    def follow(
        self, prefix: str, list_now: ListNow, changed: Changes, wanted: Callable[[], bool]
    ) -> None:
        """Keep a watch open while ``wanted`` holds; pass on its changes.

        ``list_now`` reads the present state and returns the revision to watch from. It is called
        again after each gap, so that no change is missed; a change may be seen twice.
        """
        thread = threading.Thread(
            target=self._follow,
            args=(prefix, list_now, changed, wanted),
            name=f"watch-{prefix}",
            daemon=True,
        )
        self._threads.append(thread)
        thread.start()

    def poll_vms(
        self, learned: Callable[[frozenset[str]], None], wanted: Callable[[], bool]
    ) -> None:
        """Read the list of VMs from time to time while ``wanted``; pass on those that are gone."""

        def poll() -> None:
            while not self._pause(VM_LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2)):
                if not wanted():
                    continue
                with suppress(PlatformError):
                    learned(self.call(lambda service: service.list_vms()).gone)

        thread = threading.Thread(target=_logged(poll), name="vm-list", daemon=True)
        self._threads.append(thread)
        thread.start()

    def _follow(
        self, prefix: str, list_now: ListNow, changed: Changes, wanted: Callable[[], bool]
    ) -> None:
        while not self._pause(self._rng.uniform(0.05, 0.2)):
            if not wanted():
                continue
            try:
                revision = self.call(list_now)
                with self._service.watch(prefix, revision) as batches:
                    self._pass_on(batches, changed, wanted)
            except WatchCompacted:
                logger.info("platform: watch of %s was compacted, listing again", prefix)
            except PlatformError as error:
                self._reachable(False)
                logger.info("platform: watch of %s ended: %s", prefix, error)
                self._pause(self._rng.uniform(0, REOPEN_JITTER_S))
            except Exception:
                logger.exception("platform: watch of %s failed", prefix)
                self._pause(REOPEN_JITTER_S)

    def _pass_on(
        self,
        batches: Iterator[WatchBatch | None],
        changed: Changes,
        wanted: Callable[[], bool],
    ) -> None:
        for batch in batches:
            if self._stopping.is_set() or not wanted():
                return
            if batch is None:
                continue
            self._reachable(True)
            changed(batch.changes)

    def _pause(self, seconds: float) -> bool:
        """Wait; return True if the node is stopping."""
        return self._stopping.wait(seconds)


def _logged(work: Callable[[], None]) -> Callable[[], None]:
    def run() -> None:
        try:
            work()
        except Exception:
            logger.exception("platform: a call's continuation failed")

    return run
