"""What admission learns from the answers that pass the gate."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from laburnumwood.admission.tickets import Ticket, TicketResult
from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.protocol.messages import Answer, Failure, WholeAnswer
from laburnumwood.protocol.send_queue import LARGE_MESSAGE_SIZE, SendQueue
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
    """How long the answers to requests of a rank wait for their turn."""

    def __init__(self, send_queue: SendQueue, clock: Clock) -> None:
        self._send_queue = send_queue
        self._mean_lengths: dict[int, DecayingMean] = defaultdict(
            lambda: DecayingMean(_LENGTH_HALF_LIFE_MS, clock)
        )

    def record(self, rank: int, length: int) -> None:
        """Take in how long an answer was."""
        self._mean_lengths[rank].add(length)

    def expected_wait_ms(self, rank: int) -> int:
        """Return how long an answer would wait, if it is a long one."""
        if self._mean_lengths[rank].mean < LARGE_MESSAGE_SIZE:
            return 0
        return round(self._send_queue.queueing_delay_ms)


class ObservedExchange(ExchangeWrapper):
    """An exchange that notes on a ticket how its request went.

    `when_whole` is called with the length of an answer once the worker has
    nothing more to do for it.
    """

    def __init__(
        self,
        exchange: Exchange,
        ticket: Ticket,
        clock: Clock,
        when_whole: Callable[[int], None],
    ) -> None:
        super().__init__(exchange)
        self._on_whole_answer = when_whole
        self._ticket = ticket
        self._clock = clock
        self.failure: Failure | None = None

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        if isinstance(message, Answer):
            self._record_answer(message)
            if isinstance(message, WholeAnswer):
                # The worker is done with it.
                self._on_whole_answer(len(message.body))
        elif isinstance(message, Failure):
            self.failure = message
            result = _RESULT_BY_KIND.get(message.kind)
            self._ticket.result = result or self._ticket.result
        super().send(message)

    def _record_answer(self, answer: Answer) -> None:
        if answer.status in _OVERLOAD_STATUSES:
            self._ticket.result = TicketResult.REFUSED
        else:
            self._ticket.answer(self._clock.now_ms())
