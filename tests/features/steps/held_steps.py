"""Steps about requests that outlast the timeout of their route."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing, suppress
from dataclasses import dataclass
from functools import partial
from http.client import HTTPException, HTTPResponse
from itertools import cycle, islice
from typing import Any

from behave import given, then, when
from behave.runner import Context

from bench.deployment import HOST
from bench.reporting import HOST_NAME, ReportingDeployment, manifest
from laburnumwood.clock import MS_PER_SECOND, Clock
from tests.features.steps.platform_steps import (
    OK,
    SAMPLE_KEYS,
    TIMEOUT_S,
    check_all_keys,
    next_attempt_id,
    request_key,
)

SERVICE = 'portal'
DOMAINS = ('a', 'b', 'c')
PATIENCE_MS = 6_000  # of the callers, beyond every timeout
SLOW_BODY_PARTS = 7
SLOW_BODY_MS = 700


@dataclass(frozen=True, slots=True)
class Form:
    """What the callers of one case send."""

    kind: str = 'safe'
    body: bytes = b''
    parts: int = 1
    body_ms: int = 0  # for how long the body is sent

    def head(self, key: int) -> bytes:
        """Return the head of a request."""
        lines = (
            '{} /{}/{}/x HTTP/1.1'.format(
                'POST' if self.body else 'GET', SERVICE, self.kind
            ),
            f'Host: {HOST_NAME}',
            f'Attempt-Id: {next_attempt_id()}',
            f'Deadline-Ms: {PATIENCE_MS}',
            f'Shard-Key: {key}',
            f'Content-Length: {len(self.body)}',
        )
        return '\r\n'.join((*lines, '', '')).encode()


FORMS = {
    'requests without a body': Form(),
    'requests whose body comes slowly': Form(
        body=bytes(400_000), parts=SLOW_BODY_PARTS, body_ms=SLOW_BODY_MS
    ),
    'payments': Form('unsafe', bytes(100)),
    'payments of 130 KB': Form('unsafe', bytes(130_000)),
    'payments with a long body': Form('unsafe', bytes(800_000)),
}


def manifest_with_timeout(
    version: int, timeout_ms: int, **others: bool
) -> dict[str, Any]:
    """Return a manifest; other services map to whether they have keys."""
    content = manifest(version, {SERVICE: True, **others})
    for route in content['routes']:
        route['timeout_ms'] = timeout_ms
    return content


@given(
    '{count:d} VMs of the sharded service "portal" with a route timeout of '
    '{timeout_ms:d} ms'
)
def start_vms(context: Context, count: int, timeout_ms: int) -> None:
    context.fleet = ReportingDeployment({SERVICE: True})
    context.add_cleanup(context.fleet.close)
    context.fleet.declare()
    context.timeout_ms = timeout_ms
    context.fleet.write_manifest(manifest_with_timeout(2, timeout_ms))
    for number in range(count):
        context.fleet.add(f'p{number + 1}', DOMAINS[number], SERVICE)
    context.fleet.wait_ready(TIMEOUT_S)
    check_all_keys(context, TIMEOUT_S)


@when('the route timeout becomes {timeout_ms:d} ms, and {span_ms:d} ms pass')
def change_timeout(context: Context, timeout_ms: int, span_ms: int) -> None:
    context.timeout_ms = timeout_ms
    context.fleet.write_manifest(manifest_with_timeout(3, timeout_ms))
    time.sleep(span_ms / MS_PER_SECOND)


def keys_of(context: Context, node: str) -> list[int]:
    """Return sample keys that the worker of a node serves."""
    door = context.fleet.members['p1']
    answers = {key: request_key(context, door, key) for key in SAMPLE_KEYS}
    return [
        key
        for key, answer in answers.items()
        if answer.status == OK and answer.json()['worker'] == f'worker-{node}'
    ]


def _send(sock: socket.socket, form: Form, key: int) -> None:
    sock.sendall(form.head(key))
    size = len(form.body) // form.parts + 1
    for start in range(0, len(form.body), size):
        sock.sendall(form.body[start : start + size])
        time.sleep(form.body_ms / form.parts / MS_PER_SECOND)


def door_port(context: Context, node: str) -> int:
    """Return the port for the callers of a node."""
    address = context.fleet.members[node].settings['door_address']
    return int(address.rpartition(':')[2])


def request_elapsed_ms(port: int, form: Form, key: int) -> int:
    """Return the time from the first byte of a request to its answer's end."""
    with closing(socket.create_connection((HOST, port))) as sock:
        clock = Clock()
        started_ms = clock.now_ms()
        sock.settimeout(PATIENCE_MS / MS_PER_SECOND)
        with suppress(OSError):  # it may be answered before it was read
            _send(sock, form, key)
        answer = HTTPResponse(sock)
        with suppress(OSError, HTTPException):
            answer.begin()
            answer.read()
        return clock.now_ms() - started_ms


@when(
    'the {what} of "{node}" stands still and its keys get {count:d} {requests} '
    'at "{door}"'
)
def request_while_still(
    context: Context, what: str, node: str, count: int, requests: str, door: str
) -> None:
    keys = keys_of(context, node)
    member = context.fleet.members[node]
    port = door_port(context, door)
    (member.node if what == 'node' else member.worker).pause()
    with ThreadPoolExecutor(count) as pool:
        call = partial(request_elapsed_ms, port, FORMS[requests])
        context.elapsed_ms = sorted(pool.map(call, islice(cycle(keys), count)))


@then(
    'at most a quarter of them have no answer {span_ms:d} ms after the timeout'
)
def check_not_held(context: Context, span_ms: int) -> None:
    limit_ms = context.timeout_ms + span_ms
    held = [each for each in context.elapsed_ms if each > limit_ms]
    few = len(context.elapsed_ms) // 4
    assert len(held) <= few, (len(held), context.elapsed_ms)
