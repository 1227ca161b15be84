"""Two services under load, one of which calls the other, without a network.

Real admission control on a simulated clock: requests to the workers of a
service with keys make calls to a service without keys while they keep their
slots, and downloads from that service compete with the calls.  Callers that
are refused come back as they are told.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from laburnumwood.admission.control import AdmissionPolicy
from laburnumwood.admission.policies import (
    ADMISSION_POLICIES,
    LEAST_COST,
    make_caller_times,
)
from laburnumwood.admission.rate_limiter import RateLimiter
from laburnumwood.admission.tickets import Ticket, TicketResult, TicketState
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.protocol.messages import Work
from laburnumwood.routing.priorities import classify, useful_until_ms
from laburnumwood.settings import AdmissionSettings

KEYED = 'keyed'
OPEN = 'open'
_HOP_MS = 3  # between a door and a gate
_SPEEDS = (0.5, 1, 1, 1.5)  # of the workers of a service, in turn
_MAX_GATES = 3  # to which a request without a key is offered
_LONGEST_DELAY = 1 / 3  # of the time left: callers come back no later
_LOAD_AGE_MS = 500  # of what a door knows of the load of gates
_LONGEST_WORK = 6  # times the mean
_KEYS = 60_000


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    An answer keeps its slot for `sending_ms` after its head.  A share of the
    requests make `calls` of another kind, one after the other.
    """

    name: str
    service: str
    rank: int
    per_second: float
    work_ms: float
    objective_ms: int
    timeout_ms: int
    patience_ms: int
    retries: int = 2
    is_safe: bool = True
    spread: float = 0.5
    sending_ms: float = 0
    calls: int = 0
    calling_share: float = 0
    call: 'Kind | None' = None
    hot_share: float = 0


@dataclass(frozen=True, slots=True)
class Fleet:
    """The number of gates of each service, and the slots of each gate."""

    keyed: int
    open: int
    slots: int


class _SimulatedClock(Clock):
    def __init__(self) -> None:
        self.time_ms: float = 0

    def now_ms(self) -> int:
        return int(self.time_ms)


@dataclass(slots=True, eq=False)
class _Gate:
    policy: AdmissionPolicy
    speed: float
    known_load: int = 0


@dataclass(slots=True, eq=False)
class _Request:
    """A request; `until_ms` is when its caller leaves.

    `used_ms` is the time that the door takes earlier tries to have used.
    """

    kind: Kind
    key: int
    arrived_ms: float
    until_ms: float
    returns_left: int
    on_end: Callable[[bool], object] = bool
    tried: list[_Gate] = field(default_factory=list)
    used_ms: int = 0


@dataclass(slots=True, eq=False)
class _Run:
    """A request that has a slot, and the calls that it has still to make."""

    request: _Request
    ticket: Ticket
    gate: _Gate
    step_ms: float = 0
    calls_left: int = 0


class CallingLoad:
    """Plays a load and counts what became of the requests of each kind.

    `outcomes` counts by kind and `in time`, `late`, `refused` or `failed`.
    """

    def __init__(
        self,
        fleet: Fleet,
        kinds: tuple[Kind, ...],
        seed: int,
        settings: AdmissionSettings | None = None,
    ) -> None:
        self._settings = settings or AdmissionSettings()
        self._clock = _SimulatedClock()
        self._caller_times = make_caller_times(self._settings, self._clock)
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self._kinds = kinds
        self._calls = {each.call for each in kinds}
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._order = count()
        self._gates = {
            KEYED: self._make_gates(fleet.keyed, fleet.slots),
            OPEN: self._make_gates(fleet.open, fleet.slots),
        }
        # Keys are shared out by speed, as balancing does in time.
        self._owners = [
            gate
            for gate in self._gates[KEYED]
            for _ in range(round(gate.speed / min(_SPEEDS)))
        ]

    def run(self, seconds: float) -> None:
        """Play the load; requests that have not ended then do not count."""
        for kind in self._kinds:
            self._arrive_later(kind)
        self._note_loads()
        until_ms = seconds * MS_PER_SECOND
        while self._events and self._events[0][0] <= until_ms:
            self._clock.time_ms, _, event = heappop(self._events)
            event()

    def share(self, kind: str, *wanted: str) -> float:
        """Return the share of a kind's requests that ended so."""
        counts = {
            how: number
            for (name, how), number in self.outcomes.items()
            if name == kind
        }
        found = sum(counts.get(how, 0) for how in wanted)
        return found / max(1, sum(counts.values()))

    def _make_gates(self, number: int, slots: int) -> list[_Gate]:
        return [
            _Gate(self._make_policy(slots), _SPEEDS[place % len(_SPEEDS)])
            for place in range(number)
        ]

    def _make_policy(self, slots: int) -> AdmissionPolicy:
        return ADMISSION_POLICIES[self._settings.policy](
            self._settings,
            lambda: slots,
            self._clock,
            RateLimiter(self._clock),
        )

    def _after(self, delay_ms: float, event: Callable[[], object]) -> None:
        at_ms = self._clock.time_ms + delay_ms
        heappush(self._events, (at_ms, next(self._order), event))

    def _note_loads(self) -> None:
        for gate in self._gates[OPEN]:
            gate.known_load = gate.policy.running + gate.policy.waiting
        self._after(_LOAD_AGE_MS, self._note_loads)

    def _arrive_later(self, kind: Kind) -> None:
        delay_ms = self._random.expovariate(kind.per_second) * MS_PER_SECOND
        self._after(delay_ms, partial(self._arrive, kind))

    def _arrive(self, kind: Kind) -> None:
        self._arrive_later(kind)
        key = self._random.randrange(1, _KEYS)
        if self._random.random() < kind.hot_share:
            key = 0
        now_ms = self._clock.time_ms
        request = _Request(
            kind,
            key,
            now_ms,
            now_ms + kind.patience_ms,
            kind.retries,
        )
        self._send(request)

    def _send(self, request: _Request) -> None:
        request.tried = []
        request.used_ms = self._estimate_used_ms(request)
        timeout_ms = self._clock.time_ms + request.kind.timeout_ms
        until_ms = min(request.until_ms, timeout_ms)
        self._after(_HOP_MS, partial(self._offer, request, until_ms))

    def _choose(self, request: _Request) -> _Gate:
        if request.kind.service == KEYED:
            return self._owners[request.key % len(self._owners)]
        gates = self._gates[OPEN]
        left = [each for each in gates if each not in request.tried] or gates
        drawn = self._random.sample(left, min(2, len(left)))
        return min(drawn, key=lambda each: each.known_load)

    def _offer(self, request: _Request, until_ms: float) -> None:
        kind, now_ms = request.kind, self._clock.now_ms()
        gate = self._choose(request)
        request.tried.append(gate)
        left_ms = max(0, int(until_ms) - now_ms)
        work = _work(kind, left_ms)
        is_by_cost = self._settings.policy == LEAST_COST
        if is_by_cost:
            work = self._with_cost(work, request)
        ticket = Ticket(
            str(request.key) if kind.service == KEYED else '',
            now_ms + left_ms,
            useful_until_ms(work, now_ms, now_ms + left_ms),
            classify(work, None),
            route=kind.name if is_by_cost else '',
            is_call=work.is_call,
        )
        ticket.on_settled = partial(self._settle, request, ticket, gate)
        gate.policy.offer(ticket)
        if ticket.state is TicketState.WAITING:
            self._after(left_ms, partial(_give_up, gate, ticket))

    def _with_cost(self, work: Work, request: _Request) -> Work:
        """Return a work with what doors add for admission by cost."""
        if request.kind in self._calls:
            return replace(work, objective_ms=0)
        left_ms = max(1, work.objective_ms - request.used_ms)
        return replace(work, objective_ms=left_ms)

    def _estimate_used_ms(self, request: _Request) -> int:
        if self._caller_times is None or request.kind in self._calls:
            return 0
        left_ms = int(request.until_ms - self._clock.time_ms)
        return self._caller_times.used_ms(request.kind.name, left_ms)

    def _settle(self, request: _Request, ticket: Ticket, gate: _Gate) -> None:
        if ticket.state is TicketState.RUNNING:
            run = _Run(request, ticket, gate)
            self._after(0, partial(self._begin, run))
        else:
            self._after(_HOP_MS, partial(self._refuse, request, ticket))

    def _begin(self, run: _Run) -> None:
        kind = run.request.kind
        drawn = self._random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        work_ms = kind.work_ms * min(drawn, _LONGEST_WORK) / run.gate.speed
        if self._random.random() < kind.calling_share:
            run.calls_left = kind.calls
        run.step_ms = work_ms / (run.calls_left + 1)
        self._after(run.step_ms, partial(self._advance, run, True))

    def _advance(self, run: _Run, has_been_served: bool) -> None:
        """Make the next call of a run, or end it."""
        is_over = self._clock.time_ms > run.ticket.deadline_ms
        call = run.request.kind.call
        if not has_been_served or is_over:
            self._finish(run, served=False)
        elif run.calls_left and call is not None:
            run.calls_left -= 1
            now_ms = self._clock.time_ms
            until_ms = min(run.ticket.deadline_ms, now_ms + call.patience_ms)
            on_end = partial(self._continue, run)
            self._send(_Request(call, 0, now_ms, until_ms, 0, on_end))
        else:
            self._finish(run, served=True)

    def _continue(self, run: _Run, has_been_served: bool) -> None:
        self._after(run.step_ms, partial(self._advance, run, has_been_served))

    def _finish(self, run: _Run, *, served: bool) -> None:
        if self._clock.time_ms > run.ticket.deadline_ms:
            run.ticket.result = TicketResult.UNANSWERED
        else:
            run.ticket.answer(self._clock.now_ms())
        sending_ms = run.request.kind.sending_ms if served else 0
        self._after(sending_ms, partial(run.gate.policy.release, run.ticket))
        self._after(_HOP_MS, partial(self._end, run.request, served=served))

    def _end(self, request: _Request, *, served: bool) -> None:
        kind = request.kind
        if not served and kind.is_safe and self._comes_back(request, 0):
            return
        now_ms = self._clock.time_ms
        served = served and now_ms <= request.until_ms
        took_ms = now_ms - request.arrived_ms
        in_time = 'in time' if took_ms <= kind.objective_ms else 'late'
        self.outcomes[kind.name, in_time if served else 'failed'] += 1
        request.on_end(served)

    def _refuse(self, request: _Request, ticket: Ticket) -> None:
        may_go_elsewhere = (
            request.kind.service == OPEN and len(request.tried) < _MAX_GATES
        )
        if may_go_elsewhere and self._clock.time_ms < ticket.deadline_ms:
            until_ms = ticket.deadline_ms
            self._after(_HOP_MS, partial(self._offer, request, until_ms))
        elif not self._comes_back(request, ticket.retry_after_ms):
            self.outcomes[request.kind.name, 'refused'] += 1
            request.on_end(False)

    def _comes_back(self, request: _Request, delay_ms: float) -> bool:
        """Send a request again later; return whether its caller does so."""
        left_ms = request.until_ms - self._clock.time_ms
        if not request.returns_left or left_ms <= 0:
            return False
        request.returns_left -= 1
        delay_ms = min(delay_ms, left_ms * _LONGEST_DELAY)
        self._after(delay_ms, partial(self._send, request))
        return True


def _work(kind: Kind, left_ms: int) -> Work:
    return Work(
        request_id='',
        service=kind.service,
        shard=0,
        key='',
        method='GET',
        target='/',
        headers=(),
        body_length=0,
        deadline_ms=left_ms,
        idempotent=kind.is_safe,
        idempotency_key='',
        priority=kind.rank,
        objective_ms=kind.objective_ms,
    )


def _give_up(gate: _Gate, ticket: Ticket) -> None:
    if ticket.state is TicketState.WAITING:
        gate.policy.release(ticket)
