"""Fixed runs of several membership cores; each raises AssertionError if the protocol fails."""

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

LIMIT = 400


def settled_world(nodes, settings=SETTINGS, seed=1):
    world = MembershipWorld(nodes, seed, settings)
    world.run_until_settled(LIMIT)
    return world


def witnesses(world):
    return [process.node for process in next(iter(world.nodes.values())).core.view.witnesses]


def epoch(world):
    return max(node.core.epoch for node in world.nodes.values())


def acting(world):
    return {n.name for n in world.nodes.values() if n.core.may_act(n.now(world))}


def stale_view():
    """A node that never hears of a new view stops before that view is active."""
    world = settled_world(5)
    victim = next(name for name in world.nodes if name not in witnesses(world)[:1])
    world.platform.cut.add(victim)
    other = next(n for n in world.nodes if n != victim and n != witnesses(world)[0])
    world.cuts |= {(name, victim) for name in world.nodes if name != victim}
    world.blocked |= {m.ViewPush, m.ViewDelta}
    world.cuts.clear()
    world.crash(other)
    world.run_steps(120)
    assert epoch(world) > world.nodes[victim].core.epoch
    assert victim not in acting(world)


def new_witnesses_without_release():
    """Witnesses that replace others do not confirm a release that those refused."""
    world = settled_world(7, replace(SETTINGS, max_witnesses=3))
    world.run_steps(50)
    old = witnesses(world)
    world.withheld = set(world.nodes) - set(old)
    world.record_release()
    world.run_steps(40)
    assert 1 in world.accepted
    for name in old[:2]:
        world.crash(name)
    world.run_steps(200)
    assert len(set(witnesses(world)) & set(old)) == 1, "the witnesses were not replaced"


def release_withheld_from_node():
    """A node that does not learn of an accepted release stops within the TTL."""
    world = settled_world(5)
    victim = next(iter(world.nodes))
    world.withheld.add(victim)
    world.record_release()
    world.run_steps(60)
    assert 1 in world.accepted
    assert victim not in acting(world)


def acceptance_behind_relays():
    """A node that talks only to relays learns which release is accepted."""
    world = settled_world(16)
    world.record_release()
    world.run_steps(80)
    known = {node.core.witness_release_majority for node in world.nodes.values()}
    assert known == {1}, known


def restart_in_outage():
    """A node that starts in an outage learns the view from peers and does not act."""
    world = settled_world(5)
    world.platform.up = False
    world.crash("n2")
    world.start(2)
    world.run_steps(60)
    assert world.nodes["n2"].core.view is not None
    assert acting(world) == set(world.nodes) - {"n2"}


def restarted_witness():
    """A restarted witness does not confirm at the epoch of its earlier run."""
    world = settled_world(4)
    first, second, third = witnesses(world)
    world.platform.up = False
    world.crash(first)
    world.start(int(first[1:]))
    world.run_steps(50)
    others = set(world.nodes) - {first}
    world.cuts |= {(first, name) for name in others} | {(name, first) for name in others}
    world.platform.up = True
    world.platform.cut = set(others)
    world.crash(second)
    world.run_steps(40)
    world.start(int(second[1:]))
    world.platform.cut.add(second)
    world.run_steps(100)
    assert world.nodes[third].core.epoch < world.nodes[first].core.active_epoch


def minority_with_platform():
    """A minority of witnesses that reaches the platform cannot activate a later epoch."""
    world = settled_world(5)
    inside = witnesses(world)[:2]
    world.platform.cut = set(world.nodes) - set(inside)
    world.cut_off(inside)
    world.run_steps(5)
    world.handle_event(world.nodes[inside[0]], m.LeaveRequested())
    world.run_steps(100)
    assert epoch(world) == world.nodes[inside[0]].core.epoch
    assert acting(world) == set(world.nodes) - set(inside)
    world.heal()
    world.crash(inside[0])
    world.run_until_settled(LIMIT)


def majority_confirms():
    """A node that reaches fewer than a majority of witnesses stops."""
    world = settled_world(5)
    inside = witnesses(world)[:2]
    world.platform.up = False
    world.cut_off(inside)
    world.run_steps(30)
    assert acting(world) == set(world.nodes) - set(inside)


def slow_answers():
    """Validity counts from the send time, so that answers delayed on the way add nothing."""
    world = settled_world(3)
    victim = next(name for name in world.nodes if name != witnesses(world)[0])
    others = set(world.nodes) - {victim}
    world.run_steps(1)
    world.nodes[victim].paused = True
    world.run_steps(45)
    world.cuts |= {(victim, name) for name in others} | {(name, victim) for name in others}
    world.platform.cut.add(victim)
    world.nodes[victim].paused = False
    world.run_steps(40)
    assert victim not in acting(world)


def activation_waits():
    """A cut-off node may act until its validity ends; the next epoch is active only then."""
    world = settled_world(5)
    victim = next(name for name in world.nodes if name not in witnesses(world)[:2])
    world.run_steps(7)
    writer = next(name for name in world.nodes if name != victim)
    world.cut_off({victim})
    world.platform.cut.add(victim)
    world.handle_event(world.nodes[writer], m.LeaveRequested())
    world.run_steps(60)
    assert victim not in acting(world)


def one_bad_link():
    """One broken link, in one direction or both, changes no view."""
    for both in (False, True):
        world = settled_world(5)
        before = world.views_written
        a, b = witnesses(world)[:2]
        world.cuts.add((a, b))
        if both:
            world.cuts.add((b, a))
        world.run_steps(150)
        assert world.views_written == before, "a single link caused a view change"
        assert acting(world) == set(world.nodes)


def deaf_node():
    """A node whose answers are lost is removed, and a bounded number of views is written."""
    world = settled_world(5)
    victim = witnesses(world)[0]
    before = world.views_written
    world.cuts |= {(name, victim) for name in world.nodes if name != victim}
    world.run_steps(600)
    # One removal and at most one join and removal for each join patience and flap delay.
    assert 1 <= world.views_written - before <= 9, world.views_written - before
    world.heal()
    world.run_until_settled(LIMIT)


def list_of_earlier_vm():
    """A list that still means the earlier VM of a node id does not remove the new one."""
    world = settled_world(5)
    world.crash("n3")
    world.run_steps(40)
    world.start(3)
    world.run_until_settled(LIMIT)
    before = world.views_written
    world.gone_listed.add("n3")
    world.run_steps(15)
    world.gone_listed.discard("n3")
    world.run_steps(100)
    assert world.views_written == before, "the list of an earlier VM removed a live node"


def lost_response():
    """After a lost response the view is read back before anything else is written."""
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
    """Nodes whose relays are cut off from the witnesses stop with their relays."""
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
    assert acting(world) == set(world.nodes) - inside
    world.heal()
    world.run_until_settled(LIMIT)


def replacement_at_other_address():
    """A new run of a node takes its place, also at another address."""
    world = settled_world(5)
    world.crash("n1")
    world.start(1, other_address=True)
    world.run_until_settled(LIMIT)
    view = world.nodes["n0"].core.view
    assert view.member("n1").peer_address == "peer:1.2"


def planned_leave():
    """A leaving node is marked first and removed when it has finished its requests."""
    world = settled_world(4)
    name = witnesses(world)[0]
    world.handle_event(world.nodes[name], m.LeaveRequested())
    world.run_steps(30)
    marked = world.nodes[name].core.view.member(name)
    assert marked.state is MemberState.LEAVING
    assert name in acting(world)
    world.handle_event(world.nodes[name], m.Drained())
    world.run_steps(30)
    assert name not in acting(world)
    world.crash(name)
    world.run_until_settled(LIMIT)
    rest = next(iter(world.nodes.values()))
    assert rest.core.view.member(name) is None


def long_outage():
    """All nodes keep acting through a long platform outage."""
    world = settled_world(5)
    world.platform.up = False
    for _ in range(600):
        world.step()
        assert acting(world) == set(world.nodes)


def all_nodes_replaced():
    """A fleet that was lost as a whole starts again under other node ids."""
    world = settled_world(3)
    for name in list(world.nodes):
        world.crash(name)
    for number in (4, 5, 6):
        world.start(number)
    world.run_until_settled(LIMIT)


def paused_node():
    """A paused node finds its confirmation expired when it continues."""
    world = settled_world(5)
    victim = witnesses(world)[1]
    world.nodes[victim].paused = True
    world.run_steps(25)
    assert not world.nodes[victim].core.may_act(world.nodes[victim].now(world))
    world.run_steps(60)
    world.nodes[victim].paused = False
    world.run_until_settled(LIMIT)


def flap_damping():
    """Each failure of a node doubles its delay before the next join."""
    settings = MembershipSettings()
    waits = []
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
        waits.append(step * STEP)
    assert waits[1] >= settings.flap_delay
    assert waits[2] >= 2 * settings.flap_delay
    assert waits[3] >= 8 * settings.flap_delay
    assert waits[0] < settings.flap_delay


SCENARIOS = {
    function.__name__.replace("_", " "): function
    for function in (
        stale_view,
        new_witnesses_without_release,
        release_withheld_from_node,
        acceptance_behind_relays,
        restart_in_outage,
        restarted_witness,
        minority_with_platform,
        majority_confirms,
        slow_answers,
        activation_waits,
        one_bad_link,
        deaf_node,
        list_of_earlier_vm,
        lost_response,
        cut_off_zone_with_relays,
        replacement_at_other_address,
        planned_leave,
        long_outage,
        all_nodes_replaced,
        paused_node,
        flap_damping,
    )
}
