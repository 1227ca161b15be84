"""The gate: the only way to the worker beside a node."""

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError
from laburnumwood.leases.lease import Lease
from laburnumwood.placement.holdings import Holdings
from laburnumwood.protocol.messages import Chunk, End, Work
from laburnumwood.records import ShardName
from laburnumwood.routing.exchange import Exchange
from laburnumwood.routing.outcome import failure
from laburnumwood.routing.running import Run, Runner
from laburnumwood.settings import DaemonSettings
from laburnumwood.upstream.granter import Granter
from laburnumwood.upstream.worker import Worker

_GRANT_POLL_MS = 5
_GRANT_PATIENCE_MS = 500
_QUEUE_PER_SLOT = 2


def read_body(exchange: Exchange, timeout_ms: int) -> bytes:
    """Return the whole body that follows on an exchange.

    Raises `LinkError` if it is cut short.
    """
    parts: list[bytes] = []
    while True:
        message = exchange.receive(timeout_ms)
        if isinstance(message, Chunk):
            parts.append(message.content)
        elif isinstance(message, End):
            return _whole(b''.join(parts), message.length)
        else:
            raise LinkError('the body was given up')


def _whole(body: bytes, length: int) -> bytes:
    if len(body) != length:
        raise LinkError('the body is not whole')
    return body


class Gate:
    """Lets a request through to the worker while this node may act for it."""

    def __init__(
        self,
        settings: DaemonSettings,
        lease: Lease,
        holdings: Holdings,
        granter: Granter,
        worker: Worker,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._holdings = holdings
        self._granter = granter
        self._runner = Runner(worker, clock)
        self._clock = clock
        self._running = 0

    @property
    def running(self) -> int:
        """Return how many requests are in flight."""
        return self._running

    def serve(self, exchange: Exchange, work: Work) -> None:
        """Answer one request on its exchange."""
        limit = self._settings.slots * _QUEUE_PER_SLOT
        if self._running >= limit:
            exchange.send(failure('overloaded', 'no slot is free', ran=False))
            return
        self._running += 1
        try:
            self._serve_admitted(exchange, work)
        except LinkError:
            return  # the asking side is gone: nobody is left to be told
        finally:
            self._running -= 1

    def _serve_admitted(self, exchange: Exchange, work: Work) -> None:
        until_ms = self._clock.now_ms() + work.deadline_ms
        body = read_body(exchange, work.deadline_ms)
        if work.shard < 0:
            self._runner.run(Run(work, body, None, until_ms), exchange)
            return
        shard = ShardName(work.service, work.shard)
        token = self._holdings.enter(shard)
        if token is None:
            detail = f'{self._settings.node_id} does not own {shard}'
            exchange.send(failure('not-owner', detail, ran=False))
            return
        try:
            self._serve_owned(exchange, Run(work, body, token, until_ms))
        finally:
            self._holdings.leave(shard)

    def _serve_owned(self, exchange: Exchange, run: Run) -> None:
        shard = ShardName(run.work.service, run.work.shard)
        ready = self._wait_for_grant(shard, run.token)
        if not ready or not self._may_act():
            detail = f'{self._settings.node_id} may not act for {shard}'
            exchange.send(failure('not-owner', detail, ran=False))
            return
        self._runner.run(run, exchange)

    def _may_act(self) -> bool:
        guard_ms = self._settings.lease.guard_ms
        left_ms = self._lease.holds_until_ms() - self._clock.now_ms()
        return left_ms > guard_ms

    def _wait_for_grant(self, shard: ShardName, token: int | None) -> bool:
        for _ in range(_GRANT_PATIENCE_MS // _GRANT_POLL_MS):
            if self._granter.covers(shard, token):
                return True
            eventlet.sleep(_GRANT_POLL_MS / MS_PER_SECOND)
        return False
