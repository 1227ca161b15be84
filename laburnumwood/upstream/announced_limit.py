"""The limit on its request rate that a worker announces in its answers."""

from laburnumwood.admission.rate_limiter import RateLimiter
from laburnumwood.clock import Clock
from laburnumwood.events import WORKER_LIMIT
from laburnumwood.metrics import WORKER_LIMIT_RATE

_LOG_INTERVAL_MS = 1_000  # least time between two log lines
_NO_LIMIT = -1  # value of the metric while there is no limit
# A limit of which nothing was heard for so long is not told to others: only
# requests can show that it has ended.
_MAX_SILENCE_MS = 10_000
ANSWER = 'an answer of the worker'
OTHER_NODE = 'another node'


class AnnouncedLimit:
    """The limit in force for the current instance of the worker.

    `rate_limiter` enforces it for all requests that this process sends.
    Answers may arrive in another order than they were made.  A lower limit is
    believed from every answer; a higher one, or none, only from an answer to a
    request that was sent after the present limit was last announced.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._worker_id = ''
        self._instance_since_ms = clock.now_ms()
        self.rate_limiter = RateLimiter(clock)
        self._announced_ms = 0  # when the present limit was last announced
        self._is_heard = False
        self._logged: float | None = None
        self._logged_ms = clock.now_ms() - _LOG_INTERVAL_MS

    @property
    def per_second(self) -> float | None:
        """Return the limit in requests a second, None if there is none."""
        return self.rate_limiter.limit

    @property
    def recent_per_second(self) -> float | None:
        """Return the limit, None if nothing was heard of it for long."""
        silent_ms = self._clock.now_ms() - self._announced_ms
        return self.per_second if silent_ms < _MAX_SILENCE_MS else None

    @property
    def is_heard(self) -> bool:
        """Return whether an answer of the current instance was received."""
        return self._is_heard

    def begin_instance(self, worker_id: str) -> None:
        """Forget the limit, because another instance of the worker started."""
        self._worker_id = worker_id
        self._instance_since_ms = self._clock.now_ms()
        self._is_heard = False
        self._set(None, ANSWER, 0)

    def record(self, limit: float | None, sent_ms: int) -> None:
        """Record the limit in an answer; its request was sent at `sent_ms`."""
        now_ms = self._clock.now_ms()
        self._is_heard = True
        current = self.per_second
        if limit is None and current is None and self._logged is None:
            return
        if self._allows_more(limit) and sent_ms < self._announced_ms:
            return
        if limit is not None:
            self._announced_ms = now_ms
        self._set(limit, ANSWER, now_ms - sent_ms)

    def adopt(self, limit: float) -> None:
        """Adopt a limit that another node has heard of.

        It knows more only as long as this process has heard no answer of the
        current instance of the worker.
        """
        if not self._is_heard and self._allows_less(limit):
            self._announced_ms = self._clock.now_ms()
            self._set(limit, OTHER_NODE, 0)

    def _allows_less(self, limit: float) -> bool:
        current = self.per_second
        return current is None or limit < current

    def _allows_more(self, limit: float | None) -> bool:
        current = self.per_second
        if current is None:
            return False
        return limit is None or limit > current

    def _set(self, limit: float | None, source: str, age_ms: int) -> None:
        if limit != self.per_second:
            WORKER_LIMIT_RATE.record(_NO_LIMIT if limit is None else limit)
        self.rate_limiter.limit = limit
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
