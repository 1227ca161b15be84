"""Execution of one request on the worker."""

from dataclasses import dataclass
from functools import partial

import eventlet
from greenlet import greenlet

from laburnumwood.clock import Clock
from laburnumwood.errors import (
    LinkError,
    RunCancelledError,
    WorkerAnswerError,
    WorkerBusyError,
    WorkerDeadlineError,
    WorkerError,
    WorkerTimeoutError,
    WorkerUnreachableError,
)
from laburnumwood.events import RUN_CANCELLED
from laburnumwood.protocol.messages import (
    Answer,
    End,
    Failure,
    WholeAnswer,
)
from laburnumwood.protocol.send_queue import SEND_QUEUE
from laburnumwood.routing.exchange import MAX_INLINE_BODY_BYTES, Exchange
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.read_ahead import ReadAhead
from laburnumwood.routing.run import Run
from laburnumwood.routing.shared_lock import SharedLock
from laburnumwood.routing.shared_quarantine import SharedQuarantine
from laburnumwood.routing.worker_interface import WorkerInterface
from laburnumwood.tasks import start
from laburnumwood.upstream.pool import WorkerAnswer
from laburnumwood.upstream.worker import WorkerClient, WorkerRequest

_KIND_BY_ERROR: dict[type[WorkerError], str] = {
    WorkerBusyError: 'overloaded',
    WorkerDeadlineError: 'deadline',
    WorkerUnreachableError: 'worker-unreachable',
}

# Of the window of the send queue: where a longer answer takes a noticeable time
# on the network, it is sent in parts, between which others can be sent.
_WHOLE_ANSWER_SHARE = 0.25
_ALWAYS_WHOLE_BYTES = 32_768

_NOT_SENT_ERRORS = tuple(_KIND_BY_ERROR)


@dataclass(slots=True)
class RunResult:
    """Result of a run: a failure, or an answer with its body if kept."""

    head: Answer | None = None
    body: bytes | None = None
    failure: Failure | None = None

    @property
    def ran(self) -> bool:
        """Return whether the request may have run."""
        return self.failure is None or self.failure.ran


class Runner:
    """Sends each request to the worker once, and forwards its answer.

    An answer of at most `max_buffered_bytes` is read completely before it is
    forwarded.  The request is cancelled at the worker when the requesting side
    disconnects or the deadline passes.
    """

    def __init__(
        self,
        worker: WorkerClient,
        worker_interface: WorkerInterface,
        shared_quarantine: SharedQuarantine,
        clock: Clock,
        max_buffered_bytes: int = MAX_INLINE_BODY_BYTES,
    ) -> None:
        self._max_buffered_bytes = max_buffered_bytes
        self._worker = worker
        self._worker_interface = worker_interface
        self._shared_quarantine = shared_quarantine
        self._lock = SharedLock(clock)
        self._may_be_dead = False
        self._clock = clock

    def run(
        self, run: Run, exchange: Exchange, max_kept_bytes: int = 0
    ) -> RunResult:
        """Run a request and send its answer on the exchange.

        The result contains the body if it has at most `max_kept_bytes`.
        """
        started_ms = self._clock.now_ms()
        if run.until_ms <= started_ms:
            failure = make_failure(
                'deadline', 'no time is left to run', ran=False
            )
            return _fail(failure, exchange)
        greenlet_to_stop = eventlet.getcurrent()
        try:
            exchange.set_message_handler(
                partial(self._stop_run, run, greenlet_to_stop)
            )
            return self._execute(run, exchange, max_kept_bytes)
        except RunCancelledError as error:
            now_ms = self._clock.now_ms()
            RUN_CANCELLED.report(
                request=run.work.request_id,
                service=run.work.service,
                after_ms=now_ms - started_ms,
                left_ms=run.until_ms - now_ms,
            )
            return RunResult(
                failure=make_failure('cancelled', str(error), ran=True)
            )
        finally:
            exchange.set_message_handler(None)

    def _execute(
        self, run: Run, exchange: Exchange, max_kept_bytes: int
    ) -> RunResult:
        try:
            answer = self._run_under_lock(run)
        except _NOT_SENT_ERRORS as error:
            kind = _KIND_BY_ERROR[type(error)]
            failure = make_failure(kind, str(error), ran=False)
            return _fail(failure, exchange)
        except WorkerTimeoutError as error:
            self._start_cancel(run)
            failure = make_failure('deadline', str(error), ran=True)
            return _fail(failure, exchange)
        except WorkerAnswerError as error:
            failure = make_failure('worker-cut', str(error), ran=True)
            return _fail(failure, exchange)
        return self._forward_answer(run, answer, exchange, max_kept_bytes)

    def _run_under_lock(self, run: Run) -> WorkerAnswer:
        service, fingerprint = run.work.service, run.fingerprint
        is_suspected = self._shared_quarantine.quarantine.is_suspected(
            fingerprint
        )
        with self._lock.acquired(run.until_ms, exclusive=is_suspected):
            answer = self._run_on_live_worker(run, is_alone=is_suspected)
        if is_suspected:
            self._shared_quarantine.clear(service, fingerprint)
        return answer

    def _run_on_live_worker(self, run: Run, *, is_alone: bool) -> WorkerAnswer:
        # A request to a worker that was already dead did not kill it.
        if self._may_be_dead and not self._worker.is_responding():
            raise WorkerUnreachableError('the worker was lost')
        self._may_be_dead = False
        try:
            return self._run_checked(run)
        except WorkerTimeoutError:
            raise
        except WorkerAnswerError:
            # A worker that still answers did not die under this request.
            if self._worker.is_dead():
                self._may_be_dead = True
                self._shared_quarantine.record_death(
                    run.work.service, run.fingerprint, ran_alone=is_alone
                )
            raise

    def _run_checked(self, run: Run) -> WorkerAnswer:
        sent_ms = self._clock.now_ms()
        answer = self._worker.send(self._worker_request(run))
        try:
            self._worker_interface.check_answer(run, answer)
        except WorkerAnswerError:
            answer.close()
            raise
        self._worker_interface.record_signals(answer, sent_ms)
        return answer

    def _worker_request(self, run: Run) -> WorkerRequest:
        work = run.work
        left_ms = run.until_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise WorkerDeadlineError('no time is left to run')
        headers = self._worker_interface.headers(run, left_ms)
        return WorkerRequest(
            work.method,
            work.target,
            headers,
            run.body,
            left_ms,
            work.request_id,
        )

    def _forward_answer(
        self,
        run: Run,
        answer: WorkerAnswer,
        exchange: Exchange,
        max_kept_bytes: int,
    ) -> RunResult:
        result = RunResult(Answer(answer.status, answer.headers))
        try:
            self._forward(run, answer, result, exchange, max_kept_bytes)
        except RunCancelledError:
            answer.close()
            raise
        except WorkerAnswerError as error:
            answer.close()
            self._start_cancel(run)
            return _fail(
                make_failure('worker-cut', str(error), ran=True), exchange
            )
        except LinkError:
            # The answer is kept even if it can no longer be delivered.
            answer.close()
            return result
        if result.failure is not None:
            exchange.send(result.failure)
        return result

    def _forward(
        self,
        run: Run,
        answer: WorkerAnswer,
        result: RunResult,
        exchange: Exchange,
        max_kept_bytes: int,
    ) -> None:
        body = self._read_short_body(answer, result)
        if body is None:
            self._stream(run, answer, exchange)
            return
        # The connection is free before the caller can send its next request.
        answer.release()
        if body is not None and result.failure is None:
            result.body = body if len(body) <= max_kept_bytes else None
            exchange.send(WholeAnswer(answer.status, answer.headers, body))

    def _stream(
        self, run: Run, answer: WorkerAnswer, exchange: Exchange
    ) -> None:
        exchange.send(Answer(answer.status, answer.headers))
        read_ahead = ReadAhead(exchange)
        try:
            length = read_ahead.read(answer.chunks())
            answer.release()
            run.on_answer_read(length)
            read_ahead.wait()
        finally:
            read_ahead.close()
        exchange.send(End(length))

    @property
    def _longest_whole(self) -> int:
        """Return how long an answer may be to be sent in one message, bytes."""
        share = round(SEND_QUEUE.window * _WHOLE_ANSWER_SHARE)
        return min(self._max_buffered_bytes, max(share, _ALWAYS_WHOLE_BYTES))

    def _read_short_body(
        self, answer: WorkerAnswer, result: RunResult
    ) -> bytes | None:
        """Return the body of a short answer, None for one to be streamed.

        If the answer says that the request did not run, the failure is set in
        the result.
        """
        length = answer.body_length
        may_refuse = self._worker_interface.may_refuse(answer)
        if not may_refuse and (length is None or length > self._longest_whole):
            return None
        # A worker that follows the protocol sends no longer refusals.
        body = answer.read_body(
            max(self._max_buffered_bytes, MAX_INLINE_BODY_BYTES)
        )
        kind = (
            self._worker_interface.refusal_kind(answer, body)
            if may_refuse
            else None
        )
        if kind is not None:
            detail = f'the worker refused it with status {answer.status}'
            result.failure = make_failure(kind, detail, ran=False)
        return body

    def _stop_run(self, run: Run, greenlet_to_stop: greenlet) -> None:
        """Stop a request that the requesting side has cancelled."""
        if self._worker_interface.cancel(self._worker, run):
            return
        # The exception closes the connection to the worker.
        error = RunCancelledError('nobody waits for it')
        if greenlet_to_stop is eventlet.getcurrent():
            raise error
        eventlet.kill(greenlet_to_stop, error)

    def _start_cancel(self, run: Run) -> None:
        start(self._worker_interface.cancel, self._worker, run)


def _fail(failure: Failure, exchange: Exchange) -> RunResult:
    exchange.send(failure)
    return RunResult(failure=failure)
