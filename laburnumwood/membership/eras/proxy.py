"""Confirming an era for nodes that can't reach the store themselves.

Nobody acts on records of an earlier era until all nodes that may hold a lease
have confirmed the new one.  A live node that the store turns away can't, so
others ask it what it remembers, write that back and confirm the era for it.
"""

from collections.abc import Iterator

from laburnumwood.clock import Clock
from laburnumwood.events import STORE_ERA_CONFIRMED
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.cached_store import CachedStore
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.eras.work import EraWork
from laburnumwood.membership.node_records import confirm_era
from laburnumwood.membership.sent_objects import to_sent
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.store_messages import Memory
from laburnumwood.records import NodeName, StoredObject
from laburnumwood.store.objects import NODE_PREFIX, SHARD_PREFIX
from laburnumwood.store.versions import make_version

# After the time in which a node that reaches the store confirms an era itself.
# The chosen node asks first, then any other.
_CHOSEN_DELAY_MS = 2_000
_ANY_DELAY_MS = 4_000
_INTERVAL_MS = 800  # between two requests to a node
_PREFIXES = (NODE_PREFIX, SHARD_PREFIX)


def _is_record(stored: StoredObject) -> bool:
    return stored.name.startswith(_PREFIXES) and stored.value is not None


class EraProxy(EraWork):
    """Decides for which nodes to confirm an era, and does so.

    It also tells what this node remembers.
    """

    def __init__(
        self,
        lease: Lease,
        witness: Witness,
        view: FleetView,
        store: CachedStore,
        clock: Clock,
    ) -> None:
        super().__init__(lease, witness, view, store, clock)
        self._asked_at_ms: dict[NodeName, int] = {}

    def memory(self, era: int) -> Memory:
        """Return what this node remembers when the store has begun an era."""
        directory = self._view.directory
        # From now on this node sends no write with a condition before it.
        self._store.learn_era(era)
        directory.learn_era(era)
        known = directory.objects_newer_than(0, directory.config.generation)
        return Memory(
            tuple(to_sent(each) for each in known if _is_record(each)),
            self._lease.active_sets,
            self._witness.renewed_holders(),
        )

    def nodes_to_ask(self) -> tuple[NodeName, ...]:
        """Return the nodes to ask now for what they remember.

        Call it regularly.
        """
        if self._note_era():
            self._asked_at_ms.clear()
        if self._elapsed_ms < _CHOSEN_DELAY_MS:
            return ()
        now_ms = self._clock.now_ms()
        due = tuple(name for name in self._unconfirmed() if self._is_due(name))
        self._asked_at_ms.update(dict.fromkeys(due, now_ms))
        return due

    def confirm(self, name: NodeName, era: int, memory: Memory) -> bool:
        """Write back what a node remembers and confirm an era for it.

        Return whether that is done; if not, ask the node again later.  Raises
        `PlatformError` if the store does not answer.
        """
        for sent in memory.objects:
            version = make_version(sent.era, sent.version)
            found = StoredObject(sent.name, sent.value, version)
            self._view.directory.apply(found, str(name))
        is_whole = self._records.write_back(era, lambda _forgotten: True)
        if not is_whole or not self._records.are_recorded(memory.renewed):
            return False
        confirm_era(self._store, name, era, memory.sets)
        STORE_ERA_CONFIRMED.report(node=name, era=era, by=self._own)
        return True

    def _unconfirmed(self) -> Iterator[NodeName]:
        """Yield the nodes that may act and have not confirmed the newest era.

        Yields none while this node has not, as it may not reach the store.
        """
        own_record = self._view.directory.node(self._own)
        if own_record is None or own_record.confirmed_era < self._era:
            return
        for node_id, entry in self._view.directory.nodes.items():
            name = NodeName(node_id, entry.record.incarnation)
            is_unconfirmed = entry.record.confirmed_era < self._era
            can_tell = entry.record.shares_memory and not (
                self._view.is_sealed(name)
            )
            if is_unconfirmed and can_tell:
                yield name

    def _is_due(self, name: NodeName) -> bool:
        now_ms = self._clock.now_ms()
        asked_at_ms = self._asked_at_ms.get(name)
        if asked_at_ms is not None and now_ms - asked_at_ms < _INTERVAL_MS:
            return False
        return self._elapsed_ms >= _ANY_DELAY_MS or self._is_chosen_for(name)

    def _is_chosen_for(self, name: NodeName) -> bool:
        live = [each for each, _ in self._view.live_nodes() if each != name]
        order = rendezvous_order(f'confirm {name}', live)
        return order[:1] == [self._own]
