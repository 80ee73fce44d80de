"""``chervilrack history``: check recorded histories."""

from collections import Counter
from pathlib import Path

import click

from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.history.checker import check_history
from chervilrack._internal.history.recorder import read_history

_EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group("history")
def history_command() -> None:
    """Work with recorded histories.

    Example: chervilrack history check out/history.jsonl
    """


@history_command.command("check")
@click.argument("file", type=_EXISTING_FILE)
@click.option("--limit", default=20, show_default=True, help="Number of violations to print.")
@click.pass_context
def check(context: click.Context, file: Path, limit: int) -> None:
    """Check the history in FILE for broken promises.

    A promise is a guarantee of the cluster, such as that an order runs at most once. The exit
    status is 0 if no promise is broken, 6 if one is, and 3 if FILE is not a history.

    Example: chervilrack history check out/history.jsonl
    """
    try:
        events = read_history(file)
    except InvalidDocumentError as error:
        click.echo(str(error), err=True)
        context.exit(ExitStatus.INVALID_DOCUMENT)
    violations = check_history(events)
    for violation in violations[:limit]:
        click.echo(
            f"{violation.at:.6f} {violation.promise.value} {violation.subject}: {violation.detail}"
        )
    counts = Counter(violation.promise.value for violation in violations)
    summary = ", ".join(f"{name}: {count}" for name, count in sorted(counts.items()))
    click.echo(
        f"{len(events)} events, {len(violations)} violations" + (f" ({summary})" * bool(summary))
    )
    if violations:
        context.exit(ExitStatus.PROMISE_BROKEN)
