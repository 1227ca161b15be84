"""A proxy in front of the store that lets it go away at a chosen moment."""

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress

from review.lib.record import Record

_READ_SIZE = 65_536

# Gets method and path of an answered call; returns whether the store goes away.
Trigger = Callable[[str, str], bool]


class StoreProxy:
    """Passes calls on to the store; while it is away, connections are reset.

    It handles one call at a time on each connection, as the nodes make them.
    """

    def __init__(self, port: int, store_address: str, record: Record) -> None:
        self._store = store_address
        self._record = record
        self._is_away = False
        self._connections: set[socket.socket] = set()
        self.trigger: Trigger = lambda _method, _path: False
        self.on_away: Callable[[], None] = lambda: None
        self._listener = socket.create_server(('127.0.0.1', port), backlog=512)
        threading.Thread(target=self._accept, daemon=True).start()

    def go_away(self, for_s: float) -> None:
        """Let the store be away for some time."""
        self._is_away = True
        self._record.note('store-away')
        for each in tuple(self._connections):
            _reset(each)
        self.on_away()
        time.sleep(for_s)
        self._is_away = False
        self._record.note('store-back')

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            if self._is_away:
                _reset(connection)
                continue
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        host, _, port = self._store.rpartition(':')
        self._connections.add(connection)
        try:
            with (
                connection,
                socket.create_connection((host, int(port))) as store,
                connection.makefile('rb') as requests,
                store.makefile('rb') as answers,
            ):
                while not self._is_away:
                    if not self._pass_call(
                        connection, store, requests, answers
                    ):
                        return
        except (OSError, ValueError):
            return
        finally:
            self._connections.discard(connection)

    def _pass_call(
        self,
        connection: socket.socket,
        store: socket.socket,
        requests: object,
        answers: object,
    ) -> bool:
        line, request = _read_message(requests)
        if not request:
            return False
        store.sendall(request)
        _, answer = _read_message(answers)
        if not answer or self._is_away:
            return False
        method, path = line.split()[:2]
        goes_away = self.trigger(method, path)
        connection.sendall(answer)
        if goes_away:
            self._record.note('answered', method=method, path=path)
            threading.Thread(
                target=self.go_away, args=(1.0,), daemon=True
            ).start()
        return True


def _read_message(stream: object) -> tuple[str, bytes]:
    """Return the first line of a message and all of its bytes."""
    line = stream.readline()
    if not line:
        return '', b''
    message = bytearray(line)
    length = 0
    while True:
        each = stream.readline()
        message += each
        if each in {b'\r\n', b'\n', b''}:
            break
        name, _, text = each.partition(b':')
        if name.lower() == b'content-length':
            length = int(text)
    message += stream.read(length)
    return line.decode(), bytes(message)


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
