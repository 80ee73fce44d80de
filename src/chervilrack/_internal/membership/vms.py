"""Which processes are known to have stopped, from the platform's lagging VM list."""

from datetime import timedelta

from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.membership.state import MembershipSettings, Process, View


class VmEvidence:
    """Applies the VM list to processes.

    The list names nodes and lags, so it may describe the VM that ran before under the same node
    id. An entry therefore counts for a process only if it is still listed when the list's longest
    lag has passed since this node first saw the process in a view.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._seen: dict[Process, timedelta] = {}
        self._gone: set[Process] = set()

    @property
    def gone(self) -> frozenset[Process]:
        """Processes whose VM has stopped."""
        return frozenset(self._gone)

    def adopt(self, view: View, now: timedelta) -> None:
        """Note the processes that a view names."""
        named = {member.process for member in view.members}
        for epoch in view.unsealed:
            named.update(epoch.witnesses)
        self._seen = {process: self._seen.get(process, now) for process in named}
        self._gone &= named

    def learn(self, gone: frozenset[NodeId], now: timedelta) -> None:
        """Apply one reading of the list."""
        for process, seen in self._seen.items():
            if process.node in gone and describes(seen, now, self._settings.vm_list_lag):
                self._gone.add(process)

    def gone_members(self, view: View) -> frozenset[NodeId]:
        """Return the members of ``view`` whose VM has stopped."""
        return frozenset(process.node for process in self._gone if view.has(process))


def describes(seen: timedelta, now: timedelta, lag: timedelta) -> bool:
    """Whether the list describes a process first seen at ``seen`` and no earlier one."""
    return now - seen >= lag
