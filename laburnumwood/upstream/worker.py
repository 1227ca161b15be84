"""The client of the worker on this node's VM."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any

import eventlet
from pydantic import BaseModel, Field, ValidationError
from urllib3 import Retry, Timeout, connection_from_url
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import WorkerBusyError, WorkerUnreachableError
from laburnumwood.header_index import Header
from laburnumwood.records import ShardName
from laburnumwood.resources.bodies import Body
from laburnumwood.upstream.connection import WorkerConnection, request_head
from laburnumwood.upstream.pool import (
    ConnectionPool,
    WorkerAnswer,
    to_worker_error,
)
from laburnumwood.warmup.worker_warmup import WorkerWarmUp

_CONTROL_TIMEOUT_S = 0.5
_MAX_SILENCE_MS = 10_000  # between two parts of an answer
_OK = 200
_SHUTDOWN_GRACE_MS = 30
_CONTROL_CONNECTIONS = 2
_METHODS_USUALLY_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request to the worker.

    `timeout_ms` is the time left until the deadline of the request.  A request
    with a `request_id` goes on no connection on which one with the same id was
    sent: a late second answer to that one would be taken for its own.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: Body
    timeout_ms: int
    request_id: str = ''

    @property
    def all_headers(self) -> tuple[Header, ...]:
        """Return the headers, with Host and Content-Length where needed."""
        added = []
        if not any(name.lower() == 'host' for name, _ in self.headers):
            added.append(('Host', 'worker'))
        if self.body or self.method not in _METHODS_USUALLY_WITHOUT_BODY:
            added.append(('Content-Length', str(len(self.body))))
        return (*self.headers, *added)


class LoadReport(BaseModel):
    """The load that a worker reports; unknown fields are ignored."""

    running: int = Field(ge=0)


def _reason(failure: HTTPError) -> object:
    return getattr(failure, 'reason', failure)


def _is_timeout(reason: object) -> bool:
    # urllib3 derives the error of a refused connection from that of a timeout.
    is_timeout = isinstance(reason, (ConnectTimeoutError, ReadTimeoutError))
    return is_timeout and not isinstance(reason, NewConnectionError)


def _ignore_headers(_headers: Mapping[str, str]) -> None:
    """Do nothing: the worker says nothing in its headers."""


class WorkerClient:
    """A client of the worker at a URL.

    Control calls and requests use separate connections.  `on_health` is called
    with the headers of the worker's answers to health checks.
    """

    def __init__(
        self,
        url: str,
        connections: int,
        clock: Clock,
        warm_up: WorkerWarmUp | None = None,
        on_health: Callable[[Mapping[str, str]], None] = _ignore_headers,
    ) -> None:
        self._clock = clock
        self._warm_up = warm_up or WorkerWarmUp(clock)
        self._on_health = on_health
        self._request_pool = ConnectionPool(url, connections, clock)
        self._control_pool = connection_from_url(
            url, maxsize=_CONTROL_CONNECTIONS, retries=Retry(0, redirect=False)
        )

    def send(self, request: WorkerRequest) -> WorkerAnswer:
        """Send a request once; return its answer, of which the head was read.

        Raises `WorkerUnreachableError` or, while the worker is cold,
        `WorkerBusyError` if nothing was sent, and `WorkerAnswerError` if the
        request may have run.
        """
        until_ms = self._clock.now_ms() + request.timeout_ms
        head, connection = self._prepare(request)
        # Others may have been sent while the connection was opened.
        if not self._warm_up.limiter.may_send():
            self._request_pool.release(connection)
            raise WorkerBusyError('the worker is cold and was sent enough')
        response = None
        self._warm_up.limiter.record_send()
        try:
            # Connecting may have taken a part of the time.
            left_ms = max(1, until_ms - self._clock.now_ms())
            response = connection.send_request(
                head, request.body, request.method, left_ms
            )
        except TimeoutError as failure:
            self._request_pool.record_timeout(connection)
            raise to_worker_error(failure) from failure
        except (HTTPException, OSError) as failure:
            raise to_worker_error(failure) from failure
        finally:
            if response is None:
                connection.close()
        limit_ms = min(request.timeout_ms, _MAX_SILENCE_MS)
        connection.sock.set_read_timeout(limit_ms)
        return WorkerAnswer(response, connection, self._request_pool)

    def cancel(self, request_id: str) -> bool:
        """Ask the worker to stop a request; return whether it complied."""
        return self._control('POST', '/cancel', request=request_id)

    def grant(self, tokens: Mapping[ShardName, int], until_ms: int) -> bool:
        """Replace the worker's grants; return whether it accepted them.

        `until_ms` is a time of the VM's clock, which node and worker share.
        A grant therefore expires in time even if it is received late.
        """
        shards = [
            {'service': shard.service, 'shard': shard.number, 'token': token}
            for shard, token in tokens.items()
        ]
        return self._control('PUT', '/grants', until_ms=until_ms, shards=shards)

    def is_responding(self) -> bool:
        """Return whether the worker answers a health check at all."""
        return self._health_failure() is None

    def is_dead(self) -> bool:
        """Return whether a health check shows that the worker has ended.

        A process that is just ending is given a moment to close its listener.
        """
        eventlet.sleep(_SHUTDOWN_GRACE_MS / MS_PER_SECOND)
        failure = self._health_failure()
        # A worker that times out is busy or hangs, but has not ended.
        is_dead = failure is not None and not _is_timeout(_reason(failure))
        if is_dead:
            self._warm_up.period.record_loss()
        return is_dead

    def load(self) -> int | None:
        """Return how many requests the worker reports to be running.

        The result is None if the worker gave no valid answer.
        """
        timeout = Timeout(_CONTROL_TIMEOUT_S)
        try:
            answer = self._control_pool.request('GET', '/load', timeout=timeout)
            report = LoadReport.model_validate_json(answer.data)
        except (HTTPError, ValidationError):
            return None
        return report.running if answer.status == _OK else None

    def _prepare(
        self, request: WorkerRequest
    ) -> tuple[bytes, WorkerConnection]:
        """Return the head of a request and a connection to send it on."""
        try:
            head = request_head(
                request.method, request.target, request.all_headers
            )
            connection = self._request_pool.acquire(
                request.timeout_ms, request.request_id
            )
        except (HTTPError, OSError, ValueError) as failure:
            if isinstance(failure, NewConnectionError):
                self._warm_up.period.record_loss()
            raise WorkerUnreachableError(repr(failure)) from failure
        return head, connection

    def _health_failure(self) -> HTTPError | None:
        timeout = Timeout(_CONTROL_TIMEOUT_S)
        try:
            answer = self._control_pool.request(
                'GET', '/health', timeout=timeout
            )
        except HTTPError as failure:
            return failure
        self._on_health(answer.headers)
        return None

    def _control(self, method: str, path: str, **fields: Any) -> bool:
        timeout = Timeout(_CONTROL_TIMEOUT_S)
        try:
            answer = self._control_pool.request(
                method, path, json=fields, timeout=timeout
            )
        except HTTPError:
            return False
        return answer.status == _OK
