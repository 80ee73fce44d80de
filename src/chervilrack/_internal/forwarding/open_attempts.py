"""Attempts whose upstream has the request, one of which may go on beside the next attempt."""

from types import TracebackType
from typing import Protocol, Self

from chervilrack._internal.balancing.state import UpstreamChoice
from chervilrack._internal.catalogue.state import RequestKind, UpstreamEntry
from chervilrack._internal.forwarding.context import RequestContext
from chervilrack._internal.upstreams.exchange import Exchange


class InFlightCount(Protocol):
    """Counts the attempts at upstreams; methods are thread-safe."""

    def attempt_started(
        self, context: RequestContext, entry: UpstreamEntry, choice: UpstreamChoice
    ) -> None:
        """Count an attempt as in flight."""

    def attempt_ended(self, context: RequestContext, entry: UpstreamEntry) -> None:
        """Count an attempt as no longer in flight."""


class OpenAttempt:
    """One attempt and its exchange, which ends if the caller leaves or the node stops.

    A context manager that ends the attempt, and then gives back the memory of its answer.
    """

    def __init__(
        self,
        context: RequestContext,
        entry: UpstreamEntry,
        choice: UpstreamChoice,
        exchange: Exchange,
        count: InFlightCount,
    ) -> None:
        self.entry = entry
        self.choice = choice
        self.exchange = exchange
        self._context = context
        self._count = count
        self._is_open = False

    def __enter__(self) -> Self:
        self._count.attempt_started(self._context, self.entry, self.choice)
        self._is_open = True
        self._context.add_gone_action(self.exchange.cancel)
        self._context.add_stop_action(self.exchange.cancel)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End the attempt and give back the memory of its answer."""
        self.end()
        self.exchange.__exit__(None, None, None)

    def end(self) -> None:
        """Close the connection. The memory of the answer stays reserved until the exit."""
        if not self._is_open:
            return
        self._is_open = False
        self._context.remove_gone_action(self.exchange.cancel)
        self._context.remove_stop_action(self.exchange.cancel)
        self.exchange.close()
        self._count.attempt_ended(self._context, self.entry)


def may_keep(context: RequestContext) -> bool:
    """Whether an attempt without an answer goes on beside the next one.

    Only one attempt of a look-up is kept. The request may take as long at any upstream, so that the
    first one can be the only one that answers in time. The retry budget bounds these attempts.
    """
    is_lookup = context.route.kind is RequestKind.IDEMPOTENT and not context.route.stages
    return is_lookup and context.kept is None
