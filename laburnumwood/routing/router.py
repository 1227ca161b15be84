"""From a caller's request to the node that answers it."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.clock import Clock
from laburnumwood.errors import (
    CallerDisconnectedError,
    LinkError,
    LinkTimeoutError,
)
from laburnumwood.membership.gossip import apply_shard_notice
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.layout import locate_text_key
from laburnumwood.placement.ownership import acting_owner
from laburnumwood.protocol.messages import (
    Answer,
    Cancel,
    Chunk,
    End,
    Failure,
    ShardNotice,
    WholeAnswer,
    Work,
)
from laburnumwood.protocol.peers import Peers
from laburnumwood.records import NodeName, ShardName
from laburnumwood.routing.caller import Caller
from laburnumwood.routing.caller_request import Inquiry
from laburnumwood.routing.exchange import (
    LONGEST_INLINE,
    Outgoing,
    Serve,
    local_pair,
)
from laburnumwood.routing.headers import find
from laburnumwood.routing.problems import failure
from laburnumwood.routing.request_balancer import AVOID_MS, Spread
from laburnumwood.routing.retry_policy import PATIENCE_MS, Tries
from laburnumwood.tasks import start

_CHUNK_SIZE = 32_768
_GONE = 'the caller has gone'
_GRACE_MS = 60  # lets the gate say at the deadline what became of a request


Sign = tuple[int, NodeName | None]  # version of a record, and who may act


def _announced_length(head: Answer) -> int | None:
    """Return the length that the head of an answer gives its body, if any."""
    given = ''.join(find(head.headers, 'content-length'))
    return int(given) if given.isdecimal() else None


class Reply:
    """The head of an answer, and its body that is still to come."""

    def __init__(
        self, head: Answer, exchange: Outgoing, until_ms: int, clock: Clock
    ) -> None:
        self.head = head
        self._exchange = exchange
        self._until_ms = until_ms
        self._clock = clock
        self._whole = False
        self._length = 0
        self._announced: int | None = None
        if not isinstance(head, WholeAnswer):
            self._announced = _announced_length(head)
        self._ahead: bytes | None = b''  # read, and not given out yet

    @property
    def received(self) -> int:
        """Return how many bytes of a streamed body have come."""
        return self._length

    @property
    def left_ms(self) -> int:
        """Return how much of the time for the request is left."""
        return self._until_ms - self._clock.now_ms()

    def begin(self) -> None:
        """Wait for the first part of the body; raises `LinkError`.

        Nothing was sent to the caller by then, so that it can be told.
        """
        self._ahead = self._next()

    def body(self) -> Iterator[bytes]:
        """Yield the body; raises `LinkError` if it is cut short."""
        while self._ahead is not None:
            if self._ahead:
                yield self._ahead
            self._ahead = None if self._whole else self._next()

    def _next(self) -> bytes | None:
        """Return the next part, None after the last one."""
        if isinstance(self.head, WholeAnswer):
            self._whole = True
            return self.head.body
        if self._length == self._announced:
            # The caller has every byte: nothing may break its answer any more.
            self._whole = True
            return None
        message = self._exchange.receive(max(0, self.left_ms))
        if isinstance(message, End) and message.length == self._length:
            self._whole = True
            return None
        if not isinstance(message, Chunk):
            raise self._cut()
        self._length += len(message.content)
        return message.content

    def _cut(self) -> LinkError:
        # The gate gives up at the deadline as well, and may be heard first.
        if self.left_ms <= 0:
            return LinkTimeoutError('the time for the answer is over')
        return LinkError('the answer was cut')

    def close(self) -> None:
        """End the exchange; an answer not read whole is cancelled."""
        if not self._whole:
            abandon(self._exchange)
        self._exchange.close()


def abandon(exchange: Outgoing) -> None:
    """Tell the gate that its answer is no longer wanted, and wait no more."""
    exchange.fail(CallerDisconnectedError(_GONE))
    start(_tell_cancel, exchange)


def _tell_cancel(exchange: Outgoing) -> None:
    try:
        exchange.send(Cancel())
    except LinkError:
        return  # the gate notices the lost link by itself


@dataclass(slots=True)
class _Progress:
    """Whether a gate may run a request by now: it needs the whole body."""

    may_run: bool


def _send_body(exchange: Outgoing, body: bytes, progress: _Progress) -> None:
    """Send a body that did not go with the head of its request."""
    for offset in range(0, len(body), _CHUNK_SIZE):
        exchange.send(Chunk(body[offset : offset + _CHUNK_SIZE]))
    progress.may_run = True
    if body:
        exchange.send(End(len(body)))


def _with_short_body(inquiry: Inquiry) -> Work:
    """Return a request that carries its body if that is short."""
    if inquiry.body and len(inquiry.body) <= LONGEST_INLINE:
        return replace(inquiry.work, body=inquiry.body)
    return inquiry.work


class Router:
    """Sends requests to the owners of their shards."""

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        peers: Peers,
        serve: Serve,
        spread: Spread,
        budgets: RetryBudgets,
        clock: Clock,
        patience_ms: int = PATIENCE_MS,
    ) -> None:
        self._patience_ms = patience_ms
        self._own = own
        self._view = view
        self._peers = peers
        self._serve = serve
        self._spread = spread
        self._budgets = budgets
        self._clock = clock

    def send(self, inquiry: Inquiry, caller: Caller) -> Reply | Failure:
        """Return the answer to a request, or why there is none.

        A request that proved not to have run waits a while for an owner; one
        that may have run is sent again only if it is idempotent.  Both end
        with the deadline, and what was given up is answered at once.
        """
        work = _with_short_body(inquiry)
        budget = self._budgets.for_service(work.service)
        budget.record_request()
        tries = Tries(inquiry, budget, self._clock, self._patience_ms)
        while True:
            work = self._placed(work, inquiry.work.shard)
            sign = self._sign(work)
            tries.target = self._target(work, tries)
            reply = self._try(work, inquiry.body, tries, caller)
            if not isinstance(reply, Failure):
                return reply
            tries.note(reply)
            nodes = self._view.serving_nodes(work.service)
            pause_ms = None
            if not caller.is_gone:
                pause_ms = tries.pause_ms(reply, nodes)
            tries.tell(reply, pause_ms)
            if pause_ms is None:
                # An earlier try may have run, whatever the last one proves.
                return replace(reply, ran=tries.may_have_run)
            if pause_ms:
                self._await_other(sign, work, pause_ms)

    def _placed(self, work: Work, shard: int) -> Work:
        """Return a request with the shard that has its key now."""
        records = self._view.directory.shard_records(work.service)
        found = locate_text_key(work.key, shard, records)
        return work if found == work.shard else replace(work, shard=found)

    def _await_other(self, sign: Sign, work: Work, limit_ms: int) -> None:
        """Wait until a shard's owner is not the one that was tried."""
        until_ms = self._clock.now_ms() + limit_ms
        while self._sign(work) == sign:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            self._view.directory.news.wait(left_ms)

    def _sign(self, work: Work) -> Sign:
        entry = self._view.directory.shard(ShardName(work.service, work.shard))
        if entry is None:
            return 0, None
        return entry.version, acting_owner(entry.record, self._view)

    def _target(self, work: Work, tries: Tries) -> NodeName | None:
        if work.shard < 0:
            return self._choose(work, tries)
        entry = self._view.directory.shard(ShardName(work.service, work.shard))
        return acting_owner(entry.record, self._view) if entry else None

    def _choose(self, work: Work, tries: Tries) -> NodeName | None:
        nodes = self._view.serving_nodes(work.service)
        return self._spread.choose(
            tries.open_among(nodes) or nodes, work.priority
        )

    def _try(
        self, work: Work, body: bytes, tries: Tries, caller: Caller
    ) -> Reply | Failure:
        target, until_ms = tries.target, tries.until_ms
        if target is None:
            return failure('no-owner', f'shard {work.shard}', ran=False)
        left_ms = until_ms - self._clock.now_ms()
        if left_ms < work.deadline_ms:
            work = replace(work, deadline_ms=left_ms)
        try:
            exchange = self._open(target, work, caller)
        except CallerDisconnectedError as gone:
            return failure('cancelled', str(gone), ran=False)
        except LinkError as refused:
            self._spread.avoid(target, AVOID_MS)
            return failure('no-owner', str(refused), ran=False)
        if work.shard < 0:
            exchange = self._spread.track(exchange, target, work.priority)
        caller.when_gone(lambda: abandon(exchange))
        reply = self._ask(exchange, b'' if work.is_whole else body, until_ms)
        if isinstance(reply, Failure):
            exchange.close()
        return reply

    def _open(self, target: NodeName, work: Work, caller: Caller) -> Outgoing:
        """Send a request to a node, unless its caller has gone by then."""
        if target != self._own:
            exchange = self._peers.open_stream(
                target, is_patient=not work.idempotent
            )
            if caller.look():
                exchange.close()
                raise CallerDisconnectedError(_GONE)
            exchange.send(work)
            return exchange
        if caller.look():
            raise CallerDisconnectedError(_GONE)
        near, far = local_pair()
        start(self._serve, far, work)
        return near

    def _ask(
        self, exchange: Outgoing, body: bytes, until_ms: int
    ) -> Reply | Failure:
        progress = _Progress(may_run=not body)
        try:
            _send_body(exchange, body, progress)
            head = self._receive_head(exchange, until_ms + _GRACE_MS)
            return self._read_head(head, exchange, until_ms)
        except LinkTimeoutError as late:
            abandon(exchange)
            return failure('deadline', str(late), ran=True)
        except LinkError as lost:
            # A link that is only silent may still carry the work there.
            abandon(exchange)
            return failure('link-lost', str(lost), ran=progress.may_run)

    def _receive_head(self, exchange: Outgoing, until_ms: int) -> object:
        """Return what a gate answers, after the records that it tells of."""
        while True:
            head = exchange.receive(until_ms - self._clock.now_ms())
            if not isinstance(head, ShardNotice):
                return head
            apply_shard_notice(self._view.directory, head)

    def _read_head(
        self, head: object, exchange: Outgoing, until_ms: int
    ) -> Reply | Failure:
        if isinstance(head, Answer):
            reply = Reply(head, exchange, until_ms, self._clock)
            reply.begin()
            return reply
        if isinstance(head, Failure):
            return head
        abandon(exchange)
        return failure('link-lost', 'another message came', ran=True)
