"""Release of a shard by a request that no longer needs it."""

from typing import Any

from laburnumwood.placement.held_shards import ShardUse
from laburnumwood.protocol.messages import Answer, Work
from laburnumwood.routing.exchange import Exchange, ExchangeWrapper


class ShardReleasingExchange(ExchangeWrapper):
    """An exchange whose request releases its shard as soon as that is safe.

    An idempotent request releases it when its answer begins, so that a long
    download delays neither a move nor a planned stop.  Any other request holds
    its shard until it ends.
    """

    def __init__(
        self, exchange: Exchange, work: Work, shard_use: ShardUse
    ) -> None:
        super().__init__(exchange)
        self._releases_early = work.idempotent
        self._shard_use = shard_use

    def send(self, message: Any) -> None:
        """Send a message; raises `LinkLostError`."""
        super().send(message)
        if self._releases_early and isinstance(message, Answer):
            self._shard_use.release()
