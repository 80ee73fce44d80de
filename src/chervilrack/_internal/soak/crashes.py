"""Check that nodes stop sending requests on which one engine after the other crashes."""

from collections import defaultdict
from collections.abc import Iterator

from chervilrack._internal.soak.promises import promises
from chervilrack._internal.soak.records import Attempt, Evidence, Violation

# Documented bound ``contactMs`` of the smallest site, and what the platform's pages allow.
CONTACT_S = 3.0
CRASHES_TO_LEARN = 5
MAX_LATE_ARRIVALS = 3
# Faults after which a node counts as out of touch for ``CONTACT_S``.
_NODE_FAULTS = frozenset(("kill node", "stop node", "pause node", "caller link", "store link"))


@promises.register("crashing parts")
def crashing_parts(evidence: Evidence) -> Iterator[Violation]:
    """Check that few requests with a part reach engines once five have crashed on it."""
    attempts = {attempt.id: attempt for attempt in evidence.attempts}
    crashes = defaultdict(list)
    for crash in evidence.crashes:
        attempt = attempts.get(crash.request)
        if attempt is not None:
            crashes[attempt.crashing_part].append(crash.at)
    for part, times in crashes.items():
        if len(times) < CRASHES_TO_LEARN:
            continue
        bound = sorted(times)[CRASHES_TO_LEARN - 1] + CONTACT_S
        late = [
            arrival
            for arrival in evidence.arrivals
            if arrival.at > bound
            and arrival.upstream in {crash.upstream for crash in evidence.crashes}
            and (attempt := attempts.get(arrival.request)) is not None
            and attempt.crashing_part == part
            and not _is_out_of_touch(evidence, attempt, arrival.at)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            detail = f"{len(late)} requests reached engines after {len(times)} had crashed"
            yield Violation("crashing parts", part, detail)


def _is_out_of_touch(evidence: Evidence, attempt: Attempt, at: float) -> bool:
    return any(
        disruption.kind in _NODE_FAULTS
        and disruption.target == attempt.node
        and disruption.started_at <= at
        and disruption.ended_at + CONTACT_S >= at
        for disruption in evidence.disruptions
    )
