"""The node: its listeners, and one incarnation after another."""

from collections.abc import Iterable
from typing import Any

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.daemon.incarnation import Incarnation
from laburnumwood.errors import PlatformError
from laburnumwood.events import (
    NODE_JOINED,
    NODE_LEFT,
    REJOINING,
    STORE_UNREACHABLE,
)
from laburnumwood.membership.joining import join, leave
from laburnumwood.operators.door import OperatorDoor
from laburnumwood.platform.client import Platform
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.peers import listen
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.streams import Stream
from laburnumwood.routing.outcome import StartResponse, failure, refuse
from laburnumwood.routing.server import serve_callers
from laburnumwood.settings import DaemonSettings

_JOIN_RETRY_MS = 500
_POLL_MS = 100
_DRAIN_PATIENCE_MS = 30_000
_BACKLOG = 1_024


class Node:
    """One process beside one worker."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._clock = Clock()
        self._platform = Platform(settings.platform_url)
        self._incarnation: Incarnation | None = None
        self._stopping = False
        self._security = LinkSecurity(settings.shared_key, settings.tls)
        self._operators = OperatorDoor(settings, self.stop)

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        self._listen()
        while not self._stopping:
            incarnation = self._join()
            NODE_JOINED.report(node=incarnation.name)
            while not incarnation.lease.is_over and not self._stopping:
                eventlet.sleep(_POLL_MS / MS_PER_SECOND)
            if not self._stopping:
                REJOINING.report(node=incarnation.name)
                incarnation.end()
                eventlet.spawn_n(self._close, incarnation)
        self._leave()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping = True

    def _listen(self) -> None:
        settings = self._settings
        eventlet.spawn_n(
            listen,
            (settings.host, settings.peer_port),
            self._security,
            self._serve_peer,
            self._clock,
        )
        self._serve_http(settings.door_port, self._serve_caller)
        self._serve_http(settings.operator_port, self._serve_operator)

    def _serve_http(self, port: int, application: Any) -> None:
        listener = eventlet.listen(
            (self._settings.host, port), backlog=_BACKLOG
        )
        eventlet.spawn_n(serve_callers, listener, application)

    def _serve_peer(self, link: Link, stream: Stream, message: Any) -> None:
        if self._incarnation is None:
            link.close()
        else:
            self._incarnation.dispatcher.handle(link, stream, message)

    def _serve_caller(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if self._incarnation is None:
            return _not_ready(start_response)
        return self._incarnation.door(environ, start_response)

    def _serve_operator(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        pages = self._incarnation.operators if self._incarnation else None
        return self._operators.answer(environ, start_response, pages)

    def _join(self) -> Incarnation:
        while True:
            try:
                name, _ = join(self._platform, self._settings)
                incarnation = Incarnation(
                    name, self._settings, self._platform, self._clock
                )
                incarnation.start()
            except PlatformError as failure:
                STORE_UNREACHABLE.report(reason=failure)
                eventlet.sleep(_JOIN_RETRY_MS / MS_PER_SECOND)
                continue
            self._incarnation = incarnation
            return incarnation

    def _close(self, incarnation: Incarnation) -> None:
        # Its witnesses may be gone and can't seal it, so the store is told.
        self._drain(incarnation)
        if incarnation.gate.running:
            return
        try:
            leave(self._platform, incarnation.name)
        except PlatformError as failure:
            STORE_UNREACHABLE.report(reason=failure)

    def _leave(self) -> None:
        incarnation = self._incarnation
        if incarnation is None:
            return
        incarnation.hand_over()
        self._drain(incarnation)
        try:
            leave(self._platform, incarnation.name)
        except PlatformError as failure:
            STORE_UNREACHABLE.report(reason=failure)
        incarnation.end()
        NODE_LEFT.report(node=incarnation.name)

    def _drain(self, incarnation: Incarnation) -> None:
        deadline_ms = self._clock.now_ms() + _DRAIN_PATIENCE_MS
        gate = incarnation.gate
        while gate.running or gate.waiting:
            if self._clock.now_ms() >= deadline_ms:
                return
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)


def _not_ready(start_response: StartResponse) -> Iterable[bytes]:
    told = failure('not-ready', 'this node is joining', ran=False)
    return refuse(told, '', start_response)
