"""Schedules of events that exceed a limit if one guard is missing; contains no steps.

Each schedule returns its cluster. With all guards, no schedule exceeds the limit.
"""

from limits_cluster import Cluster

from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.limits.messages import AllocationBatch


def owner_and_others(cluster):
    owner = rendezvous_owner(cluster.limit, cluster.view.active)
    return owner, sorted(cluster.view.members - {owner})


def start_cluster(limit, nodes=3, kind="concurrency"):
    cluster = Cluster(nodes, limit, kind)
    cluster.attempt_time = (6.0, 6.0)
    cluster.unknown_end_probability = 0.0
    cluster.advance(0.5)
    return cluster, *owner_and_others(cluster)


def hold_allocations(cluster, to):
    """Hold allocations that are sent to node ``to`` in the network."""
    cluster.should_hold = lambda _, receiver, message: (
        receiver == to and isinstance(message, AllocationBatch) and bool(message.allocations)
    )


def deliver_first_held(cluster):
    """End the holding of messages and deliver only the first held one."""
    cluster.should_hold = None
    held, cluster.held_messages = cluster.held_messages, []
    cluster.deliver(*held[0])


def request_whole_limit(cluster, name, limit):
    """Let a node get the whole limit with more requests than the limit allows."""
    cluster.add_requests(name, 4 * limit)
    cluster.advance(0.6)


def allocation_of_an_older_epoch(limit=4):
    """Deliver an allocation of an older epoch after its permits were allocated to another node."""
    cluster, _, (first, second) = start_cluster(limit)
    hold_allocations(cluster, first)
    cluster.add_requests(first, 2 * limit)
    cluster.advance(0.12)
    cluster.nodes[first].backlog = []
    cluster.advance(1.5)
    cluster.should_hold = None
    cluster.change_view(cluster.view.members)
    cluster.blocked_links = {(n, first) for n in cluster.nodes}
    for name in cluster.nodes:
        cluster.adopt_view(name)
    cluster.advance(0.2)
    cluster.add_requests(second, 2 * limit)
    cluster.advance(0.6)
    cluster.nodes[first].backlog = [1] * limit
    deliver_first_held(cluster)
    cluster.advance(0.2)
    return cluster


def repeated_older_allocation(limit=4):
    """Deliver a delayed allocation after a newer one has taken its permits back."""
    cluster, _, (first, second) = start_cluster(limit)
    cluster.attempt_time = (0.05, 0.05)
    hold_allocations(cluster, first)
    cluster.add_requests(first, 2)
    cluster.advance(0.12)
    cluster.should_hold = None
    cluster.advance(1.0)
    cluster.attempt_time = (6.0, 6.0)
    cluster.add_requests(second, 2 * limit)
    cluster.advance(1.0)
    cluster.nodes[first].backlog = [1] * limit
    deliver_first_held(cluster)
    cluster.advance(0.2)
    return cluster


def allocation_under_an_older_release(limit=4):
    """Deliver an allocation that was computed before a release lowered the limit."""
    cluster, _, (first, _) = start_cluster(limit)
    hold_allocations(cluster, first)
    cluster.add_requests(first, 2 * limit)
    cluster.advance(0.12)
    cluster.blocked_links = {(n, first) for n in cluster.nodes}
    cluster.publish_release(limit // 2)
    for name in cluster.nodes:
        cluster.apply_releases(name)
    deliver_first_held(cluster)
    cluster.advance(0.5)
    return cluster


def allocation_in_transit(limit=4):
    """Delay an allocation while another node requests the same permits."""
    cluster, _, (first, second) = start_cluster(limit)
    hold_allocations(cluster, first)
    cluster.add_requests(first, 2 * limit)
    cluster.advance(0.12)
    cluster.add_requests(second, 2 * limit)
    cluster.advance(0.6)
    deliver_first_held(cluster)
    cluster.advance(0.2)
    return cluster


def work_of_a_removed_node(limit=4):
    """Remove a crashed node while its work still occupies the whole limit."""
    cluster, owner, (first, second) = start_cluster(limit)
    request_whole_limit(cluster, first, limit)
    cluster.nodes[first].crashed = True
    cluster.change_view({owner, second}, member_removed=True)
    for name in (owner, second):
        cluster.adopt_view(name)
    cluster.activate()
    for name in (owner, second):
        cluster.announce_active_epoch(name)
    cluster.add_requests(second, 2 * limit)
    cluster.advance(3.0)
    return cluster


def report_missing_in_a_new_view(limit=4):
    """Lose the reports of a node in a new view while its work occupies the whole limit."""
    cluster, owner, (first, second) = start_cluster(limit)
    request_whole_limit(cluster, first, limit)
    cluster.change_view(cluster.view.members)
    cluster.blocked_links = {(first, name) for name in (owner, second)}
    for name in cluster.nodes:
        cluster.adopt_view(name)
    cluster.add_requests(second, 2 * limit)
    cluster.advance(1.0)
    return cluster


def tightening_while_work_runs(limit=10):
    """Halve the limit while one node's work exceeds its scaled share and no messages arrive."""
    cluster, _, (first, second) = start_cluster(limit)
    cluster.attempt_time = (0.02, 0.02)
    cluster.add_requests(second, 4)
    cluster.advance(0.5)
    cluster.attempt_time = (6.0, 6.0)
    cluster.add_requests(first, 6)
    cluster.advance(0.6)
    cluster.publish_release(limit // 2)
    cluster.blocked_links = {(a, b) for a in cluster.nodes for b in cluster.nodes}
    for name in cluster.nodes:
        cluster.apply_releases(name)
    cluster.add_requests(second, 4)
    cluster.advance(0.5)
    return cluster


def transfer_times_differ():
    """Let requests reach the upstream closer together than they were dispatched."""
    cluster = Cluster(3, 1, "requests_per_s", seed=3)
    cluster.add_requests("n1", 60)
    cluster.advance(40.0)
    return cluster


def node_not_confirmed(limit=9):
    """Send requests to a removed node that has not learnt of its removal."""
    cluster, owner, (first, second) = start_cluster(limit)
    cluster.change_view({owner, second}, member_removed=True)
    cluster.activate()
    cluster.add_requests(first, 2)
    return cluster


SCHEDULES = {
    "epoch check": allocation_of_an_older_epoch,
    "version check": repeated_older_allocation,
    "revision check": allocation_under_an_older_release,
    "unacknowledged allocations": allocation_in_transit,
    "quarantine": work_of_a_removed_node,
    "quarantine time": work_of_a_removed_node,
    "reports from all members": report_missing_in_a_new_view,
    "suspension after tightening": tightening_while_work_runs,
    "window margin": transfer_times_differ,
    "confirmation": node_not_confirmed,
}
