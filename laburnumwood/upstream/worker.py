"""Calls of the worker beside this node."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import eventlet
from pydantic import BaseModel, Field, ValidationError
from urllib3 import HTTPHeaderDict, Retry, Timeout, connection_from_url
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.response import BaseHTTPResponse
from urllib3.util import SKIP_HEADER

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import (
    WorkerCutError,
    WorkerTimeoutError,
    WorkerUnreachableError,
)
from laburnumwood.header_index import HeaderIndex
from laburnumwood.records import ShardName
from laburnumwood.upstream.connection import WorkerConnection

_CONNECT_TIMEOUT_S = 0.5
_CONTROL_TIMEOUT_S = 0.5
_LONGEST_SILENCE_MS = 10_000  # between two parts of an answer
_CHUNK_SIZE = 32_768
_OK = 200
_DYING_MS = 30
_NEVER_SENT = (NewConnectionError, ConnectTimeoutError)


@dataclass(frozen=True, slots=True)
class Order:
    """A request as it is sent to the worker; `timeout_ms` is what is left."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_ms: int


class LoadReport(BaseModel):
    """What a worker says of its load; more fields are ignored."""

    running: int = Field(ge=0)


def _to_send(headers: tuple[tuple[str, str], ...]) -> HTTPHeaderDict:
    # A list keeps duplicates; what the library would add is left out.
    sent = HTTPHeaderDict()
    for name, text in headers:
        sent.add(name, text)
    for unwanted in ('User-Agent', 'Accept-Encoding'):
        sent.setdefault(unwanted, SKIP_HEADER)
    return sent


def _reason(failure: HTTPError) -> object:
    return getattr(failure, 'reason', failure)


def _is_late(reason: object) -> bool:
    # The library counts a refused connection among the late ones.
    late = isinstance(reason, (ConnectTimeoutError, ReadTimeoutError))
    return late and not isinstance(reason, NewConnectionError)


def _typed(failure: HTTPError) -> WorkerUnreachableError | WorkerCutError:
    reason = _reason(failure)
    if isinstance(reason, _NEVER_SENT):
        return WorkerUnreachableError(str(reason))
    if isinstance(reason, ReadTimeoutError):
        return WorkerTimeoutError(str(reason))
    return WorkerCutError(str(reason))


def _limit_silence(response: BaseHTTPResponse, limit_ms: int) -> None:
    sock = getattr(response.connection, 'sock', None)
    if sock is not None:
        sock.settimeout(limit_ms / MS_PER_SECOND)


class WorkerAnswer:
    """The head of a worker's answer and its body, read once."""

    def __init__(self, response: BaseHTTPResponse) -> None:
        self._response = response

    @property
    def status(self) -> int:
        """Return the status code."""
        return self._response.status

    @cached_property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in their order."""
        return tuple(self._response.headers.items())

    @cached_property
    def index(self) -> HeaderIndex:
        """Return the headers by their names."""
        return HeaderIndex(self.headers)

    @property
    def body_length(self) -> int | None:
        """Return the length of the body, if the worker said it."""
        declared = self._response.headers.get('Content-Length', '')
        return int(declared) if declared.isdecimal() else None

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes.

        Raises `WorkerCutError` if it ends early or falls silent.
        """
        try:
            while part := self._response.read1(_CHUNK_SIZE, False):
                yield part
        except HTTPError as cut:
            raise _typed(cut) from cut

    def close(self) -> None:
        """End the exchange and its connection."""
        self._response.close()

    def release(self) -> None:
        """Give the connection back after the whole body was read."""
        self._response.release_conn()


class Worker:
    """The worker at a URL."""

    def __init__(self, url: str, connections: int) -> None:
        self._pool = connection_from_url(
            url, maxsize=connections, retries=Retry(0, redirect=False)
        )
        self._pool.ConnectionCls = WorkerConnection

    def run(self, order: Order) -> WorkerAnswer:
        """Send a request once and return the head of its answer.

        Raises `WorkerUnreachableError` if it is proved that nothing was
        sent, and `WorkerCutError` if it may have run.
        """
        limit = Timeout(
            connect=_CONNECT_TIMEOUT_S, read=order.timeout_ms / MS_PER_SECOND
        )
        try:
            response = self._pool.urlopen(
                order.method,
                order.target,
                body=order.body or None,
                headers=_to_send(order.headers),
                timeout=limit,
                preload_content=False,
            )
        except HTTPError as failure:
            raise _typed(failure) from failure
        _limit_silence(response, min(order.timeout_ms, _LONGEST_SILENCE_MS))
        return WorkerAnswer(response)

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

    def answers(self) -> bool:
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
            answer = self._pool.request('GET', '/load', timeout=timeout)
            report = LoadReport.model_validate_json(answer.data)
        except (HTTPError, ValidationError):
            return None
        return report.running if answer.status == _OK else None

    def _health_failure(self) -> HTTPError | None:
        timeout = Timeout(_CONTROL_TIMEOUT_S)
        try:
            self._pool.request('GET', '/health', timeout=timeout)
        except HTTPError as failure:
            return failure
        return None

    def _control(self, method: str, path: str, **fields: Any) -> bool:
        timeout = Timeout(_CONTROL_TIMEOUT_S)
        try:
            answer = self._pool.request(
                method, path, json=fields, timeout=timeout
            )
        except HTTPError:
            return False
        return answer.status == _OK
