"""Prefix cache of an emulated engine, with the events that it reports late and with gaps."""

import threading
import time
from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

from chervilrack._internal.upstreams.prompts import BLOCK_TOKENS


class PrefixCache:
    """Least recently used prefixes of whole blocks; ``blocks`` is the memory.

    ``event_lag`` is the age in seconds at which an event becomes visible; every ``event_gap``-th
    event is lost (0: none).
    """

    def __init__(self, blocks: int, event_lag: float = 0.0, event_gap: int = 0) -> None:
        self._capacity = blocks
        self._event_lag = event_lag
        self._event_gap = event_gap
        self._blocks: OrderedDict[int, int] = OrderedDict()
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._sequence = 0
        self._lock = threading.Lock()

    def use(self, hashes: Iterable[int]) -> int:
        """Return the tokens of the longest held prefix, and hold all of these prefixes after."""
        with self._lock:
            held = 0
            matching = True
            for number, prefix in enumerate(hashes, start=1):
                matching = matching and prefix in self._blocks
                if matching:
                    held = number * BLOCK_TOKENS
                self._store(prefix, number * BLOCK_TOKENS)
            return held

    def export(self, prefix: int) -> dict[str, Any] | None:
        """Return what another engine needs to hold a prefix, or None if it is not held."""
        with self._lock:
            tokens = self._blocks.get(prefix)
            return None if tokens is None else {"prefix_hash": prefix, "tokens": tokens}

    def load(self, prefix: int, tokens: int) -> None:
        """Hold a prefix that another engine exported."""
        with self._lock:
            self._store(prefix, tokens)

    def events(self, after: int) -> list[dict[str, Any]]:
        """Return the visible events with a sequence number above ``after``."""
        visible = time.monotonic() - self._event_lag
        with self._lock:
            return [
                event
                for noted, event in self._events
                if noted <= visible and event["sequence"] > after
            ]

    def _store(self, prefix: int, tokens: int) -> None:
        if prefix in self._blocks:
            self._blocks.move_to_end(prefix)
            return
        self._blocks[prefix] = tokens
        self._note(stored=True, prefix=prefix, tokens=tokens)
        while len(self._blocks) > self._capacity:
            oldest, size = self._blocks.popitem(last=False)
            self._note(stored=False, prefix=oldest, tokens=size)

    def _note(self, *, stored: bool, prefix: int, tokens: int) -> None:
        self._sequence += 1
        if self._event_gap and self._sequence % self._event_gap == 0:
            return
        event = {
            "sequence": self._sequence,
            "stored": stored,
            "prefix_hash": prefix,
            "tokens": tokens,
        }
        self._events.append((time.monotonic(), event))
        del self._events[:-10_000]
