"""Callers that keep connections open and record how each request ended."""

import socket
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import StrEnum
from itertools import count
from random import Random
from threading import Event, Thread
from typing import BinaryIO

from bench.deployment import HOST
from bench.reporting import HOST_NAME
from standins.clock import MS_PER_SECOND, boottime_ms
from tests.soak.fleet import SHARDED_SERVICE, UNSHARDED_SERVICE, SoakFleet
from tests.soak.plans import Break, Framing, ResponsePlan

RESPONSE_GRACE_MS = 15_000  # how long a caller waits after its deadline
_CONNECT_TIMEOUT_S = 1
_MEAN_PAUSE_S = 0.05
_KEY_COUNT = 65_536
_REQUEST_SIZES = (0, 0, 0, 300, 200_000)
_RESPONSE_SIZES = (0, 40, 5_000, 150_000)
_BROKEN_RESPONSE_SIZE = 20_000  # more than one chunk of the worker
_BROKEN_RESPONSE_SHARE = 0.08  # responses that the worker breaks off
_NEAR_DEADLINE_SHARE = 0.15  # responses that end near the deadline
_ABANDONED_SHARE = 0.04  # requests whose caller stops waiting early


class CallEnd(StrEnum):
    """How a request ended for its caller."""

    answered = 'answered'
    cut = 'cut'  # within the head or body of the response
    closed = 'closed'  # before the first byte of a response
    timed_out = 'silent'  # no response by the deadline plus the grace time
    abandoned = 'left'  # the caller stopped waiting early


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that a caller sends."""

    attempt_id: str
    node: str
    is_relayed: bool  # through a relay, whose faults may break the connection
    is_idempotent: bool
    service: str
    plan: ResponsePlan
    deadline_ms: int
    key: int
    body: bytes
    abandon_after_ms: int | None  # for a caller that stops waiting early

    @property
    def content(self) -> bytes:
        """Return the bytes of the request."""
        kind = 'safe' if self.is_idempotent else 'unsafe'
        method = 'POST' if self.body else 'GET'
        lines = (
            f'{method} /{self.service}/{kind}/x?{self.plan.query} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'Attempt-Id: {self.attempt_id}',
            f'Deadline-Ms: {self.deadline_ms}',
            f'Shard-Key: {self.key}',
            f'Content-Length: {len(self.body)}',
        )
        return '\r\n'.join((*lines, '', '')).encode() + self.body


@dataclass(frozen=True, slots=True)
class Call:
    """A request and how it ended; times in ms of CLOCK_BOOTTIME."""

    request: CallerRequest
    opened_ms: float  # when its connection was opened
    sent_ms: float
    done_ms: float
    end: CallEnd
    status: int = 0
    response_id: str = ''
    stamp: str = ''
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    headers: dict[str, str]
    body: bytes


class _ClosedError(OSError):
    """The connection ended before the first byte of a response."""


class _CutError(OSError):
    """The connection ended within a response."""


class _Connection:
    """A persistent connection of one caller to one node."""

    def __init__(self, port: int) -> None:
        self.opened_ms = boottime_ms()
        self._sock = socket.create_connection((HOST, port), _CONNECT_TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream: BinaryIO = self._sock.makefile('rb')

    def request(self, content: bytes, limit_ms: float) -> _Response:
        """Send a request and read its response.

        Raises TimeoutError if a read takes longer than `limit_ms`.
        """
        self._sock.settimeout(limit_ms / MS_PER_SECOND)
        with suppress(ConnectionError):
            # The node may have responded before the connection ended.
            self._sock.sendall(content)
        line = self._read_status_line()
        try:
            return self._read_response(line)
        except ConnectionError as error:
            raise _CutError(str(error)) from error

    def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            self._stream.close()
        self._sock.close()

    def _read_status_line(self) -> bytes:
        try:
            line = self._stream.readline()
        except ConnectionError as error:
            raise _ClosedError(str(error)) from error
        if not line:
            raise _ClosedError
        return line

    def _read_response(self, line: bytes) -> _Response:
        headers = {}
        while field := self._read_line().strip():
            name, _, text = field.decode().partition(':')
            headers[name.lower()] = text.strip()
        status = int(line.split()[1])
        if headers.get('transfer-encoding') == 'chunked':
            body = b''.join(iter(self._read_chunk, b''))
        else:
            body = self._read_exactly(int(headers['content-length']))
        return _Response(status, headers, body)

    def _read_chunk(self) -> bytes:
        chunk = self._read_exactly(int(self._read_line(), 16))
        self._read_line()
        return chunk

    def _read_line(self) -> bytes:
        line = self._stream.readline()
        if not line.endswith(b'\n'):
            raise _CutError('in a line')
        return line

    def _read_exactly(self, size: int) -> bytes:
        content = self._stream.read(size)
        if len(content) < size:
            raise _CutError('in the body')
        return content


class Caller:
    """A caller with one persistent connection to each node.

    It sends one request at a time.
    """

    def __init__(self, fleet: SoakFleet, number: int, rng: Random) -> None:
        self.calls: list[Call] = []
        self._fleet = fleet
        self._rng = rng
        self._is_relayed = number % 4 == 0
        self._attempt_ids = (f'c{number}-{each}' for each in count())
        self._connections: dict[str, _Connection] = {}

    def send_until(self, stop_event: Event) -> None:
        """Send requests until `stop_event` is set."""
        while not stop_event.is_set():
            request = self._draw_request()
            with suppress(OSError):
                self._call(request)
            pause_s = self._rng.choice((0, 0.01, _MEAN_PAUSE_S))
            stop_event.wait(self._rng.random() * pause_s * 2)
        for connection in self._connections.values():
            connection.close()

    def _call(self, request: CallerRequest) -> None:
        connection = self._connections.pop(request.node, None)
        if connection is None:
            port = self._fleet.door_port(
                request.node, relayed=request.is_relayed
            )
            connection = _Connection(port)
        sent_ms = boottime_ms()
        limit_ms = (
            request.abandon_after_ms or request.deadline_ms + RESPONSE_GRACE_MS
        )
        end, response = _perform(connection, request, limit_ms)
        call = Call(request, connection.opened_ms, sent_ms, boottime_ms(), end)
        if response is None:
            connection.close()
        else:
            call = _with_response(call, response)
            self._keep_open(request.node, connection, response)
        self.calls.append(call)

    def _keep_open(
        self, node: str, connection: _Connection, response: _Response
    ) -> None:
        if response.headers.get('connection', '').lower() == 'close':
            connection.close()
        else:
            self._connections[node] = connection

    def _draw_request(self) -> CallerRequest:
        rng = self._rng
        deadline_ms = rng.choice((rng.randint(100, 400), 1_000, 3_000))
        plan = _draw_plan(rng)
        if rng.random() < _NEAR_DEADLINE_SHARE:
            plan = _end_near_deadline(plan, deadline_ms, rng)
        is_abandoned = rng.random() < _ABANDONED_SHARE
        return CallerRequest(
            attempt_id=next(self._attempt_ids),
            node=rng.choice(list(self._fleet.members)),
            is_relayed=self._is_relayed,
            is_idempotent=rng.choice((False, True)),
            service=rng.choice((SHARDED_SERVICE, UNSHARDED_SERVICE)),
            plan=plan,
            deadline_ms=deadline_ms,
            key=rng.randrange(_KEY_COUNT),
            body=b'b' * rng.choice(_REQUEST_SIZES),
            abandon_after_ms=rng.randint(1, 300) if is_abandoned else None,
        )


def _draw_plan(rng: Random) -> ResponsePlan:
    form = rng.choice(list(Framing))
    if rng.random() < _BROKEN_RESPONSE_SHARE:
        # An unframed body ends with the connection: if the worker closed it
        # normally after half of the body, the response would look complete.
        breaks = [Break.before, Break.reset]
        if form is not Framing.unframed:
            breaks.append(Break.in_body)
        return ResponsePlan(
            size=_BROKEN_RESPONSE_SIZE, form=form, breaks=rng.choice(breaks)
        )
    return ResponsePlan(
        work_ms=rng.choice((0, 0, 5, 5, rng.randint(20, 300))),
        body_ms=rng.choice((0, 0, 0, rng.randint(5, 300))),
        size=rng.choice(_RESPONSE_SIZES),
        status=rng.choice((200,) * 9 + (500,)),
        form=form,
    )


def _end_near_deadline(
    plan: ResponsePlan, deadline_ms: int, rng: Random
) -> ResponsePlan:
    """Return a plan whose response ends within 60 ms of the deadline."""
    total_ms = max(0, deadline_ms + rng.randint(-60, 60))
    work_ms = rng.choice((0, total_ms, total_ms // 2))
    return replace(plan, work_ms=work_ms, body_ms=total_ms - work_ms)


def _perform(
    connection: _Connection, request: CallerRequest, limit_ms: float
) -> tuple[CallEnd, _Response | None]:
    try:
        return CallEnd.answered, connection.request(request.content, limit_ms)
    except TimeoutError:
        return (
            CallEnd.abandoned if request.abandon_after_ms else CallEnd.timed_out
        ), None
    except _ClosedError:
        return CallEnd.closed, None
    except _CutError:
        return CallEnd.cut, None


def _with_response(call: Call, response: _Response) -> Call:
    return replace(
        call,
        status=response.status,
        response_id=response.headers.get('attempt-id', ''),
        stamp=response.headers.get('response-stamp', ''),
        body=response.body,
    )


class Callers:
    """A number of callers, each in its own thread."""

    def __init__(self, fleet: SoakFleet, number: int, seed: int) -> None:
        self._stop_event = Event()
        self._callers = [
            Caller(fleet, each, Random(f'{seed} caller {each}'))
            for each in range(number)
        ]
        self._threads = [
            Thread(
                target=caller.send_until, args=(self._stop_event,), daemon=True
            )
            for caller in self._callers
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def finish(self) -> list[Call]:
        """Stop all callers after their current request; return all calls."""
        self._stop_event.set()
        for thread in self._threads:
            thread.join()
        return [call for caller in self._callers for call in caller.calls]
