"""Routing of a caller's request to the node that answers it."""

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
    WholeAnswer,
    Work,
)
from laburnumwood.protocol.peers import Peers
from laburnumwood.protocol.store_messages import ShardNotice
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
from laburnumwood.routing.retry_policy import MAX_OWNER_WAIT_MS, RetryPolicy
from laburnumwood.tasks import start

_CHUNK_SIZE = 32_768
_CALLER_GONE = 'the caller has gone'
# Extra wait in which the gate can report at the deadline how a request ended.
_DEADLINE_GRACE_MS = 60

# Version of a shard record, and the node that may act as owner.
OwnerVersion = tuple[int, NodeName | None]


def _announced_length(head: Answer) -> int | None:
    """Return the Content-Length of an answer, None if it has none."""
    length_text = ''.join(header_values(head.headers, 'content-length'))
    return int(length_text) if length_text.isdecimal() else None


class PendingAnswer:
    """An answer whose head has arrived and whose body is still received."""

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
        self._buffered: bytes | None = b''  # received, but not yet yielded

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received of a streamed body."""
        return self._length

    @property
    def left_ms(self) -> int:
        """Return the time left until the deadline of the request, in ms."""
        return self._until_ms - self._clock.now_ms()

    def await_first_chunk(self) -> None:
        """Wait for the first part of the body; raises `LinkError`.

        Nothing has been sent to the caller at that point, so that a failure
        can still be answered with a problem.
        """
        self._buffered = self._next_chunk()

    def body(self) -> Iterator[bytes]:
        """Yield the parts of the body; raises `LinkError` if it is cut."""
        while self._buffered is not None:
            if self._buffered:
                yield self._buffered
            self._buffered = None if self._is_complete else self._next_chunk()

    def _next_chunk(self) -> bytes | None:
        """Return the next part of the body, None after the last one."""
        if isinstance(self.head, WholeAnswer):
            self._is_complete = True
            return self.head.body
        if self._length == self._announced:
            # The caller has every byte: a later link error must not cut it.
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
        # The gate also aborts at the deadline; its message may arrive first.
        if self.left_ms <= 0:
            return LinkTimeoutError('the time for the answer is over')
        return LinkError('the answer was cut')

    def close(self) -> None:
        """Close the exchange, and cancel an answer that is incomplete."""
        if not self._is_complete:
            cancel_exchange(self._exchange)
        self._exchange.close()


def cancel_exchange(exchange: OutgoingExchange) -> None:
    """Cancel the request at the gate and fail all local waits for it."""
    exchange.fail(CallerDisconnectedError(_CALLER_GONE))
    start(_send_cancel, exchange)


def _send_cancel(exchange: OutgoingExchange) -> None:
    try:
        exchange.send(Cancel())
    except LinkError:
        return  # the gate detects the lost link itself


@dataclass(slots=True)
class _SendProgress:
    """Whether the gate may have started a request: it has the whole body."""

    may_run: bool


def _send_body(
    exchange: OutgoingExchange, body: bytes, progress: _SendProgress
) -> None:
    """Send a body that was too long to be sent with its request."""
    for offset in range(0, len(body), _CHUNK_SIZE):
        exchange.send(Chunk(body[offset : offset + _CHUNK_SIZE]))
    progress.may_run = True
    if body:
        exchange.send(End(len(body)))


def _with_inline_body(request: CallerRequest) -> Work:
    """Return the work of a request, with the body in it if that is short."""
    if request.body and len(request.body) <= MAX_INLINE_BODY_BYTES:
        return replace(request.work, body=request.body)
    return request.work


class Router:
    """Sends requests to the owners of their shards, with retry_policy."""

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
        """Return the answer to a request, or the failure of the last attempt.

        A request that provably did not run is retried for a limited time until
        its shard has an owner.  One that may have run is sent again only if it
        is idempotent.  Neither is retried after the deadline, and a request
        that is not retried fails at once.
        """
        work = _with_inline_body(request)
        budget = self._budgets.for_service(work.service)
        budget.record_request()
        retry_policy = RetryPolicy(
            request, budget, self._clock, self._owner_wait_ms
        )
        while True:
            work = self._with_current_shard(work, request.work.shard)
            tried_owner = self._owner_version(work)
            retry_policy.target = self._select_target(work, retry_policy)
            answer = self._attempt(work, request.body, retry_policy, caller)
            if not isinstance(answer, Failure):
                return answer
            retry_policy.record_failure(answer)
            nodes = self._view.serving_nodes(work.service)
            pause_ms = None
            if not caller.is_gone:
                pause_ms = retry_policy.retry_delay_ms(answer, nodes)
            retry_policy.report_failure(answer, pause_ms)
            if pause_ms is None:
                # An earlier attempt may have run even if the last one did not.
                return replace(answer, ran=retry_policy.may_have_run)
            if pause_ms:
                self._await_owner_change(tried_owner, work, pause_ms)

    def _with_current_shard(self, work: Work, shard: int) -> Work:
        """Return a request with the shard that its key belongs to now."""
        records = self._view.directory.shard_records(work.service)
        current = locate_text_key(work.key, shard, records)
        return work if current == work.shard else replace(work, shard=current)

    def _await_owner_change(
        self, tried_owner: OwnerVersion, work: Work, limit_ms: int
    ) -> None:
        """Wait until the owner of the shard or its record has changed."""
        until_ms = self._clock.now_ms() + limit_ms
        while self._owner_version(work) == tried_owner:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            self._view.directory.changes.wait(left_ms)

    def _owner_version(self, work: Work) -> OwnerVersion:
        entry = self._view.directory.shard(ShardName(work.service, work.shard))
        if entry is None:
            return 0, None
        return entry.version, acting_owner(entry.record, self._view)

    def _select_target(
        self, work: Work, retry_policy: RetryPolicy
    ) -> NodeName | None:
        if work.shard < 0:
            return self._choose_node(work, retry_policy)
        entry = self._view.directory.shard(ShardName(work.service, work.shard))
        return acting_owner(entry.record, self._view) if entry else None

    def _choose_node(
        self, work: Work, retry_policy: RetryPolicy
    ) -> NodeName | None:
        nodes = self._view.serving_nodes(work.service)
        return self._balancer.choose(
            retry_policy.without_full(nodes) or nodes, work.priority
        )

    def _attempt(
        self, work: Work, body: bytes, retry_policy: RetryPolicy, caller: Caller
    ) -> PendingAnswer | Failure:
        target, until_ms = retry_policy.target, retry_policy.until_ms
        if target is None:
            return make_failure('no-owner', f'shard {work.shard}', ran=False)
        left_ms = until_ms - self._clock.now_ms()
        if left_ms < work.deadline_ms:
            work = replace(work, deadline_ms=left_ms)
        notice = self._balancer.notices.latest(target)
        if notice is not None:
            work = replace(work, worker=notice)
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
        else:
            self._balancer.notices.record(target, answer.head.worker)
        return answer

    def _open(
        self, target: NodeName, work: Work, caller: Caller
    ) -> OutgoingExchange:
        """Send a request to a node and return the exchange.

        Raises `CallerDisconnectedError` if the caller has disconnected before.
        """
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
            # A link that is only silent may still deliver the request.
            cancel_exchange(exchange)
            return make_failure('link-lost', str(error), ran=progress.may_run)

    def _receive_head(
        self, exchange: OutgoingExchange, until_ms: int
    ) -> object:
        """Return the answer of a gate; apply the shard records before it."""
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
