"""The presence of the worker on the node's VM, known from its reports."""

from collections.abc import Iterable
from enum import Enum

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.events import (
    REPORT_STALE,
    STOOD_STILL,
    WORKER_LEAVES,
    WORKER_SILENT,
)
from laburnumwood.records import WorkerDeparture
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.departures import Departures
from laburnumwood.upstream.instances import ReportStatus, WorkerInstanceTracker
from laburnumwood.upstream.reports import WorkerReport
from laburnumwood.upstream.running_time import CHECK_INTERVAL_MS, RunningTime

_DEFAULT_INTERVAL_MS = 1_000  # assumed before any interval was measured
_MIN_INTERVAL_MS = 250  # shorter intervals precede reports of a release
_INTERVAL_HALF_LIFE_MS = 5_000
_REPORT = 'a report of the worker'
_EARLIER = 'an earlier report of the worker'


class WorkerPhase(Enum):
    """Whether the worker accepts requests, according to its reports."""

    UNKNOWN = 'it has not reported yet'
    SERVING = 'it takes work'
    LEAVING = 'it is about to end and takes no new work'
    SILENT = 'its reports stay out'


class Presence:
    """The current instance of the worker and whether it accepts requests.

    A standstill of this process is not the worker's silence: its reports wait
    to be read then.
    """

    def __init__(self, settings: ReportSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._instances = WorkerInstanceTracker(settings.silent_ms, clock)
        self._last_report_ms: int | None = None
        self._running_time = RunningTime(clock)
        self._last_heard_ms = 0  # in the running time
        self._intervals_ms = DecayingMean(_INTERVAL_HALF_LIFE_MS, clock)
        self._leaving_since_ms: int | None = None
        self._is_silence_reported = False
        self._has_shown_no_keys = False
        self.departures = Departures(clock)
        self.slots = 0

    @property
    def worker_id(self) -> str:
        """Return the id of the current instance, '' before the first report."""
        return self._instances.worker_id

    @property
    def started_ms(self) -> int:
        """Return the start time of the current instance, 0 if not known."""
        return self._instances.started_ms

    @property
    def instance(self) -> tuple[str, int]:
        """Return the id and the start time of the current instance."""
        return self.worker_id, self.started_ms

    @property
    def phase(self) -> WorkerPhase:
        """Return the present phase of the worker."""
        if self._last_report_ms is None:
            return WorkerPhase.UNKNOWN
        if self._leaving_since_ms is not None:
            return WorkerPhase.LEAVING
        if self._silent_ms >= self._settings.silent_ms:
            return WorkerPhase.SILENT
        return WorkerPhase.SERVING

    @property
    def is_serving(self) -> bool:
        """Return whether the worker takes work and is to get more."""
        return self.phase is WorkerPhase.SERVING

    @property
    def is_leaving(self) -> bool:
        """Return whether the worker has said that it is about to end."""
        return self._leaving_since_ms is not None

    @property
    def leaving_for_ms(self) -> int | None:
        """Return how long ago the worker said so, None if it has not."""
        if self._leaving_since_ms is None:
            return None
        return self._clock.now_ms() - self._leaving_since_ms

    @property
    def has_shown_no_keys(self) -> bool:
        """Return whether the last report proves that the worker holds no keys.

        It lists none, and is no older than this process: an earlier one may
        have granted keys after a report that was held up.
        """
        return self._has_shown_no_keys

    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent to the worker.

        A worker that is leaving accepts them for `leave_ms` more.
        """
        phase = self.phase
        if phase is WorkerPhase.LEAVING and self._leaving_since_ms is not None:
            leaving_ms = self._clock.now_ms() - self._leaving_since_ms
            return leaving_ms < self._settings.leave_ms
        return phase is WorkerPhase.SERVING

    def record_report(self, report: WorkerReport) -> ReportStatus:
        """Record a report and return how it relates to earlier ones."""
        is_first = self._last_report_ms is None
        status = self._instances.record_report(report)
        if status is ReportStatus.STALE:
            self._log_stale(report)
            return status
        if status is ReportStatus.NEW_INSTANCE:
            self._leaving_since_ms = None
            self._apply_departure()
        self._record_interval(status)
        self._is_silence_reported = False
        self._has_shown_no_keys = report.follows_answer and not report.held
        self.slots = report.slots
        if report.is_leaving:
            # The worker may have said so long ago, to an earlier process.
            known_for_ms = self._settings.leave_ms if is_first else 0
            self.begin_leaving(_REPORT, known_for_ms)
        return status

    def is_current(self, report: WorkerReport) -> bool:
        """Return whether a report is one of the current instance."""
        return self.instance == (report.worker_id, report.started_ms)

    def is_last(self, report: WorkerReport) -> bool:
        """Return whether a report is the last one of the current instance."""
        return self._instances.is_last(report)

    def next_report_in_ms(self) -> int:
        """Return the time until the next report is expected."""
        if self._last_report_ms is None:
            return _DEFAULT_INTERVAL_MS
        interval_ms = round(self._intervals_ms.mean) or _DEFAULT_INTERVAL_MS
        elapsed_ms = self._clock.now_ms() - self._last_report_ms
        return max(0, interval_ms - elapsed_ms)

    def deregister(self, worker_id: str) -> None:
        """Record that a worker has deregistered because it is ending.

        If it is not the current instance, and not the first that is heard of,
        that takes effect with a report of it that arrives later.
        """
        is_current = worker_id == self.worker_id
        self.departures.record(
            worker_id, self.started_ms if is_current else None
        )
        if is_current or self._last_report_ms is None:
            if self._last_report_ms is None:
                self._record_heard()
            self.begin_leaving(_REPORT)

    def begin_leaving(self, source: str, known_for_ms: int = 0) -> None:
        """Record that the worker is about to end, and for how long it has been.

        It gets requests for `leave_ms` altogether.
        """
        if self.worker_id:
            self.departures.record(*self.instance)
        self._leave_since(self._clock.now_ms() - known_for_ms, source)

    def adopt_departures(self, departures: Iterable[WorkerDeparture]) -> None:
        """Record which instances told an earlier process that they leave.

        They get no more requests: that may have been long ago.
        """
        self.departures.adopt(departures, self._settings.leave_ms)
        self._apply_departure()

    def adopt_leaving(self, source: str, known_for_ms: int | None) -> None:
        """Record what another node knows, also if the worker has said it here.

        The process before this one may have heard it earlier.  None: the other
        node does not say for how long, so it counts only if it is new here.
        """
        if known_for_ms is None and self.is_leaving:
            return
        if known_for_ms is None:
            known_for_ms = self._settings.leave_ms
        self.begin_leaving(source, known_for_ms)

    def _apply_departure(self) -> None:
        """Note if the current instance has left before its last report."""
        since_ms = self.departures.since_ms(*self.instance)
        if since_ms is not None:
            self._leave_since(since_ms, _EARLIER)

    def _leave_since(self, since_ms: int, source: str) -> None:
        earlier_ms = self._leaving_since_ms
        if earlier_ms is not None and earlier_ms <= since_ms:
            return
        if self.phase is not WorkerPhase.LEAVING:
            WORKER_LEAVES.report(
                worker=self.worker_id,
                source=source,
                known_for_ms=self._clock.now_ms() - since_ms,
            )
        self._leaving_since_ms = since_ms

    def watch(self) -> None:
        """Check for silence of the worker periodically; does not return."""
        while True:
            self.check_silence()
            eventlet.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)

    def check_silence(self) -> None:
        """Log once if the worker has stopped reporting.

        Call it every `CHECK_INTERVAL_MS`.
        """
        paused_ms = self._running_time.check()
        if paused_ms:
            STOOD_STILL.report(paused_ms=paused_ms)
        if self.phase is WorkerPhase.SILENT and not self._is_silence_reported:
            self._is_silence_reported = True
            WORKER_SILENT.report(
                worker=self.worker_id, silent_ms=self._silent_ms
            )

    @property
    def _silent_ms(self) -> int:
        return self._running_time.now_ms() - self._last_heard_ms

    def _record_heard(self) -> None:
        self._last_report_ms = self._clock.now_ms()
        self._last_heard_ms = self._running_time.now_ms()

    def _log_stale(self, report: WorkerReport) -> None:
        REPORT_STALE.report(
            worker=report.worker_id,
            started_ms=report.started_ms,
            sequence_number=report.sequence_number,
            current=self.worker_id,
            current_started_ms=self.started_ms,
        )

    def _record_interval(self, status: ReportStatus) -> None:
        interval_ms = self._clock.now_ms() - (self._last_report_ms or 0)
        self._record_heard()
        is_periodic = _MIN_INTERVAL_MS <= interval_ms < self._settings.silent_ms
        if status is ReportStatus.SAME_INSTANCE and is_periodic:
            self._intervals_ms.add(interval_ms)
