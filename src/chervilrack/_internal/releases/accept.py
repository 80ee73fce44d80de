"""Acceptance of release notes through the platform's service, and loading of what it holds."""

import hashlib
import logging
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from chervilrack._internal.common.ids import NoteId, ReleaseRevision
from chervilrack._internal.common.results import Executed, Problem, ResultCode
from chervilrack._internal.exceptions import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformRefused,
    PlatformUnavailable,
)
from chervilrack._internal.kvstore.port import (
    Change,
    ChangeKind,
    Compare,
    KeyValue,
    PlatformService,
    Put,
)
from chervilrack._internal.kvstore.store import MAX_VALUE_BYTES, MAX_WRITES
from chervilrack._internal.releases.apply import apply_note
from chervilrack._internal.releases.check import check_note
from chervilrack._internal.releases.core import HeadLearned, RecordsLearned
from chervilrack._internal.releases.messages import (
    NO_DIGEST,
    AcceptedId,
    Head,
    NoteRecord,
    Snapshot,
    SnapshotManifest,
    chain_digest,
    decode_snapshot,
    encode_note,
    encode_snapshot,
    split,
)
from chervilrack._internal.releases.note import ReleaseNote
from chervilrack._internal.releases.state import Configuration

logger = logging.getLogger(__name__)

RELEASE_PREFIX = "release/"
HEAD_KEY = "release/head"
NOTES_PREFIX = "release/notes/"
NOTE_IDS_PREFIX = "release/ids/"
MANIFEST_KEY = "release/snapshot-manifest"
SNAPSHOTS_PREFIX = "release/snapshot/"

SNAPSHOT_EVERY = 64  # notes; bounds what a new node applies after the snapshot
KEPT_NOTES = 1024  # about four hours at 5,800 changes a day; older notes and their ids are deleted
PART_BYTES = 900_000  # values may have 1 MB
ATTEMPTS = 3  # tries of one transaction whose outcome stays unknown


@dataclass(frozen=True, slots=True)
class LoadedRelease:
    """What the platform holds: the snapshot, the notes after it, and the result of both.

    Watch ``release/`` from ``watch_from`` to miss nothing. ``head_mod_revision`` is for the
    comparison of the next acceptance.
    """

    snapshot: Snapshot
    records: tuple[NoteRecord, ...]
    configuration: Configuration
    digest: str
    head_mod_revision: int
    watch_from: int


@dataclass(frozen=True, slots=True)
class RecordedNote:
    """A note that the platform holds. ``resubmitted``: an earlier submission had recorded it."""

    note_id: NoteId
    revision: ReleaseRevision
    resubmitted: bool


class ReleaseStore:
    """Reads and writes releases through the platform's service."""

    def __init__(
        self,
        platform: PlatformService,
        snapshot_every: int = SNAPSHOT_EVERY,
        kept_notes: int = KEPT_NOTES,
    ) -> None:
        self._platform = platform
        self._snapshot_every = snapshot_every
        self._kept_notes = kept_notes

    def load(self) -> LoadedRelease:
        """Return the current release.

        Raises PlatformError; PlatformUnavailable also if it keeps changing while it is read.
        """
        for _ in range(ATTEMPTS):
            loaded = self._try_load()
            if loaded is not None:
                return loaded
        raise PlatformUnavailable("the release changed whenever it was read")

    def accept(
        self, note: ReleaseNote, expected_revision: ReleaseRevision | None = None
    ) -> Result[RecordedNote, Problem]:
        """Record a note as the next release.

        Only one note follows each revision; ``expected_revision`` also refuses a note that was
        written for an earlier one. A note whose id was recorded before is not applied again. An
        Err with ``executed: unknown`` is resolved by submitting the same note again.
        """
        try:
            return self._accept(note, expected_revision)
        except PlatformOutcomeUnknown as error:
            detail = f"it is not known whether the note was recorded; submit it again: {error}"
            return Err(Problem(ResultCode.PLATFORM_AWAY, detail, Executed.UNKNOWN))
        except PlatformRefused as error:
            return Err(Problem(ResultCode.RELEASE_INVALID, f"the platform refused it: {error}"))
        except PlatformError as error:
            return Err(Problem(ResultCode.PLATFORM_AWAY, f"the note was not recorded: {error}"))

    def write_snapshot(self, loaded: LoadedRelease) -> bool:
        """Write a snapshot in parts and delete what it replaces.

        Returns False if the platform holds one that is as new. Raises PlatformError; an
        unfinished snapshot does no harm and is written again after the next interval.
        """
        configuration, digest = loaded.configuration, loaded.digest
        revision = configuration.revision
        held = self._platform.get(MANIFEST_KEY)
        if held is not None and _decode_manifest(held).revision >= revision:
            return False
        data = encode_snapshot(Snapshot(configuration=configuration, digest=digest))
        parts = split(data, PART_BYTES)
        for index, part in enumerate(parts):
            self._platform.txn([], [Put(_part_key(revision, index), part)])
        manifest = SnapshotManifest(
            revision=revision, parts=len(parts), sha256=hashlib.sha256(data).hexdigest()
        )
        done = self._platform.txn(
            [Compare(MANIFEST_KEY, held.mod_revision if held else 0)],
            [Put(MANIFEST_KEY, msgspec.msgpack.encode(manifest))],
        )
        if done.succeeded:
            self._delete_replaced(revision)
        return done.succeeded

    def _accept(
        self, note: ReleaseNote, expected_revision: ReleaseRevision | None
    ) -> Result[RecordedNote, Problem]:
        encoded = encode_note(note)
        note_sha256 = hashlib.sha256(encoded).hexdigest()
        earlier = self._earlier_submission(note.id, note_sha256)
        if earlier is not None:
            return earlier
        loaded = self.load()
        base = loaded.configuration
        if expected_revision is not None and expected_revision != base.revision:
            return Err(self._conflict(ReleaseRevision(expected_revision + 1)))
        mistakes = check_note(note, base)
        if mistakes:
            detail = "\n".join(f"{'.'.join(map(str, m.path))}: {m.text}" for m in mistakes)
            return Err(Problem(ResultCode.RELEASE_INVALID, detail))
        revision = ReleaseRevision(base.revision + 1)
        record = NoteRecord(
            revision=revision, digest=chain_digest(loaded.digest, encoded), note=encoded
        )
        head = Head(revision=revision, note_id=note.id, digest=record.digest)
        accepted_id = AcceptedId(revision=revision, note_sha256=note_sha256)
        compares = self._compares(loaded, note.id)
        puts = [
            Put(HEAD_KEY, msgspec.msgpack.encode(head)),
            Put(_note_key(revision), msgspec.msgpack.encode(record)),
            Put(NOTE_IDS_PREFIX + note.id, msgspec.msgpack.encode(accepted_id)),
        ]
        outcome = self._commit(compares, puts, RecordedNote(note.id, revision, False), note_sha256)
        # A copy of the note may have been recorded as an earlier revision than this try's.
        is_next = outcome.is_ok() and outcome.unwrap().revision == revision
        if is_next and revision % self._snapshot_every == 0:
            self._snapshot_after(loaded, record, note)
        return outcome

    def _compares(self, loaded: LoadedRelease, note_id: NoteId) -> list[Compare]:
        """Return the comparisons that let only one note follow a revision, and each id once."""
        return [Compare(HEAD_KEY, loaded.head_mod_revision), Compare(NOTE_IDS_PREFIX + note_id, 0)]

    def _commit(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        recorded: RecordedNote,
        note_sha256: str,
    ) -> Result[RecordedNote, Problem]:
        """Commit one acceptance, or name the note that came first.

        Repeating the transaction is safe: once it took effect, its own comparisons do not hold.
        """
        lost: PlatformOutcomeUnknown | None = None
        for _ in range(ATTEMPTS):
            try:
                done = self._platform.txn(compares, puts)
            except PlatformOutcomeUnknown as error:
                lost = error
                found = self._read_back(recorded.note_id, note_sha256, lost)
                if found is not None:
                    return found
                continue
            if done.succeeded:
                return Ok(recorded)
            found = self._read_back(recorded.note_id, note_sha256, lost)
            return found or Err(self._conflict(recorded.revision))
        assert lost is not None
        raise lost

    def _read_back(
        self, note_id: NoteId, note_sha256: str, lost: PlatformOutcomeUnknown | None
    ) -> Result[RecordedNote, Problem] | None:
        """Return the outcome if this note was recorded, by a lost try or by a copy of it."""
        try:
            return self._earlier_submission(note_id, note_sha256)
        except PlatformError:
            if lost is None:
                raise
            raise lost from None

    def _earlier_submission(
        self, note_id: NoteId, note_sha256: str
    ) -> Result[RecordedNote, Problem] | None:
        """Return the outcome of an earlier submission of this id, or None if there is none."""
        item = self._platform.get(NOTE_IDS_PREFIX + note_id)
        if item is None:
            return None
        accepted = msgspec.msgpack.decode(item.value, type=AcceptedId)
        if accepted.note_sha256 != note_sha256:
            detail = (
                f"another note with the id '{note_id}' was recorded as revision "
                f"{accepted.revision}; give this note a new id"
            )
            return Err(Problem(ResultCode.RELEASE_CONFLICT, detail))
        return Ok(RecordedNote(note_id, accepted.revision, resubmitted=True))

    def _conflict(self, revision: ReleaseRevision) -> Problem:
        """Return the problem that names the note which became ``revision``."""
        item = self._platform.get(_note_key(revision))
        if item is None:
            detail = f"revision {revision} is not the next one; load the current release"
        else:
            record = msgspec.msgpack.decode(item.value, type=NoteRecord)
            name = msgspec.json.decode(record.note, type=_NoteName).id
            detail = f"note '{name}' was accepted first, as revision {revision}"
        return Problem(ResultCode.RELEASE_CONFLICT, detail)

    def _snapshot_after(self, loaded: LoadedRelease, record: NoteRecord, note: ReleaseNote) -> None:
        after = LoadedRelease(
            loaded.snapshot,
            (*loaded.records, record),
            apply_note(loaded.configuration, note),
            record.digest,
            0,
            loaded.watch_from,
        )
        try:
            self.write_snapshot(after)
        except PlatformError as error:
            # The note is recorded all the same; the next interval writes the next snapshot.
            logger.warning("releases: no snapshot of revision %d: %s", record.revision, error)

    def _try_load(self) -> LoadedRelease | None:
        """Return the release, or None if a snapshot or note was replaced meanwhile."""
        head_item = self._platform.get(HEAD_KEY)
        manifest_item = self._platform.get(MANIFEST_KEY)
        snapshot = Snapshot(configuration=Configuration(), digest=NO_DIGEST)
        if manifest_item is not None:
            found = self._read_snapshot(_decode_manifest(manifest_item))
            if found is None:
                return None
            snapshot = found
        notes = self._platform.range(NOTES_PREFIX)
        configuration, digest = snapshot.configuration, snapshot.digest
        records = []
        for item in notes.items:
            record = msgspec.msgpack.decode(item.value, type=NoteRecord)
            if record.revision <= configuration.revision:
                continue
            if record.revision != configuration.revision + 1:
                return None
            records.append(record)
            configuration = apply_note(configuration, record.decoded())
            digest = record.digest
        head = msgspec.msgpack.decode(head_item.value, type=Head) if head_item else None
        if (head.revision if head else 0) != configuration.revision:
            return None
        return LoadedRelease(
            snapshot,
            tuple(records),
            configuration,
            digest,
            head_item.mod_revision if head_item else 0,
            notes.revision + 1,
        )

    def _read_snapshot(self, manifest: SnapshotManifest) -> Snapshot | None:
        found = self._platform.range(f"{SNAPSHOTS_PREFIX}{manifest.revision:012d}/")
        data = b"".join(item.value for item in found.items)
        if hashlib.sha256(data).hexdigest() != manifest.sha256:
            return None
        return decode_snapshot(data)

    def _delete_replaced(self, revision: ReleaseRevision) -> None:
        """Delete older snapshots, and notes and their ids beyond the kept ones."""
        keep = f"{SNAPSHOTS_PREFIX}{revision:012d}/"
        doomed = [
            item.key for item in self._platform.range(SNAPSHOTS_PREFIX).items if item.key < keep
        ]
        for item in self._platform.range(NOTES_PREFIX).items:
            record = msgspec.msgpack.decode(item.value, type=NoteRecord)
            if record.revision <= revision - self._kept_notes:
                name = msgspec.json.decode(record.note, type=_NoteName).id
                doomed += [item.key, NOTE_IDS_PREFIX + name]
        for start in range(0, len(doomed), MAX_WRITES):
            self._platform.txn([], [], doomed[start : start + MAX_WRITES])


class _NoteName(msgspec.Struct):
    id: NoteId


def event_from_change(change: Change) -> RecordsLearned | HeadLearned | None:
    """Return the event for a change that a watch of ``release/`` reports, if there is one."""
    if change.kind is not ChangeKind.PUT:
        return None
    if change.item.key == HEAD_KEY:
        return HeadLearned(msgspec.msgpack.decode(change.item.value, type=Head).revision)
    if change.item.key.startswith(NOTES_PREFIX):
        return RecordsLearned((msgspec.msgpack.decode(change.item.value, type=NoteRecord),))
    return None


def _decode_manifest(item: KeyValue) -> SnapshotManifest:
    return msgspec.msgpack.decode(item.value, type=SnapshotManifest)


def _note_key(revision: ReleaseRevision) -> str:
    return f"{NOTES_PREFIX}{revision:012d}"


def _part_key(revision: ReleaseRevision, part: int) -> str:
    return f"{SNAPSHOTS_PREFIX}{revision:012d}/{part:04d}"


assert PART_BYTES < MAX_VALUE_BYTES
