"""State machine over acceptance and release logs, checked against a simple oracle."""

from datetime import timedelta

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chervilrack._internal.common.clock import ManualClock
from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.results import Executed, ResultCode
from chervilrack._internal.exceptions import PlatformError
from chervilrack._internal.kvstore.memory import MemoryPlatform
from chervilrack._internal.releases import accept, core, messages
from chervilrack._internal.releases.note import (
    Added,
    Changed,
    ReleaseNote,
    TeamChange,
)
from chervilrack._internal.releases.state import Limits, Team

NODES = ("a", "b", "c")
SNAPSHOT_EVERY = 4
KEPT = 6


class InterposedPlatform:
    """Passes calls on, and runs an action once just before the next read of head or write."""

    def __init__(self, platform):
        self._platform = platform
        self.before_txn = None
        self.before_head = None

    def __getattr__(self, name):
        return getattr(self._platform, name)

    def txn(self, *args):
        action, self.before_txn = self.before_txn, None
        if action is not None:
            action()
        return self._platform.txn(*args)

    def get(self, key):
        if key == accept.HEAD_KEY and self.before_head is not None:
            action, self.before_head = self.before_head, None
            action()
        return self._platform.get(key)


def team_note(number, team, value, name=None):
    """Return a note that sets the limit of a team that the base note has added."""
    change = TeamChange(team, Limits(concurrency=value))
    return ReleaseNote(name or f"note-{number}", changed=Changed(teams=(change,)))


def base_note(teams=("t0", "t1", "t2")):
    return ReleaseNote(
        "base", added=Added(teams=tuple(Team(team, Limits(concurrency=1)) for team in teams))
    )


class ReleaseMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.platform = MemoryPlatform(self.clock, watch_idle=timedelta(0))
        self.interposed = InterposedPlatform(self.platform)
        self.store = accept.ReleaseStore(self.interposed, SNAPSHOT_EVERY, KEPT)
        self.other = accept.ReleaseStore(self.platform, SNAPSHOT_EVERY, KEPT)
        self.notes = {}
        self.recorded = []  # ids in the order in which the platform recorded them
        self.expected = [{}]  # by revision: limits of the teams, computed without apply_note
        self.watched = 1
        self.stale = []
        self.genuine = {}
        self.forged = set()
        self.nodes = {name: core.ReleaseLog() for name in NODES}
        self.network = []
        self._submit(self.store, base_note())
        for name in NODES:
            self._event(name, core.PeersChanged(frozenset(NODES) - {name}))

    def _observe(self):
        """Extend the oracle by what the platform recorded; each revision and id occurs once."""
        with self.platform.watch(accept.NOTES_PREFIX, self.watched) as batches:
            batch = next(batches)
        if batch is None:
            return
        self.watched = batch.revision + 1
        for change in batch.changes:
            event = accept.event_from_change(change)
            for record in event.records if event else ():
                note = record.decoded()
                assert record.revision == len(self.expected), f"two notes for {record.revision}"
                assert note.id not in self.recorded, f"{note.id} recorded twice"
                self.recorded.append(note.id)
                teams = dict(self.expected[-1])
                teams.update((t.id, t.limits.concurrency) for t in note.added.teams)
                teams.update((t.id, t.limits.concurrency) for t in note.changed.teams)
                self.expected.append(teams)
                self.genuine[record.revision] = record

    def _submit(self, store, note):
        self.notes[note.id] = note
        outcome = store.accept(note)
        self._observe()
        if outcome.is_ok():
            recorded = outcome.unwrap()
            assert recorded.revision <= len(self.recorded)
            assert self.recorded[recorded.revision - 1] == note.id, "recorded at another revision"
        elif outcome.unwrap_err().executed is Executed.NO:
            assert note.id not in self.recorded, "a recorded note was reported as refused"
        return outcome

    def _event(self, name, event):
        self._carry_out(name, self.nodes[name].handle(event, self.clock.monotonic()))

    def _carry_out(self, name, effects):
        for effect in effects:
            match effect:
                case Send():
                    data = msgspec.msgpack.encode(effect.message)
                    self.network.append((name, effect.to, data))
                case core.ConfigurationChanged():
                    revision = effect.configuration.revision
                    assert revision > effect.previous.revision, "revision went back"
                    self._compare(effect.configuration)
                case core.LoadFromPlatform():
                    self._load(name)
                case ActionTaken():
                    assert effect.subject in self.forged, f"a genuine note was rejected: {effect}"

    def _compare(self, configuration):
        limits = {team.id: team.limits.concurrency for team in configuration.teams.values()}
        assert configuration.revision < len(self.expected), "a revision that nobody recorded"
        assert limits == self.expected[configuration.revision], "diverged from the oracle"

    def _load(self, name):
        try:
            loaded = self.other.load()
        except PlatformError:
            return
        self._event(name, core.SnapshotLearned(loaded.snapshot))
        self._event(name, core.RecordsLearned(loaded.records))

    def _deliver(self, index):
        sender, to, data = self.network[index]
        message = msgspec.msgpack.decode(data, type=messages.ReleaseMessage)
        self._event(to, core.MessageReceived(sender, message))

    def _fresh_note(self, team, value):
        return team_note(len(self.notes), f"t{team}", value)

    teams = st.integers(0, 2)
    values = st.integers(1, 9)
    names = st.sampled_from(NODES)

    @rule(team=teams, value=values, lost=st.sampled_from(("", "response", "request", "requests")))
    def submit(self, team, value, lost):
        if lost == "response":
            self.platform.lose_responses(1)
        elif lost:
            self.platform.lose_requests(1 if lost == "request" else accept.ATTEMPTS)
        self._submit(self.store, self._fresh_note(team, value))
        self.platform.lose_responses(0)
        self.platform.lose_requests(0)

    @rule(team=teams, value=values)
    def race(self, team, value):
        slow = self._fresh_note(team, value)
        self.notes[slow.id] = slow
        fast = self._fresh_note((team + 1) % 3, value)
        outcomes = []
        self.interposed.before_txn = lambda: outcomes.append(self._submit(self.other, fast))
        outcomes.append(self._submit(self.store, slow))
        winner, loser = outcomes
        assert winner.is_ok(), winner
        assert loser.is_err(), "both operators won"
        assert loser.unwrap_err().code is ResultCode.RELEASE_CONFLICT
        assert f"'{fast.id}'" in loser.unwrap_err().detail

    @rule(pick=st.integers(0, 30))
    def resubmit(self, pick):
        # Ids are kept as long as their notes; later resubmissions are not promised to be noticed.
        kept = [name for name in self.notes if name not in self.recorded[:-KEPT]]
        name = kept[pick % len(kept)] if kept else None
        if name is not None:
            self._submit(self.store, self.notes[name])

    @rule(team=teams, value=values, moment=st.sampled_from(("before_head", "before_txn")))
    def resubmit_race(self, team, value, moment):
        """Two copies of one note are submitted at once."""
        note = self._fresh_note(team, value)
        self.notes[note.id] = note
        setattr(self.interposed, moment, lambda: self._submit(self.other, note))
        outcome = self._submit(self.store, note)
        assert outcome.is_ok(), outcome

    @rule(name=names)
    def watch(self, name):
        with self.platform.watch(accept.RELEASE_PREFIX, 1) as batches:
            for change in next(batches).changes:
                event = accept.event_from_change(change)
                if event is not None:
                    self._event(name, event)

    @rule(name=names, pick=st.integers(0, 50))
    def watch_out_of_order(self, name, pick):
        revision = pick % len(self.genuine) + 1
        self._event(name, core.RecordsLearned((self.genuine[revision],)))

    @rule(name=names, ahead=st.integers(1, 2))
    def forged_record(self, name, ahead):
        note = team_note("forged", "t0", 99)
        revision = self.nodes[name].revision + ahead
        self.forged.add(f"revision {revision}")
        record = messages.NoteRecord(
            revision=revision, digest="0" * 64, note=messages.encode_note(note)
        )
        self._event(name, core.RecordsLearned((record,)))

    @rule(name=names)
    def keep_snapshot(self, name):
        log = self.nodes[name]
        self.stale.append(messages.Snapshot(configuration=log.configuration, digest=log.digest))

    @rule(name=names, pick=st.integers(0, 30))
    def deliver_stale_snapshot(self, name, pick):
        if self.stale:
            self._event(name, core.SnapshotLearned(self.stale[pick % len(self.stale)]))

    @rule(name=names, peer=names)
    def heartbeat(self, name, peer):
        if name != peer:
            self._event(name, core.PeerRevision(peer, self.nodes[peer].revision))

    @rule(pick=st.integers(0, 50), keep=st.booleans(), drop=st.booleans())
    def deliver(self, pick, keep, drop):
        """Deliver any message, perhaps again later, or drop it."""
        if self.network:
            index = pick % len(self.network)
            if not drop:
                self._deliver(index)
            if not keep:
                del self.network[index]

    @rule(name=names)
    def restart(self, name):
        self.nodes[name] = core.ReleaseLog()
        self._event(name, core.PeersChanged(frozenset(NODES) - {name}))

    @rule()
    def tick(self):
        self.clock.advance(timedelta(milliseconds=300))
        for name in NODES:
            self._event(name, core.Tick())

    @invariant()
    def nodes_match_the_oracle(self):
        for log in self.nodes.values():
            self._compare(log.configuration)

    def teardown(self):
        """Without further faults all nodes reach the head, though only one reads the platform."""
        self._load("a")
        for _ in range(40):
            for name in NODES:
                for peer in set(NODES) - {name}:
                    self._event(name, core.PeerRevision(peer, self.nodes[peer].revision))
            while self.network:
                self._deliver(0)
                del self.network[0]
            self.tick()
        revisions = {log.revision for log in self.nodes.values()}
        assert revisions == {len(self.recorded)}, f"{revisions}, head {len(self.recorded)}"
