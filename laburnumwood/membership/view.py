"""The state of the fleet as known to one incarnation of a node."""

from collections import Counter
from collections.abc import Iterator, Set
from dataclasses import replace

from laburnumwood.clock import Clock
from laburnumwood.evacuation.register import EvacuationRegister
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.records import Digest, NodeName, NodeRecord, Seal, ShardName
from laburnumwood.store.versions import era_of, revision_of

_NO_NODE_IDS: Set[str] = frozenset()


def _with_share_of_slots(record: NodeRecord, share: float) -> NodeRecord:
    if share == 1:
        return record
    return replace(record, slots=max(1, round(record.slots * share)))


class FleetView:
    """Combines directory and seals to tell which nodes exist and are live."""

    def __init__(
        self,
        directory: Directory,
        seals: SealRegistry,
        evacuations: EvacuationRegister | None = None,
    ) -> None:
        self.directory = directory
        self.seals = seals
        self.evacuations = evacuations or EvacuationRegister(Clock())
        self._live: dict[NodeName, NodeRecord] = {}
        self._serving: dict[str, dict[NodeName, NodeRecord]] = {}
        self._domain_counts: Counter[str] = Counter()
        self._refreshed_at = (-1, -1, -1)

    @property
    def version(self) -> tuple[int, int, int]:
        """Return a value that differs after each change of what is known."""
        return (
            self.directory.change_count,
            self.seals.change_count,
            self.evacuations.change_count,
        )

    @property
    def node_version(self) -> tuple[int, int, int]:
        """Return a value that differs whenever other nodes may serve."""
        return (
            self.directory.node_change_count,
            self.seals.change_count,
            self.evacuations.change_count,
        )

    def digest(self) -> Digest:
        """Return a summary of what this node knows, for peers to compare."""
        known_version = self.directory.revision
        return Digest(
            self.directory.config.generation,
            revision_of(known_version),
            self.seals.digest(),
            era_of(known_version),
            self.evacuations.notice(),
        )

    def live_nodes(self) -> Iterator[tuple[NodeName, NodeRecord]]:
        """Yield the nodes not known to have ended, lapsed or be leaving."""
        self._refresh()
        yield from tuple(self._live.items())

    def witnesses(
        self, avoided: Set[str] = _NO_NODE_IDS
    ) -> dict[NodeName, NodeRecord]:
        """Return the live nodes by the names under which they witness.

        Nodes whose ids are in `avoided` are left out if there are others.
        """
        known = {
            NodeName(name.node_id, record.witness_as): record
            for name, record in self.live_nodes()
        }
        preferred = {
            name: record
            for name, record in known.items()
            if name.node_id not in avoided
        }
        return preferred or known

    def has_restarted(self, witness: NodeName) -> bool:
        """Return whether a witness's process was followed by another.

        What the witness promised is lost then.
        """
        entry = self.directory.nodes.get(witness.node_id)
        if entry is None:
            return False
        return entry.record.witness_as > witness.incarnation

    def has_process_ended(self, witness: NodeName) -> bool:
        """Return whether a witness's process is known to have ended."""
        if self.has_restarted(witness):
            return True
        entry = self.directory.nodes.get(witness.node_id)
        if entry is None:
            return False
        return entry.record.has_ended(entry.record.incarnation)

    def serving_nodes(self, service: str) -> dict[NodeName, NodeRecord]:
        """Return the live nodes of a service whose workers accept work.

        Those in evacuated failure domains are left out.  Where a domain was
        taken back just now, the records name a part of the slots only.
        """
        self._refresh()
        return dict(self._serving.get(service, {}))

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether workers of a failure domain must not get requests."""
        return self.evacuations.is_evacuated(failure_domain)

    def is_service_evacuated(self, service: str) -> bool:
        """Return whether all live nodes of a service are in evacuated domains.

        Its requests can't be served until a domain is taken back.
        """
        if not self.evacuations.domains or self.serving_nodes(service):
            return False
        domains = {
            record.failure_domain
            for _, record in self.live_nodes()
            if record.service == service
        }
        return bool(domains) and domains <= self.evacuations.domains

    def domain_share(self, domain: str) -> float:
        """Return the fraction of live nodes that are in a failure domain."""
        self._refresh()
        return self._domain_counts[domain] / max(len(self._live), 1)

    def _refresh(self) -> None:
        if self._refreshed_at == self.node_version:
            return
        self._live = dict(self._find_live())
        self._serving = {}
        self._domain_counts = Counter(
            record.failure_domain for record in self._live.values()
        )
        for name, record in self._live.items():
            share = self.evacuations.usable_share(record.failure_domain)
            if record.serves and share:
                serving = self._serving.setdefault(record.service, {})
                serving[name] = _with_share_of_slots(record, share)
        # Finding live nodes may detect ends, which changes the version itself.
        self._refreshed_at = self.node_version

    def _find_live(self) -> Iterator[tuple[NodeName, NodeRecord]]:
        for node_id, entry in self.directory.nodes.items():
            record = entry.record
            name = NodeName(node_id, record.incarnation)
            ended = record.has_ended(record.incarnation)
            if not ended and not record.leaving and not self.is_sealed(name):
                yield name, record

    def is_sealed(self, name: NodeName) -> bool:
        """Return whether an incarnation can never hold its lease again.

        A majority of its witnesses has sealed it, or its end is recorded.
        """
        if self.seals.is_sealed(name):
            return True
        entry = self.directory.nodes.get(name.node_id)
        if entry is not None and entry.record.has_ended(name.incarnation):
            self.seals.mark_ended(name)
            return True
        return False

    def add_seal(self, seal: Seal) -> bool:
        """Add a seal; return whether its holder is sealed by this one.

        An obsolete seal, of a holder whose end is recorded and which no shard
        lists any more, is ignored.
        """
        newly_sealed = not self._is_obsolete(seal.holder) and self.seals.add(
            seal
        )
        if newly_sealed:
            self.directory.changes.notify_all()
        return newly_sealed

    def evict_obsolete_seals(self) -> None:
        """Remove the seals that no shard needs any more."""
        for holder in self.seals.holders():
            if self._is_obsolete(holder):
                self.seals.discard_ended(holder)

    def _is_obsolete(self, holder: NodeName) -> bool:
        entry = self.directory.nodes.get(holder.node_id)
        if entry is None or not entry.record.has_ended(holder.incarnation):
            return False
        return not self.directory.shards_listing(holder)

    def floor(self, holder: NodeName, shard: ShardName) -> int:
        """Return the least epoch that a sealed holder may have written."""
        return self.seals.floor(holder, shard)

    def address(self, name: NodeName) -> tuple[str, int] | None:
        """Return host and peer port of a node, None if they are not known."""
        entry = self.directory.nodes.get(name.node_id)
        if entry is None:
            return None
        record = entry.record
        if name.incarnation not in {record.incarnation, record.witness_as}:
            return None
        return record.host, record.peer_port
