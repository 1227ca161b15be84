"""Seals: proofs that leases have lapsed."""

from xxhash import xxh3_64_intdigest

from laburnumwood.records import NodeName, Seal, ShardName

# Above every epoch: the successor must replace the record before it acts.
FLOOR_UNKNOWN = 2**62


def _has_majority(seals: dict[NodeName, Seal]) -> bool:
    witness_sets = {
        each.version: each for seal in seals.values() for each in seal.sets
    }
    return any(
        _count_seals(seals, version) >= witness_set.majority
        for version, witness_set in witness_sets.items()
    )


def _count_seals(seals: dict[NodeName, Seal], version: int) -> int:
    return sum(
        any(
            each.version == version and seal.witness in each.members
            for each in seal.sets
        )
        for seal in seals.values()
    )


def _digest_of(seal: Seal) -> int:
    return xxh3_64_intdigest(f'{seal.holder} {seal.witness}'.encode())


class SealRegistry:
    """The seals that a node knows, and the lapsed leases that they prove.

    A seal is a witness's promise never to renew an incarnation's lease again.
    An incarnation is sealed for ever once a majority of one version of its
    witness set has sealed it under that version.
    """

    def __init__(self) -> None:
        self._seals: dict[NodeName, dict[NodeName, Seal]] = {}
        self._sealed: set[NodeName] = set()
        self._ended: set[NodeName] = set()
        self._digest = 0
        self._change_count = 0

    @property
    def change_count(self) -> int:
        """Return a number that differs after each change."""
        return self._change_count

    def add(self, seal: Seal) -> bool:
        """Add a seal; return whether it completes a majority."""
        known = self._seals.setdefault(seal.holder, {})
        if seal.witness in known:
            return False  # a witness seals a holder once
        known[seal.witness] = seal
        self._change_count += 1
        self._digest ^= _digest_of(seal)
        is_newly_sealed = seal.holder not in self._sealed and _has_majority(
            known
        )
        if is_newly_sealed:
            self._sealed.add(seal.holder)
        return is_newly_sealed

    def holders(self) -> tuple[NodeName, ...]:
        """Return the incarnations of which at least one seal is known."""
        return tuple(self._seals)

    def has_seal_majority(self, holder: NodeName) -> bool:
        """Return whether the known seals prove that a lease has lapsed."""
        return holder in self._sealed

    def discard_ended(self, holder: NodeName) -> None:
        """Discard the seals of an incarnation whose end is on record."""
        for seal in self._seals.pop(holder, {}).values():
            self._digest ^= _digest_of(seal)
        self._sealed.discard(holder)
        self._ended.add(holder)
        self._change_count += 1

    def mark_ended(self, holder: NodeName) -> None:
        """Record that the end of an incarnation is in the store."""
        if holder not in self._ended:
            self._ended.add(holder)
            self._change_count += 1

    def is_sealed(self, holder: NodeName) -> bool:
        """Return whether an incarnation is sealed or recorded as ended."""
        return holder in self._sealed or holder in self._ended

    def floor(self, holder: NodeName, shard: ShardName) -> int:
        """Return the highest epoch that a lapsed holder may have written.

        `FLOOR_UNKNOWN` if its seals are not known.
        """
        if holder not in self._sealed:
            return FLOOR_UNKNOWN
        seals = self._seals[holder].values()
        return max(seal.floors.get(str(shard), 0) for seal in seals)

    def seals(self) -> tuple[Seal, ...]:
        """Return all known seals."""
        known = self._seals.values()
        return tuple(seal for each in known for seal in each.values())

    def digest(self) -> int:
        """Return a hash of the set of known seals, to compare with peers."""
        return self._digest
