"""Asking other nodes what they remember of the store, and telling them."""

from collections.abc import Callable
from contextlib import suppress

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import LinkError, PlatformError
from laburnumwood.membership.eras.proxy import EraProxy
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.store_messages import Memory, MemoryRequest
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName
from laburnumwood.tasks import start

_REVIEW_MS = 200
_CALL_TIMEOUT_MS = 1_000


class MemoryExchange:
    """Confirms eras of the store for nodes that can't reach it.

    `era` returns the newest era that this node knows.
    """

    def __init__(
        self,
        proxy: EraProxy,
        era: Callable[[], int],
        peers: Peers,
        dispatcher: Dispatcher,
    ) -> None:
        self._proxy = proxy
        self._era = era
        self._peers = peers
        dispatcher.on(MemoryRequest)(self._serve)

    def run(self) -> None:
        """Ask the nodes that are due, again and again; does not return."""
        while True:
            eventlet.sleep(_REVIEW_MS / MS_PER_SECOND)
            self.review()

    def review(self) -> None:
        """Ask the nodes that are due, each in a task of its own."""
        for name in self._proxy.nodes_to_ask():
            start(self._confirm_for, name, self._era())

    def _confirm_for(self, name: NodeName, era: int) -> None:
        try:
            answer = self._peers.call(
                name, MemoryRequest(era), _CALL_TIMEOUT_MS
            )
        except LinkError:
            return  # it is asked again
        if isinstance(answer, Memory):
            with suppress(PlatformError):  # it is asked again
                self._proxy.confirm(name, era, answer)

    def _serve(
        self, _link: Link, stream: Stream, request: MemoryRequest
    ) -> None:
        stream.send(self._proxy.memory(request.era))
