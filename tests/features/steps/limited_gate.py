"""Admission to a worker that takes few requests at times."""

from functools import partial

from laburnumwood.admission.control import AdaptivePolicy
from laburnumwood.admission.tickets import Ticket, TicketState, TrafficClass
from laburnumwood.settings import AdmissionSettings, ReportSettings
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import WorkerReport
from laburnumwood.upstream.worker_signals import AnswerSignals
from tests.features.steps.fake_clock import FakeClock

SLOTS = 18
WORK_MS = 90
OBJECTIVE_MS = 300
DEADLINE_MS = 2_000


class LimitedGate:
    """Admission in front of a worker that names a limit in its answers."""

    def __init__(self, *, has_reported: bool = True) -> None:
        self.clock = FakeClock()
        self.worker = ReportingWorker(ReportSettings(), self.clock)
        self.presence = self.worker.presence
        self.signals = self.worker.signals
        self.policy = AdaptivePolicy(
            AdmissionSettings(),
            lambda: SLOTS,
            self.clock,
            self.signals.start_limiter,
        )
        self.limit: float | None = None  # in the worker's answers
        self.changed_ms: int | None = None  # first answer with that limit
        self.tickets: list[tuple[int, Ticket]] = []  # by time of arrival
        self._running: set[Ticket] = set()
        if has_reported:
            self.report(1)

    def report(self, number: int) -> None:
        """Let the instance of the worker with a number report."""
        self.worker.handle_report(
            WorkerReport('worker', 's', number, 1, SLOTS, False)
        )

    def offer(self, traffic_class: TrafficClass) -> None:
        """Let a request arrive."""
        now_ms = self.clock.now_ms()
        ticket = Ticket(
            f'key-{len(self.tickets)}',
            now_ms + DEADLINE_MS,
            now_ms + OBJECTIVE_MS,
            traffic_class,
        )
        ticket.on_settled = partial(self._send, ticket)
        self.tickets.append((now_ms, ticket))
        self.policy.offer(ticket)

    def pass_ms(self) -> None:
        """Let a millisecond pass."""
        self.clock.pass_ms(1)
        now_ms = self.clock.now_ms()
        if self.policy.next_start_in_ms == 0:
            self.policy.dispatch()
        for ticket in tuple(self._running):
            if ticket.state is not TicketState.RUNNING:
                self._running.discard(ticket)
            elif ticket.started_ms + WORK_MS <= now_ms:
                self._answer(ticket)

    def _send(self, ticket: Ticket) -> None:
        if ticket.state is not TicketState.RUNNING:
            return
        self._running.add(ticket)
        assert self.signals.warm_up.limiter.may_send()
        self.signals.warm_up.limiter.record_send()

    def _answer(self, ticket: Ticket) -> None:
        now_ms = self.clock.now_ms()
        if self.changed_ms is None:
            self.changed_ms = now_ms
        ticket.answer(now_ms)
        self.signals.record(AnswerSignals(self.limit), ticket.started_ms)
        self.policy.release(ticket)

    def starts(self, since_ms: int) -> list[int]:
        """Return the times at which requests started."""
        times = [ticket.started_ms for _, ticket in self.tickets]
        return sorted(each for each in times if each >= since_ms)
