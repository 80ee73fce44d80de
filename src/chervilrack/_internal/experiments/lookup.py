"""Endpoint look-up of callers, with answers kept for their lifetime."""

import threading
import time
from collections.abc import Sequence

import msgspec
import urllib3

from chervilrack._internal.exceptions import ChervilrackError

_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.0)


class NoEndpointError(ChervilrackError):
    """No node answered a look-up, and no earlier answer is known."""


class _Answer(msgspec.Struct):
    addresses: list[str]
    lifetime_s: float


class EndpointCache:
    """Addresses as one caller knows them.

    ``bootstrap`` holds addresses to ask when no other is known. A look-up that fails keeps the
    earlier answer in use, because nodes outlive a short outage of the look-up.
    """

    def __init__(self, pool: urllib3.PoolManager, zone: str, bootstrap: Sequence[str]) -> None:
        self._pool = pool
        self._zone = zone
        self._bootstrap = tuple(bootstrap)
        self._addresses: tuple[str, ...] = ()
        self._valid_until = 0.0
        self._lock = threading.Lock()

    def addresses(self) -> tuple[str, ...]:
        """Return the known addresses, preferred ones first; looks them up if they are too old.

        Raises NoEndpointError.
        """
        with self._lock:
            if time.monotonic() >= self._valid_until:
                self._look_up()
            return self._addresses

    def forget(self, address: str) -> None:
        """Prefer other addresses after ``address`` failed, until the next look-up."""
        with self._lock:
            others = tuple(known for known in self._addresses if known != address)
            if others and address in self._addresses:
                self._addresses = (*others, address)

    def _look_up(self) -> None:
        asked_at = time.monotonic()
        for address in dict.fromkeys((*self._addresses, *self._bootstrap)):
            try:
                response = self._pool.request(
                    "GET",
                    f"{address}/v1/endpoints",
                    fields={"zone": self._zone},
                    timeout=_TIMEOUT,
                    retries=False,
                )
                if response.status != 200:
                    continue
                answer = msgspec.json.decode(response.data, type=_Answer)
            except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
                continue
            if answer.addresses:
                self._addresses = tuple(base_url(known) for known in answer.addresses)
                self._valid_until = asked_at + answer.lifetime_s
                return
        if not self._addresses:
            raise NoEndpointError("no node answers the endpoint look-up")


def base_url(address: str) -> str:
    """Return an address of the form ``http://host:port``."""
    return address.rstrip("/") if "://" in address else f"http://{address}"
