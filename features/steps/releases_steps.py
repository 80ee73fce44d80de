"""Steps for release notes, their acceptance and the release log."""

import hashlib
import sys
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from chervilrack._internal.common.documents import format_path
from chervilrack._internal.common.effects import Send
from chervilrack._internal.common.results import Executed
from chervilrack._internal.common.units import parse_duration, parse_size
from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.kvstore.etcd import EtcdPlatform
from chervilrack._internal.kvstore.memory import MemoryPlatform
from chervilrack._internal.kvstore.port import Compare
from chervilrack._internal.kvstore.registry import PlatformSettings
from chervilrack._internal.releases import accept, core, messages
from chervilrack._internal.releases.apply import apply_note
from chervilrack._internal.releases.check import check_note, read_checked_note
from chervilrack._internal.releases.measure import measure_release_scale
from chervilrack._internal.releases.note import Added, ReleaseNote
from chervilrack._internal.releases.state import Configuration, Limits, Team
from chervilrack._internal.standins.platform import PlatformStandIn

sys.path.insert(0, str(Path(__file__).parent))  # behave runs step files without their directory
from releases_machine import InterposedPlatform, ReleaseMachine, base_note, team_note

# Guard: its class and method, and a replacement that disables it.
GUARDS = {
    "read-back": (accept.ReleaseStore, "_read_back", lambda *args: None),
    "head comparison": (
        accept.ReleaseStore,
        "_compares",
        lambda self, loaded, note_id: [Compare(accept.NOTE_IDS_PREFIX + note_id, 0)],
    ),
    "note id comparison": (
        accept.ReleaseStore,
        "_compares",
        lambda self, loaded, note_id: [Compare(accept.HEAD_KEY, loaded.head_mod_revision)],
    ),
    "order check": (core.ReleaseLog, "_next_revision", lambda self: min(self._pending)),
    "digest check": (core.ReleaseLog, "_follows", lambda self, record: True),
    "snapshot check": (core.ReleaseLog, "_is_newer", lambda self, snapshot: True),
}


@then("releases state machine finds no violation")
def machine_passes(context):
    run_state_machine_as_test(ReleaseMachine)


@then("releases state machine finds a violation without the {guard}")
def machine_fails(context, guard):
    target, name, replacement = GUARDS[guard]
    with mock.patch.object(target, name, replacement):
        try:
            run_state_machine_as_test(ReleaseMachine, settings=settings(phases=_PHASES))
        except AssertionError as violation:
            first_violation = violation
            # The teardown of the state machine may fail again after the first violation.
            while first_violation.__context__ is not None:
                first_violation = first_violation.__context__
            print(f"without the {guard}: {first_violation}")
            return
    raise AssertionError(f"the state machine finds no violation without the {guard}")


# Only the existence of a violation matters, so failing examples are not shrunk.
_PHASES = [Phase.generate]


@given('releases store with an accepted note "{name}"')
def base_note_is_accepted(context, name):
    context.platform = MemoryPlatform(watch_idle=timedelta(0))
    context.interposed = InterposedPlatform(context.platform)
    context.store = accept.ReleaseStore(context.interposed)
    assert context.store.accept(base_note()).is_ok()


@when('releases note "{first}" is accepted {how} note "{second}"')
def accept_competing_notes(context, first, second, how):
    def submit_first():
        assert context.store.accept(team_note(0, "t0", 5, first)).is_ok()

    if how == "between the read and write of":
        context.interposed.before_txn = submit_first
        context.outcome = context.store.accept(team_note(0, "t0", 6, second))
    else:
        read_revision = context.store.load().configuration.revision
        submit_first()
        context.outcome = context.store.accept(team_note(0, "t0", 6, second), read_revision)


@then("releases store refuses \"{name}\" with {code} naming '{other}'")
def note_is_refused(context, name, code, other):
    problem = context.outcome.unwrap_err()
    assert problem.code.name == code, problem
    assert problem.executed is Executed.NO
    assert f"'{other}'" in problem.detail, problem


@then("releases store has the notes {names}")
def has_notes(context, names):
    records = context.store.load().records
    actual = [record.decode_note().id for record in records]
    assert actual == names.split(", "), actual


def _submit_note(context, name):
    context.outcome = context.store.accept(team_note(0, "t0", 7, name))


@when('releases note "{name}" is submitted while {times:d} {lost} are lost')
def submit_while_lost(context, name, times, lost):
    if lost == "responses":
        context.platform.lose_responses(times)
    else:
        context.platform.lose_requests(times)
    _submit_note(context, name)


@when('releases note "{name}" is submitted again')
def submit_again(context, name):
    context.platform.set_available(True)
    _submit_note(context, name)


@then("releases submission outcome is {expected}")
def outcome_is(context, expected):
    if context.outcome.is_ok():
        # A note that the read-back finds counts as resubmitted, whichever attempt recorded it.
        actual = "resubmitted" if context.outcome.unwrap().resubmitted else "new"
        expected = "resubmitted" if expected == "again" else expected
    else:
        unknown = context.outcome.unwrap_err().executed is Executed.UNKNOWN
        actual = "unknown" if unknown else "not recorded"
    assert actual == expected, context.outcome


@when('releases note "{name}" is submitted and the platform becomes unreachable {when}')
def platform_becomes_unreachable(context, name, when):
    if when == "before a write":
        context.interposed.before_txn = lambda: context.platform.set_available(False)
    else:
        context.platform.lose_responses(1)
        txn = context.platform.txn

        def txn_then_outage(*args):
            try:
                return txn(*args)
            finally:
                context.platform.set_available(False)

        context.platform.txn = txn_then_outage
    _submit_note(context, name)
    context.platform.__dict__.pop("txn", None)


@when('releases a different note with the id "{name}" is submitted')
def different_note(context, name):
    context.outcome = context.store.accept(team_note(0, "t1", 3, name))


@given(
    "releases store with {count:d} accepted notes of {size:d} bytes and snapshots every {every:d}"
)
def many_notes(context, count, size, every):
    context.platform = MemoryPlatform(watch_idle=timedelta(0))
    context.store = accept.ReleaseStore(context.platform, every, max_stored_notes=2 * every)
    for number in range(count):
        # Team ids have the maximum length, so that the configuration grows with the notes.
        teams = (
            Team(f"{number}-{index:060d}", Limits(concurrency=number + 1))
            for index in range(max(1, size // 100))
        )
        note = ReleaseNote(f"note-{number}", added=Added(teams=tuple(teams)))
        assert context.store.accept(note).is_ok()


def _apply_loaded_release(log, loaded):
    log.handle(core.SnapshotLearned(loaded.snapshot), timedelta(0))
    log.handle(core.RecordsLearned(loaded.records), timedelta(0))


@when("releases new node loads its configuration from the platform")
def load_from_platform(context):
    context.log = core.ReleaseLog()
    _apply_loaded_release(context.log, context.store.load())


@when("releases new node loads its configuration from a peer")
def load_from_peer(context):
    peer = core.ReleaseLog()
    _apply_loaded_release(peer, context.store.load())
    context.log = core.ReleaseLog()
    now = timedelta(0)
    effects = context.log.handle(core.PeerRevision("peer", peer.revision), now)
    while effects:
        sent = [effect.message for effect in effects if isinstance(effect, Send)]
        effects = []
        for message in sent:
            for reply in peer.handle(core.MessageReceived("new", message), now):
                effects += context.log.handle(core.MessageReceived("peer", reply.message), now)


@then("releases new node has the configuration of the platform")
def node_has_configuration(context):
    loaded = context.store.load()
    assert context.log.configuration == loaded.configuration
    assert context.log.digest == loaded.digest
    assert context.log.revision == loaded.configuration.revision


@then("releases values on the platform have at most {limit:d} bytes")
def values_at_most(context, limit):
    sizes = [len(item.value) for item in context.platform.range("").items]
    assert all(size <= limit for size in sizes), max(sizes)


@then("releases platform keeps {notes:d} notes, {ids:d} ids and {snapshots:d} snapshot")
def platform_keeps(context, notes, ids, snapshots):
    actual = [
        len(context.platform.range(prefix).items)
        for prefix in (accept.NOTES_PREFIX, accept.NOTE_IDS_PREFIX, accept.SNAPSHOTS_PREFIX)
    ]
    assert actual == [notes, ids, snapshots], actual


@given("releases node whose peer announces revision {revision:d} and replies without notes")
def peer_without_notes(context, revision):
    log = core.ReleaseLog()
    context.requests = 0
    effects = log.handle(core.PeerRevision("peer", revision), timedelta(0))
    for millisecond in range(1, 1001):
        now = timedelta(milliseconds=millisecond)
        context.requests += sum(isinstance(effect, Send) for effect in effects)
        empty_reply = messages.NotesReply(revision=revision)
        effects = log.handle(core.MessageReceived("peer", empty_reply), now)


@then("releases node sends at most {count:d} requests in 1 s")
def at_most_requests(context, count):
    assert 1 <= context.requests <= count, context.requests


@then("releases message {body} is refused")
def message_refused(context, body):
    genuine = b'{"type": "releases/notes-request", "version": 1, "after": 1}'
    decoded = msgspec.json.decode(genuine, type=messages.ReleaseMessage)
    assert decoded == messages.NotesRequest(after=1)
    try:
        msgspec.json.decode(body.encode(), type=messages.ReleaseMessage)
    except msgspec.ValidationError:
        return
    raise AssertionError(f"accepted: {body}")


BASE_NOTE = """
id: base
added:
  teams: [{id: forge, limits: {concurrency: 64}}]
  models: [{id: m1, size: 2GiB}]
  services: [{id: orders, operations: [{name: place, idempotent: false}], deadline: 2s}]
  upstreams:
    - {id: e1, team: forge, kind: engine, url: "http://10.0.0.1:80", zone: quito, models: [m1],
       limits: {concurrency: 8, tokens_per_s: 2000}}
    - {id: e2, team: forge, kind: engine, url: "http://10.0.0.2:80", zone: quito, models: [m1]}
    - {id: o1, team: forge, kind: service, url: "http://10.0.0.3:80", zone: quito, service: orders}
  pipelines:
    - {id: answer, stages: [{id: write, kind: engine, model: m1, max_tokens: 500}]}
  organisations: [{id: org1, keys: [{key: secret1}]}]
"""


@given("releases base configuration")
def base_configuration(context):
    note = read_checked_note(BASE_NOTE, "base.yaml", Configuration())
    context.configuration = apply_note(Configuration(), note)


@when("releases note is read")
def read_note_text(context):
    context.mistakes = []
    try:
        context.note = read_checked_note(str(context.text), "note.yaml", context.configuration)
    except InvalidDocumentError as error:
        context.mistakes = list(error.mistakes)


@when("releases note is read with {body}")
def read_note_body(context, body):
    context.text = f"id: change\n{body}\n"
    read_note_text(context)


@when("releases note is submitted as JSON {body}")
def note_from_json(context, body):
    note = msgspec.json.decode(body, type=ReleaseNote)
    content_mistakes = check_note(note, context.configuration)
    context.mistakes = [f"note: {format_path(item.path)}: {item.text}" for item in content_mistakes]


@then("releases note has these mistakes")
def mistakes_are(context):
    expected = [(f"note.yaml:{row['line']}: {row['key']}: ", row["text"]) for row in context.table]
    assert len(context.mistakes) == len(expected), "\n".join(context.mistakes)
    for actual, (start, text) in zip(context.mistakes, expected, strict=True):
        assert actual.startswith(start), (actual, start)
        assert text in actual, (actual, text)


@then('releases note has a single mistake at {key} that says "{text}"')
def only_mistake(context, key, text):
    assert len(context.mistakes) == 1, context.mistakes
    assert f": {key}: " in context.mistakes[0], context.mistakes
    assert text in context.mistakes[0], context.mistakes


@then('releases note has mistakes that do not show "{secret}"')
def mistakes_do_not_show(context, secret):
    assert context.mistakes
    assert not [message for message in context.mistakes if secret in message]


@then('releases {kind} "{text}" is {value}')
def unit_value(context, kind, text, value):
    parse = {"duration": parse_duration, "size": parse_size}[kind]
    try:
        actual = parse(text)
    except ValueError:
        actual = "refused"
    if kind == "duration" and actual != "refused":
        actual //= timedelta(milliseconds=1)
    assert str(actual) == value, actual


@then('releases encoded note has the SHA-256 of "{first}" and of "{second}" but not the keys')
def keys_are_hashed(context, first, second):
    encoded = messages.encode_note(context.note).decode()
    for key in (first, second):
        assert hashlib.sha256(key.encode()).hexdigest() in encoded
        assert f'"{key}"' not in encoded


@then("releases configuration differs only in the zone of e1 and its revision")
def differs_only_in_zone(context):
    before = msgspec.to_builtins(context.configuration)
    after = msgspec.to_builtins(apply_note(context.configuration, context.note))
    assert after["upstreams"]["e1"].pop("zone") == "ambato"
    assert before["upstreams"]["e1"].pop("zone") == "quito"
    assert (before.pop("revision"), after.pop("revision")) == (1, 2)
    assert (before.pop("note_id"), after.pop("note_id")) == ("base", "change")
    assert before == after


@then("releases scale measured twice with seed {seed:d} has equal sizes")
def scale_is_measured(context, seed):
    scales = ((5, 24), (50, 60))
    runs = [
        [
            (row.organisations, row.snapshot_bytes, row.whole_note_bytes, row.change_record_bytes)
            for row in measure_release_scale(seed, scales)
        ]
        for _ in range(2)
    ]
    assert runs[0] == runs[1], runs
    small, large = runs[0]
    assert small[1] < large[1]
    assert small[2] < large[2]
    assert small[3] == large[3], "the record of a change grows with the configuration"


@given("releases operator and node that use the platform stand-in")
def standin_for_releases(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.standin = stack.enter_context(PlatformStandIn())
    platform_settings = PlatformSettings(endpoints=(context.standin.address,))
    context.store = accept.ReleaseStore(EtcdPlatform(platform_settings), notes_per_snapshot=4)
    context.log = core.ReleaseLog()
    loaded = context.store.load()
    _apply_loaded_release(context.log, loaded)
    node = EtcdPlatform(platform_settings)
    context.batches = stack.enter_context(node.watch(accept.RELEASE_PREFIX, loaded.watch_from))
    context.store.accept(base_note()).unwrap()


@when("releases operator submits {count:d} notes while {fault}")
def submit_during_fault(context, count, fault):
    for number in range(count):
        if fault == "responses are lost":
            context.standin.lose_responses(1)
        elif fault == "watches break":
            context.standin.break_watches()
        context.store.accept(team_note(number, "t0", number + 1)).unwrap()


@then("releases node reaches revision {revision:d} and the platform's digest")
def node_reaches(context, revision):
    while context.log.revision < revision:
        batch = next(context.batches)
        events = [accept.event_from_change(change) for change in batch.changes] if batch else []
        for event in events:
            if event is not None:
                context.log.handle(event, timedelta(0))
    loaded = context.store.load()
    assert context.log.digest == loaded.digest
    assert context.log.configuration == loaded.configuration
