"""Exchanges from which the balancer learns how nodes answer."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from laburnumwood.balancing.avoidance import ALL_RANKS, AVOID_MS
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.balancing.tries import Try
from laburnumwood.errors import CallerDisconnectedError, LinkError
from laburnumwood.protocol.messages import Answer, Failure
from laburnumwood.routing.exchange import OutgoingExchange

_OVERLOAD_STATUSES = frozenset((429, 503))


class TrackedExchange:
    """An exchange whose try counts as in flight until it is closed.

    The balancer learns the time of its answer, and avoids a node that failed.
    """

    def __init__(
        self,
        exchange: OutgoingExchange,
        tracked: Try,
        balancer: RequestBalancer,
    ) -> None:
        self._exchange = exchange
        self._try = tracked
        self._balancer = balancer
        self._is_answered = False

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        self._exchange.send(message)

    def receive(self, timeout_ms: int) -> Any:
        """Return the next message; raises a `LinkError`."""
        try:
            message = self._exchange.receive(timeout_ms)
        except CallerDisconnectedError:
            self._learn_unanswered()
            raise
        except LinkError:
            self._learn_unanswered()
            self._balancer.avoid(self._try.target, AVOID_MS)
            raise
        if isinstance(message, Failure):
            self._learn_failure(message)
        elif isinstance(message, Answer):
            self._learn_answer(message.status)
        return message

    def set_message_handler(self, handler: Callable[[], None] | None) -> None:
        """Set what is done at the next message or when the link ends."""
        self._exchange.set_message_handler(handler)

    def fail(self, reason: LinkError) -> None:
        """Let all that waits on the exchange fail."""
        self._exchange.fail(reason)

    def close(self) -> None:
        """Close this side of the exchange and stop counting it."""
        self._balancer.end(self._try)
        self._exchange.close()

    def _learn_failure(self, failure: Failure) -> None:
        if failure.ran:
            self._learn_unanswered()
        duration_ms = max(failure.retry_after_ms, AVOID_MS)
        # There may be room for what is more urgent.
        is_full = failure.kind == 'overloaded'
        rank = self._try.rank if is_full else ALL_RANKS
        self._balancer.avoid(self._try.target, duration_ms, rank)

    def _learn_answer(self, status: int) -> None:
        self._is_answered = True
        if status in _OVERLOAD_STATUSES:
            self._balancer.avoid(self._try.target, AVOID_MS)
        elif status < HTTPStatus.BAD_REQUEST:
            # Errors come sooner than answers, and tell nothing of the time.
            self._balancer.record_answer(self._try)

    def _learn_unanswered(self) -> None:
        if not self._is_answered:
            self._balancer.record_unanswered(self._try)
