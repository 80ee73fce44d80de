"""Test bed of a soak: node processes, an emulated platform and proxies between them."""

import contextlib
import dataclasses
import os
import random
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from chervilrack._internal.soak.callers import (
    LOOKUP_TIMEOUT_S,
    Caller,
    CallerKeys,
    Prompts,
    Uploads,
    WorkTimes,
)
from chervilrack._internal.soak.emulation import Emulation
from chervilrack._internal.soak.memory import MemoryWatch
from chervilrack._internal.soak.plan import Targets
from chervilrack._internal.soak.processes import NodeProcess
from chervilrack._internal.soak.proxy import LinkProxy
from chervilrack._internal.soak.records import (
    Attempt,
    Configuration,
    ConfigurationChange,
    Disruption,
    Evidence,
    KeyRemoval,
)

KEY_COUNT = 12
READY_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class SoakSize:
    """Numbers of node processes and of callers, and longest time of a request at its upstream.

    Times are in seconds.
    """

    nodes: int = 4
    callers: int = 8
    longest_work: float = 2.5


class SoakBed:
    """Test bed of one soak; a context manager that starts and ends its parts."""

    def __init__(self, emulation: Emulation, folder: Path, seed: int, size: SoakSize) -> None:
        self.emulation = emulation
        self.evidence = Evidence()
        self.keys = CallerKeys(KEY_COUNT)
        self.prompts = Prompts()
        self.uploads = Uploads()
        self._rng = random.Random(f"operator-{seed}")
        self.nodes: dict[str, NodeProcess] = {}
        self.store_links: dict[str, LinkProxy] = {}
        self.caller_links: dict[str, LinkProxy] = {}
        self.upstream_links: dict[str, LinkProxy] = {}
        self._folder = folder
        self._seed = seed
        self._size = size
        # Concurrent soaks use different loopback subnets, chosen by process id.
        self._subnet = f"{1 + os.getpid() // 250 % 100}.{1 + os.getpid() % 250}"
        self._callers: list[Caller] = []
        self._hosts: dict[str, str] = {}
        self._exit_stack = contextlib.ExitStack()
        self._configuration = Configuration(tuple(self.keys.valid))
        self._settings_revision = 0
        self._lock = threading.Lock()

    @property
    def targets(self) -> Targets:
        """Nodes and upstreams that faults may be applied to."""
        return Targets(list(self.nodes), list(self.upstream_links))

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            self._start(stack)
            self._exit_stack = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._exit_stack.close()

    @property
    def _addresses(self) -> dict[str, str]:
        """Addresses for callers, by node."""
        port = self.emulation.callers_port
        return {name: f"{host}:{port}" for name, host in self._hosts.items()}

    def host(self, number: int) -> str:
        """Return the loopback address of the node with this number."""
        return f"127.{self._subnet}.{number + 1}"

    def record_exit_problem(self, text: str | None) -> None:
        """Record an unexpected exit of a node; None stands for an expected exit."""
        if text is not None:
            with self._lock:
                self.evidence.exit_problems.append(text)

    def record_disruption(self, kind: str, target: str, started_at: float) -> None:
        """Record that a fault which began at ``started_at`` has ended."""
        address = self._addresses.get(target, target)
        with self._lock:
            disruption = Disruption(kind, address, started_at, time.monotonic())
            self.evidence.disruptions.append(disruption)

    def replace_key(self) -> None:
        """Replace one API key and write the configuration without the old key to the store."""
        with self._lock:
            removed_key, new_key = self.keys.replace(self._rng)
            self._configure(keys=tuple(self.keys.valid))
            self.evidence.key_removals.append(KeyRemoval(removed_key, time.monotonic(), new_key))

    def change_configuration(self, **changes: Any) -> None:
        """Write a configuration with changed fields of ``Configuration`` to the store."""
        with self._lock:
            self._configure(**changes)

    def change_settings(self, name: str) -> None:
        """Write a changed settings file of a node."""
        with self._lock:
            self._settings_revision += 1
            self._write_settings(name, self._settings_revision)

    def start_callers(self, shortest_work: float | None = None) -> None:
        """Start the callers, which send requests until they are stopped.

        Upstreams work on each request for ``shortest_work`` seconds or more; if it is None, mostly
        for a few milliseconds.
        """
        hosts = [self.host(number) for number in range(self._size.nodes)]
        port = self.emulation.callers_port
        links = {
            f"{self.host(number)}:{port}": self.caller_links[name]
            for number, name in enumerate(self.nodes)
        }
        work = WorkTimes(self._size.longest_work, shortest_work)
        self._callers = [
            Caller(
                number,
                self._seed,
                self.emulation,
                hosts,
                links,
                self.keys,
                work,
                self.prompts,
                self.uploads,
            )
            for number in range(self._size.callers)
        ]
        for caller in self._callers:
            caller.start()

    def stop_callers(self) -> list[Attempt]:
        """Stop the callers and return all their requests."""
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
        self._configure()
        for number in range(self._size.nodes):
            self._add_node(stack, number)
        self._await_all_nodes()
        limit = self.emulation.memory_bytes
        stack.enter_context(MemoryWatch(self.nodes.values(), limit, self.evidence.excesses))

    def _add_node(self, stack: contextlib.ExitStack, number: int) -> None:
        name, host = f"n{number}", self.host(number)
        enter = stack.enter_context
        store_link = enter(LinkProxy(("127.0.0.1", 0), self.emulation.store_address))
        caller_link = enter(LinkProxy(("127.0.0.1", 0), (host, self.emulation.callers_port)))
        self.store_links[name], self.caller_links[name] = store_link, caller_link
        self._hosts[name] = host
        self._write_settings(name, 0)
        file = self._settings_file(name)
        settings_variable = self.emulation.settings_variable
        node = NodeProcess(name, self.emulation.node_command, file, settings_variable)
        self.nodes[name] = enter(node)

    def _settings_file(self, name: str) -> Path:
        return self._folder / f"{name}.yaml"

    def _write_settings(self, name: str, revision: int) -> None:
        store = self.store_links[name].address
        file = self._settings_file(name)
        self.emulation.write_settings(file, name, self._hosts[name], store, revision)

    def _configure(self, **changes: Any) -> None:
        self._configuration = dataclasses.replace(self._configuration, **changes)
        sent_at = time.monotonic()
        self.emulation.configure(self._configuration)
        change = ConfigurationChange(self._configuration, sent_at, time.monotonic())
        self.evidence.configurations.append(change)

    def _await_all_nodes(self) -> None:
        """Wait until the look-up of each node returns the addresses of all nodes."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for number in range(self._size.nodes):
            while len(self._look_up_nodes(number)) < self._size.nodes:
                if time.monotonic() > deadline:
                    raise TimeoutError(f"the look-up of node n{number} does not return all nodes")
                time.sleep(0.05)

    def _look_up_nodes(self, number: int) -> list[str]:
        try:
            return self.emulation.look_up(self.host(number), LOOKUP_TIMEOUT_S)
        except (OSError, ValueError):
            return []
