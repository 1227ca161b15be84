"""A store that is left alone for a while when it does not answer."""

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

_FAILURES = 2  # in a row, after which it is left alone
_PAUSE_MS = 700  # between two calls that try it

_Found = TypeVar('_Found')


class CircuitBreaker:
    """Decides whether a call is made, by how the last ones went."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = 0
        self._tried_ms = 0

    @property
    def is_open(self) -> bool:
        """Tell whether the last calls had no answer."""
        return self._failures >= _FAILURES

    def allows_call(self) -> bool:
        """Tell whether a call may be made now."""
        now_ms = self._clock.now_ms()
        if self.is_open and now_ms - self._tried_ms < _PAUSE_MS:
            return False
        self._tried_ms = now_ms
        return True

    def record_result(self, *, answered: bool) -> None:
        """Take in how a call went."""
        self._failures = 0 if answered else self._failures + 1


class CircuitBreakerStore(StoreWrapper):
    """Passes calls to a store on, unless it has not answered just now.

    A call that is not passed on fails like one that did not reach the store.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        super().__init__(store)
        self._breaker = CircuitBreaker(clock)

    def _forward(self, call: Callable[[], _Found]) -> _Found:
        if not self._breaker.allows_call():
            raise PlatformNotReachedError('no answer to the last calls')
        was_open = self._breaker.is_open
        try:
            found = call()
        except PlatformUnavailableError as failure:
            self._breaker.record_result(answered=False)
            if self._breaker.is_open and not was_open:
                # The cause says why no answer came, if none did.
                cause = type(failure.__cause__).__name__
                STORE_UNREACHABLE.report(reason=failure, cause=cause)
            raise
        except Exception:
            self._breaker.record_result(answered=True)
            raise
        self._breaker.record_result(answered=True)
        if was_open:
            STORE_REACHED.report()
        return found
