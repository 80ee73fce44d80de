"""``chervilrack explain``: what was decided for a request, and why."""

import click

from chervilrack._internal.cli.client import NodeClient, node_options


@click.command()
@click.argument("request_id")
@node_options()
def explain(request_id: str, address: str, key: str | None, certificates: str | None) -> None:
    """Show the decisions for REQUEST_ID: stages, upstreams, queue times, retries, refusals.

    Ask the node that accepted the request; its answer carries the id as X-Request-Id.

    Example: chervilrack explain 5f0c9a --node http://127.0.0.1:8080 --key KEY
    """
    client = NodeClient(address, key, certificates)
    answer = client.get(f"/v1/requests/{request_id}/explanation")
    for entry in answer["entries"]:
        click.echo(entry)
