"""Operators' requests at a node: accepting release notes, and reading the status."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.decoding import UnreadableValue, decode_json
from chervilrack._internal.common.ids import NodeId, ReleaseRevision
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.node.cores import NodeCores, confirmation_remaining_s
from chervilrack._internal.node.platform_link import PlatformLink
from chervilrack._internal.observability.telemetry import NodeTelemetry
from chervilrack._internal.releases.accept import RecordedNote, ReleaseStore
from chervilrack._internal.releases.note import ReleaseNote
from chervilrack._internal.releases.state import Configuration

# Longest wait for a majority of witnesses to apply a recorded note. After this time, ``state`` in
# the answer is ``recorded``.
ACCEPTANCE_WAIT_S = 5.0
POLL_INTERVAL_S = 0.02


class NodeOperations:
    """Implements the gateway's ``Operations`` port."""

    def __init__(
        self,
        node: NodeId,
        cores: NodeCores,
        store: ReleaseStore,
        platform_link: PlatformLink,
        telemetry: NodeTelemetry,
        clock: Clock,
        upstream_rows: Callable[[], Sequence[Mapping[str, Any]]],
    ) -> None:
        self._node = node
        self._cores = cores
        self._store = store
        self._platform_link = platform_link
        self._telemetry = telemetry
        self._clock = clock
        self._upstream_rows = upstream_rows

    def accept_release(self, document: bytes) -> Result[Mapping[str, Any], Problem]:
        """Record a note and wait until a majority of witnesses has applied it.

        ``state`` in the answer is ``accepted`` if a majority has applied the note in time, else
        ``recorded``. A recorded note comes into force too, but nodes that cannot be reached may
        still work under the previous release.
        """
        try:
            note = decode_json("note", document, msgspec.json.Decoder(ReleaseNote).decode)
        except UnreadableValue as error:
            return Err(Problem(ResultCode.RELEASE_INVALID, error.detail))
        match self._store.accept(note):
            case Err() as refused:
                return refused
            case Ok(recorded):
                self._platform_link.load_release()
                return Ok(self._await_witnesses(recorded))
        raise AssertionError("a Result is Ok or Err")

    def release_log(self) -> Sequence[Mapping[str, Any]]:
        """Return the notes this node has applied, oldest first."""
        with self._cores.reactor.lock:
            records = self._cores.releases.records
        return [
            {
                "revision": record.revision,
                "digest": record.digest,
                "note": msgspec.json.decode(record.note),
            }
            for record in records
        ]

    def configuration(self) -> Configuration:
        """Return the configuration in force at this node."""
        with self._cores.reactor.lock:
            return self._cores.configuration

    def status(self) -> Mapping[str, Any]:
        """Return nodes, upstreams, limits in use, releases in force and recent actions."""
        with self._cores.reactor.lock:
            return {
                "release": self._cores.configuration.revision,
                "release_note": self._cores.configuration.note_id,
                "release_state": self._release_state(),
                "epoch": self._cores.membership.epoch,
                "active_epoch": self._cores.membership.active_epoch,
                "nodes": list(self._node_rows()),
                "upstreams": list(self._upstream_rows()),
                "limits": list(self._limit_rows()),
                "actions": [
                    {
                        "at": entry.at.isoformat(),
                        "part": entry.action.part,
                        "action": entry.action.action,
                        "subject": entry.action.subject,
                        "reason": entry.action.reason,
                    }
                    for entry in self._telemetry.explanations.recent_actions()
                ],
            }

    def _release_state(self) -> str:
        """Return ``accepted`` if a majority of witnesses has applied the release in force here.

        Otherwise return ``recorded``.
        """
        applied = self._cores.membership.witness_release_majority
        return "accepted" if applied >= self._cores.configuration.revision else "recorded"

    def _await_witnesses(self, recorded: RecordedNote) -> Mapping[str, Any]:
        deadline = time.monotonic() + ACCEPTANCE_WAIT_S
        accepted = False
        while not accepted and time.monotonic() < deadline:
            accepted = self._majority_applied(recorded.revision)
            if not accepted:
                time.sleep(POLL_INTERVAL_S)
        return {
            "note_id": recorded.note_id,
            "revision": recorded.revision,
            "resubmitted": recorded.resubmitted,
            "state": "accepted" if accepted else "recorded",
        }

    def _majority_applied(self, revision: ReleaseRevision) -> bool:
        with self._cores.reactor.lock:
            membership = self._cores.membership
            applied, known_view = membership.witness_release_majority, membership.mod_revision
        # Witnesses of a newer view may still confirm nodes under the previous release, so the
        # majority counts only if this node knows the newest view.
        return applied >= revision and self._platform_link.view_revision() == known_view

    def _node_rows(self) -> Iterator[Mapping[str, Any]]:
        membership = self._cores.membership
        now = self._clock.monotonic()
        peers = {status.node: status for status in membership.peer_status(now)}
        view = membership.view
        for member in view.members if view is not None else ():
            is_own = member.node == self._node
            peer = peers.get(member.node)
            time_since_message = peer.time_since_last_message if peer is not None else None
            yield {
                "node": member.node,
                "zone": member.zone,
                "state": member.state.value,
                "address": member.http_address,
                "release": self._cores.configuration.revision
                if is_own
                else (peer.release if peer is not None else None),
                "heard_s_ago": 0.0
                if is_own
                else (time_since_message.total_seconds() if time_since_message else None),
                "confirmed_s": confirmation_remaining_s(membership, now) if is_own else None,
            }

    def _limit_rows(self) -> Iterator[Mapping[str, Any]]:
        permits = self._cores.limits.permits
        for limit, capacity in sorted(self._cores.configuration.limit_capacities().items()):
            # ``report_holding`` would mark the holding as reported to the limit's owner.
            pool = permits.pool(limit)
            yield {
                "limit": limit,
                "capacity": capacity,
                "held_here": pool.cap if pool else 0,
                "in_use_here": pool.occupied if pool else 0,
                "wanted_here": pool.total_demand if pool else 0,
            }
