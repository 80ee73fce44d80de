"""``chervilrack explain``: what was decided for a request, and why."""

from pathlib import Path
from typing import Any

import click

from chervilrack._internal.cli.client import NodeClient, node_options
from chervilrack._internal.observability.timelines import build_timeline, format_line, parse_lines


@click.command()
@click.argument("request_id")
@click.option(
    "--log",
    "logs",
    type=click.Path(exists=True, dir_okay=False, allow_dash=True, path_type=Path),
    multiple=True,
    help="Decision log of serving nodes; may be given several times, - is standard input.",
)
@node_options(required=False)
def explain(
    request_id: str,
    logs: tuple[Path, ...],
    address: str | None,
    key: str | None,
    certificates: str | None,
) -> None:
    """Show the decisions for REQUEST_ID: stages, upstreams, queue times, retries, refusals.

    With --log, read the decision logs of serving nodes. Otherwise ask the node that accepted the
    request; its answer carries the id as X-Request-Id.

    Example: chervilrack explain 5f0c9a --log node-1.log --log node-2.log
    """
    if logs:
        _explain_from_logs(request_id, logs)
        return
    if address is None:
        raise click.UsageError("name a node with --node, or logs with --log")
    client = NodeClient(address, key, certificates)
    answer = client.get(f"/v1/requests/{request_id}/explanation")
    for entry in answer["entries"]:
        click.echo(entry)


def _explain_from_logs(request_id: str, logs: tuple[Path, ...]) -> None:
    lines: list[dict[str, Any]] = []
    for file in logs:
        with click.open_file(str(file), encoding="utf-8", errors="replace") as opened:
            lines += parse_lines(opened)
    timeline = build_timeline(lines, request_id)
    if not timeline.request_lines:
        raise click.ClickException(f"no line of the logs names request {request_id}")
    for line in timeline.request_lines:
        click.echo(format_line(line))
    if timeline.context_lines:
        click.echo("\nwhat the nodes believed meanwhile:")
    for line in timeline.context_lines:
        click.echo(format_line(line))
