"""The planned stop of a node."""

from collections.abc import Callable

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.daemon.incarnation import Incarnation
from laburnumwood.daemon.unfinished import UnfinishedIncarnations
from laburnumwood.events import NODE_LEFT, NODE_STOPPING
from laburnumwood.routing.server import HttpListener
from laburnumwood.settings import DaemonSettings
from laburnumwood.tasks import start_joinable

_POLL_MS = 20


class PlannedStop:
    """Hands all shards over, and lets requests that were read be answered.

    Answers that are still on their way when its time is over get the rest of
    the time until the process would be killed.

    `begin` may be called at any time, `run` once after it.
    """

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._since_ms: int | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the node is stopping."""
        return self._since_ms is not None

    def begin(self) -> None:
        """Begin, unless that was done before."""
        if self._since_ms is None:
            self._since_ms = self._clock.now_ms()

    def run(
        self,
        incarnation: Incarnation,
        unfinished: UnfinishedIncarnations,
        callers: HttpListener | None,
    ) -> None:
        """End the last incarnation and the listener for callers."""
        NODE_STOPPING.report(node=incarnation.name)
        # Requests that were read are answered meanwhile: a long move of shards
        # takes none of their time.
        closing = start_joinable(self._close_later, callers)
        incarnation.hand_over(self._left_ms())
        self._await(lambda: closing.dead, self._left_ms)
        # While the store is unreachable, peers may not know yet that this node
        # leaves, and go on sending requests.
        incarnation.gate.close()
        self._end(incarnation, unfinished)
        self._await(
            lambda: closing.dead and not incarnation.is_busy,
            self._left_for_answers_ms,
        )
        incarnation.close()
        NODE_LEFT.report(node=incarnation.name)

    def close(self, callers: HttpListener | None) -> None:
        """Close the listener, once callers that have connected are answered."""
        if callers is not None:
            callers.close(self._left_for_answers_ms())

    def _end(
        self, incarnation: Incarnation, unfinished: UnfinishedIncarnations
    ) -> None:
        """Record the ends of the incarnations that finish in time."""
        self._await(
            lambda: incarnation.has_finished and unfinished.have_finished,
            self._left_ms,
        )
        unfinished.record_ends(incarnation)
        incarnation.deactivate()

    def _await(
        self, check: Callable[[], bool], left_ms: Callable[[], int]
    ) -> None:
        """Wait until a check holds, or no time is left."""
        while not check() and left_ms():
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)

    def _close_later(self, callers: HttpListener | None) -> None:
        """Close the listener once callers know that the node is stopping."""
        left_ms = self._settings.stop_linger_ms - self._elapsed_ms()
        eventlet.sleep(max(0, left_ms) / MS_PER_SECOND)
        self.close(callers)

    def _elapsed_ms(self) -> int:
        now_ms = self._clock.now_ms()
        return now_ms - (self._since_ms or now_ms)

    def _left_ms(self) -> int:
        return max(0, self._settings.stop_limit_ms - self._elapsed_ms())

    def _left_for_answers_ms(self) -> int:
        return max(0, self._settings.last_answer_ms - self._elapsed_ms())
