"""One stage upstream as the owner of its queue sees it: its call and its space for results."""

from dataclasses import dataclass, field
from datetime import timedelta

from chervilrack._internal.batching.state import KeptResult
from chervilrack._internal.catalogue.state import UpstreamEntry

_ZERO = timedelta(0)


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

    def occupied(self, now: timedelta) -> int:
        """Return the bytes that kept results take, after those that have expired are dropped."""
        for handle in [h for h, kept in self.kept.items() if kept.until <= now]:
            del self.kept[handle]
        foreign = self.foreign if now < self.foreign_until else 0
        return foreign + self._own()

    def learn_foreign(self, space: int, granted: int, until: timedelta) -> None:
        """Note that ``granted`` bytes were all that was left of ``space`` for one call."""
        self.foreign = max(0, space - self._own() - granted)
        self.foreign_until = until

    def expire(self, now: timedelta) -> None:
        """Forget pauses and foreign results whose time is over."""
        self.occupied(now)
        if self.full_until <= now:
            self.full_until = _ZERO
        if self.foreign_until <= now:
            self.foreign = 0

    def _own(self) -> int:
        return sum(kept.size for kept in self.kept.values())
