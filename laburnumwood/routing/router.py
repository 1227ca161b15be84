"""Routing of a caller's request to the node that answers it."""

from dataclasses import replace
from random import Random

from eventlet import Timeout

from laburnumwood.admission.policies import make_caller_times
from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.admission.throttle import AdaptiveThrottle
from laburnumwood.balancing.avoidance import AVOID_MS
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import Clock
from laburnumwood.errors import (
    CallerDisconnectedError,
    LinkError,
    LinkTimeoutError,
    StreamNotReceivedError,
)
from laburnumwood.events import REQUEST_THROTTLED
from laburnumwood.membership.gossip import apply_shard_notice
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.layout import locate_text_key
from laburnumwood.placement.ownership import acting_owner
from laburnumwood.protocol.messages import Answer, Failure, Work
from laburnumwood.protocol.peers import Peers
from laburnumwood.protocol.store_messages import ShardNotice
from laburnumwood.protocol.time_limit import time_limit
from laburnumwood.records import NodeName, ShardName
from laburnumwood.resources.bodies import Body, release_body, retain_body
from laburnumwood.routing.attempt import Attempt
from laburnumwood.routing.caller import Caller
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.exchange import (
    MAX_INLINE_BODY_BYTES,
    Exchange,
    OutgoingExchange,
    ServeHandler,
    local_pair,
)
from laburnumwood.routing.pending_answer import (
    CALLER_GONE,
    PendingAnswer,
    cancel_exchange,
)
from laburnumwood.routing.problems import make_failure
from laburnumwood.routing.retry_policy import MAX_OWNER_WAIT_MS, RetryPolicy
from laburnumwood.routing.tracked_exchange import TrackedExchange
from laburnumwood.settings import AdmissionSettings
from laburnumwood.tasks import start

# Extra wait in which the gate can report at the deadline how a request ended.
_DEADLINE_GRACE_MS = 60
_NO_TIME_MS = 1  # zero would mean that there is no objective
_THROTTLED = 'its gate rejects most requests like it'
_DEADLINE_PASSED = 'the deadline passed before it was sent'

DEFAULT_ADMISSION = AdmissionSettings()
# Version of a shard record, and the node that may act as owner.
OwnerVersion = tuple[int, NodeName | None]


def _with_inline_body(request: CallerRequest) -> Work:
    """Return the work of a request, with the body in it if that is short."""
    if request.body and len(request.body) <= MAX_INLINE_BODY_BYTES:
        return replace(request.work, body=request.body)
    return request.work


def _kind_of(work: Work) -> tuple[str, int, int]:
    """Return service, rank and objective in ms: what sets a request's time."""
    return work.service, work.priority, work.objective_ms


class Router:
    """Sends requests to the owners of their shards, with retries."""

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
        admission: AdmissionSettings = DEFAULT_ADMISSION,
    ) -> None:
        self._owner_wait_ms = max_owner_wait_ms
        self._own = own_name
        self._view = view
        self._peers = peers
        self._serve = serve
        self._balancer = balancer
        self._budgets = budgets
        self._clock = clock
        self._caller_times = make_caller_times(admission, clock)
        self._throttle = AdaptiveThrottle(Random(f'throttle {own_name}'), clock)

    def send(
        self, request: CallerRequest, caller: Caller
    ) -> PendingAnswer | Failure:
        """Return the answer to a request, or the failure of the last attempt.

        A request that provably did not run is retried for a limited time until
        its shard has an owner.  One that may have run is sent again only if it
        is idempotent.  Neither is retried after the deadline, and a request
        that is not retried fails at once.  While most requests of its kind are
        rejected for the load of their gate, some are not sent to it at all.
        """
        request = self._with_used_time(request)
        target = request.work.service, request.work.shard, request.work.priority
        retry_after_ms = self._throttle.rejects(target)
        if retry_after_ms is not None:
            return self._reject(request, retry_after_ms)
        answer = self._send(request, caller)
        if not isinstance(answer, Failure) or answer.ran:
            self._throttle.record_admitted(target)
        elif answer.kind == 'overloaded':
            self._throttle.record_rejected(target, answer.retry_after_ms)
        return answer

    def _with_used_time(self, request: CallerRequest) -> CallerRequest:
        """Return a request less the time of its caller's earlier tries."""
        work, times = request.work, self._caller_times
        if times is None or not work.objective_ms:
            return request
        used_ms = times.used_ms(request.route, request.caller_left_ms)
        if not used_ms:
            return request
        left_ms = max(_NO_TIME_MS, work.objective_ms - used_ms)
        return replace(request, work=replace(work, objective_ms=left_ms))

    def _reject(self, request: CallerRequest, retry_after_ms: int) -> Failure:
        work = request.work
        REQUEST_THROTTLED.report(
            request=work.request_id,
            service=work.service,
            shard=work.shard,
            rank=work.priority,
            retry_after_ms=retry_after_ms,
        )
        return Failure('overloaded', False, _THROTTLED, retry_after_ms)

    def _send(
        self, request: CallerRequest, caller: Caller
    ) -> PendingAnswer | Failure:
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
            is_evacuated = self._view.is_service_evacuated(work.service)
            if not caller.is_gone and not is_evacuated:
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
            retry_policy.without_full(nodes) or nodes,
            work.priority,
            _kind_of(work),
        )

    def _attempt(
        self, work: Work, body: Body, retry_policy: RetryPolicy, caller: Caller
    ) -> PendingAnswer | Failure:
        target, until_ms = retry_policy.target, retry_policy.until_ms
        if target is None:
            return make_failure('no-owner', f'shard {work.shard}', ran=False)
        if self._left_ms(until_ms) <= 0:
            return make_failure('deadline', _DEADLINE_PASSED, ran=False)
        notice = self._balancer.notices.latest(target)
        if notice is not None:
            work = replace(work, worker=notice)
        if target == self._own:
            work = replace(work, body=body)  # no copy, as on the way to others
        unsent = b'' if work.is_whole else body
        attempt = Attempt(work, unsent, target, until_ms, caller)
        try:
            exchange = self._open(attempt, retry_policy)
        except LinkError as error:
            return self._open_failure(error, attempt)
        if work.shard < 0:
            exchange = self._track(exchange, work, target)
        caller.set_gone_handler(lambda: cancel_exchange(exchange))
        answer = self._exchange_messages(exchange, attempt)
        if isinstance(answer, Failure):
            exchange.close()
        else:
            self._balancer.notices.record(target, answer.head.worker)
        return answer

    def _track(
        self, exchange: OutgoingExchange, work: Work, target: NodeName
    ) -> OutgoingExchange:
        """Return an exchange from which the balancer learns."""
        record = self._view.serving_nodes(work.service).get(target)
        slots = record.slots if record else 1
        begun = self._balancer.begin(
            target, slots, work.priority, _kind_of(work)
        )
        return TrackedExchange(exchange, begun, self._balancer)

    def _open_failure(self, error: LinkError, attempt: Attempt) -> Failure:
        if isinstance(error, CallerDisconnectedError):
            return make_failure('cancelled', str(error), ran=False)
        self._balancer.avoid(attempt.target, AVOID_MS)
        if isinstance(error, LinkTimeoutError):
            return make_failure('deadline', str(error), ran=attempt.may_run)
        return make_failure('no-owner', str(error), ran=False)

    def _left_ms(self, until_ms: int) -> int:
        return until_ms - self._clock.now_ms()

    def _until_deadline(self, attempt: Attempt) -> Timeout:
        """Return a context in which waiting ends at the deadline."""
        return time_limit(self._left_ms(attempt.until_ms), _DEADLINE_PASSED)

    def _open(
        self, attempt: Attempt, retry_policy: RetryPolicy
    ) -> OutgoingExchange:
        """Send a request to a node and return the exchange.

        Raises `CallerDisconnectedError` if the caller has disconnected before,
        and `LinkTimeoutError` at the deadline.
        """
        if attempt.target != self._own:
            with self._until_deadline(attempt):
                return self._open_remote(attempt, retry_policy)
        if attempt.caller.poll():
            raise CallerDisconnectedError(CALLER_GONE)
        local_end, remote_end = local_pair()
        attempt.may_run = attempt.work.is_whole
        retain_body(attempt.work.body)
        work = self._work_with_time_left(attempt)
        start(self._serve_locally, remote_end, work)
        return local_end

    def _serve_locally(self, exchange: Exchange, work: Work) -> None:
        """Serve a request with its body, which is released afterwards."""
        try:
            self._serve(exchange, work)
        finally:
            release_body(work.body)

    def _open_remote(
        self, attempt: Attempt, retry_policy: RetryPolicy
    ) -> OutgoingExchange:
        is_idempotent = attempt.work.idempotent
        exchange = self._peers.open_stream(
            attempt.target,
            # Without time for another attempt, an answer may still come.
            survives_silence=lambda: (
                not (is_idempotent and retry_policy.has_time)
            ),
        )
        if attempt.caller.poll():
            exchange.close()
            raise CallerDisconnectedError(CALLER_GONE)
        attempt.send_work(exchange, self._work_with_time_left(attempt))
        return exchange

    def _work_with_time_left(self, attempt: Attempt) -> Work:
        """Return the work of an attempt with the times that are left now."""
        work = attempt.work
        left_ms = self._left_ms(attempt.until_ms)
        objective_ms = work.objective_ms
        if objective_ms:
            passed_ms = work.deadline_ms - left_ms
            objective_ms = max(_NO_TIME_MS, objective_ms - passed_ms)
        return replace(work, deadline_ms=left_ms, objective_ms=objective_ms)

    def _exchange_messages(
        self, exchange: OutgoingExchange, attempt: Attempt
    ) -> PendingAnswer | Failure:
        until_ms = attempt.until_ms
        try:
            if attempt.body:
                with self._until_deadline(attempt):
                    attempt.send_body(exchange)
            head = self._receive_head(exchange, until_ms + _DEADLINE_GRACE_MS)
            return self._handle_head(head, exchange, until_ms)
        except LinkTimeoutError as error:
            cancel_exchange(exchange)
            return make_failure('deadline', str(error), ran=attempt.may_run)
        except StreamNotReceivedError as error:
            return make_failure('link-lost', str(error), ran=False)
        except LinkError as error:
            # A link that is only silent may still deliver the request.
            cancel_exchange(exchange)
            return make_failure('link-lost', str(error), ran=attempt.may_run)

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
