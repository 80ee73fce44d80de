"""Operators' calls at a node: accepting release notes and status."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.ids import NodeId, ReleaseRevision
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.node.cores import NodeCores, confirmation_left
from chervilrack._internal.node.platform_link import PlatformLink
from chervilrack._internal.observability.telemetry import NodeTelemetry
from chervilrack._internal.releases.accept import RecordedNote, ReleaseStore
from chervilrack._internal.releases.note import ReleaseNote
from chervilrack._internal.releases.state import Configuration

# Time for a majority of witnesses to apply a recorded note before it is reported as recorded only.
ACCEPTANCE_WAIT_S = 5.0
POLL_S = 0.02


class NodeOperations:
    """Implements the gateway's ``Operations`` port."""

    def __init__(
        self,
        node: NodeId,
        cores: NodeCores,
        store: ReleaseStore,
        link: PlatformLink,
        telemetry: NodeTelemetry,
        clock: Clock,
        upstream_rows: Callable[[], Sequence[Mapping[str, Any]]],
    ) -> None:
        self._node = node
        self._cores = cores
        self._store = store
        self._link = link
        self._telemetry = telemetry
        self._clock = clock
        self._upstream_rows = upstream_rows

    def accept_release(self, document: bytes) -> Result[Mapping[str, Any], Problem]:
        """Record a note and wait until a majority of witnesses has applied it.

        The answer's ``state`` is ``accepted`` then, otherwise ``recorded``: the note will come
        into force, but nodes that cannot be reached may still work under the release before it.
        """
        try:
            note = msgspec.json.decode(document, type=ReleaseNote)
        except msgspec.MsgspecError as error:
            return Err(Problem(ResultCode.RELEASE_INVALID, str(error)))
        match self._store.accept(note):
            case Err() as refused:
                return refused
            case Ok(recorded):
                self._link.load_release()
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
        """Return whether a majority of witnesses has applied the release in force here."""
        applied = self._cores.membership.witness_release_majority
        return "accepted" if applied >= self._cores.configuration.revision else "recorded"

    def _await_witnesses(self, recorded: RecordedNote) -> Mapping[str, Any]:
        limit = time.monotonic() + ACCEPTANCE_WAIT_S
        accepted = False
        while not accepted and time.monotonic() < limit:
            accepted = self._majority_applied(recorded.revision)
            if not accepted:
                time.sleep(POLL_S)
        return {
            "note_id": recorded.note_id,
            "revision": recorded.revision,
            "resubmitted": recorded.resubmitted,
            "state": "accepted" if accepted else "recorded",
        }

    def _majority_applied(self, revision: ReleaseRevision) -> bool:
        with self._cores.reactor.lock:
            members = self._cores.membership
            applied, seen = members.witness_release_majority, members.mod_revision
        # The witnesses of a newer view may confirm the release before; their view must be known.
        return applied >= revision and self._link.view_revision() == seen

    def _node_rows(self) -> Iterator[Mapping[str, Any]]:
        members = self._cores.membership
        now = self._clock.monotonic()
        known = {status.node: status for status in members.peer_status(now)}
        view = members.view
        for member in view.members if view is not None else ():
            own = member.node == self._node
            peer = known.get(member.node)
            heard = peer.time_since_last_message if peer is not None else None
            yield {
                "node": member.node,
                "zone": member.zone,
                "state": member.state.value,
                "address": member.http_address,
                "release": self._cores.configuration.revision
                if own
                else (peer.release if peer is not None else None),
                "heard_s_ago": 0.0 if own else (heard.total_seconds() if heard else None),
                "confirmed_s": confirmation_left(members, now) if own else None,
            }

    def _limit_rows(self) -> Iterator[Mapping[str, Any]]:
        permits = self._cores.limits.permits
        for limit, capacity in sorted(self._cores.configuration.limit_capacities().items()):
            # Not ``report_holding``: that marks the state as reported to the limit's owner.
            pool = permits.pool(limit)
            yield {
                "limit": limit,
                "capacity": capacity,
                "held_here": pool.cap if pool else 0,
                "in_use_here": pool.occupied if pool else 0,
                "wanted_here": pool.total_demand if pool else 0,
            }
