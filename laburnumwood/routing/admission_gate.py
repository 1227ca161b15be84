"""The gate: the only way to the worker beside a node."""

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager, suppress
from dataclasses import dataclass, replace
from functools import partial
from traceback import format_exc
from typing import Protocol

from laburnumwood.admission.control import ADMISSION_POLICIES
from laburnumwood.admission.limit import SlotCount
from laburnumwood.admission.tickets import Ticket, TicketResult
from laburnumwood.admission.waiting import Admitter
from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Service
from laburnumwood.errors import (
    LinkError,
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
from laburnumwood.placement.holdings import HeldShards
from laburnumwood.placement.layout import RecordsByNumber, locate_text_key
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.protocol.messages import Chunk, End, Failure, Work
from laburnumwood.protocol.outlet import OUTLET
from laburnumwood.records import ShardName, ShardRecord
from laburnumwood.routing.exchange import Exchange
from laburnumwood.routing.executor import Executor, MayAct
from laburnumwood.routing.observed_exchange import LongAnswers, ObservedExchange
from laburnumwood.routing.priorities import line_of, useful_until_ms
from laburnumwood.routing.problems import failure, overloaded
from laburnumwood.routing.run import Run
from laburnumwood.routing.shard_release import StayingExchange
from laburnumwood.settings import DaemonSettings
from laburnumwood.upstream.grants import Grants

Services = Callable[[], Mapping[str, Service]]


class Account(Protocol):
    """Counts what each owner's capacity carries."""

    def busy(self, service: str) -> AbstractContextManager[None]:
        """Count a slot as busy for a service."""


@dataclass(frozen=True, slots=True)
class WorkerState:
    """Whether the worker takes requests now, and how many at once."""

    may_start: Callable[[], bool]
    slots: SlotCount


class KnownShards(Protocol):
    """The records of shards that this node knows."""

    def shard_records(self, service: str) -> RecordsByNumber:
        """Return the records of a service's shards by their numbers."""

    def shard(self, shard: ShardName) -> VersionedRecord[ShardRecord] | None:
        """Return the record of a shard with its version."""


_GRANT_SLACK_MS = 150  # by which a grant may come later than expected
_ANSWER_MS = 60  # kept of the time left, to say that a request did not run


def read_body(exchange: Exchange, work: Work) -> bytes:
    """Return the whole body of a request, which may follow on its exchange.

    Raises `LinkError` if it is cut short.
    """
    if work.is_whole:
        return work.body
    parts: list[bytes] = []
    while True:
        message = exchange.receive(work.deadline_ms)
        if isinstance(message, Chunk):
            parts.append(message.content)
        elif isinstance(message, End):
            return _whole(b''.join(parts), message.length)
        else:
            raise LinkError('the body was given up')


def _whole(body: bytes, length: int) -> bytes:
    if len(body) != length:
        raise LinkError('the body is not whole')
    return body


def _always() -> bool:
    return True


class Gate:
    """Lets a request through to the worker while this node may act for it."""

    def __init__(
        self,
        settings: DaemonSettings,
        lease: Lease,
        held_shards: HeldShards,
        grants: Grants,
        executor: Executor,
        services: Services,
        shards: KnownShards,
        account: Account,
        meter: LoadMeter,
        worker: WorkerState,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._held_shards = held_shards
        self._grants = grants
        self._worker = worker
        self._services = services
        self._shards = shards
        self._account = account
        self._meter = meter
        self._executor = executor
        self._clock = clock
        self._admitter = Admitter(
            ADMISSION_POLICIES[settings.admission.policy](
                settings.admission, worker.slots, clock
            ),
            clock,
        )
        self._long_answers = LongAnswers(OUTLET, clock)
        self._is_closed = False

    @property
    def running(self) -> int:
        """Return how many requests run, or have answers that still leave."""
        return self._admitter.running + self._admitter.responding

    @property
    def waiting(self) -> int:
        """Return how many requests wait to be let in."""
        return self._admitter.waiting

    def hint(self, reported: int) -> None:
        """Take in how many requests the worker says it runs."""
        self._admitter.record_load_report(reported)

    def tell_load(self) -> None:
        """Log what this gate carried and sent away since it told last."""
        carried = self._admitter.counters.collect()
        if carried.is_empty:
            return
        GATE_LOAD.report(
            service=self._settings.service,
            slots=self._worker.slots(),
            busy=round(carried.busy, 2),
            waiting=self.waiting,
            let_in=carried.let_in,
            shed=carried.shed,
            shards=len(self._held_shards.tokens()),
        )

    def close(self) -> None:
        """Send back what comes from now on; what was let in goes on."""
        self._is_closed = True

    def serve(self, exchange: Exchange, work: Work) -> None:
        """Answer one request on its exchange."""
        # After a link error nobody is left to be told.
        with suppress(LinkError):
            try:
                self._serve_in_shard(exchange, work)
            except OverloadedError as shed:
                self._return(exchange, work, overloaded(shed.retry_after_ms))
            except LinkError:
                raise
            except Exception as fault:
                ANSWER_FAILED.report(
                    request=work.request_id,
                    path=work.target,
                    trace=format_exc(),
                )
                exchange.send(failure('fault', repr(fault), ran=True))

    def _tell_cancelled(self, work: Work) -> None:
        RUN_CANCELLED.report(
            request=work.request_id, service=work.service, after_ms=0
        )

    def _return(self, exchange: Exchange, work: Work, told: Failure) -> None:
        """Send a request back that did not run, and log why."""
        self._tell_returned(work, told)
        exchange.send(told)

    def _tell_returned(self, work: Work, told: Failure) -> None:
        now_ms = self._clock.now_ms()
        REQUEST_RETURNED.report(
            request=work.request_id,
            service=work.service,
            shard=work.shard,
            rank=work.priority,
            kind=told.kind,
            detail=told.detail,
            running=self._admitter.running,
            leaving=self._admitter.responding,
            waiting=self.waiting,
            lease_left_ms=self._lease.expires_at_ms() - now_ms,
            may_have_run=told.ran,
            retry_after_ms=told.retry_after_ms,
        )

    def _serve_in_shard(self, exchange: Exchange, work: Work) -> None:
        until_ms = self._clock.now_ms() + work.deadline_ms
        if self._is_closed:
            detail = f'{self._settings.node_id} is about to end'
            told = failure('not-owner', detail, ran=False)
            self._return(exchange, work, told)
            return
        if work.shard < 0:
            body = read_body(exchange, work)
            if work.idempotency_key:
                work = replace(work, idempotency_key='')
            run = Run(work, body, None, until_ms)
            self._serve_in_turn(exchange, run, _always)
            return
        shard = ShardName(work.service, work.shard)
        stay = self._held_shards.acquire(shard) if self._has_key(work) else None
        if stay is None:
            self._tell_owner(exchange, work)
            detail = f'{self._settings.node_id} does not own {shard}'
            told = failure('not-owner', detail, ran=False)
            self._return(exchange, work, told)
            return
        try:
            body = read_body(exchange, work)
            run = Run(work, body, stay.token, until_ms)
            self._serve_owned(StayingExchange(exchange, work, stay), run)
        finally:
            stay.release()

    def _serve_owned(self, exchange: Exchange, run: Run) -> None:
        shard = ShardName(run.work.service, run.work.shard)
        wait_ms = self._grants.next_grants_in_ms() + _GRANT_SLACK_MS
        if not self._may_await_grant(shard, run, wait_ms):
            detail = f'the worker has no grant for {shard}'
            told = Failure('not-owner', False, detail, wait_ms)
            self._return(exchange, run.work, told)
            return
        self._serve_in_turn(exchange, run, partial(self._may_act, shard, run))

    def _serve_in_turn(
        self, exchange: Exchange, run: Run, may_act: MayAct
    ) -> None:
        work = run.work
        service = self._services().get(work.service)
        line_ms = self._long_answers.wait_ms(work.priority)
        useful_ms = useful_until_ms(work, self._clock.now_ms(), run.until_ms)
        useful_ms -= line_ms
        line = line_of(work, service)
        ticket = Ticket(work.key, run.until_ms, useful_ms, line)
        busy = self._account.busy(work.service)
        exchange.when_message(partial(self._admitter.cancel, ticket))
        try:
            with self._admitter.hold_slot(ticket), busy:
                observed = ObservedExchange(
                    exchange,
                    ticket,
                    self._clock,
                    partial(self._free, ticket, work.priority),
                )
                self._serve_admitted(observed, run, may_act)
            if observed.told is not None:
                self._tell_returned(work, observed.told)
        except RunCancelledError:
            self._tell_cancelled(work)
        except OverloadedError as shed:
            # What does not fit on this worker is load all the same.
            self._meter.record(
                work.shard, work.key, self._admitter.mean_slot_ms
            )
            shed.retry_after_ms = max(shed.retry_after_ms, line_ms)
            raise
        if ticket.result is TicketResult.SERVED:
            busy_ms = self._clock.now_ms() - ticket.started_ms
            self._meter.record(work.shard, work.key, busy_ms)

    def _free(self, ticket: Ticket, rank: int, length: int) -> None:
        """Give the slot of a request back whose whole answer is here."""
        self._long_answers.note(rank, length)
        self._admitter.release_slot(ticket)

    def _serve_admitted(
        self, exchange: Exchange, run: Run, may_act: MayAct
    ) -> None:
        if self._worker.may_start():
            self._executor.execute(exchange, run, may_act)
            return
        detail = f'the worker of {self._settings.node_id} takes no work'
        exchange.send(failure('not-owner', detail, ran=False))

    def _has_key(self, work: Work) -> bool:
        """Tell whether a key was not split off the shard it was sent to."""
        return self._placed(work) == work.shard

    def _placed(self, work: Work) -> int:
        """Return the number of the shard that has a request's key now."""
        records = self._shards.shard_records(work.service)
        return locate_text_key(work.key, work.shard, records)

    def _tell_owner(self, exchange: Exchange, work: Work) -> None:
        """Tell a door that has missed a move or a split who owns the key."""
        for number in sorted({work.shard, self._placed(work)}):
            shard = ShardName(work.service, number)
            entry = self._shards.shard(shard)
            is_moved = number != work.shard or not self._held_shards.is_held(
                shard
            )
            if entry is not None and is_moved:
                exchange.send(shard_notice(shard, entry))

    def _may_act(self, shard: ShardName, run: Run) -> bool:
        guard_ms = self._settings.lease.guard_ms
        left_ms = self._lease.expires_at_ms() - self._clock.now_ms()
        return left_ms > guard_ms and self._grants.covers(shard, run.token)

    def _may_await_grant(
        self, shard: ShardName, run: Run, wait_ms: int
    ) -> bool:
        """Wait for a grant that comes early enough; tell whether it did.

        There must be time left to run the request after it.
        """
        if self._grants.covers(shard, run.token):
            return True
        left_ms = run.until_ms - self._clock.now_ms() - _ANSWER_MS
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
