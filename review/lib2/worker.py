"""A stand-in worker that follows the pages, and does what a request asks for.

A request may carry a header `Plan`, a JSON object, which the router forwards
like any other header.  It says how long the work takes and how the answer is
framed or spoiled.
"""

import hashlib
import json
import os
import random
import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from cbor2 import dumps, loads

from review.lib2.http import Connection, Head, connect

HOST = '127.0.0.1'
_HEARTBEAT_S = 0.87
_REPORT_TIMEOUT_S = 1.0
_RESET = struct.pack('ii', 1, 0)
_AFTER_RELEASE_S = 0.05


class Worker:
    """One life of a worker, in threads of the script's own process."""

    def __init__(
        self,
        service: str,
        report_address: str,
        port: int,
        *,
        sharded: bool = False,
        slots: int = 18,
        name: str = '',
        record: Callable[..., None] = print,
    ) -> None:
        self.service = service
        self.report_address = report_address
        self.port = port
        self.sharded = sharded
        self.slots = slots
        self.name = name or f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.record = record
        self.state = 'ready'
        self.sequence = 0
        self.holds: dict[int, tuple[int, int]] = {}
        self.hold_until = 0.0
        self.released: list[tuple[int, int, str]] = []
        self.runs: list[dict[str, Any]] = []
        self.running = 0
        self.lock = threading.Lock()
        self.is_alive = True
        self.sends_reports = True
        self.acked_s: float | None = None
        self.listener = socket.create_server((HOST, port), backlog=512)
        self._connections: set[socket.socket] = set()
        self._report_connection: Connection | None = None
        threading.Thread(target=self._accept, daemon=True).start()

    def start_reports(self) -> None:
        """Send heartbeats until the worker ends."""
        threading.Thread(target=self._report_repeatedly, daemon=True).start()

    def end(self) -> None:
        """End at once: no more answers, and no more heartbeats."""
        self.is_alive = False
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes its thread
        self.listener.close()
        with self.lock:
            open_now = tuple(self._connections)
        for sock in open_now:
            _reset(sock)

    def report_body(self) -> bytes:
        """Return the next heartbeat, as it would be sent now."""
        self.sequence += 1
        self._expire()
        content: dict[str, Any] = {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': 'zone',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'seq': self.sequence,
            'born': self.born,
        }
        if self.sharded:
            content['holds'] = [
                [first, last, token]
                for first, (last, token) in sorted(self.holds.items())
            ]
            content['released'], self.released = self.released, []
        return dumps(content)

    def post(self, call: str, body: bytes) -> Any:
        """Make a call to the node; return the decoded answer, None if none."""
        connection = self._report_connection
        try:
            if connection is None:
                connection = connect(self.report_address, _REPORT_TIMEOUT_S)
            status, _, answer = connection.ask(
                'POST',
                f'/Instances.{call}/{self.name}',
                [('Host', 'node'), ('Content-Type', 'application/cbor')],
                body,
            )
        except (OSError, ValueError):
            if connection is not None:
                connection.close()
            self._report_connection = None
            return None
        self._report_connection = connection
        return loads(answer) if status == 200 else None

    def deregister(self) -> bool:
        """Deregister; return whether the node acknowledged it."""
        return self.post('Deregister', b'') is not None

    def _report_repeatedly(self) -> None:
        while self.is_alive:
            if self.sends_reports and self._report():
                time.sleep(_AFTER_RELEASE_S)
            else:
                time.sleep(_HEARTBEAT_S)

    def _report(self) -> bool:
        sent_s = time.monotonic()
        body = self.report_body()
        answer = self.post('Heartbeat', body)
        if answer is None:
            return False
        if self.state == 'draining' and self.acked_s is None:
            self.acked_s = time.monotonic()
        if not self.sharded or 'holds' not in answer:
            return False
        return self._hold(answer, sent_s)

    def _hold(self, answer: dict[str, Any], sent_s: float) -> bool:
        self._expire()
        wanted = {row[0]: row for row in answer['holds']}
        dropped = [first for first in self.holds if first not in wanted]
        for first in dropped:
            last, _ = self.holds.pop(first)
            self.released.append((first, last, f'{first:x}-{last:x}'))
        for first, last, token, _ in answer['holds']:
            self.holds[first] = (last, token)
        self.hold_until = sent_s + answer['hold_ms'] / 1000
        return bool(dropped)

    def _expire(self) -> None:
        if time.monotonic() >= self.hold_until:
            self.holds.clear()

    def _has_key(self, head: Head) -> bool:
        if not self.sharded:
            return True
        self._expire()
        key = int(head.first('shard-key') or -1)
        return any(
            first <= key <= last for first, (last, _) in self.holds.items()
        )

    def _accept(self) -> None:
        while self.is_alive:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        with self.lock:
            self._connections.add(sock)
        connection = Connection(sock)
        try:
            while self.is_alive and self._serve_one(connection):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self._connections.discard(sock)
            connection.close()

    def _serve_one(self, connection: Connection) -> bool:
        head = connection.read_head()
        if head is None:
            return False
        if head.target.partition('?')[0] == '/health':
            connection.send(
                b'HTTP/1.1 200 OK\r\nInstance-Id: %b\r\n'
                b'Content-Length: 0\r\n\r\n' % self.name.encode()
            )
            return True
        plan = json.loads(head.first('plan') or '{}')
        attempt = head.first('attempt-id')
        if 'early' in plan:
            return self._refuse_early(connection, head, attempt)
        body = connection.read_body(head)
        if head.first('target-instance') != self.name:
            return self._refuse(connection, 421, attempt)
        if not self._has_key(head):
            return self._refuse(connection, 421, attempt)
        if plan.get('shed') or self.running >= self.slots:
            return self._refuse(connection, 503, attempt)
        return self._run(connection, head, body, plan)

    def _refuse_early(
        self, connection: Connection, head: Head, attempt: str
    ) -> bool:
        self._refuse(connection, 503, attempt)
        time.sleep(0.3)
        connection.read_body(head)
        return True

    def _refuse(
        self, connection: Connection, status: int, attempt: str
    ) -> bool:
        connection.send(
            f'HTTP/1.1 {status} No\r\nAttempt-Id: {attempt}\r\n'
            'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        return True

    def _run(
        self,
        connection: Connection,
        head: Head,
        body: bytes,
        plan: dict[str, Any],
    ) -> bool:
        attempt = head.first('attempt-id')
        run = {
            'at': time.monotonic(),
            'attempt': attempt,
            'worker': self.name,
            'method': head.method,
            'target': head.target,
            'body': hashlib.sha256(body).hexdigest(),
            'origin': head.first('caller-service'),
            'left_ms': head.first('deadline-ms'),
        }
        with self.lock:
            self.runs.append(run)
            self.running += 1
        self.record('run', **run)
        try:
            time.sleep(plan.get('work_ms', 5) / 1000)
        finally:
            with self.lock:
                self.running -= 1
        return _answer(connection, head, attempt, plan)


def content_of(attempt: str, size: int) -> bytes:
    """Return the bytes that a worker answers to a request."""
    block = hashlib.sha256(attempt.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except OSError:
        return  # closed already
    descriptor = sock.detach()
    if descriptor >= 0:
        os.close(descriptor)


def _answer(
    connection: Connection, head: Head, attempt: str, plan: dict[str, Any]
) -> bool:
    status = plan.get('status', 200)
    frame = plan.get('frame', 'length')
    content = content_of(attempt, plan.get('size', 200))
    has_body = head.method != 'HEAD' and status not in (204, 304)
    payload = content if has_body else b''
    lines = [
        f'HTTP/1.1 {status} Some',
        f'Attempt-Id: {plan.get("echo", attempt)}',
        f'Response-Stamp: {attempt}.stamp',
        *plan.get('headers', ()),
    ]
    if frame == 'length' and status != 204:
        lines.append(f'Content-Length: {len(content)}')
    elif frame == 'chunked':
        lines.append('Transfer-Encoding: chunked')
        payload = _chunked(payload, plan.get('chunk', 700))
    if plan.get('close'):
        lines.append('Connection: close')
    data = ('\r\n'.join((*lines, '', ''))).encode() + payload
    if plan.get('interim'):
        data = b'HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n' + data
    cut = plan.get('cut')
    if cut is not None:
        connection.send(data[: int(len(data) * cut)])
        time.sleep(plan.get('cut_after_ms', 0) / 1000)
        if plan.get('reset', True):
            _reset(connection.sock)
        return False
    for part in _parts(data, plan):
        connection.send(part)
    if plan.get('twice'):
        time.sleep(plan['twice'] / 1000)
        connection.send(data)
    if plan.get('junk'):
        time.sleep(plan.get('junk_ms', 0) / 1000)
        connection.send(plan['junk'].encode())
    return not (plan.get('close') or frame == 'none')


def _parts(data: bytes, plan: dict[str, Any]) -> list[bytes]:
    count = plan.get('parts', 1)
    size = max(1, len(data) // count)
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    if count > 1:
        return [_late(part, plan.get('part_ms', 5)) for part in parts]
    return parts


def _late(part: bytes, pause_ms: float) -> bytes:
    time.sleep(pause_ms / 1000)
    return part


def _chunked(payload: bytes, size: int) -> bytes:
    chunks = [
        b'%x\r\n%b\r\n' % (len(part), part)
        for start in range(0, len(payload), size)
        if (part := payload[start : start + size])
    ]
    return b''.join(chunks) + b'0\r\n\r\n'
