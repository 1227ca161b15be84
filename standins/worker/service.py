"""Admission and execution of work."""

import os
from contextlib import ExitStack

from standins.answers import Answer, RefusedError, json_answer
from standins.requests import Request
from standins.worker.bodies import body_of, checksum_of
from standins.worker.downloads import Download
from standins.worker.grants import GrantTable
from standins.worker.journal import Journal
from standins.worker.options import WorkerOptions
from standins.worker.orders import Order
from standins.worker.pool import RunPool
from standins.worker.runs import Run
from standins.worker.switches import Switches

STOP_STATUSES = {'deadline': 504, 'cancelled': 499, 'stopped': 503}
CRASH_STATUS = 1


class WorkService:
    """Admits orders, runs them and records them in the journal."""

    def __init__(
        self,
        options: WorkerOptions,
        grants: GrantTable,
        journal: Journal,
        pool: RunPool,
        switches: Switches,
    ) -> None:
        self._options = options
        self._grants = grants
        self._journal = journal
        self._pool = pool
        self._switches = switches

    def serve(self, order: Order, request: Request, checksum: str) -> Answer:
        """Run one order and return its answer.

        Raises RefusedError if it is not admitted or stopped early.
        """
        run = self._admit(order)
        with ExitStack() as stack:
            stack.callback(run.finish)
            entry = run.start()
            if order.crash:
                os._exit(CRASH_STATUS)
            if not run.work(self._duration_ms(order)):
                raise _stop_refusal(run)
            if order.download_bytes is None or order.method == 'HEAD':
                return self._receipt(order, checksum, entry.index)
            stack.pop_all()
            return self._download(run, order.download_bytes, request)
        raise _stop_refusal(run)

    def _admit(self, order: Order) -> Run:
        refusal = self._refusal(order)
        if refusal is not None:
            self._journal.record_refusal(order)
            raise refusal
        return self._pool.open_run(order, self._journal)

    def _refusal(self, order: Order) -> RefusedError | None:
        if self._pool.draining:
            return RefusedError(503, 'draining')
        shard_id = order.shard_id
        if shard_id and not self._grants.admits(shard_id, order.token):
            return RefusedError(409, 'fenced')
        if self._pool.full:
            return RefusedError(503, 'busy')
        return None

    def _duration_ms(self, order: Order) -> float:
        settings = self._switches.settings
        choices = (order.work_ms, settings.work_ms, self._options.work_ms)
        work_ms = next(choice for choice in choices if choice is not None)
        duration_ms = work_ms * settings.slow_factor
        shard_id = order.shard_id
        if shard_id and self._grants.mark_warm(shard_id, order.key):
            duration_ms += self._options.cold_start_ms
        return duration_ms

    def _receipt(self, order: Order, checksum: str, index: int) -> Answer:
        return json_answer(
            {
                'request': order.request,
                'key': order.key,
                'worker': self._options.name,
                'token': order.token,
                'method': order.method,
                'body_checksum': checksum,
                'run': index,
            }
        )

    def _download(self, run: Run, size: int, request: Request) -> Answer:
        body = body_of(run.order.request, size)
        headers = {
            'Content-Type': 'application/octet-stream',
            'Content-Length': str(size),
            'Laburnumwood-Checksum': checksum_of(body),
        }
        download = Download(run, body, request.connection, self._switches)
        return Answer(200, download, headers)


def _stop_refusal(run: Run) -> RefusedError:
    error = run.stop_error or 'cancelled'
    return RefusedError(STOP_STATUSES[error], error)
