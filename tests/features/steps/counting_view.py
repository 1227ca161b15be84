"""A view of the fleet that counts its checks for lapsed nodes."""

from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName


class CountingView(FleetView):
    """Counts the calls of `is_sealed`."""

    def __init__(self, directory: Directory) -> None:
        super().__init__(directory, SealRegistry())
        self.check_count = 0

    def is_sealed(self, name: NodeName) -> bool:
        """Count the check; return whether an incarnation has lapsed."""
        self.check_count += 1
        return super().is_sealed(name)
