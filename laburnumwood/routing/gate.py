"""The gate: the only way to the worker beside a node."""

from collections.abc import Mapping

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import (
    LinkError,
    WorkerCutError,
    WorkerUnreachableError,
)
from laburnumwood.leases.lease import Lease
from laburnumwood.placement.holdings import Holdings
from laburnumwood.protocol.messages import Answer, Chunk, End, Failure, Work
from laburnumwood.records import ShardName
from laburnumwood.routing.exchange import Exchange
from laburnumwood.routing.outcome import failure
from laburnumwood.settings import DaemonSettings
from laburnumwood.upstream.granter import Granter
from laburnumwood.upstream.worker import Order, Worker, WorkerAnswer

_GRANT_POLL_MS = 5
_GRANT_PATIENCE_MS = 500
_QUEUE_PER_SLOT = 2
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
    )
)


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


def _headers(work: Work, token: int | None) -> Mapping[str, str]:
    headers = {
        name: text
        for name, text in work.headers
        if name.lower() not in _HOP_BY_HOP
    }
    headers['Laburnumwood-Service'] = work.service
    headers['Laburnumwood-Key'] = work.key
    headers['Laburnumwood-Request'] = work.request_id
    headers['Laburnumwood-Deadline-Ms'] = str(work.deadline_ms)
    if token is not None:
        headers['Laburnumwood-Shard'] = str(work.shard)
        headers['Laburnumwood-Token'] = str(token)
    return headers


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
        self._worker = worker
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
        body = read_body(exchange, work.deadline_ms)
        if work.shard < 0:
            exchange_with_worker(self._worker, exchange, work, body, None)
            return
        shard = ShardName(work.service, work.shard)
        token = self._holdings.enter(shard)
        if token is None:
            detail = f'{self._settings.node_id} does not own {shard}'
            exchange.send(failure('not-owner', detail, ran=False))
            return
        try:
            self._serve_owned(exchange, work, body, token)
        finally:
            self._holdings.leave(shard)

    def _serve_owned(
        self, exchange: Exchange, work: Work, body: bytes, token: int
    ) -> None:
        shard = ShardName(work.service, work.shard)
        ready = self._wait_for_grant(shard, token)
        if not ready or not self._may_act():
            detail = f'{self._settings.node_id} may not act for {shard}'
            exchange.send(failure('not-owner', detail, ran=False))
            return
        exchange_with_worker(self._worker, exchange, work, body, token)

    def _may_act(self) -> bool:
        guard_ms = self._settings.lease.guard_ms
        left_ms = self._lease.holds_until_ms() - self._clock.now_ms()
        return left_ms > guard_ms

    def _wait_for_grant(self, shard: ShardName, token: int) -> bool:
        for _ in range(_GRANT_PATIENCE_MS // _GRANT_POLL_MS):
            if self._granter.covers(shard, token):
                return True
            eventlet.sleep(_GRANT_POLL_MS / MS_PER_SECOND)
        return False


def exchange_with_worker(
    worker: Worker,
    exchange: Exchange,
    work: Work,
    body: bytes,
    token: int | None,
) -> None:
    """Send a request to the worker once and pass its answer on."""
    order = Order(
        work.method, work.target, _headers(work, token), body, work.deadline_ms
    )
    try:
        answer = worker.run(order)
    except WorkerUnreachableError as unreachable:
        told = failure('worker-unreachable', str(unreachable), ran=False)
        exchange.send(told)
    except WorkerCutError as cut:
        exchange.send(failure('worker-cut', str(cut), ran=True))
    else:
        _pass_on(answer, exchange)


def _pass_on(answer: WorkerAnswer, exchange: Exchange) -> None:
    length = 0
    try:
        exchange.send(Answer(answer.status, answer.headers))
        for part in answer.chunks():
            exchange.send(Chunk(part))
            length += len(part)
    except WorkerCutError as cut:
        answer.close()
        exchange.send(Failure('worker-cut', ran=True, detail=str(cut)))
    except LinkError:
        answer.close()
        raise
    else:
        answer.release()
        exchange.send(End(length))
