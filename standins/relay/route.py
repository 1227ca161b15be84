"""One route: a port whose connections are passed on to another port."""

import socket
from collections import Counter
from contextlib import suppress
from typing import Any

import eventlet

from standins.clock import MS_PER_SECOND
from standins.relay.pair import Pair
from standins.relay.switches import Direction, RouteSwitches
from standins.serving import BACKLOG, HOST

CONNECT_TIMEOUT_S = 5


class Route:
    """Listens, passes connections on, and obeys its switches."""

    def __init__(self, listen_port: int, target_port: int) -> None:
        self.switches = RouteSwitches()
        self._target_port = target_port
        self._pairs: set[Pair] = set()
        self._bytes: Counter[Direction] = Counter()
        self._pieces: Counter[Direction] = Counter()
        self._opened = 0
        self._listener = socket.create_server(
            (HOST, listen_port), backlog=BACKLOG
        )
        eventlet.spawn_n(self._accept)

    def change(self, document: bytes) -> None:
        """Set the switches that a JSON document names."""
        changes = RouteSwitches.model_validate_json(document)
        named = changes.model_dump(exclude_unset=True)
        self.switches = self.switches.model_copy(update=named)
        for pair in tuple(self._pairs):
            if changes.silent and self._concerns(pair):
                pair.silence()
            if changes.cut and self._concerns(pair):
                pair.reset()

    def report(self) -> dict[str, Any]:
        """Return the port, the switches and what has passed."""
        return {
            'port': self._listener.getsockname()[1],
            'opened': self._opened,
            'open': len(self._pairs),
            'bytes': dict(self._bytes),
            'pieces': dict(self._pieces),
            'switches': self.switches.model_dump(),
        }

    def greeted(self, pair: Pair) -> None:
        """Apply what concerns new connections, once the first bytes came."""
        if self.switches.cut and self._concerns(pair):
            pair.reset()
        if self.switches.silent_new and self._concerns(pair):
            pair.silence()

    def passes(self, pair: Pair, direction: Direction, size: int) -> bool:
        """Tell whether a piece goes on; wait for its delay."""
        if self._concerns(pair):
            self._hinder(pair, direction)
        if pair.is_deaf(direction):
            return False
        self._bytes[direction] += size
        self._pieces[direction] += 1
        if self._is_cut_now(direction, size):
            pair.reset()
            return False
        return True

    def forget(self, pair: Pair) -> None:
        """Drop a pair that has ended."""
        self._pairs.discard(pair)

    def _concerns(self, pair: Pair) -> bool:
        return pair.greeting.find(self.switches.only.encode()) >= 0

    def _hinder(self, pair: Pair, direction: Direction) -> None:
        if self.switches.delay_ms:
            eventlet.sleep(self.switches.delay_ms / MS_PER_SECOND)
        if self.switches.drop == direction:
            pair.deafen(direction)

    def _is_cut_now(self, direction: Direction, size: int) -> bool:
        left = self.switches.cut_after
        if left is None or self.switches.cut_direction != direction:
            return False
        left = None if size >= left else left - size
        self.switches = self.switches.model_copy(update={'cut_after': left})
        return left is None

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            self._opened += 1
            eventlet.spawn_n(self._serve, client)

    def _serve(self, client: socket.socket) -> None:
        pair = Pair(client, self)
        if self.switches.cut and not self.switches.only:
            pair.reset()
            return
        self._pairs.add(pair)
        with suppress(OSError):
            pair.run((HOST, self._target_port), CONNECT_TIMEOUT_S)
        pair.reset()
