"""``chervilrack experiment``: run scenarios against a local cluster and report the results."""

from pathlib import Path

import click
import msgspec

from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.cli.tables import format_table
from chervilrack._internal.experiments.profile import load_profile, profile_names
from chervilrack._internal.experiments.report import (
    bound_rows,
    cost_rows,
    plot_results,
    result_rows,
)
from chervilrack._internal.experiments.result import RunResult, read_result, write_result
from chervilrack._internal.experiments.runner import Experiment
from chervilrack._internal.experiments.scenarios import SCENARIOS
from chervilrack._internal.experiments.testbed import test_beds

_NEW_FILE = click.Path(dir_okay=False, writable=True, path_type=Path)
_EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group("experiment")
def experiment_command() -> None:
    """Run scenarios of load and faults against a cluster on this machine.

    Example: chervilrack experiment list
    """


@experiment_command.command("list")
@click.option("--profile", type=click.Choice(profile_names()), default="paramo", show_default=True)
def list_scenarios(profile: str) -> None:
    """List the scenarios with their summaries and targets.

    Example: chervilrack experiment list --profile puzzle-guild
    """
    loaded_profile = load_profile(profile)
    rows = []
    for name in SCENARIOS:
        scenario = SCENARIOS.get(name)(loaded_profile)
        targets = ", ".join(f"{bound.name} {bound.target}" for bound in scenario.bounds)
        rows.append({"scenario": name, "summary": scenario.summary, "targets": targets or "safety"})
    click.echo(format_table(rows))


@experiment_command.command("run")
@click.argument("scenario")
@click.option("--profile", type=click.Choice(profile_names()), default="paramo", show_default=True)
@click.option("--policy", default="chervilrack", show_default=True, help="Routing policy.")
@click.option(
    "--baseline",
    "baselines",
    multiple=True,
    help="Routing policy to compare with, in alternating rounds with the same arrivals. "
    "May be given several times.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of arrivals and faults.")
@click.option(
    "--duration",
    type=click.FloatRange(min=1.0),
    default=30.0,
    show_default=True,
    help="Seconds during which requests arrive, per round.",
)
@click.option("--out", type=_NEW_FILE, required=True, help="Result file (JSON).")
@click.option("--history", type=_NEW_FILE, help="File for the recorded history of the last round.")
@click.option("--load-processes", type=click.IntRange(1, 8), default=2, show_default=True)
@click.option("--test-bed", default="local", show_default=True, hidden=True)
@click.pass_context
def run(
    context: click.Context,
    scenario: str,
    profile: str,
    policy: str,
    baselines: tuple[str, ...],
    seed: int,
    duration: float,
    out: Path,
    history: Path | None,
    load_processes: int,
    test_bed: str,
) -> None:
    """Run SCENARIO and write its result; the exit status is 6 if a bound is missed.

    Example: chervilrack experiment run nominal --profile paramo --seed 1 --duration 30
    --out out/nominal.json
    """
    SCENARIOS.get(scenario)  # reports an unknown name before anything starts
    experiment = Experiment(
        scenario,
        load_profile(profile),
        test_beds().get(test_bed),
        seed=seed,
        duration_s=duration,
        load_processes=load_processes,
        history_path=history,
    )
    result = experiment.run(policy, baselines)
    write_result(result, out)
    _print_result(result)
    if result.missed:
        context.exit(ExitStatus.PROMISE_BROKEN)


@experiment_command.command("report")
@click.argument("files", nargs=-1, required=True, type=_EXISTING_FILE)
@click.option("--bounds", is_flag=True, help="Also print the costs and bounds of each result.")
@click.option("--plot", type=_NEW_FILE, help="Image file for a plot; needs the extra 'plots'.")
@click.pass_context
def report(
    context: click.Context, files: tuple[Path, ...], bounds: bool, plot: Path | None
) -> None:
    """Print a table of result FILES.

    Example: chervilrack experiment report out/*.json --plot out/report.png
    """
    results = []
    for path in files:
        try:
            results.append(read_result(path))
        except msgspec.DecodeError as error:
            click.echo(f"{path}: {error}", err=True)
            context.exit(ExitStatus.INVALID_DOCUMENT)
    if bounds:
        for result in results:
            _print_result(result)
    click.echo(format_table(result_rows(results)))
    if plot is not None:
        plot_results(results, plot)


def _print_result(result: RunResult) -> None:
    click.echo(f"{result.scenario} ({result.profile}, {result.policy}, seed {result.seed}):")
    click.echo(format_table(result_rows([result])))
    click.echo("cost by stage:")
    click.echo(format_table(cost_rows(result)))
    click.echo("bounds:")
    click.echo(format_table(bound_rows(result.bounds)))
    if result.endings:
        click.echo("requests without an answer in time:")
        rows = [{"requests": count, "ending": name} for name, count in result.endings.items()]
        click.echo(format_table(rows))
    for line in (*result.unexpected, *result.violations):
        click.echo(f"  {line}")


@experiment_command.command("scale")
@click.argument("slopes", nargs=-1)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the measurements.")
@click.option("--out", type=_NEW_FILE, help="File for the rows as JSON.")
def measure_scale(slopes: tuple[str, ...], seed: int, out: Path | None) -> None:
    """Measure how costs grow with the size of the fleet.

    SLOPES names the costs: execution, limits, membership, releases, routing or view-change. Without
    a name, all of them are measured.

    Example: chervilrack experiment scale limits membership --out scale.json
    """
    from chervilrack._internal.experiments.scale import SLOPES

    rows_by_slope = {}
    for name in slopes or SLOPES.names:
        rows = SLOPES.get(name)(seed)
        rows_by_slope[name] = rows
        click.echo(f"{name}:")
        click.echo(format_table(rows))
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(rows_by_slope)))
