"""Callers of a soak: they look up nodes, keep connections and record how each attempt ended."""

import http.client
import itertools
import random
import threading
import time
from collections.abc import Mapping, Sequence

from chervilrack._internal.soak.checks import DEADLINE_S
from chervilrack._internal.soak.emulation import Emulation
from chervilrack._internal.soak.records import Attempt, Ending, Kind

LOOKUP_TIMEOUT_S = 0.5
# An answer of the look-up is used for this time, and a connection may be idle as long.
LOOKUP_KEPT_S = 2.0
# Callers wait a little longer than the deadline that they state.
PATIENCE_S = DEADLINE_S + 2.0
MEAN_PAUSE_S = 0.08
# Share of requests with a key that was removed, once there is one.
REMOVED_SHARE = 0.1


class Keys:
    """Keys of callers that are in force; shared by the callers and the operator."""

    def __init__(self, count: int) -> None:
        self._numbers = itertools.count(1)
        self._valid = [self._new() for _ in range(count)]
        self._removed: list[str] = []

    @property
    def valid(self) -> list[str]:
        """Keys that were not removed."""
        return list(self._valid)

    def draw(self, rng: random.Random) -> str:
        """Return a key for a request; callers go on using removed ones."""
        if self._removed and rng.random() < REMOVED_SHARE:
            return rng.choice(self._removed)
        return rng.choice(self._valid)

    def replace(self, rng: random.Random) -> str:
        """Replace one key by a new one; return the key that is removed."""
        place = rng.randrange(len(self._valid))
        old, self._valid[place] = self._valid[place], self._new()
        self._removed.append(old)
        return old

    def _new(self) -> str:
        return f"key-{next(self._numbers)}"


class Caller(threading.Thread):
    """One caller that sends requests one after the other until it is stopped."""

    def __init__(
        self,
        number: int,
        seed: int,
        emulation: Emulation,
        hosts: Sequence[str],
        proxies: Mapping[str, tuple[str, int]],
        keys: Keys,
    ) -> None:
        super().__init__(name=f"caller-{number}", daemon=True)
        self.attempts: list[Attempt] = []
        self._number = number
        self._rng = random.Random(f"{seed}-{number}")
        self._emulation = emulation
        self._hosts = hosts
        self._proxies = proxies
        self._keys = keys
        self._stopping = threading.Event()
        self._known: list[str] = []
        self._known_at = -LOOKUP_KEPT_S
        self._connections: dict[str, tuple[http.client.HTTPConnection, float]] = {}

    def stop(self) -> None:
        """End after the request in progress."""
        self._stopping.set()

    def run(self) -> None:
        """Send requests."""
        while not self._stopping.wait(self._rng.expovariate(1 / MEAN_PAUSE_S)):
            address = self._address()
            if address is not None:
                self.attempts.append(self._attempt(address))
        for connection, _ in self._connections.values():
            connection.close()

    def _address(self) -> str | None:
        now = time.monotonic()
        if now - self._known_at >= LOOKUP_KEPT_S or not self._known:
            for host in self._rng.sample(list(self._hosts), len(self._hosts)):
                try:
                    self._known = self._emulation.look_up(host, LOOKUP_TIMEOUT_S)
                except (OSError, ValueError, http.client.HTTPException):
                    continue
                self._known_at = now
                break
        return self._rng.choice(self._known) if self._known else None

    def _attempt(self, address: str) -> Attempt:
        kind = self._rng.choice(list(Kind))
        request = f"c{self._number}-{len(self.attempts)}"
        key = self._keys.draw(self._rng)
        began = time.monotonic()
        status, body = 0, b""
        try:
            connection = self._connection(address, began)
            headers = self._emulation.request_headers(request, kind, key, DEADLINE_S)
            connection.request("POST", f"{kind.value}{request}", request.encode(), headers)
            response = connection.getresponse()
            status = response.status
            body = response.read()
            ending = Ending.ANSWERED
        except TimeoutError:
            ending = Ending.TIMED_OUT
        except (OSError, http.client.HTTPException):
            ending = Ending.CUT_OFF if status else Ending.NO_CONNECTION
        ended = time.monotonic()
        if ending is Ending.ANSWERED:
            self._connections[address] = (connection, ended)
        else:
            self._known = []
        return Attempt(request, kind, address, began, ended, ending, status, body, key)

    def _connection(self, address: str, now: float) -> http.client.HTTPConnection:
        connection, used_at = self._connections.pop(address, (None, 0.0))
        if connection is not None and now - used_at < LOOKUP_KEPT_S:
            return connection
        if connection is not None:
            connection.close()
        host, port = self._proxies[address]
        return http.client.HTTPConnection(host, port, timeout=PATIENCE_S)
