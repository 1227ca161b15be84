"""When the worker on this VM is cold."""

from collections.abc import Callable
from typing import Protocol

from laburnumwood.clock import Clock
from laburnumwood.events import WORKER_COLD
from laburnumwood.metrics import WORKER_WARMING

# The first report may have been on its way when the worker ended.  The next
# one was sent after the answer to the first.
_REPORTS_AS_PROOF = 2
REPORT = 'a report of the worker'
STALE_REPORT = 'a report that counts as stale'
HEALTH_CHECK = 'an answer to a health check'
LOST_WORKER = 'the worker could not be reached'


class WarmUpTerms(Protocol):
    """How long workers of a service are cold, and what they take meanwhile."""

    @property
    def duration_ms(self) -> int:
        """Return for how long a worker is cold after its start."""

    @property
    def per_second(self) -> float:
        """Return how many requests a second a cold worker tolerates."""


TermsProvider = Callable[[], WarmUpTerms | None]


class ColdPeriod:
    """Until when the worker is cold, by the latest that is known.

    The worker counts as cold, too, while nothing shows that it is warm: before
    the first report to this process, and from when it could not be reached
    until reports show how the worker is that answers now.  `terms` returns
    those of the service, None if its workers need no warm-up.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms = clock.now_ms()
        self._reports_needed = 1
        self._is_logged = False
        self.worker_id = ''
        self.terms: TermsProvider = lambda: None

    @property
    def current_terms(self) -> WarmUpTerms | None:
        """Return the terms that hold now, None if the worker is warm."""
        is_cold = self._reports_needed or self._clock.now_ms() < self._until_ms
        return self.terms() if is_cold else None

    @property
    def left_ms(self) -> int:
        """Return for how many ms the worker is expected to stay cold."""
        terms = self.current_terms
        if terms is None:
            return 0
        left_ms = max(0, self._until_ms - self._clock.now_ms())
        return (
            max(left_ms, terms.duration_ms) if self._reports_needed else left_ms
        )

    def record_report(self, left_ms: int, *, is_new_instance: bool) -> None:
        """Record for how long the worker is cold according to its report."""
        if is_new_instance:
            self._reports_needed = 0
        else:
            self._reports_needed = max(0, self._reports_needed - 1)
        if left_ms or not self._reports_needed:
            self._until_ms = self._clock.now_ms() + left_ms
        self._report_change(REPORT)

    def record_hint(self, left_ms: int, source: str) -> None:
        """Record for how long the worker is cold if a source is right.

        An answer to a health check may be false, and a stale report may be of
        an earlier instance: only reports that count show that it is warm.
        """
        if left_ms:
            self._until_ms = self._clock.now_ms() + left_ms
            self._reports_needed = _REPORTS_AS_PROOF
            self._report_change(source)

    def record_loss(self) -> None:
        """Record that the worker could not be reached: it may have ended."""
        self._reports_needed = _REPORTS_AS_PROOF
        self._report_change(LOST_WORKER)

    def _report_change(self, source: str) -> None:
        terms = self.current_terms
        if terms is not None and not self._is_logged:
            WORKER_COLD.report(
                worker=self.worker_id,
                source=source,
                left_ms=self.left_ms,
                limit=terms.per_second,
            )
        if terms is not None or self._is_logged:
            WORKER_WARMING.record(self.left_ms)
        self._is_logged = terms is not None
