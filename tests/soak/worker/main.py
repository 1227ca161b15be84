"""The command line of the worker, and how it serves its connections."""

import signal
import socket
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from contextlib import closing, suppress
from typing import Any, BinaryIO

import eventlet

from standins.clock import MS_PER_SECOND
from standins.journal.entry import Outcome
from standins.relay.pair import RESET_ON_CLOSE
from standins.reporter.holds import Holds
from standins.reporter.reports import Reports
from standins.serving import BACKLOG, HOST
from standins.worker.bodies import body_of
from standins.worker.journal import Journal
from standins.worker.orders import Order
from tests.soak.holds import log_held
from tests.soak.plans import Break, Framing, ResponsePlan
from tests.soak.signals import LIMIT_PER_SECOND

_CHUNK_BYTES = 4_096
_MISDIRECTED = 421
_BUSY = 503


class _CloseConnectionError(Exception):
    """The worker stops sending and closes the connection."""


def _parse_options() -> Namespace:
    parser = ArgumentParser(prog='tests.soak.worker')
    for option in ('--name', '--service', '--node-url', '--journal-url'):
        parser.add_argument(option, required=True)
    parser.add_argument('--sharded', action='store_true')
    for option, default in (('port', 0), ('slots', 30), ('report-ms', 200)):
        parser.add_argument(f'--{option}', type=int, default=default)
    return parser.parse_args()


def _read_head(stream: BinaryIO) -> tuple[str, str, dict[str, str]]:
    method, target, _ = stream.readline().decode().split()
    headers = {}
    while line := stream.readline().strip().decode():
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    return method, target, headers


def _format_head(status: int, **headers: object) -> bytes:
    lines = [f'HTTP/1.1 {status} Told']
    lines += [
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    ]
    return '\r\n'.join((*lines, '', '')).encode()


def _body_chunks(body: bytes, form: Framing) -> Iterator[bytes]:
    for start in range(0, len(body), _CHUNK_BYTES):
        chunk = body[start : start + _CHUNK_BYTES]
        if form == Framing.chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        yield chunk
    if form == Framing.chunked:
        yield b'0\r\n\r\n'


class _Worker:
    def __init__(self, options: Namespace, holds: Holds | None) -> None:
        self._options = options
        self._holds = holds
        self._journal = Journal(options.name, options.journal_url)
        self._running = 0
        self._signals: dict[str, object] = {}  # headers of every answer

    def handle_signals(self) -> None:
        """Name a limit from SIGUSR1 to the next; leave from SIGUSR2."""
        signal.signal(signal.SIGUSR1, self._toggle_limit)
        signal.signal(signal.SIGUSR2, self._leave)

    def _toggle_limit(self, _number: int, _frame: object) -> None:
        if self._signals.pop('Server_Limit', None) is None:
            self._signals['Server_Limit'] = LIMIT_PER_SECOND

    def _leave(self, _number: int, _frame: object) -> None:
        self._signals['Server_Leaving'] = 1

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection until either side ends it."""
        connection_ends = OSError, ValueError, _CloseConnectionError
        with (
            closing(sock),
            suppress(*connection_ends),
            sock.makefile('rb') as stream,
        ):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                self._serve_one(sock, stream)

    def _serve_one(self, sock: socket.socket, stream: BinaryIO) -> None:
        method, target, headers = _read_head(stream)
        size = int(headers.get('content-length', '0'))
        if len(stream.read(size)) < size:
            raise _CloseConnectionError
        query = target.partition('?')[2]
        attempt_id = headers.get('attempt-id', '')
        refusal_status = self._refusal_status(headers)
        if refusal_status:
            headers_sent = {
                'Attempt_Id': attempt_id,
                'Not_Executed': 1,
                **self._signals,
            }
            sock.sendall(
                _format_head(refusal_status, Content_Length=0, **headers_sent)
            )
            return
        order = _build_order(attempt_id, self._options.service, method)
        self._execute(sock, ResponsePlan.parse(query), order)

    def _refusal_status(self, headers: dict[str, str]) -> int:
        key = int(headers.get('shard-key', '-1'))
        if headers.get('target-instance') != self._options.name:
            return _MISDIRECTED
        if self._holds and not self._holds.admits(key):
            return _MISDIRECTED
        return _BUSY if self._running >= self._options.slots else 0

    def _execute(
        self, sock: socket.socket, plan: ResponsePlan, order: Order
    ) -> None:
        self._running += 1
        entry = self._journal.record_start(order)
        outcome = Outcome.cut
        try:
            self._send_response(sock, plan, order.request)
            outcome = Outcome.ran
        finally:
            self._running -= 1
            self._journal.record_end(entry, outcome)

    def _send_response(
        self, sock: socket.socket, plan: ResponsePlan, attempt_id: str
    ) -> None:
        eventlet.sleep(plan.work_ms / MS_PER_SECOND)
        if plan.breaks == Break.before:
            raise _CloseConnectionError
        sock.sendall(_response_head(plan, attempt_id, self._signals))
        eventlet.sleep(plan.body_ms / MS_PER_SECOND)
        body = body_of(attempt_id, plan.size)
        chunks = list(_body_chunks(body, plan.form))
        if plan.breaks != Break.nowhere:
            chunks = chunks[: len(chunks) // 2]
        pause_s = plan.sending_ms / max(1, len(chunks)) / MS_PER_SECOND
        for chunk in chunks:
            sock.sendall(chunk)
            if pause_s:
                eventlet.sleep(pause_s)
        if plan.breaks == Break.reset:
            linger_option = socket.SOL_SOCKET, socket.SO_LINGER
            sock.setsockopt(*linger_option, RESET_ON_CLOSE)
        if plan.breaks != Break.nowhere or plan.form == Framing.unframed:
            raise _CloseConnectionError


def _response_head(
    plan: ResponsePlan, attempt_id: str, signals: dict[str, object]
) -> bytes:
    headers: dict[str, object] = {
        **signals,
        'Attempt_Id': attempt_id,
        'Response_Stamp': f'{attempt_id}.{plan.status}',
    }
    if plan.form == Framing.length:
        headers['Content_Length'] = plan.size
    elif plan.form == Framing.chunked:
        headers['Transfer_Encoding'] = 'chunked'
    else:
        headers['Connection'] = 'close'
    return _format_head(plan.status, **headers)


def _build_order(attempt_id: str, service: str, method: str) -> Order:
    return Order(
        request=attempt_id,
        key='',
        service=service,
        shard=None,
        token=None,
        method=method,
        deadline_ms=None,
        work_ms=None,
        crash=False,
        download_bytes=None,
        chunk_ms=0,
        chunk_bytes=_CHUNK_BYTES,
    )


def main() -> None:
    """Run the worker until the process ends."""
    options = _parse_options()
    holds = Holds() if options.sharded else None
    eventlet.spawn_n(Reports(options, holds, log_held).run)
    worker = _Worker(options, holds)
    worker.handle_signals()
    listener: Any = socket.create_server((HOST, options.port), backlog=BACKLOG)
    while True:
        eventlet.spawn_n(worker.serve, listener.accept()[0])
