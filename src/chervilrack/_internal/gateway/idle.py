"""How long callers' connections stay open without a request, over changes of the limit."""

import itertools
from datetime import timedelta

# Time within which all callers and nodes have learnt of a new configuration.
CONFIGURATION_SPREAD = timedelta(seconds=2)
_ALWAYS = timedelta.min


class IdleLimit:
    """Limit on the idle time of callers' connections, which configurations change.

    A caller reuses a connection for as long as the limit allows that it knows. That may be the
    limit before or after the one that this node knows, while a new configuration spreads. A
    connection therefore stays open for the longest limit that was in force since it became idle or
    shortly before, and for CONFIGURATION_SPREAD more. Times are monotonic. Thread-safe.
    """

    def __init__(self, limit: timedelta) -> None:
        # Limits with the time since which each is in force, oldest first.
        self._limits: tuple[tuple[timedelta, timedelta], ...] = ((_ALWAYS, limit),)

    @property
    def current(self) -> timedelta:
        """The limit in force."""
        return self._limits[-1][1]

    def change(self, limit: timedelta, now: timedelta) -> None:
        """Put a limit into force."""
        if limit == self.current:
            return
        longest = max(limit for _, limit in self._limits)
        first_needed = now - longest - 2 * CONFIGURATION_SPREAD
        kept = tuple(
            entry
            for entry, (replaced_at, _) in itertools.pairwise(self._limits)
            if replaced_at >= first_needed
        )
        self._limits = (*kept, self._limits[-1], (now, limit))

    def expires_at(self, idle_since: timedelta) -> timedelta:
        """Return the time at which a connection may be closed that is idle since ``idle_since``."""
        limits = self._limits
        learnt_since = idle_since - CONFIGURATION_SPREAD
        longest = limits[-1][1]
        for (_, limit), (replaced_at, _) in itertools.pairwise(limits):
            if replaced_at >= learnt_since:
                longest = max(longest, limit)
        return idle_since + longest + CONFIGURATION_SPREAD
