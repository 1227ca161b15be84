"""A door, a gate behind a link, and a worker that does as it is told.

All three run in one process.  A request's query says how the worker behaves;
`/seen` of the worker returns what it got.
"""

import json
import sys
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import eventlet

from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import (
    Declarations,
    KeySource,
    Service,
)
from laburnumwood.membership.directory import Directory
from laburnumwood.placement.loads import LoadReports
from laburnumwood.protocol.messages import Work
from laburnumwood.protocol.peers import (
    Dispatcher,
    Peers,
    listen,
)
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.routing.caller_interface import NativeCallerInterface
from laburnumwood.routing.door import Ingress
from laburnumwood.routing.gate import receive_body
from laburnumwood.routing.request_balancer import RequestBalancer
from laburnumwood.routing.router import Router
from laburnumwood.routing.run import Run
from laburnumwood.routing.running import Runner
from laburnumwood.routing.server import serve_callers
from laburnumwood.routing.shared_quarantine import SharedQuarantine
from laburnumwood.routing.worker_interface import NativeWorkerInterface
from laburnumwood.upstream.worker import Worker

HOST = '127.0.0.1'
KEY = 'a key of the tests only'
DOOR, GATE = NodeName('door', 1), NodeName('gate', 1)
SERVICES = {
    'plain': Service(longest_body=1_000_000),
    'keyed': Service(key=KeySource(source='header', name='Kiosk'), shards=4),
}

DECLARED = Declarations(services=SERVICES)


def _answer(status: str, body: bytes, *headers: str) -> bytes:
    lines = (f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *headers)
    return '\r\n'.join((*lines, '', '')).encode() + body


CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
ANSWERS = {
    'ok': _answer('200 OK', b'whole', 'Set-Cookie: a', 'Set-Cookie: b'),
    'chunked': b'%b5\r\nwhole\r\n0\r\n\r\n' % CHUNKED,
    'cut': _answer('200 OK', b'whole')[:-2],
    'cut-chunked': b'%b5\r\nwhole\r\n' % CHUNKED,
    'no-answer': b'',
    'no-content': b'HTTP/1.1 204 No Content\r\n\r\n',
    'head': b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n',
    'cut-head': b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n',
    'fenced': _answer('409 Conflict', b'{"error": "fenced"}'),
    'busy': _answer('503 Busy', b'{"error": "busy"}'),
    'draining': _answer('503 Busy', b'{"error": "draining"}'),
    'own-503': _answer('503 Busy', b'{"error": "stopped"}'),
}
CLOSES = frozenset(('cut', 'cut-chunked', 'cut-head', 'no-answer'))


class ToldWorker:
    """Answers as the query of each request says."""

    def __init__(self) -> None:
        self._seen: list[dict[str, Any]] = []

    def serve(self, sock: Any, _address: Any) -> None:
        """Serve one connection."""
        stream = sock.makefile('rb')
        try:
            while self._serve_one(sock, stream):
                eventlet.sleep(0)
        except OSError:
            return
        finally:
            stream.close()
            sock.close()

    def _serve_one(self, sock: Any, stream: Any) -> bool:
        line = stream.readline().decode()
        if not line:
            return False
        method, target, _ = line.split()
        headers = []
        while field := stream.readline().strip().decode():
            headers.append(field)
        lengths = [
            each for each in headers if each.startswith('Content-Length')
        ]
        size = int(lengths[0].split(':')[1]) if lengths else 0
        body = stream.read(size).decode()
        if target == '/seen':
            sock.sendall(_answer('200 OK', json.dumps(self._seen).encode()))
            return True
        if target == '/forget':
            self._seen.clear()
            sock.sendall(ANSWERS['no-content'])
            return True
        self._seen.append(
            {
                'method': method,
                'target': target,
                'headers': headers,
                'body': body,
            }
        )
        return self._behave(sock, target)

    def _behave(self, sock: Any, target: str) -> bool:
        query = parse_qs(urlsplit(target).query)
        how = query.get('do', ['ok'])[0]
        if how == 'late':
            eventlet.sleep(0.4)
            how = 'ok'
        elif how == 'never':
            sock.recv(1)
            return False
        sock.sendall(ANSWERS[how])
        return how not in CLOSES


class OneGate:
    """A view of a fleet in which one node serves everything."""

    def __init__(self) -> None:
        self.directory = Directory()

    def serving_nodes(self, _service: str) -> dict[NodeName, NodeRecord]:
        """Return the one node."""
        record = NodeRecord(1, (1,), HOST, 1, 1, 1, 'x', 'x', 'x', 10, 10)
        return {GATE: record}


def _serve(make: Callable[..., None], listener: Any) -> None:
    while True:
        eventlet.spawn_n(make, *listener.accept())


def main() -> None:
    """Serve until the process ends."""
    clock = Clock()
    worker_listener = eventlet.listen((HOST, int(sys.argv[1])))
    eventlet.spawn_n(_serve, ToldWorker().serve, worker_listener)
    dispatcher = Dispatcher()
    security = LinkSecurity(KEY)
    gate = (HOST, int(sys.argv[2]))
    peers = Peers(DOOR, security, lambda _: gate, dispatcher, clock)
    view: Any = OneGate()
    suspicions = SharedQuarantine(GATE, view, peers, dispatcher, clock)
    worker = Worker(f'http://{HOST}:{sys.argv[1]}', 10, clock)
    runner = Runner(
        worker, NativeWorkerInterface(), suspicions, clock, max_buffered_bytes=0
    )

    @dispatcher.on(Work)
    def serve(_link: Any, stream: Any, work: Work) -> None:
        until_ms = clock.now_ms() + work.deadline_ms
        body = receive_body(stream, work)
        runner.run(Run(work, body, None, until_ms), stream)

    eventlet.spawn_n(listen, gate, security, dispatcher.handle, clock)
    budgets = RetryBudgets(0, clock)
    spread = RequestBalancer(LoadReports(clock), 'a', Random(1), clock)
    router = Router(
        DOOR,
        view,
        peers,
        serve,  # type: ignore[arg-type]
        spread,
        budgets,
        clock,
    )
    listener = eventlet.listen((HOST, 0))
    print(f'listening on {HOST}:{listener.getsockname()[1]}', flush=True)
    serve_callers(
        listener,
        Ingress(router, NativeCallerInterface(), lambda: DECLARED, clock),
    )
