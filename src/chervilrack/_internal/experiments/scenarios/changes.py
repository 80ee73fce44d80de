"""Scenarios about changes that operators make: releases, withdrawals, planned stops."""

import threading
import time
from typing import Any

from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.experiments.arrivals import Phase, Workload
from chervilrack._internal.experiments.faults import FaultContext, TimedFault
from chervilrack._internal.experiments.profile import Profile
from chervilrack._internal.experiments.scenarios.base import SCENARIOS, Scenario
from chervilrack._internal.experiments.testbed import Submission
from chervilrack._internal.history.checker import RELEASE_BOUND_S


def _team_note(
    context: FaultContext, profile: Profile, team: str, concurrency: int
) -> dict[str, Any]:
    data = next(entry for entry in profile.teams if entry.id == team)
    limits = {kind.value: capacity for kind, capacity in data.limits.items()}
    limits["concurrency"] = concurrency
    return context.note(changed={"teams": [{"id": team, "limits": limits}]})


@SCENARIOS.register("limit-tightened")
def limit_tightened(profile: Profile) -> Scenario:
    """Lower the busiest team's limit under load by a release and raise it again."""
    team = profile.bottleneck().split()[1]
    data = next(entry for entry in profile.teams if entry.id == team)
    capacity = data.limits.concurrency or 0

    def set_to(concurrency: int) -> TimedFault:
        share = 0.3 if concurrency < capacity else 0.7

        def change(context: FaultContext) -> None:
            context.must_submit(_team_note(context, profile, team, concurrency))

        return TimedFault(share, f"limit of team {team} set to {concurrency}", change)

    return Scenario(
        f"the limit of team {team} is lowered to 60 % and raised again, half of the capacity",
        Workload((Phase(load=0.5),)),
        (set_to(capacity * 6 // 10), set_to(capacity)),
    )


@SCENARIOS.register("racing-releases")
def racing_releases(profile: Profile) -> Scenario:
    """Submit two notes at the same time at different nodes; one must win each time."""
    organisations = [entry.id for entry in profile.organisations[:2]]

    def race(context: FaultContext) -> None:
        nodes = list(context.bed.nodes())
        outcomes: list[Submission] = []

        def submit(number: int) -> None:
            entry = profile.organisation(organisations[number])
            key = {"sha256": entry.key_sha256}
            changed = {"id": entry.id, "keys": [key], "weight": entry.weight + 1 + number}
            note = context.note(changed={"organisations": [changed]})
            outcomes.append(context.submit(note, nodes[number % len(nodes)].node))

        operators = [threading.Thread(target=submit, args=(number,)) for number in range(2)]
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join()
        accepted = [outcome for outcome in outcomes if outcome.accepted]
        refused = [outcome for outcome in outcomes if not outcome.accepted]
        # Notes that do not race (one was accepted before the other was read) may both succeed.
        context.expect(len(outcomes) == 2 and bool(accepted), "no racing release was accepted")
        revisions = [outcome.revision for outcome in accepted]
        context.expect(len(set(revisions)) == len(revisions), "two notes got one revision")
        winners = {outcome.note for outcome in accepted}
        for outcome in refused:
            named = any(winner in (outcome.conflict or "") for winner in winners)
            context.expect(named, f"a conflict does not name the other note: {outcome.conflict}")

    return Scenario(
        "two operators submit release notes at once, three times",
        Workload((Phase(load=0.4),)),
        tuple(TimedFault(at, "releases race", race) for at in (0.25, 0.5, 0.75)),
    )


def _withdraw(context: FaultContext, upstream: UpstreamId) -> None:
    context.must_submit(context.note(withdrawn={"upstreams": [upstream]}))


@SCENARIOS.register("withdrawal")
def withdrawal(profile: Profile) -> Scenario:
    """Withdraw an engine and an encoder under load."""
    engine = profile.pool("generate").upstreams[-1]
    encoder = profile.pool("encode").upstreams[-1]
    return Scenario(
        f"{engine} and {encoder} are withdrawn",
        Workload((Phase(load=0.5),)),
        (
            TimedFault(0.3, f"{engine} withdrawn", lambda context: _withdraw(context, engine)),
            TimedFault(0.5, f"{encoder} withdrawn", lambda context: _withdraw(context, encoder)),
        ),
    )


@SCENARIOS.register("rolling-replacement")
def rolling_replacement(profile: Profile) -> Scenario:
    """Replace the nodes one after the other: a new one starts, then the old one stops."""

    def replace_all(context: FaultContext) -> None:
        for old in list(context.bed.nodes()):
            context.bed.start_node(old.zone)
            context.stop_as_planned(old)

    del profile
    return Scenario(
        "all nodes are replaced one after the other",
        Workload((Phase(load=0.5),)),
        (TimedFault(0.1, "replacement of all nodes", replace_all),),
    )


@SCENARIOS.register("planned-stop")
def planned_stop(profile: Profile) -> Scenario:
    """Stop a node and an upstream as planned under load."""
    engine = profile.pool("generate").upstreams[-1]

    def stop_node(context: FaultContext) -> None:
        context.stop_as_planned(context.any_node())

    def stop_upstream(context: FaultContext) -> None:
        _withdraw(context, engine)
        # Until then nodes may still dispatch to it.
        time.sleep(RELEASE_BOUND_S)
        context.stop_upstream_as_planned(engine)

    return Scenario(
        f"a node and {engine} are stopped as planned",
        Workload((Phase(load=0.5),)),
        (
            TimedFault(0.2, "node stops", stop_node),
            TimedFault(0.5, f"{engine} stops", stop_upstream),
        ),
    )
