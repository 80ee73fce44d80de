"""Messages by which nodes that watch the store pass its changes on."""

import msgspec

from chervilrack._internal.common.positions import StorePosition, protocol_version_of
from chervilrack._internal.common.units import Count, Milliseconds


class RelayedChange(msgspec.Struct, frozen=True, array_like=True):
    """One change of the store; ``value`` is empty for a deleted key."""

    key: str
    value: bytes
    revision: Count
    deleted: bool


class StoreProgress(msgspec.Struct, frozen=True, array_like=True):
    """State of a watcher's copy of the store, sent with each answer of the store and periodically.

    ``changes`` are all changes after the revision ``previous`` up to ``revision``. A receiver whose
    copy is older than ``previous`` has to read the changes in between from the store.
    ``regained`` is whether the store has just begun to answer the watcher again. ``age_ms`` is the
    time since the store's last answer to the watcher, ``outage_ms`` that without an answer before
    the store began to answer again. All revisions are of ``era``. ``omits_changes`` is whether
    changes up to ``revision`` have been left out for their size.
    """

    previous: Count
    revision: Count
    changes: tuple[RelayedChange, ...] = ()
    regained: bool = False
    age_ms: Milliseconds = 0
    outage_ms: Milliseconds = 0
    era: Count = 0
    omits_changes: bool = False

    @property
    def position(self) -> StorePosition:
        """Position of the sender's copy."""
        return StorePosition(self.era, self.revision)

    @property
    def protocol_version(self) -> int:
        """Version of the protocol that a receiver has to know."""
        return protocol_version_of(self.era)
