"""Choice of a node for services that are not divided by key.

The power of two choices: M. Mitzenmacher, "The power of two choices in
randomized load balancing", 2001.
"""

from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Any
from weakref import WeakSet

from laburnumwood.clock import Clock
from laburnumwood.errors import CallerDisconnectedError, LinkError
from laburnumwood.placement.loads import LoadReports
from laburnumwood.protocol.messages import Answer, Failure
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.routing.exchange import Outgoing

AVOID_MS = 1_000
ALL_RANKS = -1  # also that of requests without a rank
_REMEMBERED = 16  # choices
_NEAR_UNTIL = 0.5  # of its slots, a node of the same domain is taken
_SHEDDING = frozenset((429, 503))


class SpreadExchange:
    """An exchange that counts as in flight until it is closed."""

    def __init__(
        self,
        exchange: Outgoing,
        target: NodeName,
        rank: int,
        spread: 'Spread',
    ) -> None:
        self._exchange = exchange
        self._target = target
        self._rank = rank
        self._spread = spread

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        self._exchange.send(message)

    def receive(self, timeout_ms: int) -> Any:
        """Return the next message; raises a `LinkError`."""
        try:
            message = self._exchange.receive(timeout_ms)
        except CallerDisconnectedError:
            raise
        except LinkError:
            self._spread.avoid(self._target, AVOID_MS)
            raise
        if isinstance(message, Failure):
            span_ms = max(message.retry_after_ms, AVOID_MS)
            # There may be room for what is more urgent.
            is_full = message.kind == 'overloaded'
            rank = self._rank if is_full else ALL_RANKS
            self._spread.avoid(self._target, span_ms, rank)
        elif isinstance(message, Answer) and message.status in _SHEDDING:
            self._spread.avoid(self._target, AVOID_MS)
        return message

    def when_message(self, act: Callable[[], None] | None) -> None:
        """Set what is done at the next message or when the link ends."""
        self._exchange.when_message(act)

    def fail(self, reason: LinkError) -> None:
        """Let all that waits on the exchange fail."""
        self._exchange.fail(reason)

    def close(self) -> None:
        """End the exchange on this side."""
        self._spread.forget(self._target, self)
        self._exchange.close()


class Spread:
    """Spreads requests by the load of nodes, as this node sees it.

    Its own requests in flight come first; what nodes report of theirs counts
    less as it ages.  Nodes that failed or shed are avoided for a while.  A
    node of its own failure domain is taken while that is not busy, so that
    few bodies cross domains, but not for more than an even share: `doors`
    returns what part of all doors is in that domain.
    """

    def __init__(
        self,
        loads: LoadReports,
        domain: str,
        random: Random,
        clock: Clock,
        doors: Callable[[], float] = float,
    ) -> None:
        self._loads = loads
        self._domain = domain
        self._random = random
        self._clock = clock
        self._doors = doors
        self._in_flight: dict[NodeName, WeakSet[SpreadExchange]] = {}
        # By node and the most urgent rank that it is avoided for.
        self._avoided_until_ms: dict[tuple[NodeName, int], int] = {}
        self._chosen: deque[NodeName] = deque(maxlen=_REMEMBERED)

    def targets(self) -> tuple[NodeName, ...]:
        """Return the nodes that were chosen lately."""
        return tuple(self._chosen)

    def choose(
        self, nodes: Mapping[NodeName, NodeRecord], rank: int = ALL_RANKS
    ) -> NodeName | None:
        """Return the better of two nodes drawn, near ones that are not busy.

        Of ranks, 0 is the most urgent.
        """
        avoided = self._avoided(rank)
        usable = [name for name in sorted(nodes) if name not in avoided]
        if not usable:
            return min(
                nodes, key=lambda name: (avoided[name], name), default=None
            )
        loads = {name: self._load(name, nodes[name]) for name in usable}
        # Of many near nodes, too, two are drawn: doors that know the same
        # would all choose the same one.
        drawn_from = self._preferred(nodes, loads)
        drawn = self._random.sample(drawn_from, min(2, len(drawn_from)))
        chosen = min(drawn, key=loads.__getitem__)
        self._chosen.append(chosen)
        return chosen

    def track(
        self, exchange: Outgoing, target: NodeName, rank: int = ALL_RANKS
    ) -> Outgoing:
        """Return an exchange that is counted for its target."""
        tracked = SpreadExchange(exchange, target, rank, self)
        self._in_flight.setdefault(target, WeakSet()).add(tracked)
        return tracked

    def avoid(
        self, target: NodeName, span_ms: int, rank: int = ALL_RANKS
    ) -> None:
        """Choose other nodes for some time where there are any.

        Requests that are more urgent than `rank` go on as before.
        """
        now_ms = self._clock.now_ms()
        self._avoided_until_ms = {
            avoided: until_ms
            for avoided, until_ms in self._avoided_until_ms.items()
            if until_ms > now_ms
        }
        self._avoided_until_ms[target, rank] = now_ms + span_ms

    def forget(self, target: NodeName, tracked: SpreadExchange) -> None:
        """Count an exchange no longer."""
        counted = self._in_flight.get(target)
        if counted is None:
            return
        counted.discard(tracked)
        if not counted:
            self._in_flight.pop(target)

    def _preferred(
        self,
        nodes: Mapping[NodeName, NodeRecord],
        loads: Mapping[NodeName, float],
    ) -> list[NodeName]:
        """Return the nodes to draw from, of those whose loads are given."""
        near = {
            name
            for name, record in nodes.items()
            if record.failure_domain == self._domain
        }
        even = len(near) / len(nodes)
        if self._random.random() * self._doors() > even:
            chosen = [name for name in loads if name not in near]
        else:
            chosen = [name for name in near if loads.get(name, 1) < _NEAR_UNTIL]
        return sorted(chosen) or list(loads)

    def _load(self, name: NodeName, record: NodeRecord) -> float:
        own = len(self._in_flight.get(name, ()))
        return max(own, self._loads.running(name)) / record.slots

    def _avoided(self, rank: int) -> dict[NodeName, int]:
        """Return the nodes to avoid for a rank, and until when."""
        now_ms = self._clock.now_ms()
        found: dict[NodeName, int] = {}
        for (name, least), until_ms in self._avoided_until_ms.items():
            if until_ms > now_ms and least <= rank:
                found[name] = max(until_ms, found.get(name, 0))
        return found
