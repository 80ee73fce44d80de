"""Checks that the events of one response continue each other, over all of its attempts."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from chervilrack._internal.upstreams.event_stream import RawEvent


class SequenceBroken(ValueError):
    """An event does not continue the events before it."""


@dataclass(slots=True)
class EventSequence:
    """Position of a response in its stream of events.

    ``last_id`` is the id of the last event, None before the first one. ``can_resume`` is whether
    another upstream can continue behind the last event.
    """

    last_id: int | None = None
    can_resume: bool = True
    _has_begun: bool = False
    _content_type: str | None = None
    # Whether each event so far had the id after that of the event before it.
    _is_consecutive: bool = True

    def begin_attempt(self, headers: Sequence[tuple[str, str]]) -> None:
        """Check the header fields of an attempt. Raises SequenceBroken.

        A continuation has the media type of the first attempt.
        """
        fields = {name.lower(): value for name, value in headers}
        content_type = fields.get("content-type")
        if self._has_begun and content_type != self._content_type:
            raise SequenceBroken(f"the continuation is of type '{content_type}'")
        self._content_type = content_type

    def check(self, events: Iterable[RawEvent], *, is_continuation: bool) -> list[RawEvent]:
        """Return the events that continue the sequence, and record them.

        Raises SequenceBroken if the first event does not. The events before one that does not are
        returned, and the next call raises for it.
        """
        accepted: list[RawEvent] = []
        for event in events:
            problem = self._problem(event, is_continuation=is_continuation)
            if problem is not None:
                if not accepted:
                    raise SequenceBroken(problem)
                break
            self._record(event)
            accepted.append(event)
        return accepted

    def _problem(self, event: RawEvent, *, is_continuation: bool) -> str | None:
        if event.is_comment or (event.id is None and not is_continuation):
            return None
        if event.id is None:
            return "the continuation has an event without an id"
        if self.last_id is None:
            return None
        if event.id <= self.last_id:
            return f"event {event.id} follows event {self.last_id}"
        if is_continuation and self._is_consecutive and event.id != self.last_id + 1:
            return f"the continuation of event {self.last_id} begins with event {event.id}"
        return None

    def _record(self, event: RawEvent) -> None:
        self._has_begun = True
        if event.is_comment:
            return
        self.can_resume = event.id is not None
        if event.id is None:
            return
        if self.last_id is not None and event.id != self.last_id + 1:
            self._is_consecutive = False
        self.last_id = event.id
