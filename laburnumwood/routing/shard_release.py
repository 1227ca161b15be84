"""How long a request keeps its shard from moving."""

from typing import Any

from laburnumwood.placement.holdings import ShardUse
from laburnumwood.protocol.messages import Answer, Work
from laburnumwood.routing.exchange import Exchange, ExchangeWrapper


class ShardReleasingExchange(ExchangeWrapper):
    """An exchange whose request leaves its shard when that is safe.

    The answer to an idempotent request may outlast a move once it is on its
    way: a long download holds up neither a move nor a planned stop.  Any other
    request stays to its end.
    """

    def __init__(self, exchange: Exchange, work: Work, stay: ShardUse) -> None:
        super().__init__(exchange)
        self._releases_early = work.idempotent
        self._stay = stay

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        super().send(message)
        if self._releases_early and isinstance(message, Answer):
            self._stay.release()
