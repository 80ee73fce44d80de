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

POLL = timedelta(milliseconds=50)
IDLE = timedelta(seconds=60)  # signals end the wait early


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

    Prints one line when the node is a confirmed member and takes requests. SIGTERM or SIGINT makes
    it leave gracefully, a second one ends it at once. SIGHUP reads the TLS certificate and the
    allowed CURVE keys again.

    Example: chervilrack node --settings examples/paramo/node-1.yaml
    """
    settings = read_settings_file(file, check_files=True)
    _configure_logs(context, settings)
    try:
        options = options_from_settings(settings)
        platform = open_platform(platform_settings(settings.platform))
        signals = ProcessSignals()
        with Node(options, platform) as running:
            drained = _serve(running, settings, signals)
    except ssl.SSLError as error:
        raise NodeNotStarted(
            f"http.tls_certificate and http.tls_key are no usable pair: {error}"
        ) from None
    except (OSError, zmq.ZMQError) as error:
        raise NodeNotStarted(f"{settings.node} could not start: {error}") from None
    if not drained:
        click.echo("requests were still in progress when the node stopped", err=True)
        context.exit(ExitStatus.FAILED)


class NodeNotStarted(ChervilrackError):
    """An address could not be bound, or a file could not be used."""


def _serve(running: Node, settings: NodeSettings, signals: ProcessSignals) -> bool:
    """Serve until a signal asks to stop; return whether all requests had ended by then."""
    is_announced = False
    number: int | None = None
    while not signals.is_stop_signal(number):
        if not is_announced and running.not_ready() is None:
            address = running.options.advertised_http
            click.echo(f"{settings.node} in {settings.zone} serves at {address}")
            is_announced = True
        number = signals.next(IDLE if is_announced else POLL)
        if number == signal.SIGHUP:
            _reload(running, settings)
    click.echo(f"{settings.node} leaves")
    return _leave(running, signals)


def _leave(running: Node, signals: ProcessSignals) -> bool:
    """Leave gracefully; another signal that asks to stop ends the process at once."""
    with ThreadPoolExecutor(1) as pool:
        leaving = pool.submit(running.leave)
        while not leaving.done():
            if signals.is_stop_signal(signals.next(POLL)):
                # No clean-up: the operator has asked twice, and threads may be blocked.
                os._exit(ExitStatus.INTERRUPTED)
        return leaving.result()


def _reload(running: Node, settings: NodeSettings) -> None:
    try:
        running.reload_certificate()
        keys = load_curve_keys(settings.peer)
    except (OSError, ChervilrackError) as error:
        click.echo(f"{settings.node} keeps its keys: {error}", err=True)
        return
    if keys is not None:
        running.transport.reload_keys(keys)
    click.echo(f"{settings.node} has read its keys again")


def _configure_logs(context: click.Context, settings: NodeSettings) -> None:
    """Use the settings' log section unless the command line says otherwise."""
    root = context.find_root()
    given = {
        name: root.get_parameter_source(name) is ParameterSource.COMMANDLINE
        for name in ("log_format", "log_level")
    }
    log_format = type(settings.log.format)(
        root.params["log_format"] if given["log_format"] else settings.log.format
    )
    level = root.params["log_level"] if given["log_level"] else settings.log.level
    configure_logging(log_format, level)
