"""Steps about crowds that come one after the other to one process."""

import signal
from collections.abc import Callable
from contextlib import closing, suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import psutil
from behave import given, then, when
from behave.runner import Context
from cbor2 import dumps

from bench.deployment import HOST, Deployment, Place, wait_for
from bench.reporting import HOST_NAME, ReportingDeployment, manifest
from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import replace_configuration
from laburnumwood.listening import split_address
from laburnumwood.store.client import HttpStore
from tests.features.steps.crowds import Crowd, CrowdPlan, is_answered

MB = 1_048_576  # bytes
LIMIT_S = 60
CROWD_S = 8
GIVE_BACK_LIMIT_S = 10
DESCRIPTORS = 256
OWN_DESCRIPTORS = DESCRIPTORS // 4  # what callers do not get
GRACE_S = 10
SMALL_BODY = b'x' * 1_000
DEADLINE_MS = 600_000  # after the end of a scenario
SERVICE = 'portal'
GIVEN_BACK_SHARE = 1 / 8  # of the VM, which may stay in use after a crowd


def _configuration(longest_body: int) -> dict[str, Any]:
    limits = {'deadline_ms': DEADLINE_MS, 'longest_body': longest_body}
    return {
        'services': {SERVICE: limits, 'docs': limits},
        'failure_domains': ['a'],
        'capacity_owners': {'licensing': {'contact': 'x'}},
    }


def _own_head(framing: str, _number: int) -> bytes:
    return f'PUT /{SERVICE}/x HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n'.encode()


def _platform_head(framing: str, number: int) -> bytes:
    lines = (
        f'POST /{SERVICE}/safe/x HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Attempt-Id: crowd-{number}',
        framing,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def _report_head(framing: str, _number: int) -> bytes:
    path = '/Instances.Heartbeat/other'
    return f'POST {path} HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n'.encode()


class _Own:
    """Nodes with the project's own interface."""

    head = staticmethod(_own_head)

    def __init__(self, longest_body: int) -> None:
        self.deployment = Deployment()
        store = HttpStore(self.deployment.platform_url)
        files = {'10-all.json': _configuration(longest_body)}
        replace_configuration(store, files, 'scenario', Clock())

    def add(self, name: str, service: str, **settings: Any) -> None:
        self.deployment.add(Place(name, 'a', service), **settings)

    def door(self, name: str) -> tuple[str, int]:
        return HOST, self.deployment.members[name].settings['door_port']


class _Platform:
    """Nodes with the interface of the users' platform."""

    head = staticmethod(_platform_head)

    def __init__(self, longest_body: int) -> None:
        services = {SERVICE: False, 'docs': False}
        self.deployment = ReportingDeployment(services)
        content = manifest(1, services)
        content['limits']['max_body_bytes'] = longest_body
        for route in content['routes']:
            route['timeout_ms'] = DEADLINE_MS
        body = dumps({'metadata': {'name': 'main'}, 'spec': content})
        url = f'{self.deployment.store_url}/objects/config'
        assert self.deployment.http.request('POST', url, body=body).status < 300

    def add(self, name: str, service: str, **settings: Any) -> None:
        settings.pop('stop_grace_s')  # these have a patience instead
        self.deployment.add(name, 'a', service, **settings)

    def door(self, name: str) -> tuple[str, int]:
        settings = self.deployment.members[name].settings
        return split_address(settings['door_address'])


@dataclass(frozen=True, slots=True)
class _Measured:
    """The memory of a process up to the end of a crowd, and after it."""

    name: str
    peak_bytes: int
    rest_bytes: int

    def __repr__(self) -> str:
        """Return the figures in MB."""
        peak, rest = self.peak_bytes // MB, self.rest_bytes // MB
        return f'{self.name}: peak {peak} MB, then {rest} MB'


INTERFACES: dict[str, Callable[[int], Any]] = {
    'own': _Own,
    'platform': _Platform,
}


def _is_answered(context: Context, name: str) -> bool:
    """Return whether a request with a body is answered on a new connection."""
    head = context.fleet.head(f'Content-Length: {len(SMALL_BODY)}', 0)
    return is_answered(context.fleet.door(name), head + SMALL_BODY)


def _peak_bytes(process: psutil.Process) -> int:
    """Return the most memory that a process has had resident."""
    status = Path(f'/proc/{process.pid}/status').read_text()
    line = next(each for each in status.splitlines() if 'VmHWM' in each)
    return int(line.split()[1]) * 1_024


def _node(context: Context, name: str) -> Any:
    return context.fleet.deployment.members[name].node


@given(
    'nodes "{names}" with the {interface} interface on VMs of {size:d} MB, '
    'and bodies of up to {longest:d} MB'
)
def start_nodes(
    context: Context, names: str, interface: str, size: int, longest: int
) -> None:
    context.fleet = INTERFACES[interface](longest * MB)
    context.add_cleanup(context.fleet.deployment.close)
    context.vm_bytes = size * MB
    for name in names.split():
        service = SERVICE if name.startswith('p') else 'docs'
        context.fleet.add(
            name,
            service,
            memory_mb=size,
            max_descriptors=DESCRIPTORS,
            connections=20,
            stop_grace_s=GRACE_S,
        )
    context.measured = []
    context.processes = {}
    context.calm_bytes = {}
    for name in names.split():
        answered = partial(_is_answered, context, name)
        wait_for('an answer', answered, LIMIT_S)
        process = psutil.Process(_node(context, name).pid)
        context.processes[name] = process
        context.calm_bytes[name] = process.memory_info().rss


def _plan(row: Any) -> CrowdPlan:
    sizes = (tuple(map(int, row[name].split())) for name in ('bytes', 'chunks'))
    return CrowdPlan(int(row['callers']), *sizes)


@when('these crowds come to "{name}" one after the other, drawn with {seed:d}')
def send_crowds(context: Context, name: str, seed: int) -> None:
    random = Random(int(context.config.userdata.get('seed', seed)))
    address, head = context.fleet.door(name), context.fleet.head
    for row in context.table:
        with closing(Crowd(address, _plan(row), head, random)) as crowd:
            crowd.send(CROWD_S)
        _check_after_crowd(context, name)


def _check_after_crowd(context: Context, name: str) -> None:
    """Check answers and descriptors; note what memory the crowd took."""
    assert _node(context, name).is_running
    answered = partial(_is_answered, context, name)
    wait_for('an answer', answered, LIMIT_S)
    process = context.processes[name]
    wait_for('few descriptors', partial(_has_closed, process), LIMIT_S)
    with suppress(TimeoutError):
        given_back = partial(_has_given_back, context, process, name)
        wait_for('the memory', given_back, GIVE_BACK_LIMIT_S)
    rest_bytes = process.memory_info().rss
    measured = _Measured(name, _peak_bytes(process), rest_bytes)
    context.measured.append(measured)
    print(measured)


def _is_little(context: Context, name: str, rest_bytes: int) -> bool:
    """Return whether a crowd has left little memory in use."""
    kept = rest_bytes - context.calm_bytes[name]
    return bool(kept <= context.vm_bytes * GIVEN_BACK_SHARE)


def _has_given_back(
    context: Context, process: psutil.Process, name: str
) -> bool:
    return _is_little(context, name, process.memory_info().rss)


def _has_closed(process: psutil.Process) -> bool:
    return process.num_fds() <= OWN_DESCRIPTORS


@given('the worker beside "{name}" has stopped answering')
def pause_worker(context: Context, name: str) -> None:
    context.paused = context.fleet.deployment.members[name].worker
    context.paused.pause()


@when('the worker answers again')
def resume_worker(context: Context) -> None:
    context.paused.resume()


@when(
    '{callers:d} callers each send bodies of {sizes} bytes to "{names}", '
    'drawn with {seed:d}'
)
def send_to_all(
    context: Context, callers: int, sizes: str, names: str, seed: int
) -> None:
    random = Random(int(context.config.userdata.get('seed', seed)))
    plan = CrowdPlan(callers, tuple(map(int, sizes.split())), (0, 20_000))
    head = context.fleet.head
    context.crowds = []
    for name in names.split():
        crowd = Crowd(context.fleet.door(name), plan, head, random)
        context.add_cleanup(crowd.close)
        context.crowds.append(crowd)
    for _ in range(CROWD_S):
        for crowd in context.crowds:
            crowd.send(1)


@when('the callers have gone')
def close_crowds(context: Context) -> None:
    for crowd in context.crowds:
        crowd.close()


@when(
    '{callers:d} callers send {size:d} bytes to the report address of "{name}"'
)
def send_reports(context: Context, callers: int, size: int, name: str) -> None:
    settings = context.fleet.deployment.members[name].settings
    address = split_address(settings['report_address'])
    plan = CrowdPlan(callers, (size,), (0, 100_000))
    with closing(Crowd(address, plan, _report_head, Random(callers))) as crowd:
        crowd.send(CROWD_S)


@then('each node has stayed within its VM and has given back what they took')
def check_nodes(context: Context) -> None:
    if not context.measured:
        for name in context.processes:
            _check_after_crowd(context, name)
    for each in context.measured:
        assert each.peak_bytes <= context.vm_bytes, context.measured
        is_given_back = _is_little(context, each.name, each.rest_bytes)
        assert is_given_back, context.measured


@then('"{name}" ends within its grace once it gets SIGTERM')
def check_stop(context: Context, name: str) -> None:
    node = _node(context, name)
    node.signal(signal.SIGTERM)
    assert node.wait(GRACE_S) == 0
