"""The HTTP interface of the reporting worker."""

from argparse import Namespace
from collections import Counter
from typing import Any

import eventlet

from standins.answers import Answer, json_answer
from standins.clock import MS_PER_SECOND, monotonic_ms
from standins.reporter.holds import Holds
from standins.reporter.reports import Reports
from standins.requests import Request

_MAX_BODY_BYTES = 67_108_864
_MISDIRECTED = 421


class ReporterApi:
    """Runs requests whose keys are held, and records what it received."""

    def __init__(
        self, options: Namespace, holds: Holds | None, reports: Reports
    ) -> None:
        self._options = options
        self._holds = holds
        self._reports = reports
        self._running = 0
        self._runs: Counter[str] = Counter()
        self._received: list[dict[str, Any]] = []
        self._arrivals_ms: list[float] = []  # also of refused requests
        self._signals: dict[str, str] = {}  # headers of every answer
        self._signalled_ms: float | None = None  # when an answer first had them

    def answer(self, request: Request) -> Answer:
        """Answer one request."""
        if request.path == '/seen':
            handover_count = self._holds.handover_count if self._holds else 0
            return json_answer(
                {
                    'seen': self._received,
                    'came_warm': handover_count,
                    'arrivals_ms': self._arrivals_ms,
                    'signalled_ms': self._signalled_ms,
                    'now_ms': monotonic_ms(),
                }
            )
        if request.path == '/signals':
            self._set_signals(request)
            return json_answer({})
        if request.path == '/drain':
            self._reports.state = 'draining'
            return json_answer({})
        if request.path == '/deregister':
            self._reports.deregister()
            return json_answer({})
        return self._run(request)

    def _set_signals(self, request: Request) -> None:
        names = ('limit', 'leaving')
        self._signals = {
            f'Server_{name.capitalize()}': request.query(name)
            for name in names
            if request.query(name)
        }
        self._signalled_ms = None

    def _answer(self, payload: dict[str, Any], **details: Any) -> Answer:
        """Return an answer to a request, with the signals that are set."""
        if self._signals and self._signalled_ms is None:
            self._signalled_ms = monotonic_ms()
        headers: dict[str, Any] = {**details, **self._signals}
        return json_answer(payload, **headers)

    def _run(self, request: Request) -> Answer:
        attempt = request.header('Attempt-Id') or ''
        self._arrivals_ms.append(monotonic_ms())
        if request.header('Target-Instance') != self._options.name:
            return self._refuse(_MISDIRECTED, attempt)
        key = request.numeric_header('Shard-Key')
        if self._holds and (key is None or not self._holds.admits(key)):
            return self._refuse(_MISDIRECTED, attempt)
        body = request.body(_MAX_BODY_BYTES)
        if self._running >= self._options.slots:
            return self._refuse(503, attempt)
        self._running += 1
        try:
            return self._work(request, attempt, body)
        finally:
            self._running -= 1

    def _work(self, request: Request, attempt: str, body: bytes) -> Answer:
        self._runs[attempt] += 1
        self._received.append(
            {
                'attempt': attempt,
                'method': request.method,
                'path': request.path,
                'origin': request.header('Caller-Service'),
                'time_left_ms': request.header('Deadline-Ms'),
                'host': request.header('Host'),
                'body': len(body),
                'connection': request.connection.getpeername()[1],
            }
        )
        eventlet.sleep(self._options.work_ms / MS_PER_SECOND)
        payload = {'worker': self._options.name, 'run': self._runs[attempt]}
        return self._answer(
            payload, Attempt_Id=attempt, Response_Stamp=f'{attempt}.stamp'
        )

    def _refuse(self, status: int, attempt: str) -> Answer:
        payload = {'worker': self._options.name}
        return self._answer(
            payload, status=status, Attempt_Id=attempt, Not_Executed='1'
        )
