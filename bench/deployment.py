"""A small deployment of real processes on loopback."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from random import shuffle
from typing import Any

from urllib3 import PoolManager, Retry
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

HOST = '127.0.0.1'
SHARED_KEY = 'a key for loopback only'
OPERATOR_TOKEN = 'a token for loopback only'
_START_S = 60
_STOP_S = 60
_POLL_S = 0.02
# Below those that the system gives to outgoing connections, which could take
# a port before the process that it is meant for listens.
_PORTS = 18_000, 32_000
_BLOCK = 500  # ports that one process takes at a time
# Nothing listens here.  Who has bound the first port of a block has the block.
_CLAIMS = '127.0.0.2'
UNHINDERED: dict[str, Any] = {
    'only': '',
    'cut': False,
    'silent': False,
    'silent_new': False,
    'delay_ms': 0,
    'drop': None,
    'cut_after': None,
}
_OK = 200
# Names a folder in which the logs of each deployment stay, for tests that fail.
_KEEP_LOGS_IN = 'LABURNUMWOOD_KEEP_LOGS_IN'


class NotReadyError(HTTPError):
    """A node does not answer operators yet."""


def _can_bind(port: int) -> bool:
    try:
        with socket.socket() as probe:
            probe.bind((HOST, port))
    except OSError:
        return False
    return True


class NoPortsError(OSError):
    """Other test runs on this machine have all blocks of ports."""


class _Ports:
    """Ports that are given once, to no other process that runs tests."""

    def __init__(self) -> None:
        self._claims: list[socket.socket] = []
        self._left: list[int] = []

    def take(self) -> int:
        """Return a port that is free now; raises `NoPortsError`."""
        while True:
            if not self._left:
                self._claim()
            port = self._left.pop()
            if _can_bind(port):
                return port

    def _claim(self) -> None:
        """Take a block for as long as this process lives."""
        blocks = list(range(*_PORTS, _BLOCK))
        shuffle(blocks)
        for first in blocks:
            claim = socket.socket()
            try:
                claim.bind((_CLAIMS, first))
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            self._left = list(range(first, first + _BLOCK))
            shuffle(self._left)
            return
        raise NoPortsError(f'{len(blocks)} blocks are taken')


_ports = _Ports()


def free_port() -> int:
    """Return a port that is free now, and that no connection is given.

    It is given once, and to this process only: what it is meant for may take
    seconds to listen.
    """
    return _ports.take()


def _holds(check: Callable[[], bool]) -> bool:
    try:
        return check()
    except HTTPError:
        return False


def wait_for(what: str, check: Callable[[], bool], limit_s: float) -> float:
    """Wait until a check holds; return the seconds that it took.

    An answer that does not come counts as a check that does not hold.
    Raises `TimeoutError` if it does not hold in time.
    """
    started = time.monotonic()
    while not _holds(check):
        if time.monotonic() - started > limit_s:
            raise TimeoutError(f'waited {limit_s} s for: {what}')
        time.sleep(_POLL_S)
    return time.monotonic() - started


def keep_logs(folder: Path) -> None:
    """Copy the logs of a deployment to where the environment says, if set."""
    kept_in = os.environ.get(_KEEP_LOGS_IN)
    if kept_in:
        shutil.copytree(folder, Path(kept_in) / folder.name)


class Process:
    """A process of the deployment, ended by its id."""

    def __init__(self, module: str, *arguments: str, log: Path) -> None:
        command = [sys.executable, '-m', module, *arguments]
        with log.open('ab') as output:
            self._child = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT
            )
        self.log = log

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._child.poll() is None

    def kill(self) -> None:
        """End the process at once."""
        self._child.kill()
        self._child.wait()

    def pause(self) -> None:
        """Stop the process until it is resumed."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop."""
        self.signal(signal.SIGTERM)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        self._child.send_signal(number)

    def wait(self, limit_s: float = _STOP_S) -> int:
        """Wait for the end of the process and return its exit status."""
        return self._child.wait(limit_s)

    def stop(self, limit_s: float = _STOP_S) -> int:
        """Ask the process to stop and return its exit status."""
        self.terminate()
        return self.wait(limit_s)


@dataclass(frozen=True, slots=True)
class Place:
    """Where a node of the deployment stands and what it serves."""

    node_id: str
    failure_domain: str
    service: str
    capacity_owner: str = 'licensing'
    slots: int = 20
    connections: int = 100


@dataclass(slots=True)
class Member:
    """A node of the deployment with its worker."""

    place: Place
    settings: dict[str, Any]
    path: Path
    worker: Process
    node: Process
    worker_port: int

    @property
    def door(self) -> str:
        """Return the URL for callers."""
        return f'http://{HOST}:{self.settings["door_port"]}'

    @property
    def operators(self) -> str:
        """Return the URL for operators."""
        return f'http://{HOST}:{self.settings["operator_port"]}'


class Deployment:
    """Stand-ins and nodes as processes, all ended by `close`."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._root = Path(self._folder.name)
        self.members: dict[str, Member] = {}
        self.relay: Process | None = None
        self.relay_url = ''
        self.http = PoolManager(maxsize=64, retries=Retry(0), timeout=15)
        platform_port, journal_port = free_port(), free_port()
        self.platform_url = f'http://{HOST}:{platform_port}'
        self.journal_url = f'http://{HOST}:{journal_port}'
        self.platform = self._spawn(
            'standins.platform', '--port', str(platform_port)
        )
        self.journal = self._spawn(
            'standins.journal', '--port', str(journal_port)
        )
        self._answers(f'{self.platform_url}/counts')
        self._answers(f'{self.journal_url}/journal')

    def add(
        self, place: Place, *, relayed: bool = False, **settings: Any
    ) -> Member:
        """Start a worker and its node; return without waiting for them.

        A relayed node is reached, and reaches what it needs, by relays.
        """
        worker_port = free_port()
        worker = self._start_worker(place, worker_port)
        written = self._settings(place, worker_port)
        written.update(settings)
        if relayed:
            self._relay_all(written)
        path = self._root / f'{place.node_id}.json'
        path.write_text(json.dumps(written))
        node = self.start_node(path)
        member = Member(place, written, path, worker, node, worker_port)
        self.members[place.node_id] = member
        return member

    def start_node(self, path: Path) -> Process:
        """Start a node with a settings file."""
        return self._spawn('laburnumwood.daemon.main', '--settings', str(path))

    def restart_worker(self, member: Member) -> None:
        """Start a member's worker again at its old port."""
        member.worker = self._start_worker(member.place, member.worker_port)

    def restart_node(self, member: Member) -> None:
        """Start a member's node again with its old settings."""
        member.node = self.start_node(member.path)

    def hinder(self, route: str, **switches: Any) -> None:
        """Set switches of a relay, named by node and what it leads to."""
        url = f'{self.relay_url}/routes/{route}'
        answer = self.http.request('POST', url, json=switches)
        if answer.status != _OK:
            raise ValueError(f'{route}: {answer.data!r}')

    def clear(self, route: str) -> None:
        """Let a relay pass everything on again."""
        self.hinder(route, **UNHINDERED)

    def routes(self) -> dict[str, dict[str, Any]]:
        """Return what each relay has carried."""
        return self.get(f'{self.relay_url}/routes').json()

    def fault(self, **switches: Any) -> None:
        """Set fault switches of the platform."""
        self.http.request('POST', f'{self.platform_url}/faults', json=switches)

    def worker_switch(self, member: Member, **switches: Any) -> None:
        """Set switches of a member's worker, whatever the relay does."""
        url = f'http://{HOST}:{member.worker_port}/switches'
        self.http.request('POST', url, json=switches)

    def get(self, url: str, **more: Any) -> BaseHTTPResponse:
        """Return the answer to a GET."""
        return self.http.request('GET', url, **more)

    def page(self, member: Member, name: str) -> Any:
        """Return a page of a node's operator port.

        Raises `NotReadyError` if the node has none yet.
        """
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        answer = self.get(f'{member.operators}/{name}', headers=headers)
        if answer.status != _OK:
            raise NotReadyError(member.place.node_id)
        return answer.json()

    def is_serving(self, member: Member, path: str, **more: Any) -> bool:
        """Tell whether a door answers a request with success."""
        return self.get(f'{member.door}{path}', **more).status == _OK

    def entries(self) -> list[dict[str, Any]]:
        """Return what the workers wrote into their journals."""
        return self.get(f'{self.journal_url}/journal').json()

    def close(self) -> None:
        """End every process that is still there."""
        for process in self._processes():
            if process.is_running:
                process.kill()
        keep_logs(self._root)
        self._folder.cleanup()

    def _processes(self) -> Iterable[Process]:
        for member in self.members.values():
            yield member.node
            yield member.worker
        yield self.platform
        yield self.journal
        if self.relay is not None:
            yield self.relay

    def _spawn(self, module: str, *arguments: str) -> Process:
        log = self._root / f'{module}.log'
        return Process(module, *arguments, log=log)

    def _start_worker(self, place: Place, port: int) -> Process:
        return self._spawn(
            'standins.worker',
            '--name',
            place.node_id,
            '--port',
            str(port),
            '--slots',
            str(place.slots),
            '--journal-url',
            f'{self.journal_url}/journal',
        )

    def _settings(self, place: Place, worker_port: int) -> dict[str, Any]:
        return {
            'node_id': place.node_id,
            'failure_domain': place.failure_domain,
            'host': HOST,
            'peer_port': free_port(),
            'door_port': free_port(),
            'operator_port': free_port(),
            'platform_url': self.platform_url,
            'worker_url': f'http://{HOST}:{worker_port}',
            'service': place.service,
            'capacity_owner': place.capacity_owner,
            'slots': place.slots,
            'connections': place.connections,
            'shared_key': SHARED_KEY,
            'operators': {
                'bench': {'token': OPERATOR_TOKEN, 'may': 'change'},
            },
        }

    def _relay_all(self, written: dict[str, Any]) -> None:
        if self.relay is None:
            self._start_relay()
        node_id = written['node_id']
        for name in ('platform', 'worker'):
            url = written[f'{name}_url']
            port = self._relay(f'{node_id}.{name}', int(url.split(':')[-1]))
            written[f'{name}_url'] = f'http://{HOST}:{port}'
        written['advertised_peer_port'] = self._relay(
            f'{node_id}.peer', written['peer_port']
        )

    def _start_relay(self) -> None:
        port = free_port()
        self.relay_url = f'http://{HOST}:{port}'
        self.relay = self._spawn('standins.relay', '--control-port', str(port))
        self._answers(f'{self.relay_url}/routes')

    def _relay(self, route: str, port: int) -> int:
        url = f'{self.relay_url}/routes/{route}'
        answer = self.http.request('PUT', url, json={'target_port': port})
        return int(answer.json()['port'])

    def _answers(self, url: str) -> None:
        wait_for(url, lambda: self._is_up(url), _START_S)

    def _is_up(self, url: str) -> bool:
        return self.get(url).status == _OK
