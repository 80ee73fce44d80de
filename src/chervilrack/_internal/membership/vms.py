"""Which processes are known to have stopped, from the platform's lagging VM list."""

from datetime import timedelta

from chervilrack._internal.common.ids import NodeId
from chervilrack._internal.membership.state import MembershipSettings, Process, View


class VmEvidence:
    """Applies the VM list to processes.

    The list names nodes, and may still describe the VM that ran before under the same node id.
    So an entry counts for a process only if it was listed after the process was seen; for a
    replacement also only after the node was listed as not gone once the list's lag had passed.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._seen: dict[Process, timedelta] = {}
        self._replacements: set[Process] = set()
        self._listed_live: set[Process] = set()
        self._gone: set[Process] = set()

    @property
    def gone(self) -> frozenset[Process]:
        """Processes whose VM has stopped."""
        return frozenset(self._gone)

    def adopt(self, view: View, now: timedelta) -> None:
        """Note the processes that a view names."""
        replacements = {member.process for member in view.members if member.replacement}
        named = {member.process for member in view.members}
        for epoch in view.unsealed:
            named.update(epoch.witnesses)
        # A node id with two known processes: the list cannot tell them apart.
        known = {process.node: process for process in self._seen}
        for process in named:
            earlier = known.get(process.node)
            if process in replacements or (earlier is not None and earlier != process):
                self._replacements.add(process)
        self._seen = {process: self._seen.get(process, now) for process in named}
        self._replacements &= named
        self._listed_live &= named
        self._gone &= named

    def learn(self, gone: frozenset[NodeId], now: timedelta) -> None:
        """Apply one reading of the list."""
        for process, seen in self._seen.items():
            if process.node not in gone:
                if now - seen >= self._settings.vm_list_lag:
                    self._listed_live.add(process)
            elif process not in self._replacements or process in self._listed_live:
                self._gone.add(process)

    def gone_members(self, view: View) -> frozenset[NodeId]:
        """Return the members of ``view`` whose VM has stopped."""
        return frozenset(process.node for process in self._gone if view.has(process))
