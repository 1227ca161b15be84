"""Callers that keep connections open and record how each request ended."""

import socket
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import StrEnum
from functools import partial
from itertools import count
from random import Random
from select import select
from threading import Event, Thread
from typing import BinaryIO

from bench.deployment import HOST
from standins.clock import MS_PER_SECOND, boottime_ms
from tests.soak.caller_requests import (
    CallerRequest,
    Draw,
    draw_patient_request,
    draw_request,
    draw_routed_request,
)
from tests.soak.fleet import SoakFleet
from tests.soak.manifests import recent_routes

RESPONSE_GRACE_MS = 15_000  # how long a caller waits after its deadline
_CONNECT_TIMEOUT_S = 1
_MEAN_PAUSE_S = 0.05


class CallEnd(StrEnum):
    """How a request ended for its caller."""

    answered = 'answered'
    cut = 'cut'  # within the head or body of the response
    closed = 'closed'  # before the first byte of a response
    timed_out = 'silent'  # no response by the deadline plus the grace time
    abandoned = 'left'  # the caller stopped waiting early


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
        self.is_reusable = True  # whether the last request was sent whole
        self._sock = socket.create_connection((HOST, port), _CONNECT_TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream: BinaryIO = self._sock.makefile('rb')

    def request(self, request: CallerRequest, limit_ms: float) -> _Response:
        """Send a request and read its response.

        Raises TimeoutError if a read takes longer than `limit_ms`.
        """
        self._sock.settimeout(limit_ms / MS_PER_SECOND)
        with suppress(ConnectionError):
            # The node may have responded before the connection ended.
            if request.part_count > 1:
                self._send_in_parts(request)
            else:
                self._sock.sendall(request.content)
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

    def _send_in_parts(self, request: CallerRequest) -> None:
        """Send a request in its time, or until its response comes."""
        for content in request.parts:
            if not self._send_part(content) or self._has_input(request.part_ms):
                self.is_reusable = False
                return

    def _send_part(self, content: bytes) -> bool:
        """Send a part of a request; return False if a response came before."""
        while content:
            readable, writable, _ = select(
                (self._sock,), (self._sock,), (), self._sock.gettimeout()
            )
            if readable or not writable:
                return False
            content = content[self._sock.send(content) :]
        return True

    def _has_input(self, limit_ms: float) -> bool:
        limit_s = limit_ms / MS_PER_SECOND
        return bool(select((self._sock,), (), (), limit_s)[0])

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

    def __init__(
        self, fleet: SoakFleet, name: str, draw: Draw, rng: Random
    ) -> None:
        self.calls: list[Call] = []
        self._fleet = fleet
        self._name = name
        self._draw = draw
        self._rng = rng
        self._connections: dict[str, _Connection] = {}

    def send_until(self, stop_event: Event) -> None:
        """Send requests until `stop_event` is set."""
        for number in count():
            if stop_event.is_set():
                break
            request = self._draw(
                self._rng, f'{self._name}-{number}', list(self._fleet.members)
            )
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
        closes = response.headers.get('connection', '').lower() == 'close'
        if connection.is_reusable and not closes:
            self._connections[node] = connection
        else:
            connection.close()


def _perform(
    connection: _Connection, request: CallerRequest, limit_ms: float
) -> tuple[CallEnd, _Response | None]:
    try:
        return CallEnd.answered, connection.request(request, limit_ms)
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
    """A number of callers, each in its own thread.

    `patient` more of them wait for longer than any timeout of a route, and
    `routed` more use routes that change.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        number: int,
        seed: int,
        patient: int = 0,
        routed: int = 0,
    ) -> None:
        self._stop_event = Event()
        self._callers = [
            Caller(
                fleet,
                f'c{each}',
                partial(draw_request, is_relayed=each % 4 == 0),
                Random(f'{seed} caller {each}'),
            )
            for each in range(number)
        ]
        self._callers += [
            Caller(
                fleet,
                f'p{each}',
                draw_patient_request,
                Random(f'{seed} patient caller {each}'),
            )
            for each in range(patient)
        ]
        get_routes = partial(recent_routes, fleet.manifest_changes)
        draw = partial(draw_routed_request, get_routes=get_routes)
        self._callers += [
            Caller(fleet, f'r{each}', draw, Random(f'{seed} routed {each}'))
            for each in range(routed)
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
