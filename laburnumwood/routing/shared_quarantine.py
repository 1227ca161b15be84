"""Quarantine that the nodes of a service share."""

import eventlet

from laburnumwood.clock import Clock
from laburnumwood.errors import LinkError
from laburnumwood.events import REQUEST_BARRED, REQUEST_SUSPECTED
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Done, Suspicion, Suspicions
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.routing.quarantine import DEATHS_TO_BAR, Quarantine
from laburnumwood.tasks import start_joinable

_CALL_TIMEOUT_MS = 300
_ASKED_NODES = 3  # by a node that joins
_MAX_TOLD = 1_000  # suspects, to a node that joins


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

    def learn(self, service: str) -> None:
        """Learn what other nodes of a service suspect; may block shortly.

        An earlier process of this node may have known it.
        """
        others = rendezvous_order(
            f'suspicions {self._own}', self._others(service)
        )
        asked = [
            start_joinable(self._ask, name) for name in others[:_ASKED_NODES]
        ]
        for call in asked:
            call.wait()

    def clear(self, service: str, fingerprint: str) -> None:
        """Clear a suspected request that was answered, also on other nodes."""
        if self.quarantine.clear(fingerprint):
            self._broadcast(service, Suspicion(fingerprint, 0))

    def _broadcast(
        self, service: str, suspicion: Suspicion
    ) -> list[eventlet.greenthread.GreenThread]:
        others = self._others(service)
        return [start_joinable(self._send, name, suspicion) for name in others]

    def _others(self, service: str) -> set[NodeName]:
        return set(self._view.serving_nodes(service)).difference((self._own,))

    def _ask(self, name: NodeName) -> None:
        try:
            reply = self._peers.call(name, Suspicion('', 0), _CALL_TIMEOUT_MS)
        except LinkError:
            return  # the others that are asked know the same
        if isinstance(reply, Suspicions):
            for suspect in reply.suspects:
                self.quarantine.adopt(suspect)

    def _send(self, name: NodeName, suspicion: Suspicion) -> None:
        try:
            self._peers.call(name, suspicion, _CALL_TIMEOUT_MS)
        except LinkError:
            return  # that node learns of it when its own worker crashes

    def _handle_suspicion(
        self, _link: Link, stream: Stream, suspicion: Suspicion
    ) -> None:
        if not suspicion.fingerprint:
            stream.send(Suspicions(self.quarantine.suspects(_MAX_TOLD)))
            return
        self.quarantine.update(suspicion.fingerprint, suspicion.deaths)
        stream.send(Done())
