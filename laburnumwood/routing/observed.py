"""What admission learns from the answers that pass the gate."""

from collections.abc import Callable
from typing import Any

from laburnumwood.admission.tickets import Result, Ticket
from laburnumwood.clock import Clock
from laburnumwood.protocol.messages import Answer, Failure, WholeAnswer
from laburnumwood.routing.exchange import Exchange, WrappedExchange

_SHEDDING = frozenset((429, 503))
_RESULT_OF = {
    'refused': Result.REFUSED,
    'rejected': Result.REJECTED,
    'worker-cut': Result.LOST,
    'worker-unreachable': Result.LOST,
}


class ObservedExchange(WrappedExchange):
    """An exchange that notes on a ticket how its request went.

    `when_done` is called once the worker has nothing more to do for it.
    """

    def __init__(
        self,
        exchange: Exchange,
        ticket: Ticket,
        clock: Clock,
        when_done: Callable[[Ticket], None],
    ) -> None:
        super().__init__(exchange)
        self._when_done = when_done
        self._ticket = ticket
        self._clock = clock
        self.told: Failure | None = None

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        if isinstance(message, Answer):
            self._note(message)
            if isinstance(message, WholeAnswer):
                self._when_done(self._ticket)
        elif isinstance(message, Failure):
            self.told = message
            result = _RESULT_OF.get(message.kind)
            self._ticket.result = result or self._ticket.result
        super().send(message)

    def _note(self, answer: Answer) -> None:
        if answer.status in _SHEDDING:
            self._ticket.result = Result.REFUSED
        else:
            self._ticket.answer(self._clock.now_ms())
