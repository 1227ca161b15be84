"""One attempt to have a request answered by a node."""

from dataclasses import dataclass

from laburnumwood.errors import LinkTimeoutError, MessageNotSentError
from laburnumwood.protocol.messages import Chunk, End, Work
from laburnumwood.records import NodeName
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
    body: bytes
    target: NodeName
    until_ms: int
    caller: Caller
    may_run: bool = False

    def send_work(self, exchange: OutgoingExchange, work: Work) -> None:
        """Send the work; raises a `LinkError`.

        The exchange is closed then if the time was over.
        """
        self.may_run = work.is_whole
        try:
            exchange.send(work)
        except MessageNotSentError:
            self.may_run = False
            exchange.close()
            raise
        except LinkTimeoutError:
            cancel_exchange(exchange)
            exchange.close()
            raise

    def send_body(self, exchange: OutgoingExchange) -> None:
        """Send the body in parts; raises a `LinkError`."""
        size = len(self.body)
        for offset in range(0, size, _CHUNK_SIZE):
            exchange.send(Chunk(self.body[offset : offset + _CHUNK_SIZE]))
        self.may_run = True
        exchange.send(End(size))
