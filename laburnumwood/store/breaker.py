"""A circuit breaker for calls to a store."""

from collections.abc import Callable
from typing import TypeVar

from laburnumwood.clock import Clock
from laburnumwood.errors import (
    PlatformHeldBackError,
    PlatformNotReachedError,
    PlatformRateLimitedError,
    PlatformUnavailableError,
)
from laburnumwood.events import STORE_REACHED, STORE_UNREACHABLE
from laburnumwood.store.interface import Store
from laburnumwood.store.wrapped import StoreWrapper

_MAX_FAILURES = 2  # in a row, after which the breaker opens
_PROBE_INTERVAL_MS = 700  # between two calls while the breaker is open

_Result = TypeVar('_Result')


class CircuitBreaker:
    """Decides whether to make a call, from the results of the last calls.

    Calls that were under way together when one failed count as one failure: a
    reset of all connections is no outage.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._calls = 0
        self._calls_before_failure = 0
        self._last_call_ms = 0

    @property
    def is_open(self) -> bool:
        """Return whether the last calls got no answer."""
        return self._failures >= _MAX_FAILURES

    def begin_call(self) -> int | None:
        """Return the number of a call that may be made now, else None."""
        now_ms = self._clock.now_ms()
        if self.is_open and now_ms - self._last_call_ms < _PROBE_INTERVAL_MS:
            return None
        self._last_call_ms = now_ms
        self._calls += 1
        return self._calls

    def record_answer(self) -> None:
        """Record that a call was answered."""
        self._failures = 0

    def record_failure(self, call: int) -> None:
        """Record that the call with a number was not answered."""
        if call > self._calls_before_failure:
            self._failures += 1
            self._calls_before_failure = self._calls


class CircuitBreakerStore(StoreWrapper):
    """Forwards calls to a store unless its last calls got no answer.

    A call that is not forwarded raises `PlatformNotReachedError`, like one
    that did not reach the store, and after an answer that the rate of calls was
    exceeded its subclass `PlatformHeldBackError`.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        super().__init__(store)
        self._breaker = CircuitBreaker(clock)
        self._is_rate_limited = False  # by the last failure

    def _forward(self, call: Callable[[], _Result]) -> _Result:
        number = self._breaker.begin_call()
        if number is None:
            raise self._held_back_error()
        was_open = self._breaker.is_open
        try:
            result = call()
        except PlatformUnavailableError as failure:
            self._breaker.record_failure(number)
            self._is_rate_limited = isinstance(
                failure, PlatformRateLimitedError
            )
            if self._breaker.is_open and not was_open:
                # The cause is the exception of the HTTP client, if any.
                cause = type(failure.__cause__).__name__
                STORE_UNREACHABLE.report(reason=failure, cause=cause)
            raise
        except Exception:
            self._breaker.record_answer()
            raise
        self._breaker.record_answer()
        if was_open:
            STORE_REACHED.report()
        return result

    def _held_back_error(self) -> PlatformNotReachedError:
        if self._is_rate_limited:
            return PlatformHeldBackError('circuit breaker open: too many calls')
        return PlatformNotReachedError(
            'circuit breaker open: no answer to the last calls'
        )
