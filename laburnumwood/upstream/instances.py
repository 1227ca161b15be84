"""Which life of the worker is the present one."""

from enum import Enum

from laburnumwood.upstream.reports import WorkerReport


class ReportStatus(Enum):
    """What a report says of the worker's life."""

    SAME_INSTANCE = 'the life that is known goes on'
    NEW_INSTANCE = 'another life of the worker has begun'
    STALE = 'it was overtaken by a newer report'


class WorkerInstanceTracker:
    """Tells reports of the present life from those that come late.

    A worker's process keeps nothing when it starts anew, even if it keeps
    its id, so that its start time tells lives apart.
    """

    def __init__(self) -> None:
        self._life: tuple[int, str] | None = None
        self._number = -1

    @property
    def worker_id(self) -> str:
        """Return the id of the present life, empty before the first."""
        return self._life[1] if self._life else ''

    def record_report(self, report: WorkerReport) -> ReportStatus:
        """Take in a report and tell what it says of the life."""
        life = report.started_ms, report.worker_id
        if self._life is not None and life < self._life:
            return ReportStatus.STALE
        if life != self._life:
            self._life = life
            self._number = report.sequence_number
            return ReportStatus.NEW_INSTANCE
        if report.sequence_number <= self._number:
            return ReportStatus.STALE
        self._number = report.sequence_number
        return ReportStatus.SAME_INSTANCE
