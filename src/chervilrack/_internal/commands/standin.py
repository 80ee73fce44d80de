"""``chervilrack stand-in``: emulated platform service and upstreams for trials on one machine."""

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

_HOST_OPTION = click.option(
    "--host", default="127.0.0.1", show_default=True, help="Address to listen on."
)
_PORT_OPTION = click.option(
    "--port", default=0, show_default=True, help="Port; 0 picks a free one."
)


class StandInNotStarted(ChervilrackError):
    """The stand-in could not bind its address or write a file."""


@click.group("stand-in")
def standin_command() -> None:
    """Emulate the platform service and upstreams until interrupted. For trials only.

    Example: chervilrack stand-in fleet --profile paramo --note /tmp/release.yaml
    """


@standin_command.command("platform")
@_HOST_OPTION
@_PORT_OPTION
@click.option("--reads-per-s", type=float, default=READS_PER_S, show_default=True)
@click.option("--writes-per-s", type=float, default=WRITES_PER_S, show_default=True)
def platform(host: str, port: int, reads_per_s: float, writes_per_s: float) -> None:
    """Emulate the platform service (etcd v3's JSON gateway) in memory.

    'POST /faults' makes the service unavailable or slow, 'GET /counts' returns the call counts.

    Example: chervilrack stand-in platform --port 2379
    """
    stop_signal = _StopSignal()
    try:
        standin = PlatformStandIn(host, port, reads_per_s=reads_per_s, writes_per_s=writes_per_s)
        with standin:
            click.echo(f"platform service at {standin.address}")
            stop_signal.wait()
    except OSError as error:
        raise StandInNotStarted(f"cannot listen at {host}:{port}: {error}") from None


@standin_command.command("upstream")
@click.argument("kind", type=click.Choice(kinds.names))
@click.option("--name", help="Name and path prefix in the URL; default: KIND-1.")
@_HOST_OPTION
@_PORT_OPTION
@click.option(
    "--concurrency",
    type=click.IntRange(min=1),
    help="Limit of concurrent requests; the upstream records when it is exceeded.",
)
@click.option("--service-ms", type=click.FloatRange(min=0), help="Time of a request without load.")
@click.option(
    "--token-ms", type=click.FloatRange(min=0), help="Engine: time per token without load."
)
@click.option("--model", "models", multiple=True, help="Engine: loaded model; may be repeated.")
@click.option("--slots", type=click.IntRange(min=1), help="Engine: batch size.")
@click.option(
    "--operation",
    "operations",
    multiple=True,
    help="Service: supported operation; may be repeated.",
)
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
    """Emulate one upstream of the given KIND.

    Below the upstream's URL, 'POST /faults' injects faults and 'GET /record' returns the record of
    requests.

    Example: chervilrack stand-in upstream engine --model m1 --token-ms 20 --concurrency 4
    """
    option_values = {
        "service_time": None if service_ms is None else service_ms / 1000,
        "models": models or None,
        "slots": slots,
        "operations": dict.fromkeys(operations, True) or None,
    }
    timing_options = {"service_time"}
    supported = {
        "engine": {"models", "slots"},
        "service": {"operations", *timing_options},
        "weights": set(),
    }
    _reject_unsupported(kind, option_values, supported.get(kind, timing_options))
    if token_ms is not None and kind != "engine":
        raise click.UsageError("--token-ms can only be used with kind engine")
    spec = UpstreamSpec(
        kind=kind,
        name=name or f"{kind}-1",
        port=port,
        limits=Limits(concurrency=concurrency),
        timing=None if token_ms is None else EngineTiming(decode_token=token_ms / 1000),
        options={key: value for key, value in option_values.items() if value is not None},
    )
    stop_signal = _StopSignal()
    try:
        with UpstreamHost([spec], host) as running_host:
            for upstream_name, address in running_host.addresses.items():
                click.echo(f"{upstream_name} at {address}")
            stop_signal.wait()
    except OSError as error:
        raise StandInNotStarted(f"cannot listen at {host}:{port}: {error}") from None


@standin_command.command("fleet")
@click.option("--profile", type=click.Choice(profile_names()), default="paramo", show_default=True)
@_HOST_OPTION
@_PORT_OPTION
@click.option(
    "--note",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Write a release note that adds all upstreams with their addresses.",
)
def fleet(profile: str, host: str, port: int, note: Path | None) -> None:
    """Emulate all upstreams of a profile.

    Example: chervilrack stand-in fleet --profile puzzle-guild --note /tmp/release.yaml
    """
    loaded_profile = load_profile(profile)
    stop_signal = _StopSignal()
    try:
        with UpstreamFleet(loaded_profile, host=host, port=port) as running_fleet:
            if note is not None:
                note.write_text(render_note(first_note(loaded_profile, running_fleet.addresses)))
            for name, address in running_fleet.addresses.items():
                click.echo(f"{name} at {address}")
            click.echo(
                f"{len(running_fleet.addresses)} upstreams of {profile}; an organisation's key is "
                f"{loaded_profile.organisations[0].key}"
                + (f"; release note: {note}" if note else "")
            )
            stop_signal.wait()
    except OSError as error:
        raise StandInNotStarted(
            f"cannot listen at {host}:{port} or cannot write the release note: {error}"
        ) from None


def _reject_unsupported(kind: str, option_values: Mapping[str, Any], supported: set[str]) -> None:
    option_names = {
        "service_time": "--service-ms",
        "models": "--model",
        "slots": "--slots",
        "operations": "--operation",
    }
    unsupported = [option_names[key] for key, value in option_values.items() if value is not None]
    unsupported = [
        name for name in unsupported if name not in {option_names[key] for key in supported}
    ]
    if unsupported:
        raise click.UsageError(f"{', '.join(unsupported)} cannot be used with kind {kind}")


class _StopSignal:
    """Waits for SIGTERM or SIGINT.

    Both are blocked on creation, so that a signal sent before ``wait`` is not lost.
    """

    _SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))

    def __init__(self) -> None:
        # Threads that start later inherit the mask, so only ``wait`` receives the signals.
        signal.pthread_sigmask(signal.SIG_BLOCK, self._SIGNALS)

    def wait(self) -> None:
        """Wait for one of the signals, then unblock them, so that a second one ends the process."""
        signal.sigwait(self._SIGNALS)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, self._SIGNALS)
