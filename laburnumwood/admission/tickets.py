"""What is decided about one request that asks to be let in."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

ORDINARY = 'ordinary'


class TicketState(Enum):
    """How far a request has come."""

    WAITING = 'waits for a slot'
    RUNNING = 'has a slot'
    SHED = 'was refused'
    RELEASED = 'has given its slot back'


class TicketResult(Enum):
    """What became of a request that had a slot."""

    NOT_SENT = 'the worker was not asked'
    SERVED = 'the worker answered'
    REFUSED = 'the worker refused it for its load'
    REJECTED = 'the worker rejected it with slots free'
    LOST = 'the worker gave no whole answer'


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A declared class of traffic and its weight against the others."""

    name: str = ORDINARY
    weight: int = 1


def _ignore() -> None:
    """Tell nobody."""


@dataclass(slots=True, eq=False)
class Ticket:
    """One request at the gate; `deadline_ms` is a moment of the clock.

    One that can't be answered by `useful_until_ms` is better sent away at
    once than kept waiting.
    """

    key: str
    deadline_ms: int
    useful_until_ms: int
    traffic_class: TrafficClass = TrafficClass()
    state: TicketState = TicketState.WAITING
    result: TicketResult = TicketResult.NOT_SENT
    started_ms: int = 0
    answered_ms: int | None = None
    retry_after_ms: int = 0
    is_cancelled: bool = False  # nobody waits for the answer any more
    on_settled: Callable[[], None] = _ignore

    def start(self, now_ms: int) -> None:
        """Give the request a slot."""
        self.started_ms = now_ms
        self.state = TicketState.RUNNING
        self.on_settled()

    def answer(self, now_ms: int) -> None:
        """Note when the worker's answer began."""
        self.answered_ms = now_ms
        self.result = TicketResult.SERVED

    def shed(self, retry_after_ms: int) -> None:
        """Refuse the request; its caller may come again after a time."""
        self.retry_after_ms = retry_after_ms
        self.state = TicketState.SHED
        self.on_settled()
