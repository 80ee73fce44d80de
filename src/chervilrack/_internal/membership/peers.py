"""State of other processes, as known from their messages."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.common.ids import Epoch, ReleaseRevision
from chervilrack._internal.membership.messages import PeerStatus
from chervilrack._internal.membership.state import Process, View
from chervilrack._internal.membership.witnesses import majority


class PeerStates:
    """Time of the last message, highest epoch and highest release of each process."""

    def __init__(self) -> None:
        self._states: dict[Process, tuple[timedelta, Epoch, ReleaseRevision]] = {}

    def record_message(
        self, process: Process, epoch: Epoch, release: ReleaseRevision, now: timedelta
    ) -> None:
        """Record a message. Late messages do not lower the epoch or release of a process."""
        _, old_epoch, old_release = self._states.get(process, (now, epoch, release))
        self._states[process] = (now, max(epoch, old_epoch), max(release, old_release))

    def retain(self, view: View) -> None:
        """Drop processes that are neither members nor witnesses of an unsealed epoch."""
        witnesses = {process for item in view.unsealed for process in item.witnesses}
        self._states = {
            p: state for p, state in self._states.items() if view.has(p) or p in witnesses
        }

    def status(self, view: View, now: timedelta, own_process: Process) -> tuple[PeerStatus, ...]:
        """Return the status of each member of ``view`` except ``own_process``."""
        rows = []
        for member in view.members:
            if member.process == own_process:
                continue
            state = self._states.get(member.process)
            rows.append(
                PeerStatus(member.node, now - state[0], state[1], state[2])
                if state
                else PeerStatus(member.node, None, None, None)
            )
        return tuple(rows)

    def release_majority(
        self,
        witnesses: Iterable[Process],
        epoch: Epoch,
        local_releases: dict[Process, ReleaseRevision],
    ) -> ReleaseRevision:
        """Return the highest release that a majority of ``witnesses`` has applied.

        Only witnesses that have adopted ``epoch`` or a later epoch count. ``local_releases`` holds
        the releases of processes on this node.
        """
        all_witnesses = tuple(witnesses)
        releases = []
        for witness in all_witnesses:
            state = self._states.get(witness)
            if witness in local_releases:
                releases.append(local_releases[witness])
            elif state is not None and state[1] >= epoch:
                releases.append(state[2])
        needed = majority(len(all_witnesses))
        ordered = sorted(releases, reverse=True)
        return ordered[needed - 1] if len(ordered) >= needed else ReleaseRevision(0)
