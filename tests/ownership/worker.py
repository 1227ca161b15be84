"""Simulated workers that report to the nodes on their VMs."""

from laburnumwood.records import KeyRange, ShardName
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import HeldRange, WorkerReport
from tests.ownership.clocks import DriftingClock, SimulatedTime

_SETTINGS = ReportSettings()
_REPORT_INTERVAL_MS = 1_000
_DELAY_AFTER_RELEASE_MS = 100  # from a release of keys to its report
_MAX_SLOWDOWN = 1 / (1 - _SETTINGS.clock_drift)  # of the worker's clock
_KEYS_PER_SHARD = 10


class TwoHoldersError(AssertionError):
    """The workers of two VMs hold the same shard at the same time."""


def shard_keys(shard: ShardName) -> KeyRange:
    """Return the keys of a shard of the simulation."""
    first = shard.number * _KEYS_PER_SHARD
    return KeyRange(first, first + _KEYS_PER_SHARD - 1)


class FakeWorker:
    """Holds the ranges it was granted until they expire by its slow clock."""

    def __init__(self, vm: str, time: SimulatedTime, phase_ms: int) -> None:
        self._vm = vm
        self._time = time
        self._sequence_number = 0
        self._next_report_ms = time.now_ms + phase_ms
        self._held: dict[int, HeldRange] = {}
        self._granted_until_ms: float = 0

    def holds(self, shard: ShardName) -> bool:
        """Return whether the worker holds a shard now."""
        is_granted = self._time.now_ms < self._granted_until_ms
        return is_granted and shard_keys(shard).first in self._held

    def step(self, node: ReportingWorker | None) -> None:
        """Send a report if one is due; `node` is None if it does not answer."""
        if self._time.now_ms < self._next_report_ms:
            return
        self._next_report_ms = self._time.now_ms + _REPORT_INTERVAL_MS
        self._sequence_number += 1
        if self._time.now_ms >= self._granted_until_ms:
            self._held.clear()
        if node is not None:
            self._send_report(node)

    def _send_report(self, node: ReportingWorker) -> None:
        reply = node.handle_report(self._make_report())
        if reply.ranges is None:
            return
        previous = set(self._held)
        self._held = {
            each.keys.first: HeldRange(each.keys, each.token)
            for each in reply.ranges
        }
        self._granted_until_ms = (
            self._time.now_ms + reply.duration_ms * _MAX_SLOWDOWN
        )
        if previous - set(self._held):
            self._next_report_ms = self._time.now_ms + _DELAY_AFTER_RELEASE_MS

    def _make_report(self) -> WorkerReport:
        return WorkerReport(
            worker_id=self._vm,
            service='s',
            started_ms=1,
            sequence_number=self._sequence_number,
            slots=1,
            is_leaving=False,
            held=tuple(self._held.values()),
        )


class SimulatedWorkers:
    """The workers of all VMs, and the state of each in its node process."""

    def __init__(self, time: SimulatedTime, clocks: dict[str, DriftingClock]):
        self._clocks = clocks
        self.reporting_workers: dict[str, ReportingWorker] = {}
        self._workers = {
            vm: FakeWorker(
                vm, time, number * _REPORT_INTERVAL_MS // len(clocks)
            )
            for number, vm in enumerate(clocks)
        }

    def start_process(self, vm: str) -> None:
        """Replace a VM's process by one without any state of the worker."""
        self.reporting_workers[vm] = ReportingWorker(
            _SETTINGS, self._clocks[vm]
        )

    def step(self, running: set[str]) -> None:
        """Send the reports that are due; only running nodes answer."""
        for vm, worker in self._workers.items():
            worker.step(self.reporting_workers[vm] if vm in running else None)

    def check_shard(self, shard: ShardName, script: list[str]) -> None:
        """Raise `TwoHoldersError` if several workers hold a shard now."""
        workers = self._workers.items()
        holders = [vm for vm, worker in workers if worker.holds(shard)]
        if len(holders) > 1:
            raise TwoHoldersError(f'{shard}: {holders} {script}')
