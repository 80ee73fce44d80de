"""``chervilrack explain``: show the decisions about one request."""

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
    help="Decision log of a serving node; may be repeated; - reads standard input.",
)
@node_options(required=False)
def explain(
    request_id: str,
    logs: tuple[Path, ...],
    address: str | None,
    key: str | None,
    certificates: str | None,
) -> None:
    """Show the decisions about REQUEST_ID: stages, upstreams, queue times, retries, refusals.

    With --log, the decisions are read from the decision logs of serving nodes. Otherwise they are
    requested from the node that accepted the request. The response of that node to the caller
    carries the request id in the header X-Request-Id.

    Example: chervilrack explain 5f0c9a --log node-1.log --log node-2.log
    """
    if logs:
        _explain_from_logs(request_id, logs)
        return
    if address is None:
        raise click.UsageError("give a node with --node or decision logs with --log")
    client = NodeClient(address, key, certificates)
    answer = client.get(f"/v1/requests/{request_id}/explanation")
    for entry in answer["entries"]:
        click.echo(entry)


def _explain_from_logs(request_id: str, logs: tuple[Path, ...]) -> None:
    lines: list[dict[str, Any]] = []
    for path in logs:
        with click.open_file(str(path), encoding="utf-8", errors="replace") as log_file:
            lines += parse_lines(log_file)
    timeline = build_timeline(lines, request_id)
    if not timeline.request_lines:
        raise click.ClickException(f"request {request_id} does not appear in the given logs")
    for line in timeline.request_lines:
        click.echo(format_line(line))
    if timeline.context_lines:
        click.echo("\nstate changes of the nodes and upstreams around this request:")
    for line in timeline.context_lines:
        click.echo(format_line(line))
