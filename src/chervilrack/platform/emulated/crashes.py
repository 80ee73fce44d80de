"""Registrations of emulated upstreams that crash: they lapse, and the upstream starts again."""

import contextlib
import itertools
import threading
from types import TracebackType
from typing import Self

from chervilrack.platform.configuration import UPSTREAM_PREFIX
from chervilrack.platform.emulated.standins import StoreStandIn, UpstreamStandIn

# Times after a crash at which the entry lapses and the upstream is back, in seconds.
LAPSE_S = 0.6
RETURN_S = 2.0


class CrashCycle:
    """Removes the entries of crashed upstreams and starts them again; a context manager.

    If ``renames``, each start has an id of its own. On exit, no upstream is started any more.
    """

    def __init__(
        self,
        store: StoreStandIn,
        lapse_s: float = LAPSE_S,
        return_s: float = RETURN_S,
        *,
        renames: bool = True,
    ) -> None:
        self._store = store
        self._lapse_s = lapse_s
        self._return_s = return_s
        self._renames = renames
        self._numbers = itertools.count(1)
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def watch(self, upstream: UpstreamStandIn, address: str | None = None) -> None:
        """Follow the crashes of an upstream that is registered at ``address``, if not its own."""

        def begin() -> None:
            thread = threading.Thread(target=self._cycle, args=(upstream, address), daemon=True)
            self._threads.append(thread)
            thread.start()

        upstream.on_crash = begin

    def _cycle(self, upstream: UpstreamStandIn, address: str | None) -> None:
        if self._stopping.wait(self._lapse_s):
            return
        with contextlib.suppress(KeyError):  # removed by the operator of a test
            self._store.remove(f"{UPSTREAM_PREFIX}{upstream.id}")
        if self._stopping.wait(self._return_s - self._lapse_s):
            return
        id = upstream.id
        if self._renames:
            id = f"{id.partition('+')[0]}+{next(self._numbers)}"
        upstream.start_again(id)
        self._store.put(f"{UPSTREAM_PREFIX}{upstream.id}", upstream.entry(address=address))
