"""``chervilrack status``: nodes, upstreams, limits in use and recent actions."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import click

from chervilrack._internal.cli.client import NodeClient, node_options
from chervilrack._internal.cli.tables import format_table


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print the node's answer as JSON.")
@node_options()
def status(as_json: bool, address: str, key: str | None, certificates: str | None) -> None:
    """Show nodes, upstreams, limits in use, releases in force and recent automatic actions.

    Example: chervilrack status --node http://127.0.0.1:8080 --key OPERATOR-KEY
    """
    answer = NodeClient(address, key, certificates).get("/operator/v1/status")
    if as_json:
        import json

        click.echo(json.dumps(answer, indent=2))
        return
    for title, rows in _sections(answer):
        click.echo(f"{title}:")
        click.echo(format_table(rows) if rows else "  none")


def _sections(answer: Mapping[str, Any]) -> Iterable[tuple[str, Sequence[Mapping[str, Any]]]]:
    yield "nodes", answer["nodes"]
    yield "upstreams", answer["upstreams"]
    yield "limits", answer["limits"]
    yield "recent actions", answer["actions"]
