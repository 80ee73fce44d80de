"""Draws orders of what happens to the store, its answers and the messages between nodes.

The directories, catalogues, change feeds and records of blocks are the product's own. The store is
a dictionary with copies, and the thread that calls it delivers each answer later than it was given.
"""

import json
from collections import namedtuple
from dataclasses import replace
from datetime import timedelta
from functools import partial

from directory_steps import DirectoryNode, configuration_item
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilrack._internal.catalogue.core import REREGISTRATION_GRACE
from chervilrack._internal.changefeed.core import ZoneMember
from chervilrack._internal.changefeed.messages import StoreProgress
from chervilrack._internal.common.ids import Incarnation, NodeId, ServiceId
from chervilrack._internal.common.positions import StorePosition
from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.fleet.messages import StateReply, StateRequest
from chervilrack._internal.kvstore.eras import OlderEra, StoreEras
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue, TxnResult
from chervilrack._internal.quarantine.state import Trait
from chervilrack._internal.serving.block_store import BlockStore
from chervilrack.platform.run import SCHEMA

SECOND = timedelta(seconds=1)
MILLISECOND = SECOND / 1000
SLICE = SECOND / 5
# A watch without changes is answered after this time, and fails after the next one.
ANSWERED_AFTER = SECOND * 1.4
LOST_AFTER = SECOND * 1.8
MESSAGE_LOST_AFTER = SECOND
WRITTEN_AGAIN_AFTER = SECOND * 1.9
SHORTEST_OUTAGE = SECOND * 2
# Calls are not answered at the very moment at which they are due.
SLACK = SECOND * 0.8
SERVICE = ServiceId("plain")
NAMES = ("u1", "u2", "u3")
ZONES = ("z1", "z2")
TRAITS = ("x", "y")
READ_VERSIONS = 3

Registration = namedtuple("Registration", "started is_ready")
Copy = namedtuple("Copy", "at items history revision last_lease")


def in_order(position):
    """Return what positions are compared by, also without the product's order."""
    return position.era, position.revision


def decode_older(value):
    """Decode a configuration as older software does, which cannot read each version."""
    if json.loads(value)["version"] % READ_VERSIONS == 0:
        raise InvalidDocumentError(["an unknown field"])
    return SCHEMA.decode_configuration(value)


OLDER_SCHEMA = replace(SCHEMA, decode_configuration=decode_older)


class Store:
    """Contents, history and copies of the store, and what the operator and upstreams want there."""

    def __init__(self):
        self.era, self.revision, self.last_lease = 1, 1, 0
        self.items, self.history, self.copies = {}, [], []
        self.version = 0
        self.upstreams = {}
        self.zones = set()
        self.starts = 0
        self.now = timedelta(0)
        self.returned_at = None
        # Positions at which the latest registrations of upstreams ended.
        self.ended_at = {}
        # Positions from which the operator had taken an evacuation back, and from which it held
        # again, by zone.
        self.taken_back = {zone: [] for zone in ZONES}
        # Positions of the evacuations in the store's contents.
        self.evacuated_at = {}
        self.configure()

    def put(self, key, value):
        self.revision += 1
        item = KeyValue(key, value, self.revision)
        self.items[key] = item
        self.history.append(Change(ChangeKind.PUT, item))

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.history.append(Change(ChangeKind.DELETE, KeyValue(key, b"", self.revision)))

    def configure(self):
        self.version += 1
        self.put("op/config", configuration_item(self.version, 0).value)

    def change(self, name, what):
        """Register, drain or end an upstream; its next start has a later time."""
        known = self.upstreams.get(name)
        if what == "starts":
            self.starts += 1
            self.upstreams[name] = Registration(self.starts, True)
        elif known is None:
            return
        elif what == "drains":
            self.upstreams[name] = Registration(known.started, False)
        else:
            self.upstreams[name] = None
        self.write_upstream(name)
        if what == "ends":
            self.ended_at[name, known.started] = StorePosition(self.era, self.revision)

    @property
    def position(self):
        return StorePosition(self.era, self.revision)

    def evacuate(self, zone, *, ends):
        had = zone in self.zones
        self.zones = self.zones - {zone} if ends else self.zones | {zone}
        self.write_evacuation(zone)
        if had and ends:
            self.taken_back[zone].append((self.position, None))
        elif self.taken_back[zone] and not had and not ends:
            since, _ = self.taken_back[zone].pop()
            self.taken_back[zone].append((since, self.position))

    def may_lack_evacuation(self, zone, position):
        """Whether the operator had taken an evacuation back, and not begun it anew, at a position.

        A node at this position does not know yet that the zone is evacuated again.
        """
        return any(
            in_order(since) <= in_order(position)
            and (until is None or in_order(position) < in_order(until))
            for since, until in self.taken_back[zone]
        )

    def write_evacuation(self, zone):
        """Make the evacuation of a zone what it is to be."""
        key = f"op/evacuate/{zone}"
        if zone in self.zones and key not in self.items:
            self.put(key, b"{}")
            self.evacuated_at[zone] = self.position
        elif zone not in self.zones and key in self.items:
            self.remove(key)
            del self.evacuated_at[zone]

    def write_upstream(self, name):
        """Make the entry of an upstream what it is to be."""
        key, wanted = f"servers/{name}", self.upstreams.get(name)
        if wanted is None:
            if key in self.items:
                started = json.loads(self.items[key].value)["born"]
                self.remove(key)
                self.ended_at[name, started] = StorePosition(self.era, self.revision)
            return
        entry = {
            "service": SERVICE,
            "address": f"10.0.0.{wanted.started % 250 + 1}:80",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready" if wanted.is_ready else "draining",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": wanted.started,
        }
        value = json.dumps(entry).encode()
        if key not in self.items or self.items[key].value != value:
            self.put(key, value)

    def keep_copy(self):
        self.copies.append(
            Copy(self.now, dict(self.items), list(self.history), self.revision, self.last_lease)
        )
        del self.copies[:-4]

    def return_from_copy(self, number):
        """Come back from a copy; what the operator and upstreams wrote since is lost."""
        if not self.copies:
            return
        copy = self.copies[number % len(self.copies)]
        self.copies = [kept for kept in self.copies if kept.at <= copy.at]
        self.items, self.history = dict(copy.items), list(copy.history)
        self.revision, self.last_lease = copy.revision, copy.last_lease
        self.era += 1
        self.returned_at = self.now
        self.ended_at.clear()
        self.evacuated_at = {
            zone: self.position for zone in ZONES if f"op/evacuate/{zone}" in self.items
        }

    def write_again(self):
        """Write what is lost again."""
        self.returned_at = None
        configuration = configuration_item(self.version, 0).value
        if self.items.get("op/config") is None or self.items["op/config"].value != configuration:
            self.put("op/config", configuration)
        for name in NAMES:
            self.write_upstream(name)
        for zone in ZONES:
            self.write_evacuation(zone)


class Client:
    """Calls of one node's record writer; answers arrive at once."""

    def __init__(self, store, eras, is_cut):
        self._store, self.eras, self._is_cut = store, eras, is_cut

    def lease_grant(self, ttl):
        self._observe()
        self._store.last_lease += 1
        return self._store.last_lease

    def txn(self, compares, puts, deletes=()):
        self._observe()
        store = self._store
        for compare in compares:
            item = store.items.get(compare.key)
            if (item.mod_revision if item else 0) != compare.mod_revision:
                return TxnResult(False, 0, store.era)
        for put in puts:
            store.put(put.key, put.value)
        return TxnResult(True, store.revision, store.era)

    def _observe(self):
        self.eras.observe(str(self._store.era), self.eras.current, self._store.now)


class StoreThread:
    """The thread of a node that lists and watches the store; one call at a time."""

    def __init__(self, node, store):
        self.node, self.store = node, store
        self.eras = StoreEras()
        self.answer = None
        self.begun_at = self.progressed_at = store.now
        self.must_list = True

    def step(self, *, changes_between_pages=None):
        """Have the store answer the next call, or deliver its answer."""
        self.progressed_at = self.store.now
        if self.answer is not None:
            answer, self.answer = self.answer, None
            answer()
        elif self.node.is_cut:
            self.fail()
        elif not self.node.relay.must_watch():
            return
        elif self.must_list:
            self._list(changes_between_pages or (lambda: None))
        else:
            self._watch()

    def fail(self):
        self.answer = None
        self.must_list = True
        self.node.relay.on_unavailable("cut off")

    def _list(self, change):
        store, begun = self.store, self.eras.current
        era, revision, first = store.era, store.revision, dict(store.items)
        change()
        last_era, second = store.era, dict(store.items)
        pages = {key: item for key, item in first.items() if key <= "servers/u1"}
        pages |= {key: item for key, item in second.items() if key > "servers/u1"}
        self.begun_at = store.now

        def deliver():
            if not self._observe(era, begun) or era != last_era:
                return
            self.must_list = False
            self.node.relay.on_available()
            self.node.relay.on_listing(tuple(pages.values()), revision, era)

        self.answer = deliver

    def _watch(self):
        store, begun, position = self.store, self.eras.current, self.node.directory.position
        era, revision = store.era, store.revision
        changes = tuple(c for c in store.history if c.item.mod_revision > position.revision)
        self.begun_at = store.now

        def deliver():
            if not self._observe(era, begun):
                return
            if era < position.era:
                self.fail()
            elif era > position.era or position.revision > revision:
                self.must_list = True
            else:
                self.node.relay.on_available()
                if changes:
                    self.node.relay.on_changes(changes, revision, era)
                else:
                    self.node.relay.on_unchanged()

        self.answer = deliver

    def _observe(self, era, begun):
        try:
            self.eras.observe(str(era), begun, self.store.now)
        except OlderEra:
            self.fail()
            return False
        return True


class Node(DirectoryNode):
    """A node, and what the checks remember of it."""

    def __init__(self, number, world, *, is_older):
        schema = OLDER_SCHEMA if is_older else SCHEMA
        super().__init__(f"n{number}", number + 1, schema, lists=False)
        self.name, self.number, self.is_older = NodeId(f"n{number}"), number, is_older
        self.world = world
        self.is_cut = False
        self.clock.advance(world.store.now)
        self.thread = StoreThread(self, world.store)
        client = Client(world.store, self.thread.eras, lambda: self.is_cut)
        self.writer = BlockStore(
            client, SCHEMA.block_prefix, self.directory.archive, self.state, lambda: world.names
        )
        # Highest version, position and starts of upstreams that the checks have seen.
        self.version = 0
        self.position = StorePosition(0, 0)
        self.ready = frozenset()
        self.left = set()
        # Traits that this node may block, from its own evidence and from before its start.
        self.allowed = None
        self.evacuated = frozenset()
        self.excused_until = timedelta(0)
        # Time at which the node noticed the last return of the store.
        self.entered_at = None
        self.answered_at = world.store.now

    def pass_on(self, addresses, message):
        for other in self.world.nodes:
            if f"tcp://{other.address}" in addresses:
                self.world.messages.append((self.world.store.now, self.name, other.number, message))

    @property
    def starts(self):
        """Starts of ready upstreams."""
        return frozenset(
            (entry.id, entry.started_at_ms) for entry in self.catalogue.ready_upstreams(SERVICE)
        )

    @property
    def blocked(self):
        return {suspect.trait for suspect in self.state.crash_watch.quarantine.blocked}


class StoreOrders(RuleBasedStateMachine):
    """Hypothesis chooses what happens; the invariants are those of docs/design/store-eras.md."""

    def __init__(self):
        super().__init__()
        self.store = Store()
        self.nodes, self.messages, self.names = [], [], []

    @initialize(size=st.integers(2, 7), older=st.sets(st.integers(0, 6), max_size=2))
    def start(self, size, older):
        for name in NAMES[:2]:
            self.store.change(name, "starts")
        self.names = [NodeId(f"n{number}") for number in range(size)]
        self.older = older
        for number in range(size):
            self.nodes.append(Node(number, self, is_older=number in older))
        self._introduce()
        for node in self.nodes:
            node.thread.step()
            node.thread.step()
        self.store.keep_copy()

    def _introduce(self):
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    self._send_heartbeat(other, node)
            members = [ZoneMember(n.name, n.address, 1.0, True) for n in self.nodes]
            node.relay.set_members(members, 2)

    def _send_heartbeat(self, sender, node):
        position = sender.directory.position
        configuration = sender.catalogue.configuration
        heartbeat = replace_struct(
            sender.heartbeat(),
            configuration_version=configuration.version if configuration else 0,
            directory_revision=0,
            directory_in_era=(position.era, position.revision),
        )
        now = self.store.now
        node.fleet.receive_heartbeat(sender.name, Incarnation("1"), heartbeat, now)
        return heartbeat

    def pick(self, number):
        return self.nodes[number % len(self.nodes)]

    @rule(name=st.sampled_from(NAMES), what=st.sampled_from(("starts", "drains", "ends", "ends")))
    def change_upstream(self, name, what):
        self.store.change(name, what)

    @rule(zone=st.sampled_from(ZONES), ends=st.booleans())
    def evacuate(self, zone, ends):
        self.store.evacuate(zone, ends=ends)

    @rule()
    def configure(self):
        self.store.configure()

    @rule()
    def keep_copy(self):
        self.store.keep_copy()

    @rule(number=st.integers(0, 3))
    def return_from_copy(self, number):
        self.store.return_from_copy(number)

    @rule(a=st.integers(0, 6), count=st.integers(1, 3))
    def call_store(self, a, count):
        for _ in range(count):
            self.pick(a).thread.step()
            self._check()

    @rule(a=st.integers(0, 6), name=st.sampled_from(NAMES), what=st.sampled_from(("ends", "era")))
    def change_between_pages(self, a, name, what):
        change = partial(self.store.change, name, what)
        change = partial(self.store.return_from_copy, 0) if what == "era" else change
        node = self.pick(a)
        node.thread.must_list = True
        node.thread.step(changes_between_pages=change)

    @rule(a=st.integers(0, 6))
    def list_late(self, a):
        """Have the store answer a node's listing, which arrives later."""
        node = self.pick(a)
        node.is_cut = False
        node.thread.fail()
        node.thread.step()

    @rule(b=st.integers(0, 6))
    def tell(self, b):
        """Have a node watch, and tell its state to those that the store does not answer."""
        other = self.pick(b)
        for _ in range(3):
            other.thread.step()
        for node in self.nodes:
            if not node.directory.store_answers:
                self.hear_of(node.number, b)
                if self.messages and isinstance(self.messages[-1][-1], StateReply):
                    self._apply_state(node, self.messages[-1][-1])

    @rule(a=st.integers(0, 6), seconds=st.sampled_from((0.0, 0.5, 1.5, 2.4)))
    def cut(self, a, seconds):
        node = self.pick(a)
        node.is_cut = True
        node.thread.fail()
        self.pass_time(seconds)

    @rule(a=st.integers(0, 6))
    def mend(self, a):
        self.pick(a).is_cut = False

    @rule(seconds=st.sampled_from((0.2, 0.6, 1.4, 2.4, 4.0)))
    def pass_time(self, seconds):
        for _ in range(round(seconds * SECOND / SLICE)):
            returned_at = self.store.returned_at
            if returned_at is not None and self.store.now - returned_at >= WRITTEN_AGAIN_AFTER:
                self.store.write_again()
            self.store.now += SLICE
            now = self.store.now
            self.messages = [m for m in self.messages if now - m[0] <= MESSAGE_LOST_AFTER]
            for node in self.nodes:
                node.clock.advance(SLICE)
                thread = node.thread
                if thread.answer is not None and now - thread.begun_at > LOST_AFTER:
                    thread.fail()
                elif now - thread.progressed_at >= ANSWERED_AFTER:
                    thread.step()
                    thread.step()
                node.relay.tick(now)
                node.directory.expire_upstreams()
                self._write_blocks(node)
            self._check()

    @rule(a=st.integers(0, 6), b=st.integers(0, 6))
    def hear_of(self, a, b):
        """Have a node hear a heartbeat of another one, and ask for its state."""
        node, other = self.pick(a), self.pick(b)
        if node is other:
            return
        node.directory.on_heartbeat(self._send_heartbeat(other, node))
        for request in node.sent:
            assert isinstance(request, StateRequest), request
            other.directory.on_state_request(node.name, request)
        node.sent.clear()
        for reply in other.sent:
            self.messages.append((self.store.now, other.name, node.number, reply))
        other.sent.clear()

    @rule(number=st.integers(0, 20), keeps=st.booleans())
    def deliver(self, number, keeps):
        """Deliver one of the messages that are on their way; it may come once more."""
        if not self.messages:
            return
        index = number % len(self.messages)
        _, sender, receiver, message = self.messages[index]
        if not keeps:
            del self.messages[index]
        match message:
            case StateReply():
                self._apply_state(self.nodes[receiver], message)
            case StoreProgress():
                node = self.nodes[receiver]
                available_at = node.catalogue._available_again_at
                node.relay.on_progress(sender, message)
                if node.catalogue._available_again_at > available_at:
                    # The node has not heard that others were served meanwhile.
                    node.excused_until = self.store.now + REREGISTRATION_GRACE + SLACK

    def _apply_state(self, node, message):
        position = node.directory.position
        node.directory.on_state_reply(message)
        if message.missing and node.directory.position > position:
            # The peer keeps them, and so does the node.
            node.excused_until = self.store.now + REREGISTRATION_GRACE + SLACK

    @rule(a=st.integers(0, 6))
    def restart(self, a):
        number = a % len(self.nodes)
        self.nodes[number] = Node(number, self, is_older=number in self.older)
        self._introduce()

    @rule(a=st.integers(0, 6), trait=st.sampled_from(TRAITS))
    def block(self, a, trait):
        """Have a node find out by itself that a trait crashes upstreams."""
        node = self.pick(a)
        if node.allowed is None:
            return
        node.allowed.add(Trait(trait))
        node.state.crash_watch.quarantine.restore(
            (SERVICE, Trait(trait)), frozenset(), (), 0, self.store.now, is_doubtful=False
        )

    def _write_blocks(self, node):
        suspects = node.state.crash_watch.quarantine.suspects
        archive = node.directory.archive
        writes, _ = archive.due_writes(suspects, self.names, self.store.now)
        for write in () if node.is_cut else writes:
            node.writer._write(write)

    @invariant()
    def check(self):
        self._check()

    def _check(self):
        for node in self.nodes:
            self._check_node(node)

    def _check_node(self, node):
        now, position = self.store.now, node.directory.position
        configuration = node.catalogue.configuration
        version = configuration.version if configuration is not None else 0
        assert version >= node.version, f"CONFIG: {node.name} has {version} after {node.version}"
        assert position >= node.position, f"ORDER: {node.name} has {position}"
        answered_at = node.directory._answered_at or node.answered_at
        if answered_at - node.answered_at >= SHORTEST_OUTAGE:
            node.excused_until = now + REREGISTRATION_GRACE + SLACK
        if position.era > node.position.era:
            node.excused_until = max(node.excused_until, now + REREGISTRATION_GRACE)
            node.entered_at = now
        node.answered_at, node.version, node.position = answered_at, version, position
        self._check_upstreams(node, now)
        evacuated = node.catalogue.evacuated_zones
        used = {
            zone
            for zone in (node.evacuated - evacuated) & self.store.zones
            if not self.store.may_lack_evacuation(zone, position)
        }
        used |= {
            zone
            for zone, since in self.store.evacuated_at.items()
            if zone in self.store.zones - evacuated and in_order(position) >= in_order(since)
        }
        assert not used, f"EVAC: {node.name} uses {used}, which is evacuated"
        node.evacuated = evacuated
        if node.allowed is None and node.state.is_accepting():
            node.allowed = set(node.blocked)
        elif node.allowed is not None:
            more = node.blocked - node.allowed
            assert not more, f"BLOCK: {node.name} blocks {more} without evidence of its own"

    def _check_upstreams(self, node, now):
        ready, truth = node.starts, self.store.upstreams
        wanted = {(name, up.started) for name, up in truth.items() if up and up.is_ready}
        back = ready & node.left
        assert not back, f"DRAIN: {node.name} uses {back}, which it knew to have left"
        dropped = node.ready - ready
        lost = dropped & wanted
        if node.entered_at is not None and now >= node.entered_at + REREGISTRATION_GRACE:
            lost = set()
        assert not lost, f"LOST: {node.name} has dropped {lost}, which had registered"
        if now >= node.excused_until and node.directory.store_answers:
            for start in ready:
                ended = self.store.ended_at.get(start)
                late = ended is not None and node.position >= ended
                assert not late, f"DRAIN: {node.name} keeps {start}, which ended at {ended}"
        node.left |= dropped - wanted
        node.ready = ready

    def teardown(self):
        """Let all trouble end, and compare the nodes with the store."""
        if not self.nodes:
            return
        for node in self.nodes:
            node.is_cut = False
        for _ in range(3):
            self.pass_time(4.0)
            for node in self.nodes:
                for other in self.nodes:
                    if other is not node:
                        self._send_heartbeat(other, node)
                self._write_blocks(node)
        for _ in range(2):
            for node in self.nodes:
                self._write_blocks(node)
            self.pass_time(4.0)
        wanted = {
            (name, up.started) for name, up in self.store.upstreams.items() if up and up.is_ready
        }
        for node in self.nodes:
            assert node.starts == wanted, f"END: {node.name} has {node.starts}, not {wanted}"
            zones = node.catalogue.evacuated_zones
            assert zones == self.store.zones, f"END: {node.name} has evacuated {zones}"
            assert node.is_older or node.version == self.store.version, (
                f"END: {node.name} has version {node.version}"
            )
            for trait in node.blocked:
                recorded = any(
                    key.startswith("blocks/") and json.loads(item.value)["trait"] == trait
                    for key, item in self.store.items.items()
                )
                assert recorded, f"END: the block of {trait} at {node.name} is not recorded"


def replace_struct(struct, **changes):
    return type(struct)(**{f: getattr(struct, f) for f in struct.__struct_fields__} | changes)
