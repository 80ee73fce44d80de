"""Processes that a local test bed runs: nodes and upstream stand-ins.

A process is started as ``python -m chervilrack._internal.experiments.bed_process KIND`` with one
JSON line of options on its standard input. It answers with one JSON line once it serves, then
answers each further line (a command) with one line. It ends when its standard input is closed,
so that no process outlives the experiment.
"""

import signal
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any, TextIO

import msgspec

from chervilrack._internal.cluster.fleet import UpstreamFleet
from chervilrack._internal.common.ids import NodeId, UpstreamId, ZoneId
from chervilrack._internal.common.registry import Registry
from chervilrack._internal.experiments.profile import load_profile
from chervilrack._internal.gateway.server import HttpServerSettings
from chervilrack._internal.kvstore.registry import PlatformSettings, open_platform
from chervilrack._internal.membership.state import MembershipSettings
from chervilrack._internal.node.daemon import Node
from chervilrack._internal.node.options import NodeOptions

LOOPBACK = "127.0.0.1"


class NodeStart(msgspec.Struct, frozen=True):
    """Options of a node process."""

    node: NodeId
    zone: ZoneId
    seed: int
    platform: str
    seeds: tuple[str, ...]
    routing_policy: str
    limit_policy: str
    operator_key_sha256: str


class FleetStart(msgspec.Struct, frozen=True):
    """Options of a process with upstream stand-ins. ``report_lag_s`` is the age of reports."""

    profile: str
    names: tuple[UpstreamId, ...]
    report_lag_s: float = 0.0


class NodeCommand(msgspec.Struct, frozen=True):
    """Command to a node process: replaces blocked addresses and delays; ``leave`` stops it."""

    blocked: tuple[str, ...] | None = None
    delays_s: dict[str, float] | None = None
    leave: bool = False


BED_PROCESSES: Registry[Callable[[TextIO, TextIO], None]] = Registry("test bed process")


def _answer(out: TextIO, value: Any) -> None:
    out.write(msgspec.json.encode(value).decode() + "\n")
    out.flush()


@contextmanager
def _without_interrupts() -> Iterator[None]:
    """Leave Ctrl-C to the experiment, which closes the standard input of its processes."""
    if threading.current_thread() is threading.main_thread():
        signal.signal(signal.SIGINT, signal.SIG_IGN)
    yield


@BED_PROCESSES.register("node")
def run_node(commands: TextIO, out: TextIO) -> None:
    """Run one node until it has left or the input ends (then without leaving)."""
    start = msgspec.json.decode(commands.readline(), type=NodeStart)
    options = NodeOptions(
        node=start.node,
        zone=start.zone,
        http=HttpServerSettings(LOOPBACK, 0),
        membership=MembershipSettings(seeds=start.seeds),
        routing_policy=start.routing_policy,
        limit_policy=start.limit_policy,
        operator_key_digests=(start.operator_key_sha256,),
        seed=start.seed,
    )
    platform = open_platform(PlatformSettings(endpoints=(start.platform,)))
    with _without_interrupts(), Node(options, platform) as node:
        _answer(
            out,
            {
                "http": node.http_address,
                "peer": node.peer_address,
                "incarnation": options.incarnation,
            },
        )
        for line in commands:
            command = msgspec.json.decode(line, type=NodeCommand)
            if command.blocked is not None:
                node.transport.set_blocked(frozenset(command.blocked))
            if command.delays_s is not None:
                node.transport.set_delays(
                    {
                        address: timedelta(seconds=delay)
                        for address, delay in command.delays_s.items()
                    }
                )
            drained = node.leave() if command.leave else True
            counters = node.transport.counters
            sent = counters.sent_bytes + counters.received_bytes
            _answer(out, {"peer_bytes": sent, "drained": drained})
            if command.leave:
                return


@BED_PROCESSES.register("fleet")
def run_fleet(commands: TextIO, out: TextIO) -> None:
    """Run upstream stand-ins until the input ends; they are controlled over HTTP."""
    start = msgspec.json.decode(commands.readline(), type=FleetStart)
    profile = load_profile(start.profile)
    fleet = UpstreamFleet(profile, start.names, start.report_lag_s)
    with _without_interrupts(), fleet:
        _answer(out, fleet.addresses)
        for _ in commands:
            pass


def main() -> None:
    """Run the process that the first argument names."""
    BED_PROCESSES.get(sys.argv[1])(sys.stdin, sys.stdout)


if __name__ == "__main__":
    main()
