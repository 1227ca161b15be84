"""A route: a listening port that is relayed to a target port."""

import socket
from collections import Counter
from contextlib import suppress
from typing import Any

import eventlet

from standins.clock import MS_PER_SECOND
from standins.relay.pair import ConnectionPair
from standins.relay.switches import Direction, RouteSwitches
from standins.serving import BACKLOG, HOST

CONNECT_TIMEOUT_S = 5


class Route:
    """Relays connections to a target port and injects link faults."""

    def __init__(self, listen_port: int, target_port: int) -> None:
        self.switches = RouteSwitches()
        self._target_port = target_port
        self._pairs: set[ConnectionPair] = set()
        self._bytes: Counter[Direction] = Counter()
        self._chunks: Counter[Direction] = Counter()
        self._opened_count = 0
        self._listener = socket.create_server(
            (HOST, listen_port), backlog=BACKLOG
        )
        eventlet.spawn_n(self._accept)

    def update_switches(self, document: bytes) -> None:
        """Set the switches that are present in a JSON document.

        `silent` and `cut` also apply to the connections that are open.
        """
        changes = RouteSwitches.model_validate_json(document)
        updates = changes.model_dump(exclude_unset=True)
        self.switches = self.switches.model_copy(update=updates)
        for pair in tuple(self._pairs):
            if changes.silent and self._matches(pair):
                pair.drop_all()
            if changes.cut and self._matches(pair):
                pair.reset()

    def report(self) -> dict[str, Any]:
        """Return the port, the switches and counts of the forwarded traffic."""
        return {
            'port': self._listener.getsockname()[1],
            'opened': self._opened_count,
            'open': len(self._pairs),
            'bytes': dict(self._bytes),
            'pieces': dict(self._chunks),
            'switches': self.switches.model_dump(),
        }

    def apply_to_new(self, pair: ConnectionPair) -> None:
        """Apply the switches for new connections, on the first bytes."""
        if self.switches.cut and self._matches(pair):
            pair.reset()
        if self.switches.silent_new and self._matches(pair):
            pair.drop_all()

    def should_forward(
        self, pair: ConnectionPair, direction: Direction, size: int
    ) -> bool:
        """Return whether to forward a chunk, after the delay of the link."""
        if self._matches(pair):
            self._apply_link_faults(pair, direction)
        if pair.is_dropped(direction):
            return False
        self._bytes[direction] += size
        self._chunks[direction] += 1
        if self._reaches_cut(direction, size):
            pair.reset()
            return False
        return True

    def remove(self, pair: ConnectionPair) -> None:
        """Remove a closed pair."""
        self._pairs.discard(pair)

    def _matches(self, pair: ConnectionPair) -> bool:
        return pair.first_chunk.find(self.switches.only.encode()) >= 0

    def _apply_link_faults(
        self, pair: ConnectionPair, direction: Direction
    ) -> None:
        if self.switches.delay_ms:
            eventlet.sleep(self.switches.delay_ms / MS_PER_SECOND)
        if self.switches.drop == direction:
            pair.drop_direction(direction)

    def _reaches_cut(self, direction: Direction, size: int) -> bool:
        remaining = self.switches.cut_after
        if remaining is None or self.switches.cut_direction != direction:
            return False
        remaining = None if size >= remaining else remaining - size
        self.switches = self.switches.model_copy(
            update={'cut_after': remaining}
        )
        return remaining is None

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            self._opened_count += 1
            eventlet.spawn_n(self._serve, client)

    def _serve(self, client: socket.socket) -> None:
        pair = ConnectionPair(client, self)
        if self.switches.cut and not self.switches.only:
            pair.reset()
            return
        self._pairs.add(pair)
        with suppress(OSError):
            pair.run((HOST, self._target_port), CONNECT_TIMEOUT_S)
        pair.reset()
