"""From a caller's request to the node that answers it."""

from collections.abc import Iterator

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.ownership import acting
from laburnumwood.protocol.messages import Answer, Chunk, End, Failure, Work
from laburnumwood.protocol.peers import Peers
from laburnumwood.records import NodeName, ShardName
from laburnumwood.routing.exchange import Exchange, Serve, local_pair
from laburnumwood.routing.outcome import failure
from laburnumwood.routing.spread import AVOID_MS, Spread

_RETRY_MS = 50
_CHUNK_SIZE = 32_768


class Router:
    """Sends requests to the owners of their shards."""

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        peers: Peers,
        serve: Serve,
        spread: Spread,
        clock: Clock,
    ) -> None:
        self._own = own
        self._view = view
        self._peers = peers
        self._serve = serve
        self._spread = spread
        self._clock = clock

    def send(
        self, work: Work, body: bytes
    ) -> tuple[Answer | Failure, Exchange | None]:
        """Return the head of the answer and the exchange its body comes on.

        Where it is proved that nothing ran, the request is sent again, to
        whoever is owner then, until its deadline.
        """
        deadline_ms = self._clock.now_ms() + work.deadline_ms
        told = failure('no-owner', f'shard {work.shard}', ran=False)
        while self._clock.now_ms() < deadline_ms:
            target = self._target(work)
            if target is not None:
                head, exchange = self._try(target, work, body)
                if isinstance(head, Answer) or not _is_worth_a_retry(head):
                    return head, exchange
                told = head
            eventlet.sleep(_RETRY_MS / MS_PER_SECOND)
        return told, None

    def body(self, exchange: Exchange, timeout_ms: int) -> Iterator[bytes]:
        """Yield the body of an answer; raises `LinkError` if it is cut."""
        length = 0
        try:
            while True:
                message = exchange.receive(timeout_ms)
                if isinstance(message, End) and message.length == length:
                    return
                if not isinstance(message, Chunk):
                    raise LinkError('the answer was cut')
                length += len(message.content)
                yield message.content
        finally:
            exchange.close()

    def _target(self, work: Work) -> NodeName | None:
        if work.shard < 0:
            return self._spread.choose(self._view.live_in(work.service))
        entry = self._view.directory.shard(ShardName(work.service, work.shard))
        return acting(entry.record, self._view) if entry else None

    def _try(
        self, target: NodeName, work: Work, body: bytes
    ) -> tuple[Answer | Failure, Exchange | None]:
        try:
            exchange = self._open(target, work)
            if work.shard < 0:
                exchange = self._spread.track(exchange, target)
        except LinkError as refused:
            # The end of the body was not sent, so no worker got the request.
            self._spread.avoid(target, AVOID_MS)
            return failure('no-owner', str(refused), ran=False), None
        try:
            return self._ask(exchange, work, body)
        except LinkError as lost:
            exchange.close()
            return failure('link-lost', str(lost), ran=True), None

    def _open(self, target: NodeName, work: Work) -> Exchange:
        if target != self._own:
            exchange = self._peers.open_stream(target)
            exchange.send(work)
            return exchange
        near, far = local_pair()
        eventlet.spawn_n(self._serve, far, work)
        return near

    def _ask(
        self, exchange: Exchange, work: Work, body: bytes
    ) -> tuple[Answer | Failure, Exchange | None]:
        for start in range(0, len(body), _CHUNK_SIZE):
            exchange.send(Chunk(body[start : start + _CHUNK_SIZE]))
        exchange.send(End(len(body)))
        head = exchange.receive(work.deadline_ms)
        if isinstance(head, Answer):
            return head, exchange
        exchange.close()
        if isinstance(head, Failure):
            return head, None
        raise LinkError('no answer but another message came')


def _is_worth_a_retry(told: Failure) -> bool:
    return not told.ran and told.kind in {'not-owner', 'no-owner'}
