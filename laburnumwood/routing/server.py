"""The HTTP server towards callers, on eventlet's WSGI server."""

from contextlib import suppress
from typing import Any

import eventlet
from eventlet import Timeout, wsgi
from greenlet import GreenletExit

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.events import NOT_ACCEPTED
from laburnumwood.listening import Address, listen
from laburnumwood.routing.caller_protocol import (
    CLOSE_KEY,
    CallerProtocol,
    reset_connection,
)
from laburnumwood.tasks import start, start_joinable

_MAX_CONNECTIONS = 4_096


def reset_caller(environ: dict[str, Any]) -> None:
    """Reset the connection of a caller, so that no answer looks whole."""
    wsgi.WSGI_LOCAL.already_handled = True
    reset_connection(environ['eventlet.input'].get_socket())


def close_after_answer(environ: dict[str, Any]) -> None:
    """Let the connection of a caller end after its answer."""
    environ[CLOSE_KEY]()


def serve_callers(listener: Any, application: Any) -> None:
    """Serve callers on a listener; does not return."""
    wsgi.server(
        listener,
        application,
        protocol=CallerProtocol,
        max_size=_MAX_CONNECTIONS,
        minimum_chunk_size=1,
        log_output=False,
        debug=False,
    )


class HttpListener:
    """An address where an application is served, until it is closed."""

    def __init__(self, address: Address, application: Any) -> None:
        self._listener = listen(address, NOT_ACCEPTED.report)
        self._server = start_joinable(
            serve_callers, self._listener, application
        )

    def close(self, patience_ms: int) -> None:
        """Take no more connections, and answer what was read before.

        Waits for the answers, `patience_ms` at the most.  The library closes
        idle connections and lets the others end with their answers.
        """
        start(self._server.kill)
        eventlet.sleep(0)
        self._listener.close()
        timeout = Timeout(patience_ms / MS_PER_SECOND, exception=False)
        with timeout, suppress(GreenletExit):
            self._server.wait()
