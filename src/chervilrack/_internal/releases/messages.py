"""Stored records and peer messages of releases; each has a version and refuses unknown fields.

A note is stored and sent as the bytes that were accepted. Nodes of different software versions
could encode the same note differently, but the digest covers the accepted bytes.
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
    """Latest accepted release, as stored in the key-value store under ``release/head``."""

    revision: ReleaseRevision
    note_id: NoteId
    digest: str


class NoteRecord(_Record, frozen=True, forbid_unknown_fields=True):
    """One accepted note. ``digest`` covers the bytes of this note and of all notes before it."""

    revision: ReleaseRevision
    digest: str
    note: bytes

    def decode_note(self) -> ReleaseNote:
        """Return the decoded note. Raises msgspec.MsgspecError if it does not match the schema."""
        return msgspec.json.decode(self.note, type=ReleaseNote)


class AcceptedId(_Record, frozen=True, forbid_unknown_fields=True):
    """Revision under which a note id was accepted, and the SHA-256 of the note's bytes."""

    revision: ReleaseRevision
    note_sha256: str


class SnapshotManifest(_Record, frozen=True, forbid_unknown_fields=True):
    """Describes the complete snapshot in the key-value store: revision, part count and SHA-256."""

    revision: ReleaseRevision
    parts: int
    sha256: str


class Snapshot(_Record, frozen=True, forbid_unknown_fields=True):
    """Complete configuration and the digest of the last note that it includes."""

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
    """Asks for the notes that follow revision ``after``."""

    after: ReleaseRevision


class NotesReply(_Message, frozen=True, forbid_unknown_fields=True, tag="releases/notes-reply"):
    """Consecutive notes, as many as fit into one message, and the sender's current revision."""

    revision: ReleaseRevision
    records: tuple[NoteRecord, ...] = ()


class SnapshotRequest(
    _Message, frozen=True, forbid_unknown_fields=True, tag="releases/snapshot-request"
):
    """Asks for one part of the snapshot of a revision; 0 stands for the receiver's latest."""

    revision: ReleaseRevision
    part: int


class SnapshotPart(_Message, frozen=True, forbid_unknown_fields=True, tag="releases/snapshot-part"):
    """One part of an encoded snapshot; ``part`` counts from 0, ``parts`` is the total."""

    revision: ReleaseRevision
    part: int
    parts: int
    data: bytes


ReleaseMessage = ReleaseAnnouncement | NotesRequest | NotesReply | SnapshotRequest | SnapshotPart

INITIAL_DIGEST = ""  # digest of revision 0, before any note


def encode_note(note: ReleaseNote) -> bytes:
    """Return a note encoded as JSON, the form in which it is accepted, stored and sent."""
    return msgspec.json.encode(note)


def chain_digest(previous_digest: str, note: bytes) -> str:
    """Return the digest of a release: the SHA-256 of the previous digest and the note's bytes."""
    return hashlib.sha256(previous_digest.encode() + b"\n" + note).hexdigest()


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot encoded as MessagePack."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the decoded snapshot. Raises msgspec.MsgspecError if it does not match the schema.

    Equal field values of upstreams are interned: thousands of upstreams have the same few models,
    teams and zones, and a separate copy for each upstream would waste memory on every node.
    """
    snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    interned: dict[Any, Any] = {}
    interned_upstreams = {
        upstream.id: msgspec.structs.replace(
            upstream,
            **{
                name: interned.setdefault(value, value)
                for name, value in _internable_fields(upstream)
            },
        )
        for upstream in snapshot.configuration.upstreams.values()
    }
    configuration = msgspec.structs.replace(snapshot.configuration, upstreams=interned_upstreams)
    return msgspec.structs.replace(snapshot, configuration=configuration)


def _internable_fields(upstream: Upstream) -> Iterator[tuple[str, Any]]:
    for name in ("team", "zone", "limits", "models", "adapters", "service", "protocol"):
        yield name, getattr(upstream, name)


def split_into_parts(data: bytes, part_size: int) -> list[bytes]:
    """Return ``data`` in parts of at most ``part_size`` bytes; empty data is one empty part."""
    return [data[start : start + part_size] for start in range(0, len(data), part_size)] or [b""]
