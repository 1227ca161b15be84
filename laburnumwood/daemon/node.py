"""The node: its listeners, and one incarnation after another."""

from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any, TypeVar

import eventlet

from laburnumwood.borders import BORDERS
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.daemon.incarnation import Incarnation
from laburnumwood.errors import (
    LaburnumwoodError,
    PlatformError,
    SettingsError,
)
from laburnumwood.events import (
    NODE_ID_TAKEN,
    NODE_JOINED,
    NODE_LEFT,
    NODE_RESIGNED,
    NODE_STARTED,
    NODE_STOPPING,
    REJOINING,
    STORE_UNREACHABLE,
)
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.endings import Fate, Standstill, fate
from laburnumwood.membership.joining import join
from laburnumwood.metrics import exposition
from laburnumwood.operators.door import OperatorDoor
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.peers import listen
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.routing.face import give
from laburnumwood.routing.outcome import StartResponse, failure
from laburnumwood.routing.server import Listening, close_after
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.breaker import GuardedStore
from laburnumwood.store.writes import new_mark
from laburnumwood.tasks import begin, start
from laburnumwood.upstream.reporting import ReportingWorker

_JOIN_RETRY_MS = 500
_POLL_MS = 100
_RESIGN_MS = 800

_TOLD = {'node_id', 'failure_domain', 'service', 'borders'}

_Found = TypeVar('_Found')


class _StoppingError(LaburnumwoodError):
    """What the store was asked for is not needed by a node that stops."""


class Node:
    """One process beside one worker."""

    def __init__(self, settings: DaemonSettings) -> None:
        if settings.borders not in BORDERS:
            known = ', '.join(sorted(BORDERS))
            text = f'borders: found {settings.borders!r}; allowed: {known}'
            raise SettingsError(text)
        self._settings = settings
        self._clock = Clock()
        self._borders = BORDERS[settings.borders]
        self._face = self._borders.make_face(settings)
        store = self._borders.make_store(settings)
        self._platform = GuardedStore(store, self._clock)
        self._incarnation: Incarnation | None = None
        self._witness: Witness | None = None
        self._door: Listening | None = None
        self._standstill = Standstill(self._clock)
        self._avoided: frozenset[str] = frozenset()
        self._ending: list[Incarnation] = []
        self._stopping_since_ms: int | None = None
        self._security = LinkSecurity(settings.shared_key, settings.tls)
        self._operators = OperatorDoor(settings, self.stop)
        self.worker = ReportingWorker(settings.reports, self._clock)

    @property
    def settings(self) -> DaemonSettings:
        """Return the settings in use."""
        return self._settings

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent to this node."""
        if self._incarnation is None or self._is_stopping:
            return False
        return self._incarnation.view.directory.config.generation > 0

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        self._listen()
        NODE_STARTED.report(**self._settings.model_dump(include=_TOLD))
        ended: NodeName | None = None
        while not self._is_stopping:
            is_first = self._incarnation is None
            try:
                incarnation = self._join(ended)
            except _StoppingError:
                break
            NODE_JOINED.report(node=incarnation.name)
            if is_first:
                start(self._end_earlier, incarnation)
            known = self._live(incarnation)
            if self._is_stopping:
                break
            incarnation.end()
            if known is Fate.REPLACED:
                NODE_ID_TAKEN.report(node=incarnation.name)
                return
            REJOINING.report(
                node=incarnation.name, held_for_ms=incarnation.held_for_ms
            )
            ended = self._close(incarnation)
        self._leave()

    def stop(self) -> None:
        """Begin a planned stop."""
        if self._stopping_since_ms is None:
            self._stopping_since_ms = self._clock.now_ms()

    def changed_settings(self, settings: DaemonSettings) -> tuple[str, ...]:
        """Return the names of settings that differ from those in use."""
        now, new = self._settings.model_dump(), settings.model_dump()
        return tuple(name for name in sorted(now) if now[name] != new[name])

    @property
    def _is_stopping(self) -> bool:
        return self._stopping_since_ms is not None

    def _listen(self) -> None:
        settings = self._settings
        start(
            listen,
            (settings.host, settings.peer_port),
            self._security,
            self._serve_peer,
            self._clock,
        )
        self._door = Listening(settings.door, self._serve_caller)
        if settings.operator_port is not None:
            operators = (settings.host, settings.operator_port)
            Listening(operators, self._serve_operator)
        if settings.metrics_port is not None:
            metrics = (settings.host, settings.metrics_port)
            Listening(metrics, self._serve_metrics)
        for listener in self._borders.listeners(settings, self):
            Listening(listener.address, listener.application)

    def _serve_peer(self, link: Link, stream: Stream, message: Any) -> None:
        if self._incarnation is None:
            link.close()
        else:
            self._incarnation.dispatcher.handle(link, stream, message)

    def _serve_caller(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if self._is_stopping:
            close_after(environ)
        if self._incarnation is None:
            told = failure('not-ready', 'this node is joining', ran=False)
            request_id = self._face.request_id(environ)
            return give(self._face.refusal(told, request_id), start_response)
        return self._incarnation.door(environ, start_response)

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

    def _live(self, incarnation: Incarnation) -> Fate:
        while not self._is_stopping:
            known = fate(incarnation.lease, incarnation.view)
            if known is not Fate.GOES_ON:
                return known
            if self._stands_still(incarnation):
                return Fate.LAPSED
            if incarnation.has_lost_worker:
                self._resign(incarnation)
                return Fate.LAPSED
            self.worker.presence.watch_silence()
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        return Fate.GOES_ON

    def _stands_still(self, incarnation: Incarnation) -> bool:
        lease = incarnation.lease
        if not self._standstill.is_over(lease):
            return False
        self._standstill.note()
        if not incarnation.store_answers():
            return False
        self._avoided = frozenset(
            name.node_id for name in lease.silent_witnesses
        )
        return True

    def _resign(self, incarnation: Incarnation) -> None:
        """Give the shards of a lost worker up, and wait for it to return.

        A frozen worker may thaw and serve under its grants until they run
        out; nobody may follow before.
        """
        NODE_RESIGNED.report(node=incarnation.name)
        granted_until_ms = incarnation.retire()
        while self._clock.now_ms() < granted_until_ms:
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        incarnation.hand_over(_RESIGN_MS)
        while not self._is_stopping and not incarnation.worker_answers():
            eventlet.sleep(_JOIN_RETRY_MS / MS_PER_SECOND)

    def _join(self, ended: NodeName | None) -> Incarnation:
        mark = new_mark(self._settings.node_id)
        known = self._witness.name.incarnation if self._witness else None
        name, _ = self._persist(
            lambda: join(self._platform, self._settings, mark, ended, known)
        )
        self._witness = self._witness or Witness(
            name, self._settings.lease, self._clock
        )
        incarnation = Incarnation(
            name,
            self._settings,
            self._borders,
            self._platform,
            self.worker,
            self._witness,
            self._clock,
        )
        avoided, self._avoided = self._avoided, frozenset()
        self._persist(lambda: incarnation.start(avoided))
        before, self._incarnation = self._incarnation, incarnation
        if before is not None:
            before.release()
        return incarnation

    def _end_earlier(self, first: Incarnation) -> None:
        """Record the ends of this node's incarnations of earlier processes.

        Their process is over, since this one listens in its place.  What it
        granted to the worker may still be held: until the worker says that
        it is not, or the longest grant has run out.  The others are to know
        by then that it serves, so that its shards come back to it.
        """
        until_ms = self._clock.now_ms() + self._settings.lease.grant_ms
        while self._clock.now_ms() < until_ms and not self._is_back():
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        if self._incarnation is not None:
            self._incarnation.tell_left()
        with suppress(_StoppingError):
            self._persist(first.end_earlier)

    def _is_back(self) -> bool:
        incarnation = self._incarnation
        is_told = incarnation is None or incarnation.is_told_to_serve
        return self.worker.is_clear and is_told

    def _persist(self, call: Callable[[], _Found]) -> _Found:
        """Make a call of the store until it is answered.

        Raises `_StoppingError` once the node is told to stop.
        """
        while True:
            try:
                return call()
            except PlatformError as failure:
                # The guarded store has told of it.
                if self._is_stopping:
                    raise _StoppingError from failure
            eventlet.sleep(_JOIN_RETRY_MS / MS_PER_SECOND)

    def _close(self, incarnation: Incarnation) -> NodeName | None:
        """Return the name of an incarnation that has ended by now.

        One that still has requests on the worker, or whose worker may hold
        what it gave, ends when that is over.
        """
        if incarnation.may_be_followed:
            return incarnation.name
        self._ending.append(incarnation)
        start(self._close_later, incarnation)
        return None

    def _close_later(self, incarnation: Incarnation) -> None:
        while not incarnation.may_be_followed:
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        with suppress(_StoppingError):
            self._persist(incarnation.record_end)
            self._ending.remove(incarnation)

    def _record_ends(self, last: Incarnation) -> None:
        """Record that incarnations of this process have ended, if so."""
        try:
            for each in (*self._ending, last):
                if each.may_be_followed:
                    each.record_end()
        except PlatformError as failure:
            STORE_UNREACHABLE.report(reason=failure)

    def _leave(self) -> None:
        incarnation = self._incarnation
        if incarnation is None:
            return
        NODE_STOPPING.report(node=incarnation.name)
        # What the door read needs its time, however long the shards take.
        closing = begin(self._close_door)
        incarnation.hand_over(self._patience_ms())
        closing.wait()
        # The others may not know yet, while the store is away, that it ends.
        incarnation.gate.close()
        self._await_ends(incarnation, self._patience_ms())
        self._record_ends(incarnation)
        incarnation.end()
        incarnation.close()
        NODE_LEFT.report(node=incarnation.name)

    def _close_door(self) -> None:
        self._linger()
        if self._door is not None:
            self._door.close(self._patience_ms())

    def _patience_ms(self) -> int:
        """Return how much of the time for a planned stop is left."""
        since_ms = self._stopping_since_ms or self._clock.now_ms()
        gone_ms = self._clock.now_ms() - since_ms
        return max(0, self._settings.stop_limit_ms - gone_ms)

    def _linger(self) -> None:
        """Serve on while callers may not know yet that this node stops."""
        settings = self._settings
        spent_ms = settings.stop_limit_ms - self._patience_ms()
        left_ms = settings.stop_linger_ms - spent_ms
        eventlet.sleep(max(0, left_ms) / MS_PER_SECOND)

    def _await_ends(self, last: Incarnation, patience_ms: int) -> None:
        deadline_ms = self._clock.now_ms() + patience_ms
        while not all(each.may_be_followed for each in (*self._ending, last)):
            if self._clock.now_ms() >= deadline_ms:
                return
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
