"""Tickets: the state of single requests in admission control."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

DEFAULT_CLASS = 'ordinary'


class TicketState(Enum):
    """The state of a request in admission control."""

    WAITING = 'waits for a slot'
    RUNNING = 'has a slot'
    SHED = 'was refused'
    RELEASED = 'has given its slot back'


class TicketResult(Enum):
    """The outcome of a request that had a slot."""

    NOT_SENT = 'the worker was not asked'
    SERVED = 'the worker answered'
    REFUSED = 'the worker refused it for its load'
    REJECTED = 'the worker rejected it with slots free'
    LOST = 'the worker gave no whole answer'
    UNANSWERED = 'the worker did not answer before its time was over'


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A declared class of traffic and its weight relative to other classes."""

    name: str = DEFAULT_CLASS
    weight: int = 1


def _do_nothing() -> None:
    """Do nothing."""


@dataclass(slots=True, eq=False)
class Ticket:
    """One request in admission control.

    Fields ending in `_ms` are times of the node's clock, except for the delay
    `retry_after_ms`.  A request that cannot be answered by `useful_until_ms`
    is better shed at once than kept waiting until `deadline_ms`.  `on_settled`
    is called when the request is given a slot or is shed.  `shed_by_limit` is
    the limit on the worker's request rate because of which it was shed.
    `route` tells apart requests of a class that take different times; '' if it
    is not known.  `time_class` is the name of the route or traffic class whose
    times are expected of it.  `is_call` is whether a run of another worker
    waits for the answer.
    """

    key: str
    deadline_ms: int
    useful_until_ms: int
    traffic_class: TrafficClass = TrafficClass()
    state: TicketState = TicketState.WAITING
    result: TicketResult = TicketResult.NOT_SENT
    offered_ms: int = 0
    started_ms: int = 0
    answered_ms: int | None = None
    retry_after_ms: int = 0
    shed_by_limit: float | None = None
    is_cancelled: bool = False  # no caller waits for the answer any more
    on_settled: Callable[[], None] = _do_nothing
    route: str = ''
    is_call: bool = False
    time_class: str = ''

    def start(self, now_ms: int) -> None:
        """Give the request a slot."""
        self.started_ms = now_ms
        self.state = TicketState.RUNNING
        self.on_settled()

    def answer(self, now_ms: int) -> None:
        """Record the time at which the worker's answer started."""
        self.answered_ms = now_ms
        self.result = TicketResult.SERVED

    def shed(self, retry_after_ms: int) -> None:
        """Refuse the request; its caller may retry after a delay."""
        self.retry_after_ms = retry_after_ms
        self.state = TicketState.SHED
        self.on_settled()
