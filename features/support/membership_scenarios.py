"""Fixed fault situations of the membership protocol.

Each function runs membership cores and raises AssertionError if the protocol fails.
"""

import random
from dataclasses import replace

from features.support.membership_world import SETTINGS, STEP, MembershipWorld

from chervilrack._internal.membership import messages as m
from chervilrack._internal.membership.core import Membership
from chervilrack._internal.membership.state import (
    Departed,
    Member,
    MembershipSettings,
    MemberState,
    View,
)
from chervilrack._internal.membership.witnesses import zone_relays

SETTLE_LIMIT_STEPS = 400


def settled_world(nodes, settings=SETTINGS, seed=1):
    world = MembershipWorld(nodes, seed, settings)
    world.run_until_settled(SETTLE_LIMIT_STEPS)
    return world


def witness_names(world):
    return [process.node for process in next(iter(world.nodes.values())).core.view.witnesses]


def highest_epoch(world):
    return max(node.core.epoch for node in world.nodes.values())


def acting_nodes(world):
    return {n.name for n in world.nodes.values() if n.core.may_act(n.now(world))}


def stale_view():
    """A node that does not receive a new view stops before the view is active."""
    world = settled_world(5)
    victim = next(name for name in world.nodes if name not in witness_names(world)[:1])
    world.platform.cut.add(victim)
    other = next(n for n in world.nodes if n != victim and n != witness_names(world)[0])
    world.cut_links |= {(name, victim) for name in world.nodes if name != victim}
    world.dropped_message_types |= {m.ViewPush, m.ViewDelta}
    world.cut_links.clear()
    world.crash(other)
    world.run_steps(120)
    assert highest_epoch(world) > world.nodes[victim].core.epoch
    assert victim not in acting_nodes(world)


def new_witnesses_without_release():
    """New witnesses do not confirm nodes with a release that the replaced witnesses refused."""
    world = settled_world(7, replace(SETTINGS, max_witnesses=3))
    world.run_steps(50)
    old = witness_names(world)
    world.nodes_without_releases = set(world.nodes) - set(old)
    world.record_release()
    world.run_steps(40)
    assert 1 in world.acceptance_times
    for name in old[:2]:
        world.crash(name)
    world.run_steps(200)
    assert len(set(witness_names(world)) & set(old)) == 1, "the witnesses were not replaced"


def release_withheld_from_node():
    """A node that does not apply an accepted release stops within the confirmation TTL."""
    world = settled_world(5)
    victim = next(iter(world.nodes))
    world.nodes_without_releases.add(victim)
    world.record_release()
    world.run_steps(60)
    assert 1 in world.acceptance_times
    assert victim not in acting_nodes(world)


def accepted_release_behind_relays():
    """A node that talks only to relays receives the accepted release."""
    world = settled_world(16)
    world.record_release()
    world.run_steps(80)
    releases = {node.core.witness_release_majority for node in world.nodes.values()}
    assert releases == {1}, releases


def restart_during_outage():
    """A node that starts during an outage receives the view from peers, but does not act."""
    world = settled_world(5)
    world.platform.up = False
    world.crash("n2")
    world.start(2)
    world.run_steps(60)
    assert world.nodes["n2"].core.view is not None
    assert acting_nodes(world) == set(world.nodes) - {"n2"}


def restarted_witness():
    """A restarted witness does not confirm nodes at the epoch of its earlier process."""
    world = settled_world(4)
    first, second, third = witness_names(world)
    world.platform.up = False
    world.crash(first)
    world.start(int(first[1:]))
    world.run_steps(50)
    others = set(world.nodes) - {first}
    world.cut_links |= {(first, name) for name in others} | {(name, first) for name in others}
    world.platform.up = True
    world.platform.cut = set(others)
    world.crash(second)
    world.run_steps(40)
    world.start(int(second[1:]))
    world.platform.cut.add(second)
    world.run_steps(100)
    assert world.nodes[third].core.epoch < world.nodes[first].core.active_epoch


def minority_with_platform_access():
    """A minority of witnesses cannot activate a later epoch, although it reaches the platform."""
    world = settled_world(5)
    inside = witness_names(world)[:2]
    world.platform.cut = set(world.nodes) - set(inside)
    world.cut_off(inside)
    world.run_steps(5)
    world.handle_event(world.nodes[inside[0]], m.LeaveRequested())
    world.run_steps(100)
    assert highest_epoch(world) == world.nodes[inside[0]].core.epoch
    assert acting_nodes(world) == set(world.nodes) - set(inside)
    world.heal()
    world.crash(inside[0])
    world.run_until_settled(SETTLE_LIMIT_STEPS)


def node_without_witness_majority():
    """A node that reaches only a minority of the witnesses stops."""
    world = settled_world(5)
    inside = witness_names(world)[:2]
    world.platform.up = False
    world.cut_off(inside)
    world.run_steps(30)
    assert acting_nodes(world) == set(world.nodes) - set(inside)


def delayed_replies():
    """Delayed replies extend no validity, because it counts from the send time of the heartbeat."""
    world = settled_world(3)
    victim = next(name for name in world.nodes if name != witness_names(world)[0])
    others = set(world.nodes) - {victim}
    world.run_steps(1)
    world.nodes[victim].paused = True
    world.run_steps(45)
    world.cut_links |= {(victim, name) for name in others} | {(name, victim) for name in others}
    world.platform.cut.add(victim)
    world.nodes[victim].paused = False
    world.run_steps(40)
    assert victim not in acting_nodes(world)


def activation_delay():
    """The next epoch becomes active only when the validity of a cut-off node has ended."""
    world = settled_world(5)
    victim = next(name for name in world.nodes if name not in witness_names(world)[:2])
    world.run_steps(7)
    writer = next(name for name in world.nodes if name != victim)
    world.cut_off({victim})
    world.platform.cut.add(victim)
    world.handle_event(world.nodes[writer], m.LeaveRequested())
    world.run_steps(60)
    assert victim not in acting_nodes(world)


def single_broken_link():
    """A single link that is broken in one or both directions causes no view change."""
    for both in (False, True):
        world = settled_world(5)
        before = world.views_written
        a, b = witness_names(world)[:2]
        world.cut_links.add((a, b))
        if both:
            world.cut_links.add((b, a))
        world.run_steps(150)
        assert world.views_written == before, "a single link caused a view change"
        assert acting_nodes(world) == set(world.nodes)


def node_without_inbound_messages():
    """A node that receives no messages is removed, with a bounded number of view changes."""
    world = settled_world(5)
    victim = witness_names(world)[0]
    before = world.views_written
    world.cut_links |= {(name, victim) for name in world.nodes if name != victim}
    world.run_steps(600)
    # One removal, and at most one join and removal per join probe timeout and flap delay.
    assert 1 <= world.views_written - before <= 9, world.views_written - before
    world.heal()
    world.run_until_settled(SETTLE_LIMIT_STEPS)


def vm_list_of_earlier_vm():
    """A VM list that describes the earlier VM of a node id does not remove the new member."""
    world = settled_world(5)
    world.crash("n3")
    world.run_steps(40)
    world.start(3)
    world.run_until_settled(SETTLE_LIMIT_STEPS)
    before = world.views_written
    world.listed_as_stopped.add("n3")
    world.run_steps(15)
    world.listed_as_stopped.discard("n3")
    world.run_steps(100)
    assert world.views_written == before, "the list entry of an earlier VM removed a live node"


def lost_write_response():
    """After the response to a write is lost, the view is read before the next write."""
    member = Member("a", "a.1", "z", "peer:a", "http:a")
    core = Membership(member, MembershipSettings(), random.Random(0))
    now = STEP
    assert any(isinstance(e, m.ReadView) for e in core.handle(m.Tick(), now))
    written = [e for e in core.handle(m.ViewAbsent(), now) if isinstance(e, m.WriteView)]
    assert len(written) == 1
    core.handle(m.ViewWriteFinished(m.WriteOutcome.UNKNOWN), now)
    effects = core.handle(m.Tick(), now + STEP)
    assert [type(e) for e in effects] == [m.ReadView], effects
    effects = core.handle(m.ViewLearned(written[0].view, 9), now + 2 * STEP)
    assert core.is_member
    assert not any(isinstance(e, m.WriteView) for e in effects)


def cut_off_zone_with_relays():
    """Nodes stop together with their relays when these are cut off from the witnesses."""
    world = settled_world(16)
    view = world.nodes["n0"].core.view
    zone = min(
        {member.zone for member in view.members},
        key=lambda z: sum(view.member(w.node).zone == z for w in view.witnesses),
    )
    inside = {member.node for member in view.members if member.zone == zone}
    assert len(zone_relays(view, zone, 2)) == 2
    world.cut_off(inside)
    world.platform.cut = set(inside)
    world.run_steps(150)
    assert acting_nodes(world) == set(world.nodes) - inside
    world.heal()
    world.run_until_settled(SETTLE_LIMIT_STEPS)


def replacement_at_other_address():
    """A new process of a node replaces the earlier one, even at another address."""
    world = settled_world(5)
    world.crash("n1")
    world.start(1, other_address=True)
    world.run_until_settled(SETTLE_LIMIT_STEPS)
    view = world.nodes["n0"].core.view
    assert view.member("n1").peer_address == "peer:1.2"


def planned_leave():
    """A leaving node is marked first, and removed after it has finished its requests."""
    world = settled_world(4)
    name = witness_names(world)[0]
    world.handle_event(world.nodes[name], m.LeaveRequested())
    world.run_steps(30)
    leaving_member = world.nodes[name].core.view.member(name)
    assert leaving_member.state is MemberState.LEAVING
    assert name in acting_nodes(world)
    world.handle_event(world.nodes[name], m.Drained())
    world.run_steps(30)
    assert name not in acting_nodes(world)
    world.crash(name)
    world.run_until_settled(SETTLE_LIMIT_STEPS)
    survivor = next(iter(world.nodes.values()))
    assert survivor.core.view.member(name) is None


def long_platform_outage():
    """All nodes keep the right to act during a long platform outage."""
    world = settled_world(5)
    world.platform.up = False
    for _ in range(600):
        world.step()
        assert acting_nodes(world) == set(world.nodes)


def all_nodes_replaced():
    """After the loss of all nodes, the cluster restarts with nodes that have other ids."""
    world = settled_world(3)
    for name in list(world.nodes):
        world.crash(name)
    for number in (4, 5, 6):
        world.start(number)
    world.run_until_settled(SETTLE_LIMIT_STEPS)


def paused_node():
    """The confirmation of a paused node expires before the node continues."""
    world = settled_world(5)
    victim = witness_names(world)[1]
    world.nodes[victim].paused = True
    world.run_steps(25)
    assert not world.nodes[victim].core.may_act(world.nodes[victim].now(world))
    world.run_steps(60)
    world.nodes[victim].paused = False
    world.run_until_settled(SETTLE_LIMIT_STEPS)


def flap_damping():
    """Each failure of a node doubles the delay of its next join."""
    settings = MembershipSettings()
    join_times = []
    for failures in (0, 1, 2, 4):
        member = Member("b", "b.1", "z", "peer:b", "http:b")
        core = Membership(member, settings, random.Random(0))
        other = Member("a", "a.1", "z", "peer:a", "http:a")
        departed = (Departed("b", "b.0", 2, failures),) if failures else ()
        view = View(2, (other,), (other.process,), departed)
        core.handle(m.ViewLearned(view, 5), STEP)
        step = 1
        while not any(
            isinstance(effect, m.WriteView)
            for effect in [
                *core.handle(m.Tick(), step * STEP),
                *core.handle(m.ViewLearned(view, 5), step * STEP),
            ]
        ):
            step += 1
            reply = m.HeartbeatReply("b.1", 2, 0, 0, 1)
            core.handle(m.PeerMessage("a", "a.1", reply), step * STEP)
        join_times.append(step * STEP)
    assert join_times[1] >= settings.flap_delay
    assert join_times[2] >= 2 * settings.flap_delay
    assert join_times[3] >= 8 * settings.flap_delay
    assert join_times[0] < settings.flap_delay


SCENARIOS = {
    function.__name__.replace("_", " "): function
    for function in (
        stale_view,
        new_witnesses_without_release,
        release_withheld_from_node,
        accepted_release_behind_relays,
        restart_during_outage,
        restarted_witness,
        minority_with_platform_access,
        node_without_witness_majority,
        delayed_replies,
        activation_delay,
        single_broken_link,
        node_without_inbound_messages,
        vm_list_of_earlier_vm,
        lost_write_response,
        cut_off_zone_with_relays,
        replacement_at_other_address,
        planned_leave,
        long_platform_outage,
        all_nodes_replaced,
        paused_node,
        flap_damping,
    )
}
