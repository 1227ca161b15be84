"""One attempt to have a request answered by a node."""

from dataclasses import dataclass

from laburnumwood.errors import LinkTimeoutError, MessageNotSentError
from laburnumwood.protocol.messages import Chunk, End, Work
from laburnumwood.records import NodeName
from laburnumwood.resources.bodies import Body
from laburnumwood.routing.caller import Caller
from laburnumwood.routing.exchange import OutgoingExchange
from laburnumwood.routing.pending_answer import cancel_exchange

_CHUNK_SIZE = 32_768  # bytes


@dataclass(slots=True)
class Attempt:
    """A request that is sent to a node, and how far that has come.

    `body` is the one to send after the work, b'' if the work includes it.
    `may_run` is whether the node may have begun to run the request: it does so
    only with the whole body.
    """

    work: Work
    body: Body
    target: NodeName
    until_ms: int
    caller: Caller
    may_run: bool = False

    def send_work(self, exchange: OutgoingExchange, work: Work) -> None:
        """Send the work; raises a `LinkError`.

        The exchange is closed then if the time was over.
        """
        try:
            self._send_part(exchange, work, is_last=work.is_whole)
        except LinkTimeoutError as error:
            if not isinstance(error, MessageNotSentError):
                cancel_exchange(exchange)
            exchange.close()
            raise

    def send_body(self, exchange: OutgoingExchange) -> None:
        """Send the body in parts; raises a `LinkError`."""
        size = len(self.body)
        for offset in range(0, size, _CHUNK_SIZE):
            exchange.send(Chunk(self.body[offset : offset + _CHUNK_SIZE]))
        self._send_part(exchange, End(size), is_last=True)

    def _send_part(
        self, exchange: OutgoingExchange, part: Work | End, *, is_last: bool
    ) -> None:
        self.may_run = is_last
        try:
            exchange.send(part)
        except MessageNotSentError:
            self.may_run = False
            raise
