"""Watch of the private memory of node processes, and the promise on it."""

import contextlib
import threading
from collections.abc import Collection, Iterator
from types import TracebackType
from typing import Self

import psutil

from chervilrack._internal.soak.processes import NodeProcess
from chervilrack._internal.soak.promises import promises
from chervilrack._internal.soak.records import Evidence, MemoryExcess, Violation

# Bodies that are held too long accumulate over seconds; a peak of a single body lasts some 50 ms.
SAMPLE_INTERVAL_S = 0.02


class MemoryWatch:
    """Thread that records nodes with more private memory than allowed; a context manager.

    Private memory is that which no file backs, as the platform counts it. Of each process, the
    first excess is added to ``excesses``.
    """

    def __init__(
        self, nodes: Collection[NodeProcess], limit_bytes: int, excesses: list[MemoryExcess]
    ) -> None:
        self._nodes = nodes
        self._limit_bytes = limit_bytes
        self._excesses = excesses
        self._exceeded: set[int] = set()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="memory watch", daemon=True)

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
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(SAMPLE_INTERVAL_S):
            for node in self._nodes:
                # A process may end at any moment.
                with contextlib.suppress(psutil.Error, ValueError):
                    self._sample(node.name, node.process_id)

    def _sample(self, name: str, process_id: int) -> None:
        memory = psutil.Process(process_id).memory_info()
        used_bytes = memory.rss - memory.shared
        if used_bytes > self._limit_bytes and process_id not in self._exceeded:
            self._exceeded.add(process_id)
            self._excesses.append(MemoryExcess(name, used_bytes, self._limit_bytes))


@promises.register("memory")
def memory(evidence: Evidence) -> Iterator[Violation]:
    """Check that no node had more private memory than the platform allows."""
    for excess in evidence.excesses:
        detail = f"{excess.used_bytes / 1e6:.0f} MB, {excess.limit_bytes / 1e6:.0f} MB allowed"
        yield Violation("memory", excess.node, detail)
