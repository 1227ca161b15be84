"""Downloads whose bodies are sent in chunks."""

import socket
from contextlib import suppress
from typing import Any

import eventlet
from eventlet.hubs import trampoline

from standins.answers import DroppedError
from standins.journal.entry import Outcome
from standins.worker.runs import Run
from standins.worker.switches import Switches


class Download:
    """Yields a body in chunks until the caller disconnects or the run stops."""

    def __init__(
        self,
        run: Run,
        body: bytes,
        connection: Any,
        switches: Switches,
    ) -> None:
        self._run = run
        self._body = body
        self._connection = connection
        self._switches = switches
        self._sent = 0
        self._complete = False
        self._disconnect_watcher = eventlet.spawn(self._watch_for_disconnect)
        run.on_stopped = self._shut_down_connection

    def __iter__(self) -> 'Download':
        """Return the download itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk of the body.

        Raises DroppedError if the run has been stopped.
        """
        if self._sent >= len(self._body):
            self._complete = True
            raise StopIteration
        order = self._run.order
        if self._sent:
            self._run.work(order.chunk_ms)
        self._switches.wait_while_frozen()
        if self._run.stop_error:
            raise DroppedError
        begin = self._sent
        self._sent += order.chunk_bytes
        return self._body[begin : self._sent]

    def close(self) -> None:
        """Finish the run; its outcome is `cut` if the body is incomplete."""
        self._disconnect_watcher.kill()
        if not self._complete:
            self._run.stop('cut', Outcome.cut)
        self._run.finish()

    def _watch_for_disconnect(self) -> None:
        trampoline(self._connection, read=True)
        try:
            disconnected = not self._connection.fd.recv(1, socket.MSG_PEEK)
        except OSError:
            disconnected = True
        if disconnected:
            self._run.stop('cut', Outcome.cut)

    def _shut_down_connection(self) -> None:
        with suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
