"""The components of an incarnation that measure and balance load."""

from random import Random

from laburnumwood.admission.retry_budget import RetryBudgets
from laburnumwood.balancing.request_balancer import RequestBalancer
from laburnumwood.clock import Clock
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.balancer import Balancer
from laburnumwood.placement.load_exchange import LoadExchange
from laburnumwood.placement.load_reports import LoadReports
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.records import NodeName
from laburnumwood.routing.gate import AdmissionGate
from laburnumwood.settings import DaemonSettings

_RETRY_FRACTION = 0.1  # highest ratio of retries to requests


class LoadComponents:
    """The load known to an incarnation, and the components that use it."""

    def __init__(
        self,
        settings: DaemonSettings,
        own: NodeName,
        view: FleetView,
        peers: Peers,
        clock: Clock,
    ) -> None:
        load_reports = LoadReports(clock)
        service, placement = settings.service, settings.placement
        self.meter = LoadMeter(placement.load_half_life_ms, clock)
        self.balancer = Balancer(
            service, own, view, self.meter, load_reports, placement, clock
        )
        domain = settings.failure_domain
        self.request_balancer = RequestBalancer(
            load_reports,
            domain,
            Random(str(own)),
            clock,
            lambda: view.domain_share(domain),
            settings.balancing.crossing_ms,
        )
        self.retries = RetryBudgets(_RETRY_FRACTION, clock)
        self._own = own
        self._notices = load_reports.notices
        self._exchange = LoadExchange(
            service, own, view, peers, self.meter, load_reports
        )

    def serve(self, dispatcher: Dispatcher, gate: AdmissionGate) -> None:
        """Start to report the load of the gate to peers."""

        def report_load() -> None:
            gate.report_load()
            self._notices.record(self._own, gate.known_worker_notice)

        self._exchange.serve(
            dispatcher,
            lambda: gate.running + gate.waiting,
            self.request_balancer.recent_choices,
            lambda: gate.known_worker_notice,
            report_load,
        )

    def run(self) -> None:
        """Request the load of peers periodically; does not return."""
        self._exchange.run()
