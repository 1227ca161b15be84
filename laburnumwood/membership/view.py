"""What one incarnation of a node knows of the fleet."""

from collections import Counter
from collections.abc import Iterator, Set

from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.records import Digest, NodeName, NodeRecord, Seal, ShardName

_NOBODY: Set[str] = frozenset()


class FleetView:
    """The directory together with the seals: who is there and alive."""

    def __init__(self, directory: Directory, seals: SealRegistry) -> None:
        self.directory = directory
        self.seals = seals
        self._live: dict[NodeName, NodeRecord] = {}
        self._live_in: dict[str, dict[NodeName, NodeRecord]] = {}
        self._domains: Counter[str] = Counter()
        self._live_version = (-1, -1)

    @property
    def version(self) -> tuple[int, int]:
        """Return what is another value after each change."""
        return self.directory.changes, self.seals.change_count

    @property
    def node_version(self) -> tuple[int, int]:
        """Return what is another value when other nodes may be live."""
        return self.directory.node_changes, self.seals.change_count

    def digest(self) -> Digest:
        """Return how much is known, for peers to compare."""
        return Digest(
            self.directory.config.generation,
            self.directory.revision,
            self.seals.digest(),
        )

    def live(self) -> Iterator[tuple[NodeName, NodeRecord]]:
        """Yield the nodes that are not known to have ended or to leave."""
        self._refresh()
        yield from tuple(self._live.items())

    def witnesses(
        self, avoided: Set[str] = _NOBODY
    ) -> dict[NodeName, NodeRecord]:
        """Return the live nodes by the names under which they witness.

        Nodes whose ids are in `avoided` are there only if there are no others.
        """
        known = {
            NodeName(name.node_id, record.witness_as): record
            for name, record in self.live()
        }
        wanted = {
            name: record
            for name, record in known.items()
            if name.node_id not in avoided
        }
        return wanted or known

    def has_forgotten(self, witness: NodeName) -> bool:
        """Tell whether a witness's process has been followed by another."""
        entry = self.directory.nodes.get(witness.node_id)
        if entry is None:
            return False
        return entry.record.witness_as > witness.incarnation

    def is_away(self, witness: NodeName) -> bool:
        """Tell whether a witness's process is known to have ended."""
        if self.has_forgotten(witness):
            return True
        entry = self.directory.nodes.get(witness.node_id)
        if entry is None:
            return False
        return entry.record.has_ended(entry.record.incarnation)

    def live_in(self, service: str) -> dict[NodeName, NodeRecord]:
        """Return the live nodes of a service whose workers serve."""
        self._refresh()
        return dict(self._live_in.get(service, {}))

    def share_of(self, domain: str) -> float:
        """Return what part of the live nodes is in a failure domain."""
        self._refresh()
        return self._domains[domain] / max(len(self._live), 1)

    def _refresh(self) -> None:
        if self._live_version == self.node_version:
            return
        self._live = dict(self._find_live())
        self._live_in = {}
        self._domains = Counter(
            record.failure_domain for record in self._live.values()
        )
        for name, record in self._live.items():
            if not record.serves:
                continue
            self._live_in.setdefault(record.service, {})[name] = record
        # Finding them may note ends, which changes the version itself.
        self._live_version = self.node_version

    def _find_live(self) -> Iterator[tuple[NodeName, NodeRecord]]:
        for node_id, entry in self.directory.nodes.items():
            record = entry.record
            name = NodeName(node_id, record.incarnation)
            ended = record.has_ended(record.incarnation)
            if not ended and not record.leaving and not self.is_sealed(name):
                yield name, record

    def is_sealed(self, name: NodeName) -> bool:
        """Tell whether an incarnation has lapsed for ever."""
        if self.seals.is_sealed(name):
            return True
        entry = self.directory.nodes.get(name.node_id)
        if entry is not None and entry.record.has_ended(name.incarnation):
            self.seals.mark_ended(name)
            return True
        return False

    def add_seal(self, seal: Seal) -> bool:
        """Take in a seal; tell whether its holder is sealed only by now.

        One that nobody needs any more is left out.
        """
        newly = not self._is_past(seal.holder) and self.seals.add(seal)
        if newly:
            self.directory.news.tell()
        return newly

    def forget_past(self) -> None:
        """Forget the seals that nobody needs any more."""
        for holder in self.seals.holders():
            if self._is_past(holder):
                self.seals.discard_ended(holder)

    def _is_past(self, holder: NodeName) -> bool:
        entry = self.directory.nodes.get(holder.node_id)
        if entry is None or not entry.record.has_ended(holder.incarnation):
            return False
        return not self.directory.shards_naming(holder)

    def floor(self, holder: NodeName, shard: ShardName) -> int:
        """Return the least epoch that a sealed holder may have written."""
        return self.seals.floor(holder, shard)

    def address(self, name: NodeName) -> tuple[str, int] | None:
        """Return host and peer port of a node, if it is known."""
        entry = self.directory.nodes.get(name.node_id)
        if entry is None:
            return None
        record = entry.record
        if name.incarnation not in {record.incarnation, record.witness_as}:
            return None
        return record.host, record.peer_port
