"""Instances of the worker that have said that they are about to end."""

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.notifier import Notifier
from laburnumwood.records import WorkerDeparture

# Longer than a worker goes on, or a report is held up.
_UNCERTAIN_KEPT_MS = 60_000
_MAX_KEPT = 4  # workers of one VM


@dataclass(frozen=True, slots=True)
class _Known:
    departure: WorkerDeparture
    since_ms: int
    heard_ms: int


class Departures:
    """The last workers that have left, by their ids.

    A report of an instance that has left may arrive after that, and be the
    first one that this process hears.  An earlier process of the node may have
    been told of the departure: it has left it in the node's record.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_id: dict[str, _Known] = {}
        self.changes = Notifier()
        self.recorded: tuple[WorkerDeparture, ...] = ()  # in the node's record

    @property
    def known(self) -> tuple[WorkerDeparture, ...]:
        """Return the departures that are known, in the order of hearing."""
        return tuple(each.departure for each in self._by_id.values())

    @property
    def are_recorded(self) -> bool:
        """Return whether the node's record has all departures."""
        return self.recorded == self.known

    def record(self, worker_id: str, started_ms: int | None) -> None:
        """Record that a worker has said now that it is about to end.

        `started_ms` is the start time of the instance, None if not known.
        """
        earlier = self._by_id.get(worker_id)
        if earlier is not None and self._is_of(earlier, started_ms):
            return
        self._by_id.pop(worker_id, None)
        now_ms = self._clock.now_ms()
        departure = WorkerDeparture(
            worker_id, started_ms, self._clock.wall_ms()
        )
        self._by_id[worker_id] = _Known(departure, now_ms, now_ms)
        while len(self._by_id) > _MAX_KEPT:
            self._by_id.pop(next(iter(self._by_id)))
        self.changes.notify_all()

    def adopt(
        self, departures: Iterable[WorkerDeparture], known_for_ms: int
    ) -> None:
        """Add what an earlier process has recorded `known_for_ms` ago or more.

        What this process has heard itself takes precedence.
        """
        now_ms = self._clock.now_ms()
        adopted = {
            each.worker_id: _Known(each, now_ms - known_for_ms, now_ms)
            for each in departures
        }
        heard = tuple((adopted | self._by_id).items())
        self._by_id = dict(heard[-_MAX_KEPT:])

    def since_ms(self, worker_id: str, started_ms: int) -> int | None:
        """Return since when an instance is leaving, None if it is not."""
        known = self._by_id.get(worker_id)
        if known is None or not self._is_of(known, started_ms):
            return None
        return known.since_ms

    def _is_of(self, known: _Known, started_ms: int | None) -> bool:
        """Return whether a departure is that of an instance.

        If its start was not known, it is one that started before it was heard
        of, as the VM's clock shows: not for long, as that may be set back.
        """
        departure = known.departure
        if started_ms is None or departure.started_ms is not None:
            return started_ms == departure.started_ms
        age_ms = self._clock.now_ms() - known.heard_ms
        return started_ms <= departure.said_ms and age_ms < _UNCERTAIN_KEPT_MS
