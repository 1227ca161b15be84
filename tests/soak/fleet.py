"""The processes of a soak, connected through relays."""

import json
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from math import inf
from pathlib import Path
from shutil import copytree
from signal import SIGTERM
from threading import Lock
from typing import Any

from cbor2 import dumps, loads

from bench.deployment import HOST, UNHINDERED, Process, free_port, wait_for
from bench.reporting import (
    ReportingDeployment,
    ReportingMember,
    manifest,
    split_route,
)
from standins.clock import MS_PER_SECOND, boottime_ms
from standins.journal.entry import JournalEntry
from tests.soak.holds import WorkerIncarnation
from tests.soak.manifests import ManifestChange, RouteServices
from tests.soak.signals import SignalSpan

SHARDED_SERVICE, UNSHARDED_SERVICE = 'portal', 'docs'
FAILURE_DOMAINS = ('caerdydd', 'abertawe', 'wrecsam')
# Routes that change in a soak: each is the first part of a path.
MOVED_ROUTE, SPLIT_ROUTE, ADDED_PREFIX = 'moved', 'split', 'added-'
FIRST_ROUTES: RouteServices = {
    MOVED_ROUTE: {UNSHARDED_SERVICE: 1},
    SPLIT_ROUTE: {SHARDED_SERVICE: 1, UNSHARDED_SERVICE: 1},
}
START_TIMEOUT_S = 90
STOP_TIMEOUT_S = 30
_TIMEOUT_MS = 2_000  # of all routes, at first
_INVALID_S = 1.5  # for which the store has an invalid manifest
_STARTED_EVENT = b'"node-started"'
_OK = 200


@dataclass(slots=True)
class NodeIncarnation:
    """One process of a node; times in ms of CLOCK_BOOTTIME."""

    node: str
    process: Process = field(repr=False)
    pid: int
    started_ms: float = field(default_factory=boottime_ms)
    stopped_ms: float | None = None  # when SIGTERM was sent
    killed_ms: float | None = None
    ended_ms: float | None = None
    status: int | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)
    serving_ms: float = inf  # when it began to serve callers

    @property
    def unhandled_end_ms(self) -> float | None:
        """Return when the process was ended by a signal it did not handle."""
        return self.stopped_ms if self.died_during_start else self.killed_ms

    @property
    def disturbances(self) -> list[tuple[float, float]]:
        """Return when it started, was paused, and was ended by a signal.

        Callers that connect while it starts wait until it serves.
        """
        ends_ms = (self.stopped_ms, self.killed_ms)
        moments = [(each, each) for each in ends_ms if each is not None]
        start_end_ms = min([self.serving_ms, *(end for end, _ in moments)])
        return [(self.started_ms, start_end_ms), *moments, *self.pauses]

    def read_start(self) -> None:
        """Read from its log when it began to serve callers."""
        since_boot_ms = time.time() * MS_PER_SECOND - boottime_ms()
        for line in self.process.log.read_bytes().splitlines():
            if _STARTED_EVENT in line:
                self.serving_ms = json.loads(line)['at_ms'] - since_boot_ms
                return

    @property
    def died_during_start(self) -> bool:
        """Return whether SIGTERM ended it before it handled signals."""
        if self.status != -SIGTERM:
            return False
        return _STARTED_EVENT not in self.process.log.read_bytes()


@dataclass(slots=True)
class Relays:
    """The routes of one relay process, named `<node>.<target>`."""

    process: Process
    url: str
    http: Any
    ports: dict[str, int] = field(default_factory=dict)

    def add_route(self, route: str, port: int) -> int:
        """Add a route to a port and return the port that it listens on."""
        url = f'{self.url}/routes/{route}'
        response = self.http.request('PUT', url, json={'target_port': port})
        self.ports[route] = int(response.json()['port'])
        return self.ports[route]

    def set_switches(self, route: str, **switches: Any) -> None:
        """Set the fault switches of a route.

        Raises ValueError if the relay refuses them.
        """
        url = f'{self.url}/routes/{route}'
        response = self.http.request('POST', url, json=switches)
        if response.status != _OK:
            raise ValueError(f'{route}: {response.data!r}')

    def reset_switches(self, route: str) -> None:
        """Reset all fault switches of a route."""
        self.set_switches(route, **UNHINDERED)


class SoakFleet(ReportingDeployment):
    """Nodes `n1`, `n2` ... in three failure domains, with their workers.

    Every third node, from `n1`, has a worker of the service `docs`, the
    others one of `portal`.
    """

    def __init__(self, nodes: int) -> None:
        super().__init__({SHARDED_SERVICE: True, UNSHARDED_SERVICE: False})
        self.node_incarnations: list[NodeIncarnation] = []
        self.worker_incarnations: list[WorkerIncarnation] = []
        self.signal_spans: list[SignalSpan] = []
        self.routes = FIRST_ROUTES
        self._versions = count(1)
        self._manifest = self._new_manifest(_TIMEOUT_MS)
        self.manifest_changes: list[ManifestChange] = []
        self._worker_ports: dict[str, int] = {}
        self._process_locks: dict[str, Lock] = {}
        journal_port, relay_port = free_port(), free_port()
        self.journal_url = f'http://{HOST}:{journal_port}/journal'
        self.journal = self._spawn(
            'standins.journal', '--port', str(journal_port)
        )
        relay = self._spawn('standins.relay', '--control-port', str(relay_port))
        self.relays = Relays(relay, f'http://{HOST}:{relay_port}', self.http)
        for url in (self.journal_url, f'{self.relays.url}/routes'):
            wait_for(url, partial(self._responds, url), START_TIMEOUT_S)
        if not self._write_change():
            raise ValueError('the manifest was not written')
        for number in range(nodes):
            service = SHARDED_SERVICE if number % 3 else UNSHARDED_SERVICE
            domain = FAILURE_DOMAINS[number // 2 % len(FAILURE_DOMAINS)]
            self.add(f'n{number + 1}', domain, service)

    def start_node(self, path: Path) -> Process:
        """Start a node and record its process."""
        process = super().start_node(path)
        self.node_incarnations.append(
            NodeIncarnation(path.stem, process, process.pid)
        )
        return process

    def incarnation(self, member: ReportingMember) -> NodeIncarnation:
        """Return the current incarnation of a node."""
        return next(
            incarnation
            for incarnation in self.node_incarnations
            if incarnation.process is member.node
        )

    def door_port(self, name: str, *, relayed: bool) -> int:
        """Return the port of a node for callers, of its relay or its own."""
        if relayed:
            return self.relays.ports[f'{name}.door']
        address = self.members[name].settings['door_address']
        return int(address.rpartition(':')[2])

    def process_lock(self, process_name: str) -> Lock:
        """Return the lock to hold while a process is ended and restarted."""
        return self._process_locks.setdefault(process_name, Lock())

    def kill_node(self, member: ReportingMember) -> None:
        """Kill a node with SIGKILL."""
        incarnation = self.incarnation(member)
        incarnation.killed_ms = boottime_ms()
        member.node.kill()
        incarnation.ended_ms = boottime_ms()

    def stop_node(self, member: ReportingMember) -> None:
        """Send SIGTERM to a node and wait until it has exited."""
        incarnation = self.incarnation(member)
        incarnation.stopped_ms = boottime_ms()
        member.node.terminate()
        incarnation.status = member.node.wait(STOP_TIMEOUT_S)
        incarnation.ended_ms = boottime_ms()

    def pause_node(self, member: ReportingMember, pause_s: float) -> None:
        """Suspend the process of a node for `pause_s` seconds."""
        incarnation = self.incarnation(member)
        paused_ms = boottime_ms()
        incarnation.process.pause()
        time.sleep(pause_s)
        incarnation.process.resume()
        incarnation.pauses.append((paused_ms, boottime_ms()))

    def restart_node(self, member: ReportingMember) -> None:
        """Start a node again."""
        member.node = self.start_node(member.path)

    def kill_worker(self, member: ReportingMember) -> None:
        """Kill a worker with SIGKILL."""
        log = member.worker.log
        member.worker.kill()
        for incarnation in self.worker_incarnations:
            if incarnation.log == log:
                incarnation.killed_ms = boottime_ms()

    def end_workers(self) -> None:
        """Kill all workers, so that their logs stay as they are."""
        for member in self.members.values():
            self.kill_worker(member)

    def restart_worker(self, member: ReportingMember) -> None:
        """Start the worker of a member again on its previous port."""
        port = self._worker_ports[member.name]
        member.worker = self._start_worker(member.settings, port)

    def cut_power(self, members: Iterable[ReportingMember]) -> None:
        """Kill the nodes and workers of some VMs, all at one time."""
        kills = [
            partial(kill, member)
            for member in members
            for kill in (self.kill_node, self.kill_worker)
        ]
        with ThreadPoolExecutor(len(kills)) as pool:
            kill_futures = [pool.submit(kill) for kill in kills]
            for kill_future in kill_futures:
                kill_future.result()

    def replace_manifest(self, timeout_ms: int) -> None:
        """Replace the manifest by a new version with other timeouts."""
        with self.process_lock('operator'):
            self._manifest = self._new_manifest(timeout_ms)
            self._write_change()

    def replace_routes(self, routes: RouteServices) -> None:
        """Replace the manifest by a new version with other routes."""
        with self.process_lock('operator'):
            self.routes = routes
            self._manifest = self._new_manifest(self._timeout_ms)
            self._write_change()

    def write_invalid_manifest(
        self, routes: RouteServices, damage: Callable[[dict[str, Any]], None]
    ) -> None:
        """Write a damaged version with other routes, then a sound one."""
        with self.process_lock('operator'):
            sound = self._manifest
            invalid = ManifestChange(
                self._timeout_ms, boottime_ms(), None, routes, is_valid=False
            )
            self.manifest_changes.append(invalid)
            self._manifest = self._new_manifest(self._timeout_ms, routes)
            damage(self._manifest)
            try:
                self._write_manifest()
            finally:
                self._manifest = {**sound, 'version': next(self._versions)}
            time.sleep(_INVALID_S)
            self._write_change()

    def restore_manifest(self) -> None:
        """Write the manifest again until the store has it.

        Raises TimeoutError if that takes too long.
        """
        with self.process_lock('operator'):
            wait_for('the manifest', self._write_change, START_TIMEOUT_S)

    def put_store_back(self, span_ms: int) -> None:
        """Let the store come back from a copy that is `span_ms` old.

        Each manifest that was ever written may be in force again.
        """
        with self.process_lock('operator'):
            super().put_store_back(span_ms)
            now_ms = boottime_ms()
            self.manifest_changes += [
                replace(each, since_ms=now_ms, settled_ms=None)
                for each in self.manifest_changes
            ]

    def journal_entries(self) -> list[JournalEntry]:
        """Return the entries that the workers wrote into the journal."""
        rows = self.http.request('GET', self.journal_url).json()
        return [JournalEntry(**each) for each in rows]

    def copy_logs(self, folder: Path) -> None:
        """Copy logs, settings and what the store has into a folder."""
        copytree(self._root, folder, dirs_exist_ok=True)
        url = f'{self.store_url}/objects/laburnumwood'
        records = loads(self.http.request('GET', url).data)['items']
        lines = [f'{each["metadata"]} {each["spec"]}' for each in records]
        (folder / 'store.txt').write_text('\n'.join(lines))

    def close(self) -> None:
        """End all processes."""
        self.journal.kill()
        self.relays.process.kill()
        super().close()

    @property
    def _timeout_ms(self) -> int:
        return int(self._manifest['routes'][0]['timeout_ms'])

    def _new_manifest(
        self, timeout_ms: int, routes: RouteServices | None = None
    ) -> dict[str, Any]:
        content = manifest(next(self._versions), self._services)
        content['routes'] += [
            split_route(name, weights)
            for name, weights in (routes or self.routes).items()
        ]
        for route in content['routes']:
            route['timeout_ms'] = timeout_ms
        return content

    def _write_change(self) -> bool:
        """Write the manifest; record it and whether it worked."""
        since_ms = boottime_ms()
        is_settled = False
        try:
            is_settled = self._write_manifest()
        finally:
            settled_ms = boottime_ms() if is_settled else None
            self.manifest_changes.append(
                ManifestChange(
                    self._timeout_ms, since_ms, settled_ms, self.routes
                )
            )
        return is_settled

    def _write_manifest(self) -> bool:
        """Write the manifest, anew if there is none; return if it worked."""
        body = dumps({'metadata': {'name': 'main'}, 'spec': self._manifest})
        return any(
            self.http.request(
                method, f'{self.store_url}/objects/{path}', body=body
            ).status
            == _OK
            for method, path in (('PUT', 'config/main'), ('POST', 'config'))
        )

    def _start_worker(self, settings: dict[str, Any], port: int) -> Process:
        name, service = settings['node_id'], settings['service']
        flags = ['--sharded'] if self._services[service] else []
        reports = self.relays.ports[f'{name}.reports']
        process = self._spawn(
            'tests.soak.worker',
            f'--name=worker-{name}',
            f'--service={service}',
            f'--node-url=http://{HOST}:{reports}',
            f'--port={port}',
            f'--journal-url={self.journal_url}',
            *flags,
        )
        self.worker_incarnations.append(WorkerIncarnation(name, process.log))
        return process

    def _settings(
        self, name: str, domain: str, service: str, worker_port: int
    ) -> dict[str, Any]:
        settings = super()._settings(name, domain, service, worker_port)
        self._worker_ports[name] = worker_port
        targets = {
            'peer': settings['peer_port'],
            'worker': worker_port,
            'store': _port(self.store_url),
            'door': _port(settings['door_address']),
            'reports': _port(settings['report_address']),
        }
        for link, port in targets.items():
            self.relays.add_route(f'{name}.{link}', port)
        ports = self.relays.ports
        settings['reports'] = {'silent_ms': 800, 'most_bytes': 20_000}
        settings['advertised_peer_port'] = ports[f'{name}.peer']
        settings['worker_url'] = f'http://{HOST}:{ports[f"{name}.worker"]}'
        settings['platform_url'] = f'http://{HOST}:{ports[f"{name}.store"]}'
        return settings

    def _responds(self, url: str) -> bool:
        return bool(self.http.request('GET', url).status == _OK)


def _port(address: str) -> int:
    return int(address.rpartition(':')[2])
