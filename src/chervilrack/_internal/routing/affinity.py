"""Prefix cache affinity: which upstreams probably hold the caches of prompt prefixes."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.routing.settings import RouterSettings

# Holders remembered for one prefix; further replicas of a cache bring little.
HOLDERS = 4
# Missing event numbers kept per upstream; beyond, the cache's content counts as unknown.
MISSING_EVENTS = 64
# Weight of an entry that a lost event may have evicted.
DOUBT = 0.5


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of an engine's prefix cache. Events may come late, in any order, with gaps.

    ``sequence`` counts the events of one engine from its start. ``age`` is the time since the
    change. ``cleared`` means that the cache is empty except for ``stored``.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False
    age: timedelta = timedelta(0)


@dataclass(slots=True)
class _Feed:
    """State of one engine's events."""

    last: int | None = None
    missing: set[int] = field(default_factory=set)
    doubt_before: timedelta | None = None
    cleared_at: timedelta | None = None


class PrefixIndex:
    """Bounded index from prefix hashes to upstreams, least recently used entries go first."""

    def __init__(self, settings: RouterSettings) -> None:
        self._lifetime = settings.prefix_lifetime
        self._capacity = settings.prefix_entries
        self._entries: OrderedDict[int, dict[UpstreamId, timedelta]] = OrderedDict()
        self._feeds: dict[UpstreamId, _Feed] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def store(self, upstream: UpstreamId, hashes: tuple[int, ...], at: timedelta) -> None:
        """Record that an upstream holds prefixes since ``at``."""
        for prefix in hashes:
            holders = self._entries.get(prefix)
            if holders is None:
                holders = self._entries[prefix] = {}
            self._entries.move_to_end(prefix)
            holders[upstream] = max(at, holders.get(upstream, at))
            if len(holders) > HOLDERS:
                del holders[min(holders, key=lambda name: (holders[name], name))]
        while len(self._entries) > self._capacity:
            self._entries.popitem(last=False)

    def discard(self, upstream: UpstreamId, hashes: tuple[int, ...], at: timedelta) -> None:
        """Record that prefixes were evicted at ``at``, unless they were stored later."""
        for prefix in hashes:
            holders = self._entries.get(prefix)
            if holders is not None and holders.get(upstream, at) <= at:
                holders.pop(upstream, None)
                if not holders:
                    del self._entries[prefix]

    def apply(self, upstream: UpstreamId, event: CacheEvent, now: timedelta) -> None:
        """Apply an engine's event."""
        feed = self._feeds.setdefault(upstream, _Feed())
        at = now - event.age
        self._note_sequence(feed, event.sequence, now)
        if event.cleared:
            feed.cleared_at = max(at, feed.cleared_at or at)
        if event.stored and (feed.cleared_at is None or event.cleared or at > feed.cleared_at):
            self.store(upstream, event.stored, at + timedelta(microseconds=int(event.cleared)))
        self.discard(upstream, event.evicted, at)

    def match(self, hashes: tuple[int, ...], now: timedelta) -> dict[UpstreamId, float]:
        """Return the upstreams that hold a prefix, with the part of the prompt that it covers.

        ``hashes`` are those of growing prefixes, shortest first. Work is proportional to the
        length of the prompt, not to the number of upstreams.
        """
        found: dict[UpstreamId, float] = {}
        total = len(hashes)
        for length in range(total, 0, -1):
            holders = self._entries.get(hashes[length - 1])
            if holders is None:
                continue
            for upstream, at in holders.items():
                if upstream not in found:
                    trust = self._trust(upstream, at, now)
                    if trust > 0.0:
                        found[upstream] = trust * length / total
            if len(found) >= HOLDERS:
                break
        return found

    def forget(self, upstream: UpstreamId, now: timedelta) -> None:
        """Treat an upstream's cache as empty, for example after a restart."""
        self._feeds[upstream] = _Feed(cleared_at=now)

    def _trust(self, upstream: UpstreamId, at: timedelta, now: timedelta) -> float:
        age = now - at
        if age >= self._lifetime:
            return 0.0
        feed = self._feeds.get(upstream)
        if feed is None:
            return 1.0
        if feed.cleared_at is not None and at <= feed.cleared_at:
            return 0.0
        return DOUBT if feed.doubt_before is not None and at <= feed.doubt_before else 1.0

    @staticmethod
    def _note_sequence(feed: _Feed, sequence: int, now: timedelta) -> None:
        if feed.last is None:
            feed.last = sequence
        elif sequence <= feed.last:
            feed.missing.discard(sequence)
            if not feed.missing:
                feed.doubt_before = None
        else:
            skipped = range(feed.last + 1, sequence)
            feed.last = sequence
            if skipped:
                feed.doubt_before = now
                feed.missing.update(skipped[:MISSING_EVENTS])
                if len(feed.missing) > MISSING_EVENTS:
                    feed.missing = {-1}  # never arrives: the doubt stays until entries expire
