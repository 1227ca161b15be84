"""A stand-in worker that reports to its node and holds ranges of keys.

It follows PROTOCOL.md: it runs a request only while it holds the key, answers
421 otherwise, lists in each report what it holds or still works on, releases
what a reply leaves out, and ends work that outlasts its lease.
"""

import random
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from urllib.parse import parse_qs, urlsplit

from cbor2 import dumps, loads

from review.lib.record import Record, now_s

HEARTBEAT_S = 0.87
_RELEASE_PAUSE_S = 0.05
_REPLY_TIMEOUT_S = 1.0
_POLL_S = 0.01
_MAX_REPLY_BYTES = 4_096
_READ_SIZE = 65_536

Headers = dict[str, str]


@dataclass(eq=False)
class Row:
    """A range of keys that a life of a worker holds or still works on."""

    worker: str
    first: int
    last: int
    fence: int
    taken_s: float
    until_s: float  # of the lease; replies that leave the row out keep it
    working: int = 0
    dropping: bool = False
    ended_s: float | None = None

    def overlaps(self, other: 'Row') -> bool:
        """Return whether two rows share a key."""
        return self.first <= other.last and other.first <= self.last


@dataclass
class Run:
    """A request that a worker began to run."""

    attempt: str
    worker: str
    method: str
    path: str
    key: int | None
    began_s: float
    ended_s: float | None = None


@dataclass
class Takeover:
    """A row that was taken while another worker was at work in it."""

    row: Row
    busy: Row
    left_s: float  # of the other worker's lease


@dataclass
class Ledger:
    """What all workers of a case have held and run."""

    rows: list[Row] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    takeovers: list[Takeover] = field(default_factory=list)
    workers: dict[str, 'Worker'] = field(default_factory=dict)

    def overlaps(self) -> Iterator[tuple[float, Row, Row]]:
        """Yield how long rows of two workers were held at the same time."""
        end_s = now_s()
        rows = sorted(self.rows, key=lambda row: row.taken_s)
        for index, row in enumerate(rows):
            row_end_s = row.ended_s or end_s
            for other in rows[index + 1 :]:
                if other.taken_s >= row_end_s:
                    break
                if other.worker != row.worker and row.overlaps(other):
                    both_s = min(row_end_s, other.ended_s or end_s)
                    yield both_s - other.taken_s, row, other


class Worker:
    """One worker and its lives, on threads of this process."""

    def __init__(
        self,
        name: str,
        service: str,
        port: int,
        report_address: str,
        ledger: Ledger,
        record: Record,
        *,
        sharded: bool = True,
        drops_on_close: bool = True,
        slots: int = 18,
    ) -> None:
        self.name = name
        self.service = service
        self.port = port
        self.ledger = ledger
        self.record = record
        self.sharded = sharded
        self.drops_on_close = drops_on_close
        self.slots = slots
        self.state = 'ready'
        self.crash_path = ''  # a request with this in its path ends the life
        self.on_crash: Callable[[], None] = lambda: None
        self.shed_share = 0.0  # of requests that are shed with free slots
        self.extra_share = 0.0  # of answers that are sent a second time
        self.extra_delay_s = 0.0  # after which the second answer follows
        # Called with each report in place of sending it; False: it is not sent.
        self.intercept: Callable[[bytes, dict[str, object]], bool] | None = None
        self.answered = 0  # reports that got a reply in time
        self._report_address = report_address
        self._lock = threading.RLock()
        self._life = 0
        self._listener: socket.socket | None = None
        self._connections: set[socket.socket] = set()
        self._rows: list[Row] = []
        self._released: list[list[object]] = []
        self._highest: dict[int, int] = {}
        self._sequence = 0
        self.born_ms = 0
        ledger.workers[name] = self

    @property
    def is_up(self) -> bool:
        """Return whether a life of the worker goes on."""
        return self._listener is not None

    @property
    def held(self) -> int:
        """Return how many rows are held now."""
        with self._lock:
            self._expire()
            return sum(not row.dropping for row in self._rows)

    def start(self, *, reports: bool = True) -> None:
        """Begin a new life."""
        with self._lock:
            self._life += 1
            self._rows, self._released, self._highest = [], [], {}
            self._sequence = 0
            self.state = 'ready'
            self.born_ms = int(time.time() * 1000)
            self._listener = socket.create_server(
                ('127.0.0.1', self.port), backlog=512
            )
        self.record.note('worker-up', worker=self.name, life=self._life)
        self._thread(self._accept, self._listener, self._life)
        if reports:
            self._thread(self._report_repeatedly, self._life)

    def crash(self) -> None:
        """End the life at once: all connections are reset."""
        with self._lock:
            if self._listener is None:
                return
            self._life += 1
            listener, self._listener = self._listener, None
            connections, self._connections = self._connections, set()
            for row in self._rows:
                self._end(row)
            self._rows = []
        self.record.note('worker-down', worker=self.name)
        for each in (listener, *connections):
            _shut(each)

    def report_content(self) -> dict[str, object]:
        """Return the content of the next report."""
        with self._lock:
            self._expire()
            self._sequence += 1
            content: dict[str, object] = {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': 'z',
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'warmup_left_ms': 0,
                'seq': self._sequence,
                'born': self.born_ms,
            }
            if self.sharded:
                content['holds'] = [
                    [row.first, row.last, row.fence] for row in self._rows
                ]
                content['released'] = self._released
            return content

    def post(
        self, call: str, content: object, timeout_s: float = _REPLY_TIMEOUT_S
    ) -> dict[str, object] | None:
        """Send a call to the node; return its reply, None if not acked."""
        host, _, port = self._report_address.rpartition(':')
        link = HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            link.request(
                'POST',
                f'/Instances.{call}/{self.name}',
                dumps(content),
                {'Content-Type': 'application/cbor'},
            )
            answer = link.getresponse()
            body = answer.read()
        except (OSError, HTTPException):
            return None
        finally:
            link.close()
        if answer.status // 100 != 2 or len(body) > _MAX_REPLY_BYTES:
            return None
        return loads(body)

    def _thread(self, task: Callable[..., None], *arguments: object) -> None:
        threading.Thread(target=task, args=arguments, daemon=True).start()

    def _report_repeatedly(self, life: int) -> None:
        while self._life == life:
            pause_s = HEARTBEAT_S
            if self._report(life):
                pause_s = _RELEASE_PAUSE_S
            time.sleep(pause_s)

    def _report(self, life: int) -> bool:
        """Send a report; return whether another one is due soon."""
        content = self.report_content()
        sent_s = now_s()
        intercept = self.intercept
        if intercept is not None and not intercept(dumps(content), content):
            return False
        reply = self.post('Heartbeat', content)
        late = now_s() - sent_s > _REPLY_TIMEOUT_S
        if reply is None or late or self._life != life:
            return False
        with self._lock:
            self.answered += 1
            self._released = []
            if not self.sharded or 'holds' not in reply:
                return False
            until_s = sent_s + float(str(reply['hold_ms'])) / 1000
            return self._apply(reply['holds'], until_s)

    def _apply(self, granted: object, until_s: float) -> bool:
        assert isinstance(granted, list)
        self._expire()
        wanted = {(first, last): fence for first, last, fence, _ in granted}
        for row in tuple(self._rows):
            if (row.first, row.last) not in wanted and not row.dropping:
                row.dropping = True
                self._release_if_idle(row)
        for (first, last), fence in wanted.items():
            self._take(first, last, fence, until_s)
        return any(row.dropping for row in self._rows) or bool(self._released)

    def _take(self, first: int, last: int, fence: int, until_s: float) -> None:
        highest = max(
            (
                self._highest.get(key, -1)
                for key in range(first, last + 1, max(1, last - first))
            ),
            default=-1,
        )
        if fence < highest:
            return
        for key in (first, last):
            self._highest[key] = max(fence, self._highest.get(key, -1))
        known = next(
            (
                row
                for row in self._rows
                if (row.first, row.last) == (first, last)
            ),
            None,
        )
        if known is not None:
            known.fence, known.dropping = fence, False
            known.until_s = until_s
            return
        row = Row(self.name, first, last, fence, now_s(), until_s)
        self._rows.append(row)
        self._note_busy_others(row)
        self.ledger.rows.append(row)
        self.record.note(
            'take', worker=self.name, first=first, last=last, fence=fence
        )

    def _note_busy_others(self, row: Row) -> None:
        for other in self.ledger.workers.values():
            if other is self:
                continue
            for each in tuple(other._rows):
                left_s = each.until_s - now_s()
                if each.working and left_s > 0 and each.overlaps(row):
                    self.ledger.takeovers.append(Takeover(row, each, left_s))

    def _release_if_idle(self, row: Row) -> None:
        if row.dropping and not row.working and row in self._rows:
            self._rows.remove(row)
            self._end(row)
            handover = f'{random.getrandbits(64):016x}'
            self._released.append([row.first, row.last, handover])

    def _expire(self) -> None:
        expired = [row for row in self._rows if now_s() >= row.until_s]
        if expired:
            self.record.note('expire', worker=self.name, rows=len(expired))
        for row in expired:
            self._rows.remove(row)
            self._end(row)

    def _end(self, row: Row) -> None:
        if row.ended_s is None:
            row.ended_s = min(now_s(), row.until_s)
            self.record.note('drop', worker=self.name, first=row.first)

    def _accept(self, listener: socket.socket, life: int) -> None:
        while self._life == life:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            self._thread(self._serve, connection, life)

    def _serve(self, connection: socket.socket, life: int) -> None:
        try:
            with connection.makefile('rb') as stream:
                while self._life == life and self._answer(
                    connection, stream, life
                ):
                    pass
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    def _answer(self, connection: socket.socket, stream: object, life: int):
        line = stream.readline().split()
        if len(line) != 3:
            return False
        method, target = line[0].decode(), line[1].decode()
        headers: Headers = {}
        while (each := stream.readline()) not in {b'\r\n', b''}:
            name, _, text = each.decode('latin1').partition(':')
            headers[name.lower()] = text.strip()
        stream.read(int(headers.get('content-length', 0)))
        if target == '/health':
            return _send(connection, 200, {'Instance-Id': self.name})
        return self._run(connection, method, target, headers, life)

    def _run(
        self,
        connection: socket.socket,
        method: str,
        target: str,
        headers: Headers,
        life: int,
    ) -> bool:
        attempt = headers.get('attempt-id', '')
        echoed = {'Attempt-Id': attempt}
        refused = {**echoed, 'Not-Executed': '1'}
        if not attempt:
            return _send(connection, 400, refused)
        if headers.get('target-instance', self.name) != self.name:
            return _send(connection, 421, refused)
        if random.random() < self.shed_share:
            self.record.note('shed', worker=self.name, attempt=attempt)
            return self._reply(connection, 503, refused)
        key = int(headers['shard-key']) if 'shard-key' in headers else None
        row = None
        with self._lock:
            self._expire()
            if self.sharded:
                row = next(
                    (
                        each
                        for each in self._rows
                        if key is not None
                        and not each.dropping
                        and each.first <= key <= each.last
                    ),
                    None,
                )
                if row is None:
                    return _send(connection, 421, refused)
                row.working += 1
            run = Run(attempt, self.name, method, target, key, now_s())
            self.ledger.runs.append(run)
        self.record.note(
            'run', worker=self.name, attempt=attempt, path=target, key=key
        )
        if self.crash_path and self.crash_path in target:
            self._thread(self._crash_now)
            time.sleep(1)
            return False
        status = self._work(connection, target, headers, row, life)
        with self._lock:
            run.ended_s = now_s()
            if row is not None:
                row.working -= 1
                self._release_if_idle(row)
        self.record.note('ran', worker=self.name, attempt=attempt, by=status)
        if status == 0:
            return False
        stamped = {**echoed, 'Response-Stamp': f'{attempt}.{self.name}'}
        body = _body(attempt, target)
        is_sent = self._reply(connection, status, stamped, body)
        self.record.note('sent', worker=self.name, attempt=attempt)
        return is_sent

    def _reply(
        self,
        connection: socket.socket,
        status: int,
        headers: Headers,
        body: str = '',
    ) -> bool:
        """Send an answer, and with some a late second copy of it."""
        if random.random() < self.extra_share:
            self.record.note('extra', attempt=headers['Attempt-Id'], of=status)
            late = threading.Timer(
                self.extra_delay_s,
                _try_send,
                (connection, status, headers, body),
            )
            late.daemon = True
            late.start()
        return _send(connection, status, headers, body)

    def _crash_now(self) -> None:
        self.crash()
        self.on_crash()

    def _work(
        self,
        connection: socket.socket,
        target: str,
        headers: Headers,
        row: Row | None,
        life: int,
    ) -> int:
        """Work for a while; return the status, 0 if the request is dropped."""
        query = parse_qs(urlsplit(target).query)
        work_s = float(query.get('ms', ['5'])[0]) / 1000
        end_s = now_s() + work_s
        limit_s = now_s() + float(headers.get('deadline-ms', 60_000)) / 1000
        while now_s() < end_s:
            if self._life != life:
                return 0
            if row is not None and now_s() >= row.until_s:
                return 500
            if now_s() >= limit_s:
                return 504
            if self.drops_on_close and _is_closed(connection):
                return 0
            time.sleep(min(_POLL_S, max(0.0, end_s - now_s())))
        return 200


def _body(attempt: str, target: str) -> str:
    """Return the body of an answer, of as many bytes as the query asks."""
    query = parse_qs(urlsplit(target).query)
    return f'{attempt} {target}\n'.ljust(int(query.get('bytes', ['0'])[0]))


def _is_closed(connection: socket.socket) -> bool:
    readable, _, _ = select.select((connection,), (), (), 0)
    if not readable:
        return False
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def _shut(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()


def _try_send(
    connection: socket.socket, status: int, headers: Headers, body: str
) -> None:
    with suppress(OSError):
        _send(connection, status, headers, body)


def _send(
    connection: socket.socket, status: int, headers: Headers, body: str = ''
) -> bool:
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', body]
    connection.sendall('\r\n'.join(lines).encode())
    return True
