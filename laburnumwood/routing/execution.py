"""Execution of admitted requests, at most once per idempotency key."""

from collections.abc import Callable

from laburnumwood.clock import Clock
from laburnumwood.protocol.messages import Answer, Chunk, End, Failure
from laburnumwood.routing.exchange import Exchange
from laburnumwood.routing.ledger import MAX_KEPT_BODY_BYTES
from laburnumwood.routing.ledger_replication import LedgerReplicator
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.run import Run
from laburnumwood.routing.runner import Runner, RunResult
from laburnumwood.routing.shared_quarantine import SharedQuarantine
from laburnumwood.routing.worker_interface import WorkerInterface
from laburnumwood.upstream.worker import WorkerClient

ExecutionCheck = Callable[[], bool]


class Executor:
    """Runs admitted requests on the worker.

    A request with an idempotency key runs only after it was recorded in the
    run ledger.
    """

    def __init__(
        self,
        worker: WorkerClient,
        worker_interface: WorkerInterface,
        ledger: LedgerReplicator,
        shared_quarantine: SharedQuarantine,
        clock: Clock,
    ) -> None:
        self._runner = Runner(
            worker, worker_interface, shared_quarantine, clock
        )
        self._ledger = ledger
        self._quarantine = shared_quarantine.quarantine

    def execute(
        self, exchange: Exchange, run: Run, may_execute: ExecutionCheck
    ) -> None:
        """Run a request and answer it on its exchange.

        `may_execute` returns whether this node still owns the shard; it is
        called immediately before the run.
        """
        if run.work.idempotent or run.work.idempotency_key == '':
            self._run(exchange, run, may_execute)
            return
        recorded = self._ledger.admit(run)
        if isinstance(recorded, Failure):
            exchange.send(recorded)
        elif recorded is None:
            self._run_recorded(exchange, run, may_execute)
        else:
            _replay(exchange, *recorded)

    def _run(
        self, exchange: Exchange, run: Run, may_execute: ExecutionCheck
    ) -> RunResult:
        barred_for_ms = self._quarantine.barred_for_ms(run.fingerprint)
        if barred_for_ms:
            detail = 'workers crashed whenever they ran this request'
            failure = Failure('quarantined', False, detail, barred_for_ms)
            exchange.send(failure)
            return RunResult(failure=failure)
        if may_execute():
            return self._runner.run(run, exchange, MAX_KEPT_BODY_BYTES)
        detail = f'no lease to act for {run.work.service}/{run.work.shard}'
        failure = make_failure('not-owner', detail, ran=False)
        exchange.send(failure)
        return RunResult(failure=failure)

    def _run_recorded(
        self, exchange: Exchange, run: Run, may_execute: ExecutionCheck
    ) -> None:
        outcome = None
        try:
            outcome = self._run(exchange, run, may_execute)
        finally:
            self._ledger.record_outcome(run, outcome)


def _replay(exchange: Exchange, head: Answer, body: bytes) -> None:
    exchange.send(head)
    exchange.send(Chunk(body))
    exchange.send(End(len(body)))
