"""Simulation of several membership cores with their network, platform and clocks."""

import random
from datetime import timedelta

from chervilrack._internal.common.effects import Send
from chervilrack._internal.membership import messages as m
from chervilrack._internal.membership.core import Membership
from chervilrack._internal.membership.state import (
    Member,
    MembershipSettings,
    decode_view,
    encode_view,
)

STEP = timedelta(milliseconds=100)
CONFIRMATION_TTL = timedelta(seconds=2)
VM_LIST_LAG_STEPS = 20
CLOCK_RATES = (1.0, 0.996, 1.004, 1.0, 0.997, 1.003, 1.0)
SETTINGS = MembershipSettings(
    seeds=tuple(f"peer:{number}" for number in range(7)),
    flap_delay_max=timedelta(seconds=8),
    vm_list_lag=timedelta(seconds=4),
)


class FakePlatform:
    """Key-value store with revisions.

    No node reaches the platform unless ``up`` is true; nodes in ``cut`` never reach it.
    """

    def __init__(self):
        self.items = {}
        self.revision = 0
        self.up = True
        self.cut = set()
        self.lose_responses = 0
        self.calls = 0

    def reachable(self, node):
        return self.up and node not in self.cut

    def mod_revision(self, key):
        return self.items.get(key, (b"", 0))[1]

    def txn(self, compares, puts, deletes=()):
        """Apply all writes if all revisions in ``compares`` match; return whether they match."""
        self.calls += 1
        if any(self.mod_revision(key) != revision for key, revision in compares):
            return False
        self.revision += 1
        for key, value in puts:
            self.items[key] = (value, self.revision)
        for key in deletes:
            self.items.pop(key, None)
        return True


class Node:
    """One process of a node, with its own clock."""

    def __init__(self, name, number, run, world, address):
        self.name = name
        self.run = run
        self.clock_rate = CLOCK_RATES[number % len(CLOCK_RATES)]
        self.clock_offset = timedelta(seconds=1000 * number + 17 * run)
        self.paused = False
        self.release = 0
        self.epochs = [0]
        self.effects = []
        member = Member(name, f"{name}.{run}", f"zone-{number % 3}", address, f"http:{address}")
        self.process = member.process
        self.core = Membership(member, world.settings, random.Random(world.rng.random()))
        self.address = address

    def now(self, world):
        return self.clock_offset + world.time * self.clock_rate


class MembershipWorld:
    """Simulated nodes, links, platform and VM list.

    All random choices come from one seeded generator, and a step lasts 100 ms.
    """

    node_class = Node

    def __init__(self, nodes, seed, settings=SETTINGS):
        self.rng = random.Random(seed)
        self.settings = settings
        self.time = timedelta(0)
        self.steps = 0
        self.platform = FakePlatform()
        self.nodes = {}
        self.runs = {}
        self.crashed = {}
        self.queue = []
        self.cut_links = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.slow_platform = False
        self.listed_as_stopped = set()
        self.vm_list_changes = []
        self.recorded_release = 0
        self.acceptance_times = {}
        self.max_active_epoch = 0
        self.dropped_message_types = set()  # messages of these types are lost
        self.cannot_read_view = set()  # nodes that cannot read the view
        self.nodes_without_releases = set()  # nodes that apply no new releases
        self.views_written = 0
        self.views_by_epoch = {}
        for number in range(nodes):
            self.start(number)

    def start(self, number, other_address=False):
        name = f"n{number}"
        run = self.runs[number] = self.runs.get(number, 0) + 1
        address = f"peer:{number}" + (f".{run}" if other_address else "")
        self.crashed.pop(name, None)
        # Until this change, the VM list may show the state of the previous VM of the node.
        self.vm_list_changes.append((self.steps + VM_LIST_LAG_STEPS, "live", name))
        self.nodes[name] = self.node_class(name, number, run, self, address)

    def cut_off(self, inside):
        """Cut all links between ``inside`` and the other nodes in both directions."""
        outside = set(self.nodes) - set(inside)
        self.cut_links |= {(a, b) for a in inside for b in outside}
        self.cut_links |= {(b, a) for a in inside for b in outside}

    def crash(self, name):
        node = self.nodes.pop(name)
        self.crashed[name] = node
        self.vm_list_changes.append((self.steps + VM_LIST_LAG_STEPS, "gone", name))

    def handle_event(self, node, event):
        """Let the core of ``node`` handle an event, and apply the effects."""
        for effect in node.core.handle(event, node.now(self)):
            self.apply_effect(node, effect)
        self.check_node(node)

    def apply_effect(self, node, effect):
        node.effects.append(effect)
        match effect:
            case Send(to=to, message=message):
                self.send(node, to, message)
            case m.ContactSeed(address=address, message=message):
                for other in self.nodes.values():
                    if other.address == address:
                        self.send(node, other.name, message)
            case m.WriteView():
                self.schedule_platform_call(
                    self.platform_delay(), node, lambda: self.write_view(node, effect)
                )
            case m.ReadView():
                self.schedule_platform_call(
                    self.platform_delay(), node, lambda: self.read_view(node)
                )
            case m.ViewAdopted(view=view, previous=previous):
                assert previous is None or view.epoch > previous.epoch, "the epoch did not increase"
                assert view.epoch > node.epochs[-1], "the epoch did not increase"
                # Fails if a node applied a view delta wrongly.
                assert view == self.views_by_epoch[view.epoch], (
                    "the adopted view differs from the written view"
                )
                node.epochs.append(view.epoch)
            case m.EpochActive(epoch=epoch):
                self.max_active_epoch = max(self.max_active_epoch, epoch)

    def send(self, node, to, message):
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if (node.name, to) in self.cut_links or type(message) in self.dropped_message_types:
                continue
            if self.rng.random() < self.loss:
                continue
            delay = 0 if self.rng.random() < 0.7 else self.rng.randrange(1, 4)
            if self.duplication and self.rng.random() < 0.05:
                delay = self.rng.randrange(10, 60)
            self.queue.append(
                (self.steps + delay, to, lambda n, s=node.process, x=message: self.deliver(n, s, x))
            )

    def deliver(self, node, sender, message):
        self.handle_event(node, m.PeerMessage(sender.node, sender.incarnation, message))

    def schedule_platform_call(self, steps, node, action):
        """Run ``action`` on the platform after ``steps``, even if ``node`` crashes before."""
        self.queue.append((self.steps + steps, None, lambda _: action()))

    def platform_delay(self):
        return self.rng.randrange(5, 40) if self.slow_platform else 0

    def send_platform_response(self, node, event):
        if self.nodes.get(node.name) is not node:
            return
        self.queue.append((self.steps, node.name, lambda n: self.handle_event(n, event)))

    def write_view(self, node, effect):
        if not self.platform.reachable(node.name):
            outcome = self.rng.choice([m.WriteOutcome.NOT_APPLIED, m.WriteOutcome.UNKNOWN])
            self.send_platform_response(node, m.ViewWriteFinished(outcome))
            return
        compares = [("view", effect.expected_mod_revision)]
        if effect.head_mod_revision is not None:
            compares.append(("release/head", effect.head_mod_revision))
        applied = self.platform.txn(compares, [("view", encode_view(effect.view))])
        self.views_written += applied
        if applied:
            assert effect.view.epoch not in self.views_by_epoch, "an epoch was written twice"
            self.views_by_epoch[effect.view.epoch] = effect.view
        if self.platform.lose_responses:
            self.platform.lose_responses -= 1
            self.send_platform_response(node, m.ViewWriteFinished(m.WriteOutcome.UNKNOWN))
        elif applied:
            revision = self.platform.revision
            self.send_platform_response(node, m.ViewWriteFinished(m.WriteOutcome.APPLIED, revision))
        else:
            self.send_platform_response(node, m.ViewWriteFinished(m.WriteOutcome.CONFLICT))

    def read_view(self, node):
        if not self.platform.reachable(node.name) or node.name in self.cannot_read_view:
            return
        self.platform.calls += 1
        value, revision = self.platform.items.get("view", (b"", 0))
        event = m.ViewLearned(decode_view(value), revision) if revision else m.ViewAbsent()
        self.send_platform_response(node, event)

    def record_release(self):
        self.platform.txn([], [("release/head", str(self.recorded_release + 1).encode())])
        self.recorded_release += 1

    def apply_release(self, node):
        """Let the node apply the newest recorded release if it can read the platform."""
        if node.name in self.nodes_without_releases:
            return
        if self.platform.reachable(node.name) and node.release < self.recorded_release:
            node.release = self.recorded_release
            head = self.platform.mod_revision("release/head")
            self.handle_event(node, m.ReleaseApplied(node.release, head))

    def step(self):
        self.steps += 1
        self.time += STEP
        self.update_vm_list()
        for node in list(self.nodes.values()):
            if node.paused:
                continue
            self.deliver_platform_events(node)
            self.handle_event(node, m.Tick())
        self.deliver_due_messages()
        self.record_acceptances()
        self.check()

    def deliver_platform_events(self, node):
        reachable = self.platform.reachable(node.name)
        self.handle_event(node, m.PlatformReachable(reachable))
        if reachable and self.rng.random() < 0.3:
            self.apply_release(node)
        newer = self.platform.mod_revision("view") > node.core.mod_revision
        if reachable and newer and node.core.is_witness and self.rng.random() < 0.5:
            self.read_view(node)
        reads_list = node.core.is_witness or not node.core.may_act(node.now(self))
        if reachable and reads_list and self.steps % 10 == 0:
            self.handle_event(node, m.VmListLearned(frozenset(self.listed_as_stopped)))

    def update_vm_list(self):
        due = [change for change in self.vm_list_changes if change[0] <= self.steps]
        self.vm_list_changes = [change for change in self.vm_list_changes if change[0] > self.steps]
        for _, state, name in due:
            if state == "gone":
                self.listed_as_stopped.add(name)
            else:
                self.listed_as_stopped.discard(name)

    def deliver_due_messages(self):
        """Deliver all due messages in random order; messages to paused nodes wait."""
        for _ in range(50):
            due = [
                item for item in self.queue if item[0] <= self.steps and self.can_receive(item[1])
            ]
            if not due:
                return
            chosen = set(map(id, due))
            self.queue = [item for item in self.queue if id(item) not in chosen]
            self.rng.shuffle(due)
            for _, to, action in due:
                if to is None:
                    action(None)
                elif to in self.nodes and not self.nodes[to].paused:
                    action(self.nodes[to])

    def can_receive(self, to):
        return to is None or to not in self.nodes or not self.nodes[to].paused

    def record_acceptances(self):
        """Record accepted releases; section 2.4 of the design page.

        A release counts as accepted if the view of the reporting node is still the newest.
        """
        for node in self.nodes.values():
            core = node.core
            current = core.view and core.mod_revision == self.platform.mod_revision("view")
            revision = core.witness_release_majority if current else 0
            if revision and revision not in self.acceptance_times:
                self.acceptance_times[revision] = self.time

    def check_node(self, node):
        """Check that a node does not act at an epoch while a later epoch is active anywhere."""
        core = node.core
        if core.may_act(node.now(self)):
            assert node.process in {member.process for member in core.view.members}, (
                f"{node.name} acts although its view does not list its process"
            )
            assert core.confirmed_epoch >= self.max_active_epoch, (
                f"{node.name} is confirmed at epoch {core.confirmed_epoch}, but epoch "
                f"{self.max_active_epoch} is active"
            )

    def check(self):
        old = [
            r
            for r, at in self.acceptance_times.items()
            if self.time >= at + CONFIRMATION_TTL * 1.02
        ]
        floor = max(old, default=0)
        for node in self.nodes.values():
            self.check_node(node)
            if node.core.may_act(node.now(self)):
                assert node.release >= floor, (
                    f"{node.name} acts at release {node.release}, but release {floor} is accepted"
                )

    def run_steps(self, count):
        for _ in range(count):
            self.step()

    def heal(self):
        self.cut_links.clear()
        self.loss = self.duplication = 0.0
        self.slow_platform = False
        self.platform.up = True
        self.platform.cut.clear()
        self.platform.lose_responses = 0
        for node in self.nodes.values():
            node.paused = False

    def settled(self):
        """Whether all running nodes are confirmed members at the same, active epoch."""
        epochs = {node.core.epoch for node in self.nodes.values()}
        view = next(iter(self.nodes.values())).core.view if self.nodes else None
        return (
            len(epochs) == 1
            and view is not None
            and {member.node for member in view.members} == set(self.nodes)
            and all(
                node.core.may_act(node.now(self)) and node.core.active_epoch == node.core.epoch
                for node in self.nodes.values()
            )
        )

    def run_until_settled(self, limit):
        """Step until settled; return the number of steps, or fail after ``limit``."""
        for count in range(limit):
            if self.settled():
                return count
            self.step()
        states = {
            node.name: (
                node.core.epoch,
                node.core.active_epoch,
                node.core.is_member,
                node.core.may_act(node.now(self)),
            )
            for node in self.nodes.values()
        }
        raise AssertionError(f"not settled after {limit} steps: {states}")
