"""Entries of the store that this node leaves out because they cannot be decoded or applied."""

from enum import Enum

from chervilrack._internal.common.supervision import describe
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.kvstore.port import KeyValue
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.metrics import ServingMetrics

MAX_REASON_LENGTH = 300


class EntryKind(Enum):
    """What a key of the store names, and the part and event under which an odd one is logged."""

    CONFIGURATION = ("configuration", "catalogue", "configuration unreadable")
    UPSTREAM = ("upstream", "catalogue", "entry unreadable")
    NODE = ("node", "fleet", "registration unreadable")
    BLOCK = ("block", "quarantine", "record unreadable")
    EVACUATION = ("evacuation", "catalogue", "evacuation unreadable")
    OTHER = ("other", "catalogue", "entry unreadable")

    @property
    def label(self) -> str:
        """Name in metrics."""
        return self.value[0]


class UnreadableEntries:
    """Logs and counts each revision of an entry that is left out once, however often it is read."""

    def __init__(self, log: DecisionLog, metrics: ServingMetrics) -> None:
        self._log = log
        self._metrics = metrics
        # Revision by key. Bounded by the number of keys, because listings drop those that are gone.
        self._revisions: dict[str, int] = {}

    def record(self, kind: EntryKind, item: KeyValue, error: Exception) -> None:
        """Record that an entry is left out because of ``error``."""
        if self._revisions.get(item.key) == item.mod_revision:
            return
        is_repeated = item.key in self._revisions
        self._revisions[item.key] = item.mod_revision
        self._metrics.entry_unreadable(kind.label)
        _, part, event = kind.value
        reason = str(error) if isinstance(error, ChervilrackError) else describe(error)
        self._log.note(
            part,
            event,
            routine=is_repeated,
            key=item.key,
            revision=item.mod_revision,
            reason=reason[:MAX_REASON_LENGTH],
        )

    def forget(self, key: str) -> None:
        """Forget an entry that was removed or that can be used again."""
        self._revisions.pop(key, None)

    def keep_only(self, keys: set[str]) -> None:
        """Forget the entries that are not among the ``keys`` of a listing."""
        for key in self._revisions.keys() - keys:
            del self._revisions[key]
