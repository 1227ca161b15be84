"""The parts of an incarnation that measure and even out load."""

from random import Random

from laburnumwood.admission.retries import RetryBudgets
from laburnumwood.clock import Clock
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.balancer import Balancer
from laburnumwood.placement.load_exchange import LoadExchange
from laburnumwood.placement.loads import LoadReports
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.records import NodeName
from laburnumwood.routing.gate import Gate
from laburnumwood.routing.spread import Spread
from laburnumwood.settings import DaemonSettings

_RETRY_SHARE = 0.1  # of the requests


class LoadParts:
    """What an incarnation knows of load, and those that use it."""

    def __init__(
        self,
        settings: DaemonSettings,
        own: NodeName,
        view: FleetView,
        peers: Peers,
        clock: Clock,
    ) -> None:
        book = LoadReports(clock)
        service, placement = settings.service, settings.placement
        self.meter = LoadMeter(placement.load_half_life_ms, clock)
        self.balancer = Balancer(
            service, own, view, self.meter, book, placement, clock
        )
        domain = settings.failure_domain
        self.spread = Spread(
            book,
            domain,
            Random(str(own)),
            clock,
            lambda: view.share_of(domain),
        )
        self.retries = RetryBudgets(_RETRY_SHARE, clock)
        self._exchange = LoadExchange(
            service, own, view, peers, self.meter, book
        )

    def serve(self, dispatcher: Dispatcher, gate: Gate) -> None:
        """Tell peers from now on what passes the gate."""
        self._exchange.serve(
            dispatcher,
            lambda: gate.running + gate.waiting,
            self.spread.targets,
            gate.tell_load,
        )

    def run(self) -> None:
        """Ask peers for their load; does not return."""
        self._exchange.run()
