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


@dataclass(slots=True)
class StageUpstream:
    """State of one upstream. Results take space from the start of their call until freed.

    ``foreign`` is space that results of other owners take, as the last answer without room
    showed; it counts until ``foreign_until``. No call starts before ``full_until``.
    """

    entry: UpstreamEntry
    call: int | None = None
    kept: dict[str, KeptResult] = field(default_factory=dict)
    full_until: timedelta = _ZERO
    foreign: int = 0
    foreign_until: timedelta = _ZERO

    @property
    def own_bytes(self) -> int:
        """Bytes of the results kept for this owner."""
        return sum(kept.size for kept in self.kept.values())

    def occupied(self, now: timedelta) -> int:
        """Return the bytes that kept results take, after those that have expired are dropped."""
        for handle in [h for h, kept in self.kept.items() if kept.until <= now]:
            del self.kept[handle]
        foreign = self.foreign if now < self.foreign_until else 0
        return foreign + self.own_bytes

    def find_spare(self, needed: int, space: int, reserved: int, now: timedelta) -> list[str]:
        """Return results to free, oldest first, so that ``needed`` bytes of ``space`` are left.

        ``reserved`` bytes are for the results of the call in progress. The results found count as
        being freed from now on.
        """
        being_freed = sum(kept.size for kept in self.kept.values() if kept.being_freed)
        missing = needed - (space - self.occupied(now) - reserved) - being_freed
        spare = sum(kept.size for kept in self.kept.values() if kept.spare)
        found: list[str] = []
        if spare * LEAST_USE < missing:
            return found
        for handle, kept in self.kept.items():
            if missing <= 0:
                break
            if kept.spare and not kept.being_freed:
                kept.being_freed = True
                missing -= kept.size
                found.append(handle)
        return found

    @property
    def frees_results(self) -> bool:
        """Whether results are being freed."""
        return any(kept.being_freed for kept in self.kept.values())

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
