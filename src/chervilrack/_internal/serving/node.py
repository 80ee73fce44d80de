"""The serving node: wires the cores to listeners, peers and the store, and runs their timers."""

import contextlib
import dataclasses
import logging
import os
import random
import secrets
import threading
from collections.abc import Iterable
from datetime import timedelta
from types import TracebackType
from typing import Self
from urllib.parse import parse_qsl

import msgspec

from chervilrack._internal.balancing.core import Balancer
from chervilrack._internal.batching.messages import (
    PiecesBegun,
    PiecesDropped,
    PiecesMade,
    PiecesQueued,
    PiecesReturned,
    PiecesWanted,
    ResultsReleased,
)
from chervilrack._internal.catalogue.core import (
    CatalogueEffect,
    ConfigurationApplied,
    UpstreamChanged,
)
from chervilrack._internal.catalogue.state import UpstreamEntry
from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import Incarnation, NodeId, UpstreamId
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.fleet.core import Fleet, FleetEffect, PeerJoined, PeerLeaving, PeerLost
from chervilrack._internal.fleet.messages import Heartbeat, StateGiven, StateWanted
from chervilrack._internal.forwarding.attempts import AttemptRunner
from chervilrack._internal.forwarding.dialect import Dialect
from chervilrack._internal.forwarding.forwarder import Forwarder
from chervilrack._internal.forwarding.messages import InboundRequest, Responder
from chervilrack._internal.gateway.callers import CallerWatch
from chervilrack._internal.gateway.passthrough import ListenSettings, PassThroughServer
from chervilrack._internal.kvstore.port import Change, ChangeKind, KeyValue, KeyValueStore
from chervilrack._internal.observability.decisions import DecisionHandler, DecisionLog
from chervilrack._internal.peering.envelope import Envelope
from chervilrack._internal.peering.transport import PeerTransport
from chervilrack._internal.serving.messages import serving_codec
from chervilrack._internal.serving.metrics import CONTENT_TYPE
from chervilrack._internal.serving.settings import ServingSettings
from chervilrack._internal.serving.stage_calls import StageCaller
from chervilrack._internal.serving.stage_desk import StageDesk
from chervilrack._internal.serving.state import REFUSAL_MARGIN, STOP_MARGIN, ServingState
from chervilrack._internal.serving.store_schema import StoreSchema
from chervilrack._internal.serving.store_sync import StoreSync
from chervilrack._internal.serving.timers import TimerThread

logger = logging.getLogger(__name__)

METRICS_PATH = "/metrics"
# Endpoints in one look-up answer.
MOST_ENDPOINTS = 64
# Time for other nodes to hear that this one leaves; they name it until then.
LOOKUP_SLACK = timedelta(milliseconds=300)
# A request that was admitted counts as in progress within this time, also on a busy node.
ADMISSION_TIME = timedelta(milliseconds=100)
# A node that the store does not answer asks a peer for its state at most this often.
ASK_INTERVAL = timedelta(milliseconds=500)
_MILLISECOND = timedelta(milliseconds=1)
# Readiness and look-up answers take microseconds.
SIDE_THREADS = 2
MOST_SIDE_THREADS = 16


class _Registration(msgspec.Struct):
    """What a node writes about itself into the store."""

    peer: str


class ServingNode:
    """One node; use as a context manager. ``leave`` ends its service gracefully."""

    def __init__(
        self,
        settings: ServingSettings,
        dialect: Dialect,
        schema: StoreSchema,
        store: KeyValueStore | None,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._schema = schema
        self._clock = clock
        self._log = log
        self._incarnation = Incarnation(secrets.token_hex(4))
        rng = random.Random()
        self._fleet = Fleet(settings.node, str(settings.peer), rng)
        self._state = ServingState(settings, self._fleet, clock, log)
        self._caller = StageCaller(dialect, clock)
        self._desk = StageDesk(settings.node, self._incarnation, self._state, dialect, self._caller)
        self._watch = CallerWatch()
        attempts = AttemptRunner(dialect, self._state, clock)
        self._forwarder = Forwarder(self._state, dialect, attempts, self._desk, clock, rng)
        self._transport = PeerTransport(
            settings.node,
            self._incarnation,
            f"tcp://{settings.peer}",
            serving_codec(),
            self._received,
        )
        self._desk.transport = self._transport
        self._store = store
        self._sync = StoreSync(store, self, self._registration, rng) if store is not None else None
        self._raw: dict[str, KeyValue] = {}
        self._revision = 0
        self._store_answers = False
        self._leaving = threading.Event()
        self._closing = False
        self._stopping = False
        self._timers = TimerThread(
            clock, self._state.lock, self._next_time, self._tick, self._was_paused
        )
        self._desk.wake = self._timers.wake
        self._next_beat = timedelta(0)
        self._asked_at = -ASK_INTERVAL
        self._started_at = clock.monotonic()
        self._servers = self._make_servers()
        self._exit = contextlib.ExitStack()

    @property
    def balancer(self) -> Balancer:
        """Load and health of the upstreams, as this node sees them."""
        return self._state.balancer

    @property
    def is_ready(self) -> bool:
        """Whether the node knows a configuration with its upstreams and is not leaving."""
        return (
            self._state.accepts()
            and self._state.catalogue.configuration is not None
            and not self._leaving.is_set()
            and not self._stopping
        )

    def __enter__(self) -> Self:
        logging.getLogger().addHandler(DecisionHandler(self._log))
        enter = self._exit.enter_context
        now = self._clock.monotonic()
        self._fleet.learn([str(seed) for seed in self._settings.seeds], now)
        enter(self._caller)
        enter(self._watch)
        enter(self._transport)
        for server in self._servers:
            enter(server)
        if self._sync is not None:
            enter(self._sync)
        enter(self._timers)
        self._log.note("node", "started", zone=self._settings.zone, process=os.getpid())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping = True
        self._exit.close()
        self._log.note("node", "stopped")

    def reload(self, settings: ServingSettings) -> None:
        """Learn the seeds of changed settings; other changes take effect at the next start."""
        names = [field.name for field in dataclasses.fields(settings)]
        changed = [n for n in names if getattr(settings, n) != getattr(self._settings, n)]
        with self._state.lock:
            now = self._clock.monotonic()
            self._fleet.learn([str(seed) for seed in settings.seeds], now)
        pending = [name for name in changed if name != "seeds"]
        self._log.note("node", "reloaded", changed=changed, at_next_start=pending)

    def leave(self) -> None:
        """Stop being named to callers, and return when all requests have ended or time is up.

        Callers that kept an older answer are still served while their answer may last.
        """
        self._leaving.set()
        self._log.note("node", "leaving", in_progress=self._state.in_progress)
        self._closing = True
        self._state.leave()
        with self._state.lock:
            self._fleet.leave()
            self._next_beat = timedelta(0)
        self._timers.wake()
        started = self._clock.monotonic()
        until = started + self._settings.lookup_lifetime * 3 + LOOKUP_SLACK
        last = started + self._settings.stop_grace - STOP_MARGIN
        while (now := self._clock.monotonic()) < last:
            if now >= until:
                self._state.stop_accepting()
                if now >= until + ADMISSION_TIME and self._state.in_progress == 0:
                    break
            if now >= last - REFUSAL_MARGIN:
                self._state.stop_waiting()
            threading.Event().wait(0.1)
        # The listener is open for some time more; what it takes would be cut off.
        self._state.stop_accepting()
        self._log.note("node", "left", in_progress=self._state.in_progress)

    # Listeners

    def _make_servers(self) -> list[PassThroughServer]:
        settings = self._settings
        servers = [
            PassThroughServer(
                ListenSettings(settings.callers.host, settings.callers.port),
                self._forwarder.handle,
                self._clock,
                self._watch,
                lambda: self._closing,
            )
        ]
        sides = {settings.readiness, settings.lookup}
        if settings.metrics is not None:
            sides.add(settings.metrics)
        for address in sorted(sides, key=str):
            listen = ListenSettings(
                address.host,
                address.port,
                first_threads=SIDE_THREADS,
                most_threads=MOST_SIDE_THREADS,
            )
            servers.append(PassThroughServer(listen, self._answer_side, self._clock))
        return servers

    def _answer_side(self, request: InboundRequest, responder: Responder) -> None:
        if request.path == self._dialect.readiness_path:
            responder.answer(200 if self.is_ready else 503, [], b"")
        elif request.path == self._dialect.lookup_path:
            self._answer_lookup(request, responder)
        elif request.path == METRICS_PATH:
            body = self._state.metrics.render(self._state.in_progress, self._log.dropped)
            responder.answer(200, [("Content-Type", CONTENT_TYPE)], body)
        else:
            responder.answer(404, [], b"")

    def _answer_lookup(self, request: InboundRequest, responder: Responder) -> None:
        query = dict(parse_qsl(request.target.partition("?")[2]))
        self._dialect.read_lookup(query)
        own = str(self._settings.callers) if self.is_ready else None
        with self._state.lock:
            addresses = self._fleet.endpoints(own, MOST_ENDPOINTS)
        if not addresses:
            responder.answer(503, [("Retry-After", "0.5")], b"")
            return
        body = self._dialect.encode_lookup(addresses, self._settings.lookup_lifetime)
        responder.answer(200, [("Content-Type", "application/json")], body)

    # Store

    def _registration(self) -> tuple[str, bytes]:
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
                self._log.note("store", "regained", revision=self._revision)
                self._state.catalogue.store_back(self._clock.monotonic())

    @property
    def fleet_size(self) -> int:
        """Number of nodes that are heard, and this one."""
        with self._state.lock:
            return self._fleet.size

    def silent(self, reason: str) -> None:
        """Note that the store does not answer this node."""
        with self._state.lock:
            if self._store_answers:
                self._log.note("store", "lost", reason=reason, revision=self._revision)
            self._store_answers = False
            self._state.catalogue.store_away(self._clock.monotonic())

    def _take_items(self, items: tuple[KeyValue, ...], revision: int) -> None:
        now = self._clock.monotonic()
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
            now = self._clock.monotonic()
            self._apply(self._state.catalogue.remove_upstream(upstream, revision, now))

    def _take_configuration(self, item: KeyValue) -> None:
        known = self._raw.get(item.key)
        if known is not None and known.mod_revision >= item.mod_revision:
            return
        try:
            configuration = self._schema.decode_configuration(item.value)
        except ChervilrackError as error:
            self._log.note("catalogue", "configuration unreadable", reason=str(error))
            return
        self._raw[item.key] = item
        self._apply(self._state.catalogue.offer(configuration))

    def _decode_upstream(self, item: KeyValue) -> UpstreamEntry | None:
        try:
            return self._schema.decode_upstream(item.key, item.value)
        except ChervilrackError as error:
            self._log.note("catalogue", "entry unreadable", routine=True, reason=str(error))
            return None

    def _take_node(self, item: KeyValue) -> None:
        try:
            found = msgspec.json.decode(item.value, type=_Registration)
        except msgspec.DecodeError as error:
            self._log.note("fleet", "registration unreadable", key=item.key, reason=str(error))
            return
        self._fleet.learn([found.peer], self._clock.monotonic())

    def _apply(self, effects: list[CatalogueEffect]) -> None:
        for effect in effects:
            match effect:
                case ConfigurationApplied(configuration, previous):
                    limits = configuration.limits
                    for server in self._servers[:1]:
                        server.limit(limits.max_headers, limits.max_body, limits.idle_time)
                    self._log.note(
                        "catalogue",
                        "configuration applied",
                        version=configuration.version,
                        previous=previous,
                        routes=len(configuration.routes),
                        revision=self._revision,
                    )
                case UpstreamChanged(upstream, entry, before):
                    self._state.upstream_changed(effect)
                    self._log.note(
                        "catalogue",
                        "upstream changed",
                        upstream=upstream,
                        service=known.service if (known := entry or before) else None,
                        state=entry.state.value if entry is not None else "gone",
                        before=before.state.value if before is not None else None,
                        revision=self._revision,
                    )
        if effects:
            self._desk.reconfigure()

    # Peers

    def _received(self, envelope: Envelope) -> None:
        message, sender = envelope.message, envelope.sender
        if sender == self._settings.node and envelope.incarnation == self._incarnation:
            return
        with self._state.lock:
            self._fleet.note_message(sender, envelope.incarnation, self._clock.monotonic())
            match message:
                case Heartbeat():
                    self._heard(sender, envelope.incarnation, message)
                case StateWanted():
                    self._give_state(sender, message)
                case StateGiven():
                    self._take_state(message)
                case PiecesWanted():
                    self._desk.wanted(sender, message)
                case PiecesQueued():
                    self._desk.queued(message)
                case PiecesBegun():
                    self._desk.begun(message)
                case PiecesMade():
                    self._desk.made(sender, message)
                case PiecesDropped():
                    self._desk.dropped(sender, message)
                case PiecesReturned():
                    self._desk.returned(sender, message)
                case ResultsReleased():
                    self._desk.released(message)

    def _heard(self, sender: NodeId, incarnation: Incarnation, beat: Heartbeat) -> None:
        now = self._clock.monotonic()
        self._fleet_changed(self._fleet.heard(sender, incarnation, beat, now))
        self._state.balancer.take_reports(sender, beat.reports)
        configuration = self._state.catalogue.configuration
        version = configuration.version if configuration is not None else 0
        behind = beat.configuration > version or (
            not self._store_answers and beat.directory > self._revision
        )
        if behind and now - self._asked_at >= ASK_INTERVAL:
            self._asked_at = now
            self._transport.send_to_address(f"tcp://{beat.address}", StateWanted(version))

    def _give_state(self, sender: NodeId, message: StateWanted) -> None:
        address = self._fleet.address_of(sender)
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
        self._transport.send_to_address(f"tcp://{address}", given)

    def _take_state(self, message: StateGiven) -> None:
        if message.configuration:
            key = self._schema.configuration_key
            self._take_configuration(KeyValue(key, message.configuration, message.revision))
        if self._store_answers or message.revision <= self._revision:
            return
        items = tuple(KeyValue(key, value, rev) for key, value, rev in message.upstreams)
        self._revision = message.revision
        missing = [UpstreamId(name) for name in message.missing]
        now = self._clock.monotonic()
        upstreams = self._decode_upstreams(items)
        self._apply(self._state.catalogue.list_upstreams_of_peer(upstreams, missing, now))
        self._state.accept_requests()
        self._log.note("store", "state of a peer taken", revision=message.revision)

    def _fleet_changed(self, effects: list[FleetEffect]) -> None:
        if effects:
            self._desk.owners_changed()
        for effect in effects:
            match effect:
                case PeerLost(node, reason):
                    self._log.note("fleet", "peer lost", peer=node, reason=reason)
                    self._state.balancer.forget_node(node)
                    self._desk.node_lost(node)
                case PeerLeaving(node):
                    self._log.note("fleet", "peer leaving", peer=node)
                case PeerJoined(node, address):
                    self._log.note("fleet", "peer joined", peer=node, address=address)

    def _beat(self, now: timedelta) -> None:
        configuration = self._state.catalogue.configuration
        beat = Heartbeat(
            address=str(self._settings.peer),
            callers=str(self._settings.callers),
            zone=self._settings.zone,
            ready=self.is_ready,
            leaving=self._leaving.is_set(),
            configuration=configuration.version if configuration is not None else 0,
            directory=self._revision,
            store_answers=self._store_answers,
            reports=tuple(self._state.balancer.own_reports(now)),
            peers=self._fleet.gossip(),
            ready_for_ms=round(self._fleet.note_ready(self.is_ready, now) / _MILLISECOND),
            interval_ms=round(self._fleet.interval / _MILLISECOND),
        )
        addresses = [f"tcp://{address}" for address in self._fleet.addresses]
        self._transport.send_to_addresses(addresses, beat)
        self._next_beat = now + self._fleet.interval
        self._desk.hand_over()

    # Timers

    def _was_paused(self, late: timedelta) -> None:
        self._log.note("node", "paused", seconds=round(late.total_seconds(), 2))
        self._fleet.woke(late)

    def _next_time(self) -> timedelta:
        times = [self._next_beat, self._desk.next_time(self._clock.monotonic())]
        return min(time for time in times if time is not None)

    def _tick(self, now: timedelta) -> None:
        try:
            if now >= self._next_beat:
                self._beat(now)
                self._fleet_changed(self._fleet.tick(now))
                self._apply(self._state.catalogue.expire(now))
            self._desk.tick(now)
        except Exception:
            logger.exception("node: a timer failed")
            self._next_beat = now + self._fleet.interval
