"""Hypothesis state machine that checks acceptance and release logs against a simple oracle."""

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
NOTES_PER_SNAPSHOT = 4
MAX_STORED_NOTES = 6


class InterposedPlatform:
    """Platform proxy that runs an action once, before the next transaction or read of the head."""

    def __init__(self, platform):
        self._wrapped = platform
        self.before_txn = None
        self.before_head = None

    def __getattr__(self, name):
        return getattr(self._wrapped, name)

    def txn(self, *args):
        action, self.before_txn = self.before_txn, None
        if action is not None:
            action()
        return self._wrapped.txn(*args)

    def get(self, key):
        if key == accept.HEAD_KEY and self.before_head is not None:
            action, self.before_head = self.before_head, None
            action()
        return self._wrapped.get(key)


def team_note(number, team, limit, note_id=None):
    """Return a note that sets the concurrency limit of a team of the base note."""
    change = TeamChange(team, Limits(concurrency=limit))
    return ReleaseNote(note_id or f"note-{number}", changed=Changed(teams=(change,)))


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
        self.store = accept.ReleaseStore(self.interposed, NOTES_PER_SNAPSHOT, MAX_STORED_NOTES)
        self.other_store = accept.ReleaseStore(self.platform, NOTES_PER_SNAPSHOT, MAX_STORED_NOTES)
        self.notes = {}
        self.recorded_ids = []  # note ids in the order in which the platform recorded them
        self.expected_limits = [{}]  # team limits by revision, computed without apply_note
        self.watch_from = 1
        self.old_snapshots = []
        self.genuine_records = {}
        self.forged_subjects = set()
        self.nodes = {node: core.ReleaseLog() for node in NODES}
        self.network = []
        self._submit(self.store, base_note())
        for node in NODES:
            self._handle_event(node, core.PeersChanged(frozenset(NODES) - {node}))

    def _observe(self):
        """Add the notes that the platform recorded to the oracle; check that they are unique."""
        with self.platform.watch(accept.NOTES_PREFIX, self.watch_from) as batches:
            batch = next(batches)
        if batch is None:
            return
        self.watch_from = batch.revision + 1
        for change in batch.changes:
            event = accept.event_from_change(change)
            for record in event.records if event else ():
                note = record.decode_note()
                assert record.revision == len(self.expected_limits), (
                    f"two notes for {record.revision}"
                )
                assert note.id not in self.recorded_ids, f"{note.id} recorded twice"
                self.recorded_ids.append(note.id)
                teams = dict(self.expected_limits[-1])
                teams.update((t.id, t.limits.concurrency) for t in note.added.teams)
                teams.update((t.id, t.limits.concurrency) for t in note.changed.teams)
                self.expected_limits.append(teams)
                self.genuine_records[record.revision] = record

    def _submit(self, store, note):
        self.notes[note.id] = note
        outcome = store.accept(note)
        self._observe()
        if outcome.is_ok():
            recorded = outcome.unwrap()
            assert recorded.revision <= len(self.recorded_ids)
            assert self.recorded_ids[recorded.revision - 1] == note.id, (
                "recorded at another revision"
            )
        elif outcome.unwrap_err().executed is Executed.NO:
            assert note.id not in self.recorded_ids, "a recorded note was reported as refused"
        return outcome

    def _handle_event(self, node, event):
        self._execute(node, self.nodes[node].handle(event, self.clock.monotonic()))

    def _execute(self, node, effects):
        for effect in effects:
            match effect:
                case Send():
                    data = msgspec.msgpack.encode(effect.message)
                    self.network.append((node, effect.to, data))
                case core.ConfigurationChanged():
                    revision = effect.configuration.revision
                    assert revision > effect.previous.revision, "revision went back"
                    self._check_configuration(effect.configuration)
                case core.LoadFromPlatform():
                    self._load_from_platform(node)
                case ActionTaken():
                    assert effect.subject in self.forged_subjects, (
                        f"a genuine note was rejected: {effect}"
                    )

    def _check_configuration(self, configuration):
        limits = {team.id: team.limits.concurrency for team in configuration.teams.values()}
        assert configuration.revision < len(self.expected_limits), (
            "a revision that was never recorded"
        )
        assert limits == self.expected_limits[configuration.revision], "diverged from the oracle"

    def _load_from_platform(self, node):
        try:
            loaded = self.other_store.load()
        except PlatformError:
            return
        self._handle_event(node, core.SnapshotLearned(loaded.snapshot))
        self._handle_event(node, core.RecordsLearned(loaded.records))

    def _deliver(self, index):
        sender, to, data = self.network[index]
        message = msgspec.msgpack.decode(data, type=messages.ReleaseMessage)
        self._handle_event(to, core.MessageReceived(sender, message))

    def _new_note(self, team, value):
        return team_note(len(self.notes), f"t{team}", value)

    teams = st.integers(0, 2)
    values = st.integers(1, 9)
    node_names = st.sampled_from(NODES)

    @rule(team=teams, value=values, lost=st.sampled_from(("", "response", "request", "requests")))
    def submit(self, team, value, lost):
        if lost == "response":
            self.platform.lose_responses(1)
        elif lost:
            self.platform.lose_requests(1 if lost == "request" else accept.MAX_ATTEMPTS)
        self._submit(self.store, self._new_note(team, value))
        self.platform.lose_responses(0)
        self.platform.lose_requests(0)

    @rule(team=teams, value=values)
    def race(self, team, value):
        slow = self._new_note(team, value)
        self.notes[slow.id] = slow
        fast = self._new_note((team + 1) % 3, value)
        outcomes = []
        self.interposed.before_txn = lambda: outcomes.append(self._submit(self.other_store, fast))
        outcomes.append(self._submit(self.store, slow))
        winner, loser = outcomes
        assert winner.is_ok(), winner
        assert loser.is_err(), "both operators won"
        assert loser.unwrap_err().code is ResultCode.RELEASE_CONFLICT
        assert f"'{fast.id}'" in loser.unwrap_err().detail

    @rule(pick=st.integers(0, 30))
    def resubmit(self, pick):
        # A resubmission is detected only as long as the note and its id are stored.
        stored = [
            note_id
            for note_id in self.notes
            if note_id not in self.recorded_ids[:-MAX_STORED_NOTES]
        ]
        note_id = stored[pick % len(stored)] if stored else None
        if note_id is not None:
            self._submit(self.store, self.notes[note_id])

    @rule(team=teams, value=values, moment=st.sampled_from(("before_head", "before_txn")))
    def resubmit_race(self, team, value, moment):
        """Submit two copies of one note concurrently."""
        note = self._new_note(team, value)
        self.notes[note.id] = note
        setattr(self.interposed, moment, lambda: self._submit(self.other_store, note))
        outcome = self._submit(self.store, note)
        assert outcome.is_ok(), outcome

    @rule(node=node_names)
    def watch(self, node):
        with self.platform.watch(accept.RELEASE_PREFIX, 1) as batches:
            for change in next(batches).changes:
                event = accept.event_from_change(change)
                if event is not None:
                    self._handle_event(node, event)

    @rule(node=node_names, pick=st.integers(0, 50))
    def watch_out_of_order(self, node, pick):
        revision = pick % len(self.genuine_records) + 1
        self._handle_event(node, core.RecordsLearned((self.genuine_records[revision],)))

    @rule(node=node_names, ahead=st.integers(1, 2))
    def forged_record(self, node, ahead):
        note = team_note("forged", "t0", 99)
        revision = self.nodes[node].revision + ahead
        self.forged_subjects.add(f"revision {revision}")
        record = messages.NoteRecord(
            revision=revision, digest="0" * 64, note=messages.encode_note(note)
        )
        self._handle_event(node, core.RecordsLearned((record,)))

    @rule(node=node_names)
    def keep_snapshot(self, node):
        log = self.nodes[node]
        self.old_snapshots.append(
            messages.Snapshot(configuration=log.configuration, digest=log.digest)
        )

    @rule(node=node_names, pick=st.integers(0, 30))
    def deliver_stale_snapshot(self, node, pick):
        if self.old_snapshots:
            self._handle_event(
                node, core.SnapshotLearned(self.old_snapshots[pick % len(self.old_snapshots)])
            )

    @rule(node=node_names, peer=node_names)
    def heartbeat(self, node, peer):
        if node != peer:
            self._handle_event(node, core.PeerRevision(peer, self.nodes[peer].revision))

    @rule(pick=st.integers(0, 50), keep=st.booleans(), drop=st.booleans())
    def deliver(self, pick, keep, drop):
        """Deliver or drop any message in transit; with ``keep``, it stays in transit."""
        if self.network:
            index = pick % len(self.network)
            if not drop:
                self._deliver(index)
            if not keep:
                del self.network[index]

    @rule(node=node_names)
    def restart(self, node):
        self.nodes[node] = core.ReleaseLog()
        self._handle_event(node, core.PeersChanged(frozenset(NODES) - {node}))

    @rule()
    def tick(self):
        self.clock.advance(timedelta(milliseconds=300))
        for node in NODES:
            self._handle_event(node, core.Tick())

    @invariant()
    def nodes_match_the_oracle(self):
        for log in self.nodes.values():
            self._check_configuration(log.configuration)

    def teardown(self):
        """Check that all nodes reach the head once faults end, though only one node loads it."""
        self._load_from_platform("a")
        for _ in range(40):
            for node in NODES:
                for peer in set(NODES) - {node}:
                    self._handle_event(node, core.PeerRevision(peer, self.nodes[peer].revision))
            while self.network:
                self._deliver(0)
                del self.network[0]
            self.tick()
        revisions = {log.revision for log in self.nodes.values()}
        assert revisions == {len(self.recorded_ids)}, f"{revisions}, head {len(self.recorded_ids)}"
