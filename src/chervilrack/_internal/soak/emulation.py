"""Interface between a soak and the emulated platform, which hides the platform's formats."""

from collections.abc import Mapping, Sequence
from contextlib import AbstractContextManager
from email.message import Message
from pathlib import Path
from typing import Protocol

from chervilrack._internal.soak.records import (
    Arrival,
    Configuration,
    Kind,
    Notice,
    Run,
    UpstreamCrash,
)


class Emulation(Protocol):
    """Emulated key-value store and upstreams, and the formats of settings files and requests."""

    settings_variable: str
    node_command: Sequence[str]
    callers_port: int
    # Private memory in bytes above which the platform ends a node.
    memory_bytes: int

    def running(self) -> AbstractContextManager[object]:
        """Return a context manager that runs the store and the upstreams."""

    @property
    def store_address(self) -> tuple[str, int]:
        """Host and port of the store."""

    @property
    def upstreams(self) -> Mapping[str, tuple[str, int]]:
        """Host and port of each upstream, by name."""

    def write_settings(
        self, file: Path, node: str, host: str, store: str, revision: int = 0
    ) -> None:
        """Write the settings file of a node on ``host`` that calls the store at ``store``.

        Files with different revisions differ in values that need no restart.
        """

    def register(self, upstream: str, address: str, *, drains: bool = False) -> None:
        """Write the registration of an upstream to the store; ``drains`` marks it as draining."""

    def restart(self, upstream: str) -> None:
        """Make the next registration of an upstream that of a new start, which ends notices."""

    def configure(self, configuration: Configuration) -> None:
        """Write the next version of the configuration."""

    def take_store_away(self) -> None:
        """Have the store answer no calls until it returns."""

    def return_store(self, age: float) -> None:
        """Have the store come back from a copy that is some seconds old."""

    def write_again(self) -> None:
        """Have the operator and the upstreams write again what the store has lost."""

    def behave(self, upstream: str, behaviour: str) -> None:
        """Set the behaviour of an upstream, such as "good" or "fails".

        Some behaviours have an argument after a colon, such as "hold off: 1.5".
        """

    def fall_silent(self, upstream: str, seconds: float) -> None:
        """Make an upstream accept connections, but do and send nothing, for some seconds."""

    def look_up(self, host: str, timeout: float) -> list[str]:
        """Return the addresses for callers from the endpoint look-up of the node on ``host``.

        Raises OSError, ValueError or http.client.HTTPException if the look-up fails.
        """

    def crash_on(self, part: str) -> None:
        """Make all engines crash on requests with a part of the prompt; they start again."""

    def request_headers(
        self, request: str, kind: Kind, key: str, deadline: float, parts: Sequence[str] = ()
    ) -> dict[str, str]:
        """Return the header fields of a caller's request; ``deadline`` is in seconds.

        ``parts`` are the parts of the prompt that other requests have, too.
        """

    def signer(self, headers: Message) -> str:
        """Return the upstream that signed a response with these header fields, "" if none did."""

    def runs(self) -> list[Run]:
        """Return all requests that the upstreams have executed."""

    def arrivals(self) -> list[Arrival]:
        """Return all requests, and requests of pieces, that reached the upstreams."""

    def crashes(self) -> list[UpstreamCrash]:
        """Return all crashes of upstreams because of requests."""

    def notices(self) -> list[Notice]:
        """Return all that upstreams have said about themselves in responses."""
