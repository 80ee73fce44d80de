"""Records and messages of releases; each carries a version and allows no unknown field.

A note travels as the bytes that were accepted. Nodes of different software versions could encode
one note differently, and the digest covers these bytes.
"""

import hashlib
from collections.abc import Iterator
from typing import Any, Literal

import msgspec

from chervilrack._internal.common.ids import NoteId, ReleaseRevision
from chervilrack._internal.releases.note import ReleaseNote
from chervilrack._internal.releases.state import Configuration, Upstream


class _Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    version: Literal[1] = 1


class Head(_Record, frozen=True, forbid_unknown_fields=True):
    """Latest accepted release, as the platform stores it under ``release/head``."""

    revision: ReleaseRevision
    note_id: NoteId
    digest: str


class NoteRecord(_Record, frozen=True, forbid_unknown_fields=True):
    """One accepted note. ``digest`` covers its bytes and all notes before it."""

    revision: ReleaseRevision
    digest: str
    note: bytes

    def decoded(self) -> ReleaseNote:
        """Return the note. Raises msgspec.MsgspecError if it does not match the schema."""
        return msgspec.json.decode(self.note, type=ReleaseNote)


class AcceptedId(_Record, frozen=True, forbid_unknown_fields=True):
    """Which revision a note id was accepted as, and the SHA-256 of the note's bytes."""

    revision: ReleaseRevision
    note_sha256: str


class SnapshotManifest(_Record, frozen=True, forbid_unknown_fields=True):
    """Which complete snapshot the platform holds, and how it is divided."""

    revision: ReleaseRevision
    parts: int
    sha256: str


class Snapshot(_Record, frozen=True, forbid_unknown_fields=True):
    """Whole configuration and the digest of the notes that led to it."""

    configuration: Configuration
    digest: str


class _Message(_Record, frozen=True, forbid_unknown_fields=True, tag_field="type", tag=str):
    pass


class ReleaseAnnouncement(
    _Message, frozen=True, forbid_unknown_fields=True, tag="releases/announcement"
):
    """States that the sender has applied ``revision``."""

    revision: ReleaseRevision


class NotesRequest(_Message, frozen=True, forbid_unknown_fields=True, tag="releases/notes-request"):
    """Asks for the notes after a revision."""

    after: ReleaseRevision


class NotesReply(_Message, frozen=True, forbid_unknown_fields=True, tag="releases/notes-reply"):
    """Notes in order, as many as fit into one message, and the sender's revision."""

    revision: ReleaseRevision
    records: tuple[NoteRecord, ...] = ()


class SnapshotRequest(
    _Message, frozen=True, forbid_unknown_fields=True, tag="releases/snapshot-request"
):
    """Asks for one part of the snapshot of a revision; revision 0 takes the sender's latest."""

    revision: ReleaseRevision
    part: int


class SnapshotPart(_Message, frozen=True, forbid_unknown_fields=True, tag="releases/snapshot-part"):
    """One part of an encoded snapshot; parts count from 0."""

    revision: ReleaseRevision
    part: int
    parts: int
    data: bytes


ReleaseMessage = ReleaseAnnouncement | NotesRequest | NotesReply | SnapshotRequest | SnapshotPart

NO_DIGEST = ""


def encode_note(note: ReleaseNote) -> bytes:
    """Return the bytes of a note that are accepted, stored and sent."""
    return msgspec.json.encode(note)


def chain_digest(previous: str, note: bytes) -> str:
    """Return the digest of a release: SHA-256 of the digest before it and the note's bytes."""
    return hashlib.sha256(previous.encode() + b"\n" + note).hexdigest()


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot in MessagePack."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Return a snapshot. Raises msgspec.MsgspecError if it does not match the schema.

    Equal field values of upstreams are shared: thousands of upstreams name the same few models,
    teams and zones, and each decoded copy would take memory on every node.
    """
    snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    seen: dict[Any, Any] = {}
    shared = {
        upstream.id: msgspec.structs.replace(
            upstream,
            **{name: seen.setdefault(value, value) for name, value in _shareable(upstream)},
        )
        for upstream in snapshot.configuration.upstreams.values()
    }
    configuration = msgspec.structs.replace(snapshot.configuration, upstreams=shared)
    return msgspec.structs.replace(snapshot, configuration=configuration)


def _shareable(upstream: Upstream) -> Iterator[tuple[str, Any]]:
    for name in ("team", "zone", "limits", "models", "adapters", "service", "protocol"):
        yield name, getattr(upstream, name)


def split(data: bytes, size: int) -> list[bytes]:
    """Return data in parts of at most ``size`` bytes, at least one."""
    return [data[start : start + size] for start in range(0, len(data), size)] or [b""]
