"""Which processes are known to have stopped, from the platform's lagging VM list."""

from datetime import timedelta

from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.membership.state import MembershipSettings, Process, View


class StoppedVms:
    """Applies the VM list to processes.

    The list names nodes and lags, so it may describe the VM that ran before under the same node
    id. An entry therefore counts for a process only if it is still listed when the list's longest
    lag has passed since this node first saw the process in a view.
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
        """Note the processes that a view names."""
        named = {member.process for member in view.members}
        for epoch in view.unsealed:
            named.update(epoch.witnesses)
        self._first_seen = {process: self._first_seen.get(process, now) for process in named}
        self._stopped &= named

    def apply_list(self, stopped: frozenset[NodeId], now: timedelta) -> None:
        """Apply one reading of the list."""
        for process, first_seen in self._first_seen.items():
            if process.node in stopped and entry_is_current(
                first_seen, now, self._settings.vm_list_lag
            ):
                self._stopped.add(process)

    def stopped_members(self, view: View) -> frozenset[NodeId]:
        """Return the members of ``view`` whose VM has stopped."""
        return frozenset(process.node for process in self._stopped if view.has(process))


def entry_is_current(first_seen: timedelta, now: timedelta, lag: timedelta) -> bool:
    """Whether the list describes a process first seen at ``seen`` and no earlier one."""
    return now - first_seen >= lag
