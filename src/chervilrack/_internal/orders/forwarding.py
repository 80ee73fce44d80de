"""Requests that are sent to the node that executes them, and detection of repeated copies."""

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
class ForwardedRequest:
    """Request that waits for an answer from ``executor`` and is sent again at ``resend_at``."""

    executor: Process
    content: Order | LookUpOrder
    deadline: timedelta
    resend_at: timedelta
    number: int


class ReceivedOrders:
    """Orders received from other nodes, by which a late or repeated copy is recognised.

    Without this record, a copy could run after its order was refused as not executed, or it could
    be refused after its order ran and the partition moved to another node.
    """

    def __init__(self) -> None:
        self._lowest_open_numbers: dict[Process, int] = {}
        self._answers: dict[Process, dict[int, OrderResult | None]] = {}
        self._absent_since: dict[Process, timedelta] = {}

    def record_if_new(self, sender: Process, message: SubmitOrder) -> bool:
        """Record an order and return whether it is to be executed.

        A repeated copy, or one that the sender no longer waits for, is not executed.
        """
        lowest_open_number = max(
            message.lowest_open_number, self._lowest_open_numbers.get(sender, 0)
        )
        self._lowest_open_numbers[sender] = lowest_open_number
        answers = self._answers.setdefault(sender, {})
        for number in [number for number in answers if number < lowest_open_number]:
            del answers[number]
        if message.number < lowest_open_number or message.number in answers:
            return False
        answers[message.number] = None
        return True

    def forget_absent_senders(self, view: View, retry_horizon: timedelta, now: timedelta) -> None:
        """Forget senders that have not been members for ``retry_horizon``.

        A removed process may join again, so its orders are kept until no copy can be in transit.
        """
        absent = [process for process in self._answers if not view.has(process)]
        self._absent_since = {process: self._absent_since.get(process, now) for process in absent}
        for process, since in self._absent_since.items():
            if now - since > retry_horizon:
                del self._answers[process]
                self._lowest_open_numbers.pop(process, None)

    def sent_answer(self, sender: Process, number: int) -> OrderResult | None:
        """Return the answer that was sent for an order, or None before it is answered."""
        return self._answers.get(sender, {}).get(number)

    def record_answer(self, sender: Process, number: int, result: OrderResult) -> None:
        """Keep an answer until the sender no longer waits for the order."""
        answers = self._answers.get(sender, {})
        if number in answers:
            answers[number] = result


class Forwarding:
    """Requests of this node that other nodes execute, until they are answered.

    Sending a request again is safe: the executor recognises a repeated order by its number and
    its key, and a look-up changes nothing.
    """

    def __init__(self, settings: OrderSettings) -> None:
        self._settings = settings
        self._unanswered: dict[RequestId, ForwardedRequest] = {}
        self._next_number = 1

    def forward(
        self,
        request: RequestId,
        content: Order | LookUpOrder,
        executor: Process,
        deadline: timedelta,
        now: timedelta,
    ) -> list[Send]:
        """Send a request to ``executor``, which owns its partition."""
        self._unanswered[request] = ForwardedRequest(
            executor, content, deadline, now, self._next_number
        )
        self._next_number += 1
        return self._send(request, now)

    def handle_answer(
        self, sender: NodeId, request: RequestId, result: OrderResult
    ) -> list[AnswerOrder]:
        """Answer the request with the executor's result; repeated answers are ignored."""
        forwarded = self._unanswered.get(request)
        if forwarded is None or forwarded.executor.node != sender:
            return []
        del self._unanswered[request]
        return [AnswerOrder(request, result)]

    def tick(self, now: timedelta) -> list[Send | AnswerOrder]:
        """Send unanswered requests again and end those past their deadline."""
        effects: list[Send | AnswerOrder] = []
        for request, forwarded in list(self._unanswered.items()):
            if now >= forwarded.deadline + self._settings.answer_grace:
                effects.append(self._end_unanswered(request, "the executor did not answer in time"))
            elif now >= forwarded.resend_at and now < forwarded.deadline:
                effects += self._send(request, now)
        return effects

    def end_for_lost_executors(self, view: View) -> list[AnswerOrder]:
        """End the requests whose executor is not a member of ``view``."""
        return [
            self._end_unanswered(request, "the executor of the order was lost")
            for request, forwarded in list(self._unanswered.items())
            if not view.has(forwarded.executor)
        ]

    def _send(self, request: RequestId, now: timedelta) -> list[Send]:
        forwarded = self._unanswered[request]
        forwarded.resend_at = now + self._settings.forward_retry
        if isinstance(forwarded.content, LookUpOrder):
            return [Send(forwarded.executor.node, forwarded.content)]
        remaining_ms = max(0, (forwarded.deadline - now) // MILLISECOND)
        message = SubmitOrder(
            to=forwarded.executor.incarnation,
            request=request,
            order=forwarded.content,
            remaining_ms=remaining_ms,
            number=forwarded.number,
            lowest_open_number=min(other.number for other in self._unanswered.values()),
        )
        return [Send(forwarded.executor.node, message)]

    def _end_unanswered(self, request: RequestId, detail: str) -> AnswerOrder:
        forwarded = self._unanswered.pop(request)
        if isinstance(forwarded.content, LookUpOrder):
            return AnswerOrder(request, refusal(ResultCode.NOT_READY, detail))
        return AnswerOrder(request, outcome_unknown(detail))
