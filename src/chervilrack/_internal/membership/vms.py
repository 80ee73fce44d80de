"""Processes that are known to have stopped, according to the platform's VM list."""

from datetime import timedelta

from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.membership.state import MembershipSettings, Process, View


class StoppedVms:
    """Processes whose VM has stopped.

    The VM list contains node ids, not processes, and lags behind. An entry may therefore describe
    an earlier VM with the same node id. An entry counts for a process only if the list contains it
    when ``vm_list_lag`` has passed since this node first saw the process in a view.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._first_seen: dict[Process, timedelta] = {}
        self._stopped: set[Process] = set()

    @property
    def stopped(self) -> frozenset[Process]:
        """Processes whose VM has stopped."""
        return frozenset(self._stopped)

    def adopt(self, view: View, now: timedelta) -> None:
        """Start to observe the processes in ``view``, and forget all others."""
        named = {member.process for member in view.members}
        for epoch in view.unsealed:
            named.update(epoch.witnesses)
        self._first_seen = {process: self._first_seen.get(process, now) for process in named}
        self._stopped &= named

    def apply_list(self, stopped: frozenset[NodeId], now: timedelta) -> None:
        """Apply one read of the VM list; ``stopped`` are the nodes whose VM has stopped."""
        for process, first_seen in self._first_seen.items():
            if process.node in stopped and entry_is_current(
                first_seen, now, self._settings.vm_list_lag
            ):
                self._stopped.add(process)

    def stopped_members(self, view: View) -> frozenset[NodeId]:
        """Return the members of ``view`` whose VM has stopped."""
        return frozenset(process.node for process in self._stopped if view.has(process))


def entry_is_current(first_seen: timedelta, now: timedelta, lag: timedelta) -> bool:
    """Whether a list entry at ``now`` describes the process first seen at ``first_seen``."""
    return now - first_seen >= lag
