"""Differences between views, which spare sending the whole view to every node on each change."""

from chervilrack._internal.membership.messages import ViewDelta
from chervilrack._internal.membership.state import View

MAX_VIEWS = 16  # a node that is further behind receives the whole view


class ViewHistory:
    """The last views that this node has adopted."""

    def __init__(self) -> None:
        self._views: list[View] = []
        self._deltas: dict[int, ViewDelta | None] = {}

    def add(self, view: View) -> None:
        """Add the view that this node has just adopted."""
        self._views = [*self._views, view][-MAX_VIEWS:]
        self._deltas.clear()

    def delta(self, epoch: int, mod_revision: int) -> ViewDelta | None:
        """Return the difference between the view of ``epoch`` and the newest view.

        Returns None if the view of ``epoch`` is not kept any more or ``create_delta`` fails.
        """
        if epoch not in self._deltas:
            base = next((view for view in self._views if view.epoch == epoch), None)
            delta = create_delta(base, self._views[-1], mod_revision) if base else None
            self._deltas[epoch] = delta
        return self._deltas[epoch]


def create_delta(base: View, view: View, mod_revision: int) -> ViewDelta | None:
    """Return the message that turns ``base`` into ``view``, or None if no delta can express it."""
    before = {member.node: member for member in base.members}
    after = {member.node: member for member in view.members}
    earlier_departures = set(base.departed)
    delta = ViewDelta(
        base=base.epoch,
        epoch=view.epoch,
        mod_revision=mod_revision,
        changed=tuple(member for member in view.members if before.get(member.node) != member),
        removed=tuple(node for node in before if node not in after),
        witnesses=view.witnesses if view.witnesses != base.witnesses else None,
        forgotten=tuple(item for item in base.departed if item not in view.departed),
        departed=tuple(item for item in view.departed if item not in earlier_departures),
        unsealed=view.unsealed,
        doubtful=view.doubtful,
        release=view.release,
        written_by=view.written_by,
    )
    return delta if apply_delta(base, delta) == view else None


def apply_delta(base: View, delta: ViewDelta) -> View:
    """Return the view that results from applying ``delta`` to ``base``.

    ``base`` must be the view of the epoch ``delta.base``; each epoch has exactly one view.
    """
    members = {member.node: member for member in base.members if member.node not in delta.removed}
    members.update((member.node, member) for member in delta.changed)
    forgotten = set(delta.forgotten)
    kept = tuple(item for item in base.departed if item not in forgotten)
    return View(
        epoch=delta.epoch,
        members=tuple(member for _, member in sorted(members.items())),
        witnesses=base.witnesses if delta.witnesses is None else delta.witnesses,
        departed=kept + delta.departed,
        unsealed=delta.unsealed,
        doubtful=delta.doubtful,
        release=delta.release,
        written_by=delta.written_by,
    )
