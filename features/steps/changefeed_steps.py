"""Steps for the change feed: who watches, who is current, and a simulated fleet."""

from datetime import timedelta

from behave import given, then, when
from support.feed_load import FeedSimulation, Service

from chervilrack._internal.changefeed.core import ChangeFeed, ZoneMember
from chervilrack._internal.changefeed.limits import ApplyLimits
from chervilrack._internal.changefeed.messages import RelayedChange, StoreProgress
from chervilrack._internal.common.ids import NodeId, ZoneId
from chervilrack._internal.common.positions import StorePosition


def parse_members(text):
    members = []
    for part in text.split(", "):
        name, *rest = part.split()
        is_leaving = rest == ["leaving"]
        cores = float(rest[0]) if rest and not is_leaving else 1.0
        members.append(ZoneMember(NodeId(name), name, cores, not is_leaving))
    return members


@given("a node a in a zone with {members}")
def create_zone(context, members):
    context.members = parse_members(members)
    context.feeds = {}
    for member in context.members:
        feed = context.feeds[member.node] = ChangeFeed(member.node, ZoneId("z1"))
        feed.set_members(context.members)


@then("the watchers are {names} of the zone's nodes")
def check_watchers(context, names):
    can_watch = {member.node for member in context.members if member.can_watch}
    watchers = {node for node in can_watch if context.feeds[node].is_watcher}
    if len(context.members) < 5:
        assert watchers == can_watch, watchers
    elif names == "two":
        assert len(watchers) == 2, watchers
    else:
        assert watchers == set(names.split(", ")), watchers


@then("node a {passes} changes on if it watches")
def check_recipients(context, passes):
    for node, feed in context.feeds.items():
        others = {member.node for member in context.members} - {node}
        is_relay = feed.is_watcher and len(context.members) >= 5
        assert set(feed.recipients) == (others if is_relay else set()), (node, feed.recipients)
    feed = context.feeds["a"]
    assert bool(feed.recipients) <= (passes == "passes"), feed.recipients


@given("a node a that follows the watchers of its zone at revision {revision:d}")
def create_follower(context, revision):
    context.now = timedelta(seconds=100)
    context.revision = revision
    context.feed = ChangeFeed(NodeId("a"), ZoneId("z1"))
    context.feed.set_members(parse_members("a leaving, b, c, d, e"))


def own_position(context):
    return StorePosition(0, context.revision)


def receive(context, message):
    changes = context.feed.receive(NodeId("b"), message, own_position(context), context.now)
    if changes:
        assert [change.revision for change in changes] == list(
            range(context.revision + 1, message.revision + 1)
        ), changes
        context.revision = message.revision


@when("node a observes, of the feed, {events}")
def observe_feed(context, events):
    sender = ChangeFeed(NodeId("b"), ZoneId("z1"))
    for event in events.split(", "):
        match event.split():
            case ["nothing"]:
                pass
            case [seconds, "s"]:
                context.now += timedelta(seconds=float(seconds))
                context.feed.is_current(own_position(context), context.now)
            case ["keepalive", revision, *age]:
                age_ms = round(float(age[-1]) * 1000) if age else 0
                receive(context, StoreProgress(int(revision), int(revision), age_ms=age_ms))
            case [*large, "changes", first, "to", last]:
                value = b"x" * (9000 if large else 100)
                changes = [
                    RelayedChange("k", value, number, False)
                    for number in range(int(first) + 1, int(last) + 1)
                ]
                message = sender.progress(
                    int(first), StorePosition(0, int(last)), changes, context.now
                )
                receive(context, message)
            case ["own", "watch", revision]:
                context.revision = int(revision)
            case ["other", "zone", revision]:
                known = StorePosition(0, int(revision))
                context.feed.observe_position(known, own_position(context), context.now)


@then("node a is current at revision {revision:d}")
def check_current(context, revision):
    assert context.revision == revision, context.revision
    assert context.feed.is_current(own_position(context), context.now)


@then("node a watches from revision {revision:d}")
def check_watches(context, revision):
    assert context.revision == revision, context.revision
    assert not context.feed.is_current(own_position(context), context.now)


@then("node a lists before it watches")
def check_lists(context):
    assert not context.feed.is_current(own_position(context), context.now)
    assert context.feed.lacks_large_changes(own_position(context))


@then("node a watches without a listing")
def check_watches_without_listing(context):
    assert not context.feed.is_current(own_position(context), context.now)
    assert not context.feed.lacks_large_changes(own_position(context))


@given("{nodes:d} nodes in {zones:d} zones that follow the store")
def create_fleet(context, nodes, zones):
    context.fleet_shape = (nodes, zones)


@when("the store changes every {interval:g} s for {seconds:d} s and {event}")
def run_fleet(context, interval, seconds, event):
    size = 9000 if event == "all changes are too large to pass on" else 300
    simulation = context.simulation = FeedSimulation(*context.fleet_shape, seed=5, value_bytes=size)
    simulation.run(5.0)
    for number in range(int(seconds / interval)):
        simulation.schedule_change(5.0 + (number + 0.5) * interval)
    if event == "every fifth message is lost":
        simulation.lost_share = 0.2
    for node in simulation.nodes:
        node.calls = 0
    simulation.run(5.0 + seconds / 3)
    match event:
        case "all watchers are killed at once":
            simulation.kill_watchers()
        case "one watcher of each zone falls silent":
            simulation.silence_one_watcher_per_zone()
    simulation.run(5.0 + seconds)
    context.node_seconds = seconds * len(simulation.nodes)


@then("every live node learned every change within {late:g} s, in order")
def check_lateness(context, late):
    simulation = context.simulation
    simulation.run(simulation.now.total_seconds() + 2.0)
    assert simulation.changed_at
    for node in simulation.nodes:
        if not node.alive:
            continue
        for revision, changed_at in simulation.changed_at.items():
            assert revision in node.learned, (node.name, revision)
            delay = (node.learned[revision] - changed_at).total_seconds()
            assert delay <= late, (node.name, revision, delay)


@then("the nodes made at most {limit:g} watch calls per node and second")
def check_calls(context, limit):
    calls = sum(node.calls for node in context.simulation.nodes) / context.node_seconds
    assert calls <= limit, calls


@then("with a bound of {bound:g} s, a relay's age limit and the own call last as long")
def check_sum(context, bound):
    limits = context.limits = ApplyLimits(timedelta(seconds=bound))
    assert limits.max_age + limits.own_call_time == limits.bound
    assert limits.own_call_time >= limits.bound * 0.15


@then("an idle watch is answered before the age limit, and its call fails within the bound")
def check_order(context):
    limits = context.limits
    assert limits.change_delay < limits.watch_wait
    assert limits.watch_wait + limits.answer_time <= limits.max_age
    assert limits.watch_wait < limits.watch_timeout <= limits.bound
    assert limits.keepalive_interval < limits.max_age
    assert limits.lag_limit < limits.bound


SEEDS = 8


@given("{nodes:d} nodes in {zones:d} zones that follow the store, with a bound of {bound:d} s")
def create_bounded_fleet(context, nodes, zones, bound):
    limits = ApplyLimits(timedelta(seconds=bound))
    context.simulations = [
        FeedSimulation(nodes, zones, seed, limits=limits) for seed in range(SEEDS)
    ]


@when(
    "{count:d} watchers of each zone are {how}, "
    "and the store changes right after its last answer to one of them"
)
def disturb(context, count, how):
    for number, simulation in enumerate(context.simulations):
        simulation.schedule_change(5.0)
        simulation.run(5.0 + 0.1 * number)
        watchers = [node for node in simulation.nodes if node.feed.is_watcher]
        answered = max(node.answered_at for node in watchers)
        # The next answer to a watcher, after which the trouble and the change come.
        while max(node.answered_at for node in watchers) == answered:
            simulation.run(simulation.now.total_seconds() + 0.002)
        if how == "killed":
            simulation.kill_watchers()
        else:
            simulation.disturb_watchers(count, how)
        simulation.schedule_change(simulation.now.total_seconds() + 0.001)
        simulation.run(simulation.now.total_seconds() + 8)


@then("every other node that is alive learns the change within {bound:d} s")
def check_learned(context, bound):
    for simulation in context.simulations:
        changed_at = simulation.changed_at[2]
        for node in simulation.nodes:
            if not node.alive or node.is_frozen or node.service is not Service.SERVED:
                continue
            assert 2 in node.learned, node.name
            delay = (node.learned[2] - changed_at).total_seconds()
            assert delay <= bound, (node.name, delay)
