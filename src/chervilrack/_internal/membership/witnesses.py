"""Choice of witnesses and relays, and the order of witnesses for removals."""

from collections import Counter
from collections.abc import Sequence

from chervilrack._internal.common.hashing import rendezvous_order
from chervilrack._internal.common.ids import Epoch, NodeId, ZoneId
from chervilrack._internal.membership.state import Member, MemberState, Process, View


def majority(count: int) -> int:
    """Return the size of the smallest majority of ``count``."""
    return count // 2 + 1


def choose_witnesses(members: Sequence[Member], maximum: int) -> tuple[Process, ...]:
    """Return an odd number of at most ``maximum`` members, spread evenly over zones.

    The number is odd because one more witness would not tolerate one more failure. Leaving members
    are chosen only if no active member exists.
    """
    active = [member for member in members if member.state is MemberState.ACTIVE]
    by_node = {member.node: member for member in active or members}
    count = min(maximum, len(by_node))
    count -= (count + 1) % 2
    order = [NodeId(node) for node in rendezvous_order("witness", by_node)]
    chosen: list[Member] = []
    chosen_per_zone: Counter[ZoneId] = Counter()
    while len(chosen) < count:
        fewest = min(chosen_per_zone[by_node[node].zone] for node in order)
        node = next(node for node in order if chosen_per_zone[by_node[node].zone] == fewest)
        order.remove(node)
        chosen_per_zone[by_node[node].zone] += 1
        chosen.append(by_node[node])
    return tuple(member.process for member in chosen)


def zone_relays(view: View, zone: ZoneId, count: int) -> tuple[Process, ...]:
    """Return up to ``count`` members of ``zone`` that relay for the other members of the zone."""
    members = {member.node: member for member in view.members if member.zone == zone}
    order = rendezvous_order("relay", members)
    return tuple(members[NodeId(node)].process for node in order[:count])


def removal_order(witnesses: Sequence[Process], epoch: Epoch) -> list[NodeId]:
    """Return the nodes of ``witnesses`` in the order in which they remove members at ``epoch``."""
    nodes = [witness.node for witness in witnesses]
    return [NodeId(node) for node in rendezvous_order(f"rank/{epoch}", nodes)]
