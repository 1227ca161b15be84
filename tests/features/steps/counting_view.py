"""A view of the fleet that counts what it is asked."""

from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName


class CountingView(FleetView):
    """Counts how often it looks whether a node is sealed."""

    def __init__(self, directory: Directory) -> None:
        super().__init__(directory, SealRegistry())
        self.looks = 0

    def is_sealed(self, name: NodeName) -> bool:
        """Tell whether an incarnation has lapsed, and count the look."""
        self.looks += 1
        return super().is_sealed(name)
