"""Emulated weight store with a limit on requests and bytes per second."""

import threading
import time
from collections import deque
from typing import Any

from chervilrack._internal.standins.upstreams.record import CallIds
from chervilrack._internal.standins.upstreams.server import Exchange
from chervilrack._internal.standins.upstreams.upstream import EmulatedUpstream


class WeightStore(EmulatedUpstream):
    """Answers ``GET /weights/{model}/{version}`` after the transfer time, or with status 429.

    ``requests_per_s`` is the limit on a sliding second; ``transfer_time`` is the time in seconds
    that one download takes.
    """

    work_paths = ("/weights/",)

    def __init__(
        self,
        name: str,
        *,
        requests_per_s: int = 2,
        transfer_time: float = 0.1,
        **options: Any,
    ) -> None:
        super().__init__(name, **options)
        self._requests_per_s = requests_per_s
        self._transfer_time = transfer_time
        self._recent: deque[float] = deque()
        self._recent_lock = threading.Lock()

    def _accepts_now(self) -> bool:
        with self._recent_lock:
            now = time.monotonic()
            while self._recent and self._recent[0] <= now - 1.0:
                self._recent.popleft()
            if len(self._recent) >= self._requests_per_s:
                return False
            self._recent.append(now)
            return True

    def _work(self, exchange: Exchange, ids: CallIds, body: Any) -> None:
        if not self._accepts_now():
            exchange.reply(429, {"error": "too many requests"}, {"Retry-After": "1"})
            return
        self._record.executed(ids)
        self._spend(exchange, self._transfer_time)
        model, version = exchange.path.removeprefix("/weights/").split("/", 1)
        exchange.reply(200, {"model": model, "version": version})
