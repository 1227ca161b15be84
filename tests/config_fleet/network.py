"""The simulated network between the nodes of a fleet."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from eventlet.event import Event
from eventlet.greenthread import spawn_n

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import LinkRefusedError
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.protocol.store_messages import Changes, ConfigState
from laburnumwood.protocol.time_limit import time_limit
from laburnumwood.records import NodeName
from tests.config_fleet.virtual_time import Process, hub

_MESSAGE_BYTES = 400
_BYTES_PER_ROUTE = 250
_BITS = 8


def _objects(message: Any) -> tuple[Any, ...]:
    if isinstance(message, Changes):
        return message.objects
    if isinstance(message, ConfigState) and message.config is not None:
        return (message.config,)
    return ()


def _size_bytes(message: Any) -> int:
    """Return about how many bytes a message takes."""
    size = _MESSAGE_BYTES
    for each in _objects(message):
        files = (each.value or {}).get('files', {})
        routes = files.get('manifest', {}).get('routes', {})
        size += _MESSAGE_BYTES + _BYTES_PER_ROUTE * len(routes)
    return size


@dataclass(slots=True)
class Host:
    """What listens at an address; `link_free_s` is when its link is idle.

    Until `filled_until_s` the link is full of other than messages.
    """

    process: Process
    dispatcher: Callable[[], Dispatcher | None]
    link_free_s: float = 0
    filled_until_s: float = 0


@dataclass(slots=True)
class Network:
    """Delivers messages between hosts; a pair in `cut` loses all one way."""

    random: Random
    latency_ms: float
    megabits_per_s: float
    hosts: dict[str, Host] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)

    def carry(
        self, source: str, target: str, message: Any, take: Callable[[], None]
    ) -> None:
        """Let the process at a host take a message, if it gets there."""
        host = self.hosts.get(target)
        if (source, target) in self.cut or host is None:
            return
        delay_s = (
            self.random.uniform(0.5, 1.5) * self.latency_ms / MS_PER_SECOND
        )
        delay_s += self._queue_s(self.hosts[source], message)
        hub().call_for(host.process, delay_s, take)

    def fill_link(self, name: str, wait_s: float) -> None:
        """Let what leaves a host now wait for a time at least."""
        host = self.hosts[name]
        host.filled_until_s = max(host.filled_until_s, hub().now_s + wait_s)
        host.link_free_s = max(host.link_free_s, host.filled_until_s)

    def store_wait_s(self, name: str) -> float:
        """Return for how long a call of the store waits to leave a host.

        It does not wait for messages to other hosts, but for what fills links.
        """
        return max(0, self.hosts[name].filled_until_s - hub().now_s)

    def _queue_s(self, host: Host, message: Any) -> float:
        """Return how long a message takes to leave its host."""
        bits = _size_bytes(message) * _BITS
        now_s = hub().now_s
        begin_s = max(host.link_free_s, now_s)
        host.link_free_s = begin_s + bits / (self.megabits_per_s * 1_000_000)
        return host.link_free_s - now_s


class _Reply:
    """The stream on which a host answers one message."""

    def __init__(self, send: Callable[[Any], None]) -> None:
        self.send = send

    def close(self) -> None:
        """Do nothing."""


@dataclass(frozen=True, slots=True)
class _Link:
    """The link that a message came on, of which the peer matters."""

    peer: NodeName

    def close(self) -> None:
        """Do nothing."""


class SimulatedPeers:
    """The links of one node to others, with the interface of `Peers`."""

    def __init__(
        self,
        own: NodeName,
        network: Network,
        lookup: Callable[[NodeName], tuple[str, int] | None],
    ) -> None:
        self._own = own
        self._network = network
        self._lookup = lookup

    def call(self, peer: NodeName, message: Any, timeout_ms: int) -> Any:
        """Return the reply to a message; raises `LinkError`."""
        address = self._lookup(peer)
        host = self._network.hosts.get(address[0]) if address else None
        if address is None or host is None or host.process.has_ended:
            raise LinkRefusedError(f'{peer} does not listen')
        reply, source, target = Event(), self._own.node_id, address[0]

        def answer(sent: Any) -> None:
            self._network.carry(
                target, source, sent, lambda: _give(reply, sent)
            )

        def take() -> None:
            dispatcher = host.dispatcher()
            if dispatcher is not None:
                link, stream = _Link(self._own), _Reply(answer)
                spawn_n(dispatcher.handle, link, stream, message)

        self._network.carry(source, target, message, take)
        with time_limit(timeout_ms, f'{peer} did not answer'):
            return reply.wait()


def _give(event: Event, sent: Any) -> None:
    if not event.ready():
        event.send(sent)
