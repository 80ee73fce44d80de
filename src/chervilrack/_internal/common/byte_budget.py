"""Bound on the sum of the bytes that a process holds in buffers for others."""

import ctypes
import threading
from collections.abc import Callable
from contextlib import suppress
from types import TracebackType
from typing import Self

from chervilrack._internal.exceptions import ChervilrackError

_M_MMAP_THRESHOLD = -3  # malloc.h
MMAP_THRESHOLD = 64 * 1024


class BudgetExceeded(ChervilrackError):
    """A buffer may not grow any further."""


class ByteBudget:
    """Bytes that all buffers of one kind may hold together, and one of them alone.

    One buffer may take half of the sum, at most ``largest``. When the sum is used up, the largest
    buffer that is still growing gives way, so that bytes without end do not displace others.
    Thread-safe.
    """

    def __init__(self, limit: int, largest: int | None = None) -> None:
        self._limit = limit
        self._largest = min(limit // 2, largest if largest is not None else limit)
        self._lock = threading.Lock()
        self._used = 0
        self._growing: set[Reservation] = set()

    @property
    def limit(self) -> int:
        """Bytes that all buffers may hold together."""
        return self._limit

    @property
    def used(self) -> int:
        """Bytes that the buffers hold."""
        return self._used

    def open(
        self, on_revoked: Callable[[], None] = lambda: None, *, gives_way: bool = True
    ) -> "Reservation":
        """Return an empty reservation.

        ``on_revoked`` is called, by another thread, when the buffer has to give way to others. It
        should end the wait for further bytes. Without ``gives_way``, it never has to.
        """
        return Reservation(self, on_revoked, gives_way=gives_way)

    def resize(self, reservation: "Reservation", size: int) -> None:
        """Change the size of a reservation. Raises BudgetExceeded, which leaves it as it was."""
        revoked: list[Reservation] = []
        with self._lock:
            if reservation.is_revoked:
                raise BudgetExceeded("the buffer has given way to others")
            if size > self._largest:
                raise BudgetExceeded(f"the buffer exceeds {self._largest} bytes")
            growth = size - reservation.size
            while growth > 0 and self._used + growth > self._limit:
                victim = max(self._growing, key=lambda other: other.size, default=None)
                if victim is None or victim is reservation or victim.size <= size:
                    raise BudgetExceeded(f"the buffers exceed {self._limit} bytes")
                self._growing.discard(victim)
                self._used -= victim.size
                victim.size = 0
                victim.is_revoked = True
                revoked.append(victim)
            self._used += growth
            reservation.size = size
            if growth > 0 and reservation.gives_way:
                self._growing.add(reservation)
        for victim in revoked:
            victim.on_revoked()

    def finish(self, reservation: "Reservation") -> None:
        """Keep the size of a reservation, which no longer gives way to others."""
        with self._lock:
            self._growing.discard(reservation)

    def release(self, reservation: "Reservation") -> None:
        """Give the bytes of a reservation back."""
        with self._lock:
            self._growing.discard(reservation)
            self._used -= reservation.size
            reservation.size = 0


class Reservation:
    """Bytes of a budget that one buffer holds; a context manager that gives them back."""

    def __init__(
        self, budget: ByteBudget, on_revoked: Callable[[], None], *, gives_way: bool = True
    ) -> None:
        self.size = 0
        self.gives_way = gives_way
        self.is_revoked = False
        self.on_revoked = on_revoked
        self._budget = budget

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def add(self, count: int) -> None:
        """Reserve further bytes. Raises BudgetExceeded."""
        self._budget.resize(self, self.size + count)

    def resize(self, size: int) -> None:
        """Reserve ``size`` bytes in all. Raises BudgetExceeded."""
        self._budget.resize(self, size)

    def finish(self) -> None:
        """Record that the buffer is whole: it stays, and gives way to no other."""
        self._budget.finish(self)

    def close(self) -> None:
        """Give all bytes back."""
        self._budget.release(self)


def return_large_buffers() -> None:
    """Make the C library return the memory of large buffers to the system when they are freed.

    glibc raises its threshold for that whenever a large buffer is freed, and then keeps such
    memory for the process. Other C libraries have no such call.
    """
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD)
