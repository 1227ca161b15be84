"""Simulated workers that report to the nodes on their VMs."""

from collections.abc import Iterator, Mapping
from dataclasses import replace

from laburnumwood.placement.sharding import KEY_SPACE
from laburnumwood.records import KeyRange
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import GrantReply, HeldRange, WorkerReport
from tests.fences import FenceHistory, Taking
from tests.ownership.clocks import STEP_MS, DriftingClock, SimulatedTime
from tests.ownership.keys import Row, find_shared_keys

_SETTINGS = ReportSettings()
_REPORT_INTERVAL_MS = 1_000
_DELAY_AFTER_RELEASE_MS = 100  # from a release of keys to its report
_MAX_SLOWDOWN = 1 / (1 - _SETTINGS.clock_drift)  # of the worker's clock


class TwoHoldersError(AssertionError):
    """The workers of two VMs hold the same key at the same time."""


def _overlap(keys: KeyRange, other: KeyRange) -> bool:
    return keys.first <= other.last and other.first <= keys.last


class FakeWorker:
    """One life of a worker.

    It holds the ranges it was granted until they expire by its slow clock,
    and accepts no token below one that it has seen for the same key.
    """

    def __init__(
        self,
        worker_id: str,
        started_ms: int,
        time: SimulatedTime,
        phase_ms: int,
    ) -> None:
        self._worker_id = worker_id
        self._started_ms = started_ms
        self._time = time
        self._sequence_number = 0
        self._next_report_ms = time.now_ms + phase_ms
        self._held: dict[KeyRange, HeldRange] = {}
        self._seen: dict[KeyRange, int] = {}
        self._granted_until_ms: float = 0

    def held_now(self) -> tuple[HeldRange, ...]:
        """Return the ranges that the worker holds now."""
        is_granted = self._time.now_ms < self._granted_until_ms
        return tuple(self._held.values()) if is_granted else ()

    def due_report(self) -> WorkerReport | None:
        """Return the report that is due now, or None."""
        if self._time.now_ms < self._next_report_ms:
            return None
        self._next_report_ms = self._time.now_ms + _REPORT_INTERVAL_MS
        self._sequence_number += 1
        if self._time.now_ms >= self._granted_until_ms:
            self._held.clear()
        return WorkerReport(
            worker_id=self._worker_id,
            service='s',
            started_ms=self._started_ms,
            sequence_number=self._sequence_number,
            slots=1,
            is_leaving=False,
            held=tuple(self._held.values()),
        )

    def apply_reply(self, reply: GrantReply) -> tuple[HeldRange, ...]:
        """Hold what the reply to a report grants; return what is held then."""
        if reply.ranges is None:
            return ()
        previous = set(self._held)
        self._held = {
            each.keys: HeldRange(each.keys, each.token)
            for each in reply.ranges
            if self._accepts(each.keys, each.token)
        }
        for held in self._held.values():
            self._seen[held.keys] = held.token
        self._granted_until_ms = (
            self._time.now_ms + reply.duration_ms * _MAX_SLOWDOWN
        )
        if previous - set(self._held):
            self._next_report_ms = self._time.now_ms + _DELAY_AFTER_RELEASE_MS
        return tuple(self._held.values())

    def _accepts(self, keys: KeyRange, token: int) -> bool:
        return all(
            seen <= token
            for known, seen in self._seen.items()
            if _overlap(known, keys)
        )


class SimulatedWorkers:
    """The workers of all VMs, and the state of each in its node process.

    A worker can die and begin another life, by default under the same id.
    Each life takes keys only under tokens above those of all other lives.
    """

    def __init__(
        self,
        time: SimulatedTime,
        clocks: Mapping[str, DriftingClock],
        script: list[str],
        reporting_class: type[ReportingWorker] = ReportingWorker,
    ) -> None:
        self._time = time
        self._reporting_class = reporting_class
        self._clocks = clocks
        self._script = script
        self._history = FenceHistory()
        self._lives = dict.fromkeys(clocks, 0)
        self._ids = {vm: vm for vm in clocks}
        self._clock_steps_ms = dict.fromkeys(clocks, 0)
        self._delivery = dict.fromkeys(clocks, 'up')
        self._late_reports: dict[str, list[WorkerReport]] = {}
        # Those whose worker has got an answer of the process that runs.
        self._answered: set[str] = set()
        self.reporting_workers: dict[str, ReportingWorker] = {}
        self._workers: dict[str, FakeWorker] = {}
        for number, vm in enumerate(clocks):
            self.start(vm, number * _REPORT_INTERVAL_MS // len(clocks))

    def start_process(self, vm: str) -> None:
        """Replace a VM's process by one without any state of the worker."""
        self._answered.discard(vm)
        self.reporting_workers[vm] = self._reporting_class(
            _SETTINGS, self._clocks[vm]
        )

    def start(self, vm: str, phase_ms: int = 0) -> None:
        """Begin another life of the worker, which reports after `phase_ms`."""
        self._lives[vm] += 1
        self._answered.discard(vm)
        # Lives begin at any millisecond, not only where a step ends.
        passed_ms = self._lives[vm] % STEP_MS
        started_ms = self._time.now_ms + self._clock_steps_ms[vm] + passed_ms
        self._workers[vm] = FakeWorker(
            self._ids[vm], started_ms, self._time, phase_ms
        )

    def kill(self, vm: str) -> None:
        """Let the worker die; it holds nothing any more."""
        self._workers.pop(vm, None)

    def is_running(self, vm: str) -> bool:
        """Return whether a worker runs on a VM."""
        return vm in self._workers

    def change_id(self, vm: str) -> None:
        """Give the next life of the worker an id of its own."""
        self._ids[vm] = f'{vm}-{self._lives[vm]}'

    def step_clock(self, vm: str, step_ms: int) -> None:
        """Step the clock by which a VM's lives are told apart."""
        self._clock_steps_ms[vm] += step_ms

    def set_delivery(self, vm: str, delivery: str) -> None:
        """Set what becomes of the reports of a VM's worker from now on.

        `up`: they are answered, `lost`: they do not arrive, `unanswered`:
        they arrive, and the answers are lost, `late`: they arrive when
        `deliver_late` is called, and the answers are lost.
        """
        self._delivery[vm] = delivery

    def deliver_late(self, vm: str, order: str) -> None:
        """Deliver late reports, 'in-order' or 'reversed'."""
        reports = self._late_reports.pop(vm, [])
        if order == 'reversed':
            reports.reverse()
        for report in reports:
            self.reporting_workers[vm].handle_report(report)

    def step(self, running: set[str]) -> None:
        """Send the reports that are due; only running nodes answer."""
        for vm, worker in self._workers.items():
            report = worker.due_report()
            if report is not None:
                self._deliver(vm, worker, report, is_running=vm in running)

    def check_holders(self) -> None:
        """Raise `TwoHoldersError` if several workers hold a key now."""
        shared = find_shared_keys(self._rows())
        if shared:
            raise TwoHoldersError(f'{shared} {self._script}')

    def are_all_keys_held(self) -> bool:
        """Return whether some worker holds each key."""
        return sum(keys.last - keys.first + 1 for keys, _ in self._rows()) == (
            KEY_SPACE
        )

    def _rows(self) -> Iterator[Row]:
        for vm, worker in self._workers.items():
            for held in worker.held_now():
                yield held.keys, vm

    def _deliver(
        self,
        vm: str,
        worker: FakeWorker,
        report: WorkerReport,
        *,
        is_running: bool,
    ) -> None:
        if self._delivery[vm] == 'late':
            self._late_reports.setdefault(vm, []).append(report)
        elif is_running and self._delivery[vm] != 'lost':
            self._exchange(vm, worker, report)
            return
        self._answered.discard(vm)  # the worker gives the connection up

    def _exchange(
        self, vm: str, worker: FakeWorker, report: WorkerReport
    ) -> None:
        reply = self.reporting_workers[vm].handle_report(
            replace(report, follows_answer=vm in self._answered)
        )
        if self._delivery[vm] == 'unanswered':
            self._answered.discard(vm)
            return
        self._answered.add(vm)
        life = f'{vm}#{self._lives[vm]}'
        for held in worker.apply_reply(reply):
            taking = Taking(life, held.keys.first, held.keys.last, held.token)
            self._history.check(taking, self._script)
