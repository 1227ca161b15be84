"""Tracking of the worker's process instances by its reports."""

from dataclasses import dataclass
from enum import Enum

from laburnumwood.clock import Clock
from laburnumwood.upstream.reports import WorkerReport


class ReportStatus(Enum):
    """How a report relates to the reports before it."""

    SAME_INSTANCE = 'the life that is known goes on'
    NEW_INSTANCE = 'another life of the worker has begun'
    STALE = 'it was overtaken by a newer report'


_Instance = tuple[int, str]  # when it started, and its id


@dataclass(slots=True)
class _Challenger:
    """An instance that reports although it counts as an earlier one."""

    instance: _Instance
    since_ms: int
    last_report_ms: int
    sequence_number: int


class WorkerInstanceTracker:
    """Distinguishes new, current and stale reports of the worker.

    A restarted worker holds nothing, even if it keeps its id.  Instances are
    therefore distinguished by their start time, and by the id if two started
    at the same time.  Clocks may be set back, so that a later instance has an
    earlier start time: one that goes on reporting for `silent_ms`, in which
    the current one is silent, replaces it.  One that holds keys in its first
    report is no new instance either, and may have ended before the current one
    began: it has to do the same, once the current one has gone on reporting.
    """

    def __init__(self, silent_ms: int, clock: Clock) -> None:
        self._silent_ms = silent_ms
        self._clock = clock
        self._instance: _Instance | None = None
        self._replaced: _Instance | None = None
        self._last_sequence_number = -1
        self._has_gone_on = False  # after its first report
        self._challenger: _Challenger | None = None

    @property
    def worker_id(self) -> str:
        """Return the id of the current instance, '' before the first report."""
        return self._instance[1] if self._instance else ''

    @property
    def started_ms(self) -> int:
        """Return the start time of the current instance, 0 if not known."""
        return self._instance[0] if self._instance else 0

    def record_report(self, report: WorkerReport) -> ReportStatus:
        """Record a report and return how it relates to earlier ones."""
        instance = report.started_ms, report.worker_id
        if self._may_have_ended(instance, report):
            if not self._is_challenge_won(instance, report.sequence_number):
                return ReportStatus.STALE
            self._replaced = self._instance
        if instance != self._instance:
            self._begin(instance, report.sequence_number)
            return ReportStatus.NEW_INSTANCE
        if report.sequence_number <= self._last_sequence_number:
            return ReportStatus.STALE
        self._begin(instance, report.sequence_number)
        self._has_gone_on = True
        return ReportStatus.SAME_INSTANCE

    def is_last(self, report: WorkerReport) -> bool:
        """Return whether a report is the last one that was not stale."""
        instance = report.started_ms, report.worker_id
        is_current = instance == self._instance
        return is_current and (
            report.sequence_number == self._last_sequence_number
        )

    def _begin(self, instance: _Instance, sequence_number: int) -> None:
        self._instance = instance
        self._last_sequence_number = sequence_number
        self._has_gone_on = False
        self._challenger = None

    def _may_have_ended(
        self, instance: _Instance, report: WorkerReport
    ) -> bool:
        if self._instance is None or instance == self._instance:
            return False
        if instance < self._instance or instance == self._replaced:
            return True
        return self._has_gone_on and bool(report.held)

    def _is_challenge_won(
        self, instance: _Instance, sequence_number: int
    ) -> bool:
        """Return whether an instance has shown that it is the one that runs.

        Reports that were held up arrive within a short time of each other.
        """
        now_ms = self._clock.now_ms()
        challenger = self._challenger
        if challenger is None or not self._goes_on(challenger, instance):
            self._challenger = _Challenger(
                instance, now_ms, now_ms, sequence_number
            )
            return False
        if sequence_number > challenger.sequence_number:
            challenger.last_report_ms = now_ms
            challenger.sequence_number = sequence_number
        elapsed_ms = challenger.last_report_ms - challenger.since_ms
        return elapsed_ms >= self._silent_ms

    def _goes_on(self, challenger: _Challenger, instance: _Instance) -> bool:
        silent_ms = self._clock.now_ms() - challenger.last_report_ms
        return instance == challenger.instance and silent_ms < self._silent_ms
