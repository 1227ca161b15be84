"""Callers that use a deployment for a while and log what they are told."""

import random
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from threading import Event, Lock

from urllib3 import PoolManager, Retry
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from bench.calls import Call, Told
from standins.clock import boottime_ms

_PAUSE_S = 0.1
_TIMEOUT_S = 20
_OUTCOMES = {'not-run': Told.not_run, 'unknown': Told.unknown}


@dataclass(frozen=True, slots=True)
class Load:
    """What callers do: how many, at which pace, and which requests.

    Without `pause_ms` the next request follows the answer at once.
    """

    service: str
    key_header: str
    callers: int = 6
    operations: int = 400
    keys: int = 60
    limit_s: float = 60
    pause_ms: float = 0
    attempts: int = 40
    payments: float = 0.4  # share of requests
    downloads: float = 0.1  # share of requests
    download_bytes: int = 40_000
    work_ms: int = 5
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Operation:
    """One request with all its attempts."""

    name: str
    key: str
    method: str
    target: str
    size: int | None = None


@dataclass(slots=True)
class Tally:
    """The log that all callers share."""

    calls: list[Call] = field(default_factory=list)
    lock: Lock = field(default_factory=Lock)

    def add(self, call: Call) -> None:
        """Add one attempt."""
        with self.lock:
            self.calls.append(call)


class Callers:
    """Several callers in threads; each tries again until it is answered."""

    def __init__(
        self, load: Load, doors: Callable[[], Sequence[str]], label: str
    ) -> None:
        self._load = load
        self._doors = doors
        self._label = label
        self._tally = Tally()
        self._halt = Event()
        self._until = time.monotonic() + load.limit_s
        self._http = PoolManager(
            maxsize=load.callers * 2, retries=Retry(0), timeout=_TIMEOUT_S
        )
        self._threads = ThreadPoolExecutor(load.callers + 1)
        self._running: list[Future[None]] = []

    @property
    def calls(self) -> list[Call]:
        """Return the attempts so far."""
        with self._tally.lock:
            return list(self._tally.calls)

    def start(self) -> None:
        """Let all callers begin."""
        self._running = [
            self._threads.submit(self._call_often, number)
            for number in range(self._load.callers)
        ]

    def background(self, work: Callable[[], Call]) -> 'Future[Call]':
        """Let one more caller do a piece of work."""
        return self._threads.submit(work)

    def finish(self, *, early: bool = False) -> list[Call]:
        """Wait for the callers, or stop them, and return the log."""
        if early:
            self._halt.set()
        for running in self._running:
            running.result()
        self._threads.shutdown()
        self._http.clear()
        return self.calls

    def attempt(self, operation: Operation, number: int, door: str) -> Call:
        """Send a request once and log what was told."""
        request = f'{operation.name}.{number}'
        sent_ms = boottime_ms()
        answer = self._ask(operation, request, door)
        call = _logged(operation, request, door, sent_ms, answer)
        self._tally.add(call)
        return call

    def _call_often(self, caller: int) -> None:
        chance = random.Random(f'{self._load.seed} {self._label} {caller}')
        count = self._load.operations // self._load.callers
        for number in range(count):
            if self._is_over:
                return
            name = f'{self._label}-{caller}-{number}'
            self._carry_out(self._operation(name, chance), chance)
            self._halt.wait(self._load.pause_ms / 1_000)

    @property
    def _is_over(self) -> bool:
        return self._halt.is_set() or time.monotonic() > self._until

    def _carry_out(self, operation: Operation, chance: random.Random) -> None:
        for number in range(self._load.attempts):
            door = chance.choice(self._doors())
            call = self.attempt(operation, number, door)
            if call.told is Told.answered or self._is_over:
                return
            self._halt.wait(_PAUSE_S)

    def _operation(self, name: str, chance: random.Random) -> Operation:
        load = self._load
        key = f'kiosk-{chance.randrange(load.keys)}'
        kind = chance.random()
        target = f'/{load.service}/x?work_ms={load.work_ms}'
        if kind < load.payments:
            return Operation(name, key, 'POST', target)
        if kind < load.payments + load.downloads:
            size = load.download_bytes
            return Operation(name, key, 'GET', f'{target}&bytes={size}', size)
        return Operation(name, key, 'GET', target)

    def _ask(
        self, operation: Operation, request: str, door: str
    ) -> BaseHTTPResponse | None:
        headers = {
            self._load.key_header: operation.key,
            'Laburnumwood-Request': request,
        }
        if operation.method == 'POST':
            headers['Idempotency-Key'] = operation.name
        try:
            return self._http.request(
                operation.method, f'{door}{operation.target}', headers=headers
            )
        except HTTPError:
            return None


def _logged(
    operation: Operation,
    request: str,
    door: str,
    sent_ms: float,
    answer: BaseHTTPResponse | None,
) -> Call:
    return Call(
        request=request,
        operation=operation.name,
        is_keyed=operation.method == 'POST',
        key=operation.key,
        service=operation.target.split('/')[1],
        method=operation.method,
        door=door,
        sent_ms=sent_ms,
        done_ms=boottime_ms(),
        told=_told(answer),
        status=answer.status if answer else 0,
        body=answer.data if answer else b'',
        size=operation.size,
        checksum=answer.headers.get('Laburnumwood-Checksum', '')
        if answer
        else '',
    )


def _told(answer: BaseHTTPResponse | None) -> Told:
    if answer is None:
        return Told.nothing
    outcome = answer.headers.get('Laburnumwood-Outcome', '')
    return _OUTCOMES.get(outcome, Told.answered)
