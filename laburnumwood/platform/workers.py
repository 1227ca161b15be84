"""Request headers for the platform's workers, and checks of their answers."""

import re
from collections.abc import Mapping
from http import HTTPStatus
from math import ceil

from laburnumwood.errors import WorkerAnswerError
from laburnumwood.header_index import HeaderIndex
from laburnumwood.platform.headers import (
    ID_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    ORIGIN_HEADER,
    STAMP_HEADER,
    TIME_LEFT_HEADER,
    WARMING_HEADER,
    WORKER_HEADER,
    to_header_text,
)
from laburnumwood.routing.run import Run
from laburnumwood.routing.worker_interface import (
    NOT_OWNER,
    REFUSED,
    REJECTED,
    Headers,
)
from laburnumwood.upstream.pool import WorkerAnswer
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.worker import WorkerClient
from laburnumwood.upstream.worker_load import WorkerLoad
from laburnumwood.upstream.worker_signals import AnswerSignals
from laburnumwood.warmup.cold_period import HEALTH_CHECK

_ID = ID_HEADER.lower()
_STAMP = STAMP_HEADER.lower()
_NOT_RUN = NOT_RUN_HEADER.lower()
_LOAD = LOAD_HEADER.lower()
_LOAD_FORM = re.compile(
    '([0-9]{1,9}),([0-9]{1,9}),([0-9]{1,9})(?:,([0-9]{1,9})(?:,.*)?)?'
)
_USUAL_PACE = 100  # how the platform states that work takes as long as usual
_LIMIT = LIMIT_HEADER.lower()
_LEAVING = LEAVING_HEADER.lower()
_IS_LEAVING = '1'
_DECIMAL = re.compile(r'[0-9]{1,9}(?:\.[0-9]{1,9})?')
_REPLACED_HEADERS = frozenset(
    name.lower() for name in (TIME_LEFT_HEADER, WORKER_HEADER, ORIGIN_HEADER)
)


def decode_load(index: HeaderIndex) -> WorkerLoad | None:
    """Return the load that the headers of an answer state, None if none."""
    match = _LOAD_FORM.fullmatch(index.first(_LOAD))
    if match is None:
        return None
    running, waiting, slots, pace = (int(each or 0) for each in match.groups())
    return WorkerLoad(running, waiting, slots, pace / _USUAL_PACE or None)


def decode_signals(index: HeaderIndex) -> AnswerSignals:
    """Return what the headers of an answer say about the worker."""
    load = decode_load(index)
    limits = index.all(_LIMIT)
    leaving = index.all(_LEAVING)
    if not limits and not leaving:
        return AnswerSignals(load=load) if load else _NO_SIGNALS
    is_limit_valid = not limits or (
        len(limits) == 1 and _DECIMAL.fullmatch(limits[0])
    )
    invalid = '' if is_limit_valid else f'{LIMIT_HEADER}: {limits!r}'
    if leaving and leaving != [_IS_LEAVING]:
        invalid = f'{LEAVING_HEADER}: {leaving!r}'
    return AnswerSignals(
        limit_per_second=float(limits[0]) if limits and not invalid else None,
        is_leaving=leaving == [_IS_LEAVING],
        invalid=invalid,
        load=load,
    )


_NO_SIGNALS = AnswerSignals()


class PlatformWorkerInterface:
    """The headers and answers of the platform's workers."""

    def __init__(self, worker: ReportingWorker) -> None:
        self._worker = worker

    def headers(self, run: Run, left_ms: int) -> Headers:
        """Return the headers of a request that has `left_ms` left."""
        work = run.work
        kept = [
            each
            for each in work.headers
            if each[0].lower() not in _REPLACED_HEADERS
        ]
        return (
            *kept,
            (TIME_LEFT_HEADER, str(left_ms)),
            (WORKER_HEADER, self._worker.presence.worker_id),
            (ORIGIN_HEADER, to_header_text(work.origin)),
        )

    def may_refuse(self, answer: WorkerAnswer) -> bool:
        """Return whether an answer may mean that the request did not run."""
        is_misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        return is_misdirected or answer.index.has(_NOT_RUN)

    def refusal_kind(self, answer: WorkerAnswer, _body: bytes) -> str | None:
        """Return the kind of problem of a request that did not run."""
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return NOT_OWNER
        load = decode_load(answer.index)
        return REJECTED if load and load.has_free_slot else REFUSED

    def check_answer(self, run: Run, answer: WorkerAnswer) -> None:
        """Raise `WorkerAnswerError` if an answer belongs to another request.

        A late or duplicate answer on a connection has the id of another
        request.  The id is required for successes and for every answer on a
        reused connection.  A body with a content encoding is rejected, because
        workers do not encode bodies.
        """
        index = answer.index
        answered_id = index.first(_ID)
        succeeded = HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES
        is_id_required = succeeded or answer.may_answer_earlier_request
        if answered_id != run.work.request_id and (
            answered_id or is_id_required
        ):
            raise WorkerAnswerError(f'the answer is that to {answered_id!r}')
        if index.has('content-encoding'):
            raise WorkerAnswerError('the body is encoded')
        if succeeded and not index.has(_STAMP):
            raise WorkerAnswerError('a success without the stamp of a worker')

    def record_signals(self, answer: WorkerAnswer, sent_ms: int) -> None:
        """Record what an answer says about the worker itself."""
        self._worker.signals.record(decode_signals(answer.index), sent_ms)

    def record_health(self, headers: Mapping[str, str]) -> None:
        """Record what the answer to a health check says about the worker."""
        left = headers.get(WARMING_HEADER, '')
        if _DECIMAL.fullmatch(left):
            self._worker.signals.warm_up.period.record_hint(
                ceil(float(left)), HEALTH_CHECK
            )

    def cancel(self, _worker: WorkerClient, _run: Run) -> bool:
        """Return False: a worker stops a request if its connection closes."""
        return False
