"""Steps for release notes, acceptance and the release log."""

import sys
from datetime import timedelta
from pathlib import Path
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from chervilrack._internal.common.effects import Send
from chervilrack._internal.common.results import Executed
from chervilrack._internal.platform.memory import MemoryPlatform
from chervilrack._internal.platform.port import Compare
from chervilrack._internal.releases import accept, core, messages
from chervilrack._internal.releases.note import Added, ReleaseNote
from chervilrack._internal.releases.state import Limits, Team

sys.path.insert(0, str(Path(__file__).parent))  # behave runs step files without their directory
from releases_machine import InterposedPlatform, ReleaseMachine, base_note, team_note

GUARDS = {
    "read-back": (accept.ReleaseStore, "_read_back", lambda *args: None),
    "head comparison": (
        accept.ReleaseStore,
        "_compares",
        lambda self, loaded, note_id: [Compare(accept.IDS + note_id, 0)],
    ),
    "note id comparison": (
        accept.ReleaseStore,
        "_compares",
        lambda self, loaded, note_id: [Compare(accept.HEAD, loaded.head_mod_revision)],
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
            print(f"without the {guard}: {violation}")
            return
    raise AssertionError(f"nothing fails without the {guard}")


# Only the existence of a violation matters here, so examples are not made shorter.
_PHASES = [Phase.generate]


@given('releases with an accepted note "{name}"')
def accepted_note(context, name):
    context.platform = MemoryPlatform(watch_idle=timedelta(0))
    context.interposed = InterposedPlatform(context.platform)
    context.store = accept.ReleaseStore(context.interposed)
    assert context.store.accept(base_note()).is_ok()


@when('releases note "{first}" wins over note "{second}" {how}')
def race(context, first, second, how):
    def submit_first():
        assert context.store.accept(team_note(0, "t0", 5, first)).is_ok()

    if how == "between its read and write":
        context.interposed.before_txn = submit_first
        context.outcome = context.store.accept(team_note(0, "t0", 6, second))
    else:
        seen = context.store.load().configuration.revision
        submit_first()
        context.outcome = context.store.accept(team_note(0, "t0", 6, second), seen)


@then("releases refuses \"{name}\" with {code} naming '{other}'")
def refused(context, name, code, other):
    problem = context.outcome.unwrap_err()
    assert problem.code.name == code, problem
    assert problem.executed is Executed.NO
    assert f"'{other}'" in problem.detail, problem


@then("releases has the notes {names}")
def has_notes(context, names):
    records = context.store.load().records
    found = [record.decoded().id for record in records]
    assert found == names.split(", "), found


def _submit(context, name):
    context.outcome = context.store.accept(team_note(0, "t0", 7, name))


@when('releases note "{name}" is submitted while {times:d} {lost} are lost')
def submit_while_lost(context, name, times, lost):
    if lost == "responses":
        context.platform.lose_responses(times)
    else:
        context.platform.lose_requests(times)
    _submit(context, name)


@when('releases note "{name}" is submitted again')
def submit_again(context, name):
    context.platform.set_available(True)
    _submit(context, name)


@then("releases outcome is {expected}")
def outcome_is(context, expected):
    if context.outcome.is_ok():
        # A note found by reading back is the operator's own, whichever try recorded it.
        found = "resubmitted" if context.outcome.unwrap().resubmitted else "new"
        expected = "resubmitted" if expected == "again" else expected
    else:
        unknown = context.outcome.unwrap_err().executed is Executed.UNKNOWN
        found = "unknown" if unknown else "not recorded"
    assert found == expected, context.outcome


@when('releases note "{name}" is submitted and the platform goes away {when}')
def platform_goes_away(context, name, when):
    if when == "before a write":
        context.interposed.before_txn = lambda: context.platform.set_available(False)
    else:
        context.platform.lose_responses(1)
        txn = context.platform.txn

        def txn_then_away(*args):
            try:
                return txn(*args)
            finally:
                context.platform.set_available(False)

        context.platform.txn = txn_then_away
    _submit(context, name)
    context.platform.__dict__.pop("txn", None)


@when('releases another note with the id "{name}" is submitted')
def another_note(context, name):
    context.outcome = context.store.accept(team_note(0, "t1", 3, name))


@given("releases with {count:d} accepted notes of {size:d} bytes and snapshots every {every:d}")
def many_notes(context, count, size, every):
    context.platform = MemoryPlatform(watch_idle=timedelta(0))
    context.store = accept.ReleaseStore(context.platform, every, kept_notes=2 * every)
    for number in range(count):
        # Ids as long as allowed, so that the configuration grows with the notes.
        teams = (
            Team(f"{number}-{index:060d}", Limits(concurrency=number + 1))
            for index in range(max(1, size // 100))
        )
        note = ReleaseNote(f"note-{number}", added=Added(teams=tuple(teams)))
        assert context.store.accept(note).is_ok()


def _learn_from_platform(log, loaded):
    log.handle(core.SnapshotLearned(loaded.snapshot), timedelta(0))
    log.handle(core.RecordsLearned(loaded.records), timedelta(0))


@when("releases new node learns from the platform")
def learn_from_platform(context):
    context.log = core.ReleaseLog()
    _learn_from_platform(context.log, context.store.load())


@when("releases new node learns from a peer")
def learn_from_peer(context):
    peer = core.ReleaseLog()
    _learn_from_platform(peer, context.store.load())
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


@then("releases values on the platform are at most {limit:d} bytes")
def values_at_most(context, limit):
    sizes = [len(item.value) for item in context.platform.range("").items]
    assert all(size <= limit for size in sizes), max(sizes)


@then("releases platform keeps {notes:d} notes, {ids:d} ids and {snapshots:d} snapshot")
def platform_keeps(context, notes, ids, snapshots):
    found = [
        len(context.platform.range(prefix).items)
        for prefix in (accept.NOTES, accept.IDS, accept.SNAPSHOTS)
    ]
    assert found == [notes, ids, snapshots], found


@given("releases node whose peer announces revision {revision:d} and answers with nothing")
def useless_peer(context, revision):
    log = core.ReleaseLog()
    context.requests = 0
    effects = log.handle(core.PeerRevision("peer", revision), timedelta(0))
    for millisecond in range(1, 1001):
        now = timedelta(milliseconds=millisecond)
        context.requests += sum(isinstance(effect, Send) for effect in effects)
        empty = messages.NotesReply(revision=revision)
        effects = log.handle(core.MessageReceived("peer", empty), now)


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
