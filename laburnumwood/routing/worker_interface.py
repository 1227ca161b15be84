"""HTTP conventions between a node and its worker."""

from collections.abc import Mapping
from typing import Protocol

from laburnumwood.routing.run import Run
from laburnumwood.upstream.pool import WorkerAnswer
from laburnumwood.upstream.refusals import FENCED, may_be_refusal, parse_refusal
from laburnumwood.upstream.worker import WorkerClient

Headers = tuple[tuple[str, str], ...]

NOT_OWNER = 'not-owner'
REFUSED = 'refused'
REJECTED = 'rejected'


class WorkerInterface(Protocol):
    """Headers of requests to a worker, and interpretation of its answers."""

    def headers(self, run: Run, left_ms: int) -> Headers:
        """Return the headers of a request that has `left_ms` to run."""

    def may_refuse(self, answer: WorkerAnswer) -> bool:
        """Return whether an answer may say that the request did not run."""

    def refusal_kind(self, answer: WorkerAnswer, body: bytes) -> str | None:
        """Return the problem kind if the request did not run, else None."""

    def check_answer(self, run: Run, answer: WorkerAnswer) -> None:
        """Raise `WorkerAnswerError` if an answer belongs to another request."""

    def record_signals(self, answer: WorkerAnswer, sent_ms: int) -> None:
        """Record what an answer says about the worker itself.

        `sent_ms` is when the request was sent.
        """

    def record_health(self, headers: Mapping[str, str]) -> None:
        """Record what the answer to a health check says about the worker."""

    def cancel(self, worker: WorkerClient, run: Run) -> bool:
        """Ask the worker to stop a request.

        Returns False if only closing its connection stops it.
        """


class NativeWorkerInterface:
    """The `Laburnumwood-*` headers, error bodies and cancel call."""

    def headers(self, run: Run, left_ms: int) -> Headers:
        """Return the headers of a request that has `left_ms` to run."""
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

    def may_refuse(self, answer: WorkerAnswer) -> bool:
        """Return whether an answer may say that the request did not run."""
        return may_be_refusal(answer)

    def refusal_kind(self, answer: WorkerAnswer, body: bytes) -> str | None:
        """Return the problem kind if the request did not run, else None."""
        reason = parse_refusal(answer, body)
        if reason is None:
            return None
        return NOT_OWNER if reason == FENCED else REFUSED

    def check_answer(self, run: Run, answer: WorkerAnswer) -> None:
        """Accept every answer: a connection carries one request at a time."""

    def record_signals(self, answer: WorkerAnswer, sent_ms: int) -> None:
        """Do nothing: the worker says in no answer how it is."""

    def record_health(self, headers: Mapping[str, str]) -> None:
        """Do nothing: the worker says nothing about itself."""

    def cancel(self, worker: WorkerClient, run: Run) -> bool:
        """Call the cancel path of the worker; always returns True."""
        worker.cancel(run.work.request_id)
        return True
