"""A circuit breaker for calls to a store."""

from collections.abc import Callable
from typing import TypeVar

from laburnumwood.clock import Clock
from laburnumwood.errors import (
    PlatformNotReachedError,
    PlatformUnavailableError,
)
from laburnumwood.events import STORE_REACHED, STORE_UNREACHABLE
from laburnumwood.store.interface import Store
from laburnumwood.store.wrapped import StoreWrapper

_MAX_FAILURES = 2  # in a row, after which the breaker opens
_PROBE_INTERVAL_MS = 700  # between two calls while the breaker is open

_Result = TypeVar('_Result')


class CircuitBreaker:
    """Decides whether to make a call, from the results of the last calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._last_call_ms = 0

    @property
    def is_open(self) -> bool:
        """Return whether the last calls got no answer."""
        return self._failures >= _MAX_FAILURES

    def allows_call(self) -> bool:
        """Return whether a call may be made now, and record it if so."""
        now_ms = self._clock.now_ms()
        if self.is_open and now_ms - self._last_call_ms < _PROBE_INTERVAL_MS:
            return False
        self._last_call_ms = now_ms
        return True

    def record_result(self, *, answered: bool) -> None:
        """Record whether a call was answered."""
        self._failures = 0 if answered else self._failures + 1


class CircuitBreakerStore(StoreWrapper):
    """Forwards calls to a store unless its last calls got no answer.

    A call that is not forwarded raises `PlatformNotReachedError`, like one
    that did not reach the store.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        super().__init__(store)
        self._breaker = CircuitBreaker(clock)

    def _forward(self, call: Callable[[], _Result]) -> _Result:
        if not self._breaker.allows_call():
            raise PlatformNotReachedError(
                'circuit breaker open: no answer to the last calls'
            )
        was_open = self._breaker.is_open
        try:
            result = call()
        except PlatformUnavailableError as failure:
            self._breaker.record_result(answered=False)
            if self._breaker.is_open and not was_open:
                # The cause is the exception of the HTTP client, if any.
                cause = type(failure.__cause__).__name__
                STORE_UNREACHABLE.report(reason=failure, cause=cause)
            raise
        except Exception:
            self._breaker.record_result(answered=True)
            raise
        self._breaker.record_result(answered=True)
        if was_open:
            STORE_REACHED.report()
        return result
