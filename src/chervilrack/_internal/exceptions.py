"""Exceptions raised across chervilrack, with messages that say what to do."""

from collections.abc import Sequence


class ChervilrackError(Exception):
    """Base class of all errors raised by chervilrack."""


class UnknownVariantError(ChervilrackError):
    """A registry has no implementation of the requested name."""

    def __init__(self, kind: str, name: str, known: Sequence[str]) -> None:
        super().__init__(f"unknown {kind} '{name}'; known are: {', '.join(known) or 'none'}")


class PlatformError(ChervilrackError):
    """A call to the platform's key-value service failed."""


class PlatformUnavailable(PlatformError):
    """The service could not be reached; the call was not applied."""


class PlatformOutcomeUnknown(PlatformError):
    """The answer of a write was lost; it may have been applied. Read back to find out."""


class PlatformOverloaded(PlatformError):
    """The service refused the call because of its rate limit; it was not applied."""


class PlatformRefused(PlatformError):
    """The service refused the call as invalid or not permitted; it was not applied."""


class WatchCompacted(PlatformError):
    """The watched revision is no longer kept. List the keys again and watch from there."""


class StreamBroken(ChervilrackError):
    """A token stream ended before its final chunk."""


class InvalidDocumentError(ChervilrackError):
    """A YAML document does not match its schema. ``mistakes`` holds one line for each."""

    def __init__(self, mistakes: Sequence[str]) -> None:
        super().__init__("\n".join(mistakes))
        self._mistakes = tuple(mistakes)

    @property
    def mistakes(self) -> tuple[str, ...]:
        """Mistakes found, each with file, line, key and what is expected."""
        return self._mistakes


class UnreadableDocumentError(InvalidDocumentError):
    """A file is no YAML document at all."""


class PeerUnreachable(ChervilrackError):
    """A node did not answer a request in time."""


class NodeUnreachable(ChervilrackError):
    """A node's HTTP interface did not answer."""
