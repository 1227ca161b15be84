"""What the witnesses have given a holder."""

from collections.abc import Set
from dataclasses import dataclass, field

from laburnumwood.records import NodeName, WitnessSet


@dataclass(slots=True)
class WitnessState:
    """What one witness has given the holder.

    `until_ms` is by version of the set, `floors` by the text of a shard.
    """

    until_ms: dict[int, int] = field(default_factory=dict)
    floors: dict[str, int] = field(default_factory=dict)
    superseded: int = 0
    lost: bool = False

    def knows(self, floors: dict[str, int]) -> bool:
        """Tell whether the witness knows floors at least as high."""
        return all(
            self.floors.get(shard, 0) >= epoch
            for shard, epoch in floors.items()
        )


class QuorumTracker:
    """The backings of all witnesses, counted by set."""

    def __init__(self) -> None:
        self._backings: dict[NodeName, WitnessState] = {}

    def of(self, witness: NodeName) -> WitnessState:
        """Return the backing of a witness, empty at first."""
        return self._backings.setdefault(witness, WitnessState())

    def lost(self) -> frozenset[NodeName]:
        """Return the witnesses that will never renew again."""
        backings = self._backings.items()
        return frozenset(name for name, backing in backings if backing.lost)

    def can_renew(self, chosen: WitnessSet, gone: Set[NodeName]) -> bool:
        """Tell whether a majority of a set is neither lost nor gone."""
        lost = sum(
            name in gone or self.of(name).lost for name in chosen.members
        )
        return len(chosen.members) - lost >= chosen.majority

    def until_ms(self, chosen: WitnessSet) -> int:
        """Return until when a majority of a set backs the holder."""
        untils = sorted(
            (
                self.of(name).until_ms.get(chosen.version, 0)
                for name in chosen.members
            ),
            reverse=True,
        )
        return untils[chosen.majority - 1]

    def know(self, chosen: WitnessSet, floors: dict[str, int]) -> bool:
        """Tell whether a majority of a set knows floors at least as high."""
        knowing = sum(self.of(name).knows(floors) for name in chosen.members)
        return knowing >= chosen.majority

    def granted(self, chosen: WitnessSet, floors: dict[str, int]) -> int:
        """Count the members that granted under a set and know floors."""
        return sum(
            chosen.version in self.of(name).until_ms
            and self.of(name).knows(floors)
            for name in chosen.members
        )

    def has_superseded(self, chosen: WitnessSet) -> bool:
        """Tell whether a majority of a set has given it up."""
        superseded = sum(
            self.of(name).superseded >= chosen.version
            for name in chosen.members
        )
        return superseded >= chosen.majority
