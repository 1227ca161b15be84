"""An ingress, a gate behind a link, and a scripted worker.

All three run in one process.  The query of a request selects the behaviour of
the worker; its path `/seen` returns the requests that it received.
"""

import json
import sys
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import eventlet

from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import (
    Declarations,
    KeySource,
    Service,
)
from laburnumwood.membership.directory import Directory
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.protocol.messages import Work
from laburnumwood.protocol.peers import (
    Dispatcher,
    Peers,
    listen,
)
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.resources.body_memory import BODY_MEMORY
from laburnumwood.routing.exchange import receive_body
from laburnumwood.routing.router import Router
from laburnumwood.routing.run import Run
from laburnumwood.routing.runner import Runner
from laburnumwood.routing.server import serve_callers
from laburnumwood.routing.shared_quarantine import SharedQuarantine
from laburnumwood.routing.worker_interface import NativeWorkerInterface
from laburnumwood.upstream.worker import WorkerClient
from tests.request_stack.ingress import make_ingress

HOST = '127.0.0.1'
KEY = 'a key of the tests only'
INGRESS_NAME, GATE_NAME = NodeName('door', 1), NodeName('gate', 1)
SERVICES = {
    'plain': Service(longest_body=1_000_000),
    'keyed': Service(key=KeySource(source='header', name='Kiosk'), shards=4),
}

DECLARATIONS = Declarations(services=SERVICES)


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


class ScriptedWorker:
    """A worker that behaves as the query of each request says."""

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
        request_line = stream.readline().decode()
        if not request_line:
            return False
        method, target, _ = request_line.split()
        headers = []
        while header_line := stream.readline().strip().decode():
            headers.append(header_line)
        length_lines = [
            each for each in headers if each.startswith('Content-Length')
        ]
        body_length = int(length_lines[0].split(':')[1]) if length_lines else 0
        body = stream.read(body_length).decode()
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
        behaviour = query.get('do', ['ok'])[0]
        if behaviour == 'late':
            eventlet.sleep(0.4)
            behaviour = 'ok'
        elif behaviour == 'never':
            sock.recv(1)
            return False
        sock.sendall(ANSWERS[behaviour])
        return behaviour not in CLOSES


class SingleGateView:
    """A view of a fleet in which one node serves every service."""

    def __init__(self) -> None:
        self.directory = Directory()

    def serving_nodes(self, _service: str) -> dict[NodeName, NodeRecord]:
        """Return the only node."""
        record = NodeRecord(1, (1,), HOST, 1, 1, 1, 'x', 'x', 'x', 10, 10)
        return {GATE_NAME: record}

    def is_service_evacuated(self, _service: str) -> bool:
        """Return whether no node may serve: never."""
        return False


def _serve(handle: Callable[..., None], listener: Any) -> None:
    while True:
        eventlet.spawn_n(handle, *listener.accept())


def main() -> None:
    """Serve until the process ends."""
    clock = Clock()
    worker_listener = eventlet.listen((HOST, int(sys.argv[1])))
    eventlet.spawn_n(_serve, ScriptedWorker().serve, worker_listener)
    dispatcher = Dispatcher()
    security = LinkSecurity(KEY)
    gate_address = (HOST, int(sys.argv[2]))
    peers = Peers(
        INGRESS_NAME, security, lambda _: gate_address, dispatcher, clock
    )
    view: Any = SingleGateView()
    quarantine = SharedQuarantine(GATE_NAME, view, peers, dispatcher, clock)
    worker = WorkerClient(f'http://{HOST}:{sys.argv[1]}', 10, clock)
    runner = Runner(
        worker, NativeWorkerInterface(), quarantine, clock, max_buffered_bytes=0
    )

    @dispatcher.on(Work)
    def serve(_link: Any, stream: Any, work: Work) -> None:
        until_ms = clock.now_ms() + work.deadline_ms
        with BODY_MEMORY.reserve() as reservation:
            body = receive_body(stream, work, until_ms, clock, reservation)
            runner.run(Run(work, body, None, until_ms), stream)

    eventlet.spawn_n(listen, gate_address, security, dispatcher.handle, clock)
    budgets = RetryBudgets(0, clock)
    balancer = RequestBalancer(LoadReports(clock), 'a', Random(1), clock)
    router = Router(
        INGRESS_NAME,
        view,
        peers,
        serve,  # type: ignore[arg-type]
        balancer,
        budgets,
        clock,
    )
    listener = eventlet.listen((HOST, 0))
    print(f'listening on {HOST}:{listener.getsockname()[1]}', flush=True)
    serve_callers(
        listener,
        make_ingress(router, lambda: DECLARATIONS),
        clock,
    )
