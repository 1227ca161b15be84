"""The limit on its request rate that a worker announces in its answers."""

from laburnumwood.clock import Clock
from laburnumwood.events import WORKER_LIMIT
from laburnumwood.metrics import WORKER_LIMIT_RATE
from laburnumwood.upstream.signals import AnswerSignals

_LOG_INTERVAL_MS = 1_000  # least time between two log lines
_NO_LIMIT = -1  # value of the metric while there is no limit
OWN_WORKER = 'an answer of the worker'


class AnnouncedLimit:
    """The limit in force for the current instance of the worker.

    Answers may arrive in another order than they were made.  A lower limit is
    believed from every answer; a higher one, or none, only from an answer to a
    request that was sent after the present limit was last announced.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._worker_id = ''
        self._instance_since_ms = clock.now_ms()
        self._limit: float | None = None
        self._announced_ms = 0  # when the present limit was last announced
        self._heard_ms: int | None = None  # when the last answer was received
        self._logged: float | None = None
        self._logged_ms = clock.now_ms() - _LOG_INTERVAL_MS

    @property
    def per_second(self) -> float | None:
        """Return the limit in requests a second, None if there is none."""
        return self._limit

    def begin_instance(self, worker_id: str) -> None:
        """Forget the limit, because another instance of the worker started."""
        self._worker_id = worker_id
        self._instance_since_ms = self._clock.now_ms()
        self._heard_ms = None
        self._set(None, OWN_WORKER, 0)

    def record(self, signals: AnswerSignals, sent_ms: int) -> None:
        """Record what an answer says; its request was sent at `sent_ms`."""
        if sent_ms < self._instance_since_ms or signals.invalid:
            return
        now_ms = self._clock.now_ms()
        self._heard_ms = now_ms
        limit = signals.limit_per_second
        if limit is None and self._limit is None and self._logged is None:
            return
        if self._allows_more(limit) and sent_ms < self._announced_ms:
            return
        if limit is not None:
            self._announced_ms = now_ms
        self._set(limit, OWN_WORKER, now_ms - sent_ms)

    def _allows_more(self, limit: float | None) -> bool:
        if self._limit is None:
            return False
        return limit is None or limit > self._limit

    def _set(self, limit: float | None, source: str, age_ms: int) -> None:
        if limit != self._limit:
            WORKER_LIMIT_RATE.record(_NO_LIMIT if limit is None else limit)
        self._limit = limit
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._logged_ms >= _LOG_INTERVAL_MS
        if limit == self._logged or not is_due:
            return
        WORKER_LIMIT.report(
            worker=self._worker_id,
            instance_ms=now_ms - self._instance_since_ms,
            limit=limit,
            earlier=self._logged,
            source=source,
            age_ms=age_ms,
        )
        self._logged = limit
        self._logged_ms = now_ms
