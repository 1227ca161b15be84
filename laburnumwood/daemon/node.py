"""The node: its listeners, and its successive incarnations."""

from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.declarations import CallerLimits
from laburnumwood.daemon.incarnation import Incarnation
from laburnumwood.daemon.planned_stop import PlannedStop
from laburnumwood.daemon.store_retry import (
    RETRY_MS,
    StoppingError,
    StoreRetry,
)
from laburnumwood.daemon.unfinished import UnfinishedIncarnations
from laburnumwood.errors import PlatformConflictError, SettingsError
from laburnumwood.events import (
    EARLIER_ENDED,
    JOIN_LOST,
    NODE_ID_TAKEN,
    NODE_JOINED,
    NODE_RESIGNED,
    NODE_STARTED,
    REJOINING,
)
from laburnumwood.integration import INTEGRATIONS
from laburnumwood.leases.witness import Witness
from laburnumwood.listening import Address
from laburnumwood.loop_delay import LOOP_DELAY
from laburnumwood.membership.configuration.inheritance import inherit_config
from laburnumwood.membership.incarnation_ends import (
    IncarnationStatus,
    RejoinBackoff,
    incarnation_status,
)
from laburnumwood.membership.node_records import ProcessHistory, join
from laburnumwood.metrics import PROBLEM_ANSWERS, exposition
from laburnumwood.operators.endpoint import OperatorEndpoint
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.peers import listen
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.resources.body_memory import BODY_MEMORY
from laburnumwood.resources.connections import connection_limit
from laburnumwood.resources.resident_limit import ResidentLimit
from laburnumwood.routing.caller_interface import send_problem
from laburnumwood.routing.problems import StartResponse, make_failure
from laburnumwood.routing.server import HttpListener, close_after_answer
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.breaker import CircuitBreakerStore
from laburnumwood.store.writes import new_mark
from laburnumwood.tasks import start, supervise
from laburnumwood.upstream.reporting_worker import ReportingWorker

_POLL_MS = 100
_RESIGN_HANDOVER_MS = 800
# At each listener beside the one for callers.
_MAX_OTHER_CONNECTIONS = 128

_LOGGED_SETTINGS = {'node_id', 'failure_domain', 'service', 'borders'}


class Node:
    """The process of a node, which runs beside one worker."""

    def __init__(self, settings: DaemonSettings) -> None:
        if settings.borders not in INTEGRATIONS:
            allowed = ', '.join(sorted(INTEGRATIONS))
            text = f'borders: found {settings.borders!r}; allowed: {allowed}'
            raise SettingsError(text)
        self._settings = settings
        self._clock = Clock()
        BODY_MEMORY.max_bytes = settings.body_memory_bytes
        if settings.vm_bytes is not None:
            BODY_MEMORY.set_resident_limit(
                ResidentLimit(settings.vm_bytes, self._clock)
            )
        self._integration = INTEGRATIONS[settings.borders]
        self._caller_interface = self._integration.make_caller_interface(
            settings
        )
        store = self._integration.make_store(settings)
        self._platform = CircuitBreakerStore(store, self._clock)
        self._incarnation: Incarnation | None = None
        self._witness: Witness | None = None
        self._caller_listener: HttpListener | None = None
        self._rejoin_backoff = RejoinBackoff(self._clock)
        self._avoided: frozenset[str] = frozenset()
        self._listening_since_ms = 0
        self._stop = PlannedStop(settings, self._clock)
        self._retry = StoreRetry(lambda: self._stop.has_begun)
        self._unfinished = UnfinishedIncarnations(self._retry)
        self._security = LinkSecurity(settings.shared_key, settings.tls)
        self._operators = OperatorEndpoint(settings, self.stop)
        self.worker = ReportingWorker(settings.reports, self._clock)

    @property
    def settings(self) -> DaemonSettings:
        """Return the settings in use."""
        return self._settings

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be routed to this node."""
        if self._incarnation is None or self._stop.has_begun:
            return False
        return self._incarnation.view.directory.config.generation > 0

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        self._listen()
        NODE_STARTED.report(
            **self._settings.model_dump(include=_LOGGED_SETTINGS)
        )
        ended: NodeName | None = None
        while not self._stop.has_begun:
            try:
                incarnation = self._join(ended)
            except StoppingError:
                break
            NODE_JOINED.report(node=incarnation.name)
            start(self._record_earlier_ends, incarnation)
            status = self._await_end(incarnation)
            if self._stop.has_begun:
                break
            incarnation.deactivate()
            if status is IncarnationStatus.REPLACED:
                NODE_ID_TAKEN.report(node=incarnation.name)
                return
            REJOINING.report(
                node=incarnation.name, held_for_ms=incarnation.held_for_ms
            )
            ended = self._unfinished.end_or_defer(incarnation)
        self._end()

    def stop(self) -> None:
        """Begin a planned stop; `run` returns when it is complete."""
        self._stop.begin()

    def changed_settings(self, settings: DaemonSettings) -> tuple[str, ...]:
        """Return the names of settings that differ from those in use."""
        current, new = self._settings.model_dump(), settings.model_dump()
        return tuple(
            name for name in sorted(current) if current[name] != new[name]
        )

    def _end(self) -> None:
        """Answer callers that have connected, and end the last incarnation."""
        if self._incarnation is None:
            self._stop.close(self._caller_listener)
            return
        self._stop.run(
            self._incarnation, self._unfinished, self._caller_listener
        )

    def _listen(self) -> None:
        settings = self._settings
        self._listening_since_ms = self._clock.now_ms()
        start(
            listen,
            (settings.host, settings.peer_port),
            self._security,
            self._serve_peer,
            self._clock,
        )
        self._caller_listener = HttpListener(
            settings.caller_address,
            self._serve_caller,
            self._clock,
            self._caller_limits,
            connection_limit(
                settings.max_descriptors, settings.usable_memory_bytes
            ),
        )
        if settings.operator_port is not None:
            operators = (settings.host, settings.operator_port)
            self._listen_beside(operators, self._serve_operator)
        if settings.metrics_port is not None:
            metrics = (settings.host, settings.metrics_port)
            self._listen_beside(metrics, self._serve_metrics)
        for listener in self._integration.listeners(settings, self):
            self._listen_beside(listener.address, listener.application)
        start(supervise, self.worker.presence.watch)
        start(supervise, LOOP_DELAY.watch)

    def _listen_beside(self, address: Address, application: Any) -> None:
        """Serve others than callers, on few connections."""
        HttpListener(
            address,
            application,
            self._clock,
            max_connections=_MAX_OTHER_CONNECTIONS,
        )

    def _serve_peer(self, link: Link, stream: Stream, message: Any) -> None:
        if self._incarnation is None:
            link.close()
        else:
            self._incarnation.dispatcher.handle(link, stream, message)

    def _caller_limits(self) -> CallerLimits:
        """Return the limits in force, default ones if none are known."""
        if self._incarnation is None:
            return CallerLimits()
        return self._incarnation.view.directory.declarations.caller_limits

    def _serve_caller(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if self._stop.has_begun:
            close_after_answer(environ)
        if self._incarnation is None:
            refusal = make_failure(
                'not-ready', 'this node is joining', ran=False
            )
            PROBLEM_ANSWERS.record(1, {'kind': refusal.kind})
            request_id = self._caller_interface.request_id(environ)
            return send_problem(
                self._caller_interface.problem_answer(refusal, request_id),
                start_response,
            )
        return self._incarnation.ingress(environ, start_response)

    def _serve_operator(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        pages = self._incarnation.operators if self._incarnation else None
        return self._operators.answer(environ, start_response, pages)

    def _serve_metrics(
        self, _environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        kind = ('Content-Type', 'text/plain; version=0.0.4')
        start_response('200 OK', [kind])
        pages = self._incarnation.operators if self._incarnation else None
        return (pages.metrics() if pages else exposition(),)

    def _await_end(self, incarnation: Incarnation) -> IncarnationStatus:
        while not self._stop.has_begun:
            status = incarnation_status(incarnation.lease, incarnation.view)
            if status is not IncarnationStatus.ACTIVE:
                return status
            if self._should_rejoin(incarnation):
                return IncarnationStatus.LAPSED
            if incarnation.has_lost_worker:
                self._resign(incarnation)
                return IncarnationStatus.LAPSED
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        return IncarnationStatus.ACTIVE

    def _should_rejoin(self, incarnation: Incarnation) -> bool:
        lease = incarnation.lease
        if not self._rejoin_backoff.is_due(lease):
            return False
        self._rejoin_backoff.record_rejoin()
        if not incarnation.is_store_reachable():
            return False
        self._avoided = frozenset(
            name.node_id for name in lease.silent_witnesses
        )
        return True

    def _resign(self, incarnation: Incarnation) -> None:
        """Give up the shards of a lost worker, and wait until it answers.

        A paused worker may resume and serve under its grants until they
        expire, so no other node may take the shards over before that.
        """
        NODE_RESIGNED.report(node=incarnation.name)
        granted_until_ms = incarnation.retire()
        while self._clock.now_ms() < granted_until_ms:
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        incarnation.hand_over(_RESIGN_HANDOVER_MS)
        while (
            not self._stop.has_begun and not incarnation.is_worker_reachable()
        ):
            eventlet.sleep(RETRY_MS / MS_PER_SECOND)

    def _join(self, ended: NodeName | None) -> Incarnation:
        incarnation = self._new_incarnation(ended)
        while not self._start(incarnation):
            eventlet.sleep(RETRY_MS / MS_PER_SECOND)
            incarnation = self._new_incarnation(ended)
        previous = self._incarnation
        if previous is not None:
            inherit_config(incarnation.view.directory, previous.view.directory)
        self._incarnation = incarnation
        if previous is not None:
            previous.release()
        return incarnation

    def _new_incarnation(self, ended: NodeName | None) -> Incarnation:
        """Record a new incarnation and return it before it is started."""
        mark = new_mark(self._settings.node_id)
        first = self._witness.name.incarnation if self._witness else None
        confirmed_era = (
            self._incarnation.confirmed_era if self._incarnation else 0
        )
        history = ProcessHistory(
            ended, self._unfinished.numbers, first, confirmed_era
        )
        name, record = self._retry.until_answered(
            lambda: join(
                self._platform, self._settings, mark, history, serves=False
            )
        )
        self.worker.presence.adopt_departures(record.worker_departures)
        self._witness = self._witness or Witness(
            name, self._settings.lease, self._clock
        )
        return Incarnation(
            name,
            self._settings,
            self._integration,
            self._platform,
            self.worker,
            self._witness,
            self._clock,
            self._incarnation,
        )

    def _start(self, incarnation: Incarnation) -> bool:
        """Start an incarnation; return False if its join no longer stands.

        The store has come back from a copy of before the join then, or another
        process has joined under the same id.
        """
        try:
            self._retry.until_answered(
                lambda: incarnation.start(self._avoided),
                lasting=(PlatformConflictError,),
            )
        except PlatformConflictError as conflict:
            JOIN_LOST.report(node=incarnation.name, reason=conflict)
            incarnation.deactivate()
            incarnation.close()
            if self._incarnation is None:
                self._witness = None  # no node was able to ask it
            return False
        self._avoided = frozenset()
        return True

    def _record_earlier_ends(self, incarnation: Incarnation) -> None:
        """Record the ends of the incarnations of earlier processes.

        It is done again when the process joins again: the store may have
        forgotten it.

        Their process has ended, since this one listens on its ports.  The
        worker may still hold grants of it until the worker shows that it does
        not, or until the longest grant has expired.  The node's record should
        say by then that the worker serves, so that its shards return to this
        node.
        """
        until_ms = self._listening_since_ms + self._settings.lease.grant_ms
        while self._clock.now_ms() < until_ms and not self._is_worker_ready():
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        if self._incarnation is not None:
            self._incarnation.announce_handovers()
        with suppress(StoppingError):
            self._retry.until_answered(incarnation.record_earlier_ends)
            EARLIER_ENDED.report(
                node=incarnation.name,
                worker_released_all=self.worker.has_released_all,
                after_ms=self._clock.now_ms() - self._listening_since_ms,
            )

    def _is_worker_ready(self) -> bool:
        incarnation = self._incarnation
        is_announced = incarnation is None or incarnation.is_worker_announced
        return self.worker.has_released_all and is_announced
