"""``chervilrack soak``: run node processes under random faults and check promises."""

import os
import signal
import tempfile
from collections import Counter
from pathlib import Path

import click

from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.soak.bed import SoakSize
from chervilrack._internal.soak.emulation import Emulation
from chervilrack._internal.soak.plan import BEHAVIOURS, QUIET_S, fault_kinds, plans
from chervilrack._internal.soak.run import SoakResult, run_soak

MAX_PRINTED_VIOLATIONS = 10


@click.group("soak")
def soak_command() -> None:
    """Run node processes under injected faults and check that promises are kept.

    Example: chervilrack soak run --seeds 10
    """


@soak_command.command()
@click.option("--seed", type=int, help="Seed of the first soak; random by default.")
@click.option(
    "--seeds", type=click.IntRange(1), default=1, show_default=True, help="Number of soaks."
)
@click.option(
    "--duration",
    type=click.FloatRange(QUIET_S + 1),
    default=40.0,
    show_default=True,
    help=f"Seconds of load; the last {QUIET_S:.0f} have no faults.",
)
@click.option("--nodes", type=click.IntRange(1, 200), default=4, show_default=True)
@click.option("--callers", type=click.IntRange(1, 200), default=8, show_default=True)
@click.option(
    "--longest-work",
    type=click.FloatRange(0.6, 3.0),
    default=2.5,
    show_default=True,
    help="Longest time in seconds that an upstream works on a request.",
)
@click.option(
    "--plan",
    "plan_name",
    type=click.Choice(plans.names),
    default="mixed",
    show_default=True,
    help="All kinds of faults, only planned work, or single stops of nodes with nothing else.",
)
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(fault_kinds.names),
    help="Kind of fault to inject; may be given several times; default: all kinds.",
)
@click.option(
    "--behaviour",
    "behaviours",
    multiple=True,
    type=click.Choice(BEHAVIOURS),
    help="Behaviour of upstreams, with a colon if it has an argument; default: all behaviours.",
)
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder in which to keep the logs and settings of the nodes.",
)
def run(
    seed: int | None,
    seeds: int,
    duration: float,
    nodes: int,
    callers: int,
    longest_work: float,
    plan_name: str,
    kinds: tuple[str, ...],
    behaviours: tuple[str, ...],
    folder: Path | None,
) -> int:
    """Run soaks with successive seeds; exit with 1 if a promise was broken.

    Example: chervilrack soak run --seed 7 --duration 40
    """
    _end_nodes_on_signals()
    first_seed = seed if seed is not None else int.from_bytes(os.urandom(4), "big")
    failed_soaks = 0
    for run_seed in range(first_seed, first_seed + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            run_folder = Path(scratch) if folder is None else folder / str(run_seed)
            run_folder.mkdir(parents=True, exist_ok=True)
            size = SoakSize(nodes, callers, longest_work)
            result = run_soak(
                _create_emulation(),
                run_folder,
                run_seed,
                duration,
                size,
                plan_name,
                kinds,
                behaviours,
            )
        failed_soaks += bool(result.violations)
        _print_result(result)
    return ExitStatus.FAILED if failed_soaks else ExitStatus.SUCCESS


def _end_nodes_on_signals() -> None:
    """Raise KeyboardInterrupt on SIGTERM and SIGINT, so that clean-up ends the soak's nodes."""
    for number in (signal.SIGTERM, signal.SIGINT):
        # SIGINT is set as well: shells start background commands with SIGINT ignored.
        signal.signal(number, signal.default_int_handler)


def _create_emulation() -> Emulation:
    from chervilrack.platform.emulated.emulation import PlatformEmulation

    return PlatformEmulation()


def _print_result(result: SoakResult) -> None:
    faults = Counter(fault.kind for fault in result.evidence.faults)
    verdict = "broken" if result.violations else "kept"
    endings = ", ".join(f"{name}: {count}" for name, count in sorted(result.endings.items()))
    click.echo(f"seed {result.seed}: {verdict}; {faults.total()} faults; {endings}")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"  {violation.promise}: {violation.subject}: {violation.detail}")
    if len(result.violations) > MAX_PRINTED_VIOLATIONS:
        click.echo(f"  and {len(result.violations) - MAX_PRINTED_VIOLATIONS} more")
