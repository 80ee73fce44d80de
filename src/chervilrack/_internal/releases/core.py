"""Release log of one node: receives, applies and distributes accepted releases.

The log is a state machine without threads, clock, input or output. Revisions only increase, and a
note is applied only to the revision directly before its own.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.decoding import UnreadableValue, decode_json, decode_value
from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import NodeId, ReleaseRevision
from chervilrack._internal.releases.apply import apply_note
from chervilrack._internal.releases.messages import (
    INITIAL_DIGEST,
    NoteRecord,
    NotesReply,
    NotesRequest,
    ReleaseAnnouncement,
    ReleaseMessage,
    Snapshot,
    SnapshotPart,
    SnapshotRequest,
    chain_digest,
    decode_snapshot,
    encode_snapshot,
    split_into_parts,
)
from chervilrack._internal.releases.state import Configuration

REQUEST_TIMEOUT = timedelta(milliseconds=500)  # one heartbeat interval; then the next peer is asked
MAX_HISTORY_NOTES = 256  # about an hour at 5,800 changes a day; peers further behind get a snapshot
MAX_PENDING_REVISIONS = 1024  # revisions that wait for an earlier one to arrive
MAX_MESSAGE_BYTES = 256 * 1024  # a longer message would delay the heartbeats behind it
MAX_SNAPSHOT_PARTS = 256  # 64 MB; limits the memory that a faulty peer can make this node use
SNAPSHOT_CACHE_TIME = timedelta(seconds=10)  # since its last use


@dataclass(frozen=True, slots=True)
class RecordsLearned:
    """Notes received from the platform, by a watch or by loading the release."""

    records: tuple[NoteRecord, ...]


@dataclass(frozen=True, slots=True)
class HeadLearned:
    """Revision of the latest release in the key-value store."""

    revision: ReleaseRevision


@dataclass(frozen=True, slots=True)
class SnapshotLearned:
    """Snapshot read from the platform."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """Revision that a peer stated in a heartbeat or a heartbeat reply."""

    peer: NodeId
    revision: ReleaseRevision


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """New set of peers with which this node exchanges heartbeats."""

    peers: frozenset[NodeId]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Release message from another node."""

    sender: NodeId
    message: ReleaseMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that lets time-outs take effect."""


ReleaseEvent = (
    RecordsLearned
    | HeadLearned
    | SnapshotLearned
    | PeerRevision
    | PeersChanged
    | MessageReceived
    | Tick
)


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The configuration in force on this node changed; emitted once for each note or snapshot."""

    previous: Configuration
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class LoadFromPlatform:
    """Read the missing notes from the platform if it is reachable, since no peer has them."""

    after: ReleaseRevision


ReleaseEffect = Send | ActionTaken | ConfigurationChanged | LoadFromPlatform


@dataclass(slots=True)
class _SnapshotTransfer:
    """Parts of a snapshot received from one peer so far; None for a missing part."""

    peer: NodeId
    revision: ReleaseRevision
    parts: list[bytes | None]


class ReleaseLog:
    """Releases that one node has applied and those that it still waits for."""

    def __init__(self) -> None:
        self._configuration = Configuration()
        self._digest = INITIAL_DIGEST
        self._history: OrderedDict[ReleaseRevision, NoteRecord] = OrderedDict()
        # By revision and digest. If several records of one revision are pending, the chain of
        # digests shows which one is genuine.
        self._pending: dict[ReleaseRevision, dict[str, NoteRecord]] = {}
        self._platform_revision = ReleaseRevision(0)
        self._peers: frozenset[NodeId] = frozenset()
        self._peer_revisions: dict[NodeId, ReleaseRevision] = {}
        self._asked_peer: NodeId | None = None
        self._requested_at = timedelta(0)
        self._load_requested_at: timedelta | None = None
        self._transfer: _SnapshotTransfer | None = None
        # Revision and encoded parts of the snapshot that is being served to peers.
        self._encoded_snapshot: tuple[ReleaseRevision, list[bytes]] | None = None
        self._snapshot_served_at = timedelta(0)

    @property
    def configuration(self) -> Configuration:
        """Configuration in force on this node."""
        return self._configuration

    @property
    def revision(self) -> ReleaseRevision:
        """Revision in force on this node."""
        return self._configuration.revision

    @property
    def records(self) -> tuple[NoteRecord, ...]:
        """The latest notes applied on this node, at most MAX_HISTORY_NOTES, oldest first."""
        return tuple(self._history.values())

    @property
    def digest(self) -> str:
        """Digest over all notes that led to the configuration in force."""
        return self._digest

    def handle(self, event: ReleaseEvent, now: timedelta) -> list[ReleaseEffect]:
        """Process one event and return the effects to carry out."""
        effects: list[ReleaseEffect] = []
        match event:
            case RecordsLearned(records):
                self._add_records(records, effects)
            case HeadLearned(revision):
                self._platform_revision = max(self._platform_revision, revision)
            case SnapshotLearned(snapshot):
                self._apply_snapshot(snapshot, effects)
            case PeerRevision(peer, revision):
                self._peer_revisions[peer] = revision
            case PeersChanged(peers):
                self._peers = peers
                self._peer_revisions = {p: r for p, r in self._peer_revisions.items() if p in peers}
            case MessageReceived(sender, message):
                self._receive(sender, message, now, effects)
            case Tick():
                if (
                    self._encoded_snapshot is not None
                    and now - self._snapshot_served_at >= SNAPSHOT_CACHE_TIME
                ):
                    self._encoded_snapshot = None
        self._request_missing(now, effects)
        return effects

    def _receive(
        self, sender: NodeId, message: ReleaseMessage, now: timedelta, effects: list[ReleaseEffect]
    ) -> None:
        match message:
            case ReleaseAnnouncement():
                self._peer_revisions[sender] = message.revision
            case NotesRequest():
                self._peer_revisions[sender] = message.after
                effects.append(Send(sender, self._reply_to_notes_request(message.after, now)))
            case NotesReply():
                self._peer_revisions[sender] = message.revision
                before = self.revision
                self._add_records(message.records, effects)
                self._finish_request(sender, progress=self.revision > before)
            case SnapshotRequest():
                part = self._snapshot_part(message.revision, message.part, now)
                effects.append(Send(sender, part))
            case SnapshotPart():
                last_revision = self._peer_revisions.get(sender, message.revision)
                self._peer_revisions[sender] = max(last_revision, message.revision)
                self._finish_request(
                    sender, progress=self._add_snapshot_part(sender, message, effects)
                )

    def _finish_request(self, sender: NodeId, progress: bool) -> None:
        """Allow the next request after a reply to the current one.

        After a reply without progress from a peer that is still ahead, the next request waits for
        the time-out. Otherwise the same request and reply would repeat in a tight loop.
        """
        if self._asked_peer == sender and (
            progress or self._peer_revisions[sender] <= self.revision
        ):
            self._asked_peer = None

    def _add_records(self, records: Iterable[NoteRecord], effects: list[ReleaseEffect]) -> None:
        for record in records:
            if record.revision > self.revision:
                self._pending.setdefault(record.revision, {})[record.digest] = record
        while len(self._pending) > MAX_PENDING_REVISIONS:
            del self._pending[max(self._pending)]
        self._apply_pending(effects)

    def _apply_pending(self, effects: list[ReleaseEffect]) -> None:
        before = self.revision
        while self._pending:
            revision = self._next_revision()
            candidates = self._pending.pop(revision, {})
            record = next((r for r in candidates.values() if self._follows(r)), None)
            for other in candidates.values():
                if other is not record:
                    reason = "its digest does not follow from the notes before it"
                    effects.append(_action_taken("rejected", other.revision, reason))
            if record is None or not self._apply(record, effects):
                break
        if self.revision > before:
            self._drop_outdated()
            self._announce(effects)

    def _next_revision(self) -> ReleaseRevision:
        """Return the only revision that may be applied next."""
        return ReleaseRevision(self.revision + 1)

    def _follows(self, record: NoteRecord) -> bool:
        """Return whether a record's digest continues the chain of the notes applied here."""
        return chain_digest(self._digest, record.note) == record.digest

    def _apply(self, record: NoteRecord, effects: list[ReleaseEffect]) -> bool:
        try:
            note = decode_json("note", record.note, lambda _: record.decode_note())
        except UnreadableValue as error:
            # The software of this node may be too old to read the note. Skipping the note would
            # make the configuration diverge.
            effects.append(_action_taken("unreadable", record.revision, error.detail))
            return False
        previous = self._configuration
        self._configuration = apply_note(previous, note)
        self._digest = record.digest
        self._history[record.revision] = record
        while len(self._history) > MAX_HISTORY_NOTES:
            self._history.popitem(last=False)
        effects.append(ConfigurationChanged(previous, self._configuration))
        return True

    def _apply_snapshot(self, snapshot: Snapshot, effects: list[ReleaseEffect]) -> None:
        if not self._is_newer(snapshot):
            return
        previous = self._configuration
        self._configuration = snapshot.configuration
        self._digest = snapshot.digest
        self._history.clear()
        effects.append(ConfigurationChanged(previous, self._configuration))
        self._drop_outdated()
        self._announce(effects)
        self._apply_pending(effects)

    def _is_newer(self, snapshot: Snapshot) -> bool:
        """Return whether a snapshot has a later revision; an older one would undo releases."""
        return snapshot.configuration.revision > self.revision

    def _drop_outdated(self) -> None:
        self._pending = {
            r: by_digest for r, by_digest in self._pending.items() if r > self.revision
        }
        if self._transfer is not None and self._transfer.revision <= self.revision:
            self._transfer = None

    def _announce(self, effects: list[ReleaseEffect]) -> None:
        for peer in sorted(self._peers):
            if self._peer_revisions.get(peer, 0) < self.revision:
                effects.append(Send(peer, ReleaseAnnouncement(self.revision)))

    def _request_missing(self, now: timedelta, effects: list[ReleaseEffect]) -> None:
        """Request the missing notes from one peer that is ahead, or else from the platform.

        If the peer does not answer in time, the next one is asked.
        """
        if self._asked_peer is not None and now - self._requested_at < REQUEST_TIMEOUT:
            return
        unresponsive, self._asked_peer = self._asked_peer, None
        ahead = sorted(
            peer for peer, newest in self._peer_revisions.items() if newest > self.revision
        )
        if ahead:
            if self._transfer is not None and (
                self._transfer.peer == unresponsive or self._transfer.peer not in ahead
            ):
                self._transfer = None  # snapshot parts of different peers cannot be combined
            next_peers = [
                peer for peer in ahead if unresponsive is not None and peer > unresponsive
            ]
            self._asked_peer = self._transfer.peer if self._transfer else (next_peers or ahead)[0]
            self._requested_at = now
            effects.append(Send(self._asked_peer, self._next_request()))
        elif max(self._platform_revision, *self._pending, 0) > self.revision and (
            self._load_requested_at is None or now - self._load_requested_at >= REQUEST_TIMEOUT
        ):
            self._load_requested_at = now
            effects.append(LoadFromPlatform(self.revision))

    def _next_request(self) -> NotesRequest | SnapshotRequest:
        transfer = self._transfer
        if transfer is None:
            return NotesRequest(self.revision)
        return SnapshotRequest(transfer.revision, transfer.parts.index(None))

    def _reply_to_notes_request(
        self, after: ReleaseRevision, now: timedelta
    ) -> NotesReply | SnapshotPart:
        """Return the notes after a revision, or part 0 of a snapshot if the history lacks them."""
        next_revision = ReleaseRevision(after + 1)
        if after < self.revision and next_revision not in self._history:
            return self._snapshot_part(ReleaseRevision(0), 0, now)
        records: list[NoteRecord] = []
        size = 0
        while next_revision in self._history:
            record = self._history[next_revision]
            size += len(record.note) + len(record.digest)
            if records and size > MAX_MESSAGE_BYTES:
                break
            records.append(record)
            next_revision = ReleaseRevision(next_revision + 1)
        return NotesReply(self.revision, tuple(records))

    def _snapshot_part(self, revision: ReleaseRevision, part: int, now: timedelta) -> SnapshotPart:
        """Return the requested part of the encoded snapshot, or part 0 if the snapshot lacks it.

        A request for part 0 encodes a new snapshot if the configuration has changed.
        """
        if self._encoded_snapshot is None or (
            part == 0 and self._encoded_snapshot[0] < self.revision
        ):
            data = encode_snapshot(Snapshot(configuration=self._configuration, digest=self._digest))
            self._encoded_snapshot = (self.revision, split_into_parts(data, MAX_MESSAGE_BYTES))
        self._snapshot_served_at = now
        encoded_revision, parts = self._encoded_snapshot
        if revision != encoded_revision or not 0 <= part < len(parts):
            part = 0
        return SnapshotPart(encoded_revision, part, len(parts), parts[part])

    def _add_snapshot_part(
        self, sender: NodeId, message: SnapshotPart, effects: list[ReleaseEffect]
    ) -> bool:
        """Add one part and apply the snapshot if complete. Return whether this was progress."""
        if message.revision <= self.revision:
            return False
        if not 0 <= message.part < message.parts <= MAX_SNAPSHOT_PARTS:
            return False
        transfer = self._transfer
        if (
            transfer is None
            or (transfer.peer, transfer.revision) != (sender, message.revision)
            or len(transfer.parts) != message.parts
        ):
            transfer = _SnapshotTransfer(sender, message.revision, [None] * message.parts)
            self._transfer = transfer
        is_new = transfer.parts[message.part] is None
        transfer.parts[message.part] = message.data
        parts = [data for data in transfer.parts if data is not None]
        if len(parts) < message.parts:
            return is_new
        self._transfer = None
        try:
            snapshot = decode_value("snapshot", b"".join(parts), decode_snapshot)
        except UnreadableValue as error:
            effects.append(_action_taken("unreadable snapshot", message.revision, error.detail))
            return False
        self._apply_snapshot(snapshot, effects)
        return True


def _action_taken(action: str, revision: ReleaseRevision, reason: str) -> ActionTaken:
    return ActionTaken("releases", action, f"revision {revision}", reason)
