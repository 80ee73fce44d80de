"""Nodes as processes, an emulated platform, and proxies on the links between them."""

import contextlib
import os
import random
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Self

from chervilrack._internal.soak.callers import LOOKUP_TIMEOUT_S, Caller, Keys
from chervilrack._internal.soak.emulation import Emulation
from chervilrack._internal.soak.plan import Targets
from chervilrack._internal.soak.processes import NodeProcess
from chervilrack._internal.soak.proxy import LinkProxy
from chervilrack._internal.soak.records import Attempt, Evidence, KeyChange

KEY_COUNT = 12
READY_LIMIT_S = 20.0


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How much of a soak runs on this machine."""

    nodes: int = 4
    callers: int = 8


class SoakBed:
    """All parts of one soak; use as a context manager."""

    def __init__(self, emulation: Emulation, folder: Path, seed: int, size: SoakSize) -> None:
        self.emulation = emulation
        self.evidence = Evidence()
        self.keys = Keys(KEY_COUNT)
        self.rng = random.Random(f"operator-{seed}")
        self.nodes: dict[str, NodeProcess] = {}
        self.store_links: dict[str, LinkProxy] = {}
        self.caller_links: dict[str, LinkProxy] = {}
        self.upstream_links: dict[str, LinkProxy] = {}
        self._folder = folder
        self._seed = seed
        self._size = size
        # Soaks beside each other use other parts of the loopback network.
        self._part = f"{1 + os.getpid() // 250 % 100}.{1 + os.getpid() % 250}"
        self._callers: list[Caller] = []
        self._exit = contextlib.ExitStack()
        self._lock = threading.Lock()

    @property
    def targets(self) -> Targets:
        """Return what faults may hit."""
        return Targets(list(self.nodes), list(self.upstream_links))

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            self._start(stack)
            self._exit = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._exit.close()

    def host(self, number: int) -> str:
        """Return the loopback address of a node."""
        return f"127.{self._part}.{number + 1}"

    def note_exit(self, text: str | None) -> None:
        """Record what was wrong with the end of a node."""
        if text is not None:
            with self._lock:
                self.evidence.node_exits.append(text)

    def replace_key(self) -> None:
        """Replace one key as the operator does."""
        with self._lock:
            name = self.keys.replace(self.rng)
            self.emulation.configure(self.keys.valid)
            self.evidence.replaced_keys.append(KeyChange(name, time.monotonic()))

    def start_callers(self) -> None:
        """Begin the load."""
        hosts = [self.host(number) for number in range(self._size.nodes)]
        port = self.emulation.callers_port
        proxies = {
            f"{self.host(number)}:{port}": _endpoint(self.caller_links[name].address)
            for number, name in enumerate(self.nodes)
        }
        self._callers = [
            Caller(number, self._seed, self.emulation, hosts, proxies, self.keys)
            for number in range(self._size.callers)
        ]
        for caller in self._callers:
            caller.start()

    def stop_callers(self) -> list[Attempt]:
        """End the load and return what the callers saw."""
        for caller in self._callers:
            caller.stop()
        for caller in self._callers:
            caller.join()
        return [attempt for caller in self._callers for attempt in caller.attempts]

    def _start(self, stack: contextlib.ExitStack) -> None:
        stack.enter_context(self.emulation.running())
        for name, address in self.emulation.upstreams.items():
            link = stack.enter_context(LinkProxy(("127.0.0.1", 0), address))
            self.upstream_links[name] = link
            self.emulation.register(name, link.address)
        self.emulation.configure(self.keys.valid)
        for number in range(self._size.nodes):
            self._add_node(stack, number)
        self._await_nodes()

    def _add_node(self, stack: contextlib.ExitStack, number: int) -> None:
        name, host = f"n{number}", self.host(number)
        enter = stack.enter_context
        store = enter(LinkProxy(("127.0.0.1", 0), self.emulation.store_address))
        callers = enter(LinkProxy(("127.0.0.1", 0), (host, self.emulation.callers_port)))
        self.store_links[name], self.caller_links[name] = store, callers
        file = self._folder / f"{name}.yaml"
        self.emulation.write_settings(file, name, host, store.address)
        variable = self.emulation.settings_variable
        node = NodeProcess(name, self.emulation.node_command, file, variable)
        self.nodes[name] = enter(node)

    def _await_nodes(self) -> None:
        end = time.monotonic() + READY_LIMIT_S
        for number in range(self._size.nodes):
            while len(self._named(number)) < self._size.nodes:
                if time.monotonic() > end:
                    raise TimeoutError(f"node n{number} does not name all nodes")
                time.sleep(0.05)

    def _named(self, number: int) -> list[str]:
        try:
            return self.emulation.look_up(self.host(number), LOOKUP_TIMEOUT_S)
        except (OSError, ValueError):
            return []


def _endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
