"""Time limits by which a change of the store reaches every node within one bound."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ApplyLimits:
    """Shares of the time from a change of the store until it takes effect at a node.

    A change may come right after the store's last answer to a watching node. All shares are counted
    from that answer, so that their sum is the bound, whoever passes the change on.
    """

    bound: timedelta = timedelta(seconds=2)

    @property
    def watch_wait(self) -> timedelta:
        """Longest time between two answers of the store to a node that watches it."""
        return self.bound * 0.7

    @property
    def change_delay(self) -> timedelta:
        """Longest pause before the watch call that follows a change; a part of ``watch_wait``."""
        return self.bound * 0.15

    @property
    def answer_time(self) -> timedelta:
        """Time for an answer of the store, and a relay's message about it, to arrive."""
        return self.bound * 0.1

    @property
    def max_age(self) -> timedelta:
        """Age of the store's last answer at which a node no longer relies on a relay."""
        return self.watch_wait + self.answer_time

    @property
    def own_call_time(self) -> timedelta:
        """Time for the watch call of a node that no longer relies on a relay.

        The store answers it at once if there has been a change.
        """
        return self.bound - self.max_age

    @property
    def watch_timeout(self) -> timedelta:
        """Time after which a watch call without an answer fails."""
        return self.watch_wait + self.own_call_time

    @property
    def keepalive_interval(self) -> timedelta:
        """Time after which a watching node repeats what it last heard from the store."""
        return self.bound * 0.2

    @property
    def lag_limit(self) -> timedelta:
        """Time for which a node may know an older revision than other nodes."""
        return self.bound * 0.25
