"""What this node knows of other members from their messages."""

from collections.abc import Iterable
from datetime import timedelta

from chervilrack._internal.common.ids import Epoch, ReleaseRevision
from chervilrack._internal.membership.messages import PeerStatus
from chervilrack._internal.membership.state import Process, View
from chervilrack._internal.membership.witnesses import majority


class Peers:
    """Last time, epoch and release heard from each process."""

    def __init__(self) -> None:
        self._known: dict[Process, tuple[timedelta, Epoch, ReleaseRevision]] = {}

    def heard(
        self, process: Process, epoch: Epoch, release: ReleaseRevision, now: timedelta
    ) -> None:
        """Note a message; epoch and release of a process never go back."""
        _, old_epoch, old_release = self._known.get(process, (now, epoch, release))
        self._known[process] = (now, max(epoch, old_epoch), max(release, old_release))

    def retain(self, view: View) -> None:
        """Forget processes that are not members."""
        self._known = {p: known for p, known in self._known.items() if view.has(p)}

    def status(self, view: View, now: timedelta, myself: Process) -> tuple[PeerStatus, ...]:
        """Return one entry for each other member."""
        rows = []
        for member in view.members:
            if member.process == myself:
                continue
            known = self._known.get(member.process)
            rows.append(
                PeerStatus(member.node, now - known[0], known[1], known[2])
                if known
                else PeerStatus(member.node, None, None, None)
            )
        return tuple(rows)

    def release_majority(
        self, witnesses: Iterable[Process], epoch: Epoch, own: dict[Process, ReleaseRevision]
    ) -> ReleaseRevision:
        """Return the highest release that a majority of witnesses applied at ``epoch``."""
        everyone = tuple(witnesses)
        releases = []
        for witness in everyone:
            known = self._known.get(witness)
            if witness in own:
                releases.append(own[witness])
            elif known is not None and known[1] == epoch:
                releases.append(known[2])
        needed = majority(len(everyone))
        ordered = sorted(releases, reverse=True)
        return ordered[needed - 1] if len(ordered) >= needed else ReleaseRevision(0)
