"""What admission learns from the answers that pass the gate."""

from typing import Any

from laburnumwood.admission.tickets import Result, Ticket
from laburnumwood.clock import Clock
from laburnumwood.protocol.messages import Answer, Failure
from laburnumwood.routing.exchange import Exchange, WrappedExchange

_SHEDDING = frozenset((429, 503))
_RESULT_OF = {
    'refused': Result.REFUSED,
    'rejected': Result.REJECTED,
    'worker-cut': Result.LOST,
    'worker-unreachable': Result.LOST,
}


class ObservedExchange(WrappedExchange):
    """An exchange that notes on a ticket how its request went."""

    def __init__(
        self, exchange: Exchange, ticket: Ticket, clock: Clock
    ) -> None:
        super().__init__(exchange)
        self._ticket = ticket
        self._clock = clock
        self.told: Failure | None = None

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        if isinstance(message, Answer):
            self._note(message)
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
