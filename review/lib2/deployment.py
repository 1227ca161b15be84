"""A small deployment: the platform's store, nodes, and workers beside them."""

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
from pathlib import Path
from typing import Any

from cbor2 import dumps

from review.lib2.http import Connection, Head, connect
from review.lib2.worker import HOST, Worker

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = 'ficu95.example'
_READY_S = 40
_PORTS = 18_000, 32_000
_given: set[int] = set()


def free_port() -> int:
    """Return a port that is free now and was not returned before.

    It is below those that the system gives to outgoing connections.
    """
    while True:
        port = random.SystemRandom().randrange(*_PORTS)
        if port in _given:
            continue
        _given.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class Recorder:
    """Writes what happens to a file, a line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, what: str, **details: Any) -> None:
        """Write a line."""
        at = time.monotonic() - self._began
        if 'at' in details:
            details['at'] = round(details['at'] - self._began, 3)
        text = json.dumps(details, default=str)
        with self._lock:
            self._file.write(f'{at:8.3f} {what} {text}\n')
            self._file.flush()


class Node:
    """A machine: a node and, beside it, a worker."""

    def __init__(
        self, deployment: 'Deployment', name: str, zone: str, service: str
    ) -> None:
        self._deployment = deployment
        self.name = name
        self.service = service
        ports = [free_port() for _ in range(6)]
        self.worker_port = ports[0]
        self.door = f'{HOST}:{ports[1]}'
        self.ready = f'{HOST}:{ports[2]}'
        self.control = f'{HOST}:{ports[3]}'
        self.peer_port = ports[4]
        self.settings: dict[str, Any] = {
            'borders': 'platform',
            'node_id': name,
            'failure_domain': zone,
            'region': 'pwani',
            'host': HOST,
            'peer_port': ports[4],
            'metrics_port': ports[5],
            'door_address': self.door,
            'ready_address': self.ready,
            'report_address': self.control,
            'platform_url': f'http://{HOST}:{deployment.store_port}',
            'worker_url': f'http://{HOST}:{self.worker_port}',
            'service': service,
            'capacity_owner': service,
            'slots': 18,
            'connections': 100,
            'memory_mb': 300,
            'max_descriptors': 4100,
            'shared_key': 'not secret: machines share no secret',
            'lease': {
                'renew_ms': 700,
                'grant_ms': 3000,
                'drift_margin_ms': 50,
                'guard_ms': 60,
            },
            'stop_grace_s': 6,
            'stop_linger_ms': 2600,
            'owner_patience_ms': 150,
            'placement': {
                'least_usage': 0.55,
                'least_gain': 0.15,
                'load_half_life_ms': 1500,
                'rest_ms': 4000,
                'moves_per_minute': 40,
            },
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.worker: Worker | None = None

    def start(self) -> None:
        """Start the node's process with the command of the deploy file."""
        path = self._deployment.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        log = (self._deployment.folder / f'{self.name}.log').open('ab')
        self.process = self._deployment.spawn(
            ['laburnumwoodd.py', '--settings', str(path)], log
        )
        self._deployment.record('start', node=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the node's process."""
        assert self.process is not None
        self._deployment.record('signal', node=self.name, number=number)
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the node's process."""
        assert self.process is not None
        self.signal(signal.SIGKILL)
        self.process.wait()

    def start_worker(
        self, kind: type[Worker] = Worker, **options: Any
    ) -> Worker:
        """Start a life of the worker beside the node."""
        self.worker = kind(
            self.service,
            options.pop('report_address', self.control),
            self.worker_port,
            record=self._deployment.record,
            sharded=self._deployment.services[self.service],
            **options,
        )
        self.worker.start_reports()
        return self.worker

    def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            connection = connect(self.ready, 1)
            status, _, _ = connection.ask('GET', '/ready', [('Host', 'x')])
        except (OSError, ValueError):
            return False
        connection.close()
        return status == 200


class Deployment:
    """A store, nodes and workers, ended by `close`."""

    def __init__(self, services: dict[str, bool], record: Recorder) -> None:
        self.services = services
        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._processes: list[subprocess.Popen[bytes]] = []
        self.nodes: dict[str, Node] = {}
        self.store_port = free_port()
        log = (self.folder / 'store.log').open('ab')
        self.spawn(
            ['-m', 'standins.objects', '--port', str(self.store_port)], log
        )
        wait_for('the store', self._does_store_answer, 20)

    def spawn(self, arguments: list[str], log: Any) -> subprocess.Popen[bytes]:
        """Start a Python program at the root of the repository."""
        environment = {
            **{k: v for k, v in os.environ.items() if k in ('PATH', 'HOME')},
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self._processes.append(process)
        return process

    def add(self, name: str, zone: str, service: str) -> Node:
        """Add a machine, which is not started yet."""
        self.nodes[name] = Node(self, name, zone, service)
        return self.nodes[name]

    def start(self, kind: type[Worker] = Worker) -> None:
        """Write the manifest, start all machines and wait until all serve."""
        self.write_manifest(manifest(1, self.services))
        for node in self.nodes.values():
            node.start()
            node.start_worker(kind)
        self.wait_until_served()

    def wait_until_served(self) -> None:
        """Wait until every door answers for every service."""
        for node in self.nodes.values():
            wait_for(f'{node.name} to be ready', node.is_ready, _READY_S)
        for node in self.nodes.values():
            for service in self.services:
                wait_for(
                    f'{service} at {node.name}',
                    lambda node=node, service=service: self._serves(
                        node, service
                    ),
                    _READY_S,
                )

    def write_manifest(self, content: dict[str, Any]) -> None:
        """Write the manifest, as the operator."""
        self.record('manifest', version=content['version'])
        body = dumps({'metadata': {'name': 'main'}, 'spec': content})
        method, path = 'PUT', '/objects/config/main'
        if content['version'] == 1:
            method, path = 'POST', '/objects/config'
        connection = connect(f'{HOST}:{self.store_port}', 5)
        status, _, answer = connection.ask(
            method, path, [('Host', 'store')], body
        )
        connection.close()
        if status not in (200, 201):
            raise ValueError(f'manifest: {status} {answer!r}')

    def set_store_faults(self, **faults: Any) -> None:
        """Set the fault switches of the stand-in store."""
        self.record('store', **faults)
        connection = connect(f'{HOST}:{self.store_port}', 5)
        connection.ask(
            'POST', '/faults', [('Host', 'x')], json.dumps(faults).encode()
        )
        connection.close()

    def logs(self) -> dict[str, str]:
        """Return the log of each node."""
        return {
            name: (self.folder / f'{name}.log').read_text(errors='replace')
            for name in self.nodes
        }

    def close(self) -> None:
        """End all processes, by their ids."""
        for node in self.nodes.values():
            if node.worker is not None:
                node.worker.end()
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        kept_in = os.environ.get('KEEP_LOGS_IN')
        if kept_in:
            for path in self.folder.glob('*.log'):
                (Path(kept_in) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()

    def _does_store_answer(self) -> bool:
        try:
            connection = connect(f'{HOST}:{self.store_port}', 1)
            status, _, _ = connection.ask(
                'GET', '/objects/laburnumwood', [('Host', 'x')]
            )
        except (OSError, ValueError):
            return False
        connection.close()
        return status == 200

    def _serves(self, node: Node, service: str) -> bool:
        try:
            status, _, _ = ask_once(
                node.door, f'/{service}/safe/x', f'warm-{time.time_ns()}', 2000
            )
        except (OSError, ValueError):
            return False
        return status == 200


def wait_for(what: str, check: Callable[[], bool], limit_s: float) -> None:
    """Wait until a check holds; raises `TimeoutError`."""
    until_s = time.monotonic() + limit_s
    while not check():
        if time.monotonic() > until_s:
            raise TimeoutError(f'waited {limit_s} s for {what}')
        time.sleep(0.05)


def manifest(version: int, services: dict[str, bool]) -> dict[str, Any]:
    """Return a manifest with a safe and an unsafe route for each service."""
    return {
        'version': version,
        'routes': [
            route(f'r-{name}-{kind}', name, f'/{name}/{kind}/', kind)
            for name in services
            for kind in ('safe', 'unsafe', 'download')
        ],
        'services': [
            {'name': name, 'sharded': sharded, 'health_path': '/health'}
            for name, sharded in services.items()
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 10_000_000,
            'header_timeout_ms': 10_000,
            'idle_timeout_ms': 30_000,
        },
    }


def route(name: str, service: str, prefix: str, kind: str) -> dict[str, Any]:
    """Return a route of a manifest."""
    return {
        'name': name,
        'host': HOST_NAME,
        'path_prefix': prefix,
        'type': kind,
        'timeout_ms': 3_000,
        'objective_ms': 1_000,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
    }


def headers_of(
    attempt: str, deadline_ms: int, **more: str
) -> list[tuple[str, str]]:
    """Return the headers of a request."""
    return [
        ('Host', HOST_NAME),
        ('Attempt-Id', attempt),
        ('Deadline-Ms', str(deadline_ms)),
        ('Shard-Key', str(hash(attempt) % 65_536)),
        *((name.replace('_', '-'), text) for name, text in more.items()),
    ]


def ask_once(
    door: str,
    target: str,
    attempt: str,
    deadline_ms: int,
    method: str = 'GET',
    body: bytes = b'',
    **more: str,
) -> tuple[int, Head, bytes]:
    """Send a request on a new connection; return status, head and body."""
    connection: Connection = connect(door, 1)
    connection.sock.settimeout(deadline_ms / 1000 + 1)
    try:
        return connection.ask(
            method, target, headers_of(attempt, deadline_ms, **more), body
        )
    finally:
        connection.close()
