"""Callers of a soak, which send requests to the nodes and record how each request ended."""

import http.client
import itertools
import random
import threading
import time
from collections.abc import Mapping, Sequence

from chervilrack._internal.common.http_responses import StrictResponse
from chervilrack._internal.soak.checks import DEADLINE_S
from chervilrack._internal.soak.emulation import Emulation
from chervilrack._internal.soak.records import Attempt, Ending, Kind

LOOKUP_TIMEOUT_S = 0.5
# Callers cache the result of a look-up for this time and reuse connections that were idle for less.
LOOKUP_TTL_S = 2.0
# Callers wait longer than the deadline in their requests, so that a node can report that it passed.
RESPONSE_TIMEOUT_S = DEADLINE_S + 2.0
MEAN_REQUEST_PAUSE_S = 0.08
# Probability that a request uses a removed key, once a key has been removed.
REMOVED_KEY_PROBABILITY = 0.1


class CallerKeys:
    """Valid and removed API keys, shared by the callers and the faults that replace keys."""

    def __init__(self, count: int) -> None:
        self._numbers = itertools.count(1)
        self._valid = [self._next_key() for _ in range(count)]
        self._removed: list[str] = []

    @property
    def valid(self) -> list[str]:
        """Keys that have not been removed."""
        return list(self._valid)

    def draw(self, rng: random.Random) -> str:
        """Return a random key for a request; sometimes a removed key, which must be rejected."""
        if self._removed and rng.random() < REMOVED_KEY_PROBABILITY:
            return rng.choice(self._removed)
        return rng.choice(self._valid)

    def replace(self, rng: random.Random) -> str:
        """Replace a random valid key by a new key and return the removed key."""
        index = rng.randrange(len(self._valid))
        removed_key, self._valid[index] = self._valid[index], self._next_key()
        self._removed.append(removed_key)
        return removed_key

    def _next_key(self) -> str:
        return f"key-{next(self._numbers)}"


class Caller(threading.Thread):
    """Thread that sends requests one after the other until it is stopped."""

    def __init__(
        self,
        number: int,
        seed: int,
        emulation: Emulation,
        hosts: Sequence[str],
        proxies: Mapping[str, tuple[str, int]],
        keys: CallerKeys,
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
        self._node_addresses: list[str] = []
        self._looked_up_at = -LOOKUP_TTL_S
        self._connections: dict[str, tuple[http.client.HTTPConnection, float]] = {}

    def stop(self) -> None:
        """Make the thread end after the request in progress."""
        self._stopping.set()

    def run(self) -> None:
        """Send requests with random pauses between them."""
        while not self._stopping.wait(self._rng.expovariate(1 / MEAN_REQUEST_PAUSE_S)):
            address = self._choose_node()
            if address is not None:
                self.attempts.append(self._send_request(address))
        for connection, _ in self._connections.values():
            connection.close()

    def _choose_node(self) -> str | None:
        """Return the address of a random node, or None if no address is known."""
        now = time.monotonic()
        if now - self._looked_up_at >= LOOKUP_TTL_S or not self._node_addresses:
            for host in self._rng.sample(list(self._hosts), len(self._hosts)):
                try:
                    self._node_addresses = self._emulation.look_up(host, LOOKUP_TIMEOUT_S)
                except (OSError, ValueError, http.client.HTTPException):
                    continue
                self._looked_up_at = now
                break
        return self._rng.choice(self._node_addresses) if self._node_addresses else None

    def _send_request(self, address: str) -> Attempt:
        kind = self._rng.choice(list(Kind))
        request = f"c{self._number}-{len(self.attempts)}"
        key = self._keys.draw(self._rng)
        started_at = time.monotonic()
        status, body = 0, b""
        try:
            connection = self._take_connection(address, started_at)
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
        ended_at = time.monotonic()
        if ending is Ending.ANSWERED:
            self._connections[address] = (connection, ended_at)
        else:
            self._node_addresses = []
        return Attempt(request, kind, address, started_at, ended_at, ending, status, body, key)

    def _take_connection(self, address: str, now: float) -> http.client.HTTPConnection:
        """Remove and return the idle connection to a node, or return a new connection."""
        connection, idle_since = self._connections.pop(address, (None, 0.0))
        if connection is not None and now - idle_since < LOOKUP_TTL_S:
            return connection
        if connection is not None:
            connection.close()
        host, port = self._proxies[address]
        connection = http.client.HTTPConnection(host, port, timeout=RESPONSE_TIMEOUT_S)
        connection.response_class = StrictResponse
        return connection
