"""Telling other nodes at once that a configuration has come into force."""

from collections.abc import Iterable

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.gossip import Gossip
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName
from laburnumwood.tasks import start

_ORDER_KEY = 'configuration news'
_INTERVAL_MS = 500  # between two times that a node passes news on


def _distances(size: int) -> tuple[int, ...]:
    """Return 1, 2, 4, 8, ..., up to half of the way round a circle."""
    return tuple(1 << power for power in range((size // 2).bit_length()))


def news_targets(own: NodeName, live: Iterable[NodeName]) -> set[NodeName]:
    """Return the nodes to which a node passes news on.

    All nodes stand in one circle.  The targets are 1, 2, 4, 8, ... places away
    in both directions, so each node is told by as many others as it tells, and
    no loss of one message or node keeps news from another.
    """
    circle = rendezvous_order(_ORDER_KEY, {own, *live})
    place = circle.index(own)
    steps = _distances(len(circle))
    ahead = {circle[(place + step) % len(circle)] for step in steps}
    behind = {circle[place - step] for step in steps}
    return (ahead | behind) - {own}


class ConfigNews:
    """Passes the configurations that come into force on to other nodes.

    The first one that a node has is no news: it comes from the store's list.
    Of several that follow each other closely the latest is passed on.
    """

    def __init__(
        self, own: NodeName, view: FleetView, gossip: Gossip, clock: Clock
    ) -> None:
        self._own = own
        self._view = view
        self._gossip = gossip
        self._clock = clock
        self._has_config = False
        self._is_due_later = False
        self._spread_at_ms: int | None = None

    def spread(self) -> None:
        """Let other nodes know that a configuration has come into force."""
        if not self._has_config:
            self._has_config = True
        elif not self._is_due_later:
            self._is_due_later = True
            start(self._spread_when_due)

    def _spread_when_due(self) -> None:
        if self._spread_at_ms is not None:
            elapsed_ms = self._clock.now_ms() - self._spread_at_ms
            left_ms = max(0, _INTERVAL_MS - elapsed_ms)
            eventlet.sleep(left_ms / MS_PER_SECOND)
        self._is_due_later = False
        self._spread_at_ms = self._clock.now_ms()
        live = (name for name, _ in self._view.live_nodes())
        self._gossip.exchange(news_targets(self._own, live))
