"""``chervilrack quickstart``: run a cluster in one process and send requests to it."""

import time
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

import click

from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.cli.tables import format_table

DEFAULT_NODES = 3
# Fraction of the profile's capacity; low, since stand-ins, nodes and callers share one interpreter.
LOAD_FRACTION = 0.25


@click.command()
@click.option(
    "--profile",
    "profile_name",
    type=click.Choice(["paramo", "puzzle-guild"]),
    default="paramo",
    show_default=True,
    help="Deployment to emulate.",
)
@click.option(
    "--duration", default=8.0, show_default=True, help="Seconds during which requests arrive."
)
@click.option("--nodes", default=DEFAULT_NODES, show_default=True, help="Number of nodes.")
@click.option("--seed", default=1, show_default=True, help="Seed of arrivals and random choices.")
@click.option(
    "--serve", is_flag=True, help="Print addresses and a curl command, and serve until Ctrl-C."
)
def quickstart(profile_name: str, duration: float, nodes: int, seed: int, serve: bool) -> None:
    """Start stand-ins and nodes, accept a release note and send requests.

    The exit status is 0 if every request was answered completely or refused as not executed and
    the upstreams saw no exceeded limit and no repeated order, else 6.

    Example: chervilrack quickstart --profile puzzle-guild --duration 5
    """
    from chervilrack._internal.cluster.local import LocalCluster
    from chervilrack._internal.experiments.profile import load_profile

    profile = load_profile(profile_name)
    started_at = time.monotonic()
    with LocalCluster(profile, nodes, seed) as cluster:
        startup_s = time.monotonic() - started_at
        accepted = cluster.accept_first_note()
        click.echo(
            f"{nodes} nodes ready after {startup_s:.1f} s; release {accepted['revision']} "
            f"'{accepted['note_id']}' is {accepted['state']}"
        )
        if serve:
            _serve(cluster, profile)
            return
        has_failures = _send_requests(cluster, profile, duration, seed)
    raise SystemExit(ExitStatus.PROMISE_BROKEN if has_failures else ExitStatus.SUCCESS)


def _send_requests(cluster: Any, profile: Any, duration: float, seed: int) -> bool:
    from chervilrack._internal.experiments.arrivals import Phase, Workload, generate_arrivals
    from chervilrack._internal.experiments.loadgen import Plan, run_plan
    from chervilrack._internal.history.recorder import MemoryRecorder

    workload = Workload((Phase(0.0, 1.0, LOAD_FRACTION),))
    arrivals = generate_arrivals(profile, workload, seed, duration)
    plan = Plan(
        arrivals=tuple(arrivals),
        start_at=time.monotonic() + 0.5,
        bootstrap=tuple(node.http_address for node in cluster.nodes),
        keys={entry.id: entry.key for entry in profile.organisations},
        latency_s=profile.to_clients_ms / 1000,
        deadline_s=profile.deadline_s,
    )
    records = run_plan(plan, MemoryRecorder())
    click.echo(format_table(_outcome_rows(records)))
    violations = _violations(cluster)
    for line in violations:
        click.echo(line, err=True)
    expected_outcomes = {"answered", "refused_not_executed"}
    unexpected = [record for record in records if record.outcome.value not in expected_outcomes]
    for record in unexpected:
        click.echo(f"{record.request}: {record.outcome.value}: {record.detail}", err=True)
    return bool(unexpected or violations)


def _outcome_rows(records: Sequence[Any]) -> list[Mapping[str, Any]]:
    rows: list[Mapping[str, Any]] = []
    for name in sorted({record.organisation for record in records}):
        group = [record for record in records if record.organisation == name]
        outcomes = Counter(record.outcome.value for record in group)
        latencies = sorted(record.ended_at - record.intended_at for record in group)
        rows.append(
            {
                "organisation": name,
                "requests": len(group),
                "answered": outcomes["answered"],
                "refused, not executed": outcomes["refused_not_executed"],
                "other": len(group) - outcomes["answered"] - outcomes["refused_not_executed"],
                "median ms": round(latencies[len(latencies) // 2] * 1000),
                "longest ms": round(latencies[-1] * 1000),
            }
        )
    return rows


def _violations(cluster: Any) -> list[str]:
    """Return a line for each limit that was exceeded and order that was repeated."""
    lines = []
    for name, upstream in cluster.fleet.upstreams.items():
        record = upstream.record
        if record.violations:
            lines.append(f"{name}: a limit was exceeded {len(record.violations)} times")
        repeated_orders = [ids for ids, count in record.executions.items() if ids[1] and count > 1]
        lines += [f"{name}: order {key} ran more than once" for _, key in repeated_orders]
    return lines


def _serve(cluster: Any, profile: Any) -> None:
    for node in cluster.nodes:
        click.echo(f"{node.options.node} in {node.options.zone}: {node.http_address}")
    organisation = profile.organisations[0]
    address = cluster.nodes[0].http_address
    click.echo(f"operator key: {cluster.operator_key}")
    click.echo("try:")
    click.echo(
        f"  curl -N {address}/v1/pipelines/{profile.pipeline} "
        f"-H 'Authorization: Bearer {organisation.key}' "
        '-d \'{"prompt": "Which refill fits an A5 planner?", "max_tokens": 12, "stream": true}\''
    )
    click.echo("stop with Ctrl-C")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        click.echo("stopping")
