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
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.exchange import (
    MAX_INLINE_BODY_BYTES,
    OutgoingExchange,
    ServeHandler,
    local_pair,
)
from laburnumwood.routing.headers import header_values
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.request_balancer import AVOID_MS, RequestBalancer
from laburnumwood.routing.tries import MAX_OWNER_WAIT_MS, RetryPolicy
from laburnumwood.tasks import start

_CHUNK_SIZE = 32_768
_CALLER_GONE = 'the caller has gone'
_DEADLINE_GRACE_MS = (
    60  # lets the gate say at the deadline what became of a request
)


OwnerVersion = tuple[
    int, NodeName | None
]  # version of a record, and who may act


def _announced_length(head: Answer) -> int | None:
    """Return the length that the head of an answer gives its body, if any."""
    given = ''.join(header_values(head.headers, 'content-length'))
    return int(given) if given.isdecimal() else None


class PendingAnswer:
    """The head of an answer, and its body that is still to come."""

    def __init__(
        self,
        head: Answer,
        exchange: OutgoingExchange,
        until_ms: int,
        clock: Clock,
    ) -> None:
        self.head = head
        self._exchange = exchange
        self._until_ms = until_ms
        self._clock = clock
        self._is_complete = False
        self._length = 0
        self._announced: int | None = None
        if not isinstance(head, WholeAnswer):
            self._announced = _announced_length(head)
        self._buffered: bytes | None = b''  # read, and not given out yet

    @property
    def received_bytes(self) -> int:
        """Return how many bytes of a streamed body have come."""
        return self._length

    @property
    def left_ms(self) -> int:
        """Return how much of the time for the request is left."""
        return self._until_ms - self._clock.now_ms()

    def await_first_chunk(self) -> None:
        """Wait for the first part of the body; raises `LinkError`.

        Nothing was sent to the caller by then, so that it can be told.
        """
        self._buffered = self._next_chunk()

    def body(self) -> Iterator[bytes]:
        """Yield the body; raises `LinkError` if it is cut short."""
        while self._buffered is not None:
            if self._buffered:
                yield self._buffered
            self._buffered = None if self._is_complete else self._next_chunk()

    def _next_chunk(self) -> bytes | None:
        """Return the next part, None after the last one."""
        if isinstance(self.head, WholeAnswer):
            self._is_complete = True
            return self.head.body
        if self._length == self._announced:
            # The caller has every byte: nothing may break its answer any more.
            self._is_complete = True
            return None
        message = self._exchange.receive(max(0, self.left_ms))
        if isinstance(message, End) and message.length == self._length:
            self._is_complete = True
            return None
        if not isinstance(message, Chunk):
            raise self._truncation_error()
        self._length += len(message.content)
        return message.content

    def _truncation_error(self) -> LinkError:
        # The gate gives up at the deadline as well, and may be heard first.
        if self.left_ms <= 0:
            return LinkTimeoutError('the time for the answer is over')
        return LinkError('the answer was cut')

    def close(self) -> None:
        """End the exchange; an answer not read whole is cancelled."""
        if not self._is_complete:
            cancel_exchange(self._exchange)
        self._exchange.close()


def cancel_exchange(exchange: OutgoingExchange) -> None:
    """Tell the gate that its answer is no longer wanted, and wait no more."""
    exchange.fail(CallerDisconnectedError(_CALLER_GONE))
    start(_send_cancel, exchange)


def _send_cancel(exchange: OutgoingExchange) -> None:
    try:
        exchange.send(Cancel())
    except LinkError:
        return  # the gate notices the lost link by itself


@dataclass(slots=True)
class _SendProgress:
    """Whether a gate may run a request by now: it needs the whole body."""

    may_run: bool


def _send_body(
    exchange: OutgoingExchange, body: bytes, progress: _SendProgress
) -> None:
    """Send a body that did not go with the head of its request."""
    for offset in range(0, len(body), _CHUNK_SIZE):
        exchange.send(Chunk(body[offset : offset + _CHUNK_SIZE]))
    progress.may_run = True
    if body:
        exchange.send(End(len(body)))


def _with_inline_body(request: CallerRequest) -> Work:
    """Return a request that carries its body if that is short."""
    if request.body and len(request.body) <= MAX_INLINE_BODY_BYTES:
        return replace(request.work, body=request.body)
    return request.work


class Router:
    """Sends requests to the owners of their shards."""

    def __init__(
        self,
        own_name: NodeName,
        view: FleetView,
        peers: Peers,
        serve: ServeHandler,
        balancer: RequestBalancer,
        budgets: RetryBudgets,
        clock: Clock,
        max_owner_wait_ms: int = MAX_OWNER_WAIT_MS,
    ) -> None:
        self._owner_wait_ms = max_owner_wait_ms
        self._own = own_name
        self._view = view
        self._peers = peers
        self._serve = serve
        self._balancer = balancer
        self._budgets = budgets
        self._clock = clock

    def send(
        self, request: CallerRequest, caller: Caller
    ) -> PendingAnswer | Failure:
        """Return the answer to a request, or why there is none.

        A request that proved not to have run waits a while for an owner; one
        that may have run is sent again only if it is idempotent.  Both end
        with the deadline, and what was given up is answered at once.
        """
        work = _with_inline_body(request)
        budget = self._budgets.for_service(work.service)
        budget.record_request()
        retries = RetryPolicy(request, budget, self._clock, self._owner_wait_ms)
        while True:
            work = self._with_current_shard(work, request.work.shard)
            tried_owner = self._owner_version(work)
            retries.target = self._select_target(work, retries)
            answer = self._attempt(work, request.body, retries, caller)
            if not isinstance(answer, Failure):
                return answer
            retries.record_failure(answer)
            nodes = self._view.serving_nodes(work.service)
            pause_ms = None
            if not caller.is_gone:
                pause_ms = retries.retry_delay_ms(answer, nodes)
            retries.report_failure(answer, pause_ms)
            if pause_ms is None:
                # An earlier try may have run, whatever the last one proves.
                return replace(answer, ran=retries.may_have_run)
            if pause_ms:
                self._await_owner_change(tried_owner, work, pause_ms)

    def _with_current_shard(self, work: Work, shard: int) -> Work:
        """Return a request with the shard that has its key now."""
        records = self._view.directory.shard_records(work.service)
        current = locate_text_key(work.key, shard, records)
        return work if current == work.shard else replace(work, shard=current)

    def _await_owner_change(
        self, tried_owner: OwnerVersion, work: Work, limit_ms: int
    ) -> None:
        """Wait until a shard's owner is not the one that was tried."""
        until_ms = self._clock.now_ms() + limit_ms
        while self._owner_version(work) == tried_owner:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            self._view.directory.news.wait(left_ms)

    def _owner_version(self, work: Work) -> OwnerVersion:
        entry = self._view.directory.shard(ShardName(work.service, work.shard))
        if entry is None:
            return 0, None
        return entry.version, acting_owner(entry.record, self._view)

    def _select_target(
        self, work: Work, retries: RetryPolicy
    ) -> NodeName | None:
        if work.shard < 0:
            return self._choose_node(work, retries)
        entry = self._view.directory.shard(ShardName(work.service, work.shard))
        return acting_owner(entry.record, self._view) if entry else None

    def _choose_node(self, work: Work, retries: RetryPolicy) -> NodeName | None:
        nodes = self._view.serving_nodes(work.service)
        return self._balancer.choose(
            retries.without_full(nodes) or nodes, work.priority
        )

    def _attempt(
        self, work: Work, body: bytes, retries: RetryPolicy, caller: Caller
    ) -> PendingAnswer | Failure:
        target, until_ms = retries.target, retries.until_ms
        if target is None:
            return make_failure('no-owner', f'shard {work.shard}', ran=False)
        left_ms = until_ms - self._clock.now_ms()
        if left_ms < work.deadline_ms:
            work = replace(work, deadline_ms=left_ms)
        try:
            exchange = self._open(target, work, caller)
        except CallerDisconnectedError as error:
            return make_failure('cancelled', str(error), ran=False)
        except LinkError as error:
            self._balancer.avoid(target, AVOID_MS)
            return make_failure('no-owner', str(error), ran=False)
        if work.shard < 0:
            exchange = self._balancer.track(exchange, target, work.priority)
        caller.set_gone_handler(lambda: cancel_exchange(exchange))
        answer = self._exchange_messages(
            exchange, b'' if work.is_whole else body, until_ms
        )
        if isinstance(answer, Failure):
            exchange.close()
        return answer

    def _open(
        self, target: NodeName, work: Work, caller: Caller
    ) -> OutgoingExchange:
        """Send a request to a node, unless its caller has gone by then."""
        if target != self._own:
            exchange = self._peers.open_stream(
                target, survives_silence=not work.idempotent
            )
            if caller.poll():
                exchange.close()
                raise CallerDisconnectedError(_CALLER_GONE)
            exchange.send(work)
            return exchange
        if caller.poll():
            raise CallerDisconnectedError(_CALLER_GONE)
        local_end, remote_end = local_pair()
        start(self._serve, remote_end, work)
        return local_end

    def _exchange_messages(
        self, exchange: OutgoingExchange, body: bytes, until_ms: int
    ) -> PendingAnswer | Failure:
        progress = _SendProgress(may_run=not body)
        try:
            _send_body(exchange, body, progress)
            head = self._receive_head(exchange, until_ms + _DEADLINE_GRACE_MS)
            return self._handle_head(head, exchange, until_ms)
        except LinkTimeoutError as error:
            cancel_exchange(exchange)
            return make_failure('deadline', str(error), ran=True)
        except LinkError as error:
            # A link that is only silent may still carry the work there.
            cancel_exchange(exchange)
            return make_failure('link-lost', str(error), ran=progress.may_run)

    def _receive_head(
        self, exchange: OutgoingExchange, until_ms: int
    ) -> object:
        """Return what a gate answers, after the records that it tells of."""
        while True:
            head = exchange.receive(until_ms - self._clock.now_ms())
            if not isinstance(head, ShardNotice):
                return head
            apply_shard_notice(self._view.directory, head)

    def _handle_head(
        self, head: object, exchange: OutgoingExchange, until_ms: int
    ) -> PendingAnswer | Failure:
        if isinstance(head, Answer):
            answer = PendingAnswer(head, exchange, until_ms, self._clock)
            answer.await_first_chunk()
            return answer
        if isinstance(head, Failure):
            return head
        cancel_exchange(exchange)
        return make_failure('link-lost', 'another message came', ran=True)
