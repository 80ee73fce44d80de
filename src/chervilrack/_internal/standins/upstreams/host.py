"""Process that hosts many emulated upstreams.

Run as ``python -m chervilrack._internal.standins.upstreams.host SPECIFICATION.yaml``. The
specification is a list of upstreams (see ``UpstreamSpec``). The process prints one line of JSON
with the URL of each upstream, and stops gracefully on SIGTERM or SIGINT.
"""

import signal
import sys
import threading
from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

import msgspec

from chervilrack._internal.common.registry import Registry
from chervilrack._internal.releases.state import Limits
from chervilrack._internal.standins.upstreams.engine import EngineTiming, ModelEngine
from chervilrack._internal.standins.upstreams.server import StandinServer
from chervilrack._internal.standins.upstreams.simple import (
    Encoder,
    PlainService,
    Reranker,
    Retriever,
)
from chervilrack._internal.standins.upstreams.upstream import EmulatedUpstream
from chervilrack._internal.standins.upstreams.weights import WeightStore

kinds: "Registry[type[EmulatedUpstream]]" = Registry("emulated upstream")
kinds.register("engine")(ModelEngine)
kinds.register("encoder")(Encoder)
kinds.register("retriever")(Retriever)
kinds.register("reranker")(Reranker)
kinds.register("service")(PlainService)
kinds.register("weights")(WeightStore)


class UpstreamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One upstream; ``options`` are the keyword arguments of its kind's class.

    Upstreams with the same ``port`` share a server under path prefixes; port 0 is one shared
    server on a free port.
    """

    kind: str
    name: str
    port: int = 0
    limits: Limits = Limits()
    timing: EngineTiming | None = None
    options: dict[str, Any] = {}


class UpstreamHost:
    """Context manager that runs emulated upstreams and stops them gracefully."""

    def __init__(self, specs: Sequence[UpstreamSpec], host: str = "127.0.0.1") -> None:
        self._specs = specs
        self._host = host
        self._stack = ExitStack()
        self._upstreams: dict[str, EmulatedUpstream] = {}

    @property
    def upstreams(self) -> Mapping[str, EmulatedUpstream]:
        """Upstreams by name."""
        return self._upstreams

    @property
    def addresses(self) -> dict[str, str]:
        """URLs by name."""
        return {name: upstream.address for name, upstream in self._upstreams.items()}

    def __enter__(self) -> Self:
        servers: dict[int, StandinServer] = {}
        with ExitStack() as stack:
            for spec in self._specs:
                if spec.port not in servers:
                    server = StandinServer(self._host, spec.port)
                    servers[spec.port] = stack.enter_context(server)
                options = dict(spec.options)
                if spec.timing is not None:
                    options["timing"] = spec.timing
                upstream = kinds.get(spec.kind)(
                    spec.name, limits=spec.limits, server=servers[spec.port], **options
                )
                self._upstreams[spec.name] = stack.enter_context(upstream)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *_exception: object) -> None:
        stopping = [
            threading.Thread(target=upstream.stop_gracefully)
            for upstream in self._upstreams.values()
        ]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join()
        self._stack.close()


def main() -> None:
    """Run the upstreams of a specification until a signal comes."""
    specs = msgspec.yaml.decode(Path(sys.argv[1]).read_bytes(), type=list[UpstreamSpec])
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_arguments: stopped.set())
    with UpstreamHost(specs) as host:
        sys.stdout.write(msgspec.json.encode(host.addresses).decode() + "\n")
        sys.stdout.flush()
        stopped.wait()


if __name__ == "__main__":
    main()
