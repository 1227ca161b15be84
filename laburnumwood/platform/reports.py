"""Reports that the platform's workers send to the node on their VM."""

from collections.abc import Iterable
from http import HTTPStatus
from math import ceil
from typing import Annotated, Any, Literal

from pydantic import BaseModel, Field, FiniteFloat, StrictInt, StrictStr

from laburnumwood.clock import Clock
from laburnumwood.events import REPORT_REFUSED
from laburnumwood.platform.bodies import (
    CONTENT_TYPE,
    BodyError,
    decode,
    decode_as,
    encode,
)
from laburnumwood.records import KeyRange, ReleasedRange
from laburnumwood.resources.body_memory import BodyMemory
from laburnumwood.routing.caller_protocol import ANSWERED_KEY, TIME_KEY
from laburnumwood.routing.problems import (
    PROBLEMS,
    StartResponse,
    status_line,
)
from laburnumwood.routing.request_parsing import (
    RequestRefusedError,
    read_body,
    release_body,
)
from laburnumwood.routing.server import close_after_answer
from laburnumwood.settings import DaemonSettings
from laburnumwood.upstream.report_answers import ReportAnswers
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import (
    GrantReply,
    HeldRange,
    WorkerReport,
)

_REPORT_PATH = '/Instances.Heartbeat/'
_DEREGISTER_PATH = '/Instances.Deregister/'
_MAX_REPORT_BYTES = 1_048_576
_MAX_BYTES_OF_ALL = 4 * _MAX_REPORT_BYTES  # reports that are received
_REPORT_TIMEOUT_MS = 10_000
_MAX_TOKEN = (1 << 53) - 1  # larger ones are no integers in JSON everywhere

_Token = Annotated[StrictInt, Field(ge=0, le=_MAX_TOKEN)]


class _Report(BaseModel):
    """A report as it is sent.

    `born` is the start time of the worker's process and `seq` the number of
    the report.  Rows of `holds` are [first key, last key, token], rows of
    `released` [first key, last key, handover for the next owner].
    """

    service: StrictStr
    slots: StrictInt = Field(ge=1)
    state: Literal['ready', 'draining']
    seq: StrictInt
    born: StrictInt
    warmup_left_ms: FiniteFloat | None = None
    holds: list[tuple[StrictInt, StrictInt, _Token]] = Field(
        default_factory=list
    )
    released: list[tuple[StrictInt, StrictInt, StrictStr]] = Field(
        default_factory=list
    )


def decode_report(
    worker_id: str, body: bytes, *, follows_answer: bool = False
) -> WorkerReport:
    """Return the report in a request body; raises `BodyError`."""
    wire_report = decode_as(_Report, decode(body))
    return WorkerReport(
        worker_id=worker_id,
        service=wire_report.service,
        started_ms=wire_report.born,
        sequence_number=wire_report.seq,
        slots=wire_report.slots,
        is_leaving=wire_report.state == 'draining',
        held=tuple(
            HeldRange(KeyRange(first, last), token)
            for first, last, token in wire_report.holds
        ),
        released=tuple(
            ReleasedRange(KeyRange(first, last), handover)
            for first, last, handover in wire_report.released
        ),
        follows_answer=follows_answer,
        warming_ms=max(0, ceil(wire_report.warmup_left_ms or 0)),
    )


def encode_reply(reply: GrantReply) -> bytes:
    """Return the body of the reply to a report."""
    if reply.ranges is None:
        return encode({})
    rows = [
        [each.keys.first, each.keys.last, each.token, each.handover]
        for each in reply.ranges
    ]
    return encode({'holds': rows, 'hold_ms': reply.duration_ms})


class ReportEndpoint:
    """A WSGI application that receives the reports of the worker."""

    def __init__(
        self, settings: DaemonSettings, worker: ReportingWorker, clock: Clock
    ) -> None:
        self._service = settings.service
        self._answers = ReportAnswers(worker, clock)
        self._memory = BodyMemory(_MAX_BYTES_OF_ALL, clock)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        environ[TIME_KEY].limit(_REPORT_TIMEOUT_MS)
        try:
            body = read_body(environ, _MAX_REPORT_BYTES, self._memory)
            return self._answer(environ, bytes(body), start_response)
        except RequestRefusedError as refused:
            close_after_answer(environ)
            REPORT_REFUSED.report(path=environ['PATH_INFO'], reason=refused)
            status = PROBLEMS[refused.failure.kind].status
            return _reply(start_response, status, b'')
        finally:
            release_body(environ)

    def _answer(
        self,
        environ: dict[str, Any],
        body: bytes,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path.startswith(_DEREGISTER_PATH):
            self._answers.deregister(path.removeprefix(_DEREGISTER_PATH))
            return _reply(start_response, HTTPStatus.OK, encode({}))
        if not path.startswith(_REPORT_PATH):
            return _reply(start_response, HTTPStatus.NOT_FOUND, b'')
        try:
            report = self._read(
                path.removeprefix(_REPORT_PATH), body, environ[ANSWERED_KEY]
            )
        except BodyError as invalid:
            REPORT_REFUSED.report(path=path, reason=invalid)
            return _reply(start_response, HTTPStatus.BAD_REQUEST, b'')
        reply = self._answers.answer(report)
        return _reply(start_response, HTTPStatus.OK, encode_reply(reply))

    def _read(self, worker_id: str, body: bytes, answered: int) -> WorkerReport:
        # A worker sends one request at a time on a connection.
        report = decode_report(worker_id, body, follows_answer=answered > 0)
        if report.service != self._service:
            raise BodyError(
                f'service: found {report.service!r}; expected {self._service!r}'
            )
        return report


def _reply(
    start_response: StartResponse, status: HTTPStatus, content: bytes
) -> Iterable[bytes]:
    headers = [
        ('Content-Type', CONTENT_TYPE),
        ('Content-Length', str(len(content))),
    ]
    start_response(status_line(status), headers)
    return (content,)
