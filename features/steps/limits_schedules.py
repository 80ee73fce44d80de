"""Directed schedules, each of which needs one guard of the limits protocol; contains no steps."""

from limits_cluster import Cluster

from chervilrack._internal.common.hashing import rendezvous_owner
from chervilrack._internal.limits.messages import AllocationBatch


def owner_and_others(cluster):
    owner = rendezvous_owner(cluster.limit, cluster.view.active)
    return owner, sorted(cluster.view.members - {owner})


def start(limit, nodes=3, kind="concurrency"):
    cluster = Cluster(nodes, limit, kind)
    cluster.attempt_time = (6.0, 6.0)
    cluster.unknown_ends = 0.0
    cluster.advance(0.5)
    return cluster, *owner_and_others(cluster)


def keep_allocations(cluster, to):
    """Keep allocations to a node in the network."""
    cluster.hold = lambda _, receiver, message: (
        receiver == to and isinstance(message, AllocationBatch) and bool(message.allocations)
    )


def deliver_kept(cluster):
    """Deliver the first message that was kept."""
    cluster.hold = None
    kept, cluster.held = cluster.held, []
    cluster.deliver(*kept[0])


def give_all(cluster, name, limit):
    """Let a node hold the whole limit with work that never starts."""
    cluster.demand(name, 4 * limit)
    cluster.advance(0.6)


def allocation_of_an_older_epoch(limit=4):
    cluster, _, (first, second) = start(limit)
    keep_allocations(cluster, first)
    cluster.demand(first, 2 * limit)
    cluster.advance(0.12)
    cluster.nodes[first].backlog = []
    cluster.advance(1.5)
    cluster.hold = None
    cluster.change_view(cluster.view.members)
    cluster.blocked = {(n, first) for n in cluster.nodes}
    for name in cluster.nodes:
        cluster.adopt(name)
    cluster.advance(0.2)
    cluster.demand(second, 2 * limit)
    cluster.advance(0.6)
    cluster.nodes[first].backlog = [1] * limit
    deliver_kept(cluster)
    cluster.advance(0.2)
    return cluster


def repeated_older_allocation(limit=4):
    cluster, _, (first, second) = start(limit)
    cluster.attempt_time = (0.05, 0.05)
    keep_allocations(cluster, first)
    cluster.demand(first, 2)
    cluster.advance(0.12)
    cluster.hold = None
    cluster.advance(1.0)
    cluster.attempt_time = (6.0, 6.0)
    cluster.demand(second, 2 * limit)
    cluster.advance(1.0)
    cluster.nodes[first].backlog = [1] * limit
    deliver_kept(cluster)
    cluster.advance(0.2)
    return cluster


def allocation_under_an_older_release(limit=4):
    cluster, _, (first, _) = start(limit)
    keep_allocations(cluster, first)
    cluster.demand(first, 2 * limit)
    cluster.advance(0.12)
    cluster.blocked = {(n, first) for n in cluster.nodes}
    cluster.release(limit // 2)
    for name in cluster.nodes:
        cluster.apply_release(name)
    deliver_kept(cluster)
    cluster.advance(0.5)
    return cluster


def allocation_under_way(limit=4):
    cluster, _, (first, second) = start(limit)
    keep_allocations(cluster, first)
    cluster.demand(first, 2 * limit)
    cluster.advance(0.12)
    cluster.demand(second, 2 * limit)
    cluster.advance(0.6)
    deliver_kept(cluster)
    cluster.advance(0.2)
    return cluster


def work_of_a_removed_node(limit=4):
    cluster, owner, (first, second) = start(limit)
    give_all(cluster, first, limit)
    cluster.nodes[first].crashed = True
    cluster.change_view({owner, second}, removed=True)
    for name in (owner, second):
        cluster.adopt(name)
    cluster.activate()
    for name in (owner, second):
        cluster.tell_active(name)
    cluster.demand(second, 2 * limit)
    cluster.advance(3.0)
    return cluster


def report_missing_in_a_new_view(limit=4):
    cluster, owner, (first, second) = start(limit)
    give_all(cluster, first, limit)
    cluster.change_view(cluster.view.members)
    cluster.blocked = {(first, name) for name in (owner, second)}
    for name in cluster.nodes:
        cluster.adopt(name)
    cluster.demand(second, 2 * limit)
    cluster.advance(1.0)
    return cluster


def tightening_while_work_runs(limit=10):
    cluster, _, (first, second) = start(limit)
    cluster.attempt_time = (0.02, 0.02)
    cluster.demand(second, 4)
    cluster.advance(0.5)
    cluster.attempt_time = (6.0, 6.0)
    cluster.demand(first, 6)
    cluster.advance(0.6)
    cluster.release(limit // 2)
    cluster.blocked = {(a, b) for a in cluster.nodes for b in cluster.nodes}
    for name in cluster.nodes:
        cluster.apply_release(name)
    cluster.demand(second, 4)
    cluster.advance(0.5)
    return cluster


def transfer_times_differ():
    cluster = Cluster(3, 1, "requests_per_s", seed=3)
    cluster.demand("n1", 60)
    cluster.advance(40.0)
    return cluster


def node_not_confirmed(limit=9):
    cluster, owner, (first, second) = start(limit)
    cluster.change_view({owner, second}, removed=True)
    cluster.activate()
    cluster.demand(first, 2)
    return cluster


SCHEDULES = {
    "epoch check": allocation_of_an_older_epoch,
    "version check": repeated_older_allocation,
    "revision check": allocation_under_an_older_release,
    "unacknowledged allocations": allocation_under_way,
    "quarantine": work_of_a_removed_node,
    "quarantine time": work_of_a_removed_node,
    "reports from all members": report_missing_in_a_new_view,
    "suspension after tightening": tightening_while_work_runs,
    "window margin": transfer_times_differ,
    "confirmation": node_not_confirmed,
}
