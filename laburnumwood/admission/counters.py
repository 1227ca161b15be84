"""How much a gate carried and sent away lately."""

from dataclasses import dataclass

from laburnumwood.clock import Clock


@dataclass(frozen=True, slots=True)
class AdmissionSummary:
    """What a gate did in a span of time; `busy` is the mean of its slots."""

    busy: float
    let_in: int
    shed: int

    @property
    def is_empty(self) -> bool:
        """Tell whether no request came and none ran."""
        return not (self.busy or self.let_in or self.shed)


class AdmissionCounters:
    """Sums of what passed a gate since they were taken last."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running = 0
        self._busy_ms = 0
        self._let_in = 0
        self._shed = 0
        self._begun_ms = clock.now_ms()
        self._since_ms = self._begun_ms

    def record_admitted(self) -> None:
        """Count a request that got a slot."""
        self._advance()
        self._running += 1
        self._let_in += 1

    def record_released(self) -> None:
        """Count a request that gave its slot back."""
        self._advance()
        self._running -= 1

    def record_shed(self) -> None:
        """Count a request that was sent away."""
        self._shed += 1

    def collect(self) -> AdmissionSummary:
        """Return the sums, and begin anew."""
        self._advance()
        span_ms = max(1, self._since_ms - self._begun_ms)
        carried = AdmissionSummary(
            self._busy_ms / span_ms, self._let_in, self._shed
        )
        self._busy_ms = 0
        self._let_in = 0
        self._shed = 0
        self._begun_ms = self._since_ms
        return carried

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        self._busy_ms += self._running * (now_ms - self._since_ms)
        self._since_ms = now_ms
