"""Workers that have deregistered, for reports that arrive later."""

from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.upstream.reports import WorkerReport

_KEPT_MS = 60_000  # longer than a worker goes on, or a report is held up


@dataclass(frozen=True, slots=True)
class _Deregistration:
    since_ms: int
    wall_ms: int  # on the clock by which instances of the worker start


class Deregistrations:
    """When workers deregistered, by their ids.

    A report of an instance that has deregistered may arrive after that, and be
    the first one that this process hears.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[str, _Deregistration] = {}

    def record(self, worker_id: str) -> None:
        """Record that a worker has deregistered now."""
        now_ms = self._clock.now_ms()
        self._by_id = {
            each: known
            for each, known in self._by_id.items()
            if now_ms - known.since_ms < _KEPT_MS
        }
        self._by_id.setdefault(
            worker_id, _Deregistration(now_ms, self._clock.wall_ms())
        )

    def since_ms(self, report: WorkerReport) -> int | None:
        """Return when the sender of a report deregistered, None if it did not.

        An instance that started later, under the same id, is another one.
        """
        known = self._by_id.get(report.worker_id)
        if known is None or report.started_ms > known.wall_ms:
            return None
        age_ms = self._clock.now_ms() - known.since_ms
        return known.since_ms if age_ms < _KEPT_MS else None
