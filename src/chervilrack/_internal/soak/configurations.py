"""Check that nodes handle requests by a configuration that may still be in force."""

from collections import defaultdict
from collections.abc import Iterator, Sequence

from chervilrack._internal.soak.promises import promises
from chervilrack._internal.soak.records import (
    Attempt,
    Configuration,
    ConfigurationChange,
    Evidence,
    Kind,
    Run,
    Violation,
)

# Documented bounds ``configApplyMs`` and ``contactMs`` of the smallest site.
APPLY_S = 2.0
CONTACT_S = 3.0
# Faults after which a node, or with these targets any node, counts as out of touch for CONTACT_S.
_NODE_FAULTS = frozenset(
    ("kill node", "stop node", "pause node", "store link", "store connections")
)
_EVERY_NODE = frozenset(("all", "store"))
_STORE_FAULTS = frozenset(("store return",))
# Kinds of requests whose service a soak moves.
_MOVED_KINDS = frozenset((Kind.ORDER, Kind.READ))


@promises.register("configuration in force")
def configuration_in_force(evidence: Evidence) -> Iterator[Violation]:
    """Check that nodes in touch handle no request as only an outdated configuration allows.

    A configuration is outdated for requests that are sent APPLY_S after the acknowledgement of a
    later one.
    """
    runs = defaultdict(list)
    for run in evidence.runs:
        runs[run.request].append(run)
    for attempt in evidence.attempts:
        detail = _outdated_handling(attempt, runs[attempt.id], evidence.configurations)
        if detail and not _is_out_of_touch(evidence, attempt):
            yield Violation("configuration in force", attempt.id, f"{detail} by {attempt.node}")


def _outdated_handling(
    attempt: Attempt, runs: Sequence[Run], changes: Sequence[ConfigurationChange]
) -> str:
    """Return how a request was handled that no configuration allows, "" if one does."""
    allowed = _possible_configurations(attempt, changes)
    if not allowed:
        return ""
    if attempt.status == 401 and all(attempt.key in one.keys for one in allowed):
        return f"{attempt.key} was refused"
    if runs and not any(attempt.key in one.keys for one in allowed):
        return f"run with {attempt.key}, which was removed"
    if attempt.kind in _MOVED_KINDS:
        services = set().union(*(_services(one) for one in allowed))
        for run in runs:
            if run.upstream.rpartition("-")[0] not in services:
                return f"run by {run.upstream}, which its route no longer names"
    return ""


def _possible_configurations(
    attempt: Attempt, changes: Sequence[ConfigurationChange]
) -> list[Configuration]:
    """Return the configurations that a node may use for a request, None of them outdated."""
    in_force = [c for c in changes if c.acknowledged_at <= attempt.started_at - APPLY_S]
    if not in_force:
        return []
    later = [
        change
        for change in changes
        if change.acknowledged_at > in_force[-1].acknowledged_at
        and change.sent_at <= attempt.ended_at
    ]
    return [change.configuration for change in (in_force[-1], *later)]


def _services(configuration: Configuration) -> set[str]:
    """Return the services that may run the requests of the plain routes."""
    if configuration.is_moved:
        return {"other"}
    return {"plain", "other"} if configuration.moved_share else {"plain"}


def _is_out_of_touch(evidence: Evidence, attempt: Attempt) -> bool:
    return any(
        (disruption.kind in _STORE_FAULTS)
        or (
            disruption.kind in _NODE_FAULTS
            and (disruption.target == attempt.node or disruption.target in _EVERY_NODE)
        )
        for disruption in evidence.disruptions
        if disruption.started_at <= attempt.ended_at
        and disruption.ended_at + CONTACT_S >= attempt.started_at
    )
