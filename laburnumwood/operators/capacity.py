"""Accounting of busy and idle slots by service and capacity owner."""

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
_MAX_SAMPLES = 3_600  # at least one hour


@dataclass(frozen=True, slots=True)
class CapacityConsumer:
    """A service that uses slots, and the capacity owner that is charged."""

    service: str
    owner: str


@dataclass(frozen=True, slots=True)
class _Sample:
    """The slot-milliseconds used until a time of the node's clock."""

    at_ms: int
    used: dict[CapacityConsumer, int]


@dataclass(frozen=True, slots=True)
class Usage:
    """The slot-milliseconds of one node in a window of time.

    The sum of `used` and `idle` is the number of slots times the window.
    """

    window_ms: int
    slots: int
    used: dict[CapacityConsumer, int]

    @property
    def idle(self) -> int:
        """Return the slot-milliseconds that were not used."""
        total_used = sum(self.used.values())
        return self.slots * self.window_ms - total_used


class CapacityAccount:
    """Measures how long the slots of this node are busy for each consumer.

    Past windows are computed from samples of the totals, which are kept for
    at least an hour.
    """

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
    def occupy_slot(self, service: str) -> Iterator[None]:
        """Count one slot as busy for a service while the context is open.

        The time is charged to the capacity owner of the service, or to that
        of this node if none is declared.
        """
        declaration = self._declarations().services.get(service)
        owner = declaration.owner if declaration else None
        consumer = CapacityConsumer(service, owner or self._owner)
        self._change_running(consumer, 1)
        try:
            yield
        finally:
            self._change_running(consumer, -1)

    @property
    def idle_slots(self) -> int:
        """Return the number of slots that are idle now."""
        return max(0, self._slots - self._running.total())

    def usage(self, window_ms: int) -> Usage:
        """Return the usage in a window that ends now.

        Its length is `window_ms`, rounded up to the next sample: samples are
        at least a second apart.  It is shorter if the samples do not reach
        back that far.
        """
        self._add_elapsed_time()
        start = self._sample_at(self._updated_ms - window_ms)
        used = Counter(self._used)
        used.subtract(start.used)
        return Usage(
            window_ms=self._updated_ms - start.at_ms,
            slots=self._slots,
            used={
                consumer: slot_ms
                for consumer, slot_ms in used.items()
                if slot_ms
            },
        )

    def run(self) -> None:
        """Record samples for later windows; does not return."""
        while True:
            self._add_elapsed_time()
            eventlet.sleep(_SAMPLE_INTERVAL_MS / MS_PER_SECOND)

    def _sample_at(self, at_ms: int) -> _Sample:
        """Return the last sample up to a time, or else the oldest one."""
        for sample in reversed(self._samples):
            if sample.at_ms <= at_ms:
                return sample
        return self._samples[0]

    def _change_running(self, consumer: CapacityConsumer, change: int) -> None:
        self._add_elapsed_time()
        self._running[consumer] += change
        labels = {'service': consumer.service, 'owner': consumer.owner}
        BUSY_SLOTS.record(change, labels)

    def _add_elapsed_time(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._updated_ms
        for consumer, count in self._running.items():
            self._used[consumer] += count * elapsed_ms
        self._updated_ms = now_ms
        if now_ms - self._samples[-1].at_ms >= _SAMPLE_INTERVAL_MS:
            self._samples.append(_Sample(now_ms, dict(self._used)))
