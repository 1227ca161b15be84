"""Quarantine that the nodes of a service share."""

import eventlet

from laburnumwood.clock import Clock
from laburnumwood.errors import LinkError
from laburnumwood.events import REQUEST_BARRED, REQUEST_SUSPECTED
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Done, Suspicion
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.routing.quarantine import DEATHS_TO_BAR, Quarantine
from laburnumwood.tasks import start_joinable

_CALL_TIMEOUT_MS = 300


class SharedQuarantine:
    """The quarantine of one node, replicated to the nodes of the service."""

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        peers: Peers,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        self._own = own
        self._view = view
        self._peers = peers
        self.quarantine = Quarantine(clock)
        dispatcher.on(Suspicion)(self._handle_suspicion)

    def record_death(
        self, service: str, fingerprint: str, *, ran_alone: bool
    ) -> None:
        """Record a worker death under a request and notify the other nodes.

        Returns once they have acknowledged or can't be reached, so that a
        retry of the caller does not run before they know of it.
        """
        deaths = self.quarantine.record_death(fingerprint, ran_alone=ran_alone)
        is_barred = deaths >= DEATHS_TO_BAR
        event = REQUEST_BARRED if is_barred else REQUEST_SUSPECTED
        event.report(
            service=service,
            fingerprint=fingerprint,
            deaths=deaths,
            ran_alone=ran_alone,
        )
        for call in self._broadcast(service, Suspicion(fingerprint, deaths)):
            call.wait()

    def clear(self, service: str, fingerprint: str) -> None:
        """Clear a suspected request that was answered, also on other nodes."""
        if self.quarantine.clear(fingerprint):
            self._broadcast(service, Suspicion(fingerprint, 0))

    def _broadcast(
        self, service: str, suspicion: Suspicion
    ) -> list[eventlet.greenthread.GreenThread]:
        others = set(self._view.serving_nodes(service)).difference((self._own,))
        return [start_joinable(self._send, name, suspicion) for name in others]

    def _send(self, name: NodeName, suspicion: Suspicion) -> None:
        try:
            self._peers.call(name, suspicion, _CALL_TIMEOUT_MS)
        except LinkError:
            return  # that node learns of it when its own worker crashes

    def _handle_suspicion(
        self, _link: Link, stream: Stream, suspicion: Suspicion
    ) -> None:
        self.quarantine.update(suspicion.fingerprint, suspicion.deaths)
        stream.send(Done())
