"""One run of a request on the worker."""

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
    WorkerError,
    WorkerTimeoutError,
    WorkerUnreachableError,
)
from laburnumwood.events import RUN_CANCELLED
from laburnumwood.protocol.messages import (
    Answer,
    Chunk,
    End,
    Failure,
    WholeAnswer,
)
from laburnumwood.routing.exchange import MAX_INLINE_BODY_BYTES, Exchange
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.run import Run
from laburnumwood.routing.shared_lock import SharedLock
from laburnumwood.routing.shared_quarantine import SharedQuarantine
from laburnumwood.routing.worker_interface import WorkerInterface
from laburnumwood.tasks import start
from laburnumwood.upstream.pool import WorkerAnswer
from laburnumwood.upstream.worker import Worker, WorkerRequest

_KIND_BY_ERROR: dict[type[WorkerError], str] = {
    WorkerBusyError: 'overloaded',
    WorkerUnreachableError: 'worker-unreachable',
}


@dataclass(slots=True)
class RunResult:
    """How a run ended: a failure, or the answer with its body if kept."""

    head: Answer | None = None
    body: bytes | None = None
    failure: Failure | None = None

    @property
    def ran(self) -> bool:
        """Tell whether the request may have run."""
        return self.failure is None or self.failure.ran


class Runner:
    """Sends requests to the worker, each once, and passes answers on.

    An answer of `longest_whole` bytes at the most is read whole first.
    The work is cancelled when its asking side goes away or its deadline
    passes.
    """

    def __init__(
        self,
        worker: Worker,
        dialect: WorkerInterface,
        suspicions: SharedQuarantine,
        clock: Clock,
        max_buffered_bytes: int = MAX_INLINE_BODY_BYTES,
    ) -> None:
        self._max_buffered_bytes = max_buffered_bytes
        self._worker = worker
        self._worker_interface = dialect
        self._suspicions = suspicions
        self._lock = SharedLock(clock)
        self._may_be_dead = False
        self._clock = clock

    def run(
        self, run: Run, exchange: Exchange, max_kept_bytes: int = 0
    ) -> RunResult:
        """Run a request; keep its answer up to a number of bytes."""
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
            answer = self._run_unless_suspected(run)
        except (WorkerBusyError, WorkerUnreachableError) as error:
            kind = _KIND_BY_ERROR[type(error)]
            failure = make_failure(kind, str(error), ran=False)
            return _fail(failure, exchange)
        except WorkerTimeoutError as error:
            self._cancel_later(run)
            failure = make_failure('deadline', str(error), ran=True)
            return _fail(failure, exchange)
        except WorkerAnswerError as error:
            failure = make_failure('worker-cut', str(error), ran=True)
            return _fail(failure, exchange)
        return self._forward_answer(run, answer, exchange, max_kept_bytes)

    def _run_unless_suspected(self, run: Run) -> WorkerAnswer:
        service, fingerprint = run.work.service, run.fingerprint
        is_suspected = self._suspicions.quarantine.is_suspected(fingerprint)
        with self._lock.acquired(exclusive=is_suspected):
            answer = self._run_on_live_worker(run)
        if is_suspected:
            self._suspicions.clear(service, fingerprint)
        return answer

    def _run_on_live_worker(self, run: Run) -> WorkerAnswer:
        # What is sent to a worker that is dead already did not kill it.
        if self._may_be_dead and not self._worker.is_responding():
            raise WorkerUnreachableError('the worker was lost')
        self._may_be_dead = False
        try:
            return self._run_checked(run)
        except WorkerTimeoutError:
            raise
        except WorkerAnswerError:
            # A worker that still answers did not die of it.
            if self._worker.is_dead():
                self._may_be_dead = True
                self._suspicions.record_death(run.work.service, run.fingerprint)
            raise

    def _run_checked(self, run: Run) -> WorkerAnswer:
        answer = self._worker.send(self._worker_request(run))
        try:
            self._worker_interface.check(run, answer)
        except WorkerAnswerError:
            answer.close()
            raise
        return answer

    def _worker_request(self, run: Run) -> WorkerRequest:
        work = run.work
        left_ms = max(1, run.until_ms - self._clock.now_ms())
        headers = self._worker_interface.headers(run, left_ms)
        return WorkerRequest(
            work.method, work.target, headers, run.body, left_ms
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
            self._forward(answer, result, exchange, max_kept_bytes)
        except RunCancelledError:
            answer.close()
            raise
        except WorkerAnswerError as error:
            answer.close()
            self._cancel_later(run)
            return _fail(
                make_failure('worker-cut', str(error), ran=True), exchange
            )
        except LinkError:
            # What is kept of an answer does not depend on who hears it.
            answer.close()
            return result
        if result.failure is not None:
            exchange.send(result.failure)
        return result

    def _forward(
        self,
        answer: WorkerAnswer,
        result: RunResult,
        exchange: Exchange,
        max_kept_bytes: int,
    ) -> None:
        body = self._read_short_body(answer, result)
        if body is None:
            _stream(answer, exchange)
        # Given back before the caller can send its next request.
        answer.release()
        if body is not None and result.failure is None:
            result.body = body if len(body) <= max_kept_bytes else None
            exchange.send(WholeAnswer(answer.status, answer.headers, body))

    def _read_short_body(
        self, answer: WorkerAnswer, result: RunResult
    ) -> bytes | None:
        """Return the body of a short answer, None for one that is streamed.

        An answer that says that the request did not run is noted as such.
        """
        length = answer.body_length
        may_refuse = self._worker_interface.may_refuse(answer)
        if not may_refuse and (
            length is None or length > self._max_buffered_bytes
        ):
            return None
        # Longer ones are no refusals of a worker that keeps to its protocol.
        body = answer.read_body(
            max(self._max_buffered_bytes, MAX_INLINE_BODY_BYTES)
        )
        kind = (
            self._worker_interface.refusal(answer, body) if may_refuse else None
        )
        if kind is not None:
            detail = f'the worker refused it with status {answer.status}'
            result.failure = make_failure(kind, detail, ran=False)
        return body

    def _stop_run(self, run: Run, greenlet_to_stop: greenlet) -> None:
        """Stop the work of a request that its asking side gave up."""
        if self._worker_interface.cancel(self._worker, run):
            return
        # Its connection to the worker is closed on the way out.
        error = RunCancelledError('nobody waits for it')
        if greenlet_to_stop is eventlet.getcurrent():
            raise error
        eventlet.kill(greenlet_to_stop, error)

    def _cancel_later(self, run: Run) -> None:
        start(self._worker_interface.cancel, self._worker, run)


def _fail(failure: Failure, exchange: Exchange) -> RunResult:
    exchange.send(failure)
    return RunResult(failure=failure)


def _stream(answer: WorkerAnswer, exchange: Exchange) -> None:
    exchange.send(Answer(answer.status, answer.headers))
    length = 0
    for part in answer.chunks():
        exchange.send(Chunk(part))
        length += len(part)
    exchange.send(End(length))
