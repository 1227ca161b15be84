"""The gate: the only way to the worker beside a node."""

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager, suppress
from dataclasses import replace
from typing import Protocol

import eventlet

from laburnumwood.admission.control import ADMISSIONS
from laburnumwood.admission.tickets import Ticket
from laburnumwood.admission.waiting import Admitter
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.declarations import Service
from laburnumwood.errors import (
    LinkError,
    OverloadedError,
    WorkerCutError,
    WorkerUnreachableError,
)
from laburnumwood.leases.lease import Lease
from laburnumwood.placement.holdings import Holdings
from laburnumwood.protocol.messages import Answer, Chunk, End, Failure, Work
from laburnumwood.records import ShardName
from laburnumwood.routing.exchange import Exchange
from laburnumwood.routing.observed import ObservedExchange
from laburnumwood.routing.outcome import failure, overloaded
from laburnumwood.routing.priorities import line_of
from laburnumwood.settings import DaemonSettings
from laburnumwood.upstream.granter import Granter
from laburnumwood.upstream.worker import Order, Worker, WorkerAnswer

Services = Callable[[], Mapping[str, Service]]


class Account(Protocol):
    """Counts what each owner's capacity carries."""

    def busy(self, service: str) -> AbstractContextManager[None]:
        """Count a slot as busy for a service."""


_GRANT_POLL_MS = 5
_GRANT_PATIENCE_MS = 500
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
        services: Services,
        account: Account,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._holdings = holdings
        self._granter = granter
        self._worker = worker
        self._services = services
        self._account = account
        self._clock = clock
        self._admitter = Admitter(
            ADMISSIONS[settings.admission.policy](settings, clock), clock
        )

    @property
    def running(self) -> int:
        """Return how many requests are in flight to the worker."""
        return self._admitter.running

    @property
    def waiting(self) -> int:
        """Return how many requests wait to be let in."""
        return self._admitter.waiting

    def hint(self, reported: int) -> None:
        """Take in how many requests the worker says it runs."""
        self._admitter.hint(reported)

    def serve(self, exchange: Exchange, work: Work) -> None:
        """Answer one request on its exchange."""
        # After a link error nobody is left to be told.
        with suppress(LinkError):
            try:
                self._serve_in_turn(exchange, work, self._ticket(work))
            except OverloadedError as shed:
                exchange.send(overloaded(shed.retry_after_ms))

    def _ticket(self, work: Work) -> Ticket:
        deadline_ms = self._clock.now_ms() + work.deadline_ms
        service = self._services().get(work.service)
        return Ticket(work.key, deadline_ms, line_of(work, service))

    def _serve_in_turn(
        self, exchange: Exchange, work: Work, ticket: Ticket
    ) -> None:
        busy = self._account.busy(work.service)
        with self._admitter.admitted(ticket), busy:
            left_ms = max(ticket.deadline_ms - self._clock.now_ms(), 1)
            observed = ObservedExchange(exchange, ticket, self._clock)
            self._serve_admitted(observed, replace(work, deadline_ms=left_ms))

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
