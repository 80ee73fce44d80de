"""Root command group of ``chervilrack``. A subcommand is imported when it is used."""

import importlib
import sys
from collections.abc import Mapping

import click

import chervilrack
from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.exceptions import ChervilrackError, InvalidDocumentError, NodeUnreachable
from chervilrack._internal.observability.logs import LogFormat, configure_logging

# Maps the name of a subcommand to its module in ``_internal.commands`` and its attribute there.
_COMMANDS: Mapping[str, tuple[str, str]] = {
    "node": ("node", "node"),
    "release": ("release", "release_command"),
    "stand-in": ("standin", "standin_command"),
    "settings": ("settings", "settings_command"),
    "config": ("config", "config_command"),
    "explain": ("explain", "explain"),
    "quickstart": ("quickstart", "quickstart"),
    "status": ("status", "status"),
    "experiment": ("experiment", "experiment_command"),
    "history": ("history", "history_command"),
    "soak": ("soak", "soak_command"),
}


class LazyGroup(click.Group):
    """Command group that imports the module of a subcommand when the subcommand is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands."""
        return sorted(_COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return the subcommand ``cmd_name``, or None if it does not exist."""
        entry = _COMMANDS.get(cmd_name)
        if entry is None:
            return None
        module_name, attribute = entry
        module = importlib.import_module(f"chervilrack._internal.commands.{module_name}")
        command = getattr(module, attribute)
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(chervilrack.__version__, prog_name="chervilrack")
@click.option(
    "--log-format",
    type=click.Choice([kind.value for kind in LogFormat]),
    default=LogFormat.TEXT.value,
    show_default=True,
    help="Format of log lines on standard error.",
)
@click.option("--log-level", default="warning", show_default=True, help="Lowest level to log.")
def cli(log_format: str, log_level: str) -> None:
    """Serve multi-stage model pipelines over shared upstreams.

    Example: chervilrack quickstart --profile paramo
    """
    configure_logging(LogFormat(log_format), log_level)


def main() -> None:
    """Run the command line and translate errors into exit statuses."""
    try:
        # With standalone_mode=False, click returns the exit status of the command.
        status = cli(standalone_mode=False)
        sys.exit(status if isinstance(status, int) else ExitStatus.SUCCESS)
    except click.exceptions.Exit as early_exit:
        sys.exit(early_exit.exit_code)
    except click.Abort:
        sys.exit(ExitStatus.INTERRUPTED)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except InvalidDocumentError as error:
        click.echo(str(error), err=True)
        sys.exit(ExitStatus.INVALID_DOCUMENT)
    except NodeUnreachable as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(ExitStatus.UNREACHABLE)
    except ChervilrackError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(ExitStatus.FAILED)
