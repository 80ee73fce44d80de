"""What a node keeps believing of upstreams after the store has come back from an older copy."""

from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.catalogue.state import UpstreamEntry, UpstreamState
from chervilrack._internal.common.ids import UpstreamId

# Time for which the copy's entry of an upstream that had ended is not used. Without its upstream,
# the entry lapses after three missed renewals of 1.2 s, and an idle watch says so 1.4 s later.
DOUBT_TIME = timedelta(seconds=6)
# Upstreams that are remembered after their end. Copies are some seconds old.
MAX_ENDED = 1024


@dataclass(frozen=True, slots=True)
class _Ended:
    started_at_ms: int
    era: int
    is_certain: bool


def is_superseded(entry: UpstreamEntry, known: UpstreamEntry) -> bool:
    """Whether an entry of a later era says less than the known one of an earlier era.

    An upstream that drains never becomes ready again, and a start never follows a later one.
    """
    if entry.started_at_ms != known.started_at_ms:
        return 0 < entry.started_at_ms < known.started_at_ms
    return entry.state is UpstreamState.READY and known.state is UpstreamState.DRAINING


class EndedUpstreams:
    """Upstreams that have ended, and the entries that a copy of the store has of them.

    Times are monotonic.
    """

    def __init__(self) -> None:
        # Those that ended last at the end.
        self._ended: dict[UpstreamId, _Ended] = {}
        # Entries that are not used for the time being.
        self._withheld: dict[UpstreamId, tuple[UpstreamEntry, int]] = {}
        self._doubted_until: timedelta | None = None

    @property
    def withheld(self) -> frozenset[UpstreamId]:
        """Upstreams that are registered, but not used for the time being."""
        return frozenset(self._withheld)

    @property
    def is_doubting(self) -> bool:
        """Whether the store has come back from a copy a short time ago."""
        return self._doubted_until is not None

    def begin_doubt(self, now: timedelta) -> None:
        """Record that the store has come back from a copy."""
        self._doubted_until = now + DOUBT_TIME

    def record_end(self, entry: UpstreamEntry, era: int, *, is_certain: bool) -> None:
        """Remember an upstream that is no longer registered in an era.

        It is not certain that an upstream has ended that only did not register again after an
        outage or a return.
        """
        known = self._ended.pop(entry.id, None)
        is_certain = is_certain or (known is not None and known.is_certain)
        self._ended[entry.id] = _Ended(entry.started_at_ms, era, is_certain)
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def withhold(self, entry: UpstreamEntry, revision: int, era: int, *, is_listed: bool) -> bool:
        """Whether an entry is not to be used yet, because its upstream ended in an earlier era.

        If that is not certain, entries are used that have been written since the return, which
        those of a listing may not have been. The entry is kept if it is not to be used, and its
        upstream forgotten among the ended ones otherwise.
        """
        ended = self._ended.get(entry.id)
        is_doubtful = (
            self._doubted_until is not None
            and ended is not None
            and ended.era < era
            and (ended.is_certain or is_listed)
            and entry.started_at_ms <= ended.started_at_ms
        )
        if is_doubtful:
            self._withheld[entry.id] = (entry, revision)
        else:
            self._ended.pop(entry.id, None)
            self._withheld.pop(entry.id, None)
        return is_doubtful

    def drop(self, upstream: UpstreamId) -> None:
        """Forget the entry that is withheld, if any: it is no longer registered."""
        self._withheld.pop(upstream, None)

    def release(self, now: timedelta) -> list[tuple[UpstreamEntry, int]]:
        """Return the entries, with their revisions, that are still registered after DOUBT_TIME."""
        if self._doubted_until is None or now < self._doubted_until:
            return []
        self._doubted_until = None
        released = [self._withheld[upstream] for upstream in sorted(self._withheld)]
        self._withheld.clear()
        return released
