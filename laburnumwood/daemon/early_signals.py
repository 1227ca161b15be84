"""Signals that arrive while the program is still being imported.

This module imports nothing that takes long.
"""

import signal
from collections.abc import Callable, Mapping
from types import FrameType

_HELD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

SignalHandler = Callable[[int, FrameType | None], None]


class EarlySignals:
    """Holds signals back until there are handlers for them."""

    def __init__(self) -> None:
        self._received: list[int] = []

    def hold(self) -> None:
        """Keep the signals that arrive from now on."""
        for number in _HELD:
            signal.signal(number, self._record)

    def release(self, handlers: Mapping[int, SignalHandler]) -> None:
        """Install handlers, and call them for the signals that were kept."""
        for number, handler in handlers.items():
            signal.signal(number, handler)
        for number in self._received:
            handlers[number](number, None)

    def _record(self, number: int, _frame: FrameType | None) -> None:
        self._received.append(number)
