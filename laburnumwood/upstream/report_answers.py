"""Answering what the worker reports."""

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import DEPARTURE_UNRECORDED
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import GrantReply, WorkerReport

# The worker takes an answer after a second for lost.
_TOKEN_WAIT_MS = 500
_RECORD_WAIT_MS = 750
_POLL_MS = 10


class ReportAnswers:
    """Answers reports, the first one of an instance once it has its tokens.

    An instance of the worker needs higher tokens than the one before, which
    are written first.  The next report that could be answered with them comes
    an interval later.

    The answer to a worker that leaves is a promise, which the next process of
    the node has to keep as well.  It is given once the departure is recorded,
    or could not be in time.
    """

    def __init__(self, worker: ReportingWorker, clock: Clock) -> None:
        self._worker = worker
        self._clock = clock

    def answer(self, report: WorkerReport) -> GrantReply:
        """Process a report and return the reply; may block for a short time."""
        since_ms = self._clock.now_ms()
        presence = self._worker.presence
        instance, departures = presence.instance, presence.departures.known
        reply = self._worker.handle_report(report)
        if presence.instance != instance:
            while self._worker.lacks_tokens and self._is_within(
                since_ms, _TOKEN_WAIT_MS
            ):
                eventlet.sleep(_POLL_MS / MS_PER_SECOND)
                reply = self._worker.renew_reply(report)
        if presence.departures.known != departures:
            self._await_record(since_ms)
        return reply

    def deregister(self, worker_id: str) -> None:
        """Process a deregistration; may block for a short time."""
        since_ms = self._clock.now_ms()
        departures = self._worker.presence.departures
        before = departures.known
        self._worker.presence.deregister(worker_id)
        if departures.known != before:
            self._await_record(since_ms)

    def _await_record(self, since_ms: int) -> None:
        """Wait until the node's record has all departures."""
        departures = self._worker.presence.departures
        while not departures.are_recorded:
            if not self._is_within(since_ms, _RECORD_WAIT_MS):
                last = departures.known[-1]
                DEPARTURE_UNRECORDED.report(worker=last.worker_id)
                return
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)

    def _is_within(self, since_ms: int, limit_ms: int) -> bool:
        return self._clock.now_ms() - since_ms < limit_ms
