"""Listening sockets, which may be opened before the node can serve.

Callers that connect while a node starts wait in the backlog instead of having
their connections refused.
"""

import json
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import eventlet
from greenlet import GreenletExit

from laburnumwood.clock import MS_PER_SECOND

Address = tuple[str, int]
ReportFailure = Callable[..., None]

_BACKLOG = 1_024
_RETRY_DELAY_MS = 50  # wait after a connection could not be accepted
_LAST_REQUESTS_MS = 100  # for requests on connections that were just opened
_EARLY_SETTINGS = ('door_address', 'report_address')
_opened: dict[Address, Any] = {}


class ListeningSocket:
    """A listening socket that stays open if a connection can't be accepted.

    `report_failure` is called with the `reason` of each such failure.  Once
    the task that accepts is killed, connections that wait are still accepted:
    the system would reset them.
    """

    def __init__(self, sock: Any, report_failure: ReportFailure) -> None:
        self._socket = sock
        self._report_failure = report_failure
        self._is_closing = False

    def __getattr__(self, name: str) -> Any:
        """Return any other attribute of the socket."""
        return getattr(self._socket, name)

    def accept(self) -> tuple[Any, Any]:
        """Accept a connection; raises `OSError` if the listener is closed.

        Raises `GreenletExit` after the last connection if the task was killed.
        """
        if not self._is_closing:
            try:
                return self._accept()
            except GreenletExit:
                self._is_closing = True
        return self._accept_last()

    def _accept(self) -> tuple[Any, Any]:
        while True:
            try:
                return self._socket.accept()
            except OSError as failure:
                if self._socket.fileno() < 0:
                    raise
                self._report_failure(reason=repr(failure))
            eventlet.sleep(_RETRY_DELAY_MS / MS_PER_SECOND)

    def _accept_last(self) -> tuple[Any, Any]:
        """Accept a connection that waits; close the listener after the last."""
        try:
            accepted, address = self._socket.fd.accept()
        except OSError:
            self._socket.close()
            eventlet.sleep(_LAST_REQUESTS_MS / MS_PER_SECOND)
            raise GreenletExit from None
        return type(self._socket)(accepted), address


def split_address(address: str) -> Address:
    """Return the host and the port of an address such as `host:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _addresses(path: Path) -> Iterator[Address]:
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError):
        return
    named = content if isinstance(content, dict) else {}
    for name in _EARLY_SETTINGS:
        address = named.get(name)
        if isinstance(address, str):
            with suppress(ValueError):
                yield split_address(address)


def open_early(path: Path) -> None:
    """Listen at the addresses for callers and the worker in a settings file.

    Faults of the file and failures to listen are ignored: they are reported
    when the settings are validated and the listener is needed.
    """
    for address in _addresses(path):
        with suppress(OSError):
            _opened[address] = eventlet.listen(address, backlog=_BACKLOG)


def listen(address: Address, report_failure: ReportFailure) -> ListeningSocket:
    """Return a listener at an address, opened early if `open_early` did so.

    Raises `OSError` if the address can't be listened at.
    """
    early = _opened.pop(address, None)
    return ListeningSocket(
        early or eventlet.listen(address, backlog=_BACKLOG), report_failure
    )
