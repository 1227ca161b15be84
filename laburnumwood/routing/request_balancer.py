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
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.protocol.messages import Answer, Failure
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.routing.exchange import OutgoingExchange

AVOID_MS = 1_000
ALL_RANKS = -1  # also the rank of requests without one
_MAX_RECENT_CHOICES = 16
_MAX_LOCAL_LOAD = 0.5  # load per slot; local nodes above it are not preferred
_OVERLOAD_STATUSES = frozenset((429, 503))


class TrackedExchange:
    """An exchange that counts as in flight until it is closed."""

    def __init__(
        self,
        exchange: OutgoingExchange,
        target: NodeName,
        rank: int,
        balancer: 'RequestBalancer',
    ) -> None:
        self._exchange = exchange
        self._target = target
        self._rank = rank
        self._balancer = balancer

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
            self._balancer.avoid(self._target, AVOID_MS)
            raise
        if isinstance(message, Failure):
            duration_ms = max(message.retry_after_ms, AVOID_MS)
            # There may be room for what is more urgent.
            is_full = message.kind == 'overloaded'
            rank = self._rank if is_full else ALL_RANKS
            self._balancer.avoid(self._target, duration_ms, rank)
        elif (
            isinstance(message, Answer) and message.status in _OVERLOAD_STATUSES
        ):
            self._balancer.avoid(self._target, AVOID_MS)
        return message

    def set_message_handler(self, handler: Callable[[], None] | None) -> None:
        """Set what is done at the next message or when the link ends."""
        self._exchange.set_message_handler(handler)

    def fail(self, reason: LinkError) -> None:
        """Let all that waits on the exchange fail."""
        self._exchange.fail(reason)

    def close(self) -> None:
        """Close this side of the exchange and stop counting it."""
        self._balancer.untrack(self._target, self)
        self._exchange.close()


class RequestBalancer:
    """Distributes requests among nodes by their load, as known to this node.

    The load of a node is the higher of this node's own requests in flight
    there and the load that the node reported, which decays with its age.
    Nodes that failed or shed requests are avoided for some time.

    Nodes of the own failure domain are preferred while they are not busy, so
    that few bodies are sent between domains, but they get no more than an even
    share: `local_ingress_share` returns the part of all ingress nodes that is
    in the own domain.
    """

    def __init__(
        self,
        loads: LoadReports,
        domain: str,
        random: Random,
        clock: Clock,
        local_ingress_share: Callable[[], float] = float,
    ) -> None:
        self._loads = loads
        self.notices = loads.notices
        self._failure_domain = domain
        self._random = random
        self._clock = clock
        self._local_ingress_share = local_ingress_share
        self._in_flight: dict[NodeName, WeakSet[TrackedExchange]] = {}
        # Keyed by node and the most urgent rank that avoids it.
        self._avoided_until_ms: dict[tuple[NodeName, int], int] = {}
        self._recent_choices: deque[NodeName] = deque(
            maxlen=_MAX_RECENT_CHOICES
        )

    def recent_choices(self) -> tuple[NodeName, ...]:
        """Return the nodes of the most recent choices."""
        return tuple(self._recent_choices)

    def choose(
        self, nodes: Mapping[NodeName, NodeRecord], rank: int = ALL_RANKS
    ) -> NodeName | None:
        """Return the less loaded of two nodes drawn at random.

        Local nodes that are not busy are preferred.  Rank 0 is the most
        urgent.  Returns None if there are no nodes.
        """
        avoided = self._avoided(rank)
        usable = [name for name in sorted(nodes) if name not in avoided]
        if not usable:
            return min(
                nodes, key=lambda name: (avoided[name], name), default=None
            )
        loads = {name: self._load(name, nodes[name]) for name in usable}
        # Two are also drawn from many local nodes: ingress nodes with the same
        # load reports would otherwise all choose the same node.
        candidates = self._candidates(nodes, loads)
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        chosen = min(sampled, key=loads.__getitem__)
        self._recent_choices.append(chosen)
        return chosen

    def track(
        self,
        exchange: OutgoingExchange,
        target: NodeName,
        rank: int = ALL_RANKS,
    ) -> OutgoingExchange:
        """Return an exchange that counts as in flight at its target."""
        tracked = TrackedExchange(exchange, target, rank, self)
        self._in_flight.setdefault(target, WeakSet()).add(tracked)
        return tracked

    def avoid(
        self, target: NodeName, duration_ms: int, rank: int = ALL_RANKS
    ) -> None:
        """Prefer other nodes for `duration_ms`, if there are any.

        Requests that are more urgent than `rank` are not affected.
        """
        now_ms = self._clock.now_ms()
        self._avoided_until_ms = {
            avoided: until_ms
            for avoided, until_ms in self._avoided_until_ms.items()
            if until_ms > now_ms
        }
        self._avoided_until_ms[target, rank] = now_ms + duration_ms

    def untrack(self, target: NodeName, tracked: TrackedExchange) -> None:
        """Stop counting an exchange as in flight."""
        exchanges = self._in_flight.get(target)
        if exchanges is None:
            return
        exchanges.discard(tracked)
        if not exchanges:
            self._in_flight.pop(target)

    def _candidates(
        self,
        nodes: Mapping[NodeName, NodeRecord],
        loads: Mapping[NodeName, float],
    ) -> list[NodeName]:
        """Return the nodes to draw from, of those whose loads are given."""
        local = {
            name
            for name, record in nodes.items()
            if record.failure_domain == self._failure_domain
        }
        even_share = len(local) / len(nodes)
        if self._random.random() * self._local_ingress_share() > even_share:
            chosen = [name for name in loads if name not in local]
        else:
            chosen = [
                name for name in local if loads.get(name, 1) < _MAX_LOCAL_LOAD
            ]
        return sorted(chosen) or list(loads)

    def _load(self, name: NodeName, record: NodeRecord) -> float:
        own_in_flight = len(self._in_flight.get(name, ()))
        slots = self.notices.usable_slots(name, record.slots)
        return max(own_in_flight, self._loads.running(name)) / slots

    def _avoided(self, rank: int) -> dict[NodeName, int]:
        """Return the nodes to avoid for a rank, with the end time in ms."""
        now_ms = self._clock.now_ms()
        until_by_node: dict[NodeName, int] = {}
        for (name, min_rank), until_ms in self._avoided_until_ms.items():
            if until_ms > now_ms and min_rank <= rank:
                until_by_node[name] = max(until_ms, until_by_node.get(name, 0))
        return until_by_node
