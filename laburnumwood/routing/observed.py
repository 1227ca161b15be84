"""Observation of answers at the gate, for admission control."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from laburnumwood.admission.tickets import Ticket, TicketResult
from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.protocol.messages import Answer, Failure, WholeAnswer
from laburnumwood.protocol.send_queue import LARGE_MESSAGE_SIZE, SendQueue
from laburnumwood.records import WorkerNotice
from laburnumwood.routing.exchange import Exchange, ExchangeWrapper

_OVERLOAD_STATUSES = frozenset((429, 503))
_RESULT_BY_KIND = {
    'refused': TicketResult.REFUSED,
    'rejected': TicketResult.REJECTED,
    'worker-cut': TicketResult.LOST,
    'worker-unreachable': TicketResult.LOST,
}


_LENGTH_HALF_LIFE_MS = 5_000


class LongAnswerDelays:
    """Estimate of how long answers wait in the send queue, by rank."""

    def __init__(self, send_queue: SendQueue, clock: Clock) -> None:
        self._send_queue = send_queue
        self._mean_lengths: dict[int, DecayingMean] = defaultdict(
            lambda: DecayingMean(_LENGTH_HALF_LIFE_MS, clock)
        )

    def record(self, rank: int, length: int) -> None:
        """Record the length of an answer in bytes."""
        self._mean_lengths[rank].add(length)

    def expected_wait_ms(self, rank: int) -> int:
        """Return the expected wait of an answer in ms; 0 for short ones."""
        if self._mean_lengths[rank].mean < LARGE_MESSAGE_SIZE:
            return 0
        return round(self._send_queue.queueing_delay_ms)


def _result_of(failure: Failure) -> TicketResult | None:
    if failure.kind == 'deadline' and failure.ran:
        return TicketResult.UNANSWERED
    return _RESULT_BY_KIND.get(failure.kind)


class ObservedExchange(ExchangeWrapper):
    """An exchange that records the result of its request on the ticket.

    `on_whole_answer` is called with the length of an answer once the worker
    has finished it.  Answers are sent with what `worker_notice` returns.
    """

    def __init__(
        self,
        exchange: Exchange,
        ticket: Ticket,
        clock: Clock,
        on_whole_answer: Callable[[int], None],
        worker_notice: Callable[[], WorkerNotice | None],
    ) -> None:
        super().__init__(exchange)
        self._on_whole_answer = on_whole_answer
        self._worker_notice = worker_notice
        self._ticket = ticket
        self._clock = clock
        self.failure: Failure | None = None

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        if isinstance(message, Answer):
            self._record_answer(message)
            if isinstance(message, WholeAnswer):
                # The worker has finished the request.
                self._on_whole_answer(len(message.body))
            notice = self._worker_notice()
            if notice is not None:
                message = replace(message, worker=notice)
        elif isinstance(message, Failure):
            self.failure = message
            self._ticket.result = _result_of(message) or self._ticket.result
        super().send(message)

    def note_end(self) -> None:
        """Note that the request has ended.

        Without an answer or a failure its caller left while the worker ran it.
        """
        has_answer = self._ticket.answered_ms is not None
        if self.failure is None and not has_answer:
            self._ticket.result = TicketResult.UNANSWERED

    def _record_answer(self, answer: Answer) -> None:
        if answer.status in _OVERLOAD_STATUSES:
            self._ticket.result = TicketResult.REFUSED
        else:
            self._ticket.answer(self._clock.now_ms())
