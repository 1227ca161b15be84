"""What the nodes of a service tell each other of suspected requests."""

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
from laburnumwood.routing.quarantine import PROVED_DEATHS, Quarantine
from laburnumwood.tasks import start_joinable

_CALL_TIMEOUT_MS = 300


class Suspicions:
    """The quarantine of one node, shared with the others of its service."""

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
        dispatcher.on(Suspicion)(self._serve)

    def blame(self, service: str, fingerprint: str) -> None:
        """Suspect a request under which the worker died.

        Returns once the others know it or can't be reached, so that the
        caller's next try does not run before they do.
        """
        deaths = self.quarantine.blame(fingerprint)
        barred = deaths >= PROVED_DEATHS
        event = REQUEST_BARRED if barred else REQUEST_SUSPECTED
        event.report(service=service, fingerprint=fingerprint, deaths=deaths)
        for call in self._tell(service, Suspicion(fingerprint, deaths)):
            call.wait()

    def clear(self, service: str, fingerprint: str) -> None:
        """Trust a suspected request again because it was answered."""
        if self.quarantine.clear(fingerprint):
            self._tell(service, Suspicion(fingerprint, 0))

    def _tell(
        self, service: str, news: Suspicion
    ) -> list[eventlet.greenthread.GreenThread]:
        others = set(self._view.serving_nodes(service)).difference((self._own,))
        return [start_joinable(self._tell_one, name, news) for name in others]

    def _tell_one(self, name: NodeName, news: Suspicion) -> None:
        try:
            self._peers.call(name, news, _CALL_TIMEOUT_MS)
        except LinkError:
            return  # it is told when the request crashes a worker there

    def _serve(self, _link: Link, stream: Stream, news: Suspicion) -> None:
        self.quarantine.learn(news.fingerprint, news.deaths)
        stream.send(Done())
