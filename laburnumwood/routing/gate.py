"""The admission gate: every request to the worker of a node passes it."""

from collections.abc import Callable
from contextlib import AbstractContextManager, suppress
from dataclasses import dataclass, replace
from functools import partial
from traceback import format_exc
from typing import Protocol

from laburnumwood.admission.admitter import Admitter
from laburnumwood.admission.limit import SlotCount
from laburnumwood.admission.policies import ADMISSION_POLICIES, LEAST_COST
from laburnumwood.admission.rate_limiter import StartLimiter
from laburnumwood.admission.tickets import Ticket, TicketResult
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Declarations
from laburnumwood.errors import (
    BodyMemoryError,
    BodyTimeoutError,
    LinkError,
    NetworkBusyError,
    OverloadedError,
    RunCancelledError,
)
from laburnumwood.events import (
    ANSWER_FAILED,
    GATE_LOAD,
    REQUEST_RETURNED,
    RUN_CANCELLED,
)
from laburnumwood.leases.lease import Lease
from laburnumwood.membership.directory import VersionedRecord
from laburnumwood.membership.gossip import shard_notice
from laburnumwood.metrics import LIMITED_REQUESTS
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.layout import RecordsByNumber, locate_text_key
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.protocol.messages import Failure, Work
from laburnumwood.protocol.send_queue import SEND_QUEUE
from laburnumwood.records import ShardName, ShardRecord, WorkerNotice
from laburnumwood.resources.body_memory import BODY_MEMORY, BodyReservation
from laburnumwood.routing.exchange import Exchange, receive_body
from laburnumwood.routing.execution import ExecutionCheck, Executor
from laburnumwood.routing.observed import (
    LongAnswerDelays,
    ObservedExchange,
)
from laburnumwood.routing.priorities import classify, useful_until_ms
from laburnumwood.routing.problems import make_failure, make_overload_failure
from laburnumwood.routing.routes import CurrentRoutes
from laburnumwood.routing.run import Run
from laburnumwood.routing.shard_release import ShardReleasingExchange
from laburnumwood.settings import DaemonSettings
from laburnumwood.upstream.grants import Grants

DeclarationsProvider = Callable[[], Declarations]


def _never() -> bool:
    return False


class BusySlotCounter(Protocol):
    """Counts the busy slots of each capacity owner."""

    def occupy_slot(self, service: str) -> AbstractContextManager[None]:
        """Count one slot as busy for a service while the context is open."""


@dataclass(frozen=True, slots=True)
class WorkerState:
    """The state of the worker as the gate of its node needs it.

    `rate_limiter` is shared by all gates of the process, also those of its
    earlier incarnations.  Given the mean time for which a request keeps a slot
    in ms, `notice` returns what the worker says about itself, None if nothing
    special, and `known_notice` the same, None if it was not heard yet.
    `record_notice` is called with what other nodes have heard of it.
    `instance` returns the id and the start time of the current instance of the
    worker, and `is_evacuated` whether its failure domain is evacuated.
    `may_owners_serve` returns whether the requests of its shards are served all
    the same, until these have moved.
    """

    accepts_requests: Callable[[], bool]
    slots: SlotCount
    rate_limiter: StartLimiter
    notice: Callable[[float], WorkerNotice | None]
    known_notice: Callable[[float], WorkerNotice | None]
    record_notice: Callable[[WorkerNotice], None]
    instance: Callable[[], tuple[str, int]]
    is_evacuated: Callable[[], bool] = _never
    may_owners_serve: Callable[[], bool] = _never


class ShardDirectory(Protocol):
    """Access to the shard records that are known to this node."""

    def shard_records(self, service: str) -> RecordsByNumber:
        """Return the shard records of a service by shard number."""

    def shard(self, shard: ShardName) -> VersionedRecord[ShardRecord] | None:
        """Return the record of a shard with its version, None if unknown."""


_GRANT_DELAY_TOLERANCE_MS = 150  # how late a grant may arrive
# Part of the remaining time that is reserved to answer that a request did not
# run.
_REFUSAL_RESERVE_MS = 60
# The part of its time for which an answer that is late already may wait for the
# network connection.
_NETWORK_PATIENCE = 0.25


def _not_run_failure(
    reason: OverloadedError | BodyTimeoutError | BodyMemoryError,
) -> Failure:
    if isinstance(reason, OverloadedError):
        return make_overload_failure(reason)
    if isinstance(reason, BodyMemoryError):
        return make_failure('overloaded', str(reason), ran=False)
    return make_failure('deadline', str(reason), ran=False)


def _always_allowed() -> bool:
    return True


class AdmissionGate:
    """Admits requests to the worker while this node owns their shards.

    A request waits for a slot, and for a grant of its shard if one is due
    soon.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        lease: Lease,
        held_shards: HeldShards,
        grants: Grants,
        executor: Executor,
        get_declarations: DeclarationsProvider,
        shards: ShardDirectory,
        capacity_account: BusySlotCounter,
        meter: LoadMeter,
        worker: WorkerState,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._held_shards = held_shards
        self._grants = grants
        self._worker = worker
        self._get_declarations = get_declarations
        self._routes = CurrentRoutes(get_declarations)
        self._is_by_cost = settings.admission.policy == LEAST_COST
        self._directory = shards
        self._capacity_account = capacity_account
        self._meter = meter
        self._executor = executor
        self._clock = clock
        self._admitter = Admitter(
            ADMISSION_POLICIES[settings.admission.policy](
                settings.admission, worker.slots, clock, worker.rate_limiter
            ),
            clock,
        )
        self._answer_delays = LongAnswerDelays(SEND_QUEUE, clock)
        self._is_closed = False
        self._instance = worker.instance()

    @property
    def running(self) -> int:
        """Return the number of requests that run or are still answered."""
        return self._admitter.running + self._admitter.responding

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return self._admitter.waiting

    @property
    def known_worker_notice(self) -> WorkerNotice | None:
        """Return what is known of the worker, None if it was not heard yet."""
        return self._worker.known_notice(self._admitter.mean_slot_ms)

    def set_reported_running(self, reported: int) -> None:
        """Set how many requests the worker reports to run."""
        self._admitter.record_load_report(reported)

    def _note_instance(self) -> None:
        instance = self._worker.instance()
        if instance != self._instance:
            self._instance = instance
            self._admitter.begin_instance()

    def report_load(self) -> None:
        """Log the requests admitted and shed since the last report."""
        counts = self._admitter.counters.collect()
        if counts.is_empty:
            return
        GATE_LOAD.report(
            service=self._settings.service,
            slots=self._worker.slots(),
            busy=round(counts.busy, 2),
            waiting=self.waiting,
            let_in=counts.admitted,
            shed=counts.shed,
            shards=len(self._held_shards.tokens()),
            classes={
                name: each.summary() for name, each in counts.classes.items()
            },
        )

    def close(self) -> None:
        """Return all further requests; those already admitted continue."""
        self._is_closed = True

    def serve(self, exchange: Exchange, work: Work) -> None:
        """Answer one request on its exchange."""
        self._serve(exchange, work, work.body_length)

    def serve_local(self, exchange: Exchange, work: Work) -> None:
        """Answer a request, for whose body this node has reserved memory."""
        self._serve(exchange, work, 0)

    def _serve(self, exchange: Exchange, work: Work, body_size: int) -> None:
        # After a link error there is no peer left to answer.
        with suppress(LinkError):
            try:
                with BODY_MEMORY.reserve(body_size) as reservation:
                    self._serve_in_shard(exchange, work, reservation)
            except (
                OverloadedError,
                BodyTimeoutError,
                BodyMemoryError,
            ) as reason:
                self._return_request(exchange, work, _not_run_failure(reason))
            except LinkError:
                raise
            except Exception as error:
                ANSWER_FAILED.report(
                    request=work.request_id,
                    path=work.target,
                    trace=format_exc(),
                )
                exchange.send(make_failure('fault', repr(error), ran=True))

    def _return_request(
        self, exchange: Exchange, work: Work, failure: Failure
    ) -> None:
        """Answer that a request did not run, and log the reason."""
        self._report_returned(work, failure)
        exchange.send(failure)

    def _report_returned(self, work: Work, failure: Failure) -> None:
        now_ms = self._clock.now_ms()
        REQUEST_RETURNED.report(
            request=work.request_id,
            service=work.service,
            shard=work.shard,
            rank=work.priority,
            kind=failure.kind,
            detail=failure.detail,
            running=self._admitter.running,
            leaving=self._admitter.responding,
            waiting=self.waiting,
            lease_left_ms=self._lease.expires_at_ms() - now_ms,
            may_have_run=failure.ran,
            retry_after_ms=failure.retry_after_ms,
        )

    def _serve_in_shard(
        self, exchange: Exchange, work: Work, reservation: BodyReservation
    ) -> None:
        until_ms = self._clock.now_ms() + work.deadline_ms
        if work.worker is not None:
            self._worker.record_notice(work.worker)
        if self._is_closed or self._is_evacuated(work):
            detail = f'{self._settings.node_id} accepts no requests'
            failure = make_failure('not-owner', detail, ran=False)
            self._return_request(exchange, work, failure)
            return
        if work.shard < 0:
            body = receive_body(
                exchange, work, until_ms, self._clock, reservation
            )
            if work.idempotency_key:
                work = replace(work, idempotency_key='')
            run = Run(work, body, None, until_ms)
            self._serve_when_admitted(exchange, run, _always_allowed)
            return
        shard = ShardName(work.service, work.shard)
        shard_use = (
            self._held_shards.acquire(shard)
            if self._is_key_in_shard(work)
            else None
        )
        if shard_use is None:
            self._send_shard_records(exchange, work)
            detail = f'{self._settings.node_id} does not own {shard}'
            failure = make_failure('not-owner', detail, ran=False)
            self._return_request(exchange, work, failure)
            return
        try:
            body = receive_body(
                exchange, work, until_ms, self._clock, reservation
            )
            run = Run(work, body, shard_use.token, until_ms)
            self._serve_owned(
                ShardReleasingExchange(exchange, work, shard_use), run
            )
        finally:
            shard_use.release()

    def _serve_owned(self, exchange: Exchange, run: Run) -> None:
        shard = ShardName(run.work.service, run.work.shard)
        wait_ms = self._grants.next_grants_in_ms() + _GRANT_DELAY_TOLERANCE_MS
        if not self._obtain_grant(shard, run, wait_ms):
            detail = f'the worker has no grant for {shard}'
            failure = Failure('not-owner', False, detail, wait_ms)
            self._return_request(exchange, run.work, failure)
            return
        self._serve_when_admitted(
            exchange, run, partial(self._may_execute, shard, run)
        )

    def _serve_when_admitted(
        self, exchange: Exchange, run: Run, may_execute: ExecutionCheck
    ) -> None:
        work = run.work
        answer_wait_ms = self._answer_delays.expected_wait_ms(work.priority)
        ticket = self._make_ticket(run, answer_wait_ms)
        if answer_wait_ms and self._leaves_too_late(ticket, answer_wait_ms):
            raise NetworkBusyError(answer_wait_ms)
        self._note_instance()
        busy = self._capacity_account.occupy_slot(work.service)
        exchange.set_message_handler(partial(self._admitter.cancel, ticket))
        try:
            with self._admitter.hold_slot(ticket), busy:
                on_read = partial(self._release_slot, ticket, work.priority)
                observed = ObservedExchange(
                    exchange, ticket, self._clock, on_read, self._worker_notice
                )
                run = replace(run, on_answer_read=on_read)
                self._serve_admitted(observed, run, may_execute)
                observed.note_end()
            if observed.failure is not None:
                self._report_returned(work, observed.failure)
        except RunCancelledError:
            RUN_CANCELLED.report(
                request=work.request_id, service=work.service, after_ms=0
            )
        except OverloadedError as overload:
            if overload.limit_per_second is not None:
                LIMITED_REQUESTS.record(1, {'service': work.service})
            # A shed request counts as load, too: it shows missing capacity.
            self._meter.record(
                work.shard, work.key, self._admitter.mean_slot_ms
            )
            overload.retry_after_ms = max(
                overload.retry_after_ms, answer_wait_ms
            )
            raise
        if ticket.result is TicketResult.SERVED:
            busy_ms = self._clock.now_ms() - ticket.started_ms
            self._meter.record(work.shard, work.key, busy_ms)

    def _leaves_too_late(self, ticket: Ticket, wait_ms: int) -> bool:
        """Return whether an answer would leave this machine too late.

        Its network connection is what is short then, whatever slots are free.
        """
        now_ms = self._clock.now_ms()
        patience_ms = round((ticket.deadline_ms - now_ms) * _NETWORK_PATIENCE)
        return now_ms > ticket.useful_until_ms and wait_ms > patience_ms

    def _make_ticket(self, run: Run, answer_wait_ms: int) -> Ticket:
        """Return a ticket for a run whose answer will wait to be sent."""
        work = run.work
        useful_ms = useful_until_ms(work, self._clock.now_ms(), run.until_ms)
        services = self._get_declarations().services
        ticket = Ticket(
            work.key,
            run.until_ms,
            useful_ms - answer_wait_ms,
            classify(work, services.get(work.service)),
        )
        if self._is_by_cost:
            ticket.is_call = work.is_call
            ticket.route = self._routes.name_of(work)
        return ticket

    def _worker_notice(self) -> WorkerNotice | None:
        return self._worker.notice(self._admitter.mean_slot_ms)

    def _release_slot(self, ticket: Ticket, rank: int, length: int) -> None:
        """Release the slot of a request whose answer has been read whole."""
        self._answer_delays.record(rank, length)
        self._admitter.release_slot(ticket)

    def _serve_admitted(
        self, exchange: Exchange, run: Run, may_execute: ExecutionCheck
    ) -> None:
        is_evacuated = self._is_evacuated(run.work)
        if self._worker.accepts_requests() and not is_evacuated:
            self._executor.execute(exchange, run, may_execute)
            return
        detail = f'the worker of {self._settings.node_id} takes no work'
        exchange.send(make_failure('not-owner', detail, ran=False))

    def _is_evacuated(self, work: Work) -> bool:
        """Return whether an evacuation keeps a request from the worker."""
        if not self._worker.is_evacuated():
            return False
        return work.shard < 0 or not self._worker.may_owners_serve()

    def _is_key_in_shard(self, work: Work) -> bool:
        """Return whether the key still belongs to the requested shard.

        A split may have moved it to another shard.
        """
        return self._current_shard(work) == work.shard

    def _current_shard(self, work: Work) -> int:
        """Return the number of the shard that the key belongs to now."""
        records = self._directory.shard_records(work.service)
        return locate_text_key(work.key, work.shard, records)

    def _send_shard_records(self, exchange: Exchange, work: Work) -> None:
        """Send an ingress the shard records that it has missed.

        They show a move or a split, and with it the owner of the key.
        """
        for number in sorted({work.shard, self._current_shard(work)}):
            shard = ShardName(work.service, number)
            entry = self._directory.shard(shard)
            is_moved = number != work.shard or not self._held_shards.is_held(
                shard
            )
            if entry is not None and is_moved:
                exchange.send(shard_notice(shard, entry))

    def _may_execute(self, shard: ShardName, run: Run) -> bool:
        guard_ms = self._settings.lease.guard_ms
        left_ms = self._lease.expires_at_ms() - self._clock.now_ms()
        return left_ms > guard_ms and self._grants.covers(shard, run.token)

    def _obtain_grant(self, shard: ShardName, run: Run, wait_ms: int) -> bool:
        """Wait for a grant of the shard; return whether there is one.

        Returns False at once if the time left after the expected grant is too
        short to run the request.
        """
        if self._grants.covers(shard, run.token):
            return True
        left_ms = run.until_ms - self._clock.now_ms() - _REFUSAL_RESERVE_MS
        if wait_ms + self._admitter.mean_slot_ms > left_ms:
            return False
        return self._wait_for_grant(shard, run.token, wait_ms)

    def _wait_for_grant(
        self, shard: ShardName, token: int | None, patience_ms: int
    ) -> bool:
        until_ms = self._clock.now_ms() + patience_ms
        while not self._grants.covers(shard, token):
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0 or self._held_shards.is_closed(shard):
                return False
            self._grants.changes.wait(left_ms)
        return True
