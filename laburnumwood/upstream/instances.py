"""Tracking of the worker's process instances by its reports."""

from enum import Enum

from laburnumwood.upstream.reports import WorkerReport


class ReportStatus(Enum):
    """How a report relates to the reports before it."""

    SAME_INSTANCE = 'the life that is known goes on'
    NEW_INSTANCE = 'another life of the worker has begun'
    STALE = 'it was overtaken by a newer report'


class WorkerInstanceTracker:
    """Distinguishes new, current and stale reports of the worker.

    A restarted worker holds nothing, even if it keeps its id.  Instances are
    therefore distinguished by their start time, and by the id if two started
    at the same time.
    """

    def __init__(self) -> None:
        self._instance: tuple[int, str] | None = None
        self._last_sequence_number = -1

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
        if self._instance is not None and instance < self._instance:
            return ReportStatus.STALE
        if instance != self._instance:
            self._instance = instance
            self._last_sequence_number = report.sequence_number
            return ReportStatus.NEW_INSTANCE
        if report.sequence_number <= self._last_sequence_number:
            return ReportStatus.STALE
        self._last_sequence_number = report.sequence_number
        return ReportStatus.SAME_INSTANCE
