"""State of one stage upstream at the owner of its queue: current call and space for results."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.batching.state import Call, KeptResult
from chervilrack._internal.catalogue.state import UpstreamEntry
from chervilrack._internal.forwarding.dialect import PieceFailure

_ZERO = timedelta(0)
# Evictable results are freed only if they cover at least one eighth of the missing space.
EVICTION_MIN_DIVISOR = 8


class KeptResults:
    """Results that an upstream keeps, by handle and oldest first, with totals of their sizes.

    All results have the same lifetime, so that the oldest expires first. After a change of the
    lifetime, results may count for a little longer than the upstream keeps them.
    """

    def __init__(self) -> None:
        self._results: dict[str, KeptResult] = {}
        self._total_bytes = 0
        self._evictable_bytes = 0
        self._being_freed_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes of all results."""
        return self._total_bytes

    @property
    def evictable_bytes(self) -> int:
        """Bytes of the evictable results."""
        return self._evictable_bytes

    @property
    def being_freed_bytes(self) -> int:
        """Bytes of the results that the upstream has been asked to free."""
        return self._being_freed_bytes

    @property
    def next_expiry(self) -> timedelta | None:
        """Time when the oldest result expires."""
        return next((kept.expires_at for kept in self._results.values()), None)

    def __contains__(self, handle: object) -> bool:
        return handle in self._results

    def add(self, handle: str, size: int, expires_at: timedelta) -> None:
        """Add a result, or replace the result of the same handle."""
        self.remove(handle)
        self._results[handle] = KeptResult(size, expires_at)
        self._total_bytes += size

    def remove(self, handle: str) -> None:
        """Remove a result if it is present."""
        kept = self._results.get(handle)
        if kept is not None:
            self.mark(handle, evictable=False, being_freed=False)
            del self._results[handle]
            self._total_bytes -= kept.size

    def mark(
        self, handle: str, *, evictable: bool | None = None, being_freed: bool | None = None
    ) -> None:
        """Set flags of a result if it is present; None leaves a flag unchanged."""
        kept = self._results.get(handle)
        if kept is None:
            return
        if evictable is not None:
            self._evictable_bytes += kept.size * (evictable - kept.evictable)
            kept.evictable = evictable
        if being_freed is not None:
            self._being_freed_bytes += kept.size * (being_freed - kept.being_freed)
            kept.being_freed = being_freed

    def expire(self, now: timedelta) -> None:
        """Remove the results that have expired."""
        while self._results:
            handle, kept = next(iter(self._results.items()))
            if kept.expires_at > now:
                return
            self.remove(handle)

    def oldest_evictable(self, size: int) -> list[str]:
        """Return the oldest evictable results that make up ``size`` bytes, or all there are.

        Results that are being freed already are left out.
        """
        handles: list[str] = []
        for handle, kept in self._results.items():
            if size <= 0:
                break
            if kept.evictable and not kept.being_freed:
                size -= kept.size
                handles.append(handle)
        return handles


@dataclass(slots=True)
class StageUpstream:
    """State of one upstream. Results occupy space from the start of their call until freed.

    ``other_owners_bytes`` is the space that results of other owners occupy. The value is derived
    from the last call that found no room for some results, and counts until ``other_owners_until``.
    No call starts before ``paused_until``.
    """

    entry: UpstreamEntry
    current_call: int | None = None
    kept: KeptResults = field(default_factory=KeptResults)
    paused_until: timedelta = _ZERO
    other_owners_bytes: int = 0
    other_owners_until: timedelta = _ZERO

    @property
    def own_bytes(self) -> int:
        """Bytes of the results of this owner's calls."""
        return self.kept.total_bytes

    def occupied(self, now: timedelta) -> int:
        """Remove expired results and return the bytes that all other results occupy."""
        self.kept.expire(now)
        of_other_owners = self.other_owners_bytes if now < self.other_owners_until else 0
        return of_other_owners + self.own_bytes

    def evict(self, needed: int, space: int, reserved: int, now: timedelta) -> list[str]:
        """Mark results as being freed, oldest first, and return their handles.

        Results are chosen so that ``needed`` bytes of ``space`` become free. ``reserved`` bytes are
        for the results of the call in progress.
        """
        being_freed_bytes = self.kept.being_freed_bytes
        missing = needed - (space - self.occupied(now) - reserved) - being_freed_bytes
        if missing <= 0 or self.kept.evictable_bytes * EVICTION_MIN_DIVISOR < missing:
            return []
        handles = self.kept.oldest_evictable(missing)
        for handle in handles:
            self.kept.mark(handle, being_freed=True)
        return handles

    @property
    def is_freeing_results(self) -> bool:
        """Whether results are being freed."""
        return self.kept.being_freed_bytes > 0

    def record_other_owners(self, space: int, granted: int, until: timedelta) -> None:
        """Record that a call got only ``granted`` bytes of ``space`` for its results.

        All other space that is not occupied by this owner's results counts as occupied by results
        of other owners.
        """
        self.other_owners_bytes = max(0, space - self.own_bytes - granted)
        self.other_owners_until = until

    def expire(self, now: timedelta) -> None:
        """Remove expired results and reset what has ended by ``now``."""
        self.occupied(now)
        if self.paused_until <= now:
            self.paused_until = _ZERO
        if self.other_owners_until <= now:
            self.other_owners_bytes = 0


def indicates_full_upstream(call: Call, results: Sequence[str | PieceFailure]) -> bool:
    """Whether the failures of a call show that the upstream has no space left.

    An upstream assigns space in the order of the pieces. A piece without room that is followed by a
    result of at least its own size failed for another reason. A single piece without room at the
    end of the call may have failed for another reason, too.
    """
    without_room = 0
    largest_later = 0
    for piece, result in zip(reversed(call.pieces), reversed(results), strict=True):
        if result is PieceFailure.NO_ROOM and piece.order.result_size > largest_later:
            without_room += 1
        if isinstance(result, str):
            largest_later = max(largest_later, piece.order.result_size)
    return without_room > 1 or without_room == len(results)
