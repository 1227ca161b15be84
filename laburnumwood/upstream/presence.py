"""Whether the worker beside a node is there, by its reports."""

from enum import Enum

from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.events import WORKER_LEAVES, WORKER_SILENT
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.instances import ReportStatus, WorkerInstanceTracker
from laburnumwood.upstream.reports import WorkerReport

_USUAL_INTERVAL_MS = 1_000  # between reports, before any were seen
_LEAST_INTERVAL_MS = 250  # shorter ones are reports of a release
_GAPS_HALF_LIFE_MS = 5_000


class WorkerPhase(Enum):
    """How the worker stands to its node."""

    UNKNOWN = 'it has not reported yet'
    SERVING = 'it takes work'
    LEAVING = 'it is about to end and takes no new work'
    SILENT = 'its reports stay out'


class Presence:
    """The present life of the worker, and whether it takes work."""

    def __init__(self, settings: ReportSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._lives = WorkerInstanceTracker()
        self._heard_ms: int | None = None
        self._gaps_ms = DecayingMean(_GAPS_HALF_LIFE_MS, clock)
        self._left_ms: int | None = None
        self._was_silent = False
        self._reports_no_keys = False
        self.slots = 0

    @property
    def worker_id(self) -> str:
        """Return the id of the worker's present life, or an empty text."""
        return self._lives.worker_id

    @property
    def phase(self) -> WorkerPhase:
        """Return how the worker stands to its node now."""
        if self._heard_ms is None:
            return WorkerPhase.UNKNOWN
        if self._left_ms is not None:
            return WorkerPhase.LEAVING
        if self._silent_ms >= self._settings.silent_ms:
            return WorkerPhase.SILENT
        return WorkerPhase.SERVING

    @property
    def reports_no_keys(self) -> bool:
        """Tell whether the worker's last report says that it holds nothing."""
        return self._reports_no_keys

    def may_start(self) -> bool:
        """Tell whether a request may still be sent to the worker."""
        phase = self.phase
        if phase is WorkerPhase.LEAVING and self._left_ms is not None:
            ago_ms = self._clock.now_ms() - self._left_ms
            return ago_ms < self._settings.leave_ms
        return phase is WorkerPhase.SERVING

    def record_report(self, report: WorkerReport) -> ReportStatus:
        """Take in a report and tell what it says of the worker's life."""
        news = self._lives.record_report(report)
        if news is ReportStatus.STALE:
            return news
        if news is ReportStatus.NEW_INSTANCE:
            self._left_ms = None
        self._note_time(news)
        self._was_silent = False
        self._reports_no_keys = not report.held
        self.slots = report.slots
        if report.is_leaving:
            self._begin_leaving()
        return news

    def next_report_in_ms(self) -> int:
        """Return in what time the next report is to be expected."""
        if self._heard_ms is None:
            return _USUAL_INTERVAL_MS
        gap_ms = round(self._gaps_ms.mean) or _USUAL_INTERVAL_MS
        return max(0, gap_ms - self._silent_ms)

    def deregister(self, worker_id: str) -> None:
        """Take in that a worker ends, without a report before."""
        if worker_id == self.worker_id or self._heard_ms is None:
            self._heard_ms = self._heard_ms or self._clock.now_ms()
            self._begin_leaving()

    def report_silence(self) -> None:
        """Tell of a worker whose reports stay out; call it often."""
        if self.phase is WorkerPhase.SILENT and not self._was_silent:
            self._was_silent = True
            WORKER_SILENT.report(
                worker=self.worker_id, silent_ms=self._silent_ms
            )

    @property
    def _silent_ms(self) -> int:
        return self._clock.now_ms() - (self._heard_ms or 0)

    def _note_time(self, news: ReportStatus) -> None:
        gap_ms = self._silent_ms
        self._heard_ms = self._clock.now_ms()
        is_usual = _LEAST_INTERVAL_MS <= gap_ms < self._settings.silent_ms
        if news is ReportStatus.SAME_INSTANCE and is_usual:
            self._gaps_ms.add(gap_ms)

    def _begin_leaving(self) -> None:
        if self._left_ms is None:
            self._left_ms = self._clock.now_ms()
            WORKER_LEAVES.report(worker=self.worker_id)
