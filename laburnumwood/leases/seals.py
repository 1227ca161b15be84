"""What is known of lapsed leases."""

from xxhash import xxh3_64_intdigest

from laburnumwood.records import NodeName, Seal, ShardName

FLOOR_UNKNOWN = 2**62  # above every epoch: a write must be won


def _proves(seals: dict[NodeName, Seal]) -> bool:
    versions = {
        each.version: each for seal in seals.values() for each in seal.sets
    }
    return any(
        _count(seals, version) >= chosen.majority
        for version, chosen in versions.items()
    )


def _count(seals: dict[NodeName, Seal], version: int) -> int:
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
    """A growing set of seals, and what they prove.

    An incarnation is sealed for ever once a majority of one version of its
    witnesses has sealed it under that version.
    """

    def __init__(self) -> None:
        self._seals: dict[NodeName, dict[NodeName, Seal]] = {}
        self._sealed: set[NodeName] = set()
        self._ended: set[NodeName] = set()
        self._digest = 0
        self._changes = 0

    @property
    def change_count(self) -> int:
        """Return a number that is another one after each change."""
        return self._changes

    def add(self, seal: Seal) -> bool:
        """Take in a seal; tell whether its holder is sealed only by now."""
        known = self._seals.setdefault(seal.holder, {})
        if seal.witness in known:
            return False  # a witness seals a holder once
        known[seal.witness] = seal
        self._changes += 1
        self._digest ^= _digest_of(seal)
        newly = seal.holder not in self._sealed and _proves(known)
        if newly:
            self._sealed.add(seal.holder)
        return newly

    def holders(self) -> tuple[NodeName, ...]:
        """Return the incarnations of which a seal is known."""
        return tuple(self._seals)

    def has_seal_majority(self, holder: NodeName) -> bool:
        """Tell whether the seals known prove that an incarnation lapsed."""
        return holder in self._sealed

    def discard_ended(self, holder: NodeName) -> None:
        """Forget the seals of an incarnation that the store says has ended."""
        for seal in self._seals.pop(holder, {}).values():
            self._digest ^= _digest_of(seal)
        self._sealed.discard(holder)
        self._ended.add(holder)
        self._changes += 1

    def mark_ended(self, holder: NodeName) -> None:
        """Take in from the store that an incarnation has ended."""
        if holder not in self._ended:
            self._ended.add(holder)
            self._changes += 1

    def is_sealed(self, holder: NodeName) -> bool:
        """Tell whether an incarnation has lapsed for ever."""
        return holder in self._sealed or holder in self._ended

    def floor(self, holder: NodeName, shard: ShardName) -> int:
        """Return the least epoch that a sealed holder may have written."""
        if holder not in self._sealed:
            return FLOOR_UNKNOWN
        seals = self._seals[holder].values()
        return max(seal.floors.get(str(shard), 0) for seal in seals)

    def seals(self) -> tuple[Seal, ...]:
        """Return all seals known."""
        known = self._seals.values()
        return tuple(seal for each in known for seal in each.values())

    def digest(self) -> int:
        """Return a number that tells sets of seals apart."""
        return self._digest
