"""Answering the reports of the worker."""

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import GrantReply, WorkerReport

# The worker takes an answer after a second for lost.
_TOKEN_WAIT_MS = 500
_POLL_MS = 10


class ReportAnswers:
    """Answers reports, the first one of an instance once it has its tokens.

    An instance of the worker needs higher tokens than the one before, which
    are written first.  The next report that could be answered with them comes
    an interval later.
    """

    def __init__(self, worker: ReportingWorker, clock: Clock) -> None:
        self._worker = worker
        self._clock = clock

    def answer(self, report: WorkerReport) -> GrantReply:
        """Process a report and return the reply; may block for a short time."""
        instance = self._worker.presence.instance
        reply = self._worker.handle_report(report)
        if self._worker.presence.instance == instance:
            return reply
        since_ms = self._clock.now_ms()
        while (
            self._worker.lacks_tokens
            and self._clock.now_ms() - since_ms < _TOKEN_WAIT_MS
        ):
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
            reply = self._worker.renew_reply(report)
        return reply
