"""``chervilrack settings``: check settings of nodes."""

from pathlib import Path

import click

from chervilrack._internal.limits.policies import limit_policies
from chervilrack._internal.routing.policies import routing_policies
from chervilrack._internal.settings.node import NodeSettings, load_node_settings

_EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def read_settings_file(file: Path, check_files: bool) -> NodeSettings:
    """Return the settings of a node from ``file``; raise InvalidDocumentError with all mistakes.

    ``check_files`` also checks that the files that the settings name can be read.
    """
    policies = {
        "routing_policy": routing_policies.names,
        "limit_policy": limit_policies.names,
    }
    return load_node_settings(str(file), policies, check_files=check_files)


@click.group("settings")
def settings_command() -> None:
    """Work with settings of nodes.

    Example: chervilrack settings check examples/paramo/node-1.yaml
    """


@settings_command.command("check")
@click.argument("file", type=_EXISTING_FILE)
@click.option(
    "--files", is_flag=True, help="Also check that the files that the settings name can be read."
)
def check(file: Path, files: bool) -> None:
    """Print all mistakes of the settings in FILE; the exit status is 3 if there are any.

    Example: chervilrack settings check examples/paramo/node-1.yaml
    """
    settings = read_settings_file(file, check_files=files)
    click.echo(f"{file}: valid settings of {settings.node} in {settings.zone}")
