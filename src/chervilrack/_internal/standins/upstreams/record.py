"""What an emulated upstream saw: the evidence that experiments and tests judge by."""

import threading
import time
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import xxhash

from chervilrack._internal.releases.state import Limits

WINDOW_S = 1.0  # rates are limits on any sliding window of one second


@dataclass(frozen=True, slots=True)
class CallIds:
    """Who a request belongs to, from its headers."""

    request: str
    attempt: str
    organisation: str
    key: str

    @classmethod
    def of(cls, headers: Mapping[str, str]) -> "CallIds":
        """Read the ids from headers with lower-case names."""
        return cls(
            headers.get("x-request-id", ""),
            headers.get("x-attempt-id", ""),
            headers.get("x-organisation", ""),
            headers.get("idempotency-key", ""),
        )

    @property
    def echo(self) -> dict[str, str]:
        """Headers that an answer repeats."""
        return {
            "X-Request-Id": self.request,
            "X-Attempt-Id": self.attempt,
            "X-Organisation": self.organisation,
        }

    @property
    def receipt(self) -> str:
        """Part of every answer; it shows a delivery to another request or organisation."""
        return receipt(self.request, self.organisation)


def receipt(request: str, organisation: str) -> str:
    """Return what an answer to this request of this organisation contains."""
    return xxhash.xxh3_64_hexdigest(f"{request}\0{organisation}".encode())


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as it arrived; ``time`` is of the process's monotonic clock, in seconds."""

    time: float
    ids: CallIds
    tokens: int
    after_withdrawal: float | None


@dataclass(frozen=True, slots=True)
class Violation:
    """A limit that was exceeded: ``seen`` at ``time`` although ``limit`` was in force."""

    time: float
    kind: str
    seen: int
    limit: int


class Record:
    """Counts of one emulated upstream. All methods may be called from any thread."""

    def __init__(self, limits: Limits | None = None) -> None:
        self._lock = threading.Lock()
        self._limits = limits or Limits()
        self._previous_limits = self._limits
        self._grace_until = 0.0
        self._arrivals: list[Arrival] = []
        self._window: deque[tuple[float, int]] = deque()
        self._window_tokens = 0
        self._most: Counter[str] = Counter()
        self._violations: list[Violation] = []
        self._executions: Counter[tuple[str, str]] = Counter()
        self._running = 0
        self._cut_off: list[CallIds] = []
        self._cancelled = 0
        self._refused = 0
        self._tokens_generated = 0
        self._tokens_prefilled = 0
        self._withdrawn_at: float | None = None
        self._stale_commands = 0
        self._ended: dict[str, float] = {}

    @property
    def limits(self) -> Limits:
        """Limits in force now."""
        return self._limits

    @property
    def arrivals(self) -> list[Arrival]:
        """All requests in order of arrival."""
        with self._lock:
            return list(self._arrivals)

    @property
    def violations(self) -> list[Violation]:
        """Every arrival at which a limit was exceeded."""
        with self._lock:
            return list(self._violations)

    @property
    def executions(self) -> dict[tuple[str, str], int]:
        """Number of executions by request id and idempotency key."""
        with self._lock:
            return dict(self._executions)

    @property
    def end_times(self) -> dict[str, float]:
        """Time at which each attempt ended, by attempt id; running ones are missing."""
        with self._lock:
            return dict(self._ended)

    @property
    def cut_off(self) -> list[CallIds]:
        """Requests that a stop or crash of the upstream interrupted."""
        with self._lock:
            return list(self._cut_off)

    @property
    def running(self) -> int:
        """Requests in progress."""
        return self._running

    @property
    def tokens_generated(self) -> int:
        """Tokens generated, whether or not they were delivered."""
        return self._tokens_generated

    def most(self, kind: str) -> int:
        """Highest value seen of ``concurrency``, ``requests_per_s`` or ``tokens_per_s``."""
        return self._most[kind]

    def set_limits(self, limits: Limits, grace_s: float = 0.0) -> None:
        """Change the limits; until ``grace_s`` has passed the looser of old and new applies."""
        with self._lock:
            self._previous_limits, self._limits = self._limits, limits
            self._grace_until = time.monotonic() + grace_s

    def withdraw(self) -> None:
        """Note the time from which new requests are wrong."""
        with self._lock:
            self._withdrawn_at = time.monotonic()

    def arrived(self, ids: CallIds, tokens: int) -> None:
        """Count a request that begins; ``tokens`` is prompt plus maximum output."""
        with self._lock:
            now = time.monotonic()
            late = None if self._withdrawn_at is None else now - self._withdrawn_at
            self._arrivals.append(Arrival(now, ids, tokens, late))
            self._running += 1
            self._window.append((now, tokens))
            self._window_tokens += tokens
            while self._window[0][0] <= now - WINDOW_S:
                self._window_tokens -= self._window.popleft()[1]
            self._judge(now, "concurrency", self._running)
            self._judge(now, "requests_per_s", len(self._window))
            self._judge(now, "tokens_per_s", self._window_tokens)

    def executed(self, ids: CallIds) -> None:
        """Count an execution; called before its effect."""
        with self._lock:
            self._executions[ids.request, ids.key] += 1

    def ended(self, ids: CallIds, *, cut_off: bool = False, cancelled: bool = False) -> None:
        """Count the end of a request."""
        with self._lock:
            self._running -= 1
            self._ended[ids.attempt] = time.monotonic()
            self._cancelled += cancelled
            if cut_off:
                self._cut_off.append(ids)

    def refused(self) -> None:
        """Count a request that was answered as not executed."""
        with self._lock:
            self._refused += 1

    def generated(self, tokens: int, prefilled: int = 0) -> None:
        """Count generated tokens, and prompt tokens that no cache held."""
        with self._lock:
            self._tokens_generated += tokens
            self._tokens_prefilled += prefilled

    def stale_command(self) -> None:
        """Count a command whose fencing number was not the highest seen."""
        with self._lock:
            self._stale_commands += 1

    def as_dict(self) -> dict[str, Any]:
        """Return everything as JSON values."""
        with self._lock:
            return {
                "running": self._running,
                "most": dict(self._most),
                "violations": [
                    {"time": v.time, "kind": v.kind, "seen": v.seen, "limit": v.limit}
                    for v in self._violations
                ],
                "executions": [
                    {"request": request, "key": key, "count": count}
                    for (request, key), count in self._executions.items()
                ],
                "arrivals": [
                    {
                        "time": a.time,
                        "request": a.ids.request,
                        "attempt": a.ids.attempt,
                        "organisation": a.ids.organisation,
                        "key": a.ids.key,
                        "tokens": a.tokens,
                        "after_withdrawal": a.after_withdrawal,
                    }
                    for a in self._arrivals
                ],
                "ended": dict(self._ended),
                "cut_off": [ids.request for ids in self._cut_off],
                "cancelled": self._cancelled,
                "refused": self._refused,
                "tokens_generated": self._tokens_generated,
                "tokens_prefilled": self._tokens_prefilled,
                "stale_commands": self._stale_commands,
            }

    def _judge(self, now: float, kind: str, seen: int) -> None:
        self._most[kind] = max(self._most[kind], seen)
        limit: int | None = getattr(self._limits, kind)
        if limit is not None and now < self._grace_until:
            previous: int | None = getattr(self._previous_limits, kind)
            limit = None if previous is None else max(limit, previous)
        if limit is not None and seen > limit:
            self._violations.append(Violation(now, kind, seen, limit))
