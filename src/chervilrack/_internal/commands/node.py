"""``chervilrack node``: run one node from its settings file."""

import os
import signal
import ssl
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path

import click
import zmq
from click.core import ParameterSource

from chervilrack._internal.cli.status_codes import ExitStatus
from chervilrack._internal.commands.settings import read_settings_file
from chervilrack._internal.common.signals import ProcessSignals
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.kvstore.registry import open_platform
from chervilrack._internal.node.daemon import Node
from chervilrack._internal.node.from_settings import load_curve_keys, options_from_settings
from chervilrack._internal.observability.logs import configure_logging
from chervilrack._internal.settings.node import NodeSettings, platform_settings

POLL_INTERVAL = timedelta(milliseconds=50)
IDLE_WAIT = timedelta(seconds=60)  # a signal ends the wait early


@click.command()
@click.option(
    "--settings",
    "file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    required=True,
    help="Settings of the node (YAML).",
)
@click.pass_context
def node(context: click.Context, file: Path) -> None:
    """Run one node until it is stopped.

    Prints one line when the node is a confirmed member and accepts requests. On SIGTERM or SIGINT
    the node leaves the cluster gracefully; a second signal ends the process at once. On SIGHUP the
    node reloads the TLS certificate and the allowed CURVE keys.

    Example: chervilrack node --settings examples/paramo/node-1.yaml
    """
    settings = read_settings_file(file, check_files=True)
    _configure_logs(context, settings)
    try:
        options = options_from_settings(settings)
        platform = open_platform(platform_settings(settings.platform))
        signals = ProcessSignals()
        with Node(options, platform) as running_node:
            drained = _serve(running_node, settings, signals)
    except ssl.SSLError as error:
        raise NodeNotStarted(
            f"http.tls_certificate and http.tls_key cannot be used together: {error}"
        ) from None
    except (OSError, zmq.ZMQError) as error:
        raise NodeNotStarted(f"{settings.node} could not start: {error}") from None
    if not drained:
        click.echo("requests were still in progress when the node stopped", err=True)
        context.exit(ExitStatus.FAILED)


class NodeNotStarted(ChervilrackError):
    """The node could not bind an address or use a file that its settings name."""


def _serve(running_node: Node, settings: NodeSettings, signals: ProcessSignals) -> bool:
    """Serve until a signal to stop, then leave; return whether all requests had ended by then."""
    is_announced = False
    signal_number: int | None = None
    while not signals.is_stop_signal(signal_number):
        if not is_announced and running_node.not_ready() is None:
            address = running_node.options.advertised_http
            click.echo(f"{settings.node} in {settings.zone} serves at {address}")
            is_announced = True
        signal_number = signals.next(IDLE_WAIT if is_announced else POLL_INTERVAL)
        if signal_number == signal.SIGHUP:
            _reload(running_node, settings)
    click.echo(f"{settings.node} leaves the cluster")
    return _leave(running_node, signals)


def _leave(running_node: Node, signals: ProcessSignals) -> bool:
    """Leave the cluster gracefully; a second signal to stop ends the process at once.

    Return whether all requests had ended.
    """
    with ThreadPoolExecutor(1) as pool:
        leave_result = pool.submit(running_node.leave)
        while not leave_result.done():
            if signals.is_stop_signal(signals.next(POLL_INTERVAL)):
                # Skip the clean-up: the operator has asked twice, and threads may be blocked.
                os._exit(ExitStatus.INTERRUPTED)
        return leave_result.result()


def _reload(running_node: Node, settings: NodeSettings) -> None:
    try:
        running_node.reload_certificate()
        keys = load_curve_keys(settings.peer)
    except (OSError, ChervilrackError) as error:
        click.echo(
            f"{settings.node} could not reload its certificate or keys "
            f"and keeps its previous keys: {error}",
            err=True,
        )
        return
    if keys is not None:
        running_node.transport.reload_keys(keys)
    click.echo(f"{settings.node} has reloaded its certificate and keys")


def _configure_logs(context: click.Context, settings: NodeSettings) -> None:
    """Configure logging by the settings' log section; command-line options take precedence."""
    root = context.find_root()
    is_on_command_line = {
        name: root.get_parameter_source(name) is ParameterSource.COMMANDLINE
        for name in ("log_format", "log_level")
    }
    log_format = type(settings.log.format)(
        root.params["log_format"] if is_on_command_line["log_format"] else settings.log.format
    )
    level = root.params["log_level"] if is_on_command_line["log_level"] else settings.log.level
    configure_logging(log_format, level)
