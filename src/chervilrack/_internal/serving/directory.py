"""The store's keys as one node knows them, from its own connection or from peers."""

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from enum import Enum

import msgspec

from chervilrack._internal.catalogue.core import (
    CatalogueEffect,
    ConfigurationApplied,
    UpstreamChanged,
)
from chervilrack._internal.catalogue.evacuation import EvacuationChanged
from chervilrack._internal.catalogue.state import CallerLimits, UpstreamEntry
from chervilrack._internal.common.decoding import UnreadableValue, decode_json
from chervilrack._internal.common.ids import NodeId, UpstreamId, ZoneId
from chervilrack._internal.common.positions import ORIGIN, StorePosition
from chervilrack._internal.common.supervision import FAILURES
from chervilrack._internal.fleet.messages import Heartbeat, StateReply, StateRequest
from chervilrack._internal.kvstore.eras import EraEvent
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack._internal.quarantine.archive import BlockArchive
from chervilrack._internal.quarantine.records import BlockRecord, decode_record
from chervilrack._internal.serving.settings import Address, ServingSettings
from chervilrack._internal.serving.state import ServingState
from chervilrack._internal.serving.store_schema import StoreSchema
from chervilrack._internal.serving.unreadable import EntryKind, UnreadableEntries

# Name under which exceptions of this module are counted and logged.
DIRECTORY = "directory"
# A node requests the state of a peer at most this often.
STATE_REQUEST_INTERVAL = timedelta(milliseconds=500)
_MILLISECOND = timedelta(milliseconds=1)


class ContentSource(Enum):
    """How contents of the store have reached this node; the value is that in log lines."""

    LISTING = "listing"
    WATCH = "watch"
    # A node that watches the store for this node's zone.
    RELAY = "relay"
    # The state that a peer has sent on request.
    PEER = "peer"


class _NodeRegistration(msgspec.Struct):
    """Registration of a node in the store: its peer address."""

    peer: str


_node_registration_decoder = msgspec.json.Decoder(_NodeRegistration)


class StoreDirectory:
    """Passes the store's keys to the catalogue and the fleet, and shares them with peers.

    An entry that cannot be decoded or applied is left out, whatever the exception, and the others
    are applied. Such an upstream is dropped, because its entry names none to use; the configuration
    in force stays, and so do the known addresses of nodes.

    The callers of ``expire_upstreams`` and of the handlers of peers' messages hold the node's lock;
    the other methods acquire it themselves.
    """

    def __init__(
        self,
        settings: ServingSettings,
        schema: StoreSchema,
        state: ServingState,
        send: Callable[[str, msgspec.Struct], None],
        apply_caller_limits: Callable[[CallerLimits], None],
        reconfigure_queues: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._schema = schema
        self._state = state
        self._send = send
        self._apply_caller_limits = apply_caller_limits
        self._reconfigure_queues = reconfigure_queues
        self._unreadable = UnreadableEntries(state.log, state.metrics)
        self._archive = BlockArchive(settings.node)
        # Items by key with their values as stored, to be sent to peers.
        self._stored_items: dict[str, KeyValue] = {}
        self._position = ORIGIN
        # Whether the upstreams up to that revision are known, from a listing or a peer's state.
        self._is_listed = False
        # Whether the items that are being applied may be from a copy, and older than what is known.
        self._is_from_copy = False
        # Where the items that were applied last come from.
        self._source = ContentSource.LISTING
        self._queues_outdated = False
        self._store_answers = False
        # Time of the store's last answer to this node, or to a watcher that it follows.
        self._answered_at: timedelta | None = None
        self._state_requested_at = -STATE_REQUEST_INTERVAL
        # Since when heartbeats state a newer configuration while this node stays at one position.
        self._outdated_since = timedelta(0)
        self._outdated_position = ORIGIN

    @property
    def position(self) -> StorePosition:
        """Newest position in the store that this node knows."""
        return self._position

    @property
    def revision(self) -> int:
        """Newest revision that this node knows of the store's era."""
        return self._position.revision

    @property
    def archive(self) -> BlockArchive:
        """Records of blocked traits in the store."""
        return self._archive

    @property
    def store_answers(self) -> bool:
        """Whether the last call of this node to the store succeeded."""
        return self._store_answers

    def expire_upstreams(self) -> None:
        """Drop upstreams whose registrations did not come back in time after an outage."""
        self._perform(self._state.catalogue.expire(self._state.clock.monotonic()))
        self._update_queues()

    # Contents and availability of the store

    def registration(self) -> tuple[str, bytes]:
        """Return the key and value under which this node registers itself."""
        key = f"{self._schema.node_prefix}{self._settings.node}"
        return key, msgspec.json.encode(_NodeRegistration(str(self._settings.peer)))

    def on_listing(self, items: tuple[KeyValue, ...], revision: int, era: int = 0) -> None:
        """Apply a listing of all keys of the store."""
        with self._state.lock:
            self._source = ContentSource.LISTING
            self._apply_listing(items, StorePosition(era, revision))
            self._update_queues()

    def on_changes(
        self,
        changes: tuple[Change, ...],
        revision: int,
        era: int = 0,
        source: ContentSource = ContentSource.WATCH,
    ) -> None:
        """Apply changes of the store; those up to the known position have been applied already.

        Changes of another era than the known one are ignored: a later one begins with a listing.
        """
        with self._state.lock:
            position = StorePosition(era, revision)
            if era != self._position.era:
                self._note_older("changes", position)
                return
            self._source = source
            known = self._position
            new_changes = [c for c in changes if position.at(c.item.mod_revision) > known]
            self._position = max(known, position)
            for change in new_changes:
                if change.kind is ChangeKind.PUT:
                    self._apply_item(change.item)
                else:
                    self._apply_deletion(change.item.key, change.item.mod_revision)
            self._update_queues()

    def on_available(self) -> None:
        """Record that the store answers this node."""
        with self._state.lock:
            self._answered_at = now = self._state.clock.monotonic()
            if not self._store_answers:
                self._store_answers = True
                self._state.log.note("store", "regained", **self._position.fields)
                self._state.catalogue.mark_store_available(now)

    def on_unavailable(self, reason: str) -> None:
        """Record that the store does not answer this node."""
        with self._state.lock:
            now = self._state.clock.monotonic()
            last = self._answered_at if self._answered_at is not None else now
            if self._store_answers:
                self._state.log.note(
                    "store",
                    "lost",
                    reason=reason,
                    silent_ms=round((now - last) / _MILLISECOND),
                    **self._position.fields,
                )
            self._store_answers = False
            self._state.catalogue.mark_store_unavailable(last)

    def _enter(self, position: StorePosition) -> bool:
        """Take over a position; return whether the store has come back from a copy before it."""
        known = self._position
        self._position = max(known, position)
        if position.era <= known.era:
            return False
        is_return = self._is_listed
        now = self._state.clock.monotonic()
        self._state.catalogue.begin_era(position.era, now if is_return else None)
        self._archive.begin_era(position.era)
        if is_return:
            # The same revision may name another entry now.
            self._unreadable.keep_only(set())
            self._state.metrics.era_event(EraEvent.RETURNED)
            self._state.log.note(
                "store", "returned from a copy", before=known.fields, **position.fields
            )
        return is_return

    def _note_older(self, what: str, position: StorePosition) -> None:
        """Record that something of another era than the known one was dropped."""
        self._state.metrics.era_event(EraEvent.OLDER_MESSAGE)
        self._state.log.note(
            "store",
            f"{what} of another era dropped",
            known=self._position.fields,
            **position.fields,
        )

    def _is_overtaken(self, position: StorePosition) -> bool:
        return self._is_listed and position < self._position

    def _apply_listing(self, items: tuple[KeyValue, ...], position: StorePosition) -> None:
        """Apply a listing, unless a peer's state or relayed changes have overtaken it.

        A listing that is older than the node's position holds upstreams that were removed since,
        and lacks new ones. The watch, which begins at the node's position, would not correct this.
        """
        if self._is_overtaken(position):
            self._state.log.note(
                "store",
                "older listing ignored",
                listed=position.revision,
                **self._position.fields,
            )
            return
        now = self._state.clock.monotonic()
        self._is_from_copy = self._enter(position)
        self._is_listed = True
        self._unreadable.keep_only({item.key for item in items})
        prefix = self._schema.block_prefix
        self._archive.keep_only(
            item.key.removeprefix(prefix) for item in items if item.key.startswith(prefix)
        )
        evacuated: set[ZoneId] = set()
        self._state.registered_nodes.clear()
        for item in items:
            if item.key.startswith(self._schema.evacuation_prefix):
                zone = self._decode_evacuation(item)
                if zone is not None:
                    evacuated.add(zone)
            elif not item.key.startswith(self._schema.upstream_prefix):
                self._apply_item(item)
        self._is_from_copy = False
        # Before the upstreams: those of an evacuated zone are never usable.
        self._perform(self._state.catalogue.evacuations.replace(evacuated))
        upstreams = self._replace_upstreams(items)
        self._perform(self._state.catalogue.apply_listing(upstreams, now))
        # Not earlier: with a configuration but no upstreams, every request would fail.
        self._state.accept_requests()

    def _replace_upstreams(
        self, items: Iterable[KeyValue]
    ) -> dict[UpstreamId, tuple[UpstreamEntry, int]]:
        """Replace the stored registrations of upstreams by those of a listing, and decode them.

        Returns each readable entry with its modification revision. The others are dropped.
        """
        known = {
            key: item
            for key, item in self._stored_items.items()
            if key.startswith(self._schema.upstream_prefix)
        }
        for key in known:
            del self._stored_items[key]
        upstreams: dict[UpstreamId, tuple[UpstreamEntry, int]] = {}
        for item in items:
            if not item.key.startswith(self._schema.upstream_prefix):
                continue
            entry = self._decode_upstream(item)
            if entry is not None:
                self._store_upstream(item, entry, known.get(item.key))
                upstreams[entry.id] = (entry, item.mod_revision)
        return upstreams

    def _apply_item(self, item: KeyValue) -> None:
        """Apply one item; if that fails, leave it out."""
        kind = self._kind(item.key)
        try:
            match kind:
                case EntryKind.CONFIGURATION:
                    self._apply_configuration(item)
                case EntryKind.UPSTREAM:
                    self._apply_upstream(item)
                case EntryKind.NODE:
                    self._apply_node_registration(item)
                case EntryKind.BLOCK:
                    self._apply_block(item)
                case EntryKind.EVACUATION:
                    self._apply_evacuation(item)
        except Exception as error:
            self._unreadable.record(kind, item, error)

    def _kind(self, key: str) -> EntryKind:
        if key == self._schema.configuration_key:
            return EntryKind.CONFIGURATION
        if key.startswith(self._schema.upstream_prefix):
            return EntryKind.UPSTREAM
        if key.startswith(self._schema.block_prefix):
            return EntryKind.BLOCK
        if key.startswith(self._schema.evacuation_prefix):
            return EntryKind.EVACUATION
        return EntryKind.NODE if key.startswith(self._schema.node_prefix) else EntryKind.OTHER

    def _apply_deletion(self, key: str, revision: int) -> None:
        self._unreadable.forget(key)
        if key.startswith(self._schema.block_prefix):
            self._archive.observe(key.removeprefix(self._schema.block_prefix), None, revision)
            self._state.crash_watch.on_record_outdated()
        if key.startswith(self._schema.node_prefix):
            self._state.registered_nodes.discard(key.removeprefix(self._schema.node_prefix))
        if key.startswith(self._schema.evacuation_prefix):
            zone = ZoneId(key.removeprefix(self._schema.evacuation_prefix))
            self._perform(self._state.catalogue.evacuations.end(zone))
        if key.startswith(self._schema.upstream_prefix):
            self._stored_items.pop(key, None)
            upstream = UpstreamId(key.removeprefix(self._schema.upstream_prefix))
            now = self._state.clock.monotonic()
            self._perform(self._state.catalogue.remove_upstream(upstream, revision, now))

    def _apply_evacuation(self, item: KeyValue) -> None:
        zone = self._decode_evacuation(item)
        if zone is not None:
            self._perform(self._state.catalogue.evacuations.begin(zone))

    def _decode_evacuation(self, item: KeyValue) -> ZoneId | None:
        """Return the zone of an evacuation; one whose key names no zone is left out."""
        try:
            zone = self._schema.decode_evacuation(item.key)
        except Exception as error:
            self._unreadable.record(EntryKind.EVACUATION, item, error)
            return None
        self._unreadable.forget(item.key)
        return zone

    def _apply_upstream(self, item: KeyValue) -> None:
        entry = self._decode_upstream(item)
        if entry is not None:
            self._store_upstream(item, entry, self._stored_items.get(item.key))
            self._perform(self._state.catalogue.put_upstream(entry, item.mod_revision))

    def _store_upstream(self, item: KeyValue, entry: UpstreamEntry, known: KeyValue | None) -> None:
        """Keep a registration for peers; the known one goes on if an old copy says less."""
        if known is not None and self._state.catalogue.supersedes(entry):
            item = KeyValue(item.key, known.value, item.mod_revision)
        self._stored_items[item.key] = item

    def _decode_upstream(self, item: KeyValue) -> UpstreamEntry | None:
        """Return the upstream that an item names; one that names none is dropped."""
        try:
            entry = self._schema.decode_upstream(item.key, item.value)
        except Exception as error:
            self._drop_upstream(item, error)
            return None
        self._unreadable.forget(item.key)
        return entry

    def _drop_upstream(self, item: KeyValue, error: Exception) -> None:
        self._unreadable.record(EntryKind.UPSTREAM, item, error)
        self._stored_items.pop(item.key, None)
        upstream = UpstreamId(item.key.removeprefix(self._schema.upstream_prefix))
        self._perform(self._state.catalogue.drop_upstream(upstream, item.mod_revision))

    def _apply_configuration(self, item: KeyValue) -> None:
        """Apply a configuration if its version is newer than that in force.

        Versions are compared, and not revisions of the store: the revision of a configuration from
        a peer is only an upper bound.
        """
        stored = self._stored_items.get(item.key)
        if stored is not None and stored.value == item.value:
            return
        configuration = self._schema.decode_configuration(item.value)
        current = self._state.catalogue.configuration
        if current is not None and configuration.version <= current.version:
            return
        # May raise: before anything else, so that the configuration in force stays whole.
        self._apply_caller_limits(configuration.limits)
        self._unreadable.forget(item.key)
        self._stored_items[item.key] = item
        self._perform(self._state.catalogue.apply_configuration(configuration))

    def _apply_node_registration(self, item: KeyValue) -> None:
        registration = decode_json(item.key, item.value, _node_registration_decoder.decode)
        peer = str(Address.parse(registration.peer))
        self._unreadable.forget(item.key)
        self._state.registered_nodes.add(item.key.removeprefix(self._schema.node_prefix))
        self._state.fleet.add_addresses([peer], self._state.clock.monotonic())

    def _apply_block(self, item: KeyValue) -> None:
        record = decode_record(item.key, item.value)
        self._unreadable.forget(item.key)
        name = item.key.removeprefix(self._schema.block_prefix)
        if name != record.name:
            raise UnreadableValue(item.key, "the key is not that of the record's trait")
        self._archive.observe(name, record, item.mod_revision)
        self._learn_block(record)

    def _learn_block(self, record: BlockRecord) -> None:
        """Use the record of a blocked trait, from the store or a peer.

        A copy of the store may say less than a node knows that goes by its own evidence.
        """
        if self._is_from_copy and self._state.is_accepting():
            return
        if self._state.is_accepting():
            self._state.crash_watch.on_block_record(record)
        else:
            self._state.crash_watch.restore_block(record)

    def _perform(self, effects: Sequence[CatalogueEffect]) -> None:
        self._queues_outdated = self._queues_outdated or bool(effects)
        for effect in effects:
            match effect:
                case ConfigurationApplied(configuration, previous):
                    self._state.configuration_changed(configuration)
                    self._state.log.note(
                        "catalogue",
                        "configuration applied",
                        version=configuration.version,
                        previous=previous,
                        routes=len(configuration.routes),
                        source=self._source.value,
                        **self._position.fields,
                    )
                case UpstreamChanged():
                    self._perform_upstream_change(effect)
                case EvacuationChanged():
                    self._state.evacuation_changed(effect, self._position)

    def _perform_upstream_change(self, change: UpstreamChanged) -> None:
        """Pass the change of an upstream on; leave the upstream out if that fails."""
        entry, before = change.entry, change.previous
        try:
            self._state.upstream_changed(change)
        except Exception as error:
            if entry is None:
                FAILURES.record(DIRECTORY, error, f"the end of upstream {change.id}")
                return
            key = f"{self._schema.upstream_prefix}{change.id}"
            item = self._stored_items.get(key) or KeyValue(key, b"", self.revision)
            FAILURES.record(DIRECTORY, error, f"{key} of revision {item.mod_revision}")
            self._drop_upstream(item, error)
            return
        self._state.log.note(
            "catalogue",
            "upstream changed",
            upstream=change.id,
            service=latest.service if (latest := entry or before) else None,
            state=entry.state.value if entry is not None else "gone",
            before=before.state.value if before is not None else None,
            **self._position.fields,
        )

    def _update_queues(self) -> None:
        """Pass the changes that were applied on to the queues of stage services."""
        if not self._queues_outdated:
            return
        self._queues_outdated = False
        try:
            self._reconfigure_queues()
        except Exception as error:
            FAILURES.record(DIRECTORY, error, f"the queues at {self._position}")

    # Messages of peers; the caller holds the node's lock

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Request the sender's state if its configuration or its directory is newer.

        While the store answers this node, it reads newer configurations from there, and a large
        state from a peer would delay that on a slow link. It then requests one only if its position
        does not move on for the time after which it has to read from the store, and of that call.
        """
        now = self._state.clock.monotonic()
        configuration = self._state.catalogue.configuration
        version = configuration.version if configuration is not None else 0
        is_outdated = heartbeat.configuration_version > version
        if not is_outdated or self._position != self._outdated_position:
            self._outdated_since, self._outdated_position = now, self._position
        if self._store_answers:
            limits = self._settings.apply_limits
            behind = is_outdated and (
                configuration is None
                or now - self._outdated_since >= limits.lag_limit + limits.own_call_time
            )
        else:
            behind = is_outdated or heartbeat.position > self._position
        if behind and now - self._state_requested_at >= STATE_REQUEST_INTERVAL:
            self._state_requested_at = now
            self._send(f"tcp://{heartbeat.address}", StateRequest(version))

    def on_state_request(self, sender: NodeId, message: StateRequest) -> None:
        """Send this node's configuration and upstreams to a live peer.

        No reply is sent while this node holds no configuration.
        """
        address = self._state.fleet.address_of(sender)
        item = self._stored_items.get(self._schema.configuration_key)
        if address is None or item is None:
            return
        configuration = self._state.catalogue.configuration
        newer = configuration is not None and configuration.version > message.known_version
        prefix = self._schema.upstream_prefix
        withheld = self._state.catalogue.withheld_upstreams
        upstreams = tuple(
            (registered.key, registered.value, registered.mod_revision)
            for registered in self._stored_items.values()
            if registered.key.startswith(prefix)
            and registered.key.removeprefix(prefix) not in withheld
        )
        missing = self._state.catalogue.lapsed_upstreams
        blocks = self._state.crash_watch.block_records()
        content = item.value if newer else b""
        known = self._position
        evacuations = tuple(sorted(self._state.catalogue.evacuated_zones))
        kept = tuple(sorted(self._state.catalogue.evacuations.kept))
        reply = StateReply(
            content, known.revision, upstreams, missing, blocks, evacuations, known.era, kept
        )
        self._send(f"tcp://{address}", reply)

    def on_state_reply(self, message: StateReply) -> None:
        """Apply a peer's blocks and newer configuration, and its directory without the store.

        Upstreams and evacuations are applied only if the peer's position in the store is newer.
        """
        self._source = ContentSource.PEER
        for record in message.blocks:
            self._learn_block(record)
        if message.configuration:
            key = self._schema.configuration_key
            self._apply_item(KeyValue(key, message.configuration, message.revision))
            self._update_queues()
        position = message.position
        if self._store_answers or position <= self._position:
            return
        items = tuple(KeyValue(key, value, rev) for key, value, rev in message.upstreams)
        self._enter(position)
        self._is_listed = True
        missing = [UpstreamId(name) for name in message.missing]
        now = self._state.clock.monotonic()
        if message.evacuations is not None:
            evacuated = [ZoneId(zone) for zone in message.evacuations]
            kept = [ZoneId(zone) for zone in message.kept_evacuations]
            effects = self._state.catalogue.evacuations.replace_from_peer(evacuated, kept, now)
            self._perform(effects)
        upstreams = self._replace_upstreams(items)
        self._perform(self._state.catalogue.apply_peer_listing(upstreams, missing, now))
        self._update_queues()
        self._state.accept_requests()
        self._state.log.note("store", "state of a peer taken", **position.fields)
