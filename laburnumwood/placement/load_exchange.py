"""The periodic exchange of load reports with a few peers."""

from collections.abc import Callable, Iterable
from itertools import count

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import LinkError
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.load_reports import LoadReports, LoadState
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import LoadReport, LoadRequest
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, WorkerNotice
from laburnumwood.tasks import start

_ROUND_MS = 1_000
_CALL_TIMEOUT_MS = 500
_NEIGHBOURS = 6  # peers of the own service that are asked in rotation
_ASKED_PER_ROUND = 3
_ROUNDS_PER_DRAW = 60  # after which other peers become neighbours


def _know_nothing() -> None:
    """Return nothing, as long as no gate serves."""


class LoadExchange:
    """Reports this node's load to peers and requests that of some of them.

    However large the service is, a node asks only a few neighbours, and
    draws others every minute.
    """

    def __init__(
        self,
        service: str,
        own: NodeName,
        view: FleetView,
        peers: Peers,
        meter: LoadMeter,
        reports: LoadReports,
    ) -> None:
        self._service = service
        self._own = own
        self._view = view
        self._peers = peers
        self._meter = meter
        self._reports = reports
        self._running: Callable[[], int] = int
        self._on_round: Callable[[], object] = int
        self._other_targets: Callable[[], Iterable[NodeName]] = tuple
        self._worker_notice: Callable[[], WorkerNotice | None] = _know_nothing

    def serve(
        self,
        dispatcher: Dispatcher,
        running: Callable[[], int],
        other_targets: Callable[[], Iterable[NodeName]],
        worker_notice: Callable[[], WorkerNotice | None],
        on_round: Callable[[], object] = int,
    ) -> None:
        """Answer load requests of peers from now on.

        `running` returns the number of requests in flight here;
        `other_targets` returns the peers of other services to ask as well;
        `worker_notice` returns what is known of the worker, None if nothing;
        `on_round` is called at the start of each round.
        """
        self._running = running
        self._worker_notice = worker_notice
        self._on_round = on_round
        self._other_targets = other_targets
        dispatcher.on(LoadRequest)(self._answer)

    def run(self) -> None:
        """Ask peers round after round; does not return."""
        for number in count():
            eventlet.sleep(_ROUND_MS / MS_PER_SECOND)
            self._on_round()
            for name in self._peers_of_round(number):
                start(self._request_load, name)

    def _peers_of_round(self, number: int) -> set[NodeName]:
        topic = f'load {self._own} {number // _ROUNDS_PER_DRAW}'
        live = self._view.serving_nodes(self._service)
        others = [name for name in live if name != self._own]
        neighbours = rendezvous_order(topic, others)[:_NEIGHBOURS]
        other_targets = rendezvous_order(
            f'{topic} {number}', self._other_targets()
        )
        offset = number * _ASKED_PER_ROUND % max(len(neighbours), 1)
        rotated = [*neighbours[offset:], *neighbours[:offset]]
        return {*rotated[:_ASKED_PER_ROUND], *other_targets[:_ASKED_PER_ROUND]}

    def _request_load(self, name: NodeName) -> None:
        try:
            report = self._peers.call(name, LoadRequest(), _CALL_TIMEOUT_MS)
        except LinkError:
            return  # the last report of the peer decays
        if isinstance(report, LoadReport):
            self._reports.record(name, LoadState(report.running, report.shards))
            if report.worker is not None:
                self._reports.notices.record(name, report.worker)

    def _answer(
        self, _link: Link, stream: Stream, _request: LoadRequest
    ) -> None:
        notice = self._worker_notice()
        stream.send(LoadReport(self._running(), self._meter.shards(), notice))
