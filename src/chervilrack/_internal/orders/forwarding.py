"""Requests that another node executes: retransmission, answers and loss of the executor."""

from dataclasses import dataclass
from datetime import timedelta

from chervilrack._internal.common.effects import Send
from chervilrack._internal.common.ids import NodeId, RequestId
from chervilrack._internal.common.results import ResultCode
from chervilrack._internal.membership.state import Process, View
from chervilrack._internal.orders.messages import AnswerOrder, LookUpOrder, SubmitOrder
from chervilrack._internal.orders.state import (
    Order,
    OrderResult,
    OrderSettings,
    outcome_unknown,
    refusal,
)

MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class Forwarded:
    """Request that waits for an answer from ``executor``."""

    executor: Process
    content: Order | LookUpOrder
    deadline: timedelta
    repeat_at: timedelta
    number: int


class Received:
    """Orders from other nodes, so that a late or repeated copy is not taken for a new order.

    A copy could otherwise run after its order was refused as not executed, or be refused after
    its order ran and the partition moved to another node.
    """

    def __init__(self) -> None:
        self._floor: dict[Process, int] = {}
        self._answers: dict[Process, dict[int, OrderResult | None]] = {}
        self._absent: dict[Process, timedelta] = {}

    def is_new(self, sender: Process, message: SubmitOrder) -> bool:
        """Note an order; return whether no copy of it was received and it is still open."""
        floor = max(message.floor, self._floor.get(sender, 0))
        self._floor[sender] = floor
        answers = self._answers.setdefault(sender, {})
        for number in [number for number in answers if number < floor]:
            del answers[number]
        if message.number < floor or message.number in answers:
            return False
        answers[message.number] = None
        return True

    def adopt(self, view: View, horizon: timedelta, now: timedelta) -> None:
        """Forget senders that have not been members for the retry horizon.

        A removed process may join again, so its orders are kept until no copy can be on its way.
        """
        absent = [process for process in self._answers if not view.has(process)]
        self._absent = {process: self._absent.get(process, now) for process in absent}
        for process, since in self._absent.items():
            if now - since > horizon:
                del self._answers[process]
                self._floor.pop(process, None)

    def answer(self, sender: Process, number: int) -> OrderResult | None:
        """Return the answer that was sent for an order, None if there is none yet."""
        return self._answers.get(sender, {}).get(number)

    def note(self, sender: Process, number: int, result: OrderResult) -> None:
        """Remember an answer until the sender has closed the order."""
        answers = self._answers.get(sender, {})
        if number in answers:
            answers[number] = result


class Forwarding:
    """Open requests at other nodes. The executor joins repeated messages by key."""

    def __init__(self, settings: OrderSettings) -> None:
        self._settings = settings
        self._open: dict[RequestId, Forwarded] = {}
        self._next_number = 1

    def forward(
        self,
        request: RequestId,
        content: Order | LookUpOrder,
        executor: Process,
        deadline: timedelta,
        now: timedelta,
    ) -> list[Send]:
        """Send a request to the executor of its partition."""
        self._open[request] = Forwarded(executor, content, deadline, now, self._next_number)
        self._next_number += 1
        return self._repeat(request, now)

    def answered(
        self, sender: NodeId, request: RequestId, result: OrderResult
    ) -> list[AnswerOrder]:
        """Pass an executor's answer on; later copies are ignored."""
        entry = self._open.get(request)
        if entry is None or entry.executor.node != sender:
            return []
        del self._open[request]
        return [AnswerOrder(request, result)]

    def tick(self, now: timedelta) -> list[Send | AnswerOrder]:
        """Repeat unanswered requests and end those past their deadline."""
        effects: list[Send | AnswerOrder] = []
        for request, entry in list(self._open.items()):
            if now >= entry.deadline + self._settings.answer_grace:
                effects.append(self._lost(request, "the executor did not answer in time"))
            elif now >= entry.repeat_at and now < entry.deadline:
                effects += self._repeat(request, now)
        return effects

    def adopt(self, view: View) -> list[AnswerOrder]:
        """End the requests whose executor is not a member any more."""
        return [
            self._lost(request, "the executor of the order was lost")
            for request, entry in list(self._open.items())
            if not view.has(entry.executor)
        ]

    def _repeat(self, request: RequestId, now: timedelta) -> list[Send]:
        entry = self._open[request]
        entry.repeat_at = now + self._settings.forward_retry
        if isinstance(entry.content, LookUpOrder):
            return [Send(entry.executor.node, entry.content)]
        remaining = max(0, (entry.deadline - now) // MILLISECOND)
        message = SubmitOrder(
            to=entry.executor.incarnation,
            request=request,
            order=entry.content,
            remaining_ms=remaining,
            number=entry.number,
            floor=min(other.number for other in self._open.values()),
        )
        return [Send(entry.executor.node, message)]

    def _lost(self, request: RequestId, detail: str) -> AnswerOrder:
        entry = self._open.pop(request)
        if isinstance(entry.content, LookUpOrder):
            return AnswerOrder(request, refusal(ResultCode.NOT_READY, detail))
        return AnswerOrder(request, outcome_unknown(detail))
