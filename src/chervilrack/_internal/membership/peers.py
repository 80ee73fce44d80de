"""What this node knows of other members from their messages."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.common.ids import Epoch, ReleaseRevision
from chervilrack._internal.membership.messages import PeerStatus
from chervilrack._internal.membership.state import Process, View
from chervilrack._internal.membership.witnesses import majority


class PeerStates:
    """Last time, epoch and release heard from each process."""

    def __init__(self) -> None:
        self._states: dict[Process, tuple[timedelta, Epoch, ReleaseRevision]] = {}

    def record_message(
        self, process: Process, epoch: Epoch, release: ReleaseRevision, now: timedelta
    ) -> None:
        """Note a message; epoch and release of a process never go back."""
        _, old_epoch, old_release = self._states.get(process, (now, epoch, release))
        self._states[process] = (now, max(epoch, old_epoch), max(release, old_release))

    def retain(self, view: View) -> None:
        """Forget processes that are neither members nor witnesses of an unsealed epoch."""
        witnesses = {process for item in view.unsealed for process in item.witnesses}
        self._states = {
            p: state for p, state in self._states.items() if view.has(p) or p in witnesses
        }

    def status(self, view: View, now: timedelta, myself: Process) -> tuple[PeerStatus, ...]:
        """Return one entry for each other member."""
        rows = []
        for member in view.members:
            if member.process == myself:
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
        """Return the highest release that a majority applied at ``epoch`` or a later one."""
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
