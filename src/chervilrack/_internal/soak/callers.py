"""Callers of a soak, which send requests to the nodes and record how each request ended."""

import http.client
import itertools
import random
import threading
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from chervilrack._internal.common.http_responses import StrictResponse
from chervilrack._internal.soak.emulation import Emulation
from chervilrack._internal.soak.losses import DEADLINE_S
from chervilrack._internal.soak.proxy import LinkProxy
from chervilrack._internal.soak.records import Attempt, Ending, Kind

LOOKUP_TIMEOUT_S = 0.5
# Time for a proxy to see that a caller has closed its connection.
LINK_TIMEOUT_S = 5.0
# Callers cache the result of a look-up for this time and reuse connections that were idle for less.
LOOKUP_TTL_S = 2.0
# Callers wait longer than the deadline in their requests, so that a node can report that it passed.
RESPONSE_TIMEOUT_S = DEADLINE_S + 2.0
MEAN_REQUEST_PAUSE_S = 0.08
# Probability that a request uses a removed key, once a key has been removed.
REMOVED_KEY_PROBABILITY = 0.1
# Parts of the prompts of streams, and the probability that one has the part that crashes engines.
FIRST_PART = "a0"
FURTHER_PARTS = 4
CRASHING_PROBABILITY = 0.3
# Probabilities and bounds of the time that an upstream needs for a request, in seconds; the last
# ones go on to the longest time of a soak.
WORK_S = ((0.5, 0.0, 0.04), (0.3, 0.1, 0.6), (0.2, 0.6, None))


@dataclass(frozen=True, slots=True)
class WorkTimes:
    """Times that upstreams work on requests, in seconds.

    All are at least ``shortest``, or half of them are a few milliseconds if it is None.
    """

    longest: float
    shortest: float | None = None

    def draw(self, rng: random.Random) -> float:
        """Return a random time."""
        if self.shortest is not None:
            return rng.uniform(self.shortest, self.longest)
        ((_, shortest, longest),) = rng.choices(WORK_S, [share for share, _, _ in WORK_S])
        return rng.uniform(shortest, self.longest if longest is None else longest)


@dataclass(frozen=True, slots=True)
class CallerStyle:
    """How a caller uses its connections.

    A caller that ``keeps_node`` sends all requests to one node over one connection, and connects
    to it again, until the node accepts no connection or a request fails. Pauses are between
    requests, in seconds. ``sends_slowly`` sends bodies in parts after the header fields.
    """

    keeps_node: bool
    pauses: tuple[float, float] = (0.0, 0.0)
    sends_slowly: bool = False


STYLES = (
    CallerStyle(keeps_node=False, pauses=(0.0, 2 * MEAN_REQUEST_PAUSE_S)),
    CallerStyle(keeps_node=True),
    CallerStyle(keeps_node=True, pauses=(0.3, 1.6)),
    CallerStyle(keeps_node=True, pauses=(0.0, 0.05), sends_slowly=True),
)


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

    def replace(self, rng: random.Random) -> tuple[str, str]:
        """Replace a random valid key by a new key and return the removed key and the new one."""
        index = rng.randrange(len(self._valid))
        removed_key, self._valid[index] = self._valid[index], self._next_key()
        self._removed.append(removed_key)
        return removed_key, self._valid[index]

    def _next_key(self) -> str:
        return f"key-{next(self._numbers)}"


class Prompts:
    """Parts of prompts that callers share, and the part on which engines crash at present."""

    def __init__(self) -> None:
        self.crashing_part = ""

    def draw(self, rng: random.Random, kind: Kind) -> tuple[list[str], str]:
        """Return the shared parts of a request, and which of them crashes engines, if any."""
        if kind not in (Kind.STREAM, Kind.STAGED):
            return [], ""
        parts = [FIRST_PART, *(f"{level}{rng.randrange(FURTHER_PARTS)}" for level in "bcd")]
        crashing_part = self.crashing_part
        if not crashing_part or rng.random() >= CRASHING_PROBABILITY:
            return parts, ""
        parts.insert(rng.randrange(len(parts) + 1), crashing_part)
        return parts, crashing_part


class Uploads:
    """Number of bytes that callers add to the bodies of their requests at present."""

    def __init__(self) -> None:
        self.size = 0


class Caller(threading.Thread):
    """Thread that sends requests one after the other until it is stopped."""

    def __init__(
        self,
        number: int,
        seed: int,
        emulation: Emulation,
        hosts: Sequence[str],
        links: Mapping[str, LinkProxy],
        keys: CallerKeys,
        work: WorkTimes,
        prompts: Prompts,
        uploads: Uploads,
    ) -> None:
        super().__init__(name=f"caller-{number}", daemon=True)
        self.attempts: list[Attempt] = []
        self._number = number
        self._style = STYLES[number % len(STYLES)]
        self._kept_node: str | None = None
        self._rng = random.Random(f"{seed}-{number}")
        self._emulation = emulation
        self._hosts = hosts
        self._links = links
        self._keys = keys
        self._work = work
        self._prompts = prompts
        self._uploads = uploads
        self._stopping = threading.Event()
        self._node_addresses: list[str] = []
        self._looked_up_at = -LOOKUP_TTL_S
        self._connections: dict[str, tuple[http.client.HTTPConnection, float]] = {}

    def stop(self) -> None:
        """Make the thread end after the request in progress."""
        self._stopping.set()

    def run(self) -> None:
        """Send requests with random pauses between them."""
        while not self._stopping.wait(self._rng.uniform(*self._style.pauses)):
            address = self._kept_node or self._choose_node()
            if address is None:
                self._stopping.wait(LOOKUP_TIMEOUT_S / 10)
                continue
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
        target = f"{kind.value}{request}?workMs={round(self._work.draw(self._rng) * 1000)}"
        key = self._keys.draw(self._rng)
        parts, crashing_part = self._prompts.draw(self._rng, kind)
        headers = self._emulation.request_headers(request, kind, key, DEADLINE_S, parts)
        started_at = time.monotonic()
        sent_at, status, body, signer = 0.0, 0, b"", ""
        connection = self._take_connection(address, started_at)
        is_closing, was_read, port = False, False, 0
        try:
            whole = request.encode() + bytes(self._uploads.size)
            content = self._content(whole, headers)
            connection.request("POST", target, content, headers)
            sent_at = time.monotonic()
            port = connection.sock.getsockname()[1]
            response = connection.getresponse()
            status = response.status
            signer = self._emulation.signer(response.headers)
            is_closing = response.will_close
            body = response.read()
            ending = Ending.ANSWERED
        except TimeoutError:
            ending = Ending.TIMED_OUT if sent_at else Ending.NOT_SENT
        except (OSError, http.client.HTTPException) as error:
            ending = _failed_ending(error, sent=sent_at > 0, begun=status > 0)
        ended_at = time.monotonic()
        self._keep_or_close(address, connection, ending, ended_at, is_closing=is_closing)
        if ending is Ending.CLOSED:
            was_read = self._links[address].was_read(port, LINK_TIMEOUT_S)
        times = (started_at, ended_at)
        return Attempt(
            request,
            kind,
            address,
            *times,
            ending,
            status,
            body,
            key,
            sent_at,
            signer,
            was_read,
            crashing_part,
        )

    def _content(self, body: bytes, headers: dict[str, str]) -> bytes | Iterator[bytes]:
        """Return a body, or its parts for a slow sender; without a length it is sent in chunks."""
        if not self._style.sends_slowly:
            return body
        if self._rng.random() < 0.5:
            headers["Content-Length"] = str(len(body))
        return self._parts(body)

    def _parts(self, body: bytes) -> Iterator[bytes]:
        for part in (body[:1], body[1:]):
            time.sleep(self._rng.uniform(0.0, 0.2))
            yield part

    def _keep_or_close(
        self,
        address: str,
        connection: http.client.HTTPConnection,
        ending: Ending,
        now: float,
        *,
        is_closing: bool,
    ) -> None:
        """Keep a connection for the next request, unless it failed or the node closes it."""
        is_usable = ending is Ending.ANSWERED and not is_closing
        if is_usable:
            self._connections[address] = (connection, now)
        else:
            connection.close()
        if ending is not Ending.ANSWERED:
            self._node_addresses = []
        keeps_node = self._style.keeps_node and ending is Ending.ANSWERED
        self._kept_node = address if keeps_node else None

    def _take_connection(self, address: str, now: float) -> http.client.HTTPConnection:
        """Remove and return the idle connection to a node, or return a new connection."""
        connection, idle_since = self._connections.pop(address, (None, 0.0))
        if connection is not None and (self._style.keeps_node or now - idle_since < LOOKUP_TTL_S):
            return connection
        if connection is not None:
            connection.close()
        link = self._links[address].address
        connection = http.client.HTTPConnection(link, timeout=RESPONSE_TIMEOUT_S)
        connection.response_class = StrictResponse
        return connection


def _failed_ending(error: Exception, *, sent: bool, begun: bool) -> Ending:
    """Return how a request ended whose connection failed."""
    if not sent:
        return Ending.NOT_SENT
    if begun:
        return Ending.CUT_OFF
    if isinstance(error, http.client.RemoteDisconnected):
        return Ending.CLOSED
    # Bytes that are no response are a response that is not whole.
    return Ending.RESET if isinstance(error, OSError) else Ending.CUT_OFF
