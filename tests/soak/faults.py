"""Faults from outside, each begun, held for a while and mended."""

import signal
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager, suppress
from dataclasses import dataclass
from random import Random
from threading import Event, Thread
from typing import Any

from urllib3.exceptions import HTTPError

from bench.reporting import ReportingMember
from standins.clock import MS_PER_SECOND, boottime_ms
from tests.soak.fleet import SoakFleet

_MAX_PAUSE_MS = 2_500
_MAX_FAULT_MS = 3_000
_MAX_INTERVAL_MS = 1_500
_MAX_BREAK_INTERVAL_MS = 300
_LINGER_MS = 300  # of nodes that stop, in their settings
_DIRECTIONS = ('to_target', 'to_client')
_LINKS = ('peer', 'peer', 'worker', 'store', 'reports', 'door')


@dataclass(frozen=True, slots=True)
class FaultContext:
    """What a fault strikes, and the random choices of its lane."""

    fleet: SoakFleet
    rng: Random

    def member(self) -> ReportingMember:
        """Choose a node with its worker."""
        return self.rng.choice(list(self.fleet.members.values()))

    def random_s(self, max_ms: int) -> float:
        """Return a random time in seconds."""
        return self.rng.randint(0, max_ms) / MS_PER_SECOND


Fault = Callable[[FaultContext], AbstractContextManager[str]]
FAULTS: dict[str, Fault] = {}


def _fault(
    name: str,
) -> Callable[[Callable[[FaultContext], Iterator[str]]], Fault]:
    def register(inject: Callable[[FaultContext], Iterator[str]]) -> Fault:
        FAULTS[name] = contextmanager(inject)
        return FAULTS[name]

    return register


@_fault('a node is killed')
def kill_node(context: FaultContext) -> Iterator[str]:
    """Kill a node and start it again later."""
    member = context.member()
    with context.fleet.process_lock(f'node {member.name}'):
        context.fleet.kill_node(member)
        yield member.name
        context.fleet.restart_node(member)


@_fault('a node is told to stop')
def stop_node(context: FaultContext) -> Iterator[str]:
    """Stop a node and start it again once it has ended."""
    member = context.member()
    with context.fleet.process_lock(f'node {member.name}'):
        context.fleet.stop_node(member)
        yield member.name
        context.fleet.restart_node(member)


@_fault('a node is paused while it stops')
def pause_stopping(context: FaultContext) -> Iterator[str]:
    """Stop a node, and pause it about when it closes its door."""
    member = context.member()
    with context.fleet.process_lock(f'node {member.name}'):
        pausing = Thread(target=_pause_after_delay, args=(context, member))
        pausing.start()
        context.fleet.stop_node(member)
        pausing.join()
        yield member.name
        context.fleet.restart_node(member)


def _pause_after_delay(context: FaultContext, member: ReportingMember) -> None:
    time.sleep(context.random_s(_LINGER_MS))
    context.fleet.pause_node(member, context.random_s(_MAX_PAUSE_MS))


@_fault('a node is paused')
def pause_node(context: FaultContext) -> Iterator[str]:
    """Pause a node."""
    member = context.member()
    context.fleet.pause_node(member, context.random_s(_MAX_PAUSE_MS))
    yield member.name


@_fault('a node reads its settings again')
def reload_node(context: FaultContext) -> Iterator[str]:
    """Send SIGHUP."""
    member = context.member()
    with context.fleet.process_lock(f'node {member.name}'), suppress(HTTPError):
        if context.fleet.is_ready(member):
            member.node.signal(signal.SIGHUP)
    yield member.name


@_fault('a worker is killed')
def kill_worker(context: FaultContext) -> Iterator[str]:
    """Kill a worker and start it again later."""
    member = context.member()
    with context.fleet.process_lock(f'worker {member.name}'):
        context.fleet.kill_worker(member)
        yield member.name
        context.fleet.restart_worker(member)


@_fault('a worker is paused')
def pause_worker(context: FaultContext) -> Iterator[str]:
    """Pause a worker."""
    member = context.member()
    worker = member.worker
    worker.pause()
    yield member.name
    worker.resume()


@_fault('links are hindered')
def impair_links(context: FaultContext) -> Iterator[str]:
    """Delay, reset, silence or deafen what leads to a node, or from it."""
    route, switches = _draw_impairment(context)
    context.fleet.relays.set_switches(route, **switches)
    yield f'{route} {switches}'
    context.fleet.relays.clear(route)


@_fault('a link breaks after some bytes')
def break_link(context: FaultContext) -> Iterator[str]:
    """Reset a connection in the middle of a message, a few times."""
    route, _ = _draw_impairment(context)
    direction = context.rng.choice(_DIRECTIONS)
    for _ in range(context.rng.randint(1, 8)):
        size = context.rng.choice((10, 300, 3_000, 30_000, 100_000))
        context.fleet.relays.set_switches(
            route, cut_after=size, cut_direction=direction
        )
        time.sleep(context.random_s(_MAX_BREAK_INTERVAL_MS))
    yield f'{route} {direction}'
    context.fleet.relays.clear(route)


def _draw_impairment(context: FaultContext) -> tuple[str, dict[str, Any]]:
    rng = context.rng
    switches: dict[str, Any] = rng.choice(
        (
            {'cut': True},
            {'delay_ms': rng.choice((20, 80, 300))},
            {'silent': True},
            {'silent': True, 'silent_new': True},
            {'drop': rng.choice(_DIRECTIONS)},
        )
    )
    return f'{context.member().name}.{rng.choice(_LINKS)}', switches


@_fault('the store is away')
def disrupt_store(context: FaultContext) -> Iterator[str]:
    """Let the store be out of service, slow, or lose answers."""
    switches = context.rng.choice(
        ({'outage': True}, {'delay_ms': 400}, {'lose_answers': 5})
    )
    context.fleet.set_store_faults(**switches)
    yield str(switches)
    context.fleet.set_store_faults(outage=False, delay_ms=0, lose_answers=0)


@_fault('the manifest changes')
def rewrite_manifest(context: FaultContext) -> Iterator[str]:
    """Write a manifest with other timeouts."""
    timeout_ms = context.rng.choice((1_500, 2_000, 2_500))
    with suppress(HTTPError):  # another lane may have taken the store away
        context.fleet.replace_manifest(timeout_ms)
    yield f'timeout {timeout_ms} ms'


class Lane:
    """Faults one after the other, beside those of other lanes."""

    def __init__(
        self, fleet: SoakFleet, faults: Sequence[str], rng: Random
    ) -> None:
        self._faults = faults
        self.log: list[str] = []
        self.injection_errors: list[str] = []
        self._context = FaultContext(fleet, rng)

    def run_until(self, stop_event: Event) -> None:
        """Strike and mend until told to stop; ends with all mended."""
        while not stop_event.is_set():
            name = self._context.rng.choice(self._faults)
            try:
                self._inject(name, stop_event)
            except Exception as failure:
                self.injection_errors.append(f'{name}: {failure!r}')
            self._wait_random_time(stop_event, _MAX_INTERVAL_MS)

    def _inject(self, name: str, stop_event: Event) -> None:
        started_ms = boottime_ms()
        with FAULTS[name](self._context) as detail:
            self.log.append(f'{started_ms:.0f} {name}: {detail}')
            self._wait_random_time(stop_event, _MAX_FAULT_MS)
        self.log.append(f'{boottime_ms():.0f} mended: {name}')

    def _wait_random_time(self, stop_event: Event, max_ms: int) -> None:
        stop_event.wait(self._context.rng.randint(0, max_ms) / MS_PER_SECOND)
