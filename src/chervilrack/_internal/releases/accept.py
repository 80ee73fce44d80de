"""Accepts release notes and loads the current release through the platform service."""

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
    INITIAL_DIGEST,
    AcceptedId,
    Head,
    NoteRecord,
    Snapshot,
    SnapshotManifest,
    chain_digest,
    decode_snapshot,
    encode_note,
    encode_snapshot,
    split_into_parts,
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

NOTES_PER_SNAPSHOT = 64  # bounds the number of notes that a new node applies after the snapshot
# Older notes and their ids are deleted. 1024 notes are about four hours at 5,800 changes a day.
MAX_STORED_NOTES = 1024
PART_BYTES = 900_000  # the platform limits a value to 1 MB
MAX_ATTEMPTS = 3  # for a load, and for a transaction whose outcome stays unknown


@dataclass(frozen=True, slots=True)
class LoadedRelease:
    """Release read from the platform: snapshot, notes after it, and resulting configuration.

    A watch of ``release/`` that starts at revision ``watch_from`` of the store misses no change.
    The transaction that records the next note compares ``head_mod_revision``.
    """

    snapshot: Snapshot
    records: tuple[NoteRecord, ...]
    configuration: Configuration
    digest: str
    head_mod_revision: int
    watch_from: int


@dataclass(frozen=True, slots=True)
class RecordedNote:
    """Note in the key-value store. ``resubmitted``: an earlier submission had recorded it."""

    note_id: NoteId
    revision: ReleaseRevision
    resubmitted: bool


class ReleaseStore:
    """Reads and writes releases through the platform service."""

    def __init__(
        self,
        platform: PlatformService,
        notes_per_snapshot: int = NOTES_PER_SNAPSHOT,
        max_stored_notes: int = MAX_STORED_NOTES,
    ) -> None:
        self._platform = platform
        self._notes_per_snapshot = notes_per_snapshot
        self._max_stored_notes = max_stored_notes

    def load(self) -> LoadedRelease:
        """Return the current release.

        Raises PlatformError. PlatformUnavailable also means that the release changed during every
        attempt to read it.
        """
        for _ in range(MAX_ATTEMPTS):
            loaded = self._try_load()
            if loaded is not None:
                return loaded
        raise PlatformUnavailable("the release changed whenever it was read")

    def accept(
        self, note: ReleaseNote, expected_revision: ReleaseRevision | None = None
    ) -> Result[RecordedNote, Problem]:
        """Record a note as the next release.

        Only one note follows each revision. If ``expected_revision`` is given and is not the
        current revision, the note is refused. A note whose id is recorded already is not applied
        again. After an Err with ``executed: unknown``, submitting the same note again is safe and
        gives its outcome.
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
        """Write a snapshot in parts and delete the data that it replaces.

        Returns False if the platform has a snapshot of this or a later revision, or if another
        writer replaces the manifest first. Raises PlatformError. An unfinished snapshot is
        harmless, since its manifest is written last; the next interval writes a new one.
        """
        configuration, digest = loaded.configuration, loaded.digest
        revision = configuration.revision
        current_manifest = self._platform.get(MANIFEST_KEY)
        if current_manifest is not None and _decode_manifest(current_manifest).revision >= revision:
            return False
        data = encode_snapshot(Snapshot(configuration=configuration, digest=digest))
        parts = split_into_parts(data, PART_BYTES)
        for index, part in enumerate(parts):
            self._platform.txn([], [Put(_part_key(revision, index), part)])
        manifest = SnapshotManifest(
            revision=revision, parts=len(parts), sha256=hashlib.sha256(data).hexdigest()
        )
        txn_result = self._platform.txn(
            [Compare(MANIFEST_KEY, current_manifest.mod_revision if current_manifest else 0)],
            [Put(MANIFEST_KEY, msgspec.msgpack.encode(manifest))],
        )
        if txn_result.succeeded:
            self._delete_replaced(revision)
        return txn_result.succeeded

    def _accept(
        self, note: ReleaseNote, expected_revision: ReleaseRevision | None
    ) -> Result[RecordedNote, Problem]:
        encoded = encode_note(note)
        note_sha256 = hashlib.sha256(encoded).hexdigest()
        earlier_outcome = self._earlier_submission(note.id, note_sha256)
        if earlier_outcome is not None:
            return earlier_outcome
        loaded = self.load()
        current = loaded.configuration
        if expected_revision is not None and expected_revision != current.revision:
            return Err(self._conflict(ReleaseRevision(expected_revision + 1)))
        mistakes = check_note(note, current)
        if mistakes:
            detail = "\n".join(f"{'.'.join(map(str, m.path))}: {m.text}" for m in mistakes)
            return Err(Problem(ResultCode.RELEASE_INVALID, detail))
        revision = ReleaseRevision(current.revision + 1)
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
        # A copy of the note may already be recorded under an earlier revision.
        is_new_revision = outcome.is_ok() and outcome.unwrap().revision == revision
        if is_new_revision and revision % self._notes_per_snapshot == 0:
            self._write_snapshot_after(loaded, record, note)
        return outcome

    def _compares(self, loaded: LoadedRelease, note_id: NoteId) -> list[Compare]:
        """Return the comparisons that allow one note per revision and each note id once."""
        return [Compare(HEAD_KEY, loaded.head_mod_revision), Compare(NOTE_IDS_PREFIX + note_id, 0)]

    def _commit(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        recorded: RecordedNote,
        note_sha256: str,
    ) -> Result[RecordedNote, Problem]:
        """Run the transaction that records a note; return a conflict if another note won.

        The transaction can be repeated safely: once it has taken effect, its comparisons fail.
        """
        unknown_outcome: PlatformOutcomeUnknown | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                txn_result = self._platform.txn(compares, puts)
            except PlatformOutcomeUnknown as error:
                unknown_outcome = error
                known_outcome = self._read_back(recorded.note_id, note_sha256, unknown_outcome)
                if known_outcome is not None:
                    return known_outcome
                continue
            if txn_result.succeeded:
                return Ok(recorded)
            known_outcome = self._read_back(recorded.note_id, note_sha256, unknown_outcome)
            return known_outcome or Err(self._conflict(recorded.revision))
        assert unknown_outcome is not None
        raise unknown_outcome

    def _read_back(
        self, note_id: NoteId, note_sha256: str, unknown_outcome: PlatformOutcomeUnknown | None
    ) -> Result[RecordedNote, Problem] | None:
        """Return the outcome if the note was recorded, by an earlier attempt or as a copy.

        If the platform cannot be read, the outcome of the earlier attempt stays unknown and its
        error is raised.
        """
        try:
            return self._earlier_submission(note_id, note_sha256)
        except PlatformError:
            if unknown_outcome is None:
                raise
            raise unknown_outcome from None

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
        """Return the conflict problem, which names the note recorded as ``revision``."""
        item = self._platform.get(_note_key(revision))
        if item is None:
            detail = f"revision {revision} is not the next one; load the current release"
        else:
            record = msgspec.msgpack.decode(item.value, type=NoteRecord)
            winner_id = msgspec.json.decode(record.note, type=_NoteIdOnly).id
            detail = f"note '{winner_id}' was accepted first, as revision {revision}"
        return Problem(ResultCode.RELEASE_CONFLICT, detail)

    def _write_snapshot_after(
        self, loaded: LoadedRelease, record: NoteRecord, note: ReleaseNote
    ) -> None:
        """Write the snapshot that includes a recorded note; a failure is only logged."""
        updated = LoadedRelease(
            loaded.snapshot,
            (*loaded.records, record),
            apply_note(loaded.configuration, note),
            record.digest,
            0,
            loaded.watch_from,
        )
        try:
            self.write_snapshot(updated)
        except PlatformError as error:
            # The note is recorded nevertheless; the next snapshot follows after the next interval.
            logger.warning(
                "releases: could not write the snapshot of revision %d: %s", record.revision, error
            )

    def _try_load(self) -> LoadedRelease | None:
        """Return the release, or None if a snapshot or note was replaced during the read."""
        head_item = self._platform.get(HEAD_KEY)
        manifest_item = self._platform.get(MANIFEST_KEY)
        snapshot = Snapshot(configuration=Configuration(), digest=INITIAL_DIGEST)
        if manifest_item is not None:
            stored_snapshot = self._read_snapshot(_decode_manifest(manifest_item))
            if stored_snapshot is None:
                return None
            snapshot = stored_snapshot
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
            configuration = apply_note(configuration, record.decode_note())
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
        """Return the snapshot, or None if its parts do not match the manifest's SHA-256."""
        stored_parts = self._platform.range(f"{SNAPSHOTS_PREFIX}{manifest.revision:012d}/")
        data = b"".join(item.value for item in stored_parts.items)
        if hashlib.sha256(data).hexdigest() != manifest.sha256:
            return None
        return decode_snapshot(data)

    def _delete_replaced(self, revision: ReleaseRevision) -> None:
        """Delete older snapshots, and notes beyond the number to store together with their ids."""
        current_prefix = f"{SNAPSHOTS_PREFIX}{revision:012d}/"
        obsolete_keys = [
            item.key
            for item in self._platform.range(SNAPSHOTS_PREFIX).items
            if item.key < current_prefix
        ]
        for item in self._platform.range(NOTES_PREFIX).items:
            record = msgspec.msgpack.decode(item.value, type=NoteRecord)
            if record.revision <= revision - self._max_stored_notes:
                obsolete_id = msgspec.json.decode(record.note, type=_NoteIdOnly).id
                obsolete_keys += [item.key, NOTE_IDS_PREFIX + obsolete_id]
        for start in range(0, len(obsolete_keys), MAX_WRITES):
            self._platform.txn([], [], obsolete_keys[start : start + MAX_WRITES])


class _NoteIdOnly(msgspec.Struct):
    """Decodes the id of a note and ignores all other fields."""

    id: NoteId


def event_from_change(change: Change) -> RecordsLearned | HeadLearned | None:
    """Return the release event for a change seen by a watch of ``release/``, or None."""
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
