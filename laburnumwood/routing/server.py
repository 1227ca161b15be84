"""The HTTP server for callers, based on eventlet's WSGI server."""

import sys
from contextlib import suppress
from functools import partial
from typing import Any

import eventlet
from eventlet import Timeout, wsgi
from greenlet import GreenletExit

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.config.declarations import CallerLimits
from laburnumwood.events import NOT_ACCEPTED
from laburnumwood.listening import Address, listen
from laburnumwood.resources.connections import ConnectionTable, connection_limit
from laburnumwood.routing.caller_protocol import (
    CLOSE_KEY,
    CallerProtocol,
    LimitsProvider,
    reset_connection,
)
from laburnumwood.tasks import start, start_joinable

_REFUSED_AT_ONCE = 16  # connections that are accepted beyond the limit


def reset_caller(environ: dict[str, Any]) -> None:
    """Reset a caller's connection, so that a cut answer is detectable."""
    wsgi.WSGI_LOCAL.already_handled = True
    reset_connection(environ['eventlet.input'].get_socket())


def close_after_answer(environ: dict[str, Any]) -> None:
    """Close the connection of a caller after the current answer."""
    environ[CLOSE_KEY]()


def serve_callers(
    listener: Any,
    application: Any,
    clock: Clock,
    get_limits: LimitsProvider = CallerLimits,
    max_connections: int | None = None,
) -> None:
    """Serve callers on a listening socket; does not return.

    `get_limits` returns the limits in force on what they send;
    `max_connections` is how many they keep open, None: what the system allows.
    """
    connections = ConnectionTable(max_connections or connection_limit(), clock)
    wsgi.server(
        listener,
        application,
        protocol=partial(CallerProtocol, get_limits, clock, connections),
        max_size=connections.most + _REFUSED_AT_ONCE,
        url_length_limit=sys.maxsize,  # the protocol limits whole heads
        minimum_chunk_size=1,
        log_output=False,
        debug=False,
    )


class HttpListener:
    """An application that is served at an address until it is closed."""

    def __init__(
        self,
        address: Address,
        application: Any,
        clock: Clock,
        get_limits: LimitsProvider = CallerLimits,
        max_connections: int | None = None,
    ) -> None:
        self._listener = listen(address, NOT_ACCEPTED.report)
        self._server = start_joinable(
            serve_callers,
            self._listener,
            application,
            clock,
            get_limits,
            max_connections,
        )

    def close(self, patience_ms: int) -> None:
        """Accept no more connections, and answer the requests in progress.

        Waits for these answers, for at most `patience_ms`.  The library closes
        idle connections and ends the others after their answers.
        """
        start(self._server.kill)
        eventlet.sleep(0)
        self._listener.close()
        timeout = Timeout(patience_ms / MS_PER_SECOND, exception=False)
        with timeout, suppress(GreenletExit):
            self._server.wait()
