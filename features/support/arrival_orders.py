"""Draws the order in which a node learns the store's contents from all its sources.

Those are its own listings and watches, the states of a peer and the changes that it passes on.
Answers and messages are late, lost, repeated or overtaken by others. The store's history says what
the node has to know at each of its revisions.
"""

import random
from datetime import timedelta

from directory_steps import CONFIGURATION, DirectoryNode, follow, upstream

from chervilrack._internal.changefeed.messages import StoreProgress
from chervilrack._internal.common.ids import Incarnation, NodeId
from chervilrack._internal.fleet.messages import StateReply, StateRequest
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue

NAMES = ("u1", "u2", "u3", "u4")
ZONES = ("z1", "z2")
FIRST_REVISION = 3  # the nodes of the steps list u1 and u2 up to it


class StoreHistory:
    """Contents of the store at each revision, and the changes that led to them."""

    def __init__(self):
        items = {"op/config": CONFIGURATION}
        items |= {item.key: item for item in (upstream("u1", 2), upstream("u2", 3))}
        self._contents = {FIRST_REVISION: items}
        self._changes = []
        self.revision = FIRST_REVISION

    def change(self, rng):
        """Register, renew or remove an upstream, or evacuate or return a zone."""
        self.revision += 1
        items = dict(self._contents[self.revision - 1])
        if rng.random() < 0.3:
            item = KeyValue(f"op/evacuate/{rng.choice(ZONES)}", b"{}", self.revision)
        else:
            item = upstream(rng.choice(NAMES), self.revision, version=f"v{self.revision}")
        if item.key in items and rng.random() < 0.6:
            del items[item.key]
            self._changes.append(Change(ChangeKind.DELETE, item))
        else:
            items[item.key] = item
            self._changes.append(Change(ChangeKind.PUT, item))
        self._contents[self.revision] = items

    def items(self, revision):
        """Return the items at a revision."""
        return self._contents[revision]

    def changes(self, after, revision):
        """Return the changes after one revision up to another."""
        return tuple(self._changes[after - FIRST_REVISION : revision - FIRST_REVISION])

    def evacuated_zones(self, revision):
        """Return the zones that are evacuated at a revision of the store."""
        return {
            key.removeprefix("op/evacuate/")
            for key in self.items(revision)
            if key.startswith("op/evacuate/")
        }

    def upstreams(self, revision):
        """Return the revisions of the upstreams at a revision of the store."""
        return {
            key.removeprefix("servers/"): item.mod_revision
            for key, item in self.items(revision).items()
            if key.startswith("servers/")
        }


class StoreThread:
    """The thread of a node that lists and watches the store; one call at a time.

    A call is answered with the contents at one time and the answer arrives at a later one. The
    second page of a listing is read later than the first if ``has_pages``.
    """

    def __init__(self, node, store, rng, *, has_pages):
        self._node = node
        self._store = store
        self._rng = rng
        self._has_pages = has_pages
        self._answer = None
        self._must_list = False

    def step(self):
        """Have the store answer the next call, or deliver the answer."""
        if self._answer is not None:
            answer, self._answer = self._answer, None
            self._node.relay.on_available()
            answer()
        elif self._must_list:
            self._must_list = False
            self._list()
        else:
            after, revision = self._node.relay.revision, self._store.revision
            changes = self._store.changes(after, revision)
            self._answer = lambda: changes and self._node.relay.on_changes(changes, revision)

    def _list(self):
        relay, store = self._node.relay, self._store
        revision = store.revision
        items = store.items(revision)
        if self._has_pages and self._rng.random() < 0.5:
            first = {key: item for key, item in items.items() if key <= "servers/u2"}
            store.change(self._rng)
            second = store.items(store.revision)
            items = first | {key: item for key, item in second.items() if key > "servers/u2"}
        self._answer = lambda: relay.on_listing(tuple(items.values()), revision)

    def fail(self):
        """Fail the current call; the thread lists the keys again."""
        self._answer = None
        self._must_list = True
        self._node.relay.on_unavailable("cut off")


class ArrivalOrder:
    """One drawn order of arrivals at node b; node a is its peer and passes changes on to it."""

    def __init__(self, seed, *, has_pages=False):
        self._rng = random.Random(seed)
        self.store = StoreHistory()
        self._has_pages = has_pages
        self.a, self.b = DirectoryNode("a", 1), DirectoryNode("b", 2)
        now = self.a.clock.monotonic()
        self.a.fleet.receive_heartbeat(NodeId("b"), Incarnation("1"), self.b.heartbeat(), now)
        self._connect_feed()
        threads = [
            StoreThread(node, self.store, self._rng, has_pages=has_pages)
            for node in (self.a, self.b)
        ]
        self._threads = dict(zip(("a", "b"), threads, strict=True))
        # Messages of node a on their way to node b.
        self._messages = []
        self.mistakes = []

    def _connect_feed(self):
        follow(self.a, self.b)
        self.a.relay._send = self._keep_message

    def _keep_message(self, addresses, message):
        if f"tcp://{self.b.address}" in addresses:
            self._messages.append(message)

    def run(self, steps):
        """Draw the events, compare the contents after each, then let all faults end."""
        actions = {
            lambda: self.store.change(self._rng): 3,
            self._threads["a"].step: 4,
            self._threads["b"].step: 4,
            self._threads["b"].fail: 1,
            self._exchange_state: 2,
            self._deliver: 4,
            self._pass_time: 1,
        }
        choices, weights = list(actions), list(actions.values())
        for step in range(steps):
            self._rng.choices(choices, weights)[0]()
            self._compare(step)
        while self._messages:
            self._deliver()
        for _ in range(6):
            self._threads["a"].step()
            self._threads["b"].step()
        self.b.clock.advance(timedelta(seconds=10))
        self.b.directory.expire_upstreams()
        self._compare("end", is_end=True)

    def _exchange_state(self):
        """Let node b hear of node a's revision and ask for its state, which is on its way then."""
        self.b.clock.advance(timedelta(seconds=0.5))
        self.b.directory.on_heartbeat(self.a.heartbeat())
        for request in self.b.sent:
            assert isinstance(request, StateRequest), request
            self.a.directory.on_state_request(NodeId("b"), request)
        self._messages += self.a.sent
        self.b.sent.clear()
        self.a.sent.clear()

    def _deliver(self):
        """Deliver, repeat or lose one of the messages that are on their way."""
        if not self._messages:
            return
        message = self._messages[self._rng.randrange(len(self._messages))]
        fate = self._rng.random()
        if fate < 0.8:
            self._messages.remove(message)
        if fate < 0.1:
            return
        match message:
            case StateReply():
                self.b.directory.on_state_reply(message)
            case StoreProgress():
                self.b.relay.on_progress(NodeId("a"), message)

    def _pass_time(self):
        for node in (self.a, self.b):
            node.clock.advance(timedelta(seconds=self._rng.choice((0.3, 1.0, 3.0))))
            node.directory.expire_upstreams()
        self.a.relay.tick(self.a.clock.monotonic())

    def _compare(self, step, *, is_end=False):
        """Record where node b's upstreams aren't those of the store at the node's revision.

        Pages are no snapshot: their contents may be newer, and the end alone is compared.
        """
        catalogue = self.b.catalogue
        revision = self.b.directory.revision
        if self._has_pages and not is_end:
            return
        if is_end and revision != self.store.revision:
            self.mistakes.append((step, revision, self.store.revision))
        zones = self.store.evacuated_zones(revision)
        if catalogue.evacuated_zones != zones:
            self.mistakes.append((step, revision, catalogue.evacuated_zones, zones))
        expected = self.store.upstreams(revision)
        lapsed = set(catalogue.lapsed_upstreams)
        known = {
            name: int(entry.version.removeprefix("v"))
            for name, entry in catalogue.upstreams.items()
            if name not in lapsed
        }
        expected = {name: max(at, 1) if at > FIRST_REVISION else 1 for name, at in expected.items()}
        if known != expected:
            self.mistakes.append((step, revision, known, expected))
