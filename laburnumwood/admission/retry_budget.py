"""A budget that limits retries to a small share of the requests."""

from collections import deque
from dataclasses import dataclass

from laburnumwood.clock import Clock

_WINDOW_MS = 10_000
_SLICE_MS = 500
_MIN_RETRIES = 2  # allowed in each window, however few requests there are


@dataclass(slots=True)
class _Slice:
    number: int
    requests: int = 0
    retries: int = 0


class RetryBudgets:
    """A separate budget for each service, since each is overloaded by itself.

    `share` is the highest allowed ratio of retries to requests.
    """

    def __init__(self, share: float, clock: Clock) -> None:
        self._share = share
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> 'RetryBudget':
        """Return the budget of a service, created on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._share, self._clock)
            self._budgets[service] = budget
        return budget


class RetryBudget:
    """Allows retries while they are at most a share of the requests.

    Both are counted over the same sliding window, so that neither a past
    burst of requests nor a present burst of retries can exceed the share.
    """

    def __init__(self, share: float, clock: Clock) -> None:
        self._share = share
        self._clock = clock
        self._slices: deque[_Slice] = deque()

    def record_request(self) -> None:
        """Count the first attempt of a request."""
        self._current().requests += 1

    def try_retry(self) -> bool:
        """Return whether a retry is allowed, and count it if it is."""
        current = self._current()
        requests = sum(each.requests for each in self._slices)
        retries = sum(each.retries for each in self._slices)
        if retries + 1 > requests * self._share + _MIN_RETRIES:
            return False
        current.retries += 1
        return True

    def _current(self) -> _Slice:
        number = self._clock.now_ms() // _SLICE_MS
        while self._slices and self._has_left_window(self._slices[0], number):
            self._slices.popleft()
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        return self._slices[-1]

    def _has_left_window(self, each: _Slice, number: int) -> bool:
        return each.number <= number - _WINDOW_MS // _SLICE_MS
