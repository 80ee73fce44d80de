"""Check that no request which a node has read ends without an answer."""

from collections import defaultdict
from collections.abc import Iterator

from chervilrack._internal.soak.processes import GRACE_S
from chervilrack._internal.soak.promises import promises
from chervilrack._internal.soak.records import (
    Attempt,
    Disruption,
    Ending,
    Evidence,
    Kind,
    Violation,
)

# Documented bounds of the smallest site: ``lossSlackMs`` and ``contactMs``.
LOSS_SLACK_S = 0.2
CONTACT_S = 3.0
# A request that is sent this long after a stop signal at the latest may be cut off in the last
# sixth of the grace period.
EARLY_IN_STOP_S = 3.0
LAST_SIXTH_START_S = GRACE_S * 5 / 6
# Deadline of each request, and the shortest timeout of a route that a soak configures.
DEADLINE_S = 4.0
SHORTEST_TIMEOUT_S = 3.0

_NODE_DISRUPTIONS = frozenset(("kill node", "pause node", "caller link"))
_UPSTREAM_DISRUPTIONS = frozenset(
    ("upstream link", "upstream behaviour", "upstream notice", "upstream crash")
)
_CONFIGURATION_CHANGES = frozenset(("configuration", "configuration storm"))


@promises.register("no lost requests")
def no_lost_requests(evidence: Evidence) -> Iterator[Violation]:
    """Check that each request which a node has read gets a complete response."""
    reached = defaultdict(set)
    for arrival in evidence.arrivals:
        reached[arrival.request].add(arrival.upstream)
    for attempt in evidence.attempts:
        upstreams = reached.get(attempt.id, set())
        if _was_lost(attempt, upstreams) and not _is_excused(attempt, upstreams, evidence):
            after = attempt.ended_at - attempt.sent_at
            ending = f"{attempt.ending.value} {after:.2f} s after the last byte"
            where = f"reached {sorted(upstreams) or 'no upstream'}"
            detail = f"{attempt.kind.name} at {attempt.node}: {ending}, {where}"
            yield Violation("no lost requests", attempt.id, detail)


def _was_lost(attempt: Attempt, upstreams: set[str]) -> bool:
    """Whether a request that a node has read got no complete response."""
    if attempt.ending is Ending.CLOSED:
        # A request that crosses the node's close of an idle connection is not read.
        is_late = attempt.ended_at - attempt.sent_at > LOSS_SLACK_S
        return bool(upstreams) or (attempt.was_read and is_late)
    if attempt.ending is Ending.RESET:
        return bool(upstreams)
    return attempt.ending in (Ending.CUT_OFF, Ending.TIMED_OUT)


def _is_excused(attempt: Attempt, upstreams: set[str], evidence: Evidence) -> bool:
    near = [
        disruption
        for disruption in evidence.disruptions
        if disruption.started_at <= attempt.ended_at
        and disruption.ended_at >= attempt.started_at - CONTACT_S
    ]
    if any(d.kind in _NODE_DISRUPTIONS and d.target == attempt.node for d in near):
        return True
    if attempt.ending is Ending.TIMED_OUT:
        return False
    is_broken_stream = (
        attempt.ending is Ending.CUT_OFF and attempt.kind in (Kind.STREAM, Kind.STAGED)
    ) and any(d.kind in _UPSTREAM_DISRUPTIONS and d.target in upstreams for d in near)
    return (
        is_broken_stream
        or attempt.ended_at - attempt.started_at >= _time_limit(near)
        or any(_is_late_in_stop(attempt, disruption) for disruption in near)
    )


def _time_limit(disruptions: list[Disruption]) -> float:
    """Return the time after which a request may be ended, in seconds."""
    is_changed = any(d.kind in _CONFIGURATION_CHANGES for d in disruptions)
    return SHORTEST_TIMEOUT_S if is_changed else DEADLINE_S


def _is_late_in_stop(attempt: Attempt, disruption: Disruption) -> bool:
    """Whether a request was sent early in a stop of its node and cut off at its end."""
    return (
        disruption.kind == "stop node"
        and disruption.target == attempt.node
        and attempt.sent_at <= disruption.started_at + EARLY_IN_STOP_S
        and attempt.ended_at >= disruption.started_at + LAST_SIXTH_START_S
    )
