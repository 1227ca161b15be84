"""Faults that are injected from outside, kept up for a time and undone."""

import signal
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import (
    AbstractContextManager,
    ExitStack,
    contextmanager,
    suppress,
)
from dataclasses import dataclass
from random import Random
from threading import Event, Thread
from typing import Any

from urllib3.exceptions import HTTPError

from bench.reporting import ReportingMember
from standins.clock import MS_PER_SECOND, boottime_ms
from tests.soak.disturbances import Disturbance
from tests.soak.fleet import (
    ADDED_PREFIX,
    MOVED_ROUTE,
    SHARDED_SERVICE,
    SPLIT_ROUTE,
    UNSHARDED_SERVICE,
    SoakFleet,
)
from tests.soak.manifests import RouteServices
from tests.soak.signals import SignalKind, SignalSpan

_MAX_PAUSE_MS = 2_500
_MAX_FAULT_MS = 3_000
_MAX_INTERVAL_MS = 1_500
_MAX_BREAK_INTERVAL_MS = 300
_LIMITED_S = 8  # a limit that ends sooner can't be checked
_LEAVING_S = 4
_LINGER_MS = 300  # `stop_linger_ms` in the settings of the nodes
_DIRECTIONS = ('to_target', 'to_client')
_MIN_COPY_AGE_MS, _MAX_COPY_AGE_MS = 1_000, 4_000
_KEPT_SHARE = 0.6  # of the added routes, at each change
_ROUTE_NAMES = 1_000_000  # so that a name seldom comes twice
_WAYS = ('peer', 'worker', 'store', 'reports', 'door')
_LINKS = ('peer', 'peer', 'worker', 'store', 'reports', 'door')


@dataclass(frozen=True, slots=True)
class FaultContext:
    """The processes that a fault affects and the random source of its lane."""

    fleet: SoakFleet
    rng: Random

    def member(self) -> ReportingMember:
        """Return a random node with its worker."""
        return self.rng.choice(list(self.fleet.members.values()))

    def some_members(self) -> list[ReportingMember]:
        """Return one node, or half of them, or all, with their workers."""
        members = list(self.fleet.members.values())
        size = self.rng.choice((1, len(members) // 2 or 1, len(members)))
        return self.rng.sample(members, size)

    def random_s(self, max_ms: int) -> float:
        """Return a random time of up to `max_ms`, in seconds."""
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
    """Stop a node with SIGTERM and start it again after it has exited."""
    member = context.member()
    with context.fleet.process_lock(f'node {member.name}'):
        context.fleet.stop_node(member)
        yield member.name
        context.fleet.restart_node(member)


@_fault('a node is paused while it stops')
def pause_stopping_node(context: FaultContext) -> Iterator[str]:
    """Stop a node, and pause it at about the time it closes its door."""
    member = context.member()
    with context.fleet.process_lock(f'node {member.name}'):
        pause_thread = Thread(target=_pause_after_delay, args=(context, member))
        pause_thread.start()
        context.fleet.stop_node(member)
        pause_thread.join()
        yield member.name
        context.fleet.restart_node(member)


def _pause_after_delay(context: FaultContext, member: ReportingMember) -> None:
    time.sleep(context.random_s(_LINGER_MS))
    context.fleet.pause_node(member, context.random_s(_MAX_PAUSE_MS))


@_fault('a node is paused')
def pause_node(context: FaultContext) -> Iterator[str]:
    """Suspend the process of a node for a random time."""
    member = context.member()
    context.fleet.pause_node(member, context.random_s(_MAX_PAUSE_MS))
    yield member.name


@_fault('a node reads its settings again')
def reload_node(context: FaultContext) -> Iterator[str]:
    """Send SIGHUP to a node, if it is ready."""
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
    """Suspend the process of a worker while the fault lasts."""
    member = context.member()
    worker = member.worker
    worker.pause()
    yield member.name
    worker.resume()


@_fault('a worker names a limit')
def limit_worker(context: FaultContext) -> Iterator[str]:
    """Let a worker name a limit on its request rate for some seconds."""
    member = context.member()
    with context.fleet.process_lock(f'worker {member.name}'):
        with _signal_span(context, member, SignalKind.limit):
            member.worker.signal(signal.SIGUSR1)
            time.sleep(_LIMITED_S)
            yield member.name
        member.worker.signal(signal.SIGUSR1)


@_fault('a worker leaves by its answers')
def leave_by_answers(context: FaultContext) -> Iterator[str]:
    """Let a worker say in its answers that it leaves, and replace it."""
    member = context.member()
    with context.fleet.process_lock(f'worker {member.name}'):
        with _signal_span(context, member, SignalKind.leaving):
            member.worker.signal(signal.SIGUSR2)
            time.sleep(_LEAVING_S)
            yield member.name
        context.fleet.kill_worker(member)
        context.fleet.restart_worker(member)


@contextmanager
def _signal_span(
    context: FaultContext, member: ReportingMember, kind: SignalKind
) -> Iterator[None]:
    now_ms = boottime_ms()
    span = SignalSpan(f'worker-{member.name}', kind, now_ms, now_ms)
    yield
    span.until_ms = boottime_ms()
    context.fleet.signal_spans.append(span)


@_fault('links are hindered')
def impair_links(context: FaultContext) -> Iterator[str]:
    """Delay, reset, silence or drop traffic on a link of a node."""
    route, switches = _draw_impairment(context)
    context.fleet.relays.set_switches(route, **switches)
    yield f'{route} {switches}'
    context.fleet.relays.reset_switches(route)


@_fault('a link breaks after some bytes')
def break_link(context: FaultContext) -> Iterator[str]:
    """Reset connections after a number of bytes, one to eight times."""
    route, _ = _draw_impairment(context)
    direction = context.rng.choice(_DIRECTIONS)
    for _ in range(context.rng.randint(1, 8)):
        size = context.rng.choice((10, 300, 3_000, 30_000, 100_000))
        context.fleet.relays.set_switches(
            route, cut_after=size, cut_direction=direction
        )
        time.sleep(context.random_s(_MAX_BREAK_INTERVAL_MS))
    yield f'{route} {direction}'
    context.fleet.relays.reset_switches(route)


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
    """Make the store unavailable or slow, or let it lose responses."""
    switches = context.rng.choice(
        ({'outage': True}, {'delay_ms': 400}, {'lose_answers': 5})
    )
    context.fleet.set_store_faults(**switches)
    yield str(switches)
    context.fleet.set_store_faults(outage=False, delay_ms=0, lose_answers=0)


@_fault('the store comes back from an older copy')
def put_store_back(context: FaultContext) -> Iterator[str]:
    """Take the store away; let it come back without its last writes.

    The operator writes the manifest again, as it was.
    """
    copy_age_ms = context.rng.randint(_MIN_COPY_AGE_MS, _MAX_COPY_AGE_MS)
    left_ms = boottime_ms()
    context.fleet.set_store_faults(outage=True)
    yield f'of {copy_age_ms} ms before it went away'
    away_ms = boottime_ms() - left_ms
    context.fleet.put_store_back(round(copy_age_ms + away_ms))
    context.fleet.set_store_faults(outage=False)
    context.fleet.restore_manifest()


@_fault('open connections go silent for good')
def silence_open_connections(context: FaultContext) -> Iterator[str]:
    """Silence what is open on one way to some nodes; new connections work.

    They stay open and are never mended.
    """
    way = context.rng.choice(_WAYS)
    routes = [f'{member.name}.{way}' for member in context.some_members()]
    for route in routes:
        context.fleet.relays.set_switches(route, silent=True)
    yield ' '.join(routes)


@_fault('VMs lose power')
def cut_power(context: FaultContext) -> Iterator[str]:
    """Kill nodes together with their workers, and start both again later."""
    members = context.some_members()
    names = [
        f'{kind} {member.name}'
        for kind in ('node', 'worker')
        for member in members
    ]
    with ExitStack() as locks:
        for name in sorted(names):  # in one order, against deadlocks
            locks.enter_context(context.fleet.process_lock(name))
        context.fleet.cut_power(members)
        yield ' '.join(member.name for member in members)
        for member in members:
            context.fleet.restart_worker(member)
            context.fleet.restart_node(member)


@_fault('the manifest changes')
def rewrite_manifest(context: FaultContext) -> Iterator[str]:
    """Replace the manifest by one with other timeouts."""
    timeout_ms = context.rng.choice((1_500, 2_000, 2_500))
    with suppress(HTTPError):  # another lane may have disrupted the store
        context.fleet.replace_manifest(timeout_ms)
    yield f'timeout {timeout_ms} ms'


@_fault('routes of the manifest change')
def change_routes(context: FaultContext) -> Iterator[str]:
    """Move, split anew, add and drop routes, in one new manifest."""
    with suppress(HTTPError):  # another lane may have disrupted the store
        context.fleet.replace_routes(_draw_routes(context))
    yield str(context.fleet.routes)


def _draw_routes(context: FaultContext) -> RouteServices:
    rng, services = context.rng, (SHARDED_SERVICE, UNSHARDED_SERVICE)
    known = context.fleet.routes
    added = [name for name in known if name.startswith(ADDED_PREFIX)]
    kept = [name for name in added if rng.random() < _KEPT_SHARE]
    new = f'{ADDED_PREFIX}{rng.randrange(_ROUTE_NAMES)}'
    return {
        MOVED_ROUTE: {rng.choice(services): 1},
        SPLIT_ROUTE: {name: rng.randint(1, 4) for name in services},
        **{name: known[name] for name in kept},
        new: {rng.choice(services): 1},
    }


def _drop_timeouts(content: dict[str, Any]) -> None:
    for route in content['routes']:
        route.pop('timeout_ms')


def _cut_short(content: dict[str, Any]) -> None:
    content.pop('services')


def _name_unknown_service(content: dict[str, Any]) -> None:
    content['routes'][0]['service'] = 'unheard-of'


@_fault('an invalid manifest is written')
def write_invalid_manifest(context: FaultContext) -> Iterator[str]:
    """Write a damaged manifest with other routes, and a sound one after it."""
    damage = context.rng.choice(
        (_drop_timeouts, _cut_short, _name_unknown_service)
    )
    routes = _draw_routes(context)
    with suppress(HTTPError):  # another lane may have disrupted the store
        context.fleet.write_invalid_manifest(routes, damage)
    yield damage.__name__


@_fault('the watches of the store bring nothing')
def stall_watches(context: FaultContext) -> Iterator[str]:
    """Hide all changes from watches; reads are answered."""
    context.fleet.set_store_faults(watch_stall=True)
    yield ''
    context.fleet.set_store_faults(watch_stall=False)


ROUTE_FAULTS = (
    'routes of the manifest change',
    'an invalid manifest is written',
    'the watches of the store bring nothing',
)
LOSS_FAULTS = (
    'the store comes back from an older copy',
    'open connections go silent for good',
    'VMs lose power',
)
SIGNAL_FAULTS = ('a worker names a limit', 'a worker leaves by its answers')


class Lane:
    """A sequence of faults that runs concurrently with other lanes.

    `log` holds a line for each fault, `injection_errors` one for each fault
    that raised an exception, and `disturbances` say what each harmed.
    """

    def __init__(
        self, fleet: SoakFleet, faults: Sequence[str], rng: Random
    ) -> None:
        self._faults = faults
        self.log: list[str] = []
        self.injection_errors: list[str] = []
        self.disturbances: list[Disturbance] = []
        self._context = FaultContext(fleet, rng)

    def run_until(self, stop_event: Event) -> None:
        """Inject and undo faults until `stop_event` is set.

        No fault is in force when it returns, unless undoing it failed.
        """
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
            words = frozenset(detail.replace('.', ' ').split())
        ended_ms = boottime_ms()
        self.log.append(f'{ended_ms:.0f} mended: {name}')
        self.disturbances.append(Disturbance(name, words, started_ms, ended_ms))

    def _wait_random_time(self, stop_event: Event, max_ms: int) -> None:
        stop_event.wait(self._context.rng.randint(0, max_ms) / MS_PER_SECOND)
