"""``chervilrack stand-in``: emulated outside systems for trials on one machine."""

import signal
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from chervilrack._internal.cluster.fleet import UpstreamFleet
from chervilrack._internal.cluster.notes import first_note, render_note
from chervilrack._internal.exceptions import ChervilrackError
from chervilrack._internal.experiments.profile import load_profile, profile_names
from chervilrack._internal.releases.state import Limits
from chervilrack._internal.standins.platform import READS_PER_S, WRITES_PER_S, PlatformStandIn
from chervilrack._internal.standins.upstreams.engine import EngineTiming
from chervilrack._internal.standins.upstreams.host import UpstreamHost, UpstreamSpec, kinds

_HOST = click.option("--host", default="127.0.0.1", show_default=True, help="Address to listen on.")
_PORT = click.option("--port", default=0, show_default=True, help="Port; 0 takes a free one.")


class StandInNotStarted(ChervilrackError):
    """The address could not be bound."""


@click.group("stand-in")
def standin_command() -> None:
    """Emulate the platform service and upstreams until interrupted. For trials only.

    Example: chervilrack stand-in fleet --profile paramo --note /tmp/release.yaml
    """


@standin_command.command("platform")
@_HOST
@_PORT
@click.option("--reads-per-s", type=float, default=READS_PER_S, show_default=True)
@click.option("--writes-per-s", type=float, default=WRITES_PER_S, show_default=True)
def platform(host: str, port: int, reads_per_s: float, writes_per_s: float) -> None:
    """Emulate the platform service (etcd v3's JSON gateway) in memory.

    'POST /faults' makes it unavailable or slow, 'GET /counts' counts the calls.

    Example: chervilrack stand-in platform --port 2379
    """
    stop = _Stop()
    try:
        standin = PlatformStandIn(host, port, reads_per_s=reads_per_s, writes_per_s=writes_per_s)
        with standin:
            click.echo(f"platform service at {standin.address}")
            stop.wait()
    except OSError as error:
        raise StandInNotStarted(f"cannot listen at {host}:{port}: {error}") from None


@standin_command.command("upstream")
@click.argument("kind", type=click.Choice(kinds.names))
@click.option("--name", help="Name, a path prefix of the URL; default: KIND-1.")
@_HOST
@_PORT
@click.option("--concurrency", type=click.IntRange(min=1), help="Limit to check requests against.")
@click.option("--service-ms", type=click.FloatRange(min=0), help="Time of one request alone.")
@click.option("--token-ms", type=click.FloatRange(min=0), help="Engine: time of one token alone.")
@click.option("--model", "models", multiple=True, help="Engine: model it holds; may be repeated.")
@click.option("--slots", type=click.IntRange(min=1), help="Engine: size of its batch.")
@click.option("--operation", "operations", multiple=True, help="Service: operation it knows.")
def upstream(
    kind: str,
    name: str | None,
    host: str,
    port: int,
    concurrency: int | None,
    service_ms: float | None,
    token_ms: float | None,
    models: tuple[str, ...],
    slots: int | None,
    operations: tuple[str, ...],
) -> None:
    """Emulate one upstream of a KIND.

    'POST /faults' below its URL injects faults, 'GET /record' shows what it has seen.

    Example: chervilrack stand-in upstream engine --model m1 --token-ms 20 --concurrency 4
    """
    given = {
        "service_time": None if service_ms is None else service_ms / 1000,
        "models": models or None,
        "slots": slots,
        "operations": dict.fromkeys(operations, True) or None,
    }
    timed = {"service_time"}
    allowed = {"engine": {"models", "slots"}, "service": {"operations", *timed}, "weights": set()}
    _refuse_unused(kind, given, allowed.get(kind, timed))
    if token_ms is not None and kind != "engine":
        raise click.UsageError("--token-ms is for kind engine")
    spec = UpstreamSpec(
        kind=kind,
        name=name or f"{kind}-1",
        port=port,
        limits=Limits(concurrency=concurrency),
        timing=None if token_ms is None else EngineTiming(decode_token=token_ms / 1000),
        options={key: value for key, value in given.items() if value is not None},
    )
    stop = _Stop()
    try:
        with UpstreamHost([spec], host) as running:
            for own, address in running.addresses.items():
                click.echo(f"{own} at {address}")
            stop.wait()
    except OSError as error:
        raise StandInNotStarted(f"cannot listen at {host}:{port}: {error}") from None


@standin_command.command("fleet")
@click.option("--profile", type=click.Choice(profile_names()), default="paramo", show_default=True)
@_HOST
@_PORT
@click.option(
    "--note",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Write a release note that adds all upstreams with their addresses.",
)
def fleet(profile: str, host: str, port: int, note: Path | None) -> None:
    """Emulate all upstreams of a profile.

    Example: chervilrack stand-in fleet --profile puzzle-guild --note /tmp/release.yaml
    """
    loaded = load_profile(profile)
    stop = _Stop()
    try:
        with UpstreamFleet(loaded, host=host, port=port) as running:
            if note is not None:
                note.write_text(render_note(first_note(loaded, running.addresses)))
            for name, address in running.addresses.items():
                click.echo(f"{name} at {address}")
            click.echo(
                f"{len(running.addresses)} upstreams of {profile}; an organisation's key is "
                f"{loaded.organisations[0].key}" + (f"; release note: {note}" if note else "")
            )
            stop.wait()
    except OSError as error:
        raise StandInNotStarted(f"cannot listen at {host}:{port} or write: {error}") from None


def _refuse_unused(kind: str, given: Mapping[str, Any], allowed: set[str]) -> None:
    names = {
        "service_time": "--service-ms",
        "models": "--model",
        "slots": "--slots",
        "operations": "--operation",
    }
    unused = [names[key] for key, value in given.items() if value is not None]
    unused = [name for name in unused if name not in {names[key] for key in allowed}]
    if unused:
        raise click.UsageError(f"{', '.join(unused)} cannot be used with kind {kind}")


class _Stop:
    """SIGTERM and SIGINT, blocked from the start so that none is lost before ``wait``."""

    _NUMBERS = frozenset((signal.SIGTERM, signal.SIGINT))

    def __init__(self) -> None:
        # Threads started later inherit the mask, so the signal can only be taken in ``wait``.
        signal.pthread_sigmask(signal.SIG_BLOCK, self._NUMBERS)

    def wait(self) -> None:
        """Wait until a signal asks to stop; a second one ends the process."""
        signal.sigwait(self._NUMBERS)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, self._NUMBERS)
