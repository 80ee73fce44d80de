"""One stage upstream as the owner of its queue sees it: its call and its space for results."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.batching.state import Call, KeptResult
from chervilrack._internal.catalogue.state import UpstreamEntry
from chervilrack._internal.forwarding.dialect import PieceFailure

_ZERO = timedelta(0)
# Spare results are not freed if they make less than this fraction of the space that is missing.
LEAST_USE = 8


class KeptResults:
    """Results that an upstream keeps, by handle, oldest first, with totals of their sizes.

    Lifetimes are equal, so that the oldest result expires first; after a change of the lifetime
    results may count a little longer than they are kept.
    """

    def __init__(self) -> None:
        self._results: dict[str, KeptResult] = {}
        self._bytes = 0
        self._evictable_bytes = 0
        self._freeing_bytes = 0

    @property
    def total(self) -> int:
        """Bytes of all results."""
        return self._bytes

    @property
    def evictable(self) -> int:
        """Bytes of the results that are of use only if their readers are called again."""
        return self._evictable_bytes

    @property
    def being_freed(self) -> int:
        """Bytes of the results that the upstream was told to free."""
        return self._freeing_bytes

    @property
    def next_end(self) -> timedelta | None:
        """When the oldest result expires."""
        return next((kept.until for kept in self._results.values()), None)

    def __contains__(self, handle: object) -> bool:
        return handle in self._results

    def add(self, handle: str, size: int, until: timedelta) -> None:
        """Note a result."""
        self.remove(handle)
        self._results[handle] = KeptResult(size, until)
        self._bytes += size

    def remove(self, handle: str) -> None:
        """Forget a result, if it is known."""
        kept = self._results.get(handle)
        if kept is not None:
            self.mark(handle, evictable=False, being_freed=False)
            del self._results[handle]
            self._bytes -= kept.size

    def mark(
        self, handle: str, *, evictable: bool | None = None, being_freed: bool | None = None
    ) -> None:
        """Change what is noted of a result, if it is known."""
        kept = self._results.get(handle)
        if kept is None:
            return
        if evictable is not None:
            self._evictable_bytes += kept.size * (evictable - kept.evictable)
            kept.evictable = evictable
        if being_freed is not None:
            self._freeing_bytes += kept.size * (being_freed - kept.being_freed)
            kept.being_freed = being_freed

    def expire(self, now: timedelta) -> None:
        """Forget results whose time is over."""
        while self._results:
            handle, kept = next(iter(self._results.items()))
            if kept.until > now:
                return
            self.remove(handle)

    def oldest_evictable(self, size: int) -> list[str]:
        """Return spare results that are not being freed, of ``size`` bytes if there are so many."""
        found: list[str] = []
        for handle, kept in self._results.items():
            if size <= 0:
                break
            if kept.evictable and not kept.being_freed:
                size -= kept.size
                found.append(handle)
        return found


@dataclass(slots=True)
class StageUpstream:
    """State of one upstream. Results take space from the start of their call until freed.

    ``foreign`` is space that results of other owners take, as the last answer without room
    showed; it counts until ``foreign_until``. No call starts before ``full_until``.
    """

    entry: UpstreamEntry
    call: int | None = None
    kept: KeptResults = field(default_factory=KeptResults)
    full_until: timedelta = _ZERO
    foreign: int = 0
    foreign_until: timedelta = _ZERO

    @property
    def own_bytes(self) -> int:
        """Bytes of the results kept for this owner."""
        return self.kept.total

    def occupied(self, now: timedelta) -> int:
        """Return the bytes that kept results take, after those that have expired are dropped."""
        self.kept.expire(now)
        foreign = self.foreign if now < self.foreign_until else 0
        return foreign + self.own_bytes

    def find_spare(self, needed: int, space: int, reserved: int, now: timedelta) -> list[str]:
        """Return results to free, oldest first, so that ``needed`` bytes of ``space`` are left.

        ``reserved`` bytes are for the results of the call in progress. The results found count as
        being freed from now on.
        """
        being_freed = self.kept.being_freed
        missing = needed - (space - self.occupied(now) - reserved) - being_freed
        if missing <= 0 or self.kept.evictable * LEAST_USE < missing:
            return []
        found = self.kept.oldest_evictable(missing)
        for handle in found:
            self.kept.mark(handle, being_freed=True)
        return found

    @property
    def frees_results(self) -> bool:
        """Whether results are being freed."""
        return self.kept.being_freed > 0

    def learn_foreign(self, space: int, granted: int, until: timedelta) -> None:
        """Note that ``granted`` bytes were all that was left of ``space`` for one call."""
        self.foreign = max(0, space - self.own_bytes - granted)
        self.foreign_until = until

    def expire(self, now: timedelta) -> None:
        """Forget pauses and foreign results whose time is over."""
        self.occupied(now)
        if self.full_until <= now:
            self.full_until = _ZERO
        if self.foreign_until <= now:
            self.foreign = 0


def shows_full(call: Call, results: Sequence[str | PieceFailure]) -> bool:
    """Whether pieces found no room because the upstream is full.

    Room is given in the order of the pieces: one that is followed by a result of its own size or
    a larger one has failed by itself, and so may a single one at the end. That says nothing about
    the room.
    """
    refused = 0
    largest_later = 0
    for piece, result in zip(reversed(call.pieces), reversed(results), strict=True):
        if result is PieceFailure.NO_ROOM and piece.order.result_size > largest_later:
            refused += 1
        if isinstance(result, str):
            largest_later = max(largest_later, piece.order.result_size)
    return refused > 1 or refused == len(results)
