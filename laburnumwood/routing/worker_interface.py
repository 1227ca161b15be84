"""How a worker is spoken to, and what its answers mean."""

from typing import Protocol

from laburnumwood.routing.run import Run
from laburnumwood.upstream.pool import WorkerAnswer
from laburnumwood.upstream.refusals import FENCED, may_be_refusal, parse_refusal
from laburnumwood.upstream.worker import Worker

Headers = tuple[tuple[str, str], ...]

NOT_OWNER = 'not-owner'
REFUSED = 'refused'
REJECTED = 'rejected'


class WorkerInterface(Protocol):
    """The headers of requests to a worker, and the reading of its answers."""

    def headers(self, run: Run, left_ms: int) -> Headers:
        """Return the headers of a request with so much time left."""

    def may_refuse(self, answer: WorkerAnswer) -> bool:
        """Tell whether an answer may say that the request did not run."""

    def refusal(self, answer: WorkerAnswer, body: bytes) -> str | None:
        """Return the kind of problem if a request did not run, else None."""

    def check(self, run: Run, answer: WorkerAnswer) -> None:
        """Raise `WorkerAnswerError` if an answer is not that to a request."""

    def cancel(self, worker: Worker, run: Run) -> bool:
        """Stop the work of a request; False if only a closed connection can."""


class NativeWorkerInterface:
    """The project's own headers, refusals and cancellation."""

    def headers(self, run: Run, left_ms: int) -> Headers:
        """Return the headers of a request with so much time left."""
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
        """Tell whether an answer may say that the request did not run."""
        return may_be_refusal(answer)

    def refusal(self, answer: WorkerAnswer, body: bytes) -> str | None:
        """Return the kind of problem if a request did not run, else None."""
        reason = parse_refusal(answer, body)
        if reason is None:
            return None
        return NOT_OWNER if reason == FENCED else REFUSED

    def check(self, run: Run, answer: WorkerAnswer) -> None:
        """Accept every answer: connections are never shared by requests."""

    def cancel(self, worker: Worker, run: Run) -> bool:
        """Ask the worker to stop the work of a request."""
        worker.cancel(run.work.request_id)
        return True
