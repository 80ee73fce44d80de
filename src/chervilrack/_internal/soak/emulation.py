"""What a soak needs of an emulated platform; its names and formats stay behind this port."""

from collections.abc import Mapping, Sequence
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Protocol

from chervilrack._internal.soak.records import Kind, Run


class Emulation(Protocol):
    """Emulated store and upstreams, and the formats of nodes' settings and of requests."""

    settings_variable: str
    node_command: Sequence[str]
    callers_port: int

    def running(self) -> AbstractContextManager[object]:
        """Run the store and the upstreams."""

    @property
    def store_address(self) -> tuple[str, int]:
        """Where the store listens."""

    @property
    def upstreams(self) -> Mapping[str, tuple[str, int]]:
        """Where each upstream listens, by name."""

    def write_settings(self, file: Path, node: str, host: str, store: str) -> None:
        """Write the settings of a node on ``host`` that reaches the store at ``store``."""

    def register(self, upstream: str, address: str, *, drains: bool = False) -> None:
        """Write the registration of an upstream to the store."""

    def configure(self, keys: Sequence[str]) -> None:
        """Write the next configuration, in which these callers' keys are valid."""

    def behave(self, upstream: str, behaviour: str) -> None:
        """Make an upstream answer differently."""

    def look_up(self, host: str, timeout: float) -> list[str]:
        """Ask the node on ``host`` for callers' addresses. Raises OSError and ValueError."""

    def request_headers(
        self, request: str, kind: Kind, key: str, deadline: float
    ) -> dict[str, str]:
        """Return the header fields of a caller's request; ``deadline`` is in seconds."""

    def runs(self) -> list[Run]:
        """Return what the upstreams have run."""
