"""A worker beside a VM that reports to the node there, in the true time."""

from laburnumwood.records import KeyRange, ShardName
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import HeldRange, WorkerReport
from tests.ownership.clocks import DriftingClock, WorldClock

SETTINGS = ReportSettings()
_REPORT_MS = 1_000
_SOON_MS = 100  # after something was released
_SLOWEST = 1 / (1 - SETTINGS.clock_drift)  # of the worker's clock
_WIDTH = 10  # keys of a shard


class TwoHoldersError(AssertionError):
    """The workers of two VMs hold a shard at one moment."""


def keys_of(shard: ShardName) -> KeyRange:
    """Return the keys of a shard of the world."""
    first = shard.number * _WIDTH
    return KeyRange(first, first + _WIDTH - 1)


class FakeWorker:
    """Holds what it is answered, for as long as its slow clock says."""

    def __init__(self, vm: str, time: WorldClock, phase_ms: int) -> None:
        self._vm = vm
        self._time = time
        self._number = 0
        self._due_ms = time.now_ms + phase_ms
        self._held: dict[int, HeldRange] = {}
        self._until_ms: float = 0

    def holds(self, shard: ShardName) -> bool:
        """Tell whether it holds a shard now."""
        is_granted = self._time.now_ms < self._until_ms
        return is_granted and keys_of(shard).first in self._held

    def step(self, node: ReportingWorker | None) -> None:
        """Report if it is time to; None if nobody answers."""
        if self._time.now_ms < self._due_ms:
            return
        self._due_ms = self._time.now_ms + _REPORT_MS
        self._number += 1
        if self._time.now_ms >= self._until_ms:
            self._held.clear()
        if node is not None:
            self._take(node)

    def _take(self, node: ReportingWorker) -> None:
        reply = node.handle_report(self._report())
        if reply.ranges is None:
            return
        before = set(self._held)
        self._held = {
            each.keys.first: HeldRange(each.keys, each.token)
            for each in reply.ranges
        }
        self._until_ms = self._time.now_ms + reply.duration_ms * _SLOWEST
        if before - set(self._held):
            self._due_ms = self._time.now_ms + _SOON_MS

    def _report(self) -> WorkerReport:
        return WorkerReport(
            worker_id=self._vm,
            service='s',
            started_ms=1,
            sequence_number=self._number,
            slots=1,
            is_leaving=False,
            held=tuple(self._held.values()),
        )


class WorkerSide:
    """The workers of a world, and what the process beside each knows of its."""

    def __init__(self, time: WorldClock, clocks: dict[str, DriftingClock]):
        self._clocks = clocks
        self.reporting: dict[str, ReportingWorker] = {}
        self._workers = {
            vm: FakeWorker(vm, time, number * _REPORT_MS // len(clocks))
            for number, vm in enumerate(clocks)
        }

    def begin_process(self, vm: str) -> None:
        """Forget what the process of a VM knew: another has begun."""
        self.reporting[vm] = ReportingWorker(SETTINGS, self._clocks[vm])

    def step(self, awake: set[str]) -> None:
        """Let workers report if it is time; only awake nodes answer."""
        for vm, worker in self._workers.items():
            worker.step(self.reporting[vm] if vm in awake else None)

    def judge(self, shard: ShardName, script: list[str]) -> None:
        """Raise `TwoHoldersError` if two workers hold a shard now."""
        found = self._workers.items()
        holders = [vm for vm, worker in found if worker.holds(shard)]
        if len(holders) > 1:
            raise TwoHoldersError(f'{shard}: {holders} {script}')
