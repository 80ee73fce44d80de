"""Index of the upstreams that probably hold the caches of prompt prefixes."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.routing.settings import RouterSettings

# Upstreams remembered for one prefix. Routing gains little from more replicas of a cache.
MAX_HOLDERS_PER_PREFIX = 4
# Missing sequence numbers kept per upstream. With more, entries stay uncertain.
MAX_MISSING_EVENTS = 64
# Confidence in an entry that a missing event may have evicted.
UNCERTAIN_ENTRY_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of an engine's prefix cache. Events may arrive late, out of order or not at all.

    ``sequence`` numbers the events of one engine since its start. ``age`` is the time since the
    change. ``cleared`` means that the cache was emptied and holds only ``stored``.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False
    age: timedelta = timedelta(0)


@dataclass(slots=True)
class _EventStream:
    """Received and missing cache events of one engine.

    Entries stored until ``uncertain_before`` may have been evicted by a missing event.
    """

    last_sequence: int | None = None
    missing: set[int] = field(default_factory=set)
    uncertain_before: timedelta | None = None
    cleared_at: timedelta | None = None


class PrefixIndex:
    """Bounded index from prefix hashes to upstreams; the least recently updated go first."""

    def __init__(self, settings: RouterSettings) -> None:
        self._lifetime = settings.prefix_lifetime
        self._capacity = settings.prefix_entries
        self._entries: OrderedDict[int, dict[UpstreamId, timedelta]] = OrderedDict()
        self._event_streams: dict[UpstreamId, _EventStream] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def store(self, upstream: UpstreamId, hashes: tuple[int, ...], at: timedelta) -> None:
        """Record that an upstream has held these prefixes since ``at``."""
        for prefix in hashes:
            holders = self._entries.get(prefix)
            if holders is None:
                holders = self._entries[prefix] = {}
            self._entries.move_to_end(prefix)
            holders[upstream] = max(at, holders.get(upstream, at))
            if len(holders) > MAX_HOLDERS_PER_PREFIX:
                del holders[min(holders, key=lambda name: (holders[name], name))]
        while len(self._entries) > self._capacity:
            self._entries.popitem(last=False)

    def discard(self, upstream: UpstreamId, hashes: tuple[int, ...], at: timedelta) -> None:
        """Remove prefixes that an upstream evicted at ``at``, unless it stored them later."""
        for prefix in hashes:
            holders = self._entries.get(prefix)
            if holders is not None and holders.get(upstream, at) <= at:
                holders.pop(upstream, None)
                if not holders:
                    del self._entries[prefix]

    def apply(self, upstream: UpstreamId, event: CacheEvent, now: timedelta) -> None:
        """Apply an engine's cache event."""
        stream = self._event_streams.setdefault(upstream, _EventStream())
        at = now - event.age
        self._track_sequence(stream, event.sequence, now)
        if event.cleared:
            stream.cleared_at = max(at, stream.cleared_at or at)
        if event.stored and (stream.cleared_at is None or event.cleared or at > stream.cleared_at):
            # Prefixes stored together with a clear must count as later than the clear.
            self.store(upstream, event.stored, at + timedelta(microseconds=int(event.cleared)))
        self.discard(upstream, event.evicted, at)

    def match(self, hashes: tuple[int, ...], now: timedelta) -> dict[UpstreamId, float]:
        """Return the share of the prompt that each upstream has cached, weighted by confidence.

        ``hashes`` are the hashes of growing prefixes, shortest first. The running time grows with
        the number of hashes and not with the number of upstreams.
        """
        coverage: dict[UpstreamId, float] = {}
        total = len(hashes)
        for length in range(total, 0, -1):
            holders = self._entries.get(hashes[length - 1])
            if holders is None:
                continue
            for upstream, at in holders.items():
                if upstream not in coverage:
                    confidence = self._confidence(upstream, at, now)
                    if confidence > 0.0:
                        coverage[upstream] = confidence * length / total
            if len(coverage) >= MAX_HOLDERS_PER_PREFIX:
                break
        return coverage

    def forget(self, upstream: UpstreamId, now: timedelta) -> None:
        """Treat an upstream's cache as empty, for example after a restart."""
        self._event_streams[upstream] = _EventStream(cleared_at=now)

    def _confidence(self, upstream: UpstreamId, at: timedelta, now: timedelta) -> float:
        """Return the confidence from 0 to 1 that an upstream still holds a prefix stored ``at``."""
        age = now - at
        if age >= self._lifetime:
            return 0.0
        stream = self._event_streams.get(upstream)
        if stream is None:
            return 1.0
        if stream.cleared_at is not None and at <= stream.cleared_at:
            return 0.0
        return (
            UNCERTAIN_ENTRY_WEIGHT
            if stream.uncertain_before is not None and at <= stream.uncertain_before
            else 1.0
        )

    @staticmethod
    def _track_sequence(stream: _EventStream, sequence: int, now: timedelta) -> None:
        """Record a sequence number and the numbers skipped before it."""
        if stream.last_sequence is None:
            stream.last_sequence = sequence
        elif sequence <= stream.last_sequence:
            stream.missing.discard(sequence)
            if not stream.missing:
                stream.uncertain_before = None
        else:
            skipped = range(stream.last_sequence + 1, sequence)
            stream.last_sequence = sequence
            if skipped:
                stream.uncertain_before = now
                stream.missing.update(skipped[:MAX_MISSING_EVENTS])
                if len(stream.missing) > MAX_MISSING_EVENTS:
                    # No event has the number -1, so entries stay uncertain until they expire.
                    stream.missing = {-1}
