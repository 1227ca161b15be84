"""Downloads that are sent in chunks."""

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
    """Yields a body in chunks until the caller has gone or work stops."""

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
        self._whole = False
        self._watcher = eventlet.spawn(self._watch_caller)
        run.when_stopped = self._break_off

    def __iter__(self) -> 'Download':
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk."""
        if self._sent >= len(self._body):
            self._whole = True
            raise StopIteration
        order = self._run.order
        if self._sent:
            self._run.work(order.chunk_ms)
        self._switches.wait_thawed()
        if self._run.stop_error:
            raise DroppedError
        begin = self._sent
        self._sent += order.chunk_bytes
        return self._body[begin : self._sent]

    def close(self) -> None:
        """End the work; a body not sent whole was cut."""
        self._watcher.kill()
        if not self._whole:
            self._run.stop('cut', Outcome.cut)
        self._run.finish()

    def _watch_caller(self) -> None:
        trampoline(self._connection, read=True)
        try:
            gone = not self._connection.fd.recv(1, socket.MSG_PEEK)
        except OSError:
            gone = True
        if gone:
            self._run.stop('cut', Outcome.cut)

    def _break_off(self) -> None:
        with suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
