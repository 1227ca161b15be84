"""Addresses that are listened at before the program is ready to serve.

Callers that connect while a node starts wait for their answer instead of
being turned away by the system.
"""

import json
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import eventlet

from laburnumwood.clock import MS_PER_SECOND

Address = tuple[str, int]
Tell = Callable[..., None]

_BACKLOG = 1_024
_REST_MS = 50  # after a connection that could not be taken
_EARLY = ('door_address', 'report_address')  # settings
_opened: dict[Address, Any] = {}


class Listener:
    """A listener that outlives connections that it can't take.

    `tell` is called with the reason for each of them.
    """

    def __init__(self, sock: Any, tell: Tell) -> None:
        self._socket = sock
        self._tell = tell

    def __getattr__(self, name: str) -> Any:
        """Return what else a server asks of a socket."""
        return getattr(self._socket, name)

    def accept(self) -> tuple[Any, Any]:
        """Return the next connection; raises `OSError` once it is closed."""
        while True:
            try:
                return self._socket.accept()
            except OSError as failure:
                if self._socket.fileno() < 0:
                    raise
                self._tell(reason=repr(failure))
            eventlet.sleep(_REST_MS / MS_PER_SECOND)


def split_address(address: str) -> Address:
    """Return host and port of an address of the form host:port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _addresses(path: Path) -> Iterator[Address]:
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError):
        return
    named = content if isinstance(content, dict) else {}
    for name in _EARLY:
        address = named.get(name)
        if isinstance(address, str):
            with suppress(ValueError):
                yield split_address(address)


def open_early(path: Path) -> None:
    """Listen where callers and the worker of a settings file connect.

    What is wrong with the file or an address is told later, when the settings
    are read and checked.
    """
    for address in _addresses(path):
        with suppress(OSError):
            _opened[address] = eventlet.listen(address, backlog=_BACKLOG)


def listen(address: Address, tell: Tell) -> Listener:
    """Return a listener at an address; raises `OSError`."""
    early = _opened.pop(address, None)
    return Listener(early or eventlet.listen(address, backlog=_BACKLOG), tell)
