"""What admission learns from the answers that pass the gate."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from laburnumwood.admission.tickets import Ticket, TicketResult
from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.protocol.messages import Answer, Failure, WholeAnswer
from laburnumwood.protocol.outlet import LONG, Outlet
from laburnumwood.routing.exchange import Exchange, WrappedExchange

_SHEDDING = frozenset((429, 503))
_RESULT_OF = {
    'refused': TicketResult.REFUSED,
    'rejected': TicketResult.REJECTED,
    'worker-cut': TicketResult.LOST,
    'worker-unreachable': TicketResult.LOST,
}


_LENGTHS_HALF_LIFE_MS = 5_000


class LongAnswers:
    """How long the answers to requests of a rank wait for their turn."""

    def __init__(self, outlet: Outlet, clock: Clock) -> None:
        self._outlet = outlet
        self._lengths: dict[int, DecayingMean] = defaultdict(
            lambda: DecayingMean(_LENGTHS_HALF_LIFE_MS, clock)
        )

    def note(self, rank: int, length: int) -> None:
        """Take in how long an answer was."""
        self._lengths[rank].add(length)

    def wait_ms(self, rank: int) -> int:
        """Return how long an answer would wait, if it is a long one."""
        if self._lengths[rank].mean < LONG:
            return 0
        return round(self._outlet.waiting_ms)


class ObservedExchange(WrappedExchange):
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
        self._when_whole = when_whole
        self._ticket = ticket
        self._clock = clock
        self.told: Failure | None = None

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        if isinstance(message, Answer):
            self._note(message)
            if isinstance(message, WholeAnswer):
                # The worker is done with it.
                self._when_whole(len(message.body))
        elif isinstance(message, Failure):
            self.told = message
            result = _RESULT_OF.get(message.kind)
            self._ticket.result = result or self._ticket.result
        super().send(message)

    def _note(self, answer: Answer) -> None:
        if answer.status in _SHEDDING:
            self._ticket.result = TicketResult.REFUSED
        else:
            self._ticket.answer(self._clock.now_ms())
