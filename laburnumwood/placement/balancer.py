"""The part of a node in keeping load even among the nodes of a service."""

from laburnumwood.membership.view import FleetView
from laburnumwood.placement.balance import POLICIES, Move, Shares
from laburnumwood.placement.ownership import acting
from laburnumwood.records import NodeName

DEFAULT_POLICY = 'even-count'


class Balancer:
    """Decides which shards this node should hand to which others.

    It only decides: the keeper of the shards carries the moves out.
    """

    def __init__(self, service: str, own: NodeName, view: FleetView) -> None:
        self._service = service
        self._own = own
        self._view = view

    def moves(self) -> tuple[Move, ...]:
        """Return the moves that this node should make now."""
        wanted = POLICIES[DEFAULT_POLICY](self._shares())
        return tuple(move for move in wanted if move.source == self._own)

    def _shares(self) -> Shares:
        live = self._view.live_in(self._service)
        shares: dict[NodeName, list[int]] = {name: [] for name in live}
        shards = self._view.directory.shards(self._service)
        for number, entry in sorted(shards.items()):
            owner = acting(entry.record, self._view)
            if owner in shares:
                shares[owner].append(number)
        return {name: tuple(numbers) for name, numbers in shares.items()}
