"""Registry of interchangeable implementations, which a decorator registers by name."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from chervilrack._internal.exceptions import UnknownVariantError

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to interchangeable implementations.

    ``kind`` says in error messages what is registered, for example "routing policy".
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """Names of all registered implementations, sorted."""
        return sorted(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under ``name``."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} '{name}' is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the implementation called ``name``.

        Raises UnknownVariantError, which lists the registered names.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownVariantError(self._kind, name, self.names) from None

    def __iter__(self) -> Iterator[str]:
        return iter(self.names)
