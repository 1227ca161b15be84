"""One run of a request on the worker."""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

import eventlet
from xxhash import xxh3_128

from laburnumwood.clock import Clock
from laburnumwood.errors import (
    LinkError,
    LinkTimeoutError,
    WorkerBusyError,
    WorkerCutError,
    WorkerError,
    WorkerTimeoutError,
    WorkerUnreachableError,
)
from laburnumwood.protocol.messages import Answer, Chunk, End, Failure, Work
from laburnumwood.routing.exchange import Exchange
from laburnumwood.routing.outcome import failure
from laburnumwood.routing.solitude import Solitude
from laburnumwood.routing.suspicions import Suspicions
from laburnumwood.upstream.refusals import FENCED, may_be_refusal, refusal_in
from laburnumwood.upstream.worker import Order, Worker, WorkerAnswer

_NO_BODY = b''
_NOT_SENT: dict[type[WorkerError], str] = {
    WorkerBusyError: 'overloaded',
    WorkerUnreachableError: 'worker-unreachable',
}


@dataclass(frozen=True)  # no slots: the fingerprint is kept once made
class Run:
    """A request that was let in: its body, token and end in time."""

    work: Work
    body: bytes
    token: int | None
    until_ms: int

    @cached_property
    def fingerprint(self) -> str:
        """Return what two requests share only if they ask for the same."""
        digest = xxh3_128(self.body)
        for part in (self.work.method, self.work.target, self.work.key):
            digest.update(f'{len(part)}:{part}'.encode())
        return digest.hexdigest()


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


def _headers(run: Run, left_ms: int) -> tuple[tuple[str, str], ...]:
    work = run.work
    own = [
        ('Laburnumwood-Service', work.service),
        ('Laburnumwood-Key', work.key),
        ('Laburnumwood-Request', work.request_id),
        ('Laburnumwood-Deadline-Ms', str(left_ms)),
    ]
    if run.token is not None:
        own.append(('Laburnumwood-Shard', str(work.shard)))
        own.append(('Laburnumwood-Token', str(run.token)))
    return (*work.headers, *own)


class Runner:
    """Sends requests to the worker, each once, and passes answers on.

    The work is cancelled when its asking side goes away or its deadline
    passes.
    """

    def __init__(
        self, worker: Worker, suspicions: Suspicions, clock: Clock
    ) -> None:
        self._worker = worker
        self._suspicions = suspicions
        self._solitude = Solitude(clock)
        self._is_in_doubt = False
        self._clock = clock

    def run(self, run: Run, exchange: Exchange, kept: int = 0) -> Result:
        """Run a request; keep its answer up to a number of bytes."""
        left_ms = run.until_ms - self._clock.now_ms()
        if left_ms <= 0:
            told = failure('deadline', 'no time is left to run', ran=False)
            return _give_up(told, exchange)
        watcher = eventlet.spawn(self._watch, run, exchange)
        try:
            return self._exchange(run, exchange, kept)
        finally:
            watcher.kill()

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
        except WorkerCutError as cut:
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
        if self._is_in_doubt and not self._worker.answers():
            raise WorkerUnreachableError('the worker was lost')
        self._is_in_doubt = False
        try:
            return self._worker.run(self._order(run))
        except WorkerTimeoutError:
            raise
        except WorkerCutError:
            self._is_in_doubt = True
            self._suspicions.blame(run.work.service, run.fingerprint)
            raise

    def _order(self, run: Run) -> Order:
        work = run.work
        left_ms = max(1, run.until_ms - self._clock.now_ms())
        headers = _headers(run, left_ms)
        return Order(work.method, work.target, headers, run.body, left_ms)

    def _take(
        self, run: Run, answer: WorkerAnswer, exchange: Exchange, kept: int
    ) -> Result:
        result = Result(Answer(answer.status, answer.headers))
        try:
            parts = _checked(answer, result, kept)
            if result.told is None:
                _pass_on(parts, result, exchange)
        except WorkerCutError as cut:
            answer.close()
            self._cancel(run)
            return _give_up(failure('worker-cut', str(cut), ran=True), exchange)
        except LinkError:
            # What is kept of an answer does not depend on who hears it.
            answer.close()
            return result
        answer.release()
        if result.told is not None:
            exchange.send(result.told)
        return result

    def _watch(self, run: Run, exchange: Exchange) -> None:
        left_ms = run.until_ms - self._clock.now_ms()
        try:
            exchange.receive(left_ms)
        except LinkTimeoutError:
            return  # the limit of the call itself ends it
        except LinkError:
            self._cancel(run)
        else:
            self._cancel(run)

    def _cancel(self, run: Run) -> None:
        eventlet.spawn_n(self._worker.cancel, run.work.request_id)


def _give_up(told: Failure, exchange: Exchange) -> Result:
    exchange.send(told)
    return Result(told=told)


def _checked(
    answer: WorkerAnswer, result: Result, kept: int
) -> Iterable[bytes]:
    """Return the parts of an answer; a short one is read to its end first."""
    length = answer.body_length
    short = length is not None and length <= kept
    if not short and not may_be_refusal(answer):
        return answer.chunks()
    body = _NO_BODY.join(answer.chunks())
    reason = refusal_in(answer, body) if may_be_refusal(answer) else None
    if reason is not None:
        kind = 'not-owner' if reason == FENCED else 'refused'
        result.told = failure(kind, f'worker: {reason}', ran=False)
    if short:
        result.body = body
    return (body,)


def _pass_on(
    parts: Iterable[bytes], result: Result, exchange: Exchange
) -> None:
    exchange.send(result.head)
    length = 0
    for part in parts:
        exchange.send(Chunk(part))
        length += len(part)
    exchange.send(End(length))
