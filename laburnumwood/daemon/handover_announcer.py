"""Announcing the keys that a returning node's worker has released."""

from laburnumwood.events import HANDOVERS_TOLD
from laburnumwood.membership.gossip import Gossip
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.messages import Done, HandoverNotice
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.upstream.reporting_worker import ReportingWorker


class HandoverAnnouncer:
    """Sends a worker's handovers to the nodes whose workers hold its keys next.

    After a move the record of the shard contains the handover.  After the loss
    of the node's process only the next process beside the worker receives it;
    without this announcement the keys that other nodes took over would be slow
    at first.
    """

    def __init__(
        self,
        own: NodeName,
        service: str,
        reporting: ReportingWorker,
        view: FleetView,
        gossip: Gossip,
        dispatcher: Dispatcher,
    ) -> None:
        self._own = own
        self._service = service
        self._reporting = reporting
        self._view = view
        self._gossip = gossip
        dispatcher.on(HandoverNotice)(self._serve)

    def announce(self) -> None:
        """Send the released ranges to the other nodes of the service."""
        released = self._reporting.released_ranges
        receivers = set(self._view.serving_nodes(self._service)) - {self._own}
        if released and receivers:
            HANDOVERS_TOLD.report(ranges=len(released), nodes=len(receivers))
            self._gossip.notify(receivers, HandoverNotice(released))

    def _serve(
        self, _link: object, stream: Stream, message: HandoverNotice
    ) -> None:
        self._reporting.add_remote_handovers(message.released)
        stream.send(Done())
