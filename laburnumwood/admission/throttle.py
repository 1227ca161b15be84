"""Rejecting requests at the door while their gates reject most of them.

Adaptive throttling: B. Beyer and others, "Site Reliability Engineering",
chapter 21, 2016.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from random import Random

from laburnumwood.clock import Clock
from laburnumwood.decay import weight_of_age

_HALF_LIFE_MS = 1_000
# Gates get so many requests for each that they admit: enough to notice soon
# that they admit more.
_SENT_PER_ADMITTED = 2
# Some are sent however few were admitted: only these tell of a change.
_MAX_REJECTED = 0.8
_MIN_REQUESTS = 10  # too few tell nothing
_MAX_ENTRIES = 4_096


@dataclass(slots=True)
class _Counts:
    requests: float = 0
    admitted: float = 0
    updated_ms: int = 0
    retry_after_ms: int = 0

    def decay(self, now_ms: int) -> None:
        kept = weight_of_age(now_ms - self.updated_ms, _HALF_LIFE_MS)
        self.requests *= kept
        self.admitted *= kept
        self.updated_ms = now_ms

    @property
    def rejection_probability(self) -> float:
        if self.requests < _MIN_REQUESTS:
            return 0
        excess = self.requests - _SENT_PER_ADMITTED * self.admitted
        return min(_MAX_REJECTED, max(0, excess / (self.requests + 1)))


class AdaptiveThrottle:
    """Decides which requests are not even sent to a gate.

    Requests that share a gate's decision have the same `target`.
    """

    def __init__(self, random: Random, clock: Clock) -> None:
        self._random = random
        self._clock = clock
        self._targets: dict[Hashable, _Counts] = {}

    def rejects(self, target: Hashable) -> int | None:
        """Return the delay in ms before a retry, None to send a request.

        A request that is rejected counts like one that a gate has rejected.
        """
        counts = self._targets.get(target)
        if counts is None:
            return None
        counts.decay(self._clock.now_ms())
        if self._random.random() >= counts.rejection_probability:
            return None
        counts.requests += 1
        return counts.retry_after_ms

    def record_admitted(self, target: Hashable) -> None:
        """Record that a gate has admitted a request."""
        counts = self._targets.get(target)
        if counts is not None:
            counts.decay(self._clock.now_ms())
            counts.requests += 1
            counts.admitted += 1

    def record_rejected(self, target: Hashable, retry_after_ms: int) -> None:
        """Record that a gate has rejected a request for its load."""
        counts = self._targets.get(target)
        if counts is None:
            counts = self._new_counts(target)
        counts.decay(self._clock.now_ms())
        counts.requests += 1
        counts.retry_after_ms = retry_after_ms

    def _new_counts(self, target: Hashable) -> _Counts:
        if len(self._targets) >= _MAX_ENTRIES:
            self._targets.pop(next(iter(self._targets)))
        counts = _Counts(updated_ms=self._clock.now_ms())
        self._targets[target] = counts
        return counts
