"""Calls of the worker beside this node."""

from collections.abc import Mapping
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
from laburnumwood.errors import WorkerUnreachableError
from laburnumwood.header_index import Header
from laburnumwood.records import ShardName
from laburnumwood.upstream.connection import request_head
from laburnumwood.upstream.pool import (
    ConnectionPool,
    WorkerAnswer,
    to_worker_error,
)

_CONTROL_TIMEOUT_S = 0.5
_LONGEST_SILENCE_MS = 10_000  # between two parts of an answer
_OK = 200
_DYING_MS = 30
_CONTROL_CONNECTIONS = 2
_USUALLY_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request as it is sent to the worker; `timeout_ms` is what is left."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_ms: int

    @property
    def all_headers(self) -> tuple[Header, ...]:
        """Return the headers with those that the connection needs."""
        added = []
        if not any(name.lower() == 'host' for name, _ in self.headers):
            added.append(('Host', 'worker'))
        if self.body or self.method not in _USUALLY_WITHOUT_BODY:
            added.append(('Content-Length', str(len(self.body))))
        return (*self.headers, *added)


class LoadReport(BaseModel):
    """What a worker says of its load; more fields are ignored."""

    running: int = Field(ge=0)


def _reason(failure: HTTPError) -> object:
    return getattr(failure, 'reason', failure)


def _is_late(reason: object) -> bool:
    # The library counts a refused connection among the late ones.
    late = isinstance(reason, (ConnectTimeoutError, ReadTimeoutError))
    return late and not isinstance(reason, NewConnectionError)


class Worker:
    """The worker at a URL."""

    def __init__(self, url: str, connections: int, clock: Clock) -> None:
        self._requests = ConnectionPool(url, connections, clock)
        self._controls = connection_from_url(
            url, maxsize=_CONTROL_CONNECTIONS, retries=Retry(0, redirect=False)
        )

    def send(self, order: WorkerRequest) -> WorkerAnswer:
        """Send a request once and return the head of its answer.

        Raises `WorkerUnreachableError` if it is proved that nothing was
        sent, and `WorkerAnswerError` if it may have run.
        """
        try:
            head = request_head(order.method, order.target, order.all_headers)
            connection = self._requests.acquire()
        except (HTTPError, OSError, ValueError) as failure:
            raise WorkerUnreachableError(repr(failure)) from failure
        response = None
        try:
            response = connection.send_request(
                head, order.body, order.method, order.timeout_ms
            )
        except (HTTPException, OSError) as failure:
            raise to_worker_error(failure) from failure
        finally:
            if response is None:
                connection.close()
        limit_ms = min(order.timeout_ms, _LONGEST_SILENCE_MS)
        connection.sock.set_read_timeout(limit_ms)
        return WorkerAnswer(response, connection, self._requests)

    def cancel(self, request_id: str) -> bool:
        """Stop the work of a request; tell whether the worker did."""
        return self._control('POST', '/cancel', request=request_id)

    def grant(self, tokens: Mapping[ShardName, int], until_ms: int) -> bool:
        """Replace the worker's grants; tell whether it took them.

        `until_ms` is on the clock of the VM, which node and worker share, so
        that a grant that the worker takes late does not last longer.
        """
        shards = [
            {'service': shard.service, 'shard': shard.number, 'token': token}
            for shard, token in tokens.items()
        ]
        return self._control('PUT', '/grants', until_ms=until_ms, shards=shards)

    def is_responding(self) -> bool:
        """Ask the worker for its health; tell whether it answers at all."""
        return self._health_failure() is None

    def is_dead(self) -> bool:
        """Tell whether the worker's process answers no requests any more.

        One that has just ended is given a moment to close its listener.
        """
        eventlet.sleep(_DYING_MS / MS_PER_SECOND)
        failure = self._health_failure()
        # A worker that is late is busy or frozen: that is no death.
        return failure is not None and not _is_late(_reason(failure))

    def load(self) -> int | None:
        """Return how many requests the worker says it runs, if it does."""
        timeout = Timeout(_CONTROL_TIMEOUT_S)
        try:
            answer = self._controls.request('GET', '/load', timeout=timeout)
            report = LoadReport.model_validate_json(answer.data)
        except (HTTPError, ValidationError):
            return None
        return report.running if answer.status == _OK else None

    def _health_failure(self) -> HTTPError | None:
        timeout = Timeout(_CONTROL_TIMEOUT_S)
        try:
            self._controls.request('GET', '/health', timeout=timeout)
        except HTTPError as failure:
            return failure
        return None

    def _control(self, method: str, path: str, **fields: Any) -> bool:
        timeout = Timeout(_CONTROL_TIMEOUT_S)
        try:
            answer = self._controls.request(
                method, path, json=fields, timeout=timeout
            )
        except HTTPError:
            return False
        return answer.status == _OK
