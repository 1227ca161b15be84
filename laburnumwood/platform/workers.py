"""How requests are sent to the platform's workers, and read back."""

from http import HTTPStatus

from laburnumwood.errors import WorkerAnswerError
from laburnumwood.platform.headers import (
    ID_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    ORIGIN_HEADER,
    STAMP_HEADER,
    TIME_LEFT_HEADER,
    WORKER_HEADER,
)
from laburnumwood.routing.run import Run
from laburnumwood.routing.worker_interface import (
    NOT_OWNER,
    REFUSED,
    REJECTED,
    Headers,
)
from laburnumwood.upstream.pool import WorkerAnswer
from laburnumwood.upstream.reporting import ReportingWorker
from laburnumwood.upstream.worker import Worker

_ID = ID_HEADER.lower()
_STAMP = STAMP_HEADER.lower()
_NOT_RUN = NOT_RUN_HEADER.lower()
_LOAD = LOAD_HEADER.lower()
_LOAD_PARTS = 3
_SET_HERE = frozenset(
    name.lower() for name in (TIME_LEFT_HEADER, WORKER_HEADER, ORIGIN_HEADER)
)


def _has_room(load: str) -> bool:
    """Return whether a worker says that it has a free slot."""
    parts = load.split(',')
    if len(parts) != _LOAD_PARTS or not all(map(str.isdecimal, parts)):
        return False
    running, waiting, slots = map(int, parts)
    return not waiting and running < slots


class PlatformWorkerInterface:
    """The headers of the platform's workers."""

    def __init__(self, worker: ReportingWorker) -> None:
        self._worker = worker

    def headers(self, run: Run, left_ms: int) -> Headers:
        """Return the headers of a request with so much time left."""
        work = run.work
        kept = [
            each for each in work.headers if each[0].lower() not in _SET_HERE
        ]
        return (
            *kept,
            (TIME_LEFT_HEADER, str(left_ms)),
            (WORKER_HEADER, self._worker.presence.worker_id),
            (ORIGIN_HEADER, work.origin),
        )

    def may_refuse(self, answer: WorkerAnswer) -> bool:
        """Return whether an answer may say that the request did not run."""
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        return misdirected or answer.index.has(_NOT_RUN)

    def refusal(self, answer: WorkerAnswer, _body: bytes) -> str | None:
        """Return the kind of problem if a request did not run, else None."""
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return NOT_OWNER
        return REJECTED if _has_room(answer.index.first(_LOAD)) else REFUSED

    def check(self, run: Run, answer: WorkerAnswer) -> None:
        """Raise `WorkerAnswerError` if an answer is not that to a request.

        A late or second answer on a connection carries another id.  A success
        has one in any case, and so has every answer on a connection that was
        used before.  An encoded body is not the worker's own.
        """
        index = answer.index
        given = index.first(_ID)
        succeeded = HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES
        needs_id = succeeded or answer.may_answer_earlier_request
        if given != run.work.request_id and (given or needs_id):
            raise WorkerAnswerError(f'the answer is that to {given!r}')
        if index.has('content-encoding'):
            raise WorkerAnswerError('the body is encoded')
        if succeeded and not index.has(_STAMP):
            raise WorkerAnswerError('a success without the stamp of a worker')

    def cancel(self, _worker: Worker, _run: Run) -> bool:
        """Return false: a worker drops work whose connection is closed."""
        return False
