"""Counters of the requests that were admitted and shed."""

from dataclasses import dataclass

from laburnumwood.clock import Clock


@dataclass(frozen=True, slots=True)
class AdmissionSummary:
    """The requests of one interval.

    `busy` is the mean number of busy slots, `admitted` the number of admitted
    and `shed` the number of shed requests.
    """

    busy: float
    admitted: int
    shed: int

    @property
    def is_empty(self) -> bool:
        """Return whether no request arrived or ran in the interval."""
        return not (self.busy or self.admitted or self.shed)


class AdmissionCounters:
    """Counts requests in the interval since the last `collect`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running = 0
        self._busy_ms = 0
        self._admitted = 0
        self._shed = 0
        self._interval_start_ms = clock.now_ms()
        self._updated_ms = self._interval_start_ms

    def record_admitted(self) -> None:
        """Count a request that was given a slot."""
        self._advance()
        self._running += 1
        self._admitted += 1

    def record_released(self) -> None:
        """Count a request that released its slot."""
        self._advance()
        self._running -= 1

    def record_shed(self) -> None:
        """Count a request that was shed."""
        self._shed += 1

    def collect(self) -> AdmissionSummary:
        """Return the counts of the interval and start the next one."""
        self._advance()
        span_ms = max(1, self._updated_ms - self._interval_start_ms)
        summary = AdmissionSummary(
            self._busy_ms / span_ms, self._admitted, self._shed
        )
        self._busy_ms = 0
        self._admitted = 0
        self._shed = 0
        self._interval_start_ms = self._updated_ms
        return summary

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        self._busy_ms += self._running * (now_ms - self._updated_ms)
        self._updated_ms = now_ms
