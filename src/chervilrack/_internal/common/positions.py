"""Positions in the history of the platform's store."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A revision of the store in one era; positions are ordered by era first.

    A new era begins when the store comes back from an older copy of itself: its revisions go back
    and are given out again. Stores without eras are always in era 0.
    """

    era: int
    revision: int

    def at(self, revision: int) -> "StorePosition":
        """Return the position of another revision of the same era."""
        return StorePosition(self.era, revision)

    @property
    def fields(self) -> dict[str, Any]:
        """Fields of log lines that name the position; the era is left out if there are none."""
        return (
            {"era": self.era, "revision": self.revision}
            if self.era
            else {"revision": self.revision}
        )


def protocol_version_of(era: int) -> int:
    """Return the protocol version of a message whose revisions are of an era.

    Nodes that do not know eras refuse messages of later eras than the first one.
    """
    return 2 if era else 1


ORIGIN = StorePosition(0, 0)
"""Position of a node that knows nothing of the store yet."""
