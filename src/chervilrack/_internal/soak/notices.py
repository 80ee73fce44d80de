"""Checks that nodes heed what upstreams say about themselves in their responses."""

from collections import defaultdict
from collections.abc import Iterator

from chervilrack._internal.soak.promises import promises
from chervilrack._internal.soak.records import (
    Arrival,
    Attempt,
    Ending,
    Evidence,
    Notice,
    NoticeKind,
    Violation,
)

# Documented bound ``drainMs`` of the smallest site.
DRAIN_S = 2.0
# Time for requests that are on their way when an upstream asks to be spared, and their number
# after it.
HOLD_SLACK_S = 0.5
MAX_STRAGGLERS = 2
# Faults after which a node need not know what an upstream has said.
_FORGETTING_FAULTS = frozenset(("kill node", "stop node", "pause node"))


@promises.register("leaving upstreams")
def leaving_upstreams(evidence: Evidence) -> Iterator[Violation]:
    """Check that no later request reaches an upstream after it has said that it leaves."""
    for notice, told, later in _notices(evidence, NoticeKind.LEAVING):
        if told.ending is not Ending.ANSWERED:
            continue
        bound = told.ended_at + DRAIN_S
        for attempt, arrival in later:
            if attempt.started_at > bound:
                after = attempt.started_at - told.ended_at
                detail = (
                    f"reached {notice.upstream}, {after:.1f} s after it had said that it leaves"
                )
                yield Violation("leaving upstreams", arrival.request, detail)


@promises.register("upstreams that hold off")
def upstreams_that_hold_off(evidence: Evidence) -> Iterator[Violation]:
    """Check that an upstream is spared for the time that it has asked for."""
    for notice, told, later in _notices(evidence, NoticeKind.HOLD_OFF):
        count = len({a.call for _, a in later if a.at > notice.at + HOLD_SLACK_S})
        if count > MAX_STRAGGLERS:
            detail = f"{count} requests from {told.node} reached it before the end of its hold"
            yield Violation("upstreams that hold off", notice.upstream, detail)


def _notices(
    evidence: Evidence, kind: NoticeKind
) -> Iterator[tuple[Notice, Attempt, list[tuple[Attempt, Arrival]]]]:
    """Yield each notice, the request it was given to, and what its node sent there afterwards."""
    attempts = {attempt.id: attempt for attempt in evidence.attempts}
    arrivals = defaultdict(list)
    for arrival in evidence.arrivals:
        arrivals[arrival.upstream].append(arrival)
    for notice in evidence.notices:
        told = attempts.get(notice.request)
        if notice.kind is not kind or told is None:
            continue
        later = [
            (attempts[arrival.request], arrival)
            for arrival in arrivals[notice.upstream]
            if notice.at < arrival.at < notice.until
            and arrival.request in attempts
            and attempts[arrival.request].node == told.node
            and not _has_forgotten(evidence, told.node, notice.at, arrival.at)
        ]
        yield notice, told, later


def _has_forgotten(evidence: Evidence, node: str, since: float, until: float) -> bool:
    return any(
        disruption.kind in _FORGETTING_FAULTS
        and disruption.target == node
        and disruption.started_at <= until
        and disruption.ended_at >= since
        for disruption in evidence.disruptions
    )
