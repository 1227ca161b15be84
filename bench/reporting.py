"""A deployment whose workers report to their nodes, on loopback."""

import json
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

from cbor2 import dumps
from urllib3 import PoolManager, Retry
from urllib3.response import BaseHTTPResponse

from bench.deployment import (
    HOST,
    SHARED_KEY,
    Process,
    free_port,
    keep_logs,
    wait_for,
)

HOST_NAME = 'a.example'
_OK = 200
_START_S = 60
_REPORT_MS = 200
_WORKER = 'standins.reporter'
_EVACUATION_KIND = 'evacuations'
_OWN_KIND = 'laburnumwood'  # of the router's records in the store


def _route(name: str, kind: str) -> dict[str, Any]:
    return {
        'name': f'r-{name}-{kind}',
        'host': HOST_NAME,
        'path_prefix': f'/{name}/{kind}/',
        'type': kind,
        'timeout_ms': 2_000,
        'objective_ms': 1_000,
        'priority': 1,
        'service': name,
        'max_attempts': 2,
    }


def manifest(version: int, services: dict[str, bool]) -> dict[str, Any]:
    """Return a manifest; services map to whether they are divided by key."""
    kinds = ('safe', 'unsafe')
    return {
        'version': version,
        'routes': [_route(name, kind) for name in services for kind in kinds],
        'services': [
            {'name': name, 'sharded': sharded}
            for name, sharded in services.items()
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 1_000_000,
            'header_timeout_ms': 10_000,
            'idle_timeout_ms': 60_000,
        },
    }


def split_route(name: str, weights: Mapping[str, float]) -> dict[str, Any]:
    """Return a route whose requests services share by their weights."""
    parts = [
        {'service': service, 'weight': weight}
        for service, weight in weights.items()
    ]
    route = _route(name, 'safe')
    route.pop('service')
    return {**route, 'weighted_services': parts}


@dataclass(slots=True)
class ReportingMember:
    """A node and the worker beside it, with their addresses."""

    name: str
    service: str
    settings: dict[str, Any]
    path: Path
    worker: Process
    node: Process

    @property
    def door(self) -> str:
        """Return the URL for requesters."""
        return 'http://{}'.format(self.settings['door_address'])

    @property
    def ready(self) -> str:
        """Return the URL that tells whether the node is ready."""
        return 'http://{}/ready'.format(self.settings['ready_address'])

    @property
    def seen(self) -> str:
        """Return the URL of what the worker was sent."""
        return '{}/seen'.format(self.settings['worker_url'])


class ReportingDeployment:
    """A store, nodes and reporting workers, all ended by `close`."""

    def __init__(
        self, services: dict[str, bool], *, follow_evacuations: bool = False
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._root = Path(self._folder.name)
        self._services = services
        self._follow_evacuations = follow_evacuations
        self._numbers = count()  # threads may start processes at once
        self.members: dict[str, ReportingMember] = {}
        self.http = PoolManager(maxsize=64, retries=Retry(0), timeout=15)
        port = free_port()
        self.store_url = f'http://{HOST}:{port}'
        self.store = self._spawn('standins.objects', '--port', str(port))
        wait_for('the store', self._store_answers, _START_S)

    def declare(self, version: int = 1) -> None:
        """Write the manifest."""
        content = manifest(version, self._services)
        body = dumps({'metadata': {'name': 'main'}, 'spec': content})
        answer = self.http.request(
            'POST', f'{self.store_url}/objects/config', body=body
        )
        if answer.status != _OK:
            raise ValueError(f'manifest: {answer.data!r}')

    def add_route(self, version: int, service: str, path_prefix: str) -> None:
        """Write a manifest that has one route more."""
        content = manifest(version, self._services)
        added = {**_route(service, 'safe'), 'path_prefix': path_prefix}
        content['routes'].append({**added, 'name': f'added-{version}'})
        self.write_manifest(content)

    def write_manifest(self, content: dict[str, Any]) -> None:
        """Replace the manifest, whatever its revision."""
        body = dumps({'metadata': {'name': 'main'}, 'spec': content})
        answer = self.http.request(
            'PUT', f'{self.store_url}/objects/config/main', body=body
        )
        if answer.status != _OK:
            raise ValueError(f'manifest: {answer.data!r}')

    def evacuate(self, domain: str) -> None:
        """Evacuate a failure domain, as an operator."""
        body = dumps({'metadata': {'name': domain}, 'spec': {}})
        url = f'{self.store_url}/objects/{_EVACUATION_KIND}'
        assert self.http.request('POST', url, body=body).status == _OK

    def take_back(self, domain: str) -> None:
        """End the evacuation of a failure domain."""
        url = f'{self.store_url}/objects/{_EVACUATION_KIND}/{domain}'
        assert self.http.request('DELETE', url).status == _OK

    def set_store_faults(self, **faults: Any) -> None:
        """Set the fault switches of the store."""
        self.http.request(
            'POST', f'{self.store_url}/faults', body=json.dumps(faults)
        )

    def put_store_back(self, span_ms: int) -> None:
        """Let the store come back from a copy that is `span_ms` old."""
        self.http.request('POST', f'{self.store_url}/put-back?ms={span_ms}')

    def put_store_back_before(self, prefix: str) -> None:
        """Let the store come back from a copy of before its own records.

        The copy has none whose name begins with `prefix`, and nothing later.
        """
        before = f'{_OWN_KIND}/{prefix}'
        self.http.request('POST', f'{self.store_url}/put-back?before={before}')

    def leave_out_eras(self, every: int) -> None:
        """Let each nth answer of the store name no era; 0: all name it."""
        url = f'{self.store_url}/unnamed-eras?every={every}'
        self.http.request('POST', url)

    def worker_logs(self) -> list[Path]:
        """Return the logs of all workers, one for each life."""
        return sorted(self._root.glob(f'{_WORKER}-*.log'))

    def store_calls(self) -> int:
        """Return how many calls reached the store."""
        counts = self.http.request('GET', f'{self.store_url}/counts').json()
        return int(counts['reads'] + counts['writes'] + counts['watches'])

    def add(
        self, name: str, domain: str, service: str, **changed: Any
    ) -> ReportingMember:
        """Start a worker and its node; return without waiting for them.

        `changed` are settings of the node that are not the usual ones.
        """
        worker_port = free_port()
        settings = self._settings(name, domain, service, worker_port)
        settings.update(changed)
        path = self._root / f'{name}.json'
        path.write_text(json.dumps(settings))
        worker = self._start_worker(settings, worker_port)
        node = self.start_node(path)
        member = ReportingMember(name, service, settings, path, worker, node)
        self.members[name] = member
        return member

    def start_node(self, path: Path) -> Process:
        """Start a node with a settings file."""
        return self._spawn('laburnumwood.daemon.main', '--settings', str(path))

    def restart_worker(self, member: ReportingMember) -> None:
        """Start the worker of a member again at its old port."""
        port = int(member.settings['worker_url'].rpartition(':')[2])
        member.worker = self._start_worker(member.settings, port)

    def ask(
        self, member: ReportingMember, path: str, attempt: str, **headers: str
    ) -> BaseHTTPResponse:
        """Send a request to a member's door and return the answer."""
        sent = {
            'Host': HOST_NAME,
            'Attempt-Id': attempt,
            'Deadline-Ms': '2000',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        return self.http.request('GET', f'{member.door}{path}', headers=sent)

    def wait_ready(self, limit_s: float) -> None:
        """Wait until each node says that it is ready; raises TimeoutError."""
        for member in self.members.values():
            ready = partial(self.is_ready, member)
            wait_for(f'{member.name} to be ready', ready, limit_s)

    def is_ready(self, member: ReportingMember) -> bool:
        """Tell whether a node says that it is ready."""
        return bool(self.http.request('GET', member.ready).status == _OK)

    def close(self) -> None:
        """End all processes by their ids."""
        for member in self.members.values():
            member.node.kill()
            member.worker.kill()
        self.store.kill()
        keep_logs(self._root)
        self._folder.cleanup()

    def _store_answers(self) -> bool:
        url = f'{self.store_url}/objects/laburnumwood'
        return bool(self.http.request('GET', url).status == _OK)

    def _start_worker(self, settings: dict[str, Any], port: int) -> Process:
        service = settings['service']
        flags = ['--sharded'] if self._services[service] else []
        return self._spawn(
            _WORKER,
            f'--name=worker-{settings["node_id"]}',
            f'--service={service}',
            f'--node-url=http://{settings["report_address"]}',
            f'--port={port}',
            f'--report-ms={_REPORT_MS}',
            *flags,
        )

    def _settings(
        self, name: str, domain: str, service: str, worker_port: int
    ) -> dict[str, Any]:
        addresses = {
            f'{what}_address': f'{HOST}:{free_port()}'
            for what in ('door', 'ready', 'report')
        }
        return {
            'borders': 'platform',
            'node_id': name,
            'failure_domain': domain,
            'host': HOST,
            'peer_port': free_port(),
            'metrics_port': free_port(),
            'platform_url': self.store_url,
            'worker_url': f'http://{HOST}:{worker_port}',
            'service': service,
            'capacity_owner': service,
            'shared_key': SHARED_KEY,
            'lease': {'renew_ms': 300, 'grant_ms': 1_500},
            'reports': {'silent_ms': 800},
            'stop_patience_ms': 5_000,
            'stop_linger_ms': 300,
            'owner_patience_ms': 1_500,
            'follow_evacuations': self._follow_evacuations,
            **addresses,
        }

    def _spawn(self, module: str, *arguments: str) -> Process:
        log = self._root / f'{module}-{next(self._numbers)}.log'
        return Process(module, *arguments, log=log)
