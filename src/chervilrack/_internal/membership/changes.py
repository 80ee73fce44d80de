"""Construction of the next view; every change of an existing view goes through ``ViewChange``."""

from collections.abc import Iterable

from chervilrack._internal.common.ids import Epoch, NodeId, ReleaseRevision
from chervilrack._internal.membership.sealing import Sealing
from chervilrack._internal.membership.state import (
    MAX_DEPARTED,
    Departed,
    Member,
    MembershipSettings,
    MemberState,
    UnsealedEpoch,
    View,
)
from chervilrack._internal.membership.witnesses import choose_witnesses


class ViewChange:
    """Collects changes of a view that are written together."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._members = {member.node: member for member in view.members}
        self._removed: list[Departed] = []

    @property
    def changed(self) -> bool:
        """Whether the collected members differ from those of the original view."""
        return self._members != {member.node: member for member in self._view.members}

    def join(self, member: Member) -> None:
        """Add a member, or replace the member that is an earlier process of the same node."""
        earlier = self._members.get(member.node)
        departed = next((d for d in self._view.departed if d.node == member.node), None)
        failures = departed.failures if departed else 0
        if earlier is not None:
            failures = earlier.failures
            self._removed.append(
                Departed(earlier.node, earlier.incarnation, self._next_epoch, earlier.failures)
            )
        self._members[member.node] = Member(
            member.node,
            member.incarnation,
            member.zone,
            member.peer_address,
            member.http_address,
            failures=failures,
        )

    def mark_leaving(self, node: NodeId) -> None:
        """Mark a member as leaving, so that it owns no items and look-ups no longer return it."""
        member = self._members[node]
        self._members[node] = Member(
            member.node,
            member.incarnation,
            member.zone,
            member.peer_address,
            member.http_address,
            MemberState.LEAVING,
            member.failures,
        )

    def leave(self, node: NodeId) -> None:
        """Remove a member that has drained."""
        self._remove(node, 0, drained=True)

    def fail(self, nodes: Iterable[NodeId], long_lived: frozenset[NodeId]) -> None:
        """Remove members that have failed.

        The failure count of a member in ``long_lived`` restarts at one.
        """
        for node in nodes:
            earlier = 0 if node in long_lived else self._members[node].failures
            self._remove(node, earlier + 1)

    def build(
        self,
        settings: MembershipSettings,
        sealing: Sealing,
        release: ReleaseRevision,
        written_by: str,
    ) -> View:
        """Return the next view, with its witnesses and all epochs not known to be sealed."""
        members = tuple(member for _, member in sorted(self._members.items()))
        unsealed = sealing.unsealed
        if self._view.witnesses:
            unsealed += (UnsealedEpoch(self._view.epoch, self._view.witnesses),)
        superseded = {item.node for item in self._removed} | set(self._members)
        earlier_departures = [item for item in self._view.departed if item.node not in superseded]
        new_departures = [item for item in self._removed if item.node not in self._members]
        return View(
            epoch=self._next_epoch,
            members=members,
            witnesses=choose_witnesses(members, settings.max_witnesses),
            departed=tuple((earlier_departures + new_departures)[-MAX_DEPARTED:]),
            unsealed=unsealed,
            doubtful=sealing.doubtful_epochs,
            release=max(release, self._view.release),
            written_by=written_by,
        )

    @property
    def _next_epoch(self) -> Epoch:
        return Epoch(self._view.epoch + 1)

    def _remove(self, node: NodeId, failures: int, drained: bool = False) -> None:
        member = self._members.pop(node)
        self._removed.append(
            Departed(node, member.incarnation, self._next_epoch, failures, drained)
        )


def first_view(member: Member, release: ReleaseRevision, written_by: str) -> View:
    """Return the view of the first member of a new installation."""
    return View(
        epoch=Epoch(1),
        members=(member,),
        witnesses=(member.process,),
        release=release,
        written_by=written_by,
    )
