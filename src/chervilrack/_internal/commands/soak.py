"""``chervilrack soak``: real node processes under random faults, with promises checked."""

import os
import signal
import tempfile
from collections import Counter
from pathlib import Path

import click

from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.soak.bed import SoakSize
from chervilrack._internal.soak.plan import QUIET_S, fault_kinds
from chervilrack._internal.soak.run import SoakResult, run_soak

MOST_SHOWN = 10


@click.group("soak")
def soak_command() -> None:
    """Run nodes as processes under faults from outside, and check what must hold.

    Example: chervilrack soak run --seeds 10
    """


@soak_command.command()
@click.option("--seed", type=int, help="Seed of the first soak; drawn if it is not given.")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Soaks to run.")
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
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(fault_kinds.names),
    help="Draw these kinds of faults only; may be given several times.",
)
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep logs and settings of the nodes here.",
)
def run(
    seed: int | None,
    seeds: int,
    duration: float,
    nodes: int,
    callers: int,
    kinds: tuple[str, ...],
    folder: Path | None,
) -> int:
    """Run soaks with successive seeds; exit with 1 if a promise was broken.

    Example: chervilrack soak run --seed 7 --duration 40
    """
    _end_nodes_on_signals()
    first = seed if seed is not None else int.from_bytes(os.urandom(4), "big")
    broken = 0
    for number in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            place = Path(scratch) if folder is None else folder / str(number)
            place.mkdir(parents=True, exist_ok=True)
            result = _run_one(place, number, duration, SoakSize(nodes, callers), kinds)
        broken += bool(result.violations)
        _print(result)
    return ExitStatus.FAILED if broken else ExitStatus.SUCCESS


def _end_nodes_on_signals() -> None:
    """Let SIGTERM and SIGINT unwind the stack, so that the nodes of the soak are ended."""
    for number in (signal.SIGTERM, signal.SIGINT):
        # Shells start background commands with SIGINT ignored.
        signal.signal(number, signal.default_int_handler)


def _run_one(
    folder: Path, seed: int, duration: float, size: SoakSize, kinds: tuple[str, ...]
) -> SoakResult:
    from chervilrack.platform.emulated.emulation import PlatformEmulation

    return run_soak(PlatformEmulation(), folder, seed, duration, size, kinds)


def _print(result: SoakResult) -> None:
    faults = Counter(fault.kind for fault in result.evidence.faults)
    verdict = "broken" if result.violations else "kept"
    endings = ", ".join(f"{name}: {count}" for name, count in sorted(result.endings.items()))
    click.echo(f"seed {result.seed}: {verdict}; {faults.total()} faults; {endings}")
    for violation in result.violations[:MOST_SHOWN]:
        click.echo(f"  {violation.promise}: {violation.subject}: {violation.detail}")
    if len(result.violations) > MOST_SHOWN:
        click.echo(f"  and {len(result.violations) - MOST_SHOWN} more")
