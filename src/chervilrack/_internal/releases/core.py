"""Release log of one node: learns, applies and distributes accepted releases.

The decision core has no thread, clock or input and output. Revisions only grow, and a note is
applied only on the revision before it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from chervilrack._internal.common.effects import ActionTaken, Send
from chervilrack._internal.common.ids import NodeId, ReleaseRevision
from chervilrack._internal.releases.apply import apply_note
from chervilrack._internal.releases.messages import (
    NO_DIGEST,
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
    split,
)
from chervilrack._internal.releases.state import Configuration

REQUEST_TIMEOUT = timedelta(milliseconds=500)  # one heartbeat interval; then another peer is asked
KEPT_NOTES = 256  # about an hour at 5,800 changes a day; older peers take the snapshot
MAX_PENDING = 1024  # revisions held back until the ones before them arrive
MAX_MESSAGE_BYTES = 256 * 1024  # keeps one message from delaying heartbeats behind it
MAX_SNAPSHOT_PARTS = 256  # 64 MB; bounds what a faulty peer can make this node hold
SNAPSHOT_CACHE_TIME = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class RecordsLearned:
    """Notes read from the platform, from its watch or at the start."""

    records: tuple[NoteRecord, ...]


@dataclass(frozen=True, slots=True)
class HeadLearned:
    """The platform holds this revision."""

    revision: ReleaseRevision


@dataclass(frozen=True, slots=True)
class SnapshotLearned:
    """A snapshot read from the platform."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """A heartbeat or its reply carried a peer's revision."""

    peer: NodeId
    revision: ReleaseRevision


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The peers with which this node exchanges heartbeats."""

    peers: frozenset[NodeId]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another node."""

    sender: NodeId
    message: ReleaseMessage


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


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
    """A new configuration is in force on this node; emitted once for each revision."""

    previous: Configuration
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class LoadFromPlatform:
    """No peer can supply the missing notes: read them from the platform if it is reachable."""

    after: ReleaseRevision


ReleaseEffect = Send | ActionTaken | ConfigurationChanged | LoadFromPlatform


@dataclass(slots=True)
class _Transfer:
    peer: NodeId
    revision: ReleaseRevision
    parts: list[bytes | None]


class ReleaseLog:
    """State of releases at one node."""

    def __init__(self) -> None:
        self._configuration = Configuration()
        self._digest = NO_DIGEST
        self._history: OrderedDict[ReleaseRevision, NoteRecord] = OrderedDict()
        # Several records of one revision can be pending; the digest tells which one is genuine.
        self._pending: dict[ReleaseRevision, dict[str, NoteRecord]] = {}
        self._platform_revision = ReleaseRevision(0)
        self._peers: frozenset[NodeId] = frozenset()
        self._known: dict[NodeId, ReleaseRevision] = {}
        self._asked: NodeId | None = None
        self._asked_at = timedelta(0)
        self._loaded_at: timedelta | None = None
        self._transfer: _Transfer | None = None
        self._served: tuple[ReleaseRevision, list[bytes]] | None = None
        self._served_at = timedelta(0)

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
        """Notes applied here, oldest first, as far as they are kept."""
        return tuple(self._history.values())

    @property
    def digest(self) -> str:
        """Digest of the notes that led to the configuration."""
        return self._digest

    def handle(self, event: ReleaseEvent, now: timedelta) -> list[ReleaseEffect]:
        """Process one event and return what is to be done."""
        effects: list[ReleaseEffect] = []
        match event:
            case RecordsLearned(records):
                self._learn(records, effects)
            case HeadLearned(revision):
                self._platform_revision = max(self._platform_revision, revision)
            case SnapshotLearned(snapshot):
                self._adopt(snapshot, effects)
            case PeerRevision(peer, revision):
                self._known[peer] = revision
            case PeersChanged(peers):
                self._peers = peers
                self._known = {p: r for p, r in self._known.items() if p in peers}
            case MessageReceived(sender, message):
                self._receive(sender, message, now, effects)
            case Tick():
                if self._served is not None and now - self._served_at >= SNAPSHOT_CACHE_TIME:
                    self._served = None
        self._ask_for_missing(now, effects)
        return effects

    def _receive(
        self, sender: NodeId, message: ReleaseMessage, now: timedelta, effects: list[ReleaseEffect]
    ) -> None:
        match message:
            case ReleaseAnnouncement():
                self._known[sender] = message.revision
            case NotesRequest():
                self._known[sender] = message.after
                effects.append(Send(sender, self._reply(message.after, now)))
            case NotesReply():
                self._known[sender] = message.revision
                before = self.revision
                self._learn(message.records, effects)
                self._answered(sender, progress=self.revision > before)
            case SnapshotRequest():
                part = self._part(message.revision, message.part, now)
                effects.append(Send(sender, part))
            case SnapshotPart():
                known = self._known.get(sender, message.revision)
                self._known[sender] = max(known, message.revision)
                self._answered(sender, progress=self._assemble(sender, message, effects))

    def _answered(self, sender: NodeId, progress: bool) -> None:
        """Allow the next request, unless an answer without progress would repeat at once."""
        if self._asked == sender and (progress or self._known[sender] <= self.revision):
            self._asked = None

    def _learn(self, records: Iterable[NoteRecord], effects: list[ReleaseEffect]) -> None:
        for record in records:
            if record.revision > self.revision:
                self._pending.setdefault(record.revision, {})[record.digest] = record
        while len(self._pending) > MAX_PENDING:
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
                    effects.append(_action("rejected", other.revision, reason))
            if record is None or not self._apply(record, effects):
                break
        if self.revision > before:
            self._forget_old()
            self._announce(effects)

    def _next_revision(self) -> ReleaseRevision:
        """Return the only revision that may be applied now."""
        return ReleaseRevision(self.revision + 1)

    def _follows(self, record: NoteRecord) -> bool:
        """Return whether a record was accepted on top of exactly the notes applied here."""
        return chain_digest(self._digest, record.note) == record.digest

    def _apply(self, record: NoteRecord, effects: list[ReleaseEffect]) -> bool:
        try:
            note = record.decoded()
        except msgspec.MsgspecError as error:
            # An older software version cannot apply it and must not skip it either.
            effects.append(_action("unreadable", record.revision, str(error)))
            return False
        previous = self._configuration
        self._configuration = apply_note(previous, note)
        self._digest = record.digest
        self._history[record.revision] = record
        while len(self._history) > KEPT_NOTES:
            self._history.popitem(last=False)
        effects.append(ConfigurationChanged(previous, self._configuration))
        return True

    def _adopt(self, snapshot: Snapshot, effects: list[ReleaseEffect]) -> None:
        if not self._is_newer(snapshot):
            return
        previous = self._configuration
        self._configuration = snapshot.configuration
        self._digest = snapshot.digest
        self._history.clear()
        effects.append(ConfigurationChanged(previous, self._configuration))
        self._forget_old()
        self._announce(effects)
        self._apply_pending(effects)

    def _is_newer(self, snapshot: Snapshot) -> bool:
        """Return whether a snapshot is ahead; an older one would undo accepted releases."""
        return snapshot.configuration.revision > self.revision

    def _forget_old(self) -> None:
        self._pending = {r: held for r, held in self._pending.items() if r > self.revision}
        if self._transfer is not None and self._transfer.revision <= self.revision:
            self._transfer = None

    def _announce(self, effects: list[ReleaseEffect]) -> None:
        for peer in sorted(self._peers):
            if self._known.get(peer, 0) < self.revision:
                effects.append(Send(peer, ReleaseAnnouncement(self.revision)))

    def _ask_for_missing(self, now: timedelta, effects: list[ReleaseEffect]) -> None:
        """Ask one peer that is ahead; another one if it does not answer in time."""
        if self._asked is not None and now - self._asked_at < REQUEST_TIMEOUT:
            return
        silent, self._asked = self._asked, None
        ahead = sorted(peer for peer, known in self._known.items() if known > self.revision)
        if ahead:
            if self._transfer is not None and (
                self._transfer.peer == silent or self._transfer.peer not in ahead
            ):
                self._transfer = None  # parts of two peers' snapshots do not fit together
            later = [peer for peer in ahead if silent is not None and peer > silent]
            self._asked = self._transfer.peer if self._transfer else (later or ahead)[0]
            self._asked_at = now
            effects.append(Send(self._asked, self._request()))
        elif max(self._platform_revision, *self._pending, 0) > self.revision and (
            self._loaded_at is None or now - self._loaded_at >= REQUEST_TIMEOUT
        ):
            self._loaded_at = now
            effects.append(LoadFromPlatform(self.revision))

    def _request(self) -> NotesRequest | SnapshotRequest:
        transfer = self._transfer
        if transfer is None:
            return NotesRequest(self.revision)
        return SnapshotRequest(transfer.revision, transfer.parts.index(None))

    def _reply(self, after: ReleaseRevision, now: timedelta) -> NotesReply | SnapshotPart:
        """Return the notes after a revision, or the snapshot if they are no longer kept."""
        following = ReleaseRevision(after + 1)
        if after < self.revision and following not in self._history:
            return self._part(ReleaseRevision(0), 0, now)
        records: list[NoteRecord] = []
        size = 0
        while following in self._history:
            record = self._history[following]
            size += len(record.note) + len(record.digest)
            if records and size > MAX_MESSAGE_BYTES:
                break
            records.append(record)
            following = ReleaseRevision(following + 1)
        return NotesReply(self.revision, tuple(records))

    def _part(self, revision: ReleaseRevision, part: int, now: timedelta) -> SnapshotPart:
        """Return one part; part 0 of the latest if the one asked for is no longer there."""
        if self._served is None or (part == 0 and self._served[0] < self.revision):
            data = encode_snapshot(Snapshot(configuration=self._configuration, digest=self._digest))
            self._served = (self.revision, split(data, MAX_MESSAGE_BYTES))
        self._served_at = now
        held, parts = self._served
        if revision != held or not 0 <= part < len(parts):
            part = 0
        return SnapshotPart(held, part, len(parts), parts[part])

    def _assemble(
        self, sender: NodeId, message: SnapshotPart, effects: list[ReleaseEffect]
    ) -> bool:
        """Add one part; return whether it was of use."""
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
            transfer = _Transfer(sender, message.revision, [None] * message.parts)
            self._transfer = transfer
        is_new = transfer.parts[message.part] is None
        transfer.parts[message.part] = message.data
        parts = [data for data in transfer.parts if data is not None]
        if len(parts) < message.parts:
            return is_new
        self._transfer = None
        try:
            snapshot = decode_snapshot(b"".join(parts))
        except msgspec.MsgspecError as error:
            effects.append(_action("unreadable snapshot", message.revision, str(error)))
            return False
        self._adopt(snapshot, effects)
        return True


def _action(action: str, revision: ReleaseRevision, reason: str) -> ActionTaken:
    return ActionTaken("releases", action, f"revision {revision}", reason)
