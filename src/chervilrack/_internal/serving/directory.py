"""What one node knows of the store's keys, from its own connection or from peers."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from chervilrack._internal.catalogue.core import (
    CatalogueEffect,
    ConfigurationApplied,
    UpstreamChanged,
)
from chervilrack._internal.catalogue.state import CallerLimits, UpstreamEntry
from chervilrack._internal.common.ids import NodeId, UpstreamId
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.fleet.messages import Heartbeat, StateGiven, StateWanted
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue
from chervilrack._internal.serving.settings import ServingSettings
from chervilrack._internal.serving.state import ServingState
from chervilrack._internal.serving.store_schema import StoreSchema

# A node that the store does not answer asks a peer for its state at most this often.
ASK_INTERVAL = timedelta(milliseconds=500)


class _Registration(msgspec.Struct):
    """What a node writes about itself into the store."""

    peer: str


class StoreDirectory:
    """Takes the store's keys into the catalogue and the fleet, and shares them with peers.

    It is the ``StoreListener`` of the node. Methods that peers' messages call need the node's
    lock, which the others take themselves.
    """

    def __init__(
        self,
        settings: ServingSettings,
        schema: StoreSchema,
        state: ServingState,
        send: Callable[[str, msgspec.Struct], None],
        limit_callers: Callable[[CallerLimits], None],
        reconfigure: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._schema = schema
        self._state = state
        self._send = send
        self._limit_callers = limit_callers
        self._reconfigure = reconfigure
        # Values as stored, for peers.
        self._raw: dict[str, KeyValue] = {}
        self._revision = 0
        self._store_answers = False
        self._asked_at = -ASK_INTERVAL

    @property
    def revision(self) -> int:
        """Newest revision of the store that this node knows."""
        return self._revision

    @property
    def store_answers(self) -> bool:
        """Whether the store answers this node."""
        return self._store_answers

    def expire(self) -> None:
        """Drop upstreams that did not come back in time; needs the node's lock."""
        self._apply(self._state.catalogue.expire(self._state.clock.monotonic()))

    # Own connection

    def registration(self) -> tuple[str, bytes]:
        """Return the key and value under which this node registers itself."""
        key = f"{self._schema.node_prefix}{self._settings.node}"
        return key, msgspec.json.encode(_Registration(str(self._settings.peer)))

    def listed(self, items: tuple[KeyValue, ...], revision: int) -> None:
        """Take all keys of the store."""
        with self._state.lock:
            self._take_items(items, revision)

    def changed(self, changes: tuple[Change, ...], revision: int) -> None:
        """Take changes of the store."""
        with self._state.lock:
            self._revision = max(self._revision, revision)
            for change in changes:
                if change.kind is ChangeKind.PUT:
                    self._take_item(change.item)
                else:
                    self._take_end(change.item.key, change.item.mod_revision)

    def answered(self) -> None:
        """Note that the store answers this node."""
        with self._state.lock:
            if not self._store_answers:
                self._store_answers = True
                self._state.log.note("store", "regained", revision=self._revision)
                self._state.catalogue.store_back(self._state.clock.monotonic())

    @property
    def fleet_size(self) -> int:
        """Number of nodes that are heard, and this one."""
        with self._state.lock:
            return self._state.fleet.size

    def silent(self, reason: str) -> None:
        """Note that the store does not answer this node."""
        with self._state.lock:
            if self._store_answers:
                self._state.log.note("store", "lost", reason=reason, revision=self._revision)
            self._store_answers = False
            self._state.catalogue.store_away(self._state.clock.monotonic())

    def _take_items(self, items: tuple[KeyValue, ...], revision: int) -> None:
        now = self._state.clock.monotonic()
        self._revision = max(self._revision, revision)
        for item in items:
            if not item.key.startswith(self._schema.upstream_prefix):
                self._take_item(item)
        self._apply(self._state.catalogue.list_upstreams(self._decode_upstreams(items), now))
        # With a configuration alone, requests would find no upstream.
        self._state.accept_requests()

    def _decode_upstreams(
        self, items: Iterable[KeyValue]
    ) -> dict[UpstreamId, tuple[UpstreamEntry, int]]:
        """Decode the registrations of upstreams in a whole listing; keep just them for peers."""
        for key in [k for k in self._raw if k.startswith(self._schema.upstream_prefix)]:
            del self._raw[key]
        upstreams: dict[UpstreamId, tuple[UpstreamEntry, int]] = {}
        for item in items:
            if not item.key.startswith(self._schema.upstream_prefix):
                continue
            entry = self._decode_upstream(item)
            if entry is not None:
                self._raw[item.key] = item
                upstreams[entry.id] = (entry, item.mod_revision)
        return upstreams

    def _take_item(self, item: KeyValue) -> None:
        if item.key == self._schema.configuration_key:
            self._take_configuration(item)
        elif item.key.startswith(self._schema.upstream_prefix):
            entry = self._decode_upstream(item)
            if entry is not None:
                self._raw[item.key] = item
                self._apply(self._state.catalogue.put_upstream(entry, item.mod_revision))
        elif item.key.startswith(self._schema.node_prefix):
            self._take_node(item)

    def _take_end(self, key: str, revision: int) -> None:
        if key.startswith(self._schema.upstream_prefix):
            self._raw.pop(key, None)
            upstream = UpstreamId(key.removeprefix(self._schema.upstream_prefix))
            now = self._state.clock.monotonic()
            self._apply(self._state.catalogue.remove_upstream(upstream, revision, now))

    def _take_configuration(self, item: KeyValue) -> None:
        known = self._raw.get(item.key)
        if known is not None and known.mod_revision >= item.mod_revision:
            return
        try:
            configuration = self._schema.decode_configuration(item.value)
        except ChervilrackError as error:
            self._state.log.note("catalogue", "configuration unreadable", reason=str(error))
            return
        self._raw[item.key] = item
        self._apply(self._state.catalogue.offer(configuration))

    def _decode_upstream(self, item: KeyValue) -> UpstreamEntry | None:
        try:
            return self._schema.decode_upstream(item.key, item.value)
        except ChervilrackError as error:
            self._state.log.note("catalogue", "entry unreadable", routine=True, reason=str(error))
            return None

    def _take_node(self, item: KeyValue) -> None:
        try:
            found = msgspec.json.decode(item.value, type=_Registration)
        except msgspec.DecodeError as error:
            self._state.log.note(
                "fleet", "registration unreadable", key=item.key, reason=str(error)
            )
            return
        self._state.fleet.learn([found.peer], self._state.clock.monotonic())

    def _apply(self, effects: list[CatalogueEffect]) -> None:
        for effect in effects:
            match effect:
                case ConfigurationApplied(configuration, previous):
                    self._limit_callers(configuration.limits)
                    self._state.log.note(
                        "catalogue",
                        "configuration applied",
                        version=configuration.version,
                        previous=previous,
                        routes=len(configuration.routes),
                        revision=self._revision,
                    )
                case UpstreamChanged(upstream, entry, before):
                    self._state.upstream_changed(effect)
                    self._state.log.note(
                        "catalogue",
                        "upstream changed",
                        upstream=upstream,
                        service=known.service if (known := entry or before) else None,
                        state=entry.state.value if entry is not None else "gone",
                        before=before.state.value if before is not None else None,
                        revision=self._revision,
                    )
        if effects:
            self._reconfigure()

    # Peers; these methods need the node's lock

    def heard(self, beat: Heartbeat) -> None:
        """Ask a peer that knows more than this node for its state."""
        now = self._state.clock.monotonic()
        configuration = self._state.catalogue.configuration
        version = configuration.version if configuration is not None else 0
        behind = beat.configuration > version or (
            not self._store_answers and beat.directory > self._revision
        )
        if behind and now - self._asked_at >= ASK_INTERVAL:
            self._asked_at = now
            self._send(f"tcp://{beat.address}", StateWanted(version))

    def give_state(self, sender: NodeId, message: StateWanted) -> None:
        """Answer a node that asks for what this one knows."""
        address = self._state.fleet.address_of(sender)
        item = self._raw.get(self._schema.configuration_key)
        if address is None or item is None:
            return
        configuration = self._state.catalogue.configuration
        newer = configuration is not None and configuration.version > message.configuration
        upstreams = tuple(
            (found.key, found.value, found.mod_revision)
            for found in self._raw.values()
            if found.key.startswith(self._schema.upstream_prefix)
        )
        missing = self._state.catalogue.missing
        given = StateGiven(item.value if newer else b"", self._revision, upstreams, missing)
        self._send(f"tcp://{address}", given)

    def take_state(self, message: StateGiven) -> None:
        """Take what a peer knows, if the store does not answer or the peer's version is newer."""
        if message.configuration:
            key = self._schema.configuration_key
            self._take_configuration(KeyValue(key, message.configuration, message.revision))
        if self._store_answers or message.revision <= self._revision:
            return
        items = tuple(KeyValue(key, value, rev) for key, value, rev in message.upstreams)
        self._revision = message.revision
        missing = [UpstreamId(name) for name in message.missing]
        now = self._state.clock.monotonic()
        upstreams = self._decode_upstreams(items)
        self._apply(self._state.catalogue.list_upstreams_of_peer(upstreams, missing, now))
        self._state.accept_requests()
        self._state.log.note("store", "state of a peer taken", revision=message.revision)
