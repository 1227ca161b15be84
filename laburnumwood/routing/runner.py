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
from laburnumwood.routing.exchange import LONGEST_INLINE, Exchange
from laburnumwood.routing.problems import failure
from laburnumwood.routing.run import Run
from laburnumwood.routing.shared_lock import Solitude
from laburnumwood.routing.shared_quarantine import Suspicions
from laburnumwood.routing.worker_interface import Dialect
from laburnumwood.tasks import start
from laburnumwood.upstream.pool import WorkerAnswer
from laburnumwood.upstream.worker import Worker, WorkerRequest

_NOT_SENT: dict[type[WorkerError], str] = {
    WorkerBusyError: 'overloaded',
    WorkerUnreachableError: 'worker-unreachable',
}


@dataclass(slots=True)
class Result:
    """How a run ended: a failure, or the answer with its body if kept."""

    head: Answer | None = None
    body: bytes | None = None
    told: Failure | None = None

    @property
    def ran(self) -> bool:
        """Tell whether the request may have run."""
        return self.told is None or self.told.ran


class Runner:
    """Sends requests to the worker, each once, and passes answers on.

    An answer of `longest_whole` bytes at the most is read whole first.
    The work is cancelled when its asking side goes away or its deadline
    passes.
    """

    def __init__(
        self,
        worker: Worker,
        dialect: Dialect,
        suspicions: Suspicions,
        clock: Clock,
        longest_whole: int = LONGEST_INLINE,
    ) -> None:
        self._longest_whole = longest_whole
        self._worker = worker
        self._dialect = dialect
        self._suspicions = suspicions
        self._solitude = Solitude(clock)
        self._is_in_doubt = False
        self._clock = clock

    def run(self, run: Run, exchange: Exchange, kept: int = 0) -> Result:
        """Run a request; keep its answer up to a number of bytes."""
        started_ms = self._clock.now_ms()
        if run.until_ms <= started_ms:
            told = failure('deadline', 'no time is left to run', ran=False)
            return _give_up(told, exchange)
        task = eventlet.getcurrent()
        try:
            exchange.when_message(partial(self._stop, run, task))
            return self._exchange(run, exchange, kept)
        except RunCancelledError as cancelled:
            now_ms = self._clock.now_ms()
            RUN_CANCELLED.report(
                request=run.work.request_id,
                service=run.work.service,
                after_ms=now_ms - started_ms,
                left_ms=run.until_ms - now_ms,
            )
            return Result(told=failure('cancelled', str(cancelled), ran=True))
        finally:
            exchange.when_message(None)

    def _exchange(self, run: Run, exchange: Exchange, kept: int) -> Result:
        try:
            answer = self._run_guarded(run)
        except (WorkerBusyError, WorkerUnreachableError) as not_sent:
            kind = _NOT_SENT[type(not_sent)]
            told = failure(kind, str(not_sent), ran=False)
            return _give_up(told, exchange)
        except WorkerTimeoutError as late:
            self._cancel(run)
            told = failure('deadline', str(late), ran=True)
            return _give_up(told, exchange)
        except WorkerAnswerError as cut:
            told = failure('worker-cut', str(cut), ran=True)
            return _give_up(told, exchange)
        return self._take(run, answer, exchange, kept)

    def _run_guarded(self, run: Run) -> WorkerAnswer:
        service, fingerprint = run.work.service, run.fingerprint
        alone = self._suspicions.quarantine.is_suspected(fingerprint)
        with self._solitude.entered(alone=alone):
            answer = self._run_on_live_worker(run)
        if alone:
            self._suspicions.clear(service, fingerprint)
        return answer

    def _run_on_live_worker(self, run: Run) -> WorkerAnswer:
        # What is sent to a worker that is dead already did not kill it.
        if self._is_in_doubt and not self._worker.is_responding():
            raise WorkerUnreachableError('the worker was lost')
        self._is_in_doubt = False
        try:
            return self._run_checked(run)
        except WorkerTimeoutError:
            raise
        except WorkerAnswerError:
            # A worker that still answers did not die of it.
            if self._worker.is_dead():
                self._is_in_doubt = True
                self._suspicions.blame(run.work.service, run.fingerprint)
            raise

    def _run_checked(self, run: Run) -> WorkerAnswer:
        answer = self._worker.send(self._order(run))
        try:
            self._dialect.check(run, answer)
        except WorkerAnswerError:
            answer.close()
            raise
        return answer

    def _order(self, run: Run) -> WorkerRequest:
        work = run.work
        left_ms = max(1, run.until_ms - self._clock.now_ms())
        headers = self._dialect.headers(run, left_ms)
        return WorkerRequest(
            work.method, work.target, headers, run.body, left_ms
        )

    def _take(
        self, run: Run, answer: WorkerAnswer, exchange: Exchange, kept: int
    ) -> Result:
        result = Result(Answer(answer.status, answer.headers))
        try:
            self._pass_on(answer, result, exchange, kept)
        except RunCancelledError:
            answer.close()
            raise
        except WorkerAnswerError as cut:
            answer.close()
            self._cancel(run)
            return _give_up(failure('worker-cut', str(cut), ran=True), exchange)
        except LinkError:
            # What is kept of an answer does not depend on who hears it.
            answer.close()
            return result
        if result.told is not None:
            exchange.send(result.told)
        return result

    def _pass_on(
        self,
        answer: WorkerAnswer,
        result: Result,
        exchange: Exchange,
        kept: int,
    ) -> None:
        body = self._whole_body(answer, result)
        if body is None:
            _stream(answer, exchange)
        # Given back before the caller can send its next request.
        answer.release()
        if body is not None and result.told is None:
            result.body = body if len(body) <= kept else None
            exchange.send(WholeAnswer(answer.status, answer.headers, body))

    def _whole_body(self, answer: WorkerAnswer, result: Result) -> bytes | None:
        """Return the body of a short answer, None for one that is streamed.

        An answer that says that the request did not run is noted as such.
        """
        length = answer.body_length
        may_refuse = self._dialect.may_refuse(answer)
        if not may_refuse and (length is None or length > self._longest_whole):
            return None
        # Longer ones are no refusals of a worker that keeps to its protocol.
        body = answer.read_body(max(self._longest_whole, LONGEST_INLINE))
        kind = self._dialect.refusal(answer, body) if may_refuse else None
        if kind is not None:
            detail = f'the worker refused it with status {answer.status}'
            result.told = failure(kind, detail, ran=False)
        return body

    def _stop(self, run: Run, task: greenlet) -> None:
        """Stop the work of a request that its asking side gave up."""
        if self._dialect.cancel(self._worker, run):
            return
        # Its connection to the worker is closed on the way out.
        cancelled = RunCancelledError('nobody waits for it')
        if task is eventlet.getcurrent():
            raise cancelled
        eventlet.kill(task, cancelled)

    def _cancel(self, run: Run) -> None:
        start(self._dialect.cancel, self._worker, run)


def _give_up(told: Failure, exchange: Exchange) -> Result:
    exchange.send(told)
    return Result(told=told)


def _stream(answer: WorkerAnswer, exchange: Exchange) -> None:
    exchange.send(Answer(answer.status, answer.headers))
    length = 0
    for part in answer.chunks():
        exchange.send(Chunk(part))
        length += len(part)
    exchange.send(End(length))
