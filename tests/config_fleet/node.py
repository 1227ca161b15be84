"""A simulated process of a node: what it knows of the configuration."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from types import SimpleNamespace
from typing import Any

import eventlet
from eventlet.greenthread import spawn_n

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.daemon.store_retry import StoppingError, StoreRetry
from laburnumwood.evacuation.register import EvacuationRegister
from laburnumwood.header_index import HeaderIndex
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.configuration.freshness import ConfigFreshness
from laburnumwood.membership.configuration.inheritance import inherit_config
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.incarnation_ends import (
    IncarnationStatus,
    RejoinBackoff,
    incarnation_status,
)
from laburnumwood.membership.member import Member
from laburnumwood.membership.node_records import (
    ProcessHistory,
    announce_leaving,
    is_store_reachable,
    join,
    record_earlier_ends,
    record_end,
)
from laburnumwood.membership.store_watcher import StoreWatcher
from laburnumwood.membership.view import FleetView
from laburnumwood.platform.callers import PlatformCallerInterface
from laburnumwood.protocol.messages import Failure, Resign
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.records import NodeName
from laburnumwood.routing.caller_protocol import (
    CLOSE_KEY,
    HEADERS_KEY,
    TARGET_KEY,
    TIME_KEY,
)
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.ingress import Ingress
from laburnumwood.routing.request_time import RequestTime
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.breaker import CircuitBreakerStore
from laburnumwood.tasks import Tasks, start
from tests.config_fleet.network import Host, Network, SimulatedPeers
from tests.config_fleet.schedule import HOST_NAME
from tests.config_fleet.store import SimulatedStore, StoreClient
from tests.config_fleet.virtual_time import Process, VirtualClock, hub

LEFT_MS = 1_500  # until the deadline of a request
_POLL_S = 0.1
_STOP_S = 1.2
_PORT = 7_000
_CLOCK = VirtualClock()


def make_settings(node_id: str, failure_domain: str) -> DaemonSettings:
    """Return the settings of a node, with times as the platform's template."""
    return DaemonSettings.model_validate(
        {
            'node_id': node_id,
            'failure_domain': failure_domain,
            'region': 'region',
            'host': node_id,
            'peer_port': _PORT,
            'door_port': _PORT + 1,
            'platform_url': 'http://store',
            'worker_url': 'http://worker',
            'service': 'docs',
            'capacity_owner': 'docs',
            'shared_key': 'not a secret at all',
            'lease': {
                'renew_ms': 700,
                'grant_ms': 3_000,
                'drift_margin_ms': 50,
                'guard_ms': 60,
            },
        }
    )


class _DecidingRouter:
    """Notes the service that a request would go to, and sends it nowhere."""

    def __init__(self) -> None:
        self.services: dict[str, str] = {}

    def send(self, request: CallerRequest, _caller: Any) -> Failure:
        """Note the service of a request, and refuse it."""
        self.services[request.work.request_id] = request.work.service
        return Failure('overloaded', False, 'nobody serves in the simulation')


class SimulatedIncarnation:
    """What an incarnation has for its configuration, put together."""

    def __init__(
        self,
        name: NodeName,
        settings: DaemonSettings,
        platform: Any,
        network: Network,
        witness: Witness,
    ) -> None:
        self.name = name
        self.tasks = Tasks()
        self.dispatcher = Dispatcher()
        self.view = FleetView(
            Directory(_CLOCK), SealRegistry(), EvacuationRegister(_CLOCK)
        )
        self.lease = Lease(name, settings.lease, _CLOCK)
        peers: Any = SimulatedPeers(name, network, self.view.address)
        self.watcher = StoreWatcher(name, platform, self.view, _CLOCK, settings)
        self.store = CachedStore(platform, self.view.directory)
        self.member = Member(
            self.lease,
            witness,
            self.view,
            peers,
            self.dispatcher,
            self.store,
            settings.lease,
            _CLOCK,
        )
        freshness = ConfigFreshness(
            name,
            self.view,
            platform,
            peers,
            self.dispatcher,
            _CLOCK,
            settings.config_limit_ms,
        )
        router: Any = _DecidingRouter()
        self.decided: dict[str, str] = router.services
        self.door = Ingress(
            router,
            PlatformCallerInterface(settings, Random(str(name))),
            lambda: self.view.directory.declarations,
            self.view.directory.config_monitor.status,
            freshness,
            _CLOCK,
        )

    def start(self, avoided: frozenset[str]) -> None:
        """Read the store and start all tasks; raises `PlatformError`."""
        self.watcher.list_all()
        self.member.renewer.start(avoided)
        for task in (*self.watcher.tasks, *self.member.tasks):
            self.tasks.start(task)


@dataclass(slots=True)
class DoorAnswer:
    """What a door decided, and the age in ms of the proof by which it did.

    Without a service the status tells whether it found no route.  `renewal` is
    how the last renewal of the proof ended, and how long it took.
    """

    status: int
    service: str
    age_ms: int
    renewal: str


@dataclass(slots=True)
class Life:
    """One life of a process; times in ms."""

    started_ms: float
    serving_ms: float | None = None
    stopped_ms: float | None = None
    killed_ms: float | None = None
    ended_ms: float | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)


class SimulatedNode:
    """A node: one process after the other beside the same worker."""

    def __init__(
        self,
        settings: DaemonSettings,
        store: SimulatedStore,
        network: Network,
    ) -> None:
        self.node_id = settings.node_id
        self.process = Process()
        self.lives: list[Life] = []
        self.incarnation: SimulatedIncarnation | None = None
        self._settings = settings
        self._store = store
        self._network = network
        self._witness: Witness | None = None
        self._is_stopping = False

    @property
    def is_up(self) -> bool:
        """Return whether its process has started and not ended."""
        return bool(self.lives) and not self.process.has_ended

    def start(self) -> None:
        """Start a process, which replaces an ended one."""
        self.process = Process()
        self.incarnation, self._witness = None, None
        self._is_stopping = False
        self.lives.append(Life(_CLOCK.now_ms()))
        self._network.hosts[self.node_id] = Host(self.process, self._dispatcher)
        hub().call_for(self.process, 0, spawn_n, self._run)

    def kill(self) -> None:
        """End the process at once."""
        self.process.has_ended = True
        self.lives[-1].killed_ms = _CLOCK.now_ms()
        self.lives[-1].ended_ms = _CLOCK.now_ms()

    def stop(self) -> None:
        """Begin a planned stop."""
        self.lives[-1].stopped_ms = _CLOCK.now_ms()
        self._is_stopping = True
        hub().call_for(self.process, 0, spawn_n, self._stop, self.process)

    def freeze(self, span_s: float) -> None:
        """Let the process stand still."""
        now_ms = _CLOCK.now_ms()
        self.lives[-1].pauses.append((now_ms, now_ms + span_s * MS_PER_SECOND))
        self.be_busy(span_s)

    def be_busy(self, span_s: float) -> None:
        """Let the loop of the process take no turn for a time."""
        until_s = hub().now_s + span_s
        self.process.busy_until_s = max(self.process.busy_until_s, until_s)

    def ask(
        self,
        attempt_id: str,
        path: str,
        take: Callable[[DoorAnswer], None],
    ) -> None:
        """Send a request; `take` gets the answer, if there is one."""
        hub().call_for(
            self.process,
            0.001,
            spawn_n,
            self._serve,
            attempt_id,
            path,
            take,
        )

    def _serve(
        self,
        attempt_id: str,
        path: str,
        take: Callable[[DoorAnswer], None],
    ) -> None:
        incarnation = self.incarnation
        if incarnation is None:
            return
        environ = _environ(attempt_id, path)
        statuses: list[str] = []
        tuple(
            incarnation.door(environ, lambda status, _: statuses.append(status))
        )
        service = incarnation.decided.pop(attempt_id, '')
        known = incarnation.view.directory.config_monitor.status()
        status = 200 if service else int(statuses[0].split()[0])
        renewal = f'{known.renewal} after {known.renewal_ms} ms'
        take(DoorAnswer(status, service, known.confirmed_age_ms, renewal))

    def _dispatcher(self) -> Dispatcher | None:
        return self.incarnation.dispatcher if self.incarnation else None

    def _run(self) -> None:
        client: Any = StoreClient(
            self._store,
            self.node_id,
            self.process,
            partial(self._network.store_wait_s, self.node_id),
        )
        platform = CircuitBreakerStore(client, _CLOCK)
        backoff = RejoinBackoff(_CLOCK)
        avoided: frozenset[str] = frozenset()
        ended: NodeName | None = None
        while not self._is_stopping:
            try:
                incarnation = self._join(platform, ended, avoided)
            except StoppingError:
                return
            avoided = self._await_end(incarnation, platform, backoff)
            incarnation.lease.resign()
            incarnation.tasks.kill()
            ended = incarnation.name

    def _join(
        self, platform: Any, ended: NodeName | None, avoided: frozenset[str]
    ) -> SimulatedIncarnation:
        retry = StoreRetry(lambda: self._is_stopping)
        witness = self._witness
        first = witness.name.incarnation if witness else None
        history = ProcessHistory(ended, (), first)
        name, _ = retry.until_answered(
            partial(join, platform, self._settings, None, history)
        )
        witness = witness or Witness(name, self._settings.lease, _CLOCK)
        incarnation = SimulatedIncarnation(
            name, self._settings, platform, self._network, witness
        )
        retry.until_answered(partial(incarnation.start, avoided))
        self._witness = witness
        self._replace(incarnation)
        end_earlier = partial(
            record_earlier_ends, incarnation.store, witness.name
        )
        start(retry.until_answered, end_earlier)
        return incarnation

    def _replace(self, incarnation: SimulatedIncarnation) -> None:
        earlier = self.incarnation
        if earlier is not None:
            inherit_config(incarnation.view.directory, earlier.view.directory)
        elif self.lives[-1].serving_ms is None:
            self.lives[-1].serving_ms = _CLOCK.now_ms()
        self.incarnation = incarnation

    def _await_end(
        self,
        incarnation: SimulatedIncarnation,
        platform: Any,
        backoff: RejoinBackoff,
    ) -> frozenset[str]:
        """Wait for the end of an incarnation; return the nodes to avoid."""
        lease, view = incarnation.lease, incarnation.view
        while incarnation_status(lease, view) is IncarnationStatus.ACTIVE:
            if backoff.is_due(lease):
                backoff.record_rejoin()
                if is_store_reachable(platform, incarnation.name):
                    return frozenset(
                        name.node_id for name in lease.silent_witnesses
                    )
            eventlet.sleep(_POLL_S)
        return frozenset()

    def _stop(self, process: Process) -> None:
        incarnation = self.incarnation
        if incarnation is not None:
            start(announce_leaving, incarnation.store, incarnation.name)
            eventlet.sleep(_STOP_S)
            witnesses = set(incarnation.lease.witnesses.members)
            incarnation.lease.resign()
            incarnation.member.gossip.notify(
                witnesses - {incarnation.name}, Resign(incarnation.name)
            )
            start(record_end, incarnation.store, incarnation.name)
            eventlet.sleep(_STOP_S)
        if not process.has_ended:
            process.has_ended = True
            self.lives[-1].ended_ms = _CLOCK.now_ms()


def _environ(attempt_id: str, path: str) -> dict[str, Any]:
    """Return a request as the caller's connection hands it to the door."""
    headers = (
        ('Host', HOST_NAME),
        ('Attempt-Id', attempt_id),
        ('Deadline-Ms', str(LEFT_MS)),
    )
    sock = SimpleNamespace(fileno=lambda: -1)
    return {
        'REQUEST_METHOD': 'GET',
        'RAW_PATH_INFO': path,
        'headers_raw': headers,
        'wsgi.input': SimpleNamespace(chunked_input=False),
        'eventlet.input': SimpleNamespace(get_socket=lambda: sock),
        HEADERS_KEY: HeaderIndex(headers),
        TARGET_KEY: path,
        TIME_KEY: RequestTime(_CLOCK, _CLOCK.now_ms()),
        CLOSE_KEY: lambda: None,
    }
