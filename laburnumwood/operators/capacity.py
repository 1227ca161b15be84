"""What each owner's capacity carried, and what lay idle."""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.declarations import Declarations
from laburnumwood.metrics import BUSY_SLOTS
from laburnumwood.settings import DaemonSettings

_SAMPLE_INTERVAL_MS = 1_000
_MAX_SAMPLES = 3_600


@dataclass(frozen=True, slots=True)
class CapacityConsumer:
    """The service that was served, and the capacity owner it counts for."""

    service: str
    owner: str


@dataclass(frozen=True, slots=True)
class _Sample:
    at_ms: int
    used: dict[CapacityConsumer, int]


@dataclass(frozen=True, slots=True)
class Usage:
    """Slot-milliseconds of one node over a window.

    `used` and `idle` add up to the slots times the window.
    """

    window_ms: int
    slots: int
    used: dict[CapacityConsumer, int]

    @property
    def idle(self) -> int:
        """Return the slot-milliseconds that carried nothing."""
        carried = sum(self.used.values())
        return self.slots * self.window_ms - carried


class CapacityAccount:
    """Counts the time that the slots of this node are busy, and for whom."""

    def __init__(
        self,
        settings: DaemonSettings,
        declarations: Callable[[], Declarations],
        clock: Clock,
    ) -> None:
        self._slots = settings.slots
        self._owner = settings.capacity_owner
        self._declarations = declarations
        self._clock = clock
        self._running: Counter[CapacityConsumer] = Counter()
        self._used: Counter[CapacityConsumer] = Counter()
        self._updated_ms = clock.now_ms()
        self._samples = deque((_Sample(self._updated_ms, {}),), _MAX_SAMPLES)

    @contextmanager
    def busy(self, service: str) -> Iterator[None]:
        """Count a slot as busy for a service while the context lasts."""
        declared = self._declarations().services.get(service)
        owner = declared.owner if declared else None
        served = CapacityConsumer(service, owner or self._owner)
        self._change_running(served, 1)
        try:
            yield
        finally:
            self._change_running(served, -1)

    @property
    def idle_slots(self) -> int:
        """Return how many slots carry nothing now."""
        return max(0, self._slots - self._running.total())

    def usage(self, window_ms: int) -> Usage:
        """Return the usage over a window that ends now.

        It is as long as asked for, to a second, or as long as is known.
        """
        self._add_elapsed_time()
        start = self._sample_at(self._updated_ms - window_ms)
        used = Counter(self._used)
        used.subtract(start.used)
        return Usage(
            window_ms=self._updated_ms - start.at_ms,
            slots=self._slots,
            used={served: spent for served, spent in used.items() if spent},
        )

    def run(self) -> None:
        """Keep samples for later windows; does not return."""
        while True:
            self._add_elapsed_time()
            eventlet.sleep(_SAMPLE_INTERVAL_MS / MS_PER_SECOND)

    def _sample_at(self, at_ms: int) -> _Sample:
        for sample in reversed(self._samples):
            if sample.at_ms <= at_ms:
                return sample
        return self._samples[0]

    def _change_running(self, served: CapacityConsumer, change: int) -> None:
        self._add_elapsed_time()
        self._running[served] += change
        labels = {'service': served.service, 'owner': served.owner}
        BUSY_SLOTS.record(change, labels)

    def _add_elapsed_time(self) -> None:
        now_ms = self._clock.now_ms()
        passed_ms = now_ms - self._updated_ms
        for served, count in self._running.items():
            self._used[served] += count * passed_ms
        self._updated_ms = now_ms
        if now_ms - self._samples[-1].at_ms >= _SAMPLE_INTERVAL_MS:
            self._samples.append(_Sample(now_ms, dict(self._used)))
