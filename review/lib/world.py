"""A small deployment of the project's own programs on loopback addresses."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from uuid import uuid4

from cbor2 import dumps

from review.lib.record import Record, now_s
from review.lib.worker import Ledger, Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
HOST_NAME = 'a.example'
CONTACT_S = 3.0
_PORTS = 18_000, 32_000
_POLL_S = 0.02
_KINDS = ('safe', 'unsafe')


class CannotRunError(Exception):
    """The deployment did not come up as the case needs it."""


_taken: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, and that was not returned before."""
    while True:
        port = random.randrange(*_PORTS)
        if port in _taken:
            continue
        _taken.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


def call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5,
) -> tuple[int, dict[str, str], bytes]:
    """Make one HTTP call on a new connection; raises `OSError`."""
    host, _, port = address.rpartition(':')
    link = HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        link.request(method, path, body, headers or {})
        answer = link.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except HTTPException as failure:
        raise OSError(repr(failure)) from failure
    finally:
        link.close()


@dataclass
class Reply:
    """What a requester got; status 0: the connection was closed."""

    attempt: str
    status: int
    sent_s: float
    ended_s: float
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)


@dataclass
class Member:
    """A node and the worker beside it."""

    name: str
    service: str
    settings: dict[str, object]
    path: Path
    worker: Worker
    child: subprocess.Popen[bytes] | None = None

    @property
    def door(self) -> str:
        """Return the address for requesters."""
        return str(self.settings['door_address'])


class World:
    """Store, nodes and workers of a case; `close` ends all processes."""

    def __init__(
        self,
        folder: Path,
        services: dict[str, bool],
        timeout_ms: int = 4_000,
    ) -> None:
        self.timeout_ms = timeout_ms
        self.record = Record(folder / 'record.txt')
        self.ledger = Ledger()
        self.services = services
        self.members: dict[str, Member] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._root = Path(self._folder.name)
        self._children: list[subprocess.Popen[bytes]] = []
        self.store_address = f'{HOST}:{free_port()}'
        self.store_for_nodes = self.store_address
        port = self.store_address.rpartition(':')[2]
        self._spawn('store', '-m', 'standins.objects', '--port', port)
        self.wait('the store', self._store_answers, 20)
        self._declare()

    def add(self, name: str, domain: str, service: str, **worker: bool) -> None:
        """Set up a node and its worker, without starting them."""
        report_address = f'{HOST}:{free_port()}'
        port = free_port()
        settings = self._settings(name, domain, service, report_address, port)
        path = self._root / f'{name}.json'
        path.write_text(json.dumps(settings))
        beside = Worker(
            f'i-{name}',
            service,
            port,
            report_address,
            self.ledger,
            self.record,
            sharded=self.services[service],
            **worker,
        )
        self.members[name] = Member(name, service, settings, path, beside)

    def start(self, name: str) -> None:
        """Start the process of a node with the deploy file's command."""
        member = self.members[name]
        member.child = self._spawn(
            name, 'laburnumwoodd.py', '--settings', str(member.path)
        )
        self.record.note('node-start', node=name)

    def kill(self, name: str) -> None:
        """Kill the process of a node."""
        child = self.members[name].child
        assert child is not None
        child.kill()
        child.wait()
        self.record.note('node-killed', node=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        child = self.members[name].child
        assert child is not None
        child.send_signal(number)
        self.record.note('signal', node=name, number=number.name)

    def stop(self, name: str) -> None:
        """Stop a node as planned and wait until its process has ended."""
        child = self.members[name].child
        assert child is not None
        self.signal(name, signal.SIGTERM)
        try:
            child.wait(6)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()
        self.record.note('node-ended', node=name)

    def restart(self, name: str, limit_s: float = 20) -> None:
        """Stop a node as planned and start it again."""
        self.stop(name)
        self.start(name)
        self.wait(f'{name} to be ready', lambda: self.is_ready(name), limit_s)

    def start_all(self) -> None:
        """Start all workers and nodes and wait until the nodes are ready."""
        self.start_some(*self.members)

    def start_some(self, *names: str, limit_s: float = 40) -> None:
        """Start workers and nodes and wait until the nodes are ready."""
        for name in names:
            self.members[name].worker.start()
            self.start(name)
        for name in names:
            self.wait(f'{name} ready', lambda n=name: self.is_ready(n), limit_s)

    def is_ready(self, name: str) -> bool:
        """Return whether a node says that it is ready."""
        address = str(self.members[name].settings['ready_address'])
        return call('GET', address, '/ready', timeout_s=1)[0] == 200

    def ask(
        self,
        name: str,
        service: str,
        kind: str = 'safe',
        key: int | None = None,
        ms: int = 5,
        budget_ms: int = 2_500,
        path: str = 'x',
    ) -> Reply:
        """Send one request at a node and return what came back."""
        attempt = uuid4().hex[:16]
        headers = {
            'Host': HOST_NAME,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(budget_ms),
        }
        if key is not None:
            headers['Shard-Key'] = str(key)
        method, body = ('POST', b'body') if kind == 'unsafe' else ('GET', None)
        target = f'/{service}/{kind}/{path}?ms={ms}'
        sent_s = now_s()
        self.record.note(
            'send', attempt=attempt, node=name, target=target, key=key
        )
        try:
            status, got, content = call(
                method,
                self.members[name].door,
                target,
                body,
                headers,
                budget_ms / 1000 + 1,
            )
        except OSError:
            status, got, content = 0, {}, b''
        reply = Reply(attempt, status, sent_s, now_s(), content, got)
        self.record.note(
            'got', attempt=attempt, status=status, body=content[:60]
        )
        return reply

    def in_background(self, task: Callable[[], object]) -> threading.Thread:
        """Run a task on a thread."""
        thread = threading.Thread(target=task, daemon=True)
        thread.start()
        return thread

    def wait(
        self, what: str, check: Callable[[], bool], limit_s: float
    ) -> None:
        """Wait until a check holds; raises `CannotRunError`."""
        until_s = now_s() + limit_s
        while now_s() < until_s:
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(_POLL_S)
        self.record.note('gave-up', waiting_for=what)
        raise CannotRunError(what)

    def close(self) -> None:
        """End all processes that this case started."""
        for member in self.members.values():
            member.worker.crash()
        for child in self._children:
            if child.poll() is None:
                child.kill()
                child.wait()
        keep = os.environ.get('REVIEW_KEEP_LOGS')
        if keep:
            for log in self._root.glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()

    def _spawn(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        environment = {
            each: os.environ[each]
            for each in ('PATH', 'HOME', 'LANG')
            if each in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self._root / f'{name}.log').open('ab') as log:
            child = subprocess.Popen(
                ['python3', *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._children.append(child)
        return child

    def _store_answers(self) -> bool:
        return call('GET', self.store_address, '/objects/config')[0] == 200

    def add_downloads(self) -> None:
        """Write a manifest that has routes for downloads besides."""
        self._write_manifest('PUT', '/config/main', 12, (*_KINDS, 'download'))

    def _declare(self) -> None:
        self._write_manifest('POST', '/config', 7, _KINDS)

    def _write_manifest(
        self, method: str, path: str, version: int, kinds: tuple[str, ...]
    ) -> None:
        routes = [
            {
                'name': f'r-{service}-{kind}',
                'host': HOST_NAME,
                'path_prefix': f'/{service}/{kind}/',
                'type': kind,
                'timeout_ms': self.timeout_ms,
                'objective_ms': 1_000,
                'priority': 1,
                'service': service,
                'max_attempts': 2,
            }
            for service in self.services
            for kind in kinds
        ]
        services = [
            {
                'name': service,
                'health_path': '/health',
                'max_conns': 110,
                'protocol': 'h1',
                'tls': False,
                **({'sharded': True, 'warm_s': 5.0} if sharded else {}),
            }
            for service, sharded in self.services.items()
        ]
        manifest = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 67_108_864,
                'header_timeout_ms': 3_000,
                'idle_timeout_ms': 15_000,
            },
        }
        content = dumps({'metadata': {'name': 'main'}, 'spec': manifest})
        status, _, _ = call(
            method, self.store_address, f'/objects{path}', content
        )
        if status // 100 != 2:
            raise CannotRunError('the manifest was not taken')
        self.record.note('manifest', version=version, kinds=kinds)

    def _settings(
        self,
        name: str,
        domain: str,
        service: str,
        report_address: str,
        worker_port: int,
    ) -> dict[str, object]:
        """Return settings as the template of the deploy file fills them."""
        return {
            'borders': 'platform',
            'node_id': name,
            'failure_domain': domain,
            'region': 'r',
            'host': HOST,
            'peer_port': free_port(),
            'metrics_port': free_port(),
            'door_address': f'{HOST}:{free_port()}',
            'ready_address': f'{HOST}:{free_port()}',
            'report_address': report_address,
            'platform_url': f'http://{self.store_for_nodes}',
            'worker_url': f'http://{HOST}:{worker_port}',
            'service': service,
            'capacity_owner': service,
            'slots': 18,
            'connections': 100,
            'shared_key': 'not secret: machines share no secret',
            'lease': {
                'renew_ms': 700,
                'grant_ms': 3_000,
                'drift_margin_ms': 50,
                'guard_ms': 60,
            },
            'stop_grace_s': 6,
            'stop_linger_ms': 2_600,
            'owner_patience_ms': 150,
            'placement': {
                'least_usage': 0.55,
                'least_gain': 0.15,
                'load_half_life_ms': 1_500,
                'rest_ms': 4_000,
                'moves_per_minute': 40,
            },
        }


def run_case(case: Callable[[Path, bool], bool], folder: Path) -> int:
    """Run a case; return 1 if its rule was broken, 0 if not, 2: not run.

    `case` gets its folder and whether the disruption is to happen, and returns
    whether the rule held.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # All processes are ended also if the case takes too long.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(2))
    try:
        held = case(folder, trouble)
    except Exception as reason:
        sys.stderr.write(f'could not run: {reason!r}\n')
        return 2
    sys.stdout.write('the rule held\n' if held else 'the rule was broken\n')
    return 0 if held else 1
