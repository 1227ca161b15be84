"""What a returning node tells others of the keys that its worker let go."""

from laburnumwood.events import HANDOVERS_TOLD
from laburnumwood.membership.gossip import Gossip
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.messages import Done, Left
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.upstream.reporting import ReportingWorker


class HandoverAnnouncer:
    """Passes what a worker left on to the next holders of its keys.

    After a move the record of the shard carries it; after the loss of the
    node's process only the next process beside the worker hears of it, and
    the keys that other nodes took would be slow at first.
    """

    def __init__(
        self,
        own: NodeName,
        service: str,
        reporting: ReportingWorker,
        view: FleetView,
        spreader: Gossip,
        dispatcher: Dispatcher,
    ) -> None:
        self._own = own
        self._service = service
        self._reporting = reporting
        self._view = view
        self._spreader = spreader
        dispatcher.on(Left)(self._serve)

    def announce(self) -> None:
        """Tell the other nodes of the service what the worker let go."""
        left = self._reporting.left
        told = set(self._view.serving_nodes(self._service)) - {self._own}
        if left and told:
            HANDOVERS_TOLD.report(ranges=len(left), nodes=len(told))
            self._spreader.notify(told, Left(left))

    def _serve(self, _link: object, stream: Stream, told: Left) -> None:
        self._reporting.take_left(told.released)
        stream.send(Done())
