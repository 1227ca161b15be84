"""Addresses that are listened at before the program is ready to serve.

Callers that connect while a node starts wait for their answer instead of
being turned away by the system.
"""

import json
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import eventlet

Address = tuple[str, int]

_BACKLOG = 1_024
_EARLY = ('door_address', 'report_address')  # settings
_opened: dict[Address, Any] = {}


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


def listen(address: Address) -> Any:
    """Return a listener at an address; raises `OSError`."""
    early = _opened.pop(address, None)
    return early or eventlet.listen(address, backlog=_BACKLOG)
