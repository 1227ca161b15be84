"""The task that asks a few peers for their load."""

from collections.abc import Callable, Iterable
from itertools import count

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import LinkError
from laburnumwood.membership.choice import rendezvous
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.load_reports import LoadReports, LoadState
from laburnumwood.placement.meter import LoadMeter
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import LoadAsk, LoadReport
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.tasks import start

_ROUND_MS = 1_000
_CALL_TIMEOUT_MS = 500
_NEIGHBOURS = 6  # peers that are asked in turn
_ASKED_PER_ROUND = 3
_ROUNDS_PER_DRAW = 60  # then other peers become neighbours


class LoadExchange:
    """Answers peers that ask for this node's load, and asks some of them.

    However large the service is, a node asks a few neighbours, which change
    from minute to minute.
    """

    def __init__(
        self,
        service: str,
        own: NodeName,
        view: FleetView,
        peers: Peers,
        meter: LoadMeter,
        book: LoadReports,
    ) -> None:
        self._service = service
        self._own = own
        self._view = view
        self._peers = peers
        self._meter = meter
        self._book = book
        self._running: Callable[[], int] = int
        self._tell: Callable[[], object] = int
        self._also: Callable[[], Iterable[NodeName]] = tuple

    def serve(
        self,
        dispatcher: Dispatcher,
        running: Callable[[], int],
        also: Callable[[], Iterable[NodeName]],
        tell: Callable[[], object] = int,
    ) -> None:
        """Answer peers from now on.

        `running` counts the requests in flight here; `also` names peers of
        other services whose load matters; `tell` is called in each round.
        """
        self._running = running
        self._tell = tell
        self._also = also
        dispatcher.on(LoadAsk)(self._answer)

    def run(self) -> None:
        """Ask peers round by round; does not return."""
        for number in count():
            eventlet.sleep(_ROUND_MS / MS_PER_SECOND)
            self._tell()
            for name in self._drawn(number):
                start(self._ask, name)

    def _drawn(self, number: int) -> set[NodeName]:
        topic = f'load {self._own} {number // _ROUNDS_PER_DRAW}'
        live = self._view.live_in(self._service)
        others = [name for name in live if name != self._own]
        neighbours = rendezvous(topic, others)[:_NEIGHBOURS]
        also = rendezvous(f'{topic} {number}', self._also())
        turn = number * _ASKED_PER_ROUND % max(len(neighbours), 1)
        in_turn = [*neighbours[turn:], *neighbours[:turn]]
        return {*in_turn[:_ASKED_PER_ROUND], *also[:_ASKED_PER_ROUND]}

    def _ask(self, name: NodeName) -> None:
        try:
            report = self._peers.call(name, LoadAsk(), _CALL_TIMEOUT_MS)
        except LinkError:
            return  # what is known of the peer fades
        if isinstance(report, LoadReport):
            self._book.record(name, LoadState(report.running, report.shards))

    def _answer(self, _link: Link, stream: Stream, _ask: LoadAsk) -> None:
        stream.send(LoadReport(self._running(), self._meter.shards()))
